//! Answers of the controllers themselves: redirects, health and status.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::CellsStatus;

/// Path of the load balancer's health check.
pub const HEALTH_PATH: &str = "/up";

/// Answer to a report that was sent to a controller that does not lead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the leader.
    #[serde(rename = "steward")]
    pub leader: String,
}

/// Answer to the load balancer's health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether users are served here.
    #[serde(rename = "up")]
    pub healthy: bool,
}

/// Answer to a request for a controller's status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControllerStatus<FleetView> {
    /// Label of the leader, where known.
    pub leader: Option<String>,
    /// Label of the controller that answers.
    #[serde(rename = "node")]
    pub controller: String,
    /// What the owner sees; none on any other controller.
    #[serde(rename = "owner")]
    pub view: Option<FleetView>,
    /// Versions of the controllers, by label; none for one that has not been heard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<BTreeMap<String, Option<String>>>,
    /// The parts that it owns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<Vec<ShardStatus>>,
    /// Age in seconds of the owner's view of the state service.
    #[serde(rename = "state_seen_s_ago", default, skip_serializing_if = "Option::is_none")]
    pub view_age_s: Option<f64>,
    /// What the cell lends and borrows, where cells are in use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<CellsStatus>,
}

/// A part and its owner, as part of a controller's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Label of the owner.
    #[serde(rename = "owner")]
    pub leader: String,
    /// Number of the part.
    #[serde(rename = "part")]
    pub shard: u32,
    /// The owner's token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
}
