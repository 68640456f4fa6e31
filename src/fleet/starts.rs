//! Starts of tasks: which starts go into the reply to a machine's heartbeat, and the attempt numbers.
//!
//! A job's *start mark* is the stored high-water mark of its started task numbers: only tasks with lower
//! numbers may be started. The mark is written before these tasks start, and is raised a few tasks ahead of
//! them. From the mark a new leader knows which tasks may be running on machines that have not yet
//! acknowledged its fencing token.

use super::machine::{Machine, TaskEntry, TaskKey};
use super::tasks::{task_name, task_resources};
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::sched::{self, IncrementalBackfill, MachineSnapshot};
use crate::time::Steady;
use crate::wire::WorkerCommand;

/// Waiting tasks of a job that the latest plan starts on a machine.
pub(super) struct AssignedStarts {
    /// The job.
    pub(super) job: JobId,
    /// Number of tasks of the job that are to start there.
    pub(super) count: u32,
}

/// A place on a machine that is reserved for a gang's task.
pub(super) struct GangPlace {
    /// The gang.
    pub(super) job: JobId,
    /// The task's number.
    pub(super) number: u32,
}

/// Number of low bits of an attempt number that count attempts; the bits above them are the fencing token.
const ATTEMPT_BITS: u32 = 24;

/// Highest value of the attempt counter that fits the low bits of an attempt number.
const MAX_ATTEMPTS: u64 = (1 << ATTEMPT_BITS) - 1;

/// The leader stops starting tasks when only this many attempt numbers are left, so that everything one plan
/// places, gangs included, still gets numbers.
const ATTEMPTS_RESERVED: u64 = 1 << 18;

/// Maximum number of commands in a reply to a heartbeat. A line of a reply may take 64 KiB, and a command
/// takes up to a hundred bytes. Further commands are sent with the next replies.
pub(super) const MAX_COMMANDS_PER_REPLY: usize = 500;

impl Fleet {
    /// Whether some start has to wait until a higher start mark of its job is written.
    pub fn starts_await_marks(&self) -> bool {
        self.jobs.values().any(|job| job.wanted_start_mark > job.start_mark && !job.ended)
    }

    /// Whether a start mark that allows the task to start is stored.
    pub(super) fn is_below_start_mark(&self, id: &JobId, number: u32) -> bool {
        self.jobs.get(id).is_some_and(|job| job.stored_start_mark() > number)
    }

