//! The writing duty: writes the leader's records in batches, and reads back what a failed write left.

use super::Controller;
use crate::api::JobsBackend;
use crate::fleet::PendingWrite;
use crate::jobs::JobId;
use crate::leadership::{self, Batch, LeaderClaim, SHARD_KEY};
use crate::records::FinalRecord;
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::task_ranges::chunk_tasks;
use crate::time::{wall, Micros};
use crate::wire::Stage;

/// How often the done ranges of a job that goes on are written at least. Its workers keep the results;
/// what is lost with a machine until then runs again.
const MAX_DONE_WRITE_INTERVAL: Micros = Micros::from_millis(12_000);
/// They are written no more often than this: a short job is over before it matters.
const MIN_DONE_WRITE_INTERVAL: Micros = Micros::from_millis(2_000);
/// The part of the state store's changes that done ranges of jobs that go on may take.
const DONE_WRITE_SHARE: f64 = 0.2;
/// How long the writer waits to be woken.
const WRITE_INTERVAL: Micros = Micros::from_millis(150);
/// Pause after a write that did not succeed.
const WRITE_RETRY_DELAY: Micros = Micros::from_millis(150);

/// How far apart the done ranges of each job are written, so that those of all fit their part of the
/// changes.
pub fn done_write_interval(jobs: usize, write_rps: f64) -> Micros {
    let interval = Micros::from_secs(jobs as f64 / (write_rps * DONE_WRITE_SHARE));
    interval.clamp(MIN_DONE_WRITE_INTERVAL, MAX_DONE_WRITE_INTERVAL)
}

impl Controller {
    /// Writes pending records until the controller ends.
    pub(super) fn write(&self) {
        while !self.stopping() {
            drop(self.wake.wait_timeout(self.lock(), WRITE_INTERVAL.std()));
            if !self.write_once() {
                self.sleep(WRITE_RETRY_DELAY);
            }
        }
    }

    /// Writes all records that are pending now; false if writing should pause.
    pub fn write_once(&self) -> bool {
        let now = self.now();
        let work = self.lock().leadership.as_mut().map(|leadership| {
            let ops = leadership.fleet.txn_ops();
            let chunk = chunk_tasks(leadership.fleet.value_bytes());
            let interval =
                done_write_interval(leadership.fleet.jobs.len(), self.cfg.platform.settings.state.write_rps);
            let pending = leadership.fleet.pending(now, interval, chunk);
            let shard_revision = leadership.claim.shard_revision;
            (
                leadership.claim.clone(),
                leadership::batches(&mut leadership.fleet, shard_revision, pending, ops, now, wall()),
            )
        });
        let Some((claim, batches)) = work else { return true };
        batches.into_iter().all(|b| self.write_batch(&claim, b))
    }

    /// Writes a batch; false if writing should pause.
    fn write_batch(&self, claim: &LeaderClaim, b: Batch) -> bool {
        let urgency = if b.urgent { RequestPriority::Leader } else { RequestPriority::Background };
        match self.state.txn(&b.txn, urgency) {
            Ok(TxnOutcome::Committed(revision)) => self.batch_written(claim, &b, revision),
            Ok(TxnOutcome::Conflict(keys)) => {
                if keys.iter().any(|k| k == SHARD_KEY) {
                    let mut shared = self.lock();
                    if shared.leadership_with(claim.fencing_token).is_some() {
                        self.step_down(&mut shared, 0, "another owner has taken the part");
                    }
                    return false;
                }
                self.read_back(claim, &keys)
            }
            Err(StateStoreError::Unknown(e)) => {
                tracing::info!(error = %e, "write outcome unknown, reading back");
                let keys: Vec<String> =
                    b.txn.guards.iter().map(|g| g.key.clone()).filter(|k| k != SHARD_KEY).collect();
                self.read_back(claim, &keys)
            }
            Err(StateStoreError::Rejected(e)) => {
                tracing::error!(error = %e, "write rejected by state store");
                let mut shared = self.lock();
                if let Some(o) =
                    shared.leadership.as_mut().filter(|o| o.claim.fencing_token == claim.fencing_token)
                {
                    o.fleet.write_rejected();
                }
                false
            }
            Err(e) => {
                tracing::debug!(error = %e, "write deferred");
                false
            }
        }
    }

    /// Records in the fleet what a batch has written; false if this controller no longer owns it.
    fn batch_written(&self, claim: &LeaderClaim, b: &Batch, revision: u64) -> bool {
        let mut finals: Vec<(JobId, u32)> = Vec::new();
        {
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(claim.fencing_token) else {
                return false;
            };
            let now = self.now();
            for (item, said) in &b.items {
                if let PendingWrite::Final(id) = item {
                    if let Some(j) = leadership.fleet.jobs.get(id) {
                        finals.push((id.clone(), j.spec.tasks));
                    }
                }
                leadership.fleet.written(item, revision, said, now);
            }
        }
        for (id, tasks) in finals {
            tracing::debug!(job = %id, "job done recorded");
            self.learn_final(&id, FinalRecord { stage: Stage::Done, tasks }, revision);
        }
        true
    }

    /// Reads the values of keys after a conflict or an unknown outcome.
    fn read_back(&self, claim: &LeaderClaim, keys: &[String]) -> bool {
        for key in keys {
            let Ok(row) = self.state.get(key, RequestPriority::User) else { return false };
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(claim.fencing_token) else {
                return false;
            };
            leadership::learn(&mut leadership.fleet, key, row, self.now());
        }
        true
    }
}
