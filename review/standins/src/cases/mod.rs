//! The cases' runs.

mod lent_twice;

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::record::Record;
use crate::Outcome;

pub fn run(case: &str, trouble: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    match case {
        "lent-twice" => lent_twice::run(trouble, folder, record),
        _ => Outcome::NotRun(format!("no case {case}")),
    }
}

/// Waits until a condition holds; returns false if it does not within `limit_s`.
pub fn until(limit_s: f64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(limit_s);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

pub fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// The settings of the deployment `roamco-brno`, as its site file has them.
pub fn roamco_settings() -> Value {
    json!({"initial_size": 3, "zones": ["morava-dc", "praha-dc"],
        "teams": [{"name": "settle-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [
            {"kind": "wait", "class": "tariff-match", "within_s": 30.0, "share": 0.8},
            {"kind": "finished", "class": "tariff-match", "within_s": 90.0, "share": 0.8},
            {"kind": "deadline", "class": "cdr-rate", "share": 0.9, "times": 1.0}],
        "workers": {"report_s": 3.0, "lease_s": 42.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 72.0},
        "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 10.0, "list_lag_s": 5.0},
        "limits": {"cpu": 0.12, "ram_mb": 200.0, "max_sockets": 4000}, "skew_ms": 1000.0})
}

/// The machine types of `roamco-brno`.
pub fn roamco_breeds() -> Value {
    json!([
        {"sku": "kos-4", "cpus": 4.0, "cards": 0.0, "ramGb": 16.0, "localGb": 35.0, "pullGbPerS": 0.1,
         "rate": 0.23, "marketPrice": 0.05, "readyS": 20.0, "fields": ["morava-dc"]},
        {"sku": "sokol-32", "cpus": 32.0, "cards": 0.0, "ramGb": 64.0, "localGb": 30.0, "pullGbPerS": 0.12,
         "rate": 1.58, "marketPrice": 0.36, "readyS": 35.0, "fields": ["praha-dc"]}])
}

/// A submission of the class `cdr-rate`.
pub fn cdr_rate(id: &str, tasks: u32) -> Value {
    json!({"nameId": id, "grain": "cdr-rate", "owner": "settle-desk", "shape": "batch", "rank": "normal",
        "kernels": tasks, "cpus": 2.0, "cards": 0.0, "ramGb": 2.3, "seed": "img-cdr", "pullGb": 0.5,
        "breeds": null, "field": null, "oneZone": false, "spread": false, "gleanings": true,
        "expectS": 35.0, "stashEveryS": 0.0, "stashS": 0.0, "dueS": 300.0})
}
