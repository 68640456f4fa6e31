//! Tasks on the workers: they start when a leader's command says so, run for a random time and end.

use milletlock::time::{Micros, Steady};
use milletlock::wire::{ExitReason, HeartbeatReply, Shape, TaskStage, WorkerCommand};
use rand::Rng;

use super::{Simulation, STEP};
use crate::common::worker::{job_of, Attempt, Task};

/// How long a task fetches its image, in seconds.
const FETCH_S: f64 = 1.0;
/// How long a task of a gang waits for the other tasks of the gang, in seconds.
const GANG_WAIT_S: f64 = 40.0;
/// How long a task of a gang continues after another task of the gang was lost, in seconds.
const GANG_PEER_S: f64 = 8.0;

impl Simulation {
    /// A worker accepts the reply to a heartbeat that it sent at `sent`, and executes the commands in the
    /// reply.
    pub(super) fn execute_reply(&mut self, worker_index: usize, reply: &HeartbeatReply, sent: Steady) {
        let now = self.now;
        let worker = &mut self.workers[worker_index].state;
        if !worker.accept_reply(reply.fencing_token, sent) {
            return;
        }
        for command in &reply.commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if worker.tasks.contains_key(&key) {
                        continue;
                    }
                    let busy = worker.tasks.iter().any(|(k, t)| k.0 == *task && t.stage != TaskStage::Exited);
                    assert!(!busy, "{task} is started on {} before an earlier attempt has exited", worker.id);
                    // Some tasks run for longer than a lease.
                    let most = if self.rng.random_bool(0.3) { self.faults.longest_task_s } else { 20.0 };
                    let left = Micros::from_secs(self.rng.random_range(2.0..most));
                    worker.tasks.insert(key, Task::new(TaskStage::Fetching, left, now));
                    self.starts += 1;
                }
                WorkerCommand::Halt { task, attempt, .. } => {
                    worker.halt(task, *attempt);
                }
                WorkerCommand::Forget { task, attempt } => worker.forget(task, *attempt),
            }
        }
    }

    /// Ends the sessions whose leases have expired, and runs one step of all tasks.
    /// `tests/fault_combinations` models tasks differently on purpose; its comments give the reason.
    pub(super) fn run_tasks(&mut self) {
        let now = self.now;
        for worker_index in 0..self.workers.len() {
            // A frozen machine checks its lease first when it resumes. Therefore its tasks count as ended as
            // soon as the lease has expired.
            let lease = self.workers[worker_index].lease;
            self.workers[worker_index].state.end_session_after(lease, now);
            if now < self.workers[worker_index].frozen_until {
                continue;
            }
            let attempts: Vec<Attempt> = self.workers[worker_index].state.tasks.keys().cloned().collect();
            for attempt in attempts {
                self.run_task(worker_index, attempt);
            }
        }
    }

    /// Runs one step of a task.
    fn run_task(&mut self, worker_index: usize, attempt: Attempt) {
        let now = self.now;
        let id = job_of(&attempt.0).to_string();
        let gang = self.specs[&id].shape == Shape::Gang;
        let task = self.workers[worker_index].state.tasks[&attempt].clone();
        match task.stage {
            TaskStage::Fetching if (now - task.since).secs() >= FETCH_S => {
                self.check_start(worker_index, &attempt.0, &id);
                let stage = if gang { TaskStage::Waiting } else { TaskStage::Running };
                self.enter(worker_index, &attempt, stage, None);
            }
            TaskStage::Waiting => {
                if self.gang_members_ready(&id, attempt.1) == self.specs[&id].tasks {
                    self.enter(worker_index, &attempt, TaskStage::Running, None);
                } else if (now - task.since).secs() > GANG_WAIT_S {
                    self.enter(worker_index, &attempt, TaskStage::Exited, Some(ExitReason::GangIncomplete));
                }
            }
            TaskStage::Running => self.run_running_task(worker_index, attempt, &id),
            _ => {}
        }
    }

    /// Runs one step of a running task. A gang runs while all of its tasks are present, and its tasks
    /// complete together.
    fn run_running_task(&mut self, worker_index: usize, attempt: Attempt, id: &str) {
        let gang = self.specs[id].shape == Shape::Gang;
        let task = self.workers[worker_index].state.tasks[&attempt].clone();
        if gang && !self.finished.contains(&attempt.0) {
            if self.gang_members_ready(id, attempt.1) < self.specs[id].tasks {
                if (self.now - task.since).secs() > GANG_PEER_S {
                    self.enter(worker_index, &attempt, TaskStage::Exited, Some(ExitReason::GangPeersLost));
                }
                return;
            }
            self.enter(worker_index, &attempt, TaskStage::Running, None);
        }
        let left = task.remaining - STEP;
        if let Some(task) = self.workers[worker_index].state.tasks.get_mut(&attempt) {
            task.remaining = left;
        }
        if left.0 > 0 && !(gang && self.finished.contains(&attempt.0)) {
            return;
        }
        self.end_task(worker_index, &attempt, id);
    }

    /// Ends a task that has run for its time. A gang completes; any other task may end with an error.
    fn end_task(&mut self, worker_index: usize, attempt: &Attempt, id: &str) {
        let gang = self.specs[id].shape == Shape::Gang;
        let error = !gang && self.chance(0.05);
        if !error {
            let tasks = if gang { self.specs[id].tasks } else { 1 };
            if gang {
                (0..tasks).for_each(|i| {
                    self.finished.insert(format!("{id}/{i}"));
                });
            }
            self.finished.insert(attempt.0.clone());
            if self.all_finished(id) && self.chance(self.faults.cancel_at_end) {
                let at = self.later(0.0, 2.5);
                self.request_cancellation(id, at);
                self.faults_occurred += 1;
            }
        }
        self.enter(
            worker_index,
            attempt,
            TaskStage::Exited,
            Some(if error { ExitReason::Error } else { ExitReason::Done }),
        );
    }

    /// Number of tasks of a gang's attempt that run or wait for the others, on machines that are not frozen.
    fn gang_members_ready(&self, id: &str, attempt: u64) -> u32 {
        let not_frozen = self.workers.iter().filter(|worker| self.now >= worker.frozen_until);
        let of = not_frozen.flat_map(|worker| &worker.state.tasks).filter(|(k, t)| {
            k.1 == attempt && job_of(&k.0) == id && matches!(t.stage, TaskStage::Waiting | TaskStage::Running)
        });
        of.count() as u32
    }

    /// Changes the stage of a task.
    fn enter(&mut self, worker_index: usize, attempt: &Attempt, stage: TaskStage, why: Option<ExitReason>) {
        let now = self.now;
        if let Some(task) = self.workers[worker_index].state.tasks.get_mut(attempt) {
            task.enter(stage, why, now);
        }
    }

    /// Whether all tasks of a job are done.
    pub(super) fn all_finished(&self, id: &str) -> bool {
        (0..self.specs[id].tasks).all(|n| self.finished.contains(&format!("{id}/{n}")))
    }
}
