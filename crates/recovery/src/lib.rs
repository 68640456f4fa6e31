//! Recovery after a failover.
//!
//! A new leader reads the records and then receives heartbeats from the machines that earlier leaders
//! left, one after the other. This package tracks which machines have reported, compares each machine's
//! first report with the records, and says what may not be decided yet. It is a pure state machine:
//! moments are durations since the failover, and reports and records are passed in. `docs/recovery.md`
//! explains why decisions wait for what they wait for.

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
