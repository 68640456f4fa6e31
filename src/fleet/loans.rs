//! Loans of array tasks to other cells and from them: the ledgers of the loans, and the tasks of this cell's
//! jobs that must not start because of them.

use std::collections::{BTreeMap, BTreeSet};

use milletlock_cells::{
    BorrowerChange, BorrowerLedger, LenderLedger, Lending, LoanNumber, LoanOffer, TaskSet,
};

use super::record_revisions::RecordRevisions;
use super::Fleet;
use crate::jobs::{Job, JobId};
use crate::keys::borrowed_key;
use crate::records::{JobRecord, LenderRecord};
use crate::time::{Steady, Wall};

/// The maximum number of decided loans, and of ids of own jobs, that are remembered in addition to the stored
/// records.
pub(super) const MAX_REMEMBERED: usize = 4_096;

/// A write to the state store that changes the records of loans.
#[derive(Clone, Debug)]
pub enum LoanWrite {
    /// As the lender: a new record of a job of this cell, with changed loans.
    Lender {
        /// The id of the job.
        job: JobId,
        /// The new record of the job.
        record: Box<JobRecord>,
        /// The revision of the record that the write replaces.
        mod_revision: u64,
        /// The revision of the placeholder that is stored with the replaced record; 0 if there is none.
        placeholder_revision: u64,
        /// The number of the loan that the write makes, if it makes one.
        new_loan: Option<LoanNumber>,
    },
    /// As the borrower: new records of a borrowed job and of its lender.
    Borrower {
        /// The change of the borrower ledger.
        change: Box<BorrowerChange>,
        /// The revision of the job's record that the write replaces; 0 if this cell has none from that
        /// lender.
        job_revision: u64,
        /// The new record of the lender.
        lender: LenderRecord,
        /// The revision of the lender's record that the write replaces; 0 if there is none.
        lender_revision: u64,
    },
}

impl LoanWrite {
    /// The id of the job whose loans the write changes.
    pub fn job(&self) -> &str {
        match self {
            LoanWrite::Lender { job, .. } => job,
            LoanWrite::Borrower { change, .. } => &change.job,
        }
    }
}

/// A loan write that was sent and whose outcome is unknown: the state store may have executed it, or may still
/// do so. That a retry is refused says nothing of the copies that were sent before.
#[derive(Clone, Debug)]
pub struct UnresolvedLoanWrite(LoanWrite);

impl UnresolvedLoanWrite {
    /// The write to send again.
    pub fn write(&self) -> &LoanWrite {
        &self.0
    }
}

/// The record of a job with loans to other cells, with its revision.
#[derive(Debug)]
pub(super) struct LentJob {
    pub(super) record: JobRecord,
    pub(super) mod_revision: u64,
}

/// The loans that this cell has made and those that it has accepted, according to the stored records.
#[derive(Debug)]
pub struct Loans {
    /// The loans that this cell has made as the lender.
    pub lender_ledger: LenderLedger,
    /// The loans that this cell has accepted as the borrower.
    pub borrower_ledger: BorrowerLedger,
    /// Jobs of this cell whose records have loans or a cancellation in progress.
    pub(super) lent: BTreeMap<JobId, LentJob>,
    /// The records of the cells from which tasks are or were borrowed, by name.
    pub(super) lenders: BTreeMap<String, LenderRecord>,
    /// The revisions of the records of borrowed jobs and of the cells from which tasks are borrowed.
    pub(super) revisions: RecordRevisions,
    /// Own jobs with a loan write in flight, each with the tasks that are withheld because of the write.
    pub(super) lending_in_flight: BTreeMap<JobId, TaskSet>,
    /// Borrowed jobs with a loan write in flight, each with the tasks that are withheld because of the write.
    pub(super) returning_in_flight: BTreeMap<JobId, TaskSet>,
    /// The revisions of leftover placeholders, by job. Versions 0.3.0 to 0.3.2 rewrite a job record that is
    /// in the held form without the field `held`, and leave its placeholder in the state store.
    pub(super) leftover_placeholders: BTreeMap<JobId, u64>,
    /// Loan writes whose outcome is unknown. They are sent again until the outcome is known.
    unresolved: Vec<UnresolvedLoanWrite>,
    /// Loans that their borrowers have accepted or closed.
    decided: BTreeSet<LoanNumber>,
    /// Ids of jobs that were accepted in this cell and may not be in the model. A failed write has shown each
    /// of them.
    pub(super) own_job_ids: BTreeSet<String>,
}

impl Loans {
    pub(super) fn new(fencing_token: u64) -> Loans {
        Loans {
            lender_ledger: LenderLedger::new(fencing_token),
            borrower_ledger: BorrowerLedger::default(),
            lent: BTreeMap::new(),
            lenders: BTreeMap::new(),
            revisions: RecordRevisions::default(),
            lending_in_flight: BTreeMap::new(),
            returning_in_flight: BTreeMap::new(),
            leftover_placeholders: BTreeMap::new(),
            unresolved: Vec::new(),
            decided: BTreeSet::new(),
            own_job_ids: BTreeSet::new(),
        }
    }

