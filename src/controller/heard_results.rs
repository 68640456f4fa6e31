//! Results of tasks that a controller has heard of and that it cannot record as the leader.

use std::collections::BTreeMap;

use milletlock_cells::TaskSet;

use crate::jobs::split_task;
use crate::time::{Micros, Steady};
use crate::wire::{ExitReason, Heartbeat};

/// How long the results of a job are kept after the last of them was heard of.
const RETENTION: Micros = Micros::from_millis(600_000);
/// Most results that are kept: as many as 4,000 machines may list, fifty each.
const MAX_RESULTS: u64 = 200_000;

/// The results of a job.
#[derive(Debug, Default)]
struct JobResults {
    tasks: TaskSet,
    heard_at: Steady,
    /// Its key in `ReportedResults::by_age`.
    order: u64,
}

/// Results of tasks by job, bounded in number and time: beyond the bound those go that were heard longest ago. A
/// task that is done stays done, so that none of them is ever wrong, however late it is used.
#[derive(Debug, Default)]
pub(super) struct ReportedResults {
    jobs: BTreeMap<String, JobResults>,
    /// The jobs in the order in which results of them were last heard of.
    by_age: BTreeMap<u64, String>,
    /// The next key there.
    next_order: u64,
    /// How many they are.
    count: u64,
}

impl ReportedResults {
    /// Notes the results that a worker's heartbeat lists.
    pub(super) fn note_heartbeat(&mut self, heartbeat: &Heartbeat, now: Steady) {
        let mut by_job: BTreeMap<&str, TaskSet> = BTreeMap::new();
        let done = heartbeat.tasks.iter().filter(|task| task.exit_reason == Some(ExitReason::Done));
        for (job, number) in done.filter_map(|task| split_task(&task.task)) {
            by_job.entry(job).or_default().insert(number);
        }
        by_job.into_iter().for_each(|(job, tasks)| self.note(job, &tasks, now));
    }

    /// Notes results of a job.
    pub(super) fn note(&mut self, job: &str, tasks: &TaskSet, now: Steady) {
        let results = self.jobs.entry(job.to_string()).or_default();
        let known = results.tasks.len();
        results.tasks = results.tasks.union(tasks);
        results.heard_at = now;
        self.by_age.remove(&results.order);
        self.next_order += 1;
        results.order = self.next_order;
        self.by_age.insert(results.order, job.to_string());
        self.count += u64::from(results.tasks.len() - known);
        while self.count > MAX_RESULTS {
            self.drop_oldest();
        }
    }

    /// The results of a job.
    pub(super) fn of(&self, job: &str) -> TaskSet {
        self.jobs.get(job).map(|results| results.tasks.clone()).unwrap_or_default()
    }

    /// The jobs of which there are results, with these.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, &TaskSet)> {
        self.jobs.iter().map(|(job, results)| (job.as_str(), &results.tasks))
    }

    /// Drops the results that nobody needs any more.
    pub(super) fn drop_expired(&mut self, now: Steady) {
        let is_expired =
            |job: &String| self.jobs.get(job).is_none_or(|results| now - results.heard_at >= RETENTION);
        let expired = self.by_age.values().take_while(|job| is_expired(job)).count();
        (0..expired).for_each(|_| self.drop_oldest());
    }

    /// Drops the results of the job of which none was heard for the longest time.
    fn drop_oldest(&mut self) {
        let Some((_, job)) = self.by_age.pop_first() else { return };
        let results = self.jobs.remove(&job).unwrap_or_default();
        self.count -= u64::from(results.tasks.len());
        tracing::debug!(job, results = results.tasks.len(), "results no longer kept");
    }
}
