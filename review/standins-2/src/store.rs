//! The state service: keys with revisions, guarded transactions, leases and watches (PROTOCOL, "Controller
//! nodes -> state service").

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::http::{serve, Reply, Request};
use crate::record::Record;

/// What happens to a transaction.
pub enum Fate {
    /// It is executed and answered.
    Normal,
    /// It is executed, and the connection is closed without an answer.
    ExecutedWithoutAnswer,
    /// It is executed at once, and answered after this time.
    AnsweredAfter(Duration),
    /// It is not executed, and not answered.
    Lost,
    /// There is no answer. It is executed only after this time.
    Late(Duration),
}

type Hook = dyn FnMut(&str, &Value) -> Fate + Send;

struct Key {
    value: Value,
    stamp: u64,
    tenure: Option<u64>,
}

struct Tenure {
    ttl: Duration,
    ends: Instant,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let enough = self.level >= count;
        if enough {
            self.level -= count;
        }
        enough
    }
}

struct Inner {
    keys: BTreeMap<String, Key>,
    harvest: u64,
    log: VecDeque<Value>,
    tenures: BTreeMap<u64, Tenure>,
    last_tenure: u64,
    requests: Bucket,
    writes: Bucket,
    outage: bool,
    /// Controllers that alone get 503.
    refused: Vec<String>,
    hook: Option<Box<Hook>>,
}

pub struct Store {
    name: String,
    inner: Mutex<Inner>,
    changed: Condvar,
    /// The share of late answers, and the state of the random numbers that choose them.
    late: Mutex<(f64, u64)>,
    /// The controller whose watches are answered late, and by how much.
    watch_pause: Mutex<Option<(String, Duration)>>,
    /// The key whose reads are answered late, and by how much.
    slow_key: Mutex<Option<(String, Duration)>>,
    record: Arc<Record>,
    txn_ops: usize,
    value_bytes: usize,
}

