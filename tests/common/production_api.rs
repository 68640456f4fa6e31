//! A model of the user interface of a controller of the version in production, leader or follower: its
//! answers depend only on the stored records. Line numbers are those of that version's sources.

use std::collections::BTreeMap;

use milletlock::wire::{Change, Guard, Txn};
use serde::Deserialize;
use serde_json::{json, Value};

use super::production::{FinalRecord, JobRecord};
use super::store::Store;

/// Maximum number of attempts to cancel a job within one request (src/api.rs:198).
const CANCEL_ATTEMPTS: usize = 6;

/// A job's description. A description that lacks a field without a default cannot be read (src/wire.rs:38).
#[derive(Clone, Debug, Deserialize)]
pub struct JobDescription {
    #[serde(rename = "nameId")]
    pub id: String,
    #[serde(rename = "grain", default)]
    pub class: Option<String>,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: Shape,
    pub rank: Rank,
    #[serde(rename = "kernels")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "ramGb", default)]
    pub memory_gb: f64,
    #[serde(rename = "breeds", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "field", default)]
    pub zone: Option<String>,
    #[serde(rename = "oneZone", default)]
    pub one_zone: Option<bool>,
    #[serde(default)]
    pub spread: Option<bool>,
    #[serde(rename = "gleanings", default)]
    pub spot: Option<bool>,
    #[serde(rename = "expectS", default)]
    pub estimate_s: Option<f64>,
}

/// The shape of a job (src/wire.rs).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    #[serde(rename = "batch")]
    Array,
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

/// The priority of a job (src/wire.rs).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    Urgent,
    Normal,
    Idle,
    Critical,
}

/// Reads a live job's record as that version does (`JobRecord`, src/jobs.rs); `None` if that version cannot
/// read it.
pub fn read_job(value: &Value) -> Option<(JobRecord, JobDescription)> {
    let record: JobRecord = serde_json::from_value(value.clone()).ok()?;
    let description = serde_json::from_value(record.spec.clone()).ok()?;
    Some((record, description))
}

/// The result of looking up a job (`Known`, src/api.rs:44).
#[derive(Clone, Debug, PartialEq)]
pub enum Known {
    Live { tasks: u32, mod_revision: u64 },
    Over(FinalRecord),
    Never,
}

/// A record cannot be decoded, so the request gets status 503 (`StateError::Malformed`, src/api.rs:59).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// The response to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// Status 200 with stage `cancelled`: this request's transaction was executed.
    Confirmed,
    /// Status 503.
    Refused,
    /// Status 404.
    Unknown,
    /// Status 200 with the stage in which the job had ended before.
    AlreadyOver(String),
}

/// A controller of that version, reduced to users' requests.
#[derive(Default)]
pub struct ProductionApi {
    /// The decoded final records. The controller never reads them again (`learn_final`, src/node.rs:499).
    finals: BTreeMap<String, FinalRecord>,
}

impl ProductionApi {
    /// Looks up a job: the live record first, and the final one only if there is no live one (src/api.rs:50).
    pub fn look_up(&mut self, store: &Store, id: &str) -> Result<Known, Malformed> {
        if let Some(known) = self.finals.get(id) {
            return Ok(Known::Over(known.clone()));
        }
        if let Some(row) = store.row(&format!("job/{id}")) {
            let (_, description) = read_job(&row.value).ok_or(Malformed)?;
            return Ok(Known::Live { tasks: description.tasks, mod_revision: row.mod_revision });
        }
        Ok(self.read_final(store, id)?.map_or(Known::Never, Known::Over))
    }

    /// Reads a final record, which is cached permanently once it is decoded (`read_final`, src/api.rs:64).
    fn read_final(&mut self, store: &Store, id: &str) -> Result<Option<FinalRecord>, Malformed> {
        let Some(row) = store.row(&format!("final/{id}")) else { return Ok(None) };
        let record = read_final_record(&row.value).ok_or(Malformed)?;
        self.finals.insert(id.into(), record.clone());
        Ok(Some(record))
    }

    /// Answers a status request. A job is live if its live record exists, even if the record cannot be
    /// decoded (`show`, src/api.rs:132).
    pub fn status(&mut self, store: &Store, id: &str) -> Result<Known, Malformed> {
        if let Some(known) = self.finals.get(id) {
            return Ok(Known::Over(known.clone()));
        }
        if let Some(row) = store.row(&format!("job/{id}")) {
            let tasks = read_job(&row.value).map_or(0, |(_, description)| description.tasks);
            return Ok(Known::Live { tasks, mod_revision: row.mod_revision });
        }
        Ok(self.read_final(store, id)?.map_or(Known::Never, Known::Over))
    }

    /// Handles a user's cancellation (`withdraw`, src/api.rs:198).
    pub fn cancel(&mut self, store: &mut Store, id: &str) -> CancelAnswer {
        for _ in 0..CANCEL_ATTEMPTS {
            match self.look_up(store, id) {
                Err(Malformed) => return CancelAnswer::Refused,
                Ok(Known::Never) => return CancelAnswer::Unknown,
                Ok(Known::Over(record)) => return CancelAnswer::AlreadyOver(record.stage),
                Ok(Known::Live { tasks, mod_revision }) => {
                    let over = FinalRecord { stage: "cancelled".into(), tasks };
                    if store.txn(&cancellation(id, mod_revision, &over)).is_ok() {
                        self.finals.insert(id.into(), over);
                        return CancelAnswer::Confirmed;
                    }
                }
            }
        }
        CancelAnswer::Refused
    }
}

impl Store {
    /// The transaction with which a controller of that version cancels a job, by the job's stored live
    /// record; `None` if that version cannot read the record.
    pub fn production_cancellation(&self, id: &str) -> Option<Txn> {
        let row = self.row(&format!("job/{id}"))?;
        let (_, JobDescription { tasks, .. }) = read_job(&row.value)?;
        Some(cancellation(id, row.mod_revision, &FinalRecord { stage: "cancelled".into(), tasks }))
    }
}

/// Composes the transaction that cancels a job (src/api.rs:215).
fn cancellation(id: &str, mod_revision: u64, over: &FinalRecord) -> Txn {
    let (live, ended) = (format!("job/{id}"), format!("final/{id}"));
    let guards =
        vec![Guard { key: live.clone(), mod_revision }, Guard { key: ended.clone(), mod_revision: 0 }];
    Txn { guards, then: vec![Change::drop(live), Change::put(ended, json!(over))] }
}

/// Reads a final record as that version does; `None` if its stage is unknown to that version (`FinalRecord`,
/// src/jobs.rs).
pub fn read_final_record(value: &Value) -> Option<FinalRecord> {
    let record: FinalRecord = serde_json::from_value(value.clone()).ok()?;
    ["queued", "running", "done", "cancelled"].contains(&record.stage.as_str()).then_some(record)
}
