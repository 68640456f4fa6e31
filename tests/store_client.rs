//! The client side of the state store: its budget, its rates after refusals, and the live jobs by changes
//! read.

use milletlock::live_jobs::LiveIds;
use milletlock::state::{NextRates, RateShares, TokenBucket};
use milletlock::time::{Micros, Steady};
use milletlock::wire::WatchEvents;
use serde_json::{json, Value};

#[test]
fn the_budget_lets_a_burst_through_then_the_rate() {
    let now = Steady(5_000_000);
    let mut b = TokenBucket::new(10.0, now);
    let through = (0..20).filter(|_| b.take(now, 1.0, 0.0).is_ok()).count();
    assert_eq!(through, 10);
    let later = now + Micros::from_secs(0.5);
    let through = (0..20).filter(|_| b.take(later, 1.0, 0.0).is_ok()).count();
    assert_eq!(through, 5);
}

#[test]
fn what_ends_stays_ended_whatever_the_order_of_changes() {
    let changes = |v: Value| -> WatchEvents { serde_json::from_value(v).expect("changes") };
    let mut s = LiveIds { ids: ["wk-1".to_string()].into(), revision: Some(10) };
    s.apply(&changes(json!({ "harvest": 14, "events": [
        { "drop": "job/wk-2", "stamp": 14 }, { "put": "job/wk-2", "value": {}, "stamp": 11 },
        { "put": "job/wk-3", "value": {}, "stamp": 12 }, { "drop": "job/wk-1", "stamp": 13 } ] })));
    assert_eq!(s.ids, ["wk-3".to_string()].into());
    // A change without any of ours only moves the revision on, and never back.
    s.apply(&changes(json!({ "harvest": 20 })));
    s.apply(&changes(json!({ "harvest": 18, "events": [] })));
    assert_eq!((s.ids.len(), s.revision), (1, Some(20)));
}

/// The beginning of a client's time.
const NOW: Steady = Steady(1_000_000_000);

/// Seconds of a client's time.
fn at(seconds: f64) -> Steady {
    NOW + Micros::from_secs(seconds)
}

/// Whether refusals at these seconds show the change of limits, and the rates that are kept to then.
fn after_refusals(seconds: &[f64], shares: RateShares) -> (bool, RateShares) {
    let mut rates = NextRates::new(shares);
    let shows: Vec<bool> = seconds.iter().map(|&s| rates.record_refusal(at(s))).collect();
    // Only one refusal, the last that was needed, shows it.
    assert!(shows.iter().filter(|s| **s).count() <= 1, "{shows:?}");
    (shows.contains(&true), rates.in_force())
}

/// Guards against slower rates than the state store has, for a burst now and then, and against going on with
/// rates that it no longer has.
#[test]
fn five_refusals_within_ten_seconds_show_the_coming_rates() {
    let coming = RateShares { requests: 0.5, writes: 0.25 };
    let present = RateShares { requests: 1.0, writes: 1.0 };
    assert_eq!(after_refusals(&[0.0, 2.0, 4.0, 6.0, 9.9], coming), (true, coming));
    assert_eq!(after_refusals(&[0.0; 5], coming), (true, coming));
    // Whenever the ten seconds begin.
    assert_eq!(after_refusals(&[0.0, 9.0, 10.5, 11.0, 12.0, 12.5], coming), (true, coming));
    assert_eq!(after_refusals(&[0.0; 30], coming), (true, coming), "it holds for good");
    let mut rates = NextRates::new(coming);
    rates.mark_in_force();
    assert_eq!(rates.in_force(), coming, "a write that is rejected as too large shows it as well");
    assert_eq!(after_refusals(&[0.0, 0.1, 0.2, 0.3], coming), (false, present), "fewer");
    let spread: Vec<f64> = (0..40).map(|n| f64::from(n) * 3.0).collect();
    assert_eq!(after_refusals(&spread, coming), (false, present), "no five within ten seconds");
    let bursts: Vec<f64> = (0..40).map(|n| f64::from(n / 4) * 11.0).collect();
    assert_eq!(after_refusals(&bursts, coming), (false, present), "four at a time");
    assert_eq!(after_refusals(&[0.0; 30], present), (false, present), "none are announced");
    let fewer_writes = RateShares { requests: 1.0, writes: 0.5 };
    assert_eq!(after_refusals(&[0.0; 5], fewer_writes), (true, fewer_writes), "one of both is enough");
}
