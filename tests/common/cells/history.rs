//! What the workers of all cells did, so that a test can check it afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use milletlock::wire::WorkerCommand;

use super::super::worker::Attempt;

/// What the workers of all cells did.
#[derive(Default)]
pub struct History {
    /// Each task that ever began, with the cells and attempts.
    pub begun: BTreeMap<String, BTreeSet<(usize, u64)>>,
    /// How often each task finished in which cell.
    pub finished: BTreeMap<String, Vec<usize>>,
    /// Tasks that are on a machine, with its name.
    pub present: BTreeMap<(usize, Attempt), String>,
    /// Machines that are gone.
    pub gone: BTreeSet<String>,
    /// Tasks that end before their time.
    pub ended_early: BTreeSet<String>,
    /// Machines that were asked for in vain.
    pub scale_out_requests: u64,
    /// The orders that workers executed, and when.
    pub orders: Vec<(Instant, WorkerCommand)>,
    /// Tasks that were killed by the end of a worker's lease.
    pub killed_by_lease: usize,
}

impl History {
    /// A machine is gone, with all that is on it.
    pub fn remove_machine(&mut self, id: &str) {
        self.gone.insert(id.to_string());
        self.present.retain(|_, machine| machine != id);
    }

    /// How many tasks finished in each cell.
    pub fn tally(&self, cells: usize) -> Vec<usize> {
        let of = |cell: usize| self.finished.values().flatten().filter(|at| **at == cell).count();
        (0..cells).map(of).collect()
    }

    /// How many tasks of a job finished.
    pub fn finished_of(&self, job: &str) -> usize {
        self.finished.keys().filter(|task| task.starts_with(&format!("{job}/"))).count()
    }

    /// Each task that was submitted finished once, in the only cell where it ever began.
    pub fn assert_each_finished_once(&self, tasks: usize) {
        for (task, cells) in &self.finished {
            assert_eq!(cells.len(), 1, "{task} finished in cells {cells:?}");
        }
        for (task, began) in &self.begun {
            let cells: BTreeSet<usize> = began.iter().map(|at| at.0).collect();
            assert_eq!(cells.len(), 1, "{task} began in cells {cells:?}");
        }
        assert_eq!(self.finished.len(), tasks);
    }
}
