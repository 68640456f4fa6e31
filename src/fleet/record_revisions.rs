//! The revisions of stored records in the leader's model. Several threads read and write the same records, and
//! the state store may answer late: the revisions show which answers are older than the model.

use std::collections::BTreeMap;

/// The latest known revisions of records, by key.
#[derive(Debug, Default)]
pub struct RecordRevisions {
    /// The revision of each record that exists.
    stored: BTreeMap<String, u64>,
    /// The latest revision at which one of the records was deleted; 0 if none was.
    last_deletion: u64,
    /// The latest revision of all known changes of the records.
    latest: u64,
}

impl RecordRevisions {
    /// The revision of a record; 0 if no record is known under the key.
    pub fn get(&self, key: &str) -> u64 {
        self.stored.get(key).copied().unwrap_or(0)
    }

    /// The latest revision of all known changes. A read that is sent from now on returns a state that is at
    /// least this new.
    pub fn latest(&self) -> u64 {
        self.latest
    }

    /// Whether the state of a key as of a revision may be older than what is known of the key. The deleted
    /// keys are not remembered: any key without a record may have been deleted at the last deletion.
    pub fn is_outdated(&self, key: &str, as_of: u64) -> bool {
        self.stored.get(key).copied().unwrap_or(self.last_deletion) > as_of
    }

    /// Records that a record was stored at a revision. Returns false and changes nothing if a newer revision
    /// of it is known.
    pub fn record_stored(&mut self, key: &str, revision: u64) -> bool {
        if self.get(key) > revision {
            return false;
        }
        self.stored.insert(key.to_string(), revision);
        self.latest = self.latest.max(revision);
        true
    }

    /// Records that a key does not exist as of a revision.
    pub fn record_deleted(&mut self, key: &str, as_of: u64) {
        if self.stored.remove(key).is_some() {
            self.last_deletion = self.last_deletion.max(as_of);
            self.latest = self.latest.max(as_of);
        }
    }
}
