//! Random worlds over the ledgers: two to four cells, messages lost, doubled, reordered and very late,
//! owners that crash between any two steps, transactions applied late or without an answer. Each task
//! starts in one cell at most and finishes once, a confirmed cancellation starts nothing, and nothing is
//! left or forgotten once the troubles end.

mod common;

use common::{Troubles, World};

/// Runs worlds with these troubles; returns how many tasks finished away from home, and how many jobs
/// were cancelled.
fn run(troubles: Troubles, seeds: std::ops::Range<u64>, steps: u32) -> (usize, usize) {
    let (mut abroad, mut cancelled) = (0, 0);
    for seed in seeds {
        let cells = 2 + (seed % 3) as usize;
        let mut world = World::new(cells, seed, troubles);
        for _ in 0..steps {
            world.step();
        }
        world.settle();
        world.assert_tally();
        abroad += world.finished_abroad();
        cancelled += world.cancelled();
    }
    (abroad, cancelled)
}

#[test]
fn a_calm_world_finishes_each_task_once() {
    let (abroad, _) = run(Troubles::NONE, 0..100, 50);
    assert!(abroad > 100, "tasks were lent");
}

#[test]
fn lost_doubled_and_late_messages_start_nothing_twice() {
    let troubles = Troubles { lost: 300, doubled: 300, crash: 0, unanswered: 0 };
    let (abroad, _) = run(troubles, 1000..1400, 120);
    assert!(abroad > 100, "tasks were lent");
}

#[test]
fn owners_that_crash_and_transactions_applied_late_start_nothing_twice() {
    let troubles = Troubles { lost: 0, doubled: 0, crash: 30, unanswered: 300 };
    let (abroad, cancelled) = run(troubles, 2000..2400, 120);
    assert!(abroad > 100, "tasks were lent");
    assert!(cancelled > 20, "jobs were cancelled");
}

#[test]
fn all_troubles_together_start_nothing_twice_and_forget_nothing() {
    let troubles = Troubles { lost: 200, doubled: 200, crash: 20, unanswered: 200 };
    let (abroad, cancelled) = run(troubles, 3000..3800, 150);
    assert!(abroad > 100, "tasks were lent");
    assert!(cancelled > 20, "jobs were cancelled");
}
