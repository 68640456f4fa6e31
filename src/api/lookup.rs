//! Looks up jobs in the state store and answers status requests (`GET /api/jobs/ID`).

use serde::Deserialize;
use serde_json::Value;

use super::responses::{no_such_job, record_unreadable};
use super::{JobsBackend, StoredFinal};
use crate::http::{status, Response};
use crate::keys::{final_key, job_key};
use crate::live_jobs::Presence;
use crate::records::{FinalRecord, JobRecord};
use crate::state::{RequestPriority, StateStoreError};
use crate::wire::{is_job_id, JobStatus, Stage};

/// The result of looking a job up in the state store.
pub(super) enum JobLookup {
    /// A job that has not ended: its record and the record's `mod_revision`.
    Live { record: Box<JobRecord>, mod_revision: u64 },
    /// A live job whose record was stored in the form [`LentForm::Held`](crate::records::LentForm::Held),
    /// and was then rewritten by 0.3.0 to 0.3.2 without its field `held`. The next leader of this version
    /// restores the record.
    Stripped,
    /// A live job whose record this version cannot read.
    Unreadable,
    /// A finished or cancelled job.
    Final(StoredFinal),
    /// No job with this id has ever been accepted.
    Unknown,
}

/// Looks a job up in the state store, unless this controller has cached its final record.
pub(super) fn look_up(backend: &dyn JobsBackend, id: &str) -> Result<JobLookup, StateStoreError> {
    if let Some(known) = backend.cached_final_record(id) {
        return Ok(JobLookup::Final(known));
    }
    // The live record is read before the final record. One transaction removes the first and writes the
    // second, so one of the two reads finds the job.
    if let Some(row) = backend.state().get(&job_key(id), RequestPriority::User)? {
        let mod_revision = row.mod_revision;
        return Ok(match JobRecord::deserialize(&row.value) {
            Ok(record) => JobLookup::Live { record: Box::new(record), mod_revision },
            Err(_) if can_be_restored(backend, id, row.value)? => JobLookup::Stripped,
            Err(_) => JobLookup::Unreadable,
        });
    }
    Ok(read_final(backend, id)?.map_or(JobLookup::Unknown, JobLookup::Final))
}

/// Whether a record is one that 0.3.0 to 0.3.2 have rewritten without its field `held`, and can be restored
/// from the job's placeholder.
fn can_be_restored(backend: &dyn JobsBackend, id: &str, record: Value) -> Result<bool, StateStoreError> {
    if !JobRecord::is_stripped(&record) {
        return Ok(false);
    }
    let placeholder = backend.state().get(&final_key(id), RequestPriority::User)?;
    let placeholder = placeholder.and_then(|row| serde_json::from_value(row.value).ok());
    Ok(placeholder.is_some_and(|placeholder| JobRecord::restore(record, placeholder).is_ok()))
}

/// Reads a job's final record and caches it. Returns `None` if the job has not ended or was never accepted.
fn read_final(backend: &dyn JobsBackend, id: &str) -> Result<Option<StoredFinal>, StateStoreError> {
    let key = final_key(id);
    let Some(row) = backend.state().get(&key, RequestPriority::User)? else { return Ok(None) };
    let record: FinalRecord = match serde_json::from_value(row.value) {
        Ok(record) => record,
        Err(error) => {
            report_undecodable_final_record(backend, id, &key, &error)?;
            return Err(StateStoreError::Malformed(error.to_string()));
        }
    };
    // The transaction that removed the live record wrote this one, and nothing writes it again. Its
    // `mod_revision` is therefore the revision at which the job ended.
    let ended = StoredFinal { record, revision: row.mod_revision };
    backend.cache_final_record(id, ended);
    Ok(Some(ended))
}

/// Reports that the value under the key of a final record cannot be decoded. Reports nothing if the job is
/// live: the value is then the placeholder of a job that was accepted and lent after its live record was
/// looked up.
fn report_undecodable_final_record(
    backend: &dyn JobsBackend,
    id: &str,
    key: &str,
    error: &serde_json::Error,
) -> Result<(), StateStoreError> {
    if backend.state().get(&job_key(id), RequestPriority::User)?.is_none() {
        backend.report_unreadable_record(key, error);
    }
    Ok(())
}

/// The status of a live job. It counts as running if any of its tasks runs, otherwise as queued.
fn live_status(backend: &dyn JobsBackend, id: &str) -> JobStatus {
    let counts = backend.task_counts(id);
    let stage = if counts.running > 0 { Stage::Running } else { Stage::Queued };
    JobStatus { id: id.to_string(), stage, done: counts.done, running: counts.running }
}

/// The status of a job that has ended. A cancelled job is shown with no tasks done.
fn final_status(id: &str, record: FinalRecord) -> JobStatus {
    let done = if record.stage == Stage::Done { record.tasks } else { 0 };
    JobStatus { id: id.to_string(), stage: record.stage, done, running: 0 }
}

/// The response with a job's status according to the state store; `None` if there is no such job.
pub(super) fn stored_status(
    backend: &dyn JobsBackend,
    id: &str,
) -> Result<Option<Response>, StateStoreError> {
    let ok = |status: &JobStatus| Some(Response::json(status::OK, status));
    Ok(match look_up(backend, id)? {
        JobLookup::Live { .. } | JobLookup::Stripped => ok(&live_status(backend, id)),
        JobLookup::Unreadable => Some(record_unreadable()),
        JobLookup::Final(known) => ok(&final_status(id, known.record)),
        JobLookup::Unknown => None,
    })
}

/// Answers a status request.
pub(super) fn show(backend: &dyn JobsBackend, id: &str) -> Result<Response, StateStoreError> {
    if !is_job_id(id) {
        return Ok(no_such_job());
    }
    if let Some(known) = backend.cached_final_record(id) {
        return Ok(Response::json(status::OK, &final_status(id, known.record)));
    }
    match backend.live_jobs().presence(id, backend.state())? {
        Presence::Live => return Ok(Response::json(status::OK, &live_status(backend, id))),
        Presence::Unreadable => return Ok(stored_status(backend, id)?.unwrap_or_else(record_unreadable)),
        Presence::Absent => {}
    }
    // If the job was ever live, the transaction that removed its record also wrote its final record.
    Ok(match read_final(backend, id)? {
        Some(known) => Response::json(status::OK, &final_status(id, known.record)),
        None => no_such_job(),
    })
}
