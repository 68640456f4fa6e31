//! A deployment under random troubles, to look for broken rules: the settings of shared-album-amman, with
//! seeds of their own (`SEED`).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cell::{amman_settings, Addresses, Cell, Jobs};
use crate::cloud::Offer;
use crate::http::call;
use crate::record::Limits;
use crate::store::Fate;
use crate::{Outcome, Run};

pub struct Known {
    pub spec: Value,
    pub accepted: bool,
    pub asked_to_cancel: bool,
    /// The last stage that a user was told, if final.
    pub last: Option<String>,
    pub failed_since: Option<Instant>,
}

fn spec(cell: &Cell, id: &str, fails: bool) -> Value {
    let platform = &cell.platform;
    let gang = platform.chance(0.3) && !fails;
    let kernels = if gang { 1 + platform.number(4) } else { 2 + platform.number(40) };
    let one_zone = platform.chance(0.25);
    let spread = !one_zone && platform.chance(0.2);
    let saves = if gang { 10.0 } else { 0.0 };
    let rank = ["urgent", "normal", "idle", "critical"][platform.number(4) as usize];
    let owner = ["albums-core-00", "albums-core-01"][platform.number(2) as usize];
    let breeds = match platform.number(5) {
        0 => json!(["ratl-4"]),
        1 => json!(["sahn-8"]),
        _ => Value::Null,
    };
    let field = match platform.number(8) {
        0 => json!("irbid-hall"),
        1 => json!("zarqa-hall"),
        _ => Value::Null,
    };
    json!({"nameId": id, "grain": "thumb-sweep", "owner": owner, "shape": if gang {"gang"} else {"batch"},
        "rank": rank, "kernels": kernels, "cpus": if gang {4.0} else {1.0}, "cards": 0.0, "ramGb": 1.0,
        "seed": format!("img-{}", platform.number(3)), "pullGb": 0.5, "breeds": breeds, "field": field,
        "oneZone": one_zone, "spread": spread, "gleanings": platform.chance(0.5), "expectS": 5.0,
        "stashEveryS": saves, "stashS": if gang {1.0} else {0.0}, "dueS": null})
}