    /// Whether a loan write for an own job is in flight, so that its outcome is not known yet.
    pub fn has_lender_write_in_flight(&self, job: &str) -> bool {
        self.lending_in_flight.contains_key(job)
    }

    /// Whether a loan write for a borrowed job is in flight, so that its outcome is not known yet.
    pub fn has_borrower_write_in_flight(&self, job: &str) -> bool {
        self.returning_in_flight.contains_key(job)
    }

    /// The jobs with writes in flight on the same side as `write`, as the lender or as the borrower, with the
    /// tasks that are withheld.
    fn in_flight(&mut self, write: &LoanWrite) -> &mut BTreeMap<JobId, TaskSet> {
        match write {
            LoanWrite::Lender { .. } => &mut self.lending_in_flight,
            LoanWrite::Borrower { .. } => &mut self.returning_in_flight,
        }
    }

    /// Takes the writes whose outcome is unknown, so that the caller sends them again.
    pub fn take_unresolved(&mut self) -> Vec<UnresolvedLoanWrite> {
        std::mem::take(&mut self.unresolved)
    }

    /// Marks a loan as decided by its borrower, which has accepted or closed it. The job's description is
    /// then not sent again. If too many loans are marked, those that are no longer open are dropped.
    pub fn mark_decided_by_borrower(&mut self, number: LoanNumber) {
        self.decided.insert(number);
        if self.decided.len() > MAX_REMEMBERED {
            let is_open = |number: &LoanNumber| {
                let mut loans = self.lent.values().flat_map(|lent| &lent.record.lending.loans);
                loans.any(|loan| loan.number == *number)
            };
            self.decided.retain(is_open);
        }
    }

    /// The offer with the job's description that is sent to a borrower with a loan. `None` if the borrower
    /// has decided on the loan, or if the job has no loans.
    pub fn offer(&self, job: &str, number: LoanNumber) -> Option<LoanOffer> {
        if self.decided.contains(&number) {
            return None;
        }
        let spec = &self.lent.get(job)?.record.spec;
        let description = serde_json::to_value(spec).ok()?;
        Some(LoanOffer { description, job_tasks: spec.tasks })
    }

    /// The names and records of the cells from which tasks are or were borrowed.
    pub fn lenders(&self) -> impl Iterator<Item = (&String, &LenderRecord)> {
        self.lenders.iter()
    }

    /// The record of a cell from which tasks are borrowed; an empty record if none is stored yet.
    pub(super) fn lender(&self, cell: &str) -> LenderRecord {
        self.lenders.get(cell).copied().unwrap_or_default()
    }

    /// Whether the state of the record of a borrowed job or of a lender, as of a revision, may be older than
    /// what is known of it.
    pub fn is_outdated(&self, key: &str, as_of: u64) -> bool {
        self.revisions.is_outdated(key, as_of)
    }
}

impl Fleet {
    /// The latest known revision of the records of jobs, own and borrowed, and of lenders. A read of such a record
    /// that is sent from now on returns a state that is at least this new.
    pub fn known_revision(&self) -> u64 {
        self.jobs_revision().max(self.loans.revisions.latest())
    }

    /// Applies the loans in a job's record. The caller ends a job that is being cancelled before this call,
    /// since none of its tasks may run.
    pub(super) fn apply_lending(&mut self, record: &JobRecord, mod_revision: u64) {
        let id: JobId = record.spec.id.as_str().into();
        if record.lending.is_empty() && self.loans.lender_ledger.lending(&id).is_none() {
            return;
        }
        self.loans.lender_ledger.load(&id, record.lending.clone());
        if record.lending.is_empty() {
            self.loans.lent.remove(&id);
        } else {
            self.loans.lent.insert(id.clone(), LentJob { record: record.clone(), mod_revision });
            if let Some(job) = self.jobs.get_mut(&id) {
                job.copy.is_kept = true;
                job.copy.record_start_mark(record.start_mark);
            }
        }
        self.update_withheld(&id);
    }

    /// Removes the loans of an own job whose record was deleted.
    pub(super) fn end_lending(&mut self, id: &str) {
        self.loans.lender_ledger.remove(id);
        self.loans.lent.remove(id);
        self.loans.leftover_placeholders.remove(id);
    }

