//! Halts by direct command to machines that send no heartbeat.

mod common;

use std::collections::BTreeSet;

use common::fleet_scenario::Scenario;
use common::spec;
use milletlock::time::Micros;

/// Guards against a fault by which halts of preempted tasks were minutes late: a command to a partitioned
/// machine waits for its timeout, and halts were sent to hundreds of such machines at once.
#[test]
fn halts_are_sent_to_few_machines_with_overdue_heartbeats_at_a_time_and_to_all_in_turn() {
    let mut scenario = Scenario::new(20, false);
    scenario.submit(spec(1, 80, "batch"));
    (0..4).for_each(|_| scenario.step(&[]));
    let running: usize = scenario.machines.iter().map(|id| scenario.tasks(id).len()).sum();
    assert_eq!(running, 80);
    scenario.fleet.apply_job_removal("wk-000001", 1000);
    // No machine sends heartbeats any more.
    scenario.now = scenario.now + Micros::from_secs(6.0);
    let mut halted = BTreeSet::new();
    for _ in 0..4 {
        scenario.now = scenario.now + Micros::from_millis(100);
        let commands = scenario.fleet.halt_commands(scenario.now);
        assert!(commands.len() <= 6, "halts were sent to {} machines at once", commands.len());
        halted.extend(commands.iter().map(|command| command.machine.clone()));
    }
    assert_eq!(halted.len(), 20);
    // Halts were sent to all machines. None is due again before one and a half heartbeat intervals have
    // passed.
    assert!(scenario.fleet.halt_commands(scenario.now).is_empty());
}
