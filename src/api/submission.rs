//! Submission of jobs (`POST /api/jobs`). A submission is an idempotent request: if a job with its id is
//! already known, the response is that job's status.

use serde_json::{json, Value};

use super::lookup::stored_status;
use super::responses::{retry_later, TRY_AGAIN};
use super::JobsBackend;
use crate::fleet::check_runnable;
use crate::http::{status, Response};
use crate::keys::{borrowed_key, final_key, job_key};
use crate::records::JobRecord;
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::time::wall;
use crate::wire::{is_job_id, submitted_id, Change, Guard, JobSpec, JobStage, Stage, SubmissionError, Txn};

/// Accepts the job described in a request body, or refuses it and gives the reason.
pub(super) fn submit(backend: &dyn JobsBackend, body: &[u8]) -> Result<Response, StateStoreError> {
    let spec = match JobSpec::parse(body) {
        Ok(spec) => spec,
        Err(error) => return refuse_malformed(backend, body, &error),
    };
    let Some(types) = backend.machine_types() else {
        return status_or_refusal(
            backend,
            Some(&spec.id),
            retry_later("the machine types are not known yet"),
        );
    };
    let config = backend.config();
    if let Err(reason) = check_runnable(&spec, config, &types) {
        return status_or_refusal(
            backend,
            Some(&spec.id),
            Response::error(status::UNPROCESSABLE_CONTENT, &reason.to_string()),
        );
    }
    let record = JobRecord::new(spec, wall().0);
    let value = json!(record);
    if value.to_string().len() > config.max_value_bytes() {
        let refusal = Response::error(status::BAD_REQUEST, "the job description is too long");
        return status_or_refusal(backend, Some(&record.spec.id), refusal);
    }
    accept(backend, record, value)
}

/// Refuses a request body that is not a valid submission.
fn refuse_malformed(
    backend: &dyn JobsBackend,
    body: &[u8],
    error: &SubmissionError,
) -> Result<Response, StateStoreError> {
    let reason = error.to_string();
    tracing::debug!(reason, "malformed submission");
    let id = submitted_id(body);
    status_or_refusal(backend, id.as_deref(), Response::error(status::BAD_REQUEST, &reason))
}

/// Returns the status of the job if a job with this id is known, otherwise the refusal. A repeat of an
/// accepted submission is never refused, whatever its body.
fn status_or_refusal(
    backend: &dyn JobsBackend,
    id: Option<&str>,
    refusal: Response,
) -> Result<Response, StateStoreError> {
    let Some(id) = id.filter(|id| is_job_id(id)) else { return Ok(refusal) };
    Ok(stored_status(backend, id)?.unwrap_or(refusal))
}

/// Writes the record of a new job, unless a job with its id is known. `value` is the record as JSON.
fn accept(backend: &dyn JobsBackend, record: JobRecord, value: Value) -> Result<Response, StateStoreError> {
    let id = record.spec.id.clone();
    // The id of a borrowed job is refused too, even if the settings no longer name other cells: the job's
    // tasks run in this cell, and the tasks of two jobs with the same id could not be told apart.
    let guards = [job_key(&id), final_key(&id), borrowed_key(&id)].map(Guard::must_not_exist).to_vec();
    let txn = Txn { guards, then: vec![Change::put(job_key(&id), value)] };
    let mut result = backend.state().txn(&txn, RequestPriority::User);
    if matches!(result, Err(StateStoreError::NoAnswer(_))) {
        // The guards make the repeat idempotent: if the first attempt was executed, they fail.
        result = backend.state().txn(&txn, RequestPriority::User);
    }
    match result? {
        TxnOutcome::Committed(revision) => {
            backend.announce_job_record(&id, record, revision);
            Ok(Response::json(status::CREATED, &JobStage { id, stage: Stage::Queued }))
        }
        TxnOutcome::Conflict(_) => {
            let known = stored_status(backend, &id)?;
            Ok(known.unwrap_or_else(|| retry_later(TRY_AGAIN)))
        }
    }
}
