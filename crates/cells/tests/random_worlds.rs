//! Random worlds over the ledgers: two to four cells, messages lost, duplicated, reordered and very late,
//! leaders that crash between any two steps, transactions applied late or without an answer. Each task
//! starts in one cell at most and finishes once, a confirmed cancellation starts nothing, and nothing is
//! left or forgotten once the faults end.

mod world;

use world::{Faults, World};

/// What a number of worlds did altogether.
#[derive(Default)]
struct Totals {
    /// Tasks that finished at a borrower.
    finished_at_borrowers: usize,
    /// Jobs that were cancelled.
    cancelled: usize,
}

/// Runs one world for each seed, with these faults for so many steps.
fn run(faults: Faults, seeds: std::ops::Range<u64>, steps: u32) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let cells = 2 + (seed % 3) as usize;
        let mut world = World::new(cells, seed, faults);
        for _ in 0..steps {
            world.step();
        }
        world.run_to_rest();
        world.assert_tally();
        totals.finished_at_borrowers += world.finished_at_borrowers();
        totals.cancelled += world.cancelled();
    }
    totals
}

#[test]
fn a_calm_world_finishes_each_task_once() {
    let totals = run(Faults::NONE, 0..100, 50);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
}

#[test]
fn lost_duplicated_and_late_messages_start_nothing_twice() {
    let faults = Faults { lost: 300, duplicated: 300, crash: 0, unanswered: 0 };
    let totals = run(faults, 1000..1400, 120);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
}

#[test]
fn leaders_that_crash_and_transactions_applied_late_start_nothing_twice() {
    let faults = Faults { lost: 0, duplicated: 0, crash: 30, unanswered: 300 };
    let totals = run(faults, 2000..2400, 120);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
    assert!(totals.cancelled > 20, "jobs were cancelled");
}

#[test]
fn all_faults_together_start_nothing_twice_and_forget_nothing() {
    let faults = Faults { lost: 200, duplicated: 200, crash: 20, unanswered: 200 };
    let totals = run(faults, 3000..3800, 150);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
    assert!(totals.cancelled > 20, "jobs were cancelled");
}
