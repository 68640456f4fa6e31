//! Admission of borrowed tasks: the capacity that this cell announces to other cells, and the check of the
//! loans that they offer.

use std::collections::BTreeMap;

use milletlock_cells::{
    BorrowRefusal, BorrowedJob, CellSummary, LoanItem, LoanOffer, LocalTasks, TaskSet, SUMMARY_FORMAT,
};

use super::borrowing::is_array_without_rules;
use super::{check_runnable, Fleet};
use crate::time::Wall;
use crate::wire::JobSpec;

/// The largest backlog of its own arrays, in seconds of its machines' time, with which a cell borrows tasks.
const MAX_BACKLOG_S: f64 = 1.0;

impl Fleet {
    /// The summary of this cell's capacity that is sent to the other cells.
    pub fn cell_summary(&self, wall: Wall) -> CellSummary {
        let backlog_s = self.array_backlog_s();
        let mut free_cpus: BTreeMap<String, f64> =
            self.catalog.types.iter().map(|machine_type| (machine_type.name.clone(), 0.0)).collect();
        for machine in self.machines_in_use() {
            let Some(type_index) = machine.type_index else { continue };
            let free = machine.free(self.type_capacity(type_index)).cpus.max(0.0);
            *free_cpus.entry(machine.type_name.clone()).or_default() += free;
        }
        CellSummary {
            format: SUMMARY_FORMAT,
            composed_us: wall.0,
            free_cpus,
            spare_cpus: if backlog_s > MAX_BACKLOG_S { 0.0 } else { self.spare_cpus() },
            backlog_s,
        }
    }

    /// The number of processors that further borrowed tasks may take: the operator setting `borrow_cpus`,
    /// less those of the borrowed tasks that are not done.
    fn spare_cpus(&self) -> f64 {
        let Some(cells) = &self.config.operator.cells else { return 0.0 };
        let borrowed_cpus = |(id, record): (&String, &BorrowedJob)| {
            let Some(job) = self.jobs.get(id.as_str()) else { return 0.0 };
            f64::from(record.tasks().difference(&job.done.task_set()).len()) * job.spec.cpus
        };
        let borrowed: f64 = self.loans.borrower_ledger.jobs().map(borrowed_cpus).sum();
        (cells.borrow_cpus - borrowed).max(0.0)
    }

    /// The view of this cell's borrowed tasks that its borrower ledger needs.
    pub fn local_tasks(&self) -> BorrowedTasks<'_> {
        BorrowedTasks { fleet: self, backlog_s: self.array_backlog_s() }
    }
}

/// A view of the borrowed tasks and the capacity of this cell, for its borrower ledger.
pub struct BorrowedTasks<'a> {
    fleet: &'a Fleet,
    backlog_s: f64,
}

impl BorrowedTasks<'_> {
    /// Parses the description of the job in an offer.
    fn parse(item: &LoanItem, offer: &LoanOffer) -> Result<JobSpec, BorrowRefusal> {
        let spec = JobSpec::parse(offer.description.to_string().as_bytes())
            .map_err(|error| BorrowRefusal::MalformedDescription(error.to_string()))?;
        if spec.id != item.job || spec.tasks != offer.job_tasks {
            return Err(BorrowRefusal::MalformedDescription("the job differs from its description".into()));
        }
        Ok(spec)
    }

    /// Whether a job with this id was accepted in this cell.
    fn is_own_job(&self, id: &str) -> bool {
        let loans = &self.fleet.loans;
        let is_live = self.fleet.jobs.get(id).is_some_and(|job| job.borrowed_from.is_none());
        is_live || loans.own_job_ids.contains(id) || loans.lent.contains_key(id)
    }

    /// Checks that this cell may run tasks of a job for another cell at all.
    fn check_job(&self, spec: &JobSpec) -> Result<(), BorrowRefusal> {
        let fleet = self.fleet;
        if !is_array_without_rules(spec) {
            return Err(BorrowRefusal::NotBorrowable);
        }
        let cells = fleet.config.operator.cells.as_ref();
        if !cells.is_some_and(|cells| cells.borrows(spec.class.as_ref())) {
            return Err(BorrowRefusal::ClassNotBorrowed(spec.class.clone().unwrap_or_default()));
        }
        check_runnable(spec, &fleet.config, &fleet.catalog.types)
            .map_err(|reason| BorrowRefusal::NotRunnable(reason.to_string()))
    }

    /// Checks that this cell has capacity for the tasks of a loan now, and that the job's record with the
    /// loan fits a state-store value.
    fn check_capacity(&self, item: &LoanItem, spec: &JobSpec) -> Result<(), BorrowRefusal> {
        let fleet = self.fleet;
        let cpus = f64::from(item.tasks.len()) * spec.cpus;
        let record = fleet.loans.borrower_ledger.job(&item.job);
        let loans = record.map(|record| record.loans.as_slice()).unwrap_or_default();
        let borrowed = loans.iter().map(|loan| loan.tasks.len());
        let fits_record = item.tasks.len() <= fleet.tasks_that_fit(spec, borrowed);
        if !fits_record || self.backlog_s > MAX_BACKLOG_S || cpus > fleet.spare_cpus() {
            return Err(BorrowRefusal::NoCapacity(item.tasks.len()));
        }
        Ok(())
    }
}

impl LocalTasks for BorrowedTasks<'_> {
    /// A waiting task below the start mark that this leader loaded counts as started: an earlier leader may
    /// have started it, and it may have been stopped since.
    fn unstarted(&self, job: &str, tasks: &TaskSet) -> TaskSet {
        let Some(job) = self.fleet.jobs.get(job).filter(|job| job.borrowed_from.is_some()) else {
            return TaskSet::new();
        };
        let has_never_started = |task: &u32| {
            *task >= job.inherited_start_mark && job.waiting.contains(*task) && !job.started.contains(*task)
        };
        tasks.iter().filter(has_never_started).collect()
    }

    fn admit(&self, item: &LoanItem, offer: &LoanOffer) -> Result<(), BorrowRefusal> {
        let spec = Self::parse(item, offer)?;
        if self.is_own_job(&item.job) {
            return Err(BorrowRefusal::JobIdInUse);
        }
        self.check_job(&spec)?;
        self.check_capacity(item, &spec)
    }
}
