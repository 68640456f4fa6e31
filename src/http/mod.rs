//! HTTP/1.1 over blocking sockets: a server with a bounded thread pool, and a client that keeps its
//! connections open for later requests. The `httparse` crate parses the heads of requests and responses.

mod client;
mod connection;
mod message;
mod request_parser;
mod response_parser;
mod server;
mod service;
pub mod status;
mod thread_pool;
mod waiting_connections;
mod work_queue;

use std::sync::{Mutex, MutexGuard};

pub use client::{CallError, Client, ClientResponse};
pub use message::{Request, Response};
pub use server::serve;
pub use service::{RequestClass, ServerLimits, Service};
pub use thread_pool::{Reply, READER_THREADS};

/// Maximum size of a request body that the server accepts, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum number of headers in a request or a response.
const MAX_HEADERS: usize = 48;

/// Returns a header's value without surrounding whitespace, or an empty string if it is not valid UTF-8.
fn header_text<'a>(header: &httparse::Header<'a>) -> &'a str {
    std::str::from_utf8(header.value).unwrap_or("").trim()
}

/// Locks a mutex, even if a thread has panicked while it had the lock. A panic in a request handler must
/// not make the server's other threads panic as well.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
