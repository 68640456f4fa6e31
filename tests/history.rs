//! The factor by which run time estimates are corrected, against a plain model.

use milletlock::history::{EstimateKey, History};
use milletlock::time::{Micros, Wall};
use proptest::prelude::*;

const DAY: i64 = 86_400_000_000;

fn key(team: &str, stated: i64) -> EstimateKey {
    EstimateKey { team: team.into(), stated: Micros::from_secs(stated as f64) }
}

/// The 85th percentile by counting: the least ratio that at least 85% of the jobs do not exceed.
fn model(past: &[(i64, f64)], now: i64, most: usize) -> f64 {
    let recent: Vec<f64> = past
        .iter()
        .skip(past.len().saturating_sub(most))
        .filter(|p| now - p.0 * DAY <= 30 * DAY)
        .map(|p| if p.1 > 1.0 { 1.0 } else { p.1 })
        .collect();
    if recent.len() < 10 {
        return 1.0;
    }
    let enough = |r: f64| recent.iter().filter(|x| **x <= r).count() * 100 >= 85 * recent.len();
    let least = recent.iter().copied().filter(|r| enough(*r)).fold(f64::INFINITY, f64::min);
    if least < 0.5 {
        0.5
    } else {
        least
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..Default::default() })]
    #[test]
    fn the_factor_matches_the_plain_model(past in prop::collection::vec((0i64..60, 0u32..200), 0..60), most in 10usize..40) {
        let mut past: Vec<(i64, f64)> = past.into_iter().map(|(d, r)| (d, f64::from(r) / 100.0)).collect();
        past.sort_by_key(|p| p.0);
        let (mut h, k) = (History::new(most), key("a", 60));
        for (day, ratio) in &past {
            h.add(&k, Wall(day * DAY), *ratio);
        }
        let written = h.records_to_store(k.bucket(), 100_000);
        let now = Wall(60 * DAY);
        prop_assert_eq!(h.factor(&k, now), model(&past, now.0, most));
        // Rebuilt from what was written, it says the same.
        let mut again = History::new(most);
        prop_assert_eq!(written.len(), usize::from(!past.is_empty()));
        for r in written {
            prop_assert!(r.past.len() <= most);
            again.load(r);
        }
        prop_assert_eq!(again.factor(&k, now), h.factor(&k, now));
    }
}

#[test]
fn keys_are_kept_apart_and_fit_the_state_store() {
    let mut h = History::new(64);
    for _ in 0..10 {
        h.add(&key("a", 60), Wall(0), 0.6);
    }
    assert_eq!(h.factor(&key("a", 60), Wall(0)), 0.6);
    assert_eq!(h.factor(&key("a", 61), Wall(0)), 1.0);
    assert_eq!(h.factor(&key("b", 60), Wall(0)), 1.0);
    // A value holds the keys that ended last, and no more than fit.
    let mut h = History::new(64);
    for n in 0..2000 {
        h.add(&key("a", n), Wall(n * 1_000_000), 0.9);
    }
    let b = key("a", 1999).bucket();
    let value = h.records_to_store(b, 1000);
    assert!(value.len() >= 5 && serde_json::to_string(&value).unwrap().len() <= 1002);
    assert_eq!(value[0].stated_us, 1_999_000_000);
    assert!(h.dirty_buckets().any(|d| d == b));
    h.mark_written(b, 9);
    assert!(h.dirty_buckets().all(|d| d != b) && h.mod_revision(b) == 9);
}
