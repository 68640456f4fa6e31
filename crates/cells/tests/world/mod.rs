//! A simulation of cells that lend tasks to each other. Transactions on stored records may be applied late,
//! leaders may crash between any two steps, and messages may be lost, duplicated, reordered or late. Whenever
//! a task starts or finishes, and whenever a cancellation is confirmed, the simulation asserts that this is
//! allowed.

mod borrowing;
mod cancellation;
mod checks;
mod execution;
mod leader;
mod lending;
mod machines;
mod messages;
mod store;
mod transactions;

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use leader::Leader;
use messages::Message;
use store::Store;

/// A task: the job's id and the task's number.
type Task = (String, u32);

/// The number of tasks that the first cell can run at a time. It is small so that the cell lends tasks.
const FIRST_CELL_SLOTS: usize = 2;
/// The number of tasks that any other cell can run at a time.
const OTHER_CELL_SLOTS: usize = 4;

/// A job of the simulation.
struct Job {
    /// The number of its tasks.
    tasks: u32,
    /// Index of the cell to which the job was submitted.
    lender: usize,
    /// Whether a user has requested the job's cancellation.
    cancel_requested: bool,
}

/// A simulated cell.
struct Cell {
    name: String,
    store: Store,
    leader: Leader,
    /// Tasks that run on the cell's machines. They keep running when the leader crashes.
    running: BTreeSet<Task>,
    /// Finished tasks whose results are still on the machines and not yet recorded.
    results: BTreeSet<Task>,
    /// The number of tasks that the cell's machines can run at a time.
    slots: usize,
}

/// The probabilities of faults, per mille.
#[derive(Clone, Copy)]
pub struct Faults {
    /// The probability that a message is lost.
    pub lost: u32,
    /// The probability that a message is delivered twice.
    pub duplicated: u32,
    /// The probability that a leader crashes in a step.
    pub crash: u32,
    /// The probability that a transaction has no answer.
    pub unanswered: u32,
}

impl Faults {
    /// No faults.
    pub const NONE: Faults = Faults { lost: 0, duplicated: 0, crash: 0, unanswered: 0 };
}

/// The state of a simulation: cells, jobs and messages in flight.
pub struct Simulation {
    cells: Vec<Cell>,
    jobs: BTreeMap<String, Job>,
    messages: Vec<Message>,
    rng: StdRng,
    faults: Faults,
    /// The cell in which each task started, for every task that has ever started.
    started: BTreeMap<Task, usize>,
    /// The cell in which each task finished, for every finished task.
    finished: BTreeMap<Task, usize>,
    /// Jobs whose cancellation has been confirmed.
    confirmed_cancelled: BTreeSet<String>,
}

impl Simulation {
    /// Creates cells with random array jobs, most of which belong to the first cell.
    pub fn new(cells: usize, seed: u64, faults: Faults) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let cells: Vec<Cell> = (0..cells).map(new_cell).collect();
        let mut jobs = BTreeMap::new();
        for number in 0..rng.random_range(2..6) {
            let lender = if rng.random_range(0..4) > 0 { 0 } else { rng.random_range(0..cells.len()) };
            let job = Job { tasks: rng.random_range(1..30), lender, cancel_requested: false };
            jobs.insert(format!("wk-{number}"), job);
        }
        Simulation {
            cells,
            jobs,
            messages: Vec::new(),
            rng,
            faults,
            started: BTreeMap::new(),
            finished: BTreeMap::new(),
            confirmed_cancelled: BTreeSet::new(),
        }
    }

    /// Draws whether an event of this probability happens.
    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    /// Simulates one event in each cell and then delivers messages.
    pub fn step(&mut self) {
        for cell in 0..self.cells.len() {
            if self.chance(self.faults.crash) {
                self.crash(cell);
            }
            self.apply_late(cell);
            self.retry_unresolved(cell);
            match self.rng.random_range(0..6) {
                0 => self.lend(cell),
                1 => self.send_requests(cell),
                2 => self.record_results(cell),
                3 => self.finish_some(cell),
                4 => self.confirm_cancellations(cell),
                _ => self.start_some(cell),
            }
        }
        self.deliver();
        if self.faults.crash > 0 && self.chance(3) {
            self.request_cancellation();
        }
    }

    /// Replaces a cell's leader. The new leader reads the records, receives the heartbeats of all machines
    /// and stops the tasks of other cells' jobs that are not borrowed any more.
    fn crash(&mut self, cell_index: usize) {
        let cell = &mut self.cells[cell_index];
        cell.store.term += 1;
        cell.leader = Leader::rebuild(&cell.store);
        for job in self.job_ids() {
            self.stop_unborrowed_tasks(cell_index, &job);
        }
    }

    fn job_ids(&self) -> Vec<String> {
        self.jobs.keys().cloned().collect()
    }

    fn cell_index(&self, name: &str) -> usize {
        self.cells.iter().position(|cell| cell.name == name).expect("a cell")
    }
}

fn new_cell(index: usize) -> Cell {
    let store = Store::new(1);
    let leader = Leader::rebuild(&store);
    Cell {
        name: format!("cell-{index}"),
        store,
        leader,
        running: BTreeSet::new(),
        results: BTreeSet::new(),
        slots: if index == 0 { FIRST_CELL_SLOTS } else { OTHER_CELL_SLOTS },
    }
}
