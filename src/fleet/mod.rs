//! The leader's model of the cluster: its jobs, its machines, the tasks on them and what workers'
//! heartbeats say. No I/O and no clock; the moments are handed in. What has to be written to the
//! state store or asked of the cloud is collected here and carried out by others.
//!
//! A task is *possibly there* from the moment a start may leave until a newer report lacks it or
//! shows it exited, or the machine is gone for certain. Nothing is started elsewhere before.

mod admission;
mod borrowing;
mod demand;
mod heartbeats;
mod lending;
mod loans;
mod machines;
mod planner_input;
mod planning;
mod reconciliation;
mod records;
mod recovery;
mod replicas;
mod starts;
mod status;
mod tasks;
mod team_use;
mod upkeep;

pub use admission::never_runs;
pub use borrowing::BorrowedTasks;
pub use lending::LendingCandidate;
pub use loans::{LoanWrite, Loans};
pub use machines::{Machine, TaskEntry};
pub use records::{PackKind, PendingWrite, WriteContents};
pub use status::{FactorView, JobView, MachineView, StatusView};

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletlock_cells::BorrowedJob;
use milletlock_recovery::RecoveryTracker;
use serde::Serialize;

use crate::capacity::{CapacityView, MachineStatus, Offer, ScalingPolicy, WarmPool};
use crate::config::{Config, Team};
use crate::direct_command::DirectCommand;
use crate::history::{EstimateKey, History};
use crate::jobs::{split_task, GangAttempt, Job, JobId, MachineId};
use crate::keys::done_key;
use crate::packed_records::PackedRecords;
use crate::records::{DemandRecord, JobRecord, MachineRecord};
use crate::sched::{
    self, IncrementalBackfill, JobClass, MachineSnapshot, PlacedTask, Plan, ReservedHeadroom, Resources,
    Snapshot, TeamUse,
};
use crate::task_ranges::{chunk_number, chunk_span, TaskRanges};
use crate::time::{Micros, Steady, Wall};
use crate::wire::{
    ExitReason, Heartbeat, HeartbeatReply, JobSpec, ListedMachine, MachineType, Priority, Shape, TaskStage,
    TaskStatus, WorkerCommand,
};

use demand::*;
use replicas::WaitingService;
use starts::MAX_ORDERS;

/// A task on a machine: (job, task number within the job, attempt number).
pub type TaskKey = (JobId, u32, u64);

/// What to do with a worker's heartbeat, as decided by [`Fleet::check_in`].
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Answer 200 with this reply: this leader's fencing token and the orders for the machine.
    Reply(HeartbeatReply),
    /// The heartbeat carries this higher fencing token: another leader has taken over.
    Superseded(u64),
    /// Not to be answered with 200: the machine is gone, its name is malformed, or the heartbeat is a
    /// copy or was overtaken by a newer one.
    Refuse,
}

/// Progress of a job's tasks, as answered to a poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Tasks done.
    pub done: u32,
    /// Tasks running or saving a checkpoint.
    pub running: u32,
}

