//! Spot machines that the cloud reclaims with or without notice. Tasks that cannot end in time start
//! elsewhere at once, and tasks on a reclaimed machine start elsewhere before the machine's lease would have
//! expired.

mod common;

use std::sync::Arc;

use common::fleet_scenario::Scenario;
use common::spec;
use milletlock::jobs::MachineId;
use milletlock::time::Micros;
use milletlock::wire::{Heartbeat, JobSpec, WorkerCommand};

fn halt_count(commands: &[WorkerCommand]) -> usize {
    commands.iter().filter(|command| matches!(command, WorkerCommand::Halt { .. })).count()
}

/// Guards against a fault by which tasks that could not end before their machine was reclaimed ran on (tasks
/// of 15 s with a notice of 15 s). They were lost with the machine and started again up to a lease later. On
/// a day with little load nearly all jobs that missed their deadline had lost tasks in this way.
#[test]
fn tasks_that_cannot_end_before_their_spot_machine_is_reclaimed_are_stopped_at_the_notice() {
    let mut scenario = Scenario::new(1, true);
    scenario.submit(JobSpec { estimate_s: 40.0, ..spec(1, 2, "batch") });
    scenario.submit(JobSpec { estimate_s: 10.0, ..spec(2, 2, "batch") });
    (0..3).for_each(|_| scenario.step(&[]));
    assert_eq!(scenario.tasks("i-000").len(), 4);
    let notice = Heartbeat { interruption_notice_s: Some(15.0), ..scenario.running_heartbeat("i-000") };
    let commands = scenario.send_heartbeat(&notice);
    assert_eq!(halt_count(&commands), 2, "{commands:?}");
    assert!(commands.iter().all(
        |command| !matches!(command, WorkerCommand::Halt { task, .. } if !task.starts_with("wk-000001"))
    ));
    // Tasks that exceed their estimate shortly before the machine is reclaimed are not stopped.
    scenario.now = scenario.now + Micros::from_secs(12.0);
    let notice = Heartbeat { interruption_notice_s: Some(0.5), ..scenario.running_heartbeat("i-000") };
    assert_eq!(
        halt_count(&scenario.send_heartbeat(&notice)),
        2,
        "the halts of the same two tasks are repeated"
    );
}

/// Tasks that save checkpoints are stopped later, in time to save one, and tasks of a gang are not stopped
/// separately.
#[test]
fn a_spot_notice_stops_neither_tasks_that_save_checkpoints_nor_gangs() {
    let mut scenario = Scenario::new(1, true);
    scenario.submit(JobSpec { estimate_s: 200.0, checkpoint_s: 30.0, save_s: 2.0, ..spec(1, 2, "batch") });
    scenario.submit(JobSpec { estimate_s: 200.0, ..spec(2, 2, "gang") });
    (0..3).for_each(|_| scenario.step(&[]));
    assert_eq!(scenario.tasks("i-000").len(), 4);
    let notice = Heartbeat { interruption_notice_s: Some(100.0), ..scenario.running_heartbeat("i-000") };
    assert_eq!(halt_count(&scenario.send_heartbeat(&notice)), 0);
}

/// A silent spot machine is scaled in well before its lease expires if many other machines send heartbeats.
/// Its tasks can start elsewhere as soon as the cloud has confirmed the scale in.
#[test]
fn a_silent_spot_machine_is_scaled_in_before_its_lease_expires() {
    let silent = ["i-003"];
    let mut scenario = Scenario::new(20, true);
    scenario.step(&[]);
    let steps = scenario.steps_until_scaled_in(&silent, 20).expect("the machine is scaled in");
    assert!((3..=4).contains(&steps), "after {steps} heartbeat intervals");
    // An on-demand machine is kept for longer than its lease of about seven heartbeat intervals.
    let mut scenario = Scenario::new(20, false);
    scenario.machines.iter().for_each(|id| {
        let id: MachineId = Arc::from(id.as_str());
        assert!(!scenario.fleet.machines[&id].spot);
    });
    scenario.step(&[]);
    assert!(scenario.steps_until_scaled_in(&silent, 12).is_none());
}

/// A machine that is silent after an interruption notice counts as reclaimed sooner.
#[test]
fn a_spot_machine_that_is_silent_after_a_notice_is_scaled_in_sooner() {
    let silent = ["i-003"];
    let mut scenario = Scenario::new(20, true);
    scenario.step(&[]);
    let notice = Heartbeat { interruption_notice_s: Some(15.0), ..scenario.running_heartbeat("i-003") };
    scenario.send_heartbeat(&notice);
    let steps = scenario.steps_until_scaled_in(&silent, 20).expect("the machine is scaled in");
    assert_eq!(steps, 3);
}

/// If many machines of a zone are silent, the network is most likely partitioned, and they are not scaled in.
#[test]
fn many_silent_spot_machines_do_not_count_as_reclaimed() {
    let mut scenario = Scenario::new(20, true);
    scenario.step(&[]);
    assert!(scenario.steps_until_scaled_in(&["i-003", "i-004", "i-005"], 12).is_none());
}

/// Guards against a fault by which the tasks of many spot machines, reclaimed at once without notice,
/// started again only when the leases had expired. If on-demand machines of the zone send heartbeats, the
/// network is not partitioned.
#[test]
fn many_silent_spot_machines_are_scaled_in_if_on_demand_machines_of_the_zone_send_heartbeats() {
    let silent = ["i-001", "i-002", "i-003"];
    let mut scenario = Scenario::new(4, true);
    scenario.add_on_demand(24, 0);
    scenario.step(&[]);
    assert_eq!(scenario.steps_until_scaled_in(&silent, 20), Some(4));
    // On-demand machines in another zone do not show whether the network of this zone is partitioned.
    let mut scenario = Scenario::new(4, true);
    scenario.add_on_demand(24, 1);
    scenario.step(&[]);
    assert!(scenario.steps_until_scaled_in(&silent, 12).is_none());
}

/// Guards against a fault during bursts: tasks that were lost with a machine waited behind all newer jobs,
/// since their job was older than its objective for the start allows, although the job had started in time.
#[test]
fn lost_tasks_of_an_array_that_started_in_time_do_not_wait_behind_newer_jobs() {
    let quick = |n: u32| JobSpec { class: Some("quick".into()), estimate_s: 60.0, ..spec(n, 4, "batch") };
    let mut scenario = Scenario::new(1, true);
    scenario.submit(quick(1));
    // This is longer than the 20 s within which jobs of the class should start.
    (0..10).for_each(|_| scenario.step(&[]));
    assert_eq!(scenario.tasks("i-000").len(), 4);
    scenario.fleet.remove_scaled_in_machines(&["i-000".into()], scenario.now);
    scenario.machines.clear();
    scenario.submit(quick(2));
    scenario.add_on_demand(1, 0);
    (0..3).for_each(|_| scenario.step(&[]));
    let started = scenario.tasks("j-000");
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(task, _)| task.starts_with("wk-000001")), "{started:?}");
}
