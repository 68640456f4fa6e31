//! One deployment: its platform (state service, cloud, workers) and its controllers, which are real processes
//! of the deploy file's program.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cloud::{Cloud, Offer};
use crate::http::call;
use crate::link::Link;
use crate::record::Record;
use crate::store::Store;

/// The descriptions that users upload for the workers, how long tasks really run, and what is done.
#[derive(Default)]
pub struct Jobs {
    inner: Mutex<JobsInner>,
}

#[derive(Default)]
struct JobsInner {
    specs: BTreeMap<String, Value>,
    run_s: BTreeMap<String, f64>,
    failing: BTreeSet<String>,
    /// Jobs whose tasks run for up to a third less or more than their run time.
    varied: BTreeSet<String>,
    done: BTreeMap<String, u64>,
    gathered: BTreeMap<(String, u64), BTreeSet<String>>,
    /// Attempts of gangs that have started, and since when one of their tasks is gone.
    begun: BTreeMap<(String, u64), Option<Instant>>,
    finished: BTreeSet<(String, u64)>,
}

impl Jobs {
    pub fn add(&self, spec: &Value, run_s: f64, fails: bool) {
        let id = spec["nameId"].as_str().expect("an id").to_string();
        let mut inner = self.inner.lock().unwrap();
        inner.specs.insert(id.clone(), spec.clone());
        if fails {
            inner.failing.insert(id.clone());
        }
        inner.run_s.insert(id, run_s);
    }

    /// Lets the tasks of a job run for up to a third less or more than its run time.
    pub fn vary(&self, job: &str) {
        self.inner.lock().unwrap().varied.insert(job.to_string());
    }

    pub fn spec(&self, job: &str) -> Option<Value> {
        self.inner.lock().unwrap().specs.get(job).cloned()
    }

    /// How long a task runs: nothing if it is done already, since its result is kept.
    pub fn run_time(&self, task: &str) -> Duration {
        let inner = self.inner.lock().unwrap();
        if inner.done.contains_key(task) {
            return Duration::ZERO;
        }
        let job = task.split('/').next().unwrap_or("");
        let run_s = inner.run_s.get(job).copied().unwrap_or(1.0);
        let number = task.split('/').nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let share =
            if inner.varied.contains(job) { ((number * 37) % 21) as f64 / 30.0 - 1.0 / 3.0 } else { 0.0 };
        Duration::from_secs_f64(run_s * (1.0 + share))
    }

    pub fn fails(&self, job: &str) -> bool {
        self.inner.lock().unwrap().failing.contains(job)
    }

    pub fn done(&self, task: &str) {
        *self.inner.lock().unwrap().done.entry(task.to_string()).or_default() += 1;
    }

    /// How many different tasks of a job are done.
    pub fn done_tasks(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.inner.lock().unwrap().done.keys().filter(|task| task.starts_with(&prefix)).count()
    }

    pub fn gather(&self, job: &str, attempt: u64, task: &str) {
        let key = (job.to_string(), attempt);
        self.inner.lock().unwrap().gathered.entry(key).or_default().insert(task.to_string());
    }

    pub fn is_complete(&self, job: &str, attempt: u64) -> bool {
        let mut inner = self.inner.lock().unwrap();
        let wanted = inner.specs.get(job).and_then(|spec| spec["kernels"].as_u64()).unwrap_or(1);
        let key = (job.to_string(), attempt);
        if inner.gathered.get(&key).is_some_and(|tasks| tasks.len() as u64 >= wanted) {
            inner.begun.entry(key.clone()).or_default();
        }
        inner.begun.contains_key(&key)
    }

    /// A task of a gang is gone without being done.
    pub fn leave(&self, task: &str, attempt: u64) {
        let key = (task.split('/').next().unwrap_or("").to_string(), attempt);
        let mut inner = self.inner.lock().unwrap();
        if let Some(tasks) = inner.gathered.get_mut(&key) {
            tasks.remove(task);
        }
        if let Some(since) = inner.begun.get_mut(&key) {
            since.get_or_insert_with(Instant::now);
        }
    }

