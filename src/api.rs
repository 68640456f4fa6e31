//! The users' interface: submissions, polls and cancellations of jobs (`/api/jobs`).
//!
//! Every answer rests on a read of the state store begun after the request came, or on a final
//! stage known to be written; without one the answer is 503, so that no controller ever gives a user
//! an older answer than one already given.
//!
//! This module does not know the controller type: it asks for what it needs through
//! [`JobsBackend`], which the controller implements. The dependency runs one way only, from the
//! controller to this module, so the handlers can be read and tested without the controller's
//! threads and lock.

use milletlock_cells::Lending;
use serde_json::json;

use crate::config::Config;
use crate::fleet::{never_runs, JobProgress};
use crate::http::{Request, Response};
use crate::keys::{borrowed_key, final_key, job_key};
use crate::live_jobs::LiveJobs;
use crate::records::{FinalRecord, JobRecord};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError, TxnOutcome};
use crate::time::wall;
use crate::wire::{is_job_id, Change, Guard, JobSpec, JobStage, JobStatus, MachineType, Stage, Txn};

/// How often a cancellation is tried again within one request when the job's record changed under it.
const WITHDRAW_ATTEMPTS: usize = 6;
/// Seconds a user is asked to wait before retrying a request that could not be decided.
const RETRY_AFTER_S: u32 = 1;

/// What the users' interface needs of the controller that serves it.
pub trait JobsBackend {
    /// The settings.
    fn config(&self) -> &Config;
    /// The client of the state store.
    fn state(&self) -> &StateStoreClient;
    /// The live jobs' ids, for polls.
    fn live_jobs(&self) -> &LiveJobs;
    /// A final stage that is known to be written, and the revision at which it was.
    fn final_of(&self, id: &str) -> Option<(FinalRecord, u64)>;
    /// Records a final stage read from the state store; final stages never change.
    fn learn_final(&self, id: &str, record: FinalRecord, revision: u64);
    /// Task counts of a live job, for display.
    fn counts(&self, id: &str) -> JobProgress;
    /// The machine types, once known; until then no submission can be decided.
    fn machine_types(&self) -> Option<Vec<MachineType>>;
    /// Tells the leader of a job record that this controller has written.
    fn job_written(&self, id: &str, record: JobRecord, revision: u64);
    /// Makes a confirmed cancellation known to all controllers and stops what is left of the job.
    fn cancellation_confirmed(&self, id: &str, record: FinalRecord, revision: u64);
    /// Has another controller answer a request that this one cannot; none if none could.
    fn relay_to_any(&self, req: &Request) -> Option<Response>;
}

/// What the state store holds of a job.
enum JobLookup {
    /// A live job: its record and the record's stamp.
    Live(Box<JobRecord>, u64),
    /// A finished or cancelled job: its final record and the revision at which it was written.
    Final(FinalRecord, u64),
    /// No job of that id was ever accepted.
    Unknown,
}

fn look_up(backend: &dyn JobsBackend, id: &str) -> Result<JobLookup, StateStoreError> {
    if let Some((record, revision)) = backend.final_of(id) {
        return Ok(JobLookup::Final(record, revision));
    }
    // The live record first: a job goes from one to the other in one transaction, so one of the
    // two reads finds it.
    if let Some(row) = backend.state().get(&job_key(id), RequestPriority::User)? {
        let record =
            serde_json::from_value(row.value).map_err(|e| StateStoreError::Malformed(e.to_string()))?;
        return Ok(JobLookup::Live(Box::new(record), row.mod_revision));
    }
    let found = read_final(backend, id)?;
    Ok(found.map_or(JobLookup::Unknown, |(record, revision)| JobLookup::Final(record, revision)))
}

