//! The record of everything that the workers of all cells did, which tests check afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use milletlock::wire::WorkerCommand;

use super::super::worker::Attempt;

/// A task's exit with a result, and how the controllers answered the heartbeats that list it.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// Index of the cell in which the task ran.
    pub cell: usize,
    /// The time of the exit.
    pub at: Instant,
    /// The time when a leader first accepted a heartbeat that lists the exit, and the leader's fencing token.
    pub accepted: Option<(Instant, u64)>,
    /// Whether a controller that does not lead redirected a heartbeat that lists the exit.
    pub was_redirected: bool,
}

/// The events at the workers of all cells.
#[derive(Default)]
pub struct History {
    /// The cells and attempt numbers with which each task started, by task.
    pub started_attempts: BTreeMap<String, BTreeSet<(usize, u64)>>,
    /// The cell of each exit with a result, by task.
    pub finished: BTreeMap<String, Vec<usize>>,
    /// The exits with a result, by task.
    pub exits: BTreeMap<String, Vec<Exit>>,
    /// The time when a heartbeat of a cell was first accepted by a leader, by cell and fencing token.
    pub first_accepted: BTreeMap<(usize, u64), Instant>,
    /// The id of the machine on which each attempt is running, by cell and attempt.
    pub running: BTreeMap<(usize, Attempt), String>,
    /// The ids of machines that were returned to the cloud or destroyed.
    pub removed_machines: BTreeSet<String>,
    /// Tasks that end at once instead of at the end of their run time.
    pub ended_early: BTreeSet<String>,
    /// The number of machines that were requested from the cloud, which provides none.
    pub scale_out_requests: u64,
    /// The commands that workers executed, with the times.
    pub commands: Vec<(Instant, WorkerCommand)>,
    /// The number of tasks that were killed because their worker's lease expired.
    pub killed_by_lease: usize,
}

impl History {
    /// Removes a machine with all its tasks.
    pub fn remove_machine(&mut self, id: &str) {
        self.removed_machines.insert(id.to_string());
        self.running.retain(|_, machine| machine != id);
    }

    /// Records that a task has exited with a result.
    pub fn record_exit(&mut self, task: &str, cell: usize) {
        let exit = Exit { cell, at: Instant::now(), accepted: None, was_redirected: false };
        self.exits.entry(task.to_string()).or_default().push(exit);
        self.finished.entry(task.to_string()).or_default().push(cell);
    }

    /// Records that a heartbeat was accepted by a leader with this fencing token, or was redirected if there
    /// is no token. The heartbeat lists the tasks `done` as exited with a result.
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

    /// The number of tasks that finished in each cell.
    pub fn finished_per_cell(&self, cells: usize) -> Vec<usize> {
        let of = |cell: usize| self.finished.values().flatten().filter(|at| **at == cell).count();
        (0..cells).map(of).collect()
    }

    /// The number of tasks of a job that finished.
    pub fn finished_of(&self, job: &str) -> usize {
        self.finished.keys().filter(|task| task.starts_with(&format!("{job}/"))).count()
    }

    /// Asserts that `tasks` tasks finished, each of them once, and that each task started in only one cell.
    pub fn assert_each_finished_once(&self, tasks: usize) {
        for (task, cells) in &self.finished {
            assert_eq!(cells.len(), 1, "{task} finished in cells {cells:?}");
        }
        for (task, attempts) in &self.started_attempts {
            let cells: BTreeSet<usize> = attempts.iter().map(|attempt| attempt.0).collect();
            assert_eq!(cells.len(), 1, "{task} started in cells {cells:?}");
        }
        assert_eq!(self.finished.len(), tasks);
    }
}
