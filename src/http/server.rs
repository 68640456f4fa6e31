//! The server. One routine waits until something can be read on any of the open connections; a
//! bounded number of others read it and answer, by blocking calls with a deadline. So a connection
//! that says nothing costs a socket and no thread: one controller may have to serve every worker,
//! and the platform bounds a process's threads well below that.
//!
//! Callers of different kinds have room of their own, in connections and in threads, so that a
//! storm of workers after a cut cannot make the controller unhealthy or shut users out.

use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Registry, Token};

use super::{Request, Response, MAX_BODY, MAX_HEADERS};
use crate::time::{steady, Micros, Steady};

const MAX_HEAD: usize = 16 * 1024;
/// A connection that has asked before may be quiet for this long.
const QUIET: Micros = Micros(90_000_000);
/// One that has never asked anything, for this long.
const MUTE: Micros = Micros(30_000_000);
/// A request that has begun must be there whole within this.
const WHOLE: Micros = Micros(10_000_000);
/// Requests that waited longer for a thread are not answered: the caller has given up.
const GIVEN_UP: Micros = Micros(4_000_000);
/// A read is made only when something can be read; this is for when that was wrong.
const READ: Duration = Duration::from_millis(20);
const WRITE: Duration = Duration::from_secs(5);
/// Threads that are kept though nothing is to do.
const KEPT: usize = 4;
/// Threads that read requests whatever the others are busy with, and answer probes.
pub const READERS: usize = 4;
/// Ready connections for each free thread before there is one more.
const BACKLOG: usize = 4;
const LISTENER: Token = Token(0);

/// Which room a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Answered at once, whatever else waits: health checks.
    Probe,
    /// Users.
    Prompt,
    /// Workers: many, and each comes again.
    Bulk,
}

/// How many connections are open, and how many requests are answered, at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Connections in all.
    pub connections: usize,
    /// Connections of workers among them.
    pub bulk_connections: usize,
    /// Threads that answer users.
    pub prompt_threads: usize,
    /// Threads that answer workers.
    pub bulk_threads: usize,
}

/// What answers requests.
#[derive(Clone)]
pub struct Service {
    /// Tells what room a request belongs to.
    pub lane: fn(&Request) -> Lane,
    /// Answers, at once or later from another routine.
    pub handler: Arc<dyn Fn(Request, Reply) + Send + Sync>,
}

/// The way back to whoever asked. Dropped without an answer it closes the connection.
pub struct Reply {
    conn: Conn,
    shared: Arc<Shared>,
}

impl Reply {
    /// Answers. The connection goes on waiting for the next request.
    pub fn send(self, r: &Response) {
        let Reply { mut conn, shared } = self;
        let close = conn.close;
        if !conn.respond(r, close) || close {
            return;
        }
        conn.begun = None;
        if conn.buf.is_empty() {
            // What a large request took is given back while nothing is asked.
            conn.buf = Vec::new();
            shared.park(conn);
        } else {
            shared.push(|w| w.ready.push_back(conn));
        }
    }
}

/// Counts an open connection until it is dropped.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(of: &Arc<AtomicUsize>) -> Counted {
        of.fetch_add(1, Ordering::Relaxed);
        Counted(of.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Conn {
    stream: TcpStream,
    token: Token,
    known: bool,
    buf: Vec<u8>,
    /// When it last became quiet.
    quiet: Steady,
    /// When the request that is being read began.
    begun: Option<Steady>,
    /// Close after the answer.
    close: bool,
    /// `100 Continue` was said for the request that is being read.
    continued: bool,
    asked: bool,
    bulk: Option<Counted>,
    _open: Counted,
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
    /// Reads what is there. False: the connection is gone.
    fn fill(&mut self) -> bool {
        let mut chunk = [0u8; 16 * 1024];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return false,
                Ok(n) => {
                    self.buf.extend_from_slice(&chunk[..n]);
                    return true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                // Nothing to read after all.
                Err(e) => return matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            }
        }
    }

    fn parse_head(&self) -> Result<Option<Head>, Response> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        let end = match req.parse(&self.buf) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) => {
                if self.buf.len() > MAX_HEAD {
                    return Err(Response::error(431, "request head too long"));
                }
                return Ok(None);
            }
            Err(httparse::Error::TooManyHeaders) => return Err(Response::error(431, "too many headers")),
            Err(_) => return Err(Response::error(400, "not HTTP")),
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
                head.length = value.parse().map_err(|_| Response::error(400, "bad Content-Length"))?;
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(Response::error(501, "Transfer-Encoding is not taken"));
            } else if h.name.eq_ignore_ascii_case("connection") {
                head.close |= value.eq_ignore_ascii_case("close");
            } else if h.name.eq_ignore_ascii_case("expect") {
                head.expects = value.eq_ignore_ascii_case("100-continue");
            }
        }
        // Said before the body is read: an oversized one is never taken in.
        if head.length > MAX_BODY {
            return Err(Response::error(413, "body over 64 KiB"));
        }
        Ok(Some(head))
    }

    /// The request, once it is there whole; or what it is refused with.
    fn request(&mut self) -> Result<Option<Request>, Response> {
        let Some(head) = self.parse_head()? else { return Ok(None) };
        let total = head.end + head.length;
        if self.buf.len() < total {
            if head.expects && !self.continued {
                self.continued = true;
                // If it cannot be said the next read shows that the other side is gone.
                let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return Ok(None);
        }
        let body = self.buf[head.end..total].to_vec();
        self.buf.drain(..total);
        self.close |= head.close;
        self.continued = false;
        Ok(Some(Request { method: head.method, path: head.path, body }))
    }

    fn respond(&mut self, r: &Response, close: bool) -> bool {
        self.stream.write_all(&r.bytes(close)).is_ok()
    }
}

