//! Loans of array tasks between cells.
//!
//! A cell is one installation, with its own controllers, state store, cloud and workers. If the backlog
//! of a cell's job arrays does not drain in time, the cell (the *lender*) lends tasks that have not
//! started to a cell with spare capacity (the *borrower*).
//!
//! This package contains the ledgers of both sides and the policy that decides how many tasks to lend.
//! They are pure state machines: their inputs are messages and stored records, their outputs are replies
//! and records to be written. The caller sends the messages, stores the records and runs the tasks.
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
