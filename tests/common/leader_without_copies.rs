//! What happens to a lent job when a leader that keeps no copies of its progress leads for a while.

use std::collections::BTreeSet;

use super::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS};

/// What a version before 0.2 says of itself.
pub const NO_VERSION: &str = "";

/// Steps within which a job that can end has ended.
pub const MAX_STEPS: usize = 200;

/// A leader of this version plays on until the job is done.
pub fn run_until_done(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    for _ in 0..MAX_STEPS {
        finish_and_step(world, leader, machine);
        if leader.stage() == "done" {
            return;
        }
    }
    panic!("the job is not done");
}

/// A leader of this version plays on until the job has no record any more; `check` is called after each step.
/// Nothing but the final record is left of the job.
pub fn run_until_ended(
    world: &World,
    leader: &mut Leader<'_>,
    machine: &mut Machine,
    context: &str,
    check: impl Fn(&World),
) {
    world.borrower().is_cut_off = false;
    for _ in 0..MAX_STEPS {
        finish_and_step(world, leader, machine);
        check(world);
        if world.store().row(&format!("job/{JOB}")).is_none() {
            break;
        }
    }
    leader.steps(machine, 2 * SETTLE_STEPS);
    let store = world.store();
    let left: Vec<&String> = store.keys.keys().filter(|key| key.contains(JOB)).collect();
    assert_eq!(left, [&format!("final/{JOB}")], "{context}");
}

/// All that runs in either cell ends, and the leader hears of it.
fn finish_and_step(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    machine.finish_all();
    let held = world.borrower().tasks();
    world.borrower().done = held;
    leader.lend();
    leader.step(machine);
}

/// Plays on until the job is done; asserts that none of the tasks that had finished starts again.
pub fn assert_none_starts_again(world: &World, machine: &mut Machine, finished: &BTreeSet<u32>) {
    run_until_done(world, &mut world.leader(), machine);
    let again: Vec<&u32> = finished.iter().filter(|task| machine.started[task] > 1).collect();
    assert!(again.is_empty(), "of {finished:?} started again: {again:?}");
}

/// An earlier version takes the lead, the machine reports to a follower of this version first, and then has all its
/// tasks halted and forgotten by that leader.
pub fn follower_with_reported_results<'a>(world: &'a World, machine: &mut Machine) -> Leader<'a> {
    let mut follower = world.follower();
    world.run_earlier_leader();
    follower.receive_leader_announcement(NO_VERSION);
    assert_ne!(follower.heartbeat(machine), 200, "a follower accepts no heartbeat");
    machine.discard_all_tasks();
    follower
}
