//! A leader that the state store refuses may have been replaced: the machines that it takes for idle may be
//! running another leader's tasks.

use std::sync::atomic::Ordering;

use crate::simulation::{lock, Simulation};

/// Idle machines are kept for no longer than this.
const IDLE_S: f64 = 90.0;

/// A simulation in which all work has ended, and the only machine is idle.
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

/// Seen on a day with a partitioned zone: the leader inside went on returning idle machines. The requests were
/// carried out when the partition ended, and took machines from the next leader with what ran on them.
#[test]
fn a_leader_that_may_have_been_replaced_returns_no_machine() {
    let mut simulation = with_an_idle_machine();
    // The worker and the leader are cut off from all others together.
    simulation.partitioned.store(true, Ordering::SeqCst);
    lock(&simulation.worker).commands_lost = true;
    simulation.refuse(&[0]);
    simulation.run_scaling(0, IDLE_S);
    assert_eq!(
        simulation.fencing_tokens()[..2],
        [Some(1), Some(2)],
        "two controllers take themselves for the leader"
    );
    assert!(lock(&simulation.returned).is_empty(), "{:?}", lock(&simulation.returned));
}

/// The machines that seem idle at the end of an outage are those whose work it ended.
#[test]
fn machines_are_not_returned_for_having_been_idle_in_an_outage_of_the_store() {
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
