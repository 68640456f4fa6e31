//! What users ask. Every answer rests on a read of the state service begun after the request
//! came, or on a final stage known to be written; without one the answer is 503.

use milletlock_cells::Lending;
use serde_json::json;

use crate::fleet::never_runs;
use crate::http::{Request, Response};
use crate::keys::{borrowed_key, final_key, job_key};
use crate::node::Node;
use crate::records::{FinalRecord, JobRecord};
use crate::state::{Applied, StateError, Urgency};
use crate::time::wall;
use crate::wire::{is_job_id, Change, Guard, JobSpec, JobStage, JobStatus, Stage, Txn};

/// What is known of a job from the state service.
enum Known {
    Live(Box<JobRecord>, u64),
    Over(FinalRecord, u64),
    Never,
}

fn look_up(node: &Node, id: &str) -> Result<Known, StateError> {
    if let Some((f, revision)) = node.final_of(id) {
        return Ok(Known::Over(f, revision));
    }
    // The live record first: a job goes from one to the other in one transaction, so one of the
    // two reads finds it.
    if let Some(row) = node.state.get(&job_key(id), Urgency::User)? {
        let r = serde_json::from_value(row.value).map_err(|e| StateError::Malformed(e.to_string()))?;
        return Ok(Known::Live(Box::new(r), row.stamp));
    }
    Ok(read_final(node, id)?.map_or(Known::Never, |(f, revision)| Known::Over(f, revision)))
}

fn read_final(node: &Node, id: &str) -> Result<Option<(FinalRecord, u64)>, StateError> {
    let Some(row) = node.state.get(&final_key(id), Urgency::User)? else { return Ok(None) };
    let f: FinalRecord =
        serde_json::from_value(row.value).map_err(|e| StateError::Malformed(e.to_string()))?;
    // Written once, in the transaction that removed the live record.
    node.learn_final(id, f, row.stamp);
    Ok(Some((f, row.stamp)))
}

fn live_status(node: &Node, id: &str) -> JobStatus {
    let c = node.counts(id);
    let stage = if c.running > 0 { Stage::Running } else { Stage::Queued };
    JobStatus { id: id.to_string(), stage, done: c.done, running: c.running }
}

fn final_status(id: &str, f: FinalRecord) -> JobStatus {
    let done = if f.stage == Stage::Done { f.tasks } else { 0 };
    JobStatus { id: id.to_string(), stage: f.stage, done, running: 0 }
}

fn status(node: &Node, id: &str, known: &Known) -> Option<JobStatus> {
    match known {
        Known::Live(..) => Some(live_status(node, id)),
        Known::Over(f, _) => Some(final_status(id, *f)),
        Known::Never => None,
    }
}

fn stage_answer(id: &str, stage: Stage) -> Response {
    Response::json(200, &JobStage { id: id.to_string(), stage })
}

fn unavailable(e: &StateError) -> Response {
    Response::error(503, &format!("the state service cannot be asked: {e}")).later(1)
}

/// Answers a user's request here, or has a controller answer that can reach the state service.
pub fn handle(node: &Node, req: &Request, relayed: bool) -> Response {
    let path = req.path.split('?').next().unwrap_or("");
    let result = match path.strip_prefix("/api/jobs") {
        Some("") | Some("/") => match req.method.as_str() {
            "POST" => submit(node, &req.body),
            _ => Ok(Response::error(405, "only POST")),
        },
        Some(rest) => {
            let rest = rest.trim_start_matches('/');
            match (rest.split_once('/'), req.method.as_str()) {
                (None, "GET") => show(node, rest),
                (None, _) => Ok(Response::error(405, "only GET")),
                (Some((id, "withdraw")), "POST") => withdraw(node, id),
                (Some((_, "withdraw")), _) => Ok(Response::error(405, "only POST")),
                _ => Ok(Response::error(404, "no such path")),
            }
        }
        None => Ok(Response::error(404, "no such path")),
    };
    match result {
        Ok(r) => r,
        Err(e) => {
            tracing::debug!(path, error = %e, "the state service could not be asked");
            if !relayed {
                if let Some(r) = node.relay_to_any(req) {
                    return r;
                }
            }
            unavailable(&e)
        }
    }
}

fn show(node: &Node, id: &str) -> Result<Response, StateError> {
    if !is_job_id(id) {
        return Ok(Response::error(404, "no such job"));
    }
    if let Some((f, _)) = node.final_of(id) {
        return Ok(Response::json(200, &final_status(id, f)));
    }
    if node.live.has(id, &node.state)? {
        return Ok(Response::json(200, &live_status(node, id)));
    }
    // It left the live jobs, if it ever was one, in the transaction that wrote its end.
    Ok(match read_final(node, id)? {
        Some((f, _)) => Response::json(200, &final_status(id, f)),
        None => Response::error(404, "no such job"),
    })
}

