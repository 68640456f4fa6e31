//! Random troubles on one or two installations with short times. Not a case: used to look for faults.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{cdr_rate, pause, roamco_breeds, roamco_settings, until};
use crate::cell::{free_addresses, Cell, Plan};
use crate::record::Record;
use crate::store::Fate;
use crate::world::{JobFacts, World};
use crate::Outcome;

struct Dice(AtomicU64);

impl Dice {
    fn next(&self) -> u64 {
        let mut x = self.0.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^ (x >> 31)
    }
    fn below(&self, n: u64) -> u64 {
        self.next() % n
    }
    fn chance(&self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

#[derive(Clone, Debug, Default)]
struct Told {
    accepted: bool,
    done: bool,
    cancelled: bool,
    asked_cancel: bool,
    tasks: u32,
    service: bool,
}

pub fn run(folder: &Path, record: &Arc<Record>) -> Outcome {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let secs: f64 = std::env::var("SECS").ok().and_then(|s| s.parse().ok()).unwrap_or(70.0);
    let two = std::env::var("CELLS").is_ok();
    let limit: f64 = 16.0;
    let dice = Arc::new(Dice(AtomicU64::new(seed.wrapping_mul(0x1234_5678_9ABC_DEF1))));
    let (lease, cancel) = (7.0, 13.0);
    let world = World::new(record.clone(), 0.8, lease, cancel);
    let mut settings = roamco_settings();
    settings["workers"] = json!({"report_s": 0.8, "lease_s": lease, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": cancel});
    settings["cloud"]["list_lag_s"] = json!(1.0);
    settings["teams"][0]["cpus_max"] = json!(limit);
    if !two {
        world.lock().limits.insert("settle-desk".into(), limit);
    } else {
        settings["teams"][0]["cpus_max"] = json!(0.0);
    }
    let count = if two { 2 } else { 1 };
    let users: Vec<_> = (0..count).map(|_| free_addresses(3)).collect();
    let internal: Vec<_> = (0..count).map(|_| free_addresses(3)).collect();
    let names = ["north", "south"];
    let cell_links: Vec<Vec<crate::link::Link>> =
        (0..count).map(|c| if two { internal[1 - c].iter().map(|a| crate::link::Link::start(*a)).collect() } else { Vec::new() }).collect();
    let mut cells: Vec<Cell> = Vec::new();
    for c in 0..count {
        let mut operator = "leader_ttl_s = 1.5\ndrain_s = 2\nidle_s = 600\nidle_protected_s = 600\nidle_deadline_s = 600\n".to_string();
        if two {
            let list: Vec<String> = cell_links[c].iter().map(|l| format!("\"{}\"", l.address)).collect();
            operator += &format!("cells {{\n name = \"{}\"\n others = [{{ name = \"{}\", controllers = [{}] }}]\n lend = [\"*\"]\n borrow = [\"*\"]\n borrow_cpus = 64\n lend_after_s = 0.5\n}}\n", names[c], names[1 - c], list.join(", "));
        }
        let plan = Plan { name: names[c], controllers: 3, zones: ["morava-dc", "praha-dc"], settings: settings.clone(), breeds: roamco_breeds(), operator, links: true };
        cells.push(Cell::prepare(c, &plan, (users[c].clone(), internal[c].clone()), &world, folder, record));
    }
    let late_share = Arc::new(AtomicU64::new(0));
    for cell in &cells {
        let (d, share, r) = (dice.clone(), late_share.clone(), record.clone());
        let store = Arc::downgrade(&cell.store);
        let name = cell.name;
        cell.store.judge(move |node, txn| {
            let text = txn.to_string();
            let of_loan = text.contains("\"lending\"") || text.contains("borrowed/");
            let now = share.load(Ordering::Relaxed);
            if !d.chance(if of_loan && now > 0 { now + 40 } else { now }) {
                return Fate::Normal;
            }
            let at_once = d.chance(30);
            let delay = if at_once { 0.0 } else { 2.0 + d.below(9000) as f64 / 1000.0 };
            r.line(&format!("{name}: txn of husk-{node} unanswered, carried out after {delay:.1} s: {txn}"));
            let (store, txn, r) = (store.clone(), txn.clone(), r.clone());
            std::thread::spawn(move || {
                pause(delay);
                if let Some(store) = store.upgrade() {
                    let status = store.carry_out(&txn);
                    r.line(&format!("{name}: late txn of husk-{node} carried out: {status}"));
                }
            });
            Fate::Lost
        });
    }
    cells.iter_mut().for_each(|cell| cell.start_all());
    if !until(20.0, || cells.iter().all(|cell| cell.leader().is_some())) {
        return Outcome::NotRun("no leader".into());
    }
    let kos = ("kos-4", 4.0, 16.0);
    cells[0].add_machines(&world, if two { 3 } else { 7 }, kos);
    if two {
        cells[1].add_machines(&world, 5, kos);
    }
    let told: Arc<Mutex<BTreeMap<String, Told>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let quiet = Arc::new(AtomicBool::new(false));
    let faults: Arc<Mutex<Vec<String>>> = Arc::default();
    let number = Arc::new(AtomicU64::new(1));
    let mut threads = Vec::new();
    let ask = |record: Arc<Record>, name: &'static str, addresses: Vec<std::net::SocketAddr>| {
        move |node: usize, method: &str, path: &str, body: &str| -> Option<(u16, Value)> {
            let limit = Duration::from_secs(if method == "GET" { 2 } else { 5 });
            let answer = crate::http::call(addresses[node], method, path, body, limit);
            if method != "GET" || !matches!(answer, Ok((200, _))) {
                record.line(&format!("{name} husk-{node}: {method} {path} -> {answer:?}"));
            }
            answer.ok().map(|(s, b)| (s, serde_json::from_str(&b).unwrap_or(Value::Null)))
        }
    };
    // Users: each submits a job, polls it at random nodes, and may cancel it.
    let user_threads = 9;
    for user in 0..user_threads {
        let (dice, told, stop, quiet, faults, world, number) = (dice.clone(), told.clone(), stop.clone(), quiet.clone(), faults.clone(), world.clone(), number.clone());
        let ask = ask(record.clone(), "north", users[0].clone());
        threads.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) && !quiet.load(Ordering::Relaxed) {
                let n = number.fetch_add(1, Ordering::Relaxed);
                let id = format!("wk-{:06}", n);
                let service = !two && dice.chance(15);
                let gang = !two && !service && dice.chance(35);
                let tasks = if service { 1 + dice.below(2) as u32 } else if two { 5 + dice.below(40) as u32 } else if gang { 1 + dice.below(4) as u32 } else { 1 + dice.below(8) as u32 };
                let cpus = if two { 1.0 } else { [0.5, 1.0, 2.0][dice.below(3) as usize] };
                let runs = 0.3 + dice.below(4000) as f64 / 1000.0;
                let mut job = cdr_rate(&id, tasks);
                job["cpus"] = json!(cpus);
                job["ramGb"] = json!(0.5);
                job["expectS"] = json!(if service { 0.0 } else { runs });
                job["dueS"] = Value::Null;
                job["gleanings"] = json!(false);
                job["rank"] = json!(["idle", "normal", "urgent"][dice.below(3) as usize]);
                let (mut one_zone, mut spread) = (false, 0);
                if gang {
                    job["shape"] = json!("gang");
                    if cpus * tasks as f64 > limit { continue; }
                }
                if !service && !two {
                    if dice.chance(25) { job["oneZone"] = json!(true); one_zone = true; }
                    else if dice.chance(20) { job["spread"] = json!(true); spread = tasks; }
                }
                if service {
                    job["shape"] = json!("daemon");
                    job["rank"] = json!("critical");
                }
                world.lock().jobs.insert(id.clone(), JobFacts { cpus, ram_gb: 0.5, team: "settle-desk".into(), fetch: Duration::from_millis(50 + dice.below(300)), runs: (!service).then(|| Duration::from_secs_f64(runs)), gang: if gang { tasks } else { 0 }, one_zone, spread });
                told.lock().unwrap().insert(id.clone(), Told { tasks, service, ..Told::default() });
                let body = job.to_string();
                let accepted = until(60.0, || {
                    let ok = matches!(ask(dice.below(3) as usize, "POST", "/api/jobs", &body), Some((200 | 201, _)));
                    if !ok { pause(1.0); }
                    ok
                });
                if !accepted { continue; }
                told.lock().unwrap().get_mut(&id).unwrap().accepted = true;
                let cancel_at = dice.chance(if service { 100 } else { 25 }).then(|| Instant::now() + Duration::from_millis(dice.below(7000)));
                let path = format!("/api/jobs/{id}");
                let mut cancelling = false;
                loop {
                    if stop.load(Ordering::Relaxed) { break; }
                    let fault = |what: String| { let mut f = faults.lock().unwrap(); if f.len() < 20 { f.push(format!("{id}: {what}")); } };
                    if cancel_at.is_some_and(|at| Instant::now() >= at) || cancelling {
                        cancelling = true;
                        told.lock().unwrap().get_mut(&id).unwrap().asked_cancel = true;
                        match ask(dice.below(3) as usize, "POST", &format!("{path}/withdraw"), "{}") {
                            Some((200, answer)) => {
                                let stage = answer["stage"].as_str().unwrap_or("").to_string();
                                let mut t = told.lock().unwrap();
                                let t = t.get_mut(&id).unwrap();
                                match stage.as_str() {
                                    "cancelled" => { t.cancelled = true; world.lock().cancelled.entry(id.clone()).or_insert(Instant::now()); }
                                    "done" => t.done = true,
                                    other => fault(format!("withdraw says {other}")),
                                }
                            }
                            Some((404 | 400 | 422, _)) => fault("withdraw of an accepted job refused".into()),
                            _ => { pause(1.0); continue; }
                        }
                    }
                    // Close looks at all nodes.
                    let looks = if dice.chance(50) { 3 } else { 1 };
                    let first = dice.below(3) as usize;
                    for look in 0..looks {
                        let node = (first + look) % 3;
                        let before = told.lock().unwrap()[&id].clone();
                        if dice.chance(10) {
                            match ask(node, "POST", "/api/jobs", &body) {
                                Some((200, answer)) => {
                                    let stage = answer["stage"].as_str().unwrap_or("");
                                    if before.done && stage != "done" || before.cancelled && stage != "cancelled" { fault(format!("repeat says {answer} after {before:?}")); }
                                }
                                Some((201 | 400 | 422 | 404, answer)) => fault(format!("repeat refused or accepted anew: {answer}")),
                                _ => {}
                            }
                        }
                        match ask(node, "GET", &path, "") {
                            Some((200, answer)) => {
                                let stage = answer["stage"].as_str().unwrap_or("").to_string();
                                if before.done && stage != "done" || before.cancelled && stage != "cancelled" { fault(format!("husk-{node} says {answer} after {before:?}")); }
                                if stage == "cancelled" && !before.asked_cancel { fault("cancelled though nobody asked".into()); }
                                if stage == "done" {
                                    if service { fault("service done".into()); }
                                    told.lock().unwrap().get_mut(&id).unwrap().done = true;
                                    let state = world.lock();
                                    let missing: Vec<String> = (0..tasks).map(|k| format!("{id}/{k}")).filter(|t| !state.completed.contains_key(t)).collect();
                                    if !missing.is_empty() { fault(format!("not_done: done but {missing:?} never completed")); }
                                } else if stage == "cancelled" {
                                    let mut t = told.lock().unwrap();
                                    t.get_mut(&id).unwrap().cancelled = true;
                                    world.lock().cancelled.entry(id.clone()).or_insert(Instant::now());
                                }
                            }
                            Some((404, _)) => fault(format!("husk-{node} says 404 of an accepted job")),
                            _ => {}
                        }
                    }
                    let now = told.lock().unwrap()[&id].clone();
                    if now.done || now.cancelled { break; }
                    pause(0.2 + dice.below(600) as f64 / 1000.0);
                }
            }
            let _ = user;
        }));
    }
    // Late copies of reports and held direct commands.
    world.set_copies(8, seed);
    let end = Instant::now() + Duration::from_secs_f64(secs);
    while Instant::now() < end {
        pause(0.3 + dice.below(2500) as f64 / 1000.0);
        if !faults.lock().unwrap().is_empty() || !world.broken().is_empty() {
            break;
        }
        let c = dice.below(count as u64) as usize;
        let node = if dice.chance(60) { cells[c].leader().unwrap_or(0) } else { dice.below(3) as usize };
        match dice.below(if two { 20 } else { 16 }) {
            0 | 1 => {
                cells[c].kill(node);
                pause(dice.below(2500) as f64 / 1000.0);
                cells[c].start(node);
            }
            2 => {
                cells[c].signal(node, "STOP");
                pause(0.5 + dice.below(6500) as f64 / 1000.0);
                cells[c].signal(node, "CONT");
            }
            3 => {
                record.line(&format!("{}: state service out", names[c]));
                cells[c].store.set_out(true);
                pause(0.5 + dice.below(9000) as f64 / 1000.0);
                cells[c].store.set_out(false);
                record.line(&format!("{}: state service back", names[c]));
            }
            4 => {
                record.line(&format!("{}: state service refuses husk-{node}", names[c]));
                cells[c].store.set_refused(node, true);
                pause(0.5 + dice.below(9000) as f64 / 1000.0);
                cells[c].store.set_refused(node, false);
                record.line(&format!("{}: state service serves husk-{node}", names[c]));
            }
            5 | 6 => {
                late_share.store(10 + dice.below(40), Ordering::Relaxed);
                pause(1.0 + dice.below(5000) as f64 / 1000.0);
                late_share.store(0, Ordering::Relaxed);
            }
            7 | 8 => {
                let m = { let state = world.lock(); dice.below(state.machines.len() as u64) as usize };
                let (mute, deaf) = [(true, false), (false, true), (true, true)][dice.below(3) as usize];
                {
                    let mut state = world.lock();
                    record.line(&format!("{} mute {mute} deaf {deaf}", state.machines[m].name));
                    state.machines[m].mute = mute;
                    state.machines[m].deaf = deaf;
                }
                let (world, record, time) = (world.clone(), record.clone(), 1.0 + dice.below(9000) as f64 / 1000.0);
                std::thread::spawn(move || {
                    pause(time);
                    let mut state = world.lock();
                    state.machines[m].mute = false;
                    state.machines[m].deaf = false;
                    record.line(&format!("{} hears and is heard", state.machines[m].name));
                });
            }
            9 => {
                for node in 0..3 { cells[c].kill(node); }
                pause(dice.below(7000) as f64 / 1000.0);
                for node in 0..3 { cells[c].start(node); }
            }
            10 | 11 => {
                record.line(&format!("{}: husk-{node} cut from the state service", names[c]));
                let peers = dice.chance(50);
                cells[c].store_links[node].set_cut(true);
                for ((from, to), link) in &cells[c].peer_links { if peers && (*from == node || *to == node) { link.set_cut(true); } }
                if peers { record.line("  and from the peers"); }
                pause(1.0 + dice.below(12000) as f64 / 1000.0);
                for link in cells[c].peer_links.values() { link.set_cut(false); }
                cells[c].store_links[node].set_cut(false);
                record.line("cut over");
            }
            12 => {
                record.line(&format!("{}: husk-{node} cut from the peers", names[c]));
                for ((from, to), link) in &cells[c].peer_links { if *from == node || *to == node { link.set_cut(true); } }
                pause(1.0 + dice.below(9000) as f64 / 1000.0);
                for link in cells[c].peer_links.values() { link.set_cut(false); }
                record.line("cut over");
            }
            13 | 14 => {
                // A zone is cut off: a controller and the machines of its zone from all else.
                record.line(&format!("{}: zone of husk-{node} cut off", names[c]));
                cells[c].store_links[node].set_cut(true);
                for ((from, to), link) in &cells[c].peer_links { if *from == node || *to == node { link.set_cut(true); } }
                {
                    let mut state = world.lock();
                    let own = if node % 2 == 0 { "morava-dc" } else { "praha-dc" };
                    for machine in state.machines.iter_mut().filter(|m| m.cell == c) {
                        machine.no_node = if machine.zone == own { (0..3).filter(|n| *n != node).collect() } else { [node].into() };
                    }
                }
                pause(1.0 + dice.below(14000) as f64 / 1000.0);
                world.lock().machines.iter_mut().for_each(|m| m.no_node.clear());
                for link in cells[c].peer_links.values() { link.set_cut(false); }
                cells[c].store_links[node].set_cut(false);
                record.line("cut over");
            }
            16 | 17 if two => {
                record.line(&format!("{} cannot reach the other cell", names[c]));
                cell_links[c].iter().for_each(|link| link.set_cut(true));
                pause(1.0 + dice.below(9000) as f64 / 1000.0);
                cell_links[c].iter().for_each(|link| link.set_cut(false));
                record.line("cut over");
            }
            18 | 19 if two => {
                // Transactions are late, and the leader is refused for moments.
                late_share.store(30, Ordering::Relaxed);
                for _ in 0..3 {
                    pause(2.0 + dice.below(700) as f64 / 1000.0);
                    let node = cells[c].leader().unwrap_or(0);
                    record.line(&format!("{}: state service refuses husk-{node}", names[c]));
                    cells[c].store.set_refused(node, true);
                    pause(0.7);
                    cells[c].store.set_refused(node, false);
                }
                late_share.store(0, Ordering::Relaxed);
            }
            _ => {
                cells[c].signal(node, "TERM");
                pause(dice.below(3000) as f64 / 1000.0);
                cells[c].kill(node);
                cells[c].start(node);
            }
        }
    }
    late_share.store(0, Ordering::Relaxed);
    quiet.store(true, Ordering::Relaxed);
    record.line("troubles are over");
    // All accepted jobs end.
    let settled = until(48.0, || {
        pause(0.2);
        let told = told.lock().unwrap();
        !faults.lock().unwrap().is_empty() || !world.broken().is_empty() || told.values().all(|t| !t.accepted || t.done || t.cancelled || t.service)
    });
    if !settled {
        let told = told.lock().unwrap();
        let open: Vec<_> = told.iter().filter(|(_, t)| t.accepted && !t.done && !t.cancelled && !t.service).collect();
        faults.lock().unwrap().push(format!("not settled: {open:?}"));
    }
    for cell in cells.iter_mut() {
        let ended = cell.ended();
        if !ended.is_empty() { faults.lock().unwrap().push(format!("{} nodes ended by themselves: {ended:?}", cell.name)); }
    }
    stop.store(true, Ordering::Relaxed);
    let mut all = faults.lock().unwrap().clone();
    all.extend(world.broken().iter().map(|b| format!("{}: {}", b.rule, b.text)));
    let both: Vec<String> = world.lock().completed_in.iter().filter(|(_, cells)| cells.len() > 1).map(|(t, _)| t.clone()).collect();
    if !both.is_empty() {
        all.push(format!("completed in both cells: {both:?}"));
    }
    let twice = world.lock().completed.values().filter(|c| **c > 1).count();
    let jobs = told.lock().unwrap().len();
    if all.is_empty() { Outcome::Held(format!("{jobs} jobs, {twice} tasks completed more than once")) } else { Outcome::Broken(all.join("\n  ")) }
}
