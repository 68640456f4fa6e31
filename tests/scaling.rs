//! Scaling out and in: what a wrong estimate, a refused offer and an idle machine lead to.

mod common;

use common::fleet_scenario::Scenario;
use common::planner::{class, need, one_small_type, secs};
use common::{heartbeat, spec};
use milletlock::capacity::{Autoscaler, MachineOffer, MachineStatus, ScalingPolicy, WarmPool};
use milletlock::sched::{plan, JobClass, MachineSnapshot, PlacedTask, ReservedHeadroom, Snapshot};
use milletlock::time::{Micros, Wall};
use milletlock::wire::{JobSpec, Priority};

/// A machine of eight processors with this many one-processor tasks.
fn machine(held: usize, left: i64) -> MachineSnapshot {
    let one = PlacedTask {
        need: need(1.0),
        priority: Priority::Normal,
        within_fair_share: false,
        team: 0,
        remaining: secs(left),
        lost_work: secs(1),
        preemptible: true,
        stopping: false,
        is_replica: false,
    };
    MachineSnapshot {
        machine_type: 0,
        zone: 0,
        spot: false,
        total: need(8.0),
        free: need(8.0 - held as f64),
        accepts_starts: true,
        accepts_starts_in: Micros::ZERO,
        images: vec![],
        fetch_gb_per_s: 1.0,
        cpu_price: 100,
        failure_penalty: Micros::ZERO,
        reclaimed_in: None,
        placed: vec![one; held],
    }
}

fn decide(
    rooms: Vec<MachineSnapshot>,
    classes: Vec<JobClass>,
    idle: Option<i64>,
    refused: &[MachineOffer],
    deadline_jobs_expected: bool,
) -> (Vec<(bool, u32)>, usize) {
    let machine_status = MachineStatus { age: secs(100), idle: idle.map(secs), booting: false };
    decide_with(rooms, classes, machine_status, refused, deadline_jobs_expected)
}

fn decide_with(
    rooms: Vec<MachineSnapshot>,
    classes: Vec<JobClass>,
    machine_status: MachineStatus,
    refused: &[MachineOffer],
    deadline_jobs_expected: bool,
) -> (Vec<(bool, u32)>, usize) {
    let s = Snapshot {
        zone_count: 1,
        machines: rooms,
        classes,
        reserve: true,
        low_priority_delay_step: secs(4),
        reserved_headroom: vec![None],
        ..Snapshot::default()
    };
    let machine_status = vec![machine_status; s.machines.len()];
    let policy = ScalingPolicy {
        drain_time: secs(40),
        idle_timeout: secs(20),
        deadline_idle_timeout: secs(60),
        warm_idle_timeout: secs(30),
        max_boot_factor: 1.6,
    };
    let p = plan(&s);
    let types = one_small_type();
    let view = Autoscaler {
        snapshot: &s,
        plan: &p,
        machine_status: &machine_status,
        types: &types,
        zones: &[vec![0]],
        refused,
        warm_pools: &[WarmPool { count: 1, spot: false }],
        deadline_jobs_expected: &[deadline_jobs_expected],
        policy,
    };
    let d = view.decide();
    (d.scale_out.iter().map(|r| (r.offer.spot, r.count)).collect(), d.scale_in.len())
}

#[test]
fn the_cheapest_offer_is_taken_and_a_refused_one_passed_over() {
    let all = decide(vec![], vec![class(16, 40, 0)], None, &[], false);
    assert_eq!(all.0, [(true, 2)]);
    let refused = MachineOffer { ty: 0, zone: 0, spot: true };
    assert_eq!(decide(vec![], vec![class(16, 40, 0)], None, &[refused], false).0, [(false, 2)]);
}

#[test]
fn work_that_drains_in_time_does_not_scale_out_until_it_has_waited_for_long() {
    // Eight tasks of 20 s behind a machine that says it is free in a second: no need.
    assert!(decide(vec![machine(8, 1)], vec![class(8, 20, 1)], None, &[], false).0.is_empty());
    // They still wait after 100 s: the estimates are wrong, whatever they say.
    assert!(!decide(vec![machine(8, 1)], vec![class(8, 20, 100)], None, &[], false).0.is_empty());
}

#[test]
fn idle_machines_are_returned_except_the_warm_pool() {
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0), machine(0, 0)], vec![], Some(31), &[], false).1, 2);
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0)], vec![], Some(10), &[], false).1, 0);
    // Where deadlines are to be kept they stay longer.
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0)], vec![], Some(31), &[], true).1, 0);
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0)], vec![], Some(61), &[], true).1, 1);
}

