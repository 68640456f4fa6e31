//! HTTP/1.1 over blocking sockets: a server with a routine for each connection, and a client that
//! keeps its connections. Parsing is `httparse`'s.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::time::{steady, Micros, Steady};

/// Largest request body.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 48;
/// Largest response that the client reads; a watch has no limit of its own.
const MAX_RESPONSE: usize = 32 * 1024 * 1024;

/// A request as a handler sees it.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, JSON.
    pub body: Vec<u8>,
    /// `Retry-After` in seconds, where given.
    pub retry_after: Option<u32>,
}

impl Response {
    /// A response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Response {
        let body = serde_json::to_vec(body).unwrap_or_else(|_| b"{}".to_vec());
        Response { status, body, retry_after: None }
    }

    /// A refusal with a one-line reason.
    pub fn error(status: u16, why: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": why.replace('\n', " ") }))
    }

    /// The same, asking to come back after some seconds.
    pub fn later(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

enum ReadError {
    /// The other side is gone or too slow: nothing to say.
    Gone,
    /// The request is refused with this answer, and the connection closed.
    Refused(Response),
}

struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    /// The read time-out that is set: setting it anew with each request costs a system call.
    waits: Duration,
}

struct Head {
    method: String,
    path: String,
    length: usize,
    close: bool,
    expects: bool,
    end: usize,
}

impl Conn {
    fn fill(&mut self, deadline: Option<Steady>) -> Result<usize, ReadError> {
        let mut chunk = [0u8; 4096];
        if let Some(d) = deadline {
            let left = d - steady();
            if left.0 <= 0 || !self.wait_for(left.std().max(Duration::from_millis(1))) {
                return Err(ReadError::Gone);
            }
        }
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ReadError::Gone),
                Ok(n) => {
                    self.buf.extend_from_slice(&chunk[..n]);
                    return Ok(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return Err(ReadError::Gone),
            }
        }
    }

    fn wait_for(&mut self, most: Duration) -> bool {
        if self.waits != most {
            if self.stream.set_read_timeout(Some(most)).is_err() {
                return false;
            }
            self.waits = most;
        }
        true
    }

    fn parse_head(&self) -> Result<Option<Head>, ReadError> {
        let refuse = |status, why: &str| ReadError::Refused(Response::error(status, why));
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        let end = match req.parse(&self.buf) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) => {
                if self.buf.len() > MAX_HEAD {
                    return Err(refuse(431, "request head too long"));
                }
                return Ok(None);
            }
            Err(httparse::Error::TooManyHeaders) => return Err(refuse(431, "too many headers")),
            Err(_) => return Err(refuse(400, "not HTTP")),
        };
        let mut head = Head {
            method: req.method.unwrap_or("").to_string(),
            path: req.path.unwrap_or("").to_string(),
            length: 0,
            close: req.version == Some(0),
            expects: false,
            end,
        };
        for h in req.headers.iter() {
            let value = std::str::from_utf8(h.value).unwrap_or("").trim();
            if h.name.eq_ignore_ascii_case("content-length") {
                head.length = value.parse().map_err(|_| refuse(400, "bad Content-Length"))?;
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(refuse(501, "Transfer-Encoding is not taken"));
            } else if h.name.eq_ignore_ascii_case("connection") {
                head.close |= value.eq_ignore_ascii_case("close");
            } else if h.name.eq_ignore_ascii_case("expect") {
                head.expects = value.eq_ignore_ascii_case("100-continue");
            }
        }
        // Said before the body is read: an oversized one is never taken in.
        if head.length > MAX_BODY {
            return Err(refuse(413, "body over 64 KiB"));
        }
        Ok(Some(head))
    }

    /// Reads one request; the idle wait is the caller's, the rest must come within ten seconds.
    fn request(&mut self, idle: Micros) -> Result<(Request, bool), ReadError> {
        let mut deadline = None;
        if self.buf.is_empty() {
            self.wait_for(idle.std());
            self.fill(None)?;
        }
        let head = loop {
            if let Some(h) = self.parse_head()? {
                break h;
            }
            let d = *deadline.get_or_insert_with(|| steady() + Micros::from_secs(10.0));
            self.fill(Some(d))?;
        };
        let total = head.end + head.length;
        if head.expects && self.buf.len() < total {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|_| ReadError::Gone)?;
        }
        while self.buf.len() < total {
            let d = *deadline.get_or_insert_with(|| steady() + Micros::from_secs(10.0));
            self.fill(Some(d))?;
        }
        let body = self.buf[head.end..total].to_vec();
        self.buf.drain(..total);
        Ok((Request { method: head.method, path: head.path, body }, head.close))
    }

    fn respond(&mut self, r: &Response, close: bool) -> bool {
        let mut out = Vec::with_capacity(160 + r.body.len());
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            r.status,
            reason(r.status),
            r.body.len()
        );
        if let Some(s) = r.retry_after {
            let _ = write!(out, "Retry-After: {s}\r\n");
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&r.body);
        self.stream.write_all(&out).is_ok()
    }
}

/// Answers requests; called on the connection's own routine.
pub type Handler = Arc<dyn Fn(Request) -> Response + Send + Sync>;

/// Serves connections until `stop` is set. At most `most` are open at once; more are closed as
/// they come.
pub fn serve(listener: TcpListener, most: usize, stop: Arc<AtomicBool>, handler: Handler) {
    let open = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = stream else {
            // Out of sockets: give the others time to end.
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        if open.load(Ordering::Relaxed) >= most {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (handler, counter, stop) = (handler.clone(), open.clone(), stop.clone());
        let spawned =
            std::thread::Builder::new().name("conn".into()).stack_size(256 * 1024).spawn(move || {
                connection(stream, &handler, &stop);
                counter.fetch_sub(1, Ordering::Relaxed);
            });
        if spawned.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn connection(stream: TcpStream, handler: &Handler, stop: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    let mut conn = Conn { stream, buf: Vec::new(), waits: Duration::ZERO };
    while !stop.load(Ordering::Relaxed) {
        match conn.request(Micros::from_secs(90.0)) {
            Ok((req, close)) => {
                let r = handler(req);
                if !conn.respond(&r, close) || close {
                    return;
                }
            }
            Err(ReadError::Refused(r)) => {
                conn.respond(&r, true);
                return;
            }
            Err(ReadError::Gone) => return,
        }
    }
}

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn responses_are_read_by_length_and_by_chunks() {
        let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        assert_eq!(parse_response(plain).unwrap(), Some((200, b"{}".to_vec(), false)));
        assert_eq!(parse_response(&plain[..plain.len() - 1]).unwrap(), None);
        let chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
        assert_eq!(parse_response(chunks).unwrap(), Some((200, b"{}".to_vec(), false)));
        assert_eq!(parse_response(&chunks[..chunks.len() - 3]).unwrap(), None);
    }
}
