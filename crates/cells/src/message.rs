//! The messages between two cells. The lender sends requests, and the borrower replies to them. Every
//! statement in a message remains true once it is true, so late, duplicated and reordered messages do no
//! harm.

use crate::loan::LoanNumber;
use crate::task_set::TaskSet;

/// The action that a lender requests from a borrower for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanAction {
    /// Run the tasks of the loan.
    Run,
    /// Return the tasks that have not started.
    Recall,
    /// Stop the tasks and start none of them any more, since the job is cancelled.
    Cancel,
}

/// Describes the job of a loan that is offered to a borrower.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanOffer {
    /// The job's description in JSON.
    pub description: serde_json::Value,
    /// The number of tasks of the whole job.
    pub job_tasks: u32,
}

/// An open loan in a lender's message.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanItem {
    /// The loan's number.
    pub number: LoanNumber,
    /// The job's id.
    pub job: String,
    /// The tasks that the lender records as lent.
    pub tasks: TaskSet,
    /// The action that the borrower is to take.
    pub action: LoanAction,
    /// The loan's job. The lender sends it until it knows that the borrower has accepted the loan.
    pub offer: Option<LoanOffer>,
}

/// A lender's message, which lists all its open loans to the borrower.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanSyncRequest {
    /// Name of the lender's cell.
    pub from: String,
    /// Name of the borrower's cell.
    pub to: String,
    /// The term of the lender's leader.
    pub term: u64,
    /// Loans up to this number that are not in `loans` are closed.
    pub horizon: LoanNumber,
    /// The open loans to the borrower.
    pub loans: Vec<LoanItem>,
}

/// The state of a loan at the borrower, as recorded in its state store.
#[derive(Clone, Debug, PartialEq)]
pub enum LoanState {
    /// The borrower has accepted the loan.
    Accepted {
        /// The tasks that were not returned, including those that are done.
        tasks: TaskSet,
        /// The tasks that are recorded as done.
        done: TaskSet,
    },
    /// The borrower has none of the loan's tasks and will not accept the loan later.
    Closed,
}

/// A borrower's report on one loan.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanReport {
    /// The loan's number.
    pub number: LoanNumber,
    /// The loan's state at the borrower.
    pub state: LoanState,
}
