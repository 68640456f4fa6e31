//! Responses that several handlers share.

use crate::http::{status, Response};
use crate::wire::{JobStage, Stage};

/// Seconds a user is asked to wait before retrying a request that could not be decided.
const RETRY_AFTER_S: u32 = 1;
/// Reason given when the job's record changed meanwhile.
pub(super) const TRY_AGAIN: &str = "try again";

/// The stage of a job that was cancelled or has ended.
pub(super) fn stage_response(id: &str, stage: Stage) -> Response {
    Response::json(status::OK, &JobStage { id: id.to_string(), stage })
}

/// The response for an id of which no job was ever accepted.
pub(super) fn no_such_job() -> Response {
    Response::error(status::NOT_FOUND, "no such job")
}

/// The response to any request about a job whose record cannot be read.
pub(super) fn record_unreadable() -> Response {
    retry_later("the job's record cannot be read by this version")
}

/// The response to a request that could not be decided and is to be sent again.
pub(super) fn retry_later(reason: &str) -> Response {
    Response::error(status::SERVICE_UNAVAILABLE, reason).with_retry_after(RETRY_AFTER_S)
}
