//! Array tasks that are lent to other cells or borrowed from them: the ledgers, and what they mean for the
//! jobs here.

use milletlock_cells::{
    BorrowerChange, BorrowerLedger, LenderLedger, Lending, LoanNumber, LoanOffer, TaskSet,
};

use super::*;
use crate::records::LenderRecord;

/// Most decided loans, and refused ids, that are remembered beyond what the records say.
pub(super) const MAX_REMEMBERED: usize = 4_096;

/// A change of the records of loans, on its way to the state service.
#[derive(Clone, Debug)]
pub enum LoanWrite {
    /// What a job's record at its home says of loans.
    Home {
        /// The job.
        job: JobId,
        /// Its record from now on.
        record: Box<JobRecord>,
        /// The version that it replaces.
        mod_revision: u64,
        /// The loan that is made by it, if one is.
        made: Option<LoanNumber>,
    },
    /// What is kept of a borrowed job and of the cell it comes from.
    Guest {
        /// The change of the ledger.
        change: Box<BorrowerChange>,
        /// The version of the job's record that it replaces; 0: this cell has none from that home.
        job_stamp: u64,
        /// What is kept of the cell from now on.
        lender: LenderRecord,
        /// The version of what was kept of it.
        lender_stamp: u64,
    },
}

impl LoanWrite {
    /// The job that it is about.
    pub fn job(&self) -> &str {
        match self {
            LoanWrite::Home { job, .. } => job,
            LoanWrite::Guest { change, .. } => &change.job,
        }
    }
}

/// A record of a job of which something is lent, with its version.
#[derive(Debug)]
pub(super) struct LentJob {
    pub(super) record: JobRecord,
    pub(super) mod_revision: u64,
}

/// Loans made and held, as recorded.
#[derive(Debug)]
pub struct Loans {
    /// Loans that this cell has made.
    pub home: LenderLedger,
    /// Loans that it holds.
    pub guest: BorrowerLedger,
    pub(super) lent: BTreeMap<JobId, LentJob>,
    pub(super) lenders: BTreeMap<String, (LenderRecord, u64)>,
    /// Versions of the records of borrowed jobs.
    pub(super) borrowed: BTreeMap<String, u64>,
    /// Tasks of own jobs that are withheld for a write in flight, by job.
    pub(super) lending_in_flight: BTreeMap<JobId, TaskSet>,
    /// Tasks of borrowed jobs that are withheld for a write in flight, by job.
    pub(super) returning_in_flight: BTreeMap<JobId, TaskSet>,
    /// Writes without an answer, which are sent again until they have one.
    unresolved: Vec<LoanWrite>,
    /// Loans that their guests have said they hold.
    accepted: BTreeSet<LoanNumber>,
    /// Jobs that are known here from elsewhere, as a failed write showed.
    pub(super) known: BTreeSet<String>,
}

impl Loans {
    pub(super) fn new(fencing_token: u64) -> Loans {
        Loans {
            home: LenderLedger::new(fencing_token),
            guest: BorrowerLedger::default(),
            lent: BTreeMap::new(),
            lenders: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            lending_in_flight: BTreeMap::new(),
            returning_in_flight: BTreeMap::new(),
            unresolved: Vec::new(),
            accepted: BTreeSet::new(),
            known: BTreeSet::new(),
        }
    }

    /// Whether a write about an own job has no answer yet.
    pub fn is_lending(&self, job: &str) -> bool {
        self.lending_in_flight.contains_key(job)
    }

    /// Whether a write about a borrowed job has no answer yet.
    pub fn is_returning(&self, job: &str) -> bool {
        self.returning_in_flight.contains_key(job)
    }

    fn in_flight(&mut self, write: &LoanWrite) -> &mut BTreeMap<JobId, TaskSet> {
        match write {
            LoanWrite::Home { .. } => &mut self.lending_in_flight,
            LoanWrite::Guest { .. } => &mut self.returning_in_flight,
        }
    }

    /// Takes the writes that have no answer, to be sent again.
    pub fn take_unresolved(&mut self) -> Vec<LoanWrite> {
        std::mem::take(&mut self.unresolved)
    }

    /// A guest holds a loan or has closed it: the job need not be described to it any more.
    pub fn note_decided_by_guest(&mut self, number: LoanNumber) {
        self.accepted.insert(number);
        if self.accepted.len() > MAX_REMEMBERED {
            let is_open = |number: &LoanNumber| {
                self.lent
                    .values()
                    .any(|lent| lent.record.lending.loans.iter().any(|loan| loan.number == *number))
            };
            self.accepted.retain(is_open);
        }
    }

