//! milletlock: a cluster scheduler. A few controllers accept jobs, rent machines and tell workers
//! what to run; all that must outlive a process is kept in the platform's state service.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod cancellation_notices;
pub mod capacity;
pub mod cli;
pub mod cloud;
pub mod config;
pub mod controller;
pub mod direct_command;
pub mod fleet;
pub mod history;
pub mod http;
pub mod jobs;
pub mod keys;
pub mod leadership;
pub mod live_jobs;
pub mod loan_messages;
pub mod packed_records;
pub mod peer;
pub mod records;
pub mod report;
pub mod sched;
pub mod state;
pub mod store_contact;
pub mod task_ranges;
pub mod time;
pub mod wire;
