//! What the server serves: the handler, the classes of requests and the limits of each.

use std::sync::Arc;

use super::{Reply, Request};

/// The class of a request: which connections and threads it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Health checks: handled at once by the thread that reads them.
    HealthCheck,
    /// Users' requests: refused with `Retry-After` when too many wait.
    Interactive,
    /// Workers' heartbeats: many, queued without being refused, and sent again by the worker.
    Background,
}

/// How many connections may be open, and how many requests be handled, at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Most connections in all; those above are closed as they come.
    pub connections: usize,
    /// Most of these connections that carry background requests.
    pub background_connections: usize,
    /// Threads that handle interactive requests.
    pub interactive_threads: usize,
    /// Threads that handle background requests.
    pub background_threads: usize,
}

/// What the server calls for each request.
#[derive(Clone)]
pub struct Service {
    /// Tells the class of a request.
    pub classify: fn(&Request) -> RequestClass,
    /// Handles a request. The reply may be sent later and from another thread.
    pub handler: Arc<dyn Fn(Request, Reply) + Send + Sync>,
}
