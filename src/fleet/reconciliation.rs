//! Reconciliation of the model with a heartbeat: with the state of the machine and of the tasks that the
//! heartbeat lists. The exit of a task is applied to its machine and its job.

use super::machine::{CachedImage, HeartbeatPosition, TaskEntry, TaskKey};
use super::tasks::task_resources;
use super::Fleet;
use crate::jobs::{split_task, JobId, MachineId};
use crate::task_ranges::TaskRanges;
use crate::time::{Micros, Steady};
use crate::wire::{ExitReason, Heartbeat, JobSpec, TaskStage, TaskStatus};

/// Number of consecutive undelivered replies after which a machine is scaled in.
const MAX_UNDELIVERED_REPLIES: u32 = 4;

/// Number of consecutive undelivered replies from which on nothing is placed on a machine for a while. A
/// single reply may be lost on an otherwise working connection.
const SUSPECT_UNDELIVERED_REPLIES: u32 = 2;

/// A lease that expired although the machine's heartbeats were answered counts as this many undelivered
/// replies.
const UNDELIVERED_REPLIES_PER_LOST_LEASE: u32 = 2;

/// The pause after N consecutive undelivered replies is 2^N heartbeat intervals, with N limited to this
/// value.
const MAX_PAUSE_EXPONENT: u32 = 4;

/// A machine is scaled in once tasks of this many jobs have failed on it without a success in between. If the
/// job that failed there succeeds on other machines, one failure is enough.
const MAX_FAILED_JOBS: usize = 2;

/// How long nothing is placed on a machine whose worker rejected a task because it had too little free
/// capacity.
const NO_CAPACITY_PAUSE: Micros = Micros(2_000_000);

/// Maximum number of tasks that are read from one heartbeat; further tasks are ignored.
const MAX_TASKS_PER_HEARTBEAT: usize = 10_000;

/// How a task exited, according to a heartbeat.
struct TaskExit {
    reason: ExitReason,
    /// How long the task ran; `None` if this leader has not observed it from its start on.
    run_time: Option<Micros>,
    /// How long this leader has known of the task on this machine.
    known_for: Micros,
}

impl TaskEntry {
    /// Marks the task as exited at `now`.
    fn exit(&mut self, reason: ExitReason, now: Steady) -> TaskExit {
        self.exit_reason = Some(reason);
        TaskExit {
            reason,
            run_time: self.running_since.map(|since| now - since),
            known_for: now - self.since,
        }
    }
}

impl Fleet {
    /// Reconciles the model with a heartbeat; returns whether that was done. The heartbeat is ignored if,
    /// by agent epoch and sequence number, it is no newer than the machine's latest one.
    pub(super) fn reconcile_heartbeat(&mut self, id: &MachineId, heartbeat: &Heartbeat, now: Steady) -> bool {
        let Some(machine) = self.machines.get_mut(id) else { return false };
        let position = HeartbeatPosition::of(heartbeat);
        let previous = machine.latest_heartbeat;
        if position <= previous {
            return false;
        }
        let lost_lease = previous.agent_epoch > 0 && position.agent_epoch > previous.agent_epoch;
        machine.latest_heartbeat = position;
        let had_notice = machine.interruption_at.is_some();
        self.reconcile_machine(id, heartbeat, now);
        let mut listed = self.reconcile_tasks(id, heartbeat, now);
        if !had_notice {
            self.stop_unfinishable(id, now);
        }
        self.record_reply_delivery(id, &listed, lost_lease, now);
        listed.sort_unstable();
        self.drop_absent_tasks(id, &listed);
        if let Some(machine) = self.machines.get_mut(id).filter(|machine| !machine.tasks.is_empty()) {
            machine.idle_since = now;
        }
        true
    }

