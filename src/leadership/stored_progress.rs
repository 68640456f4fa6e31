//! The stored progress of jobs with loans, and the copies of it that a follower writes while the leader runs
//! a version that writes no copies (a *leader without copies*).
//!
//! A leader without copies deletes the progress of jobs whose record it cannot read, or writes progress
//! without a copy (docs/cells.md). A follower only ever adds to a copy. The write is guarded by the job's
//! record, so that no copy remains after the job has ended, and by the copy's own revision, so that no older
//! state replaces a newer one.

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
    /// A read from the state store failed.
    #[error(transparent)]
    Store(#[from] StateStoreError),
    /// A row cannot be decoded.
    #[error("{key}: {source}")]
    Value {
        /// The row's key.
        key: String,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// A row of done ranges is malformed, or contains tasks that the job does not have.
    #[error("{key}: {source}")]
    Ranges {
        /// The row's key.
        key: String,
        /// The error in the ranges.
        source: TaskRangeError,
    },
    /// The key of a row of done ranges does not end with a chunk number.
    #[error("{key}: the key does not end with a chunk number")]
    Chunk {
        /// The row's key.
        key: String,
    },
}

/// A job with loans, lent or borrowed, as its stored record describes it.
#[derive(Debug)]
pub struct JobWithLoans {
    /// The job's id.
    pub id: JobId,
    /// Whether the record is stored in a form that versions before 0.3 cannot read ([`LentForm::Hidden`]).
    pub is_hidden: bool,
    /// The guard that the job's record has not changed.
    record: Guard,
    /// Number of tasks of the job.
    tasks: u32,
    /// The tasks that this cell has borrowed; `None` for one of this cell's own jobs.
    borrowed: Option<TaskSet>,
    /// The start mark in the record.
    start_mark: u32,
}

/// Done ranges as they are stored.
#[derive(Debug, Default)]
struct StoredRanges {
    /// The done tasks of all chunks.
    tasks: TaskSet,
    /// The `mod_revision` of each chunk's row, by chunk number.
    mod_revisions: BTreeMap<u32, u64>,
}

/// The stored progress of a job with loans.
#[derive(Debug)]
pub struct StoredProgress<'a> {
    job: &'a JobWithLoans,
    /// Done tasks in rows that a leader without copies writes and deletes.
    written: TaskSet,
    /// Done ranges in rows that a leader without copies neither writes nor deletes: the copies, or the rows
    /// of a borrowed job.
    retained: StoredRanges,
    start_mark: StoredStartMark,
}

/// The stored start marks of a job; 0 if there is none. A borrowed job has no stored start mark.
#[derive(Debug, Default)]
struct StoredStartMark {
    /// The start mark in the packed values, which a leader without copies writes as well.
    written: u32,
    /// The copy of the start mark.
    copied: u32,
    /// The copy's `mod_revision`; 0 if there is no copy.
    copy_revision: u64,
}

/// Reads the jobs with loans, lent or borrowed. Calls `unreadable` for each record that cannot be decoded.
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

/// Decodes a row under `job/`; `None` if the job has no loans.
fn lent_job(row: Row) -> Result<Option<JobWithLoans>, ProgressError> {
    let Row { key, value, mod_revision } = row;
    let record: JobRecord = decode(&key, value)?;
    Ok((!record.lending.is_empty()).then(|| JobWithLoans {
        id: record.spec.id.as_str().into(),
        is_hidden: record.lent_form == LentForm::Hidden,
        record: Guard { key, mod_revision },
        tasks: record.spec.tasks,
        borrowed: None,
        start_mark: record.start_mark,
    }))
}

/// Decodes the row of a borrowed job.
fn borrowed_job(row: Row) -> Result<JobWithLoans, ProgressError> {
    let Row { key, value, mod_revision } = row;
    let record: BorrowedJob = decode(&key, value)?;
    let spec: JobSpec = decode(&key, record.description.clone())?;
    Ok(JobWithLoans {
        id: spec.id.as_str().into(),
        is_hidden: false,
        record: Guard { key, mod_revision },
        tasks: spec.tasks,
        borrowed: Some(record.tasks()),
        start_mark: 0,
    })
}

