//! Cells of the real program on loopback: controllers as processes, between stand-ins for the state
//! service, the cloud and the workers, and links between cells that can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use milletlock::http::{Client, ClientResponse, Request, Response};
use milletlock::peer::{self, Call};
use milletlock::time::{Micros, Steady};
use milletlock::wire::{CellsStatus, Change, ExitReason, HeartbeatReply, Order, TaskStage};
use serde_json::{json, Value};

use super::servers::{serve, serve_some};
use super::state_store_server::{
    events, parameter, read_response, transaction, transaction_response, watched,
};
use super::store::Store;
use super::worker::{Attempt, Task, WorkerState};
use super::{platform_json, types};

/// Controllers of each cell, unless its plan says otherwise.
const CONTROLLERS: usize = 2;
/// The workers' lease in these settings, in seconds.
pub const LEASE_S: f64 = 4.0;
/// How often a worker sends a heartbeat if nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// How often a worker looks whether it has a reason to send a heartbeat.
const WORKER_STEP: Duration = Duration::from_millis(40);
/// Port on which controllers hear each other.
const INTERNAL_PORT: u16 = 8081;

/// Waits for a condition that is bound to come; the deadline only ends a broken run.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// What the workers of all cells did.
#[derive(Default)]
pub struct History {
    /// Each task that ever began, with the cells and attempts.
    pub begun: BTreeMap<String, BTreeSet<(usize, u64)>>,
    /// How often each task finished in which cell.
    pub finished: BTreeMap<String, Vec<usize>>,
    /// Tasks that are on a machine, with its name.
    pub present: BTreeMap<(usize, Attempt), String>,
    /// Machines that are gone.
    pub gone: BTreeSet<String>,
    /// Tasks that end before their time.
    pub ended_early: BTreeSet<String>,
    /// Machines that were asked for in vain.
    pub scale_out_requests: u64,
    /// The orders that workers executed, and when.
    pub orders: Vec<(Instant, Order)>,
    /// Tasks that were killed by the end of a worker's lease.
    pub killed_by_lease: usize,
}

impl History {
    /// A machine is gone, with all that is on it.
    pub fn remove_machine(&mut self, id: &str) {
        self.gone.insert(id.to_string());
        self.present.retain(|_, machine| machine != id);
    }

    /// How many tasks finished in each cell.
    pub fn tally(&self, cells: usize) -> Vec<usize> {
        let of = |cell: usize| self.finished.values().flatten().filter(|at| **at == cell).count();
        (0..cells).map(of).collect()
    }

    /// How many tasks of a job finished.
    pub fn finished_of(&self, job: &str) -> usize {
        self.finished.keys().filter(|task| task.starts_with(&format!("{job}/"))).count()
    }

    /// Each task that was submitted finished once, in the only cell where it ever began.
    pub fn assert_each_finished_once(&self, tasks: usize) {
        for (task, cells) in &self.finished {
            assert_eq!(cells.len(), 1, "{task} finished in cells {cells:?}");
        }
        for (task, began) in &self.begun {
            let cells: BTreeSet<usize> = began.iter().map(|at| at.0).collect();
            assert_eq!(cells.len(), 1, "{task} began in cells {cells:?}");
        }
        assert_eq!(self.finished.len(), tasks);
    }
}

/// The state store of a cell, with leases that end.
#[derive(Default)]
struct StateStore {
    store: Store,
    /// Lease to its time to live, its end and its keys.
    leases: BTreeMap<u64, (Duration, Instant, Vec<String>)>,
}

