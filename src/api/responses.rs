//! Responses that several handlers share.

use crate::http::{status, Response};
use crate::wire::{JobStage, Stage};

/// `Retry-After` in seconds of responses to requests that could not be decided.
const RETRY_AFTER_S: u32 = 1;
/// Reason of a 503 response if the job's record changed while the request was handled.
pub(super) const TRY_AGAIN: &str = "try again";

/// The response with the stage of a job.
pub(super) fn stage_response(id: &str, stage: Stage) -> Response {
    Response::json(status::OK, &JobStage { id: id.to_string(), stage })
}

/// The response to a request about an id with which no job was ever accepted.
pub(super) fn no_such_job() -> Response {
    Response::error(status::NOT_FOUND, "no such job")
}

/// The response to any request about a live job whose record this version cannot read.
pub(super) fn record_unreadable() -> Response {
    retry_later("the job's record cannot be read by this version")
}

/// The response (503) to a request that could not be decided; the user should send it again.
pub(super) fn retry_later(reason: &str) -> Response {
    Response::error(status::SERVICE_UNAVAILABLE, reason).with_retry_after(RETRY_AFTER_S)
}
