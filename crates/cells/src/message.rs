//! The messages between two cells. Only a lender asks; its borrower replies. Every statement in a message
//! stays true once it is true, so a late, duplicated or reordered message does no harm.

use crate::loan::LoanNumber;
use crate::task_set::TaskSet;

/// What a lender wants a borrower to do with a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanAction {
    /// Run its tasks.
    Run,
    /// Give back the tasks that have not begun.
    Recall,
    /// The job is cancelled: run none of its tasks any more.
    Cancel,
}

/// The job that an offered loan belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanOffer {
    /// The job's description.
    pub description: serde_json::Value,
    /// Number of tasks of the whole job.
    pub job_tasks: u32,
}

/// An open loan, as its lender describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanItem {
    /// The loan's number.
    pub number: LoanNumber,
    /// The job's id.
    pub job: String,
    /// The tasks, as offered.
    pub tasks: TaskSet,
    /// What the borrower is to do with them.
    pub action: LoanAction,
    /// The job, until the borrower is known to hold the loan.
    pub offer: Option<LoanOffer>,
}

/// A lender's message: all loans that it has open with the borrower.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanSyncRequest {
    /// Name of the lender's cell.
    pub from: String,
    /// Name of the borrower's cell.
    pub to: String,
    /// The term of the lender's leader.
    pub term: u64,
    /// Loans up to this number that are not listed are closed.
    pub horizon: LoanNumber,
    /// The open loans.
    pub loans: Vec<LoanItem>,
}

/// The state of a loan at the borrower.
#[derive(Clone, Debug, PartialEq)]
pub enum LoanState {
    /// The borrower holds these tasks; those that are done are recorded there.
    Accepted {
        /// Tasks that were not given back, done ones included.
        tasks: TaskSet,
        /// Tasks that are done.
        done: TaskSet,
    },
    /// The borrower holds none of its tasks and never will.
    Closed,
}

/// A borrower's report on one loan.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanReport {
    /// The loan's number.
    pub number: LoanNumber,
    /// Its state, as recorded durably.
    pub state: LoanState,
}