impl StateStore {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|l| l.1 .1 < now).map(|l| *l.0).collect();
        for lease in ended {
            let keys = self.leases.remove(&lease).map(|l| l.2).unwrap_or_default();
            for key in keys.into_iter().filter(|key| self.store.keys.remove(key).is_some()) {
                self.store.revision += 1;
                self.store.log.push((self.store.revision, key, None));
            }
        }
    }

    fn reply(&mut self, r: &Request) -> Response {
        let path = r.path.split('?').next().unwrap_or("");
        let lease = path.trim_start_matches("/leases/").trim_end_matches("/renew").parse().unwrap_or(0);
        match (r.method.as_str(), path) {
            ("POST", "/leases") => {
                let body: Value = serde_json::from_slice(&r.body).expect("a lease");
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().expect("a time to live"));
                let id = self.leases.last_key_value().map_or(1, |l| l.0 + 1);
                self.leases.insert(id, (ttl, Instant::now() + ttl, Vec::new()));
                Response::json(200, &json!({ "tenure": id }))
            }
            ("POST", p) if p.ends_with("/renew") => match self.leases.get_mut(&lease) {
                Some(l) => {
                    l.1 = Instant::now() + l.0;
                    Response::json(200, &json!({}))
                }
                None => Response::error(404, "no such lease"),
            },
            ("DELETE", _) => {
                self.leases.get_mut(&lease).into_iter().for_each(|l| l.1 = Instant::now());
                Response::json(200, &json!({}))
            }
            ("POST", "/txn") => {
                let txn = transaction(r);
                let result = self.store.txn(&txn);
                for change in txn.then.iter().filter(|_| result.is_ok()) {
                    if let Change::Put { put, lease: Some(lease), .. } = change {
                        self.leases.get_mut(lease).into_iter().for_each(|l| l.2.push(put.clone()));
                    }
                }
                transaction_response(&self.store, result)
            }
            ("GET", _) => read_response(&self.store, r),
            _ => Response::error(404, "no such path"),
        }
    }
}

/// What the controllers of a cell asked of their state store.
#[derive(Default)]
pub struct StateLoad {
    pub requests: AtomicUsize,
    pub changes: AtomicUsize,
}

/// While `drops_replies`, every fourth transaction has no reply: some are carried out, some are not.
fn state_store_server(
    drops_replies: Arc<AtomicBool>,
    is_out: Arc<AtomicBool>,
    load: Arc<StateLoad>,
) -> SocketAddr {
    let (state, changed) = (Mutex::new(StateStore::default()), Condvar::new());
    let transactions = AtomicUsize::new(0);
    serve_some(move |r| {
        load.requests.fetch_add(1, Ordering::Relaxed);
        if r.path == "/txn" {
            load.changes.fetch_add(transaction(&r).then.len(), Ordering::Relaxed);
        }
        let mut state = lock(&state);
        if r.path.starts_with("/watch") {
            let (prefix, from) = watched(&r);
            let block = Duration::from_millis(parameter(&r, "blockMs").parse().unwrap_or(0));
            let end = Instant::now() + block;
            while events(&state.store, prefix, from).is_empty() && Instant::now() < end {
                let wait = Duration::from_millis(20);
                state = changed.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
                state.expire();
            }
        }
        state.expire();
        let drops = r.path == "/txn" && drops_replies.load(Ordering::Relaxed);
        let number = if drops { transactions.fetch_add(1, Ordering::Relaxed) } else { 1 };
        if number % 8 == 0 {
            return None;
        }
        if is_out.load(Ordering::Relaxed) {
            return Some(Response::error(503, "trouble"));
        }
        let response = state.reply(&r);
        changed.notify_all();
        (number % 8 != 4).then_some(response)
    })
}

/// A cloud that has just the cell's machines, and no more capacity.
fn cloud(machines: Vec<String>, history: Arc<Mutex<History>>) -> SocketAddr {
    serve(move |r| match (r.method.as_str(), r.path.split('?').next().unwrap_or("")) {
        ("POST", "/rentals/return") => {
            let body: Value = serde_json::from_slice(&r.body).expect("a request");
            let names = body["husks"].as_array().expect("names").iter().filter_map(Value::as_str);
            names.for_each(|id| lock(&history).remove_machine(id));
            Response::json(200, &json!({}))
        }
        ("POST", "/rentals") => {
            let body: Value = serde_json::from_slice(&r.body).expect("a request");
            lock(&history).scale_out_requests += body["count"].as_u64().unwrap_or(0);
            Response::error(503, "no capacity")
        }
        ("GET", "/catalog") => Response::json(200, &json!({ "breeds": types() })),
        ("GET", "/rentals") => {
            let from = parameter(&r, "from");
            let machine = |id: &String| {
                json!({ "nameId": id, "addr": "", "breed": "small", "field": "north", "gleanings": false,
                        "stage": "running", "ageS": 60.0 })
            };
            let history = lock(&history);
            let listed = machines.iter().filter(|id| id.as_str() > from && !history.gone.contains(*id));
            let list: Vec<Value> = listed.map(machine).collect();
            Response::json(200, &json!({ "husks": list, "more": false }))
        }
        _ => Response::error(503, "no capacity"),
    })
}

