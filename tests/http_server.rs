//! The HTTP server: it serves many more connections than it has threads, and it limits the connections and
//! threads of each request class separately.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use milletlock::http::{self, Reply, Request, RequestClass, Response, ServerLimits, Service};

/// The limits of a small server, with two threads for interactive requests and one for background requests.
const LIMITS: ServerLimits = ServerLimits {
    connections: 30,
    background_connections: 10,
    interactive_threads: 2,
    background_threads: 1,
};

/// Maximum time that a test waits for the server.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A running server. It passes the [`Reply`] of each `/deferred` request to the test, and blocks a thread for
/// each `/block` request until the test releases it.
struct Server {
    addr: SocketAddr,
    /// The replies of the `/deferred` requests, for the test to send or to drop.
    deferred: Receiver<Reply>,
    /// Each message releases one `/block` request.
    release: Sender<()>,
    /// Receives a message for each `/block` request that has begun to block a thread.
    blocked: Receiver<()>,
    /// Stops the server when set.
    stop: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<std::io::Result<()>>,
}

/// Starts a server on a free port.
fn start_server(limits: ServerLimits) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (deferred_sender, deferred) = channel();
    let (release, release_receiver) = channel();
    let (blocked_sender, blocked) = channel();
    let deferred_sender = Mutex::new(deferred_sender);
    let release_receiver = Mutex::new(release_receiver);
    let blocked_sender = Mutex::new(blocked_sender);
    let handler = move |request: Request, reply: Reply| match request.path.as_str() {
        "/deferred" => deferred_sender.lock().expect("a lock").send(reply).expect("the test"),
        "/block" => {
            blocked_sender.lock().expect("a lock").send(()).expect("the test");
            let _ = release_receiver.lock().expect("a lock").recv();
            reply.send(&Response::json(200, &"released"));
        }
        _ => reply.send(&Response::json(200, &"ok")),
    };
    let service = Service { classify, handler: Arc::new(handler) };
    let stop = Arc::new(AtomicBool::new(false));
    let server_stop = stop.clone();
    let thread = std::thread::spawn(move || http::serve(listener, limits, server_stop, service));
    Server { addr, deferred, release, blocked, stop, thread }
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
    connection.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    connection
}

fn send_request(connection: &mut TcpStream, path: &str) {
    connection.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).expect("sent");
}

/// Reads a response and returns its head and body. The result is empty if the connection was closed.
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

/// Returns whether a response has as many body bytes as its `Content-Length` states.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    length.and_then(|length| length.parse().ok()) == Some(body.len())
}

fn is_ok(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200")
}

fn is_service_unavailable(response: &str) -> bool {
    response.starts_with("HTTP/1.1 503")
}

/// Sends a request on this connection and returns the response.
fn request(connection: &mut TcpStream, path: &str) -> String {
    send_request(connection, path);
    read_response(connection)
}

#[test]
fn many_more_connections_than_threads_are_served_and_stay_open() {
    let server = start_server(ServerLimits { connections: 300, background_connections: 280, ..LIMITS });
    let mut all: Vec<TcpStream> = (0..250).map(|_| connect(server.addr)).collect();
    for path in ["/bulk", "/bulk", "/up"] {
        all.iter_mut().for_each(|connection| send_request(connection, path));
        assert!(all.iter_mut().all(|connection| is_ok(&read_response(connection))), "{path}");
    }
    assert!(all.iter_mut().all(|connection| is_ok(&request(connection, "/any"))));
    // Neither a request that arrives in parts nor a request whose reply is deferred occupies a thread.
    let (slow, rest) = all.split_at_mut(100);
    let (waiting, immediate) = rest.split_at_mut(50);
    slow.iter_mut().for_each(|connection| connection.write_all(b"GET /any HT").expect("sent"));
    let mut replies = Vec::new();
    for connection in &mut *waiting {
        send_request(connection, "/deferred");
        replies.push(server.deferred.recv_timeout(TIMEOUT).expect("a deferred request"));
    }
    assert!(immediate
        .iter_mut()
        .all(|connection| is_ok(&request(connection, "/any")) && is_ok(&request(connection, "/bulk"))));
    for connection in slow {
        connection.write_all(b"TP/1.1\r\n\r\n").expect("sent");
        assert!(is_ok(&read_response(connection)));
    }
    replies.into_iter().for_each(|reply| reply.send(&Response::json(200, &"now")));
    assert!(waiting.iter_mut().all(|connection| read_response(connection).ends_with("\"now\"")));
    // The server ends after `stop` is set.
    server.stop.store(true, Ordering::SeqCst);
    server.thread.join().expect("no panic").expect("no error");
}

#[test]
fn an_overloaded_request_class_does_not_block_the_other_classes() {
    let server = start_server(LIMITS);
    // All threads for interactive requests are blocked, and as many further requests are queued.
    let mut stuck: Vec<TcpStream> = (0..4).map(|_| connect(server.addr)).collect();
    let (blocked, queued) = stuck.split_at_mut(2);
    blocked.iter_mut().for_each(|connection| send_request(connection, "/block"));
    (0..2).for_each(|_| server.blocked.recv_timeout(TIMEOUT).expect("blocked"));
    let mut health_checker = connect(server.addr);
    // Two requests fill the queue. Each further request is refused at once with `Retry-After`.
    queued.iter_mut().for_each(|connection| send_request(connection, "/any"));
    let mut more: Vec<TcpStream> = (0..3).map(|_| connect(server.addr)).collect();
    let refusals: Vec<String> = more.iter_mut().map(|connection| request(connection, "/any")).collect();
    let has_retry_after =
        |refusal: &String| is_service_unavailable(refusal) && refusal.contains("Retry-After: 1");
    assert!(refusals.iter().all(has_retry_after), "{refusals:?}");
    // Health checks and background requests are still served.
    assert!(is_ok(&request(&mut health_checker, "/up")));
    let mut workers: Vec<TcpStream> = (0..10).map(|_| connect(server.addr)).collect();
    assert!(workers.iter_mut().all(|connection| is_ok(&request(connection, "/bulk"))));
    // A background request above the limit on background connections is refused. Interactive requests are
    // served again once the blocked requests are released.
    let mut worker = connect(server.addr);
    assert!(is_service_unavailable(&request(&mut worker, "/bulk")));
    (0..2).for_each(|_| server.release.send(()).expect("the server"));
    assert!(stuck.iter_mut().all(|connection| is_ok(&read_response(connection))));
    assert!(is_ok(&request(&mut connect(server.addr), "/any")));
    // A background connection that is closed makes room for another one. The server may notice the close
    // late, so the request is repeated.
    drop(workers.pop());
    let served = (0..1000).any(|_| is_ok(&request(&mut connect(server.addr), "/bulk")));
    assert!(served, "a new background connection must be accepted after one was closed");
}

#[test]
fn a_reply_dropped_without_a_response_closes_the_connection() {
    let limits = ServerLimits { connections: 8, background_connections: 4, interactive_threads: 1, ..LIMITS };
    let server = start_server(limits);
    let mut connection = connect(server.addr);
    send_request(&mut connection, "/deferred");
    drop(server.deferred.recv_timeout(TIMEOUT).expect("a deferred request"));
    assert_eq!(read_response(&mut connection), "");
}
