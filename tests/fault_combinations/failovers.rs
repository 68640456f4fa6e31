//! Combinations 1, 6, 12, 15, 16 and 18: failovers together with other faults.

use std::collections::BTreeSet;

use milletlock::fleet::HeartbeatOutcome;
use milletlock::leadership;
use milletlock::wire::{JobSpec, Stage};

use crate::common::clock::{at, wall};
use crate::common::spec;
use crate::scenario::{Link, Scenario};
use crate::tight;

/// Combination 1: a team that uses all of its quota, a failover, unacknowledged machines and a cancellation.
/// Guards against starts beyond the quota that leave out one of these: tasks that an unacknowledged machine
/// may run, halted tasks that have not ended, and tasks on a machine that the cloud has not yet taken back.
#[test]
fn a_team_stays_within_its_limit_across_a_failover_and_a_cancellation() {
    let mut scenario = Scenario::new();
    scenario.fail_over(Some("south"));
    for (n, zone) in [(1, "north"), (2, "south"), (3, "north"), (4, "north")] {
        scenario.add_machine(n, zone);
    }
    scenario.run(4.0);
    let a = scenario.submit(JobSpec { spread: true, ..tight(1, 6, "batch") }, 300.0);
    scenario.run(8.0);
    assert_eq!(scenario.placed(&a), 6, "half of them in each zone");
    let b = scenario.submit(tight(2, 6, "batch"), 200.0);
    scenario.run(6.0);
    assert_eq!(scenario.started(&b), 0, "the team's quota must be used up");
    // The south is partitioned together with the old leader. The machines with tasks in the north get no
    // messages from the new leader.
    let north: Vec<String> = scenario.machines_of(&a).into_iter().filter(|m| m != "i-2").collect();
    scenario.partitioned_zone = Some("south");
    north.iter().for_each(|m| scenario.worker(m).link = Link::HeartbeatsOnly);
    scenario.cloud_up = false;
    scenario.fail_over(None);
    scenario.run(2.0);
    assert_eq!((scenario.fleet().unacknowledged_machines(), scenario.started(&b)), (1 + north.len(), 0));
    // The machines in the north acknowledge the fencing token, and then do not get the halt commands.
    north.iter().for_each(|m| scenario.worker(m).link = Link::Up);
    scenario.run(4.0);
    assert_eq!(scenario.fleet().unacknowledged_machines(), 1);
    north.iter().for_each(|m| scenario.worker(m).link = Link::HeartbeatsOnly);
    assert!(scenario.cancel(&a));
    scenario.run(7.0);
    assert_eq!(
        (scenario.placed(&a), scenario.started(&b)),
        (6, 0),
        "cancelled tasks that still run must count towards the quota"
    );
    // Half of the job still runs in the south, and the whole machine there counts towards the quota.
    north.iter().for_each(|m| scenario.worker(m).link = Link::Up);
    scenario.run(7.0);
    assert_eq!((scenario.placed(&a), scenario.placed(&b)), (3, 2));
    scenario.run(18.0);
    assert!(
        scenario.fleet().machines_to_scale_in().contains(&"i-2".to_string()),
        "the cloud must not have confirmed the return yet"
    );
    assert_eq!(
        (scenario.placed(&a), scenario.placed(&b)),
        (3, 2),
        "an unconfirmed return must not count as the end of the tasks"
    );
    scenario.run(6.0);
    assert_eq!(
        scenario.placed(&b),
        2,
        "44 s after the failover, a reply of an earlier leader may still renew a lease"
    );
    // Later no such lease can be left, although the cloud has not confirmed the return.
    scenario.run(14.0);
    assert_eq!((scenario.placed(&a), scenario.placed(&b)), (0, 6));
    assert!(scenario.fleet().machines_to_scale_in().contains(&"i-2".to_string()));
    scenario.cloud_up = true;
    scenario.run(8.0);
    assert_eq!(scenario.placed(&b), 6);
    scenario.finish(300.0);
}