    /// Adds the starts for the machine whose heartbeat is being answered: the tasks that the latest plan
    /// assigns to it, waiting replicas that run sooner there than planned, and waiting tasks of job arrays
    /// that fit there and need not wait for the next plan (backfill).
    pub(super) fn add_start_commands(
        &mut self,
        id: &MachineId,
        now: Steady,
        commands: &mut Vec<WorkerCommand>,
    ) {
        self.start_gang_tasks(id, now, commands);
        let is_service = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.spec.is_service());
        let assigned = self.assigned_starts.remove(id).unwrap_or_default();
        let (replicas, tasks): (Vec<_>, Vec<_>) =
            assigned.into_iter().partition(|starts| is_service(&starts.job));
        for starts in replicas {
            self.start_assigned_replicas(starts, id, now, commands);
        }
        self.start_replicas(id, now, commands);
        for starts in tasks {
            self.start_tasks(&starts.job, starts.count, id, now, commands);
        }
        self.backfill(id, now, commands);
    }

    /// Starts gang tasks whose places are reserved on the machine.
    fn start_gang_tasks(&mut self, id: &MachineId, now: Steady, commands: &mut Vec<WorkerCommand>) {
        for place in self.reserved_gang_places.remove(id).unwrap_or_default() {
            let gang = self.jobs.get(&place.job).and_then(|job| job.gang.as_ref());
            let is_due = gang.is_some_and(|gang| {
                gang.stop_grace_s.is_none()
                    && gang.places.get(&place.number) == Some(id)
                    && !gang.started.contains(place.number)
            });
            if is_due && !self.start_task(&place.job, place.number, id, now, commands) {
                // The start mark or the machine's record is still being written: the place stays reserved.
                self.reserved_gang_places.entry(id.clone()).or_default().push(place);
            }
        }
    }

    /// Starts the replicas that the plan assigns to the machine. Replicas that cannot start yet stay assigned
    /// to it.
    fn start_assigned_replicas(
        &mut self,
        assigned: AssignedStarts,
        id: &MachineId,
        now: Steady,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let AssignedStarts { job, count } = assigned;
        let started = self.start_tasks(&job, count, id, now, commands);
        let has_waiting = self.jobs.get(&job).is_some_and(|job| !job.waiting.is_empty());
        if started < count && has_waiting {
            // The start mark is still being written, or the task that the replica replaces has not ended yet.
            let remaining = AssignedStarts { job, count: count - started };
            self.assigned_starts.entry(id.clone()).or_default().push(remaining);
        }
    }

    /// Starts tasks that the latest plan left without a machine, or that a quota blocked at that time, if
    /// they fit the machine now.
    fn backfill(&mut self, id: &MachineId, now: Steady, commands: &mut Vec<WorkerCommand>) {
        let Some(machine) = self.backfill_candidate(id, now) else { return };
        let team_uses = self.current_team_uses();
        let classes = &self.planned_snapshot.classes;
        let gang_waits = self.plan.unplaced.iter().any(|unplaced| {
            let class = &classes[unplaced.0];
            unplaced.1 > 0 && class.gang && sched::may_use(class, &machine)
        });
        let mut backfill = IncrementalBackfill {
            snapshot: &self.planned_snapshot,
            contended_types: &self.plan.contended_types,
            gang_blocked_by_quota: &self.plan.gang_blocked_by_quota,
            team_uses,
            machine: &machine,
            gang_waits,
        };
        let mut starts = backfill.starts(&mut self.plan.unplaced);
        let taken = starts.iter().map(|(class, count)| (classes[*class].need, *count));
        let free = taken.fold(machine.free, |free, (need, count)| free.minus(&need, count));
        for (team_use, other) in backfill.team_uses.iter_mut().zip(&self.plan.quota_of_other_starts) {
            team_use.used = team_use.used.plus(other, 1);
        }
        starts.extend(backfill.starts_within_freed_quota(&mut self.plan.blocked_by_quota, free));
        for (class, count) in starts {
            if let Some(job) = self.planned_jobs.get(class).cloned() {
                self.start_tasks(&job, count, id, now, commands);
            }
        }
    }

    /// The planner's snapshot of the machine; `None` if no waiting task of a job array may start on it before
    /// the next plan.
    fn backfill_candidate(&self, id: &MachineId, now: Steady) -> Option<MachineSnapshot> {
        if self.plan.unplaced.is_empty() && self.plan.blocked_by_quota.is_empty() {
            return None;
        }
        self.machine_for_starts(id, now).filter(|snapshot| snapshot.free.cpus > 0.0)
    }

    /// The planner's snapshot of the machine, if tasks that the plan did not assign to it may start there:
    /// the machine must be usable, not closed by the latest plan and without a place reserved for a gang's
    /// task, and no task on it may be being stopped.
    pub(super) fn machine_for_starts(&self, id: &MachineId, now: Steady) -> Option<MachineSnapshot> {
        if self.closed_machines.contains(id) || self.reserved_gang_places.contains_key(id) {
            return None;
        }
        let is_usable =
            |machine: &&Machine| machine.is_usable(now) && !machine.missing && !machine.has_unknown_use();
        let machine = self.machines.get(id).filter(is_usable)?;
        if machine.tasks.values().any(|task| task.is_live() && task.stop_grace_s.is_some()) {
            return None;
        }
        self.machine_snapshot(machine, now)
    }

    /// Starts up to `count` waiting tasks of a job on the machine whose heartbeat is being answered; returns
    /// how many were started.
    pub(super) fn start_tasks(
        &mut self,
        id: &JobId,
        count: u32,
        machine: &MachineId,
        now: Steady,
        commands: &mut Vec<WorkerCommand>,
    ) -> u32 {
        let Some(job) = self.jobs.get(id).filter(|job| !job.ended) else { return 0 };
        let next: Vec<u32> = self.next_tasks(job).take(count as usize).collect();
        if let (Some(job), Some(last)) = (self.jobs.get_mut(id), next.last()) {
            job.request_start_mark(*last, count);
        }
        let mut started = 0;
        for number in next {
            if !self.start_task(id, number, machine, now, commands) {
                break;
            }
            started += 1;
        }
        started
    }

    /// The waiting tasks of a job in the order in which they start. As long as tasks that an earlier leader
    /// started may be running on machines that have not acknowledged this leader's fencing token, the tasks
    /// below the start mark at the failover are left out.
    pub(super) fn next_tasks<'a>(&self, job: &'a Job) -> impl Iterator<Item = u32> + use<'a> {
        let first = if self.may_run_on_unacknowledged(&job.spec) { job.inherited_start_mark } else { 0 };
        job.waiting.iter().filter(move |number| *number >= first)
    }

    /// Starts one task on the machine whose heartbeat is being answered, if it may start there and the
    /// reply is not full; returns whether the task was started.
    pub(super) fn start_task(
        &mut self,
        id: &JobId,
        number: u32,
        machine: &MachineId,
        now: Steady,
        commands: &mut Vec<WorkerCommand>,
    ) -> bool {
        if commands.len() >= MAX_COMMANDS_PER_REPLY || !self.may_start(id, number, machine, now) {
            return false;
        }
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let attempt = job.record_start(number, attempt, now);
        if job.first_start_at.is_none() {
            job.first_start_at = Some(now);
            tracing::debug!(job = %id, machine = %machine, "first task start");
        }
        let need = task_resources(&job.spec);
        let team = job.spec.team.clone();
        self.add_use(&team, &need);
        if let Some(machine) = self.machines.get_mut(machine) {
            let key = TaskKey { job: id.clone(), number, attempt };
            machine.sent_starts.push(key.clone());
            machine.tasks.insert(key, TaskEntry::new(Some(need), now));
            machine.idle_since = now;
        }
        self.update_placement(id, number, machine);
        tracing::debug!(machine = %machine, job = %id, task = number, "task start sent");
        commands.push(WorkerCommand::Start { task: task_name(id, number), attempt });
        true
    }

    /// The next attempt number, composed of the fencing token and a counter. Neither this leader nor any
    /// other uses the number again, and nothing has to be written to ensure that.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempt_counter += 1;
        (self.fencing_token << ATTEMPT_BITS) | (self.attempt_counter & MAX_ATTEMPTS)
    }

    /// Whether this leader has nearly used up its attempt numbers. It then starts no more tasks: a leader
    /// with a higher fencing token has a full set of numbers again. Four thousand machines that each start
    /// one task a second use up the numbers in little more than an hour.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempt_counter + ATTEMPTS_RESERVED > MAX_ATTEMPTS
    }

    /// Skips `count` attempt numbers, so that tests can reach the end of the numbers without starting tasks.
    pub fn skip_attempt_numbers(&mut self, count: u64) {
        self.attempt_counter += count;
    }
}
