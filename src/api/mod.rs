//! The users' interface (`/api/jobs`): submission, status and cancellation of jobs.
//!
//! Every response is based on a read of the state store that began after the request arrived, or on a
//! final record that is known to be written. If neither is available, the response is 503. A user therefore
//! never receives an older state of a job than an earlier response has shown, whichever controller answers.
//!
//! This module does not depend on the controller type. It uses the trait [`JobsBackend`], which the
//! controller implements, so the handlers can be read and tested without the controller's threads and lock.

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

/// Path prefix of the users' interface.
const JOBS_PATH: &str = "/api/jobs";

/// The final record of a job, with the revision of the state store that wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredFinal {
    /// The job's last stage and its number of tasks.
    pub record: FinalRecord,
    /// The revision of the transaction that wrote the record and ended the job.
    pub revision: u64,
}

/// The services that the users' interface needs from the controller.
pub trait JobsBackend {
    /// The settings of this controller.
    fn config(&self) -> &Config;
    /// The client for requests to the state store.
    fn state(&self) -> &StateStoreClient;
    /// The ids of the live jobs, for status requests.
    fn live_jobs(&self) -> &LiveJobs;
    /// A job's final record, if this controller has cached it.
    fn cached_final_record(&self, id: &str) -> Option<StoredFinal>;
    /// Caches a final record that was read from the state store. Final records never change.
    fn cache_final_record(&self, id: &str, ended: StoredFinal);
    /// Logs that the record under a key cannot be read. If this controller leads, its status lists it as
    /// unreadable.
    fn report_unreadable_record(&self, key: &str, error: &dyn std::fmt::Display);
    /// Numbers of done and running tasks of a live job, for display; they may lag behind.
    fn task_counts(&self, id: &str) -> JobProgress;
    /// The machine types of the catalog; `None` until they are known. Without them it cannot be decided
    /// whether a new job can run.
    fn machine_types(&self) -> Option<Vec<MachineType>>;
    /// Notifies the leader of a job record that this controller has written. If this controller leads,
    /// updates its own model.
    fn announce_job_record(&self, id: &str, record: JobRecord, revision: u64);
    /// Notifies all controllers of a cancellation that this controller confirms to a user, so that the leader
    /// stops the job's remaining tasks.
    fn announce_cancellation(&self, id: &str, cancelled: StoredFinal);
    /// Relays a request that this controller cannot answer to the other controllers, one after another.
    /// Returns `None` if none of them can answer it.
    fn relay_to_any(&self, request: &Request) -> Option<Response>;
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A user, a worker or the load balancer, through the HTTP server.
    Http,
    /// Another controller, which has relayed the request. The request is not relayed again.
    Peer,
}

/// Answers a user's request. If the state store cannot be used from here, relays the request to another
/// controller, which may be able to reach the state store.
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
        .unwrap_or_else(|| responses::retry_later(&format!("the request to the state store failed: {error}")))
}

/// Calls the handler for a request's path and method. Unknown paths and methods get 404 and 405.
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
