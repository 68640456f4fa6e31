//! Loans between cells, as a controller's status shows them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Path at which an operator writes off the tasks that a lost cell holds; the cell's name follows.
pub const WRITE_OFF_PATH: &str = "/cells/write-off/";

/// Another cell, as part of the status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OtherCellStatus {
    /// Its name.
    pub name: String,
    /// Whether its leader replied to the last message.
    #[serde(rename = "answers")]
    pub reachable: bool,
    /// Processors for which it would accept tasks.
    pub spare_cpus: Option<f64>,
    /// Seconds of its own backlog.
    pub backlog_s: Option<f64>,
    /// Messages that the answering controller has sent to it.
    #[serde(default)]
    pub messages: u64,
}

/// A loan that this cell has made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LentStatus {
    /// Id of the job.
    pub job: String,
    /// Name of the cell that holds it.
    pub cell: String,
    /// Number of the loan.
    pub number: u64,
    /// Tasks in it.
    pub tasks: u32,
    /// Tasks of it that are done.
    pub done: u32,
    /// The job is being cancelled.
    pub cancelling: bool,
}

/// A job of which this cell has borrowed tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedStatus {
    /// Id of the job.
    pub job: String,
    /// Name of the cell that lends them.
    #[serde(rename = "home")]
    pub lender: String,
    /// Tasks held here.
    pub tasks: u32,
    /// Tasks of it that are done.
    pub done: u32,
}

/// What a cell lends and borrows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellsStatus {
    /// This cell's name.
    pub name: String,
    /// The other cells.
    pub others: Vec<OtherCellStatus>,
    /// Loans that are open.
    pub lent: Vec<LentStatus>,
    /// Jobs of which tasks are held here.
    pub borrowed: Vec<BorrowedStatus>,
    /// Results of jobs with loans that workers have reported and that are not recorded yet.
    #[serde(default)]
    pub unrecorded_results: u32,
    /// Tasks that were finished here for each other cell, in loans open and closed.
    pub finished_for: BTreeMap<String, u64>,
}

/// Copies of the progress of lent jobs, as the answering controller last saw them. Without its copies a job's
/// finished tasks run again after a leader of a version before 0.3.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentProgressStatus {
    /// Jobs with loans, lent or borrowed.
    pub jobs: u32,
    /// Those of them that are not known to be copied whole.
    pub without_copies: u32,
    /// Those of them whose record versions before 0.3 cannot read: they remove the progress of such a job.
    #[serde(default)]
    pub hidden_records: u32,
}

/// Reply to an operator who writes off the tasks that a lost cell holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOffReply {
    /// Name of the cell.
    pub cell: String,
    /// Tasks that run here again, by job.
    pub tasks: BTreeMap<String, u32>,
    /// Ids of jobs whose record could not be written: to be tried again.
    pub left: Vec<String>,
}