/// The known job, if there is one, for a submission that would otherwise be refused: a repeat of
/// an accepted job is never answered with a refusal, whatever its body.
fn known_or(node: &Node, id: Option<&str>, refusal: Response) -> Result<Response, StateError> {
    if let Some(id) = id.filter(|i| is_job_id(i)) {
        let known = look_up(node, id)?;
        if let Some(s) = status(node, id, &known) {
            return Ok(Response::json(200, &s));
        }
    }
    Ok(refusal)
}

fn submit(node: &Node, body: &[u8]) -> Result<Response, StateError> {
    let spec = match JobSpec::parse(body) {
        Ok(s) => s,
        Err(why) => {
            let why = why.to_string();
            tracing::debug!(why, "a submission is malformed");
            let v: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            return known_or(node, v.get("nameId").and_then(|i| i.as_str()), Response::error(400, &why));
        }
    };
    let Some(types) = node.types() else {
        return known_or(node, Some(&spec.id), Response::error(503, "machine types not known yet").later(1));
    };
    if let Some(why) = never_runs(&spec, &node.cfg, &types) {
        return known_or(node, Some(&spec.id), Response::error(422, &why));
    }
    let id = spec.id.clone();
    let record = JobRecord { spec, submitted_us: wall().0, high: 0, lending: Lending::default() };
    let value = json!(record);
    if value.to_string().len() > node.cfg.value_bytes() {
        return known_or(node, Some(&id), Response::error(400, "the description is too long"));
    }
    let guard = |key: String| Guard { key, stamp: 0 };
    let mut guards = vec![guard(job_key(&id)), guard(final_key(&id))];
    if node.cfg.operator.cells.is_some() {
        // Tasks of that name run here for another cell: two jobs of one id cannot be told apart.
        guards.push(guard(borrowed_key(&id)));
    }
    let txn = Txn { guards, then: vec![Change::put(job_key(&id), value)] };
    let mut result = node.state.txn(&txn, Urgency::User);
    if matches!(result, Err(StateError::Unknown(_))) {
        // The guards make a repeat harmless, and tell whether the first try was carried out.
        result = node.state.txn(&txn, Urgency::User);
    }
    match result? {
        Applied::Yes(revision) => {
            node.job_written(&id, record, revision);
            Ok(Response::json(201, &JobStage { id, stage: Stage::Queued }))
        }
        Applied::Conflict(_) => {
            let known = look_up(node, &id)?;
            Ok(match status(node, &id, &known) {
                Some(s) => Response::json(200, &s),
                None => Response::error(503, "try again").later(1),
            })
        }
    }
}

/// Records that a job's user wants it cancelled, which it is once no other cell holds tasks of it. From then
/// on nothing of it starts. False: the record has changed meanwhile, or it is not known what happened.
fn record_cancelling(node: &Node, mut record: JobRecord, stamp: u64) -> Result<bool, StateError> {
    let id = record.spec.id.clone();
    record.lending.cancelling = true;
    let txn = Txn {
        guards: vec![Guard { key: job_key(&id), stamp }, Guard { key: final_key(&id), stamp: 0 }],
        then: vec![Change::put(job_key(&id), json!(record))],
    };
    match node.state.txn(&txn, Urgency::User) {
        Ok(Applied::Yes(revision)) => {
            node.job_written(&id, record, revision);
            Ok(true)
        }
        Ok(Applied::Conflict(_)) | Err(StateError::Unknown(_)) => Ok(false),
        Err(e) => Err(e),
    }
}

fn withdraw(node: &Node, id: &str) -> Result<Response, StateError> {
    if !is_job_id(id) {
        return Ok(Response::error(404, "no such job"));
    }
    for _ in 0..6 {
        match look_up(node, id)? {
            Known::Never => return Ok(Response::error(404, "no such job")),
            Known::Over(f, revision) => {
                if f.stage == Stage::Cancelled {
                    // Whoever wrote it may have had no answer to that, and told nobody.
                    node.cancellation_confirmed(id, f, revision);
                }
                return Ok(stage_answer(id, f.stage));
            }
            Known::Live(record, stamp) if !record.lending.loans.is_empty() => {
                if record.lending.cancelling || record_cancelling(node, *record, stamp)? {
                    let why = "other cells hold tasks of the job and are being told";
                    return Ok(Response::error(503, why).later(1));
                }
            }
            Known::Live(record, stamp) => {
                let over = FinalRecord { stage: Stage::Cancelled, tasks: record.spec.tasks };
                let txn = Txn {
                    guards: vec![Guard { key: job_key(id), stamp }, Guard { key: final_key(id), stamp: 0 }],
                    then: vec![Change::drop(job_key(id)), Change::put(final_key(id), json!(over))],
                };
                match node.state.txn(&txn, Urgency::User) {
                    Ok(Applied::Yes(revision)) => {
                        node.cancellation_confirmed(id, over, revision);
                        return Ok(stage_answer(id, Stage::Cancelled));
                    }
                    // The owner wrote in between, or it is not known what happened: look again.
                    Ok(Applied::Conflict(_)) | Err(StateError::Unknown(_)) => {}
                    Err(e) => return Err(e),
                }
            }
        }
    }
    Ok(Response::error(503, "try again").later(1))
}
