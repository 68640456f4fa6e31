//! Two faults at once: one scenario for each combination of faults in docs/safety.md, with the number of its
//! table. Time is a number that the scenarios push on; nothing here is random.
//!
//! Combinations 4, 10 and 17 take whole controllers: see `tests/cancellation_in_outage`.

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

/// A job of the team whose limit is six processors.
fn tight(n: u32, tasks: u32, shape: &str) -> JobSpec {
    JobSpec { team: "tight".into(), ..spec(n, tasks, shape) }
}
