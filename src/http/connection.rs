//! One open connection of the server, and the counters of open connections.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};

use super::request_parser::{RequestError, RequestHead};
use super::{Request, Response};
use crate::time::{steady, Micros, Steady};

/// How long a connection that has sent a request before may stay idle.
const KEEP_ALIVE_TIMEOUT: Micros = Micros(90_000_000);
/// How long a new connection may take until its first request.
const FIRST_REQUEST_TIMEOUT: Micros = Micros(30_000_000);
/// How long a request may take from its first byte to its last.
const REQUEST_READ_TIMEOUT: Micros = Micros(10_000_000);
/// Time-out of a single read. Reads are made only when data is ready, so this bounds the wait after
/// a spurious readiness event.
const SOCKET_READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Time-out of a single write.
const SOCKET_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that a single read takes at the most.
const READ_CHUNK: usize = 16 * 1024;

/// Number of open connections of one kind.
#[derive(Clone, Default)]
pub(super) struct ConnectionCounter(Arc<AtomicUsize>);

impl ConnectionCounter {
    /// Counts one more connection until the guard is dropped.
    pub(super) fn add(&self) -> ConnectionCountGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        ConnectionCountGuard(self.clone())
    }

    /// The connections that are open now.
    pub(super) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts an open connection until it is dropped.
pub(super) struct ConnectionCountGuard(ConnectionCounter);

impl Drop for ConnectionCountGuard {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open connection with the bytes that were read and not yet used.
pub(super) struct Connection {
    stream: TcpStream,
    /// Its name in the poll loop.
    token: Token,
    /// Whether the poll loop knows the socket already.
    registered: bool,
    /// Guard of the count of background connections, if it is one of them.
    pub(super) background_guard: Option<ConnectionCountGuard>,
    buffer: Vec<u8>,
    idle_since: Steady,
    /// When the first bytes of the request that is being read came.
    request_started: Option<Steady>,
    /// Close after the response.
    close: bool,
    /// `100 Continue` was sent for the request that is being read.
    continue_sent: bool,
    has_sent_request: bool,
    _open_guard: ConnectionCountGuard,
}

impl Connection {
    /// Prepares an accepted socket.
    pub(super) fn new(
        stream: TcpStream,
        token: Token,
        open_guard: ConnectionCountGuard,
    ) -> std::io::Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(SOCKET_READ_TIMEOUT))?;
        stream.set_write_timeout(Some(SOCKET_WRITE_TIMEOUT))?;
        Ok(Connection {
            stream,
            token,
            registered: false,
            background_guard: None,
            buffer: Vec::new(),
            idle_since: steady(),
            request_started: None,
            close: false,
            continue_sent: false,
            has_sent_request: false,
            _open_guard: open_guard,
        })
    }

    /// Its name in the poll loop.
    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Has the poll loop report when data can be read.
    pub(super) fn register(&mut self, registry: &Registry) -> std::io::Result<()> {
        let descriptor = self.stream.as_raw_fd();
        let was_registered = std::mem::replace(&mut self.registered, true);
        // Events are edge-triggered; registering again reports data that came in the meantime.
        if was_registered {
            registry.reregister(&mut SourceFd(&descriptor), self.token, Interest::READABLE)
        } else {
            registry.register(&mut SourceFd(&descriptor), self.token, Interest::READABLE)
        }
    }

    /// Reads what has arrived, unless bytes of a next request are in the buffer already. False if
    /// the peer has closed the connection or it has failed.
    pub(super) fn fill_buffer(&mut self) -> bool {
        let has_next_request = self.has_buffered_data() && self.request_started.is_none();
        has_next_request || self.read_available()
    }

    fn read_available(&mut self) -> bool {
        let mut chunk = [0u8; READ_CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return false,
                Ok(count) => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    return true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                // The readiness event was spurious.
                Err(e) => return matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            }
        }
    }

    /// Whether bytes were read that no request has used yet.
    pub(super) fn has_buffered_data(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next request out of the buffer; `None` if it is not complete yet.
    pub(super) fn take_request(&mut self) -> Result<Option<Request>, RequestError> {
        let request = self.parse_request()?;
        if request.is_some() {
            self.has_sent_request = true;
        } else {
            self.request_started.get_or_insert_with(steady);
        }
        Ok(request)
    }

    fn parse_request(&mut self) -> Result<Option<Request>, RequestError> {
        let Some(head) = RequestHead::parse(&self.buffer)? else { return Ok(None) };
        let total_length = head.head_length + head.body_length;
        if self.buffer.len() < total_length {
            if head.expects_continue && !self.continue_sent {
                self.continue_sent = true;
                // If this fails the next read shows that the peer is gone.
                let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return Ok(None);
        }
        let body = self.buffer[head.head_length..total_length].to_vec();
        self.buffer.drain(..total_length);
        self.close |= head.close;
        self.continue_sent = false;
        Ok(Some(Request { method: head.method, path: head.path, body }))
    }

    /// Sends the response to a request. False if the connection is to be closed.
    pub(super) fn respond(&mut self, response: &Response) -> bool {
        let sent = self.stream.write_all(&response.encode(self.close)).is_ok();
        if !sent || self.close {
            return false;
        }
        self.request_started = None;
        if !self.has_buffered_data() {
            // Gives back what a large request took: most connections are idle most of the time.
            self.buffer = Vec::new();
        }
        true
    }

    /// Sends a last response and closes the connection.
    pub(super) fn respond_and_close(mut self, response: &Response) {
        // The connection is closed whether or not the peer could be told why.
        let _ = self.stream.write_all(&response.encode(true));
    }

    /// Restarts the idle time-out.
    pub(super) fn mark_idle(&mut self) {
        self.idle_since = steady();
    }

    /// Whether it has been idle for too long, or its request takes too long to arrive.
    pub(super) fn has_timed_out(&self, now: Steady) -> bool {
        match self.request_started {
            Some(started) => now - started >= REQUEST_READ_TIMEOUT,
            None if self.has_sent_request => now - self.idle_since >= KEEP_ALIVE_TIMEOUT,
            None => now - self.idle_since >= FIRST_REQUEST_TIMEOUT,
        }
    }
}
