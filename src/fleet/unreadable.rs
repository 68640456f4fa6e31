//! Stored records that this version cannot read: they are damaged, or a later version wrote them.
//!
//! An unreadable record must not be treated as a missing one. The other records of its job are kept
//! unchanged, and the job's running tasks go on. No further task of the job starts until a leader has read
//! the record, since the leader cannot know which tasks are done or running.

use std::collections::BTreeSet;
use std::fmt::Display;

use milletlock_cells::{LoanNumber, LoanSyncRequest};
use serde::Serialize;

use super::machine::TaskKey;
use super::{Fleet, PendingWrite};
use crate::keys::{job_key, lent_done_key, lent_start_mark_key};
use crate::time::Steady;

/// The maximum number of keys of unreadable records that the status lists.
const MAX_LISTED_KEYS: usize = 100;

/// The records that the leader could not read.
#[derive(Debug, Default)]
pub(super) struct UnreadableRecords {
    /// The keys of all unreadable records.
    keys: BTreeSet<String>,
    /// Jobs accepted in this cell whose job record cannot be read.
    jobs: BTreeSet<String>,
    /// Borrowed jobs whose record cannot be read.
    borrowed_jobs: BTreeSet<String>,
    /// Jobs, own or borrowed, of which done ranges or a start mark cannot be read.
    jobs_with_unreadable_progress: BTreeSet<String>,
    /// Live jobs that cannot be ended because the value under the key of their final record is not the
    /// placeholder of their job record, or is missing.
    jobs_that_cannot_end: BTreeSet<String>,
    /// Cells from which tasks are or were borrowed and whose record cannot be read.
    lenders: BTreeSet<String>,
    /// Whether a value of start marks cannot be read.
    has_start_marks: bool,
    /// Whether a value of machine records cannot be read.
    has_machines: bool,
}

impl UnreadableRecords {
    /// Whether an unreadable record blocks a job: none of its tasks start, and none of its records are
    /// removed.
    pub(super) fn blocks_job(&self, id: &str) -> bool {
        self.jobs_with_unreadable_progress.contains(id) || self.cannot_end(id) || self.has_job(id)
    }

    /// Whether a live job cannot be ended because of the value under the key of its final record.
    pub(super) fn cannot_end(&self, id: &str) -> bool {
        self.jobs_that_cannot_end.contains(id)
    }

    /// Whether the record of a job, own or borrowed, cannot be read. The job may be live even if it is not in
    /// the model.
    pub(super) fn has_job(&self, id: &str) -> bool {
        self.jobs.contains(id) || self.borrowed_jobs.contains(id)
    }
}

