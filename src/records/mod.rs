//! The records that controllers keep in the state store, one struct for each kind. Where a field has
//! another name in the code than in the stored JSON, a serde rename keeps the stored one.

use std::collections::BTreeMap;

use milletlock_cells::LoanNumber;
use serde::{Deserialize, Serialize};

use crate::wire::{Priority, Stage};

mod job;

pub use job::{FinalPlaceholder, JobRecord, JobRecordError, LentForm};

/// The record of a job that has ended, under `final/<id>`. It is never removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// `done` or `cancelled`.
    pub stage: Stage,
    /// Number of tasks.
    pub tasks: u32,
}

/// The record of a machine, written before the first start on it. Many are packed into a value under
/// `machines/<slot>`; earlier versions wrote one value a machine under `machine/<id>`, with longer
/// field names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard it belongs to.
    #[serde(rename = "p", alias = "part", default)]
    pub shard: u32,
    /// The leader's fencing token when the record was written.
    #[serde(rename = "n", alias = "token", default)]
    pub fencing_token: u64,
    /// Address at which the worker takes commands, `ip:port`.
    #[serde(rename = "a", alias = "addr", default)]
    pub address: String,
    /// Name of its machine type.
    #[serde(rename = "t", alias = "ty", default)]
    pub machine_type: String,
    /// Name of its zone.
    #[serde(rename = "z", alias = "zone", default)]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "s", alias = "spot", default)]
    pub spot: bool,
    /// Fields that a later version added; they are written back as they were read.
    #[serde(flatten)]
    pub other: BTreeMap<String, serde_json::Value>,
}

/// What a recent job asked for. A list of them is written from time to time under `recent`, so that a
/// new leader does not scale in machines that the next job like it needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRecord {
    /// When it was submitted, in microseconds since 1970 (UTC).
    #[serde(rename = "at_us")]
    pub submitted_us: i64,
    /// What a task needs: processors, accelerator cards, memory in GB.
    pub need: (f64, f64, f64),
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Names of the machine types it may use.
    pub types: Vec<String>,
    /// Task-seconds, by the user's estimate of a task's run time.
    #[serde(rename = "work")]
    pub task_seconds: f64,
    /// The service-level objective of its class is shorter than a machine needs to boot and fetch an
    /// image.
    #[serde(rename = "hasty")]
    pub starts_before_boot: bool,
    /// Machines that it takes at the same time, beyond the first.
    #[serde(rename = "beside", default)]
    pub extra_machines: u32,
    /// It has a deadline.
    #[serde(rename = "due", default)]
    pub has_deadline: bool,
    /// It may use spot instances.
    #[serde(default)]
    pub spot: bool,
}

/// The record of a cell from which tasks are borrowed, under `borrowed/lender/<cell>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LenderRecord {
    /// Loans up to this number are not accepted any more.
    pub high_water: LoanNumber,
    /// Tasks that were done here in closed loans.
    pub finished: u64,
}
