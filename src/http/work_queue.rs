//! The work of the server's threads: requests that wait for a thread of their class, and connections that
//! have data to read.

use std::collections::VecDeque;

use super::connection::Connection;
use super::service::{RequestClass, ServerLimits};
use super::thread_pool::READER_THREADS;
use super::Request;
use crate::time::Steady;

/// Maximum number of readable connections per free thread. Above it, another thread is started.
const MAX_READABLE_PER_FREE_THREAD: usize = 4;

/// A request that waits for a thread or is being handled by a thread.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) connection: Connection,
    pub(super) class: RequestClass,
    pub(super) received_at: Steady,
}

/// The next piece of work for a thread.
pub(super) enum WorkItem {
    /// Read from a connection that has data.
    Read(Connection),
    /// Handle a request. It is already counted in its class's busy threads.
    Handle(PendingRequest),
}

/// The result of admitting a request.
pub(super) enum Admission {
    /// The caller has to handle the request now. It is already counted in its class's busy threads.
    Handle(PendingRequest),
    /// The request waits in the queue for a thread.
    Queued,
    /// The request is refused, because too many requests of its class are queued.
    Refused(PendingRequest),
}

/// The number of busy threads of one request class, and the requests that wait for a thread.
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

    /// Counts a thread as busy for a new request if the class has a free one. Otherwise queues the request,
    /// or refuses it if the queue is full.
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

    /// Removes the request that has waited longest from the queue and counts a thread as busy for it. Returns
    /// `None` if the queue is empty or all threads of the class are busy.
    fn start_next(&mut self) -> Option<PendingRequest> {
        if self.busy_threads >= self.max_threads {
            return None;
        }
        let request = self.pending.pop_front()?;
        self.busy_threads += 1;
        Some(request)
    }
}

/// The queued work of the server's threads, and the number of threads.
pub(super) struct WorkQueue {
    readable: VecDeque<Connection>,
    interactive: ClassQueue,
    background: ClassQueue,
    pub(super) threads: usize,
    pub(super) idle_threads: usize,
    max_threads: usize,
}

impl WorkQueue {
    /// Creates an empty queue. The number of threads is 0.
    pub(super) fn new(limits: &ServerLimits) -> WorkQueue {
        let interactive_threads = limits.interactive_threads;
        // Interactive requests above the limit are refused at once with `Retry-After`. The background queue
        // needs no limit, because the number of background connections is limited.
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

    /// Returns whether there are connections to read from.
    pub(super) fn has_readable(&self) -> bool {
        !self.readable.is_empty()
    }

    /// Removes the next piece of work from the queue. Interactive requests come first. Background requests
    /// come after the readable connections, because one of those may have received a health check.
    pub(super) fn next(&mut self) -> Option<WorkItem> {
        if let Some(request) = self.interactive.start_next() {
            return Some(WorkItem::Handle(request));
        }
        if let Some(connection) = self.readable.pop_front() {
            return Some(WorkItem::Read(connection));
        }
        self.background.start_next().map(WorkItem::Handle)
    }

    /// Decides whether to handle a new request now, to queue it or to refuse it.
    pub(super) fn admit(&mut self, request: PendingRequest) -> Admission {
        self.class_queue(request.class).admit(request)
    }

    /// Counts the thread that has handled a request of this class as free again.
    pub(super) fn finish(&mut self, class: RequestClass) {
        self.class_queue(class).busy_threads -= 1;
    }

    /// Returns whether another thread is needed to read the readable connections. Threads that handle
    /// requests may be blocked, so they do not count as free. A free thread reads several connections in
    /// turn: all threads share one core, so a thread for each connection would not be faster.
    pub(super) fn needs_thread(&self) -> bool {
        let busy_threads = self.interactive.busy_threads + self.background.busy_threads;
        let free_threads = self.threads.saturating_sub(busy_threads);
        self.readable.len() > MAX_READABLE_PER_FREE_THREAD * free_threads && self.threads < self.max_threads
    }

    fn class_queue(&mut self, class: RequestClass) -> &mut ClassQueue {
        match class {
            RequestClass::Background => &mut self.background,
            // Health checks are never queued: the thread that reads them handles them.
            RequestClass::Interactive | RequestClass::HealthCheck => &mut self.interactive,
        }
    }
}
