//! HTTP status codes that the program sends, or receives from the state store and the workers.

/// Success.
pub const OK: u16 = 200;
/// Success: the request created a resource.
pub const CREATED: u16 = 201;
/// The body cannot be decoded, or contains a value that is not allowed.
pub const BAD_REQUEST: u16 = 400;
/// There is no resource at this path.
pub const NOT_FOUND: u16 = 404;
/// The resource at this path does not support the request's method.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// The request conflicts with the current state: a guard of a transaction does not match, or a command is
/// for another agent epoch.
pub const CONFLICT: u16 = 409;
/// The state store no longer has the requested revision, because it has compacted its history.
pub const GONE: u16 = 410;
/// The body is too large.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// Only the leader can handle the request, and this controller is not the leader.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// The body can be decoded, but its content can never be carried out, such as a job that no machine can run.
pub const UNPROCESSABLE_CONTENT: u16 = 422;
/// The client has exceeded a rate limit.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The headers are too long or too many.
pub const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// The request uses a feature of HTTP that the server does not support.
pub const NOT_IMPLEMENTED: u16 = 501;
/// The server cannot handle the request now. The client should send it again later or to another controller.
pub const SERVICE_UNAVAILABLE: u16 = 503;
