//! Estimates from the settings alone whether they are sufficient for a large fleet. Without this check,
//! settings that are too small would be noticed only when workers are refused.

use super::server_limits::RESERVED_CONNECTION_DIVISOR;
use super::Config;
use crate::cloud::MAX_MACHINES_PER_SCALE_OUT;

/// Number of machines for which the program is designed. The program has no fixed limit below this number.
pub const TARGET_MACHINES: usize = 4_000;

/// Processor time per heartbeat in seconds, including a margin for the planner.
const CPU_PER_HEARTBEAT_S: f64 = 0.000_1;
/// Memory of a controller without machines, in MB.
const BASE_RAM_MB: f64 = 16.0;
/// Memory that a controller needs for each machine, in MB.
const RAM_PER_MACHINE_MB: f64 = 0.012;
/// Upper estimate of the size of a machine's record, in bytes.
const MACHINE_RECORD_BYTES: f64 = 160.0;
/// Seconds within which the leader should be able to scale out the whole fleet and write its records.
const SCALE_OUT_S: f64 = 120.0;
/// Fraction of the rate limits of the state store and of the cloud that the leader can use for scale-out.
const LEADER_SHARE: f64 = 0.5;

impl Config {
    /// The settings that are too small for a fleet of `machines` machines. Each is listed with the number of
    /// machines for which it is sufficient.
    fn settings_too_small_for(&self, machines: usize) -> Vec<String> {
        let settings = &self.platform.settings;
        let scale_out_requests = |requests_per_s: f64| requests_per_s * LEADER_SHARE * SCALE_OUT_S;
        let records_per_value = (self.max_value_bytes() as f64 / MACHINE_RECORD_BYTES).floor();
        let worker_share = 1.0 - 1.0 / RESERVED_CONNECTION_DIVISOR as f64;
        let capacities = [
            ("limits.max_sockets", self.connections_by_sockets() as f64 * worker_share),
            ("limits.ram_mb", (settings.limits.ram_mb - BASE_RAM_MB) / RAM_PER_MACHINE_MB),
            ("limits.cpu", settings.limits.cpu * settings.workers.report_s / CPU_PER_HEARTBEAT_S),
            ("state.write_rps", scale_out_requests(settings.state.write_rps) * records_per_value),
            ("cloud.rps", scale_out_requests(settings.cloud.rps) * f64::from(MAX_MACHINES_PER_SCALE_OUT)),
        ];
        capacities
            .into_iter()
            .filter(|(_, capacity)| *capacity < machines as f64)
            .map(|(field, capacity)| format!("settings.{field} ({} machines)", capacity.max(0.0) as u64))
            .collect()
    }

    /// A warning of one line that names the settings that are too small for [`TARGET_MACHINES`]; `None` if
    /// all settings are large enough.
    pub fn fleet_size_warning(&self) -> Option<String> {
        let too_small = self.settings_too_small_for(TARGET_MACHINES);
        let list = too_small.join(", ");
        (!too_small.is_empty())
            .then(|| format!("the settings do not carry {TARGET_MACHINES} machines: {list}"))
    }
}
