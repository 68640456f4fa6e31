//! Recovery after a takeover.
//!
//! A new owner reads the records and then hears the machines that earlier owners left, one report after
//! the other. This package keeps the evidence for each machine, compares what its worker reports with the
//! records, and says what may not be decided yet. It is a pure state machine: moments are durations since
//! the takeover, reports and records are handed in. `docs/recovery.md` has the argument.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod difference;
mod progress;
mod tracker;

pub use difference::{Difference, JobRecordState, RecordedJobs, ReportedTask, TaskState};
pub use progress::{DifferenceCounts, OrderCounts, OrderKind, Progress};
pub use tracker::{Evidence, Recovery};
