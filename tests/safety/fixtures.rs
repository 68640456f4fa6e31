//! Fleets, records and heartbeats that several tests start from.

use std::ops::Range;

use milletlock::fleet::{Fleet, HeartbeatOutcome};
use milletlock::records::{JobRecord, MachineRecord};
use milletlock::wire::{Heartbeat, JobSpec, TaskStage, WorkerCommand};

use crate::common::clock::{at, wall, START};
use crate::common::fleet_writes::acknowledge_writes;
use crate::common::{config, heartbeat, record, spec, types};

/// What a leader with a fencing token knows before it has heard anything.
pub fn new_fleet(fencing_token: u64) -> Fleet {
    Fleet::new(config(), types(), fencing_token, START)
}

/// The record of a job of which some tasks may have been started.
pub fn started_job(spec: JobSpec, high: u32) -> JobRecord {
    JobRecord { start_mark: high, ..record(spec) }
}

/// The record of a machine in the north.
pub fn machine_record(ty: &str) -> MachineRecord {
    MachineRecord {
        shard: 0,
        fencing_token: 1,
        address: "127.0.0.1:9".into(),
        machine_type: ty.into(),
        zone: "north".into(),
        spot: false,
        ..MachineRecord::default()
    }
}

/// Acknowledges all writes that wait.
pub fn write_all(fleet: &mut Fleet, s: f64) {
    // Values and transactions are large enough here for all to go at once.
    acknowledge_writes(fleet, 1000, 1000, at(s));
}

/// The commands in the reply to a heartbeat.
pub fn reply_commands(fleet: &mut Fleet, s: f64, r: &Heartbeat) -> Vec<WorkerCommand> {
    match fleet.apply_heartbeat(r, at(s), wall(s)) {
        HeartbeatOutcome::Reply(r) => r.commands,
        other => panic!("no reply: {other:?}"),
    }
}

/// The tasks that commands start, with their attempts.
pub fn starts(commands: &[WorkerCommand]) -> Vec<(String, u64)> {
    commands
        .iter()
        .filter_map(|o| match o {
            WorkerCommand::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect()
}

/// A machine that is enrolled and has sent a heartbeat, and a job that may start on it.
pub fn fleet_with(job: JobSpec) -> Fleet {
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(job), 1, START);
    reply_commands(&mut fleet, 0.0, &heartbeat("i-1", 1, 0, &[]));
    write_all(&mut fleet, 0.0);
    fleet.tick(at(0.1), wall(0.1));
    write_all(&mut fleet, 0.1);
    fleet
}

/// A job's only task has been running on the one machine since 2 s; gives its name and attempt.
pub fn fleet_with_a_running_task() -> (Fleet, (String, u64)) {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let s = starts(&reply_commands(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &[]))).remove(0);
    let running = [(s.0.as_str(), s.1, TaskStage::Running, None)];
    reply_commands(&mut fleet, 2.0, &heartbeat("i-1", 3, 7, &running));
    (fleet, s)
}

/// In each of these seconds the leader is confirmed, time passes, and the machine `i-2`, which has capacity,
/// is given nothing. Returns the number of its next heartbeat.
pub fn assert_second_machine_starts_nothing(fleet: &mut Fleet, seconds: Range<i32>) -> u64 {
    let mut sequence = 2;
    for s in seconds {
        let s = f64::from(s);
        fleet.confirm_lease(at(s));
        fleet.tick(at(s), wall(s));
        assert!(
            starts(&reply_commands(fleet, s, &heartbeat("i-2", sequence, 9, &[]))).is_empty(),
            "after {s} s"
        );
        sequence += 1;
    }
    sequence
}
