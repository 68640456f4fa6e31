//! Tasks on the workers: they run for the times that the scenario gives.

use milletlock::time::Micros;
use milletlock::wire::{ExitReason, JobSpec, Shape, TaskStage};

use super::{Scenario, STEP};
use crate::common::clock::at;
use crate::common::worker::{job_of, Attempt};
use crate::common::LEASE;

/// A task fetches its image for so long.
const FETCH_S: f64 = 1.0;
/// A task of a gang waits so long for the others to arrive.
const GANG_WAIT_S: f64 = 40.0;

impl Scenario {
    /// Sessions end and tasks go on. `tests/failover` models tasks otherwise on purpose: there they fail at
    /// random and machines hang, while here all goes by the scenario's run times and a gang ends at once with
    /// its first lost task.
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

    /// One step of a task.
    fn run_task(&mut self, w: usize, k: &Attempt) {
        let now = at(self.seconds);
        let Some((stage, why)) = self.next_stage(w, k) else { return };
        let worker = &mut self.workers[w];
        worker.changed = true;
        worker.state.tasks.get_mut(k).expect("this task").enter(stage, why, now);
    }

    /// The stage that a task enters now, with the reason of its end; none: it stays in its stage.
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
        let (stage, why) = match t.stage {
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
        Some((stage, why))
    }

    /// A running task goes on for a step; its end if its run time is over.
    fn advance(&mut self, w: usize, k: &Attempt, job: &JobSpec) -> Option<(TaskStage, Option<ExitReason>)> {
        let t = self.workers[w].state.tasks.get_mut(k).expect("this task");
        t.remaining = t.remaining - Micros::from_secs(STEP);
        if t.remaining > Micros::ZERO {
            return None;
        }
        if job.shape == Shape::Gang {
            // They complete together.
            (0..job.tasks).for_each(|n| {
                self.finished.insert(format!("{}/{n}", job.id));
            });
        }
        self.finished.insert(k.0.clone());
        Some((TaskStage::Exited, Some(ExitReason::Done)))
    }
}
