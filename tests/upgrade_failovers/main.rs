//! Leaders of the version in production and of this one fail over to each other, at any point between two
//! transactions, while the limits of the state store fall. After every transaction a plain model checks that
//! no record that was written is lost.

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

/// Settings whose limits fall without notice.
fn falling_limits() -> Arc<Config> {
    config_with_falling_limits(4.0, 1.0)
}

/// Production's leader leaves values near its limit: machines, marks and done ranges.
fn simulation_with_full_values(seed: u64, cfg: Arc<Config>, announced: StoreLimits) -> Simulation {
    let mut simulation = Simulation::new(seed, cfg, announced);
    let (machines, jobs) = (simulation.rng.random_range(20..100), simulation.rng.random_range(50..300));
    (0..machines).for_each(|_| simulation.enroll_machine());
    (0..jobs).for_each(|_| simulation.submit_job());
    (0..jobs * 3).for_each(|_| simulation.raise_mark());
    (0..5).for_each(|_| simulation.finish_tasks());
    simulation.write_to_rest();
    simulation
}

/// Bytes of the largest value under a prefix.
fn largest(simulation: &Simulation, prefix: &str) -> usize {
    simulation.store.rows(prefix).iter().map(|r| r.value.to_string().len()).max().unwrap_or(0)
}

/// Guards against records that are in no value while a value above the coming limit is split, wherever
/// in the middle its leader ends, and whichever version leads then.
#[test]
fn large_values_are_split_with_every_record_in_some_value_at_any_moment() {
    for seed in 0..10 {
        for next in [Version::Production, Version::Current] {
            let mut simulation = simulation_with_full_values(seed, falling_limits(), SMALL);
            assert!(largest(&simulation, "machines/") > SMALL.value_bytes, "seed {seed}");
            // Each leader of this version ends a transaction later than the one before.
            for transactions in 0..10 {
                simulation.fail_over(Version::Current);
                for _ in 0..transactions {
                    simulation.raise_mark();
                    simulation.write_records(1);
                }
                simulation.crash();
                simulation.fail_over(next);
                let few = simulation.rng.random_range(0..3);
                simulation.raise_mark();
                simulation.enroll_machine();
                simulation.write_records(few);
            }
            simulation.limits = SMALL;
            simulation.finish();
            assert_eq!(simulation.rejected, 0);
        }
    }
}

/// How many random histories there are.
const SEEDS: u64 = 300;
/// Threads that run them.
const THREADS: usize = 4;

/// Steps of a random history.
const STEPS: i32 = 110;

/// How many values are above the small limit.
fn oversized(simulation: &Simulation) -> usize {
    let rows = ["machines/", "marks/", "done/"].iter().flat_map(|prefix| simulation.store.rows(prefix));
    rows.filter(|r| r.value.to_string().len() > SMALL.value_bytes).count()
}

/// One random history: leaders of both versions, then, after the limits fell, of this one alone.
fn run_history(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, falling_limits(), SMALL);
    simulation.lost_replies = 0.08;
    let steps = STEPS;
    let limits_fall_at = simulation.rng.random_range(50..steps - 20);
    for step in 0..steps {
        if step == limits_fall_at {
            simulation.crash();
            simulation.limits = SMALL;
            simulation.coverage.oversized = oversized(&simulation);
            simulation.fail_over(Version::Current);
        } else if simulation.chance(0.1) {
            simulation.crash();
            let current = step > limits_fall_at || simulation.chance(0.5);
            simulation.fail_over(if current { Version::Current } else { Version::Production });
        } else if simulation.chance(0.5) {
            let most = simulation.rng.random_range(1..5);
            simulation.write_records(most);
        } else {
            simulation.next_event();
        }
    }
    simulation.finish();
    assert_eq!(simulation.rejected, 0, "seed {seed}: a write was too large for the announced limits");
    simulation
}

/// Guards against any record lost between the versions, in whatever order their leaders come, end and
/// have transactions arrive late.
#[test]
fn nothing_is_lost_between_versions_whatever_the_order_of_leaders() {
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
    // The histories meet what they are for.
    assert!(coverage.machines > 5_000 && coverage.jobs > 1_000 && coverage.done > 20_000, "{coverage:?}");
    assert!(coverage.late > 500 && coverage.oversized > 100, "{coverage:?}");
}

/// Guards against values that stay too large, or records lost, when the limits fall below all that was
/// announced: values are halved until the state store takes them.
#[test]
fn rejected_values_are_halved_with_every_record_in_some_value_at_any_moment() {
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
        simulation.write_to_rest();
        assert!((1..=6).contains(&simulation.rejected), "seed {seed}: {} rejections", simulation.rejected);
        for prefix in ["machines/", "marks/"] {
            assert!(largest(&simulation, prefix) <= SMALL.value_bytes, "seed {seed}: {prefix}");
        }
        let SimulatedLeader::Current(fleet) = &mut simulation.leader else {
            panic!("the leader is of this version")
        };
        assert!(fleet.machines.values().all(|m| m.registered), "seed {seed}");
        assert!(fleet.max_value_bytes() <= SMALL.value_bytes && fleet.max_txn_changes() >= 4, "seed {seed}");
        assert!(fleet
            .pending_writes(simulation.now, Micros::ZERO, 64)
            .iter()
            .all(|p| !matches!(p, PendingWrite::Machines(_))));
    }
}
