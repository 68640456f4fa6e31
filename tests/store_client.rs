//! The client of the state store: its rate budget, its rates after refusals, and the live jobs as changes are
//! applied.

use milletlock::live_jobs::LiveIds;
use milletlock::state::{NextRates, RateShares, TokenBucket};
use milletlock::time::{Micros, Steady};
use milletlock::wire::WatchEvents;
use serde_json::{json, Value};

#[test]
fn a_token_bucket_admits_a_burst_and_then_its_rate() {
    let now = Steady(5_000_000);
    let mut bucket = TokenBucket::new(10.0, now);
    let admitted = (0..20).filter(|_| bucket.take(now, 1.0, 0.0).is_ok()).count();
    assert_eq!(admitted, 10);
    let later = now + Micros::from_secs(0.5);
    let admitted = (0..20).filter(|_| bucket.take(later, 1.0, 0.0).is_ok()).count();
    assert_eq!(admitted, 5);
}

#[test]
fn an_ended_job_stays_ended_in_any_order_of_changes() {
    let changes = |v: Value| -> WatchEvents { serde_json::from_value(v).expect("changes") };
    let mut live = LiveIds { ids: ["wk-1".to_string()].into(), revision: Some(10) };
    live.apply(&changes(json!({ "harvest": 14, "events": [
        { "drop": "job/wk-2", "stamp": 14 }, { "put": "job/wk-2", "value": {}, "stamp": 11 },
        { "put": "job/wk-3", "value": {}, "stamp": 12 }, { "drop": "job/wk-1", "stamp": 13 } ] })));
    assert_eq!(live.ids, ["wk-3".to_string()].into());
    // Changes without events only raise the revision. They never lower it.
    live.apply(&changes(json!({ "harvest": 20 })));
    live.apply(&changes(json!({ "harvest": 18, "events": [] })));
    assert_eq!((live.ids.len(), live.revision), (1, Some(20)));
}

/// The time at which the client is created.
const NOW: Steady = Steady(1_000_000_000);

/// The time so many seconds after [`NOW`].
fn at(seconds: f64) -> Steady {
    NOW + Micros::from_secs(seconds)
}

/// Records refusals at these seconds. Returns whether they show that the next limits are in force, and the
/// rates that the client then uses.
fn after_refusals(seconds: &[f64], shares: RateShares) -> (bool, RateShares) {
    let mut rates = NextRates::new(shares);
    let shows: Vec<bool> = seconds.iter().map(|&s| rates.record_refusal(at(s))).collect();
    // At most one refusal shows that the limits have come into force.
    assert!(shows.iter().filter(|s| **s).count() <= 1, "{shows:?}");
    (shows.contains(&true), rates.in_force())
}

/// Guards against two faults: the client reduces its rates although only occasional bursts are refused, or it
/// keeps rates that the state store no longer allows.
#[test]
fn five_refusals_within_ten_seconds_bring_the_next_rates_into_force() {
    let next = RateShares { requests: 0.5, writes: 0.25 };
    let present = RateShares { requests: 1.0, writes: 1.0 };
    assert_eq!(after_refusals(&[0.0, 2.0, 4.0, 6.0, 9.9], next), (true, next));
    assert_eq!(after_refusals(&[0.0; 5], next), (true, next));
    // The ten seconds may begin at any refusal.
    assert_eq!(after_refusals(&[0.0, 9.0, 10.5, 11.0, 12.0, 12.5], next), (true, next));
    assert_eq!(after_refusals(&[0.0; 30], next), (true, next), "the next limits stay in force");
    let mut rates = NextRates::new(next);
    rates.mark_in_force();
    assert_eq!(rates.in_force(), next, "a write rejected as too large brings the next limits into force");
    assert_eq!(after_refusals(&[0.0, 0.1, 0.2, 0.3], next), (false, present), "four refusals");
    let spread: Vec<f64> = (0..40).map(|n| f64::from(n) * 3.0).collect();
    assert_eq!(
        after_refusals(&spread, next),
        (false, present),
        "fewer than five refusals within ten seconds"
    );
    let bursts: Vec<f64> = (0..40).map(|n| f64::from(n / 4) * 11.0).collect();
    assert_eq!(after_refusals(&bursts, next), (false, present), "bursts of four refusals");
    assert_eq!(after_refusals(&[0.0; 30], present), (false, present), "no lower limits are announced");
    let fewer_writes = RateShares { requests: 1.0, writes: 0.5 };
    assert_eq!(
        after_refusals(&[0.0; 5], fewer_writes),
        (true, fewer_writes),
        "only one of the two limits is lower"
    );
}
