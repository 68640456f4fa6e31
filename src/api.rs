//! The users' interface (`/api/jobs`): submission, status and cancellation of jobs.
//!
//! Every response rests on a read of the state store begun after the request came, or on a final
//! record known to be written; without one the response is 503, so that no controller ever gives a
//! user an older state than one already given.
//!
//! This module does not know the controller type: it asks for what it needs through
//! [`JobsBackend`], which the controller implements. The dependency runs one way only, from the
//! controller to this module, so the handlers can be read and tested without the controller's
//! threads and lock.

use milletlock_cells::Lending;
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

use crate::config::Config;
use crate::fleet::{never_runs, JobProgress};
use crate::http::{Request, Response};
use crate::keys::{borrowed_key, final_key, job_key};
use crate::live_jobs::LiveJobs;
use crate::records::{FinalRecord, JobRecord};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError, TxnOutcome};
use crate::time::wall;
use crate::wire::{
    is_job_id, submitted_id, Change, Guard, JobSpec, JobStage, JobStatus, MachineType, Stage,
    SubmissionError, Txn,
};

/// Path of the users' interface.
const JOBS_PATH: &str = "/api/jobs";
/// How often a cancellation is tried within one request when the job's record changes meanwhile.
const CANCEL_ATTEMPTS: usize = 6;
/// Seconds a user is asked to wait before retrying a request that could not be decided.
const RETRY_AFTER_S: u32 = 1;
/// Reason given when the job's record changed meanwhile.
const TRY_AGAIN: &str = "try again";

/// The final record of a job as it was read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredFinal {
    /// The record.
    pub record: FinalRecord,
    /// The revision at which it was written.
    pub revision: u64,
}

/// What the users' interface needs of the controller that serves it.
pub trait JobsBackend {
    /// The settings.
    fn config(&self) -> &Config;
    /// The client of the state store.
    fn state(&self) -> &StateStoreClient;
    /// The ids of the live jobs, for status requests.
    fn live_jobs(&self) -> &LiveJobs;
    /// A job's final record, if it is known to be written.
    fn known_final(&self, id: &str) -> Option<StoredFinal>;
    /// Remembers a final record read from the state store; final records never change.
    fn learn_final(&self, id: &str, record: FinalRecord, revision: u64);
    /// Task counts of a live job, for display.
    fn counts(&self, id: &str) -> JobProgress;
    /// The machine types, once known; until then no submission can be decided.
    fn machine_types(&self) -> Option<Vec<MachineType>>;
    /// Notifies the leader of a job record that this controller has written.
    fn job_written(&self, id: &str, record: JobRecord, revision: u64);
    /// Makes a confirmed cancellation known to all controllers and stops what is left of the job.
    fn cancellation_confirmed(&self, id: &str, record: FinalRecord, revision: u64);
    /// Relays a request that this controller cannot answer to the others; none if none could
    /// answer it.
    fn relay_to_any(&self, request: &Request) -> Option<Response>;
}

/// What the state store holds of a job.
enum JobLookup {
    /// A live job: its record and the record's `mod_revision`.
    Live { record: Box<JobRecord>, mod_revision: u64 },
    /// A finished or cancelled job.
    Final(StoredFinal),
    /// No job of that id was ever accepted.
    Unknown,
}

fn look_up(backend: &dyn JobsBackend, id: &str) -> Result<JobLookup, StateStoreError> {
    if let Some(known) = backend.known_final(id) {
        return Ok(JobLookup::Final(known));
    }
    // The live record first: a job goes from one to the other in one transaction, so one of the
    // two reads finds it.
    if let Some(row) = backend.state().get(&job_key(id), RequestPriority::User)? {
        let record = parse_record(row.value)?;
        return Ok(JobLookup::Live { record: Box::new(record), mod_revision: row.mod_revision });
    }
    Ok(read_final(backend, id)?.map_or(JobLookup::Unknown, JobLookup::Final))
}

fn read_final(backend: &dyn JobsBackend, id: &str) -> Result<Option<StoredFinal>, StateStoreError> {
    let Some(row) = backend.state().get(&final_key(id), RequestPriority::User)? else { return Ok(None) };
    let record: FinalRecord = parse_record(row.value)?;
    // Written once, in the transaction that removed the live record.
    backend.learn_final(id, record, row.mod_revision);
    Ok(Some(StoredFinal { record, revision: row.mod_revision }))
}

