//! The operators' view of loans, and their decision to write off the loans of a lost cell.

use std::collections::BTreeMap;

use milletlock_cells::{BorrowedJob, Lending, Loan};

use super::loan_writes::LoanOutcome;
use super::responses::redirect;
use super::{Controller, Leadership, SharedState};
use crate::fleet::Fleet;
use crate::http::{status, Request, Response};
use crate::wire::{
    BorrowedStatus, CellsStatus, LentProgressStatus, LentStatus, OtherCellStatus, WrittenOff, WRITE_OFF_PATH,
};

impl Controller {
    /// Loans in both directions; none where cells are not in use.
    pub(super) fn cells_status(&self, shared: &SharedState, leadership: &Leadership) -> Option<CellsStatus> {
        let cells = self.config.operator.cells.as_ref()?;
        let others = cells.others.iter().map(|cell| {
            let state = shared.other_cells.get(&cell.name);
            let summary = state.and_then(|state| state.summary());
            OtherCellStatus {
                name: cell.name.clone(),
                reachable: summary.is_some(),
                spare_cpus: summary.map(|summary| summary.spare_cpus),
                backlog_s: summary.map(|summary| summary.backlog_s),
                messages: state.map_or(0, |state| state.messages()),
            }
        });
        let fleet = &leadership.fleet;
        Some(CellsStatus {
            name: cells.name.clone(),
            others: others.collect(),
            lent: lent(fleet),
            borrowed: borrowed(fleet),
            unrecorded_results: fleet.unrecorded_results_of_loans(),
            finished_for: finished_for(fleet),
        })
    }

    /// How many jobs with loans this leader has not copied whole yet; none where cells are not in use.
    pub(super) fn lent_progress_of_leader(&self, leadership: &Leadership) -> Option<LentProgressStatus> {
        self.config.operator.cells.as_ref()?;
        let jobs = || leadership.fleet.jobs.values().filter(|job| !job.ended && job.has_loans());
        let without_copies = jobs().filter(|job| job.lacks_copies()).count();
        Some(LentProgressStatus {
            jobs: jobs().count() as u32,
            without_copies: without_copies as u32,
            hidden_records: leadership.fleet.hidden_records() as u32,
        })
    }

    /// Writes off all loans with a cell that is lost for good, as an operator decided: tasks that are not
    /// known to be done there run here again. If the cell is alive after all, tasks may run twice until it
    /// is reached.
    pub(super) fn write_off(&self, request: &Request) -> Response {
        let cell = request.path.strip_prefix(WRITE_OFF_PATH).unwrap_or("");
        if request.method != "POST" {
            return Response::error(status::METHOD_NOT_ALLOWED, "only POST");
        }
        if self.config.operator.cells.as_ref().is_none_or(|cells| cells.other(cell).is_none()) {
            return Response::error(status::NOT_FOUND, "no such cell in the settings");
        }
        let (fencing_token, jobs) = {
            let shared = self.lock();
            let Some(leadership) = &shared.leadership else {
                let leader = shared.leader.as_ref().map(|leader| leader.label.clone()).unwrap_or_default();
                return redirect(leader);
            };
            (leadership.term.fencing_token, unfinished_loans(&leadership.fleet, cell))
        };
        let mut result = WrittenOff { cell: cell.to_string(), tasks: BTreeMap::new(), left: Vec::new() };
        for (job, tasks) in jobs {
            if self.write_off_job(fencing_token, cell, &job) {
                result.tasks.insert(job, tasks);
            } else {
                result.left.push(job);
            }
        }
        tracing::warn!(cell, jobs = result.tasks.len(), left = result.left.len(), "loans written off");
        Response::json(if result.left.is_empty() { status::OK } else { status::SERVICE_UNAVAILABLE }, &result)
    }

    /// Writes off a job's loans with a cell; whether that is recorded.
    fn write_off_job(&self, fencing_token: u64, cell: &str, job: &str) -> bool {
        let write = {
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(fencing_token) else { return false };
            let Some(lending) = leadership.fleet.loans.lender_ledger.without_borrower(job, cell) else {
                return true;
            };
            leadership.fleet.settle_loan(job, lending)
        };
        write.is_some_and(|write| self.write_loan(fencing_token, write) == LoanOutcome::Written)
    }
}

/// Numbers of lent tasks that are not known to be done, by job, of the loans with a cell.
fn unfinished_loans(fleet: &Fleet, cell: &str) -> BTreeMap<String, u32> {
    let mut unfinished: BTreeMap<String, u32> = BTreeMap::new();
    for (job, loan) in fleet.loans.lender_ledger.loans_with(cell) {
        let done = fleet.done_tasks(job);
        *unfinished.entry(job.to_string()).or_default() += loan.tasks.difference(&done).len();
    }
    unfinished
}

/// The open loans that this cell has made.
fn lent(fleet: &Fleet) -> Vec<LentStatus> {
    let of_job = |(job, lending): (&String, &Lending)| {
        let done = fleet.done_tasks(job);
        let loan = |loan: &Loan| LentStatus {
            job: job.clone(),
            cell: loan.borrower.clone(),
            number: loan.number.0,
            tasks: loan.tasks.len(),
            done: loan.tasks.intersection(&done).len(),
            cancelling: lending.cancelling,
        };
        lending.loans.iter().map(loan).collect::<Vec<_>>()
    };
    fleet.loans.lender_ledger.jobs().flat_map(of_job).collect()
}

/// The jobs of which this cell has borrowed tasks.
fn borrowed(fleet: &Fleet) -> Vec<BorrowedStatus> {
    let of_job = |(job, record): (&String, &BorrowedJob)| {
        let tasks = record.tasks();
        BorrowedStatus {
            job: job.clone(),
            home: record.lender.clone(),
            tasks: tasks.len(),
            done: tasks.intersection(&fleet.recorded_done_of_borrowed(job)).len(),
        }
    };
    fleet.loans.borrower_ledger.jobs().map(of_job).collect()
}

/// Numbers of tasks finished for each cell: those of closed loans are recorded with the cell, those of
/// open loans with their jobs.
fn finished_for(fleet: &Fleet) -> BTreeMap<String, u64> {
    let closed = fleet.loans.lenders().map(|(cell, record)| (cell.clone(), record.finished));
    let mut finished: BTreeMap<String, u64> = closed.collect();
    for job in borrowed(fleet) {
        *finished.entry(job.home).or_default() += u64::from(job.done);
    }
    finished
}
