//! Settings: the platform's JSON file and the operators' own HCL file. Both files are validated completely
//! before the controller starts. A mistake is reported in one line that names the field.

mod cells;
mod error;
mod fleet_size;
mod operator;
mod platform;
mod platform_validation;
mod server_limits;
mod service_limits;
mod validation;

use std::path::Path;

use crate::time::Micros;

pub use cells::{CellsSettings, OtherCell};
pub use error::ConfigError;
pub use fleet_size::TARGET_MACHINES;
pub use operator::OperatorConfig;
pub use platform::{
    ClusterSettings, Member, Objective, ObjectiveKind, PlatformConfig, RegionalServices, Team, WorkerTimings,
};
pub use server_limits::{FENCING_TOKEN_THREADS, HALT_THREADS};
pub use service_limits::{CloudLimits, NextStateStoreLimits, ProcessLimits, StateStoreLimits};

/// All settings, validated.
#[derive(Clone, Debug)]
pub struct Config {
    /// The settings in the platform's file.
    pub platform: PlatformConfig,
    /// The settings in the operators' file, or their defaults.
    pub operator: OperatorConfig,
}

impl Config {
    /// Reads and validates both files. Without an operators' file its settings have their defaults.
    ///
    /// # Errors
    ///
    /// The first mistake found in either file.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Config, ConfigError> {
        let platform = PlatformConfig::parse(&read_file(platform)?, &platform.display().to_string())?;
        let operator = match operator {
            Some(path) => OperatorConfig::parse(&read_file(path)?, &path.display().to_string())?,
            None => OperatorConfig::default(),
        };
        Ok(Config { platform, operator })
    }

    /// Number of controllers in the settings, this one included.
    pub fn controller_count(&self) -> usize {
        self.platform.members.len() + 1
    }

    /// How long a worker keeps its tasks running without a reply to a heartbeat.
    pub fn worker_lease(&self) -> Micros {
        Micros::from_secs(self.platform.settings.workers.lease_s)
    }

    /// Maximum age of the leader's view of the state store while it renews workers' leases. With an older
    /// view the leader could miss a cancellation for longer than the platform allows (`cancel_s`).
    pub fn max_staleness(&self) -> Micros {
        self.platform.settings.workers.max_staleness()
    }

    /// Maximum size of a value in the state store, in bytes, under both its current and its next limits.
    pub fn max_value_bytes(&self) -> usize {
        (self.platform.settings.state.min_value_kb() * 1024.0) as usize
    }

    /// Maximum number of puts and deletes in a transaction of the state store, under both its current and its
    /// next limits.
    pub fn max_txn_ops(&self) -> usize {
        self.platform.settings.state.min_txn_ops()
    }

    /// The settings of a team; `None` if no team has this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.platform.settings.teams.iter().find(|team| team.name == name)
    }
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable { path: path.into(), source })
}
