//! Machines that are unknown, on which tasks fail, or that are silent.

use milletlock::capacity::MachineOffer;
use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, Heartbeat, ListedMachine, TaskStage};

use crate::common::clock::{at, wall, START};
use crate::common::{config_with, heartbeat, record, spec, types};
use crate::fixtures::{
    fleet_with, machine_record, new_fleet, reply_commands, started_job, starts, write_all,
};

#[test]
fn unknown_machines_are_registered_and_heartbeats_of_removed_machines_are_refused() {
    let mut fleet = new_fleet(7);
    reply_commands(&mut fleet, 0.0, &heartbeat("i-5", 1, 0, &[]));
    assert_eq!(fleet.pending_writes(START, Micros::ZERO, 1000), [PendingWrite::Machines(0)]);
    assert!(fleet.machine_records.get("i-5").is_some());
    fleet.remove_scaled_in_machines(&["i-5".into()], at(1.0));
    assert_eq!(
        fleet.apply_heartbeat(&heartbeat("i-5", 2, 7, &[]), at(2.0), wall(2.0)),
        HeartbeatOutcome::Refuse
    );
}

#[test]
fn a_failing_job_is_backed_off_and_a_failing_machine_scaled_in() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let mut sequence = 2;
    let mut tries = 0;
    for second in 1..60 {
        let started = starts(&reply_commands(&mut fleet, second as f64, &heartbeat("i-1", sequence, 7, &[])));
        sequence += 1;
        if let Some((task, attempt)) = started.first() {
            tries += 1;
            let ended = [(task.as_str(), *attempt, TaskStage::Exited, Some(ExitReason::Error))];
            reply_commands(&mut fleet, second as f64 + 0.5, &heartbeat("i-1", sequence, 7, &ended));
            sequence += 1;
        }
    }
    assert!((3..=6).contains(&tries), "{tries} tries within a minute");
    assert!(
        fleet.machines_to_scale_in().is_empty(),
        "failures of a single job do not show that the machine is faulty"
    );
    fleet.apply_job_record(record(spec(2, 1, "batch")), 50, at(60.0));
    fleet.tick(at(61.0), wall(61.0));
    write_all(&mut fleet, 61.0);
    let started = starts(&reply_commands(&mut fleet, 62.0, &heartbeat("i-1", sequence, 7, &[])));
    let ended = [(started[0].0.as_str(), started[0].1, TaskStage::Exited, Some(ExitReason::Error))];
    reply_commands(&mut fleet, 63.0, &heartbeat("i-1", sequence + 1, 7, &ended));
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
}

#[test]
fn a_machine_to_which_replies_are_not_delivered_is_paused_and_scaled_in() {
    let mut fleet = fleet_with(spec(1, 400, "batch"));
    let (mut sequence, mut offered, mut second) = (2, Vec::new(), 1.0);
    while fleet.machines_to_scale_in().is_empty() && second < 120.0 {
        // The started tasks never show up in the machine's heartbeats.
        offered.push(starts(&reply_commands(&mut fleet, second, &heartbeat("i-1", sequence, 7, &[]))).len());
        write_all(&mut fleet, second + 0.1);
        fleet.tick(at(second + 0.2), wall(second + 0.2));
        (sequence, second) = (sequence + 1, second + 3.0);
    }
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
    assert!(second < 90.0, "scaled in only after {second} s");
    let busy = offered.iter().filter(|count| **count > 0).count();
    assert!(busy <= 5 && offered.len() > busy, "tasks were still assigned to the machine: {offered:?}");
    // No start counts as delivered: all tasks are waiting to start elsewhere.
    fleet.remove_scaled_in_machines(&["i-1".into()], at(second));
    assert_eq!(fleet.jobs["wk-000001"].waiting.len(), 400);
}

#[test]
fn a_machine_whose_lease_expires_although_its_heartbeats_are_answered_is_scaled_in() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    for agent_epoch in 1..=3u64 {
        for count in 0..8u64 {
            let second = agent_epoch as f64 * 24.0 + count as f64 * 3.0;
            let mut message = heartbeat("i-1", 10 + count, 7, &[]);
            message.agent_epoch = agent_epoch;
            fleet.apply_heartbeat(&message, at(second), wall(second));
        }
    }
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
}

#[test]
fn after_a_failover_few_silent_machines_are_scaled_in_sooner_than_many() {
    let after = |silent: usize, second: f64| {
        let mut fleet = new_fleet(9);
        for n in 0..20 {
            fleet.load_machine(&format!("i-{n}"), &machine_record("small"), 0, START);
        }
        for n in silent..20 {
            reply_commands(&mut fleet, 1.0, &heartbeat(&format!("i-{n}"), 9, 9, &[]));
        }
        fleet.tick(at(second), wall(second));
        fleet.machines_to_scale_in().len()
    };
    assert_eq!((after(2, 7.0), after(2, 9.0)), (0, 2));
    assert_eq!((after(8, 9.0), after(8, 24.0), after(8, 26.0)), (0, 0, 8));
}

/// A new leader with ten machines, each with a running task, that have not reported since the failover. The
/// workers' lease is longer than the former default of `fence_after_s`.
fn silent_fleet_with_long_leases() -> Fleet {
    let config = config_with(|settings| {
        settings["workers"]["lease_s"] = LONG_LEASE_S.into();
        settings["workers"]["cancel_s"] = (LONG_LEASE_S + 30.0).into();
    });
    let mut fleet = Fleet::new(config, types(), 9, START);
    fleet.apply_job_record(started_job(spec(1, 10, "batch"), 10), 1, START);
    (0..10).for_each(|n| fleet.load_machine(&format!("i-{n}"), &machine_record("small"), 0, START));
    fleet
}

