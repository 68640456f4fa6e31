//! The client: blocking calls with a deadline, over connections that are kept alive.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use super::response_parser::{parse_response, ParseError, ParsedResponse};
use crate::time::{steady, Micros, Steady};

/// Largest response that is read, in bytes. It has to hold a watch of the state store, which has no
/// limit of its own.
const MAX_RESPONSE: usize = 32 * 1024 * 1024;
/// Age in seconds from which an idle connection is not used again: the server may be closing it.
const MAX_IDLE_S: f64 = 20.0;
/// Shortest time-out given to the system, which takes zero for none at all.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_millis(1);
/// Bytes of a request's head, with room to spare.
const HEAD_CAPACITY: usize = 128;
/// Bytes that are set aside for a response at first.
const RESPONSE_CAPACITY: usize = 1024;
/// Bytes that a single read takes at the most.
const READ_CHUNK: usize = 8192;

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the connection could not be made.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The request may have been executed, or may yet be.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Why a request that was sent, at least in part, has no response.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("time-out")]
    TimedOut,
    #[error("closed")]
    Closed,
    #[error("response too long")]
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

/// An open connection that no request uses at present.
struct IdleConnection {
    stream: TcpStream,
    since: Steady,
}

/// A client for one address that keeps a few connections open.
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    max_idle: usize,
}

impl Client {
    /// A client that keeps up to `max_idle` idle connections.
    pub fn new(addr: SocketAddr, max_idle: usize) -> Client {
        Client { addr, idle: Mutex::new(Vec::new()), max_idle }
    }

    /// Sends a request, with a JSON body if there is one, and waits for the response.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if no connection could be made, [`CallError::NoAnswer`] if there was no
    /// whole response before the time-out.
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
                // The server may have closed the idle connection in the meantime. Only a read can be
                // sent again without the risk that it is executed twice.
                Err(_) if method == "GET" && deadline > steady() => {}
                result => return Ok(result?),
            }
        }
        let stream = self.connect(deadline)?;
        Ok(self.exchange(stream, &request, deadline)?)
    }

    fn encode_request(&self, method: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
        let mut request = Vec::with_capacity(HEAD_CAPACITY + body.map_or(0, <[u8]>::len));
        // Writing to memory does not fail.
        let _ = write!(request, "{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.addr);
        if let Some(body) = body {
            let length = body.len();
            let _ = write!(request, "Content-Type: application/json\r\nContent-Length: {length}\r\n");
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(body.unwrap_or(b""));
        request
    }

    /// Takes the idle connection that was used last, unless it is too old.
    fn take_idle(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(connection) = idle.pop() {
            if (steady() - connection.since).secs() < MAX_IDLE_S {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection for later requests, or closes it if enough are kept.
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

    /// Sends a request over a connection and reads the response.
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

/// The time that remains until a deadline, as a time-out for the system.
fn socket_timeout(remaining: Micros) -> Duration {
    remaining.to_duration().max(MIN_SOCKET_TIMEOUT)
}
