//! Results of tasks that workers have reported to a controller that could not record them: it did not lead,
//! or its term ended first.

use std::collections::BTreeMap;

use milletlock_cells::TaskSet;

use crate::jobs::split_task;
use crate::time::{Micros, Steady};
use crate::wire::{ExitReason, Heartbeat};

/// How long the results of a job are kept after the last of them was reported.
const RETENTION: Micros = Micros::from_millis(600_000);
/// Largest number of results that are kept: as many as 4,000 machines may list, with fifty each.
const MAX_RESULTS: u64 = 200_000;

/// The results of a job.
#[derive(Debug, Default)]
struct JobResults {
    /// The tasks that are done.
    tasks: TaskSet,
    /// When results of the job were last reported.
    reported_at: Steady,
    /// The job's key in [`ReportedResults::by_report`].
    order: u64,
}

/// Results of tasks by job, bounded in number and in time. If a bound is exceeded, the results of whole jobs
/// are dropped, beginning with the job whose last report is the oldest. A task that is done stays done, so a
/// result is never wrong, however late it is used.
#[derive(Debug, Default)]
pub(super) struct ReportedResults {
    jobs: BTreeMap<String, JobResults>,
    /// The jobs in the order in which their results were last reported.
    by_report: BTreeMap<u64, String>,
    /// The largest key that was used in `by_report`.
    last_order: u64,
    /// The number of results of all jobs.
    count: u64,
}

impl ReportedResults {
    /// Records the results that a worker's heartbeat lists.
    pub(super) fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Steady) {
        let mut by_job: BTreeMap<&str, TaskSet> = BTreeMap::new();
        let done = heartbeat.tasks.iter().filter(|task| task.exit_reason == Some(ExitReason::Done));
        for (job, number) in done.filter_map(|task| split_task(&task.task)) {
            by_job.entry(job).or_default().insert(number);
        }
        by_job.into_iter().for_each(|(job, tasks)| self.record(job, &tasks, now));
    }

    /// Records results of a job.
    pub(super) fn record(&mut self, job: &str, tasks: &TaskSet, now: Steady) {
        let results = self.jobs.entry(job.to_string()).or_default();
        let known = results.tasks.len();
        results.tasks = results.tasks.union(tasks);
        results.reported_at = now;
        self.by_report.remove(&results.order);
        self.last_order += 1;
        results.order = self.last_order;
        self.by_report.insert(results.order, job.to_string());
        self.count += u64::from(results.tasks.len() - known);
        while self.count > MAX_RESULTS {
            self.drop_oldest();
        }
    }

    /// The tasks of a job whose results were reported.
    pub(super) fn tasks_of(&self, job: &str) -> TaskSet {
        self.jobs.get(job).map(|results| results.tasks.clone()).unwrap_or_default()
    }

    /// All jobs with reported results, each with the tasks that are done.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, &TaskSet)> {
        self.jobs.iter().map(|(job, results)| (job.as_str(), &results.tasks))
    }

    /// Drops the results that have been kept for [`RETENTION`].
    pub(super) fn drop_expired(&mut self, now: Steady) {
        let is_expired =
            |job: &String| self.jobs.get(job).is_none_or(|results| now - results.reported_at >= RETENTION);
        let expired = self.by_report.values().take_while(|job| is_expired(job)).count();
        (0..expired).for_each(|_| self.drop_oldest());
    }

    /// Drops the results of the job whose last report is the oldest.
    fn drop_oldest(&mut self) {
        let Some((_, job)) = self.by_report.pop_first() else { return };
        let results = self.jobs.remove(&job).unwrap_or_default();
        self.count -= u64::from(results.tasks.len());
        tracing::debug!(job, results = results.tasks.len(), "reported results dropped");
    }
}
