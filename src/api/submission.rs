//! Submission of jobs. A repeat of an accepted submission is answered with the job's status.

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

/// Accepts the job that a body describes, or refuses it with the reason.
pub(super) fn submit(backend: &dyn JobsBackend, body: &[u8]) -> Result<Response, StateStoreError> {
    let spec = match JobSpec::parse(body) {
        Ok(spec) => spec,
        Err(error) => return refuse_malformed(backend, body, &error),
    };
    let Some(types) = backend.machine_types() else {
        return known_or(backend, Some(&spec.id), retry_later("machine types not known yet"));
    };
    let config = backend.config();
    if let Err(reason) = check_runnable(&spec, config, &types) {
        return known_or(
            backend,
            Some(&spec.id),
            Response::error(status::UNPROCESSABLE_CONTENT, &reason.to_string()),
        );
    }
    let record = JobRecord::new(spec, wall().0);
    let value = json!(record);
    if value.to_string().len() > config.max_value_bytes() {
        let refusal = Response::error(status::BAD_REQUEST, "the description is too long");
        return known_or(backend, Some(&record.spec.id), refusal);
    }
    accept(backend, record, value)
}

/// Refuses a body that describes no job.
fn refuse_malformed(
    backend: &dyn JobsBackend,
    body: &[u8],
    error: &SubmissionError,
) -> Result<Response, StateStoreError> {
    let reason = error.to_string();
    tracing::debug!(reason, "malformed submission");
    let id = submitted_id(body);
    known_or(backend, id.as_deref(), Response::error(status::BAD_REQUEST, &reason))
}

/// The status of a known job in place of a refusal: a repeat of an accepted submission (an
/// idempotent request) is never refused, whatever its body.
fn known_or(
    backend: &dyn JobsBackend,
    id: Option<&str>,
    refusal: Response,
) -> Result<Response, StateStoreError> {
    let Some(id) = id.filter(|id| is_job_id(id)) else { return Ok(refusal) };
    Ok(stored_status(backend, id)?.unwrap_or(refusal))
}

/// Writes the record of a new job (`value` is its JSON), unless a job of that id is known.
fn accept(backend: &dyn JobsBackend, record: JobRecord, value: Value) -> Result<Response, StateStoreError> {
    let id = record.spec.id.clone();
    // Tasks of a borrowed job run here for another cell, whatever the settings say now: two jobs of one id cannot
    // be told apart.
    let guards = [job_key(&id), final_key(&id), borrowed_key(&id)].map(Guard::must_not_exist).to_vec();
    let txn = Txn { guards, then: vec![Change::put(job_key(&id), value)] };
    let mut result = backend.state().txn(&txn, RequestPriority::User);
    if matches!(result, Err(StateStoreError::NoAnswer(_))) {
        // The guards make a repeat harmless, and show whether the first try was executed.
        result = backend.state().txn(&txn, RequestPriority::User);
    }
    match result? {
        TxnOutcome::Committed(revision) => {
            backend.job_written(&id, record, revision);
            Ok(Response::json(status::CREATED, &JobStage { id, stage: Stage::Queued }))
        }
        TxnOutcome::Conflict(_) => {
            let known = stored_status(backend, &id)?;
            Ok(known.unwrap_or_else(|| retry_later(TRY_AGAIN)))
        }
    }
}
