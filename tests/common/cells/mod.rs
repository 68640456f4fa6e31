//! Cells on loopback addresses. The controllers run as processes of the real program. The state stores, the
//! clouds and the workers are simulated in the test process. The links between cells can be cut.

mod addresses;
mod cloud;
pub mod history;
mod link;
mod plan;
mod state_store;
mod worker;

pub use plan::CellPlan;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use milletlock::http::Client;
use milletlock::peer::{self, Call};
use milletlock::time::{Micros, Steady};
use milletlock::wire::{CellsStatus, Change, Row, Txn};
use serde_json::Value;

use self::addresses::Addresses;
use self::cloud::cloud;

use self::history::History;
use self::link::Link;
use self::plan::platform_settings;
use self::state_store::{state_store_server, StateStoreLoad};
use self::worker::Worker;
use super::worker::WorkerState;

/// The duration of the workers' lease in these cells, in seconds.
pub const LEASE_S: f64 = 4.0;

/// Waits until a condition holds. Panics after 60 seconds; only a faulty run takes that long.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Locks a mutex, even if a thread has panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A cell.
struct Cell {
    /// The controllers' processes; `None` for those that do not run.
    controllers: Vec<Option<Child>>,
    /// The addresses on which the controllers serve users and workers.
    users: Vec<SocketAddr>,
    /// The addresses on which the controllers serve other controllers.
    internal: Vec<SocketAddr>,
    /// The address of the state store.
    state: SocketAddr,
    /// The number of requests to the state store.
    load: Arc<StateStoreLoad>,
    /// The links from each controller to the state store.
    store_links: Vec<Link>,
}

/// The cells of a test.
pub struct Cells {
    cells: Vec<Cell>,
    /// The links to the controllers of other cells, by the index of the sending and of the receiving cell.
    links: BTreeMap<(usize, usize), Vec<Link>>,
    /// The events at the workers of all cells.
    pub history: Arc<Mutex<History>>,
    /// Whether the state stores drop replies.
    pub drops_replies: Arc<AtomicBool>,
    /// Whether the state stores refuse all requests.
    pub state_stores_unavailable: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    folder: std::path::PathBuf,
}

