//! The client: blocking calls with a deadline, over connections that are kept.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use super::MAX_HEADERS;
use crate::time::{steady, Micros, Steady};

/// Largest response that is read; a watch has no limit of its own.
const MAX_RESPONSE: usize = 32 * 1024 * 1024;

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the connection could not be made.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// It may have been carried out, or may yet be.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A client for one address that keeps a few connections open.
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<(TcpStream, Steady)>>,
    keep: usize,
}

impl Client {
    /// A client that keeps up to `keep` idle connections.
    pub fn new(addr: SocketAddr, keep: usize) -> Client {
        Client { addr, idle: Mutex::new(Vec::new()), keep }
    }

    /// Sends a request and waits for the answer until the time-out.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Micros,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let deadline = steady() + timeout;
        let mut out = Vec::with_capacity(128 + body.map_or(0, <[u8]>::len));
        let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.addr);
        if let Some(b) = body {
            let _ = write!(out, "Content-Type: application/json\r\nContent-Length: {}\r\n", b.len());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body.unwrap_or(b""));
        let pooled = self.pooled();
        let fresh = pooled.is_none();
        let stream = match pooled {
            Some(s) => s,
            None => self.connect(deadline)?,
        };
        match self.exchange(stream, &out, deadline) {
            // A kept connection may have been closed meanwhile; only a read may be sent again.
            Err(CallError::NoAnswer(_)) if !fresh && method == "GET" && (deadline - steady()).0 > 0 => {
                let stream = self.connect(deadline)?;
                self.exchange(stream, &out, deadline)
            }
            r => r,
        }
    }

    fn pooled(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock().ok()?;
        while let Some((s, since)) = idle.pop() {
            if (steady() - since).secs() < 20.0 {
                return Some(s);
            }
        }
        None
    }

    fn connect(&self, deadline: Steady) -> Result<TcpStream, CallError> {
        let left = (deadline - steady()).std().max(Duration::from_millis(1));
        let s =
            TcpStream::connect_timeout(&self.addr, left).map_err(|e| CallError::NotSent(e.to_string()))?;
        let _ = s.set_nodelay(true);
        Ok(s)
    }

    fn exchange(&self, mut s: TcpStream, out: &[u8], deadline: Steady) -> Result<(u16, Vec<u8>), CallError> {
        let lost = |e: String| CallError::NoAnswer(e);
        let _ = s.set_write_timeout(Some((deadline - steady()).std().max(Duration::from_millis(1))));
        s.write_all(out).map_err(|e| lost(e.to_string()))?;
        let mut buf = Vec::with_capacity(1024);
        loop {
            let left = deadline - steady();
            if left.0 <= 0 {
                return Err(lost("time-out".into()));
            }
            let _ = s.set_read_timeout(Some(left.std().max(Duration::from_millis(1))));
            let mut chunk = [0u8; 8192];
            let n = match s.read(&mut chunk) {
                Ok(0) => return Err(lost("closed".into())),
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return Err(lost(e.to_string())),
            };
            buf.extend_from_slice(&chunk[..n]);
            if buf.len() > MAX_RESPONSE {
                return Err(lost("response too long".into()));
            }
            if let Some((status, body, close)) = parse_response(&buf).map_err(lost)? {
                if !close {
                    if let Ok(mut idle) = self.idle.lock() {
                        if idle.len() < self.keep {
                            idle.push((s, steady()));
                        }
                    }
                }
                return Ok((status, body));
            }
        }
    }
}

type Parsed = Option<(u16, Vec<u8>, bool)>;

fn parse_response(buf: &[u8]) -> Result<Parsed, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut r = httparse::Response::new(&mut headers);
    let end = match r.parse(buf).map_err(|e| e.to_string())? {
        httparse::Status::Complete(n) => n,
        httparse::Status::Partial => return Ok(None),
    };
    let (mut length, mut chunked, mut close) = (0usize, false, false);
    for h in r.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            length = value.parse().map_err(|_| "bad Content-Length".to_string())?;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if h.name.eq_ignore_ascii_case("connection") {
            close = value.eq_ignore_ascii_case("close");
        }
    }
    let status = r.code.unwrap_or(0);
    if chunked {
        return Ok(unchunk(&buf[end..])?.map(|b| (status, b, close)));
    }
    let total = end.checked_add(length).ok_or("bad Content-Length")?;
    if buf.len() < total {
        return Ok(None);
    }
    Ok(Some((status, buf[end..total].to_vec(), close)))
}

fn unchunk(mut b: &[u8]) -> Result<Option<Vec<u8>>, String> {
    let mut out = Vec::new();
    loop {
        let (at, size) = match httparse::parse_chunk_size(b) {
            Ok(httparse::Status::Complete(x)) => x,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("bad chunk".into()),
        };
        let size = usize::try_from(size).map_err(|_| "bad chunk")?;
        let end = at.checked_add(size).and_then(|e| e.checked_add(2)).ok_or("bad chunk")?;
        if b.len() < end {
            return Ok(None);
        }
        if size == 0 {
            return Ok(Some(out));
        }
        out.extend_from_slice(&b[at..at + size]);
        b = &b[end..];
    }
}
