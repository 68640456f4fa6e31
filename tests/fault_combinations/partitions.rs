//! Combinations 7, 8 and 13: partitioned zones and machines.

use milletlock::wire::{JobSpec, Stage};
use serde_json::json;

use crate::common::spec;
use crate::scenario::{Link, Scenario};
use crate::tight;

/// Combination 7: a zone with workers and the leader is partitioned for longer than the lease. The leader in
/// the zone may reply to workers for long, because `cancel_s` is 80 s. Guards against the leader in the zone
/// taking the machines outside for ended while the new leader renews their leases. Also guards against
/// cancelled tasks that continue in the zone.
#[test]
fn a_zone_partitioned_for_longer_than_the_lease_starts_nothing_twice_and_ends_cancelled_tasks() {
    let mut scenario = Scenario::with(|settings| settings["workers"]["cancel_s"] = json!(80.0));
    scenario.fail_over(Some("south"));
    for n in 0..3 {
        scenario.add_machine(1 + n, "north");
        scenario.add_machine(4 + n, "south");
    }
    scenario.run(4.0);
    let bound = |n, tasks, zone: &str| JobSpec { zone: Some(zone.into()), ..spec(n, tasks, "batch") };
    let filler = scenario.submit(bound(1, 8, "south"), 6.0);
    let inside = scenario.submit(bound(2, 2, "south"), 120.0);
    let gone = scenario.submit(bound(3, 2, "south"), 300.0);
    scenario.run(4.0);
    // The machines in the south are full when this job is submitted.
    let outside = scenario.submit(spec(4, 12, "batch"), 120.0);
    scenario.run(4.0);
    assert!(scenario
        .workers
        .iter()
        .filter(|w| w.state.zone == "south")
        .all(|w| w.state.placed_of(&outside) == 0));
    scenario.run(8.0);
    assert_eq!(scenario.stage(&filler), Some(Stage::Done), "the south must have free capacity again");
    assert_eq!((scenario.placed(&inside), scenario.placed(&gone), scenario.placed(&outside)), (2, 2, 12));
    scenario.partitioned_zone = Some("south");
    scenario.cloud_up = false;
    // The leader in the partitioned zone does not see the cancellation.
    assert!(scenario.cancel(&gone));
    scenario.run(5.0);
    scenario.fail_over(None);
    scenario.run(40.0);
    assert!(
        scenario.leaders[0].alive && scenario.may_reply(0),
        "the earlier leader must still reply to workers in its zone"
    );
    assert_eq!((scenario.placed(&inside), scenario.placed(&gone), scenario.placed(&outside)), (2, 2, 12));
    assert_eq!((scenario.started(&inside), scenario.started(&outside)), (2, 12));
    scenario.run(60.0);
    assert_eq!(scenario.placed(&gone), 0);
    (scenario.partitioned_zone, scenario.cloud_up) = (None, true);
    scenario.run(5.0);
    assert!(!scenario.leaders[0].alive);
    scenario.add_machine(7, "south");
    scenario.finish(300.0);
    assert_eq!((scenario.started(&outside), scenario.started(&filler)), (12, 8));
}

