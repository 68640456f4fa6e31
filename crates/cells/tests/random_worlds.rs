//! Random simulations of the ledgers of two to four cells. Messages are lost, duplicated, reordered or
//! very late, leaders crash between any two steps, and transactions are applied late or have no answer.
//!
//! Each task must start in at most one cell and finish once. No task may start after its job's cancellation
//! is confirmed. Once the faults end, all jobs must end, and all loans must be closed.

mod world;

use world::{Faults, Simulation};

/// Counts over a number of simulations.
#[derive(Default)]
struct Totals {
    /// Number of tasks that finished at a borrower.
    finished_at_borrowers: usize,
    /// Number of jobs whose cancellation was confirmed.
    cancelled: usize,
}

/// Runs one simulation for each seed, with these faults for `steps` steps and then without faults.
fn run(faults: Faults, seeds: std::ops::Range<u64>, steps: u32) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let cells = 2 + (seed % 3) as usize;
        let mut simulation = Simulation::new(cells, seed, faults);
        for _ in 0..steps {
            simulation.step();
        }
        simulation.run_until_all_jobs_end();
        simulation.assert_each_finished_once();
        totals.finished_at_borrowers += simulation.finished_at_borrowers();
        totals.cancelled += simulation.cancelled();
    }
    totals
}

#[test]
fn without_faults_each_task_finishes_once() {
    let totals = run(Faults::NONE, 0..100, 50);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
}

#[test]
fn lost_duplicated_and_late_messages_start_no_task_twice() {
    let faults = Faults { lost: 300, duplicated: 300, crash: 0, unanswered: 0 };
    let totals = run(faults, 1000..1400, 120);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
}

#[test]
fn crashed_leaders_and_late_transactions_start_no_task_twice() {
    let faults = Faults { lost: 0, duplicated: 0, crash: 30, unanswered: 300 };
    let totals = run(faults, 2000..2400, 120);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
    assert!(totals.cancelled > 20, "jobs were cancelled");
}

#[test]
fn all_faults_together_start_no_task_twice_and_lose_none() {
    let faults = Faults { lost: 200, duplicated: 200, crash: 20, unanswered: 200 };
    let totals = run(faults, 3000..3800, 150);
    assert!(totals.finished_at_borrowers > 100, "tasks were lent");
    assert!(totals.cancelled > 20, "jobs were cancelled");
}
