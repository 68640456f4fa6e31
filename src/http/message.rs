//! The server's requests and responses, and the encoding of a response.

use std::io::Write;

use super::status;

/// Memory that is reserved for a response's status line and headers, in bytes. They are usually shorter.
const HEAD_CAPACITY: usize = 160;

/// A request, as it is passed to the handler.
#[derive(Debug)]
pub struct Request {
    /// Method, as the client sent it; usually in upper case.
    pub method: String,
    /// Path with its query string.
    pub path: String,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
}

/// A response to a request.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, encoded as JSON.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds. With `None`, the header is left out.
    pub retry_after: Option<u32>,
}

impl Response {
    /// Creates a response with a JSON body, which is `{}` if the value cannot be encoded.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Response {
        let body = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
        Response { status, body, retry_after: None }
    }

    /// Creates an error response with the body `{"error": reason}`. Line breaks in the reason become spaces.
    pub fn error(status: u16, reason: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": reason.replace('\n', " ") }))
    }

    /// Adds a `Retry-After` header with this number of seconds.
    pub fn with_retry_after(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }

    /// Encodes the response as it is sent. With `close`, it has the header `Connection: close`, because the
    /// server closes the connection next.
    pub(super) fn encode(&self, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD_CAPACITY + self.body.len());
        // Writing to a vector does not fail.
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
