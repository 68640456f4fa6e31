//! A deterministic simulation of a cluster: the state store, leaders and workers, in steps of simulated time.
//!
//! A scenario determines which faults occur. The module [`invariants`] checks the cluster after each step.

mod invariants;
mod leaders;
mod messages;
mod tasks;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletlock::config::Config;
use milletlock::fleet::PendingWrite;
use milletlock::time::Steady;
use milletlock::wire::{JobSpec, Stage, Txn};

use crate::common::clock::{at, wall};
use crate::common::simulated_controller::SimulatedController;
use crate::common::store::{submission, Store};
use crate::common::worker::{job_of, WorkerState};
use crate::common::{config_with, record};

/// Duration of a step, in seconds.
pub const STEP: f64 = 0.5;

/// The messages that pass between a worker and the controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    /// All messages pass.
    Up,
    /// No message passes.
    Down,
    /// Direct commands and their replies pass, but no heartbeat.
    CommandsOnly,
    /// Heartbeats pass, but no reply to them and no direct command.
    HeartbeatsOnly,
}

/// A worker, and the state of its connection to the controllers.
pub struct Worker {
    pub state: WorkerState,
    /// When the worker sends its next heartbeat, in seconds.
    pub due: f64,
    /// Index of the leader to which the worker sends heartbeats.
    pub leader: usize,
    pub link: Link,
    /// Whether the worker's state has changed since its last heartbeat. If so, it sends one at once.
    pub changed: bool,
}

/// Selects the pending writes of one kind.
pub type WriteKind = fn(&PendingWrite) -> bool;

/// A controller that is or was the leader.
pub struct SimulatedLeader {
    pub controller: SimulatedController,
    pub alive: bool,
    /// The zone that the leader is in, if a scenario partitions that zone.
    pub zone: Option<&'static str>,
    /// When the leader last read the changes of the jobs, in seconds.
    pub last_read: f64,
    /// The next transaction with a write of this kind gets no reply, and is applied after this delay in
    /// seconds.
    pub lost_reply: Option<(f64, WriteKind)>,
}

/// A simulation of the state store, leaders and workers.
pub struct Scenario {
    pub cfg: Arc<Config>,
    /// Seconds since the start of the simulation.
    pub seconds: f64,
    pub store: Store,
    /// All leaders so far, the newest last.
    pub leaders: Vec<SimulatedLeader>,
    pub workers: Vec<Worker>,
    /// The descriptions of all submitted jobs, by job.
    pub specs: BTreeMap<String, JobSpec>,
    /// Run time of the tasks in seconds, by task or, for the other tasks, by job.
    pub run_times: BTreeMap<String, f64>,
    /// The zone that is partitioned from the rest of the cluster.
    pub partitioned_zone: Option<&'static str>,
    /// Whether the state store is available.
    pub store_up: bool,
    /// Whether the cloud is available, so that machines can be returned.
    pub cloud_up: bool,
    /// Transactions that got no reply, with the time at which they are applied.
    pub late_transactions: Vec<(Steady, Txn)>,
    /// Results of the late transactions: the revision, or the keys whose guards did not match.
    pub late_results: Vec<Result<u64, Vec<String>>>,
    /// Number of starts, by task.
    pub starts: BTreeMap<String, u32>,
    /// When the first task of a job was started, in seconds, by job.
    pub started_at: BTreeMap<String, f64>,
    /// The tasks that are done.
    pub finished: BTreeSet<String>,
    /// When a cancellation was confirmed, in seconds, by job.
    pub cancelled: BTreeMap<String, f64>,
    /// The first final stage that was seen, by job.
    pub finals: BTreeMap<String, Stage>,
}

impl Scenario {
    /// Creates a scenario with the default test settings.
    pub fn new() -> Scenario {
        Scenario::with(|_| ())
    }

    /// Creates a scenario with changes to the platform's settings.
    pub fn with(change: impl FnOnce(&mut serde_json::Value)) -> Scenario {
        Scenario {
            cfg: config_with(change),
            seconds: 0.0,
            store: Store::default(),
            leaders: Vec::new(),
            workers: Vec::new(),
            specs: BTreeMap::new(),
            run_times: BTreeMap::new(),
            partitioned_zone: None,
            store_up: true,
            cloud_up: true,
            late_transactions: Vec::new(),
            late_results: Vec::new(),
            starts: BTreeMap::new(),
            started_at: BTreeMap::new(),
            finished: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            finals: BTreeMap::new(),
        }
    }

