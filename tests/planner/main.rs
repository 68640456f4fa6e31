//! The planner: compared with a slow plain model that works task by task, and by single cases.

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

/// Random cases from the fixed seed, so many for each test.
fn random_cases(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// Starts by class and then by machine.
fn sorted_starts(starts: &[Start]) -> Vec<Start> {
    let mut sorted = starts.to_vec();
    sorted.sort_unstable_by_key(|start| (start.class, start.machine, start.count));
    sorted
}
