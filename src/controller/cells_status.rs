//! What people on call see of loans, and their decision to write off what a lost cell holds.

use std::collections::BTreeMap;

use super::loan_writes::LoanOutcome;
use super::{Controller, Leadership, SharedState};
use crate::fleet::Fleet;
use crate::http::{Request, Response};
use crate::wire::{
    BorrowedStatus, CellsStatus, LentStatus, OtherCellStatus, Redirect, WrittenOff, WRITE_OFF_PATH,
};

impl Controller {
    /// Loans in both directions; none where cells are not in use.
    pub(super) fn cells_status(&self, shared: &SharedState, leadership: &Leadership) -> Option<CellsStatus> {
        let cells = self.cfg.operator.cells.as_ref()?;
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
            finished_for: finished_for(fleet),
        })
    }

    /// Gives up all loans with a cell that is lost for good, as an operator decided: what is not known to
    /// be done there runs here again. If the cell is alive after all, tasks may run twice until it hears.
    pub(super) fn write_off(&self, req: &Request) -> Response {
        let cell = req.path.strip_prefix(WRITE_OFF_PATH).unwrap_or("");
        if req.method != "POST" {
            return Response::error(405, "only POST");
        }
        if self.cfg.operator.cells.as_ref().is_none_or(|cells| cells.other(cell).is_none()) {
            return Response::error(404, "no such cell in the settings");
        }
        let (fencing_token, jobs) = {
            let shared = self.lock();
            let Some(leadership) = &shared.leadership else {
                let leader = shared.leader.as_ref().map(|l| l.label.clone()).unwrap_or_default();
                return Response::json(421, &Redirect { leader });
            };
            let loans = leadership.fleet.loans.home.loans_with(cell);
            let jobs: BTreeMap<String, u32> = loans.fold(BTreeMap::new(), |mut jobs, (job, loan)| {
                let done = leadership.fleet.done_tasks(job);
                *jobs.entry(job.to_string()).or_default() += loan.tasks.difference(&done).len();
                jobs
            });
            (leadership.claim.fencing_token, jobs)
        };
        let mut answer = WrittenOff { cell: cell.to_string(), tasks: BTreeMap::new(), left: Vec::new() };
        for (job, tasks) in jobs {
            if self.write_off_job(fencing_token, cell, &job) {
                answer.tasks.insert(job, tasks);
            } else {
                answer.left.push(job);
            }
        }
        tracing::warn!(cell, jobs = answer.tasks.len(), left = answer.left.len(), "loans written off");
        Response::json(if answer.left.is_empty() { 200 } else { 503 }, &answer)
    }

    fn write_off_job(&self, fencing_token: u64, cell: &str, job: &str) -> bool {
        let write = {
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(fencing_token) else { return false };
            let Some(lending) = leadership.fleet.loans.home.without_borrower(job, cell) else { return true };
            leadership.fleet.settle_loan(job, lending)
        };
        write.is_some_and(|write| self.write_loan(fencing_token, write) == LoanOutcome::Written)
    }
}

fn lent(fleet: &Fleet) -> Vec<LentStatus> {
    let of_job = |(job, lending): (&String, &milletlock_cells::Lending)| {
        let done = fleet.done_tasks(job);
        let loan = |loan: &milletlock_cells::Loan| LentStatus {
            job: job.clone(),
            cell: loan.borrower.clone(),
            number: loan.number.0,
            tasks: loan.tasks.len(),
            done: loan.tasks.intersection(&done).len(),
            cancelling: lending.cancelling,
        };
        lending.loans.iter().map(loan).collect::<Vec<_>>()
    };
    fleet.loans.home.jobs().flat_map(of_job).collect()
}

fn borrowed(fleet: &Fleet) -> Vec<BorrowedStatus> {
    let of_job = |(job, record): (&String, &milletlock_cells::BorrowedJob)| {
        let tasks = record.tasks();
        BorrowedStatus {
            job: job.clone(),
            home: record.lender.clone(),
            tasks: tasks.len(),
            done: tasks.intersection(&fleet.recorded_done(job)).len(),
        }
    };
    fleet.loans.guest.jobs().map(of_job).collect()
}

/// Tasks finished for each cell: those of closed loans are recorded with the cell, the others still count
/// with their jobs.
fn finished_for(fleet: &Fleet) -> BTreeMap<String, u64> {
    let closed = fleet.loans.lenders().map(|(cell, record)| (cell.clone(), record.finished));
    let mut finished: BTreeMap<String, u64> = closed.collect();
    for job in borrowed(fleet) {
        *finished.entry(job.home).or_default() += u64::from(job.done);
    }
    finished
}
