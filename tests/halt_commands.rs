//! Halts by direct command to machines that send no heartbeat.

mod common;

use std::collections::BTreeSet;

use common::fleet_scenario::Scenario;
use common::spec;
use milletlock::time::Micros;

/// Behind a cut each machine is waited for in vain: with halts to hundreds of them sent in one go, those for
/// tasks in whose place others wait came minutes late.
#[test]
fn machines_whose_heartbeat_is_overdue_are_halted_few_at_a_time_and_all_in_turn() {
    let mut s = Scenario::new(20, false);
    s.submit(spec(1, 80, "batch"));
    (0..4).for_each(|_| s.step(&[]));
    let running: usize = s.machines.iter().map(|id| s.tasks(id).len()).sum();
    assert_eq!(running, 80);
    s.fleet.apply_job_removal("wk-000001", 1000);
    // Nobody sends heartbeats any more.
    s.now = s.now + Micros::from_secs(6.0);
    let mut halted = BTreeSet::new();
    for _ in 0..4 {
        s.now = s.now + Micros::from_millis(100);
        let commands = s.fleet.halt_commands(s.now);
        assert!(commands.len() <= 6, "{} at once", commands.len());
        halted.extend(commands.iter().map(|c| c.machine.clone()));
    }
    assert_eq!(halted.len(), 20);
    // All have had one: none is due again before the time of one and a half heartbeats.
    assert!(s.fleet.halt_commands(s.now).is_empty());
}
