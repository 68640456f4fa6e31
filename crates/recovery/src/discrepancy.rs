//! Discrepancies between the report of a machine's worker and the records.

use serde::{Deserialize, Serialize};

/// A kind of discrepancy. The status and the log use the names of the variants, in snake case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discrepancy {
    /// The task is done according to the worker but not in the records. It is recorded as done, then
    /// dropped from the worker's reports, and never runs again.
    Finished,
    /// The task is on the machine although its job has ended or was never recorded. The task is halted.
    JobOver,
    /// The task is on the machine although it is done in the records. It runs to its end, and its result is
    /// dropped.
    DoneBefore,
    /// Two machines report the task. It counts as possibly running on both until one of them reports
    /// without it.
    PlacedTwice,
    /// The task ended without success while there was no leader. It runs again.
    Failed,
    /// Some tasks of a gang were not reported although every machine has reported or is lost.
    PartialGang,
    /// The machine was lost before it reported, with all tasks that may have been on it.
    MachineLost,
}

/// The state of a task in a worker's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedTaskState {
    /// The task is on the machine: fetching its inputs, waiting, running or saving a checkpoint.
    Present,
    /// The task has exited with success.
    Done,
    /// The task has exited for another reason.
    Failed,
}

/// A task in a worker's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTask<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The task's number within the job.
    pub task: u32,
    /// The attempt number.
    pub attempt: u64,
    /// The task's state.
    pub state: ReportedTaskState,
}

/// The state of a job in the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRecordState {
    /// There is no live job with this id: it has ended or was never recorded.
    Ended,
    /// The job is live and has independent tasks.
    Live,
    /// The job is live and is a gang.
    LiveGang {
        /// Number of tasks of the gang.
        tasks: u32,
    },
}

/// The parts of the records that the comparison needs.
pub trait RecordedJobs {
    /// The state of a job.
    fn job(&self, job: &str) -> JobRecordState;

    /// Whether a task of a live job is recorded as done.
    fn is_done(&self, job: &str, task: u32) -> bool;
}

/// A discrepancy of one task that was found in a machine's first report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskDiscrepancy {
    /// The job's id.
    pub job: String,
    /// The task's number within the job.
    pub task: u32,
    /// The kind of discrepancy.
    pub discrepancy: Discrepancy,
}

impl Discrepancy {
    /// The discrepancy between a reported task and the records, without regard to other machines' reports;
    /// `None` if the task agrees with the records.
    pub(crate) fn between(task: &ReportedTask<'_>, records: &impl RecordedJobs) -> Option<Discrepancy> {
        let is_present = task.state == ReportedTaskState::Present;
        if records.job(task.job) == JobRecordState::Ended {
            return is_present.then_some(Discrepancy::JobOver);
        }
        match (task.state, records.is_done(task.job, task.task)) {
            (ReportedTaskState::Done, false) => Some(Discrepancy::Finished),
            (ReportedTaskState::Present, true) => Some(Discrepancy::DoneBefore),
            (ReportedTaskState::Failed, false) => Some(Discrepancy::Failed),
            (ReportedTaskState::Present, false) => None,
            (ReportedTaskState::Done | ReportedTaskState::Failed, true) => None,
        }
    }
}