#[test]
fn no_headroom_is_reserved_on_machines_that_its_jobs_may_not_use() {
    let spot = || MachineSnapshot { spot: true, ..machine(0, 0) };
    // The warm one is an ordinary machine; spot machines neither stay for it nor count as it.
    assert_eq!(decide(vec![spot(), spot(), machine(0, 0)], vec![], Some(31), &[], false).1, 2);
    assert_eq!(decide(vec![spot(), spot()], vec![], Some(31), &[], false).1, 2);
    // Low priorities count on spot machines of a type of which ordinary ones are kept for others.
    let low = JobClass { priority: Priority::Idle, ..class(8, 20, 1) };
    let unmet = |r: MachineSnapshot| {
        let keep = ReservedHeadroom { need: need(8.0), priority: Priority::Urgent, spot: false };
        let s = Snapshot {
            zone_count: 1,
            machines: vec![r],
            classes: vec![low.clone()],
            reserved_headroom: vec![Some(keep)],
            ..Snapshot::default()
        };
        plan(&s).unmet.len()
    };
    let full = |spot: bool| MachineSnapshot { spot, ..machine(8, 1) };
    assert_eq!((unmet(spot()), unmet(full(true))), (0, 1));
    let s = Snapshot {
        zone_count: 1,
        machines: vec![spot(), machine(0, 0)],
        headroom_machines: 1,
        reserved_headroom: vec![Some(ReservedHeadroom {
            need: need(8.0),
            priority: Priority::Urgent,
            spot: false,
        })],
        classes: vec![JobClass { priority: Priority::Idle, ..class(16, 20, 1) }],
        ..Snapshot::default()
    };
    // All of the spot machine, and none of the one that is kept clear.
    assert_eq!(plan(&s).starts.iter().map(|x| (x.machine, x.count)).collect::<Vec<_>>(), [(0, 8)]);
}

/// For a single task that had waited for minutes a machine was scaled out in each round until the first was
/// up: thirty of them.
#[test]
fn no_more_machines_are_scaled_out_than_waiting_work_can_fill() {
    let booting = MachineSnapshot { accepts_starts: false, accepts_starts_in: secs(20), ..machine(0, 0) };
    let machine_status = MachineStatus { age: secs(10), idle: None, booting: true };
    let scaled_out = |rooms: Vec<MachineSnapshot>, tasks: u32| {
        decide_with(rooms, vec![class(tasks, 150, 400)], machine_status, &[], false).0
    };
    assert_eq!(scaled_out(vec![], 1), [(true, 1)]);
    assert_eq!(scaled_out(vec![booting.clone()], 1), []);
    assert_eq!(scaled_out(vec![booting.clone()], 24), [(true, 2)]);
    assert_eq!(scaled_out(vec![booting; 3], 24), []);
}

/// The whole fleet stayed for a minute after the last job, for deadlines that no more jobs had.
#[test]
fn machines_stay_for_deadlines_only_while_more_such_jobs_are_expected() {
    let returned_after = |deadline_s: Option<f64>, class: &str| {
        let mut s = Scenario::new(1, false);
        s.submit(spec(1, 4, "batch"));
        (0..22).for_each(|_| s.step(&[]));
        s.fleet.apply_job_removal("wk-000001", 1000);
        s.sequence += 1;
        let empty = heartbeat("i-000", s.sequence, 7, &[]);
        s.send_heartbeat(&empty);
        // One a second, usually: none for as long as a machine boots is the end of them.
        for n in 2..22 {
            s.submit(JobSpec { deadline_s, class: Some(class.into()), ..spec(n, 1, "batch") });
            s.fleet.apply_job_removal(&format!("wk-{n:06}"), 1000 + u64::from(n));
        }
        let is_returned = |_: &usize| {
            s.step(&[]);
            s.fleet.decide_scaling(s.now, Wall(s.now.0));
            !s.fleet.machines_to_scale_in().is_empty()
        };
        (1..=30).find(is_returned)
    };
    assert_eq!(returned_after(None, "any"), Some(3), "after eight seconds");
    assert_eq!(returned_after(Some(100.0), "any"), Some(7), "after twenty");
    // Of a class that should start before a machine boots the lull has to last a minute.
    assert_eq!(returned_after(None, "quick"), Some(21), "after sixty");
}
