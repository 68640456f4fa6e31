//! Runs a simulation: jobs and faults first, then a time without faults in which all accepted work must end.

use std::ops::RangeInclusive;

use milletlock::time::Steady;
use rand::Rng;

use super::Simulation;
use crate::faults::Faults;

/// Steps after the last job's end within which all that is left of the jobs is removed.
const CLEANUP_STEPS: u32 = 10;
/// Steps without faults within which all jobs must end.
const STEPS_TO_FINISH: u32 = 4000;

/// Runs a simulation; returns how often its faults occurred.
fn simulate(seed: u64, faults: &Faults) -> u32 {
    let mut simulation = Simulation::new(seed, faults);
    let mut n = 0;
    for i in 0..faults.steps {
        // As many jobs in a short simulation as in a long one, so that there is more work than capacity.
        if i % (faults.steps / 40).min(40) == 0 && n < faults.jobs && !simulation.state_store_unavailable() {
            n += 1;
            simulation.submit(n);
        }
        if simulation.rng.random_bool(faults.cancel) && n > 0 {
            let id = format!("wk-{:06}", simulation.rng.random_range(1..=n));
            let now = simulation.now;
            simulation.request_cancellation(&id, now);
        }
        simulation.change_leader(i);
        simulation.step();
    }
    end_faults(&mut simulation);
    finish(&mut simulation, seed);
    // More than 50 of 24 jobs, and as many for each job of a simulation with fewer.
    assert!(simulation.starts * 24 > 50 * faults.jobs as usize, "seed {seed}: the simulation stood still");
    assert_eq!(
        simulation.open_jobs(),
        0,
        "seed {seed}: accepted work was left undone: {:?}",
        simulation.store.rows("job/")
    );
    // Chunks are removed after the ends of their jobs are written, with as many writes as that takes.
    for _ in 0..CLEANUP_STEPS {
        simulation.step();
    }
    assert!(
        simulation.store.rows("done/").is_empty(),
        "seed {seed}: chunks of jobs that are over are left behind"
    );
    simulation.faults_occurred
}

/// The faults are over: everything that was accepted gets done.
fn end_faults(simulation: &mut Simulation) {
    simulation.faulty = false;
    simulation.store_unavailable_until = Steady(0);
    for m in &mut simulation.workers {
        m.partitioned_until = Steady(0);
        m.replies_lost_until = Steady(0);
        m.heartbeats_lost_until = Steady(0);
        m.frozen_until = Steady(0);
        m.keeps_old_leader = false;
    }
    simulation.fail_over();
    let newest = simulation.leaders.len() - 1;
    simulation.leaders.drain(..newest);
}

/// Goes on until no job is open, or for long enough.
fn finish(simulation: &mut Simulation, seed: u64) {
    for i in 0..STEPS_TO_FINISH {
        simulation.step();
        if i % 4 == 0 {
            simulation.check_no_starvation(seed);
        }
        if simulation.open_jobs() == 0 {
            break;
        }
    }
}

/// Runs simulations, whose faults must have occurred often enough to say something.
pub fn simulate_all(seeds: RangeInclusive<u64>, least: u32, faults: &Faults) {
    let runs = seeds.clone().count() as u32;
    let faults_occurred: u32 = seeds.map(|s| simulate(s, faults)).sum();
    assert!(
        faults_occurred >= least * runs,
        "the faults occurred only {faults_occurred} times in {runs} simulations"
    );
}
