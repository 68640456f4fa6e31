//! What the workers of all cells did, so that a test can check it afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use milletlock::wire::WorkerCommand;

use super::super::worker::Attempt;

/// A task's exit with a result, and how far the result came.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    pub cell: usize,
    pub at: Instant,
    /// When a leader first accepted a heartbeat that lists it, with the leader's fencing token.
    pub accepted: Option<(Instant, u64)>,
    /// Whether a heartbeat that lists it was redirected by a controller that does not lead.
    pub was_redirected: bool,
}

/// What the workers of all cells did.
#[derive(Default)]
pub struct History {
    /// Each task that ever began, with the cells and attempts.
    pub started_attempts: BTreeMap<String, BTreeSet<(usize, u64)>>,
    /// How often each task finished in which cell.
    pub finished: BTreeMap<String, Vec<usize>>,
    /// The exits with a result of each task.
    pub exits: BTreeMap<String, Vec<Exit>>,
    /// When the first heartbeat of a cell's workers was accepted with a fencing token.
    pub first_accepted: BTreeMap<(usize, u64), Instant>,
    /// Tasks that are on a machine, with its name.
    pub on_machine: BTreeMap<(usize, Attempt), String>,
    /// Machines that are gone.
    pub removed_machines: BTreeSet<String>,
    /// Tasks that end before their time.
    pub ended_early: BTreeSet<String>,
    /// Machines that were asked for in vain.
    pub scale_out_requests: u64,
    /// The commands that workers executed, and when.
    pub commands: Vec<(Instant, WorkerCommand)>,
    /// Tasks that were killed by the end of a worker's lease.
    pub killed_by_lease: usize,
}

impl History {
    /// A machine is gone, with all that is on it.
    pub fn remove_machine(&mut self, id: &str) {
        self.removed_machines.insert(id.to_string());
        self.on_machine.retain(|_, machine| machine != id);
    }

    /// A task has exited with a result.
    pub fn record_exit(&mut self, task: &str, cell: usize) {
        let exit = Exit { cell, at: Instant::now(), accepted: None, was_redirected: false };
        self.exits.entry(task.to_string()).or_default().push(exit);
        self.finished.entry(task.to_string()).or_default().push(cell);
    }

    /// A heartbeat that lists these tasks as exited with a result was accepted by a leader with this fencing
    /// token, or redirected (none).
    pub fn record_heartbeat_reply<'a>(
        &mut self,
        cell: usize,
        fencing_token: Option<u64>,
        done: impl Iterator<Item = &'a str>,
    ) {
        let now = Instant::now();
        if let Some(token) = fencing_token {
            self.first_accepted.entry((cell, token)).or_insert(now);
        }
        for task in done {
            let last = self.exits.get_mut(task).and_then(|exits| exits.last_mut());
            let Some(exit) = last.filter(|exit| exit.cell == cell) else { continue };
            match fencing_token {
                Some(token) => {
                    exit.accepted.get_or_insert((now, token));
                }
                None => exit.was_redirected = true,
            }
        }
    }

    /// How many tasks finished in each cell.
    pub fn finished_per_cell(&self, cells: usize) -> Vec<usize> {
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
        for (task, began) in &self.started_attempts {
            let cells: BTreeSet<usize> = began.iter().map(|at| at.0).collect();
            assert_eq!(cells.len(), 1, "{task} began in cells {cells:?}");
        }
        assert_eq!(self.finished.len(), tasks);
    }
}
