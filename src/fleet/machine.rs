//! A machine and the tasks that are running on it, or may be.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use crate::direct_command::DirectCommand;
use crate::jobs::{JobId, MachineId};
use crate::sched::Resources;
use crate::time::{Micros, Steady};
use crate::wire::{ExitReason, Heartbeat, TaskStage, WorkerCommand};

/// One attempt of a task. Keys sort by job, then task number, then attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The task's number within the job.
    pub number: u32,
    /// The attempt number.
    pub attempt: u64,
}

impl TaskKey {
    /// All attempts of all tasks of a job.
    pub(super) fn all_of_job(job: &JobId) -> RangeInclusive<TaskKey> {
        TaskKey { job: job.clone(), number: 0, attempt: 0 }..=TaskKey {
            job: job.clone(),
            number: u32::MAX,
            attempt: u64::MAX,
        }
    }

    /// All attempts of one task.
    pub(super) fn all_of_task(job: &JobId, number: u32) -> RangeInclusive<TaskKey> {
        TaskKey { job: job.clone(), number, attempt: 0 }..=TaskKey {
            job: job.clone(),
            number,
            attempt: u64::MAX,
        }
    }
}

/// A task that is running on a machine, or may be.
#[derive(Clone, Debug)]
pub struct TaskEntry {
    /// The stage in the latest heartbeat; `None` while a start was sent and no newer heartbeat has
    /// come.
    pub stage: Option<TaskStage>,
    /// The resources it takes; `None` if its job is not known.
    pub need: Option<Resources>,
    /// When its start was sent, or a heartbeat first listed it.
    pub since: Steady,
    /// When it was first seen running, if the start was sent by this leader.
    pub running_since: Option<Steady>,
    /// Seconds of grace with which it is to be stopped; `None` if it is not.
    pub stop_grace_s: Option<f64>,
    /// Whether the halt is to be sent by direct command, ahead of the next heartbeat's reply.
    pub stop_directly: bool,
    /// Why it exited, if it did.
    pub exit_reason: Option<ExitReason>,
}

impl TaskEntry {
    /// A task whose start is sent now, or that a heartbeat lists for the first time.
    pub(super) fn new(need: Option<Resources>, now: Steady) -> TaskEntry {
        TaskEntry {
            stage: None,
            need,
            since: now,
            running_since: None,
            stop_grace_s: None,
            stop_directly: false,
            exit_reason: None,
        }
    }

    /// Whether the task has not exited: it is running, or may be.
    pub(super) fn is_live(&self) -> bool {
        self.exit_reason.is_none()
    }
}

/// Where a heartbeat stands among those of its machine: of two, the greater is the newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatPosition {
    /// The agent epoch; 0 before the first heartbeat.
    pub agent_epoch: u64,
    /// The sequence number within the agent epoch.
    pub sequence: u64,
}

impl HeartbeatPosition {
    /// The position of a heartbeat.
    pub(super) fn of(heartbeat: &Heartbeat) -> HeartbeatPosition {
        HeartbeatPosition { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }
}

/// A container image in a machine's cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    /// The image's number.
    pub image: u32,
    /// Its size in GB.
    pub size_gb: f64,
}

/// How long a worker is waited for before the fencing token of a new leader is sent to it.
pub(super) const FENCING_TOKEN_DELAY: Micros = Micros(1_500_000);

