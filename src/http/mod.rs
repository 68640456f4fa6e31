//! HTTP/1.1 over blocking sockets: a server with a bounded thread pool and a client that keeps its
//! connections alive. Heads are parsed by `httparse`.

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

/// Largest request body that the server accepts, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Most headers in a request or a response.
const MAX_HEADERS: usize = 48;

/// A header's value as text without surrounding blanks; empty if it is not UTF-8.
fn header_text<'a>(header: &httparse::Header<'a>) -> &'a str {
    std::str::from_utf8(header.value).unwrap_or("").trim()
}

/// Locks a mutex even if a thread panicked while it held it: a panic in a handler must not end the
/// other threads.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
