//! Responses that the controller's modules share.

use crate::http::{status, Response};
use crate::wire::Redirect;

/// The response to a request that this controller cannot answer at present.
pub(super) fn unavailable(reason: &str) -> Response {
    Response::error(status::SERVICE_UNAVAILABLE, reason)
}

/// The response to a heartbeat that only the leader can answer.
pub(super) fn not_the_leader() -> Response {
    unavailable("this controller is not the leader")
}

/// The response that names the leader, to which the sender is to send the request instead. The label `leader`
/// is empty if no leader is known.
pub(super) fn redirect(leader: String) -> Response {
    Response::json(status::MISDIRECTED_REQUEST, &Redirect { leader })
}
