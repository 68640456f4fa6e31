//! Two faults at the same time: one scenario for each combination of faults in the table of docs/safety.md.
//! The numbers of combinations are those of the table. Time is simulated and nothing is random.
//!
//! Combinations 4, 10 and 17 need complete controllers: see `tests/cancellation_in_outage`.

#[path = "../common/mod.rs"]
mod common;

mod cancellations;
mod failovers;
mod late_messages;
mod overload;
mod partitions;
mod scenario;

use milletlock::wire::JobSpec;

use crate::common::spec;

/// The description of a job of the team `tight`, whose quota is six processors.
fn tight(n: u32, tasks: u32, shape: &str) -> JobSpec {
    JobSpec { team: "tight".into(), ..spec(n, tasks, shape) }
}
