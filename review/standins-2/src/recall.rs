//! Two cells. The borrower's state service goes down as its leader returns recalled tasks: the transaction is
//! executed, its answer is lost, and all requests get 503 until the service is back.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cell::{brno_settings, Addresses, Cell, Jobs};
use crate::cloud::Offer;
use crate::store::Fate;
use crate::{Outcome, Run};

const OUTAGE: Duration = Duration::from_secs(15);
const TASKS: u32 = 64;
const LIMIT: Duration = Duration::from_secs(85);
/// How long a task runs. Its owner has stated 8 s.
const RUN_S: f64 = 12.0;

pub fn boxes(count: usize) -> Vec<Offer> {
    vec![Offer {
        sku: "kos-4",
        cpus: 4.0,
        ram_gb: 16.0,
        field: "morava-dc",
        count,
        spot: 0,
        boot: Duration::from_secs(2),
    }]
}

pub fn operator(
    own: &str,
    other: &str,
    addresses: &Addresses,
    lends: bool,
    lend_after_s: u32,
    borrow_cpus: u32,
) -> String {
    let (lend, borrow) = if lends { ("\"*\"", "") } else { ("", "\"*\"") };
    format!(
        "cells {{\n  name = \"{own}\"\n  others = [{{ name = \"{other}\", controllers = [{}] }}]\n  \
         lend = [{lend}]\n  borrow = [{borrow}]\n  borrow_cpus = {borrow_cpus}\n  lend_after_s = {lend_after_s}\n}}\n",
        addresses.internal_list()
    )
}

pub fn array(id: &str, kernels: u32, expect_s: f64) -> Value {
    json!({"nameId": id, "grain": "cdr-rate", "owner": "settle-desk", "shape": "batch", "rank": "normal",
        "kernels": kernels, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "seed": "cdr", "pullGb": 0.2,
        "breeds": null, "field": null, "oneZone": false, "spread": false, "gleanings": false,
        "expectS": expect_s, "stashEveryS": 0.0, "stashS": 0.0, "dueS": null})
}

/// Whether a transaction takes tasks out of a loan that stays open, which only a recall does.
pub fn returns_tasks(txn: &Value, known: &mut Value, key: &str) -> bool {
    let changes = txn["then"].as_array().into_iter().flatten();
    let Some(change) = changes.into_iter().find(|change| change["put"] == key) else { return false };
    let before = std::mem::replace(known, change["value"]["loans"].clone());
    let loans = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let is_smaller = |loan: &Value| {
        loans(&before).iter().any(|old| old["number"] == loan["number"] && old["tasks"] != loan["tasks"])
    };
    loans(&change["value"]["loans"]).iter().any(is_smaller)
}

pub fn run(run: &Run) -> Outcome {
    let teams = json!([{"name": "settle-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]);
    let zones = ["morava-dc", "praha-dc"];
    let (jobs, jobs_there) = (Arc::new(Jobs::default()), Arc::new(Jobs::default()));
    let (north_at, south_at) = (Addresses::choose(3), Addresses::choose(3));
    let north = Cell::start(
        "north",
        brno_settings(&zones, teams.clone()),
        &north_at,
        boxes(2),
        &[2],
        Some(operator("north", "south", &south_at, true, 2, 64)),
        jobs.clone(),
        run.record.clone(),
        &run.dir,
    );
    let south = Cell::start(
        "south",
        brno_settings(&zones, teams),
        &south_at,
        boxes(2),
        &[2],
        Some(operator("south", "north", &north_at, false, 2, 64)),
        jobs_there.clone(),
        run.record.clone(),
        &run.dir,
    );
    if !north.wait_until_up(Duration::from_secs(20)) || !south.wait_until_up(Duration::from_secs(20)) {
        return Outcome::CouldNotRun("no leader".into());
    }
    let job = "wk-000101";
    let key = format!("borrowed/job/{job}");
    let returned = Arc::new(AtomicBool::new(false));
    {
        let (returned, trouble, mut known) = (returned.clone(), run.trouble, Value::Null);
        let record = run.record.clone();
        south.store.set_hook(move |client, txn| {
            if !returned.load(Ordering::Relaxed) && returns_tasks(txn, &mut known, &key) {
                returned.store(true, Ordering::Relaxed);
                record.line(&format!("note  {client} returns recalled tasks: {txn}"));
                if trouble {
                    return Fate::ExecutedWithoutAnswer;
                }
            }
            Fate::Normal
        });
    }
    let spec = array(job, TASKS, 8.0);
    jobs.add(&spec, RUN_S, false);
    jobs_there.add(&spec, RUN_S, false);
    if !north.submit(0, &spec) {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    let began = Instant::now();
    let mut outage_until = None;
    while began.elapsed() < LIMIT {
        std::thread::sleep(Duration::from_millis(5));
        if run.trouble && returned.load(Ordering::Relaxed) && outage_until.is_none() {
            south.store.begin_outage();
            outage_until = Some(Instant::now() + OUTAGE);
        }
        if outage_until.is_some_and(|until| Instant::now() >= until) {
            south.store.end_outage();
            outage_until = Some(Instant::now() + LIMIT);
        }
        let (here, there) = (jobs.done_tasks(job), jobs_there.done_tasks(job));
        if here + there >= TASKS as usize || !run.record.broken_rules().is_empty() {
            break;
        }
    }
    run.record.line(&format!(
        "tasks done: north {}, south {}",
        jobs.done_tasks(job),
        jobs_there.done_tasks(job)
    ));
    let _ = north.user(2, "GET", &format!("/api/jobs/{job}"), None);
    if !returned.load(Ordering::Relaxed) {
        return Outcome::CouldNotRun("nothing was recalled".into());
    }
    Outcome::Held
}
