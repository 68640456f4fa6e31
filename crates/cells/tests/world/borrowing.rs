//! The borrower's side of the simulation: applies the changes that follow from a lender's message, and
//! replies.

use milletlock_cells::{BorrowerChange, LoanSyncRequest};

use super::machines::Machines;
use super::messages::{Message, Reply};
use super::store::{borrowed_done_key, borrowed_key, high_water_key, Record, Txn};
use super::Simulation;

/// The maximum number of tasks that a cell borrows in total.
const MAX_BORROWED: u32 = 40;
/// The maximum number of changes that are made for one message.
const MAX_CHANGES: usize = 100;

impl Simulation {
    /// Writes the changes that follow from a message, and replies.
    pub fn handle_request(&mut self, cell_index: usize, request: &LoanSyncRequest) {
        for _ in 0..MAX_CHANGES {
            let cell = &self.cells[cell_index];
            let borrowed: u32 = cell.leader.borrower.jobs().map(|(_, record)| record.tasks().len()).sum();
            let machines = Machines::of(cell, MAX_BORROWED.saturating_sub(borrowed));
            let Some(change) = cell.leader.borrower.next_change(request, &machines) else { break };
            let keys = [borrowed_key(&change.job), high_water_key(&change.lender)];
            if keys.iter().any(|key| cell.leader.is_unresolved(key)) {
                break;
            }
            self.write_change(cell_index, keys, change);
        }
        let to = self.cell_index(&request.from);
        let cell = &self.cells[cell_index];
        let done = |job: &str| cell.store.done(&borrowed_done_key(job));
        let reply = Reply { reports: cell.leader.borrower.reports(request, done) };
        self.post(|| Message::Reply { to, from: cell_index, reply: reply.clone() });
    }

    fn write_change(&mut self, cell_index: usize, keys: [String; 2], change: BorrowerChange) {
        let leader = &mut self.cells[cell_index].leader;
        leader.withheld.insert(change.job.clone(), change.withdrawn.clone());
        let guards = keys.iter().map(|key| leader.guard(key.clone())).collect();
        let [job_key, mark_key] = keys;
        let mut writes = vec![(job_key, change.record.clone().map(Record::Borrowed))];
        if let Some(number) = change.high_water {
            writes.push((mark_key, Some(Record::HighWater(number))));
        }
        if change.record.is_none() {
            writes.push((borrowed_done_key(&change.job), None));
        }
        let txn = Txn { term: leader.term, guards, writes };
        self.write(cell_index, txn, Some(change));
    }
}
