//! The leader's model of the cluster: its jobs, its machines and the tasks on them. The workers' heartbeats
//! update it. The model does no I/O and reads no clock: callers pass the time in, and carry out the
//! state-store writes and cloud requests that the model collects.
//!
//! A task *may be running* on a machine from the moment its start may be sent. This ends when a newer
//! heartbeat does not list the task or lists it as exited, or when the machine is known to have ended. Until
//! then the leader does not start the task on another machine.

mod admission;
mod borrow_admission;
mod borrowing;
mod catalog;
mod eviction;
mod gang_placement;
mod headroom;
mod heartbeats;
mod lease_expiry;
mod lending;
mod loan_results;
mod loans;
mod machine;
mod machine_snapshots;
mod machines;
mod maintenance;
mod objectives;
mod planner_input;
mod planning;
mod recent_jobs;
mod reconciliation;
mod record_loading;
mod record_revisions;
mod records;
mod recovery;
mod replica_moves;
mod replicas;
mod scaling;
mod start_check;
mod starts;
mod status;
mod tasks;
mod team_use;
mod unreadable;
mod wait_reasons;

pub use admission::{check_runnable, NotRunnable};
pub use borrow_admission::BorrowedTasks;
pub use heartbeats::HeartbeatOutcome;
pub use lending::LendingCandidate;
pub use loan_results::UnrecordedResults;
pub use loans::{LoanWrite, Loans, UnresolvedLoanWrite};
pub use machine::{CachedImage, HeartbeatPosition, Machine, TaskEntry, TaskKey};
pub use records::{PackKind, PendingWrite, WriteContents};
pub use status::{FactorView, JobView, MachineState, MachineView, StatusView};
pub use tasks::JobProgress;
pub use unreadable::{UnreadableRecord, UnreadableView};
pub use wait_reasons::{QuotaView, WaitReason, WaitReasons};

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletlock_recovery::RecoveryTracker;

use crate::capacity::MachineOffer;
use crate::config::{Config, Team};
use crate::history::History;
use crate::jobs::{Job, JobId, MachineId};
use crate::packed_records::PackedRecords;
use crate::records::MachineRecord;
use crate::sched::{Plan, Resources, Snapshot};
use crate::time::{Micros, Steady};
use crate::wire::MachineType;

use catalog::Catalog;
use recent_jobs::RecentJob;
use records::{RecentJobsWrites, RecordCleanup, WriteLimits};
use replicas::WaitingService;
use starts::{AssignedStarts, GangPlace};
use status::LogState;
use tasks::{stated_run_time, task_resources};
use unreadable::UnreadableRecords;

/// The leader's model of the cluster: jobs, machines, loans and the latest plan.
pub struct Fleet {
    /// This leader's fencing token.
    pub fencing_token: u64,
    /// Jobs that have not ended, or some of whose tasks may still be running.
    pub jobs: BTreeMap<JobId, Job>,
    /// The machines of the cluster, by the cloud's id.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The loans of tasks to other cells and from them.
    pub loans: Loans,
    /// The progress of the reconciliation after the failover with the machines that the earlier leader used.
    pub recovery: RecoveryTracker,
    /// Run times of past jobs, from which the run times of new jobs are estimated.
    pub history: History,
    /// The latest plan. Scale-out and the log use its unplaced tasks and its reservation.
    pub plan: Plan,
    /// Whether something changed since the latest plan. If so, `replan` makes a new one as soon as the
    /// minimum interval between plans has passed.
    pub dirty: bool,
    /// Machine records, packed into state-store values.
    pub machine_records: PackedRecords<MachineRecord>,
    /// The start mark of each job (see `starts`), packed into state-store values. Tasks with lower numbers
    /// than the mark may be started.
    pub start_marks: PackedRecords<u32>,
    /// The platform's and the operators' settings.
    config: Arc<Config>,
    /// The machine types, zones and images.
    catalog: Catalog,
    /// How many attempt numbers this leader has given out; the low bits of the latest attempt number.
    attempt_counter: u64,
    /// When this leader was elected (the failover).
    failover_at: Steady,
    /// The latest moment at which this leader's own lease is known to have been valid.
    lease_confirmed_at: Steady,
    /// How long this leader treats a worker's lease as valid: the lease time with a safety margin.
    worker_lease: Micros,
    /// When the latest plan was made.
    planned_at: Steady,
    /// The job of each class of the latest plan, by class index.
    planned_jobs: Vec<JobId>,
    /// The latest plan's snapshot, without its machines.
    planned_snapshot: Snapshot,
    /// Machines on which nothing more may start before the next plan.
    closed_machines: BTreeSet<MachineId>,
    /// Services with replicas that wait for a start.
    waiting_services: Vec<WaitingService>,
    /// The starts that the latest plan assigned to each machine.
    assigned_starts: BTreeMap<MachineId, Vec<AssignedStarts>>,
    /// Capacity reserved on each machine for gang tasks whose starts have not been sent.
    reserved_gang_places: BTreeMap<MachineId, Vec<GangPlace>>,
    /// Jobs within their team's fair share. A team's unfinished jobs are counted in the order of submission.
    within_fair_share: BTreeSet<JobId>,
    /// Resources that count against the teams' quotas, by team index. Empty if they have to be counted again.
    cached_team_use: Vec<Resources>,
    /// How many machines have not acknowledged this leader's fencing token.
    unacknowledged_machines: usize,
    /// The sizes of values and transactions that the state store accepts.
    write_limits: WriteLimits,
    /// The state-store revision up to which all changes of jobs have been applied.
    jobs_revision: u64,
    /// Jobs that ended at revisions above `jobs_revision`, with these revisions. A late message with an older
    /// record of such a job is ignored.
    ended_jobs: BTreeMap<JobId, u64>,
    /// When each removed machine was removed. Later heartbeats from such machines are refused.
    removed_machines: BTreeMap<MachineId, Steady>,
    /// Stored records that are to be deleted.
    cleanup: RecordCleanup,
    /// Stored records that could not be read.
    unreadable: UnreadableRecords,
    /// Offers that the cloud refused, each with the time until which it is not requested again.
    refused_offers: BTreeMap<MachineOffer, Steady>,
    /// Recently submitted jobs, for warm pools and for the headroom that low priorities leave free.
    recent_jobs: Vec<RecentJob>,
    /// Which part of `recent_jobs` is stored.
    recent_jobs_writes: RecentJobsWrites,
    /// When a deferred record, one that no start and no user waits for, was last written.
    deferred_write_at: Steady,
    /// When the periodic log lines were last written.
    log_state: LogState,
}

