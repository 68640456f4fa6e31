//! The server: many more connections than threads, and room of its own for each kind of caller.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use milletlock::http::{self, Reply, Request, RequestClass, Response, ServerLimits, Service};

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

fn start(limits: ServerLimits) -> Server {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address");
    let (hold, held) = channel();
    let (release, go) = channel();
    let (says, blocked) = channel();
    let (go, stop) = (Mutex::new(go), Arc::new(AtomicBool::new(false)));
    let (hold, says) = (Mutex::new(hold), Mutex::new(says));
    let handler = move |r: Request, reply: Reply| match r.path.as_str() {
        "/held" => hold.lock().expect("a lock").send(reply).expect("the test"),
        "/block" => {
            says.lock().expect("a lock").send(()).expect("the test");
            let _ = go.lock().expect("a lock").recv();
            reply.send(&Response::json(200, &"late"));
        }
        _ => reply.send(&Response::json(200, &"ok")),
    };
    let classify = |r: &Request| match r.path.as_str() {
        "/up" => RequestClass::HealthCheck,
        "/bulk" => RequestClass::Background,
        _ => RequestClass::Interactive,
    };
    let service = Service { classify, handler: Arc::new(handler) };
    let until = stop.clone();
    let thread = std::thread::spawn(move || http::serve(l, limits, until, service));
    Server { addr, held, release, blocked, stop, thread }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let s = TcpStream::connect(addr).expect("a connection");
    s.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    s
}

fn ask(s: &mut TcpStream, path: &str) {
    s.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).expect("sent");
}

/// The response's head and body; empty if the connection was closed.
fn read_response(s: &mut TcpStream) -> String {
    let (mut out, mut chunk) = (Vec::new(), [0u8; 512]);
    loop {
        let n = s.read(&mut chunk).unwrap_or(0);
        out.extend_from_slice(&chunk[..n]);
        let text = String::from_utf8_lossy(&out).into_owned();
        let whole = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
            let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
            length.and_then(|l| l.parse().ok()) == Some(body.len())
        });
        if n == 0 || whole {
            return text;
        }
    }
}

fn ok(s: &mut TcpStream, path: &str) -> bool {
    ask(s, path);
    read_response(s).starts_with("HTTP/1.1 200")
}

#[test]
fn many_more_connections_than_threads_are_served_and_stay_open() {
    let limits = ServerLimits {
        connections: 300,
        background_connections: 280,
        interactive_threads: 2,
        background_threads: 1,
    };
    let s = start(limits);
    let mut all: Vec<TcpStream> = (0..250).map(|_| connect(s.addr)).collect();
    for path in ["/bulk", "/bulk", "/up"] {
        all.iter_mut().for_each(|c| ask(c, path));
        assert!(all.iter_mut().all(|c| read_response(c).starts_with("HTTP/1.1 200")), "{path}");
    }
    assert!(all.iter_mut().all(|c| ok(c, "/any")));
    // A request that comes in pieces, and one that waits for its reply, hold no thread.
    let (slow, rest) = all.split_at_mut(100);
    slow.iter_mut().for_each(|c| c.write_all(b"GET /any HT").expect("sent"));
    let mut held = Vec::new();
    for c in &mut rest[..50] {
        ask(c, "/held");
        held.push(s.held.recv_timeout(Duration::from_secs(20)).expect("held"));
    }
    assert!(rest[50..].iter_mut().all(|c| ok(c, "/any") && ok(c, "/bulk")));
    for c in slow {
        c.write_all(b"TP/1.1\r\n\r\n").expect("sent");
        assert!(read_response(c).starts_with("HTTP/1.1 200"));
    }
    held.into_iter().for_each(|r| r.send(&Response::json(200, &"now")));
    assert!(rest[..50].iter_mut().all(|c| read_response(c).ends_with("\"now\"")));
    // It ends when it is told to.
    s.stop.store(true, Ordering::SeqCst);
    s.thread.join().expect("no panic").expect("no error");
}

#[test]
fn no_kind_of_caller_starves_another() {
    let limits = ServerLimits {
        connections: 30,
        background_connections: 10,
        interactive_threads: 2,
        background_threads: 1,
    };
    let s = start(limits);
    // Users' threads are all blocked, and as many requests wait for one.
    let mut stuck: Vec<TcpStream> = (0..4).map(|_| connect(s.addr)).collect();
    stuck[..2].iter_mut().for_each(|c| ask(c, "/block"));
    (0..2).for_each(|_| s.blocked.recv_timeout(Duration::from_secs(20)).expect("blocked"));
    let mut prompt = connect(s.addr);
    // Two wait; from the next on they are told at once when to come back.
    stuck[2..].iter_mut().for_each(|c| ask(c, "/any"));
    let refused = |c: &mut TcpStream| {
        ask(c, "/any");
        read_response(c)
    };
    let mut more: Vec<TcpStream> = (0..3).map(|_| connect(s.addr)).collect();
    let said: Vec<String> = more.iter_mut().map(refused).collect();
    assert!(said.iter().all(|a| a.starts_with("HTTP/1.1 503") && a.contains("Retry-After: 1")), "{said:?}");
    // Probes and workers are replied to all the same.
    assert!(ok(&mut prompt, "/up"));
    let mut workers: Vec<TcpStream> = (0..10).map(|_| connect(s.addr)).collect();
    assert!(workers.iter_mut().all(|c| ok(c, "/bulk")));
    // Workers beyond their room are refused, users still find some.
    let mut worker = connect(s.addr);
    ask(&mut worker, "/bulk");
    assert!(read_response(&mut worker).starts_with("HTTP/1.1 503"));
    (0..2).for_each(|_| s.release.send(()).expect("the server"));
    assert!(stuck.iter_mut().all(|c| read_response(c).starts_with("HTTP/1.1 200")));
    assert!(ok(&mut connect(s.addr), "/any"));
    // A worker that leaves frees its connection for the next.
    drop(workers.pop());
    let mut served = false;
    for _ in 0..1000 {
        let mut next = connect(s.addr);
        served = ok(&mut next, "/bulk");
        if served {
            break;
        }
    }
    assert!(served, "the connection of a worker that left is used again");
}

#[test]
fn a_request_without_a_reply_closes_the_connection() {
    let limits = ServerLimits {
        connections: 8,
        background_connections: 4,
        interactive_threads: 1,
        background_threads: 1,
    };
    let s = start(limits);
    let mut c = connect(s.addr);
    ask(&mut c, "/held");
    drop(s.held.recv_timeout(Duration::from_secs(20)).expect("held"));
    assert_eq!(read_response(&mut c), "");
}
