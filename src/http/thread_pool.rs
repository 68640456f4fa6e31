//! The server's threads. They read from the connections that have data and handle the requests, with
//! blocking calls that have a timeout. Threads are started on demand, up to a limit.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use mio::Registry;

use super::connection::{Connection, ConnectionCounter};
use super::service::{RequestClass, ServerLimits, Service};
use super::waiting_connections::WaitingConnections;
use super::work_queue::{Admission, PendingRequest, WorkItem, WorkQueue};
use super::{lock, status, Request, Response};
use crate::time::{steady, Micros};

/// Number of threads in addition to the threads of the request classes. With them, requests are read and
/// health checks are handled even if all threads of the request classes are busy.
pub const READER_THREADS: usize = 4;
/// Maximum time that a request waits for a thread. After that it is dropped, as its client has given up.
const QUEUE_TIMEOUT: Micros = Micros(4_000_000);
/// Number of threads that are kept even if they have no work.
const MIN_THREADS: usize = 4;
/// If there are more than [`MIN_THREADS`] threads, a thread ends after this time without work.
const IDLE_THREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of a thread, in bytes.
const THREAD_STACK: usize = 256 * 1024;
/// `Retry-After` of a request that is refused because too many requests are queued, in seconds.
const OVERLOAD_RETRY_AFTER_S: u32 = 1;

/// Sends the response to one request, from any thread. Dropping it without a response closes the connection.
pub struct Reply {
    connection: Connection,
    pool: Arc<ThreadPool>,
}

impl Reply {
    /// Sends the response. Afterwards the connection waits for its next request, or is closed if the client
    /// asked for that or the response could not be sent.
    pub fn send(self, response: &Response) {
        let Reply { mut connection, pool } = self;
        if !connection.respond(response) {
            return;
        }
        if connection.has_buffered_data() {
            pool.push_readable(connection);
        } else {
            pool.waiting.insert(connection);
        }
    }
}

/// The server's threads and the state that they share.
pub(super) struct ThreadPool {
    limits: ServerLimits,
    service: Service,
    pub(super) waiting: WaitingConnections,
    queue: Mutex<WorkQueue>,
    work_available: Condvar,
    background_connections: ConnectionCounter,
    stop: Arc<AtomicBool>,
}

impl ThreadPool {
    /// Creates a pool without threads. Waiting connections are registered with `registry`.
    pub(super) fn new(
        limits: ServerLimits,
        service: Service,
        registry: Registry,
        stop: Arc<AtomicBool>,
    ) -> ThreadPool {
        ThreadPool {
            limits,
            service,
            waiting: WaitingConnections::new(registry),
            queue: Mutex::new(WorkQueue::new(&limits)),
            work_available: Condvar::new(),
            background_connections: ConnectionCounter::default(),
            stop,
        }
    }

    /// Queues a connection that has data, to be read by one of the threads.
    pub(super) fn push_readable(self: &Arc<Self>, connection: Connection) {
        let mut queue = lock(&self.queue);
        queue.push_readable(connection);
        self.wake_thread(queue);
    }

    /// Wakes all idle threads, so that they notice that the server is stopping.
    pub(super) fn wake_all(&self) {
        self.work_available.notify_all();
    }

    /// Makes sure that a thread reads the readable connections. Starts another thread if there are too few,
    /// and otherwise wakes an idle one.
    fn wake_thread(self: &Arc<Self>, mut queue: MutexGuard<'_, WorkQueue>) {
        if queue.needs_thread() {
            queue.threads += 1;
            drop(queue);
            self.start_thread();
        } else if queue.idle_threads > 0 && queue.has_readable() {
            drop(queue);
            self.work_available.notify_one();
        }
    }

    /// Starts a thread. The caller has already added it to `WorkQueue::threads`.
    fn start_thread(self: &Arc<Self>) {
        let pool = self.clone();
        let started = std::thread::Builder::new()
            .name("answer".into())
            .stack_size(THREAD_STACK)
            .spawn(move || pool.run_thread());
        if let Err(e) = started {
            // The existing threads do the work instead.
            tracing::info!(error = %e, "cannot start another HTTP server thread");
            lock(&self.queue).threads -= 1;
        }
    }

