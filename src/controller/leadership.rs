//! Leadership: keeping the leader's lease, following the leader, failing over and stepping down.

use rand::Rng;

use super::{Controller, Leadership, SharedState};
use crate::api::JobsBackend;
use crate::config::Config;
use crate::fleet::Fleet;
use crate::leadership::{self, LeaderClaim, LeaderRecord, LEADER_KEY};
use crate::state::{KeyList, StateStoreError};
use crate::store_contact::StoreContact;
use crate::time::{Micros, Steady};

/// Renewals of the lease begin no closer together than this.
const MIN_RENEWAL_INTERVAL: Micros = Micros::from_millis(100);
/// Pause before the leader's record is read again, after a failure or while others go first.
const FOLLOW_RETRY_DELAY: Micros = Micros::from_millis(300);
/// How long one watch of the leader's record lasts.
const LEADER_WATCH_TIMEOUT: Micros = Micros::from_millis(3_000);
/// After this without word from another controller a leader that hears no worker resigns.
const PEERS_UNHEARD_AFTER: Micros = Micros::from_millis(3_000);
/// How long a leader that resigned makes no claim.
const RESIGNED_FOR: Micros = Micros::from_millis(8_000);
/// A controller that has run no longer than this claims sooner than the others.
const RECENTLY_STARTED: Micros = Micros::from_millis(120_000);
/// Least delay between the end of the leader's lease and a claim, in milliseconds.
const CLAIM_DELAY_MS: i64 = 60;
/// The same for one that was started recently.
const CLAIM_DELAY_RECENT_MS: i64 = 5;
/// Random part of that delay, in milliseconds.
const CLAIM_JITTER_MS: i64 = 50;

/// How long records of a later form are left before they are looked at again.
const NEWER_RECORDS_PAUSE: Micros = Micros::from_millis(10_000);

impl Controller {
    /// Keeps the leader's lease, or waits for its end and fails over.
    pub(super) fn keep_leadership(&self) {
        self.learn_types();
        let ttl = Micros::from_secs(self.cfg.operator.leader_ttl_s);
        while !self.stopping() {
            let pause = self.keep_once(ttl);
            self.sleep(pause);
        }
    }

    /// Renews the leader's lease, or waits a while for its end and fails over; returns how long to
    /// pause.
    pub fn keep_once(&self, ttl: Micros) -> Micros {
        let lease = self.lock().leadership.as_ref().map(|o| (o.claim.lease, o.claim.fencing_token));
        match lease {
            Some((lease, fencing_token)) => {
                self.renew_lease(lease, fencing_token);
                // The view rests on renewals too: with tight settings it must not age for long.
                ttl.scale(0.3).min(self.cfg.max_staleness().scale(0.4)).max(MIN_RENEWAL_INTERVAL)
            }
            None => match self.follow_leader(ttl) {
                Ok(()) => Micros::ZERO,
                Err(e) => {
                    tracing::debug!(error = %e, "leader record unreadable");
                    FOLLOW_RETRY_DELAY
                }
            },
        }
    }

