//! The leadership duty: renews the leader's lease, or follows the leader until its lease expires.

use super::step_down::StepDownReason;
use super::{Controller, SharedState};
use crate::leadership::{LeaderRecord, LeadershipTerm, LEADER_KEY};
use crate::state::{KeyList, StateStoreError};
use crate::time::Micros;

/// Shortest pause between two renewals of the lease.
const MIN_RENEWAL_INTERVAL: Micros = Micros::from_millis(100);
/// The pause between renewals is at most this share of the lease's duration.
const RENEWAL_SHARE_OF_LEASE: f64 = 0.3;
/// The pause between renewals is at most this share of the time for which a leader may act without contact
/// with the state store.
const RENEWAL_SHARE_OF_STALENESS: f64 = 0.4;
/// Pause before the leader's record is read again, after a failure or while this controller stands in no
/// election.
const FOLLOW_RETRY_DELAY: Micros = Micros::from_millis(300);
/// Longest duration of one watch of the leader's record.
const LEADER_WATCH_TIMEOUT: Micros = Micros::from_millis(3_000);
/// A leader that receives no heartbeats gives up the leadership if no message or answer of another
/// controller has arrived for this long.
const PEER_SILENCE_TIMEOUT: Micros = Micros::from_millis(3_000);
/// A leader counts as receiving no heartbeats once none has arrived for this many heartbeat intervals.
const SILENT_HEARTBEAT_INTERVALS: f64 = 2.5;
/// How long a leader that gave up the leadership because it was isolated stands in no election.
const RESIGNATION_PAUSE: Micros = Micros::from_millis(8_000);

impl Controller {
    /// Renews the lease while this controller leads; otherwise waits for the end of the leader's lease and
    /// fails over. Runs until the controller stops.
    pub(super) fn maintain_leadership(&self) {
        self.load_machine_types();
        let ttl = Micros::from_secs(self.config.operator.leader_ttl_s);
        while !self.stopping() {
            let pause = self.maintain_leadership_once(ttl);
            self.sleep(pause);
        }
    }

    /// Renews the lease once if this controller leads. Otherwise waits a while for the end of the leader's
    /// lease, and fails over if it has ended. Returns how long to pause. `ttl` is the duration of the lease.
    pub fn maintain_leadership_once(&self, ttl: Micros) -> Micros {
        let term = self.lock().leadership.as_ref().map(|leadership| leadership.term);
        if let Some(term) = term {
            self.renew_lease(term);
            return self.renewal_interval(ttl);
        }
        match self.follow_leader(ttl) {
            Ok(()) => Micros::ZERO,
            Err(error) => {
                tracing::debug!(%error, "cannot read the leader record or fail over");
                FOLLOW_RETRY_DELAY
            }
        }
    }

    /// Pause between two renewals. A renewal also counts as contact with the state store, so renewals must be
    /// frequent enough for the maximum staleness that the settings allow.
    fn renewal_interval(&self, ttl: Micros) -> Micros {
        let by_staleness = self.config.max_staleness().scale(RENEWAL_SHARE_OF_STALENESS);
        ttl.scale(RENEWAL_SHARE_OF_LEASE).min(by_staleness).max(MIN_RENEWAL_INTERVAL)
    }

    /// Renews the lease of a term. Steps down if the lease has expired, or if this leader is isolated.
    fn renew_lease(&self, term: LeadershipTerm) {
        let sent_at = self.now();
        let renewal = self.state.renew_lease(term.lease);
        let renewed = renewal.is_ok();
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(term.fencing_token) else { return };
        // A single controller cannot be replaced while it runs: its lease counts as renewed even if the
        // renewal failed.
        if renewed || self.config.controller_count() == 1 {
            leadership.fleet.confirm_lease(sent_at);
            leadership.store_contact.record_renewal(sent_at);
        }
        match renewal {
            Ok(()) => {}
            Err(StateStoreError::LeaseNotFound) => self.step_down(&mut shared, StepDownReason::LeaseExpired),
            Err(error) => tracing::info!(%error, "leader lease renewal failed"),
        }
        if renewed && self.is_isolated(&shared) {
            shared.no_election_until = self.now() + RESIGNATION_PAUSE;
            self.step_down(&mut shared, StepDownReason::Isolated);
            drop(shared);
            let _ = self.state.end_lease(term.lease);
        }
    }

    /// Whether this leader has contact with neither workers nor other controllers. It is called while the
    /// state store answers: another controller can then become the leader and reach the workers before
    /// their leases expire, which this one cannot. A leader without other controllers, or with at most one
    /// machine, is never isolated.
    fn is_isolated(&self, shared: &SharedState) -> bool {
        let heartbeat_interval_s = self.config.platform.settings.workers.report_s;
        let worker_silence_timeout = Micros::from_secs(heartbeat_interval_s * SILENT_HEARTBEAT_INTERVALS);
        let now = self.now();
        let peer_silence = now - shared.last_peer_contact;
        shared.leadership.as_ref().is_some_and(|leadership| {
            self.peers.count() > 0
                && now - leadership.last_heartbeat > worker_silence_timeout
                && peer_silence > PEER_SILENCE_TIMEOUT
                && leadership.fleet.machines.values().filter(|machine| machine.up).count() > 1
        })
    }

    /// Reads the leader's record. If another controller leads, waits a while for the end of its lease, and
    /// fails over if the lease has ended. Fails over at once if no other controller leads.
    fn follow_leader(&self, ttl: Micros) -> Result<(), StateStoreError> {
        let KeyList { rows, revision } = self.state.list(LEADER_KEY)?;
        let row = rows.into_iter().find(|row| row.key == LEADER_KEY);
        let leader: Option<LeaderRecord> =
            row.as_ref().and_then(|row| serde_json::from_value(row.value.clone()).ok());
        if let Some(leader) = leader.filter(|leader| leader.label != self.config.platform.label) {
            if self.await_lease_expiry(&leader, revision)? {
                self.sleep(self.election_delay());
                return self.fail_over(ttl, 0);
            }
            return Ok(());
        }
        // No controller leads, or the record is that of an earlier run of this controller.
        if self.now() < self.lock().no_election_until {
            self.sleep(FOLLOW_RETRY_DELAY);
            return Ok(());
        }
        self.fail_over(ttl, row.map_or(0, |row| row.mod_revision))
    }

    /// Waits a while for the end of another leader's lease; returns whether it has ended.
    fn await_lease_expiry(&self, leader: &LeaderRecord, revision: u64) -> Result<bool, StateStoreError> {
        {
            let mut shared = self.lock();
            shared.highest_fencing_token = shared.highest_fencing_token.max(leader.fencing_token);
            shared.leader = Some(leader.clone());
        }
        let changes = self.state.watch(LEADER_KEY, revision, LEADER_WATCH_TIMEOUT)?;
        if !changes.events.iter().any(|event| event.drop.as_deref() == Some(LEADER_KEY)) {
            return Ok(false);
        }
        self.lock().leader = None;
        tracing::info!(leader = %leader.label, "leader lease expired");
        Ok(true)
    }
}
