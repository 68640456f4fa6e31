//! Messages between controllers and the cloud: the catalog, scale-out and scale-in requests, and the list of
//! machines.

use super::null_is_default;
use serde::{Deserialize, Serialize};

/// A machine type in the cloud's catalog.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of processors; may be a fraction.
    pub cpus: f64,
    /// Number of accelerator cards.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Space for cached images in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine for an hour.
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Current price of a spot instance for an hour; none if the cloud offers no spot instances of the type.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time in seconds.
    #[serde(rename = "readyS", default)]
    pub boot_s: f64,
    /// Names of the zones that offer the type.
    #[serde(rename = "fields", default)]
    pub zones: Vec<String>,
}

/// The cloud's catalog.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types, with their current prices.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request to scale out: adds machines of one type, zone and kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Id of the request. It is unique to this request, so that the request is idempotent.
    #[serde(rename = "plea")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether the machines are spot instances.
    #[serde(rename = "gleanings")]
    pub spot: bool,
    /// Number of machines, at most [`MAX_MACHINES_PER_SCALE_OUT`](crate::cloud::MAX_MACHINES_PER_SCALE_OUT).
    pub count: u32,
}

/// Names of machines: the reply to a scale-out request, or a request to scale in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "husks")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Address of the machine's worker, `ip:port`; none until the machine has one.
    #[serde(rename = "addr", default)]
    pub address: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "breed", default)]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    #[serde(default)]
    pub stage: String,
    /// Seconds since the machine was requested.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page, in the order of their names.
    #[serde(rename = "husks")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(default)]
    pub more: bool,
}
