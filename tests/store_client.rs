//! The client side of the state store: its budget, and the live jobs by changes read.

use milletlock::live_jobs::LiveIds;
use milletlock::state::TokenBucket;
use milletlock::time::{Micros, Steady};
use milletlock::wire::Events;
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
    let changes = |v: Value| -> Events { serde_json::from_value(v).expect("changes") };
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
