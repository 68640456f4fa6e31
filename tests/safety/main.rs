//! Tests for the numbered points of docs/safety.md that the leader's `Fleet` decides, at least one for each.
//! They use no state store: [`fixtures::write_all`] acknowledges all pending writes.

#[path = "../common/mod.rs"]
mod common;

mod ended_jobs;
mod failovers;
mod fixtures;
mod late_messages;
mod leases;
mod machines;
mod starts;
