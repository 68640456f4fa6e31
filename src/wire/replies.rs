//! Replies about the controllers themselves: redirects to the leader, health checks and status.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CellsStatus, LentProgressStatus};

/// Path of the load balancer's health check.
pub const HEALTH_PATH: &str = "/up";

/// Reply of a controller that is not the leader to a request that only the leader can handle, such as a
/// heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the leader.
    #[serde(rename = "steward")]
    pub leader: String,
}

/// Reply to the load balancer's health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether the load balancer should send users to this controller.
    #[serde(rename = "up")]
    pub healthy: bool,
}

/// A controller's status, for operators. `FleetView` is the view of the leader's model of machines and jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControllerStatus<FleetView> {
    /// Label of the leader; none if the answering controller knows none.
    pub leader: Option<String>,
    /// Label of the answering controller.
    #[serde(rename = "node")]
    pub controller: String,
    /// View of the leader's model of machines and jobs; none if the answering controller does not lead.
    #[serde(rename = "owner")]
    pub fleet: Option<FleetView>,
    /// Program versions of the controllers, by label; the value is none if a controller has not reported its
    /// version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<BTreeMap<String, Option<String>>>,
    /// The shards that the answering controller leads.
    #[serde(rename = "parts", default, skip_serializing_if = "Option::is_none")]
    pub shards: Option<Vec<ShardStatus>>,
    /// Seconds since the leader's last contact with the state store.
    #[serde(rename = "state_seen_s_ago", default, skip_serializing_if = "Option::is_none")]
    pub state_age_s: Option<f64>,
    /// Copies of the progress of jobs with loans, if cells are configured. A follower reports them only while
    /// the leader it follows makes no copies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lent_progress: Option<LentProgressStatus>,
    /// Loans to and from other cells, if cells are configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<CellsStatus>,
}

/// A shard and its leader, as part of a controller's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Label of the shard's leader.
    #[serde(rename = "owner")]
    pub leader: String,
    /// Number of the shard.
    #[serde(rename = "part")]
    pub shard: u32,
    /// The leader's fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
}
