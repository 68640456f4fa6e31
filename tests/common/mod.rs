//! Stand-ins and builders shared by the tests.
#![allow(dead_code)]

pub mod production;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use milletlock::config::{Config, Operator, Platform};
use milletlock::http::{self, Lane, Reply, Request, Response, Room};
use milletlock::jobs::JobRecord;
use milletlock::sched::{Class, Need};
use milletlock::time::Micros;
use milletlock::wire::{Change, JobSpec, MachineType, Rank, Report, Row, TaskReport, TaskStage, Txn, Why};
use serde_json::{json, Value};

/// A platform's settings file, with one limited and one free team.
pub fn platform_json() -> Value {
    json!({
        "label": "c-0", "location": "north", "serve_on": "127.0.0.1:0", "internal_addr": "127.0.0.1:0",
        "members": [], "services": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
        "unheard_of": 3,
        "settings": {
            "initial_size": 1, "zones": ["north", "south"],
            "teams": [
                {"name": "free", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "tight", "cpus": 4.0, "cpus_max": 6.0, "gpus": 0.0, "gpus_max": 0.0}
            ],
            "objectives": [{"kind": "wait", "class": "quick", "within_s": 20.0, "share": 0.8}],
            "workers": {"report_s": 3.0, "lease_s": 22.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 47.0},
            "state": {"rps": 500.0, "write_rps": 500.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 50.0, "list_lag_s": 1.0},
            "limits": {"cpu": 1.0, "ram_mb": 200.0, "max_sockets": 500},
            "skew_ms": 100.0
        }
    })
}

/// Checked settings.
pub fn config() -> Arc<Config> {
    let platform = Platform::parse(&platform_json().to_string(), "test").expect("settings");
    Arc::new(Config { platform, operator: Operator::default() })
}

/// Checked settings under which a value holds so many KiB and a transaction eight changes, and from some
/// moment on, without notice, a value so many fewer KiB and a transaction four changes.
pub fn config_with_falling_limits(value_kb: f64, next_value_kb: f64) -> Arc<Config> {
    let mut settings = platform_json();
    settings["settings"]["state"] = json!({
        "rps": 500.0, "write_rps": 500.0, "value_kb": value_kb, "txn_ops": 8,
        "next": {"value_kb": next_value_kb, "txn_ops": 4}
    });
    let platform = Platform::parse(&settings.to_string(), "test").expect("settings");
    Arc::new(Config { platform, operator: Operator::default() })
}

/// A small and a large machine type, in both zones.
pub fn types() -> Vec<MachineType> {
    let ty = |name: &str, cpus: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 2.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: cpus * 0.1,
        spot_price: Some(cpus * 0.03),
        boot_s: 20.0,
        zones: vec!["north".into(), "south".into()],
    };
    vec![ty("small", 4.0), ty("large", 16.0)]
}

/// A job of one-processor tasks.
pub fn spec(n: u32, tasks: u32, shape: &str) -> JobSpec {
    let v = json!({
        "nameId": format!("wk-{n:06}"), "grain": "any", "owner": "free", "shape": shape, "rank": "normal",
        "kernels": tasks, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "seed": "img", "pullGb": 0.5,
        "breeds": null, "field": null, "oneZone": false, "spread": false, "gleanings": true,
        "expectS": 20.0, "stashEveryS": 0.0, "stashS": 0.0, "dueS": null
    });
    JobSpec::parse(v.to_string().as_bytes()).expect("a good description")
}

/// A job's record.
pub fn record(spec: JobSpec) -> JobRecord {
    JobRecord { spec, submitted_us: 0, high: 0 }
}

/// A report of a small machine in the north.
pub fn report(
    machine: &str,
    tally: u64,
    token: u64,
    tasks: &[(&str, u64, TaskStage, Option<Why>)],
) -> Report {
    Report {
        machine: machine.into(),
        addr: "127.0.0.1:9".into(),
        ty: "small".into(),
        zone: "north".into(),
        spot: false,
        season: 1,
        tally,
        token,
        notice_s: None,
        tasks: tasks
            .iter()
            .map(|t| TaskReport { task: t.0.into(), attempt: t.1, stage: t.2, why: t.3, saved: None })
            .collect(),
    }
}

/// A plain model of the state service's keys.
#[derive(Default)]
pub struct Store {
    /// Key to value and version.
    pub keys: BTreeMap<String, (Value, u64)>,
    /// Revision.
    pub revision: u64,
    /// All changes, with the value where one was put.
    pub log: Vec<(u64, String, Option<Value>)>,
}

impl Store {
    /// Executes a transaction: its revision, or the keys whose conditions failed.
    pub fn txn(&mut self, t: &Txn) -> Result<u64, Vec<String>> {
        let failed: Vec<String> =
            t.guards.iter().filter(|g| self.stamp(&g.key) != g.stamp).map(|g| g.key.clone()).collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        for c in &t.then {
            match c {
                Change::Put { put, value, .. } => {
                    self.keys.insert(put.clone(), (value.clone(), self.revision));
                    self.log.push((self.revision, put.clone(), Some(value.clone())));
                }
                Change::Drop { drop } => {
                    if self.keys.remove(drop).is_some() {
                        self.log.push((self.revision, drop.clone(), None));
                    }
                }
            }
        }
        Ok(self.revision)
    }

    /// A key's version; 0: it does not exist.
    pub fn stamp(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    /// A key as a row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.keys.get(key).map(|k| Row { key: key.into(), value: k.0.clone(), stamp: k.1 })
    }

    /// All keys with a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).filter_map(|k| self.row(k)).collect()
    }
}

/// Whole seconds.
pub fn secs(s: i64) -> Micros {
    Micros(s * 1_000_000)
}

/// So many processors, and as much memory.
pub fn need(cpus: f64) -> Need {
    Need { cpus, gpus: 0.0, memory: cpus }
}

/// An array's class of one-processor tasks on the first type.
pub fn class(count: u32, adjusted: i64, waited: i64) -> Class {
    Class {
        rank: Rank::Normal,
        raised: None,
        team: 0,
        guaranteed: false,
        count,
        tasks: count,
        gang: false,
        need: need(1.0),
        types: vec![0],
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: None,
        image_gb: 0.0,
        adjusted: secs(adjusted),
        waited: secs(waited),
        zones: vec![0, 0],
        lost: 0,
        patience: secs(10),
        replicas: None,
    }
}

/// Serves requests on a port of its own until the test ends; one that is not answered has its
/// connection closed.
pub fn serve_some(f: impl Fn(Request) -> Option<Response> + Send + Sync + 'static) -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address");
    let room = Room { connections: 100, bulk_connections: 100, prompt_threads: 50, bulk_threads: 1 };
    let handler = Arc::new(move |r: Request, reply: Reply| match f(r) {
        Some(answer) => reply.send(&answer),
        None => drop(reply),
    });
    let service = http::Service { lane: |_| Lane::Prompt, handler };
    std::thread::spawn(move || http::serve(l, room, Arc::new(AtomicBool::new(false)), service));
    addr
}

/// The same, answering all.
pub fn serve(f: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    serve_some(move |r| Some(f(r)))
}

/// A cloud with the usual types, no machines and none to rent.
pub fn cloud() -> SocketAddr {
    serve(|r| match (r.method.as_str(), r.path.split('?').next().unwrap_or("")) {
        ("GET", "/catalog") => Response::json(200, &json!({ "breeds": types() })),
        ("GET", "/rentals") => Response::json(200, &json!({ "husks": [], "more": false })),
        ("POST", "/rentals/return") => Response::json(200, &json!({})),
        _ => Response::error(503, "no capacity"),
    })
}