/// A worker that sends heartbeats to its cell's controllers in turn until the test ends.
struct Worker {
    cell: usize,
    state: WorkerState,
    ends: BTreeMap<Attempt, Instant>,
    task_time: Duration,
    history: Arc<Mutex<History>>,
}

impl Worker {
    fn run(mut self, controllers: &[SocketAddr], stop: &AtomicBool) {
        let started = Instant::now();
        let lease = Micros::from_secs(LEASE_S);
        let now = || Steady(started.elapsed().as_micros() as i64);
        let (mut at, mut sent_at, mut changed) = (0, Instant::now(), true);
        while !stop.load(Ordering::Relaxed) && !lock(&self.history).gone.contains(&self.state.id) {
            changed |= self.finish_tasks(now());
            changed |= self.end_session(lease, now());
            if changed || sent_at.elapsed() > HEARTBEAT_INTERVAL {
                let body = serde_json::to_vec(&self.state.heartbeat()).expect("a heartbeat");
                sent_at = Instant::now();
                let client = Client::new(controllers[at], 0);
                let sent = now();
                let response = client.call("POST", "/checkin", Some(&body), Micros::from_secs(4.0));
                changed = match response {
                    Ok(ClientResponse { status: 200, body }) => {
                        let reply = serde_json::from_slice(&body).expect("a reply");
                        self.execute(&reply, sent, now())
                    }
                    _ => {
                        at = (at + 1) % controllers.len();
                        true
                    }
                };
            }
            std::thread::sleep(WORKER_STEP);
        }
    }

    /// Kills all tasks if the lease has run out.
    fn end_session(&mut self, lease: Micros, now: Steady) -> bool {
        if !self.state.end_session_after(lease, now) {
            return false;
        }
        let mut history = lock(&self.history);
        history.killed_by_lease += self.ends.len();
        for attempt in std::mem::take(&mut self.ends).into_keys() {
            history.present.remove(&(self.cell, attempt));
        }
        true
    }

    fn finish_tasks(&mut self, now: Steady) -> bool {
        let early = lock(&self.history).ended_early.clone();
        let ended: Vec<Attempt> = self
            .ends
            .iter()
            .filter(|(attempt, end)| **end < Instant::now() || early.contains(&attempt.0))
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in &ended {
            self.ends.remove(attempt);
            if let Some(task) = self.state.tasks.get_mut(attempt) {
                task.enter(TaskStage::Exited, Some(ExitReason::Done), now);
            }
            let mut history = lock(&self.history);
            if history.present.remove(&(self.cell, attempt.clone())).is_none() {
                continue;
            }
            history.finished.entry(attempt.0.clone()).or_default().push(self.cell);
        }
        !ended.is_empty()
    }

    /// Executes the orders of a reply; whether anything changed.
    fn execute(&mut self, reply: &HeartbeatReply, sent: Steady, now: Steady) -> bool {
        if !self.state.accept_reply(reply.fencing_token, sent) {
            return false;
        }
        let received = Instant::now();
        lock(&self.history).orders.extend(reply.orders.iter().map(|order| (received, order.clone())));
        for order in &reply.orders {
            match order {
                Order::Start { task, attempt } => self.start((task.clone(), *attempt), now),
                Order::Halt { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    self.state.halt(task, *attempt);
                    self.ends.remove(&key);
                    lock(&self.history).present.remove(&(self.cell, key));
                }
                Order::Forget { task, attempt } => self.state.forget(task, *attempt),
            }
        }
        !reply.orders.is_empty()
    }

