//! Array tasks that are lent to other cells or borrowed from them: the ledgers, and which tasks of the
//! jobs here must not start because of them.

use std::collections::{BTreeMap, BTreeSet};

use milletlock_cells::{
    BorrowerChange, BorrowerLedger, LenderLedger, Lending, LoanNumber, LoanOffer, TaskSet,
};

use super::Fleet;
use crate::jobs::{Job, JobId};
use crate::records::{JobRecord, LenderRecord};
use crate::time::{Steady, Wall};

/// Most decided loans, and refused job ids, that are remembered beyond what the records say.
pub(super) const MAX_REMEMBERED: usize = 4_096;

/// A change of the records of loans, on its way to the state store.
#[derive(Clone, Debug)]
pub enum LoanWrite {
    /// As the lender: what the record of a job of this cell says of its loans.
    Lender {
        /// The job.
        job: JobId,
        /// Its record from now on.
        record: Box<JobRecord>,
        /// The revision of the record that it replaces.
        mod_revision: u64,
        /// The revision of the placeholder that is stored with that record; 0: there is none.
        placeholder_revision: u64,
        /// The loan that it makes, if it makes one.
        new_loan: Option<LoanNumber>,
    },
    /// As the borrower: the records of a borrowed job and of the cell it comes from.
    Borrower {
        /// The change of the ledger.
        change: Box<BorrowerChange>,
        /// The revision of the job's record that it replaces; 0: this cell has none from that lender.
        job_revision: u64,
        /// The record of the lender from now on.
        lender: LenderRecord,
        /// The revision of the lender's record that it replaces.
        lender_revision: u64,
    },
}

impl LoanWrite {
    /// The id of the job whose loans it changes.
    pub fn job(&self) -> &str {
        match self {
            LoanWrite::Lender { job, .. } => job,
            LoanWrite::Borrower { change, .. } => &change.job,
        }
    }
}

/// The record of a job of which tasks are lent, with its revision.
#[derive(Debug)]
pub(super) struct LentJob {
    pub(super) record: JobRecord,
    pub(super) mod_revision: u64,
}

/// The record of a cell from which tasks are borrowed, with its revision; 0: none is written yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownLender {
    pub(super) record: LenderRecord,
    pub(super) mod_revision: u64,
}

/// Loans made and held, as recorded.
#[derive(Debug)]
pub struct Loans {
    /// Loans that this cell has made.
    pub lender_ledger: LenderLedger,
    /// Loans that this cell holds.
    pub borrower_ledger: BorrowerLedger,
    /// Jobs of this cell of which tasks are lent.
    pub(super) lent: BTreeMap<JobId, LentJob>,
    /// By name: the cells from which tasks are or were borrowed.
    pub(super) lenders: BTreeMap<String, KnownLender>,
    /// Revisions of the records of borrowed jobs.
    pub(super) borrowed: BTreeMap<String, u64>,
    /// Tasks of own jobs that are withheld for a write in flight, by job.
    pub(super) lending_in_flight: BTreeMap<JobId, TaskSet>,
    /// Tasks of borrowed jobs that are withheld for a write in flight, by job.
    pub(super) returning_in_flight: BTreeMap<JobId, TaskSet>,
    /// Revisions of placeholders that 0.3.0 to 0.3.2 left behind when they wrote the records back, by job.
    pub(super) leftover_placeholders: BTreeMap<JobId, u64>,
    /// Writes whose outcome is unknown, which are sent again until it is known.
    unresolved: Vec<LoanWrite>,
    /// Loans on which their borrowers have decided.
    decided: BTreeSet<LoanNumber>,
    /// Ids of jobs that were accepted in this cell, as a failed write showed.
    pub(super) own_job_ids: BTreeSet<String>,
}

impl Loans {
    pub(super) fn new(fencing_token: u64) -> Loans {
        Loans {
            lender_ledger: LenderLedger::new(fencing_token),
            borrower_ledger: BorrowerLedger::default(),
            lent: BTreeMap::new(),
            lenders: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            lending_in_flight: BTreeMap::new(),
            returning_in_flight: BTreeMap::new(),
            leftover_placeholders: BTreeMap::new(),
            unresolved: Vec::new(),
            decided: BTreeSet::new(),
            own_job_ids: BTreeSet::new(),
        }
    }

    /// Whether the outcome of a write about an own job is not known yet.
    pub fn is_lending(&self, job: &str) -> bool {
        self.lending_in_flight.contains_key(job)
    }

    /// Whether the outcome of a write about a borrowed job is not known yet.
    pub fn is_returning(&self, job: &str) -> bool {
        self.returning_in_flight.contains_key(job)
    }

    /// The tasks that are withheld for writes in flight of the same side as `write`.
    fn in_flight(&mut self, write: &LoanWrite) -> &mut BTreeMap<JobId, TaskSet> {
        match write {
            LoanWrite::Lender { .. } => &mut self.lending_in_flight,
            LoanWrite::Borrower { .. } => &mut self.returning_in_flight,
        }
    }

    /// Takes the writes whose outcome is unknown, to be sent again.
    pub fn take_unresolved(&mut self) -> Vec<LoanWrite> {
        std::mem::take(&mut self.unresolved)
    }

    /// Notes that a borrower holds a loan or has closed it: its description need not be sent again.
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

