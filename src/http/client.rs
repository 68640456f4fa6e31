//! The client: blocking calls with a timeout, over connections that are kept open for later calls.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use super::response_parser::{parse_response, ParseError, ParsedResponse};
use crate::time::{steady, Micros, Steady};

/// Maximum size of a response, in bytes. The response to a watch of the state store has to fit; the state
/// store itself does not limit its size.
const MAX_RESPONSE: usize = 32 * 1024 * 1024;
/// Idle time in seconds after which a connection is not used again, because the server may be closing it.
const MAX_IDLE_S: f64 = 20.0;
/// Minimum timeout of a socket operation. A timeout of zero is not usable: the operating system takes it as
/// no timeout, and the standard library therefore refuses it.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_millis(1);
/// Memory that is reserved for a request's head, in bytes. The head is usually shorter.
const HEAD_CAPACITY: usize = 128;
/// Memory that is reserved for a response at first, in bytes. It grows if the response is larger.
const RESPONSE_CAPACITY: usize = 1024;
/// Maximum number of bytes per read.
const READ_CHUNK: usize = 8192;

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body; empty if the response has none.
    pub body: Vec<u8>,
}

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be established, so nothing was sent.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The request was sent, at least in part, but there was no complete response. The server may have
    /// executed the request, or may still execute it.
    #[error("no response: {0}")]
    NoAnswer(String),
}

/// Why a request that was sent, at least in part, has no complete response.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("timed out before the response was complete")]
    TimedOut,
    #[error("connection closed before the response was complete")]
    Closed,
    #[error("response exceeds 32 MiB")]
    ResponseTooLong,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Parse(#[from] ParseError),
}

impl From<ExchangeError> for CallError {
    fn from(error: ExchangeError) -> CallError {
        CallError::NoAnswer(error.to_string())
    }
}

/// An open connection that no call is using.
struct IdleConnection {
    stream: TcpStream,
    since: Steady,
}

/// A client for one server address. It keeps idle connections open for later calls.
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    max_idle: usize,
}

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections open.
    pub fn new(addr: SocketAddr, max_idle: usize) -> Client {
        Client { addr, idle: Mutex::new(Vec::new()), max_idle }
    }

    /// Sends a request, with a JSON body if `body` is given, and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no connection could be established, and [`CallError::NoAnswer`] if
    /// there was no complete response before the timeout.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Micros,
    ) -> Result<ClientResponse, CallError> {
        let deadline = steady() + timeout;
        let request = self.encode_request(method, path, body);
        if let Some(stream) = self.take_idle() {
            match self.exchange(stream, &request, deadline) {
                // The server may have closed the idle connection in the meantime. Only a GET request can be
                // sent again, because it changes nothing if the server executes it twice.
                Err(_) if method == "GET" && deadline > steady() => {}
                result => return Ok(result?),
            }
        }
        let stream = self.connect(deadline)?;
        Ok(self.exchange(stream, &request, deadline)?)
    }

    fn encode_request(&self, method: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
        let mut request = Vec::with_capacity(HEAD_CAPACITY + body.map_or(0, <[u8]>::len));
        // Writing to a vector does not fail.
        let _ = write!(request, "{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.addr);
        if let Some(body) = body {
            let length = body.len();
            let _ = write!(request, "Content-Type: application/json\r\nContent-Length: {length}\r\n");
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(body.unwrap_or(b""));
        request
    }

    /// Removes and returns the idle connection that was used last. Closes connections that have been idle for
    /// too long, and returns `None` if there is no other.
    fn take_idle(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(connection) = idle.pop() {
            if (steady() - connection.since).secs() < MAX_IDLE_S {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection open for later calls, or closes it if `max_idle` connections are already idle.
    fn keep_idle(&self, stream: TcpStream) {
        if let Ok(mut idle) = self.idle.lock() {
            if idle.len() < self.max_idle {
                idle.push(IdleConnection { stream, since: steady() });
            }
        }
    }

    fn connect(&self, deadline: Steady) -> Result<TcpStream, CallError> {
        let stream = TcpStream::connect_timeout(&self.addr, socket_timeout(deadline - steady()))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Sends a request over a connection and reads the response. Keeps the connection unless the server
    /// closes it.
    fn exchange(
        &self,
        mut stream: TcpStream,
        request: &[u8],
        deadline: Steady,
    ) -> Result<ClientResponse, ExchangeError> {
        let _ = stream.set_write_timeout(Some(socket_timeout(deadline - steady())));
        stream.write_all(request)?;
        let parsed = read_response(&mut stream, deadline)?;
        if !parsed.close {
            self.keep_idle(stream);
        }
        Ok(parsed.response)
    }
}

fn read_response(stream: &mut TcpStream, deadline: Steady) -> Result<ParsedResponse, ExchangeError> {
    let mut buffer = Vec::with_capacity(RESPONSE_CAPACITY);
    loop {
        let remaining = deadline - steady();
        if remaining <= Micros::ZERO {
            return Err(ExchangeError::TimedOut);
        }
        let _ = stream.set_read_timeout(Some(socket_timeout(remaining)));
        let mut chunk = [0u8; READ_CHUNK];
        let count = match stream.read(&mut chunk) {
            Ok(0) => return Err(ExchangeError::Closed),
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e.into()),
        };
        buffer.extend_from_slice(&chunk[..count]);
        if buffer.len() > MAX_RESPONSE {
            return Err(ExchangeError::ResponseTooLong);
        }
        if let Some(response) = parse_response(&buffer)? {
            return Ok(response);
        }
    }
}

/// Converts the time that remains until a deadline to the timeout of a socket operation.
fn socket_timeout(remaining: Micros) -> Duration {
    remaining.to_duration().max(MIN_SOCKET_TIMEOUT)
}
