//! A simulated worker's side of the protocol: its session, fencing token, lease and tasks. Which messages
//! reach it, and how its tasks go on, each simulation models for itself.

use std::collections::BTreeMap;

use milletlock::jobs::split_task;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{ExitReason, Heartbeat, JobSpec, TaskStage, TaskStatus};

/// A task's name and the number of its attempt.
pub type Attempt = (String, u64);

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    pub stage: TaskStage,
    pub exit_reason: Option<ExitReason>,
    /// How long it has still to run.
    pub remaining: Micros,
    /// When it entered its stage.
    pub since: Steady,
}

impl Task {
    /// A task that has just arrived.
    pub fn new(stage: TaskStage, remaining: Micros, now: Steady) -> Task {
        Task { stage, exit_reason: None, remaining, since: now }
    }

    /// Enters another stage.
    pub fn enter(&mut self, stage: TaskStage, exit_reason: Option<ExitReason>, now: Steady) {
        (self.stage, self.exit_reason, self.since) = (stage, exit_reason, now);
    }
}

/// What a worker remembers, as the protocol has it.
pub struct WorkerState {
    pub id: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: &'static str,
    pub spot: bool,
    /// The number of its session, which ends with its lease.
    pub agent_epoch: u64,
    /// The number of its last heartbeat.
    pub sequence: u64,
    /// The greatest fencing token that it has seen.
    pub fencing_token: u64,
    /// When the last heartbeat with a reply was sent: the lease counts from then.
    pub lease_start: Steady,
    pub tasks: BTreeMap<Attempt, Task>,
}

impl WorkerState {
    /// A small worker in its first session, which has seen no fencing token.
    pub fn new(id: String, zone: &'static str, now: Steady) -> WorkerState {
        WorkerState {
            id,
            addr: "127.0.0.1:9".into(),
            machine_type: "small".into(),
            zone,
            spot: false,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            lease_start: now,
            tasks: BTreeMap::new(),
        }
    }

    /// Its next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.id.clone(),
            address: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.into(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            interruption_notice_s: None,
            tasks: self.tasks.iter().map(|(attempt, task)| task_status(attempt, task)).collect(),
        }
    }

    /// Takes the fencing token of a reply to a heartbeat that was sent at a moment; false: it is too old.
    pub fn accept_reply(&mut self, fencing_token: u64, sent: Steady) -> bool {
        if fencing_token < self.fencing_token {
            return false;
        }
        self.fencing_token = fencing_token;
        self.lease_start = self.lease_start.max(sent);
        true
    }

    /// Takes the fencing token of a direct command, which renews no lease; false: it is too old, or for
    /// another session.
    pub fn accept_command(&mut self, fencing_token: u64, agent_epoch: u64) -> bool {
        if fencing_token < self.fencing_token || agent_epoch != self.agent_epoch {
            return false;
        }
        self.fencing_token = fencing_token;
        true
    }

    /// Ends the session and all tasks if the lease has run out.
    pub fn end_session_after(&mut self, lease: Micros, now: Steady) -> bool {
        if now - self.lease_start <= lease {
            return false;
        }
        self.tasks.clear();
        self.agent_epoch += 1;
        self.lease_start = now;
        true
    }

    /// Stops a task; false: it is not there, or has exited.
    pub fn halt(&mut self, task: &str, attempt: u64) -> bool {
        match self.tasks.get_mut(&(task.to_string(), attempt)) {
            Some(t) if t.stage != TaskStage::Exited => {
                (t.stage, t.exit_reason) = (TaskStage::Exited, Some(ExitReason::Stopped));
                true
            }
            _ => false,
        }
    }

    /// Drops a task that has exited.
    pub fn forget(&mut self, task: &str, attempt: u64) {
        self.tasks.remove(&(task.to_string(), attempt));
    }

    /// The tasks that have not exited.
    pub fn placed(&self) -> impl Iterator<Item = &Attempt> {
        self.tasks.iter().filter(|t| t.1.stage != TaskStage::Exited).map(|t| t.0)
    }

    /// The tasks that execute or wait for their gang: the placed ones without those that still fetch.
    pub fn executing(&self) -> impl Iterator<Item = &Attempt> {
        let idle = [TaskStage::Fetching, TaskStage::Exited];
        self.tasks.iter().filter(move |t| !idle.contains(&t.1.stage)).map(|t| t.0)
    }

    /// How many tasks of a job have not exited.
    pub fn placed_of(&self, job: &str) -> usize {
        self.placed().filter(|attempt| job_of(&attempt.0) == job).count()
    }
}

fn task_status(attempt: &Attempt, task: &Task) -> TaskStatus {
    TaskStatus {
        task: attempt.0.clone(),
        attempt: attempt.1,
        stage: task.stage,
        exit_reason: task.exit_reason,
        saved: None,
    }
}

/// The job that a task is of.
pub fn job_of(task: &str) -> &str {
    split_task(task).expect("a task").0
}

/// The rules of placement, for one more task of a job on a worker: so many others of the job are in the
/// worker's zone, and so many elsewhere.
pub fn assert_placement(job: &JobSpec, worker: &WorkerState, task: &str, here: u32, elsewhere: u32) {
    assert!(job.zone.as_deref().is_none_or(|z| z == worker.zone), "wrong_place: {task} by zone");
    assert!(job.spot || !worker.spot, "wrong_place: {task} by kind");
    assert!(!job.one_zone || elsewhere == 0, "wrong_place: {task} by oneZone");
    assert!(!job.spread || here < job.tasks.div_ceil(2), "wrong_place: {task} by spread");
}
