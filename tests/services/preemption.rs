//! Services preempt tasks of lower priority.

use milletlock::time::Micros;
use milletlock::wire::JobSpec;

use crate::cluster::{
    array, halts, secs, service, starts, SimulatedCluster, ARRAY, HEARTBEAT_INTERVAL, SERVICE, STEP,
};
use crate::common::worker::job_of;

/// Guards against a replica that waits for two heartbeats of a machine: one whose reply carries the halt,
/// and one whose reply carries the start.
#[test]
fn a_task_preempted_for_a_replica_is_halted_directly_and_the_reply_to_its_exit_carries_the_start() {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(array(2, 4));
    cluster.run_until(ARRAY, 4, secs(10.0));
    cluster.run(secs(3.0));
    cluster.submit(service(1, 1));
    cluster.advance(Micros::from_millis(50));
    let direct = cluster.deliver_commands();
    assert_eq!(halts(&direct).len(), 1);
    assert_eq!(job_of(halts(&direct)[0]), ARRAY);
    assert!(cluster.deliver_commands().is_empty(), "the halt was sent twice");
    cluster.advance(Micros::from_millis(50));
    let commands = cluster.exchange_heartbeat("a");
    assert_eq!(starts(&commands), ["wk-000001/0"]);
    cluster.assert_nothing_runs_twice();
    assert_eq!(cluster.running_tasks(ARRAY).len(), 3);
}

/// A cluster in which the tasks of an array use up their team's quota of 6 processors, and in which the team
/// has just submitted a service of a higher priority.
fn service_of_a_team_at_its_quota() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(&["a", "b"]);
    cluster.submit(JobSpec { team: "tight".into(), ..array(2, 6) });
    cluster.run_until(ARRAY, 6, secs(10.0));
    cluster.run(secs(4.0));
    cluster.submit(JobSpec { team: "tight".into(), ..service(1, 2) });
    cluster.advance(Micros::from_millis(50));
    cluster
}

/// Guards against a service that waits behind tasks of lower priority of its own team.
#[test]
fn a_service_preempts_tasks_of_lower_priority_of_its_own_team_at_its_quota() {
    let mut cluster = service_of_a_team_at_its_quota();
    cluster.run_until(SERVICE, 2, HEARTBEAT_INTERVAL.scale(2.0) + STEP);
    assert_eq!(cluster.running_tasks(ARRAY).len(), 4);
}

/// Guards against a replica that waits for the heartbeats of the machines with the preempted tasks of its
/// team.
#[test]
fn preemptions_within_a_teams_quota_are_sent_by_direct_command() {
    let mut cluster = service_of_a_team_at_its_quota();
    assert_eq!(halts(&cluster.deliver_commands()).len(), 2);
}