/// Combination 6: ten failovers in two minutes. In some the earlier leader still runs, and some follow an
/// outage of the state store. Guards against tasks that are started twice, and against jobs that are lost or
/// never end.
#[test]
fn ten_leaders_in_two_minutes_start_nothing_twice_and_lose_nothing() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "south", "north", "south", "north", "south"]);
    let long = scenario.submit(spec(1, 2, "batch"), 100.0);
    let gang = scenario.submit(JobSpec { one_zone: true, ..spec(2, 3, "gang") }, 70.0);
    let gone = scenario.submit(spec(3, 3, "batch"), 200.0);
    scenario.run(5.0);
    for leader in 0..10u32 {
        scenario.submit(spec(10 + leader, 5, "batch"), 4.0 + f64::from(leader));
        scenario.submit(tight(30 + leader, 2, if leader % 2 == 0 { "gang" } else { "batch" }), 11.0);
        scenario.run(4.0);
        if leader == 5 {
            assert!(scenario.cancel(&gone));
        }
        if leader % 4 == 3 {
            // The leader ends during an outage of the state store. No other can be elected before the outage
            // is over.
            scenario.store_up = false;
            scenario.run(3.0);
            scenario.end_leader(leader as usize);
            scenario.run(3.0);
            scenario.store_up = true;
            scenario.fail_over(None);
        } else if leader % 2 == 0 {
            // The earlier leader does not know yet that it has been replaced.
            scenario.fail_over(None);
            scenario.run(4.0);
        } else {
            scenario.replace_leader(2.0);
        }
        scenario.run(3.0);
    }
    assert_eq!(scenario.leaders.len(), 11);
    assert!(scenario.seconds < 140.0);
    scenario.finish(120.0);
    for (id, spec) in &scenario.specs {
        assert_eq!(scenario.started(id), spec.tasks, "{id}");
    }
    assert_eq!((scenario.started(&long), scenario.started(&gang)), (2, 3));
}

/// Combination 12: four leaders follow each other without a pause. Then all have ended, and one controller is
/// restarted within a second. Guards against late writes of earlier leaders that change records which belong
/// to the new leader.
#[test]
fn late_writes_of_earlier_leaders_fail_after_handovers_and_a_restart_within_a_second() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north", "south", "south", "north", "north", "south", "south"]);
    let mut ids = Vec::new();
    for number in 0..4u32 {
        // The leader's last write gets no reply. It is applied after other leaders have followed.
        ids.push(scenario.submit(spec(1 + number, 5 + number, "batch"), 30.0));
        scenario.run(4.0);
        ids.push(scenario.submit(spec(11 + number, 1, "batch"), 20.0));
        scenario.leaders[number as usize].lost_reply = Some((6.5, |_| true));
        for _ in 0..8 {
            if scenario.leaders[number as usize].lost_reply.is_some() {
                scenario.step();
            }
        }
        assert!(scenario.leaders[number as usize].lost_reply.is_none(), "the leader must have sent a write");
        if number < 3 {
            // The next leader follows without a pause.
            scenario.end_leader(number as usize);
            scenario.fail_over(None);
        }
    }
    // The last leader ends too. A new leader without any state follows after half a second.
    scenario.replace_leader(0.5);
    scenario.run(10.0);
    assert_eq!(scenario.late_results.len(), 4);
    // A heartbeat of any worker shows the earlier leaders that they have been replaced.
    let (fencing_token, now, t) =
        (scenario.fleet().fencing_token, at(scenario.seconds), wall(scenario.seconds));
    let newer = scenario.worker("i-1").state.heartbeat();
    for leader in &mut scenario.leaders[..4] {
        assert_eq!(
            leader.controller.fleet.apply_heartbeat(&newer, now, t),
            HeartbeatOutcome::Superseded(fencing_token)
        );
    }
    for r in &scenario.late_results {
        assert!(
            r.as_ref().is_err_and(|k| k.iter().any(|k| k == leadership::SHARD_KEY)),
            "{:?}",
            scenario.late_results
        );
    }
    scenario.finish(150.0);
    for (id, spec) in &scenario.specs {
        assert_eq!(scenario.started(id), spec.tasks, "{id}");
    }
}

