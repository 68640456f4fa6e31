//! Stored records that this version cannot read: of a later version, or damaged.
//!
//! That a record cannot be read does not show that there is none. What belongs to such a job is kept as it is,
//! its tasks run on, and nothing of it starts on a guess, until a leader reads the record.

use std::collections::BTreeSet;
use std::fmt::Display;

use milletlock_cells::{LoanNumber, LoanSyncRequest};
use serde::Serialize;

use super::machine::TaskKey;
use super::{Fleet, PendingWrite};
use crate::keys::{job_key, lent_done_key, lent_start_mark_key};
use crate::time::Steady;

/// Most keys of unreadable records that the status names.
const MAX_LISTED_KEYS: usize = 100;

/// The records that the leader could not read.
#[derive(Debug, Default)]
pub(super) struct UnreadableRecords {
    keys: BTreeSet<String>,
    /// Own jobs whose record itself cannot be read.
    jobs: BTreeSet<String>,
    /// Borrowed jobs whose record itself cannot be read.
    borrowed_jobs: BTreeSet<String>,
    /// Jobs, own or borrowed, of which done ranges or a start mark cannot be read.
    jobs_of_rows: BTreeSet<String>,
    /// Live jobs that cannot be ended for what stands under the key of their final record.
    jobs_of_finals: BTreeSet<String>,
    /// Cells from which tasks are or were borrowed, whose record cannot be read.
    lenders: BTreeSet<String>,
    /// Whether a value of start marks cannot be read.
    has_start_marks: bool,
    /// Whether a value of machine records cannot be read.
    has_machines: bool,
}

impl UnreadableRecords {
    /// Whether a record of a job cannot be read: nothing of it starts, and nothing of it is removed.
    pub(super) fn blocks_job(&self, id: &str) -> bool {
        self.jobs_of_rows.contains(id) || self.cannot_end(id) || self.has_job(id)
    }

    /// Whether a live job cannot be ended for what stands under the key of its final record.
    pub(super) fn cannot_end(&self, id: &str) -> bool {
        self.jobs_of_finals.contains(id)
    }

    /// Whether a job's own record cannot be read: it may be live though it is not known.
    pub(super) fn has_job(&self, id: &str) -> bool {
        self.jobs.contains(id) || self.borrowed_jobs.contains(id)
    }
}

/// What a record that cannot be read stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadableRecord<'a> {
    /// The record of an own job.
    Job(&'a str),
    /// The record of a borrowed job.
    BorrowedJob(&'a str),
    /// Done ranges or a start mark of a job, own or borrowed.
    OfJob(&'a str),
    /// What stands under the key of a live job's final record.
    Final(&'a str),
    /// The record of a cell from which tasks are borrowed.
    Lender(&'a str),
    /// A value of packed start marks.
    StartMarks,
    /// A value of packed machine records.
    Machines,
    /// One on which no start rests.
    Other,
}

/// The records that cannot be read, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreadableView {
    /// How many they are.
    pub count: usize,
    /// The first of their keys.
    pub keys: Vec<String>,
}

impl Fleet {
    /// Notes that the record under a key cannot be read, and logs it once.
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
                unreadable.jobs_of_rows.insert(id.to_string());
            }
            UnreadableRecord::Final(id) => {
                unreadable.jobs_of_finals.insert(id.to_string());
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

    /// Whether a record of a job cannot be read.
    pub fn is_blocked_by_unreadable_record(&self, id: &str) -> bool {
        self.unreadable.blocks_job(id)
    }

    /// Whether a write of a job's progress replaces a row that cannot be read: it would be refused each time, and
    /// hold up those in the same transaction.
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

    /// Whether the record of an own job could not be read, and the job is not known.
    pub fn is_unreadable_job(&self, id: &str) -> bool {
        self.unreadable.jobs.contains(id) && !self.jobs.contains_key(id)
    }

    /// The record of a known job can be read again, or is gone.
    pub(super) fn mark_job_readable(&mut self, id: &str) {
        if self.unreadable.jobs.remove(id) {
            self.unreadable.keys.remove(&job_key(id));
            self.dirty = true;
        }
    }

    /// The number of unreadable records, with the first of their keys.
    pub(super) fn unreadable_view(&self) -> UnreadableView {
        let keys = &self.unreadable.keys;
        UnreadableView { count: keys.len(), keys: keys.iter().take(MAX_LISTED_KEYS).cloned().collect() }
    }

    /// Without a start mark that can be read, any task of a job may have been started.
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

    /// Whether machines of which no record can be read may still run tasks: no leader renews their leases
    /// any more once an earlier one has lost the state store for too long.
    pub(super) fn may_have_unknown_machines(&self, now: Steady) -> bool {
        self.unreadable.has_machines && now < self.failover_at + self.earlier_leases_end_after()
    }

    /// The horizon of messages to borrowers: a job whose record cannot be read may have any loan.
    pub fn horizon_unless_unreadable(&self, horizon: LoanNumber) -> LoanNumber {
        if self.unreadable.jobs.is_empty() {
            horizon
        } else {
            LoanNumber::default()
        }
    }

    /// A lender's message without what cannot be decided here, since a record about it cannot be read;
    /// `None` if that is all of it.
    pub fn without_unreadable(&self, request: &LoanSyncRequest) -> Option<LoanSyncRequest> {
        if self.unreadable.lenders.contains(&request.from) {
            return None;
        }
        let mut readable = request.clone();
        readable.loans.retain(|item| !self.is_blocked_by_unreadable_record(&item.job));
        if readable.loans.len() < request.loans.len() {
            // Loans that are left out are not closed.
            readable.horizon = LoanNumber::default();
        }
        Some(readable)
    }

    /// Keeps what was left of a job that turned out to have a record, and holds the job: what is done of it is
    /// not known here.
    pub fn cancel_removals_of_job(&mut self, id: &str) {
        let removals = self.cleanup.rows.len();
        self.cleanup.rows.retain(|key, _| key.split('/').all(|part| part != id));
        if self.cleanup.rows.len() < removals {
            self.mark_unreadable(UnreadableRecord::OfJob(id), &job_key(id), &"the job was taken for ended");
        }
    }

    /// Whether the job of a task has ended, or there is none.
    pub(super) fn has_job_ended(&self, task: &TaskKey) -> bool {
        match self.jobs.get(&task.job) {
            Some(job) => job.ended,
            None => !self.unreadable.has_job(&task.job),
        }
    }
}
