//! The operators' view of loans, and the request by which an operator writes off the loans of a lost cell.

use std::collections::BTreeMap;

use milletlock_cells::{BorrowedJob, Lending, Loan};

use super::loan_writes::LoanOutcome;
use super::responses::redirect;
use super::{Controller, Leadership, SharedState};
use crate::fleet::Fleet;
use crate::http::{status, Request, Response};
use crate::wire::{
    BorrowedJobStatus, CellsStatus, LentLoanStatus, LentProgressStatus, OtherCellStatus, WriteOffReply,
    WRITE_OFF_PATH,
};

impl Controller {
    /// Status of the other cells and of the loans in both directions; none if the settings have no `cells`
    /// block.
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
            lent: lent_status(fleet),
            borrowed: borrowed_status(fleet),
            unrecorded_results: fleet.unrecorded_results_of_loans(),
            finished_for: finished_by_lender(fleet),
        })
    }

    /// How many jobs with loans lack complete copies of their progress at this leader; none if the settings
    /// have no `cells` block.
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

    /// Writes off all loans to a cell that an operator has declared lost for good: lent tasks that are not
    /// known to be done run in this cell again. If the other cell still runs after all, tasks may run twice
    /// until this cell reaches it again.
    pub(super) fn write_off(&self, request: &Request) -> Response {
        let cell = request.path.strip_prefix(WRITE_OFF_PATH).unwrap_or("");
        if request.method != "POST" {
            return Response::error(status::METHOD_NOT_ALLOWED, "a write-off must be a POST request");
        }
        if self.config.operator.cells.as_ref().is_none_or(|cells| cells.other(cell).is_none()) {
            return Response::error(status::NOT_FOUND, "the settings name no such cell");
        }
        let (fencing_token, jobs) = {
            let shared = self.lock();
            let Some(leadership) = &shared.leadership else {
                let leader = shared.leader.as_ref().map(|leader| leader.label.clone()).unwrap_or_default();
                return redirect(leader);
            };
            (leadership.term.fencing_token, unfinished_loans(&leadership.fleet, cell))
        };
        let mut result = WriteOffReply { cell: cell.to_string(), tasks: BTreeMap::new(), left: Vec::new() };
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

    /// Writes off a job's loans to a cell. Returns whether the write-off is recorded.
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

/// For each job with loans to a cell, the number of lent tasks that are not known to be done.
fn unfinished_loans(fleet: &Fleet, cell: &str) -> BTreeMap<String, u32> {
    let mut unfinished: BTreeMap<String, u32> = BTreeMap::new();
    for (job, loan) in fleet.loans.lender_ledger.loans_with(cell) {
        let done = fleet.done_tasks(job);
        *unfinished.entry(job.to_string()).or_default() += loan.tasks.difference(&done).len();
    }
    unfinished
}

/// The status of the open loans that this cell has made.
fn lent_status(fleet: &Fleet) -> Vec<LentLoanStatus> {
    let of_job = |(job, lending): (&String, &Lending)| {
        let done = fleet.done_tasks(job);
        let loan = |loan: &Loan| LentLoanStatus {
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

/// The status of the jobs of which this cell has borrowed tasks.
fn borrowed_status(fleet: &Fleet) -> Vec<BorrowedJobStatus> {
    let of_job = |(job, record): (&String, &BorrowedJob)| {
        let tasks = record.tasks();
        BorrowedJobStatus {
            job: job.clone(),
            lender: record.lender.clone(),
            tasks: tasks.len(),
            done: tasks.intersection(&fleet.recorded_done_of_borrowed(job)).len(),
        }
    };
    fleet.loans.borrower_ledger.jobs().map(of_job).collect()
}

/// For each lender, the number of its tasks that this cell has finished. Tasks of closed loans are counted in
/// the record about the lender, tasks of open loans in the records of the borrowed jobs.
fn finished_by_lender(fleet: &Fleet) -> BTreeMap<String, u64> {
    let closed = fleet.loans.lenders().map(|(cell, record)| (cell.clone(), record.finished));
    let mut finished: BTreeMap<String, u64> = closed.collect();
    for job in borrowed_status(fleet) {
        *finished.entry(job.lender).or_default() += u64::from(job.done);
    }
    finished
}
