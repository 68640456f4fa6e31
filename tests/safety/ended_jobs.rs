//! Tasks of jobs that have ended or were cancelled, and a team's status.

use milletlock::wire::{ExitReason, TaskStage, WorkerCommand};

use crate::common::clock::{at, wall, START};
use crate::common::{heartbeat, record, spec};
use crate::fixtures::{
    fleet_with, fleet_with_a_running_task, machine_record, new_fleet, reply_commands, starts, write_all,
};

#[test]
fn tasks_of_an_ended_job_are_halted_and_occupy_their_machine_until_they_exit() {
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(spec(2, 4, "batch")), 1, START);
    let running = [("wk-000001/0", 3, TaskStage::Running, None)];
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    reply_commands(&mut fleet, 0.0, &heartbeat("i-1", 1, 7, &running));
    write_all(&mut fleet, 0.0);
    fleet.tick(at(0.1), wall(0.1));
    write_all(&mut fleet, 0.1);
    let commands = reply_commands(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &running));
    assert_eq!(commands, [WorkerCommand::Halt { task: "wk-000001/0".into(), attempt: 3, grace_s: 0.0 }]);
    let ended = [("wk-000001/0", 3, TaskStage::Exited, Some(ExitReason::Stopped))];
    let commands = reply_commands(&mut fleet, 2.0, &heartbeat("i-1", 3, 7, &ended));
    assert_eq!(commands[0], WorkerCommand::Forget { task: "wk-000001/0".into(), attempt: 3 });
    fleet.tick(at(2.1), wall(2.1));
    write_all(&mut fleet, 2.1);
    assert_eq!(starts(&reply_commands(&mut fleet, 3.0, &heartbeat("i-1", 4, 7, &[]))).len(), 4);
}

/// Halts are sent by direct command only to machines whose heartbeat is overdue, and only for tasks of ended
/// jobs.
#[test]
fn tasks_of_cancelled_jobs_on_machines_with_overdue_heartbeats_are_halted_by_direct_command() {
    let (mut fleet, task) = fleet_with_a_running_task();
    fleet.apply_job_removal("wk-000001", 5);
    assert!(fleet.halt_commands(at(3.0)).is_empty(), "the reply to the next heartbeat will carry the halt");
    let due = fleet.halt_commands(at(7.0));
    assert_eq!(due.len(), 1);
    assert_eq!((&*due[0].machine, due[0].agent_epoch), ("i-1", 1));
    assert_eq!(
        due[0].commands,
        [WorkerCommand::Halt { task: task.0.clone(), attempt: task.1, grace_s: 0.0 }]
    );
    assert!(fleet.halt_commands(at(8.0)).is_empty(), "the halt was sent a moment ago");
    assert_eq!(fleet.halt_commands(at(12.0)).len(), 1);
    // A task of a live job is not halted because its machine is silent.
    let (mut fleet, _) = fleet_with_a_running_task();
    assert!(fleet.halt_commands(at(20.0)).is_empty());
}

#[test]
fn a_teams_status_shows_only_its_own_jobs_and_no_machines() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let mut other = spec(2, 1, "batch");
    other.team = "tight".into();
    fleet.apply_job_record(record(other), 2, START);
    let full_status = fleet.status(None, at(1.0), wall(1.0));
    assert_eq!((full_status.jobs.len(), full_status.machines.len()), (2, 1));
    let team_status = fleet.status(Some("tight"), at(1.0), wall(1.0));
    let ids: Vec<&str> = team_status.jobs.iter().map(|job| job.id.as_str()).collect();
    assert_eq!((ids, team_status.machines.len()), (vec!["wk-000002"], 0));
}
