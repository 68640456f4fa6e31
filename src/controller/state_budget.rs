//! Each controller's share of the state store's rate limits.

use crate::config::Config;
use crate::state::{AllowedRates, RateShares};

/// The share of the limits that all controllers together plan to use.
const PLANNED_SHARE: f64 = 0.9;
/// How many followers' requests the leader is allowed.
const LEADER_REQUEST_WEIGHT: f64 = 2.0;
/// The leader's share of the writes.
const LEADER_WRITE_SHARE: f64 = 0.6;
/// The share of the writes that all followers together are allowed.
const FOLLOWERS_WRITE_SHARE: f64 = 0.8;
/// The largest share of the writes that one follower is allowed.
const MAX_FOLLOWER_WRITE_SHARE: f64 = 0.4;

/// What a controller does among the controllers of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ControllerRole {
    /// It leads.
    Leader,
    /// Another controller leads, or none does.
    Follower,
}

/// The rates that a controller is allowed, by its role. The leader writes for all, so it is allowed more of
/// the writes than the others. Those only accept and cancel, in bursts: their shares add up to more than
/// there is, and what the state store refuses then is tried again at once.
pub(super) fn allowed_rates(config: &Config, role: ControllerRole) -> AllowedRates {
    let limits = &config.platform.settings.state;
    let shares = shares(config.controller_count(), role);
    AllowedRates {
        requests_per_s: limits.rps * shares.requests,
        writes_per_s: limits.write_rps * shares.writes,
    }
}

/// One controller's share of the limits, by its role among so many controllers.
fn shares(controllers: usize, role: ControllerRole) -> RateShares {
    // The leader counts as two controllers.
    let weights = controllers as f64 + 1.0;
    match (controllers, role) {
        (1, _) => RateShares { requests: PLANNED_SHARE, writes: PLANNED_SHARE },
        (_, ControllerRole::Leader) => RateShares {
            requests: PLANNED_SHARE * LEADER_REQUEST_WEIGHT / weights,
            writes: LEADER_WRITE_SHARE,
        },
        (_, ControllerRole::Follower) => {
            let followers = controllers.saturating_sub(1) as f64;
            let writes = (FOLLOWERS_WRITE_SHARE / followers).min(MAX_FOLLOWER_WRITE_SHARE);
            RateShares { requests: PLANNED_SHARE / weights, writes }
        }
    }
}
