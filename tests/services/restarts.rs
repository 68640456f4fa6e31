//! Replicas that end or are lost are started again, and never run on two machines.

use milletlock::wire::{ExitReason, WorkerCommand};

use crate::cluster::{
    cluster_with_a_replica_on_a, secs, service, starts, InjectedFailure, SimulatedCluster,
    HEARTBEAT_INTERVAL, LEASE, SERVICE, STEP,
};

/// Guards against exit reasons after which a replica counts as done or is not started again.
#[test]
fn a_replica_that_exits_for_any_reason_runs_again_on_another_machine() {
    for reason in [ExitReason::Done, ExitReason::Error, ExitReason::UnknownTask, ExitReason::Other] {
        let mut cluster = cluster_with_a_replica_on_a();
        cluster.end_task("a", SERVICE, reason);
        let commands = cluster.exchange_heartbeat("a");
        assert!(matches!(commands.first(), Some(WorkerCommand::Forget { .. })), "{reason:?}: {commands:?}");
        assert!(starts(&commands).is_empty(), "{reason:?}: started on the machine where it ended");
        cluster.run_until(SERVICE, 1, secs(6.0));
        assert_eq!(cluster.machines_of(SERVICE), ["b"], "{reason:?}");
        cluster.run(secs(30.0));
        assert_eq!(
            cluster.fleet.progress(SERVICE).map(|progress| (progress.done, progress.running)),
            Some((0, 1)),
            "{reason:?}"
        );
        assert!(!cluster.fleet.jobs[SERVICE].is_complete(), "{reason:?}");
        assert_eq!(
            cluster.fleet.history.dirty_buckets().count(),
            0,
            "{reason:?}: recorded in the history of run times"
        );
    }
}

/// Guards against a replica that is not started again because its own machine is the only one.
#[test]
fn a_replica_runs_again_on_the_same_machine_if_there_is_no_other() {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 1));
    cluster.run_until(SERVICE, 1, secs(10.0));
    cluster.end_task("a", SERVICE, ExitReason::Done);
    cluster.exchange_heartbeat("a");
    cluster.run_until(SERVICE, 1, secs(10.0));
    assert_eq!(cluster.machines_of(SERVICE), ["a"]);
}

/// Guards against a replica that is not started again after its machine is removed or the machine's lease
/// expires.
#[test]
fn a_replica_runs_again_when_its_machine_is_lost() {
    let mut removed = cluster_with_a_replica_on_a();
    removed.remove_machine("a");
    assert!(removed.run_until(SERVICE, 1, secs(10.0)) <= HEARTBEAT_INTERVAL + STEP);
    assert_eq!(removed.machines_of(SERVICE), ["b"]);

    let mut restarted = cluster_with_a_replica_on_a();
    restarted.partition("a", secs(60.0));
    restarted.run(secs(30.0));
    assert_eq!(restarted.machines_of(SERVICE), ["b"]);
    restarted.run(secs(60.0));
    assert_eq!(restarted.machines_of(SERVICE), ["b"]);
}

/// Guards against a refused or lost start that counts as a running replica.
#[test]
fn a_start_that_is_refused_or_lost_is_repeated() {
    for reason in [ExitReason::NoRoom, ExitReason::AttemptInUse, ExitReason::UnknownTask, ExitReason::Stopped]
    {
        let mut cluster = SimulatedCluster::new(&["a", "b"]);
        cluster.failures = vec![InjectedFailure { machine: Some("a"), job: SERVICE, reason }];
        cluster.submit(service(1, 1));
        cluster.run(secs(2.0));
        cluster.failures.clear();
        cluster.run_until(SERVICE, 1, secs(15.0));
    }
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 1));
    cluster.advance(STEP);
    let lost = cluster.send_heartbeat("a").expect("a reply");
    assert_eq!(starts(&lost), ["wk-000001/0"]);
    cluster.run_until(SERVICE, 1, secs(10.0));
}

/// Guards against starting a replica again while it still runs on a partitioned machine.
#[test]
fn a_replica_on_a_partitioned_machine_starts_elsewhere_only_after_the_lease() {
    let mut cluster = cluster_with_a_replica_on_a();
    cluster.exchange_heartbeat("a");
    let last_reply = cluster.now;
    cluster.partition("a", secs(1000.0));
    let before = cluster.started.len();
    while cluster.started.len() == before {
        cluster.step();
        assert!(cluster.now - last_reply < secs(30.0), "not started again");
    }
    let start = &cluster.started[before];
    assert_eq!(start.machine, "b");
    assert!(start.at - last_reply > LEASE.scale(1.001), "started after {:?}", start.at - last_reply);

    // A leader that may have been replaced meanwhile does not count the lease as expired.
    let mut unconfirmed = cluster_with_a_replica_on_a();
    unconfirmed.exchange_heartbeat("a");
    for second in 1..60u32 {
        unconfirmed.now = unconfirmed.now + secs(1.0);
        unconfirmed.fleet.tick(unconfirmed.now, unconfirmed.wall());
        assert!(unconfirmed.exchange_heartbeat("b").is_empty(), "after {second} s");
    }

    // Once the cloud has confirmed the machine's removal, the replica starts before the end of the lease.
    let mut removed = cluster_with_a_replica_on_a();
    removed.exchange_heartbeat("a");
    removed.advance(secs(3.0));
    assert!(removed.exchange_heartbeat("b").is_empty());
    removed.remove_machine("a");
    removed.advance(STEP);
    assert_eq!(starts(&removed.exchange_heartbeat("b")), ["wk-000001/0"]);
}
