//! An open connection of the server, and counters of open connections.

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

/// Maximum time between two requests on a connection. The connection is closed after it.
const KEEP_ALIVE_TIMEOUT: Micros = Micros(90_000_000);
/// Maximum time until a new connection sends its first request.
const FIRST_REQUEST_TIMEOUT: Micros = Micros(30_000_000);
/// Maximum time between the arrival of a request's first byte and of its last.
const REQUEST_READ_TIMEOUT: Micros = Micros(10_000_000);
/// Timeout of a single read. The server reads only after a readiness event, so this timeout only bounds the
/// wait after a spurious event.
const SOCKET_READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Timeout of a single write.
const SOCKET_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes per read.
const READ_CHUNK: usize = 16 * 1024;

/// Number of open connections of one kind. Clones share the count.
#[derive(Clone, Default)]
pub(super) struct ConnectionCounter(Arc<AtomicUsize>);

impl ConnectionCounter {
    /// Adds one connection to the count until the returned guard is dropped.
    pub(super) fn add(&self) -> ConnectionCountGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        ConnectionCountGuard(self.clone())
    }

    /// Returns the current number of open connections.
    pub(super) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Keeps one connection in a [`ConnectionCounter`]. Dropping the guard removes the connection from the count.
pub(super) struct ConnectionCountGuard(ConnectionCounter);

impl Drop for ConnectionCountGuard {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open connection, with the received bytes that do not belong to a parsed request yet.
pub(super) struct Connection {
    stream: TcpStream,
    /// Identifies the connection in the poll loop.
    token: Token,
    /// Whether the socket has been registered with the poll loop.
    registered: bool,
    /// Keeps the connection in the count of background connections. `None` if the connection carries no
    /// background requests.
    pub(super) background_guard: Option<ConnectionCountGuard>,
    buffer: Vec<u8>,
    idle_since: Steady,
    /// When a read first left a request incomplete. Cleared when the response to this request has been sent.
    request_started: Option<Steady>,
    /// Whether to close the connection after the next response.
    close: bool,
    /// Whether `100 Continue` was sent for the request that is being read.
    continue_sent: bool,
    has_sent_request: bool,
    _open_guard: ConnectionCountGuard,
}

impl Connection {
    /// Creates a connection from an accepted socket and sets the socket's options.
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

    /// Returns the token that identifies the connection in the poll loop.
    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Registers the socket with the poll loop, which then reports when data can be read.
    pub(super) fn register(&mut self, registry: &Registry) -> std::io::Result<()> {
        let descriptor = self.stream.as_raw_fd();
        let was_registered = std::mem::replace(&mut self.registered, true);
        // Events are edge-triggered. Registering again reports data that has arrived since the last event.
        if was_registered {
            registry.reregister(&mut SourceFd(&descriptor), self.token, Interest::READABLE)
        } else {
            registry.register(&mut SourceFd(&descriptor), self.token, Interest::READABLE)
        }
    }

    /// Reads the data that has arrived, unless the buffer already contains bytes of the next request.
    /// Returns false if the peer has closed the connection or the connection has failed.
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

    /// Returns whether the buffer contains bytes that do not belong to a parsed request yet.
    pub(super) fn has_buffered_data(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next request from the buffer and returns it, or `None` if it is not complete yet.
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
                // A failed write is ignored: the next read detects that the connection is closed.
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

    /// Sends the response to a request. Returns false if the caller has to close the connection.
    pub(super) fn respond(&mut self, response: &Response) -> bool {
        let sent = self.stream.write_all(&response.encode(self.close)).is_ok();
        if !sent || self.close {
            return false;
        }
        self.request_started = None;
        if !self.has_buffered_data() {
            // Frees the memory of a large request, because most connections are idle most of the time.
            self.buffer = Vec::new();
        }
        true
    }

    /// Sends a last response and closes the connection.
    pub(super) fn respond_and_close(mut self, response: &Response) {
        // A failed write is ignored: the connection is closed in any case.
        let _ = self.stream.write_all(&response.encode(true));
    }

    /// Restarts the idle timeout.
    pub(super) fn mark_idle(&mut self) {
        self.idle_since = steady();
    }

    /// Returns whether the connection has been idle for too long, or its request takes too long to arrive.
    pub(super) fn has_timed_out(&self, now: Steady) -> bool {
        match self.request_started {
            Some(started) => now - started >= REQUEST_READ_TIMEOUT,
            None if self.has_sent_request => now - self.idle_since >= KEEP_ALIVE_TIMEOUT,
            None => now - self.idle_since >= FIRST_REQUEST_TIMEOUT,
        }
    }
}
