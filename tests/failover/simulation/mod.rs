//! A simulated cluster of leaders, workers and a state store, with random faults.
//!
//! The child modules contain the parts of a step. [`invariants`] checks the invariants from the state of the
//! workers and of the state store.

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

/// The time that passes in one step.
const STEP: Micros = Micros(250_000);

/// A worker with the faults of its machine and of its messages.
struct Worker {
    state: WorkerState,
    /// The index of its machine type in the list of types.
    type_index: usize,
    /// The duration of its lease, as its own clock measures it.
    lease: Micros,
    /// When its next heartbeat is due.
    due: Steady,
    partitioned_until: Steady,
    replies_lost_until: Steady,
    heartbeats_lost_until: Steady,
    frozen_until: Steady,
    /// Whether the worker sends its heartbeats to a leader that has lost the state store, while that leader
    /// replies.
    keeps_old_leader: bool,
    /// A reply that has not arrived yet: its arrival time, the time and the agent epoch of its heartbeat, and
    /// the reply itself.
    reply: Option<(Steady, Steady, u64, HeartbeatReply)>,
}

/// A direct command that carries a fencing token and has not arrived yet.
struct Command {
    /// When the command arrives.
    at: Steady,
    machine: String,
    fencing_token: u64,
    agent_epoch: u64,
}

/// A controller that considers itself the leader.
struct SimulatedLeader {
    controller: SimulatedController,
    /// When it last read the changes to jobs' records.
    last_read: Steady,
    /// Its contact with the state store, which limits how long it may reply to workers.
    store_contact: StoreContact,
    /// It cannot reach the state store until this time.
    store_lost_until: Steady,
}

/// The simulated cluster, with the state that the checks need.
struct Simulation {
    rng: StdRng,
    faults: Faults,
    now: Steady,
    store: Store,
    /// The controllers that consider themselves the leader, oldest first.
    leaders: Vec<SimulatedLeader>,
    workers: Vec<Worker>,
    /// The submitted jobs, by id.
    specs: BTreeMap<String, JobSpec>,
    /// The tasks that have been done.
    finished: BTreeSet<String>,
    /// When the user of each cancelled job received the confirmation.
    cancelled: BTreeMap<String, Steady>,
    /// For each job whose user has not received a reply to a cancellation yet: when the user sends it again.
    cancel_retries: BTreeMap<String, Steady>,
    /// The jobs for which a user has requested a cancellation.
    cancel_requested: BTreeSet<String>,
    /// The stage in the first final record that was written of each job.
    finals: BTreeMap<String, Stage>,
    /// Number of entries in the log of the state store that have been checked.
    log_checked: usize,
    /// Heartbeats that arrive late, with their arrival times.
    late_heartbeats: Vec<(Steady, Heartbeat)>,
    /// Heartbeats that arrive after a later leader was elected. Each has the fencing token of the newest
    /// leader at the time when it was sent.
    delayed_heartbeats: Vec<(u64, Heartbeat)>,
    /// Transactions that are executed late, with their times.
    late_transactions: Vec<(Steady, Txn)>,
    /// Direct commands that have not arrived yet.
    commands: Vec<Command>,
    /// Replies to direct commands: the arrival time, the fencing token of the sender of the command, and the
    /// reply.
    command_replies: Vec<(Steady, (u64, Heartbeat))>,
    /// The state store is unavailable until this time.
    store_unavailable_until: Steady,
    /// There is no leader until this time.
    no_leader_until: Steady,
    /// When another controller becomes the leader after a leader has lost the state store.
    next_leader: Option<Steady>,
    /// After the end of the faults: since when each job could start and has not started.
    waiting: BTreeMap<String, Steady>,
    /// How often the faults have occurred that the simulation is to test.
    faults_occurred: u32,
    next_machine: u32,
    /// While the oldest leader and the zone `south` are partitioned from all others: since when, and until
    /// when.
    partition: Option<(Steady, Steady)>,
    /// Whether faults occur.
    faulty: bool,
    /// Number of task starts.
    starts: usize,
    /// How long a leader without contact with the state store may reply.
    max_staleness: Micros,
    /// Longest time from the confirmation of a cancellation until the job's tasks have ended.
    cancel: Micros,
    cfg: Arc<Config>,
    types: Vec<MachineType>,
    /// An earlier and the latest machine list of the cloud.
    lists: [Vec<ListedMachine>; 2],
}

impl Simulation {
    /// A simulation with six machines in two zones and a first leader.
    fn new(seed: u64, faults: &Faults) -> Simulation {
        let cfg = config_with(|settings| settings["workers"]["cancel_s"] = json!(faults.cancel_s));
        let mut simulation = Simulation {
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
            delayed_heartbeats: Vec::new(),
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
            max_staleness: cfg.max_staleness(),
            cancel: Micros::from_secs(faults.cancel_s),
            cfg,
            types: types(),
            lists: [Vec::new(), Vec::new()],
        };
        for i in 0..6 {
            simulation.add_machine(
                usize::from(i % 3 == 2),
                if i % 2 == 0 { "north" } else { "south" },
                i == 0,
            );
        }
        simulation.fail_over();
        simulation
    }

    /// Whether a fault of probability `p` occurs now.
    fn chance(&mut self, p: f64) -> bool {
        self.faulty && p > 0.0 && self.rng.random_bool(p)
    }

    /// A random time between `from` and `to` seconds from now.
    fn later(&mut self, from: f64, to: f64) -> Steady {
        self.now + Micros::from_secs(self.rng.random_range(from..to))
    }

    /// Whether the state store is unavailable to all users and leaders.
    fn state_store_unavailable(&self) -> bool {
        self.now < self.store_unavailable_until
    }

    /// Adds a machine whose clock runs a little too fast or too slow.
    fn add_machine(&mut self, type_index: usize, zone: &'static str, spot: bool) {
        self.next_machine += 1;
        let lease = LEASE.scale(self.rng.random_range(0.9995..1.0005));
        let id = format!("i-{:06}", self.next_machine);
        let type_name = self.types[type_index].name.clone();
        self.workers.push(Worker {
            state: WorkerState { machine_type: type_name, spot, ..WorkerState::new(id, zone, self.now) },
            type_index,
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

    /// Advances the time by [`STEP`], in which all parts of the cluster act.
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

    /// Number of jobs that have not ended.
    fn open_jobs(&self) -> usize {
        self.store.rows("job/").len()
    }
}
