//! Loans of array tasks between cells.
//!
//! A cell is one installation: its own controllers, state service, cloud and workers. A cell whose
//! array backlog does not drain in time lends tasks that have not begun to a cell with room. This
//! package holds both sides' ledgers and the choice of what to lend, as pure state machines: messages
//! and durable records in, replies and records to write out. Sending, storing and running the tasks is
//! the caller's. `docs/cells.md` has the argument.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod guest;
mod home;
mod loan;
mod message;
mod policy;
mod script;
mod summary;
mod task_set;

pub use guest::{GuestChange, GuestLedger, LocalTasks, Refusal};
pub use home::{HomeLedger, ReportError, Settlement};
pub use loan::{BorrowedJob, HeldLoan, Lending, Loan, LoanNumber};
pub use message::{LoanItem, LoanReport, LoanState, Offer, Reply, Request, Wish};
pub use policy::{BacklogGate, LendingView, MAX_PORTION};
pub use script::{Script, ScriptError};
pub use summary::{CellSummary, SummaryError, SUMMARY_FORM};
pub use task_set::{TaskSet, TaskSetError, MAX_TASKS};
