//! The HTTP client reads responses with a length and chunked responses, and rejects truncated ones.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use milletlock::http::{CallError, Client, ClientResponse};
use milletlock::time::Micros;

/// A response with a `Content-Length`.
const WITH_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
/// The same response as a chunked one.
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";

/// Reads a request without a body. Returns false if the connection was closed.
fn read_request(stream: &mut TcpStream) -> bool {
    let (mut received, mut byte) = (Vec::new(), [0u8]);
    while !received.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Starts a server that accepts a single connection. It replies to each request with the next of
/// `responses`, written part by part, and then closes the connection.
fn start_server(responses: Vec<Vec<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        drop(listener);
        stream.set_nodelay(true).expect("no delay");
        for parts in responses {
            if !read_request(&mut stream) {
                return;
            }
            for (i, part) in parts.iter().enumerate() {
                if i > 0 {
                    std::thread::yield_now();
                }
                stream.write_all(part).expect("sent");
            }
        }
    });
    addr
}

fn get(client: &Client) -> Result<ClientResponse, CallError> {
    client.call("GET", "/", None, Micros::from_secs(10.0))
}

#[test]
fn responses_with_a_length_or_chunked_are_read_whole_and_in_parts() {
    let split = |whole: &[u8], tail_length: usize| {
        let (head, tail) = whole.split_at(whole.len() - tail_length);
        vec![head.to_vec(), tail.to_vec()]
    };
    let responses =
        vec![vec![WITH_LENGTH.to_vec()], split(WITH_LENGTH, 1), vec![CHUNKED.to_vec()], split(CHUNKED, 3)];
    let count = responses.len();
    let client = Client::new(start_server(responses), 1);
    // The server accepts only one connection, so the client must use it for all requests. It may do so,
    // because no response asks to close it.
    for _ in 0..count {
        assert_eq!(get(&client).expect("a reply"), ClientResponse { status: 200, body: b"{}".to_vec() });
    }
}

#[test]
fn a_truncated_response_is_not_accepted() {
    for whole in [WITH_LENGTH, CHUNKED] {
        for end in 0..whole.len() {
            let client = Client::new(start_server(vec![vec![whole[..end].to_vec()]]), 1);
            match get(&client) {
                Err(CallError::NoAnswer(_)) => {}
                result => panic!("the first {end} bytes of a response must be an error: {result:?}"),
            }
        }
    }
}
