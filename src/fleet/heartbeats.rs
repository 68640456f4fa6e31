//! Heartbeats from workers and the replies to them: commands in the reply, replies that are deferred until
//! a start comes up, and direct commands that carry this leader's fencing token or halts to machines
//! that send no heartbeat.

use std::collections::{BTreeMap, BTreeSet};

use super::machine::{HeartbeatPosition, Machine, TaskEntry, TaskKey};
use super::starts::MAX_COMMANDS_PER_REPLY;
use super::tasks::task_name;
use super::Fleet;
use crate::direct_command::DirectCommand;
use crate::jobs::MachineId;
use crate::time::{Micros, Steady, Wall};
use crate::wire::{ExitReason, Heartbeat, HeartbeatReply, TaskStage, WorkerCommand};

/// Up to this many pairs of job and machine a new plan is made for each heartbeat's reply; with more,
/// plans are made apart from the replies.
pub(super) const MAX_PAIRS_PLANNED_INLINE: usize = 4_000;

/// Most machines with an overdue heartbeat to which halts are sent at once. Each one behind a network
/// partition is waited for in vain, and halts of preempted tasks would be held up; there the tasks end
/// with the machine's lease.
const MAX_OVERDUE_HALTS: usize = 6;

/// Heartbeat intervals after which a heartbeat is overdue.
const OVERDUE_INTERVALS: f64 = 1.5;

/// Longest machine id that is accepted, in bytes.
const MAX_MACHINE_ID_BYTES: usize = 100;

/// Characters that a machine id may not hold, since it becomes part of keys and of addresses.
const FORBIDDEN_IN_MACHINE_ID: [char; 6] = [' ', '/', '?', '&', '%', '#'];

/// What to do with a worker's heartbeat, as decided by [`Fleet::apply_heartbeat`].
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Answer 200 with this reply: this leader's fencing token and the commands for the machine.
    Reply(HeartbeatReply),
    /// The heartbeat carries this higher fencing token: another leader has taken over.
    Superseded(u64),
    /// Not to be answered with 200: the machine was removed, its id is malformed, or the heartbeat is a
    /// copy or was overtaken by a newer one.
    Refuse,
}

