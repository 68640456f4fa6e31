//! What is stored of the progress of a job with loans, and the copies of it that a controller adds while a leader
//! without copies leads.
//!
//! Such a leader removes the progress of jobs whose record it cannot read, or writes it without copies
//! (docs/cells.md). A copy is only ever added to: it is guarded by the job's record, so that none is left of a job
//! that has ended, and by its own version, so that no older state replaces a newer one.

use std::collections::{BTreeMap, BTreeSet};

use milletlock_cells::{BorrowedJob, TaskSet};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

use super::restored_records;
use crate::jobs::JobId;
use crate::keys::{
    borrowed_done_key, borrowed_done_prefix, borrowed_key, done_prefix, lent_done_key, lent_done_prefix,
    lent_start_mark_key, JOBS_PREFIX, START_MARKS_PREFIX,
};
use crate::records::{JobRecord, LentForm};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError};
use crate::task_ranges::{chunk_number, chunk_span, chunk_tasks, TaskRangeError, TaskRanges};
use crate::wire::{Change, Guard, JobSpec, Row, Txn};

/// Why the stored progress of a job is not known.
#[derive(Debug, thiserror::Error)]
pub enum ProgressError {
    /// The state store did not answer.
    #[error(transparent)]
    Store(#[from] StateStoreError),
    /// A row cannot be decoded.
    #[error("{key}: {source}")]
    Value {
        /// Its key.
        key: String,
        /// Why.
        source: serde_json::Error,
    },
    /// A row of done ranges has tasks that the job has not.
    #[error("{key}: {source}")]
    Ranges {
        /// Its key.
        key: String,
        /// Why.
        source: TaskRangeError,
    },
    /// The key of a row of done ranges does not end with a chunk's number.
    #[error("{key}: no number of a chunk")]
    Chunk {
        /// The key.
        key: String,
    },
}

/// A job with loans, as its record stands.
#[derive(Debug)]
pub struct JobWithLoans {
    /// The job.
    pub id: JobId,
    /// Whether its record is one that versions before 0.3 cannot read.
    pub is_hidden: bool,
    record: Guard,
    /// Its number of tasks.
    tasks: u32,
    /// The tasks that run in this cell, if it is borrowed.
    held: Option<TaskSet>,
    /// The start mark in its record.
    start_mark: u32,
}

/// Done ranges as they are stored, with the versions of their rows by chunk number.
#[derive(Debug, Default)]
struct StoredRanges {
    tasks: TaskSet,
    mod_revisions: BTreeMap<u32, u64>,
}

/// The stored progress of a job with loans.
#[derive(Debug)]
pub struct StoredProgress<'a> {
    job: &'a JobWithLoans,
    /// Done tasks in rows that a leader without copies writes and removes.
    written: TaskSet,
    /// The rows that it leaves alone: the copies, or those of a borrowed job.
    kept: StoredRanges,
    start_mark: StoredStartMark,
}

/// A job's start mark as it is stored; 0 where there is none. That of a borrowed job is not.
#[derive(Debug, Default)]
struct StoredStartMark {
    /// In values that a leader without copies writes.
    written: u32,
    /// Its copy.
    copied: u32,
    /// The copy's version.
    copy_revision: u64,
}

/// Reads the jobs with loans, lent or borrowed. Records that cannot be decoded are handed to `unreadable`.
///
/// # Errors
/// As any read from the state store.
pub fn read_jobs_with_loans(
    state: &StateStoreClient,
    mut unreadable: impl FnMut(&ProgressError),
) -> Result<Vec<JobWithLoans>, StateStoreError> {
    let mut jobs = Vec::new();
    let mut rows = state.list(JOBS_PREFIX)?.rows;
    restored_records::restore_records(state, &mut rows)?;
    for row in rows {
        match lent_job(row) {
            Ok(job) => jobs.extend(job),
            Err(error) => unreadable(&error),
        }
    }
    for row in state.list(&borrowed_key(""))?.rows {
        match borrowed_job(row) {
            Ok(job) => jobs.push(job),
            Err(error) => unreadable(&error),
        }
    }
    Ok(jobs)
}

/// The job of a record under `job/`, if it has loans.
fn lent_job(row: Row) -> Result<Option<JobWithLoans>, ProgressError> {
    let Row { key, value, mod_revision } = row;
    let record: JobRecord = decode(&key, value)?;
    Ok((!record.lending.is_empty()).then(|| JobWithLoans {
        id: record.spec.id.as_str().into(),
        is_hidden: record.lent_form == LentForm::Hidden,
        record: Guard { key, mod_revision },
        tasks: record.spec.tasks,
        held: None,
        start_mark: record.start_mark,
    }))
}

/// The job of a record of borrowed tasks.
fn borrowed_job(row: Row) -> Result<JobWithLoans, ProgressError> {
    let Row { key, value, mod_revision } = row;
    let record: BorrowedJob = decode(&key, value)?;
    let spec: JobSpec = decode(&key, record.description.clone())?;
    Ok(JobWithLoans {
        id: spec.id.as_str().into(),
        is_hidden: false,
        record: Guard { key, mod_revision },
        tasks: spec.tasks,
        held: Some(record.tasks()),
        start_mark: 0,
    })
}

