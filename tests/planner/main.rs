//! Tests of the planner: comparison with a slow reference model that places one task at a time, and single
//! cases.

#[path = "../common/mod.rs"]
mod common;

mod generators;
mod incremental_backfill;
mod model;
mod model_agreement;
mod queue_order;
mod quotas;
mod reservations;
mod waiting_for_images;

use milletlock::sched::Start;
use proptest::test_runner::{Config, RngSeed};

/// The seed of all random cases.
const SEED: u64 = 11;

/// Proptest settings with the fixed seed and this number of cases for each test.
fn random_cases(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// The starts sorted by class, then by machine.
fn sorted_starts(starts: &[Start]) -> Vec<Start> {
    let mut sorted = starts.to_vec();
    sorted.sort_unstable_by_key(|start| (start.class, start.machine, start.count));
    sorted
}
