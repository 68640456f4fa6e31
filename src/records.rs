//! The records that controllers keep in the state store, one struct for each kind. Where a field has
//! another name in the code than in the stored JSON, a serde rename keeps the stored one.

use std::collections::BTreeMap;

use milletlock_cells::{Lending, LoanNumber};
use serde::ser::{SerializeMap, Serializer};
use serde::{Deserialize, Serialize};

use crate::wire::{JobSpec, Priority, Stage};

/// The record of a live job, under `job/<id>`.
#[derive(Clone, Debug, Deserialize)]
pub struct JobRecord {
    /// The job as its user described it.
    #[serde(alias = "spec_of_lent")]
    pub spec: JobSpec,
    /// When it was accepted, in microseconds since 1970 (UTC).
    pub submitted_us: i64,
    /// Tasks with lower numbers may have been started. Versions without packed start marks wrote it here, and it
    /// is written here with loans; otherwise it is under [`crate::keys::START_MARKS_PREFIX`].
    #[serde(rename = "high", default)]
    pub start_mark: u32,
    /// Loans to other cells, and whether the job is being cancelled while some are open.
    #[serde(default)]
    pub lending: Lending,
}

/// While the job has loans, the description is stored under another name: versions without loans cannot
/// read the record then, so that none of them starts tasks that are lent.
impl Serialize for JobRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut record = serializer.serialize_map(None)?;
        let spec_name = if self.lending.is_empty() { "spec" } else { "spec_of_lent" };
        record.serialize_entry(spec_name, &self.spec)?;
        record.serialize_entry("submitted_us", &self.submitted_us)?;
        if self.start_mark > 0 {
            record.serialize_entry("high", &self.start_mark)?;
        }
        if !self.lending.is_empty() {
            record.serialize_entry("lending", &self.lending)?;
        }
        record.end()
    }
}

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
