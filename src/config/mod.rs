//! Settings: the platform's JSON file and the operators' own HCL file. Both are checked in full
//! before anything starts; a mistake is reported in one line that names the field.

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

/// All settings, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The platform's file.
    pub platform: PlatformConfig,
    /// The operators' file, or its defaults.
    pub operator: OperatorConfig,
}

impl Config {
    /// Reads and checks both files; without an operators' file its defaults hold.
    ///
    /// # Errors
    ///
    /// The first mistake in either file.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Config, ConfigError> {
        let platform = PlatformConfig::parse(&read_file(platform)?, &platform.display().to_string())?;
        let operator = match operator {
            Some(path) => OperatorConfig::parse(&read_file(path)?, &path.display().to_string())?,
            None => OperatorConfig::default(),
        };
        Ok(Config { platform, operator })
    }

    /// How many controllers there are, this one included.
    pub fn controller_count(&self) -> usize {
        self.platform.members.len() + 1
    }

    /// How long a worker's lease on its tasks lasts.
    pub fn worker_lease(&self) -> Micros {
        Micros::from_secs(self.platform.settings.workers.lease_s)
    }

    /// How old the leader's view of the state store may be while it renews workers' leases: with an
    /// older one it might miss cancellations for too long.
    pub fn max_staleness(&self) -> Micros {
        self.platform.settings.workers.max_staleness()
    }

    /// Largest value of the state store, in bytes, under both its present and its next limits.
    pub fn max_value_bytes(&self) -> usize {
        (self.platform.settings.state.min_value_kb() * 1024.0) as usize
    }

    /// Most puts and deletes in a transaction of the state store, under both its present and its next
    /// limits.
    pub fn max_txn_ops(&self) -> usize {
        self.platform.settings.state.min_txn_ops()
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.platform.settings.teams.iter().find(|team| team.name == name)
    }
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable { path: path.into(), source })
}
