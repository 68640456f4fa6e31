//! Messages that arrive late or twice.

use milletlock::fleet::HeartbeatOutcome;
use milletlock::wire::TaskStage;

use crate::common::clock::{at, wall, START};
use crate::common::{heartbeat, record, spec};
use crate::fixtures::{
    fleet_with, fleet_with_a_running_task, machine_record, new_fleet, orders, starts, write_all,
};

#[test]
fn a_late_copy_does_not_bring_a_job_back() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    fleet.apply_job_removal("wk-000001", 1000);
    fleet.apply_job_record(record(spec(1, 1, "batch")), 999, at(1.0));
    assert!(fleet.jobs.is_empty());
    assert!(starts(&orders(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &[]))).is_empty());
}

#[test]
fn late_copies_of_heartbeats_renew_nothing_and_bring_nothing_back() {
    let (mut fleet, (task, attempt)) = fleet_with_a_running_task();
    let running = [(task.as_str(), attempt, TaskStage::Running, None)];
    // Sent before the machine was partitioned, this one arrives when its lease has run out.
    let held = heartbeat("i-1", 4, 7, &running);
    // A copy within the lease does not put off its end.
    assert_eq!(
        fleet.check_in(&heartbeat("i-1", 3, 7, &running), at(20.0), wall(20.0)),
        HeartbeatOutcome::Refuse
    );
    fleet.confirm_lease(at(25.9));
    fleet.tick(at(26.0), wall(26.0));
    assert!(fleet.jobs["wk-000001"].waiting.contains(0), "the lease has surely run out");
    assert_eq!(fleet.check_in(&held, at(27.0), wall(27.0)), HeartbeatOutcome::Refuse);
    assert!(fleet.jobs["wk-000001"].waiting.contains(0), "a late report brought back what has ended");
    // The machine itself is back in its next session.
    let mut back = heartbeat("i-1", 1, 7, &[]);
    back.agent_epoch = 2;
    assert!(matches!(fleet.check_in(&back, at(30.0), wall(30.0)), HeartbeatOutcome::Reply(_)));
    // From before this leader came, of a machine that has no record any more.
    let mut g = new_fleet(9);
    assert_eq!(g.check_in(&heartbeat("i-7", 40, 8, &running), at(1.0), wall(1.0)), HeartbeatOutcome::Refuse);
    assert!(g.machines.is_empty());
    // A copy that shows an older fencing token ends nobody's leadership, and does not count as heard.
    g.load_machine("i-8", &machine_record("small"), 0, START);
    assert!(matches!(
        g.check_in(&heartbeat("i-8", 40, 8, &[]), at(1.0), wall(1.0)),
        HeartbeatOutcome::Reply(_)
    ));
    assert_eq!(g.unacknowledged_machines(), 1);
}

/// Copies of heartbeats come by the thousand, from seconds to well over a lease late.
#[test]
fn late_copies_by_the_thousand_change_nothing_and_are_not_remembered() {
    const MACHINES: u32 = 400;
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(spec(1, 100, "batch")), 1, START);
    let id = |m: u32| format!("i-{m:06}");
    for sequence in 1..=3 {
        for m in 0..MACHINES {
            let fencing_token = if sequence > 1 { 7 } else { 0 };
            fleet.check_in(
                &heartbeat(&id(m), sequence, fencing_token, &[]),
                at(sequence as f64),
                wall(sequence as f64),
            );
        }
        write_all(&mut fleet, sequence as f64);
    }
    // Half of them go.
    let gone: Vec<String> = (0..MACHINES / 2).map(id).collect();
    fleet.machines_scaled_in(&gone, at(4.0));
    let (machines, before) = (fleet.machines.len(), format!("{:?}", fleet.machines));
    let stale = [("wk-000001/3", 99, TaskStage::Running, None)];
    for late in [5.0, 12.0, 23.0, 60.0, 300.0] {
        for m in 0..MACHINES {
            for (sequence, tasks) in [(1, &stale[..]), (3, &[][..])] {
                let r = heartbeat(&id(m), sequence, if sequence > 1 { 7 } else { 0 }, tasks);
                assert_eq!(fleet.check_in(&r, at(late), wall(late)), HeartbeatOutcome::Refuse);
            }
        }
    }
    assert_eq!((fleet.machines.len(), format!("{:?}", fleet.machines)), (machines, before));
    // What is remembered of those that are gone ends as well: long after, a name is only a name.
    fleet.tick(at(1000.0), wall(1000.0));
    assert!(matches!(
        fleet.check_in(&heartbeat(&id(0), 4, 7, &[]), at(1000.0), wall(1000.0)),
        HeartbeatOutcome::Reply(_)
    ));
}