fn parse_record<T: DeserializeOwned>(value: Value) -> Result<T, StateStoreError> {
    serde_json::from_value(value).map_err(|e| StateStoreError::Malformed(e.to_string()))
}

fn live_status(backend: &dyn JobsBackend, id: &str) -> JobStatus {
    let counts = backend.counts(id);
    let stage = if counts.running > 0 { Stage::Running } else { Stage::Queued };
    JobStatus { id: id.to_string(), stage, done: counts.done, running: counts.running }
}

fn final_status(id: &str, record: FinalRecord) -> JobStatus {
    let done = if record.stage == Stage::Done { record.tasks } else { 0 };
    JobStatus { id: id.to_string(), stage: record.stage, done, running: 0 }
}

/// The status of a job as the state store holds it; none if there is no such job.
fn stored_status(backend: &dyn JobsBackend, id: &str) -> Result<Option<JobStatus>, StateStoreError> {
    Ok(match look_up(backend, id)? {
        JobLookup::Live { .. } => Some(live_status(backend, id)),
        JobLookup::Final(known) => Some(final_status(id, known.record)),
        JobLookup::Unknown => None,
    })
}

fn stage_response(id: &str, stage: Stage) -> Response {
    Response::json(200, &JobStage { id: id.to_string(), stage })
}

fn no_such_job() -> Response {
    Response::error(404, "no such job")
}

fn retry_later(reason: &str) -> Response {
    Response::error(503, reason).with_retry_after(RETRY_AFTER_S)
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// The HTTP server: a user or the load balancer, or a worker with its heartbeat.
    Http,
    /// Another controller, which relayed it: it is not relayed again.
    Peer,
}

/// Answers a user's request here, or relays it to another controller that can reach the state
/// store.
pub fn handle(backend: &dyn JobsBackend, request: &Request, origin: RequestOrigin) -> Response {
    let error = match route(backend, request) {
        Ok(response) => return response,
        Err(error) => error,
    };
    let path = request.path.split('?').next().unwrap_or("");
    tracing::debug!(path, %error, "state store unavailable for a user request");
    let relayed_response = match origin {
        RequestOrigin::Http => backend.relay_to_any(request),
        RequestOrigin::Peer => None,
    };
    relayed_response.unwrap_or_else(|| retry_later(&format!("the state service cannot be asked: {error}")))
}

/// Calls the handler for a request's path and method.
fn route(backend: &dyn JobsBackend, request: &Request) -> Result<Response, StateStoreError> {
    let path = request.path.split('?').next().unwrap_or("");
    let method = request.method.as_str();
    let Some(rest) = path.strip_prefix(JOBS_PATH) else {
        return Ok(Response::error(404, "no such path"));
    };
    if rest.is_empty() || rest == "/" {
        return match method {
            "POST" => submit(backend, &request.body),
            _ => Ok(Response::error(405, "only POST")),
        };
    }
    let rest = rest.trim_start_matches('/');
    match (rest.split_once('/'), method) {
        (None, "GET") => show(backend, rest),
        (None, _) => Ok(Response::error(405, "only GET")),
        (Some((id, "withdraw")), "POST") => cancel(backend, id),
        (Some((_, "withdraw")), _) => Ok(Response::error(405, "only POST")),
        _ => Ok(Response::error(404, "no such path")),
    }
}

fn show(backend: &dyn JobsBackend, id: &str) -> Result<Response, StateStoreError> {
    if !is_job_id(id) {
        return Ok(no_such_job());
    }
    if let Some(known) = backend.known_final(id) {
        return Ok(Response::json(200, &final_status(id, known.record)));
    }
    if backend.live_jobs().is_live(id, backend.state())? {
        return Ok(Response::json(200, &live_status(backend, id)));
    }
    // If it ever was a live job, the transaction that removed it wrote its final record.
    Ok(match read_final(backend, id)? {
        Some(known) => Response::json(200, &final_status(id, known.record)),
        None => no_such_job(),
    })
}

/// The status of a known job in place of a refusal: a repeat of an accepted submission (an
/// idempotent request) is never refused, whatever its body.
fn known_or(
    backend: &dyn JobsBackend,
    id: Option<&str>,
    refusal: Response,
) -> Result<Response, StateStoreError> {
    let Some(id) = id.filter(|id| is_job_id(id)) else { return Ok(refusal) };
    let status = stored_status(backend, id)?;
    Ok(status.map_or(refusal, |status| Response::json(200, &status)))
}

