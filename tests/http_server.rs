//! The server: many more connections than threads, and connections and threads of its own for each class of
//! request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use milletlock::http::{self, Reply, Request, RequestClass, Response, ServerLimits, Service};

/// The limits of a small server, with two threads for users' requests and one for those of workers.
const LIMITS: ServerLimits = ServerLimits {
    connections: 30,
    background_connections: 10,
    interactive_threads: 2,
    background_threads: 1,
};

/// How long a test waits for the server.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A server whose `/held` requests wait until the test replies to them.
struct Server {
    addr: SocketAddr,
    held: Receiver<Reply>,
    /// Each lets one blocked `/block` request go on.
    release: Sender<()>,
    blocked: Receiver<()>,
    stop: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<std::io::Result<()>>,
}

/// Starts a server on a free port.
fn start(limits: ServerLimits) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (held_sender, held) = channel();
    let (release, release_receiver) = channel();
    let (blocked_sender, blocked) = channel();
    let held_sender = Mutex::new(held_sender);
    let release_receiver = Mutex::new(release_receiver);
    let blocked_sender = Mutex::new(blocked_sender);
    let handler = move |request: Request, reply: Reply| match request.path.as_str() {
        "/held" => held_sender.lock().expect("a lock").send(reply).expect("the test"),
        "/block" => {
            blocked_sender.lock().expect("a lock").send(()).expect("the test");
            let _ = release_receiver.lock().expect("a lock").recv();
            reply.send(&Response::json(200, &"late"));
        }
        _ => reply.send(&Response::json(200, &"ok")),
    };
    let service = Service { classify, handler: Arc::new(handler) };
    let stop = Arc::new(AtomicBool::new(false));
    let server_stop = stop.clone();
    let thread = std::thread::spawn(move || http::serve(listener, limits, server_stop, service));
    Server { addr, held, release, blocked, stop, thread }
}

fn classify(request: &Request) -> RequestClass {
    match request.path.as_str() {
        "/up" => RequestClass::HealthCheck,
        "/bulk" => RequestClass::Background,
        _ => RequestClass::Interactive,
    }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let connection = TcpStream::connect(addr).expect("a connection");
    connection.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    connection
}

fn send_request(connection: &mut TcpStream, path: &str) {
    connection.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).expect("sent");
}

/// The response's head and body; empty if the connection was closed.
fn read_response(connection: &mut TcpStream) -> String {
    let (mut received, mut chunk) = (Vec::new(), [0u8; 512]);
    loop {
        let count = connection.read(&mut chunk).unwrap_or(0);
        received.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&received).into_owned();
        if count == 0 || is_complete(&text) {
            return text;
        }
    }
}

/// Whether a response has as many bytes of body as its head says.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    length.and_then(|length| length.parse().ok()) == Some(body.len())
}

fn is_ok(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200")
}

fn is_unavailable(response: &str) -> bool {
    response.starts_with("HTTP/1.1 503")
}

/// The response to a request on this connection.
fn request(connection: &mut TcpStream, path: &str) -> String {
    send_request(connection, path);
    read_response(connection)
}

#[test]
fn many_more_connections_than_threads_are_served_and_stay_open() {
    let server = start(ServerLimits { connections: 300, background_connections: 280, ..LIMITS });
    let mut all: Vec<TcpStream> = (0..250).map(|_| connect(server.addr)).collect();
    for path in ["/bulk", "/bulk", "/up"] {
        all.iter_mut().for_each(|connection| send_request(connection, path));
        assert!(all.iter_mut().all(|connection| is_ok(&read_response(connection))), "{path}");
    }
    assert!(all.iter_mut().all(|connection| is_ok(&request(connection, "/any"))));
    // A request that comes in pieces, and one that waits for its reply, hold no thread.
    let (slow, rest) = all.split_at_mut(100);
    let (waiting, prompt) = rest.split_at_mut(50);
    slow.iter_mut().for_each(|connection| connection.write_all(b"GET /any HT").expect("sent"));
    let mut held = Vec::new();
    for connection in &mut *waiting {
        send_request(connection, "/held");
        held.push(server.held.recv_timeout(TIMEOUT).expect("held"));
    }
    assert!(prompt
        .iter_mut()
        .all(|connection| is_ok(&request(connection, "/any")) && is_ok(&request(connection, "/bulk"))));
    for connection in slow {
        connection.write_all(b"TP/1.1\r\n\r\n").expect("sent");
        assert!(is_ok(&read_response(connection)));
    }
    held.into_iter().for_each(|reply| reply.send(&Response::json(200, &"now")));
    assert!(waiting.iter_mut().all(|connection| read_response(connection).ends_with("\"now\"")));
    // It ends when it is told to.
    server.stop.store(true, Ordering::SeqCst);
    server.thread.join().expect("no panic").expect("no error");
}

#[test]
fn no_kind_of_caller_starves_another() {
    let server = start(LIMITS);
    // The threads for users' requests are all blocked, and as many requests wait for one.
    let mut stuck: Vec<TcpStream> = (0..4).map(|_| connect(server.addr)).collect();
    let (blocked, queued) = stuck.split_at_mut(2);
    blocked.iter_mut().for_each(|connection| send_request(connection, "/block"));
    (0..2).for_each(|_| server.blocked.recv_timeout(TIMEOUT).expect("blocked"));
    let mut prober = connect(server.addr);
    // Two wait; from the next on they are told at once when to come back.
    queued.iter_mut().for_each(|connection| send_request(connection, "/any"));
    let mut more: Vec<TcpStream> = (0..3).map(|_| connect(server.addr)).collect();
    let refusals: Vec<String> = more.iter_mut().map(|connection| request(connection, "/any")).collect();
    let says_when = |refusal: &String| is_unavailable(refusal) && refusal.contains("Retry-After: 1");
    assert!(refusals.iter().all(says_when), "{refusals:?}");
    // Probes and workers are replied to all the same.
    assert!(is_ok(&request(&mut prober, "/up")));
    let mut workers: Vec<TcpStream> = (0..10).map(|_| connect(server.addr)).collect();
    assert!(workers.iter_mut().all(|connection| is_ok(&request(connection, "/bulk"))));
    // Workers beyond their connections are refused, users are still served.
    let mut worker = connect(server.addr);
    assert!(is_unavailable(&request(&mut worker, "/bulk")));
    (0..2).for_each(|_| server.release.send(()).expect("the server"));
    assert!(stuck.iter_mut().all(|connection| is_ok(&read_response(connection))));
    assert!(is_ok(&request(&mut connect(server.addr), "/any")));
    // A worker that leaves frees its connection for the next.
    drop(workers.pop());
    let served = (0..1000).any(|_| is_ok(&request(&mut connect(server.addr), "/bulk")));
    assert!(served, "the connection of a worker that left is used again");
}

#[test]
fn a_request_without_a_reply_closes_the_connection() {
    let limits = ServerLimits { connections: 8, background_connections: 4, interactive_threads: 1, ..LIMITS };
    let server = start(limits);
    let mut connection = connect(server.addr);
    send_request(&mut connection, "/held");
    drop(server.held.recv_timeout(TIMEOUT).expect("held"));
    assert_eq!(read_response(&mut connection), "");
}
