//! Late copies of messages that were carried out and answered before: heartbeats and direct commands arrive once
//! more while tasks end, are moved or are cancelled, and while controllers and workers restart at once.
//!
//! `MILLETLOCK_SEEDS=1-500` runs more seeds than a usual test run does.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use common::lending_world::{Leader, World, STEP};
use common::servers::serve_opt;
use common::store::take_due;
use common::worker::{job_of, Task, WorkerState};
use common::{seeds, spec, LEASE};
use milletlock::http::{Request, Response};
use milletlock::leadership::LEADER_KEY;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{
    DirectCommandRequest, ExitReason, Heartbeat, HeartbeatReply, TaskStage, WorkerCommand,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

const WORKERS: usize = 3;
const JOBS: u32 = 16;
/// Steps with faults.
const FAULTY_STEPS: u32 = 400;
/// Steps without faults within which all jobs must end.
const STEPS_TO_FINISH: u32 = 400;
/// The probability that a message is copied.
const COPY: f64 = 0.3;
/// The probability of a cancellation, and of each fault, in a step.
const FAULT: f64 = 0.04;
/// The probability that a running task ends in a step.
const TASK_END: f64 = 0.1;

/// How often each fault has to occur in a simulation, on average, so that the result is meaningful.
const LEAST_PER_SIMULATION: usize = 5;

/// A message that arrives once more.
enum LateCopy {
    Heartbeat(Heartbeat),
    Command { worker: usize, request: DirectCommandRequest },
}

/// A worker with the faults of its machine.
struct Worker {
    state: WorkerState,
    /// Until then no heartbeat of the worker arrives, and direct commands are held up.
    unreachable_until: Steady,
}

/// What happened in a simulation.
#[derive(Default, Debug)]
struct Counts {
    copied_heartbeats: usize,
    copied_commands: usize,
    /// Starts of tasks that had been started on another machine before.
    moved: usize,
    controller_restarts: usize,
    worker_restarts: usize,
}

impl Counts {
    fn add(self, other: Counts) -> Counts {
        Counts {
            copied_heartbeats: self.copied_heartbeats + other.copied_heartbeats,
            copied_commands: self.copied_commands + other.copied_commands,
            moved: self.moved + other.moved,
            controller_restarts: self.controller_restarts + other.controller_restarts,
            worker_restarts: self.worker_restarts + other.worker_restarts,
        }
    }
}

/// The workers of a cell, and the messages to them.
struct Workers {
    rng: StdRng,
    now: Steady,
    workers: Vec<Worker>,
    copies: Vec<(Steady, LateCopy)>,
    /// The jobs whose users were told that they are cancelled.
    cancelled: BTreeSet<String>,
    /// The machine on which each task was started last.
    last_machine: BTreeMap<String, usize>,
    counts: Counts,
}

impl Workers {
    fn new(seed: u64, now: Steady) -> Workers {
        Workers {
            rng: StdRng::seed_from_u64(seed),
            now,
            workers: Vec::new(),
            copies: Vec::new(),
            cancelled: BTreeSet::new(),
            last_machine: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// A time between half a second and several leases from now.
    fn later(&mut self) -> Steady {
        let most = if self.rng.random_bool(0.5) { 5.0 } else { 70.0 };
        self.now + Micros::from_secs(self.rng.random_range(0.5..most))
    }

    /// Keeps a copy of a message, in some cases.
    fn copy(&mut self, message: LateCopy) {
        if self.rng.random_bool(COPY) {
            let at = self.later();
            self.copies.push((at, message));
        }
    }

    /// A direct command arrives for the first time. Returns none if it is held up; its sender then gets no answer.
    fn on_command(&mut self, worker: usize, request: DirectCommandRequest) -> Option<Response> {
        let until = self.workers[worker].unreachable_until;
        if self.now < until {
            self.copies.push((until, LateCopy::Command { worker, request }));
            return None;
        }
        self.copy(LateCopy::Command { worker, request: request.clone() });
        let is_accepted = self.execute_command(worker, &request);
        let status = if is_accepted { 200 } else { 409 };
        Some(Response::json(status, &self.workers[worker].state.heartbeat()))
    }

    /// Executes a direct command if its fencing token and agent epoch allow it. Returns whether they do.
    fn execute_command(&mut self, worker: usize, request: &DirectCommandRequest) -> bool {
        let state = &mut self.workers[worker].state;
        if !state.accept_command(request.fencing_token, request.agent_epoch) {
            return false;
        }
        for command in &request.commands {
            assert!(!matches!(command, WorkerCommand::Start { .. }), "a direct command starts a task");
            self.execute(worker, command);
        }
        true
    }

    fn execute(&mut self, worker: usize, command: &WorkerCommand) {
        match command {
            WorkerCommand::Start { task, attempt } => self.start(worker, task, *attempt),
            WorkerCommand::Halt { task, attempt, .. } => {
                self.workers[worker].state.halt(task, *attempt);
            }
            WorkerCommand::Forget { task, attempt } => self.workers[worker].state.forget(task, *attempt),
        }
    }

    fn start(&mut self, worker: usize, task: &str, attempt: u64) {
        if self.workers[worker].state.tasks.contains_key(&(task.to_string(), attempt)) {
            return;
        }
        let has_task = |worker: &Worker| worker.state.placed().any(|(other, _)| other == task);
        assert!(!self.workers.iter().any(has_task), "{task} starts while it is on a machine");
        assert!(!self.cancelled.contains(job_of(task)), "{task} starts after its cancellation");
        let last = self.last_machine.insert(task.to_string(), worker);
        self.counts.moved += usize::from(last.is_some_and(|last| last != worker));
        let running = Task::new(TaskStage::Running, Micros::ZERO, self.now);
        self.workers[worker].state.tasks.insert((task.to_string(), attempt), running);
    }

    /// Ends sessions whose lease has expired, and some of the running tasks.
    fn advance(&mut self, now: Steady) {
        self.now = now;
        for worker in &mut self.workers {
            worker.state.end_session_after(LEASE, now);
            for task in worker.state.tasks.values_mut().filter(|task| task.stage == TaskStage::Running) {
                if self.rng.random_bool(TASK_END) {
                    task.enter(TaskStage::Exited, Some(ExitReason::Done), now);
                }
            }
        }
    }

    /// Makes a worker unreachable for a while, or restarts its machine at once.
    fn disturb(&mut self) {
        if self.rng.random_bool(FAULT) {
            let (until, worker) = (self.later(), self.rng.random_range(0..WORKERS));
            self.workers[worker].unreachable_until = until;
        }
        if self.rng.random_bool(FAULT) {
            let worker = self.rng.random_range(0..WORKERS);
            let state = &mut self.workers[worker].state;
            state.tasks.clear();
            state.agent_epoch += 1;
            (state.fencing_token, state.lease_start) = (0, self.now);
            self.counts.worker_restarts += 1;
        }
    }
}

/// A cell with its workers and its present controller.
struct Simulation<'a> {
    world: &'a World,
    workers: Arc<Mutex<Workers>>,
    leader: Leader<'a>,
    submitted: u32,
}

impl<'a> Simulation<'a> {
    fn new(world: &'a World, seed: u64) -> Simulation<'a> {
        let workers = Arc::new(Mutex::new(Workers::new(seed, world.now())));
        let mut simulation =
            Simulation { world, workers, leader: world.leader_without_cells(), submitted: 0 };
        (0..WORKERS).for_each(|_| simulation.add_worker());
        simulation
    }

    /// Adds a machine with its worker, which receives direct commands on a port of its own.
    fn add_worker(&mut self) {
        let index = self.worker_count();
        let served = self.workers.clone();
        let address = serve_opt(move |request| {
            let command = serde_json::from_slice(&request.body).expect("a direct command");
            served.lock().expect("the workers").on_command(index, command)
        });
        let mut state = WorkerState::new(format!("i-00000{index}"), "north", self.world.now());
        state.addr = address.to_string();
        self.workers().workers.push(Worker { state, unreachable_until: Steady(0) });
    }

    fn worker_count(&self) -> usize {
        self.workers().workers.len()
    }

    fn workers(&self) -> MutexGuard<'_, Workers> {
        self.workers.lock().expect("the workers")
    }

    fn chance(&self, probability: f64) -> bool {
        self.workers().rng.random_bool(probability)
    }

    fn submit(&mut self) {
        let tasks = self.workers().rng.random_range(1..9);
        self.submitted += 1;
        let job = json!(spec(self.submitted, tasks, "batch"));
        assert_eq!(self.leader.user_request("POST", "/api/jobs", &job).0, 201);
    }

    /// Cancels a job that has not ended.
    fn cancel(&mut self) {
        let job = spec(self.workers().rng.random_range(1..=self.submitted), 1, "batch").id;
        let reply = self.leader.user_request("POST", &format!("/api/jobs/{job}/withdraw"), &Value::Null);
        if reply.0 == 200 && reply.1["stage"] == "cancelled" {
            self.workers().cancelled.insert(job);
        }
    }

    /// Replaces the controller by one with the same label that remembers nothing.
    fn restart_controller(&mut self) {
        self.world.store().keys.remove(LEADER_KEY);
        self.leader = self.world.leader_without_cells();
        self.workers().counts.controller_restarts += 1;
    }

    /// Sends a heartbeat to the controller. Returns the reply if the status is 200.
    fn check_in(&self, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        let body = serde_json::to_vec(heartbeat).expect("a heartbeat");
        let request = Request { method: "POST".into(), path: "/checkin".into(), body };
        let response = self.leader.controller.answer(&request, milletlock::api::RequestOrigin::Http);
        (response.status == 200).then(|| serde_json::from_slice(&response.body).expect("a reply"))
    }

    fn exchange_heartbeat(&self, worker: usize) {
        let heartbeat = {
            let mut workers = self.workers();
            if workers.now < workers.workers[worker].unreachable_until {
                return;
            }
            let heartbeat = workers.workers[worker].state.heartbeat();
            workers.copy(LateCopy::Heartbeat(heartbeat.clone()));
            heartbeat
        };
        let Some(reply) = self.check_in(&heartbeat) else { return };
        let mut workers = self.workers();
        let now = workers.now;
        if workers.workers[worker].state.accept_reply(reply.fencing_token, now) {
            reply.commands.iter().for_each(|command| workers.execute(worker, command));
        }
    }

    /// Delivers the copies that are due. Nobody waits for the replies to copied heartbeats any more.
    fn deliver_copies(&self) {
        let mut workers = self.workers();
        let now = workers.now;
        let due = take_due(&mut workers.copies, now);
        drop(workers);
        for copy in due {
            match copy {
                LateCopy::Heartbeat(heartbeat) => {
                    self.check_in(&heartbeat);
                    self.workers().counts.copied_heartbeats += 1;
                }
                LateCopy::Command { worker, request } => {
                    let mut workers = self.workers();
                    workers.execute_command(worker, &request);
                    workers.counts.copied_commands += 1;
                }
            }
        }
    }

    fn step(&mut self) {
        self.world.wait(STEP);
        self.workers().advance(self.world.now());
        (0..self.worker_count()).for_each(|worker| self.exchange_heartbeat(worker));
        self.deliver_copies();
        let controller = &self.leader.controller;
        controller.maintain_leadership_once(Micros::from_secs(3.0));
        controller.watch_once();
        controller.plan_once();
        controller.write_once();
        controller.send_commands_once();
    }
}

/// Runs a simulation. Panics if a task starts while it is on a machine or after its cancellation, or if a job does
/// not end.
fn simulate(seed: u64) -> Counts {
    let world = World::new();
    let mut simulation = Simulation::new(&world, seed);
    for step in 0..FAULTY_STEPS {
        if simulation.submitted < JOBS && step % (FAULTY_STEPS / JOBS) == 0 {
            simulation.submit();
        }
        if simulation.chance(FAULT) {
            simulation.cancel();
        }
        if simulation.chance(FAULT) {
            simulation.restart_controller();
        }
        simulation.workers().disturb();
        simulation.step();
    }
    // A new leader scales machines in that it does not hear. The cell has no cloud, so they never end.
    simulation.add_worker();
    let mut steps = 0;
    while !world.store().rows("job/").is_empty() {
        assert!(steps < STEPS_TO_FINISH, "seed {seed}: jobs have not ended");
        simulation.step();
        steps += 1;
    }
    let mut workers = simulation.workers();
    std::mem::take(&mut workers.counts)
}

/// Guards against a task that runs on two machines, and against a cancelled task that runs again, because a late
/// copy of a message that was carried out before makes a controller or a worker start it.
#[test]
fn late_copies_of_carried_out_messages_start_no_task_again() {
    let seeds = seeds("1-4");
    let simulations = seeds.clone().count();
    let counts = seeds.map(simulate).fold(Counts::default(), Counts::add);
    println!("{simulations} simulations: {counts:?}");
    let Counts { copied_heartbeats, copied_commands, moved, controller_restarts, worker_restarts } = counts;
    let least = [copied_heartbeats, copied_commands, moved, controller_restarts, worker_restarts];
    let is_enough = |count: &usize| *count >= LEAST_PER_SIMULATION * simulations;
    assert!(least.iter().all(is_enough), "too few faults occurred: {counts:?}");
}
