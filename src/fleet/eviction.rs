//! Eviction of tasks from their machines: tasks that are preempted, tasks that save a checkpoint before their
//! spot machine is reclaimed, and service replicas that move to another machine.

use super::{Fleet, TaskKey};
use crate::jobs::{JobId, MachineId};
use crate::sched::Plan;
use crate::time::Steady;

/// A task that can save a checkpoint is stopped by its grace period plus this many heartbeat intervals before
/// its spot machine is reclaimed.
const CHECKPOINT_LEAD_INTERVALS: f64 = 2.5;

/// Seconds that are added to the time that a job states for saving a checkpoint.
const CHECKPOINT_MARGIN_S: f64 = 0.5;

/// When the command that stops a task is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// At once, by direct command.
    Direct,
    /// With the reply to the machine's next heartbeat.
    NextHeartbeat,
}

/// A task to be evicted from its machine.
struct Eviction {
    /// The machine that the task is on.
    machine: MachineId,
    /// The attempt to be stopped.
    task: TaskKey,
    /// Seconds that the task is given to save a checkpoint.
    grace_s: f64,
    /// When the command is sent.
    delivery: Delivery,
}

impl Fleet {
    /// Marks tasks to be stopped: the tasks that the plan preempts, tasks that have to begin saving a
    /// checkpoint now because their spot machine will be reclaimed, and replicas that move. `machines` are
    /// the ids of the plan's machines, by index.
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

    /// Evictions of the tasks that the plan preempts.
    fn preempted_tasks(&self, plan: &Plan, machines: &[MachineId]) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        for &(machine, placed_task) in &plan.preempt {
            let id = &machines[machine];
            let Some(machine) = self.machines.get(id) else { continue };
            // `placed_task` is an index into the snapshot's tasks of the machine, which are its live tasks in
            // this order.
            let mut live_tasks = machine.tasks.iter().filter(|(_, task)| task.is_live());
            if let Some((task, _)) = live_tasks.nth(placed_task) {
                tracing::info!(machine = %id, job = %task.job, task = task.number, "preempted");
                evictions.push(self.direct_eviction(id.clone(), task.clone()));
            }
        }
        evictions
    }

    /// Evictions of tasks that can save a checkpoint and have to begin now to finish it before their spot
    /// machine is reclaimed.
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

    /// Evictions of replicas that have to leave a spot machine before it is reclaimed.
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

    /// Marks a task to be stopped. For a task of a gang, marks all tasks of its attempt.
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

    /// Seconds that a job's tasks are given to save a checkpoint when they are stopped; 0 if they save none.
    pub(super) fn checkpoint_grace_s(&self, job: &JobId) -> f64 {
        let saving_job = self.jobs.get(job).filter(|job| job.spec.checkpoint_s > 0.0);
        saving_job.map_or(0.0, |job| job.spec.save_s + CHECKPOINT_MARGIN_S)
    }
}
