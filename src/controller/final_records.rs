//! A cache of the final records of jobs that are known to be written, so that status requests for ended jobs
//! need no read of the state store.

use std::collections::{BTreeMap, VecDeque};

use crate::api::StoredFinal;

/// Largest number of final records in the cache. Those that were inserted first are dropped first.
const MAX_FINAL_RECORDS: usize = 20_000;

/// A bounded cache of final records, by job id.
#[derive(Default)]
pub(super) struct FinalRecordCache {
    by_id: BTreeMap<String, StoredFinal>,
    /// The keys of `by_id`, oldest first.
    insertion_order: VecDeque<String>,
}

impl FinalRecordCache {
    /// A job's final record, if it is in the cache.
    pub(super) fn get(&self, id: &str) -> Option<StoredFinal> {
        self.by_id.get(id).copied()
    }

    /// Inserts a job's final record, unless the cache has it already: final records never change.
    pub(super) fn insert(&mut self, id: &str, stored: StoredFinal) {
        if self.by_id.contains_key(id) {
            return;
        }
        self.by_id.insert(id.to_string(), stored);
        self.insertion_order.push_back(id.to_string());
        if self.insertion_order.len() > MAX_FINAL_RECORDS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}