/// A cloud machine.
#[derive(Debug)]
pub struct Machine {
    /// The cloud's id.
    pub id: MachineId,
    /// Address of the worker, as `HOST:PORT`; empty until it is known.
    pub address: String,
    /// Index of the machine type in the catalog, if it is there.
    pub type_index: Option<usize>,
    /// Name of the machine type; empty until it is known.
    pub type_name: String,
    /// Index of the zone.
    pub zone: usize,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether its record is in the state store.
    pub registered: bool,
    /// Version of a record of its own, as earlier versions of the program wrote it; 0 if there is
    /// none.
    pub mod_revision: u64,
    /// Registered by an earlier leader, whose commands may still reach it until it has acknowledged
    /// this leader's fencing token.
    pub inherited: bool,
    /// A heartbeat has carried this leader's fencing token, or no earlier leader can have used the
    /// machine.
    pub acknowledged: bool,
    /// A heartbeat has come.
    pub up: bool,
    /// Position of the newest heartbeat.
    pub latest_heartbeat: HeartbeatPosition,
    /// When a heartbeat was last answered with 200.
    pub answered_at: Option<Steady>,
    /// When it showed this leader's fencing token in reply to a direct command: from then on no
    /// earlier leader renews its lease.
    pub acknowledged_since: Option<Steady>,
    /// When a direct command was last composed for it.
    pub commanded_at: Steady,
    /// When a heartbeat last came that this leader might not answer.
    pub unanswered_heartbeat_at: Steady,
    /// When this leader first knew of it.
    pub known_since: Steady,
    /// Its age at `known_since`.
    pub age_when_known: Micros,
    /// When the cloud reclaims it, if a spot interruption notice has come.
    pub interruption_at: Option<Steady>,
    /// It is to be scaled in, or is being scaled in.
    pub scaling_in: bool,
    /// The cloud has listed it.
    pub listed: bool,
    /// Missing from a newer list of the cloud, or listed as failed.
    pub missing: bool,
    /// Its lease expired by this leader's clock.
    pub lease_expired: bool,
    /// The tasks that are running on it, or may be, and those whose end is not recorded yet.
    pub tasks: BTreeMap<TaskKey, TaskEntry>,
    /// Cached images, the most recently used last.
    pub images: Vec<CachedImage>,
    /// Since when it has had no task.
    pub idle_since: Steady,
    /// Nothing is placed on it before this.
    pub not_before: Steady,
    /// Jobs whose tasks failed here with no success since.
    pub failed_jobs: BTreeSet<JobId>,
    /// When a task last failed here.
    pub failed_at: Steady,
    /// When the newest heartbeat came.
    pub heartbeat_at: Steady,
    /// Starts in the last reply: the next newer heartbeat should list them.
    pub sent_starts: Vec<TaskKey>,
    /// Replies in a row that, by the next heartbeat, were not delivered.
    pub undelivered_replies: u32,
    /// Until when the reply to its newest heartbeat is deferred.
    pub reply_deferred_until: Steady,
}

impl Machine {
    /// A machine of which only the id is known, not used by any earlier leader.
    pub(super) fn new(id: &str, now: Steady) -> Machine {
        Machine {
            id: id.into(),
            address: String::new(),
            type_index: None,
            type_name: String::new(),
            zone: 0,
            spot: false,
            registered: false,
            mod_revision: 0,
            inherited: false,
            acknowledged: true,
            up: false,
            latest_heartbeat: HeartbeatPosition::default(),
            answered_at: None,
            acknowledged_since: None,
            commanded_at: Steady(0),
            unanswered_heartbeat_at: Steady(0),
            known_since: now,
            age_when_known: Micros::ZERO,
            interruption_at: None,
            scaling_in: false,
            listed: false,
            missing: false,
            lease_expired: false,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            idle_since: now,
            not_before: Steady(0),
            failed_jobs: BTreeSet::new(),
            failed_at: Steady(0),
            heartbeat_at: Steady(0),
            sent_starts: Vec::new(),
            undelivered_replies: 0,
            reply_deferred_until: Steady(0),
        }
    }

    /// Whether a task of an unknown job is on it, which takes an unknown share of the machine.
    pub(super) fn has_unknown_use(&self) -> bool {
        self.tasks.values().any(|task| task.is_live() && task.need.is_none())
    }

    /// What the tasks that are running, or may be, leave free of `total`.
    pub(super) fn free(&self, total: Resources) -> Resources {
        let live = self.tasks.values().filter(|task| task.is_live());
        live.filter_map(|task| task.need).fold(total, |free, need| free.minus(&need, 1))
    }

    /// The time since it was scaled out.
    pub(super) fn age(&self, now: Steady) -> Micros {
        self.age_when_known + (now - self.known_since)
    }

    /// The last moment at which its lease may have been renewed, if this leader can know that.
    pub(super) fn lease_renewed_at(&self) -> Option<Steady> {
        self.answered_at.max(self.acknowledged_since)
    }

    /// Whether this leader's fencing token has to be sent to it, since no reply to a heartbeat has
    /// carried it recently.
    pub fn needs_fencing_token(&self, now: Steady) -> bool {
        let last_contact = self.answered_at.unwrap_or(self.known_since);
        !self.acknowledged && !self.scaling_in && last_contact + FENCING_TOKEN_DELAY < now
    }

    /// A command to be sent straight to its worker.
    pub(super) fn direct_command(&self, commands: Vec<WorkerCommand>) -> DirectCommand {
        DirectCommand {
            machine: self.id.clone(),
            address: self.address.clone(),
            agent_epoch: self.latest_heartbeat.agent_epoch.max(1),
            commands,
        }
    }

    /// Whether tasks may be started on it.
    pub(super) fn is_usable(&self, now: Steady) -> bool {
        self.up
            && self.registered
            && self.acknowledged
            && !self.scaling_in
            && !self.lease_expired
            && now >= self.not_before
    }
}
