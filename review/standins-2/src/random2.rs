//! Two cells that lend to each other under random troubles (`SEED`). `REFUSE=1` adds refusals and outages of
//! the state service.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cell::{brno_settings, Addresses, Cell, Jobs};
use crate::cloud::Offer;
use crate::link::Link;
use crate::random::{fault, poll, Known, Undo};
use crate::record::Limits;
use crate::store::Fate;
use crate::{Outcome, Run};

pub fn run(run: &Run) -> Outcome {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (seed, pace) = (number("SEED", 1), number("PACE", 9000));
    let refuse = number("REFUSE", 0) == 1;
    let limit = Duration::from_secs(number("SECONDS", 240));
    let teams = json!([{"name": "settle-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]);
    let zones = ["morava-dc", "praha-dc"];
    let mut settings = brno_settings(&zones, teams);
    if number("BIG", 0) == 1 {
        settings["state"] = json!({"rps": 120.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 8});
    }
    settings["workers"]["lease_s"] = json!(15.0);
    settings["workers"]["cancel_s"] = json!(35.0);
    run.record.set_limits(Limits { cancel_s: 35.0, cpus_max: BTreeMap::new() });
    let box4 = |field, count| Offer {
        sku: "kos-4",
        cpus: 4.0,
        ram_gb: 16.0,
        field,
        count,
        spot: 0,
        boot: Duration::from_secs(2),
    };
    let count = number("CELLS", 2) as usize;
    let at: Vec<Addresses> = (0..count).map(|_| Addresses::choose(3)).collect();
    let mut cells = Vec::new();
    let mut between: Vec<Arc<Link>> = Vec::new();
    let (shared, names) = (Arc::new(Jobs::default()), ["north", "south", "west"]);
    for index in 0..count {
        let mut others = Vec::new();
        for other in (0..count).filter(|other| *other != index) {
            let links: Vec<Arc<Link>> =
                at[other].nodes.iter().map(|(_, internal)| Link::start(*internal)).collect();
            let list: Vec<String> = links.iter().map(|link| format!("\"{}\"", link.address)).collect();
            others.push(format!("{{ name = \"{}\", controllers = [{}] }}", names[other], list.join(", ")));
            between.extend(links);
        }
        let operator = format!(
            "cells {{\n name = \"{}\"\n others = [{}]\n lend = [\"*\"]\n borrow = [\"*\"]\n \
             borrow_cpus = 30\n lend_after_s = 2\n}}\ndrain_s = 12\n",
            names[index],
            others.join(", ")
        );
        let cell = Cell::start(
            names[index],
            settings.clone(),
            &at[index],
            vec![box4("morava-dc", 3)],
            &[2],
            Some(operator),
            shared.clone(),
            run.record.clone(),
            &run.dir,
        );
        cell.set_seed(seed * 3 + index as u64);
        cells.push(cell);
    }
    let began = Instant::now();
    let trips: Arc<Vec<AtomicBool>> = Arc::new((0..count).map(|_| AtomicBool::new(false)).collect());
    for cell in &cells {
        if !cell.wait_until_up(Duration::from_secs(20)) {
            return Outcome::CouldNotRun("no leader".into());
        }
        let platform = cell.platform.clone();
        if run.trouble {
            let trip = trips.clone();
            let index = names.iter().position(|name| *name == platform.name).unwrap_or(0);
            let trips_on = refuse;
            cell.store.answer_late(0.06);
            cell.store.set_hook(move |_, txn| {
                if began.elapsed() + Duration::from_secs(70) > limit {
                    return Fate::Normal;
                }
                let is_loan = txn.to_string().contains("\"loans\"");
                let share = if trips_on && is_loan { 0.15 } else { 0.04 };
                let bad = platform.chance(share);
                if trips_on && bad {
                    trip[index].store(true, Ordering::Relaxed);
                }
                if bad {
                    Fate::ExecutedWithoutAnswer
                } else if platform.chance(0.04) {
                    if trips_on {
                        trip[index].store(true, Ordering::Relaxed);
                    }
                    Fate::Late(Duration::from_millis(200 + platform.number(20_000)))
                } else {
                    Fate::Normal
                }
            });
            *cell.platform.chaos.lock().unwrap() = crate::cell::Chaos {
                late_copies: 0.05,
                lost_answers: 0.02,
                late_commands: 0.2,
                ..Default::default()
            };
        }
    }
    let mut known: Vec<BTreeMap<String, Known>> = (0..count).map(|_| BTreeMap::new()).collect();
    let mut next_job = Instant::now();
    let mut next_poll = Instant::now();
    let mut next_fault = Instant::now() + Duration::from_secs(8);
    let mut undo: Vec<Undo> = (0..count).map(|_| Vec::new()).collect();
    let mut id = 100 * seed;
    let mut cut_until = None;
    let drain = Duration::from_secs(number("DRAIN", 0));
    while began.elapsed() < limit + drain && run.record.broken_rules().is_empty() {
        let is_open = |job: &Known| job.last.is_none();
        if began.elapsed() > limit && !known.iter().any(|jobs| jobs.values().any(is_open)) {
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
        run.record.check_cancelled();
        let now = Instant::now();
        let quiet = began.elapsed() + Duration::from_secs(70) > limit;
        for index in 0..count {
            for controller in cells[index].controllers.iter_mut() {
                if controller.has_ended() {
                    run.record.broken(&format!("{} has ended by itself", controller.label));
                }
            }
            while let Some(at) = undo[index].iter().position(|(at, _)| now >= *at || quiet) {
                undo[index].remove(at).1(&mut cells[index]);
            }
        }
        if cut_until.is_some_and(|until| now >= until || quiet) {
            between.iter().for_each(|link| link.interrupt(false));
            run.record.line("fault the cells reach each other again");
            cut_until = None;
        }
        for index in 0..count {
            if trips[index].swap(false, Ordering::Relaxed) && !quiet && undo[index].len() < 6 {
                let time = Duration::from_millis(500 + cells[index].platform.number(8000));
                cells[index].store.begin_outage();
                undo[index].push((now + time, Box::new(|cell| cell.store.end_outage())));
            }
        }
        if now >= next_job && began.elapsed() + Duration::from_secs(100) < limit {
            // Jobs come in waves, so that cells have nothing to do in between and recall what they lent.
            let is_wave = began.elapsed().as_secs() % 60 < 15;
            next_job = now + Duration::from_millis(if is_wave { 1500 } else { 8000 });
            id += 1;
            let name = format!("wk-{id:06}");
            let index = if cells[0].platform.chance(0.25) { count - 1 } else { 0 };
            let kernels = 4 + cells[0].platform.number(if number("BIG", 0) == 1 { 250 } else { 40 });
            let spec = json!({"nameId": name, "grain": "cdr-rate", "owner": "settle-desk", "shape": "batch", "rank": "normal",
                "kernels": kernels, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "seed": "cdr", "pullGb": 0.2,
                "breeds": null, "field": null, "oneZone": false, "spread": false, "gleanings": false,
                "expectS": 5.0, "stashEveryS": 0.0, "stashS": 0.0, "dueS": null});
            let fails = number("BIG", 0) == 1 && cells[0].platform.chance(0.1);
            shared.add(
                &spec,
                1.0 + cells[0].platform.number(if number("BIG", 0) == 1 { 3 } else { 9 }) as f64,
                fails,
            );
            known[index].insert(
                name,
                Known { spec, accepted: false, asked_to_cancel: false, last: None, failed_since: None },
            );
        }
        if now >= next_poll {
            next_poll = now + Duration::from_millis(300);
            for index in 0..count {
                poll(run, &cells[index], &shared, &mut known[index]);
            }
        }
        if run.trouble && !quiet && now >= next_fault {
            next_fault = now + Duration::from_millis(pace / 4 + cells[0].platform.number(pace));
            if cells[0].platform.chance(0.15) && cut_until.is_none() {
                between.iter().for_each(|link| link.interrupt(true));
                run.record.line("fault the cells do not reach each other");
                cut_until = Some(now + Duration::from_millis(1000 + cells[0].platform.number(25_000)));
            } else {
                let index = cells[0].platform.number(count as u64) as usize;
                fault(&mut cells[index], &mut undo[index], now, refuse);
            }
        }
    }
    for index in 0..count {
        let open: Vec<&String> = known[index]
            .iter()
            .filter(|(_, job)| job.accepted && job.last.is_none())
            .map(|(id, _)| id)
            .collect();
        run.record.line(&format!("jobs {}, open at the end {open:?}", known[index].len()));
        println!(
            "seed {seed}: {} jobs {}, open at the end {}, tasks started {}",
            names[index],
            known[index].len(),
            open.len(),
            run.record.tasks_started()
        );
    }
    Outcome::Held
}
