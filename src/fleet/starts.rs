//! Starts of tasks: which of them go into the reply to a machine's heartbeat, and their attempt numbers.
//!
//! A job's *start mark* is the stored high-water mark of its started task numbers. It is written before any
//! task below it starts, a few tasks ahead, so that a new leader knows which tasks may be running on
//! machines that it has not heard from.

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
    /// How many of its tasks.
    pub(super) count: u32,
}

/// A place on a machine that is reserved for a gang's task.
pub(super) struct GangPlace {
    /// The gang.
    pub(super) job: JobId,
    /// The task's number.
    pub(super) number: u32,
}

/// Low bits of an attempt number, which count attempts; the high bits are the fencing token.
const ATTEMPT_BITS: u32 = 24;

/// The highest count in an attempt number.
const MAX_ATTEMPTS: u64 = (1 << ATTEMPT_BITS) - 1;

/// Attempt numbers that are left for what one plan places, gangs included, before no more is started.
const ATTEMPTS_RESERVED: u64 = 1 << 18;

/// Most commands in a reply to a heartbeat. A line of a reply may take 64 KiB, and a command up to a hundred
/// bytes; further commands are sent with the next replies.
pub(super) const MAX_COMMANDS_PER_REPLY: usize = 500;

impl Fleet {
    /// Whether starts wait for a start mark to be written.
    pub fn starts_await_marks(&self) -> bool {
        self.jobs.values().any(|job| job.wanted_start_mark > job.start_mark && !job.ended)
    }

    /// Whether the start mark that allows a task to start is written.
    pub(super) fn is_below_start_mark(&self, id: &JobId, number: u32) -> bool {
        self.jobs.get(id).is_some_and(|job| job.stored_start_mark() > number)
    }

    /// Adds the starts for the machine whose heartbeat is being answered: what the latest plan assigns
    /// to it, and waiting tasks of job arrays that fit there before the next plan.
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
                // Its start mark or the machine's record is still being written.
                self.reserved_gang_places.entry(id.clone()).or_default().push(place);
            }
        }
    }

    /// Starts the replicas that the plan assigns to the machine, and keeps the assignment of those that
    /// cannot start yet.
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
            // Its start mark is being written, or what it replaces has not ended yet.
            let left = AssignedStarts { job, count: count - started };
            self.assigned_starts.entry(id.clone()).or_default().push(left);
        }
    }

    /// Starts tasks that the latest plan left unmet, or that a quota held back then, and that fit the machine
    /// now.
    fn backfill(&mut self, id: &MachineId, now: Steady, commands: &mut Vec<WorkerCommand>) {
        let Some(machine) = self.backfill_candidate(id, now) else { return };
        let team_uses = self.current_team_uses();
        let classes = &self.planned_snapshot.classes;
        let gang_waits = self.plan.unmet.iter().any(|unmet| {
            let class = &classes[unmet.0];
            unmet.1 > 0 && class.gang && sched::may_use(class, &machine)
        });
        let mut backfill = IncrementalBackfill {
            snapshot: &self.planned_snapshot,
            contended_types: &self.plan.contended_types,
            gang_awaits_quota: &self.plan.gang_awaits_quota,
            team_uses,
            machine: &machine,
            gang_waits,
        };
        let mut starts = backfill.starts(&mut self.plan.unmet);
        let taken = starts.iter().map(|(class, count)| (classes[*class].need, *count));
        let free = taken.fold(machine.free, |free, (need, count)| free.minus(&need, count));
        for (team_use, other) in backfill.team_uses.iter_mut().zip(&self.plan.quota_of_other_starts) {
            team_use.used = team_use.used.plus(other, 1);
        }
        starts.extend(backfill.starts_on_freed_quota(&mut self.plan.held_by_quota, free));
        for (class, count) in starts {
            if let Some(job) = self.planned_jobs.get(class).cloned() {
                self.start_tasks(&job, count, id, now, commands);
            }
        }
    }

    /// The machine as the planner sees it, if waiting tasks of job arrays may start on it before the next
    /// plan.
    fn backfill_candidate(&self, id: &MachineId, now: Steady) -> Option<MachineSnapshot> {
        if self.plan.unmet.is_empty() && self.plan.held_by_quota.is_empty() {
            return None;
        }
        self.machine_for_starts(id, now).filter(|snapshot| snapshot.free.cpus > 0.0)
    }

    /// The machine as the planner sees it, if tasks beyond the plan may start on it: it is usable, neither
    /// reserved nor waiting for a gang's start, and no task on it is being stopped.
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

    /// Starts up to `count` waiting tasks of a job on the machine whose heartbeat is being answered;
    /// returns how many.
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

    /// The waiting tasks of a job in the order in which they start. As long as an earlier leader's starts
    /// may be running on machines that have not acknowledged this leader, without those below the start
    /// mark that this leader found.
    pub(super) fn next_tasks<'a>(&self, job: &'a Job) -> impl Iterator<Item = u32> + use<'a> {
        let first = if self.may_run_on_unacknowledged(&job.spec) { job.inherited_start_mark } else { 0 };
        job.waiting.iter().filter(move |number| *number >= first)
    }

    /// Starts one task on the machine whose heartbeat is being answered, if it may start there; returns
    /// whether it did.
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

    /// The next attempt number, from the fencing token and a counter: it is never used again, by this
    /// leader or another, and nothing has to be written for that.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempt_counter += 1;
        (self.fencing_token << ATTEMPT_BITS) | (self.attempt_counter & MAX_ATTEMPTS)
    }

    /// Whether this leader has hardly an attempt number left. It starts nothing more: under a higher
    /// fencing token there are as many again. Four thousand machines that each start a task a second get
    /// here within little more than an hour.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempt_counter + ATTEMPTS_RESERVED > MAX_ATTEMPTS
    }

    /// Proceeds as if `count` attempt numbers had been used, so that tests need not use them up.
    pub fn skip_attempt_numbers(&mut self, count: u64) {
        self.attempt_counter += count;
    }
}
