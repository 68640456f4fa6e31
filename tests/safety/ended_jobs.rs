//! Tasks of jobs that are over or cancelled, and the status of jobs.

use milletlock::wire::{ExitReason, TaskStage, WorkerCommand};

use crate::common::clock::{at, wall, START};
use crate::common::{heartbeat, record, spec};
use crate::fixtures::{
    fleet_with, fleet_with_a_running_task, machine_record, new_fleet, orders, starts, write_all,
};

#[test]
fn tasks_of_a_job_that_is_over_are_halted_and_hold_their_machine() {
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(spec(2, 4, "batch")), 1, START);
    let there = [("wk-000001/0", 3, TaskStage::Running, None)];
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    orders(&mut fleet, 0.0, &heartbeat("i-1", 1, 7, &there));
    write_all(&mut fleet, 0.0);
    fleet.tick(at(0.1), wall(0.1));
    write_all(&mut fleet, 0.1);
    let o = orders(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &there));
    assert_eq!(o, [WorkerCommand::Halt { task: "wk-000001/0".into(), attempt: 3, grace_s: 0.0 }]);
    let ended = [("wk-000001/0", 3, TaskStage::Exited, Some(ExitReason::Stopped))];
    let o = orders(&mut fleet, 2.0, &heartbeat("i-1", 3, 7, &ended));
    assert_eq!(o[0], WorkerCommand::Forget { task: "wk-000001/0".into(), attempt: 3 });
    fleet.tick(at(2.1), wall(2.1));
    write_all(&mut fleet, 2.1);
    assert_eq!(starts(&orders(&mut fleet, 3.0, &heartbeat("i-1", 4, 7, &[]))).len(), 4);
}

/// Halts go by direct command to machines whose heartbeat is overdue, and to no others; nothing else is
/// commanded that way.
#[test]
fn what_is_left_of_cancelled_jobs_on_silent_machines_is_halted_by_command() {
    let (mut fleet, task) = fleet_with_a_running_task();
    fleet.apply_job_removal("wk-000001", 5);
    assert!(fleet.halt_commands(at(3.0)).is_empty(), "the answer to its next report will tell it");
    let due = fleet.halt_commands(at(7.0));
    assert_eq!(due.len(), 1);
    assert_eq!((&*due[0].machine, due[0].agent_epoch), ("i-1", 1));
    assert_eq!(
        due[0].commands,
        [WorkerCommand::Halt { task: task.0.clone(), attempt: task.1, grace_s: 0.0 }]
    );
    assert!(fleet.halt_commands(at(8.0)).is_empty(), "said a moment ago");
    assert_eq!(fleet.halt_commands(at(12.0)).len(), 1);
    // A task that may run is not stopped for silence.
    let (mut fleet, _) = fleet_with_a_running_task();
    assert!(fleet.halt_commands(at(20.0)).is_empty());
}

#[test]
fn a_teams_status_shows_only_what_is_its_own() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let mut other = spec(2, 1, "batch");
    other.team = "tight".into();
    fleet.apply_job_record(record(other), 2, START);
    let all = fleet.status(None, at(1.0), wall(1.0));
    assert_eq!((all.jobs.len(), all.machines.len()), (2, 1));
    let one = fleet.status(Some("tight"), at(1.0), wall(1.0));
    let ids: Vec<&str> = one.jobs.iter().map(|j| j.id.as_str()).collect();
    assert_eq!((ids, one.machines.len()), (vec!["wk-000002"], 0));
}
