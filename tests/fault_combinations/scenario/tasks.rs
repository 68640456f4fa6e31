//! The tasks on the workers, which run for the times that the scenario sets.

use milletlock::time::Micros;
use milletlock::wire::{ExitReason, JobSpec, Shape, TaskStage};

use super::{Scenario, STEP};
use crate::common::clock::at;
use crate::common::worker::{job_of, Attempt};
use crate::common::LEASE;

/// Time that a task needs to fetch its image, in seconds.
const FETCH_S: f64 = 1.0;
/// Maximum time that a task of a gang waits for the other tasks, in seconds.
const GANG_WAIT_S: f64 = 40.0;

impl Scenario {
    /// Ends the sessions whose lease has expired, and runs all tasks for one step. `tests/failover` has a
    /// different model of tasks on purpose. There, tasks fail at random and machines hang. Here, tasks run
    /// for the times that the scenario sets, and a gang ends at once when its first task is lost.
    pub fn run_tasks(&mut self) {
        let now = at(self.seconds);
        for w in 0..self.workers.len() {
            let worker = &mut self.workers[w];
            worker.changed |= worker.state.end_session_after(LEASE, now);
            let keys: Vec<Attempt> = self.workers[w].state.tasks.keys().cloned().collect();
            for k in keys {
                self.run_task(w, &k);
            }
        }
    }

    /// Runs a task for one step.
    fn run_task(&mut self, w: usize, k: &Attempt) {
        let now = at(self.seconds);
        let Some((stage, exit_reason)) = self.next_stage(w, k) else { return };
        let worker = &mut self.workers[w];
        worker.changed = true;
        worker.state.tasks.get_mut(k).expect("this task").enter(stage, exit_reason, now);
    }

    /// Returns the stage that a task enters now, with the exit reason if it exits. Returns `None` if the task
    /// stays in its stage.
    fn next_stage(&mut self, w: usize, k: &Attempt) -> Option<(TaskStage, Option<ExitReason>)> {
        let now = at(self.seconds);
        let job = self.specs[job_of(&k.0)].clone();
        let gang = job.shape == Shape::Gang;
        let members: Vec<TaskStage> = self
            .workers
            .iter()
            .flat_map(|w| w.state.tasks.iter())
            .filter(|(o, _)| o.1 == k.1 && job_of(&o.0) == job.id)
            .map(|x| x.1.stage)
            .collect();
        let together =
            |run: &[TaskStage]| members.iter().filter(|m| run.contains(m)).count() as u32 == job.tasks;
        let t = self.workers[w].state.tasks[k].clone();
        let (stage, exit_reason) = match t.stage {
            TaskStage::Fetching if (now - t.since).secs() >= FETCH_S => {
                (if gang { TaskStage::Waiting } else { TaskStage::Running }, None)
            }
            TaskStage::Waiting if together(&[TaskStage::Waiting, TaskStage::Running]) => {
                (TaskStage::Running, None)
            }
            TaskStage::Waiting if (now - t.since).secs() > GANG_WAIT_S => {
                (TaskStage::Exited, Some(ExitReason::GangIncomplete))
            }
            TaskStage::Running if gang && self.finished.contains(&k.0) => {
                (TaskStage::Exited, Some(ExitReason::Done))
            }
            TaskStage::Running if gang && (members.len() as u32) < job.tasks => {
                (TaskStage::Exited, Some(ExitReason::GangPeersLost))
            }
            TaskStage::Running => return self.advance(w, k, &job),
            _ => return None,
        };
        Some((stage, exit_reason))
    }

    /// Runs a running task for one step. Returns its end if its run time is over, and otherwise `None`.
    fn advance(&mut self, w: usize, k: &Attempt, job: &JobSpec) -> Option<(TaskStage, Option<ExitReason>)> {
        let t = self.workers[w].state.tasks.get_mut(k).expect("this task");
        t.remaining = t.remaining - Micros::from_secs(STEP);
        if t.remaining > Micros::ZERO {
            return None;
        }
        if job.shape == Shape::Gang {
            // All tasks of a gang finish together.
            (0..job.tasks).for_each(|n| {
                self.finished.insert(format!("{}/{n}", job.id));
            });
        }
        self.finished.insert(k.0.clone());
        Some((TaskStage::Exited, Some(ExitReason::Done)))
    }
}
