//! Machines that are unknown, fail or cannot be reached.

use milletlock::capacity::MachineOffer;
use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, Heartbeat, ListedMachine, TaskStage};

use crate::common::clock::{at, wall, START};
use crate::common::{config_with, heartbeat, record, spec, types};
use crate::fixtures::{fleet_with, machine_record, new_fleet, orders, started_job, starts, write_all};

#[test]
fn unknown_machines_are_enrolled_and_returned_ones_stay_gone() {
    let mut fleet = new_fleet(7);
    orders(&mut fleet, 0.0, &heartbeat("i-5", 1, 0, &[]));
    assert_eq!(fleet.pending_writes(START, Micros::ZERO, 1000), [PendingWrite::Machines(0)]);
    assert!(fleet.machine_records.get("i-5").is_some());
    fleet.machines_scaled_in(&["i-5".into()], at(1.0));
    assert_eq!(fleet.check_in(&heartbeat("i-5", 2, 7, &[]), at(2.0), wall(2.0)), HeartbeatOutcome::Refuse);
}

#[test]
fn a_failing_job_is_backed_off_and_a_failing_machine_returned() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let mut sequence = 2;
    let mut tries = 0;
    for t in 1..60 {
        let s = starts(&orders(&mut fleet, t as f64, &heartbeat("i-1", sequence, 7, &[])));
        sequence += 1;
        if let Some((task, attempt)) = s.first() {
            tries += 1;
            let ended = [(task.as_str(), *attempt, TaskStage::Exited, Some(ExitReason::Error))];
            orders(&mut fleet, t as f64 + 0.5, &heartbeat("i-1", sequence, 7, &ended));
            sequence += 1;
        }
    }
    assert!((3..=6).contains(&tries), "{tries} tries within a minute");
    assert!(fleet.machines_to_scale_in().is_empty(), "one mistaken job does not condemn a machine");
    fleet.apply_job_record(record(spec(2, 1, "batch")), 50, at(60.0));
    fleet.tick(at(61.0), wall(61.0));
    write_all(&mut fleet, 61.0);
    let s = starts(&orders(&mut fleet, 62.0, &heartbeat("i-1", sequence, 7, &[])));
    let ended = [(s[0].0.as_str(), s[0].1, TaskStage::Exited, Some(ExitReason::Error))];
    orders(&mut fleet, 63.0, &heartbeat("i-1", sequence + 1, 7, &ended));
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
}

#[test]
fn a_machine_that_replies_do_not_reach_gets_nothing_more_and_is_returned() {
    let mut fleet = fleet_with(spec(1, 400, "batch"));
    let (mut sequence, mut offered, mut t) = (2, Vec::new(), 1.0);
    while fleet.machines_to_scale_in().is_empty() && t < 120.0 {
        // What it was told to start never shows in its heartbeats.
        offered.push(starts(&orders(&mut fleet, t, &heartbeat("i-1", sequence, 7, &[]))).len());
        write_all(&mut fleet, t + 0.1);
        fleet.tick(at(t + 0.2), wall(t + 0.2));
        (sequence, t) = (sequence + 1, t + 3.0);
    }
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
    assert!(t < 90.0, "returned after {t} s only");
    let busy = offered.iter().filter(|n| **n > 0).count();
    assert!(busy <= 5 && offered.len() > busy, "work kept going to it: {offered:?}");
    // Nothing counted as delivered: all is there to be started elsewhere.
    fleet.machines_scaled_in(&["i-1".into()], at(t));
    assert_eq!(fleet.jobs["wk-000001"].waiting.len(), 400);
}

#[test]
fn a_machine_whose_lease_ends_although_it_is_replied_to_is_returned_too() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    for agent_epoch in 1..=3u64 {
        for k in 0..8u64 {
            let t = agent_epoch as f64 * 24.0 + k as f64 * 3.0;
            let mut r = heartbeat("i-1", 10 + k, 7, &[]);
            r.agent_epoch = agent_epoch;
            fleet.check_in(&r, at(t), wall(t));
        }
    }
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
}

#[test]
fn few_silent_machines_are_fenced_soon_and_many_are_waited_for() {
    let after = |silent: usize, t: f64| {
        let mut fleet = new_fleet(9);
        for n in 0..20 {
            fleet.load_machine(&format!("i-{n}"), &machine_record("small"), 0, START);
        }
        for n in silent..20 {
            orders(&mut fleet, 1.0, &heartbeat(&format!("i-{n}"), 9, 9, &[]));
        }
        fleet.tick(at(t), wall(t));
        fleet.machines_to_scale_in().len()
    };
    assert_eq!((after(2, 7.0), after(2, 9.0)), (0, 2));
    assert_eq!((after(8, 9.0), after(8, 24.0), after(8, 26.0)), (0, 0, 8));
}

/// A new leader of ten machines, each with a running task, that have not been heard since the failover, where
/// a worker's lease lasts longer than `fence_after_s` was by default.
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

const LONG_LEASE_S: f64 = 42.0;

