//! What an owner does after a takeover while it has not heard all machines.

mod common;

use common::{config, record, report, spec, types};
use milletlock::fleet::{Fleet, HeartbeatOutcome};
use milletlock::leadership;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Row, TaskStage, WorkerCommand};
use serde_json::json;

const TAKEN_OVER: Steady = Steady(1_000_000_000);

fn wall(now: Steady) -> Wall {
    Wall(now.0)
}

/// An owner that has taken over two small machines, one of them full of a job's tasks.
fn taken_over() -> Fleet {
    let machine = |id: &str| json!({ id: {"p": 0, "n": 6, "a": "127.0.0.1:9", "t": "small", "z": "north", "s": false} });
    let row = |key: &str, mod_revision, value| Row { key: key.into(), value, mod_revision };
    let rows = vec![
        row("job/wk-000001", 1, json!(record(spec(1, 4, "batch")))),
        row("machines/0", 2, machine("i-1")),
        row("machines/1", 3, machine("i-2")),
        row("marks/0", 4, json!({ "wk-000001": 4 })),
    ];
    let mut fleet = Fleet::new(config(), types(), 7, TAKEN_OVER);
    leadership::load_records(&mut fleet, rows, TAKEN_OVER, wall(TAKEN_OVER));
    fleet.advance_jobs_revision(4);
    fleet
}

fn check_in(
    fleet: &mut Fleet,
    machine: &str,
    sequence: u64,
    tasks: &[&str],
    now: Steady,
) -> Vec<WorkerCommand> {
    let running: Vec<_> = tasks.iter().map(|task| (*task, 5, TaskStage::Running, None)).collect();
    let report = milletlock::wire::Heartbeat { spot: false, ..report(machine, sequence, 7, &running) };
    match fleet.check_in(&report, now, wall(now)) {
        HeartbeatOutcome::Reply(reply) => reply.commands,
        other => panic!("{other:?}"),
    }
}

const RUNNING: [&str; 4] = ["wk-000001/0", "wk-000001/1", "wk-000001/2", "wk-000001/3"];

fn urgent() -> milletlock::wire::JobSpec {
    let mut job = json!(spec(2, 4, "batch"));
    job["rank"] = json!("urgent");
    job["expectS"] = json!(5.0);
    serde_json::from_value(job).expect("a job")
}

/// A plan that looks at the heard machines only would stop tasks for work that has room elsewhere.
#[test]
fn nothing_is_stopped_for_others_while_machines_are_about_to_be_heard() {
    let mut fleet = taken_over();
    let mut now = TAKEN_OVER + Micros::from_millis(200);
    check_in(&mut fleet, "i-1", 1, &RUNNING, now);
    fleet.apply_job_record(
        milletlock::records::JobRecord { submitted_us: now.0, ..record(urgent()) },
        10,
        now,
    );
    for sequence in 2..=4 {
        now = now + Micros::from_millis(700);
        fleet.tick(now, wall(now));
        let orders = check_in(&mut fleet, "i-1", sequence, &RUNNING, now);
        assert!(!orders.iter().any(|o| matches!(o, WorkerCommand::Halt { .. })), "{orders:?}");
        assert!(fleet.halt_commands(now).is_empty());
    }
}

#[test]
fn a_machine_that_stays_unheard_does_not_keep_urgent_work_waiting() {
    let mut fleet = taken_over();
    let mut now = TAKEN_OVER + Micros::from_millis(200);
    check_in(&mut fleet, "i-1", 1, &RUNNING, now);
    fleet.apply_job_record(
        milletlock::records::JobRecord { submitted_us: now.0, ..record(urgent()) },
        10,
        now,
    );
    // A report every 3 s in these settings, a quarter more at the most.
    now = TAKEN_OVER + Micros::from_millis(3_800);
    fleet.tick(now, wall(now));
    let orders = check_in(&mut fleet, "i-1", 2, &RUNNING, now);
    assert!(orders.iter().any(|o| matches!(o, WorkerCommand::Halt { .. })), "{orders:?}");
}