fn read_final(backend: &dyn JobsBackend, id: &str) -> Result<Option<(FinalRecord, u64)>, StateStoreError> {
    let Some(row) = backend.state().get(&final_key(id), RequestPriority::User)? else { return Ok(None) };
    let record: FinalRecord =
        serde_json::from_value(row.value).map_err(|e| StateStoreError::Malformed(e.to_string()))?;
    // Written once, in the transaction that removed the live record.
    backend.learn_final(id, record, row.mod_revision);
    Ok(Some((record, row.mod_revision)))
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

fn status(backend: &dyn JobsBackend, id: &str, lookup: &JobLookup) -> Option<JobStatus> {
    match lookup {
        JobLookup::Live(..) => Some(live_status(backend, id)),
        JobLookup::Final(record, _) => Some(final_status(id, *record)),
        JobLookup::Unknown => None,
    }
}

fn stage_answer(id: &str, stage: Stage) -> Response {
    Response::json(200, &JobStage { id: id.to_string(), stage })
}

fn unavailable(e: &StateStoreError) -> Response {
    Response::error(503, &format!("the state service cannot be asked: {e}")).with_retry_after(RETRY_AFTER_S)
}

/// Answers a user's request here, or has another controller answer it that can reach the state
/// store. `relayed` is true for a request that another controller relayed here: it is not relayed
/// again.
pub fn handle(backend: &dyn JobsBackend, req: &Request, relayed: bool) -> Response {
    let path = req.path.split('?').next().unwrap_or("");
    let result = match path.strip_prefix("/api/jobs") {
        Some("") | Some("/") => match req.method.as_str() {
            "POST" => submit(backend, &req.body),
            _ => Ok(Response::error(405, "only POST")),
        },
        Some(rest) => {
            let rest = rest.trim_start_matches('/');
            match (rest.split_once('/'), req.method.as_str()) {
                (None, "GET") => show(backend, rest),
                (None, _) => Ok(Response::error(405, "only GET")),
                (Some((id, "withdraw")), "POST") => withdraw(backend, id),
                (Some((_, "withdraw")), _) => Ok(Response::error(405, "only POST")),
                _ => Ok(Response::error(404, "no such path")),
            }
        }
        None => Ok(Response::error(404, "no such path")),
    };
    match result {
        Ok(response) => response,
        Err(e) => {
            tracing::debug!(path, error = %e, "state store unavailable for a user request");
            if !relayed {
                if let Some(response) = backend.relay_to_any(req) {
                    return response;
                }
            }
            unavailable(&e)
        }
    }
}

fn show(backend: &dyn JobsBackend, id: &str) -> Result<Response, StateStoreError> {
    if !is_job_id(id) {
        return Ok(Response::error(404, "no such job"));
    }
    if let Some((record, _)) = backend.final_of(id) {
        return Ok(Response::json(200, &final_status(id, record)));
    }
    if backend.live_jobs().is_live(id, backend.state())? {
        return Ok(Response::json(200, &live_status(backend, id)));
    }
    // It left the live jobs, if it ever was one, in the transaction that wrote its end.
    Ok(match read_final(backend, id)? {
        Some((record, _)) => Response::json(200, &final_status(id, record)),
        None => Response::error(404, "no such job"),
    })
}

/// The known job, if there is one, for a submission that would otherwise be refused: a repeat of
/// an accepted job (an idempotent request) is never answered with a refusal, whatever its body.
fn known_or(
    backend: &dyn JobsBackend,
    id: Option<&str>,
    refusal: Response,
) -> Result<Response, StateStoreError> {
    if let Some(id) = id.filter(|i| is_job_id(i)) {
        let lookup = look_up(backend, id)?;
        if let Some(status) = status(backend, id, &lookup) {
            return Ok(Response::json(200, &status));
        }
    }
    Ok(refusal)
}

fn submit(backend: &dyn JobsBackend, body: &[u8]) -> Result<Response, StateStoreError> {
    let cfg = backend.config();
    let spec = match JobSpec::parse(body) {
        Ok(spec) => spec,
        Err(why) => {
            let why = why.to_string();
            tracing::debug!(why, "malformed submission");
            let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            let id = value.get("nameId").and_then(|i| i.as_str());
            return known_or(backend, id, Response::error(400, &why));
        }
    };
    let Some(types) = backend.machine_types() else {
        let refusal = Response::error(503, "machine types not known yet").with_retry_after(RETRY_AFTER_S);
        return known_or(backend, Some(&spec.id), refusal);
    };
    if let Some(why) = never_runs(&spec, cfg, &types) {
        return known_or(backend, Some(&spec.id), Response::error(422, &why));
    }
    let id = spec.id.clone();
    let record = JobRecord { spec, submitted_us: wall().0, high_water_mark: 0, lending: Lending::default() };
    let value = json!(record);
    if value.to_string().len() > cfg.value_bytes() {
        return known_or(backend, Some(&id), Response::error(400, "the description is too long"));
    }
    let guard = |key: String| Guard { key, mod_revision: 0 };
    let mut guards = vec![guard(job_key(&id)), guard(final_key(&id))];
    if cfg.operator.cells.is_some() {
        // Tasks of that name run here for another cell: two jobs of one id cannot be told apart.
        guards.push(guard(borrowed_key(&id)));
    }
    let txn = Txn { guards, then: vec![Change::put(job_key(&id), value)] };
    let mut result = backend.state().txn(&txn, RequestPriority::User);
    if matches!(result, Err(StateStoreError::Unknown(_))) {
        // The guards make a repeat harmless, and tell whether the first try was carried out.
        result = backend.state().txn(&txn, RequestPriority::User);
    }
    match result? {
        TxnOutcome::Committed(revision) => {
            backend.job_written(&id, record, revision);
            Ok(Response::json(201, &JobStage { id, stage: Stage::Queued }))
        }
        TxnOutcome::Conflict(_) => {
            let lookup = look_up(backend, &id)?;
            Ok(match status(backend, &id, &lookup) {
                Some(status) => Response::json(200, &status),
                None => Response::error(503, "try again").with_retry_after(RETRY_AFTER_S),
            })
        }
    }
}

/// Records that a job's user wants it cancelled, which it is once no other cell holds tasks of it.
/// From then on nothing of it starts. False: the record has changed meanwhile, or it is not known
/// what happened.
fn record_cancelling(
    backend: &dyn JobsBackend,
    mut record: JobRecord,
    mod_revision: u64,
) -> Result<bool, StateStoreError> {
    let id = record.spec.id.clone();
    record.lending.cancelling = true;
    let txn = Txn {
        guards: vec![
            Guard { key: job_key(&id), mod_revision },
            Guard { key: final_key(&id), mod_revision: 0 },
        ],
        then: vec![Change::put(job_key(&id), json!(record))],
    };
    match backend.state().txn(&txn, RequestPriority::User) {
        Ok(TxnOutcome::Committed(revision)) => {
            backend.job_written(&id, record, revision);
            Ok(true)
        }
        Ok(TxnOutcome::Conflict(_)) | Err(StateStoreError::Unknown(_)) => Ok(false),
        Err(e) => Err(e),
    }
}

fn withdraw(backend: &dyn JobsBackend, id: &str) -> Result<Response, StateStoreError> {
    if !is_job_id(id) {
        return Ok(Response::error(404, "no such job"));
    }
    for _ in 0..WITHDRAW_ATTEMPTS {
        match look_up(backend, id)? {
            JobLookup::Unknown => return Ok(Response::error(404, "no such job")),
            JobLookup::Final(record, revision) => {
                if record.stage == Stage::Cancelled {
                    // Whoever wrote it may have had no answer to that, and told nobody.
                    backend.cancellation_confirmed(id, record, revision);
                }
                return Ok(stage_answer(id, record.stage));
            }
            JobLookup::Live(record, mod_revision) if !record.lending.loans.is_empty() => {
                if record.lending.cancelling || record_cancelling(backend, *record, mod_revision)? {
                    let why = "other cells hold tasks of the job and are being told";
                    return Ok(Response::error(503, why).with_retry_after(RETRY_AFTER_S));
                }
            }
            JobLookup::Live(record, mod_revision) => {
                if let Some(response) = cancel_live(backend, id, &record, mod_revision)? {
                    return Ok(response);
                }
            }
        }
    }
    Ok(Response::error(503, "try again").with_retry_after(RETRY_AFTER_S))
}

/// Replaces a live job without loans by its cancelled final record; none if the record changed in
/// between or the outcome is not known, so that the caller looks again.
fn cancel_live(
    backend: &dyn JobsBackend,
    id: &str,
    record: &JobRecord,
    mod_revision: u64,
) -> Result<Option<Response>, StateStoreError> {
    let over = FinalRecord { stage: Stage::Cancelled, tasks: record.spec.tasks };
    let txn = Txn {
        guards: vec![Guard { key: job_key(id), mod_revision }, Guard { key: final_key(id), mod_revision: 0 }],
        then: vec![Change::drop(job_key(id)), Change::put(final_key(id), json!(over))],
    };
    match backend.state().txn(&txn, RequestPriority::User) {
        Ok(TxnOutcome::Committed(revision)) => {
            backend.cancellation_confirmed(id, over, revision);
            Ok(Some(stage_answer(id, Stage::Cancelled)))
        }
        // The leader wrote in between, or it is not known what happened: look again.
        Ok(TxnOutcome::Conflict(_)) | Err(StateStoreError::Unknown(_)) => Ok(None),
        Err(e) => Err(e),
    }
}
