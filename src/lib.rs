//! milletlock: a cluster scheduler.
//!
//! A cell has a few controllers, one of which is the leader. All controllers accept jobs from users. The
//! leader scales cloud machines out and in, and sends the workers on the machines commands to start and stop
//! tasks. All state that must outlive a process is in the platform's state store, a consensus-backed
//! key-value store.
//!
//! The modules by layer:
//!
//! * **Edge**: the interfaces to users, workers, other controllers, the cloud and operators. [`wire`] defines
//!   the JSON messages of every interface and maps the names in the protocols to the usual terms. [`http`]
//!   has the HTTP server and client, [`peer`] the gRPC calls between controllers, [`loan_messages`] their
//!   messages about loans between cells, and [`cloud`] the client of the cloud. [`config`] reads the settings
//!   and [`cli`] the command line. [`api`] is the users' interface. [`report`] writes an HTML page about the
//!   recoveries in a log. [`time`] has separate types for the monotonic clock and the time of day.
//! * **State**: access to the state store. [`state`] is its client. [`keys`] and [`records`] define the keys
//!   and values, [`packed_records`] and [`task_ranges`] their compact formats. [`job_changes`] builds the
//!   transactions that replace or end a live job's record. [`progress_copy`] makes copies of the progress of
//!   jobs with loans, which remain if a leader of a version without loans takes over. [`live_jobs`] tells
//!   which jobs are live, and [`store_contact`] whether a leader has a recent enough view of the state store
//!   to act. [`cancellation_notices`] has the cancellations that the other controllers have not yet
//!   acknowledged.
//! * **Planner**: decisions, without any input or output. [`sched`] chooses the machine for each task (bin
//!   packing, gang scheduling, quotas, preemption), [`capacity`] decides which machines to scale out and in,
//!   and [`history`] estimates run times.
//! * **The leader's model** of jobs, tasks and machines. [`jobs`] models a single job. [`fleet`] has all jobs
//!   and machines, reconciles them with heartbeats and collects the pending writes. [`direct_command`]
//!   defines the commands that go to workers between heartbeats. [`leadership`] wins the election, rebuilds
//!   the model from the state store after a failover, and composes the writes to the state store.
//! * **Controller**: the process. [`controller`] runs the threads that connect all other modules.

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
