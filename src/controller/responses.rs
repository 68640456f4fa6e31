//! Responses that the controller's modules share.

use crate::http::{status, Response};
use crate::wire::Redirect;

/// The response to a request that cannot be answered now, or not here.
pub(super) fn unavailable(reason: &str) -> Response {
    Response::error(status::SERVICE_UNAVAILABLE, reason)
}

/// The response to a heartbeat that only the leader can answer.
pub(super) fn not_the_leader() -> Response {
    unavailable("not the owner")
}

/// The response that names the leader, to which the request is to be sent instead; its label is empty if
/// none is known.
pub(super) fn redirect(leader: String) -> Response {
    Response::json(status::MISDIRECTED_REQUEST, &Redirect { leader })
}
