//! Results of jobs with loans. They are stored almost as soon as workers report them, not in the long
//! intervals of other results, for two reasons. Users of another cell wait for the results of borrowed tasks.
//! A leader of a version without loans loses the results of lent jobs that are not stored.

use milletlock_cells::TaskSet;

use super::records::{add_due_chunks, PendingWrite};
use super::Fleet;
use crate::jobs::{split_task, Job, JobId};
use crate::time::Micros;
use crate::wire::{ExitReason, Heartbeat, TaskStatus};

/// The longest interval between writes of the done ranges of a job with loans. It is short because a user of
/// the lender waits for the last result of the borrowed tasks, and because a leader of a version without
/// loans loses the results of a lent job that are not stored.
const MAX_LOAN_DONE_INTERVAL: Micros = Micros::from_millis(400);
/// The share of the state store's allowed changes that the done ranges of jobs with loans may take while they
/// are written more often than every `MAX_LOAN_DONE_INTERVAL`.
const LOAN_DONE_WRITE_SHARE: f64 = 0.2;
/// The number of changes that write a chunk of done ranges of a lent job: the chunk itself and its copy.
const CHANGES_PER_LENT_CHUNK: f64 = 2.0;

/// The results of a job that are not yet stored.
#[derive(Debug)]
pub struct UnrecordedResults {
    /// The id of the job.
    pub job: JobId,
    /// The done tasks that are not yet stored as done.
    pub tasks: TaskSet,
}

impl Fleet {
    /// The interval between writes of the done ranges of each job with loans. It is just long enough that the
    /// writes of all such jobs take no more than `LOAN_DONE_WRITE_SHARE` of the allowed changes, but at most
    /// `MAX_LOAN_DONE_INTERVAL`.
    pub(super) fn loan_done_interval(&self) -> Micros {
        let due =
            self.jobs.values().filter(|job| !job.ended && job.has_loans() && job.has_unrecorded()).count();
        let changes_per_s = self.config.platform.settings.state.write_rps * LOAN_DONE_WRITE_SHARE;
        let interval = Micros::from_secs(due as f64 * CHANGES_PER_LENT_CHUNK / changes_per_s);
        interval.min(MAX_LOAN_DONE_INTERVAL)
    }

    /// The writes of the chunks of done ranges of jobs with loans that contain done tasks not yet stored.
    /// `chunk` is the number of tasks in a chunk.
    pub fn pending_results_of_loans(&self, chunk: u32) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        for job in self.jobs_with_unrecorded_loans() {
            add_due_chunks(job, chunk, &mut writes);
        }
        writes.retain(|write| !self.replaces_unreadable(write));
        writes
    }

    /// The results of jobs with loans that are not yet stored.
    pub fn results_of_loans(&self) -> impl Iterator<Item = UnrecordedResults> + '_ {
        self.jobs_with_unrecorded_loans().map(|job| UnrecordedResults {
            job: job.id.clone(),
            tasks: job.done.task_set().difference(&job.recorded_done()),
        })
    }

    /// The number of results of jobs with loans that are not yet stored.
    pub fn unrecorded_results_of_loans(&self) -> u32 {
        self.results_of_loans().map(|results| results.tasks.len()).sum()
    }

    fn jobs_with_unrecorded_loans(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| !job.ended && job.has_loans() && job.has_unrecorded())
    }

    /// Whether a heartbeat lists results of jobs with loans that are not yet stored. Such results are to be
    /// written soon after they are reported.
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
