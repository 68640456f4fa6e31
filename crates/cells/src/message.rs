//! What two cells say to each other. Only a home asks; its guest replies. Every statement stays true once
//! it is: a late, doubled or reordered message does no harm.

use crate::loan::LoanNumber;
use crate::summary::CellSummary;
use crate::task_set::TaskSet;

/// What a home wants done with a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Its tasks are to run.
    Run,
    /// What has not begun is to be given back.
    Recall,
    /// The job is cancelled: nothing of it is to run any more.
    Cancel,
}

/// The job that an offered loan is of.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The job's description.
    pub description: serde_json::Value,
    /// Number of tasks of the whole job.
    pub job_tasks: u32,
}

/// An open loan, as its home tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanItem {
    /// The loan's number.
    pub number: LoanNumber,
    /// The job's id.
    pub job: String,
    /// The tasks, as offered.
    pub tasks: TaskSet,
    /// What is wanted.
    pub wish: Wish,
    /// The job, until the guest is known to hold the loan.
    pub offer: Option<Offer>,
}

/// A home's message: all loans that it has open with the guest.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The home cell.
    pub from: String,
    /// The guest cell.
    pub to: String,
    /// The term of the home's owner.
    pub term: u64,
    /// Loans up to this number that are not listed are closed.
    pub horizon: LoanNumber,
    /// The open loans.
    pub loans: Vec<LoanItem>,
}

/// How a loan stands at the guest.
#[derive(Clone, Debug, PartialEq)]
pub enum LoanState {
    /// The guest holds these tasks; those that are done are recorded there.
    Held {
        /// Tasks not given back, done ones included.
        tasks: TaskSet,
        /// Tasks that are done.
        done: TaskSet,
    },
    /// The guest holds nothing of it and never will.
    Closed,
}

/// A guest's word on one loan.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanReport {
    /// The loan's number.
    pub number: LoanNumber,
    /// How it stands, as recorded durably.
    pub state: LoanState,
}

/// A guest's reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The guest cell.
    pub from: String,
    /// The term of the guest's owner.
    pub term: u64,
    /// What room the guest has.
    pub summary: CellSummary,
    /// The loans that were asked for, but for those on which it could not decide yet.
    pub reports: Vec<LoanReport>,
}