fn submit(backend: &dyn JobsBackend, body: &[u8]) -> Result<Response, StateStoreError> {
    let spec = match JobSpec::parse(body) {
        Ok(spec) => spec,
        Err(error) => return refuse_malformed(backend, body, &error),
    };
    let Some(types) = backend.machine_types() else {
        return known_or(backend, Some(&spec.id), retry_later("machine types not known yet"));
    };
    let config = backend.config();
    if let Some(reason) = never_runs(&spec, config, &types) {
        return known_or(backend, Some(&spec.id), Response::error(422, &reason));
    }
    let record = JobRecord { spec, submitted_us: wall().0, start_mark: 0, lending: Lending::default() };
    let value = json!(record);
    if value.to_string().len() > config.value_bytes() {
        let refusal = Response::error(400, "the description is too long");
        return known_or(backend, Some(&record.spec.id), refusal);
    }
    accept(backend, record, value)
}

fn refuse_malformed(
    backend: &dyn JobsBackend,
    body: &[u8],
    error: &SubmissionError,
) -> Result<Response, StateStoreError> {
    let reason = error.to_string();
    tracing::debug!(reason, "malformed submission");
    let id = submitted_id(body);
    known_or(backend, id.as_deref(), Response::error(400, &reason))
}

/// Writes the record of a new job (`value` is its JSON), unless a job of that id is known.
fn accept(backend: &dyn JobsBackend, record: JobRecord, value: Value) -> Result<Response, StateStoreError> {
    let id = record.spec.id.clone();
    let mut guards = vec![must_not_exist(job_key(&id)), must_not_exist(final_key(&id))];
    if backend.config().operator.cells.is_some() {
        // Tasks of that name run here for another cell: two jobs of one id cannot be told apart.
        guards.push(must_not_exist(borrowed_key(&id)));
    }
    let txn = Txn { guards, then: vec![Change::put(job_key(&id), value)] };
    let mut result = backend.state().txn(&txn, RequestPriority::User);
    if matches!(result, Err(StateStoreError::Unknown(_))) {
        // The guards make a repeat harmless, and show whether the first try was executed.
        result = backend.state().txn(&txn, RequestPriority::User);
    }
    match result? {
        TxnOutcome::Committed(revision) => {
            backend.job_written(&id, record, revision);
            Ok(Response::json(201, &JobStage { id, stage: Stage::Queued }))
        }
        TxnOutcome::Conflict(_) => {
            let status = stored_status(backend, &id)?;
            Ok(status.map_or_else(|| retry_later(TRY_AGAIN), |status| Response::json(200, &status)))
        }
    }
}

fn must_not_exist(key: String) -> Guard {
    Guard { key, mod_revision: 0 }
}

/// The guards of a change to a live job that was read at `mod_revision`.
fn live_job_guards(id: &str, mod_revision: u64) -> Vec<Guard> {
    vec![Guard { key: job_key(id), mod_revision }, must_not_exist(final_key(id))]
}

/// Cancels a job. Repeats the lookup when the job's record changed between the read and the write.
fn cancel(backend: &dyn JobsBackend, id: &str) -> Result<Response, StateStoreError> {
    if !is_job_id(id) {
        return Ok(no_such_job());
    }
    for _ in 0..CANCEL_ATTEMPTS {
        let attempt = match look_up(backend, id)? {
            JobLookup::Unknown => Some(no_such_job()),
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
        backend.cancellation_confirmed(id, known.record, known.revision);
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
    let txn = Txn {
        guards: live_job_guards(id, mod_revision),
        then: vec![Change::drop(job_key(id)), Change::put(final_key(id), json!(cancelled))],
    };
    let Some(revision) = commit(backend, &txn)? else { return Ok(None) };
    backend.cancellation_confirmed(id, cancelled, revision);
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
        record.lending.cancelling = true;
        let txn = Txn {
            guards: live_job_guards(&id, mod_revision),
            then: vec![Change::put(job_key(&id), json!(record))],
        };
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
        Ok(TxnOutcome::Conflict(_)) | Err(StateStoreError::Unknown(_)) => Ok(None),
        Err(error) => Err(error),
    }
}
