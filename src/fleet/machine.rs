//! A machine and the tasks that are running on it or may be running on it.

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
    /// The range that contains all attempts of all tasks of a job.
    pub(super) fn all_of_job(job: &JobId) -> RangeInclusive<TaskKey> {
        TaskKey { job: job.clone(), number: 0, attempt: 0 }..=TaskKey {
            job: job.clone(),
            number: u32::MAX,
            attempt: u64::MAX,
        }
    }

    /// The range that contains all attempts of one task.
    pub(super) fn all_of_task(job: &JobId, number: u32) -> RangeInclusive<TaskKey> {
        TaskKey { job: job.clone(), number, attempt: 0 }..=TaskKey {
            job: job.clone(),
            number,
            attempt: u64::MAX,
        }
    }
}

/// A task that is running on a machine or may be running there, or whose exit is not yet fully recorded.
#[derive(Clone, Debug)]
pub struct TaskEntry {
    /// The stage in the machine's latest heartbeat; `None` from the moment a start is sent until a heartbeat
    /// lists the task.
    pub stage: Option<TaskStage>,
    /// The resources that the task takes; `None` if its job is not known.
    pub need: Option<Resources>,
    /// When this leader sent the start, or when a heartbeat first listed the task.
    pub since: Steady,
    /// When a heartbeat first showed the task as running; `None` before that, and if the first heartbeat that
    /// listed a task of an earlier leader already showed it as running.
    pub running_since: Option<Steady>,
    /// Grace period in seconds with which the task is to be stopped; `None` if it is not to be stopped.
    pub stop_grace_s: Option<f64>,
    /// Whether the halt is to be sent by direct command, without waiting for the next heartbeat.
    pub stop_directly: bool,
    /// Why the task exited; `None` if it has not exited.
    pub exit_reason: Option<ExitReason>,
}

impl TaskEntry {
    /// The entry of a task whose start is sent now, or that a heartbeat lists for the first time.
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

    /// Whether the task has not exited, so that it is running or may be running.
    pub(super) fn is_live(&self) -> bool {
        self.exit_reason.is_none()
    }
}

/// The position of a heartbeat among the heartbeats of its machine. Newer heartbeats have greater positions.
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
    /// Index of the image in the catalog.
    pub image: u32,
    /// Size of the image in GB.
    pub size_gb: f64,
}

/// How long a new leader waits for a worker's heartbeat before it sends the worker its fencing token.
pub(super) const FENCING_TOKEN_DELAY: Micros = Micros(1_500_000);

