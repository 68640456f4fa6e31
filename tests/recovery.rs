//! What a leader does after a failover while it has not heard all machines.

mod common;

use common::{config, heartbeat, record, spec, types};
use milletlock::fleet::{Fleet, HeartbeatOutcome};
use milletlock::leadership;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Heartbeat, Row, TaskStage, WorkerCommand};
use serde_json::json;

const FAILOVER_AT: Steady = Steady(1_000_000_000);

fn wall(now: Steady) -> Wall {
    Wall(now.0)
}

/// A leader that has loaded the records of two small machines, one of them full of a job's tasks.
fn fleet_after_failover() -> Fleet {
    let machine = |id: &str| json!({ id: {"p": 0, "n": 6, "a": "127.0.0.1:9", "t": "small", "z": "north", "s": false} });
    let row = |key: &str, mod_revision, value| Row { key: key.into(), value, mod_revision };
    let rows = vec![
        row("job/wk-000001", 1, json!(record(spec(1, 4, "batch")))),
        row("machines/0", 2, machine("i-1")),
        row("machines/1", 3, machine("i-2")),
        row("marks/0", 4, json!({ "wk-000001": 4 })),
    ];
    let mut fleet = Fleet::new(config(), types(), 7, FAILOVER_AT);
    leadership::load_records(&mut fleet, rows, FAILOVER_AT, wall(FAILOVER_AT));
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
    let message = Heartbeat { spot: false, ..heartbeat(machine, sequence, 7, &running) };
    match fleet.check_in(&message, now, wall(now)) {
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

/// A plan that looks at the heard machines only would stop tasks for work that has capacity elsewhere.
#[test]
fn nothing_is_preempted_while_heartbeats_of_machines_are_outstanding() {
    let mut fleet = fleet_after_failover();
    let mut now = FAILOVER_AT + Micros::from_millis(200);
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
    let mut fleet = fleet_after_failover();
    let mut now = FAILOVER_AT + Micros::from_millis(200);
    check_in(&mut fleet, "i-1", 1, &RUNNING, now);
    fleet.apply_job_record(
        milletlock::records::JobRecord { submitted_us: now.0, ..record(urgent()) },
        10,
        now,
    );
    // A heartbeat every 3 s in these settings, a quarter more at the most.
    now = FAILOVER_AT + Micros::from_millis(3_800);
    fleet.tick(now, wall(now));
    let orders = check_in(&mut fleet, "i-1", 2, &RUNNING, now);
    assert!(orders.iter().any(|o| matches!(o, WorkerCommand::Halt { .. })), "{orders:?}");
}