    /// Renews the leader's lease; steps down if it has ended, or if this leader is isolated.
    fn renew_lease(&self, lease: u64, fencing_token: u64) {
        let begun = self.now();
        let r = self.state.renew_lease(lease);
        let renewed = r.is_ok();
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return };
        // A single controller is followed by nobody while it lives.
        if renewed || self.cfg.controller_count() == 1 {
            leadership.fleet.confirm(begun);
            leadership.view.note_renewal(begun);
        }
        match r {
            Ok(()) => {}
            Err(StateStoreError::NoLease) => self.step_down(&mut shared, 0, "leader lease expired"),
            Err(e) => tracing::info!(error = %e, "leader lease renewal failed"),
        }
        if renewed && self.is_isolated(&shared) {
            shared.no_claim_until = self.now() + RESIGNED_FOR;
            self.step_down(&mut shared, 0, "hears neither workers nor controllers");
            drop(shared);
            let _ = self.state.end_lease(lease);
        }
    }

    /// Whether this leader is cut off from workers and controllers alike. While the state store
    /// answers, others can serve the workers before their leases run out, this one cannot.
    fn is_isolated(&self, shared: &SharedState) -> bool {
        let quiet = Micros::from_secs(self.cfg.platform.settings.workers.report_s * 2.5);
        let now = self.now();
        let unheard = now - shared.last_peer_contact;
        shared.leadership.as_ref().is_some_and(|o| {
            self.peers.count() > 0
                && now - o.last_heartbeat > quiet
                && unheard > PEERS_UNHEARD_AFTER
                && o.fleet.machines.values().filter(|m| m.up).count() > 1
        })
    }

    /// Reads the leader's record. While another leads, waits for the end of its lease; then, or if
    /// nobody leads, fails over.
    fn follow_leader(&self, ttl: Micros) -> Result<(), StateStoreError> {
        let KeyList { rows, revision } = self.state.list(LEADER_KEY)?;
        let row = rows.into_iter().find(|r| r.key == LEADER_KEY);
        let owner: Option<LeaderRecord> =
            row.as_ref().and_then(|r| serde_json::from_value(r.value.clone()).ok());
        let mod_revision = row.as_ref().map_or(0, |r| r.mod_revision);
        match owner.filter(|o| o.label != self.cfg.platform.label) {
            Some(leader) => {
                if self.await_lease_expiry(&leader, revision)? {
                    self.sleep(self.failover_delay());
                    return self.fail_over(ttl, 0);
                }
                Ok(())
            }
            // Nobody leads, or an earlier life of this very process did.
            None => {
                if self.now() < self.lock().no_claim_until {
                    self.sleep(FOLLOW_RETRY_DELAY);
                    return Ok(());
                }
                self.fail_over(ttl, mod_revision)
            }
        }
    }

    /// Waits a while for the end of another leader's lease; whether it ended.
    fn await_lease_expiry(&self, leader: &LeaderRecord, revision: u64) -> Result<bool, StateStoreError> {
        {
            let mut shared = self.lock();
            shared.highest_fencing_token = shared.highest_fencing_token.max(leader.fencing_token);
            shared.leader = Some(leader.clone());
        }
        let changes = self.state.watch(LEADER_KEY, revision, LEADER_WATCH_TIMEOUT)?;
        if !changes.events.iter().any(|e| e.drop.as_deref() == Some(LEADER_KEY)) {
            return Ok(false);
        }
        self.lock().leader = None;
        tracing::info!(leader = %leader.label, "leader lease expired");
        Ok(true)
    }

    /// How long to wait between the end of the leader's lease and a claim. Most of the time one of
    /// the others is a little faster, and the guard decides. One that has started of late goes first:
    /// in a rolling restart the others are still to go, and each would take the leadership only to
    /// lose it again.
    fn failover_delay(&self) -> Micros {
        let recent = self.now() - self.started <= RECENTLY_STARTED;
        let least_ms = if recent { CLAIM_DELAY_RECENT_MS } else { CLAIM_DELAY_MS };
        Micros::from_millis(rand::rng().random_range(least_ms..least_ms + CLAIM_JITTER_MS))
    }

    /// Claims the leadership; `seen` is the version of the leader's record that the claim replaces, 0
    /// for none.
    fn fail_over(&self, ttl: Micros, seen: u64) -> Result<(), StateStoreError> {
        if self.now() < self.lock().no_claim_until {
            return Ok(());
        }
        let begun = self.now();
        let label = &self.cfg.platform.label;
        let claim = match leadership::try_become_leader(&self.state, label, self.incarnation, ttl, seen) {
            Ok(Some(claim)) => claim,
            Ok(None) => return Ok(()),
            Err(e @ StateStoreError::NewerRecords { .. }) => {
                tracing::error!(error = %e, "failover refused");
                self.lock().no_claim_until = self.now() + NEWER_RECORDS_PAUSE;
                return Ok(());
            }
            Err(e) => return Err(e),
        };
        tracing::info!(fencing_token = claim.fencing_token, "failover: leadership claimed");
        {
            let mut shared = self.lock();
            shared.claiming = true;
            shared.highest_fencing_token = shared.highest_fencing_token.max(claim.fencing_token);
        }
        self.rebuild(claim, begun)
    }

    /// Rebuilds the fleet from the records after a claim, and leads with it unless another controller has
    /// meanwhile.
    fn rebuild(&self, claim: LeaderClaim, begun: Steady) -> Result<(), StateStoreError> {
        let types = self.machine_types().unwrap_or_default();
        let r = leadership::rebuild(&self.state, self.cfg.clone(), types, claim.fencing_token, self.now());
        let mut shared = self.lock();
        shared.claiming = false;
        match r {
            Ok(fleet) if shared.highest_fencing_token == claim.fencing_token => {
                self.begin_leadership(&mut shared, claim, fleet, begun);
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(e) => {
                tracing::info!(error = %e, "failover: rebuild failed");
                drop(shared);
                let _ = self.state.end_lease(claim.lease);
                Err(e)
            }
        }
    }

    /// Starts to act as the leader of a fleet.
    fn begin_leadership(
        &self,
        shared: &mut SharedState,
        claim: LeaderClaim,
        mut fleet: Fleet,
        begun: Steady,
    ) {
        if let Some(t) = &shared.machine_types {
            fleet.set_types(t.clone());
        }
        let now = self.now();
        let budget = StateBudget::new(&self.cfg, true);
        self.state.set_rates(budget.requests_per_s, budget.writes_per_s);
        tracing::info!(
            fencing_token = claim.fencing_token,
            jobs = fleet.jobs.len(),
            machines = fleet.machines.len(),
            ms = (now - begun).0 / 1000,
            "failover: state rebuilt"
        );
        // Cancellations that were told of while the records were read.
        for id in fleet.jobs.keys().cloned().collect::<Vec<_>>() {
            if let Some((_, revision)) = shared.finals.get(&*id) {
                fleet.job_over(&id, *revision);
            }
        }
        shared.leader = Some(LeaderRecord {
            label: self.cfg.platform.label.clone(),
            incarnation: self.incarnation,
            fencing_token: claim.fencing_token,
            lease: claim.lease,
        });
        shared.last_peer_contact = now;
        let view = StoreContact::new(begun, self.cfg.max_staleness());
        shared.leadership = Some(Leadership { fleet, claim, view, last_heartbeat: now });
        self.wake.notify_all();
    }

    /// Gives up the leadership, if this controller has it; `fencing_token` is the higher fencing token that was seen, or 0.
    pub(super) fn step_down(&self, shared: &mut SharedState, fencing_token: u64, why: &str) {
        shared.highest_fencing_token = shared.highest_fencing_token.max(fencing_token);
        if let Some(leadership) = shared.leadership.take() {
            let budget = StateBudget::new(&self.cfg, false);
            self.state.set_rates(budget.requests_per_s, budget.writes_per_s);
            tracing::info!(
                fencing_token = leadership.claim.fencing_token,
                higher = fencing_token,
                why,
                "stepped down"
            );
            shared.leader = None;
            self.wake.notify_all();
        }
    }
}

/// This controller's share of the state store's requests and changes.
pub(super) struct StateBudget {
    pub(super) requests_per_s: f64,
    pub(super) writes_per_s: f64,
}

impl StateBudget {
    /// The share of the leader, or of another controller. The leader writes for all, so it is allowed
    /// more of the changes than the others. Those only accept and cancel, in bursts: their shares add
    /// up to more than there is, and what the service refuses then is tried again at once.
    pub(super) fn new(cfg: &Config, leads: bool) -> StateBudget {
        let limits = &cfg.platform.settings.state;
        let others = cfg.controller_count().saturating_sub(1) as f64;
        let (requests, writes) = match (cfg.controller_count(), leads) {
            (1, _) => (0.9, 0.9),
            (n, true) => (1.8 / (n as f64 + 1.0), 0.6),
            (n, false) => (0.9 / (n as f64 + 1.0), (0.8 / others).min(0.4)),
        };
        StateBudget { requests_per_s: limits.rps * requests, writes_per_s: limits.write_rps * writes }
    }
}
