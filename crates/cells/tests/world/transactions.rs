//! The transactions that leaders send to the simulated state store. They may have no answer, be applied late
//! or be sent again.

use milletlock_cells::BorrowerChange;
use rand::Rng;

use super::store::Txn;
use super::{Cell, Simulation};

impl Simulation {
    /// Applies, with some probability, a transaction that had no answer.
    pub fn apply_late(&mut self, cell_index: usize) {
        if !self.cells[cell_index].store.unanswered.is_empty() && self.chance(200) {
            let position = self.rng.random_range(0..self.cells[cell_index].store.unanswered.len());
            let txn = self.cells[cell_index].store.unanswered.remove(position);
            self.cells[cell_index].store.apply(&txn);
        }
    }

    /// Sends a transaction. Returns whether it was applied, or `None` if there is no answer.
    pub fn send_txn(&mut self, cell_index: usize, txn: &Txn) -> Option<bool> {
        if self.chance(self.faults.unanswered) {
            if self.chance(500) {
                self.cells[cell_index].store.apply(txn);
            } else {
                self.cells[cell_index].store.unanswered.push(txn.clone());
            }
            return None;
        }
        Some(self.cells[cell_index].store.apply(txn))
    }

    /// Sends a write. If there is an answer, applies the outcome; otherwise keeps the write to send it again.
    pub fn write(&mut self, cell_index: usize, txn: Txn, change: Option<BorrowerChange>) {
        match self.send_txn(cell_index, &txn) {
            Some(_) => self.resolve(cell_index, &txn, change.as_ref()),
            None => self.cells[cell_index].leader.unresolved.push((txn, change)),
        }
    }

    /// Handles the answer to a write by reading its keys back. Whatever the answer is, no copy of the write
    /// can be applied later.
    fn resolve(&mut self, cell_index: usize, txn: &Txn, change: Option<&BorrowerChange>) {
        let Cell { store, leader, .. } = &mut self.cells[cell_index];
        txn.guards.iter().for_each(|(key, _)| leader.read(store, key));
        let jobs = txn.guards.iter().filter_map(|(key, _)| key.split_once('/'));
        for (_, job) in jobs {
            leader.withheld.remove(job);
            if let Some(number) = leader.loans_in_flight.remove(job) {
                leader.lender.mark_write_resolved(number);
            }
        }
        if let Some(change) = change {
            self.stop_unborrowed_tasks(cell_index, &change.job);
        }
    }

    /// Sends all writes without an answer again.
    pub fn retry_unresolved(&mut self, cell_index: usize) {
        for (txn, change) in std::mem::take(&mut self.cells[cell_index].leader.unresolved) {
            self.write(cell_index, txn, change);
        }
    }
}