impl Store {
    pub fn new(name: &str, settings: &Value, record: Arc<Record>) -> Arc<Store> {
        let number = |field: &str| settings["state"][field].as_f64().expect("a limit of the state service");
        let bucket = |rate: f64| Bucket { rate, level: rate, at: Instant::now() };
        let store = Arc::new(Store {
            name: name.to_string(),
            inner: Mutex::new(Inner {
                keys: BTreeMap::new(),
                harvest: 0,
                log: VecDeque::new(),
                tenures: BTreeMap::new(),
                last_tenure: 0,
                requests: bucket(number("rps")),
                writes: bucket(number("write_rps")),
                outage: false,
                refused: Vec::new(),
                hook: None,
            }),
            changed: Condvar::new(),
            late: Mutex::new((0.0, 1)),
            watch_pause: Mutex::new(None),
            slow_key: Mutex::new(None),
            record,
            txn_ops: number("txn_ops") as usize,
            value_bytes: (number("value_kb") * 1024.0) as usize,
        });
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            expiring.expire();
        });
        store
    }

    /// An address for one controller, so that the store knows who asks.
    pub fn listen(self: &Arc<Store>, client: &str) -> SocketAddr {
        let (store, client) = (self.clone(), client.to_string());
        serve(Arc::new(move |request| {
            let is_watch = request.path == "/watch";
            let slow_key = store.slow_key.lock().unwrap().clone();
            let late =
                slow_key.filter(|(key, _)| request.path == format!("/keys/{key}")).map(|(_, late)| late);
            let reply = store.answer(&client, &request);
            if is_watch {
                let pause = store.watch_pause.lock().unwrap().clone();
                if let Some((_, pause)) = pause.filter(|(slow, _)| *slow == client) {
                    std::thread::sleep(pause);
                }
            }
            if let Some(late) = late {
                store.record.line(&format!(
                    "fault {}: GET {} of {client} is answered late",
                    store.name, request.path
                ));
                std::thread::sleep(late);
                store.record.line(&format!("fault {}: the GET is answered now", store.name));
            }
            store.pause();
            reply
        }))
    }

    /// From now on (or no longer) each answer to a watch of this controller is late by this time.
    pub fn slow_watches(&self, slow: Option<(String, Duration)>) {
        *self.watch_pause.lock().unwrap() = slow;
    }

    /// From now on (or no longer) each answer to a read of this key is late by this time.
    pub fn slow_reads(&self, slow: Option<(String, Duration)>) {
        *self.slow_key.lock().unwrap() = slow;
    }

    /// Makes a share of the answers a few hundred milliseconds late.
    pub fn answer_late(&self, share: f64) {
        *self.late.lock().unwrap() = (share, 1);
    }

    fn pause(&self) {
        let time = {
            let mut late = self.late.lock().unwrap();
            late.1 = late.1.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let draw = (late.1 >> 33) % 1_000_000;
            if (draw as f64) >= late.0 * 1e6 {
                return;
            }
            50 + (late.1 >> 20) % 400
        };
        std::thread::sleep(Duration::from_millis(time));
    }

    /// Decides what happens to each transaction from now on.
    pub fn set_hook(&self, hook: impl FnMut(&str, &Value) -> Fate + Send + 'static) {
        self.inner.lock().unwrap().hook = Some(Box::new(hook));
    }

    pub fn begin_outage(&self) {
        self.inner.lock().unwrap().outage = true;
        self.record.line(&format!("fault {}: state service is down", self.name));
    }

    pub fn end_outage(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.outage = false;
        let now = Instant::now();
        inner.tenures.values_mut().for_each(|tenure| tenure.ends = now + tenure.ttl);
        drop(inner);
        self.changed.notify_all();
        self.record.line(&format!("fault {}: state service is back", self.name));
    }

    /// From now on (or no longer) only this controller gets 503.
    pub fn refuse(&self, client: &str, refuse: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.refused.retain(|other| other != client);
        if refuse {
            inner.refused.push(client.to_string());
        }
        drop(inner);
        self.changed.notify_all();
        self.record.line(&format!("fault {}: state service refuses {client}: {refuse}", self.name));
    }

    pub fn get(&self, key: &str) -> Option<Value> {
        self.inner.lock().unwrap().keys.get(key).map(|key| key.value.clone())
    }

    /// The label of the leader, as the controllers record it.
    pub fn leader(&self) -> Option<String> {
        self.get("leader")?["label"].as_str().map(str::to_string)
    }

    fn expire(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.outage {
            return;
        }
        let now = Instant::now();
        // A lease ends up to 100 ms late, never early.
        let ended: Vec<u64> = inner
            .tenures
            .iter()
            .filter(|(_, tenure)| now > tenure.ends + Duration::from_millis(30))
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            end_tenure(&mut inner, *id);
        }
        drop(inner);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn is_refused(inner: &Inner, client: &str) -> bool {
        inner.outage || inner.refused.iter().any(|refused| refused == client)
    }

    fn answer(self: &Arc<Store>, client: &str, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(3));
        let refusal = || Reply::Answer(503, json!({"error": "trouble"}));
        let mut inner = self.inner.lock().unwrap();
        if Store::is_refused(&inner, client) {
            return refusal();
        }
        if !inner.requests.take(1.0) {
            return Reply::Answer(429, json!({"error": "too many requests"}));
        }
        if request.malformed {
            return Reply::Answer(400, json!({"error": "not JSON"}));
        }
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/keys") => list(&inner, request),
            ("GET", "/watch") => {
                drop(inner);
                self.watch(client, request)
            }
            ("POST", "/txn") => self.txn(inner, client, &request.body),
            ("POST", "/leases") => {
                let Some(ttl) = request.body["ttlMs"].as_u64().filter(|ttl| (100..=600_000).contains(ttl))
                else {
                    return Reply::Answer(400, json!({"error": "ttlMs"}));
                };
                let ttl = Duration::from_millis(ttl);
                inner.last_tenure += 1;
                let id = inner.last_tenure;
                inner.tenures.insert(id, Tenure { ttl, ends: Instant::now() + ttl });
                Reply::Answer(200, json!({"tenure": id}))
            }
            ("GET", _) if path.starts_with("/keys/") => {
                let key = &path["/keys/".len()..];
                match inner.keys.get(key) {
                    Some(found) => {
                        let mut row = json!({"path": key, "value": found.value, "stamp": found.stamp});
                        if let Some(tenure) = found.tenure {
                            row["tenure"] = json!(tenure);
                        }
                        Reply::Answer(200, row)
                    }
                    None => Reply::Answer(404, json!({"harvest": inner.harvest})),
                }
            }
            (method, _) if path.starts_with("/leases/") => {
                let mut parts = path["/leases/".len()..].split('/');
                let id = parts.next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
                match (method, parts.next()) {
                    ("POST", Some("renew")) => match inner.tenures.get_mut(&id) {
                        Some(tenure) => {
                            tenure.ends = Instant::now() + tenure.ttl;
                            Reply::Answer(200, json!({"tenure": id}))
                        }
                        None => Reply::Answer(404, json!({"error": "no such lease"})),
                    },
                    ("DELETE", None) => {
                        end_tenure(&mut inner, id);
                        drop(inner);
                        self.changed.notify_all();
                        Reply::Answer(200, json!({}))
                    }
                    _ => Reply::Answer(400, json!({"error": "leases"})),
                }
            }
            _ => Reply::Answer(400, json!({"error": "no such path"})),
        }
    }

    fn txn(
        self: &Arc<Store>,
        mut inner: std::sync::MutexGuard<'_, Inner>,
        client: &str,
        body: &Value,
    ) -> Reply {
        let count = body["then"].as_array().map_or(0, Vec::len);
        if !inner.writes.take(count as f64) {
            return Reply::Answer(429, json!({"error": "too many changes"}));
        }
        let fate = match inner.hook.as_mut() {
            Some(hook) => hook(client, body),
            None => Fate::Normal,
        };
        match fate {
            Fate::Normal => {
                let (status, answer) = self.execute(&mut inner, body);
                drop(inner);
                self.changed.notify_all();
                Reply::Answer(status, answer)
            }
            Fate::ExecutedWithoutAnswer => {
                let (status, _) = self.execute(&mut inner, body);
                drop(inner);
                self.changed.notify_all();
                self.record.line(&format!(
                    "fault {}: transaction of {client} executed ({status}), not answered: {body}",
                    self.name
                ));
                Reply::Close
            }
            Fate::AnsweredAfter(after) => {
                let (status, answer) = self.execute(&mut inner, body);
                drop(inner);
                self.changed.notify_all();
                self.record.line(&format!(
                    "fault {}: transaction of {client} executed ({status}), answered {} ms later: {body}",
                    self.name,
                    after.as_millis()
                ));
                std::thread::sleep(after);
                self.record.line(&format!("fault {}: it is answered now", self.name));
                Reply::Answer(status, answer)
            }
            Fate::Lost => {
                drop(inner);
                self.record.line(&format!("fault {}: transaction of {client} is lost: {body}", self.name));
                Reply::Close
            }
            Fate::Late(after) => {
                drop(inner);
                self.record.line(&format!("fault {}: transaction of {client} held: {body}", self.name));
                let (store, body, client) = (self.clone(), body.clone(), client.to_string());
                std::thread::spawn(move || {
                    std::thread::sleep(after);
                    let mut inner = store.inner.lock().unwrap();
                    let (status, answer) = store.execute(&mut inner, &body);
                    drop(inner);
                    store.changed.notify_all();
                    store.record.line(&format!(
                        "fault {}: held transaction of {client} arrives: {status} {answer}",
                        store.name
                    ));
                });
                Reply::Close
            }
        }
    }

    fn execute(&self, inner: &mut Inner, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let guards = body["guards"].as_array().unwrap_or(&empty);
        let then = body["then"].as_array().unwrap_or(&empty);
        let too_large = then.iter().any(|change| change["value"].to_string().len() > self.value_bytes);
        if then.len() > self.txn_ops || guards.len() > 4 * self.txn_ops || too_large {
            return (400, json!({"error": "too large"}));
        }
        for change in then {
            if let Some(tenure) = change["tenure"].as_u64() {
                if !inner.tenures.contains_key(&tenure) {
                    return (400, json!({"error": "no such lease"}));
                }
            }
        }
        let stamp = |path: &str| inner.keys.get(path).map_or(0, |key| key.stamp);
        let failed: Vec<&str> = guards
            .iter()
            .filter_map(|guard| Some((guard["path"].as_str()?, guard["stamp"].as_u64()?)))
            .filter(|(path, wanted)| stamp(path) != *wanted)
            .map(|(path, _)| path)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "harvest": inner.harvest}));
        }
        if then.is_empty() {
            return (200, json!({"harvest": inner.harvest}));
        }
        inner.harvest += 1;
        let stamp = inner.harvest;
        for change in then {
            if let Some(path) = change["put"].as_str() {
                let key = Key { value: change["value"].clone(), stamp, tenure: change["tenure"].as_u64() };
                inner.log.push_back(json!({"put": path, "value": key.value, "stamp": stamp}));
                inner.keys.insert(path.to_string(), key);
            } else if let Some(path) = change["drop"].as_str() {
                if inner.keys.remove(path).is_some() {
                    inner.log.push_back(json!({"drop": path, "stamp": stamp}));
                }
            }
        }
        while inner.log.len() > 10_000 {
            inner.log.pop_front();
        }
        (200, json!({"harvest": stamp}))
    }

    fn watch(&self, client: &str, request: &Request) -> Reply {
        let number = |name: &str| request.param(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (prefix, from) = (request.param("starts").unwrap_or("").to_string(), number("from"));
        let deadline = Instant::now() + Duration::from_millis(number("blockMs").min(60_000));
        let mut inner = self.inner.lock().unwrap();
        loop {
            if !Store::is_refused(&inner, client) {
                let oldest = inner.log.front().and_then(|event| event["stamp"].as_u64()).unwrap_or(1);
                if from + 1 < oldest {
                    return Reply::Answer(410, json!({"error": "compacted"}));
                }
                let is_new = |event: &&Value| {
                    let path = event["put"].as_str().or(event["drop"].as_str()).unwrap_or("");
                    event["stamp"].as_u64() > Some(from) && path.starts_with(&prefix)
                };
                let events: Vec<Value> = inner.log.iter().filter(is_new).cloned().collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return Reply::Answer(200, json!({"harvest": inner.harvest, "events": events}));
                }
            }
            let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(20));
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn end_tenure(inner: &mut Inner, id: u64) {
    inner.tenures.remove(&id);
    let keys: Vec<String> =
        inner.keys.iter().filter(|(_, key)| key.tenure == Some(id)).map(|(path, _)| path.clone()).collect();
    if keys.is_empty() {
        return;
    }
    inner.harvest += 1;
    for path in keys {
        inner.keys.remove(&path);
        let event = json!({"drop": path, "stamp": inner.harvest});
        inner.log.push_back(event);
    }
}

fn list(inner: &Inner, request: &Request) -> Reply {
    let prefix = request.param("starts").unwrap_or("");
    let from = request.param("from").unwrap_or("");
    let most = request.param("most").and_then(|most| most.parse().ok()).unwrap_or(1000usize).min(1000);
    let mut rows = Vec::new();
    let mut bytes = 0;
    let mut more = false;
    for (path, key) in inner.keys.range(prefix.to_string()..) {
        if !path.starts_with(prefix) {
            break;
        }
        if path.as_str() <= from {
            continue;
        }
        let row = json!({"path": path, "value": key.value, "stamp": key.stamp});
        bytes += row.to_string().len();
        if rows.len() >= most || bytes > 500_000 {
            more = true;
            break;
        }
        rows.push(row);
    }
    Reply::Answer(200, json!({"rows": rows, "more": more, "harvest": inner.harvest}))
}
