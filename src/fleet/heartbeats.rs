//! Workers' heartbeats and the replies to them. A reply carries commands and may be deferred until there is a
//! task to start. Direct commands carry this leader's fencing token or halts to machines that send no
//! heartbeats.

use std::collections::{BTreeMap, BTreeSet};

use super::machine::{HeartbeatPosition, Machine, TaskEntry, TaskKey};
use super::starts::MAX_COMMANDS_PER_REPLY;
use super::tasks::task_name;
use super::Fleet;
use crate::direct_command::DirectCommand;
use crate::jobs::MachineId;
use crate::time::{Micros, Steady, Wall};
use crate::wire::{ExitReason, Heartbeat, HeartbeatReply, TaskStage, WorkerCommand};

/// Up to this many pairs of a job and a machine, the fleet is planned anew (if something changed) for each
/// reply to a heartbeat, since a plan is then cheap. With more pairs plans are made independently of the
/// replies.
pub(super) const MAX_PAIRS_PLANNED_INLINE: usize = 4_000;

/// Maximum number of machines with an overdue heartbeat to which halts are sent in one round. A command to a
/// machine behind a network partition waits for its timeout, and too many of them would delay the halts of
/// preempted tasks. On a partitioned machine the tasks end anyway when the machine's lease expires.
const MAX_OVERDUE_HALTS: usize = 6;

/// Number of heartbeat intervals after which a machine's next heartbeat is overdue.
const OVERDUE_INTERVALS: f64 = 1.5;

/// Maximum length of a machine id, in bytes.
const MAX_MACHINE_ID_BYTES: usize = 100;

/// Characters that a machine id must not contain, since the id becomes part of keys and URLs.
const FORBIDDEN_IN_MACHINE_ID: [char; 6] = [' ', '/', '?', '&', '%', '#'];

/// How to answer a worker's heartbeat, as decided by [`Fleet::apply_heartbeat`].
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Answer 200 with this reply: this leader's fencing token and the commands for the machine.
    Reply(HeartbeatReply),
    /// The heartbeat carries this fencing token, which is higher than this leader's: another leader has taken
    /// over.
    Superseded(u64),
    /// Do not answer 200: the machine was removed, its id is malformed, it reports tasks although it has no
    /// record, or the heartbeat is a duplicate or was overtaken by a newer one.
    Refuse,
}

