//! Requests and responses as handlers see them, and how a response is encoded.

use std::io::Write;

use super::status;

/// Bytes of a response's status line and headers, with room to spare.
const HEAD_CAPACITY: usize = 160;

/// A request as a handler sees it.
#[derive(Debug)]
pub struct Request {
    /// Method, in upper case as sent.
    pub method: String,
    /// Path with its query string.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
}

/// A response to a request.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, as JSON.
    pub body: Vec<u8>,
    /// Seconds for the `Retry-After` header; `None` leaves the header out.
    pub retry_after: Option<u32>,
}

impl Response {
    /// A response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Response {
        let body = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
        Response { status, body, retry_after: None }
    }

    /// An error response, `{"error": reason}`, with the reason on one line.
    pub fn error(status: u16, reason: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": reason.replace('\n', " ") }))
    }

    /// The same response with a `Retry-After` header of so many seconds.
    pub fn with_retry_after(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }

    /// The response as it goes over the wire; with `Connection: close` if the server closes next.
    pub(super) fn encode(&self, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD_CAPACITY + self.body.len());
        // Writing to memory does not fail.
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        if let Some(seconds) = self.retry_after {
            let _ = write!(out, "Retry-After: {seconds}\r\n");
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

fn reason_phrase(code: u16) -> &'static str {
    match code {
        status::OK => "OK",
        status::CREATED => "Created",
        status::BAD_REQUEST => "Bad Request",
        status::NOT_FOUND => "Not Found",
        status::METHOD_NOT_ALLOWED => "Method Not Allowed",
        status::CONTENT_TOO_LARGE => "Content Too Large",
        status::MISDIRECTED_REQUEST => "Misdirected Request",
        status::UNPROCESSABLE_CONTENT => "Unprocessable Content",
        status::TOO_MANY_REQUESTS => "Too Many Requests",
        status::REQUEST_HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        status::NOT_IMPLEMENTED => "Not Implemented",
        status::SERVICE_UNAVAILABLE => "Service Unavailable",
        _ => "Other",
    }
}
