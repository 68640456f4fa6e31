//! Code shared by the tests: settings and builders in this file, models of the parts of a cluster in its
//! modules.
#![allow(dead_code)]

pub mod cells;
pub mod clock;
pub mod fleet_scenario;
pub mod fleet_writes;
pub mod gate;
pub mod leader_without_copies;
pub mod lender_messages;
pub mod lending_scenario;
pub mod lending_world;
pub mod planner;
pub mod production;
pub mod production_api;
pub mod production_leader;
pub mod production_writes;
pub mod records_of_0_3_2;
pub mod servers;
pub mod simulated_controller;
pub mod state_store_server;
pub mod store;
pub mod store_faults;
pub mod worker;

use std::ops::RangeInclusive;
use std::sync::Arc;

use milletlock::config::{Config, OperatorConfig, PlatformConfig};
use milletlock::records::JobRecord;
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, Heartbeat, JobSpec, MachineType, TaskStage, TaskStatus};
use serde_json::{json, Value};

/// Duration of a worker's lease in [`platform_json`].
pub const LEASE: Micros = Micros(22_000_000);
/// Quota of processors of the team `tight` in [`platform_json`].
pub const TIGHT_LIMIT: usize = 6;

/// A platform's settings file. The team `tight` has a quota, the team `free` has none. The file has an
/// unknown field, which is to be ignored.
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

/// Validated settings.
pub fn config() -> Arc<Config> {
    config_with(|_| ())
}

/// Validated settings, with changes to the platform's `settings`.
pub fn config_with(change: impl FnOnce(&mut Value)) -> Arc<Config> {
    let mut file = platform_json();
    change(&mut file["settings"]);
    let platform = PlatformConfig::parse(&file.to_string(), "test").expect("settings");
    Arc::new(Config { platform, operator: OperatorConfig::default() })
}

/// Validated settings with lower next limits of the state store. A value may have `value_kb` KiB and a
/// transaction eight changes at first, later `next_value_kb` KiB and four changes.
pub fn config_with_falling_limits(value_kb: f64, next_value_kb: f64) -> Arc<Config> {
    let mut settings = platform_json();
    settings["settings"]["state"] = json!({
        "rps": 500.0, "write_rps": 500.0, "value_kb": value_kb, "txn_ops": 8,
        "next": {"value_kb": next_value_kb, "txn_ops": 4}
    });
    let platform = PlatformConfig::parse(&settings.to_string(), "test").expect("settings");
    Arc::new(Config { platform, operator: OperatorConfig::default() })
}

/// The machine types `small` (4 processors) and `large` (16 processors), both available in both zones.
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

/// The description of a job of the team `free` with tasks of one processor. `n` is the number in the job's
/// id.
pub fn spec(n: u32, tasks: u32, shape: &str) -> JobSpec {
    let v = json!({
        "nameId": format!("wk-{n:06}"), "grain": "any", "owner": "free", "shape": shape, "rank": "normal",
        "kernels": tasks, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "seed": "img", "pullGb": 0.5,
        "breeds": null, "field": null, "oneZone": false, "spread": false, "gleanings": true,
        "expectS": 20.0, "stashEveryS": 0.0, "stashS": 0.0, "dueS": null
    });
    JobSpec::parse(v.to_string().as_bytes()).expect("a valid job description")
}

/// The seeds of a random test: those of the variable `MILLETLOCK_SEEDS`, as `FIRST-LAST`, or else of `default`.
pub fn seeds(default: &str) -> RangeInclusive<u64> {
    let text = std::env::var("MILLETLOCK_SEEDS").unwrap_or_else(|_| default.into());
    let (first, last) = text.split_once('-').expect("FIRST-LAST");
    first.parse().expect("a number")..=last.parse().expect("a number")
}

/// The record of a job that was submitted at time 0.
pub fn record(spec: JobSpec) -> JobRecord {
    JobRecord::new(spec, 0)
}

/// A heartbeat of a machine of type `small` in zone `north`. Each task has its name, attempt, stage and exit
/// reason.
pub fn heartbeat(
    machine: &str,
    sequence: u64,
    fencing_token: u64,
    tasks: &[(&str, u64, TaskStage, Option<ExitReason>)],
) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: "127.0.0.1:9".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        fencing_token,
        interruption_notice_s: None,
        tasks: tasks
            .iter()
            .map(|t| TaskStatus { task: t.0.into(), attempt: t.1, stage: t.2, exit_reason: t.3, saved: None })
            .collect(),
    }
}
