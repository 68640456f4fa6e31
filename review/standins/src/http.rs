//! A small HTTP/1.1 server with a thread for each connection, and a client that opens a connection for each
//! call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum size of a request body according to the protocol.
const MAX_BODY: usize = 64 * 1024;

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path without the query string.
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

pub enum Answer {
    Send(u16, String),
    /// Nothing is answered; the connection stays open until the client closes it.
    Silence,
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer.windows(pattern.len()).position(|window| window == pattern)
}

/// Reads one message (request or response) and returns its head and body; `None` at the end of the stream.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            let total = end + 4 + length;
            if buffer.len() >= total {
                let body = buffer[end + 4..total].to_vec();
                buffer.drain(..total);
                return Ok(Some((head, body)));
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Request) -> Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer)? {
        let mut first = head.lines().next().unwrap_or("").split(' ');
        let method = first.next().unwrap_or("").to_string();
        let target = first.next().unwrap_or("").to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request { method, path: path.to_string(), query: query.to_string(), body };
        let close = head.lines().any(|line| line.eq_ignore_ascii_case("connection: close"));
        match handler(&request) {
            Answer::Send(status, body) => {
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                stream.write_all(text.as_bytes())?;
            }
            Answer::Silence => {
                // Waits until the client closes the connection.
                let mut sink = [0u8; 4096];
                while stream.read(&mut sink)? > 0 {}
                return Ok(());
            }
        }
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Serves a free loopback port until the process ends; returns its address.
pub fn serve(handler: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler: Arc<dyn Fn(&Request) -> Answer + Send + Sync> = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    address
}

/// Calls a server over a connection of its own. The error is a short text.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    assert!(body.len() <= MAX_BODY, "a request body over 64 KiB");
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
    let mut buffer = Vec::new();
    match read_message(&mut stream, &mut buffer) {
        Ok(Some((head, body))) => {
            let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
            Ok((status, String::from_utf8_lossy(&body).into_owned()))
        }
        Ok(None) => Err("closed without a response".into()),
        Err(e) => Err(e.to_string()),
    }
}
