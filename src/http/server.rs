//! The server's poll loop. One thread waits until any of the open connections has data; a bounded
//! pool of others reads it and handles the requests. So an idle connection costs a socket and no
//! thread: one controller may have to serve every worker, and the platform bounds a process's
//! threads well below that.
//!
//! Requests are divided into classes with connections and threads of their own, so that a storm of
//! workers after a network partition neither fails health checks nor shuts users out.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};

use super::connection::{Connection, ConnectionCounter};
use super::service::{ServerLimits, Service};
use super::thread_pool::ThreadPool;
use crate::time::{steady, Micros};

/// The listener's name in the poll loop; connections have the numbers above it.
const LISTENER: Token = Token(0);
/// Readiness events taken at once.
const EVENT_CAPACITY: usize = 256;
/// Longest wait for events, so that `stop` and time-outs are noticed.
const POLL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The same while connections could not be accepted for want of sockets.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How often connections are checked for time-outs.
const TIMEOUT_CHECK_INTERVAL: Micros = Micros::from_millis(5000);

/// Serves connections until `stop` is set.
///
/// # Errors
///
/// If the listener cannot be polled; single connections that fail are closed.
pub fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    stop: Arc<AtomicBool>,
    service: Service,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(EVENT_CAPACITY);
    poll.registry().register(&mut SourceFd(&listener.as_raw_fd()), LISTENER, Interest::READABLE)?;
    let pool = Arc::new(ThreadPool::new(limits, service, poll.registry().try_clone()?, stop.clone()));
    let mut acceptor = Acceptor::new(listener, limits.connections, pool.clone());
    let mut last_timeout_check = steady();
    while !stop.load(Ordering::Relaxed) {
        let timeout = if acceptor.out_of_sockets { ACCEPT_RETRY_INTERVAL } else { POLL_TIMEOUT };
        match poll.poll(&mut events, Some(timeout)) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        }
        for connection in pool.waiting.take_readable(&events) {
            pool.push_readable(connection);
        }
        if acceptor.out_of_sockets || events.iter().any(|event| event.token() == LISTENER) {
            acceptor.accept_all();
        }
        let now = steady();
        if now - last_timeout_check > TIMEOUT_CHECK_INTERVAL {
            last_timeout_check = now;
            pool.waiting.close_timed_out(now);
        }
    }
    pool.wake_all();
    Ok(())
}

/// Accepts connections and hands them to the pool.
struct Acceptor {
    listener: TcpListener,
    max_connections: usize,
    open_connections: ConnectionCounter,
    last_token: Token,
    /// The last accept failed, most likely for want of sockets: to be tried again soon.
    out_of_sockets: bool,
    pool: Arc<ThreadPool>,
}

impl Acceptor {
    fn new(listener: TcpListener, max_connections: usize, pool: Arc<ThreadPool>) -> Acceptor {
        Acceptor {
            listener,
            max_connections,
            open_connections: ConnectionCounter::default(),
            last_token: LISTENER,
            out_of_sockets: false,
            pool,
        }
    }

    /// Accepts all connections that wait; those above the limit are closed.
    fn accept_all(&mut self) {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue
                }
                Err(e) => {
                    self.out_of_sockets = e.kind() != ErrorKind::WouldBlock;
                    return;
                }
            };
            if self.open_connections.count() >= self.max_connections {
                continue;
            }
            self.last_token.0 += 1;
            if let Ok(connection) = Connection::new(stream, self.last_token, self.open_connections.add()) {
                self.pool.waiting.insert(connection);
            }
        }
    }
}
