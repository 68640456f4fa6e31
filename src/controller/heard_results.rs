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
#[derive(Debug)]
struct JobResults {
    tasks: TaskSet,
    heard_at: Steady,
}

/// Results of tasks by job, bounded in number and time. A task that is done stays done, so that none of them is
/// ever wrong, however late it is used.
#[derive(Debug, Default)]
pub(super) struct HeardResults {
    jobs: BTreeMap<String, JobResults>,
    /// How many they are.
    count: u64,
}

impl HeardResults {
    /// Notes the results that a worker's heartbeat lists.
    pub(super) fn note_heartbeat(&mut self, heartbeat: &Heartbeat, now: Steady) {
        let mut by_job: BTreeMap<&str, TaskSet> = BTreeMap::new();
        let done = heartbeat.tasks.iter().filter(|task| task.exit_reason == Some(ExitReason::Done));
        for (job, number) in done.filter_map(|task| split_task(&task.task)) {
            by_job.entry(job).or_default().insert(number);
        }
        by_job.into_iter().for_each(|(job, tasks)| self.note(job, &tasks, now));
    }

    /// Notes results of a job. Beyond the bound they are left out.
    pub(super) fn note(&mut self, job: &str, tasks: &TaskSet, now: Steady) {
        if self.count + u64::from(tasks.len()) > MAX_RESULTS {
            self.drop_expired(now);
        }
        if self.count + u64::from(tasks.len()) > MAX_RESULTS {
            tracing::debug!(job, results = tasks.len(), "results not kept");
            return;
        }
        let results = self.jobs.entry(job.to_string());
        let results = results.or_insert_with(|| JobResults { tasks: TaskSet::new(), heard_at: now });
        let known = results.tasks.len();
        results.tasks = results.tasks.union(tasks);
        results.heard_at = now;
        self.count += u64::from(results.tasks.len() - known);
    }

    /// The results of a job.
    pub(super) fn of(&self, job: &str) -> TaskSet {
        self.jobs.get(job).map(|results| results.tasks.clone()).unwrap_or_default()
    }

    /// The jobs of which there are results.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &str> {
        self.jobs.keys().map(String::as_str)
    }

    /// Drops the results that nobody needs any more.
    pub(super) fn drop_expired(&mut self, now: Steady) {
        self.jobs.retain(|_, results| now - results.heard_at < RETENTION);
        self.count = self.jobs.values().map(|results| u64::from(results.tasks.len())).sum();
    }
}