/// Machines that could not be reached while the leader changed, and went on within their lease, were scaled in
/// after 25 s with all that ran on them, failover after failover.
#[test]
fn machines_that_are_back_within_their_lease_keep_their_tasks() {
    let mut fleet = silent_fleet_with_long_leases();
    for s in 1..LONG_LEASE_S as u32 {
        fleet.tick(at(f64::from(s)), wall(f64::from(s)));
        assert!(fleet.machines_to_scale_in().is_empty(), "after {s} s");
    }
    for n in 0..10 {
        let task = format!("wk-000001/{n}");
        let there = [(task.as_str(), 5, TaskStage::Running, None)];
        orders(&mut fleet, LONG_LEASE_S - 0.5, &heartbeat(&format!("i-{n}"), 9, 9, &there));
    }
    fleet.tick(at(LONG_LEASE_S), wall(LONG_LEASE_S));
    assert!(fleet.machines_to_scale_in().is_empty());
    let job = &fleet.jobs["wk-000001"];
    assert_eq!((job.placements.len(), job.waiting.len()), (10, 0));
}

/// No longer than that: a task on a machine that stays away waits for the machine's end.
#[test]
fn machines_that_stay_silent_are_returned_when_their_lease_has_expired() {
    let mut fleet = silent_fleet_with_long_leases();
    let expired = LONG_LEASE_S + 2.0;
    fleet.tick(at(expired), wall(expired));
    assert_eq!(fleet.machines_to_scale_in().len(), 10);
}

/// The cloud's list has so many machines, scaled out `age_s` seconds ago.
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

/// Machines that were idle at a failover have no record. A new leader returned them all within a second, as
/// machines that never came up, before any could send it a heartbeat.
#[test]
fn a_new_leader_gives_idle_machines_time_to_send_a_heartbeat() {
    let mut fleet = new_fleet(9);
    fleet.machines_listed(&listed_machines(10, 300.0), at(0.5));
    for s in [1.0, 5.0, 20.0] {
        fleet.tick(at(s), wall(s));
        assert!(fleet.machines_to_scale_in().is_empty(), "after {s} s");
    }
    (1..10).for_each(|n| drop(orders(&mut fleet, 21.0, &heartbeat(&format!("i-{n}"), 9, 0, &[]))));
    fleet.tick(at(30.0), wall(30.0));
    assert_eq!(fleet.machines_to_scale_in(), ["i-0"], "the one that others outlived");
}

/// With a zone cut off while its machines booted, all of them were returned at the end of the boot time that is
/// allowed, in the second in which the partition ended.
#[test]
fn machines_that_boot_in_a_partitioned_zone_are_waited_for() {
    let offer = |zone| MachineOffer { ty: 0, zone, spot: false };
    let ids = |zone: &str| (0..6).map(|n| format!("{zone}-{n}")).collect::<Vec<String>>();
    let mut fleet = new_fleet(9);
    fleet.machines_scaled_out(&ids("north"), offer(0), START);
    fleet.machines_scaled_out(&ids("south"), offer(1), START);
    // One machine of the south does not come up; nothing is heard of the north.
    let heard = ids("south").split_off(1);
    for s in 25..75u32 {
        for id in &heard {
            let report = Heartbeat { zone: "south".into(), ..heartbeat(id, u64::from(s), 0, &[]) };
            orders(&mut fleet, f64::from(s), &report);
        }
        fleet.tick(at(f64::from(s)), wall(f64::from(s)));
    }
    assert_eq!(fleet.machines_to_scale_in(), ["south-0"]);
    // Not for ever: machines that never come up are paid for.
    fleet.tick(at(120.0), wall(120.0));
    assert!(ids("north").iter().all(|id| fleet.machines_to_scale_in().contains(id)));
}

/// In a long outage the leader may reply to nobody. The machines go on sending heartbeats, and do not count
/// as silent, or as unreachable, when it is over.
#[test]
fn machines_without_replies_count_neither_as_silent_nor_as_unreachable() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    let s = starts(&orders(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &[]))).remove(0);
    orders(&mut fleet, 2.0, &heartbeat("i-1", 3, 7, &[(s.0.as_str(), s.1, TaskStage::Running, None)]));
    for t in 3..90 {
        fleet.heartbeat_unanswered("i-1", at(f64::from(t)));
        fleet.tick(at(f64::from(t)), wall(f64::from(t)));
    }
    fleet.confirm_lease(at(90.0));
    fleet.tick(at(90.0), wall(90.0));
    assert!(fleet.machines_to_scale_in().is_empty(), "it reports, and only was not answered");
    let mut later = heartbeat("i-1", 1, 7, &[]);
    later.agent_epoch = 2;
    orders(&mut fleet, 90.5, &later);
    fleet.tick(at(90.6), wall(90.6));
    assert_eq!(fleet.machines["i-1"].undelivered_replies, 0);
    later.sequence = 2;
    assert_eq!(starts(&orders(&mut fleet, 91.0, &later)).len(), 1, "and has work again");
}
