//! The writing duty: writes the leader's records in batches. After a conflict or a write with unknown outcome
//! it reads the records back.

use super::step_down::StepDownReason;
use super::Controller;
use crate::api::{JobsBackend, StoredFinal};
use crate::fleet::{Fleet, PendingWrite};
use crate::jobs::JobId;
use crate::leadership::{self, Batch, ComposedWrite, LeadershipTerm, SHARD_KEY};
use crate::records::FinalRecord;
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::task_ranges::chunk_tasks;
use crate::time::{wall, Micros};
use crate::wire::Stage;

/// Longest interval between two writes of the done ranges of an unfinished job. Until a write the workers
/// keep the results; a task whose result is lost with a machine before it is written runs again.
const MAX_DONE_WRITE_INTERVAL: Micros = Micros::from_millis(12_000);
/// Shortest interval between two such writes. A job that takes less time than this is finished before its
/// done ranges would matter.
const MIN_DONE_WRITE_INTERVAL: Micros = Micros::from_millis(2_000);
/// The share of the allowed changes to the state store that the done ranges of unfinished jobs may take.
const DONE_WRITE_SHARE: f64 = 0.2;
/// Longest time for which the writer waits to be notified of pending records.
const WRITE_INTERVAL: Micros = Micros::from_millis(150);
/// Pause after a write that did not succeed.
const WRITE_RETRY_DELAY: Micros = Micros::from_millis(150);

/// The interval at which the done ranges of each of `jobs` unfinished jobs are written, so that all of them
/// together take no more than their share of the allowed changes. `write_rps` is the number of changes
/// allowed per second.
pub fn done_write_interval(jobs: usize, write_rps: f64) -> Micros {
    let interval = Micros::from_secs(jobs as f64 / (write_rps * DONE_WRITE_SHARE));
    interval.clamp(MIN_DONE_WRITE_INTERVAL, MAX_DONE_WRITE_INTERVAL)
}

/// The pending writes of a leader, composed into batches.
struct PendingBatches {
    /// The term in which the batches may be written.
    term: LeadershipTerm,
    batches: Vec<Batch>,
}

impl Controller {
    /// Writes pending records until the controller stops.
    pub(super) fn write(&self) {
        while !self.stopping() {
            drop(self.wake.wait_timeout(self.lock(), WRITE_INTERVAL.to_duration()));
            if !self.write_once() {
                self.sleep(WRITE_RETRY_DELAY);
            }
        }
    }

    /// Writes all records that are pending now. Returns false if writing should pause.
    pub fn write_once(&self) -> bool {
        self.write_restored_records();
        self.write_pending(|fleet| {
            let write_rps = self.config.platform.settings.state.write_rps;
            let interval = done_write_interval(fleet.jobs.len(), write_rps);
            fleet.pending_writes(self.now(), interval, chunk_tasks(fleet.max_value_bytes()))
        })
    }

    /// Writes the results of jobs with loans that are not recorded yet. Returns false if writing should
    /// pause.
    pub(super) fn write_results_of_loans(&self) -> bool {
        self.write_pending(|fleet| fleet.pending_results_of_loans(chunk_tasks(fleet.max_value_bytes())))
    }

    /// Writes the records that `pending` returns. Returns false if writing should pause.
    fn write_pending(&self, pending: impl FnOnce(&mut Fleet) -> Vec<PendingWrite>) -> bool {
        let Some(composed) = self.compose(pending) else { return true };
        composed.batches.into_iter().all(|batch| self.write_batch(&composed.term, batch))
    }

    /// Composes the records that `pending` returns into batches; none if this controller does not lead.
    fn compose(&self, pending: impl FnOnce(&mut Fleet) -> Vec<PendingWrite>) -> Option<PendingBatches> {
        let now = self.now();
        let mut shared = self.lock();
        let leadership = shared.leadership.as_mut()?;
        let fleet = &mut leadership.fleet;
        let max_changes = fleet.max_txn_changes();
        let pending = pending(fleet);
        let term = leadership.term;
        let batches =
            leadership::compose_batches(fleet, term.shard_revision, pending, max_changes, now, wall());
        Some(PendingBatches { term, batches })
    }

    /// Writes a batch. Returns false if writing should pause.
    fn write_batch(&self, term: &LeadershipTerm, batch: Batch) -> bool {
        let priority = if batch.urgent { RequestPriority::Leader } else { RequestPriority::Background };
        match self.state.txn(&batch.txn, priority) {
            Ok(TxnOutcome::Committed(revision)) => self.apply_written_batch(term, &batch, revision),
            Ok(TxnOutcome::Conflict(keys)) => {
                if keys.iter().any(|key| key == SHARD_KEY) {
                    self.step_down_from(term.fencing_token, StepDownReason::ShardTaken);
                    return false;
                }
                if let Some(leadership) = self.lock().leadership_with(term.fencing_token) {
                    leadership::mark_unreadable_finals(&mut leadership.fleet, &keys);
                }
                self.read_back(term, &keys)
            }
            Err(StateStoreError::NoAnswer(error)) => {
                tracing::info!(%error, "write outcome unknown, reading back");
                self.read_back(term, &guarded_keys(&batch))
            }
            Err(StateStoreError::Rejected(error)) => {
                tracing::error!(%error, "write rejected by state store");
                if let Some(leadership) = self.lock().leadership_with(term.fencing_token) {
                    leadership.fleet.reduce_write_limits();
                }
                false
            }
            Err(error) => {
                tracing::debug!(%error, "write deferred");
                false
            }
        }
    }

    /// Records in the fleet that a batch has been written at `revision`. Returns false if this controller no
    /// longer leads in the batch's term.
    fn apply_written_batch(&self, term: &LeadershipTerm, batch: &Batch, revision: u64) -> bool {
        let mut finished: Vec<(JobId, u32)> = Vec::new();
        {
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(term.fencing_token) else {
                return false;
            };
            let now = self.now();
            for ComposedWrite { write, contents } in &batch.writes {
                if let PendingWrite::Final(id) = write {
                    if let Some(job) = leadership.fleet.jobs.get(id) {
                        finished.push((id.clone(), job.spec.tasks));
                    }
                }
                leadership.fleet.write_applied(write, revision, contents, now);
            }
        }
        for (id, tasks) in finished {
            tracing::debug!(job = %id, "final record of finished job written");
            let record = FinalRecord { stage: Stage::Done, tasks };
            self.cache_final_record(&id, StoredFinal { record, revision });
        }
        true
    }

    /// Reads keys back after a conflict or an unknown outcome. Returns false if one could not be read, or if
    /// this controller no longer leads in the term.
    fn read_back(&self, term: &LeadershipTerm, keys: &[String]) -> bool {
        for key in keys {
            let Some(known_revision) = self.known_revision(term.fencing_token) else { return false };
            let Ok(state) = leadership::read_key(&self.state, key, known_revision) else { return false };
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(term.fencing_token) else {
                return false;
            };
            leadership::update_from_store(&mut leadership.fleet, state, self.now());
        }
        true
    }
}

/// The keys that a batch guards, without the shard's key.
fn guarded_keys(batch: &Batch) -> Vec<String> {
    let keys = batch.txn.guards.iter().map(|guard| guard.key.clone());
    keys.filter(|key| key != SHARD_KEY).collect()
}
