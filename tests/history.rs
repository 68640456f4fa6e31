//! Tests of the factor by which run-time estimates are adjusted, compared with a reference model.

use milletlock::history::{EstimateKey, History};
use milletlock::time::{Micros, Wall};
use proptest::prelude::*;

/// A day in microseconds.
const DAY: i64 = 86_400_000_000;

/// The key of a team and a stated run time in seconds.
fn key(team: &str, stated: i64) -> EstimateKey {
    EstimateKey { team: team.into(), stated: Micros::from_secs(stated as f64) }
}

/// The factor of the last `max_jobs` jobs at the time `now`, by counting: the smallest ratio that at least
/// 85% of the jobs do not exceed. Jobs are given as the day on which they ended and their ratio.
fn model_factor(past: &[(i64, f64)], now: i64, max_jobs: usize) -> f64 {
    let recent: Vec<f64> = past
        .iter()
        .skip(past.len().saturating_sub(max_jobs))
        .filter(|job| now - job.0 * DAY <= 30 * DAY)
        .map(|job| if job.1 > 1.0 { 1.0 } else { job.1 })
        .collect();
    if recent.len() < 10 {
        return 1.0;
    }
    let covers_85_percent =
        |limit: f64| recent.iter().filter(|ratio| **ratio <= limit).count() * 100 >= 85 * recent.len();
    let least =
        recent.iter().copied().filter(|ratio| covers_85_percent(*ratio)).fold(f64::INFINITY, f64::min);
    if least < 0.5 {
        0.5
    } else {
        least
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn factor_equals_that_of_the_reference_model(
        past in prop::collection::vec((0i64..60, 0u32..200), 0..60),
        max_jobs in 10usize..40,
    ) {
        let mut past: Vec<(i64, f64)> =
            past.into_iter().map(|(day, percent)| (day, f64::from(percent) / 100.0)).collect();
        past.sort_by_key(|job| job.0);
        let (mut history, job_key) = (History::new(max_jobs), key("a", 60));
        for (day, ratio) in &past {
            history.add(&job_key, Wall(day * DAY), *ratio);
        }
        let written = history.records_to_store(job_key.bucket(), 100_000);
        let now = Wall(60 * DAY);
        prop_assert_eq!(history.factor(&job_key, now), model_factor(&past, now.0, max_jobs));
        // A history loaded from the stored records has the same factor.
        let mut reloaded = History::new(max_jobs);
        prop_assert_eq!(written.len(), usize::from(!past.is_empty()));
        for record in written {
            prop_assert!(record.past.len() <= max_jobs);
            reloaded.load(record);
        }
        prop_assert_eq!(reloaded.factor(&job_key, now), history.factor(&job_key, now));
    }
}

#[test]
fn keys_have_separate_factors_and_stored_records_fit_the_size_limit() {
    let mut history = History::new(64);
    for _ in 0..10 {
        history.add(&key("a", 60), Wall(0), 0.6);
    }
    assert_eq!(history.factor(&key("a", 60), Wall(0)), 0.6);
    assert_eq!(history.factor(&key("a", 61), Wall(0)), 1.0);
    assert_eq!(history.factor(&key("b", 60), Wall(0)), 1.0);
    // The stored records are those of the keys whose jobs ended last, no more than fit the size limit.
    let mut history = History::new(64);
    for n in 0..2000 {
        history.add(&key("a", n), Wall(n * 1_000_000), 0.9);
    }
    let bucket = key("a", 1999).bucket();
    let records = history.records_to_store(bucket, 1000);
    assert!(records.len() >= 5 && serde_json::to_string(&records).unwrap().len() <= 1002);
    assert_eq!(records[0].stated_us, 1_999_000_000);
    assert!(history.dirty_buckets().any(|dirty| dirty == bucket));
    history.mark_written(bucket, 9);
    assert!(history.dirty_buckets().all(|dirty| dirty != bucket) && history.mod_revision(bucket) == 9);
}
