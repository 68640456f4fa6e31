//! Transactions that replace or end a live job's record, with the placeholder under the key of its final record.

use serde_json::json;

use crate::keys::{final_key, job_key};
use crate::records::{FinalPlaceholder, FinalRecord, JobRecord};
use crate::wire::{Change, Guard, Txn};

/// The record of a live job as it was read: what a change of it is guarded by.
#[derive(Clone, Copy, Debug)]
pub struct StoredJob<'a> {
    /// The job's id.
    pub id: &'a str,
    /// The record's version.
    pub mod_revision: u64,
    /// The version of the placeholder that is stored with it; 0: there is none.
    pub placeholder_revision: u64,
}

impl<'a> StoredJob<'a> {
    /// A record that was read at a version. Its placeholder was written with it.
    pub fn new(record: &'a JobRecord, mod_revision: u64) -> StoredJob<'a> {
        let placeholder_revision = if record.has_placeholder() { mod_revision } else { 0 };
        StoredJob { id: &record.spec.id, mod_revision, placeholder_revision }
    }

    /// The guards of a change: the record is as it was read, and the job has not ended.
    pub fn guards(&self) -> Vec<Guard> {
        vec![
            Guard { key: job_key(self.id), mod_revision: self.mod_revision },
            Guard { key: final_key(self.id), mod_revision: self.placeholder_revision },
        ]
    }

    /// Replaces the record by another of the same job.
    pub fn replace(&self, record: &JobRecord) -> Txn {
        let mut then = vec![Change::put(job_key(self.id), json!(record))];
        if record.has_placeholder() {
            then.push(Change::put(final_key(self.id), json!(FinalPlaceholder::new(record))));
        } else if self.placeholder_revision > 0 {
            then.push(Change::drop(final_key(self.id)));
        }
        Txn { guards: self.guards(), then }
    }

    /// Replaces the record by a final one.
    pub fn end(&self, final_record: FinalRecord) -> Txn {
        let then = vec![Change::drop(job_key(self.id)), Change::put(final_key(self.id), json!(final_record))];
        Txn { guards: self.guards(), then }
    }
}