    /// Starts the first leader, and one small machine of four processors for each of `zones`. Runs until all
    /// machines have acknowledged the leader's fencing token and are registered.
    pub fn begin_with(&mut self, zones: &[&'static str]) {
        self.fail_over(None);
        zones.iter().enumerate().for_each(|(n, z)| self.add_machine(n as u32 + 1, z));
        self.run(4.0);
        assert!(self.fleet().machines.values().all(|m| m.acknowledged && m.registered));
    }

    /// Adds a small machine that has just started.
    pub fn add_machine(&mut self, n: u32, zone: &'static str) {
        self.workers.push(Worker {
            state: WorkerState::new(format!("i-{n}"), zone, at(self.seconds)),
            due: self.seconds,
            leader: 0,
            link: Link::Up,
            changed: false,
        });
    }

    /// Returns the worker with this ID.
    pub fn worker(&mut self, id: &str) -> &mut Worker {
        self.workers.iter_mut().find(|w| w.state.id == id).expect("a worker")
    }

    /// Sets the link of some workers.
    pub fn link(&mut self, workers: &[&str], link: Link) {
        workers.iter().for_each(|w| self.worker(w).link = link);
    }

    /// Submits a job as a user and returns its ID. The tasks run for `run_time` seconds, unless `run_times`
    /// has another time for a task.
    pub fn submit(&mut self, s: JobSpec, run_time: f64) -> String {
        let mut r = record(s.clone());
        r.submitted_us = wall(self.seconds).0;
        self.store.txn(&submission(&r)).expect("a new ID");
        let id = s.id.clone();
        self.run_times.entry(id.clone()).or_insert(run_time);
        self.specs.insert(id.clone(), s);
        id
    }

    /// Cancels a job as a user. Returns whether the cancellation was confirmed.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(txn) = self.store.cancellation(&self.specs[id]) else { return false };
        let written = self.store.txn(&txn).is_ok();
        if written {
            self.cancelled.insert(id.into(), self.seconds);
        }
        written
    }

    /// Returns the final stage of a job, or `None` if the job has not ended.
    pub fn stage(&self, id: &str) -> Option<Stage> {
        self.store.final_stage(id)
    }

    /// Returns the number of tasks of a job that are on a machine and have not exited.
    pub fn placed(&self, id: &str) -> usize {
        self.workers.iter().map(|w| w.state.placed_of(id)).sum()
    }

    /// Returns the machines that have tasks of a job that have not exited.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let has = |w: &&Worker| w.state.placed_of(id) > 0;
        self.workers.iter().filter(has).map(|w| w.state.id.clone()).collect()
    }

    /// Returns the number of starts of all tasks of a job together.
    pub fn started(&self, id: &str) -> u32 {
        self.starts.iter().filter(|x| job_of(x.0) == id).map(|x| x.1).sum()
    }

    /// Simulates one step of [`STEP`] seconds.
    pub fn step(&mut self) {
        self.seconds += STEP;
        if self.store_up {
            self.apply_late_transactions();
        }
        self.read_changes();
        self.send_token_commands();
        self.exchange_heartbeats();
        self.run_tasks();
        self.write_records();
        self.return_machines();
        self.check_invariants();
    }

    /// Simulates this many seconds.
    pub fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP).round() as usize {
            self.step();
        }
    }

    /// Runs until all jobs have ended, and asserts their final stages. Panics if this takes longer than
    /// `within` seconds.
    pub fn finish(&mut self, within: f64) {
        let until = self.seconds + within;
        while !self.store.rows("job/").is_empty() {
            assert!(
                self.seconds < until,
                "jobs not ended at {} s: {:?}",
                self.seconds,
                self.store.rows("job/")
            );
            self.step();
        }
        for id in self.specs.keys() {
            let cancelled = self.cancelled.contains_key(id);
            let stage = if cancelled { Stage::Cancelled } else { Stage::Done };
            assert_eq!(self.stage(id), Some(stage), "{id}");
        }
    }
}