    /// Reconciles the machine itself with a heartbeat: the machine is up, may have acknowledged this leader's
    /// fencing token, and may have received a spot interruption notice.
    fn reconcile_machine(&mut self, id: &MachineId, heartbeat: &Heartbeat, now: Steady) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let is_first = !machine.up;
        if is_first {
            machine.up = true;
            machine.idle_since = now;
            self.dirty = true;
        }
        let acknowledges = !machine.acknowledged && heartbeat.fencing_token == self.fencing_token;
        if acknowledges {
            machine.acknowledged = true;
            self.unacknowledged_machines = self.unacknowledged_machines.saturating_sub(1);
            self.cached_team_use.clear();
            self.dirty = true;
        }
        let notice_s = heartbeat.interruption_notice_s.filter(|seconds| seconds.is_finite());
        let interruption_at = notice_s.map(|seconds| now + Micros::from_secs(seconds));
        if interruption_at.is_some() != machine.interruption_at.is_some() {
            tracing::info!(machine = %id, seconds = heartbeat.interruption_notice_s, "spot notice");
            self.dirty = true;
        }
        machine.interruption_at = interruption_at;
        if is_first {
            self.compare_with_records(id, heartbeat);
        }
        if acknowledges {
            self.mark_machine_acknowledged(id, now);
        }
    }

    /// Reconciles the tasks that a heartbeat lists, and returns their keys.
    fn reconcile_tasks(&mut self, id: &MachineId, heartbeat: &Heartbeat, now: Steady) -> Vec<TaskKey> {
        let mut listed: Vec<TaskKey> = Vec::with_capacity(heartbeat.tasks.len());
        for status in heartbeat.tasks.iter().take(MAX_TASKS_PER_HEARTBEAT) {
            let Some((job, number)) = split_task(&status.task) else {
                tracing::error!(machine = %id, task = %status.task, "heartbeat names a malformed task");
                continue;
            };
            let job = self.jobs.get_key_value(job).map_or_else(|| job.into(), |(id, _)| id.clone());
            let key = TaskKey { job, number, attempt: status.attempt };
            self.reconcile_task(id, &key, status, now);
            listed.push(key);
        }
        listed
    }

    /// Stops tasks on a spot machine with an interruption notice that by their stated run time would end
    /// only after the cloud has reclaimed the machine. Only tasks of job arrays without checkpoints are
    /// stopped: the work they have done is lost anyway, and they should run elsewhere soon. This is decided
    /// only once, when the notice comes. Later a task that exceeds its stated run time might be stopped
    /// just before its end.
    fn stop_unfinishable(&mut self, id: &MachineId, now: Steady) {
        let Some(machine) = self.machines.get(id) else { return };
        let Some(interruption_at) = machine.interruption_at else { return };
        let saves_no_checkpoint = |spec: &JobSpec| spec.is_array() && spec.checkpoint_s <= 0.0;
        let is_unfinishable = |key: &TaskKey, task: &TaskEntry| {
            let spec = self.jobs.get(&key.job).map(|job| &job.spec);
            task.is_live()
                && spec.is_some_and(saves_no_checkpoint)
                && self.remaining_run_time(task, spec, now) > interruption_at - now
        };
        let tasks = machine.tasks.iter();
        let unfinishable: Vec<TaskKey> =
            tasks.filter(|(key, task)| is_unfinishable(key, task)).map(|(key, _)| key.clone()).collect();
        let Some(machine) = self.machines.get_mut(id) else { return };
        for key in unfinishable {
            if let Some(task) = machine.tasks.get_mut(&key) {
                task.stop_grace_s.get_or_insert(0.0);
            }
        }
    }

    /// Removes the machine's tasks that its heartbeat does not list; `listed` is sorted.
    fn drop_absent_tasks(&mut self, id: &MachineId, listed: &[TaskKey]) {
        let Some(machine) = self.machines.get(id) else { return };
        let is_absent = |key: &&TaskKey| listed.binary_search(key).is_err();
        let absent: Vec<TaskKey> = machine.tasks.keys().filter(is_absent).cloned().collect();
        for key in absent {
            let machine = self.machines.get_mut(id);
            let Some(task) = machine.and_then(|machine| machine.tasks.remove(&key)) else { continue };
            if task.is_live() {
                // The start was not delivered, or the worker's lease expired and it stopped all its tasks.
                tracing::debug!(machine = %id, job = %key.job, task = key.number, "task missing from heartbeat");
                self.task_lost(&key, id);
            }
        }
    }

    /// Determines from a machine's next heartbeat whether the last reply was delivered, and counts
    /// undelivered replies. A machine whose heartbeats arrive while the replies to it are lost would be
    /// assigned the same tasks again and again without ever running them. Therefore nothing is placed on it
    /// during pauses that get longer each time, and it is scaled in if the replies stay undelivered. `listed`
    /// are the tasks in the heartbeat; `lost_lease` says whether the worker's lease expired since the
    /// heartbeat before.
    pub(super) fn record_reply_delivery(
        &mut self,
        id: &MachineId,
        listed: &[TaskKey],
        lost_lease: bool,
        now: Steady,
    ) {
        let heartbeat_interval = self.heartbeat_interval();
        let Some(machine) = self.machines.get_mut(id) else { return };
        // False if this leader itself let the lease expire because it was not allowed to answer.
        let was_answered = machine.answered_at.is_some_and(|answered_at| {
            now - answered_at < self.worker_lease && machine.unanswered_heartbeat_at <= answered_at
        });
        let sent_starts = std::mem::take(&mut machine.sent_starts);
        if lost_lease && was_answered {
            // The lease expired although the heartbeats were answered.
            machine.undelivered_replies += UNDELIVERED_REPLIES_PER_LOST_LEASE;
        } else if sent_starts.is_empty() {
            return;
        } else if sent_starts.iter().any(|key| listed.contains(key)) {
            machine.undelivered_replies = 0;
            return;
        } else {
            machine.undelivered_replies += 1;
        }
        let undelivered = machine.undelivered_replies;
        if undelivered >= SUSPECT_UNDELIVERED_REPLIES {
            let intervals = f64::from(1u32 << undelivered.min(MAX_PAUSE_EXPONENT));
            machine.not_before = machine.not_before.max(now + heartbeat_interval.scale(intervals));
        }
        tracing::info!(machine = %id, undelivered, "heartbeat reply not delivered");
        if undelivered >= MAX_UNDELIVERED_REPLIES && !machine.scaling_in {
            tracing::info!(machine = %id, reason = "replies not delivered", "scale in");
            machine.scaling_in = true;
        }
        self.dirty = true;
    }

    /// Reconciles one task with its status in a heartbeat.
    pub(super) fn reconcile_task(&mut self, id: &MachineId, key: &TaskKey, status: &TaskStatus, now: Steady) {
        // Most tasks of a heartbeat have not changed since the heartbeat before.
        let known = self.machines.get(id).and_then(|machine| machine.tasks.get(key));
        if known.is_some_and(|task| is_unchanged(task, status)) {
            return;
        }
        let is_new = known.is_none();
        if is_new {
            self.cached_team_use.clear();
        }
        let job = self.jobs.get(&key.job);
        let need = job.map(|job| task_resources(&job.spec));
        // The job was cancelled, or it completed while this task was not reported.
        let job_ended = self.has_job_ended(key);
        let Some(machine) = self.machines.get_mut(id) else { return };
        let task = machine.tasks.entry(key.clone()).or_insert_with(|| TaskEntry::new(need, now));
        if job_ended {
            task.stop_grace_s = Some(0.0);
        }
        let previous_stage = task.stage.replace(status.stage);
        let changed = previous_stage != Some(status.stage);
        if status.stage == TaskStage::Running && task.running_since.is_none() && !is_new && changed {
            task.running_since = Some(now);
            tracing::debug!(machine = %id, job = %key.job, task = key.number, "task running");
        }
        let has_exited = status.stage == TaskStage::Exited;
        let exit = has_exited.then(|| task.exit(status.exit_reason.unwrap_or(ExitReason::Other), now));
        if changed {
            self.record_cached_image(id, &key.job);
        }
        if let Some(exit) = exit {
            self.task_exited(id, key, &exit, now);
        } else if previous_stage.is_none() {
            self.update_placement(&key.job, key.number, id);
        }
    }

    /// Records that a machine has a job's image in its cache, and drops the least recently used images as
    /// long as the cached images exceed the size of the cache. The job's image itself is never dropped.
    fn record_cached_image(&mut self, id: &MachineId, job: &JobId) {
        let Some(spec) = self.jobs.get(job).map(|job| &job.spec) else { return };
        let (Some(name), image_gb) = (spec.image.clone(), spec.image_gb) else { return };
        let image = self.image_index(&name);
        let Some(machine) = self.machines.get_mut(id) else { return };
        let machine_type = machine.type_index.and_then(|index| self.catalog.types.get(index));
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.images.retain(|cached| cached.image != image);
        machine.images.push(CachedImage { image, size_gb: image_gb });
        let mut cached_gb: f64 = machine.images.iter().map(|cached| cached.size_gb).sum();
        while cached_gb > cache_gb && machine.images.len() > 1 {
            cached_gb -= machine.images.remove(0).size_gb;
        }
    }

    /// Applies a task's exit to its machine and job.
    fn task_exited(&mut self, id: &MachineId, key: &TaskKey, exit: &TaskExit, now: Steady) {
        let reason = exit.reason;
        tracing::debug!(machine = %id, job = %key.job, task = key.number, ?reason, "task exited");
        self.apply_exit_to_machine(id, &key.job, exit, now);
        if self.jobs.get(&key.job).is_some_and(|job| job.spec.is_service()) {
            self.replica_ended(&key.job, id, reason, exit.known_for, now);
        } else {
            self.apply_exit_to_job(key, id, exit, now);
        }
        if reason != ExitReason::Done {
            self.stop_gang_attempt(&key.job, key.attempt);
        }
        self.update_placement(&key.job, key.number, id);
    }

    /// Applies a task's exit to its machine. A machine on which tasks fail repeatedly is marked for scale in.
    fn apply_exit_to_machine(&mut self, id: &MachineId, job: &JobId, exit: &TaskExit, now: Steady) {
        let succeeds_elsewhere = self.jobs.get(job).is_some_and(|job| !job.done.is_empty());
        let Some(machine) = self.machines.get_mut(id) else { return };
        match exit.reason {
            // The success of a task that started before the last failure would not show that the machine is
            // healthy now.
            ExitReason::Done if now - exit.known_for > machine.failed_at => machine.failed_jobs.clear(),
            ExitReason::Error => {
                machine.failed_jobs.insert(job.clone());
                machine.failed_at = now;
                let jobs = machine.failed_jobs.len();
                if (jobs >= MAX_FAILED_JOBS || succeeds_elsewhere) && !machine.scaling_in {
                    // Different jobs fail here, or one that succeeds on other machines: the machine must be
                    // faulty.
                    tracing::info!(machine = %id, jobs, reason = "tasks failed", "scale in");
                    machine.scaling_in = true;
                }
            }
            ExitReason::NoRoom => machine.not_before = now + NO_CAPACITY_PAUSE,
            _ => {}
        }
    }

    /// Applies a task's exit to its job, which must not be a service.
    fn apply_exit_to_job(&mut self, key: &TaskKey, id: &MachineId, exit: &TaskExit, now: Steady) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        match exit.reason {
            ExitReason::Done if key.number < job.spec.tasks => {
                job.record_success();
                if job.spec.is_gang() {
                    // The tasks of a gang complete together.
                    job.done = TaskRanges::span(0, job.spec.tasks);
                    job.waiting = TaskRanges::new();
                } else {
                    job.done.insert(key.number);
                    job.waiting.remove(key.number);
                }
                if let Some(run_time) = exit.run_time {
                    job.run_times.add(run_time);
                }
            }
            ExitReason::Error | ExitReason::UnknownTask => job.record_failure(id, now),
            _ => {}
        }
    }
}

/// Whether a task's status in a heartbeat brings no change to its entry.
fn is_unchanged(task: &TaskEntry, status: &TaskStatus) -> bool {
    !task.is_live() || (task.stage == Some(status.stage) && task.need.is_some())
}
