//! The server's threads: they read the connections that have data and handle the requests, by
//! blocking calls with a deadline. Threads are started on demand up to a bound.

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

/// Threads beside those of the request classes: they read requests and answer health checks
/// whatever the others are busy with.
pub const READER_THREADS: usize = 4;
/// Requests that waited longer than this for a thread are dropped: the client has given up.
const QUEUE_TIMEOUT: Micros = Micros(4_000_000);
/// Threads that stay although there is nothing to do.
const MIN_THREADS: usize = 4;
/// A thread above `MIN_THREADS` ends after so long without work.
const IDLE_THREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack of a thread, in bytes.
const THREAD_STACK: usize = 256 * 1024;
/// `Retry-After` of a request that is refused because too many wait, in seconds.
const OVERLOAD_RETRY_AFTER_S: u32 = 1;

/// Answers one request, from any thread. Dropped without a response it closes the connection.
pub struct Reply {
    connection: Connection,
    pool: Arc<ThreadPool>,
}

impl Reply {
    /// Sends the response. The connection then waits for its next request.
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

/// The server's threads and what they share.
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
    /// A pool without threads. Connections wait in the poll loop of the registry.
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

    /// Has a thread read a connection that has data.
    pub(super) fn push_readable(self: &Arc<Self>, connection: Connection) {
        let mut queue = lock(&self.queue);
        queue.push_readable(connection);
        self.wake_thread(queue);
    }

    /// Wakes all idle threads, so that they notice that the server stops.
    pub(super) fn wake_all(&self) {
        self.work_available.notify_all();
    }

    /// Has a thread look at the readable connections: a new one if the others are too few.
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

    /// Starts a thread that is counted already.
    fn start_thread(self: &Arc<Self>) {
        let pool = self.clone();
        let started = std::thread::Builder::new()
            .name("answer".into())
            .stack_size(THREAD_STACK)
            .spawn(move || pool.run_thread());
        if let Err(e) = started {
            // The threads that exist do its share.
            tracing::info!(error = %e, "no thread more to answer");
            lock(&self.queue).threads -= 1;
        }
    }

    /// One thread: works until the server stops, or until it is one too many.
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

    /// Handles a request for which a thread of its class is taken, and gives that thread back.
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

    /// Reads a connection that has data, and admits its request if that is complete.
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

    /// Handles a request now if it is a health check or a thread of its class is free; else queues
    /// or refuses it.
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
                // The handler may block this thread: another one has to look at what is readable.
                self.wake_thread(queue);
                self.handle(pending);
            }
            Admission::Queued => {}
            Admission::Refused(pending) => {
                drop(queue);
                let response = Response::error(status::SERVICE_UNAVAILABLE, "too many requests at once");
                let reply = Reply { connection: pending.connection, pool: self.clone() };
                reply.send(&response.with_retry_after(OVERLOAD_RETRY_AFTER_S));
            }
        }
    }

    /// Counts a connection as one of its request's class. If there are too many background
    /// connections it is refused and closed.
    fn count_connection(&self, mut connection: Connection, class: RequestClass) -> Option<Connection> {
        if class != RequestClass::Background {
            connection.background_guard = None;
            return Some(connection);
        }
        if connection.background_guard.is_none() {
            let guard = self.background_connections.add();
            if self.background_connections.count() > self.limits.background_connections {
                connection.respond_and_close(&Response::error(503, "no room for more workers"));
                return None;
            }
            connection.background_guard = Some(guard);
        }
        Some(connection)
    }
}
