//! Scale out and scale in: refused offers, wrong run time estimates, idle machines, warm pools and headroom.

mod common;

use common::fleet_scenario::Scenario;
use common::planner::{class, need, one_small_type, secs};
use common::{heartbeat, spec};
use milletlock::capacity::{Autoscaler, MachineOffer, MachineStatus, ScalingPolicy, WarmPool};
use milletlock::sched::{plan, JobClass, MachineSnapshot, PlacedTask, ReservedHeadroom, Snapshot};
use milletlock::time::{Micros, Wall};
use milletlock::wire::{JobSpec, Priority};

/// A machine of eight processors with `placed` one-processor tasks, each with `remaining_s` seconds of
/// expected run time.
fn machine(placed: usize, remaining_s: i64) -> MachineSnapshot {
    let one = PlacedTask {
        need: need(1.0),
        priority: Priority::Normal,
        within_fair_share: false,
        team: 0,
        remaining: secs(remaining_s),
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
        free: need(8.0 - placed as f64),
        accepts_starts: true,
        accepts_starts_in: Micros::ZERO,
        images: vec![],
        fetch_gb_per_s: 1.0,
        cpu_price: 100,
        failure_penalty: Micros::ZERO,
        reclaimed_in: None,
        placed: vec![one; placed],
    }
}

/// The autoscaler's decision for these machines, all idle for `idle` seconds or (with `None`) in use, and
/// for these waiting jobs. Returns for each scale-out item whether it is for spot machines and how many, and
/// the number of machines to scale in.
fn decide(
    machines: Vec<MachineSnapshot>,
    classes: Vec<JobClass>,
    idle: Option<i64>,
    refused: &[MachineOffer],
    deadline_jobs_expected: bool,
) -> (Vec<(bool, u32)>, usize) {
    let machine_status = MachineStatus { age: secs(100), idle: idle.map(secs), booting: false };
    decide_with(machines, classes, machine_status, refused, deadline_jobs_expected)
}

/// Decides like [`decide`], with `machine_status` for each machine.
fn decide_with(
    machines: Vec<MachineSnapshot>,
    classes: Vec<JobClass>,
    machine_status: MachineStatus,
    refused: &[MachineOffer],
    deadline_jobs_expected: bool,
) -> (Vec<(bool, u32)>, usize) {
    let snapshot = Snapshot {
        zone_count: 1,
        machines,
        classes,
        reserve: true,
        low_priority_delay_step: secs(4),
        reserved_headroom: vec![None],
        ..Snapshot::default()
    };
    let machine_status = vec![machine_status; snapshot.machines.len()];
    let policy = ScalingPolicy {
        drain_time: secs(40),
        idle_timeout: secs(20),
        deadline_idle_timeout: secs(60),
        warm_idle_timeout: secs(30),
        max_boot_factor: 1.6,
    };
    let current_plan = plan(&snapshot);
    let types = one_small_type();
    let autoscaler = Autoscaler {
        snapshot: &snapshot,
        plan: &current_plan,
        machine_status: &machine_status,
        types: &types,
        zones: &[vec![0]],
        refused,
        warm_pools: &[WarmPool { count: 1, spot: false }],
        deadline_jobs_expected: &[deadline_jobs_expected],
        policy,
    };
    let decision = autoscaler.decide();
    (decision.scale_out.iter().map(|item| (item.offer.spot, item.count)).collect(), decision.scale_in.len())
}

#[test]
fn the_cheapest_offer_that_was_not_refused_is_requested() {
    let all = decide(vec![], vec![class(16, 40, 0)], None, &[], false);
    assert_eq!(all.0, [(true, 2)]);
    let refused = MachineOffer { type_index: 0, zone: 0, spot: true };
    assert_eq!(decide(vec![], vec![class(16, 40, 0)], None, &[refused], false).0, [(false, 2)]);
}

#[test]
fn tasks_expected_to_drain_in_time_cause_a_scale_out_only_after_a_long_wait() {
    // Eight tasks of 20 s wait for a machine that is expected to be free in a second: no scale out is needed.
    assert!(decide(vec![machine(8, 1)], vec![class(8, 20, 1)], None, &[], false).0.is_empty());
    // The tasks still wait after 100 s: the estimates must be wrong, so they are ignored.
    assert!(!decide(vec![machine(8, 1)], vec![class(8, 20, 100)], None, &[], false).0.is_empty());
}

