//! A against a plain model.

use milletlock::history::{History, Key};
use milletlock::time::{Micros, Wall};
use proptest::prelude::*;

const DAY: i64 = 86_400_000_000;

fn key(team: &str, stated: i64) -> Key {
    Key { team: team.into(), stated: Micros::from_secs(stated as f64) }
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
    fn a_is_the_plain_models(past in prop::collection::vec((0i64..60, 0u32..200), 0..60), most in 10usize..40) {
        let mut past: Vec<(i64, f64)> = past.into_iter().map(|(d, r)| (d, f64::from(r) / 100.0)).collect();
        past.sort_by_key(|p| p.0);
        let (mut h, k) = (History::new(most), key("a", 60));
        let mut record = None;
        for (day, ratio) in &past {
            record = Some(h.add(&k, Wall(day * DAY), *ratio));
        }
        let now = Wall(60 * DAY);
        prop_assert_eq!(h.factor(&k, now), model(&past, now.0, most));
        // Rebuilt from what was written, it says the same.
        let mut again = History::new(most);
        if let Some(r) = record {
            prop_assert!(r.past.len() <= most);
            again.load(r);
        }
        prop_assert_eq!(again.factor(&k, now), h.factor(&k, now));
    }
}

#[test]
fn keys_are_kept_apart_and_fit_the_state_service() {
    let mut h = History::new(64);
    for _ in 0..10 {
        h.add(&key("a", 60), Wall(0), 0.6);
    }
    assert_eq!(h.factor(&key("a", 60), Wall(0)), 0.6);
    assert_eq!(h.factor(&key("a", 61), Wall(0)), 1.0);
    assert_eq!(h.factor(&key("b", 60), Wall(0)), 1.0);
    let odd = key("a team/with spaces", 60).path();
    assert!(!odd.contains(' ') && odd.matches('/').count() == 2 && odd.len() <= 200);
}
