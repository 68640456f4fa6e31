//! Random orders of a borrower's writes and reads: answers that are lost or late, retries that are refused, first
//! copies that are executed late, and leaders that are replaced. No task may start in both cells.
//!
//! `MILLETLOCK_SEEDS=1-5000` runs more seeds than a usual test run does.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::gate::Gate;
use common::lender_messages::{deliver, item};
use common::lending_world::{Leader, Machine, World, STEP, TASKS};
use common::seeds;
use common::store_faults::TxnFault;
use milletlock::leadership::LEADER_KEY;
use milletlock_cells::{LoanAction, LoanNumber, LoanState, TaskSet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Steps with faults.
const FAULTY_STEPS: u32 = 40;
/// Steps without faults within which all loans must be closed.
const STEPS_TO_CLOSE: u32 = 60;
/// The largest number of tasks of a loan.
const MAX_LOAN_TASKS: usize = 6;
const TXN_FAULTS: [TxnFault; 3] = [TxnFault::AnswerLost, TxnFault::Lost, TxnFault::Late];

/// The lender, according to the reports of the borrower.
struct Lender {
    /// The tasks that the lender may start.
    own: TaskSet,
    /// The tasks of each open loan.
    loans: BTreeMap<LoanNumber, TaskSet>,
    last_number: u64,
}

impl Lender {
    fn new() -> Lender {
        Lender { own: TaskSet::span(0, TASKS), loans: BTreeMap::new(), last_number: 0 }
    }

    /// Makes a loan of random tasks.
    fn lend(&mut self, rng: &mut StdRng) {
        let tasks: TaskSet = self.own.iter().filter(|_| rng.random_bool(0.3)).take(MAX_LOAN_TASKS).collect();
        if !tasks.is_empty() {
            self.own = self.own.difference(&tasks);
            self.last_number += 1;
            self.loans.insert(LoanNumber(self.last_number), tasks);
        }
    }

    /// Sends the borrower a message about all open loans, and applies its reports. Loans whose tasks are all done
    /// are closed. Returns the tasks that came back.
    fn exchange(&mut self, leader: &Leader<'_>, action: LoanAction) -> TaskSet {
        let items =
            self.loans.iter().map(|(number, tasks)| item(*number, &tasks.to_string(), action)).collect();
        let mut returned = TaskSet::new();
        for report in deliver(leader, items, LoanNumber(self.last_number)) {
            let Some(lent) = self.loans.get_mut(&report.number) else { continue };
            let (kept, done) = match report.state {
                LoanState::Accepted { tasks, done } => (tasks, done),
                LoanState::Closed => Default::default(),
            };
            returned = returned.union(&lent.difference(&kept));
            *lent = kept.difference(&done);
            if lent.is_empty() {
                self.loans.remove(&report.number);
            } else {
                *lent = kept;
            }
        }
        self.own = self.own.union(&returned);
        returned
    }
}

/// A borrower with one machine, and its lender.
struct Simulation<'a> {
    rng: StdRng,
    world: &'a World,
    leader: Leader<'a>,
    machine: Machine,
    lender: Lender,
}

impl<'a> Simulation<'a> {
    fn new(seed: u64, world: &'a World) -> Simulation<'a> {
        let rng = StdRng::seed_from_u64(seed);
        Simulation {
            rng,
            world,
            leader: world.leader(),
            machine: Machine::new("i-000001"),
            lender: Lender::new(),
        }
    }

    fn exchange(&mut self) {
        if self.rng.random_bool(0.5) {
            self.lender.lend(&mut self.rng);
        }
        let action = if self.rng.random_bool(0.4) { LoanAction::Recall } else { LoanAction::Run };
        let returned = self.lender.exchange(&self.leader, action);
        let started: TaskSet = self.machine.started.keys().copied().collect();
        assert!(
            returned.intersection(&started).is_empty(),
            "{returned} are returned, {started} have started"
        );
    }

    /// Runs a step of the borrower. Some of the running tasks end.
    fn step(&mut self) {
        self.leader.heartbeat(&mut self.machine);
        self.check_starts();
        if !self.machine.running().is_empty() && self.rng.random_bool(0.7) {
            self.machine.finish_one();
        }
        self.leader.idle_step();
    }

    fn check_starts(&self) {
        let started: TaskSet = self.machine.started.keys().copied().collect();
        let own = &self.lender.own;
        assert!(started.intersection(own).is_empty(), "{started} have started, the lender may start {own}");
    }

    /// Has the leader write while an answer is held at a gate. Meanwhile the cells exchange a message, and the
    /// machine sends a heartbeat.
    fn write_with_held_answer(&mut self, gate: &Gate, prefix: &str) {
        self.leader.heartbeat(&mut self.machine);
        self.world.wait(STEP);
        self.leader.controller.plan_once();
        gate.close_for_one(prefix);
        let controller = self.leader.controller.clone();
        let writer = std::thread::spawn(move || controller.write_once());
        while !writer.is_finished() && !gate.is_holding() {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.world.faults().by_prefix = None;
        self.exchange();
        gate.open();
        writer.join().expect("the writer");
        self.leader.heartbeat(&mut self.machine);
        self.check_starts();
    }

    /// Exchanges a message while transactions have a fault.
    fn faulty_step(&mut self) {
        let world = self.world;
        let fault = TXN_FAULTS[self.rng.random_range(0..TXN_FAULTS.len())];
        match self.rng.random_range(0..7) {
            0 => world.faults().by_prefix = Some(("borrowed/job/", fault)),
            1 => world.faults().refused_prefix = Some("borrowed/job/"),
            2 => {
                world.faults().by_prefix = Some(("borrowed/done/", TxnFault::Lost));
                self.write_with_held_answer(&world.reads, "borrowed/job/");
            }
            3 => self.write_with_held_answer(&world.transactions, "marks/"),
            4 => world.execute_late_transactions(),
            5 if self.rng.random_bool(0.3) => {
                world.store().keys.remove(LEADER_KEY);
                self.leader = world.leader();
            }
            _ => {}
        }
        self.exchange();
        let was_faulty = world.faults().by_prefix.take().is_some();
        // Retries of an unanswered write are often refused, some of them several times.
        let refuses = was_faulty || world.faults().refused_prefix.is_some();
        let is_refused = refuses && self.rng.random_bool(0.7);
        world.faults().refused_prefix = is_refused.then_some("borrowed/job/");
        self.step();
    }
}

/// Runs a simulation. Panics if a task may start in both cells, or if the loans are not closed in the end.
fn simulate(seed: u64) -> usize {
    println!("seed {seed}");
    let world = World::new();
    let mut simulation = Simulation::new(seed, &world);
    (0..FAULTY_STEPS).for_each(|_| simulation.faulty_step());
    world.execute_late_transactions();
    world.faults().refused_prefix = None;
    for _ in 0..STEPS_TO_CLOSE {
        simulation.step();
        simulation.lender.exchange(&simulation.leader, LoanAction::Run);
    }
    let open = &simulation.lender.loans;
    assert!(open.is_empty(), "seed {seed}: open loans {open:?}");
    let started = &simulation.machine.started;
    assert!(started.values().all(|starts| *starts == 1), "seed {seed}: started more than once: {started:?}");
    started.len()
}

/// Guards against tasks that start in two cells, and against loans that are never closed, in whatever order a
/// borrower's writes and reads are executed and answered.
#[test]
fn no_order_of_writes_and_reads_starts_a_task_in_both_cells() {
    let started: usize = seeds("1-30").map(simulate).sum();
    assert!(started > 40, "only {started} tasks were started");
}
