//! Runs a simulation: first jobs and faults, then a time without faults in which all accepted jobs must end.

use std::ops::RangeInclusive;

use milletlock::time::Steady;
use rand::Rng;

use super::Simulation;
use crate::faults::Faults;

/// Number of steps after the end of the last job within which all remaining records of the jobs must be
/// removed.
const CLEANUP_STEPS: u32 = 10;
/// Number of steps without faults within which all jobs must end.
const STEPS_TO_FINISH: u32 = 4000;

/// Runs one simulation; returns how often its faults have occurred.
fn simulate(seed: u64, faults: &Faults) -> u32 {
    let mut simulation = Simulation::new(seed, faults);
    let mut job_count = 0;
    for step in 0..faults.steps {
        // Jobs are submitted at shorter intervals in short simulations, so that there is always more work
        // than capacity.
        if step % (faults.steps / 40).min(40) == 0
            && job_count < faults.jobs
            && !simulation.state_store_unavailable()
        {
            job_count += 1;
            simulation.submit(job_count);
        }
        if simulation.rng.random_bool(faults.cancel) && job_count > 0 {
            let id = format!("wk-{:06}", simulation.rng.random_range(1..=job_count));
            let now = simulation.now;
            simulation.request_cancellation(&id, now);
        }
        simulation.change_leader(step);
        simulation.step();
    }
    end_faults(&mut simulation);
    finish(&mut simulation, seed);
    // There must be more than 50 task starts for 24 jobs, and in proportion for fewer jobs.
    assert!(simulation.starts * 24 > 50 * faults.jobs as usize, "seed {seed}: too few tasks were started");
    assert_eq!(
        simulation.open_jobs(),
        0,
        "seed {seed}: accepted jobs have not ended: {:?}",
        simulation.store.rows("job/")
    );
    // Chunks of done ranges are removed after the final records of their jobs are written, by several writes.
    for _ in 0..CLEANUP_STEPS {
        simulation.step();
    }
    assert!(
        simulation.store.rows("done/").is_empty(),
        "seed {seed}: chunks of done ranges of ended jobs were not removed"
    );
    simulation.faults_occurred
}

/// Ends all faults, and leaves only a new leader.
fn end_faults(simulation: &mut Simulation) {
    simulation.faulty = false;
    simulation.store_unavailable_until = Steady(0);
    for worker in &mut simulation.workers {
        worker.partitioned_until = Steady(0);
        worker.replies_lost_until = Steady(0);
        worker.heartbeats_lost_until = Steady(0);
        worker.frozen_until = Steady(0);
        worker.keeps_old_leader = false;
    }
    simulation.fail_over();
    let newest = simulation.leaders.len() - 1;
    simulation.leaders.drain(..newest);
}

/// Runs the simulation until all jobs have ended, for at most [`STEPS_TO_FINISH`] steps.
fn finish(simulation: &mut Simulation, seed: u64) {
    for step in 0..STEPS_TO_FINISH {
        simulation.step();
        if step % 4 == 0 {
            simulation.check_no_starvation(seed);
        }
        if simulation.open_jobs() == 0 {
            break;
        }
    }
}

/// Runs a simulation for each seed. The faults must have occurred at least `least` times per simulation on
/// average, so that the result is meaningful.
pub fn simulate_all(seeds: RangeInclusive<u64>, least: u32, faults: &Faults) {
    let runs = seeds.clone().count() as u32;
    let faults_occurred: u32 = seeds.map(|s| simulate(s, faults)).sum();
    assert!(
        faults_occurred >= least * runs,
        "the faults occurred only {faults_occurred} times in {runs} simulations"
    );
}
