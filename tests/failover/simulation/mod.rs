//! A simulated cluster of leaders, workers and a state store, with faults at random.
//!
//! The parts of a step are in the child modules; [`invariants`] checks the rules from outside.

mod heartbeats;
mod invariants;
mod jobs;
mod leaders;
mod machines;
mod run;
mod tasks;

pub use run::simulate_all;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletlock::config::Config;
use milletlock::store_contact::StoreContact;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{Heartbeat, HeartbeatReply, JobSpec, ListedMachine, MachineType, Stage, Txn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::faults::Faults;
use crate::common::clock::START;
use crate::common::simulated_controller::SimulatedController;
use crate::common::store::Store;
use crate::common::worker::WorkerState;
use crate::common::{config_with, types, LEASE};

/// How far each step moves the time.
const STEP: Micros = Micros(250_000);

/// A worker with all that is done to its messages.
struct Worker {
    state: WorkerState,
    /// Its place in the list of machine types.
    ty: usize,
    /// By its own clock.
    lease: Micros,
    due: Steady,
    partitioned_until: Steady,
    replies_lost_until: Steady,
    heartbeats_lost_until: Steady,
    frozen_until: Steady,
    /// It keeps the leader that lost the state store, as long as that one replies.
    keeps_old_leader: bool,
    /// A reply on its way: when it arrives, when its heartbeat was sent, and in which session.
    reply: Option<(Steady, Steady, u64, HeartbeatReply)>,
}

/// A direct command that brings a fencing token, on its way.
struct Command {
    at: Steady,
    machine: String,
    fencing_token: u64,
    agent_epoch: u64,
}

/// A controller that is or was leader.
struct SimulatedLeader {
    controller: SimulatedController,
    /// When it last saw the jobs' changes.
    last_read: Steady,
    /// How long it may still reply.
    store_contact: StoreContact,
    /// It has lost the state store until then.
    store_lost_until: Steady,
}

/// The whole cluster, and what the checks know of it.
struct Simulation {
    rng: StdRng,
    faults: Faults,
    now: Steady,
    store: Store,
    leaders: Vec<SimulatedLeader>,
    workers: Vec<Worker>,
    specs: BTreeMap<String, JobSpec>,
    finished: BTreeSet<String>,
    cancelled: BTreeMap<String, Steady>,
    /// Users that want a job cancelled and have no reply yet: when they ask next.
    cancel_retries: BTreeMap<String, Steady>,
    cancel_requested: BTreeSet<String>,
    /// What was first written of each job's end, and how much of the log was checked.
    finals: BTreeMap<String, Stage>,
    log_checked: usize,
    late_heartbeats: Vec<(Steady, Heartbeat)>,
    /// Reports held back, with the fencing token of the newest leader when they were sent.
    held_heartbeats: Vec<(u64, Heartbeat)>,
    late_transactions: Vec<(Steady, Txn)>,
    commands: Vec<Command>,
    /// Replies to direct commands: when they arrive, to whose fencing token.
    command_replies: Vec<(Steady, (u64, Heartbeat))>,
    /// The state store is out, or no leader is there, until then.
    store_unavailable_until: Steady,
    no_leader_until: Steady,
    /// When the next leader follows one that lost the state store.
    next_leader: Option<Steady>,
    /// Once the faults are over: since when each job could start and has not.
    waiting: BTreeMap<String, Steady>,
    /// How often the faults that a simulation is about occurred.
    faults_occurred: u32,
    next_machine: u32,
    /// Since when the oldest leader and the south have been partitioned from all else, and until when.
    partition: Option<(Steady, Steady)>,
    faulty: bool,
    starts: usize,
    /// How long a leader replies that sees no cancellations.
    bound: Micros,
    cancel: Micros,
    cfg: Arc<Config>,
    types: Vec<MachineType>,
    /// The cloud's list as it was, and as it is seen.
    lists: [Vec<ListedMachine>; 2],
}

impl Simulation {
    /// Six machines in two zones and a first leader.
    fn new(seed: u64, faults: &Faults) -> Simulation {
        let cfg = config_with(|settings| settings["workers"]["cancel_s"] = json!(faults.cancel_s));
        let mut w = Simulation {
            rng: StdRng::seed_from_u64(seed),
            faults: faults.clone(),
            now: START,
            store: Store::default(),
            leaders: Vec::new(),
            workers: Vec::new(),
            specs: BTreeMap::new(),
            finished: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            cancel_retries: BTreeMap::new(),
            cancel_requested: BTreeSet::new(),
            finals: BTreeMap::new(),
            log_checked: 0,
            late_heartbeats: Vec::new(),
            held_heartbeats: Vec::new(),
            late_transactions: Vec::new(),
            commands: Vec::new(),
            command_replies: Vec::new(),
            store_unavailable_until: Steady(0),
            no_leader_until: Steady(0),
            next_leader: None,
            waiting: BTreeMap::new(),
            faults_occurred: 0,
            next_machine: 0,
            partition: None,
            faulty: true,
            starts: 0,
            bound: cfg.max_staleness(),
            cancel: Micros::from_secs(faults.cancel_s),
            cfg,
            types: types(),
            lists: [Vec::new(), Vec::new()],
        };
        for i in 0..6 {
            w.add_machine(usize::from(i % 3 == 2), if i % 2 == 0 { "north" } else { "south" }, i == 0);
        }
        w.fail_over();
        w
    }

    /// Whether a fault of some probability occurs now.
    fn chance(&mut self, p: f64) -> bool {
        self.faulty && p > 0.0 && self.rng.random_bool(p)
    }

    /// A moment that lies so many seconds ahead.
    fn later(&mut self, from: f64, to: f64) -> Steady {
        self.now + Micros::from_secs(self.rng.random_range(from..to))
    }

    /// Whether users and leaders can neither read nor write.
    fn state_store_unavailable(&self) -> bool {
        self.now < self.store_unavailable_until
    }

    /// A machine whose clock goes a little fast or slow.
    fn add_machine(&mut self, ty: usize, zone: &'static str, spot: bool) {
        self.next_machine += 1;
        let lease = LEASE.scale(self.rng.random_range(0.9995..1.0005));
        let id = format!("i-{:06}", self.next_machine);
        let ty_name = self.types[ty].name.clone();
        self.workers.push(Worker {
            state: WorkerState { ty: ty_name, spot, ..WorkerState::new(id, zone, self.now) },
            ty,
            lease,
            due: self.now,
            partitioned_until: Steady(0),
            replies_lost_until: Steady(0),
            heartbeats_lost_until: Steady(0),
            frozen_until: Steady(0),
            keeps_old_leader: false,
            reply: None,
        });
    }

    /// A quarter of a second passes for all.
    fn step(&mut self) {
        self.now = self.now + STEP;
        self.partition = self.partition.filter(|a| self.now < a.1 && self.faulty);
        if self.rng.random_bool(0.6) {
            self.read_changes();
        }
        self.send_token_commands();
        self.exchange_heartbeats();
        self.run_tasks();
        self.write_records();
        self.change_machines();
        self.send_cancellations();
        self.check_invariants();
    }

    /// How many jobs are not over.
    fn open_jobs(&self) -> usize {
        self.store.rows("job/").len()
    }
}