    /// The description of the job that goes to a borrower with a loan; none if the borrower has decided
    /// on the loan, or the job is not lent.
    pub fn offer(&self, job: &str, number: LoanNumber) -> Option<LoanOffer> {
        if self.decided.contains(&number) {
            return None;
        }
        let spec = &self.lent.get(job)?.record.spec;
        let description = serde_json::to_value(spec).ok()?;
        Some(LoanOffer { description, job_tasks: spec.tasks })
    }

    /// By name: the records of the cells from which tasks are or were borrowed.
    pub fn lenders(&self) -> impl Iterator<Item = (&String, &LenderRecord)> {
        self.lenders.iter().map(|(cell, lender)| (cell, &lender.record))
    }

    /// The record of a cell from which tasks are borrowed; an empty one if none is written yet.
    pub(super) fn lender(&self, cell: &str) -> KnownLender {
        self.lenders.get(cell).copied().unwrap_or_default()
    }
}

impl Fleet {
    /// Applies the loans in a job's record. No task of a job that is being cancelled may run.
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

    /// Drops the loans of a job whose record is gone.
    pub(super) fn end_lending(&mut self, id: &str) {
        self.loans.lender_ledger.remove(id);
        self.loans.lent.remove(id);
        self.loans.leftover_placeholders.remove(id);
    }

    /// Withholds the tasks of a job that must not start here: those that are lent or, of a borrowed job,
    /// not on loan to this cell, and those that a write in flight lends or returns.
    pub(super) fn update_withheld(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (recorded, in_flight) = match job.borrowed_from {
            Some(_) => {
                let record = self.loans.borrower_ledger.job(id);
                let held = record.map(|record| record.tasks()).unwrap_or_default();
                let not_held = TaskSet::span(0, job.spec.tasks).difference(&held);
                (not_held, &self.loans.returning_in_flight)
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

    /// Tasks of a job that are recorded as done.
    pub fn recorded_done(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(Job::recorded_done).unwrap_or_default()
    }

    /// Tasks of a borrowed job that are recorded as done; none of a job of this cell that has its id.
    pub fn recorded_done_of_borrowed(&self, id: &str) -> TaskSet {
        let borrowed = self.jobs.get(id).filter(|job| job.borrowed_from.is_some());
        borrowed.map(Job::recorded_done).unwrap_or_default()
    }

    /// Tasks of a job that are done, recorded yet or not.
    pub fn done_tasks(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(|job| job.done.task_set()).unwrap_or_default()
    }

    /// Applies a write of loans that the state store executed at a revision.
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
                    self.job_ended(job, revision);
                } else {
                    self.apply_job_record((**record).clone(), revision, now);
                }
            }
            LoanWrite::Borrower { change, lender, .. } => {
                self.load_lender(&change.lender, *lender, revision);
                match &change.record {
                    Some(record) => {
                        self.apply_borrowed_record(&change.job, record.clone(), revision, now, wall);
                        self.stop_withdrawn(&change.job, &change.withdrawn);
                    }
                    None => self.end_borrowing(&change.job, &change.lender),
                }
            }
        }
        self.update_withheld(write.job());
    }

    /// Discards a write of loans that the state store did not execute and never will.
    pub fn discard_loan_write(&mut self, write: &LoanWrite) {
        self.loans.in_flight(write).remove(write.job());
        if let LoanWrite::Lender { new_loan: Some(number), .. } = write {
            self.loans.lender_ledger.mark_write_resolved(*number);
        }
        self.update_withheld(write.job());
    }

    /// Queues a write of loans whose outcome is unknown: it stays in flight and is sent again.
    pub fn queue_unresolved_loan_write(&mut self, write: LoanWrite) {
        self.loans.unresolved.push(write);
    }

    /// Version of the record of an own job, live or being cancelled with loans; 0: it has none.
    pub fn job_record_revision(&self, id: &str) -> u64 {
        let live = self.jobs.get(id).filter(|job| !job.ended && job.borrowed_from.is_none());
        let lent = self.loans.lent.get(id).map(|lent| lent.mod_revision);
        live.map(|job| job.mod_revision).or(lent).unwrap_or(0)
    }

    /// The revision of the placeholder that is stored with the record of an own job; 0: there is none.
    pub fn placeholder_revision(&self, id: &str) -> u64 {
        if let Some(revision) = self.loans.leftover_placeholders.get(id) {
            return *revision;
        }
        let lent = self.loans.lent.get(id).filter(|lent| lent.record.has_placeholder());
        lent.map_or(0, |lent| lent.mod_revision)
    }

    /// Notes that the record of a job was restored, which 0.3.0 to 0.3.2 had written back without its
    /// placeholder.
    pub fn record_leftover_placeholder(&mut self, id: JobId, revision: u64) {
        self.loans.leftover_placeholders.insert(id, revision);
    }

    /// Writes of the records that were restored.
    pub fn begin_record_restores(&mut self) -> Vec<LoanWrite> {
        let restored: Vec<JobId> = self.loans.leftover_placeholders.keys().cloned().collect();
        restored.iter().filter_map(|job| self.rewrite_record(job)).collect()
    }

    /// Version of the record of a borrowed job; 0: it has none.
    pub fn borrowed_record_revision(&self, id: &str) -> u64 {
        self.loans.borrowed.get(id).copied().unwrap_or(0)
    }
}
