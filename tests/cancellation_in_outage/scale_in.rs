//! Scaling in while a leader has no contact with the state store. The leader may have been replaced, and
//! machines that it considers idle may run tasks of the next leader.

use std::sync::atomic::Ordering;

use crate::simulation::{lock, Simulation};

/// Idle machines are returned to the cloud within this time, in seconds.
const IDLE_S: f64 = 90.0;

/// A simulation in which all tasks have ended and the only machine is idle.
fn with_an_idle_machine() -> Simulation {
    let mut simulation = Simulation::new();
    simulation.cancel(0);
    simulation.run_until("its tasks are gone", |s| lock(&s.worker).placed(1) == 0);
    simulation
}

#[test]
fn a_leader_in_contact_with_the_store_returns_idle_machines() {
    let mut simulation = with_an_idle_machine();
    simulation.run_scaling(0, IDLE_S);
    assert_eq!(*lock(&simulation.returned), ["i-000001"]);
}

/// Guards against a fault that was seen when a zone was partitioned: the leader in the zone continued to
/// return idle machines. The cloud executed the requests when the partition ended, and ended machines on
/// which tasks of the next leader were running.
#[test]
fn a_leader_that_may_have_been_replaced_returns_no_machine() {
    let mut simulation = with_an_idle_machine();
    // The leader and the worker can reach each other, but neither the state store nor the other controllers.
    simulation.partitioned.store(true, Ordering::SeqCst);
    lock(&simulation.worker).commands_lost = true;
    simulation.refuse(&[0]);
    simulation.run_scaling(0, IDLE_S);
    assert_eq!(
        simulation.fencing_tokens()[..2],
        [Some(1), Some(2)],
        "two controllers must believe that they lead"
    );
    assert!(lock(&simulation.returned).is_empty(), "{:?}", lock(&simulation.returned));
}

/// After an outage of the state store, machines seem idle because the outage ended their tasks.
#[test]
fn machines_that_were_idle_during_an_outage_of_the_store_are_not_returned() {
    let mut simulation = with_an_idle_machine();
    lock(&simulation.store).unavailable = true;
    simulation.run_scaling(0, IDLE_S);
    assert!(lock(&simulation.returned).is_empty(), "{:?}", lock(&simulation.returned));
    let now = simulation.now();
    lock(&simulation.store).end_outage(now);
    simulation.run(5.0);
    assert_eq!(simulation.call(2, "POST", "/api/jobs", &new_job()).0, 201);
    simulation.run_until("new work runs", |s| lock(&s.worker).placed(2) == 2);
}

fn new_job() -> String {
    serde_json::json!(crate::common::spec(2, 2, "batch")).to_string()
}
