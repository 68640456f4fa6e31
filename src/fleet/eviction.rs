//! Eviction of tasks: preempted for other work, checkpointed before their spot machine is reclaimed, or
//! service replicas that move.

use super::{Fleet, TaskKey};
use crate::jobs::{JobId, MachineId};
use crate::sched::Plan;
use crate::time::Steady;

/// A task that can save a checkpoint is stopped this many heartbeat intervals, and its grace period, before
/// its spot machine is reclaimed.
const CHECKPOINT_LEAD_INTERVALS: f64 = 2.5;

/// Seconds added to the time that a job states for saving a checkpoint.
const CHECKPOINT_MARGIN_S: f64 = 0.5;

/// When the command to stop a task leaves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// At once, by direct command.
    Direct,
    /// With the reply to the machine's next heartbeat.
    NextHeartbeat,
}

/// A task to be evicted from its machine.
struct Eviction {
    /// The machine the task is on.
    machine: MachineId,
    /// The task, by job, number and attempt.
    task: TaskKey,
    /// Seconds it is given to save a checkpoint.
    grace_s: f64,
    /// When the command leaves.
    delivery: Delivery,
}

impl Fleet {
    /// Stops the tasks that the plan preempts, those that have just time to save before their spot
    /// machine is reclaimed, and replicas that move.
    pub(super) fn evict_tasks(&mut self, plan: &Plan, machines: &[MachineId], now: Steady) {
        let mut evictions = self.preempted_tasks(plan, machines);
        evictions.extend(self.tasks_to_checkpoint(now));
        evictions.extend(self.replica_evictions(now));
        for eviction in &evictions {
            self.evict(eviction);
        }
        for eviction in evictions.iter().filter(|eviction| eviction.delivery == Delivery::Direct) {
            let machine = self.machines.get_mut(&eviction.machine);
            if let Some(task) = machine.and_then(|machine| machine.tasks.get_mut(&eviction.task)) {
                task.stop_directly = task.is_live() && task.stop_grace_s.is_some();
            }
        }
    }

    /// The tasks that the plan preempts.
    fn preempted_tasks(&self, plan: &Plan, machines: &[MachineId]) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        for &(machine, placed_task) in &plan.preempt {
            let id = &machines[machine];
            let Some(machine) = self.machines.get(id) else { continue };
            // The snapshot lists the live tasks of a machine in this very order.
            let mut live_tasks = machine.tasks.iter().filter(|(_, task)| task.is_live());
            if let Some((task, _)) = live_tasks.nth(placed_task) {
                tracing::info!(machine = %id, job = %task.job, task = task.number, "preempted");
                evictions.push(self.direct_eviction(id.clone(), task.clone()));
            }
        }
        evictions
    }

    /// Tasks that can save a checkpoint and have to begin with it now, before their spot machine is
    /// reclaimed.
    fn tasks_to_checkpoint(&self, now: Steady) -> Vec<Eviction> {
        let lead_s = CHECKPOINT_LEAD_INTERVALS * self.config.platform.settings.workers.report_s;
        let mut evictions = Vec::new();
        for machine in self.machines.values() {
            let Some(notice) = machine.interruption_at else { continue };
            let left_s = (notice - now).secs();
            for (key, task) in
                machine.tasks.iter().filter(|(_, task)| task.is_live() && task.stop_grace_s.is_none())
            {
                let grace_s = self.checkpoint_grace_s(&key.job);
                if grace_s > 0.0 && left_s < grace_s + lead_s && task.stage.is_some() {
                    evictions.push(Eviction {
                        machine: machine.id.clone(),
                        task: key.clone(),
                        grace_s,
                        delivery: Delivery::NextHeartbeat,
                    });
                }
            }
        }
        evictions
    }

    /// Replicas that leave a spot machine before it is reclaimed.
    fn replica_evictions(&self, now: Steady) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        for (machine, task) in self.replicas_to_move(now) {
            tracing::info!(machine = %machine, job = %task.job, task = task.number, "replica moved");
            evictions.push(self.direct_eviction(machine, task));
        }
        evictions
    }

    /// An eviction by direct command, with the grace period of the task's job.
    fn direct_eviction(&self, machine: MachineId, task: TaskKey) -> Eviction {
        let grace_s = self.checkpoint_grace_s(&task.job);
        Eviction { machine, task, grace_s, delivery: Delivery::Direct }
    }

    /// Marks a task as to be stopped, and with a gang's task its whole attempt.
    fn evict(&mut self, eviction: &Eviction) {
        let TaskKey { job, attempt, .. } = &eviction.task;
        if self.jobs.get(job).is_some_and(|job| job.spec.is_gang()) {
            self.stop_tasks(job, Some(*attempt), eviction.grace_s, false);
        } else {
            let machine = self.machines.get_mut(&eviction.machine);
            let task = machine.and_then(|machine| machine.tasks.get_mut(&eviction.task));
            if let Some(task) = task.filter(|task| task.is_live() && task.stop_grace_s.is_none()) {
                task.stop_grace_s = Some(eviction.grace_s);
            }
        }
        if let Some(gang) = self.jobs.get_mut(job).and_then(|job| job.gang.as_mut()) {
            gang.stop_grace_s.get_or_insert(eviction.grace_s);
        }
    }

    /// Seconds that a job's tasks are given to save a checkpoint when they are stopped.
    pub(super) fn checkpoint_grace_s(&self, job: &JobId) -> f64 {
        let saving_job = self.jobs.get(job).filter(|job| job.spec.checkpoint_s > 0.0);
        saving_job.map_or(0.0, |job| job.spec.save_s + CHECKPOINT_MARGIN_S)
    }
}
