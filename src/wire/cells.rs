//! Loans between cells, as shown in a controller's status, and the reply to a write-off.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Path prefix at which an operator writes off all loans to a cell that is lost for good. The cell's name
/// follows the prefix.
pub const WRITE_OFF_PATH: &str = "/cells/write-off/";

/// The state of another cell, as part of the status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OtherCellStatus {
    /// Name of the other cell.
    pub name: String,
    /// Whether this controller has a current summary from the other cell's leader.
    #[serde(rename = "answers")]
    pub reachable: bool,
    /// Processors for which the other cell would accept borrowed tasks; none if the cell is not reachable.
    pub spare_cpus: Option<f64>,
    /// Backlog of the other cell's own jobs, in seconds; none if the cell is not reachable.
    pub backlog_s: Option<f64>,
    /// Messages that this controller has sent to the other cell.
    #[serde(default)]
    pub messages: u64,
}

/// An open loan of this cell to another cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LentLoanStatus {
    /// Id of the job.
    pub job: String,
    /// Name of the borrower.
    pub cell: String,
    /// Number of the loan, which is unique within the lender's cell.
    pub number: u64,
    /// Number of tasks in the loan.
    pub tasks: u32,
    /// Number of the loan's tasks that are done.
    pub done: u32,
    /// Whether the job is being cancelled.
    pub cancelling: bool,
}

/// A job of which this cell has borrowed tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedJobStatus {
    /// Id of the job.
    pub job: String,
    /// Name of the lender.
    #[serde(rename = "home")]
    pub lender: String,
    /// Number of borrowed tasks, done ones included.
    pub tasks: u32,
    /// Number of borrowed tasks whose completion is recorded.
    pub done: u32,
}

/// All that a cell lends and borrows, as part of its leader's status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellsStatus {
    /// This cell's name.
    pub name: String,
    /// The other cells.
    pub others: Vec<OtherCellStatus>,
    /// Open loans to other cells.
    pub lent: Vec<LentLoanStatus>,
    /// Jobs of which this cell has borrowed tasks.
    pub borrowed: Vec<BorrowedJobStatus>,
    /// Number of task results of jobs with loans that workers have reported and that are not yet recorded.
    #[serde(default)]
    pub unrecorded_results: u32,
    /// Number of borrowed tasks that this cell has finished, by lender, in open and closed loans.
    pub finished_for: BTreeMap<String, u64>,
}

/// How many jobs with loans lack copies of their progress, as far as the answering controller knows. If a
/// leader of a version before 0.3 takes over, the finished tasks of a job without copies run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentProgressStatus {
    /// Number of jobs with loans, lent or borrowed.
    pub jobs: u32,
    /// Number of these jobs whose progress is not known to be copied completely.
    pub without_copies: u32,
    /// Number of these jobs whose record versions before 0.3 cannot read. These versions remove the progress
    /// of such a job.
    #[serde(default)]
    pub hidden_records: u32,
}

/// Reply to a request to write off all loans to a lost cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOffReply {
    /// Name of the lost cell.
    pub cell: String,
    /// Number of tasks that are returned to this cell and run here again, by job id.
    pub tasks: BTreeMap<String, u32>,
    /// Ids of jobs whose write-off could not be recorded. The operator should repeat the request.
    pub left: Vec<String>,
}
