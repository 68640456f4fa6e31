//! A model of the writes of a leader of the version in production: which changes share a transaction, and
//! which other writes a refused one delays. Line numbers are those of that version's sources.

use milletlock::wire::{Change, Guard, Txn};

use super::production::{PendingWrite, Written};
use super::production_leader::ProductionLeader;

/// Maximum number of changes in a transaction, and of transactions in a round (`batches`,
/// src/cluster.rs:226).
const MAX_CHANGES: usize = 8;
const MAX_BATCHES: usize = 4;

/// A transaction and the records that it writes (`Batch`, src/cluster.rs:370).
struct Batch {
    is_urgent: bool,
    txn: Txn,
    items: Vec<Written>,
}

impl ProductionLeader<'_> {
    /// Sends the pending writes, in transactions as that version composes them (`write_once`,
    /// src/node.rs:1104). Returns whether all were executed. The keys that a refused transaction names are
    /// read back; a refusal delays only the writes in the same transaction.
    pub fn write_once(&mut self) -> bool {
        self.refused.clear();
        for batch in self.batches() {
            let result = self.world.store().txn(&batch.txn);
            match result {
                Ok(revision) => batch.items.into_iter().for_each(|written| self.written(written, revision)),
                Err(keys) if keys.iter().any(|key| key == "part/0") => {
                    self.leads = false;
                    return false;
                }
                Err(keys) => {
                    self.refused.push(batch.txn);
                    keys.iter().for_each(|key| self.read_back(key));
                }
            }
        }
        self.refused.is_empty()
    }

    /// Packs the pending writes into transactions, as many into each one as fit (`batches`,
    /// src/cluster.rs:226). Urgent writes, for which users or workers wait, never share a transaction with
    /// other writes: a refused write also delays the others of its transaction.
    fn batches(&self) -> Vec<Batch> {
        let mut batches: Vec<Batch> = Vec::new();
        for PendingWrite { written, guards, then } in self.owner.pending() {
            let is_urgent = matches!(written, Written::Final(_) | Written::Machines(_) | Written::Marks(_));
            let fits = |batch: &Batch| {
                batch.is_urgent == is_urgent && batch.txn.then.len() + then.len() <= MAX_CHANGES
            };
            if !batches.last().is_some_and(fits) {
                if batches.len() >= MAX_BATCHES {
                    break;
                }
                let part = Guard { key: "part/0".into(), mod_revision: self.owner.part };
                batches.push(Batch {
                    is_urgent,
                    txn: Txn { guards: vec![part], then: Vec::new() },
                    items: Vec::new(),
                });
            }
            let batch = batches.last_mut().expect("a batch");
            for guard in guards {
                if !batch.txn.guards.contains(&guard) {
                    batch.txn.guards.push(guard);
                }
            }
            batch.txn.then.extend(then);
            batch.items.push(written);
        }
        batches
    }

    /// Applies a write that was executed (`written`, src/fleet.rs:2150).
    fn written(&mut self, written: Written, revision: u64) {
        self.owner.apply_written(written.clone(), revision);
        match written {
            Written::Machines(_) => {
                for (id, machine) in &mut self.machines {
                    machine.is_enrolled |= self.owner.has_enrolled(id);
                }
            }
            Written::Marks(_) => {
                for (id, job) in &mut self.jobs {
                    job.mark = job.mark.max(self.owner.written_mark(id));
                }
            }
            Written::Final(id) => self.job_over(&id),
            Written::Done(..) | Written::Orphan(_) => {}
        }
    }

    /// Takes over the stored value of a key after a conflict (`learn`, src/cluster.rs:322). Final records are
    /// ignored.
    fn read_back(&mut self, key: &str) {
        let row = self.world.store().row(key);
        if let Some(id) = key.strip_prefix("job/") {
            match row {
                Some(row) if self.version.read_job(&row.value).is_some() => {
                    self.learn_job(&row.value, row.mod_revision)
                }
                _ => self.job_over(id),
            }
        } else {
            self.owner.read_back(key, row.as_ref());
        }
    }
}

/// The changes of a transaction that concern a job.
pub fn changes_of<'t>(txn: &'t Txn, id: &str) -> Vec<&'t Change> {
    txn.then.iter().filter(|change| change.key().split('/').any(|part| part == id)).collect()
}