    /// A task's machine no longer hangs: the gang goes on if no other task is gone.
    pub fn come_back(&self, task: &str, attempt: u64) {
        let job = task.split('/').next().unwrap_or("").to_string();
        let mut inner = self.inner.lock().unwrap();
        let wanted = inner.specs.get(&job).and_then(|spec| spec["kernels"].as_u64()).unwrap_or(1);
        let key = (job, attempt);
        let tasks = inner.gathered.entry(key.clone()).or_default();
        tasks.insert(task.to_string());
        if tasks.len() as u64 >= wanted {
            if let Some(since) = inner.begun.get_mut(&key) {
                *since = None;
            }
        }
    }

    /// A gang is done: all its tasks are.
    pub fn finish(&self, job: &str, attempt: u64) {
        let mut inner = self.inner.lock().unwrap();
        inner.finished.insert((job.to_string(), attempt));
        let wanted = inner.specs.get(job).and_then(|spec| spec["kernels"].as_u64()).unwrap_or(1);
        for number in 0..wanted {
            inner.done.entry(format!("{job}/{number}")).or_default();
        }
    }

    pub fn is_finished(&self, job: &str, attempt: u64) -> bool {
        self.inner.lock().unwrap().finished.contains(&(job.to_string(), attempt))
    }

    /// For how many seconds a gang that has begun lacks a task.
    pub fn lost_for(&self, job: &str, attempt: u64) -> f64 {
        let inner = self.inner.lock().unwrap();
        let since = inner.begun.get(&(job.to_string(), attempt)).copied().flatten();
        since.map_or(0.0, |since| since.elapsed().as_secs_f64())
    }
}

/// What the parts of a deployment's platform share.
pub struct Platform {
    pub name: String,
    pub settings: Value,
    pub record: Arc<Record>,
    pub jobs: Arc<Jobs>,
    /// Labels of the controllers, and where workers and users find them.
    pub nodes: Mutex<Vec<(String, SocketAddr)>>,
    /// What goes wrong between workers and controllers.
    pub chaos: Mutex<Chaos>,
    seed: Mutex<u64>,
    over: AtomicBool,
}

/// What goes wrong between workers and controllers: shares of the messages, and controllers that no worker
/// reaches.
#[derive(Clone, Default)]
pub struct Chaos {
    pub late_copies: f64,
    pub lost_answers: f64,
    pub late_commands: f64,
    pub unreachable: BTreeSet<String>,
}

impl Platform {
    /// A number below `bound`.
    pub fn number(&self, bound: u64) -> u64 {
        let mut seed = self.seed.lock().unwrap();
        *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (*seed >> 33) % bound.max(1)
    }