fn decode<T: DeserializeOwned>(key: &str, value: Value) -> Result<T, ProgressError> {
    serde_json::from_value(value).map_err(|source| ProgressError::Value { key: key.to_string(), source })
}

/// Reads all packed start marks.
///
/// # Errors
/// As any read from the state store, or a value that cannot be decoded.
pub fn read_start_marks(state: &StateStoreClient) -> Result<BTreeMap<JobId, u32>, ProgressError> {
    let mut highest: BTreeMap<JobId, u32> = BTreeMap::new();
    for Row { key, value, .. } in state.list(&format!("{START_MARKS_PREFIX}/"))?.rows {
        for (job, mark) in decode::<BTreeMap<JobId, u32>>(&key, value)? {
            let known = highest.entry(job).or_default();
            *known = mark.max(*known);
        }
    }
    Ok(highest)
}

impl JobWithLoans {
    /// Reads what is stored of its progress.
    ///
    /// # Errors
    /// As any read from the state store, or a row that cannot be read: then nothing is known.
    pub fn read_progress(
        &self,
        state: &StateStoreClient,
        start_marks: &BTreeMap<JobId, u32>,
    ) -> Result<StoredProgress<'_>, ProgressError> {
        let id = &self.id;
        if self.held.is_some() {
            let kept = self.read_ranges(state, &borrowed_done_prefix(id))?;
            let start_mark = StoredStartMark::default();
            return Ok(StoredProgress { job: self, written: TaskSet::new(), kept, start_mark });
        }
        let written = self.read_ranges(state, &done_prefix(id))?.tasks;
        let kept = self.read_ranges(state, &lent_done_prefix(id))?;
        let key = lent_start_mark_key(id);
        let copy = state.get(&key, RequestPriority::Background)?;
        let start_mark = StoredStartMark {
            written: start_marks.get(id).copied().unwrap_or(0).min(self.tasks),
            copy_revision: copy.as_ref().map_or(0, |row| row.mod_revision),
            copied: copy.map_or(Ok(0), |row| decode(&key, row.value))?,
        };
        Ok(StoredProgress { job: self, written, kept, start_mark })
    }

    fn read_ranges(&self, state: &StateStoreClient, prefix: &str) -> Result<StoredRanges, ProgressError> {
        let mut ranges = StoredRanges::default();
        for Row { key, value, mod_revision } in state.list(prefix)?.rows {
            let Ok(chunk) = key[prefix.len()..].parse() else { return Err(ProgressError::Chunk { key }) };
            let text: String = decode(&key, value)?;
            let tasks = TaskRanges::parse(&text, self.tasks)
                .map_err(|source| ProgressError::Ranges { key, source })?;
            ranges.tasks = ranges.tasks.union(&tasks.task_set());
            ranges.mod_revisions.insert(chunk, mod_revision);
        }
        Ok(ranges)
    }

    fn kept_done_key(&self, chunk: u32) -> String {
        match self.held {
            Some(_) => borrowed_done_key(&self.id, chunk),
            None => lent_done_key(&self.id, chunk),
        }
    }
}

impl StoredProgress<'_> {
    /// The transactions that add what is known to be done, and the start mark, to the rows that a leader without
    /// copies leaves alone; `heard` are results that workers have reported, `value_bytes` the size of a value.
    pub fn missing_copies(&self, heard: &TaskSet, value_bytes: usize) -> Vec<Txn> {
        let mut txns = self.missing_done(heard, chunk_tasks(value_bytes));
        txns.extend(self.missing_start_mark());
        txns
    }

    fn missing_done(&self, heard: &TaskSet, tasks_per_chunk: u32) -> Vec<Txn> {
        let job = self.job;
        let in_this_cell = job.held.clone().unwrap_or_else(|| TaskSet::span(0, job.tasks));
        let done = self.written.union(&heard.intersection(&in_this_cell)).union(&self.kept.tasks);
        let missing = done.difference(&self.kept.tasks);
        let indexes: BTreeSet<u32> = missing.iter().map(|task| task / tasks_per_chunk).collect();
        let done: TaskRanges = done.iter().collect();
        let chunks = indexes.into_iter().map(|index| chunk_number(tasks_per_chunk, index));
        chunks.map(|chunk| self.done_txn(&done, chunk)).collect()
    }

    fn done_txn(&self, done: &TaskRanges, chunk: u32) -> Txn {
        let key = self.job.kept_done_key(chunk);
        let mod_revision = self.kept.mod_revisions.get(&chunk).copied().unwrap_or(0);
        let span = chunk_span(chunk);
        let text = done.within(span.start, span.end).text();
        Txn {
            guards: vec![self.job.record.clone(), Guard { key: key.clone(), mod_revision }],
            then: vec![Change::put(key, json!(text))],
        }
    }

    fn missing_start_mark(&self) -> Option<Txn> {
        let job = self.job;
        let StoredStartMark { written, copied, copy_revision } = self.start_mark;
        if written <= copied.max(job.start_mark) {
            return None;
        }
        let key = lent_start_mark_key(&job.id);
        let guard = Guard { key: key.clone(), mod_revision: copy_revision };
        Some(Txn { guards: vec![job.record.clone(), guard], then: vec![Change::put(key, json!(written))] })
    }
}
