//! Each controller's share of the state store's rate limits.

use crate::config::Config;
use crate::state::{AllowedRates, RateShares};

/// The share of the state store's request limit that all controllers together plan to use. A single
/// controller uses the same share of the write limit.
const PLANNED_SHARE: f64 = 0.9;
/// The leader's share of the requests, as a multiple of a follower's share.
const LEADER_REQUEST_WEIGHT: f64 = 2.0;
/// The leader's share of the writes.
const LEADER_WRITE_SHARE: f64 = 0.6;
/// The share of the writes that all followers together are allowed.
const FOLLOWERS_WRITE_SHARE: f64 = 0.8;
/// The largest share of the writes that one follower is allowed.
const MAX_FOLLOWER_WRITE_SHARE: f64 = 0.4;

/// The role of a controller among the controllers of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ControllerRole {
    /// This controller leads.
    Leader,
    /// Another controller leads, or none does.
    Follower,
}

/// The rates that a controller is allowed, by its role. The leader writes most records, so its share of the
/// writes is larger than a follower's. Followers only write accepted and cancelled jobs, in bursts. Therefore
/// all shares of the writes together may exceed the limit; writes that the state store then refuses are
/// retried at once.
pub(super) fn allowed_rates(config: &Config, role: ControllerRole) -> AllowedRates {
    let limits = &config.platform.settings.state;
    let shares = shares(config.controller_count(), role);
    AllowedRates {
        requests_per_s: limits.rps * shares.requests,
        writes_per_s: limits.write_rps * shares.writes,
    }
}

/// One controller's share of the limits, by its role and the number of controllers.
fn shares(controllers: usize, role: ControllerRole) -> RateShares {
    // The leader counts as two followers.
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
