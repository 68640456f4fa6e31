//! HTTP status codes that the program sends, or receives from the state store and the workers.

/// Success.
pub const OK: u16 = 200;
/// Success: something was created.
pub const CREATED: u16 = 201;
/// The body cannot be decoded, or holds what is not allowed.
pub const BAD_REQUEST: u16 = 400;
/// The path names nothing that is known.
pub const NOT_FOUND: u16 = 404;
/// The path takes another method.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// The request does not fit the present state: a guard of a transaction does not hold, or a command
/// is for another agent epoch.
pub const CONFLICT: u16 = 409;
/// No longer there: the state store has compacted the revision away.
pub const GONE: u16 = 410;
/// The body is too large.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The request belongs to another controller: the leader.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// The body can be decoded, but what it describes can never be done.
pub const UNPROCESSABLE_CONTENT: u16 = 422;
/// Over a rate limit.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The headers are too long or too many.
pub const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// The request uses a part of HTTP that is not served.
pub const NOT_IMPLEMENTED: u16 = 501;
/// Not now, or not here: the request is to be sent again.
pub const SERVICE_UNAVAILABLE: u16 = 503;
