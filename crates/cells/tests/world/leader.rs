//! The leader of a simulated cell, with the state that it keeps in memory and loses in a crash.

use std::collections::{BTreeMap, BTreeSet};

use milletlock_cells::{BorrowerChange, BorrowerLedger, LenderLedger, LoanNumber, TaskSet};

use super::store::{Record, Store, Txn};

/// The state that a leader keeps in memory.
pub struct Leader {
    pub term: u64,
    pub lender: LenderLedger,
    pub borrower: BorrowerLedger,
    /// The versions of the records that this leader has read, by key.
    versions: BTreeMap<String, u64>,
    /// Tasks that a write in flight lends or returns, by job. They must not start.
    pub withheld: BTreeMap<String, TaskSet>,
    /// Writes that have no answer yet. They are sent again until they have one.
    pub unresolved: Vec<(Txn, Option<BorrowerChange>)>,
    /// The number of the loan whose write is in flight, by job.
    pub loans_in_flight: BTreeMap<String, LoanNumber>,
    /// Loans on which their borrower has reported. Their offers are not sent again.
    pub accepted: BTreeSet<LoanNumber>,
}

impl Leader {
    /// Creates a leader that has read all records of a state store.
    pub fn rebuild(store: &Store) -> Leader {
        let mut leader = Leader {
            term: store.term,
            lender: LenderLedger::new(store.term),
            borrower: BorrowerLedger::default(),
            versions: BTreeMap::new(),
            withheld: BTreeMap::new(),
            unresolved: Vec::new(),
            loans_in_flight: BTreeMap::new(),
            accepted: BTreeSet::new(),
        };
        store.keys().for_each(|key| leader.read(store, key));
        leader
    }

    /// Reads the record of a key and updates the ledgers.
    pub fn read(&mut self, store: &Store, key: &str) {
        let (kind, name) = key.split_once('/').expect("a key");
        self.versions.insert(key.to_string(), store.version(key));
        match (kind, store.get(key)) {
            ("job", Some(Record::Lending(lending))) => self.lender.load(name, lending.clone()),
            ("job", None) => self.lender.remove(name),
            ("borrowed", Some(Record::Borrowed(record))) => self.borrower.load(name, record.clone()),
            ("borrowed", None) => {
                let lender = self.borrower.job(name).map(|record| record.lender.clone()).unwrap_or_default();
                self.borrower.remove(&lender, name);
            }
            ("mark", Some(Record::HighWater(number))) => self.borrower.load_high_water(name, *number),
            _ => {}
        }
    }

    /// The guard of a key with the version that this leader has read.
    pub fn guard(&self, key: String) -> (String, u64) {
        let version = self.versions.get(&key).copied().unwrap_or(0);
        (key, version)
    }

    pub fn is_withheld(&self, job: &str, task: u32) -> bool {
        self.withheld.get(job).is_some_and(|tasks| tasks.contains(task))
    }

    /// Whether a write that guards the key has no answer yet.
    pub fn is_unresolved(&self, key: &str) -> bool {
        self.unresolved.iter().any(|(txn, _)| txn.guards.iter().any(|(guard, _)| guard == key))
    }
}
