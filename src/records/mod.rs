//! The records that controllers keep in the state store, one struct for each kind. If the name of a field in
//! the stored JSON differs from its name in the code, a serde attribute sets the stored name.

use std::collections::BTreeMap;

use milletlock_cells::LoanNumber;
use serde::{Deserialize, Serialize};

use crate::wire::{Priority, Stage};

mod job;

pub use job::{FinalPlaceholder, JobRecord, JobRecordError, LentForm};

/// The record of a job that has ended, under `final/<id>`. It is never deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// [`Stage::Done`] or [`Stage::Cancelled`].
    pub stage: Stage,
    /// Number of tasks.
    pub tasks: u32,
}

/// The record of a machine, which is written before the first task is started on the machine. Many records
/// are packed into one value under `machines/<slot>`. Earlier versions wrote one value per machine under
/// `machine/<id>`, with longer field names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard to which the machine belongs.
    #[serde(rename = "p", alias = "part", default)]
    pub shard: u32,
    /// The leader's fencing token when the record was written.
    #[serde(rename = "n", alias = "token", default)]
    pub fencing_token: u64,
    /// Address at which the worker accepts commands, `ip:port`.
    #[serde(rename = "a", alias = "addr", default)]
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "t", alias = "ty", default)]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "z", alias = "zone", default)]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "s", alias = "spot", default)]
    pub spot: bool,
    /// Fields that this version does not know; they are written back as they were read.
    #[serde(flatten)]
    pub other: BTreeMap<String, serde_json::Value>,
}

/// The demand of a recent job. A list of these records is written periodically under `recent`, so that a new
/// leader does not scale in machines that the next similar job needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRecord {
    /// When the job was submitted, in microseconds since 1970 (UTC).
    #[serde(rename = "at_us")]
    pub submitted_us: i64,
    /// Resources that a task needs: CPUs, GPUs, memory in GB.
    pub need: (f64, f64, f64),
    /// The job's priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Names of the machine types that the job may use.
    pub types: Vec<String>,
    /// Task-seconds of the job, by the user's estimate of a task's run time.
    #[serde(rename = "work")]
    pub task_seconds: f64,
    /// Whether the service-level objective of the job's class is shorter than the time that a new machine
    /// needs to boot and to fetch an image.
    #[serde(rename = "hasty")]
    pub starts_before_boot: bool,
    /// Number of machines beyond the first that the job uses at the same time.
    #[serde(rename = "beside", default)]
    pub extra_machines: u32,
    /// Whether the job has a deadline.
    #[serde(rename = "due", default)]
    pub has_deadline: bool,
    /// Whether the job may use spot instances.
    #[serde(default)]
    pub spot: bool,
}

/// The record of a lender cell, under `borrowed/lender/<cell>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LenderRecord {
    /// Loans with numbers up to and including this one are not accepted any more.
    pub high_water: LoanNumber,
    /// Number of tasks of closed loans that were done in this cell.
    pub finished: u64,
}
