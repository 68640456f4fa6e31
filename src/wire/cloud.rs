//! Messages between controllers and the cloud: its catalogue, scale-out requests and the list of
//! machines.

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
    /// Space for cached images in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Present spot price an hour.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: Option<f64>,
    /// Usual boot time in seconds.
    #[serde(rename = "readyS", default)]
    pub boot_s: f64,
    /// Zones that offer it.
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

/// A request for machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Id of the request, never used for another one: a repeat is idempotent.
    #[serde(rename = "plea")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "field")]
    pub zone: String,
    /// Whether they are spot instances.
    #[serde(rename = "gleanings")]
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// Names of machines that were scaled out, or are to be scaled in.
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
    /// Address of its worker, `ip:port`.
    #[serde(rename = "addr", default)]
    pub address: Option<String>,
    /// Machine type.
    #[serde(rename = "breed", default)]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    #[serde(default)]
    pub stage: String,
    /// Seconds since the request for it.
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