pub fn run(run: &Run) -> Outcome {
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let limit =
        Duration::from_secs(std::env::var("SECONDS").ok().and_then(|text| text.parse().ok()).unwrap_or(240));
    let teams = json!([
        {"name": "albums-core-00", "cpus": 8.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "albums-core-01", "cpus": 8.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]);
    let nodes = std::env::var("NODES").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let pace: u64 = std::env::var("PACE").ok().and_then(|text| text.parse().ok()).unwrap_or(9000);
    let zones = ["irbid-hall", "zarqa-hall"];
    let settings = amman_settings(&zones, teams);
    run.record
        .set_limits(Limits { cancel_s: 47.0, cpus_max: BTreeMap::from([("albums-core-00".into(), 24.0)]) });
    let jobs = Arc::new(Jobs::default());
    let box8 = |field, count| Offer {
        sku: "sahn-8",
        cpus: 8.0,
        ram_gb: 16.0,
        field,
        count,
        spot: 2,
        boot: Duration::from_secs(2),
    };
    let box4 = |field, count| Offer {
        sku: "ratl-4",
        cpus: 4.0,
        ram_gb: 16.0,
        field,
        count,
        spot: 3,
        boot: Duration::from_secs(3),
    };
    let offers =
        vec![box8("irbid-hall", 3), box8("zarqa-hall", 3), box4("irbid-hall", 2), box4("zarqa-hall", 2)];
    let operator = std::env::var("OPERATOR").ok();
    let mut cell = Cell::start(
        "amman",
        settings,
        &Addresses::choose(nodes),
        offers,
        &[1, 1],
        operator,
        jobs.clone(),
        run.record.clone(),
        &run.dir,
    );
    cell.set_seed(seed);
    if !cell.wait_until_up(Duration::from_secs(20)) {
        return Outcome::CouldNotRun("no leader".into());
    }
    let (share_lost, share_late) = (0.03, 0.02);
    let hook_platform = cell.platform.clone();
    if run.trouble {
        cell.store.answer_late(0.06);
        cell.store.set_hook(move |_, _| {
            if hook_platform.chance(share_lost) {
                Fate::ExecutedWithoutAnswer
            } else if hook_platform.chance(share_late) {
                Fate::Late(Duration::from_millis(200 + hook_platform.number(30_000)))
            } else {
                Fate::Normal
            }
        });
        *cell.platform.chaos.lock().unwrap() = crate::cell::Chaos {
            late_copies: 0.05,
            lost_answers: 0.03,
            late_commands: 0.2,
            ..Default::default()
        };
    }
    let began = Instant::now();
    let mut known: BTreeMap<String, Known> = BTreeMap::new();
    let mut next_job = Instant::now();
    let mut next_poll = Instant::now();
    let mut next_fault = Instant::now() + Duration::from_secs(8);
    let mut undo: Vec<(Instant, Box<dyn FnOnce(&mut Cell)>)> = Vec::new();
    let mut number = 100 * seed;
    while began.elapsed() < limit && run.record.broken_rules().is_empty() {
        std::thread::sleep(Duration::from_millis(50));
        run.record.check_cancelled();
        for index in 0..cell.controllers.len() {
            if cell.controllers[index].has_ended() {
                run.record.broken(&format!("{} has ended by itself", cell.controllers[index].label));
            }
        }
        let now = Instant::now();
        while let Some(at) = undo.iter().position(|(at, _)| now >= *at) {
            undo.remove(at).1(&mut cell);
        }
        let quiet = began.elapsed() + Duration::from_secs(60) > limit;
        if quiet && !undo.is_empty() {
            for (_, action) in std::mem::take(&mut undo) {
                action(&mut cell);
            }
        }
        if now >= next_job && began.elapsed() + Duration::from_secs(80) < limit {
            next_job = now + Duration::from_millis(1000 + cell.platform.number(4000));
            number += 1;
            let id = format!("wk-{number:06}");
            let fails = cell.platform.chance(0.05);
            let spec = spec(&cell, &id, fails);
            jobs.add(&spec, 2.0 + cell.platform.number(12) as f64, fails);
            known.insert(
                id,
                Known { spec, accepted: false, asked_to_cancel: false, last: None, failed_since: None },
            );
        }
        if now >= next_poll {
            next_poll = now + Duration::from_millis(300);
            poll(run, &cell, &jobs, &mut known);
        }
        if run.trouble && !quiet && now >= next_fault {
            next_fault = now + Duration::from_millis(pace / 4 + cell.platform.number(pace));
            fault(&mut cell, &mut undo, now, true);
        }
    }
    let open: Vec<&String> =
        known.iter().filter(|(_, job)| job.accepted && job.last.is_none()).map(|(id, _)| id).collect();
    run.record.line(&format!(
        "jobs {}, open at the end {open:?}, tasks started {}",
        known.len(),
        run.record.tasks_started()
    ));
    println!(
        "seed {seed}: jobs {}, open at the end {}, tasks started {}",
        known.len(),
        open.len(),
        run.record.tasks_started()
    );
    Outcome::Held
}

pub fn poll(run: &Run, cell: &Cell, jobs: &Jobs, known: &mut BTreeMap<String, Known>) {
    let ids: Vec<String> = known.keys().cloned().collect();
    if ids.is_empty() {
        return;
    }
    // A few requests at a time, each on a thread of its own.
    type Answer = Option<(u16, Value)>;
    let mut calls: Vec<(String, usize, &str, std::thread::JoinHandle<Answer>)> = Vec::new();
    for _ in 0..6 {
        let id = ids[cell.platform.number(ids.len() as u64) as usize].clone();
        if calls.iter().any(|(other, ..)| *other == id) {
            continue;
        }
        let job = known.get_mut(&id).unwrap();
        let node = cell.platform.number(cell.controllers.len() as u64) as usize;
        let address = cell.controllers[node].serve_on;
        let what = if !job.accepted || cell.platform.chance(0.05) {
            "submit"
        } else if job.asked_to_cancel && job.last.is_none() || cell.platform.chance(0.02) {
            job.asked_to_cancel = true;
            "withdraw"
        } else {
            "show"
        };
        let (spec, path) = (job.spec.clone(), format!("/api/jobs/{id}"));
        let thread = std::thread::spawn(move || match what {
            "submit" => call(address, "POST", "/api/jobs", Some(&spec), Duration::from_secs(5)),
            "withdraw" => call(address, "POST", &format!("{path}/withdraw"), None, Duration::from_secs(5)),
            _ => call(address, "GET", &path, None, Duration::from_secs(2)),
        });
        calls.push((id, node, what, thread));
    }
    for (id, node, what, thread) in calls {
        let answer = thread.join().unwrap();
        let text = answer.as_ref().map_or("no answer".into(), |(status, body)| format!("{status} {body}"));
        run.record.line(&format!("user  {} {what} {id} -> {text}", cell.controllers[node].label));
        let job = known.get_mut(&id).unwrap();
        let Some((status, body)) = answer else { continue };
        let stage = body["stage"].as_str().unwrap_or("").to_string();
        match status {
            200 | 201 => {
                job.failed_since = None;
                job.accepted = true;
                if let Some(last) = &job.last {
                    if *last != stage {
                        run.record.broken(&format!("went_back: {id} was {last}, now {stage}"));
                    }
                }
                if stage == "cancelled" {
                    if !job.asked_to_cancel {
                        run.record.broken(&format!("went_back: {id} is called cancelled, nobody asked"));
                    }
                    run.record.cancelled(&id);
                    job.last = Some(stage);
                } else if stage == "done" {
                    let kernels = job.spec["kernels"].as_u64().unwrap() as usize;
                    if jobs.done_tasks(&id) < kernels {
                        run.record.broken(&format!(
                            "not_done: {id} is called done, {} of {kernels}",
                            jobs.done_tasks(&id)
                        ));
                    }
                    job.last = Some(stage);
                }
            }
            404 if job.accepted => run.record.broken(&format!("forgotten: {id} gets 404")),
            400 | 422 => run.record.broken(&format!("forgotten: {id} gets {text}")),
            _ => {}
        }
    }
}

pub type Undo = Vec<(Instant, Box<dyn FnOnce(&mut Cell)>)>;

pub fn fault(cell: &mut Cell, undo: &mut Undo, now: Instant, refuse: bool) {
    let node = match cell.leader() {
        Some(leader) if cell.platform.chance(0.7) => leader,
        _ => cell.platform.number(cell.controllers.len() as u64) as usize,
    };
    let label = cell.controllers[node].label.clone();
    let seconds = |cell: &Cell, least: u64, most: u64| {
        Duration::from_millis(1000 * least + cell.platform.number(1000 * (most - least)))
    };
    let kind = cell.platform.number(15);
    match if !refuse && (3..=5).contains(&kind) { 0 } else { kind } {
        0 | 1 => {
            if cell.controllers[node].pid().is_some() {
                cell.kill(node);
                let back = if cell.platform.chance(0.4) {
                    Duration::from_millis(cell.platform.number(600))
                } else {
                    seconds(cell, 5, 9)
                };
                undo.push((now + back, Box::new(move |cell| cell.start_again(node))));
            }
        }
        2 => {
            cell.signal(node, "STOP");
            let time = seconds(cell, 1, 30);
            undo.push((now + time, Box::new(move |cell| cell.signal(node, "CONT"))));
        }
        3 => {
            cell.store.begin_outage();
            let time = seconds(cell, 2, 20);
            undo.push((now + time, Box::new(|cell| cell.store.end_outage())));
        }
        4 | 5 => {
            cell.store.refuse(&label, true);
            let time = seconds(cell, 2, 30);
            undo.push((now + time, Box::new(move |cell| cell.store.refuse(&label, false))));
        }
        6 | 7 => {
            let workers = cell.cloud.workers();
            if workers.is_empty() {
                return;
            }
            let worker = workers[cell.platform.number(workers.len() as u64) as usize].clone();
            let hang = cell.platform.chance(0.5);
            cell.platform.record.line(&format!("fault {} cut, hang {hang}", worker.name));
            if hang {
                worker.hang(true);
            } else {
                worker.cut.store(true, std::sync::atomic::Ordering::Relaxed);
            }
            let time = if hang { seconds(cell, 1, 18) } else { seconds(cell, 1, 35) };
            undo.push((
                now + time,
                Box::new(move |_| {
                    worker.hang(false);
                }),
            ));
        }
        8 if cell.platform.chance(0.5) => {
            let spots: Vec<_> = cell.cloud.workers().into_iter().filter(|worker| worker.is_spot()).collect();
            for worker in spots {
                if cell.platform.chance(0.5) {
                    let after = seconds(cell, 8, 25);
                    worker.notice(after);
                    let id = worker.id.clone();
                    undo.push((now + after, Box::new(move |cell| cell.cloud.end(&id, "taken after notice"))));
                }
            }
        }
        8 => {
            let workers = cell.cloud.workers();
            if !workers.is_empty() {
                let id = workers[cell.platform.number(workers.len() as u64) as usize].id.clone();
                cell.cloud.end(&id, "taken");
            }
        }
        9 => {
            cell.cloud.set_outage(true);
            let time = seconds(cell, 2, 40);
            undo.push((now + time, Box::new(|cell| cell.cloud.set_outage(false))));
        }
        10 => {
            cell.platform.record.line(&format!("fault {label}: no worker reaches it"));
            cell.platform.chaos.lock().unwrap().unreachable.insert(label.clone());
            let time = seconds(cell, 2, 30);
            undo.push((
                now + time,
                Box::new(move |cell| {
                    cell.platform.chaos.lock().unwrap().unreachable.remove(&label);
                }),
            ));
        }
        12 | 13 => {
            cell.platform
                .record
                .line(&format!("fault {label}: its link to the state service holds all back"));
            cell.store_links[node].interrupt(true);
            let time = seconds(cell, 1, 30);
            undo.push((
                now + time,
                Box::new(move |cell| {
                    cell.platform.record.line(&format!("fault {node}: link to the state service is back"));
                    cell.store_links[node].interrupt(false);
                }),
            ));
        }
        14 => {
            cell.platform.record.line(&format!("fault {label}: cut from everything"));
            let set = move |cell: &Cell, cut: bool| {
                cell.store_links[node].interrupt(cut);
                cell.links
                    .iter()
                    .filter(|((from, to), _)| *from == node || *to == node)
                    .for_each(|(_, link)| link.interrupt(cut));
            };
            set(cell, true);
            cell.platform.chaos.lock().unwrap().unreachable.insert(label.clone());
            let time = seconds(cell, 2, 30);
            undo.push((
                now + time,
                Box::new(move |cell| {
                    set(cell, false);
                    cell.platform.chaos.lock().unwrap().unreachable.remove(&label);
                }),
            ));
        }
        _ => {
            cell.platform.record.line(&format!("fault {label}: cut from the other controllers"));
            let set = move |cell: &Cell, cut: bool| {
                cell.links
                    .iter()
                    .filter(|((from, to), _)| *from == node || *to == node)
                    .for_each(|(_, link)| link.interrupt(cut));
            };
            set(cell, true);
            let time = seconds(cell, 2, 30);
            undo.push((now + time, Box::new(move |cell| set(cell, false))));
        }
    }
}
