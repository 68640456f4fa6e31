//! Spot machines that the cloud takes, with and without notice: what cannot end in time begins again at
//! once, and what was on a machine that is gone begins again before its lease would have run out.

mod common;

use std::sync::Arc;

use common::fleet_scenario::Scenario;
use common::spec;
use milletlock::jobs::MachineId;
use milletlock::time::Micros;
use milletlock::wire::{Heartbeat, JobSpec, WorkerCommand};

fn stopped(commands: &[WorkerCommand]) -> usize {
    commands.iter().filter(|o| matches!(o, WorkerCommand::Halt { .. })).count()
}

/// Tasks of 15 s that ran on with a notice of 15 s were lost with the machine, and began again up to a
/// lease later: of the jobs that missed their deadline on a quiet day nearly all had lost a few so.
#[test]
fn tasks_that_cannot_end_before_their_spot_machine_is_reclaimed_are_stopped_at_the_notice() {
    let mut s = Scenario::new(1, true);
    s.submit(JobSpec { estimate_s: 40.0, ..spec(1, 2, "batch") });
    s.submit(JobSpec { estimate_s: 10.0, ..spec(2, 2, "batch") });
    (0..3).for_each(|_| s.step(&[]));
    assert_eq!(s.tasks("i-000").len(), 4);
    let notice = Heartbeat { interruption_notice_s: Some(15.0), ..s.running_heartbeat("i-000") };
    let commands = s.send_heartbeat(&notice);
    assert_eq!(stopped(&commands), 2, "{commands:?}");
    assert!(commands
        .iter()
        .all(|o| !matches!(o, WorkerCommand::Halt { task, .. } if !task.starts_with("wk-000001"))));
    // Near its end what overruns its estimate is left to end.
    s.now = s.now + Micros::from_secs(12.0);
    let notice = Heartbeat { interruption_notice_s: Some(0.5), ..s.running_heartbeat("i-000") };
    assert_eq!(stopped(&s.send_heartbeat(&notice)), 2, "the same two, again");
}

/// Tasks that save are left to save, and a gang's are not stopped one by one.
#[test]
fn a_spot_notice_stops_neither_tasks_that_save_checkpoints_nor_gangs() {
    let mut s = Scenario::new(1, true);
    s.submit(JobSpec { estimate_s: 200.0, checkpoint_s: 30.0, save_s: 2.0, ..spec(1, 2, "batch") });
    s.submit(JobSpec { estimate_s: 200.0, ..spec(2, 2, "gang") });
    (0..3).for_each(|_| s.step(&[]));
    assert_eq!(s.tasks("i-000").len(), 4);
    let notice = Heartbeat { interruption_notice_s: Some(100.0), ..s.running_heartbeat("i-000") };
    assert_eq!(stopped(&s.send_heartbeat(&notice)), 0);
}

/// A spot machine that falls silent among many that send heartbeats is returned well before its lease ends:
/// the cloud's reply is what lets its tasks begin elsewhere.
#[test]
fn a_silent_spot_machine_is_scaled_in_before_its_lease_expires() {
    let silent = ["i-003"];
    let mut s = Scenario::new(20, true);
    s.step(&[]);
    let steps = s.steps_until_returned(&silent, 20).expect("returned");
    assert!((3..=4).contains(&steps), "after {steps} reports");
    // An ordinary machine is waited for beyond its lease of seven heartbeats.
    let mut s = Scenario::new(20, false);
    s.machines.iter().for_each(|id| {
        let id: MachineId = Arc::from(id.as_str());
        assert!(!s.fleet.machines[&id].spot);
    });
    s.step(&[]);
    assert!(s.steps_until_returned(&silent, 12).is_none());
}

/// After a notice silence is the end of the machine.
#[test]
fn a_spot_machine_that_is_silent_after_a_notice_is_scaled_in_sooner() {
    let silent = ["i-003"];
    let mut s = Scenario::new(20, true);
    s.step(&[]);
    let notice = Heartbeat { interruption_notice_s: Some(15.0), ..s.running_heartbeat("i-003") };
    s.send_heartbeat(&notice);
    let steps = s.steps_until_returned(&silent, 20).expect("returned");
    assert_eq!(steps, 3);
}

/// Where many are silent it is the network: they are waited for.
#[test]
fn many_silent_spot_machines_do_not_count_as_reclaimed() {
    let mut s = Scenario::new(20, true);
    s.step(&[]);
    assert!(s.steps_until_returned(&["i-003", "i-004", "i-005"], 12).is_none());
}

/// The cloud took most spot machines at once, without notice, and their tasks waited for the leases: the
/// ordinary machines of the zone go on sending heartbeats, so the network is not cut.
#[test]
fn many_silent_spot_machines_are_scaled_in_if_on_demand_machines_of_the_zone_send_heartbeats() {
    let silent = ["i-001", "i-002", "i-003"];
    let mut s = Scenario::new(4, true);
    s.add_ordinary(24, 0);
    s.step(&[]);
    assert_eq!(s.steps_until_returned(&silent, 20), Some(4));
    // In the other zone they show nothing of this one.
    let mut s = Scenario::new(4, true);
    s.add_ordinary(24, 1);
    s.step(&[]);
    assert!(s.steps_until_returned(&silent, 12).is_none());
}

/// In a burst the tasks lost with a machine waited behind all newer jobs, since theirs had waited for longer
/// than its aim for the start allows, though it had begun in time.
#[test]
fn lost_tasks_of_an_array_that_started_in_time_do_not_wait_behind_newer_jobs() {
    let quick = |n: u32| JobSpec { class: Some("quick".into()), estimate_s: 60.0, ..spec(n, 4, "batch") };
    let mut s = Scenario::new(1, true);
    s.submit(quick(1));
    // Beyond the 20 s within which its class should start.
    (0..10).for_each(|_| s.step(&[]));
    assert_eq!(s.tasks("i-000").len(), 4);
    s.fleet.remove_scaled_in_machines(&["i-000".into()], s.now);
    s.machines.clear();
    s.submit(quick(2));
    s.add_ordinary(1, 0);
    (0..3).for_each(|_| s.step(&[]));
    let started = s.tasks("j-000");
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(task, _)| task.starts_with("wk-000001")), "{started:?}");
}
