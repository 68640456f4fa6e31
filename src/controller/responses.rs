//! HTTP status codes and responses that the controller's modules share.

use crate::http::Response;
use crate::wire::Redirect;

/// Success.
pub(super) const OK: u16 = 200;
/// The body cannot be decoded.
pub(super) const BAD_REQUEST: u16 = 400;
/// The path names nothing that is known.
pub(super) const NOT_FOUND: u16 = 404;
/// The path takes another method.
pub(super) const METHOD_NOT_ALLOWED: u16 = 405;
/// The body is too large.
pub(super) const CONTENT_TOO_LARGE: u16 = 413;
/// Another controller is to be asked: the leader.
pub(super) const MISDIRECTED: u16 = 421;
/// Not now, or not here: the request is to be sent again.
pub(super) const UNAVAILABLE: u16 = 503;

/// The response to a request that cannot be answered now, or not here.
pub(super) fn unavailable(reason: &str) -> Response {
    Response::error(UNAVAILABLE, reason)
}

/// The response to a heartbeat that only the leader can answer.
pub(super) fn not_the_leader() -> Response {
    unavailable("not the owner")
}

/// The response that names the leader to be asked instead; its label is empty if none is known.
pub(super) fn redirect(leader: String) -> Response {
    Response::json(MISDIRECTED, &Redirect { leader })
}
