//! Whether the settings carry a large fleet, as far as they tell before it exists.

use super::Config;
use crate::cloud::MAX_MACHINES_PER_RENTAL;

/// The fleet that the service is to carry, in machines. The program itself has no fixed limit below it.
pub const TARGET_MACHINES: usize = 4_000;

/// Processor time that a report takes, in seconds, with a margin for planning.
const CPU_PER_REPORT_S: f64 = 0.000_1;
/// Memory of a controller without machines, and for each machine, in MB.
const BASE_RAM_MB: f64 = 16.0;
const RAM_PER_MACHINE_MB: f64 = 0.012;
/// Bytes of a machine's record, generously.
const MACHINE_RECORD_BYTES: f64 = 160.0;
/// Within so many seconds the records of a whole fleet should be written, and the fleet rented.
const BUILD_UP_S: f64 = 120.0;
/// The part of the state service's changes, and of the cloud's requests, that the owner has for it.
const OWNER_SHARE: f64 = 0.5;

impl Config {
    /// What in the settings does not carry a fleet of so many machines: the fields, each with how far
    /// it goes.
    pub fn too_small_for(&self, machines: usize) -> Vec<String> {
        let s = &self.platform.settings;
        let count = machines as f64;
        let mut short = Vec::new();
        let mut need = |field: &str, carried: f64| {
            if carried < count {
                short.push(format!("settings.{field} ({} machines)", carried.max(0.0) as u64));
            }
        };
        need("limits.max_sockets", self.connections_by_sockets() as f64 * 7.0 / 8.0);
        need("limits.ram_mb", (s.limits.ram_mb - BASE_RAM_MB) / RAM_PER_MACHINE_MB);
        need("limits.cpu", s.limits.cpu * s.workers.report_s / CPU_PER_REPORT_S);
        let records_per_value = (self.value_bytes() as f64 / MACHINE_RECORD_BYTES).floor();
        need("state.write_rps", s.state.write_rps * OWNER_SHARE * BUILD_UP_S * records_per_value);
        need("cloud.rps", s.cloud.rps * OWNER_SHARE * BUILD_UP_S * f64::from(MAX_MACHINES_PER_RENTAL));
        short
    }

    /// One line that names what does not carry the largest fleet that the service is made for; none if
    /// all does.
    pub fn size_warning(&self) -> Option<String> {
        let short = self.too_small_for(TARGET_MACHINES);
        let list = short.join(", ");
        (!short.is_empty()).then(|| format!("the settings do not carry {TARGET_MACHINES} machines: {list}"))
    }
}
