//! Recovery after a failover.
//!
//! A new leader reads the records and then receives heartbeats, one after the other, from the machines that
//! earlier leaders registered. This package tracks which machines have reported, compares each machine's
//! first report with the records, and determines whether decisions that depend on further reports should
//! wait. It is a pure state machine: times are durations since the failover, and reports and records are
//! passed in. `docs/recovery.md` gives the reasons for which decisions wait.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod discrepancy;
mod progress;
mod tracker;

pub use discrepancy::{
    Discrepancy, JobRecordState, RecordedJobs, ReportedTask, ReportedTaskState, TaskDiscrepancy,
};
pub use progress::{CommandCounts, CommandKind, DiscrepancyCounts, RecoveryProgress};
pub use tracker::{MachineStatus, RecoveryTracker};
