//! Replicas move from spot machines with an interruption notice to other machines.

use milletlock::wire::{ExitReason, JobSpec, Priority};

use crate::cluster::{
    array, halts, secs, service, starts, SimulatedCluster, ARRAY, HEARTBEAT_INTERVAL, SERVICE, STEP,
};

/// Adds a machine and fills it with tasks that have the services' priority and image.
fn fill_with_services_priority(cluster: &mut SimulatedCluster, machine: &str) {
    cluster.add_machine(machine, "north");
    cluster.submit(JobSpec { priority: Priority::Critical, ..array(2, 4) });
    cluster.run_until(ARRAY, 4, secs(20.0));
}

/// Guards against stopping a replica long before its machine is reclaimed although it cannot run elsewhere
/// yet.
#[test]
fn after_a_spot_notice_a_replica_moves_once_another_machine_has_capacity_and_its_image() {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 4));
    cluster.run_until(SERVICE, 4, secs(10.0));
    fill_with_services_priority(&mut cluster, "b");
    cluster.send_spot_notice("a", secs(60.0));
    cluster.run(secs(20.0));
    assert_eq!(cluster.machines_of(SERVICE).len(), 4, "stopped although no machine has capacity");
    cluster.add_machine("c", "north");
    cluster.run(secs(6.0));
    assert_eq!(cluster.machines_of(SERVICE), ["a", "a", "a", "a"], "stopped although c lacks the image");
    cluster.end_task("b", ARRAY, ExitReason::Done);
    cluster.exchange_heartbeat("b");
    cluster.advance(STEP);
    let direct = cluster.deliver_commands();
    assert!(!halts(&direct).is_empty(), "not halted by direct command");
    let commands = cluster.exchange_heartbeat("a");
    assert!(starts(&commands).is_empty(), "started on the machine that is about to be reclaimed");
    let again = cluster.run_until(SERVICE, 4, secs(20.0));
    assert!(again <= HEARTBEAT_INTERVAL.scale(2.0), "{again:?}");
    assert!(cluster.machines_of(SERVICE).contains(&"b".to_string()));
}

/// Guards against a replica that is lost with its machine without having been halted before.
#[test]
fn shortly_before_a_spot_machine_is_reclaimed_replicas_are_halted_without_a_replacement() {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 1));
    cluster.run_until(SERVICE, 1, secs(10.0));
    let noticed = cluster.now;
    cluster.send_spot_notice("a", secs(30.0));
    while cluster.machines_of(SERVICE) == ["a"] {
        cluster.step();
        assert!(cluster.now - noticed < secs(30.0), "never halted");
    }
    let left = secs(30.0) - (cluster.now - noticed);
    assert!(left > secs(3.0) && left < secs(6.0), "halted with {left:?} left");
    cluster.remove_machine("a");
    cluster.add_machine("b", "north");
    cluster.run_until(SERVICE, 1, secs(10.0));
}

/// Guards against stopping all replicas on a machine with a notice when other machines have capacity for
/// only one.
#[test]
fn after_a_spot_notice_no_more_replicas_move_than_other_machines_have_capacity_for() {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 4));
    cluster.run_until(SERVICE, 4, secs(10.0));
    fill_with_services_priority(&mut cluster, "b");
    cluster.send_spot_notice("a", secs(60.0));
    cluster.run(secs(4.0));
    cluster.end_task("b", ARRAY, ExitReason::Done);
    cluster.exchange_heartbeat("b");
    cluster.advance(STEP);
    let direct = cluster.deliver_commands();
    assert_eq!(halts(&direct).len(), 1);
}
