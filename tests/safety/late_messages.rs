//! Heartbeats and job records that arrive late or twice.

use milletlock::fleet::HeartbeatOutcome;
use milletlock::wire::TaskStage;

use crate::common::clock::{at, wall, START};
use crate::common::{heartbeat, record, spec};
use crate::fixtures::{
    fleet_with, fleet_with_a_running_task, machine_record, new_fleet, reply_commands, starts, write_all,
};

#[test]
fn a_late_job_record_does_not_restore_an_ended_job() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    fleet.apply_job_removal("wk-000001", 1000);
    fleet.apply_job_record(record(spec(1, 1, "batch")), 999, at(1.0));
    assert!(fleet.jobs.is_empty());
    assert!(starts(&reply_commands(&mut fleet, 1.0, &heartbeat("i-1", 2, 7, &[]))).is_empty());
}

#[test]
fn late_heartbeats_renew_no_lease_and_restore_no_task() {
    let (mut fleet, (task, attempt)) = fleet_with_a_running_task();
    let running = [(task.as_str(), attempt, TaskStage::Running, None)];
    // This heartbeat was sent before the machine was partitioned and arrives when its lease has expired.
    let delayed = heartbeat("i-1", 4, 7, &running);
    // A duplicate that arrives within the lease does not renew it.
    assert_eq!(
        fleet.apply_heartbeat(&heartbeat("i-1", 3, 7, &running), at(20.0), wall(20.0)),
        HeartbeatOutcome::Refuse
    );
    fleet.confirm_lease(at(25.9));
    fleet.tick(at(26.0), wall(26.0));
    assert!(fleet.jobs["wk-000001"].waiting.contains(0), "the lease has certainly expired");
    assert_eq!(fleet.apply_heartbeat(&delayed, at(27.0), wall(27.0)), HeartbeatOutcome::Refuse);
    assert!(fleet.jobs["wk-000001"].waiting.contains(0), "a late heartbeat restored a task that has ended");
    // Heartbeats of the machine's next agent epoch are accepted.
    let mut back = heartbeat("i-1", 1, 7, &[]);
    back.agent_epoch = 2;
    assert!(matches!(fleet.apply_heartbeat(&back, at(30.0), wall(30.0)), HeartbeatOutcome::Reply(_)));
    // A heartbeat from before the failover, from a machine that has no record any more, is refused.
    let mut new_leader = new_fleet(9);
    assert_eq!(
        new_leader.apply_heartbeat(&heartbeat("i-7", 40, 8, &running), at(1.0), wall(1.0)),
        HeartbeatOutcome::Refuse
    );
    assert!(new_leader.machines.is_empty());
    // A heartbeat with an older fencing token does not end the leadership and acknowledges nothing.
    new_leader.load_machine("i-8", &machine_record("small"), 0, START);
    assert!(matches!(
        new_leader.apply_heartbeat(&heartbeat("i-8", 40, 8, &[]), at(1.0), wall(1.0)),
        HeartbeatOutcome::Reply(_)
    ));
    assert_eq!(new_leader.unacknowledged_machines(), 1);
}

/// Thousands of duplicate heartbeats arrive, from seconds to several lease times late.
#[test]
fn thousands_of_late_heartbeats_change_nothing_in_the_model() {
    const MACHINES: u32 = 400;
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(spec(1, 100, "batch")), 1, START);
    let id = |machine: u32| format!("i-{machine:06}");
    for sequence in 1..=3 {
        for machine in 0..MACHINES {
            let fencing_token = if sequence > 1 { 7 } else { 0 };
            fleet.apply_heartbeat(
                &heartbeat(&id(machine), sequence, fencing_token, &[]),
                at(sequence as f64),
                wall(sequence as f64),
            );
        }
        write_all(&mut fleet, sequence as f64);
    }
    // Half of the machines are removed.
    let removed: Vec<String> = (0..MACHINES / 2).map(id).collect();
    fleet.remove_scaled_in_machines(&removed, at(4.0));
    let (machines, before) = (fleet.machines.len(), format!("{:?}", fleet.machines));
    let stale = [("wk-000001/3", 99, TaskStage::Running, None)];
    for late in [5.0, 12.0, 23.0, 60.0, 300.0] {
        for machine in 0..MACHINES {
            for (sequence, tasks) in [(1, &stale[..]), (3, &[][..])] {
                let message = heartbeat(&id(machine), sequence, if sequence > 1 { 7 } else { 0 }, tasks);
                assert_eq!(fleet.apply_heartbeat(&message, at(late), wall(late)), HeartbeatOutcome::Refuse);
            }
        }
    }
    assert_eq!((fleet.machines.len(), format!("{:?}", fleet.machines)), (machines, before));
    // The ids of removed machines are kept only for some time: later, a heartbeat with such an id is
    // accepted.
    fleet.tick(at(1000.0), wall(1000.0));
    assert!(matches!(
        fleet.apply_heartbeat(&heartbeat(&id(0), 4, 7, &[]), at(1000.0), wall(1000.0)),
        HeartbeatOutcome::Reply(_)
    ));
}
