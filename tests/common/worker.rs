//! The worker's side of the protocol, simulated: its session, fencing token, lease and tasks. Each simulation
//! has its own model of which messages reach a worker and of how its tasks progress.

use std::collections::BTreeMap;

use milletlock::jobs::split_task;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{ExitReason, Heartbeat, JobSpec, TaskStage, TaskStatus};

/// A task's name and its attempt number.
pub type Attempt = (String, u64);

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    pub stage: TaskStage,
    pub exit_reason: Option<ExitReason>,
    /// The run time that remains.
    pub remaining: Micros,
    /// When the task entered its current stage.
    pub since: Steady,
}

impl Task {
    /// Creates a task that enters its first stage now.
    pub fn new(stage: TaskStage, remaining: Micros, now: Steady) -> Task {
        Task { stage, exit_reason: None, remaining, since: now }
    }

    /// Moves the task to another stage. `exit_reason` is set for [`TaskStage::Exited`] only.
    pub fn enter(&mut self, stage: TaskStage, exit_reason: Option<ExitReason>, now: Steady) {
        (self.stage, self.exit_reason, self.since) = (stage, exit_reason, now);
    }
}

/// The state that the protocol requires a worker to keep.
pub struct WorkerState {
    pub id: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: &'static str,
    pub spot: bool,
    /// The number of the worker's session. A session ends when the worker's lease expires.
    pub agent_epoch: u64,
    /// The sequence number of the last heartbeat.
    pub sequence: u64,
    /// The highest fencing token that the worker has received.
    pub fencing_token: u64,
    /// When the worker sent the latest heartbeat that it got a reply to. The lease starts at this time.
    pub lease_start: Steady,
    pub tasks: BTreeMap<Attempt, Task>,
}

impl WorkerState {
    /// Creates a worker of the machine type `small` in its first session, without a fencing token.
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

    /// Increments the sequence number and returns the worker's next heartbeat.
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

    /// Accepts the reply to a heartbeat that was sent at `sent`: stores its fencing token and renews the
    /// lease. Returns false and changes nothing if the fencing token is lower than the worker's.
    pub fn accept_reply(&mut self, fencing_token: u64, sent: Steady) -> bool {
        if fencing_token < self.fencing_token {
            return false;
        }
        self.fencing_token = fencing_token;
        self.lease_start = self.lease_start.max(sent);
        true
    }

    /// Accepts a direct command: stores its fencing token, but does not renew the lease. Returns false and
    /// changes nothing if the fencing token is lower than the worker's or the command is for another session.
    pub fn accept_command(&mut self, fencing_token: u64, agent_epoch: u64) -> bool {
        if fencing_token < self.fencing_token || agent_epoch != self.agent_epoch {
            return false;
        }
        self.fencing_token = fencing_token;
        true
    }

    /// Ends the session and all tasks if the lease has expired, and starts the next session. Returns whether
    /// the lease had expired.
    pub fn end_session_after(&mut self, lease: Micros, now: Steady) -> bool {
        if now - self.lease_start <= lease {
            return false;
        }
        self.tasks.clear();
        self.agent_epoch += 1;
        self.lease_start = now;
        true
    }

    /// Stops a task. Returns false if the worker does not have the task or the task has exited.
    pub fn halt(&mut self, task: &str, attempt: u64) -> bool {
        match self.tasks.get_mut(&(task.to_string(), attempt)) {
            Some(t) if t.stage != TaskStage::Exited => {
                (t.stage, t.exit_reason) = (TaskStage::Exited, Some(ExitReason::Stopped));
                true
            }
            _ => false,
        }
    }

    /// Removes a task, which must have exited.
    pub fn forget(&mut self, task: &str, attempt: u64) {
        self.tasks.remove(&(task.to_string(), attempt));
    }

    /// Returns the tasks that have not exited.
    pub fn placed(&self) -> impl Iterator<Item = &Attempt> {
        self.tasks.iter().filter(|t| t.1.stage != TaskStage::Exited).map(|t| t.0)
    }

    /// Returns the tasks that run or wait for their gang, without those that are still fetching their image.
    pub fn executing(&self) -> impl Iterator<Item = &Attempt> {
        let not_executing = [TaskStage::Fetching, TaskStage::Exited];
        self.tasks.iter().filter(move |t| !not_executing.contains(&t.1.stage)).map(|t| t.0)
    }

    /// Returns the number of tasks of a job that have not exited.
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

/// Returns the ID of a task's job.
pub fn job_of(task: &str) -> &str {
    split_task(task).expect("a task").0
}

/// Asserts that a worker may run one more task of a job. The job has `here` other tasks in the worker's zone
/// and `elsewhere` tasks in other zones.
pub fn assert_placement(job: &JobSpec, worker: &WorkerState, task: &str, here: u32, elsewhere: u32) {
    assert!(
        job.zone.as_deref().is_none_or(|z| z == worker.zone),
        "wrong_place: {task} runs outside the zone of its job"
    );
    assert!(
        job.spot || !worker.spot,
        "wrong_place: {task} runs on a spot instance, which its job does not allow"
    );
    assert!(
        !job.one_zone || elsewhere == 0,
        "wrong_place: {task} runs in a second zone, its job has oneZone"
    );
    assert!(
        !job.spread || here < job.tasks.div_ceil(2),
        "wrong_place: {task} is one too many in its zone, its job has spread"
    );
}
