//! milletlock: a cluster scheduler.
//!
//! A few controllers, one of them the leader, accept jobs, scale cloud machines out and in, and tell
//! workers what to run. All that must outlive a process is kept in the platform's state store, a
//! consensus-backed key-value store.
//!
//! The modules by layer:
//!
//! * **Edge**, what is read and written outside the process. [`wire`] has the messages of every
//!   interface and maps the protocols' names to the field's terms. [`http`] is the server and client,
//!   [`peer`] the gRPC between controllers, [`loan_messages`] its messages about loans between cells,
//!   [`cloud`] the client of the cloud. [`config`] reads the settings, [`cli`] the command line; [`api`]
//!   is the users' interface, and [`report`] makes a page of the recoveries in a log. [`time`] tells
//!   the steady clock from the time of day.
//! * **State**, what is kept in the state store. [`state`] is its client, [`keys`] and [`records`] are
//!   what is stored, [`job_changes`] how a live job's record is replaced or ended, [`packed_records`] and
//!   [`task_ranges`] the compact forms, [`progress_copy`] the copies that outlast a version without loans.
//!   [`live_jobs`] answers which jobs are live, [`store_contact`] whether a leader may still act, and
//!   [`cancellation_notices`] holds what the other controllers have not acknowledged.
//! * **Planner**, decisions without input or output. [`sched`] chooses the machine for each task (bin
//!   packing, gang scheduling, quota, preemption), [`capacity`] what to scale out and in, and
//!   [`history`] estimates run times.
//! * **The leader's model** of jobs, tasks and machines. [`jobs`] holds one job, [`fleet`] all jobs and
//!   machines, their reconciliation with heartbeats and what is to be written; [`direct_command`] is
//!   what it sends straight to workers. [`leadership`] claims and rebuilds the model from the state
//!   store after a failover, and writes it back.
//! * **Controller**, the process. [`controller`] runs the threads that connect all of these.

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
pub mod job_changes;
pub mod jobs;
pub mod keys;
pub mod leadership;
pub mod live_jobs;
pub mod loan_messages;
pub mod packed_records;
pub mod peer;
pub mod progress_copy;
pub mod records;
pub mod report;
pub mod sched;
pub mod state;
pub mod store_contact;
pub mod task_ranges;
pub mod time;
pub mod wire;
