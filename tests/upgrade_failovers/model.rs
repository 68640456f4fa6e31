//! A model of the records that must remain stored once they are written.

use std::collections::{BTreeMap, BTreeSet};

use milletlock::wire::{Change, Txn};

use crate::common::production;
use crate::common::store::Store;

/// The stored facts that no leader may lose.
#[derive(Default)]
pub struct Model {
    /// The highest stored start mark of each live job.
    pub marks: BTreeMap<String, u32>,
    /// Machines that have a record and were not returned to the cloud.
    pub enrolled: BTreeSet<String>,
    /// Machines that were returned to the cloud.
    pub returned: BTreeSet<String>,
    /// Recorded done tasks of each live job.
    pub done: BTreeMap<String, BTreeSet<u32>>,
}

impl Model {
    /// Asserts that an executed transaction has left all facts of the model stored, and adds the new ones.
    pub fn check(&mut self, store: &Store, txn: &Txn) {
        let written_keys: Vec<&str> = txn.then.iter().map(key_of).collect();
        let writes = |prefix: &str| written_keys.iter().any(|key| key.starts_with(prefix));
        let live = |id: &str| store.keys.contains_key(&format!("job/{id}"));
        if writes("job/") {
            self.marks.retain(|id, _| live(id));
            self.done.retain(|id, _| live(id));
        }
        if writes("marks/") {
            self.check_marks(production::marks_in(store), live);
        }
        if writes("machines/") {
            self.check_machines(production::machines_in(store));
        }
        let jobs_of_chunks =
            written_keys.iter().filter_map(|key| key.strip_prefix("done/")?.split('/').next());
        for id in jobs_of_chunks.filter(|id| live(id)) {
            self.check_done(id, production::done_in(store, id));
        }
    }

    /// Asserts that no start mark of a live job is lower than before.
    fn check_marks(&mut self, marks: BTreeMap<String, u32>, live: impl Fn(&str) -> bool) {
        for (id, highest) in &self.marks {
            let mark = marks.get(id);
            assert!(mark >= Some(highest), "the start mark of {id} was {highest} and is {mark:?}");
        }
        self.marks.extend(marks.into_iter().filter(|(id, _)| live(id)));
    }

    /// Asserts that all machines of `enrolled` are stored.
    fn check_machines(&mut self, machines: BTreeSet<String>) {
        let missing: Vec<&String> = self.enrolled.difference(&machines).collect();
        assert!(missing.is_empty(), "machines are missing: {missing:?}");
        self.enrolled.extend(machines.difference(&self.returned).cloned());
    }

    /// Asserts that no done task of a job is lost.
    fn check_done(&mut self, id: &str, done: BTreeSet<u32>) {
        let earlier = self.done.entry(id.into()).or_default();
        assert!(earlier.is_subset(&done), "done tasks of {id} are lost");
        *earlier = done;
    }
}

/// The key that a change writes.
fn key_of(change: &Change) -> &str {
    match change {
        Change::Put { put, .. } => put,
        Change::Drop { drop } => drop,
    }
}
