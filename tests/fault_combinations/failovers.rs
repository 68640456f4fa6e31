//! Failovers together with other faults: combinations 1, 6, 12, 15, 16 and 18.

use std::collections::BTreeSet;

use milletlock::fleet::HeartbeatOutcome;
use milletlock::leadership;
use milletlock::wire::{JobSpec, Stage};

use crate::common::clock::{at, wall};
use crate::common::spec;
use crate::scenario::{Link, Scenario};
use crate::tight;

/// Combination 1: a team at its limit, a failover, machines that can't be asked, and a
/// cancellation. Against starts beyond the limit beside what an unheard machine may run, what was
/// told to halt and has not ended, and a return that the cloud has not replied to.
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
    assert_eq!(scenario.started(&b), 0, "the team is at its limit");
    // The south goes with the old leader; the north's machines with tasks do not hear the new one.
    let north: Vec<String> = scenario.machines_of(&a).into_iter().filter(|m| m != "i-2").collect();
    scenario.partitioned_zone = Some("south");
    north.iter().for_each(|m| scenario.worker(m).link = Link::HeartbeatsOnly);
    scenario.cloud_up = false;
    scenario.fail_over(None);
    scenario.run(2.0);
    assert_eq!((scenario.fleet().unacknowledged_machines(), scenario.started(&b)), (1 + north.len(), 0));
    // They are heard, and then do not hear that they are to halt.
    north.iter().for_each(|m| scenario.worker(m).link = Link::Up);
    scenario.run(4.0);
    assert_eq!(scenario.fleet().unacknowledged_machines(), 1);
    north.iter().for_each(|m| scenario.worker(m).link = Link::HeartbeatsOnly);
    assert!(scenario.cancel(&a));
    scenario.run(7.0);
    assert_eq!((scenario.placed(&a), scenario.started(&b)), (6, 0), "cancelled tasks that run still count");
    // In the south half of the job goes on, and the whole machine counts.
    north.iter().for_each(|m| scenario.worker(m).link = Link::Up);
    scenario.run(7.0);
    assert_eq!((scenario.placed(&a), scenario.placed(&b)), (3, 2));
    scenario.run(18.0);
    assert!(
        scenario.fleet().machines_to_scale_in().contains(&"i-2".to_string()),
        "its return has no reply yet"
    );
    assert_eq!(
        (scenario.placed(&a), scenario.placed(&b)),
        (3, 2),
        "a return without a reply has ended nothing"
    );
    scenario.run(6.0);
    assert_eq!(scenario.placed(&b), 2, "44 s after the claim an earlier leader's reply may still count");
    // Later none can, though the cloud has not replied.
    scenario.run(14.0);
    assert_eq!((scenario.placed(&a), scenario.placed(&b)), (0, 6));
    assert!(scenario.fleet().machines_to_scale_in().contains(&"i-2".to_string()));
    scenario.cloud_up = true;
    scenario.run(8.0);
    assert_eq!(scenario.placed(&b), 6);
    scenario.finish(300.0);
}

