//! A plain model of the records: what was written once and has to stay there.

use std::collections::{BTreeMap, BTreeSet};

use milletlock::wire::{Change, Txn};

use crate::common::production;
use crate::common::store::Store;

/// What was in the records once and has to stay there.
#[derive(Default)]
pub struct Model {
    /// The highest mark of each job that is not over.
    pub marks: BTreeMap<String, u32>,
    /// Machines that were enrolled and not returned.
    pub enrolled: BTreeSet<String>,
    pub returned: BTreeSet<String>,
    /// Done tasks of each job that is not over.
    pub done: BTreeMap<String, BTreeSet<u32>>,
}

impl Model {
    /// Checks what a transaction left against what was there after every earlier one.
    pub fn check(&mut self, store: &Store, txn: &Txn) {
        let touched: Vec<&str> = txn.then.iter().map(key_of).collect();
        let touches = |prefix: &str| touched.iter().any(|key| key.starts_with(prefix));
        let live = |id: &str| store.keys.contains_key(&format!("job/{id}"));
        if touches("job/") {
            self.marks.retain(|id, _| live(id));
            self.done.retain(|id, _| live(id));
        }
        if touches("marks/") {
            self.check_marks(production::marks_in(store), live);
        }
        if touches("machines/") {
            self.check_machines(production::machines_in(store));
        }
        let jobs_of_chunks = touched.iter().filter_map(|key| key.strip_prefix("done/")?.split('/').next());
        for id in jobs_of_chunks.filter(|id| live(id)) {
            self.check_done(id, production::done_in(store, id));
        }
    }

    /// No mark of a job that is not over has fallen.
    fn check_marks(&mut self, marks: BTreeMap<String, u32>, live: impl Fn(&str) -> bool) {
        for (id, highest) in &self.marks {
            let mark = marks.get(id);
            assert!(mark >= Some(highest), "the mark of {id} was {highest} and is {mark:?}");
        }
        self.marks.extend(marks.into_iter().filter(|(id, _)| live(id)));
    }

    /// All machines that were enrolled and not returned are there.
    fn check_machines(&mut self, machines: BTreeSet<String>) {
        let missing: Vec<&String> = self.enrolled.difference(&machines).collect();
        assert!(missing.is_empty(), "machines are missing: {missing:?}");
        self.enrolled.extend(machines.difference(&self.returned).cloned());
    }

    /// No done task of a job is lost.
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
