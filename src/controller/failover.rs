//! Failover: stands in an election after the leader's lease has expired, rebuilds the fleet from the
//! stored records and begins to lead.

use rand::Rng;

use super::{allowed_rates, Controller, ControllerRole, Leadership, SharedState};
use crate::api::JobsBackend;
use crate::fleet::Fleet;
use crate::leadership::{self, LeaderRecord, LeadershipTerm};
use crate::state::StateStoreError;
use crate::store_contact::StoreContact;
use crate::time::{Micros, Steady};

/// A controller that has run no longer than this stands in an election sooner than the others.
const RECENT_START: Micros = Micros::from_millis(120_000);
/// Least delay between the end of the leader's lease and an election, in milliseconds.
const ELECTION_DELAY_MS: i64 = 60;
/// The same for a controller that was started recently.
const ELECTION_DELAY_RECENT_MS: i64 = 5;
/// Random part of that delay, in milliseconds.
const ELECTION_JITTER_MS: i64 = 50;
/// How long this controller stands in no election after it found records of a later format.
const NEWER_RECORDS_PAUSE: Micros = Micros::from_millis(10_000);
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: i64 = 1000;

impl Controller {
    /// How long to wait between the end of the leader's lease and an election. Most of the time one of
    /// the others is a little faster, and the guards decide. One that was started recently goes first: in
    /// a rolling restart the others are still to be restarted, and each would win the leadership only to
    /// lose it again.
    pub(super) fn election_delay(&self) -> Micros {
        let is_recent = self.now() - self.started <= RECENT_START;
        let least_ms = if is_recent { ELECTION_DELAY_RECENT_MS } else { ELECTION_DELAY_MS };
        Micros::from_millis(rand::rng().random_range(least_ms..least_ms + ELECTION_JITTER_MS))
    }

    /// Stands in an election and, if it is won, rebuilds the fleet. `replaced_revision` is that of the
    /// leader's record that is replaced, 0 for none.
    pub(super) fn fail_over(&self, ttl: Micros, replaced_revision: u64) -> Result<(), StateStoreError> {
        if self.now() < self.lock().no_election_until {
            return Ok(());
        }
        let begun = self.now();
        let label = &self.config.platform.label;
        let election =
            leadership::try_become_leader(&self.state, label, self.incarnation, ttl, replaced_revision);
        let term = match election {
            Ok(Some(term)) => term,
            Ok(None) => return Ok(()),
            Err(error @ StateStoreError::NewerRecords { .. }) => {
                tracing::error!(%error, "failover refused");
                self.lock().no_election_until = self.now() + NEWER_RECORDS_PAUSE;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        tracing::info!(fencing_token = term.fencing_token, "failover: election won");
        {
            let mut shared = self.lock();
            shared.is_rebuilding = true;
            shared.highest_fencing_token = shared.highest_fencing_token.max(term.fencing_token);
        }
        self.rebuild(term, begun)
    }

    /// Rebuilds the fleet from the records after a won election, and leads with it unless a higher fencing
    /// token has been seen meanwhile. `begun` is when the election began.
    fn rebuild(&self, term: LeadershipTerm, begun: Steady) -> Result<(), StateStoreError> {
        let types = self.machine_types().unwrap_or_default();
        let rebuilt =
            leadership::rebuild(&self.state, self.config.clone(), types, term.fencing_token, self.now());
        let mut shared = self.lock();
        shared.is_rebuilding = false;
        match rebuilt {
            Ok(fleet) if shared.highest_fencing_token == term.fencing_token => {
                self.begin_leadership(&mut shared, term, fleet, begun);
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(error) => {
                tracing::info!(%error, "failover: rebuild failed");
                drop(shared);
                let _ = self.state.end_lease(term.lease);
                Err(error)
            }
        }
    }

    /// Begins to lead with a rebuilt fleet.
    fn begin_leadership(
        &self,
        shared: &mut SharedState,
        term: LeadershipTerm,
        mut fleet: Fleet,
        begun: Steady,
    ) {
        if let Some(types) = &shared.machine_types {
            fleet.set_types(types.clone());
        }
        let now = self.now();
        self.state.set_allowed_rates(allowed_rates(&self.config, ControllerRole::Leader));
        tracing::info!(
            fencing_token = term.fencing_token,
            jobs = fleet.jobs.len(),
            machines = fleet.machines.len(),
            duration_ms = (now - begun).0 / MICROS_PER_MILLI,
            "failover: state rebuilt"
        );
        end_cancelled_jobs(&mut fleet, shared);
        for (job, results) in shared.heard_results.iter() {
            fleet.add_results_received_as_follower(job, results);
        }
        shared.leader = Some(LeaderRecord {
            label: self.config.platform.label.clone(),
            incarnation: self.incarnation,
            fencing_token: term.fencing_token,
            lease: term.lease,
        });
        shared.last_peer_contact = now;
        // As old as the election: cancellations since then may not have been read.
        let store_contact = StoreContact::new(begun, self.config.max_staleness());
        shared.leadership = Some(Leadership { fleet, term, store_contact, last_heartbeat: now });
        self.wake.notify_all();
    }
}

/// Ends the jobs whose cancellation was announced while the records were read.
fn end_cancelled_jobs(fleet: &mut Fleet, shared: &SharedState) {
    for id in fleet.jobs.keys().cloned().collect::<Vec<_>>() {
        if let Some(ended) = shared.final_records.get(&id) {
            fleet.apply_job_removal(&id, ended.revision);
        }
    }
}