/// The leader's model of the cluster: jobs, machines, loans and the latest plan.
pub struct Fleet {
    /// This leader's fencing token.
    pub fencing_token: u64,
    /// Jobs that are not over, or whose tasks are not all gone.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Tasks lent to other cells and borrowed from them.
    pub loans: Loans,
    /// What is known of the machines that the earlier leader left, during reconciliation after failover.
    pub recovery: RecoveryTracker,
    /// Run times of past jobs, for the expected run time of new ones.
    pub history: History,
    /// The latest plan's unmet tasks and reservation, for renting and the log.
    pub plan: Plan,
    /// Something changed since the last plan, so the next `replan` plans anew.
    pub dirty: bool,
    cfg: Arc<Config>,
    types: Vec<MachineType>,
    zones: Vec<String>,
    images: BTreeMap<String, u32>,
    /// Attempts numbered by this leader; the low bits of each attempt number.
    attempt_counter: u64,
    /// When this leader took over (the failover).
    failover_at: Steady,
    planned: Steady,
    planned_jobs: Vec<JobId>,
    /// Services with replicas that wait for a start.
    waiting_services: Vec<WaitingService>,
    /// What the latest plan starts on each machine: jobs with numbers of tasks.
    assigned: BTreeMap<MachineId, Vec<(JobId, u32)>>,
    /// Places of gangs whose starts have not left.
    promised: BTreeMap<MachineId, Vec<(JobId, u32)>>,
    /// Jobs that fit their team's guarantee, its earlier unfinished ones counted first.
    guaranteed: BTreeSet<JobId>,
    /// The latest plan's snapshot and machines on which nothing more may start before the next.
    planned_for: Snapshot,
    closed: BTreeSet<MachineId>,
    /// Use of teams with limits, by index; counted anew when emptied.
    uses: Vec<Resources>,
    /// How many machines have not been heard since the takeover.
    unheard_machines: usize,
    /// Whether the log said last that all machines are heard.
    all_heard: bool,
    /// Bytes that a value may hold.
    value_limit: usize,
    /// Changes that a transaction may hold.
    txn_limit: usize,
    /// Machine records, packed into state-store values.
    pub packs: PackedRecords<MachineRecord>,
    /// Jobs' marks (how many tasks may start), packed into state-store values.
    pub marks: PackedRecords<u32>,
    /// All changes of jobs up to this revision are known here.
    read_to: u64,
    /// Later revisions at which jobs ended, so that a late message does not bring them back.
    over: BTreeMap<JobId, u64>,
    /// At this moment nobody had taken over from this owner.
    lease_confirmed_at: Steady,
    /// When the log last said how the machines are used.
    usage_logged: Steady,
    /// When the log last said how far the recovery has come.
    recovery_logged: Steady,
    /// Machines that are gone; reports from them are late.
    gone: BTreeMap<MachineId, Steady>,
    unenrol: BTreeMap<MachineId, u64>,
    orphans: BTreeMap<String, u64>,
    refused: BTreeMap<Offer, Steady>,
    /// Demands of recent jobs by type, for what low ranks leave free.
    demands: Vec<Demand>,
    /// When the list of recent jobs was last written, and `submitted_count` at that time.
    recent_jobs_written: (Steady, u64),
    /// How many jobs this owner has added to the demands.
    submitted_count: u64,
    /// When something that nobody waits for was last written.
    lazily_written: Steady,
    lease: Micros,
}

/// Safety margin added to a worker's lease before this leader counts it as expired.
const LEASE_MARGIN: Micros = Micros(1_500_000);

impl Fleet {
    /// An empty model for a new leader with fencing token `fencing_token`; records are loaded into it before
    /// anything is placed.
    pub fn new(cfg: Arc<Config>, types: Vec<MachineType>, fencing_token: u64, now: Steady) -> Fleet {
        let lease = cfg.worker_lease().scale(1.001) + LEASE_MARGIN;
        Fleet {
            fencing_token,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            loans: Loans::new(fencing_token),
            recovery: RecoveryTracker::default(),
            history: History::new(cfg.operator.history_per_key),
            plan: Plan::default(),
            dirty: true,
            zones: cfg.platform.settings.zones.clone(),
            types,
            images: BTreeMap::new(),
            attempt_counter: 0,
            failover_at: now,
            planned: Steady(0),
            planned_jobs: Vec::new(),
            waiting_services: Vec::new(),
            guaranteed: BTreeSet::new(),
            assigned: BTreeMap::new(),
            promised: BTreeMap::new(),
            planned_for: Snapshot::default(),
            closed: BTreeSet::new(),
            uses: Vec::new(),
            unheard_machines: 0,
            all_heard: false,
            value_limit: cfg.value_bytes(),
            txn_limit: cfg.txn_ops(),
            packs: PackedRecords::new(cfg.value_bytes()),
            marks: PackedRecords::new(cfg.value_bytes()),
            read_to: 0,
            over: BTreeMap::new(),
            gone: BTreeMap::new(),
            unenrol: BTreeMap::new(),
            orphans: BTreeMap::new(),
            refused: BTreeMap::new(),
            demands: Vec::new(),
            recent_jobs_written: (now, 0),
            lazily_written: now,
            usage_logged: now,
            recovery_logged: now,
            lease_confirmed_at: now,
            submitted_count: 0,
            lease,
            cfg,
        }
    }

