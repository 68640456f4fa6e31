//! A model of cells that lend to each other: durable records behind transactions that may be applied
//! late, leaders that crash between any two steps, and messages that are lost, duplicated, reordered and
//! late. The rules of loans are asserted at every step.

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

/// Tasks that the machines of the first cell run at a time; few, so that it lends.
const FIRST_CELL_SLOTS: usize = 2;
/// Tasks that the machines of any other cell run at a time.
const OTHER_CELL_SLOTS: usize = 4;

/// A job, known to the whole model.
struct Job {
    tasks: u32,
    /// Index of the cell that accepted it.
    lender: usize,
    /// Its user asked for its cancellation.
    cancel_asked: bool,
}

/// A cell.
struct Cell {
    name: String,
    store: Store,
    leader: Leader,
    /// What its machines run. It outlives the leader.
    running: BTreeSet<Task>,
    /// Results on machines that are not recorded yet.
    results: BTreeSet<Task>,
    /// Tasks that its machines run at a time.
    slots: usize,
}

/// Probabilities of faults, in a thousand for each step.
#[derive(Clone, Copy)]
pub struct Faults {
    /// A message is lost.
    pub lost: u32,
    /// A message is delivered twice.
    pub duplicated: u32,
    /// A leader crashes.
    pub crash: u32,
    /// A transaction has no answer.
    pub unanswered: u32,
}

impl Faults {
    /// None at all.
    pub const NONE: Faults = Faults { lost: 0, duplicated: 0, crash: 0, unanswered: 0 };
}

/// Some cells, their jobs, and the messages in flight.
pub struct World {
    cells: Vec<Cell>,
    jobs: BTreeMap<String, Job>,
    messages: Vec<Message>,
    rng: StdRng,
    faults: Faults,
    /// Each task that ever started, with its cell.
    started: BTreeMap<Task, usize>,
    /// Each task that finished, with its cell.
    finished: BTreeMap<Task, usize>,
    confirmed_cancelled: BTreeSet<String>,
}

impl World {
    /// Cells with array jobs, most of them in the first.
    pub fn new(cells: usize, seed: u64, faults: Faults) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let cells: Vec<Cell> = (0..cells).map(new_cell).collect();
        let mut jobs = BTreeMap::new();
        for number in 0..rng.random_range(2..6) {
            let lender = if rng.random_range(0..4) > 0 { 0 } else { rng.random_range(0..cells.len()) };
            let job = Job { tasks: rng.random_range(1..30), lender, cancel_asked: false };
            jobs.insert(format!("wk-{number}"), job);
        }
        World {
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

    /// Whether an event of this probability happens now.
    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    /// One event in each cell, then some deliveries.
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
            self.ask_cancellation();
        }
    }

    /// The leader dies between two steps; the next one reads the records, hears all machines and stops
    /// what it does not know.
    fn crash(&mut self, at: usize) {
        let cell = &mut self.cells[at];
        cell.store.term += 1;
        cell.leader = Leader::rebuild(&cell.store);
        for job in self.job_ids() {
            self.stop_dropped(at, &job);
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
