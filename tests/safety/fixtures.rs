//! Fleets, records and heartbeats that are shared by several tests.

use std::ops::Range;

use milletlock::fleet::{Fleet, HeartbeatOutcome};
use milletlock::records::{JobRecord, MachineRecord};
use milletlock::wire::{Heartbeat, JobSpec, TaskStage, WorkerCommand};

use crate::common::clock::{at, wall, START};
use crate::common::fleet_writes::acknowledge_writes;
use crate::common::{config, heartbeat, record, spec, types};

/// The model of a new leader, without any jobs or machines.
pub fn new_fleet(fencing_token: u64) -> Fleet {
    Fleet::new(config(), types(), fencing_token, START)
}

/// The record of a job whose tasks below `start_mark` may have been started.
pub fn started_job(spec: JobSpec, start_mark: u32) -> JobRecord {
    JobRecord { start_mark, ..record(spec) }
}

/// The record of an on-demand machine in the zone `north`.
pub fn machine_record(type_name: &str) -> MachineRecord {
    MachineRecord {
        shard: 0,
        fencing_token: 1,
        address: "127.0.0.1:9".into(),
        machine_type: type_name.into(),
        zone: "north".into(),
        spot: false,
        ..MachineRecord::default()
    }
}

/// Acknowledges all pending writes at the given second.
pub fn write_all(fleet: &mut Fleet, second: f64) {
    // Values and transactions are large enough here for one transaction.
    acknowledge_writes(fleet, 1000, 1000, at(second));
}

/// The commands in the reply to a heartbeat that comes at the given second.
pub fn reply_commands(fleet: &mut Fleet, second: f64, message: &Heartbeat) -> Vec<WorkerCommand> {
    match fleet.apply_heartbeat(message, at(second), wall(second)) {
        HeartbeatOutcome::Reply(reply) => reply.commands,
        other => panic!("the heartbeat was not answered: {other:?}"),
    }
}

/// The tasks that the commands start, with their attempt numbers.
pub fn starts(commands: &[WorkerCommand]) -> Vec<(String, u64)> {
    commands
        .iter()
        .filter_map(|command| match command {
            WorkerCommand::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect()
}

/// A fleet with a registered machine that has sent a heartbeat, and with a job that may start on it.
pub fn fleet_with(job: JobSpec) -> Fleet {
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(job), 1, START);
    reply_commands(&mut fleet, 0.0, &heartbeat("i-1", 1, 0, &[]));
    write_all(&mut fleet, 0.0);
    fleet.tick(at(0.1), wall(0.1));
    write_all(&mut fleet, 0.1);
    fleet
}

/// A fleet with one machine, on which the only task of a job has been running since second 2. Also returns
/// the task's name and attempt number.
pub fn fleet_with_a_running_task() -> (Fleet, (String, u64)) {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let task = starts(&reply_commands(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &[]))).remove(0);
    let running = [(task.0.as_str(), task.1, TaskStage::Running, None)];
    reply_commands(&mut fleet, 2.0, &heartbeat("i-1", 3, 7, &running));
    (fleet, task)
}

/// Asserts that in each of these seconds no task starts on the machine `i-2`, which has free capacity. The
/// leader's lease is confirmed every second. Returns the sequence number of the machine's next heartbeat.
pub fn assert_second_machine_starts_nothing(fleet: &mut Fleet, seconds: Range<i32>) -> u64 {
    let mut sequence = 2;
    for second in seconds {
        let second = f64::from(second);
        fleet.confirm_lease(at(second));
        fleet.tick(at(second), wall(second));
        assert!(
            starts(&reply_commands(fleet, second, &heartbeat("i-2", sequence, 9, &[]))).is_empty(),
            "a task started after {second} s"
        );
        sequence += 1;
    }
    sequence
}