/// A request that waits for a thread.
struct Job {
    request: Request,
    conn: Conn,
    since: Steady,
}

#[derive(Default)]
struct Work {
    /// Connections with something to read.
    ready: VecDeque<Conn>,
    prompt: VecDeque<Job>,
    bulk: VecDeque<Job>,
    prompt_busy: usize,
    bulk_busy: usize,
    idle: usize,
    threads: usize,
}

struct Shared {
    room: Room,
    service: Service,
    registry: Registry,
    /// Connections that wait for something to read.
    parked: Mutex<BTreeMap<Token, Conn>>,
    work: Mutex<Work>,
    bell: Condvar,
    bulk: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

fn locked<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic in a handler must not take the others along.
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Shared {
    /// Waits until something can be read. Under the lock, so that nobody else has the connection,
    /// and with it the descriptor, before it is registered.
    fn park(&self, mut conn: Conn) {
        conn.quiet = steady();
        let (token, fd, known) = (conn.token, conn.stream.as_raw_fd(), conn.known);
        conn.known = true;
        let mut parked = locked(&self.parked);
        // Registered anew each time: what came meanwhile is told again.
        let told = match known {
            true => self.registry.reregister(&mut SourceFd(&fd), token, Interest::READABLE),
            false => self.registry.register(&mut SourceFd(&fd), token, Interest::READABLE),
        };
        if told.is_ok() {
            parked.insert(token, conn);
        }
    }

    /// Hands something to the threads, one more of them if all are busy.
    fn push(self: &Arc<Self>, add: impl FnOnce(&mut Work)) {
        let mut w = locked(&self.work);
        add(&mut w);
        self.call(w);
    }

    fn call(self: &Arc<Self>, mut w: MutexGuard<'_, Work>) {
        // Threads that answer may be blocked; the others will come to what is ready. One core is
        // shared by all, so a thread for each of them would gain nothing.
        let free = w.threads.saturating_sub(w.prompt_busy + w.bulk_busy);
        let most = self.room.prompt_threads + self.room.bulk_threads + READERS;
        if w.ready.len() > BACKLOG * free && w.threads < most {
            w.threads += 1;
            drop(w);
            let shared = self.clone();
            let spawned = std::thread::Builder::new()
                .name("answer".into())
                .stack_size(256 * 1024)
                .spawn(move || shared.run());
            if let Err(e) = spawned {
                // Those that there are do its share.
                tracing::info!(error = %e, "no thread more to answer");
                locked(&self.work).threads -= 1;
            }
        } else if w.idle > 0 && !w.ready.is_empty() {
            drop(w);
            self.bell.notify_one();
        }
    }

    /// What is to do next, with the lane whose room it takes.
    fn next(&self, w: &mut Work) -> Option<Result<Job, Conn>> {
        if w.prompt_busy < self.room.prompt_threads {
            if let Some(j) = w.prompt.pop_front() {
                w.prompt_busy += 1;
                return Some(Ok(j));
            }
        }
        if let Some(c) = w.ready.pop_front() {
            return Some(Err(c));
        }
        if w.bulk_busy < self.room.bulk_threads {
            if let Some(j) = w.bulk.pop_front() {
                w.bulk_busy += 1;
                return Some(Ok(j));
            }
        }
        None
    }

    /// One of the threads.
    fn run(self: Arc<Self>) {
        let mut w = locked(&self.work);
        let mut unused = false;
        while !self.stop.load(Ordering::Relaxed) {
            if let Some(next) = self.next(&mut w) {
                unused = false;
                self.call(w);
                match next {
                    Ok(job) => self.answer(job),
                    Err(conn) => self.read(conn),
                }
                w = locked(&self.work);
                continue;
            }
            if unused && w.threads > KEPT {
                break;
            }
            w.idle += 1;
            let waited = self.bell.wait_timeout(w, Duration::from_secs(10));
            let (guard, timeout) = waited.unwrap_or_else(|e| e.into_inner());
            w = guard;
            w.idle -= 1;
            unused = timeout.timed_out();
        }
        w.threads -= 1;
    }

    /// Answers a request that has its room already.
    fn answer(self: &Arc<Self>, job: Job) {
        let bulk = job.conn.bulk.is_some();
        if steady() - job.since < GIVEN_UP {
            (self.service.handler)(job.request, Reply { conn: job.conn, shared: self.clone() });
        }
        let mut w = locked(&self.work);
        if bulk {
            w.bulk_busy -= 1;
        } else {
            w.prompt_busy -= 1;
        }
    }

    /// Reads what is there, and answers if it is a whole request for which there is room.
    fn read(self: &Arc<Self>, mut conn: Conn) {
        let had = !conn.buf.is_empty() && conn.begun.is_none();
        if !had && !conn.fill() {
            return;
        }
        if conn.buf.is_empty() {
            return self.park(conn);
        }
        let request = match conn.request() {
            Ok(Some(r)) => r,
            Ok(None) => {
                conn.begun.get_or_insert_with(steady);
                return self.park(conn);
            }
            Err(refusal) => {
                conn.respond(&refusal, true);
                return;
            }
        };
        conn.asked = true;
        let lane = (self.service.lane)(&request);
        if lane == Lane::Probe {
            (self.service.handler)(request, Reply { conn, shared: self.clone() });
            return;
        }
        if lane == Lane::Bulk && conn.bulk.is_none() {
            let mine = Counted::new(&self.bulk);
            if self.bulk.load(Ordering::Relaxed) > self.room.bulk_connections {
                conn.respond(&Response::error(503, "no room for more workers"), true);
                return;
            }
            conn.bulk = Some(mine);
        } else if lane == Lane::Prompt {
            conn.bulk = None;
        }
        let job = Job { request, conn, since: steady() };
        let mut w = locked(&self.work);
        let (busy, most) = match lane {
            Lane::Bulk => (w.bulk_busy, self.room.bulk_threads),
            _ => (w.prompt_busy, self.room.prompt_threads),
        };
        if busy < most {
            match lane {
                Lane::Bulk => w.bulk_busy += 1,
                _ => w.prompt_busy += 1,
            }
            // This thread may be blocked now: somebody else has to look at what is ready.
            self.call(w);
            self.answer(job);
        } else if lane == Lane::Bulk {
            w.bulk.push_back(job);
        } else if w.prompt.len() < most {
            w.prompt.push_back(job);
        } else {
            // Said at once, with when to come back.
            drop(w);
            let busy = Response::error(503, "too many requests at once").later(1);
            Reply { conn: job.conn, shared: self.clone() }.send(&busy);
        }
    }

    /// Closes connections that have been quiet for too long, or are too slow.
    fn sweep(&self, now: Steady) {
        locked(&self.parked).retain(|_, c| match c.begun {
            Some(b) => now - b < WHOLE,
            None => now - c.quiet < if c.asked { QUIET } else { MUTE },
        });
    }
}

/// Serves connections until `stop` is set. Connections beyond the room are closed as they come.
pub fn serve(
    listener: TcpListener,
    room: Room,
    stop: Arc<AtomicBool>,
    service: Service,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(256);
    poll.registry().register(&mut SourceFd(&listener.as_raw_fd()), LISTENER, Interest::READABLE)?;
    let open = Arc::new(AtomicUsize::new(0));
    let shared = Arc::new(Shared {
        room,
        service,
        registry: poll.registry().try_clone()?,
        parked: Mutex::default(),
        work: Mutex::default(),
        bell: Condvar::new(),
        bulk: Arc::default(),
        stop: stop.clone(),
    });
    let (mut swept, mut tokens, mut full) = (steady(), LISTENER.0, false);
    while !stop.load(Ordering::Relaxed) {
        let wait = Duration::from_millis(if full { 20 } else { 1000 });
        match poll.poll(&mut events, Some(wait)) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        }
        let mut ready = Vec::new();
        {
            let mut parked = locked(&shared.parked);
            // One that is not there is being answered: it is registered anew afterwards.
            ready.extend(events.iter().filter_map(|e| parked.remove(&e.token())));
        }
        for conn in ready {
            shared.push(|w| w.ready.push_back(conn));
        }
        if full || events.iter().any(|e| e.token() == LISTENER) {
            full = !accept(&listener, &shared, &open, &mut tokens);
        }
        let now = steady();
        if now - swept > Micros::from_secs(5.0) {
            swept = now;
            shared.sweep(now);
        }
    }
    shared.bell.notify_all();
    Ok(())
}

/// Takes all connections that wait. False: there are no sockets left, to be tried again soon.
fn accept(listener: &TcpListener, shared: &Arc<Shared>, open: &Arc<AtomicUsize>, tokens: &mut usize) -> bool {
    loop {
        let stream = match listener.accept() {
            Ok((s, _)) => s,
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => continue,
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        };
        if open.load(Ordering::Relaxed) >= shared.room.connections {
            continue;
        }
        *tokens += 1;
        let set = || -> std::io::Result<()> {
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(READ))?;
            stream.set_write_timeout(Some(WRITE))
        };
        if set().is_err() {
            continue;
        }
        shared.park(Conn {
            stream,
            token: Token(*tokens),
            known: false,
            buf: Vec::new(),
            quiet: steady(),
            begun: None,
            close: false,
            continued: false,
            asked: false,
            bulk: None,
            _open: Counted::new(open),
        });
    }
}
