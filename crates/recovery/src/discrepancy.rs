//! Discrepancies between what a machine's worker reports and what is recorded.

use serde::{Deserialize, Serialize};

/// A kind of discrepancy. The status and the log name the kinds as they are called here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discrepancy {
    /// Done at the worker but not in the records. It is recorded, then dropped from the worker's
    /// reports, and never runs again.
    Finished,
    /// On the machine, though its job has ended or was never accepted here. It is halted.
    JobOver,
    /// On the machine, though done in the records. It runs to its end, and its result is dropped.
    DoneBefore,
    /// Reported by two machines. It counts as possibly on both until one reports without it.
    PlacedTwice,
    /// It ended without success while there was no leader. It runs again.
    Failed,
    /// A gang of which not all tasks were reported once every machine has reported or is lost.
    PartialGang,
    /// The machine was given up, with all that may have been on it.
    MachineLost,
}

/// The state of a task in a worker's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedTaskState {
    /// On the machine: fetching its inputs, waiting, running or saving a checkpoint.
    Present,
    /// It has exited with success.
    Done,
    /// It has exited for another reason.
    Failed,
}

/// A task in a worker's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTask<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The task's number within the job.
    pub task: u32,
    /// The attempt.
    pub attempt: u64,
    /// The task's state.
    pub state: ReportedTaskState,
}

/// The state of a job in the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRecordState {
    /// There is no live job of this id: it has ended, or was never accepted.
    Ended,
    /// Live, with independent tasks.
    Live,
    /// Live, a gang.
    LiveGang {
        /// Number of tasks of the gang.
        tasks: u32,
    },
}

/// The records, as far as the comparison needs them.
pub trait RecordedJobs {
    /// The state of a job.
    fn job(&self, job: &str) -> JobRecordState;

    /// Whether a task of a live job is recorded as done.
    fn is_done(&self, job: &str, task: u32) -> bool;
}

/// A discrepancy that a machine's first report shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskDiscrepancy {
    /// The job's id.
    pub job: String,
    /// The task's number within the job.
    pub task: u32,
    /// The kind.
    pub discrepancy: Discrepancy,
}

impl Discrepancy {
    /// The discrepancy between a reported task and the records, whatever other machines report; `None`
    /// if they agree.
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
