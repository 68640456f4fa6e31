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
    pub(super) fn execute_reply(&mut self, w: usize, reply: &HeartbeatReply, sent: Steady) {
        let now = self.now;
        let worker = &mut self.workers[w].state;
        if !worker.accept_reply(reply.fencing_token, sent) {
            return;
        }
        for o in &reply.commands {
            match o {
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
        for w in 0..self.workers.len() {
            // A frozen machine checks its lease first when it resumes. Therefore its tasks count as ended as
            // soon as the lease has expired.
            let lease = self.workers[w].lease;
            self.workers[w].state.end_session_after(lease, now);
            if now < self.workers[w].frozen_until {
                continue;
            }
            let keys: Vec<Attempt> = self.workers[w].state.tasks.keys().cloned().collect();
            for k in keys {
                self.run_task(w, k);
            }
        }
    }

    /// Runs one step of a task.
    fn run_task(&mut self, w: usize, k: Attempt) {
        let now = self.now;
        let id = job_of(&k.0).to_string();
        let gang = self.specs[&id].shape == Shape::Gang;
        let t = self.workers[w].state.tasks[&k].clone();
        match t.stage {
            TaskStage::Fetching if (now - t.since).secs() >= FETCH_S => {
                self.check_start(w, &k.0, &id);
                let stage = if gang { TaskStage::Waiting } else { TaskStage::Running };
                self.enter(w, &k, stage, None);
            }
            TaskStage::Waiting => {
                if self.gang_members_ready(&id, k.1) == self.specs[&id].tasks {
                    self.enter(w, &k, TaskStage::Running, None);
                } else if (now - t.since).secs() > GANG_WAIT_S {
                    self.enter(w, &k, TaskStage::Exited, Some(ExitReason::GangIncomplete));
                }
            }
            TaskStage::Running => self.run_running_task(w, k, &id),
            _ => {}
        }
    }

    /// Runs one step of a running task. A gang runs while all of its tasks are present, and its tasks
    /// complete together.
    fn run_running_task(&mut self, w: usize, k: Attempt, id: &str) {
        let gang = self.specs[id].shape == Shape::Gang;
        let t = self.workers[w].state.tasks[&k].clone();
        if gang && !self.finished.contains(&k.0) {
            if self.gang_members_ready(id, k.1) < self.specs[id].tasks {
                if (self.now - t.since).secs() > GANG_PEER_S {
                    self.enter(w, &k, TaskStage::Exited, Some(ExitReason::GangPeersLost));
                }
                return;
            }
            self.enter(w, &k, TaskStage::Running, None);
        }
        let left = t.left - STEP;
        if let Some(t) = self.workers[w].state.tasks.get_mut(&k) {
            t.left = left;
        }
        if left.0 > 0 && !(gang && self.finished.contains(&k.0)) {
            return;
        }
        self.end_task(w, &k, id);
    }

    /// Ends a task that has run for its time. A gang completes; any other task may end with an error.
    fn end_task(&mut self, w: usize, k: &Attempt, id: &str) {
        let gang = self.specs[id].shape == Shape::Gang;
        let error = !gang && self.chance(0.05);
        if !error {
            let n = if gang { self.specs[id].tasks } else { 1 };
            if gang {
                (0..n).for_each(|i| {
                    self.finished.insert(format!("{id}/{i}"));
                });
            }
            self.finished.insert(k.0.clone());
            if self.all_finished(id) && self.chance(self.faults.cancel_at_end) {
                let at = self.later(0.0, 2.5);
                self.request_cancellation(id, at);
                self.faults_occurred += 1;
            }
        }
        self.enter(w, k, TaskStage::Exited, Some(if error { ExitReason::Error } else { ExitReason::Done }));
    }

    /// Number of tasks of a gang's attempt that run or wait for the others, on machines that are not frozen.
    fn gang_members_ready(&self, id: &str, attempt: u64) -> u32 {
        let not_frozen = self.workers.iter().filter(|w| self.now >= w.frozen_until);
        let of = not_frozen.flat_map(|w| &w.state.tasks).filter(|(k, t)| {
            k.1 == attempt && job_of(&k.0) == id && matches!(t.stage, TaskStage::Waiting | TaskStage::Running)
        });
        of.count() as u32
    }

    /// Changes the stage of a task.
    fn enter(&mut self, w: usize, k: &Attempt, stage: TaskStage, why: Option<ExitReason>) {
        let now = self.now;
        if let Some(t) = self.workers[w].state.tasks.get_mut(k) {
            t.enter(stage, why, now);
        }
    }

    /// Whether all tasks of a job are done.
    pub(super) fn all_finished(&self, id: &str) -> bool {
        (0..self.specs[id].tasks).all(|n| self.finished.contains(&format!("{id}/{n}")))
    }
}