    /// Updates the set of tasks of a job that must not start in this cell. For an own job it contains the
    /// lent tasks, for a borrowed job the tasks that this cell has not borrowed. Tasks that a write in flight
    /// lends or returns are in the set as well.
    pub(super) fn update_withheld(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (recorded, in_flight) = match job.borrowed_from {
            Some(_) => {
                let record = self.loans.borrower_ledger.job(id);
                let borrowed = record.map(|record| record.tasks()).unwrap_or_default();
                let not_borrowed = TaskSet::span(0, job.spec.tasks).difference(&borrowed);
                (not_borrowed, &self.loans.returning_in_flight)
            }
            None => {
                let lending = self.loans.lender_ledger.lending(id);
                (lending.map(Lending::tasks).unwrap_or_default(), &self.loans.lending_in_flight)
            }
        };
        let in_flight = in_flight.get(id).cloned().unwrap_or_default();
        job.withhold(recorded.union(&in_flight).iter().collect());
        self.dirty = true;
    }

    /// The tasks of a job that are stored as done.
    pub fn recorded_done(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(Job::recorded_done).unwrap_or_default()
    }

    /// The tasks of a borrowed job that are stored as done. Empty if the job with this id was accepted in
    /// this cell.
    pub fn recorded_done_of_borrowed(&self, id: &str) -> TaskSet {
        let borrowed = self.jobs.get(id).filter(|job| job.borrowed_from.is_some());
        borrowed.map(Job::recorded_done).unwrap_or_default()
    }

    /// The tasks of a job that are done, whether or not they are stored as done yet.
    pub fn done_tasks(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(|job| job.done.task_set()).unwrap_or_default()
    }

    /// Applies a loan write that the state store has executed at `revision`.
    pub fn apply_loan_write(&mut self, write: &LoanWrite, revision: u64, now: Steady, wall: Wall) {
        self.loans.in_flight(write).remove(write.job());
        match write {
            LoanWrite::Lender { job, record, new_loan, .. } => {
                if let Some(number) = new_loan {
                    self.loans.lender_ledger.mark_write_resolved(*number);
                }
                self.loans.leftover_placeholders.remove(job);
                if record.lending.is_cancelled() {
                    self.end_lending(job);
                    self.apply_job_removal(job, revision);
                } else {
                    self.apply_job_record((**record).clone(), revision, now);
                }
            }
            LoanWrite::Borrower { change, lender, .. } => {
                self.apply_lender_record(&change.lender, *lender, revision);
                match &change.record {
                    Some(record) => {
                        self.apply_borrowed_record(&change.job, record.clone(), revision, now, wall);
                        self.stop_withdrawn(&change.job, &change.withdrawn);
                    }
                    None => self.end_borrowing(&change.job, &change.lender, revision),
                }
            }
        }
        self.update_withheld(write.job());
    }

    /// Discards a loan write that the state store has not executed and will never execute.
    pub fn discard_loan_write(&mut self, write: &LoanWrite) {
        self.loans.in_flight(write).remove(write.job());
        if let LoanWrite::Lender { new_loan: Some(number), .. } = write {
            self.loans.lender_ledger.mark_write_resolved(*number);
        }
        self.update_withheld(write.job());
    }

    /// Queues a loan write whose outcome is unknown. It stays in flight and is sent again.
    pub fn queue_unresolved_loan_write(&mut self, write: LoanWrite) {
        self.loans.unresolved.push(UnresolvedLoanWrite(write));
    }

    /// The revision of the record of an own job, live or being cancelled while it has loans; 0 if there is no
    /// record.
    pub fn job_record_revision(&self, id: &str) -> u64 {
        let live = self.jobs.get(id).filter(|job| !job.ended && job.borrowed_from.is_none());
        let lent = self.loans.lent.get(id).map(|lent| lent.mod_revision);
        live.map(|job| job.mod_revision).or(lent).unwrap_or(0)
    }

    /// The revision of the placeholder that is stored with the record of an own job; 0 if there is none.
    pub fn placeholder_revision(&self, id: &str) -> u64 {
        if let Some(revision) = self.loans.leftover_placeholders.get(id) {
            return *revision;
        }
        let lent = self.loans.lent.get(id).filter(|lent| lent.record.has_placeholder());
        lent.map_or(0, |lent| lent.mod_revision)
    }

    /// Records the revision of the placeholder from which a job's record was restored. Versions 0.3.0 to
    /// 0.3.2 had rewritten the record without the field `held`, whose values the placeholder still contains.
    pub fn record_leftover_placeholder(&mut self, id: JobId, revision: u64) {
        self.loans.leftover_placeholders.insert(id, revision);
    }

    /// Begins the writes that store the restored records of jobs with leftover placeholders.
    pub fn begin_record_restores(&mut self) -> Vec<LoanWrite> {
        let restored: Vec<JobId> = self.loans.leftover_placeholders.keys().cloned().collect();
        restored.iter().filter_map(|job| self.rewrite_record(job)).collect()
    }

    /// The revision of the record of a borrowed job; 0 if there is no record.
    pub fn borrowed_record_revision(&self, id: &str) -> u64 {
        self.loans.revisions.get(&borrowed_key(id))
    }
}
