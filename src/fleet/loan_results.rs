//! Results of jobs with loans, which are recorded as they are reported: a user of another cell waits for those that
//! are borrowed, and a leader without loans forgets those of lent jobs that are not recorded.

use milletlock_cells::TaskSet;

use super::records::{add_due_chunks, PendingWrite};
use super::Fleet;
use crate::jobs::{split_task, Job, JobId};
use crate::time::Micros;
use crate::wire::{ExitReason, Heartbeat, TaskStatus};

/// Longest interval between writes of the done ranges of a job with loans: a user of the cell that accepted it
/// waits for the last of what is borrowed, and what is not recorded of a lent job is lost to a leader without loans.
const MAX_LOAN_DONE_INTERVAL: Micros = Micros::from_millis(400);
/// The share of the state store's allowed changes that done ranges of jobs with loans may take while they are
/// written more often than that.
const LOAN_DONE_WRITE_SHARE: f64 = 0.2;
/// Changes that write a chunk of done ranges of a lent job: the row and its copy.
const CHANGES_PER_LENT_CHUNK: f64 = 2.0;

/// Results of a job that are not recorded.
#[derive(Debug)]
pub struct UnrecordedResults {
    /// The job.
    pub job: JobId,
    /// The tasks that are done.
    pub tasks: TaskSet,
}

impl Fleet {
    /// How far apart the done ranges of each job with loans are written: as results are reported, as long as the
    /// writes of all such jobs take no more than their share of the allowed changes.
    pub(super) fn loan_done_interval(&self) -> Micros {
        let due =
            self.jobs.values().filter(|job| !job.ended && job.has_loans() && job.has_unrecorded()).count();
        let changes_per_s = self.config.platform.settings.state.write_rps * LOAN_DONE_WRITE_SHARE;
        let interval = Micros::from_secs(due as f64 * CHANGES_PER_LENT_CHUNK / changes_per_s);
        interval.min(MAX_LOAN_DONE_INTERVAL)
    }

    /// The chunks of done ranges of jobs with loans that hold more than is written.
    pub fn pending_results_of_loans(&self, chunk: u32) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        for job in self.jobs_with_unrecorded_loans() {
            add_due_chunks(job, chunk, &mut writes);
        }
        writes.retain(|write| !self.replaces_unreadable(write));
        writes
    }

    /// The results of jobs with loans that are not recorded.
    pub fn results_of_loans(&self) -> impl Iterator<Item = UnrecordedResults> + '_ {
        self.jobs_with_unrecorded_loans().map(|job| UnrecordedResults {
            job: job.id.clone(),
            tasks: job.done.task_set().difference(&job.recorded_done()),
        })
    }

    /// How many results of jobs with loans are not recorded.
    pub fn unrecorded_results_of_loans(&self) -> u32 {
        self.results_of_loans().map(|results| results.tasks.len()).sum()
    }

    fn jobs_with_unrecorded_loans(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| !job.ended && job.has_loans() && job.has_unrecorded())
    }

    /// Whether a heartbeat lists results that are written as they are reported: those of jobs with loans.
    pub fn has_results_of_loans(&self, heartbeat: &Heartbeat) -> bool {
        let of_loan = |task: &TaskStatus| {
            let job = split_task(&task.task).and_then(|(id, number)| Some((self.jobs.get(id)?, number)));
            job.is_some_and(|(job, number)| {
                job.has_loans() && job.done.contains(number) && !job.is_recorded(number)
            })
        };
        heartbeat.tasks.iter().filter(|task| task.exit_reason == Some(ExitReason::Done)).any(of_loan)
    }
}
