//! A cell's leader: what it keeps in memory and loses in a crash.

use std::collections::{BTreeMap, BTreeSet};

use milletlock_cells::{BorrowerChange, BorrowerLedger, LenderLedger, LoanNumber, TaskSet};

use super::store::{Record, Store, Txn};

/// What a leader knows.
pub struct Leader {
    pub term: u64,
    pub lender: LenderLedger,
    pub borrower: BorrowerLedger,
    /// Versions of the records as this leader knows them.
    versions: BTreeMap<String, u64>,
    /// Tasks that a write in flight lends or gives back, by job.
    pub withheld: BTreeMap<String, TaskSet>,
    /// Writes without an answer: sent again until they have one.
    pub unresolved: Vec<(Txn, Option<BorrowerChange>)>,
    /// Numbers of loans that are being written, by job.
    pub lending: BTreeMap<String, LoanNumber>,
    /// Loans that borrowers are known to hold.
    pub accepted: BTreeSet<LoanNumber>,
}

impl Leader {
    /// A leader that has read the records.
    pub fn rebuild(store: &Store) -> Leader {
        let mut leader = Leader {
            term: store.term,
            lender: LenderLedger::new(store.term),
            borrower: BorrowerLedger::default(),
            versions: BTreeMap::new(),
            withheld: BTreeMap::new(),
            unresolved: Vec::new(),
            lending: BTreeMap::new(),
            accepted: BTreeSet::new(),
        };
        store.keys().for_each(|key| leader.read(store, key));
        leader
    }

    /// Reads a record.
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

    /// A guard of a key at the version that this leader knows.
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