    pub fn chance(&self, share: f64) -> bool {
        (self.number(1_000_000) as f64) < share * 1e6
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}

/// The part of the settings that the brief gives for the site roamco-brno.
pub fn brno_settings(zones: &[&str], teams: Value) -> Value {
    json!({
        "initial_size": 3, "zones": zones, "teams": teams,
        "objectives": [
            {"kind": "wait", "class": "tariff-match", "within_s": 30.0, "share": 0.8},
            {"kind": "finished", "class": "tariff-match", "within_s": 90.0, "share": 0.8},
        ],
        "workers": {"report_s": 3.0, "lease_s": 42.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 72.0},
        "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 10.0, "list_lag_s": 5.0},
        "limits": {"cpu": 0.12, "ram_mb": 200.0, "max_sockets": 4000},
        "skew_ms": 1000.0,
    })
}

/// The part of the settings that the brief gives for the site shared-album-amman.
pub fn amman_settings(zones: &[&str], teams: Value) -> Value {
    json!({
        "initial_size": 3, "zones": zones, "teams": teams,
        "objectives": [
            {"kind": "wait", "class": "face-grouping", "within_s": 20.0, "share": 0.8},
            {"kind": "finished", "class": "face-grouping", "within_s": 120.0, "share": 0.82},
            {"kind": "finished", "class": "thumb-sweep", "within_s": 100.0, "share": 0.96},
        ],
        "workers": {"report_s": 3.0, "lease_s": 22.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 47.0},
        "state": {"rps": 120.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 8},
        "cloud": {"rps": 8.0, "list_lag_s": 4.0},
        "limits": {"cpu": 0.16, "ram_mb": 136.0, "max_sockets": 2500},
        "skew_ms": 250.0,
    })
}

/// A free loopback port, outside the range that outgoing connections take theirs from.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let place = (u64::from(std::process::id()).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) + step * 7;
        let port = 15_000 + (place % 17_000) as u16;
        if let Ok(listener) = std::net::TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

pub struct Controller {
    pub label: String,
    pub serve_on: SocketAddr,
    config: String,
    operator: Option<String>,
    log: String,
    /// The file that lists the ids of the processes that were started.
    pids: String,
    process: Option<Child>,
}

impl Controller {
    fn start(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(std::env::var("MILLETLOCK").expect("MILLETLOCK names the program"));
        command.arg("--config").arg(&self.config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        command.env("LOG_LEVEL", std::env::var("REVIEW_LOG").unwrap_or("info".into()));
        if let Some(operator) = &self.operator {
            command.env("MILLETLOCK_OPERATOR", operator);
        }
        let process = command.spawn().expect("the program starts");
        if let Ok(mut pids) = std::fs::OpenOptions::new().create(true).append(true).open(&self.pids) {
            let _ = writeln!(pids, "{}", process.id());
        }
        self.process = Some(process);
    }

    pub fn pid(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }
}

pub struct Cell {
    pub platform: Arc<Platform>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub controllers: Vec<Controller>,
    /// The links between the controllers, by sender and receiver.
    pub links: BTreeMap<(usize, usize), Arc<Link>>,
    /// The link of each controller to the state service.
    pub store_links: Vec<Arc<Link>>,
}

/// The addresses of a deployment's controllers, chosen before they start.
pub struct Addresses {
    pub nodes: Vec<(SocketAddr, SocketAddr)>,
}

impl Addresses {
    pub fn choose(count: usize) -> Addresses {
        Addresses { nodes: (0..count).map(|_| (free_address(), free_address())).collect() }
    }

    /// The internal addresses, as HCL.
    pub fn internal_list(&self) -> String {
        let quoted: Vec<String> = self.nodes.iter().map(|(_, internal)| format!("\"{internal}\"")).collect();
        quoted.join(", ")
    }
}

impl Cell {
    /// Sets up a deployment with as many controllers as there are addresses, and starts them. `dir` is a
    /// temporary folder for settings and logs.
    pub fn start(
        name: &str,
        settings: Value,
        addresses: &Addresses,
        offers: Vec<Offer>,
        up_at_start: &[usize],
        operator: Option<String>,
        jobs: Arc<Jobs>,
        record: Arc<Record>,
        dir: &str,
    ) -> Cell {
        let zones: Vec<String> =
            settings["zones"].as_array().unwrap().iter().map(|zone| zone.as_str().unwrap().into()).collect();
        let labels: Vec<String> = (0..addresses.nodes.len()).map(|index| format!("{name}-{index}")).collect();
        let nodes =
            labels.iter().cloned().zip(addresses.nodes.iter().map(|(serve_on, _)| *serve_on)).collect();
        let platform = Arc::new(Platform {
            name: name.to_string(),
            settings: settings.clone(),
            record: record.clone(),
            jobs,
            nodes: Mutex::new(nodes),
            chaos: Mutex::default(),
            seed: Mutex::new(0),
            over: AtomicBool::new(false),
        });
        let store = Store::new(name, &settings, record);
        let lag_s = settings["cloud"]["list_lag_s"].as_f64().unwrap();
        let cloud = Cloud::new(offers, lag_s, platform.clone());
        for (index, count) in up_at_start.iter().enumerate() {
            cloud.begin_with(index, *count);
        }
        let cloud_address = cloud.listen();
        let operator = operator.map(|text| {
            let path = format!("{dir}/{name}.hcl");
            std::fs::write(&path, text).expect("the operators' file can be written");
            path
        });
        let store_links: Vec<Arc<Link>> =
            labels.iter().map(|label| Link::start(store.listen(label))).collect();
        let mut controllers = Vec::new();
        let mut links = BTreeMap::new();
        for (index, (serve_on, internal)) in addresses.nodes.iter().enumerate() {
            let members: Vec<Value> = addresses
                .nodes
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(other, (_, internal))| {
                    let link = Link::start(*internal);
                    let row = json!({"label": labels[other], "location": zones[other % zones.len()],
                        "addr": link.address.to_string()});
                    links.insert((index, other), link);
                    row
                })
                .collect();
            let mut own = settings.clone();
            own["initial_size"] = json!(addresses.nodes.len());
            let config = json!({
                "label": labels[index], "location": zones[index % zones.len()],
                "serve_on": serve_on.to_string(), "internal_addr": internal.to_string(),
                "members": members,
                "services": {"cloud": cloud_address.to_string(), "state": store_links[index].address.to_string()},
                "settings": own,
            });
            let path = format!("{dir}/{}.json", labels[index]);
            std::fs::write(&path, config.to_string()).expect("the settings can be written");
            controllers.push(Controller {
                label: labels[index].clone(),
                serve_on: *serve_on,
                config: path,
                operator: operator.clone(),
                log: format!("{dir}/{}.log", labels[index]),
                pids: format!("{dir}/pids"),
                process: None,
            });
        }
        controllers.iter_mut().for_each(Controller::start);
        Cell { platform, store, cloud, controllers, links, store_links }
    }