    /// Takes new prices, and the types if they were not known.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
        let index: BTreeMap<String, usize> =
            self.types.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect();
        for m in self.machines.values_mut() {
            m.ty = index.get(&m.ty_name).copied();
        }
        if self.demands.is_empty() {
            // Jobs that came before the types were known.
            let specs: Vec<(Steady, JobSpec)> =
                self.jobs.values().map(|j| (j.known, j.spec.clone())).collect();
            specs.iter().for_each(|(known, s)| self.demand(s, *known));
        }
        self.dirty = true;
    }

    /// Learns that this leader's lease stood at a moment: a renewal begun then was granted.
    pub fn confirm(&mut self, at: Steady) {
        self.lease_confirmed_at = self.lease_confirmed_at.max(at);
    }

    /// Bytes that a state-store value may hold; halved by `write_rejected`.
    pub fn value_bytes(&self) -> usize {
        self.value_limit
    }

    /// Changes that a state-store transaction may hold.
    pub fn txn_ops(&self) -> usize {
        self.txn_limit
    }

    /// The machine types.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// Name of a zone.
    pub fn zone_name(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or("", String::as_str)
    }

    fn zone(&mut self, name: &str) -> usize {
        self.zones.iter().position(|z| z == name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        })
    }

    fn image(&mut self, name: &str) -> u32 {
        let next = self.images.len() as u32;
        *self.images.entry(name.to_string()).or_insert(next)
    }

    fn describe(&mut self, id: &MachineId, addr: &str, ty: &str, zone: &str, spot: bool) {
        let zone = self.zone(zone);
        let index = self.types.iter().position(|t| t.name == ty);
        if let Some(m) = self.machines.get_mut(id) {
            if !addr.is_empty() {
                m.addr = addr.to_string();
            }
            if m.ty_name.is_empty() && !ty.is_empty() {
                (m.ty_name, m.ty, m.zone, m.spot) = (ty.to_string(), index, zone, spot);
            }
        }
    }

    /// The interval at which workers send heartbeats, from the platform settings.
    fn heartbeat_interval(&self) -> Micros {
        Micros::from_secs(self.cfg.platform.settings.workers.report_s)
    }

    fn total(&self, ty: usize) -> Resources {
        self.types
            .get(ty)
            .map(|t| Resources { cpus: t.cpus, gpus: t.gpus, memory: t.memory_gb })
            .unwrap_or_default()
    }

    fn team(&self, name: &str) -> Option<(usize, &Team)> {
        self.cfg.platform.settings.teams.iter().enumerate().find(|t| t.1.name == name)
    }

    /// Progress of a job for a poll; `None` if the job is not known here or is cancelled.
    pub fn counts(&self, id: &str) -> Option<JobProgress> {
        let j = self.jobs.get(id).filter(|j| !j.cancelled)?;
        let runs =
            |e: &TaskEntry| e.live() && matches!(e.stage, Some(TaskStage::Running | TaskStage::Saving));
        let running = j
            .live
            .iter()
            .flat_map(|(n, at)| at.iter().map(move |m| (*n, m)))
            .filter(|(n, at)| {
                self.machines.get(*at).is_some_and(|m| {
                    m.tasks.range((j.id.clone(), *n, 0)..=(j.id.clone(), *n, u64::MAX)).any(|x| runs(x.1))
                })
            })
            .count();
        Some(JobProgress { done: j.done.len(), running: running as u32 })
    }

    /// Types that a job's tasks may use and fit.
    pub fn allowed_types(&self, s: &JobSpec) -> Vec<usize> {
        allowed_types(&self.types, s)
    }
}

/// A task's name on the wire: `JOB/NUMBER`, the form that `split_task` reads.
fn task_name(job: &JobId, number: u32) -> String {
    format!("{job}/{number}")
}

/// What a task of the job takes.
pub fn need_of(s: &JobSpec) -> Resources {
    Resources { cpus: s.cpus, gpus: s.gpus, memory: s.memory_gb }
}

/// The stated run time of a job's tasks; services are endless, which is a day to the planner.
fn stated(s: &JobSpec) -> Micros {
    if s.is_service() {
        Micros::from_secs(86_400.0)
    } else {
        Micros::from_secs(s.estimate_s)
    }
}

/// Types, by index, that a job allows and its tasks fit.
pub fn allowed_types(types: &[MachineType], s: &JobSpec) -> Vec<usize> {
    let need = need_of(s);
    (0..types.len())
        .filter(|&i| {
            let t = &types[i];
            let total = Resources { cpus: t.cpus, gpus: t.gpus, memory: t.memory_gb };
            s.types.as_ref().is_none_or(|a| a.contains(&t.name))
                && s.zone.as_ref().is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
                && total.fits(&need) > 0
        })
        .collect()
}
