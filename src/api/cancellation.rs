//! Cancellation of jobs.

use super::lookup::{look_up, JobLookup};
use super::responses::{no_such_job, record_unreadable, retry_later, stage_response, TRY_AGAIN};
use super::{JobsBackend, StoredFinal};
use crate::http::Response;
use crate::job_changes::StoredJob;
use crate::records::{FinalRecord, JobRecord};
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::wire::{is_job_id, Stage, Txn};

/// How often a cancellation is tried within one request when the job's record changes meanwhile.
const CANCEL_ATTEMPTS: usize = 6;

/// Cancels a job. Repeats the lookup when the job's record changed between the read and the write.
pub(super) fn cancel(backend: &dyn JobsBackend, id: &str) -> Result<Response, StateStoreError> {
    if !is_job_id(id) {
        return Ok(no_such_job());
    }
    for _ in 0..CANCEL_ATTEMPTS {
        let attempt = match look_up(backend, id)? {
            JobLookup::Unknown => Some(no_such_job()),
            JobLookup::Stripped => Some(retry_later("the job's record is to be restored first")),
            JobLookup::Unreadable => Some(record_unreadable()),
            JobLookup::Final(known) => Some(confirm_final(backend, id, known)),
            JobLookup::Live { record, mod_revision } if record.lending.loans.is_empty() => {
                cancel_live(backend, id, &record, mod_revision)?
            }
            JobLookup::Live { record, mod_revision } => cancel_lent(backend, *record, mod_revision)?,
        };
        if let Some(response) = attempt {
            return Ok(response);
        }
    }
    Ok(retry_later(TRY_AGAIN))
}

/// Answers a cancellation of a job that has ended.
fn confirm_final(backend: &dyn JobsBackend, id: &str, known: StoredFinal) -> Response {
    if known.record.stage == Stage::Cancelled {
        // The controller that wrote the record may have had no reply, and notified nobody.
        backend.cancellation_confirmed(id, known);
    }
    stage_response(id, known.record.stage)
}

/// Replaces a live job without loans by its cancelled final record. `None` if the record changed in
/// between or the outcome is not known, so that the caller looks again.
fn cancel_live(
    backend: &dyn JobsBackend,
    id: &str,
    record: &JobRecord,
    mod_revision: u64,
) -> Result<Option<Response>, StateStoreError> {
    let cancelled = FinalRecord { stage: Stage::Cancelled, tasks: record.spec.tasks };
    let txn = StoredJob::new(record, mod_revision).end(cancelled);
    let Some(revision) = commit(backend, &txn)? else { return Ok(None) };
    backend.cancellation_confirmed(id, StoredFinal { record: cancelled, revision });
    Ok(Some(stage_response(id, Stage::Cancelled)))
}

/// Records that a job with loans is to be cancelled, if that is not recorded yet. From then on none of
/// its tasks starts; it is cancelled once no other cell holds tasks of it. `None` as for
/// [`cancel_live`].
fn cancel_lent(
    backend: &dyn JobsBackend,
    mut record: JobRecord,
    mod_revision: u64,
) -> Result<Option<Response>, StateStoreError> {
    if !record.lending.cancelling {
        let id = record.spec.id.clone();
        let StoredJob { placeholder_revision, .. } = StoredJob::new(&record, mod_revision);
        record.lending.cancelling = true;
        let txn = StoredJob { id: &id, mod_revision, placeholder_revision }.replace(&record);
        let Some(revision) = commit(backend, &txn)? else { return Ok(None) };
        backend.job_written(&id, record, revision);
    }
    Ok(Some(retry_later("other cells hold tasks of the job and are being told")))
}

/// Executes a transaction; returns its revision, or `None` if its guards failed (the leader wrote in
/// between) or its outcome is not known.
fn commit(backend: &dyn JobsBackend, txn: &Txn) -> Result<Option<u64>, StateStoreError> {
    match backend.state().txn(txn, RequestPriority::User) {
        Ok(TxnOutcome::Committed(revision)) => Ok(Some(revision)),
        Ok(TxnOutcome::Conflict(_)) | Err(StateStoreError::NoAnswer(_)) => Ok(None),
        Err(error) => Err(error),
    }
}