    /// Waits until a controller leads and all controllers answer that they are up.
    pub fn wait_until_up(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            let up = |controller: &Controller| {
                call(controller.serve_on, "GET", "/up", None, Duration::from_secs(1))
                    .is_some_and(|answer| answer.0 == 200)
            };
            if self.store.leader().is_some() && self.controllers.iter().all(up) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn index_of(&self, label: &str) -> Option<usize> {
        self.controllers.iter().position(|controller| controller.label == label)
    }

    pub fn leader(&self) -> Option<usize> {
        self.index_of(&self.store.leader()?)
    }

    pub fn kill(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        if let Some(mut process) = controller.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.platform.record.line(&format!("fault {} killed", controller.label));
        }
    }

    pub fn start_again(&mut self, index: usize) {
        self.platform.record.line(&format!("fault {} started again", self.controllers[index].label));
        self.controllers[index].start();
    }

    /// Sends a signal (STOP, CONT, TERM) to a controller, by its process id.
    pub fn set_seed(&self, seed: u64) {
        *self.platform.seed.lock().unwrap() = seed.wrapping_mul(0x9E3779B97F4A7C15) | 1;
    }

    pub fn signal(&self, index: usize, signal: &str) {
        let controller = &self.controllers[index];
        if let Some(pid) = controller.pid() {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status();
            self.platform.record.line(&format!("fault {} gets {signal}", controller.label));
        }
    }

    /// Sends a user's request to a controller and records it with its answer.
    pub fn user(&self, index: usize, method: &str, path: &str, body: Option<&Value>) -> Option<(u16, Value)> {
        let timeout = if method == "GET" { 2 } else { 5 };
        let controller = &self.controllers[index];
        let answer = call(controller.serve_on, method, path, body, Duration::from_secs(timeout));
        let sent = body.map(Value::to_string).unwrap_or_default();
        let got =
            answer.as_ref().map_or("no answer".to_string(), |(status, body)| format!("{status} {body}"));
        self.platform.record.line(&format!("user  {} {method} {path} {sent} -> {got}", controller.label));
        answer
    }

    /// Submits a job, again if it is not accepted, as users do.
    pub fn submit(&self, index: usize, spec: &Value) -> bool {
        for attempt in 0..10 {
            let node = (index + attempt) % self.controllers.len();
            match self.user(node, "POST", "/api/jobs", Some(spec)) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    pub fn end(&mut self) {
        self.platform.over.store(true, Ordering::Relaxed);
        for index in 0..self.controllers.len() {
            if let Some(mut process) = self.controllers[index].process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.end();
    }
}