/// Combination 6: ten leaders in two minutes, some beside the one before, some after an outage of the
/// state store. Against anything started twice, lost or left.
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
            // It changes inside an outage; nothing can be claimed before its end.
            scenario.store_up = false;
            scenario.run(3.0);
            scenario.end_leader(leader as usize);
            scenario.run(3.0);
            scenario.store_up = true;
            scenario.fail_over(None);
        } else if leader % 2 == 0 {
            // The one before does not know yet.
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

/// Combination 12: controllers hand over and back, all end, and one returns within a second. Against
/// late writes of its earlier life, and of the others, that change what is another's now.
#[test]
fn late_writes_of_earlier_leaders_fail_after_handovers_and_a_restart_within_a_second() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north", "south", "south", "north", "north", "south", "south"]);
    let mut ids = Vec::new();
    for life in 0..4u32 {
        // Its last write gets no reply and is carried out when others have followed.
        ids.push(scenario.submit(spec(1 + life, 5 + life, "batch"), 30.0));
        scenario.run(4.0);
        ids.push(scenario.submit(spec(11 + life, 1, "batch"), 20.0));
        scenario.leaders[life as usize].lost_reply = Some((6.5, |_| true));
        for _ in 0..8 {
            if scenario.leaders[life as usize].lost_reply.is_some() {
                scenario.step();
            }
        }
        assert!(scenario.leaders[life as usize].lost_reply.is_none(), "nothing was to be written");
        if life < 3 {
            // Handed over, with no pause.
            scenario.end_leader(life as usize);
            scenario.fail_over(None);
        }
    }
    // All have ended; the last is back at once and knows nothing.
    scenario.replace_leader(0.5);
    scenario.run(10.0);
    assert_eq!(scenario.late_results.len(), 4);
    // Earlier lives learn from any worker that they are over.
    let (fencing_token, now, t) =
        (scenario.fleet().fencing_token, at(scenario.seconds), wall(scenario.seconds));
    let newer = scenario.worker("i-1").state.heartbeat();
    for o in &mut scenario.leaders[..4] {
        assert_eq!(
            o.controller.fleet.apply_heartbeat(&newer, now, t),
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

/// Combination 15: a leader ends while machines with long tasks are partitioned or without replies, for less
/// than the lease and for longer. Against a second start while the first may run, and a wait without end.
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
            let away: BTreeSet<&str> = first.iter().chain(&second).map(String::as_str).collect();
            let away: Vec<&str> = away.into_iter().collect();
            assert!(away.len() < 4, "one has room for what never ran");
            scenario.link(&away, link);
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
            assert_eq!(scenario.stage(&next), Some(Stage::Done), "{link:?}: what never ran waits for nobody");
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

/// Combination 16: tasks of small jobs end far apart across a failover. Against a task that is
/// run again though it is done, and a job called done, or never, because of what its earlier leader
/// knew.
#[test]
fn tasks_that_are_done_do_not_run_again_after_a_failover() {
    // At 8 s the first ends are not written yet, at 22 s they are; at 50 s a second has ended too.
    for change in [8.0, 22.0, 50.0] {
        let mut scenario = Scenario::new();
        scenario.begin_with(&["north", "south", "north"]);
        let ids: Vec<String> = (1..=3).map(|n| scenario.submit(spec(n, 2 + n % 2, "batch"), 90.0)).collect();
        for (n, id) in ids.iter().enumerate() {
            scenario.run_times.insert(format!("{id}/{n}", n = n % 2), 3.0);
            scenario.run_times.insert(format!("{id}/2"), 40.0);
        }
        scenario.run(change);
        assert_eq!(scenario.store.rows("done/").is_empty(), change < 10.0);
        assert!(scenario.finished.len() >= 3);
        scenario.replace_leader(2.0);
        scenario.run(30.0);
        assert!(ids.iter().all(|id| scenario.stage(id).is_none()));
        scenario.replace_leader(1.0);
        scenario.finish(90.0);
        for id in &ids {
            assert_eq!(scenario.started(id), scenario.specs[id].tasks, "{id}, change at {change} s");
        }
        scenario.run(5.0);
        assert!(
            scenario.store.rows("done/").is_empty()
                && scenario.workers.iter().all(|w| w.state.tasks.is_empty())
        );
    }
}

/// Combination 18: all controllers are away for longer than the lease. Against waiting for tasks that
/// have ended with their leases, and against an old heartbeat that says they run.
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
    let mut held = Vec::new();
    for n in 1..=3 {
        held.push(scenario.worker(&format!("i-{n}")).state.heartbeat());
    }
    scenario.run(40.0);
    assert!(scenario.workers.iter().all(|w| w.state.agent_epoch == 2 && w.state.tasks.is_empty()));
    scenario.fail_over(None);
    scenario.run(6.0);
    assert_eq!(
        (scenario.fleet().unacknowledged_machines(), scenario.placed(&gang), scenario.started(&gone)),
        (0, 3, 2)
    );
    for r in &held {
        let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
        assert_eq!(scenario.fleet().apply_heartbeat(r, now, t), HeartbeatOutcome::Refuse);
    }
    scenario.finish(80.0);
    // What was done and not written is lost with the session, and runs again.
    assert_eq!((scenario.started(&a), scenario.started(&gang), scenario.started(&gone)), (12, 6, 2));
}
