//! The server's poll loop. One thread waits until any open connection has data to read. A bounded pool of
//! other threads reads the data and handles the requests. An idle connection therefore needs a socket but
//! no thread. This matters because one controller may have to serve every worker, and the platform limits
//! the number of threads of a process to far fewer than there are workers.
//!
//! Requests are divided into classes, each with its own limits on connections and threads. When many
//! workers reconnect at once after a network partition, health checks still succeed and users' requests
//! are still served.

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

/// Token of the listening socket in the poll loop. Connections have the tokens above it.
const LISTENER: Token = Token(0);
/// Maximum number of readiness events that one poll returns.
const EVENT_CAPACITY: usize = 256;
/// Maximum duration of one poll. It bounds the delay until `stop` and connection timeouts are noticed.
const POLL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum duration of one poll after accepting a connection has failed, most likely because the process
/// has no sockets left. Accepting is tried again after each poll.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between two checks for connections that have timed out.
const TIMEOUT_CHECK_INTERVAL: Micros = Micros::from_millis(5000);

/// Serves connections until `stop` is set.
///
/// # Errors
///
/// Returns an error if the listening socket cannot be polled. A failure of a single connection only closes
/// that connection.
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

/// Accepts connections and passes them to the thread pool.
struct Acceptor {
    listener: TcpListener,
    max_connections: usize,
    open_connections: ConnectionCounter,
    last_token: Token,
    /// Whether the last accept failed, most likely because the process has no sockets left. It is tried
    /// again after [`ACCEPT_RETRY_INTERVAL`].
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

    /// Accepts all pending connections. Connections above the limit are closed at once.
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
