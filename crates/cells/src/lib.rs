//! Loans of array tasks between cells.
//!
//! A cell is one installation: its own controllers, state service, cloud and workers. A cell whose
//! array backlog does not drain in time (the *lender*) lends tasks that have not begun to a cell with
//! spare capacity (the *borrower*). This package holds the ledgers of both sides and the policy that
//! decides what to lend, as pure state machines: messages and durable records go in, replies and
//! records to write come out. Sending, storing and running the tasks is the caller's job.
//! `docs/cells.md` explains the protocol and why it is safe.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod borrower;
mod lender;
mod loan;
mod message;
mod policy;
mod script;
mod summary;
mod task_set;

pub use borrower::{BorrowRefusal, BorrowerChange, BorrowerLedger, LocalTasks};
pub use lender::{LenderChange, LenderLedger, LoanReportError};
pub use loan::{BorrowedJob, BorrowedLoan, Lending, Loan, LoanNumber};
pub use message::{LoanAction, LoanItem, LoanOffer, LoanReport, LoanState, LoanSyncRequest};
pub use policy::{BacklogThreshold, LendingInputs, MAX_TASKS_PER_LOAN};
pub use script::{LendingScript, ScriptError};
pub use summary::{CellSummary, SummaryError, SUMMARY_FORMAT};
pub use task_set::{TaskSet, TaskSetError, MAX_TASKS};
