//! More than four thousand machines: scaled out, enrolled, filled with work, failed over, and returned,
//! against a model of the cloud, the workers and the state store, without a clock.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::clock::{wall_at, START};
use common::servers::serve;
use common::simulated_controller::SimulatedController;
use common::state_store_server::parameter;
use common::store::{submission, Store};
use common::{config, heartbeat, record, spec};
use milletlock::capacity::ScaleOutItem;
use milletlock::cloud::CloudClient;
use milletlock::config::Config;
use milletlock::controller::done_write_interval;
use milletlock::fleet::HeartbeatOutcome;
use milletlock::http::Response;
use milletlock::jobs::{JobId, MachineId};
use milletlock::time::{Micros, Steady};
use milletlock::wire::{ExitReason, JobSpec, TaskStage, WorkerCommand};
use serde_json::json;

/// More than the service has to carry.
const MACHINES: usize = 4_200;
/// Most machines in one request for some, by the cloud's rules.
const MACHINES_PER_REQUEST: usize = 50;
/// Tasks of one processor that fit on a small machine.
const TASKS_PER_MACHINE: usize = 4;
/// Workers send heartbeats this far apart in these settings.
const HEARTBEAT_INTERVAL: Micros = Micros(3_000_000);
/// Resident memory for each machine with its tasks, the models of worker and state store included; 35 KiB
/// when this was written.
const MAX_KB_PER_MACHINE: usize = 48;

/// A task's name and attempt with what its worker says of it.
type Tasks = BTreeMap<(String, u64), TaskStage>;

/// The cluster around the leader.
struct Cluster {
    cfg: Arc<Config>,
    store: Store,
    now: Steady,
    leader: SimulatedController,
    workers: BTreeMap<String, Tasks>,
    sequence: u64,
    /// Tasks that were ever started; none may be twice.
    started: BTreeSet<String>,
}

impl Cluster {
    fn new() -> Cluster {
        let cfg = config();
        let mut store = Store::default();
        let leader = SimulatedController::claim(&mut store, &cfg, START);
        Cluster {
            cfg,
            store,
            now: START,
            leader,
            workers: BTreeMap::new(),
            sequence: 0,
            started: BTreeSet::new(),
        }
    }

    fn submit(&mut self, job: JobSpec) {
        let mut record = record(job);
        record.submitted_us = self.now.0;
        self.store.txn(&submission(&record)).expect("a new job");
        self.leader.read_changes(&self.store, self.now);
    }

    /// Scales out as the leader asks, fifty at a time, up to what the cloud has.
    fn scale_out(&mut self) {
        for ScaleOutItem { offer, count } in self.leader.fleet.decide_scaling(self.now, wall_at(self.now)) {
            let mut left = (count as usize).min(MACHINES - self.workers.len());
            while left > 0 {
                let names: Vec<String> = (0..left.min(MACHINES_PER_REQUEST))
                    .map(|n| format!("i-{:06}", self.workers.len() + n))
                    .collect();
                left -= names.len();
                self.workers.extend(names.iter().map(|name| (name.clone(), Tasks::new())));
                self.leader.fleet.add_scaled_out_machines(&names, offer, self.now);
            }
        }
    }

    /// Lets a heartbeat's interval pass: plans, writes, and replies to the heartbeat of every worker.
    fn step(&mut self) {
        self.now = self.now + HEARTBEAT_INTERVAL;
        self.leader.fleet.tick(self.now, wall_at(self.now));
        self.write();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        names.iter().for_each(|name| self.exchange_heartbeat(name));
        self.write();
    }

    /// Writes all that is pending, in as many transactions as that takes.
    fn write(&mut self) {
        loop {
            // Nobody reads the changes up to here again.
            self.store.log.clear();
            let batches = self.leader.batches(Micros::ZERO, 1_000, self.now);
            if batches.is_empty() {
                return;
            }
            for batch in batches {
                let result = self.store.txn(&batch.txn);
                self.leader.apply_txn_result(&batch, Some(result), self.now).expect("written");
            }
        }
    }

    fn exchange_heartbeat(&mut self, name: &str) {
        self.sequence += 1;
        let tasks = &self.workers[name];
        let why = |stage: &TaskStage| (*stage == TaskStage::Exited).then_some(ExitReason::Done);
        let listed: Vec<_> = tasks
            .iter()
            .map(|((task, attempt), stage)| (task.as_str(), *attempt, *stage, why(stage)))
            .collect();
        let message = heartbeat(name, self.sequence, self.leader.fleet.fencing_token, &listed);
        let HeartbeatOutcome::Reply(reply) =
            self.leader.fleet.apply_heartbeat(&message, self.now, wall_at(self.now))
        else {
            panic!("the heartbeat of {name} is refused");
        };
        for command in reply.commands {
            self.execute(name, command);
        }
    }

    fn execute(&mut self, name: &str, command: WorkerCommand) {
        let tasks = self.workers.get_mut(name).expect("a worker");
        match command {
            WorkerCommand::Start { task, attempt } => {
                assert!(self.started.insert(task.clone()), "{task} starts twice");
                tasks.insert((task, attempt), TaskStage::Running);
                let running = tasks.values().filter(|stage| **stage == TaskStage::Running).count();
                assert!(running <= TASKS_PER_MACHINE, "{name} has no capacity for that");
            }
            WorkerCommand::Halt { task, .. } => panic!("{task} is stopped"),
            WorkerCommand::Forget { task, attempt } => {
                tasks.remove(&(task, attempt));
            }
        }
    }

    fn running(&self) -> usize {
        self.workers.values().flatten().filter(|task| *task.1 == TaskStage::Running).count()
    }

