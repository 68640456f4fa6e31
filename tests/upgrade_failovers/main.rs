//! Simulated failovers between leaders of the version in production and of this version, at any point between
//! two transactions, while the limits of the state store are reduced. After every transaction, a model
//! asserts that no stored record is lost.

#[path = "../common/mod.rs"]
mod common;
mod coverage;
mod model;
mod simulation;

use std::collections::BTreeSet;
use std::ops::Add;
use std::sync::Arc;

use coverage::Coverage;
use milletlock::config::Config;
use milletlock::fleet::PendingWrite;
use milletlock::time::Micros;
use rand::Rng;
use simulation::{SimulatedLeader, Simulation, StoreLimits, Version, LARGE, SMALL};

use crate::common::{config, config_with_falling_limits};

/// Settings in which reduced limits of the state store are announced, without the time of the change.
fn falling_limits() -> Arc<Config> {
    config_with_falling_limits(4.0, 1.0)
}

/// A simulation in which a leader of the version in production has stored many machines, start marks and done
/// ranges, so that values are nearly as large as the limit allows.
fn simulation_with_full_values(seed: u64, cfg: Arc<Config>, announced: StoreLimits) -> Simulation {
    let mut simulation = Simulation::new(seed, cfg, announced);
    let (machines, jobs) = (simulation.rng.random_range(20..100), simulation.rng.random_range(50..300));
    (0..machines).for_each(|_| simulation.enroll_machine());
    (0..jobs).for_each(|_| simulation.submit_job());
    (0..jobs * 3).for_each(|_| simulation.raise_mark());
    (0..5).for_each(|_| simulation.finish_tasks());
    simulation.write_all();
    simulation
}

/// Size in bytes of the largest value under a prefix.
fn largest_value(simulation: &Simulation, prefix: &str) -> usize {
    simulation.store.rows(prefix).iter().map(|r| r.value.to_string().len()).max().unwrap_or(0)
}

/// Guards against records that are missing while a value above the announced limit is split, if the leader
/// crashes between the transactions of the split and a leader of either version follows.
#[test]
fn every_record_stays_stored_while_large_values_are_split() {
    for seed in 0..10 {
        for next in [Version::Production, Version::Current] {
            let mut simulation = simulation_with_full_values(seed, falling_limits(), SMALL);
            assert!(largest_value(&simulation, "machines/") > SMALL.value_bytes, "seed {seed}");
            // Each leader of this version crashes one transaction later than the previous one.
            for transactions in 0..10 {
                simulation.fail_over(Version::Current);
                for _ in 0..transactions {
                    simulation.raise_mark();
                    simulation.write_records(1);
                }
                simulation.crash();
                simulation.fail_over(next);
                let count = simulation.rng.random_range(0..3);
                simulation.raise_mark();
                simulation.enroll_machine();
                simulation.write_records(count);
            }
            simulation.limits = SMALL;
            simulation.finish();
            assert_eq!(simulation.rejected, 0);
        }
    }
}

/// Number of random histories.
const SEEDS: u64 = 300;
/// Number of threads that run the histories.
const THREADS: usize = 4;

/// Number of steps of a random history.
const STEPS: i32 = 110;

/// Number of values that are larger than the `SMALL` limit.
fn count_oversized(simulation: &Simulation) -> usize {
    let rows = ["machines/", "marks/", "done/"].iter().flat_map(|prefix| simulation.store.rows(prefix));
    rows.filter(|r| r.value.to_string().len() > SMALL.value_bytes).count()
}

/// Runs a random history: leaders of both versions and, once the limits are reduced, only leaders of this
/// version.
fn run_history(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, falling_limits(), SMALL);
    simulation.lost_replies = 0.08;
    let steps = STEPS;
    let limits_fall_at = simulation.rng.random_range(50..steps - 20);
    for step in 0..steps {
        if step == limits_fall_at {
            simulation.crash();
            simulation.limits = SMALL;
            simulation.coverage.oversized = count_oversized(&simulation);
            simulation.fail_over(Version::Current);
        } else if simulation.chance(0.1) {
            simulation.crash();
            let current = step > limits_fall_at || simulation.chance(0.5);
            simulation.fail_over(if current { Version::Current } else { Version::Production });
        } else if simulation.chance(0.5) {
            let max_txns = simulation.rng.random_range(1..5);
            simulation.write_records(max_txns);
        } else {
            simulation.next_event();
        }
    }
    simulation.finish();
    assert_eq!(simulation.rejected, 0, "seed {seed}: a write was too large for the announced limits");
    simulation
}

/// Guards against lost records in random sequences of leaders of both versions, with crashes and late
/// transactions.
#[test]
fn no_record_is_lost_in_random_failovers_between_the_versions() {
    let coverage = |seed: u64| {
        let simulation = run_history(seed);
        Coverage {
            machines: simulation.model.enrolled.len(),
            jobs: simulation.model.marks.len(),
            done: simulation.model.done.values().map(BTreeSet::len).sum(),
            ..simulation.coverage
        }
    };
    let run_histories =
        |first: u64| (first..SEEDS).step_by(THREADS).map(coverage).fold(Coverage::default(), Coverage::add);
    let coverage = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS as u64).map(|first| scope.spawn(move || run_histories(first))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("all seeds pass"))
            .fold(Coverage::default(), Coverage::add)
    });
    // The histories cover enough of the cases that they are to test.
    assert!(coverage.machines > 5_000 && coverage.jobs > 1_000 && coverage.done > 20_000, "{coverage:?}");
    assert!(coverage.late > 500 && coverage.oversized > 100, "{coverage:?}");
}

/// Guards against values that remain too large, and against lost records, if the limits are reduced below the
/// announced ones. The leader then halves its limits until the state store accepts the values.
#[test]
fn every_record_stays_stored_while_rejected_values_are_halved() {
    for seed in 0..20 {
        let mut simulation = simulation_with_full_values(seed, config(), LARGE);
        simulation.fail_over(Version::Current);
        (0..40).for_each(|_| simulation.enroll_machine());
        (0..20).for_each(|_| simulation.raise_mark());
        simulation.write_records(1);
        simulation.limits = SMALL;
        (0..40).for_each(|_| simulation.enroll_machine());
        (0..20).for_each(|_| simulation.raise_mark());
        (0..5).for_each(|_| simulation.finish_tasks());
        simulation.write_all();
        assert!((1..=6).contains(&simulation.rejected), "seed {seed}: {} rejections", simulation.rejected);
        for prefix in ["machines/", "marks/"] {
            assert!(largest_value(&simulation, prefix) <= SMALL.value_bytes, "seed {seed}: {prefix}");
        }
        let SimulatedLeader::Current(fleet) = &mut simulation.leader else {
            panic!("expected a leader of this version")
        };
        assert!(fleet.machines.values().all(|m| m.registered), "seed {seed}");
        assert!(fleet.max_value_bytes() <= SMALL.value_bytes && fleet.max_txn_changes() >= 4, "seed {seed}");
        assert!(fleet
            .pending_writes(simulation.now, Micros::ZERO, 64)
            .iter()
            .all(|p| !matches!(p, PendingWrite::Machines(_))));
    }
}
