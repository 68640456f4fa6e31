//! A model of the state store's keys, and the transactions that controllers send for users' requests.

use std::collections::BTreeMap;

use milletlock::keys::{final_key, job_key};
use milletlock::leadership::KeyState;
use milletlock::records::{FinalRecord, JobRecord};
use milletlock::time::Steady;
use milletlock::wire::{Change, Guard, JobSpec, Row, Stage, Txn};
use serde_json::{json, Value};

/// A model of the state store's keys in memory, without leases.
#[derive(Default)]
pub struct Store {
    /// The value and the `mod_revision` of each key.
    pub keys: BTreeMap<String, (Value, u64)>,
    /// The revision of the last transaction.
    pub revision: u64,
    /// All changes: the revision, the key, and the value or `None` if the key was deleted.
    pub log: Vec<(u64, String, Option<Value>)>,
    /// Whether executed transactions are recorded in `executed`.
    pub is_recording: bool,
    /// The executed transactions, in order, if `is_recording` is set.
    pub executed: Vec<Txn>,
}

impl Store {
    /// Executes a transaction. Returns its revision, or the keys whose guards do not hold.
    pub fn txn(&mut self, t: &Txn) -> Result<u64, Vec<String>> {
        let failed: Vec<String> = t
            .guards
            .iter()
            .filter(|g| self.mod_revision(&g.key) != g.mod_revision)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        if self.is_recording {
            self.executed.push(t.clone());
        }
        self.revision += 1;
        for c in &t.then {
            match c {
                Change::Put { put, value, .. } => {
                    self.keys.insert(put.clone(), (value.clone(), self.revision));
                    self.log.push((self.revision, put.clone(), Some(value.clone())));
                }
                Change::Drop { drop } => {
                    if self.keys.remove(drop).is_some() {
                        self.log.push((self.revision, drop.clone(), None));
                    }
                }
            }
        }
        Ok(self.revision)
    }

    /// The recorded transactions of which a late copy would be executed again.
    pub fn repeatable(&self) -> Vec<&Txn> {
        let holds = |guard: &Guard| self.mod_revision(&guard.key) == guard.mod_revision;
        self.executed.iter().filter(|txn| txn.guards.iter().all(holds)).collect()
    }

    /// The `mod_revision` of a key; 0 if the key does not exist.
    pub fn mod_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    /// The row of a key; `None` if the key does not exist.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.keys.get(key).map(|k| Row { key: key.into(), value: k.0.clone(), mod_revision: k.1 })
    }

    /// The present state of a key, as a controller reads it back.
    pub fn key_state(&self, key: &str) -> KeyState {
        KeyState { key: key.into(), row: self.row(key), as_of: self.revision }
    }

    /// The rows of all keys with a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).filter_map(|k| self.row(k)).collect()
    }

    /// All changes after a revision.
    pub fn changes_since(&self, revision: u64) -> &[(u64, String, Option<Value>)] {
        let from = self.log.partition_point(|change| change.0 <= revision);
        &self.log[from..]
    }

    /// The transaction for a user's cancellation of a job, guarded by the job's present live record; `None`
    /// if the job is not live.
    pub fn cancellation(&self, job: &JobSpec) -> Option<Txn> {
        let row = self.row(&job_key(&job.id))?;
        let final_record = FinalRecord { stage: Stage::Cancelled, tasks: job.tasks };
        Some(Txn {
            guards: vec![
                Guard { key: job_key(&job.id), mod_revision: row.mod_revision },
                Guard { key: final_key(&job.id), mod_revision: 0 },
            ],
            then: vec![Change::drop(job_key(&job.id)), Change::put(final_key(&job.id), json!(final_record))],
        })
    }

    /// The final stage of a job; `None` if the job has no final record.
    pub fn final_stage(&self, id: &str) -> Option<Stage> {
        let row = self.row(&final_key(id))?;
        Some(serde_json::from_value::<FinalRecord>(row.value).expect("a final record").stage)
    }
}

/// The transaction for the submission of a job.
pub fn submission(record: &JobRecord) -> Txn {
    let id = &record.spec.id;
    let guards = [job_key(id), final_key(id)].map(|key| Guard { key, mod_revision: 0 }).to_vec();
    Txn { guards, then: vec![Change::put(job_key(id), json!(record))] }
}

/// Removes and returns the items of `delayed` that are due at `now`, in their order.
pub fn take_due<T>(delayed: &mut Vec<(Steady, T)>, now: Steady) -> Vec<T> {
    let (due, rest) = std::mem::take(delayed).into_iter().partition(|d: &(Steady, T)| d.0 <= now);
    *delayed = rest;
    Vec::into_iter(due).map(|d: (Steady, T)| d.1).collect()
}
