//! The JSON forms of a controller's own replies, which workers, the load balancer and operators read.

use milletlock::wire::{ControllerStatus, Health, Redirect, ShardStatus};
use serde_json::{json, Value};

#[test]
fn a_redirect_contains_the_leaders_label() {
    assert_eq!(json!(Redirect { leader: "a".into() }), json!({ "steward": "a" }));
}

#[test]
fn the_health_reply_reports_up() {
    assert_eq!(json!(Health { healthy: true }), json!({ "up": true }));
}

#[test]
fn the_leaders_status_contains_its_shards_and_its_fleet() {
    let status = ControllerStatus {
        leader: Some("a".into()),
        controller: "a".into(),
        fleet: Some(json!({ "token": 7 })),
        versions: None,
        shards: Some(vec![ShardStatus { leader: "a".into(), shard: 0, fencing_token: 7 }]),
        state_age_s: Some(0.5),
        lent_progress: None,
        cells: None,
    };
    let expected = json!({
        "leader": "a", "node": "a", "owner": { "token": 7 },
        "parts": [{ "owner": "a", "part": 0, "token": 7 }], "state_seen_s_ago": 0.5,
    });
    assert_eq!(json!(status), expected);
}

#[test]
fn a_followers_status_contains_neither_shards_nor_a_fleet() {
    let status: ControllerStatus<Value> = ControllerStatus {
        leader: None,
        controller: "b".into(),
        fleet: None,
        versions: None,
        shards: None,
        state_age_s: None,
        lent_progress: None,
        cells: None,
    };
    assert_eq!(json!(status), json!({ "leader": null, "node": "b", "owner": null }));
}