/// The kind of an unreadable record, with the job or cell that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadableRecord<'a> {
    /// The record of a job that this cell accepted; with the job's id.
    Job(&'a str),
    /// The record of a borrowed job; with the job's id.
    BorrowedJob(&'a str),
    /// Done ranges or a start mark of a job, own or borrowed; with the job's id.
    OfJob(&'a str),
    /// The value under the key of a live job's final record; with the job's id.
    Final(&'a str),
    /// The record of a cell from which tasks are borrowed; with the cell's name.
    Lender(&'a str),
    /// A value of packed start marks.
    StartMarks,
    /// A value of packed machine records.
    Machines,
    /// Any other record. No decision to start a task depends on it.
    Other,
}

/// The unreadable records, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreadableView {
    /// The number of unreadable records.
    pub count: usize,
    /// The first keys of unreadable records, in their order, at most 100.
    pub keys: Vec<String>,
}

impl Fleet {
    /// Marks the record under `key` as unreadable. The first time, the key and the error are logged.
    pub fn mark_unreadable(&mut self, record: UnreadableRecord<'_>, key: &str, error: &dyn Display) {
        let unreadable = &mut self.unreadable;
        if unreadable.keys.insert(key.to_string()) {
            tracing::error!(key, %error, "record unreadable");
        }
        match record {
            UnreadableRecord::Job(id) => {
                unreadable.jobs.insert(id.to_string());
            }
            UnreadableRecord::BorrowedJob(id) => {
                unreadable.borrowed_jobs.insert(id.to_string());
            }
            UnreadableRecord::OfJob(id) => {
                unreadable.jobs_with_unreadable_progress.insert(id.to_string());
            }
            UnreadableRecord::Final(id) => {
                unreadable.jobs_that_cannot_end.insert(id.to_string());
            }
            UnreadableRecord::Lender(cell) => {
                unreadable.lenders.insert(cell.to_string());
            }
            UnreadableRecord::StartMarks => unreadable.has_start_marks = true,
            UnreadableRecord::Machines => unreadable.has_machines = true,
            UnreadableRecord::Other => {}
        }
        self.dirty = true;
    }

    /// Whether an unreadable record blocks a job: none of its tasks may start, and none of its records may be
    /// removed.
    pub fn is_blocked_by_unreadable_record(&self, id: &str) -> bool {
        self.unreadable.blocks_job(id)
    }

    /// Whether a write of a job's progress would replace an unreadable record. The state store would refuse
    /// such a write each time, which would delay the other writes in the same transaction.
    pub(super) fn replaces_unreadable(&self, write: &PendingWrite) -> bool {
        if self.unreadable.keys.is_empty() {
            return false;
        }
        let is_unreadable = |key: &str| self.unreadable.keys.contains(key);
        match write {
            PendingWrite::LentStartMark(id) => is_unreadable(&lent_start_mark_key(id)),
            PendingWrite::Done(id, chunk) => self.jobs.get(id).is_some_and(|job| {
                is_unreadable(&job.done_chunk_key(*chunk))
                    || job.copy.is_kept && is_unreadable(&lent_done_key(id, *chunk))
            }),
            _ => false,
        }
    }

    /// Whether the record of a job that this cell accepted is unreadable and the job is not in the model.
    pub fn is_unreadable_job(&self, id: &str) -> bool {
        self.unreadable.jobs.contains(id) && !self.jobs.contains_key(id)
    }

    /// Clears the mark of an unreadable job record after the record was read successfully or was removed.
    pub(super) fn mark_job_readable(&mut self, id: &str) {
        if self.unreadable.jobs.remove(id) {
            self.unreadable.keys.remove(&job_key(id));
            self.dirty = true;
        }
    }

    /// The unreadable records, for the status.
    pub(super) fn unreadable_view(&self) -> UnreadableView {
        let keys = &self.unreadable.keys;
        UnreadableView { count: keys.len(), keys: keys.iter().take(MAX_LISTED_KEYS).cloned().collect() }
    }

    /// If a value of start marks is unreadable, sets the inherited start mark of each own job without a
    /// readable mark to its number of tasks: any of its tasks may have been started.
    pub(super) fn assume_start_marks(&mut self) {
        if !self.unreadable.has_start_marks {
            return;
        }
        let start_marks = &self.start_marks;
        let own = self.jobs.values_mut().filter(|job| job.borrowed_from.is_none());
        for job in own.filter(|job| start_marks.get(&job.id).is_none()) {
            job.inherited_start_mark = job.spec.tasks;
        }
    }

    /// Whether machines whose records are unreadable may still be running tasks. This is so until the last
    /// leases that earlier leaders can have renewed have expired: a leader without contact to the state store
    /// stops renewing leases after a time limit.
    pub(super) fn may_have_unknown_machines(&self, now: Steady) -> bool {
        self.unreadable.has_machines && now < self.failover_at + self.earlier_leases_end_after()
    }

    /// The horizon for messages to borrowers, up to which loans that a message does not list are closed. A
    /// job with an unreadable record may have any loan, so the horizon is 0 while there is one.
    pub fn horizon_unless_unreadable(&self, horizon: LoanNumber) -> LoanNumber {
        if self.unreadable.jobs.is_empty() {
            horizon
        } else {
            LoanNumber::default()
        }
    }

    /// A lender's message without the loans that this cell cannot decide on because a record that concerns
    /// them is unreadable. `None` if the record of the lender itself is unreadable.
    pub fn without_unreadable(&self, request: &LoanSyncRequest) -> Option<LoanSyncRequest> {
        if self.unreadable.lenders.contains(&request.from) {
            return None;
        }
        let mut readable = request.clone();
        readable.loans.retain(|item| !self.is_blocked_by_unreadable_record(&item.job));
        if readable.loans.len() < request.loans.len() {
            // With horizon 0, a loan does not count as closed because it is left out.
            readable.horizon = LoanNumber::default();
        }
        Some(readable)
    }

    /// Cancels the queued removals of a job's rows after a record of the job was found. If there were any,
    /// the job is marked as blocked by an unreadable record, since this leader does not know which of its
    /// tasks are done.
    pub fn cancel_removals_of_job(&mut self, id: &str) {
        let removals = self.cleanup.rows.len();
        self.cleanup.rows.retain(|key, _| key.split('/').all(|part| part != id));
        if self.cleanup.rows.len() < removals {
            self.mark_unreadable(
                UnreadableRecord::OfJob(id),
                &job_key(id),
                &"the job was assumed to have ended",
            );
        }
    }

    /// Whether the job of a task has ended or does not exist. A job whose record is unreadable may be live.
    pub(super) fn has_job_ended(&self, task: &TaskKey) -> bool {
        match self.jobs.get(&task.job) {
            Some(job) => job.ended,
            None => !self.unreadable.has_job(&task.job),
        }
    }
}
