//! Preemption after a failover while some machines have not reported to the new leader.

mod common;

use common::{config, heartbeat, record, spec, types};
use milletlock::fleet::{Fleet, HeartbeatOutcome};
use milletlock::leadership;
use milletlock::records::JobRecord;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Heartbeat, JobSpec, Row, TaskStage, WorkerCommand};
use serde_json::json;

const FAILOVER_AT: Steady = Steady(1_000_000_000);
/// When the first machine sends a heartbeat to the new leader.
const FIRST_HEARTBEAT_AT: Steady = Steady(FAILOVER_AT.0 + 200_000);
/// The fencing token of the new leader.
const FENCING_TOKEN: u64 = 7;
/// The tasks that fill the first machine.
const RUNNING_TASKS: [&str; 4] = ["wk-000001/0", "wk-000001/1", "wk-000001/2", "wk-000001/3"];

fn wall(now: Steady) -> Wall {
    Wall(now.0)
}

/// A leader that has loaded the records of two small machines and of a job whose four tasks may be running.
fn fleet_after_failover() -> Fleet {
    let machine = |id: &str| json!({ id: {"p": 0, "n": 6, "a": "127.0.0.1:9", "t": "small", "z": "north", "s": false} });
    let row = |key: &str, mod_revision, value| Row { key: key.into(), value, mod_revision };
    let rows = vec![
        row("job/wk-000001", 1, json!(record(spec(1, 4, "batch")))),
        row("machines/0", 2, machine("i-1")),
        row("machines/1", 3, machine("i-2")),
        row("marks/0", 4, json!({ "wk-000001": 4 })),
    ];
    let mut fleet = Fleet::new(config(), types(), FENCING_TOKEN, FAILOVER_AT);
    leadership::load_records(&mut fleet, rows, FAILOVER_AT, wall(FAILOVER_AT));
    fleet.advance_jobs_revision(4);
    fleet
}

/// The commands in the reply to a heartbeat of a machine on which `tasks` are running.
fn reply_commands(
    fleet: &mut Fleet,
    machine: &str,
    sequence: u64,
    tasks: &[&str],
    now: Steady,
) -> Vec<WorkerCommand> {
    let running: Vec<_> = tasks.iter().map(|task| (*task, 5, TaskStage::Running, None)).collect();
    let message = Heartbeat { spot: false, ..heartbeat(machine, sequence, FENCING_TOKEN, &running) };
    match fleet.apply_heartbeat(&message, now, wall(now)) {
        HeartbeatOutcome::Reply(reply) => reply.commands,
        other => panic!("{other:?}"),
    }
}

fn urgent_job() -> JobSpec {
    let mut job = json!(spec(2, 4, "batch"));
    job["rank"] = json!("urgent");
    job["expectS"] = json!(5.0);
    serde_json::from_value(job).expect("a job")
}

/// A new leader to which only the machine with the running tasks has reported, and to which an urgent job was
/// submitted.
fn fleet_with_urgent_job() -> Fleet {
    let mut fleet = fleet_after_failover();
    let now = FIRST_HEARTBEAT_AT;
    reply_commands(&mut fleet, "i-1", 1, &RUNNING_TASKS, now);
    let submitted = JobRecord { submitted_us: now.0, ..record(urgent_job()) };
    fleet.apply_job_record(submitted, 10, now);
    fleet
}

fn has_halt(commands: &[WorkerCommand]) -> bool {
    commands.iter().any(|command| matches!(command, WorkerCommand::Halt { .. }))
}

/// Guards against preempting tasks on the machines that have reported, although the urgent job may fit on
/// machines that have not reported yet.
#[test]
fn no_task_is_preempted_while_first_heartbeats_are_still_expected() {
    let mut fleet = fleet_with_urgent_job();
    let mut now = FIRST_HEARTBEAT_AT;
    for sequence in 2..=4 {
        now = now + Micros::from_millis(700);
        fleet.tick(now, wall(now));
        let commands = reply_commands(&mut fleet, "i-1", sequence, &RUNNING_TASKS, now);
        assert!(!has_halt(&commands), "{commands:?}");
        assert!(fleet.halt_commands(now).is_empty());
    }
}

#[test]
fn a_machine_that_does_not_report_does_not_delay_an_urgent_job_for_long() {
    let mut fleet = fleet_with_urgent_job();
    // In these settings the time between two heartbeats of a machine is 3 s, and at most a quarter more.
    let now = FAILOVER_AT + Micros::from_millis(3_800);
    fleet.tick(now, wall(now));
    let commands = reply_commands(&mut fleet, "i-1", 2, &RUNNING_TASKS, now);
    assert!(has_halt(&commands), "{commands:?}");
}
