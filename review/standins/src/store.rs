//! The state service of PROTOCOL, with a port for each controller, so that a run can tell which of them asks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::http::{serve, Answer, Request};

#[derive(Clone)]
struct Row {
    value: Value,
    stamp: u64,
    tenure: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    harvest: u64,
    rows: BTreeMap<String, Row>,
    /// Revision, key, and the value that was put; none if the key was dropped.
    log: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Whether every node gets 503.
    out: bool,
}

/// What happens to a transaction.
pub enum Fate {
    /// It is carried out and answered.
    Normal,
    /// It gets no answer and is carried out when the run says so.
    Late,
}

type Judge = dyn Fn(usize, &Value) -> Fate + Send + Sync;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    held: Mutex<Vec<Value>>,
    judge: Mutex<Option<Box<Judge>>>,
}

impl Store {
    pub fn new() -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            held: Mutex::default(),
            judge: Mutex::new(None),
        });
        let ticker = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            drop(ticker.lock());
            ticker.changed.notify_all();
        });
        store
    }

    /// Opens the port for one controller.
    pub fn open(self: &Arc<Store>, node: usize) -> SocketAddr {
        let store = self.clone();
        serve(move |request| store.answer(node, request))
    }

    /// Sets who decides on the fate of each transaction.
    pub fn judge(&self, judge: impl Fn(usize, &Value) -> Fate + Send + Sync + 'static) {
        *self.judge.lock().unwrap() = Some(Box::new(judge));
    }

    /// Begins or ends an outage. After an outage every lease has its full time again.
    pub fn set_out(&self, out: bool) {
        let mut state = self.lock();
        state.out = out;
        if !out {
            let now = Instant::now();
            state.leases.values_mut().for_each(|lease| lease.ends = now + lease.ttl);
        }
    }

    /// Carries out the transactions that were held up; returns the status of each.
    pub fn release(&self) -> Vec<u16> {
        let held = std::mem::take(&mut *self.held.lock().unwrap());
        let mut state = self.lock();
        let statuses = held.iter().map(|txn| state.txn(txn).0).collect();
        self.changed.notify_all();
        statuses
    }

    /// The value under a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().rows.get(key).map(|row| row.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        state
    }

    fn answer(&self, node: usize, request: &Request) -> Answer {
        {
            let state = self.lock();
            if state.out {
                return Answer::Send(503, json!({"error":"trouble"}).to_string());
            }
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        if request.path == "/txn" {
            let fate = self.judge.lock().unwrap().as_ref().map_or(Fate::Normal, |judge| judge(node, &body));
            if let Fate::Late = fate {
                self.held.lock().unwrap().push(body);
                return Answer::Silence;
            }
        }
        if request.path == "/watch" {
            return self.watch(request);
        }
        let mut state = self.lock();
        let (status, body) = state.answer(request, &body);
        drop(state);
        self.changed.notify_all();
        Answer::Send(status, body.to_string())
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.parameter("starts").unwrap_or("");
        let from: u64 = request.parameter("from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let block: u64 = request.parameter("blockMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(block.min(60_000));
        let mut state = self.lock();
        loop {
            let served = !state.out;
            let events = state.events(prefix, from);
            // An open watch waits while the node is not served.
            if served && (!events.is_empty() || Instant::now() >= end) {
                let harvest = state.harvest;
                return Answer::Send(200, json!({"harvest": harvest, "events": events}).to_string());
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
            state.end_leases();
        }
    }
}

impl State {
    fn end_leases(&mut self) {
        if self.out {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.rows.iter().filter(|(_, row)| row.tenure == Some(id)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.harvest += 1;
            self.rows.remove(&key);
            self.log.push((self.harvest, key, None));
        }
    }

    /// All changes under a prefix after a revision, in their order.
    fn events(&self, prefix: &str, from: u64) -> Vec<Value> {
        let first = self.log.partition_point(|(stamp, _, _)| *stamp <= from);
        let changes = self.log[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        changes
            .map(|(stamp, key, value)| match value {
                Some(value) => json!({"put": key, "value": value, "stamp": stamp}),
                None => json!({"drop": key, "stamp": stamp}),
            })
            .collect()
    }

    fn txn(&mut self, txn: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let then = txn["then"].as_array().unwrap_or(&empty);
        let dead = then.iter().filter_map(|change| change["tenure"].as_u64());
        if dead.clone().any(|lease| !self.leases.contains_key(&lease)) {
            return (400, json!({"error":"no such lease"}));
        }
        let guards = txn["guards"].as_array().unwrap_or(&empty);
        let failed: Vec<&str> = guards
            .iter()
            .filter_map(|guard| {
                let key = guard["path"].as_str().unwrap_or("");
                let stamp = self.rows.get(key).map_or(0, |row| row.stamp);
                (Some(stamp) != guard["stamp"].as_u64()).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "harvest": self.harvest}));
        }
        if !then.is_empty() {
            self.harvest += 1;
        }
        for change in then {
            if let Some(key) = change["put"].as_str() {
                let value = change["value"].clone();
                let tenure = change["tenure"].as_u64();
                self.rows.insert(key.into(), Row { value: value.clone(), stamp: self.harvest, tenure });
                self.log.push((self.harvest, key.into(), Some(value)));
            } else if let Some(key) = change["drop"].as_str() {
                if self.rows.remove(key).is_some() {
                    self.log.push((self.harvest, key.into(), None));
                }
            }
        }
        (200, json!({"harvest": self.harvest}))
    }

    fn answer(&mut self, request: &Request, body: &Value) -> (u16, Value) {
        let path = request.path.as_str();
        let lease_id = |text: &str| text.parse::<u64>().unwrap_or(0);
        match request.method.as_str() {
            "POST" if path == "/txn" => self.txn(body),
            "POST" if path == "/leases" => {
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1000));
                self.last_lease += 1;
                self.leases.insert(self.last_lease, Lease { ttl, ends: Instant::now() + ttl });
                (200, json!({"tenure": self.last_lease}))
            }
            "POST" => {
                let id = path.strip_prefix("/leases/").and_then(|rest| rest.strip_suffix("/renew"));
                match id.and_then(|id| self.leases.get_mut(&lease_id(id))) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (200, json!({}))
                    }
                    None => (404, json!({"error":"no such lease"})),
                }
            }
            "DELETE" => {
                let id = lease_id(path.strip_prefix("/leases/").unwrap_or(""));
                let known = self.leases.contains_key(&id);
                self.end_lease(id);
                (if known { 200 } else { 404 }, json!({}))
            }
            _ if path == "/keys" => {
                let prefix = request.parameter("starts").unwrap_or("");
                let from = request.parameter("from").unwrap_or("");
                let most = request.parameter("most").and_then(|m| m.parse().ok()).unwrap_or(1000).min(1000);
                let mut rows: Vec<Value> = Vec::new();
                let mut more = false;
                for (key, row) in self.rows.range(from.to_string()..) {
                    if key.starts_with(prefix) && key.as_str() > from {
                        if rows.len() == most {
                            more = true;
                            break;
                        }
                        rows.push(json!({"path": key, "value": row.value, "stamp": row.stamp}));
                    }
                }
                (200, json!({"rows": rows, "more": more, "harvest": self.harvest}))
            }
            _ => match path.strip_prefix("/keys/").and_then(|key| Some((key, self.rows.get(key)?))) {
                Some((key, row)) => {
                    let mut found = json!({"path": key, "value": row.value, "stamp": row.stamp});
                    if let Some(tenure) = row.tenure {
                        found["tenure"] = json!(tenure);
                    }
                    (200, found)
                }
                None => (404, json!({"harvest": self.harvest})),
            },
        }
    }
}
