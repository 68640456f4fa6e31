//! What is kept in the state service, one struct for each kind of record.

use std::collections::BTreeMap;

use milletlock_cells::{Lending, LoanNumber};
use serde::ser::{SerializeMap, Serializer};
use serde::{Deserialize, Serialize};

use crate::wire::{JobSpec, Priority, Stage};

/// What is written for a live job, under `job/<id>`.
#[derive(Clone, Debug, Deserialize)]
pub struct JobRecord {
    /// The job as its user described it.
    #[serde(alias = "spec_of_lent")]
    pub spec: JobSpec,
    /// When it was accepted, in microseconds of the time of day.
    pub submitted_us: i64,
    /// Tasks below this may have been started, as earlier versions wrote it; now in the marks.
    #[serde(rename = "high", default)]
    pub high_water_mark: u32,
    /// Loans to other cells, and whether the job is being cancelled while some are open.
    #[serde(default)]
    pub lending: Lending,
}

/// While there is something to say of loans, the description has another name: versions that know nothing
/// of loans cannot read the record then, so that none of them starts what is lent.
impl Serialize for JobRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut record = serializer.serialize_map(None)?;
        let spec_name = if self.lending.is_empty() { "spec" } else { "spec_of_lent" };
        record.serialize_entry(spec_name, &self.spec)?;
        record.serialize_entry("submitted_us", &self.submitted_us)?;
        if self.high_water_mark > 0 {
            record.serialize_entry("high", &self.high_water_mark)?;
        }
        if !self.lending.is_empty() {
            record.serialize_entry("lending", &self.lending)?;
        }
        record.end()
    }
}

/// What is kept for ever of a job that is over, under `final/<id>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// `done` or `cancelled`.
    pub stage: Stage,
    /// Number of tasks.
    pub tasks: u32,
}

/// What is written for a machine before the first start on it, many to a value, under
/// `machines/<slot>`. Earlier versions wrote one under `machine/<id>`, with longer names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The part it belongs to.
    #[serde(rename = "p", alias = "part", default)]
    pub part: u32,
    /// The token it was enrolled with.
    #[serde(rename = "n", alias = "token", default)]
    pub fencing_token: u64,
    /// The worker's address.
    #[serde(rename = "a", alias = "addr", default)]
    pub address: String,
    /// Type.
    #[serde(rename = "t", alias = "ty", default)]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z", alias = "zone", default)]
    pub zone: String,
    /// Spot.
    #[serde(rename = "s", alias = "spot", default)]
    pub spot: bool,
    /// Fields of a later version, written back as they were read.
    #[serde(flatten)]
    pub other: BTreeMap<String, serde_json::Value>,
}

/// A recent job, as far as what is kept for its like goes. The list of them is written now and
/// then under `recent`, so that a new owner does not return what the next such job needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRecord {
    /// When it came, in microseconds of the time of day.
    pub at_us: i64,
    /// Processors, cards and memory of a task.
    pub need: (f64, f64, f64),
    /// Its rank.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Names of the types it may use.
    pub types: Vec<String>,
    /// Task-seconds, by the stated time.
    pub work: f64,
    /// Its class should start sooner than a machine boots and fetches.
    #[serde(rename = "hasty")]
    pub starts_before_boot: bool,
    /// Machines that it takes at once, beyond the first.
    #[serde(rename = "beside", default)]
    pub extra_machines: u32,
    /// It has a deadline.
    #[serde(default)]
    pub due: bool,
    /// It may use spot machines.
    #[serde(default)]
    pub spot: bool,
}

/// What is kept of a cell from which tasks are borrowed, under `borrowed/lender/<cell>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LenderRecord {
    /// No loan up to this number is accepted any more.
    pub high_water: LoanNumber,
    /// Tasks that were done here in loans that are closed.
    pub finished: u64,
}
