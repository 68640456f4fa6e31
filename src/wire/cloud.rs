//! The cloud: its catalogue, rentals and the list of machines.

use super::null_is_default;
use serde::{Deserialize, Serialize};

/// A machine type in the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processors.
    pub cpus: f64,
    /// Accelerator cards.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Room for images in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Image fetch rate in GB a second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Spot price an hour, now.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: Option<f64>,
    /// Usual boot time.
    #[serde(rename = "readyS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "fields", default)]
    pub zones: Vec<String>,
}

/// The catalogue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// Machine types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "plea")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "field")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "gleanings")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Names of machines: rented, or to return.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "husks")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "nameId")]
    pub id: String,
    /// The worker's address.
    #[serde(rename = "addr", default)]
    pub address: Option<String>,
    /// Type.
    #[serde(rename = "breed", default)]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Spot.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    #[serde(default)]
    pub stage: String,
    /// Age since the rental request.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "husks")]
    pub machines: Vec<ListedMachine>,
    /// Whether there is more.
    #[serde(default)]
    pub more: bool,
}
