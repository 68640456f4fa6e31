//! A small HTTP/1.1 server and client with JSON bodies, as PROTOCOL describes the interfaces.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Value,
    /// Whether the body was no JSON.
    pub malformed: bool,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// What the server does with a request.
pub enum Reply {
    /// Answers with this status and body.
    Answer(u16, Value),
    /// Closes the connection without an answer.
    Close,
}

pub type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// Listens on a free loopback port and serves each connection on a thread of its own.
pub fn serve(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer, None) {
        let mut words = head.split_whitespace();
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("").to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pair = |part: &str| {
            let (key, value) = part.split_once('=').unwrap_or((part, ""));
            (key.to_string(), value.to_string())
        };
        let query = query.split('&').filter(|part| !part.is_empty()).map(pair).collect();
        let parsed = if body.is_empty() { Ok(Value::Null) } else { serde_json::from_slice(&body) };
        let malformed = parsed.is_err();
        let body = parsed.unwrap_or(Value::Null);
        let close = head.to_ascii_lowercase().contains("\r\nconnection: close");
        match handler(Request { method, path: path.to_string(), query, body, malformed }) {
            Reply::Answer(status, value) => {
                let text = value.to_string();
                let head = format!(
                    "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    text.len()
                );
                if stream.write_all((head + &text).as_bytes()).is_err() || close {
                    return;
                }
            }
            Reply::Close => return,
        }
    }
}

/// Reads one message: its head and its body. `None` if the peer closed the connection or the time is up.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    deadline: Option<Instant>,
) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.checked_duration_since(Instant::now())?;
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        }
        let mut chunk = [0u8; 16384];
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// Sends a request on a new connection. `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let text = body.map(Value::to_string).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        text.len()
    );
    stream.write_all((head + &text).as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new(), Some(deadline))?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
