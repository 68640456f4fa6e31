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

mod cancellation;
mod lookup;
mod responses;
mod submission;

use crate::config::Config;
use crate::fleet::JobProgress;
use crate::http::{status, Request, Response};
use crate::live_jobs::LiveJobs;
use crate::records::{FinalRecord, JobRecord};
use crate::state::{StateStoreClient, StateStoreError};
use crate::wire::MachineType;

/// Path of the users' interface.
const JOBS_PATH: &str = "/api/jobs";

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
    fn cache_final_record(&self, id: &str, ended: StoredFinal);
    /// Logs that a record cannot be read, and lists it in the leader's status.
    fn report_unreadable_record(&self, key: &str, error: &dyn std::fmt::Display);
    /// Task counts of a live job, for display.
    fn counts(&self, id: &str) -> JobProgress;
    /// The machine types, once known; until then no submission can be decided.
    fn machine_types(&self) -> Option<Vec<MachineType>>;
    /// Notifies the leader of a job record that this controller has written.
    fn job_written(&self, id: &str, record: JobRecord, revision: u64);
    /// Makes a confirmed cancellation known to all controllers and stops what is left of the job.
    fn cancellation_confirmed(&self, id: &str, cancelled: StoredFinal);
    /// Relays a request that this controller cannot answer to the others; none if none could
    /// answer it.
    fn relay_to_any(&self, request: &Request) -> Option<Response>;
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
    relayed_response
        .unwrap_or_else(|| responses::retry_later(&format!("the state service cannot be asked: {error}")))
}

/// Calls the handler for a request's path and method.
fn route(backend: &dyn JobsBackend, request: &Request) -> Result<Response, StateStoreError> {
    let path = request.path.split('?').next().unwrap_or("");
    let method = request.method.as_str();
    let Some(rest) = path.strip_prefix(JOBS_PATH) else {
        return Ok(Response::error(status::NOT_FOUND, "no such path"));
    };
    if rest.is_empty() || rest == "/" {
        return match method {
            "POST" => submission::submit(backend, &request.body),
            _ => Ok(Response::error(status::METHOD_NOT_ALLOWED, "only POST")),
        };
    }
    let rest = rest.trim_start_matches('/');
    match (rest.split_once('/'), method) {
        (None, "GET") => lookup::show(backend, rest),
        (None, _) => Ok(Response::error(status::METHOD_NOT_ALLOWED, "only GET")),
        (Some((id, "withdraw")), "POST") => cancellation::cancel(backend, id),
        (Some((_, "withdraw")), _) => Ok(Response::error(status::METHOD_NOT_ALLOWED, "only POST")),
        _ => Ok(Response::error(status::NOT_FOUND, "no such path")),
    }
}
