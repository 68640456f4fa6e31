//! The HTTP client: how it reads responses, whole or in parts.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use milletlock::http::{CallError, Client, ClientResponse};
use milletlock::time::Micros;

const PLAIN: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const CHUNKS: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";

/// Reads a request without a body; false once the connection is closed.
fn request(s: &mut TcpStream) -> bool {
    let (mut seen, mut byte) = (Vec::new(), [0u8]);
    while !seen.ends_with(b"\r\n\r\n") {
        match s.read(&mut byte) {
            Ok(1) => seen.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Takes one connection and replies to each request on it with the next of the responses, written part
/// by part; then it closes the connection and takes no other.
fn server(responses: Vec<Vec<Vec<u8>>>) -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut s, _) = l.accept().expect("a connection");
        drop(l);
        s.set_nodelay(true).expect("no delay");
        for parts in responses {
            if !request(&mut s) {
                return;
            }
            for (i, part) in parts.iter().enumerate() {
                if i > 0 {
                    std::thread::yield_now();
                }
                s.write_all(part).expect("sent");
            }
        }
    });
    addr
}

fn get(client: &Client) -> Result<ClientResponse, CallError> {
    client.call("GET", "/", None, Micros::from_secs(10.0))
}

#[test]
fn responses_are_read_by_length_and_by_chunks() {
    let cut = |whole: &[u8], less: usize| {
        let (a, b) = whole.split_at(whole.len() - less);
        vec![a.to_vec(), b.to_vec()]
    };
    let responses = vec![vec![PLAIN.to_vec()], cut(PLAIN, 1), vec![CHUNKS.to_vec()], cut(CHUNKS, 3)];
    let n = responses.len();
    let client = Client::new(server(responses), 1);
    // All on one connection, the only one that is taken: none of them asks to close it.
    for _ in 0..n {
        assert_eq!(get(&client).expect("a reply"), ClientResponse { status: 200, body: b"{}".to_vec() });
    }
}

#[test]
fn a_truncated_response_is_not_accepted() {
    for whole in [PLAIN, CHUNKS] {
        for end in 0..whole.len() {
            let client = Client::new(server(vec![vec![whole[..end].to_vec()]]), 1);
            match get(&client) {
                Err(CallError::NoAnswer(_)) => {}
                r => panic!("{end} bytes: {r:?}"),
            }
        }
    }
}
