//! Backoff of services whose replicas fail. Such a service is still retried, and other jobs still run.

use milletlock::time::{Micros, Steady};
use milletlock::wire::ExitReason;

use crate::cluster::{array, secs, service, InjectedFailure, SimulatedCluster, ARRAY, SERVICE};
use crate::common::worker::job_of;

/// Guards against a faulty service that takes capacity from other jobs again and again, or is never started
/// again.
#[test]
fn a_service_that_fails_on_all_machines_is_retried_once_a_minute() {
    let mut cluster = SimulatedCluster::new(&["a", "b", "c", "d"]);
    cluster.failures = vec![InjectedFailure { machine: None, job: SERVICE, reason: ExitReason::Error }];
    cluster.submit(array(2, 16));
    cluster.run_until(ARRAY, 16, secs(30.0));
    cluster.submit(service(1, 1));
    cluster.run(secs(200.0));
    let mut steps_with_full_array = 0;
    let before = cluster.started.len();
    for _ in 0..600 {
        cluster.step();
        steps_with_full_array += usize::from(cluster.running_tasks(ARRAY).len() == 16);
    }
    let starts: Vec<Steady> = cluster.started[before..]
        .iter()
        .filter(|start| job_of(&start.task) == SERVICE)
        .map(|start| start.at)
        .collect();
    assert!((4..=5).contains(&starts.len()), "{} starts within 300 s", starts.len());
    let gaps: Vec<Micros> = starts.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap >= secs(60.0) && *gap <= secs(70.0)), "{gaps:?}");
    assert!(
        steps_with_full_array >= 480,
        "all tasks of the array ran in only {steps_with_full_array} of 600 steps"
    );
    assert!(
        cluster.fleet.machines_to_scale_in().is_empty(),
        "failures of a single service do not show that a machine is faulty"
    );
}

/// Guards against backing off a service whose replicas end occasionally after running well.
#[test]
fn a_service_whose_replicas_end_after_a_long_run_is_not_backed_off() {
    let mut cluster = SimulatedCluster::new(&["a", "b"]);
    cluster.submit(service(1, 1));
    for _ in 0..8 {
        cluster.run_until(SERVICE, 1, secs(6.0));
        cluster.run(secs(40.0));
        let machine = cluster.machines_of(SERVICE)[0].clone();
        cluster.end_task(&machine, SERVICE, ExitReason::Done);
        cluster.exchange_heartbeat(&machine);
    }
}

/// Guards against a faulty machine that prevents the whole service from running.
#[test]
fn one_faulty_machine_does_not_delay_replicas_on_other_machines() {
    let mut cluster = SimulatedCluster::new(&["a", "b", "c", "d"]);
    cluster.failures = vec![InjectedFailure { machine: Some("a"), job: SERVICE, reason: ExitReason::Error }];
    cluster.submit(service(1, 3));
    cluster.run_until(SERVICE, 3, secs(8.0));
    assert_eq!(cluster.machines_of(SERVICE), ["b", "c", "d"]);
    cluster.run(secs(40.0));
    cluster.remove_machine("b");
    cluster.run_until(SERVICE, 3, secs(12.0));
    let on_a = cluster.started.iter().filter(|start| start.machine == "a").count();
    assert!(on_a <= 2, "{on_a} starts on the faulty machine");
}

/// Guards against counting failed starts without limit: after some days every lost replica of a service would
/// wait a minute before it starts again.
#[test]
fn failures_that_are_far_apart_do_not_add_up() {
    let mut cluster = SimulatedCluster::new(&["a", "b", "c"]);
    cluster.submit(service(1, 2));
    cluster.run_until(SERVICE, 2, secs(10.0));
    let mut waits = Vec::new();
    for _ in 0..8 {
        cluster.run(secs(600.0));
        // A replica is stopped, fails once when it starts again, and then runs well.
        let machine = cluster.machines_of(SERVICE)[0].clone();
        cluster.failures = vec![InjectedFailure { machine: None, job: SERVICE, reason: ExitReason::Error }];
        let before = cluster.started.len();
        cluster.end_task(&machine, SERVICE, ExitReason::Stopped);
        while cluster.started.len() == before {
            cluster.step();
        }
        cluster.failures.clear();
        waits.push(cluster.run_until(SERVICE, 2, secs(90.0)));
    }
    assert!(waits.iter().all(|wait| *wait < secs(10.0)), "{waits:?}");
}
