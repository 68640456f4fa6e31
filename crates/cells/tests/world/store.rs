//! The state store of a simulated cell. Its records have versions and change only by compare-and-swap
//! transactions.

use std::collections::BTreeMap;

use milletlock_cells::{BorrowedJob, Lending, LoanNumber, TaskSet};

/// A record in a cell's state store.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The loans of a job, at its lender.
    Lending(Lending),
    /// A borrowed job, at a borrower.
    Borrowed(BorrowedJob),
    /// A lender's high-water mark, at a borrower.
    HighWater(LoanNumber),
    /// The done tasks of an own or borrowed job.
    Done(TaskSet),
    /// Records that a job is cancelled.
    Cancelled,
}

/// A compare-and-swap transaction. It is applied if its term is the current one and all guarded keys have
/// the given versions.
#[derive(Clone, Debug)]
pub struct Txn {
    pub term: u64,
    pub guards: Vec<(String, u64)>,
    pub writes: Vec<(String, Option<Record>)>,
}

/// The state store of a simulated cell.
#[derive(Default)]
pub struct Store {
    pub term: u64,
    revision: u64,
    records: BTreeMap<String, (Record, u64)>,
    /// Transactions that were sent without an answer and may still be applied.
    pub unanswered: Vec<Txn>,
}

impl Store {
    /// Creates an empty state store whose current leader has this term.
    pub fn new(term: u64) -> Store {
        Store { term, ..Store::default() }
    }

    /// The version of a key; 0 if it has no record.
    pub fn version(&self, key: &str) -> u64 {
        self.records.get(key).map_or(0, |(_, version)| *version)
    }

    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key).map(|(record, _)| record)
    }

    pub fn contains(&self, key: &str) -> bool {
        self.records.contains_key(key)
    }

    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.records.keys()
    }

    /// Applies a transaction if its guards hold. Returns whether they held.
    pub fn apply(&mut self, txn: &Txn) -> bool {
        let holds = |(key, version): &(String, u64)| self.version(key) == *version;
        if txn.term != self.term || !txn.guards.iter().all(holds) {
            return false;
        }
        self.revision += 1;
        for (key, record) in &txn.writes {
            match record {
                Some(record) => {
                    self.records.insert(key.clone(), (record.clone(), self.revision));
                }
                None => {
                    self.records.remove(key);
                }
            }
        }
        true
    }

    /// The done tasks recorded under a key.
    pub fn done(&self, key: &str) -> TaskSet {
        match self.get(key) {
            Some(Record::Done(tasks)) => tasks.clone(),
            _ => TaskSet::new(),
        }
    }
}

pub fn lending_key(job: &str) -> String {
    format!("job/{job}")
}

pub fn borrowed_key(job: &str) -> String {
    format!("borrowed/{job}")
}

pub fn high_water_key(lender: &str) -> String {
    format!("mark/{lender}")
}

pub fn done_key(job: &str) -> String {
    format!("done/{job}")
}

pub fn borrowed_done_key(job: &str) -> String {
    format!("borrowed-done/{job}")
}

pub fn cancelled_key(job: &str) -> String {
    format!("final/{job}")
}