/// Combination 15: a leader ends while machines with long tasks are partitioned or get no replies, for less
/// than the lease or for longer. Guards against starting a task again while it may still run, and against
/// waiting for it for ever.
#[test]
fn tasks_on_unreachable_machines_start_again_only_after_the_lease_when_the_leader_ends() {
    for link in [Link::Down, Link::HeartbeatsOnly] {
        for (long, lost) in [(16.0, false), (80.0, true)] {
            let mut scenario = Scenario::new();
            scenario.begin_with(&["north", "north", "north", "north"]);
            let a = scenario.submit(spec(1, 4, "batch"), 150.0);
            let gang = scenario.submit(spec(2, 2, "gang"), 150.0);
            scenario.run(6.0);
            assert_eq!((scenario.placed(&a), scenario.placed(&gang)), (4, 2));
            let (first, second) = (scenario.machines_of(&a), scenario.machines_of(&gang));
            let unreachable: BTreeSet<&str> = first.iter().chain(&second).map(String::as_str).collect();
            let unreachable: Vec<&str> = unreachable.into_iter().collect();
            assert!(unreachable.len() < 4, "one reachable machine must have free capacity");
            scenario.link(&unreachable, link);
            scenario.replace_leader(2.0);
            let next = scenario.submit(spec(3, 2, "batch"), 5.0);
            scenario.run(long - 2.0);
            if !lost {
                assert_eq!(
                    (
                        scenario.placed(&a),
                        scenario.placed(&gang),
                        scenario.started(&a),
                        scenario.started(&gang)
                    ),
                    (4, 2, 4, 2)
                );
            }
            assert_eq!(
                scenario.stage(&next),
                Some(Stage::Done),
                "{link:?}: a job that never ran must not wait for the unreachable machines"
            );
            (5..8).for_each(|n| scenario.add_machine(n, "north"));
            if !lost {
                scenario.workers.iter_mut().for_each(|w| w.link = Link::Up);
            }
            scenario.finish(250.0);
            let starts = if lost { (8, 4) } else { (4, 2) };
            assert_eq!((scenario.started(&a), scenario.started(&gang)), starts, "{link:?} for {long} s");
        }
    }
}

/// Combination 16: tasks of small jobs end at different times, before and after a failover. Guards against
/// running a done task again. Also guards against a job that becomes done too early, or never, because its
/// earlier leader knew of other results than the new one.
#[test]
fn tasks_that_are_done_do_not_run_again_after_a_failover() {
    // At 8 s the first results are not written yet, at 22 s they are. At 50 s, further tasks are done.
    for failover_at_s in [8.0, 22.0, 50.0] {
        let mut scenario = Scenario::new();
        scenario.begin_with(&["north", "south", "north"]);
        let ids: Vec<String> = (1..=3).map(|n| scenario.submit(spec(n, 2 + n % 2, "batch"), 90.0)).collect();
        for (n, id) in ids.iter().enumerate() {
            scenario.run_times.insert(format!("{id}/{n}", n = n % 2), 3.0);
            scenario.run_times.insert(format!("{id}/2"), 40.0);
        }
        scenario.run(failover_at_s);
        assert_eq!(scenario.store.rows("done/").is_empty(), failover_at_s < 10.0);
        assert!(scenario.finished.len() >= 3);
        scenario.replace_leader(2.0);
        scenario.run(30.0);
        assert!(ids.iter().all(|id| scenario.stage(id).is_none()));
        scenario.replace_leader(1.0);
        scenario.finish(90.0);
        for id in &ids {
            assert_eq!(scenario.started(id), scenario.specs[id].tasks, "{id}, failover at {failover_at_s} s");
        }
        scenario.run(5.0);
        assert!(
            scenario.store.rows("done/").is_empty()
                && scenario.workers.iter().all(|w| w.state.tasks.is_empty())
        );
    }
}

/// Combination 18: all controllers are down for longer than the lease. Guards against waiting for tasks that
/// ended with their leases, and against an old heartbeat that reports them as running.
#[test]
fn lost_tasks_run_again_after_all_controllers_were_down_for_longer_than_the_lease() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "south", "north"]);
    let a = scenario.submit(tight(1, 6, "batch"), 40.0);
    scenario.run_times.insert(format!("{a}/0"), 3.0);
    let gang = scenario.submit(spec(2, 3, "gang"), 40.0);
    let gone = scenario.submit(spec(3, 2, "batch"), 300.0);
    scenario.run(8.0);
    assert_eq!((scenario.placed(&a), scenario.placed(&gang), scenario.placed(&gone)), (5, 3, 2));
    assert!(scenario.cancel(&gone));
    scenario.end_leader(0);
    let mut old_heartbeats = Vec::new();
    for n in 1..=3 {
        old_heartbeats.push(scenario.worker(&format!("i-{n}")).state.heartbeat());
    }
    scenario.run(40.0);
    assert!(scenario.workers.iter().all(|w| w.state.agent_epoch == 2 && w.state.tasks.is_empty()));
    scenario.fail_over(None);
    scenario.run(6.0);
    assert_eq!(
        (scenario.fleet().unacknowledged_machines(), scenario.placed(&gang), scenario.started(&gone)),
        (0, 3, 2)
    );
    for heartbeat in &old_heartbeats {
        let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
        assert_eq!(scenario.fleet().apply_heartbeat(heartbeat, now, t), HeartbeatOutcome::Refuse);
    }
    scenario.finish(80.0);
    // A result that was not written is lost with the worker's session, so its task runs again.
    assert_eq!((scenario.started(&a), scenario.started(&gang), scenario.started(&gone)), (12, 6, 2));
}