impl Cells {
    /// Starts cells with these plans. `group` must differ between tests that run at the same time in one
    /// process, since it determines the addresses.
    pub fn start(group: u8, plans: &[CellPlan]) -> Cells {
        let addresses = Addresses::new(group);
        let folder = std::env::temp_dir().join(format!("milletlock-cells-{}-{group}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut cells = Cells {
            cells: Vec::new(),
            links: BTreeMap::new(),
            history: Arc::default(),
            drops_replies: Arc::default(),
            state_stores_unavailable: Arc::default(),
            stop: Arc::default(),
            folder,
        };
        for (i, plan) in plans.iter().enumerate() {
            cells.start_links(i, plans, &addresses);
            cells.start_cell(i, plan, plans.len(), &addresses);
        }
        (0..plans.len()).for_each(|i| until("a cell has a leader", || cells.leader(i).is_some()));
        cells
    }

    /// Starts the links of a cell to all others.
    fn start_links(&mut self, cell: usize, plans: &[CellPlan], addresses: &Addresses) {
        for to in (0..plans.len()).filter(|to| *to != cell) {
            let link = |c: usize| Link::start(addresses.link(cell, to, c), addresses.internal(to, c));
            self.links.insert((cell, to), (0..plans[cell].controllers).map(link).collect());
        }
    }

    /// Starts a cell: its state store, cloud, controllers and workers.
    fn start_cell(&mut self, cell: usize, plan: &CellPlan, cells: usize, addresses: &Addresses) {
        let controllers = 0..plan.controllers;
        let users: Vec<SocketAddr> = controllers.clone().map(|c| addresses.users(cell, c)).collect();
        let internal: Vec<SocketAddr> = controllers.clone().map(|c| addresses.internal(cell, c)).collect();
        let settings = plan.operator_settings(cell, cells, addresses);
        std::fs::write(self.folder.join(format!("{cell}.hcl")), settings).expect("written");
        let machines: Vec<String> = (0..plan.workers).map(|w| format!("i-{cell}{w:05}")).collect();
        let load = Arc::<StateStoreLoad>::default();
        let state = state_store_server(
            self.drops_replies.clone(),
            self.state_stores_unavailable.clone(),
            load.clone(),
        );
        let cloud = cloud(machines.clone(), self.history.clone());
        let link = |c: usize| Link::start(addresses.state_store(cell, c), state);
        let store_links = controllers.clone().map(link).collect();
        for c in controllers.clone() {
            let settings = platform_settings(c, &users, &internal, cloud, addresses.state_store(cell, c));
            std::fs::write(self.folder.join(format!("{cell}-{c}.json")), settings).expect("written");
        }
        let none = controllers.clone().map(|_| None).collect();
        let cell_record =
            Cell { controllers: none, users: users.clone(), internal, state, load, store_links };
        self.cells.push(cell_record);
        controllers.for_each(|c| self.start_controller(cell, c));
        machines.into_iter().for_each(|id| self.start_worker(cell, id, plan.task_time, users.clone()));
    }

    /// Starts a worker, which runs until the test ends.
    fn start_worker(&self, cell: usize, id: String, task_time: Duration, controllers: Vec<SocketAddr>) {
        let mut state = WorkerState::new(id, "north", Steady(0));
        state.addr = String::new();
        let worker = Worker { cell, state, ends: BTreeMap::new(), task_time, history: self.history.clone() };
        let stop = self.stop.clone();
        std::thread::spawn(move || worker.run(&controllers, &stop));
    }

    /// Starts a controller's process.
    pub fn start_controller(&mut self, cell: usize, controller: usize) {
        self.start_program_with_cells(cell, controller, Path::new(env!("CARGO_BIN_EXE_milletlock")));
    }

    /// Starts a controller with the program of another version that supports cells.
    pub fn start_program_with_cells(&mut self, cell: usize, controller: usize, program: &Path) {
        let operator = self.folder.join(format!("{cell}.hcl"));
        self.start_program(cell, controller, program, &operator);
    }

    /// Starts a controller with the program of a version without support for cells.
    pub fn start_earlier_program(&mut self, cell: usize, controller: usize, program: &Path) {
        self.start_earlier_program_with(cell, controller, program, "leader_ttl_s = 1.0\n");
    }

    /// Starts a controller with the program of a version without support for cells, with these operator's
    /// settings.
    pub fn start_earlier_program_with(
        &mut self,
        cell: usize,
        controller: usize,
        program: &Path,
        settings: &str,
    ) {
        let operator = self.folder.join(format!("{cell}-earlier.hcl"));
        std::fs::write(&operator, settings).expect("written");
        self.start_program(cell, controller, program, &operator);
    }

    fn start_program(&mut self, cell: usize, controller: usize, program: &Path, operator: &Path) {
        let file = |name: String| self.folder.join(name);
        let log = std::fs::File::create(file(format!("{cell}-{controller}.log"))).expect("a log");
        let child = Command::new(program)
            .arg("--config")
            .arg(file(format!("{cell}-{controller}.json")))
            .arg("--operator")
            .arg(operator)
            .env("LOG_LEVEL", "info")
            .env("LOG_FORMAT", "json")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program");
        self.cells[cell].controllers[controller] = Some(child);
    }

    /// Disables lending in a cell's settings. Its controllers read them when they are next started.
    pub fn disable_lending(&self, cell: usize) {
        let file = self.folder.join(format!("{cell}.hcl"));
        let settings = std::fs::read_to_string(&file).expect("the settings");
        std::fs::write(&file, settings.replace("lend = [\"*\"]", "lend = []")).expect("written");
    }

    /// The path of the log of a controller's process since its last start.
    pub fn log_file(&self, cell: usize, controller: usize) -> std::path::PathBuf {
        self.folder.join(format!("{cell}-{controller}.log"))
    }

    /// Kills a controller's process.
    pub fn kill_controller(&mut self, cell: usize, controller: usize) {
        if let Some(mut child) = self.cells[cell].controllers[controller].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to a controller's process.
    pub fn send_sigterm(&self, cell: usize, controller: usize) {
        let child = self.cells[cell].controllers[controller].as_ref().expect("a process");
        let sent = Command::new("kill").args(["-s", "TERM", &child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Waits until a controller's process, which has received SIGTERM, has ended.
    pub fn await_end(&mut self, cell: usize, controller: usize) {
        let mut child = self.cells[cell].controllers[controller].take().expect("a process");
        until("a controller ends", || child.try_wait().is_ok_and(|status| status.is_some()));
    }

    /// Sends SIGTERM to a controller's process and waits until it has ended.
    pub fn terminate_controller(&mut self, cell: usize, controller: usize) {
        self.send_sigterm(cell, controller);
        self.await_end(cell, controller);
    }

    /// Cuts a controller off from its state store, or connects it again.
    pub fn set_cut_from_state_store(&self, cell: usize, controller: usize, is_cut: bool) {
        self.cells[cell].store_links[controller].cut.store(is_cut, Ordering::Relaxed);
    }

    /// Kills all controllers of a cell and removes its machines that run tasks.
    pub fn destroy_cell(&mut self, cell: usize) {
        (0..self.cells[cell].controllers.len()).for_each(|c| self.kill_controller(cell, c));
        let mut history = lock(&self.history);
        let of_cell = history.running.iter().filter(|(key, _)| key.0 == cell);
        let machines: BTreeSet<String> = of_cell.map(|(_, machine)| machine.clone()).collect();
        machines.iter().for_each(|machine| history.remove_machine(machine));
    }

    /// The address on which a cell's leader serves other controllers. Waits until the cell has a leader.
    pub fn leader_address(&self, cell: usize) -> String {
        let mut leader = None;
        until("a cell has a leader", || {
            leader = self.leader(cell);
            leader.is_some()
        });
        self.cells[cell].internal[leader.expect("a leader")].to_string()
    }

    /// Cuts all links between two cells, or restores them.
    pub fn set_partitioned(&self, one: usize, other: usize, is_cut: bool) {
        for pair in [(one, other), (other, one)] {
            self.links[&pair].iter().for_each(|link| link.cut.store(is_cut, Ordering::Relaxed));
        }
    }

    /// The rows of a cell's state store whose keys begin with a prefix.
    pub fn rows(&self, cell: usize, prefix: &str) -> Vec<Row> {
        let client = Client::new(self.cells[cell].state, 0);
        let path = format!("/keys?starts={prefix}");
        let response = client.call("GET", &path, None, Micros::from_secs(2.0)).expect("the state store");
        let list: Value = serde_json::from_slice(&response.body).expect("a list");
        serde_json::from_value(list["rows"].clone()).expect("rows")
    }

    /// Writes to a cell's state store directly, without its controllers.
    pub fn write_rows(&self, cell: usize, then: Vec<Change>) {
        let body = serde_json::to_vec(&Txn { guards: Vec::new(), then }).expect("a transaction");
        let client = Client::new(self.cells[cell].state, 0);
        let response = client.call("POST", "/txn", Some(&body), Micros::from_secs(2.0));
        assert_eq!(response.expect("the state store").status, 200);
    }

    /// The numbers of requests and of changes that a cell's controllers have sent to their state store.
    pub fn state_store_load(&self, cell: usize) -> (usize, usize) {
        let load = &self.cells[cell].load;
        (load.requests.load(Ordering::Relaxed), load.changes.load(Ordering::Relaxed))
    }

    /// The processor time that a cell's controllers have used, in clock ticks.
    pub fn processor_ticks(&self, cell: usize) -> u64 {
        let ticks = |child: &Child| -> u64 {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            [11, 12].iter().filter_map(|i| fields.get(*i)?.parse::<u64>().ok()).sum()
        };
        self.cells[cell].controllers.iter().flatten().map(ticks).sum()
    }

    /// Lets tasks end now with a result.
    pub fn end_tasks(&self, tasks: &[String]) {
        lock(&self.history).ended_early.extend(tasks.iter().cloned());
    }

    /// The status that a controller returns, or `None` if the controller cannot be reached.
    pub fn status(&self, cell: usize, controller: usize) -> Option<Value> {
        self.cells[cell].controllers[controller].as_ref()?;
        let call = Call { method: "GET".into(), path: "/status".into(), body: Vec::new() };
        let response =
            peer::call_once(self.cells[cell].internal[controller], call, Micros::from_secs(2.0)).ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// The index of the controller that leads a cell, or `None` if there is none.
    pub fn leader(&self, cell: usize) -> Option<usize> {
        (0..self.cells[cell].controllers.len())
            .find(|c| self.status(cell, *c).is_some_and(|status| status["owner"].is_object()))
    }

    /// The part of a leader's status about other cells and loans.
    pub fn cells_status(&self, cell: usize) -> Option<CellsStatus> {
        let status = self.status(cell, self.leader(cell)?)?;
        serde_json::from_value(status["cells"].clone()).ok()
    }

    /// Calls the user interface of a cell, at the first controller that replies. Returns the HTTP status and
    /// the body, or status 0 if no controller replies.
    pub fn call(&self, cell: usize, method: &str, path: &str, body: Option<&Value>) -> (u16, Value) {
        let body = body.map(|body| body.to_string().into_bytes());
        for addr in &self.cells[cell].users {
            let client = Client::new(*addr, 0);
            if let Ok(response) = client.call(method, path, body.as_deref(), Micros::from_secs(5.0)) {
                return (response.status, serde_json::from_slice(&response.body).unwrap_or(Value::Null));
            }
        }
        (0, Value::Null)
    }

    /// Submits a job to a cell. Waits until the job is accepted.
    pub fn submit(&self, cell: usize, job: &Value) {
        until("a job is accepted", || self.call(cell, "POST", "/api/jobs", Some(job)).0 / 100 == 2);
    }

    /// The stage of a job, as returned by a cell.
    pub fn stage(&self, cell: usize, job: &str) -> String {
        let response = self.call(cell, "GET", &format!("/api/jobs/{job}"), None).1;
        response["stage"].as_str().unwrap_or("").to_string()
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
