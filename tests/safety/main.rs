//! One test or more for each numbered point of docs/safety.md that the leader's `Fleet` decides. There is no
//! state store here: [`fixtures::write_all`] acknowledges what waits to be written.

#[path = "../common/mod.rs"]
mod common;

mod ended_jobs;
mod failovers;
mod fixtures;
mod late_messages;
mod leases;
mod machines;
mod starts;
