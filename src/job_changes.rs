//! Transactions that replace a live job's record or end the job. They also write or delete the placeholder
//! under the key of the final record.

use serde_json::json;

use crate::keys::{final_key, job_key};
use crate::records::{FinalPlaceholder, FinalRecord, JobRecord};
use crate::wire::{Change, Guard, Txn};

/// The revisions of a live job's record and placeholder as they were read, by which changes are guarded.
#[derive(Clone, Copy, Debug)]
pub struct StoredJob<'a> {
    /// The job's id.
    pub id: &'a str,
    /// The record's `mod_revision`.
    pub mod_revision: u64,
    /// The `mod_revision` of the placeholder that is stored with the record; 0 if there is none.
    pub placeholder_revision: u64,
}

impl<'a> StoredJob<'a> {
    /// Creates the revisions of a record that was read with this `mod_revision`. Its placeholder, if it has
    /// one, was written in the same transaction and so has the same `mod_revision`.
    pub fn new(record: &'a JobRecord, mod_revision: u64) -> StoredJob<'a> {
        let placeholder_revision = if record.has_placeholder() { mod_revision } else { 0 };
        StoredJob { id: &record.spec.id, mod_revision, placeholder_revision }
    }

    /// Returns the guards of a change: the record is as it was read, and the job has not ended.
    pub fn guards(&self) -> Vec<Guard> {
        vec![
            Guard { key: job_key(self.id), mod_revision: self.mod_revision },
            Guard { key: final_key(self.id), mod_revision: self.placeholder_revision },
        ]
    }

    /// Composes the transaction that replaces the record by another one of the same job.
    pub fn replace(&self, record: &JobRecord) -> Txn {
        let mut then = vec![Change::put(job_key(self.id), json!(record))];
        if record.has_placeholder() {
            then.push(Change::put(final_key(self.id), json!(FinalPlaceholder::new(record))));
        } else if self.placeholder_revision > 0 {
            then.push(Change::drop(final_key(self.id)));
        }
        Txn { guards: self.guards(), then }
    }

    /// Composes the transaction that ends the job: the final record replaces the live one.
    pub fn end(&self, final_record: FinalRecord) -> Txn {
        let then = vec![Change::drop(job_key(self.id)), Change::put(final_key(self.id), json!(final_record))];
        Txn { guards: self.guards(), then }
    }
}