    /// All running tasks complete.
    fn complete_all(&mut self) {
        self.workers.values_mut().flat_map(|tasks| tasks.values_mut()).for_each(|s| *s = TaskStage::Exited);
    }

    /// A new leader is elected, under the next fencing token.
    fn fail_over(&mut self) {
        self.leader = SimulatedController::claim(&mut self.store, &self.cfg, self.now);
    }

    /// Returns what the leader gives back, a hundred at a time; how many.
    fn return_machines(&mut self) -> usize {
        self.leader.fleet.decide_scaling(self.now, wall_at(self.now));
        let leaving = self.leader.fleet.machines_to_scale_in();
        for part in leaving.chunks(100) {
            self.leader.fleet.remove_scaled_in_machines(part, self.now);
            for name in part {
                assert!(self.workers.remove(name).is_some_and(|tasks| tasks.is_empty()), "{name} was in use");
            }
        }
        leaving.len()
    }
}

/// Resident memory of this process in KiB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("this system tells");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("resident memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

#[test]
fn four_thousand_machines_are_scaled_out_filled_failed_over_and_scaled_in() {
    let mut cluster = Cluster::new();
    let before = resident_kb();
    let wide = |n: u32| JobSpec { estimate_s: 200.0, ..spec(n, 10_000, "batch") };
    cluster.submit(wide(1));
    cluster.submit(wide(2));
    cluster.scale_out();
    assert_eq!(cluster.workers.len(), MACHINES, "all that the cloud has, in one round");
    (0..4).for_each(|_| cluster.step());
    assert_eq!(cluster.running(), MACHINES * TASKS_PER_MACHINE);
    let values = cluster.store.rows("machines/").len();
    assert!(values * 15 < MACHINES, "{values} values hold the machines' records");
    let kb = resident_kb().saturating_sub(before) / MACHINES;
    assert!(kb <= MAX_KB_PER_MACHINE, "{kb} KiB for a machine");

    // Another becomes leader: it hears all, and starts nothing that runs.
    cluster.fail_over();
    assert_eq!(cluster.leader.fleet.unacknowledged_machines(), MACHINES);
    cluster.step();
    assert_eq!(cluster.leader.fleet.unacknowledged_machines(), 0);
    cluster.step();
    assert_eq!(cluster.running(), MACHINES * TASKS_PER_MACHINE);

    // What is left starts as the first tasks end, and all of it ends.
    for _ in 0..4 {
        cluster.complete_all();
        (0..3).for_each(|_| cluster.step());
    }
    assert_eq!((cluster.started.len(), cluster.running()), (20_000, 0));
    assert!(cluster.store.rows("job/").is_empty() && cluster.store.rows("done/").is_empty());

    // With nothing left to do all machines go back.
    let mut returned = 0;
    for _ in 0..40 {
        cluster.step();
        returned += cluster.return_machines();
    }
    assert_eq!((returned, cluster.workers.len()), (MACHINES, 0));
    cluster.write();
    let left: BTreeSet<JobId> = cluster.leader.fleet.jobs.keys().cloned().collect();
    assert!(left.is_empty() && cluster.leader.fleet.machines.is_empty());
}

#[test]
fn the_clouds_list_is_read_to_its_end_page_by_page() {
    let address = serve(|request| {
        let from = parameter(&request, "from").trim_start_matches("i-").parse::<usize>().unwrap_or(0);
        let most: usize = parameter(&request, "most").parse().expect("a number");
        let to = (from + most).min(MACHINES);
        let machine = |n: usize| {
            json!({"nameId": format!("i-{n:06}"), "addr": "10.0.0.1:9000", "breed": "small", "field": "north",
                   "gleanings": false, "stage": "running", "ageS": 5.0})
        };
        let page: Vec<_> = (from + 1..=to).map(machine).collect();
        Response::json(200, &json!({ "husks": page, "more": to < MACHINES }))
    });
    let list = CloudClient::new(address, 1e6).list().expect("a list");
    let names: BTreeSet<MachineId> = list.iter().map(|m| m.id.as_str().into()).collect();
    assert_eq!((list.len(), names.len()), (MACHINES, MACHINES));
}

/// Attempt numbers have 24 bits below the fencing token; after that many they would have come again.
#[test]
fn a_leader_that_has_used_up_its_attempt_numbers_starts_nothing_more() {
    let mut cluster = Cluster::new();
    cluster.submit(spec(1, 4, "batch"));
    cluster.scale_out();
    (0..3).for_each(|_| cluster.step());
    assert_eq!(cluster.running(), 4);
    cluster.leader.fleet.skip_attempt_numbers(1 << 24);
    assert!(cluster.leader.fleet.attempts_exhausted());
    cluster.submit(spec(2, 200, "batch"));
    cluster.scale_out();
    (0..3).for_each(|_| cluster.step());
    assert!(cluster.workers.len() > 1);
    assert_eq!(cluster.running(), 4);
    // Its successor has as many again.
    cluster.fail_over();
    assert!(!cluster.leader.fleet.attempts_exhausted());
    (0..3).for_each(|_| cluster.step());
    assert!(cluster.running() > 4);
}

/// Every twelve seconds, whatever the rates: what a spot machine had done since was lost with it, and ran
/// again. Guards against that, and against many jobs taking the changes that starts wait for.
#[test]
fn done_ranges_are_written_as_often_as_the_rate_of_changes_allows() {
    let interval = |jobs: usize, write_rps: f64| done_write_interval(jobs, write_rps).secs();
    assert_eq!(interval(48, 60.0), 4.0);
    assert_eq!((interval(0, 60.0), interval(3, 60.0)), (2.0, 2.0));
    assert_eq!((interval(48, 15.0), interval(4_000, 60.0)), (12.0, 12.0));
}