/// A cloud machine.
#[derive(Debug)]
pub struct Machine {
    /// The machine's id in the cloud.
    pub id: MachineId,
    /// Address at which the worker takes direct commands, as `HOST:PORT`; empty until it is known.
    pub address: String,
    /// Index of the machine type in the catalog; `None` if the catalog does not have it.
    pub type_index: Option<usize>,
    /// Name of the machine type; empty until it is known.
    pub type_name: String,
    /// Index of the zone.
    pub zone: usize,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Whether the machine's record is in the state store. Tasks are started only on registered machines.
    pub registered: bool,
    /// Revision of the machine's separate record, which earlier versions of the program wrote; 0 if there is
    /// none.
    pub mod_revision: u64,
    /// Whether an earlier leader registered the machine. Commands of earlier leaders may reach it until it
    /// has acknowledged this leader's fencing token.
    pub inherited: bool,
    /// Whether no command or reply of an earlier leader can take effect on the machine any more: a
    /// heartbeat has carried this leader's fencing token, every lease of an earlier leader has expired, or
    /// no earlier leader can have used the machine.
    pub acknowledged: bool,
    /// Whether the machine has sent a heartbeat, or the reply to a direct command, to this leader.
    pub up: bool,
    /// Position of the newest heartbeat.
    pub latest_heartbeat: HeartbeatPosition,
    /// When this leader last answered a heartbeat with 200.
    pub answered_at: Option<Steady>,
    /// When the machine showed this leader's fencing token in reply to a direct command. From then on no
    /// earlier leader renews its lease.
    pub acknowledged_since: Option<Steady>,
    /// When a direct command with halts was last composed for the machine.
    pub commanded_at: Steady,
    /// When a heartbeat last came that this leader was not allowed to answer, because its own lease was not
    /// confirmed.
    pub unanswered_heartbeat_at: Steady,
    /// When this leader first knew of the machine.
    pub known_since: Steady,
    /// The machine's age at `known_since`.
    pub age_when_known: Micros,
    /// When the cloud reclaims the machine; `None` without a spot interruption notice.
    pub interruption_at: Option<Steady>,
    /// Whether the machine is marked for scale in or is being scaled in.
    pub scaling_in: bool,
    /// Whether the cloud has listed the machine since this leader has known of it.
    pub listed: bool,
    /// Whether the machine was missing from a list of the cloud although it had been listed before, or was
    /// listed as failed; `false` again once it is listed as usual or a heartbeat of it is answered.
    pub missing: bool,
    /// Whether the machine's lease has expired by this leader's clock, with no heartbeat answered since.
    pub lease_expired: bool,
    /// The tasks that are running on the machine or may be running on it, and exited tasks that its
    /// heartbeats still list.
    pub tasks: BTreeMap<TaskKey, TaskEntry>,
    /// Images in the machine's cache, the most recently used one last.
    pub images: Vec<CachedImage>,
    /// Since when the machine has had no task.
    pub idle_since: Steady,
    /// No task is started on the machine before this moment.
    pub not_before: Steady,
    /// Jobs of which tasks have failed on the machine, with no successful task on it since.
    pub failed_jobs: BTreeSet<JobId>,
    /// When a task last failed on the machine.
    pub failed_at: Steady,
    /// When the newest answered heartbeat came.
    pub heartbeat_at: Steady,
    /// The starts in the last reply. The next newer heartbeat should list these tasks.
    pub sent_starts: Vec<TaskKey>,
    /// Number of consecutive replies that were not delivered, according to the heartbeats that followed.
    pub undelivered_replies: u32,
    /// Until when the reply to the machine's newest heartbeat is deferred.
    pub reply_deferred_until: Steady,
}

impl Machine {
    /// A machine of which only the id is known, and which no earlier leader has used.
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

    /// Whether a live task of an unknown job is on the machine, which takes an unknown share of its capacity.
    pub(super) fn has_unknown_use(&self) -> bool {
        self.tasks.values().any(|task| task.is_live() && task.need.is_none())
    }

    /// The resources of `total` that are left free by the tasks that are running or may be running.
    pub(super) fn free(&self, total: Resources) -> Resources {
        let live = self.tasks.values().filter(|task| task.is_live());
        live.filter_map(|task| task.need).fold(total, |free, need| free.minus(&need, 1))
    }

    /// The time since the machine was scaled out.
    pub(super) fn age(&self, now: Steady) -> Micros {
        self.age_when_known + (now - self.known_since)
    }

    /// The last moment at which the machine's lease may have been renewed; `None` if this leader cannot
    /// know it.
    pub(super) fn lease_renewed_at(&self) -> Option<Steady> {
        self.answered_at.max(self.acknowledged_since)
    }

    /// Whether this leader's fencing token has to be sent to the machine by direct command, since no reply
    /// to a heartbeat has carried the token recently.
    pub fn needs_fencing_token(&self, now: Steady) -> bool {
        let last_contact = self.answered_at.unwrap_or(self.known_since);
        !self.acknowledged && !self.scaling_in && last_contact + FENCING_TOKEN_DELAY < now
    }

    /// A direct command to the machine's worker.
    pub(super) fn direct_command(&self, commands: Vec<WorkerCommand>) -> DirectCommand {
        DirectCommand {
            machine: self.id.clone(),
            address: self.address.clone(),
            agent_epoch: self.latest_heartbeat.agent_epoch.max(1),
            commands,
        }
    }

    /// Whether tasks may be started on the machine.
    pub(super) fn is_usable(&self, now: Steady) -> bool {
        self.up
            && self.registered
            && self.acknowledged
            && !self.scaling_in
            && !self.lease_expired
            && now >= self.not_before
    }
}
