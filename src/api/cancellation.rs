//! Cancels jobs at the request of users (`POST /api/jobs/ID/withdraw`).

use super::lookup::{look_up, JobLookup};
use super::responses::{no_such_job, record_unreadable, retry_later, stage_response, TRY_AGAIN};
use super::{JobsBackend, StoredFinal};
use crate::http::Response;
use crate::job_changes::StoredJob;
use crate::records::{FinalRecord, JobRecord};
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::wire::{is_job_id, Stage, Txn};

/// Maximum number of attempts within one request, if the job's record changes between read and write.
const CANCEL_ATTEMPTS: usize = 6;

/// Cancels a job. Looks the job up again if its record changed between the read and the write.
pub(super) fn cancel(backend: &dyn JobsBackend, id: &str) -> Result<Response, StateStoreError> {
    if !is_job_id(id) {
        return Ok(no_such_job());
    }
    for _ in 0..CANCEL_ATTEMPTS {
        let attempt = match look_up(backend, id)? {
            JobLookup::Unknown => Some(no_such_job()),
            JobLookup::Stripped => Some(retry_later("the job's record must be restored by the leader first")),
            JobLookup::Unreadable => Some(record_unreadable()),
            JobLookup::Final(known) => Some(confirm_ended(backend, id, known)),
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

/// The response to the cancellation of a job that has ended: its stage.
fn confirm_ended(backend: &dyn JobsBackend, id: &str, known: StoredFinal) -> Response {
    if known.record.stage == Stage::Cancelled {
        // The controller that wrote the record may have received no reply from the state store, and in that
        // case has not notified the other controllers.
        backend.announce_cancellation(id, known);
    }
    stage_response(id, known.record.stage)
}

/// Cancels a live job without loans: replaces its record by a final record with the stage `cancelled`.
/// Returns `None` if the record has changed since it was read, or if the outcome of the write is not known.
/// The caller then looks the job up again.
fn cancel_live(
    backend: &dyn JobsBackend,
    id: &str,
    record: &JobRecord,
    mod_revision: u64,
) -> Result<Option<Response>, StateStoreError> {
    let cancelled = FinalRecord { stage: Stage::Cancelled, tasks: record.spec.tasks };
    let txn = StoredJob::new(record, mod_revision).end(cancelled);
    let Some(revision) = commit(backend, &txn)? else { return Ok(None) };
    backend.announce_cancellation(id, StoredFinal { record: cancelled, revision });
    Ok(Some(stage_response(id, Stage::Cancelled)))
}

/// Marks the record of a job with loans as being cancelled, unless it is marked already. From then on none
/// of the job's tasks starts. The leader ends the job once all its loans are closed, so the response asks
/// the user to retry. Returns `None` in the same cases as [`cancel_live`].
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
        backend.announce_job_record(&id, record, revision);
    }
    Ok(Some(retry_later("the job is being cancelled; its loans to other cells are still open")))
}

/// Executes a transaction and returns its revision. Returns `None` if a guard failed, because the record has
/// been written since it was read, usually by the leader. Also returns `None` if the outcome is not known.
fn commit(backend: &dyn JobsBackend, txn: &Txn) -> Result<Option<u64>, StateStoreError> {
    match backend.state().txn(txn, RequestPriority::User) {
        Ok(TxnOutcome::Committed(revision)) => Ok(Some(revision)),
        Ok(TxnOutcome::Conflict(_)) | Err(StateStoreError::NoAnswer(_)) => Ok(None),
        Err(error) => Err(error),
    }
}
