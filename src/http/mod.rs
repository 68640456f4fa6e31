//! HTTP/1.1 over blocking sockets: a server and a client that keeps its connections. Parsing is
//! `httparse`'s.

mod client;
mod server;

use std::io::Write;

pub use client::{CallError, Client};
pub use server::{serve, Lane, Reply, Room, Service, READERS};

/// Largest request body.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEADERS: usize = 48;

/// A request as a handler sees it.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, JSON.
    pub body: Vec<u8>,
    /// `Retry-After` in seconds, where given.
    pub retry_after: Option<u32>,
}

impl Response {
    /// A response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Response {
        let body = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
        Response { status, body, retry_after: None }
    }

    /// A refusal with a one-line reason.
    pub fn error(status: u16, why: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": why.replace('\n', " ") }))
    }

    /// The same, asking to come back after some seconds.
    pub fn later(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }

    /// The response as it goes over the wire.
    fn bytes(&self, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(160 + self.body.len());
        // Writing to memory does not fail.
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason(self.status),
            self.body.len()
        );
        if let Some(s) = self.retry_after {
            let _ = write!(out, "Retry-After: {s}\r\n");
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
