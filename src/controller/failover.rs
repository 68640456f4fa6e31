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

/// A controller that was started no longer ago than this waits less before it stands in an election.
const RECENT_START_WINDOW: Micros = Micros::from_millis(120_000);
/// Shortest delay between the end of the leader's lease and an election, in milliseconds.
const MIN_ELECTION_DELAY_MS: i64 = 60;
/// Shortest delay for a controller that was started recently, in milliseconds.
const MIN_ELECTION_DELAY_RECENT_MS: i64 = 5;
/// Upper bound of the random part of the delay, in milliseconds.
const ELECTION_JITTER_MS: i64 = 50;
/// How long this controller stands in no election after it has found records of a later format.
const NEWER_RECORDS_PAUSE: Micros = Micros::from_millis(10_000);
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: i64 = 1000;

impl Controller {
    /// How long to wait between the end of the leader's lease and an election. The delay is partly random, so
    /// that usually one controller stands a little earlier than the others. If several stand at once, the
    /// guards of the election's transaction let only one win.
    /// A controller that was started recently waits less: in a rolling restart the others are still to be
    /// restarted, and each of them would soon lose the leadership again.
    pub(super) fn election_delay(&self) -> Micros {
        let is_recent = self.now() - self.started <= RECENT_START_WINDOW;
        let min_delay_ms = if is_recent { MIN_ELECTION_DELAY_RECENT_MS } else { MIN_ELECTION_DELAY_MS };
        Micros::from_millis(rand::rng().random_range(min_delay_ms..min_delay_ms + ELECTION_JITTER_MS))
    }

    /// Stands in an election and, if it is won, rebuilds the fleet. `replaced_revision` is the revision of
    /// the leader's record that is replaced, or 0 if there is no record.
    pub(super) fn fail_over(&self, ttl: Micros, replaced_revision: u64) -> Result<(), StateStoreError> {
        if self.now() < self.lock().no_election_until {
            return Ok(());
        }
        let started_at = self.now();
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
        self.rebuild(term, started_at)
    }

    /// Rebuilds the fleet from the records after a won election, and begins to lead unless a higher fencing
    /// token has been seen meanwhile. `started_at` is when the election began.
    fn rebuild(&self, term: LeadershipTerm, started_at: Steady) -> Result<(), StateStoreError> {
        let types = self.machine_types().unwrap_or_default();
        let rebuilt =
            leadership::rebuild(&self.state, self.config.clone(), types, term.fencing_token, self.now());
        let mut shared = self.lock();
        shared.is_rebuilding = false;
        match rebuilt {
            Ok(fleet) if shared.highest_fencing_token == term.fencing_token => {
                self.begin_leadership(&mut shared, term, fleet, started_at);
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

    /// Begins to lead with a rebuilt fleet. `started_at` is when the election began.
    fn begin_leadership(
        &self,
        shared: &mut SharedState,
        term: LeadershipTerm,
        mut fleet: Fleet,
        started_at: Steady,
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
            duration_ms = (now - started_at).0 / MICROS_PER_MILLI,
            "failover: state rebuilt"
        );
        end_cancelled_jobs(&mut fleet, shared);
        for (job, results) in shared.reported_results.iter() {
            fleet.add_results_received_as_follower(job, results);
        }
        shared.leader = Some(LeaderRecord {
            label: self.config.platform.label.clone(),
            incarnation: self.incarnation,
            fencing_token: term.fencing_token,
            lease: term.lease,
        });
        shared.last_peer_contact = now;
        // Contact with the state store counts from the start of the election: cancellations that were written
        // after it may not have been read.
        let store_contact = StoreContact::new(started_at, self.config.max_staleness());
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
