//! Replies about the controllers themselves: redirects, health and status.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CellsStatus, LentProgressStatus};

/// Path of the load balancer's health check.
pub const HEALTH_PATH: &str = "/up";

/// Reply to a heartbeat that was sent to a controller which is not the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the leader.
    #[serde(rename = "steward")]
    pub leader: String,
}

/// Reply to the load balancer's health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether this controller serves users.
    #[serde(rename = "up")]
    pub healthy: bool,
}

/// Reply to a request for a controller's status. `FleetView` is the leader's model of machines and
/// jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControllerStatus<FleetView> {
    /// Label of the leader, if known.
    pub leader: Option<String>,
    /// Label of the controller that answers.
    #[serde(rename = "node")]
    pub controller: String,
    /// The leader's model; none on any other controller.
    #[serde(rename = "owner")]
    pub fleet: Option<FleetView>,
    /// Program versions of the controllers, by label; none for one that has not reported its version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<BTreeMap<String, Option<String>>>,
    /// The shards that it leads.
    #[serde(rename = "parts", default, skip_serializing_if = "Option::is_none")]
    pub shards: Option<Vec<ShardStatus>>,
    /// Age in seconds of the leader's last contact with the state store.
    #[serde(rename = "state_seen_s_ago", default, skip_serializing_if = "Option::is_none")]
    pub state_age_s: Option<f64>,
    /// Copies of the progress of lent jobs, where cells are configured; of a follower, while it follows a leader
    /// that makes none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lent_progress: Option<LentProgressStatus>,
    /// What the cell lends and borrows, if cells are configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<CellsStatus>,
}

/// A shard and its leader, as part of a controller's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Label of its leader.
    #[serde(rename = "owner")]
    pub leader: String,
    /// Number of the shard.
    #[serde(rename = "part")]
    pub shard: u32,
    /// The leader's fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
}
