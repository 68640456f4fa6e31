//! Helpers of tests in which a leader that keeps no copies of lent jobs' progress leads for a while.

use std::collections::BTreeSet;

use super::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS};

/// The version in the announcements of a controller before 0.2: those announcements have none.
pub const NO_VERSION: &str = "";

/// Maximum number of steps until a job that can end has ended.
pub const MAX_STEPS: usize = 200;

/// Runs a leader of this version, and completes all running tasks, until the job is done.
pub fn run_until_done(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    for _ in 0..MAX_STEPS {
        finish_and_step(world, leader, machine);
        if leader.stage() == "done" {
            return;
        }
    }
    panic!("the job is not done");
}

/// Runs a leader of this version until the job's live record is removed, and calls `check` after each step.
/// Then asserts that only the final record of the job is left.
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
    let remaining: Vec<&String> = store.keys.keys().filter(|key| key.contains(JOB)).collect();
    assert_eq!(remaining, [&format!("final/{JOB}")], "{context}");
}

/// Completes all running tasks of both cells, and reports them to the leader.
fn finish_and_step(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    machine.finish_all();
    let borrowed = world.borrower().tasks();
    world.borrower().done = borrowed;
    leader.lend();
    leader.step(machine);
}

/// Runs a leader of this version until the job is done; asserts that no task of `finished` starts again.
pub fn assert_none_starts_again(world: &World, machine: &mut Machine, finished: &BTreeSet<u32>) {
    run_until_done(world, &mut world.leader(), machine);
    let again: Vec<&u32> = finished.iter().filter(|task| machine.started[task] > 1).collect();
    assert!(again.is_empty(), "finished tasks {again:?} started again, of {finished:?}");
}

/// Elects a leader of an earlier version beside a follower of this version, which is returned. The machine
/// first sends its heartbeat to the follower; then the leader halts and forgets all tasks of the machine.
pub fn follower_with_reported_results<'a>(world: &'a World, machine: &mut Machine) -> Leader<'a> {
    let mut follower = world.follower();
    world.run_earlier_leader();
    follower.receive_leader_announcement(NO_VERSION);
    assert_ne!(follower.heartbeat(machine), 200, "a follower accepts no heartbeat");
    machine.discard_all_tasks();
    follower
}