    fn start(&mut self, attempt: Attempt, now: Steady) {
        if self.state.tasks.contains_key(&attempt) {
            return;
        }
        self.state.tasks.insert(attempt.clone(), Task::new(TaskStage::Running, Micros::ZERO, now));
        self.ends.insert(attempt.clone(), Instant::now() + self.task_time);
        let mut history = lock(&self.history);
        let elsewhere = history.present.keys().any(|(_, there)| there.0 == attempt.0);
        assert!(!elsewhere, "{} starts while it is on another machine", attempt.0);
        history.begun.entry(attempt.0.clone()).or_default().insert((self.cell, attempt.1));
        history.present.insert((self.cell, attempt), self.state.id.clone());
    }
}

/// A link to a controller of another cell that can be cut.
struct Link {
    cut: Arc<AtomicBool>,
}

impl Link {
    fn start(at: SocketAddr, to: SocketAddr) -> Link {
        let cut = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(at).expect("the link's address");
        let is_cut = cut.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(target) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else {
                    continue;
                };
                let pairs = [(&from, &target), (&target, &from)];
                for (source, sink) in pairs {
                    let (source, sink) = (source.try_clone(), sink.try_clone());
                    let is_cut = is_cut.clone();
                    if let (Ok(source), Ok(sink)) = (source, sink) {
                        std::thread::spawn(move || carry(source, sink, &is_cut));
                    }
                }
            }
        });
        Link { cut }
    }
}

/// Carries bytes until a side closes or the link is cut.
fn carry(mut source: TcpStream, mut sink: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 8192];
    while let Ok(count) = source.read(&mut bytes) {
        if count == 0 || is_cut.load(Ordering::Relaxed) || sink.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (source.shutdown(Shutdown::Both), sink.shutdown(Shutdown::Both));
}

/// Settings of one cell.
pub struct CellPlan {
    /// Its number of workers, of four processors each.
    pub workers: usize,
    /// Processors' worth of tasks that it borrows.
    pub borrow_cpus: u32,
    /// Whether its settings have a block of cells.
    pub has_block: bool,
    /// How long its tasks run.
    pub task_time: Duration,
    /// Its number of controllers.
    pub controllers: usize,
}

impl Default for CellPlan {
    fn default() -> CellPlan {
        CellPlan {
            workers: 0,
            borrow_cpus: 0,
            has_block: true,
            task_time: Duration::from_millis(250),
            controllers: CONTROLLERS,
        }
    }
}

/// A cell.
struct Cell {
    controllers: Vec<Option<Child>>,
    users: Vec<SocketAddr>,
    internal: Vec<SocketAddr>,
    load: Arc<StateLoad>,
}

/// Cells that know each other.
pub struct Cells {
    cells: Vec<Cell>,
    /// Links by the cell that asks and the cell that is asked.
    links: BTreeMap<(usize, usize), Vec<Link>>,
    /// What the workers did.
    pub history: Arc<Mutex<History>>,
    /// Whether the state stores drop replies.
    pub drops_replies: Arc<AtomicBool>,
    /// Whether the state stores refuse everybody.
    pub state_is_out: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    folder: std::path::PathBuf,
}

