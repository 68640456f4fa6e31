//! A worker: reports to the controllers, takes commands and runs tasks (PROTOCOL, "Workers -> controller
//! nodes").

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cell::Platform;
use crate::cloud::Offer;
use crate::http::{call, serve, Reply, Request};
use crate::record::{job_of, Place};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const FETCH_GB_PER_S: f64 = 2.0;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    Fetching { until: Instant },
    Gathering { since: Instant },
    Running { until: Instant },
    Flushing { until: Instant },
    Exited { why: &'static str, kept: bool },
}

struct Task {
    stage: Stage,
    cpus: f64,
    ram_gb: f64,
}

struct Inner {
    tasks: BTreeMap<(String, u64), Task>,
    season: u64,
    tally: u64,
    sickle: u64,
    /// When the last answered report was sent, or the session began.
    lease_from: Instant,
    changed: bool,
    node: usize,
    images: BTreeMap<String, Instant>,
    hung: bool,
    /// When the cloud takes the machine back, if a notice has come.
    reclaim: Option<Instant>,
}

pub struct Worker {
    pub id: String,
    /// The cell's name and the machine's, for the record.
    pub name: String,
    pub address: SocketAddr,
    breed: String,
    field: String,
    spot: bool,
    cpus: f64,
    ram_gb: f64,
    platform: Arc<Platform>,
    inner: Mutex<Inner>,
    over: AtomicBool,
    /// Whether no report reaches a controller and no answer the worker.
    pub cut: AtomicBool,
}