fn decode<T: DeserializeOwned>(key: &str, value: Value) -> Result<T, ProgressError> {
    serde_json::from_value(value).map_err(|source| ProgressError::Value { key: key.to_string(), source })
}

/// Reads all packed start marks. If a job has several, the highest counts.
///
/// # Errors
/// As any read from the state store, or [`ProgressError::Value`] if a value cannot be decoded.
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
    /// Reads the stored progress of the job; `start_marks` are the packed start marks of all jobs.
    ///
    /// # Errors
    /// As any read from the state store, or the error of the first row that cannot be decoded. No partial
    /// progress is returned.
    pub fn read_progress(
        &self,
        state: &StateStoreClient,
        start_marks: &BTreeMap<JobId, u32>,
    ) -> Result<StoredProgress<'_>, ProgressError> {
        let id = &self.id;
        if self.borrowed.is_some() {
            let retained = self.read_ranges(state, &borrowed_done_prefix(id))?;
            let start_mark = StoredStartMark::default();
            return Ok(StoredProgress { job: self, written: TaskSet::new(), retained, start_mark });
        }
        let written = self.read_ranges(state, &done_prefix(id))?.tasks;
        let retained = self.read_ranges(state, &lent_done_prefix(id))?;
        let key = lent_start_mark_key(id);
        let copy = state.get(&key, RequestPriority::Background)?;
        let start_mark = StoredStartMark {
            written: start_marks.get(id).copied().unwrap_or(0).min(self.tasks),
            copy_revision: copy.as_ref().map_or(0, |row| row.mod_revision),
            copied: copy.map_or(Ok(0), |row| decode(&key, row.value))?,
        };
        Ok(StoredProgress { job: self, written, retained, start_mark })
    }

    /// Reads all chunks of done ranges of the job under a prefix.
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

    /// Key of the row of a chunk of done ranges that a leader without copies neither writes nor deletes.
    fn retained_done_key(&self, chunk: u32) -> String {
        match self.borrowed {
            Some(_) => borrowed_done_key(&self.id, chunk),
            None => lent_done_key(&self.id, chunk),
        }
    }
}

impl StoredProgress<'_> {
    /// Composes the transactions that add the missing done tasks and the start mark to the rows that a leader
    /// without copies neither writes nor deletes. `reported` are the done tasks that workers have reported to
    /// this controller. `value_bytes` is the maximum size of a value in the state store.
    pub fn missing_copies(&self, reported: &TaskSet, value_bytes: usize) -> Vec<Txn> {
        let mut txns = self.missing_done(reported, chunk_tasks(value_bytes));
        txns.extend(self.missing_start_mark());
        txns
    }

    /// Composes a transaction for each chunk in which done tasks are missing.
    fn missing_done(&self, reported: &TaskSet, tasks_per_chunk: u32) -> Vec<Txn> {
        let job = self.job;
        let in_this_cell = job.borrowed.clone().unwrap_or_else(|| TaskSet::span(0, job.tasks));
        let done = self.written.union(&reported.intersection(&in_this_cell)).union(&self.retained.tasks);
        let missing = done.difference(&self.retained.tasks);
        let indexes: BTreeSet<u32> = missing.iter().map(|task| task / tasks_per_chunk).collect();
        let done: TaskRanges = done.iter().collect();
        let chunks = indexes.into_iter().map(|index| chunk_number(tasks_per_chunk, index));
        chunks.map(|chunk| self.done_txn(&done, chunk)).collect()
    }

    /// Composes the transaction that writes the done tasks of one chunk.
    fn done_txn(&self, done: &TaskRanges, chunk: u32) -> Txn {
        let key = self.job.retained_done_key(chunk);
        let mod_revision = self.retained.mod_revisions.get(&chunk).copied().unwrap_or(0);
        let span = chunk_span(chunk);
        let text = done.within(span.start, span.end).text();
        Txn {
            guards: vec![self.job.record.clone(), Guard { key: key.clone(), mod_revision }],
            then: vec![Change::put(key, json!(text))],
        }
    }

    /// Composes the write of the start mark's copy; `None` if the copy or the job's record is up to date.
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