impl Fleet {
    /// Notes that a heartbeat came while this leader may answer none (its own lease is not confirmed).
    /// Without this a machine whose lease expired for that would be taken for silent and scaled in as
    /// soon as the leader may act again: after a long outage of the state store all of them.
    pub fn record_unanswered_heartbeat(&mut self, machine: &str, now: Steady) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.unanswered_heartbeat_at = now;
        }
    }

    /// Takes a worker's heartbeat: reconciles the model with it and decides how to answer.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Steady, wall: Wall) -> HeartbeatOutcome {
        if heartbeat.fencing_token > self.fencing_token {
            return HeartbeatOutcome::Superseded(heartbeat.fencing_token);
        }
        let id: MachineId = heartbeat.machine.as_str().into();
        if self.removed_machines.contains_key(&id) {
            return HeartbeatOutcome::Refuse;
        }
        if !self.machines.contains_key(&id) && !self.add_reporting_machine(heartbeat, &id, now) {
            return HeartbeatOutcome::Refuse;
        }
        self.describe_machine(
            &id,
            &heartbeat.address,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
        );
        if !self.reconcile_heartbeat(&id, heartbeat, now) {
            // A copy, or one that was overtaken: it renews no lease and adds no task, and the worker does
            // not wait for its reply.
            return HeartbeatOutcome::Refuse;
        }
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.answered_at = Some(now);
            machine.heartbeat_at = now;
            machine.lease_expired = false;
            machine.missing = false;
        }
        let commands = self.reply_commands(&id, now, wall);
        HeartbeatOutcome::Reply(HeartbeatReply { fencing_token: self.fencing_token, commands })
    }

    /// Adds the machine of a first heartbeat; returns false if the heartbeat is to be refused.
    fn add_reporting_machine(&mut self, heartbeat: &Heartbeat, id: &MachineId, now: Steady) -> bool {
        if !is_well_formed_machine_id(&heartbeat.machine) {
            return false;
        }
        if !heartbeat.tasks.is_empty() {
            // Nothing is started on a machine without a record, and it has none: a late copy from a
            // machine that was scaled in before the failover.
            tracing::info!(machine = %id, "late heartbeat of a removed machine refused");
            return false;
        }
        tracing::info!(machine = %id, machine_type = %heartbeat.machine_type, zone = %heartbeat.zone, "first heartbeat");
        self.machines.insert(id.clone(), Machine::new(id, now));
        true
    }

    /// Takes the heartbeat that a direct command returned: it only shows that this leader's fencing
    /// token was delivered. Its task list may be older than a start that is being delivered, so once the
    /// machine has acknowledged the token it is not used at all. Returns a higher fencing token, if the
    /// heartbeat carries one (of a newer leader).
    pub fn apply_direct_command_reply(&mut self, heartbeat: &Heartbeat, now: Steady) -> Option<u64> {
        if heartbeat.fencing_token > self.fencing_token {
            return Some(heartbeat.fencing_token);
        }
        let id: MachineId = heartbeat.machine.as_str().into();
        if self.machines.get(&id).is_none_or(|machine| machine.acknowledged) {
            return None;
        }
        self.reconcile_heartbeat(&id, heartbeat, now);
        if heartbeat.fencing_token == self.fencing_token {
            // What an earlier leader answered was sent before this. A machine that never sends a
            // heartbeat would otherwise hold its tasks until it is scaled in.
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.acknowledged_since = Some(now);
            }
        }
        None
    }

    /// Direct commands without commands to the machines to which this leader's fencing token has to be
    /// sent.
    pub fn fencing_token_commands(&self, now: Steady) -> Vec<DirectCommand> {
        let is_due = |machine: &&Machine| machine.needs_fencing_token(now) && !machine.address.is_empty();
        let due = self.machines.values().filter(is_due);
        due.map(|machine| machine.direct_command(Vec::new())).collect()
    }

    /// Direct commands with halts of tasks whose capacity others wait for, and of what is left of ended
    /// jobs on machines whose heartbeat is overdue. The reply to a heartbeat carries the same halts;
    /// these reach a machine that reaches no controller, or whose leader may no longer answer.
    pub fn halt_commands(&mut self, now: Steady) -> Vec<DirectCommand> {
        let remains = self.ended_job_tasks_on_overdue_machines(now);
        let mut commands = Vec::new();
        for machine in self.machines.values_mut().filter(|machine| !machine.address.is_empty()) {
            let remains = remains.get(&machine.id);
            let mut halts = Vec::new();
            for (key, task) in machine.tasks.iter_mut().filter(|(_, task)| task.is_live()) {
                let Some(grace_s) = task.stop_grace_s else { continue };
                let is_remainder = remains.is_some_and(|remains| remains.contains(key));
                if task.stop_directly || is_remainder {
                    task.stop_directly = false;
                    halts.push(halt(key, grace_s));
                }
            }
            if !halts.is_empty() {
                machine.commanded_at = now;
                commands.push(machine.direct_command(halts));
            }
        }
        self.count_commands(commands.iter().flat_map(|command| &command.commands), now);
        commands
    }

    /// What is left of ended jobs on machines whose heartbeat is overdue: on those that were commanded least
    /// recently, and no more than can be waited for without holding up other halts.
    fn ended_job_tasks_on_overdue_machines(&self, now: Steady) -> BTreeMap<MachineId, BTreeSet<TaskKey>> {
        let interval_s = self.config.platform.settings.workers.report_s;
        let overdue = Micros::from_secs(interval_s * OVERDUE_INTERVALS);
        let is_overdue = |machine: &&Machine| now - machine.heartbeat_at.max(machine.commanded_at) > overdue;
        let with_remains = |machine| (machine, self.ended_job_tasks_on(machine));
        let machines = self.machines.values().filter(is_overdue).map(with_remains);
        let mut machines: Vec<_> = machines.filter(|(_, remains)| !remains.is_empty()).collect();
        machines.sort_by_key(|(machine, _)| machine.commanded_at);
        machines.truncate(MAX_OVERDUE_HALTS);
        machines.into_iter().map(|(machine, remains)| (machine.id.clone(), remains)).collect()
    }

    /// Tasks of ended jobs on a machine that are to exit at once.
    fn ended_job_tasks_on(&self, machine: &Machine) -> BTreeSet<TaskKey> {
        let is_remainder = |key: &TaskKey, task: &TaskEntry| {
            task.is_live() && task.stop_grace_s == Some(0.0) && self.has_job_ended(key)
        };
        let remains = machine.tasks.iter().filter(|(key, task)| is_remainder(key, task));
        remains.map(|(key, _)| key.clone()).collect()
    }

    /// The commands with which a machine's heartbeat is answered: forgets of exited tasks whose end is
    /// written, halts, and the starts of the plan (at most `MAX_COMMANDS_PER_REPLY`).
    pub(super) fn reply_commands(&mut self, id: &MachineId, now: Steady, wall: Wall) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        if let Some(machine) = self.machines.get(id) {
            let of_tasks = machine.tasks.iter().filter_map(|(key, task)| self.command_for_task(key, task));
            commands.extend(of_tasks.take(MAX_COMMANDS_PER_REPLY));
        }
        if self.jobs.len() * self.machines.len() <= MAX_PAIRS_PLANNED_INLINE {
            // Cheap enough to be up to date with this very heartbeat.
            self.replan(now, wall);
        }
        self.add_start_commands(id, now, &mut commands);
        self.count_commands(&commands, now);
        commands
    }

    /// The command for a task that a machine has, if there is one: a forget or a halt.
    fn command_for_task(&self, key: &TaskKey, task: &TaskEntry) -> Option<WorkerCommand> {
        match (task.exit_reason, task.stop_grace_s) {
            (Some(reason), _) if self.is_end_written(key, reason) => {
                Some(WorkerCommand::Forget { task: task_name(&key.job, key.number), attempt: key.attempt })
            }
            (None, Some(grace_s)) => Some(halt(key, grace_s)),
            _ => None,
        }
    }

    /// Whether nothing of a task's end has to be written any more.
    fn is_end_written(&self, key: &TaskKey, reason: ExitReason) -> bool {
        match self.jobs.get(&key.job) {
            // A service is never done: nothing of its replicas' ends is written.
            Some(job) if job.spec.is_service() => true,
            Some(job) if reason == ExitReason::Done && !job.ended => job.is_recorded(key.number),
            None => self.has_job_ended(key),
            _ => true,
        }
    }

    /// Whether a heartbeat's reply may be deferred: nothing is on the machine but service replicas that
    /// run, and there is no command for it, so that a start which comes up meanwhile can be sent at once.
    pub fn may_defer_reply(&self, id: &str, now: Steady) -> bool {
        let Some(machine) = self.machines.get(id).filter(|machine| machine.is_usable(now)) else {
            return false;
        };
        let is_steady_replica = |key: &TaskKey, task: &TaskEntry| {
            let is_service = self.jobs.get(&key.job).is_some_and(|job| job.spec.is_service());
            is_service && task.stage == Some(TaskStage::Running) && task.stop_grace_s.is_none()
        };
        machine.interruption_at.is_none()
            && machine.tasks.iter().all(|(key, task)| is_steady_replica(key, task))
    }

    /// The reply to a machine's heartbeat is deferred until `until`: a start that comes up before is sent
    /// at once.
    pub fn defer_reply(&mut self, id: &str, until: Steady) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.reply_deferred_until = until;
        }
    }

    /// Whether a start for the machine may be sent now: a gang place or an assigned job on it whose start
    /// mark is written.
    pub fn has_ready_start(&self, id: &str) -> bool {
        let mut places = self.reserved_gang_places.get(id).into_iter().flatten();
        let mut assigned = self.assigned_starts.get(id).into_iter().flatten();
        places.any(|place| self.is_below_start_mark(&place.job, place.number))
            || assigned.any(|starts| self.is_below_start_mark(&starts.job, 0))
    }

    /// The commands with which a deferred heartbeat is answered; empty if a newer heartbeat has come.
    pub fn deferred_commands(
        &mut self,
        heartbeat: &Heartbeat,
        now: Steady,
        wall: Wall,
    ) -> Vec<WorkerCommand> {
        let id: MachineId = heartbeat.machine.as_str().into();
        let position = HeartbeatPosition::of(heartbeat);
        if self.machines.get(&id).is_none_or(|machine| machine.latest_heartbeat != position) {
            return Vec::new();
        }
        self.reply_commands(&id, now, wall)
    }
}

/// Whether a machine id can be used in keys and addresses.
fn is_well_formed_machine_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_MACHINE_ID_BYTES && !id.contains(FORBIDDEN_IN_MACHINE_ID)
}

/// The command that stops a task.
fn halt(key: &TaskKey, grace_s: f64) -> WorkerCommand {
    WorkerCommand::Halt { task: task_name(&key.job, key.number), attempt: key.attempt, grace_s }
}
