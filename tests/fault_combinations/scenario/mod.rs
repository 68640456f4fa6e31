//! A simulated cluster without chance: state store, leaders and workers in steps of simulated time.
//!
//! A scenario says what fails; [`invariants`] checks the rules from outside at each step.

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

/// How far each step moves the time, in seconds.
pub const STEP: f64 = 0.5;

/// What passes between a worker and the controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    /// Everything.
    Up,
    /// Nothing.
    Down,
    /// Direct commands and what they return; no heartbeat.
    CommandsOnly,
    /// Heartbeats; no reply and no direct command.
    HeartbeatsOnly,
}

/// A worker with all that is done to its messages.
pub struct Worker {
    pub state: WorkerState,
    pub due: f64,
    /// The leader to which it sends heartbeats.
    pub leader: usize,
    pub link: Link,
    /// Whether it sends a heartbeat at once.
    pub changed: bool,
}

/// A kind of writes.
pub type WriteKind = fn(&PendingWrite) -> bool;

/// A controller that has claimed everything.
pub struct SimulatedLeader {
    pub controller: SimulatedController,
    pub alive: bool,
    /// Inside a zone that may be partitioned.
    pub zone: Option<&'static str>,
    /// When it last saw the jobs' changes.
    pub last_read: f64,
    /// The next transaction with such a write gets no reply and is carried out so much later.
    pub lost_reply: Option<(f64, WriteKind)>,
}

/// A simulation of the state store, controllers and workers, which checks the rules from outside.
pub struct Scenario {
    pub cfg: Arc<Config>,
    /// Seconds since the beginning.
    pub seconds: f64,
    pub store: Store,
    pub leaders: Vec<SimulatedLeader>,
    pub workers: Vec<Worker>,
    pub specs: BTreeMap<String, JobSpec>,
    /// How long tasks run, by job or by task.
    pub run_times: BTreeMap<String, f64>,
    /// The zone that is partitioned from all else.
    pub partitioned_zone: Option<&'static str>,
    /// Whether the state store replies, and whether the cloud carries out returns.
    pub store_up: bool,
    pub cloud_up: bool,
    pub late_transactions: Vec<(Steady, Txn)>,
    /// How late transactions went: their revision, or the keys whose guards failed.
    pub late_results: Vec<Result<u64, Vec<String>>>,
    pub starts: BTreeMap<String, u32>,
    pub started_at: BTreeMap<String, f64>,
    pub finished: BTreeSet<String>,
    pub cancelled: BTreeMap<String, f64>,
    pub finals: BTreeMap<String, Stage>,
}

impl Scenario {
    /// With the usual settings.
    pub fn new() -> Scenario {
        Scenario::with(|_| ())
    }

    /// With other settings of the platform.
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

    /// A first leader and small machines, four processors each, all heard and enrolled.
    pub fn begin_with(&mut self, zones: &[&'static str]) {
        self.fail_over(None);
        zones.iter().enumerate().for_each(|(n, z)| self.add_machine(n as u32 + 1, z));
        self.run(4.0);
        assert!(self.fleet().machines.values().all(|m| m.acknowledged && m.registered));
    }

    /// A small machine is up.
    pub fn add_machine(&mut self, n: u32, zone: &'static str) {
        self.workers.push(Worker {
            state: WorkerState::new(format!("i-{n}"), zone, at(self.seconds)),
            due: self.seconds,
            leader: 0,
            link: Link::Up,
            changed: false,
        });
    }

    /// The worker with an id.
    pub fn worker(&mut self, id: &str) -> &mut Worker {
        self.workers.iter_mut().find(|w| w.state.id == id).expect("a worker")
    }

    /// Changes what passes to and from some workers.
    pub fn link(&mut self, workers: &[&str], link: Link) {
        workers.iter().for_each(|w| self.worker(w).link = link);
    }

    /// A user submits a job; its tasks run for a time, unless they have one of their own.
    pub fn submit(&mut self, s: JobSpec, run_time: f64) -> String {
        let mut r = record(s.clone());
        r.submitted_us = wall(self.seconds).0;
        self.store.txn(&submission(&r)).expect("a new id");
        let id = s.id.clone();
        self.run_times.entry(id.clone()).or_insert(run_time);
        self.specs.insert(id.clone(), s);
        id
    }

    /// Whether a user's cancellation was confirmed.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(txn) = self.store.cancellation(&self.specs[id]) else { return false };
        let written = self.store.txn(&txn).is_ok();
        if written {
            self.cancelled.insert(id.into(), self.seconds);
        }
        written
    }

    /// How a job ended, if it has.
    pub fn stage(&self, id: &str) -> Option<Stage> {
        self.store.final_stage(id)
    }

    /// Tasks of a job that are on some machine.
    pub fn placed(&self, id: &str) -> usize {
        self.workers.iter().map(|w| w.state.placed_of(id)).sum()
    }

    /// Where a job's running tasks are.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let has = |w: &&Worker| w.state.placed_of(id) > 0;
        self.workers.iter().filter(has).map(|w| w.state.id.clone()).collect()
    }

    /// How often tasks of a job were started, all together.
    pub fn started(&self, id: &str) -> u32 {
        self.starts.iter().filter(|x| job_of(x.0) == id).map(|x| x.1).sum()
    }

    /// Half a second passes for all.
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

    /// So many seconds pass.
    pub fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP).round() as usize {
            self.step();
        }
    }

    /// Until all jobs are over, or too long.
    pub fn finish(&mut self, within: f64) {
        let until = self.seconds + within;
        while !self.store.rows("job/").is_empty() {
            assert!(self.seconds < until, "left undone at {} s: {:?}", self.seconds, self.store.rows("job/"));
            self.step();
        }
        for id in self.specs.keys() {
            let cancelled = self.cancelled.contains_key(id);
            let stage = if cancelled { Stage::Cancelled } else { Stage::Done };
            assert_eq!(self.stage(id), Some(stage), "{id}");
        }
    }
}
