//! The view of a simulated cell's tasks that its borrower ledger needs.

use std::collections::BTreeSet;

use milletlock_cells::{BorrowRefusal, LoanItem, LoanOffer, LocalTasks, TaskSet};

use super::store::{borrowed_done_key, Store};
use super::{Cell, Task};

pub struct Machines<'a> {
    running: &'a BTreeSet<Task>,
    results: &'a BTreeSet<Task>,
    store: &'a Store,
    /// The number of further tasks that the cell can borrow.
    capacity: u32,
}

impl<'a> Machines<'a> {
    pub fn of(cell: &'a Cell, capacity: u32) -> Machines<'a> {
        Machines { running: &cell.running, results: &cell.results, store: &cell.store, capacity }
    }
}

impl LocalTasks for Machines<'_> {
    fn unstarted(&self, job: &str, tasks: &TaskSet) -> TaskSet {
        let done = self.store.done(&borrowed_done_key(job));
        let is_unstarted = |number: &u32| {
            let task = (job.to_string(), *number);
            !done.contains(*number) && !self.running.contains(&task) && !self.results.contains(&task)
        };
        tasks.iter().filter(is_unstarted).collect()
    }

    fn admit(&self, item: &LoanItem, _offer: &LoanOffer) -> Result<(), BorrowRefusal> {
        if item.tasks.len() > self.capacity {
            return Err(BorrowRefusal::NoCapacity(item.tasks.len()));
        }
        Ok(())
    }
}