/// Combination 8: jobs that must run in one zone lose machines. Guards against tasks of the job starting in
/// the other zone while its other tasks may still run in the first, and against a job that waits for ever.
#[test]
fn jobs_of_one_zone_that_lose_machines_never_run_in_two_zones() {
    for shape in ["batch", "gang"] {
        let mut scenario = Scenario::new();
        scenario.begin_with(&["north"]);
        let one = scenario.submit(JobSpec { one_zone: true, ..spec(1, 4, shape) }, 60.0);
        scenario.run(8.0);
        assert_eq!(scenario.placed(&one), 4);
        scenario.add_machine(2, "south");
        scenario.add_machine(3, "south");
        scenario.run(6.0);
        // One array still has waiting tasks when its machine is lost. Another one is bound to `north`.
        let rest = scenario.submit(JobSpec { one_zone: true, ..spec(2, 10, "batch") }, 20.0);
        scenario.run(6.0);
        scenario.add_machine(5, "north");
        let bound = scenario.submit(JobSpec { zone: Some("north".into()), ..spec(3, 2, "batch") }, 60.0);
        scenario.run(7.0);
        assert_eq!(
            (scenario.placed(&rest), scenario.placed(&bound)),
            (8, 2),
            "the rest must not start in the other zone, which has free capacity"
        );
        scenario.link(&["i-1", "i-2", "i-5"], Link::Down);
        scenario.run(16.0);
        assert_eq!(
            (scenario.started(&one), scenario.placed(&one)),
            (4, 4),
            "tasks that may still run must not start again"
        );
        scenario.run(30.0);
        assert_eq!(scenario.placed(&one), 4, "all tasks must run again in the other zone");
        assert!(scenario.machines_of(&one).iter().all(|m| m == "i-3"), "{:?}", scenario.machines_of(&one));
        assert_eq!(
            (scenario.started(&bound), scenario.placed(&bound)),
            (2, 0),
            "the job's zone has no machine"
        );
        scenario.add_machine(4, "north");
        scenario.finish(300.0);
        assert_eq!((scenario.started(&one), scenario.started(&bound)), (8, 4));
    }
}

/// Combination 8: a spread job loses the zone with half of its tasks. Guards against the lost half starting
/// in the zone of the other half, and against it starting before its tasks have certainly ended.
#[test]
fn the_lost_half_of_a_spread_job_starts_again_only_once_it_is_surely_gone() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "south", "south"]);
    let spread = scenario.submit(JobSpec { spread: true, ..spec(1, 6, "batch") }, 80.0);
    scenario.run(8.0);
    assert_eq!(scenario.placed(&spread), 6);
    scenario.link(&["i-1"], Link::Down);
    scenario.run(10.0);
    scenario.add_machine(4, "north");
    scenario.run(10.0);
    assert_eq!(
        scenario.started(&spread),
        6,
        "the lost half may still run, and the south already has its share"
    );
    scenario.run(12.0);
    assert_eq!((scenario.started(&spread), scenario.placed(&spread)), (9, 6));
    assert!(scenario.machines_of(&spread).contains(&"i-4".to_string()));
    scenario.finish(200.0);
    assert_eq!(scenario.started(&spread), 9);
}

/// Combination 13: heartbeats of some workers reach no controller, but direct commands reach the workers.
/// Guards against starting their tasks elsewhere while they run, and against waiting for them for ever.
#[test]
fn tasks_of_workers_reached_by_commands_only_start_elsewhere_only_after_the_lease() {
    for (heartbeats_lost_s, restarted) in [(14.0_f64, false), (200.0, true)] {
        let mut scenario = Scenario::new();
        scenario.begin_with(&["north", "north", "north"]);
        let a = scenario.submit(tight(1, 6, "batch"), 60.0);
        scenario.run(5.0);
        assert_eq!(scenario.placed(&a), 6);
        let first = scenario.machines_of(&a);
        let places: Vec<&str> = first.iter().map(String::as_str).collect();
        scenario.link(&places, Link::CommandsOnly);
        scenario.replace_leader(1.0);
        let next = scenario.submit(tight(2, 2, "batch"), 10.0);
        let gang = scenario.submit(spec(3, 4, "gang"), 10.0);
        scenario.run(4.0);
        assert_eq!(
            scenario.fleet().unacknowledged_machines(),
            0,
            "the replies to direct commands must acknowledge the fencing token"
        );
        scenario.run(9.0);
        assert_eq!((scenario.started(&a), scenario.placed(&a), scenario.started(&next)), (6, 6, 0));
        assert!(
            scenario.started_at.contains_key(&gang),
            "a gang that fits on other machines must not wait for these workers"
        );
        scenario.run((heartbeats_lost_s - 14.0).min(60.0));
        scenario.add_machine(4, "north");
        scenario.add_machine(5, "north");
        if !restarted {
            scenario.link(&places, Link::Up);
        }
        scenario.finish(120.0);
        assert_eq!(scenario.started(&a) > 6, restarted);
        assert!(!restarted || scenario.started(&a) == 12, "{} starts", scenario.started(&a));
    }
}
