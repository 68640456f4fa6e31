//! Transactions on their way to the state store: without an answer, applied late, sent again.

use milletlock_cells::BorrowerChange;
use rand::Rng;

use super::store::Txn;
use super::{Cell, World};

impl World {
    /// Now and then a transaction that had no answer is applied.
    pub fn apply_late(&mut self, at: usize) {
        if !self.cells[at].store.late.is_empty() && self.chance(200) {
            let position = self.rng.random_range(0..self.cells[at].store.late.len());
            let txn = self.cells[at].store.late.remove(position);
            self.cells[at].store.apply(&txn);
        }
    }

    /// Sends a transaction: whether it was applied, or `None` without an answer.
    pub fn send_txn(&mut self, at: usize, txn: &Txn) -> Option<bool> {
        if self.chance(self.faults.unanswered) {
            if self.chance(500) {
                self.cells[at].store.apply(txn);
            } else {
                self.cells[at].store.late.push(txn.clone());
            }
            return None;
        }
        Some(self.cells[at].store.apply(txn))
    }

    /// Writes, and learns the outcome if there is an answer.
    pub fn write(&mut self, at: usize, txn: Txn, change: Option<BorrowerChange>) {
        match self.send_txn(at, &txn) {
            Some(_) => self.resolve(at, &txn, change.as_ref()),
            None => self.cells[at].leader.unresolved.push((txn, change)),
        }
    }

    /// A write has an answer: whatever it is, no copy of it can be applied later. Its keys are read back.
    fn resolve(&mut self, at: usize, txn: &Txn, change: Option<&BorrowerChange>) {
        let Cell { store, leader, .. } = &mut self.cells[at];
        txn.guards.iter().for_each(|(key, _)| leader.read(store, key));
        let jobs = txn.guards.iter().filter_map(|(key, _)| key.split_once('/'));
        for (_, job) in jobs {
            leader.withheld.remove(job);
            if let Some(number) = leader.lending.remove(job) {
                leader.lender.mark_write_resolved(number);
            }
        }
        if let Some(change) = change {
            self.stop_dropped(at, &change.job);
        }
    }

    /// Sends writes without an answer again.
    pub fn retry_unresolved(&mut self, at: usize) {
        for (txn, change) in std::mem::take(&mut self.cells[at].leader.unresolved) {
            self.write(at, txn, change);
        }
    }
}
