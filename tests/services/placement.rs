//! Where and when waiting replicas start.

use milletlock::time::Micros;
use milletlock::wire::ExitReason;

use crate::cluster::{array, secs, service, starts, SimulatedCluster, ARRAY, SERVICE, STEP};

/// A cluster of two machines, with a service whose replicas the plan places first on `a`, which is due to
/// send the next heartbeat.
fn planned_on_a(replicas: u32) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(&["a", "b"]);
    cluster.advance(secs(1.0));
    cluster.exchange_heartbeat("b");
    cluster.advance(Micros::from_millis(100));
    cluster.submit(service(1, replicas));
    cluster.advance(Micros::from_millis(100));
    cluster
}

/// Guards against a replica that waits for the heartbeat of the planned machine although another machine
/// sends one sooner.
#[test]
fn a_waiting_replica_starts_on_a_machine_that_reports_before_the_planned_machine() {
    let mut cluster = planned_on_a(1);
    cluster.advance(Micros::from_millis(300));
    assert_eq!(starts(&cluster.exchange_heartbeat("b")), ["wk-000001/0"]);
    cluster.advance(Micros::from_millis(100));
    assert!(cluster.exchange_heartbeat("a").is_empty(), "the replica was started twice");
}

/// Guards against two replicas on one machine while another machine has capacity.
#[test]
fn a_replica_does_not_start_sooner_on_a_machine_with_a_replica_of_the_same_service() {
    let mut cluster = planned_on_a(2);
    cluster.advance(Micros::from_millis(300));
    assert_eq!(starts(&cluster.exchange_heartbeat("b")).len(), 1);
    cluster.advance(Micros::from_millis(300));
    assert!(starts(&cluster.exchange_heartbeat("b")).is_empty());
    cluster.advance(Micros::from_millis(300));
    assert_eq!(starts(&cluster.exchange_heartbeat("a")).len(), 1);
}

/// Guards against a second replica on a machine that sends another heartbeat before the next plan. Workers
/// send one as soon as a start has reached them.
#[test]
fn a_machine_that_reports_twice_before_the_next_plan_gets_only_one_replica() {
    let mut cluster = SimulatedCluster::new(&["a", "b"]);
    cluster.submit(service(1, 2));
    cluster.advance(STEP);
    assert_eq!(starts(&cluster.exchange_heartbeat("a")).len(), 1);
    cluster.now = cluster.now + Micros::from_millis(5);
    assert!(starts(&cluster.exchange_heartbeat("a")).is_empty(), "both replicas on one machine");
    cluster.advance(STEP);
    assert_eq!(starts(&cluster.exchange_heartbeat("b")).len(), 1);
}

/// Guards against a service that has most replicas in one zone because running replicas are not counted when
/// machines for further replicas are chosen.
#[test]
fn running_replicas_count_when_zones_for_further_replicas_are_chosen() {
    let north = ["n1", "n2", "n3", "n4"];
    let south = ["s1", "s2", "s3", "s4"];
    let mut cluster = SimulatedCluster::new(&north);
    for machine in south {
        cluster.add_machine(machine, "south");
    }
    cluster.submit(service(1, 4));
    cluster.advance(STEP);
    for machine in north.iter().chain(&south) {
        cluster.exchange_heartbeat(machine);
        cluster.advance(Micros::from_millis(30));
    }
    let in_south = cluster.machines_of(SERVICE).iter().filter(|machine| machine.starts_with('s')).count();
    assert_eq!(
        (cluster.running_tasks(SERVICE).len(), in_south),
        (4, 2),
        "{:?}",
        cluster.machines_of(SERVICE)
    );
}

/// Guards against starts that wait for the next heartbeat of an idle machine, and against deferred replies
/// that delay commands for other tasks.
#[test]
fn a_reply_is_deferred_only_for_a_machine_with_nothing_but_running_replicas() {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 1));
    cluster.run_until(SERVICE, 1, secs(10.0));
    assert!(!cluster.fleet.may_defer_reply("a", cluster.now), "the start has just been sent");
    cluster.advance(STEP);
    cluster.exchange_heartbeat("a");
    assert!(cluster.fleet.may_defer_reply("a", cluster.now));
    cluster.submit(array(2, 1));
    cluster.run_until(ARRAY, 1, secs(10.0));
    cluster.run(secs(4.0));
    assert!(!cluster.fleet.may_defer_reply("a", cluster.now), "a task of an array is on the machine");
    cluster.end_task("a", ARRAY, ExitReason::Done);
    cluster.run(secs(4.0));
    assert!(cluster.fleet.may_defer_reply("a", cluster.now));
    cluster.send_spot_notice("a", secs(60.0));
    cluster.exchange_heartbeat("a");
    assert!(!cluster.fleet.may_defer_reply("a", cluster.now), "the machine is about to be reclaimed");
}