/// The lease of the workers in `silent_fleet_with_long_leases`, in seconds.
const LONG_LEASE_S: f64 = 42.0;

/// Guards against a fault by which machines that were unreachable during a failover, and reported again
/// within their lease, were scaled in after 25 s together with their running tasks.
#[test]
fn machines_that_report_again_within_their_lease_keep_their_tasks() {
    let mut fleet = silent_fleet_with_long_leases();
    for second in 1..LONG_LEASE_S as u32 {
        fleet.tick(at(f64::from(second)), wall(f64::from(second)));
        assert!(fleet.machines_to_scale_in().is_empty(), "after {second} s");
    }
    for n in 0..10 {
        let task = format!("wk-000001/{n}");
        let running = [(task.as_str(), 5, TaskStage::Running, None)];
        reply_commands(&mut fleet, LONG_LEASE_S - 0.5, &heartbeat(&format!("i-{n}"), 9, 9, &running));
    }
    fleet.tick(at(LONG_LEASE_S), wall(LONG_LEASE_S));
    assert!(fleet.machines_to_scale_in().is_empty());
    let job = &fleet.jobs["wk-000001"];
    assert_eq!((job.placements.len(), job.waiting.len()), (10, 0));
}

/// Machines must not be kept longer than their lease: a task on a silent machine can start elsewhere only
/// after the machine's end.
#[test]
fn machines_that_stay_silent_after_a_failover_are_scaled_in_when_their_lease_has_expired() {
    let mut fleet = silent_fleet_with_long_leases();
    let expired = LONG_LEASE_S + 2.0;
    fleet.tick(at(expired), wall(expired));
    assert_eq!(fleet.machines_to_scale_in().len(), 10);
}

/// A list of the cloud with `count` machines that were scaled out `age_s` seconds ago.
fn listed_machines(count: usize, age_s: f64) -> Vec<ListedMachine> {
    let machine = |n: usize| ListedMachine {
        id: format!("i-{n}"),
        address: None,
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        stage: "running".into(),
        age_s,
    };
    (0..count).map(machine).collect()
}

/// Guards against a fault by which a new leader scaled in all machines without a record (machines that were
/// idle at the failover) within a second: they counted as machines that never came up, before they could
/// send it a heartbeat.
#[test]
fn a_new_leader_gives_idle_machines_time_to_send_a_heartbeat() {
    let mut fleet = new_fleet(9);
    fleet.apply_machine_list(&listed_machines(10, 300.0), at(0.5));
    for second in [1.0, 5.0, 20.0] {
        fleet.tick(at(second), wall(second));
        assert!(fleet.machines_to_scale_in().is_empty(), "after {second} s");
    }
    (1..10).for_each(|n| drop(reply_commands(&mut fleet, 21.0, &heartbeat(&format!("i-{n}"), 9, 0, &[]))));
    fleet.tick(at(30.0), wall(30.0));
    assert_eq!(fleet.machines_to_scale_in(), ["i-0"], "the only machine that sent no heartbeat");
}

/// Guards against a fault by which all machines that booted in a partitioned zone were scaled in at the end
/// of the allowed boot time, just when the partition ended.
#[test]
fn machines_that_boot_in_a_partitioned_zone_get_more_time() {
    let offer = |zone| MachineOffer { type_index: 0, zone, spot: false };
    let ids = |zone: &str| (0..6).map(|n| format!("{zone}-{n}")).collect::<Vec<String>>();
    let mut fleet = new_fleet(9);
    fleet.add_scaled_out_machines(&ids("north"), offer(0), START);
    fleet.add_scaled_out_machines(&ids("south"), offer(1), START);
    // One machine in the south does not come up; no machine in the north sends a heartbeat.
    let reporting = ids("south").split_off(1);
    for second in 25..75u32 {
        for id in &reporting {
            let message = Heartbeat { zone: "south".into(), ..heartbeat(id, u64::from(second), 0, &[]) };
            reply_commands(&mut fleet, f64::from(second), &message);
        }
        fleet.tick(at(f64::from(second)), wall(f64::from(second)));
    }
    assert_eq!(fleet.machines_to_scale_in(), ["south-0"]);
    // The additional time is limited, since machines that never come up cost money.
    fleet.tick(at(120.0), wall(120.0));
    assert!(ids("north").iter().all(|id| fleet.machines_to_scale_in().contains(id)));
}

/// During a long outage of the state store the leader may not answer heartbeats. Machines that go on sending
/// heartbeats count neither as silent nor as unreachable by replies after the outage.
#[test]
fn machines_whose_heartbeats_the_leader_may_not_answer_are_not_scaled_in() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let task = starts(&reply_commands(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &[]))).remove(0);
    reply_commands(
        &mut fleet,
        2.0,
        &heartbeat("i-1", 3, 7, &[(task.0.as_str(), task.1, TaskStage::Running, None)]),
    );
    for second in 3..90 {
        fleet.record_unanswered_heartbeat("i-1", at(f64::from(second)));
        fleet.tick(at(f64::from(second)), wall(f64::from(second)));
    }
    fleet.confirm_lease(at(90.0));
    fleet.tick(at(90.0), wall(90.0));
    assert!(fleet.machines_to_scale_in().is_empty(), "the machine sent heartbeats that were not answered");
    let mut later = heartbeat("i-1", 1, 7, &[]);
    later.agent_epoch = 2;
    reply_commands(&mut fleet, 90.5, &later);
    fleet.tick(at(90.6), wall(90.6));
    assert_eq!(fleet.machines["i-1"].undelivered_replies, 0);
    later.sequence = 2;
    assert_eq!(
        starts(&reply_commands(&mut fleet, 91.0, &later)).len(),
        1,
        "the task starts again on the machine"
    );
}
