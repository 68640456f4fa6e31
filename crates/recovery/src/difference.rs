//! Differences between what a worker reports and what is recorded.

use serde::{Deserialize, Serialize};

/// A difference, with what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Difference {
    /// Done at the worker, not in the records: it is recorded, then forgotten, and never runs again.
    Finished,
    /// On the machine, while its job is over or was never accepted here: it is halted.
    JobOver,
    /// Done in the records, and on the machine once more: it is halted.
    DoneBefore,
    /// Reported by two machines. Both count as possibly there until one reports without it.
    PlacedTwice,
    /// It ended without success while nobody listened: it runs again.
    Failed,
    /// A gang of which not all tasks were reported once all machines are heard or lost.
    PartialGang,
    /// The machine was given up with all that may have been on it.
    MachineLost,
}

/// What a worker says of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// On the machine: fetching, waiting, running or saving.
    Present,
    /// It has exited, done.
    Done,
    /// It has exited for another reason.
    Failed,
}

/// A task in a worker's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTask<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The task's number.
    pub task: u32,
    /// The attempt.
    pub attempt: u64,
    /// Its state.
    pub state: TaskState,
}

/// How a job stands in the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRecordState {
    /// Neither live nor known: it is over, or was never accepted.
    Over,
    /// Live, with independent tasks.
    Live,
    /// Live, a gang of so many tasks.
    LiveGang(u32),
}

/// The records, as far as the comparison needs them.
pub trait RecordedJobs {
    /// How a job stands.
    fn job(&self, job: &str) -> JobRecordState;

    /// Whether a task of a live job is recorded as done.
    fn is_done(&self, job: &str, task: u32) -> bool;
}

impl Difference {
    /// All kinds.
    pub const ALL: [Difference; 7] = [
        Difference::Finished,
        Difference::JobOver,
        Difference::DoneBefore,
        Difference::PlacedTwice,
        Difference::Failed,
        Difference::PartialGang,
        Difference::MachineLost,
    ];

    /// The difference between a reported task and the records, but for where else it is; none: they agree.
    pub(crate) fn of(task: &ReportedTask<'_>, records: &impl RecordedJobs) -> Option<Difference> {
        if records.job(task.job) == JobRecordState::Over {
            return (task.state == TaskState::Present).then_some(Difference::JobOver);
        }
        match (task.state, records.is_done(task.job, task.task)) {
            (TaskState::Done, false) => Some(Difference::Finished),
            (TaskState::Present, true) => Some(Difference::DoneBefore),
            (TaskState::Failed, false) => Some(Difference::Failed),
            (TaskState::Present, false) | (TaskState::Done | TaskState::Failed, true) => None,
        }
    }
}
