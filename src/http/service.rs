//! What the caller of the server provides: the request handler, the classification of requests and
//! the limits.

use std::sync::Arc;

use super::{Reply, Request};

/// The class of a request, which determines the connections and threads that the request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// A health check. The thread that reads it also handles it, without queueing.
    HealthCheck,
    /// A user's request. It is refused with `Retry-After` if too many interactive requests are queued.
    Interactive,
    /// A worker's heartbeat. There are many of them; they are queued without a limit on the queue's length.
    /// The worker sends a heartbeat again if it gets no response.
    Background,
}

/// Limits on the number of open connections and on the number of requests handled at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further connections are closed as soon as they are accepted.
    pub connections: usize,
    /// Maximum number of these connections that may carry background requests.
    pub background_connections: usize,
    /// Maximum number of threads that handle interactive requests at the same time.
    pub interactive_threads: usize,
    /// Maximum number of threads that handle background requests at the same time.
    pub background_threads: usize,
}

/// The functions that the server calls for each request.
#[derive(Clone)]
pub struct Service {
    /// Returns the class of a request.
    pub classify: fn(&Request) -> RequestClass,
    /// Handles a request. The reply may be sent later and from another thread.
    pub handler: Arc<dyn Fn(Request, Reply) + Send + Sync>,
}