impl Cells {
    /// Starts cells; `group` tells the addresses of tests that run at once apart.
    pub fn start(group: u8, plans: &[CellPlan]) -> Cells {
        let network = (std::process::id() % 200 + 20) as u8;
        let addr =
            |host: usize, port: u16| SocketAddr::from((Ipv4Addr::new(127, network, group, host as u8), port));
        let host = |cell: usize, controller: usize| cell * 10 + controller + 1;
        let link_host = |from: usize, to: usize, controller: usize| 100 + from * 30 + to * 10 + controller;
        let folder = std::env::temp_dir().join(format!("milletlock-cells-{}-{group}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut cells = Cells {
            cells: Vec::new(),
            links: BTreeMap::new(),
            history: Arc::default(),
            drops_replies: Arc::default(),
            state_is_out: Arc::default(),
            stop: Arc::default(),
            folder,
        };
        for (i, plan) in plans.iter().enumerate() {
            let controllers = 0..plan.controllers;
            let users: Vec<SocketAddr> = controllers.clone().map(|c| addr(host(i, c), 8080)).collect();
            let internal: Vec<SocketAddr> =
                controllers.clone().map(|c| addr(host(i, c), INTERNAL_PORT)).collect();
            let mut others = String::new();
            for to in (0..plans.len()).filter(|to| *to != i) {
                let at = |c: usize| addr(link_host(i, to, c), INTERNAL_PORT);
                let link = |c: usize| Link::start(at(c), addr(host(to, c), INTERNAL_PORT));
                cells.links.insert((i, to), controllers.clone().map(link).collect());
                let list: Vec<String> = controllers.clone().map(|c| format!("\"{}\"", at(c))).collect();
                others += &format!("{{ name = \"cell-{to}\", controllers = [{}] }},", list.join(", "));
            }
            let block = format!(
                "cells {{\n name = \"cell-{i}\"\n others = [{others}]\n lend = [\"*\"]\n borrow = [\"any\"]\n \
                 borrow_cpus = {}\n lend_after_s = 0.3\n}}\n",
                plan.borrow_cpus
            );
            let block = if plan.has_block { block.as_str() } else { "" };
            let hcl = format!(
                "leader_ttl_s = 1.0\ndrain_s = 3.0\nidle_s = 600.0\nidle_protected_s = 600.0\n{block}"
            );
            std::fs::write(cells.folder.join(format!("{i}.hcl")), hcl).expect("written");
            let machines: Vec<String> = (0..plan.workers).map(|w| format!("i-{i}{w:05}")).collect();
            let load = Arc::<StateLoad>::default();
            let (state, cloud) = (
                state_store_server(cells.drops_replies.clone(), cells.state_is_out.clone(), load.clone()),
                cloud(machines.clone(), cells.history.clone()),
            );
            for c in 0..plan.controllers {
                let mut p = platform_json();
                p["label"] = json!(format!("c-{c}"));
                p["serve_on"] = json!(users[c].to_string());
                p["internal_addr"] = json!(internal[c].to_string());
                let member = |other: usize| json!({ "label": format!("c-{other}"), "addr": internal[other] });
                p["members"] = (0..plan.controllers).filter(|other| *other != c).map(member).collect();
                p["services"] = json!({ "cloud": cloud, "state": state });
                let workers = &mut p["settings"]["workers"];
                workers["report_s"] = json!(0.5);
                workers["lease_s"] = json!(LEASE_S);
                workers["cancel_s"] = json!(8.0);
                std::fs::write(cells.folder.join(format!("{i}-{c}.json")), p.to_string()).expect("written");
            }
            let none = (0..plan.controllers).map(|_| None).collect();
            cells.cells.push(Cell { controllers: none, users: users.clone(), internal, load });
            (0..plan.controllers).for_each(|c| cells.start_controller(i, c));
            for id in machines {
                let mut state = WorkerState::new(id, "north", Steady(0));
                state.addr = String::new();
                let history = cells.history.clone();
                let worker =
                    Worker { cell: i, state, ends: BTreeMap::new(), task_time: plan.task_time, history };
                let (users, stop) = (users.clone(), cells.stop.clone());
                std::thread::spawn(move || worker.run(&users, &stop));
            }
        }
        (0..plans.len()).for_each(|i| until("a cell is up", || cells.leader(i).is_some()));
        cells
    }

    /// Starts a controller's process.
    pub fn start_controller(&mut self, cell: usize, controller: usize) {
        let file = |name: String| self.folder.join(name);
        let log = std::fs::File::create(file(format!("{cell}-{controller}.log"))).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_milletlock"))
            .arg("--config")
            .arg(file(format!("{cell}-{controller}.json")))
            .arg("--operator")
            .arg(file(format!("{cell}.hcl")))
            .env("LOG_LEVEL", "info")
            .env("LOG_FORMAT", "json")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program");
        self.cells[cell].controllers[controller] = Some(child);
    }

    /// What a controller's process has logged since it was last started.
    pub fn log_file(&self, cell: usize, controller: usize) -> std::path::PathBuf {
        self.folder.join(format!("{cell}-{controller}.log"))
    }

    /// Ends a controller's process at once.
    pub fn kill_controller(&mut self, cell: usize, controller: usize) {
        if let Some(mut child) = self.cells[cell].controllers[controller].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A cell is gone, with its controllers and machines.
    pub fn lose_cell(&mut self, cell: usize) {
        (0..self.cells[cell].controllers.len()).for_each(|c| self.kill_controller(cell, c));
        let mut history = lock(&self.history);
        let of_cell = history.present.iter().filter(|(at, _)| at.0 == cell);
        let machines: BTreeSet<String> = of_cell.map(|(_, machine)| machine.clone()).collect();
        machines.iter().for_each(|machine| history.remove_machine(machine));
    }

    /// The address at which a cell's leader hears other controllers.
    pub fn leader_address(&self, cell: usize) -> String {
        let mut leader = None;
        until("a cell has a leader", || {
            leader = self.leader(cell);
            leader.is_some()
        });
        self.cells[cell].internal[leader.expect("a leader")].to_string()
    }

    /// Cuts two cells off from each other, or connects them again.
    pub fn cut(&self, one: usize, other: usize, is_cut: bool) {
        for pair in [(one, other), (other, one)] {
            self.links[&pair].iter().for_each(|link| link.cut.store(is_cut, Ordering::Relaxed));
        }
    }

    /// What a cell's controllers have asked of their state store.
    pub fn state_load(&self, cell: usize) -> (usize, usize) {
        let load = &self.cells[cell].load;
        (load.requests.load(Ordering::Relaxed), load.changes.load(Ordering::Relaxed))
    }

    /// Processor time in clock ticks that a cell's controllers have taken.
    pub fn processor_ticks(&self, cell: usize) -> u64 {
        let ticks = |child: &Child| -> u64 {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            [11, 12].iter().filter_map(|i| fields.get(*i)?.parse::<u64>().ok()).sum()
        };
        self.cells[cell].controllers.iter().flatten().map(ticks).sum()
    }

    /// Has tasks end now, done.
    pub fn end_tasks(&self, tasks: &[String]) {
        lock(&self.history).ended_early.extend(tasks.iter().cloned());
    }

    /// What a controller says of itself.
    pub fn status(&self, cell: usize, controller: usize) -> Option<Value> {
        self.cells[cell].controllers[controller].as_ref()?;
        let call = Call { method: "GET".into(), path: "/status".into(), body: Vec::new() };
        let answer = peer::ask(self.cells[cell].internal[controller], call, Micros::from_secs(2.0)).ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Which controller leads a cell.
    pub fn leader(&self, cell: usize) -> Option<usize> {
        (0..self.cells[cell].controllers.len())
            .find(|c| self.status(cell, *c).is_some_and(|status| status["owner"].is_object()))
    }

    /// What a cell's leader says of loans.
    pub fn cells_status(&self, cell: usize) -> Option<CellsStatus> {
        let status = self.status(cell, self.leader(cell)?)?;
        serde_json::from_value(status["cells"].clone()).ok()
    }

    /// Calls a cell's users' interface, at whichever controller replies.
    pub fn call(&self, cell: usize, method: &str, path: &str, body: Option<&Value>) -> (u16, Value) {
        let body = body.map(|body| body.to_string().into_bytes());
        for addr in &self.cells[cell].users {
            let client = Client::new(*addr, 0);
            if let Ok(answer) = client.call(method, path, body.as_deref(), Micros::from_secs(5.0)) {
                return (answer.status, serde_json::from_slice(&answer.body).unwrap_or(Value::Null));
            }
        }
        (0, Value::Null)
    }

    /// Submits a job to a cell.
    pub fn submit(&self, cell: usize, job: &Value) {
        until("a job is accepted", || self.call(cell, "POST", "/api/jobs", Some(job)).0 / 100 == 2);
    }

    /// A job's stage at its home.
    pub fn stage(&self, cell: usize, job: &str) -> String {
        let answer = self.call(cell, "GET", &format!("/api/jobs/{job}"), None).1;
        answer["stage"].as_str().unwrap_or("").to_string()
    }
}

impl Drop for Cells {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for cell in 0..self.cells.len() {
            (0..self.cells[cell].controllers.len()).for_each(|c| self.kill_controller(cell, c));
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
