//! A cluster of more than four thousand machines: they are scaled out, send heartbeats, run tasks, are taken
//! over by a new leader, and are scaled in. The cloud, the workers, the state store and the time are
//! simulated.

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

/// The number of machines in the test, which is more than the scheduler has to support.
const MACHINES: usize = 4_200;
/// The maximum number of machines in one request, as the cloud allows it.
const MACHINES_PER_REQUEST: usize = 50;
/// Tasks of one processor that fit on a small machine.
const TASKS_PER_MACHINE: usize = 4;
/// The interval at which workers send heartbeats, in the settings of the tests.
const HEARTBEAT_INTERVAL: Micros = Micros(3_000_000);
/// The limit on resident memory for each machine with its tasks, including the simulated worker and state
/// store. 35 KiB were measured when the test was written.
const MAX_KB_PER_MACHINE: usize = 48;

/// The tasks of a worker, by name and attempt, with their stages.
type Tasks = BTreeMap<(String, u64), TaskStage>;

/// The simulated cluster: the leader, its state store and its workers.
struct Cluster {
    cfg: Arc<Config>,
    store: Store,
    now: Steady,
    leader: SimulatedController,
    workers: BTreeMap<String, Tasks>,
    sequence: u64,
    /// All tasks that were ever started. No task may be started twice.
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

    /// Scales out by the machines that the leader requests, at most fifty in a request, up to `MACHINES` in
    /// total.
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

    /// Lets a heartbeat interval pass: the leader plans, writes its records, and replies to the heartbeat of
    /// every worker.
    fn step(&mut self) {
        self.now = self.now + HEARTBEAT_INTERVAL;
        self.leader.fleet.tick(self.now, wall_at(self.now));
        self.write();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        names.iter().for_each(|name| self.exchange_heartbeat(name));
        self.write();
    }

    /// Writes all pending records, in as many transactions as are needed.
    fn write(&mut self) {
        loop {
            // The changes up to this point are not read again.
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
        let tasks = self.workers.get_mut(name).expect("the worker exists");
        match command {
            WorkerCommand::Start { task, attempt } => {
                assert!(self.started.insert(task.clone()), "{task} is started twice");
                tasks.insert((task, attempt), TaskStage::Running);
                let running = tasks.values().filter(|stage| **stage == TaskStage::Running).count();
                assert!(running <= TASKS_PER_MACHINE, "{name} has no capacity for {running} tasks");
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

    /// Completes all running tasks.
    fn complete_all(&mut self) {
        self.workers.values_mut().flat_map(|tasks| tasks.values_mut()).for_each(|s| *s = TaskStage::Exited);
    }

    /// Replaces the leader by a new one with the next fencing token.
    fn fail_over(&mut self) {
        self.leader = SimulatedController::claim(&mut self.store, &self.cfg, self.now);
    }

    /// Scales in the machines that the leader selects, a hundred at a time. Returns their number.
    fn scale_in(&mut self) -> usize {
        self.leader.fleet.decide_scaling(self.now, wall_at(self.now));
        let selected = self.leader.fleet.machines_to_scale_in();
        for part in selected.chunks(100) {
            self.leader.fleet.remove_scaled_in_machines(part, self.now);
            for name in part {
                assert!(self.workers.remove(name).is_some_and(|tasks| tasks.is_empty()), "{name} was in use");
            }
        }
        selected.len()
    }
}

/// Resident memory of this process in KiB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
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
    assert_eq!(cluster.workers.len(), MACHINES, "one decision scales out to all machines of the cloud");
    (0..4).for_each(|_| cluster.step());
    assert_eq!(cluster.running(), MACHINES * TASKS_PER_MACHINE);
    let values = cluster.store.rows("machines/").len();
    assert!(values * 15 < MACHINES, "{values} values hold the machines' records");
    let kb = resident_kb().saturating_sub(before) / MACHINES;
    assert!(kb <= MAX_KB_PER_MACHINE, "{kb} KiB for each machine");

    // A new leader is elected. All machines acknowledge its fencing token, and it starts no running task
    // again.
    cluster.fail_over();
    assert_eq!(cluster.leader.fleet.unacknowledged_machines(), MACHINES);
    cluster.step();
    assert_eq!(cluster.leader.fleet.unacknowledged_machines(), 0);
    cluster.step();
    assert_eq!(cluster.running(), MACHINES * TASKS_PER_MACHINE);

    // The remaining tasks start as the first ones end, and all tasks end.
    for _ in 0..4 {
        cluster.complete_all();
        (0..3).for_each(|_| cluster.step());
    }
    assert_eq!((cluster.started.len(), cluster.running()), (20_000, 0));
    assert!(cluster.store.rows("job/").is_empty() && cluster.store.rows("done/").is_empty());

    // With no work left, all machines are scaled in.
    let mut scaled_in = 0;
    for _ in 0..40 {
        cluster.step();
        scaled_in += cluster.scale_in();
    }
    assert_eq!((scaled_in, cluster.workers.len()), (MACHINES, 0));
    cluster.write();
    let left: BTreeSet<JobId> = cluster.leader.fleet.jobs.keys().cloned().collect();
    assert!(left.is_empty() && cluster.leader.fleet.machines.is_empty());
}

#[test]
fn the_clouds_list_of_machines_is_read_page_by_page_to_its_end() {
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

/// Attempt numbers have 24 bits below the fencing token. Guards against attempt numbers that repeat once a
/// leader has used them all.
#[test]
fn a_leader_that_has_used_up_its_attempt_numbers_starts_no_more_tasks() {
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
    // The next leader has the full number of attempt numbers again.
    cluster.fail_over();
    assert!(!cluster.leader.fleet.attempts_exhausted());
    (0..3).for_each(|_| cluster.step());
    assert!(cluster.running() > 4);
}

/// Done ranges were once written every twelve seconds, whatever the allowed rate of changes. The results of a
/// spot machine since the last write were lost with the machine, and its tasks ran again. Guards against such
/// long intervals, and against done ranges of many jobs that take the changes which the writes before starts
/// need.
#[test]
fn done_ranges_are_written_as_often_as_the_rate_of_changes_allows() {
    let interval = |jobs: usize, write_rps: f64| done_write_interval(jobs, write_rps).secs();
    assert_eq!(interval(48, 60.0), 4.0);
    assert_eq!((interval(0, 60.0), interval(3, 60.0)), (2.0, 2.0));
    assert_eq!((interval(48, 15.0), interval(4_000, 60.0)), (12.0, 12.0));
}