    /// The job to be described to a guest with a loan, unless the guest has decided on that.
    pub fn offer(&self, job: &str, number: LoanNumber) -> Option<LoanOffer> {
        if self.accepted.contains(&number) {
            return None;
        }
        let spec = &self.lent.get(job)?.record.spec;
        let description = serde_json::to_value(spec).ok()?;
        Some(LoanOffer { description, job_tasks: spec.tasks })
    }

    /// What is kept of the cells from which tasks are borrowed.
    pub fn lenders(&self) -> impl Iterator<Item = (&String, &LenderRecord)> {
        self.lenders.iter().map(|(cell, (record, _))| (cell, record))
    }

    pub(super) fn lender(&self, cell: &str) -> (LenderRecord, u64) {
        self.lenders.get(cell).copied().unwrap_or_default()
    }
}

impl Fleet {
    /// Takes what a job's record says of loans. Of a job that is being cancelled nothing may run.
    pub(super) fn apply_lending(&mut self, record: &JobRecord, mod_revision: u64) {
        let id: JobId = record.spec.id.as_str().into();
        if record.lending.is_empty() && self.loans.home.lending(&id).is_none() {
            return;
        }
        self.loans.home.load(&id, record.lending.clone());
        if record.lending.is_empty() {
            self.loans.lent.remove(&id);
        } else {
            self.loans.lent.insert(id.clone(), LentJob { record: record.clone(), mod_revision });
        }
        self.update_withheld(&id);
    }

    /// A job's record is gone, and its loans with it.
    pub(super) fn end_lending(&mut self, id: &str) {
        self.loans.home.remove(id);
        self.loans.lent.remove(id);
    }

    /// Withholds from starting what is lent or, of a borrowed job, not held here, and what a write in
    /// flight lends or gives back.
    pub(super) fn update_withheld(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (recorded, in_flight) = match job.borrowed_from {
            Some(_) => {
                let held = self.loans.guest.job(id).map(|record| record.tasks()).unwrap_or_default();
                let not_held = TaskSet::span(0, job.spec.tasks).difference(&held);
                (not_held, &self.loans.returning_in_flight)
            }
            None => {
                let lent = self.loans.home.lending(id).map(Lending::tasks).unwrap_or_default();
                (lent, &self.loans.lending_in_flight)
            }
        };
        let in_flight = in_flight.get(id).cloned().unwrap_or_default();
        job.withhold(recorded.union(&in_flight).iter().collect());
        self.dirty = true;
    }

    /// Tasks of a job that are recorded as done.
    pub fn recorded_done(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(|job| job.done_written.task_set()).unwrap_or_default()
    }

    /// Tasks of a job that are done, recorded yet or not.
    pub fn done_tasks(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(|job| job.done.task_set()).unwrap_or_default()
    }

    /// A write of loans was applied.
    pub fn loan_written(&mut self, write: &LoanWrite, revision: u64, now: Steady, wall: Wall) {
        self.loans.in_flight(write).remove(write.job());
        match write {
            LoanWrite::Home { job, record, made, .. } => {
                if let Some(number) = made {
                    self.loans.home.write_resolved(*number);
                }
                if record.lending.is_cancelled() {
                    self.end_lending(job);
                    self.job_ended(job, revision);
                } else {
                    self.apply_job_record((**record).clone(), revision, now);
                }
            }
            LoanWrite::Guest { change, lender, .. } => {
                self.inherit_lender(&change.lender, *lender, revision);
                match &change.record {
                    Some(record) => {
                        self.borrowed_put(&change.job, record.clone(), revision, now, wall);
                        self.stop_withdrawn(&change.job, &change.withdrawn);
                    }
                    None => self.borrowed_over(&change.job, &change.lender),
                }
            }
        }
        self.update_withheld(write.job());
    }

    /// A write of loans was not applied and never will be.
    pub fn loan_not_written(&mut self, write: &LoanWrite) {
        self.loans.in_flight(write).remove(write.job());
        if let LoanWrite::Home { made: Some(number), .. } = write {
            self.loans.home.write_resolved(*number);
        }
        self.update_withheld(write.job());
    }

    /// Whether a write of loans was applied is not known: it stays in flight and is sent again.
    pub fn loan_unresolved(&mut self, write: LoanWrite) {
        self.loans.unresolved.push(write);
    }

    /// Whether this cell lends or borrows.
    pub fn uses_cells(&self) -> bool {
        self.config.operator.cells.is_some()
    }
}