#[test]
fn idle_machines_are_scaled_in_except_for_the_warm_pool() {
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0), machine(0, 0)], vec![], Some(31), &[], false).1, 2);
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0)], vec![], Some(10), &[], false).1, 0);
    // Where jobs with deadlines are expected, idle machines stay longer.
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0)], vec![], Some(31), &[], true).1, 0);
    assert_eq!(decide(vec![machine(0, 0), machine(0, 0)], vec![], Some(61), &[], true).1, 1);
}

#[test]
fn no_headroom_is_reserved_on_machines_that_the_jobs_it_is_for_may_not_use() {
    let spot = || MachineSnapshot { spot: true, ..machine(0, 0) };
    // The warm pool is of on-demand machines: spot machines are not kept for it and do not count towards it.
    assert_eq!(decide(vec![spot(), spot(), machine(0, 0)], vec![], Some(31), &[], false).1, 2);
    assert_eq!(decide(vec![spot(), spot()], vec![], Some(31), &[], false).1, 2);
    // Jobs of low priority may use spot machines of a type whose on-demand machines are reserved as headroom.
    let low_priority = JobClass { priority: Priority::Idle, ..class(8, 20, 1) };
    let unmet = |machine: MachineSnapshot| {
        let headroom = ReservedHeadroom { need: need(8.0), priority: Priority::Urgent, spot: false };
        let snapshot = Snapshot {
            zone_count: 1,
            machines: vec![machine],
            classes: vec![low_priority.clone()],
            reserved_headroom: vec![Some(headroom)],
            ..Snapshot::default()
        };
        plan(&snapshot).unplaced.len()
    };
    let full = |spot: bool| MachineSnapshot { spot, ..machine(8, 1) };
    assert_eq!((unmet(spot()), unmet(full(true))), (0, 1));
    let snapshot = Snapshot {
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
    // The tasks take the whole spot machine and nothing of the machine that is reserved as headroom.
    assert_eq!(
        plan(&snapshot).starts.iter().map(|start| (start.machine, start.count)).collect::<Vec<_>>(),
        [(0, 8)]
    );
}

/// Guards against a fault by which a machine was scaled out for a single long-waiting task in each round
/// until the first machine was up, thirty machines in all.
#[test]
fn no_more_machines_are_scaled_out_than_waiting_tasks_can_fill() {
    let booting = MachineSnapshot { accepts_starts: false, accepts_starts_in: secs(20), ..machine(0, 0) };
    let machine_status = MachineStatus { age: secs(10), idle: None, booting: true };
    let scaled_out = |machines: Vec<MachineSnapshot>, tasks: u32| {
        decide_with(machines, vec![class(tasks, 150, 400)], machine_status, &[], false).0
    };
    assert_eq!(scaled_out(vec![], 1), [(true, 1)]);
    assert_eq!(scaled_out(vec![booting.clone()], 1), []);
    assert_eq!(scaled_out(vec![booting.clone()], 24), [(true, 2)]);
    assert_eq!(scaled_out(vec![booting; 3], 24), []);
}

/// Guards against a fault by which the whole fleet stayed for a minute after the last job, kept for jobs with
/// deadlines that were no longer to be expected.
#[test]
fn machines_stay_for_jobs_with_deadlines_only_while_more_are_expected() {
    let scaled_in_after = |deadline_s: Option<f64>, class: &str| {
        let mut scenario = Scenario::new(1, false);
        scenario.submit(spec(1, 4, "batch"));
        (0..22).for_each(|_| scenario.step(&[]));
        scenario.fleet.apply_job_removal("wk-000001", 1000);
        scenario.sequence += 1;
        let empty = heartbeat("i-000", scenario.sequence, 7, &[]);
        scenario.send_heartbeat(&empty);
        // Such jobs usually came once a second. If none comes during the boot time of a machine, no more are
        // expected.
        for n in 2..22 {
            scenario.submit(JobSpec { deadline_s, class: Some(class.into()), ..spec(n, 1, "batch") });
            scenario.fleet.apply_job_removal(&format!("wk-{n:06}"), 1000 + u64::from(n));
        }
        let is_scaled_in = |_: &usize| {
            scenario.step(&[]);
            scenario.fleet.decide_scaling(scenario.now, Wall(scenario.now.0));
            !scenario.fleet.machines_to_scale_in().is_empty()
        };
        (1..=30).find(is_scaled_in)
    };
    assert_eq!(scaled_in_after(None, "any"), Some(3), "after eight seconds");
    assert_eq!(scaled_in_after(Some(100.0), "any"), Some(7), "after twenty");
    // For jobs that should start sooner than a machine boots, machines are kept for a minute without such
    // jobs.
    assert_eq!(scaled_in_after(None, "quick"), Some(21), "after sixty");
}