    /// Main loop of a thread. It ends when the server stops, or when the thread has been idle for
    /// [`IDLE_THREAD_TIMEOUT`] and there are more than [`MIN_THREADS`] threads.
    fn run_thread(self: Arc<Self>) {
        let mut queue = lock(&self.queue);
        let mut timed_out = false;
        while !self.stop.load(Ordering::Relaxed) {
            if let Some(item) = queue.next() {
                timed_out = false;
                self.wake_thread(queue);
                match item {
                    WorkItem::Handle(pending) => self.handle(pending),
                    WorkItem::Read(connection) => self.read(connection),
                }
                queue = lock(&self.queue);
                continue;
            }
            if timed_out && queue.threads > MIN_THREADS {
                break;
            }
            queue.idle_threads += 1;
            let waited = self.work_available.wait_timeout(queue, IDLE_THREAD_TIMEOUT);
            let (guard, result) = waited.unwrap_or_else(|poisoned| poisoned.into_inner());
            queue = guard;
            queue.idle_threads -= 1;
            timed_out = result.timed_out();
        }
        queue.threads -= 1;
    }

    /// Handles a request that is already counted in its class's busy threads, and then removes it from that
    /// count.
    fn handle(self: &Arc<Self>, pending: PendingRequest) {
        let class = pending.class;
        if steady() - pending.received_at < QUEUE_TIMEOUT {
            self.call_handler(pending.request, pending.connection);
        }
        lock(&self.queue).finish(class);
    }

    fn call_handler(self: &Arc<Self>, request: Request, connection: Connection) {
        let reply = Reply { connection, pool: self.clone() };
        (self.service.handler)(request, reply);
    }

    /// Reads from a connection that has data, and passes on the request if it is complete.
    fn read(self: &Arc<Self>, mut connection: Connection) {
        if !connection.fill_buffer() {
            return;
        }
        if !connection.has_buffered_data() {
            return self.waiting.insert(connection);
        }
        match connection.take_request() {
            Ok(Some(request)) => self.receive(request, connection),
            Ok(None) => self.waiting.insert(connection),
            Err(error) => connection.respond_and_close(&error.response()),
        }
    }

    /// Handles a request on this thread if it is a health check, or if its class has fewer busy threads than
    /// its limit. Otherwise queues or refuses the request.
    fn receive(self: &Arc<Self>, request: Request, connection: Connection) {
        let class = (self.service.classify)(&request);
        if class == RequestClass::HealthCheck {
            return self.call_handler(request, connection);
        }
        let Some(connection) = self.count_connection(connection, class) else { return };
        let pending = PendingRequest { request, connection, class, received_at: steady() };
        let mut queue = lock(&self.queue);
        match queue.admit(pending) {
            Admission::Handle(pending) => {
                // The handler may block this thread, so another thread has to read the readable connections.
                self.wake_thread(queue);
                self.handle(pending);
            }
            Admission::Queued => {}
            Admission::Refused(pending) => {
                drop(queue);
                let response = Response::error(status::SERVICE_UNAVAILABLE, "too many requests are waiting");
                let reply = Reply { connection: pending.connection, pool: self.clone() };
                reply.send(&response.with_retry_after(OVERLOAD_RETRY_AFTER_S));
            }
        }
    }

    /// Adds the connection to the count of background connections, or removes it from the count, depending
    /// on the class of its latest request. If there are too many background connections, sends an error
    /// response, closes the connection and returns `None`.
    fn count_connection(&self, mut connection: Connection, class: RequestClass) -> Option<Connection> {
        if class != RequestClass::Background {
            connection.background_guard = None;
            return Some(connection);
        }
        if connection.background_guard.is_none() {
            let guard = self.background_connections.add();
            if self.background_connections.count() > self.limits.background_connections {
                connection.respond_and_close(&Response::error(503, "too many connections from workers"));
                return None;
            }
            connection.background_guard = Some(guard);
        }
        Some(connection)
    }
}
