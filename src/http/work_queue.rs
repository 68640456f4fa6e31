//! What the server's threads have to do next: requests that wait for a thread of their class, and
//! connections that have data to read.

use std::collections::VecDeque;

use super::connection::Connection;
use super::service::{RequestClass, ServerLimits};
use super::thread_pool::READER_THREADS;
use super::Request;
use crate::time::Steady;

/// Readable connections for each free thread above which another thread is started.
const MAX_READABLE_PER_FREE_THREAD: usize = 4;

/// A request that waits for a thread, or is being handled by one.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) connection: Connection,
    pub(super) class: RequestClass,
    pub(super) received_at: Steady,
}

/// What a thread does next.
pub(super) enum WorkItem {
    /// Read a connection that has data.
    Read(Connection),
    /// Handle a request; a thread of its class is taken already.
    Handle(PendingRequest),
}

/// What becomes of a request for now.
pub(super) enum Admission {
    /// A thread of its class is taken: it is to be handled now.
    Handle(PendingRequest),
    /// It waits for a thread.
    Queued,
    /// Too many wait already.
    Refused(PendingRequest),
}

/// The threads of one class of requests, and the requests that wait for one.
struct ClassQueue {
    pending: VecDeque<PendingRequest>,
    max_pending: usize,
    busy_threads: usize,
    max_threads: usize,
}

impl ClassQueue {
    fn new(max_threads: usize, max_pending: usize) -> ClassQueue {
        ClassQueue { pending: VecDeque::new(), max_pending, busy_threads: 0, max_threads }
    }

    /// Takes a thread for a new request, or queues the request.
    fn admit(&mut self, request: PendingRequest) -> Admission {
        if self.busy_threads < self.max_threads {
            self.busy_threads += 1;
            return Admission::Handle(request);
        }
        if self.pending.len() >= self.max_pending {
            return Admission::Refused(request);
        }
        self.pending.push_back(request);
        Admission::Queued
    }

    /// Takes a thread for the request that has waited longest, if both are there.
    fn start_next(&mut self) -> Option<PendingRequest> {
        if self.busy_threads >= self.max_threads {
            return None;
        }
        let request = self.pending.pop_front()?;
        self.busy_threads += 1;
        Some(request)
    }
}

/// All work of the server's threads, with the number of threads.
pub(super) struct WorkQueue {
    readable: VecDeque<Connection>,
    interactive: ClassQueue,
    background: ClassQueue,
    pub(super) threads: usize,
    pub(super) idle_threads: usize,
    max_threads: usize,
}

impl WorkQueue {
    /// An empty queue without threads.
    pub(super) fn new(limits: &ServerLimits) -> WorkQueue {
        let interactive_threads = limits.interactive_threads;
        // Users are told at once when to retry. Workers' requests are bounded by their connections.
        let interactive = ClassQueue::new(interactive_threads, interactive_threads);
        let background = ClassQueue::new(limits.background_threads, usize::MAX);
        WorkQueue {
            readable: VecDeque::new(),
            interactive,
            background,
            threads: 0,
            idle_threads: 0,
            max_threads: interactive_threads + limits.background_threads + READER_THREADS,
        }
    }

    /// Adds a connection that has data to read.
    pub(super) fn push_readable(&mut self, connection: Connection) {
        self.readable.push_back(connection);
    }

    /// Whether connections wait to be read.
    pub(super) fn has_readable(&self) -> bool {
        !self.readable.is_empty()
    }

    /// Takes the next work. Users come first, and workers' requests only after the connections that
    /// can be read, among which may be a health check.
    pub(super) fn next(&mut self) -> Option<WorkItem> {
        if let Some(request) = self.interactive.start_next() {
            return Some(WorkItem::Handle(request));
        }
        if let Some(connection) = self.readable.pop_front() {
            return Some(WorkItem::Read(connection));
        }
        self.background.start_next().map(WorkItem::Handle)
    }

    /// Takes a thread of its class for a request, or queues or refuses it.
    pub(super) fn admit(&mut self, request: PendingRequest) -> Admission {
        self.class_queue(request.class).admit(request)
    }

    /// Gives the thread back that handled a request of a class.
    pub(super) fn finish(&mut self, class: RequestClass) {
        self.class_queue(class).busy_threads -= 1;
    }

    /// Whether the readable connections call for one more thread. Threads that handle requests may
    /// be blocked and are not counted on; the others come to what is readable in time, and as all
    /// share one core a thread for each connection would gain nothing.
    pub(super) fn needs_thread(&self) -> bool {
        let busy_threads = self.interactive.busy_threads + self.background.busy_threads;
        let free_threads = self.threads.saturating_sub(busy_threads);
        self.readable.len() > MAX_READABLE_PER_FREE_THREAD * free_threads && self.threads < self.max_threads
    }

    fn class_queue(&mut self, class: RequestClass) -> &mut ClassQueue {
        match class {
            RequestClass::Background => &mut self.background,
            // Health checks are handled by the thread that reads them and never come here.
            RequestClass::Interactive | RequestClass::HealthCheck => &mut self.interactive,
        }
    }
}
