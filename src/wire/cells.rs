//! Loans between cells, as a controller's status shows them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Path by which an operator writes off what another cell holds; the cell's name follows.
pub const WRITE_OFF_PATH: &str = "/cells/write-off/";

/// Another cell, as part of the status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OtherCellStatus {
    /// Its name.
    pub name: String,
    /// Whether its leader answered the last message.
    pub answers: bool,
    /// Processors' worth of tasks that it would take on.
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
    /// The job.
    pub job: String,
    /// The cell that holds it.
    pub cell: String,
    /// Its number.
    pub number: u64,
    /// Tasks in it.
    pub tasks: u32,
    /// Those that are done.
    pub done: u32,
    /// The job is being cancelled.
    pub cancelling: bool,
}

/// A job of which this cell has borrowed tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedStatus {
    /// The job.
    pub job: String,
    /// The cell that accepted it.
    pub home: String,
    /// Tasks held here.
    pub tasks: u32,
    /// Those that are done.
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
    /// Tasks that were finished here for each other cell, in loans open and closed.
    pub finished_for: BTreeMap<String, u64>,
}

/// Answer to an operator who writes off what a cell holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrittenOff {
    /// The cell.
    pub cell: String,
    /// Tasks that run here again, by job.
    pub tasks: BTreeMap<String, u32>,
    /// Jobs whose record could not be written: to be tried again.
    pub left: Vec<String>,
}