impl Fleet {
    /// Records a heartbeat that came while this leader may not answer any, because its own lease is not
    /// confirmed. The machine's lease may expire since its heartbeats are not answered. Without this record
    /// the machine would then count as silent and be scaled in as soon as the leader may act again; after a
    /// long outage of the state store that would happen to all machines.
    pub fn record_unanswered_heartbeat(&mut self, machine: &str, now: Steady) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.unanswered_heartbeat_at = now;
        }
    }

    /// Reconciles the model with a worker's heartbeat and decides how to answer it.
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
            // The heartbeat is a duplicate or was overtaken by a newer one: it renews no lease and adds no
            // task, and the worker does not wait for a reply to it.
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

    /// Adds a machine that this leader did not know, from its first heartbeat; returns false if the heartbeat
    /// is to be refused.
    fn add_reporting_machine(&mut self, heartbeat: &Heartbeat, id: &MachineId, now: Steady) -> bool {
        if !is_well_formed_machine_id(&heartbeat.machine) {
            return false;
        }
        if !heartbeat.tasks.is_empty() {
            // Tasks are started only on machines with a record, and this machine has none. The heartbeat
            // must be a late duplicate from a machine that was scaled in before the failover.
            tracing::info!(machine = %id, "late heartbeat of a removed machine refused");
            return false;
        }
        tracing::info!(machine = %id, machine_type = %heartbeat.machine_type, zone = %heartbeat.zone, "first heartbeat");
        self.machines.insert(id.clone(), Machine::new(id, now));
        true
    }

    /// Applies the heartbeat that a worker returned in reply to a direct command. The heartbeat shows
    /// whether this leader's fencing token was delivered. Once the machine has acknowledged the token, the
    /// heartbeat is ignored, since its task list may be older than a start that is being delivered. Returns
    /// the heartbeat's fencing token if it is higher than this leader's, so that another leader has taken
    /// over.
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
            // From now on no earlier leader renews the machine's lease, so it can expire by this leader's
            // clock even if the machine never sends a heartbeat. Otherwise the tasks of such a machine
            // would count as possibly running until it is scaled in.
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.acknowledged_since = Some(now);
            }
        }
        None
    }

    /// Direct commands that only carry this leader's fencing token, for the machines that need it.
    pub fn fencing_token_commands(&self, now: Steady) -> Vec<DirectCommand> {
        let is_due = |machine: &&Machine| machine.needs_fencing_token(now) && !machine.address.is_empty();
        let due = self.machines.values().filter(is_due);
        due.map(|machine| machine.direct_command(Vec::new())).collect()
    }

    /// Direct commands with halts of tasks for whose capacity other tasks are waiting, and of remaining tasks
    /// of ended jobs on machines whose heartbeat is overdue. The reply to a heartbeat carries the same halts.
    /// A direct command also reaches a machine that cannot reach a controller, and one whose heartbeats the
    /// leader may not answer.
    pub fn halt_commands(&mut self, now: Steady) -> Vec<DirectCommand> {
        let ended_by_machine = self.ended_job_tasks_on_overdue_machines(now);
        let mut commands = Vec::new();
        for machine in self.machines.values_mut().filter(|machine| !machine.address.is_empty()) {
            let ended_tasks = ended_by_machine.get(&machine.id);
            let mut halts = Vec::new();
            for (key, task) in machine.tasks.iter_mut().filter(|(_, task)| task.is_live()) {
                let Some(grace_s) = task.stop_grace_s else { continue };
                let is_of_ended_job = ended_tasks.is_some_and(|ended| ended.contains(key));
                if task.stop_directly || is_of_ended_job {
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

    /// The remaining tasks of ended jobs on machines whose heartbeat is overdue, by machine. At most
    /// `MAX_OVERDUE_HALTS` machines are returned: the machines whose last direct command is longest ago.
    fn ended_job_tasks_on_overdue_machines(&self, now: Steady) -> BTreeMap<MachineId, BTreeSet<TaskKey>> {
        let interval_s = self.config.platform.settings.workers.report_s;
        let overdue = Micros::from_secs(interval_s * OVERDUE_INTERVALS);
        let is_overdue = |machine: &&Machine| now - machine.heartbeat_at.max(machine.commanded_at) > overdue;
        let with_ended_tasks = |machine| (machine, self.ended_job_tasks_on(machine));
        let machines = self.machines.values().filter(is_overdue).map(with_ended_tasks);
        let mut machines: Vec<_> = machines.filter(|(_, ended_tasks)| !ended_tasks.is_empty()).collect();
        machines.sort_by_key(|(machine, _)| machine.commanded_at);
        machines.truncate(MAX_OVERDUE_HALTS);
        machines.into_iter().map(|(machine, ended_tasks)| (machine.id.clone(), ended_tasks)).collect()
    }

    /// Tasks of ended jobs on a machine that are to exit at once, without a grace period.
    fn ended_job_tasks_on(&self, machine: &Machine) -> BTreeSet<TaskKey> {
        let is_of_ended_job = |key: &TaskKey, task: &TaskEntry| {
            task.is_live() && task.stop_grace_s == Some(0.0) && self.has_job_ended(key)
        };
        let ended_tasks = machine.tasks.iter().filter(|(key, task)| is_of_ended_job(key, task));
        ended_tasks.map(|(key, _)| key.clone()).collect()
    }

    /// The commands in the reply to a machine's heartbeat: forgets of exited tasks whose end is recorded,
    /// halts, and starts; at most `MAX_COMMANDS_PER_REPLY` in all.
    pub(super) fn reply_commands(&mut self, id: &MachineId, now: Steady, wall: Wall) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        if let Some(machine) = self.machines.get(id) {
            let task_commands =
                machine.tasks.iter().filter_map(|(key, task)| self.command_for_task(key, task));
            commands.extend(task_commands.take(MAX_COMMANDS_PER_REPLY));
        }
        if self.jobs.len() * self.machines.len() <= MAX_PAIRS_PLANNED_INLINE {
            // The fleet is small enough to plan for each reply, so that the plan includes this heartbeat.
            self.replan(now, wall);
        }
        self.add_start_commands(id, now, &mut commands);
        self.count_commands(&commands, now);
        commands
    }

    /// The command that the worker needs for a task on its machine: a forget if the task has exited and its
    /// end is recorded, a halt if it is to be stopped, and none otherwise.
    fn command_for_task(&self, key: &TaskKey, task: &TaskEntry) -> Option<WorkerCommand> {
        match (task.exit_reason, task.stop_grace_s) {
            (Some(reason), _) if self.is_end_written(key, reason) => {
                Some(WorkerCommand::Forget { task: task_name(&key.job, key.number), attempt: key.attempt })
            }
            (None, Some(grace_s)) => Some(halt(key, grace_s)),
            _ => None,
        }
    }

    /// Whether nothing about the task's end remains to be written to the state store.
    fn is_end_written(&self, key: &TaskKey, reason: ExitReason) -> bool {
        match self.jobs.get(&key.job) {
            // A service is never done, so nothing is written when one of its replicas ends.
            Some(job) if job.spec.is_service() => true,
            Some(job) if reason == ExitReason::Done && !job.ended => job.is_recorded(key.number),
            None => self.has_job_ended(key),
            _ => true,
        }
    }

    /// Whether the reply to a machine's heartbeat may be deferred, so that a start that is decided
    /// meanwhile is sent at once. The machine must be usable, and nothing may be on it except running
    /// service replicas that are not being stopped.
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

    /// Records that the reply to a machine's heartbeat is deferred until `until`. A start for the machine
    /// that is decided before then is sent at once.
    pub fn defer_reply(&mut self, id: &str, until: Steady) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.reply_deferred_until = until;
        }
    }

    /// Whether a start for the machine can be sent now: the plan has reserved a place there for a gang's
    /// task, or has assigned tasks to it, and the start mark that the task needs is stored.
    pub fn has_ready_start(&self, id: &str) -> bool {
        let mut places = self.reserved_gang_places.get(id).into_iter().flatten();
        let mut assigned = self.assigned_starts.get(id).into_iter().flatten();
        places.any(|place| self.is_below_start_mark(&place.job, place.number))
            || assigned.any(|starts| self.is_below_start_mark(&starts.job, 0))
    }

    /// The commands in a deferred reply to `heartbeat`; empty if the machine has sent a newer heartbeat.
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

/// Whether a machine id can be used in keys and URLs.
fn is_well_formed_machine_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_MACHINE_ID_BYTES && !id.contains(FORBIDDEN_IN_MACHINE_ID)
}

/// The command that stops a task.
fn halt(key: &TaskKey, grace_s: f64) -> WorkerCommand {
    WorkerCommand::Halt { task: task_name(&key.job, key.number), attempt: key.attempt, grace_s }
}