/// Safety margin added to a worker's lease before this leader counts it as expired.
const LEASE_MARGIN: Micros = Micros(1_500_000);

/// Factor on durations that another computer measures. Its clock may run 0.1 % slower than this one.
const SLOWER_CLOCK_FACTOR: f64 = 1.001;

impl Fleet {
    /// Creates an empty model for a new leader with fencing token `fencing_token`. The stored records have to
    /// be loaded into it before the first plan.
    pub fn new(config: Arc<Config>, types: Vec<MachineType>, fencing_token: u64, now: Steady) -> Fleet {
        Fleet {
            fencing_token,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            loans: Loans::new(fencing_token),
            recovery: RecoveryTracker::default(),
            history: History::new(config.operator.history_per_key),
            plan: Plan::default(),
            dirty: true,
            machine_records: PackedRecords::new(config.max_value_bytes()),
            start_marks: PackedRecords::new(config.max_value_bytes()),
            catalog: Catalog::new(types, config.platform.settings.zones.clone()),
            attempt_counter: 0,
            failover_at: now,
            lease_confirmed_at: now,
            worker_lease: config.worker_lease().scale(SLOWER_CLOCK_FACTOR) + LEASE_MARGIN,
            planned_at: Steady(0),
            planned_jobs: Vec::new(),
            planned_snapshot: Snapshot::default(),
            closed_machines: BTreeSet::new(),
            waiting_services: Vec::new(),
            assigned_starts: BTreeMap::new(),
            reserved_gang_places: BTreeMap::new(),
            within_fair_share: BTreeSet::new(),
            cached_team_use: Vec::new(),
            unacknowledged_machines: 0,
            write_limits: WriteLimits {
                value_bytes: config.max_value_bytes(),
                txn_changes: config.max_txn_ops(),
            },
            jobs_revision: 0,
            ended_jobs: BTreeMap::new(),
            removed_machines: BTreeMap::new(),
            cleanup: RecordCleanup::default(),
            unreadable: UnreadableRecords::default(),
            refused_offers: BTreeMap::new(),
            recent_jobs: Vec::new(),
            recent_jobs_writes: RecentJobsWrites { submitted: 0, written: 0, written_at: now },
            deferred_write_at: now,
            log_state: LogState { machine_use_at: now, recovery_at: now, all_acknowledged: false },
            config,
        }
    }

    /// Records that this leader's lease was valid at `at`: a renewal that was begun at that moment was
    /// granted.
    pub fn confirm_lease(&mut self, at: Steady) {
        self.lease_confirmed_at = self.lease_confirmed_at.max(at);
    }

    /// The interval at which workers send heartbeats, from the platform settings.
    fn heartbeat_interval(&self) -> Micros {
        Micros::from_secs(self.config.platform.settings.workers.report_s)
    }

    /// The index and the settings of the team with this name; `None` if the settings have no such team.
    fn team_settings(&self, name: &str) -> Option<(usize, &Team)> {
        self.config.platform.settings.teams.iter().enumerate().find(|(_, team)| team.name == name)
    }
}