impl Worker {
    pub fn start(id: &str, offer: &Offer, spot: bool, platform: Arc<Platform>) -> Arc<Worker> {
        // The listener comes first, since the reports name its address.
        let slot: Arc<Mutex<Option<Arc<Worker>>>> = Arc::new(Mutex::new(None));
        let listening = slot.clone();
        let address = serve(Arc::new(move |request| match listening.lock().unwrap().clone() {
            Some(worker) => worker.direct(&request),
            None => Reply::Close,
        }));
        let now = Instant::now();
        let worker = Arc::new(Worker {
            id: id.to_string(),
            name: format!("{}/{id}", platform.name),
            address,
            breed: offer.sku.to_string(),
            field: offer.field.to_string(),
            spot,
            cpus: offer.cpus,
            ram_gb: offer.ram_gb,
            inner: Mutex::new(Inner {
                tasks: BTreeMap::new(),
                season: 1,
                tally: 0,
                sickle: 0,
                lease_from: now,
                changed: true,
                node: id.bytes().map(usize::from).sum::<usize>(),
                images: BTreeMap::new(),
                hung: false,
                reclaim: None,
            }),
            platform,
            over: AtomicBool::new(false),
            cut: AtomicBool::new(false),
        });
        *slot.lock().unwrap() = Some(worker.clone());
        let (running, reporting) = (worker.clone(), worker.clone());
        std::thread::spawn(move || {
            while !running.is_over() {
                std::thread::sleep(Duration::from_millis(20));
                running.step();
            }
        });
        std::thread::spawn(move || reporting.report_on());
        worker
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed) || self.platform.is_over()
    }

    /// The machine ends, with all that is on it.
    pub fn end(&self, why: &str) {
        self.over.store(true, Ordering::Relaxed);
        self.kill_all(&mut self.inner.lock().unwrap(), why);
    }

    /// Whether the machine hangs: its tasks make no progress and nothing is sent.
    pub fn hang(&self, hang: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.hung = hang;
        for ((task, attempt), state) in &inner.tasks {
            match state.stage {
                Stage::Running { .. } | Stage::Flushing { .. } if hang => {
                    self.platform.jobs.leave(task, *attempt)
                }
                Stage::Running { .. } | Stage::Flushing { .. } => {
                    self.platform.jobs.come_back(task, *attempt)
                }
                _ => {}
            }
        }
        drop(inner);
        self.cut.store(hang, Ordering::Relaxed);
    }

    /// The cloud gives notice that it takes the machine back after this time.
    pub fn notice(&self, after: Duration) {
        let mut inner = self.inner.lock().unwrap();
        inner.reclaim = Some(Instant::now() + after);
        inner.changed = true;
    }

    pub fn is_spot(&self) -> bool {
        self.spot
    }

    fn kill_all(&self, inner: &mut Inner, why: &str) {
        for ((task, attempt), state) in std::mem::take(&mut inner.tasks) {
            if is_on(&state.stage) {
                self.platform.jobs.leave(&task, attempt);
                self.platform.record.task_off(&self.name, &task, attempt, why);
            }
        }
    }

    /// Brings the tasks and the lease up to date.
    fn step(&self) {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        if self.is_over() {
            return;
        }
        let lease = Duration::from_secs_f64(self.platform.settings["workers"]["lease_s"].as_f64().unwrap());
        if now - inner.lease_from > lease {
            self.platform.record.line(&format!("lease {} ends, season {}", self.name, inner.season));
            self.kill_all(&mut inner, "lease expired");
            inner.season += 1;
            inner.lease_from = now;
            inner.changed = true;
            return;
        }
        if inner.hung {
            return;
        }
        let mut changed = false;
        let keys: Vec<(String, u64)> = inner.tasks.keys().cloned().collect();
        for key in keys {
            let stage = inner.tasks[&key].stage;
            let next = self.next_stage(&key, stage, now);
            if next != stage {
                changed = true;
                let (was, is) = (is_on(&stage), is_on(&next));
                inner.tasks.get_mut(&key).unwrap().stage = next;
                if !was && is {
                    self.platform.record.task_on(&self.name, &key.0, key.1, self.place(&key.0));
                } else if was && !is {
                    self.note_exit(&key, next);
                }
            }
        }
        inner.changed |= changed;
    }

    fn place(&self, task: &str) -> Place {
        let spec = self.platform.jobs.spec(job_of(task)).unwrap_or(Value::Null);
        Place { zone: self.field.clone(), breed: self.breed.clone(), spot: self.spot, spec }
    }

    fn note_exit(&self, key: &(String, u64), stage: Stage) {
        if let Stage::Exited { why, .. } = stage {
            if why != "done" {
                self.platform.jobs.leave(&key.0, key.1);
            }
            self.platform.record.task_off(&self.name, &key.0, key.1, why);
            if why == "done" {
                self.platform.jobs.done(&key.0);
            }
        }
    }

    fn next_stage(&self, key: &(String, u64), stage: Stage, now: Instant) -> Stage {
        let job = key.0.split('/').next().unwrap_or("");
        let spec = self.platform.jobs.spec(job).unwrap_or(Value::Null);
        let jobs = &self.platform.jobs;
        let is_gang = spec["shape"] == "gang" && spec["kernels"].as_u64().unwrap_or(1) > 1;
        match stage {
            Stage::Fetching { until } if now >= until => {
                if is_gang {
                    jobs.gather(job, key.1, &key.0);
                    Stage::Gathering { since: now }
                } else {
                    Stage::Running { until: now + jobs.run_time(&key.0) }
                }
            }
            Stage::Gathering { since } => {
                let wait = self.platform.settings["workers"]["gang_wait_s"].as_f64().unwrap();
                if jobs.is_complete(job, key.1) {
                    Stage::Running { until: now + jobs.run_time(job) }
                } else if (now - since).as_secs_f64() > wait {
                    Stage::Exited { why: "alone", kept: false }
                } else {
                    stage
                }
            }
            Stage::Running { .. } if jobs.fails(job) => Stage::Exited { why: "error", kept: false },
            // The tasks of a gang complete together, and only while none of their machines hangs.
            Stage::Running { .. } if is_gang && jobs.is_finished(job, key.1) => {
                Stage::Exited { why: "done", kept: false }
            }
            Stage::Running { .. } if is_gang && jobs.lost_for(job, key.1) > 3.0 => {
                Stage::Exited { why: "mates_gone", kept: false }
            }
            Stage::Running { .. } if is_gang && jobs.lost_for(job, key.1) > 0.0 => stage,
            Stage::Running { until } if is_gang && now >= until => {
                jobs.finish(job, key.1);
                Stage::Exited { why: "done", kept: false }
            }
            Stage::Running { until } if now >= until => Stage::Exited { why: "done", kept: false },
            Stage::Flushing { until } if now >= until => Stage::Exited { why: "stopped", kept: true },
            other => other,
        }
    }

    fn report(&self, inner: &mut Inner) -> Value {
        inner.tally += 1;
        let kernels: Vec<Value> = inner
            .tasks
            .iter()
            .map(|((task, attempt), state)| {
                let mut row = json!({"kernel": task, "sowing": attempt, "stage": stage_name(&state.stage)});
                if let Stage::Exited { why, kept } = state.stage {
                    row["blight"] = json!(why);
                    if kept {
                        row["kept"] = json!(true);
                    }
                }
                row
            })
            .collect();
        json!({"husk": self.id, "addr": self.address.to_string(), "breed": self.breed, "field": self.field,
            "gleanings": self.spot, "season": inner.season, "tally": inner.tally, "sickle": inner.sickle,
            "reclaimS": inner.reclaim.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64()),
            "kernels": kernels})
    }

    /// Reports until the machine ends.
    fn report_on(&self) {
        let report_s = self.platform.settings["workers"]["report_s"].as_f64().unwrap();
        let mut next = Instant::now();
        let mut last = Instant::now() - Duration::from_secs(10);
        let mut round = 0u64;
        while !self.is_over() {
            std::thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            {
                let inner = self.inner.lock().unwrap();
                let due = now >= next || (inner.changed && now - last >= Duration::from_millis(500));
                if !due || inner.hung {
                    continue;
                }
            }
            last = now;
            round += 1;
            // Plus or minus a quarter.
            let share = 0.75 + 0.5 * ((round * 7919 + self.address.port() as u64) % 100) as f64 / 100.0;
            next = now + Duration::from_secs_f64(report_s * share);
            if let Some(pause) = self.report_once() {
                let again = Instant::now() + pause;
                while Instant::now() < again && !self.is_over() {
                    std::thread::sleep(Duration::from_millis(20));
                }
                next = Instant::now();
            }
        }
    }

    /// Reports once; returns after which time to report again, if the report was not accepted.
    fn report_once(&self) -> Option<Duration> {
        let (report, node, season) = {
            let mut inner = self.inner.lock().unwrap();
            inner.changed = false;
            (self.report(&mut inner), inner.node, inner.season)
        };
        let nodes = &self.platform.nodes.lock().unwrap().clone();
        let (label, address) = &nodes[node % nodes.len()];
        let sent = Instant::now();
        let chaos = self.platform.chaos.lock().unwrap().clone();
        if chaos.late_copies > 0.0 && self.platform.chance(chaos.late_copies) {
            let (report, to) = (report.clone(), nodes[self.platform.number(nodes.len() as u64) as usize].1);
            let after = Duration::from_millis(500 + self.platform.number(60_000));
            std::thread::spawn(move || {
                std::thread::sleep(after);
                let _ = call(to, "POST", "/checkin", Some(&report), ANSWER_TIMEOUT);
            });
        }
        let is_lost = chaos.lost_answers > 0.0 && self.platform.chance(chaos.lost_answers);
        let answer = if is_lost {
            let _ = call(*address, "POST", "/checkin", Some(&report), ANSWER_TIMEOUT);
            None
        } else if self.cut.load(Ordering::Relaxed) || chaos.unreachable.contains(label) {
            std::thread::sleep(ANSWER_TIMEOUT);
            None
        } else {
            call(*address, "POST", "/checkin", Some(&report), ANSWER_TIMEOUT)
        };
        let answer = answer.filter(|_| !self.cut.load(Ordering::Relaxed));
        let mut inner = self.inner.lock().unwrap();
        match answer {
            Some((200, body)) => {
                let sickle = body["sickle"].as_u64().unwrap_or(0);
                if sickle < inner.sickle || season != inner.season {
                    self.platform
                        .record
                        .line(&format!("drop  {} drops an answer of {label}: {body}", self.name));
                    return None;
                }
                if sickle > inner.sickle {
                    inner.sickle = sickle;
                    inner.changed = true;
                }
                inner.lease_from = sent;
                self.execute(&mut inner, &body["orders"], label);
                None
            }
            Some((421, body)) => {
                let known =
                    nodes.iter().position(|(label, _)| Some(label.as_str()) == body["steward"].as_str());
                match known.filter(|index| *index != node % nodes.len()) {
                    Some(index) => {
                        inner.node = index;
                        Some(Duration::from_millis(100))
                    }
                    None => {
                        inner.node = node + 1;
                        Some(Duration::from_secs(1))
                    }
                }
            }
            _ => {
                inner.node = node + 1;
                Some(Duration::from_secs(1))
            }
        }
    }

    fn execute(&self, inner: &mut Inner, orders: &Value, from: &str) {
        for order in orders.as_array().into_iter().flatten() {
            let (Some(verb), Some(task), Some(attempt)) =
                (order["verb"].as_str(), order["kernel"].as_str(), order["sowing"].as_u64())
            else {
                continue;
            };
            self.platform.record.line(&format!("order {} {from}: {order}", self.name));
            let key = (task.to_string(), attempt);
            match verb {
                "start" if !inner.tasks.contains_key(&key) => self.start_task(inner, key),
                "halt" => self.halt(inner, &key, order["graceS"].as_f64().unwrap_or(0.0)),
                "forget"
                    if matches!(inner.tasks.get(&key), Some(Task { stage: Stage::Exited { .. }, .. })) =>
                {
                    inner.tasks.remove(&key);
                    inner.changed = true;
                }
                _ => {}
            }
        }
    }

    fn start_task(&self, inner: &mut Inner, key: (String, u64)) {
        let job = key.0.split('/').next().unwrap_or("");
        let number = key.0.split('/').nth(1).and_then(|text| text.parse::<u64>().ok());
        let refused = |why| Task { stage: Stage::Exited { why, kept: false }, cpus: 0.0, ram_gb: 0.0 };
        inner.changed = true;
        let spec = self.platform.jobs.spec(job).filter(|spec| number < spec["kernels"].as_u64());
        let Some(spec) = spec else {
            inner.tasks.insert(key, refused("unknown"));
            return;
        };
        let live = |task: &&Task| !matches!(task.stage, Stage::Exited { .. });
        let (cpus, ram_gb) = (spec["cpus"].as_f64().unwrap_or(0.0), spec["ramGb"].as_f64().unwrap_or(0.0));
        let used_cpus: f64 = inner.tasks.values().filter(live).map(|task| task.cpus).sum();
        let used_ram: f64 = inner.tasks.values().filter(live).map(|task| task.ram_gb).sum();
        let other = inner.tasks.iter().any(|((task, _), state)| *task == key.0 && live(&state));
        if other {
            inner.tasks.insert(key, refused("in_use"));
        } else if used_cpus + cpus > self.cpus + 1e-9 || used_ram + ram_gb > self.ram_gb + 1e-9 {
            inner.tasks.insert(key, refused("no_room"));
        } else {
            let image = spec["seed"].as_str().unwrap_or("").to_string();
            let fetch = Duration::from_secs_f64(spec["pullGb"].as_f64().unwrap_or(0.0) / FETCH_GB_PER_S);
            let until = *inner.images.entry(image).or_insert_with(|| Instant::now() + fetch);
            inner.tasks.insert(key, Task { stage: Stage::Fetching { until }, cpus, ram_gb });
        }
    }

    fn halt(&self, inner: &mut Inner, key: &(String, u64), grace_s: f64) {
        let job = key.0.split('/').next().unwrap_or("");
        let spec = self.platform.jobs.spec(job).unwrap_or(Value::Null);
        let Some(task) = inner.tasks.get_mut(key) else { return };
        let saves = spec["stashEveryS"].as_f64().unwrap_or(0.0) > 0.0;
        let stash_s = spec["stashS"].as_f64().unwrap_or(0.0);
        let before = task.stage;
        let stopped = Stage::Exited { why: "stopped", kept: false };
        task.stage = match task.stage {
            Stage::Exited { .. } => return,
            Stage::Running { .. } if saves && grace_s >= stash_s => {
                Stage::Flushing { until: Instant::now() + Duration::from_secs_f64(stash_s) }
            }
            Stage::Flushing { .. } if grace_s > 0.0 => return,
            _ => stopped,
        };
        let after = task.stage;
        inner.changed = true;
        if is_on(&before) && !is_on(&after) {
            self.note_exit(key, after);
        }
    }

    /// Commands sent straight to the worker.
    fn direct(&self, request: &Request) -> Reply {
        if self.is_over() || self.cut.load(Ordering::Relaxed) {
            return Reply::Close;
        }
        let late = self.platform.chaos.lock().unwrap().late_commands;
        if late > 0.0 && self.platform.chance(late) {
            std::thread::sleep(Duration::from_millis(self.platform.number(40_000)));
            if self.is_over() || self.cut.load(Ordering::Relaxed) {
                return Reply::Close;
            }
        }
        let mut inner = self.inner.lock().unwrap();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/inspect") => Reply::Answer(200, self.report(&mut inner)),
            ("POST", "/commands") => {
                let (Some(sickle), Some(season)) =
                    (request.body["sickle"].as_u64(), request.body["season"].as_u64())
                else {
                    return Reply::Answer(400, json!({"error": "sickle and season are needed"}));
                };
                if sickle < inner.sickle || season != inner.season {
                    return Reply::Answer(409, self.report(&mut inner));
                }
                if sickle > inner.sickle {
                    inner.sickle = sickle;
                    inner.changed = true;
                }
                self.execute(&mut inner, &request.body["orders"], "a command");
                Reply::Answer(200, self.report(&mut inner))
            }
            _ => Reply::Answer(404, json!({"error": "no such path"})),
        }
    }
}

/// Whether a task in this stage is on its machine: it has its image and has not exited.
fn is_on(stage: &Stage) -> bool {
    matches!(stage, Stage::Gathering { .. } | Stage::Running { .. } | Stage::Flushing { .. })
}

fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::Fetching { .. } => "fetching",
        Stage::Gathering { .. } => "gathering",
        Stage::Running { .. } => "running",
        Stage::Flushing { .. } => "flushing",
        Stage::Exited { .. } => "exited",
    }
}
