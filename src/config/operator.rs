//! The operators' own settings file (HCL). All settings have defaults; unknown ones are refused.

use std::ops::RangeInclusive;

use serde::Deserialize;

use super::server_limits::MIN_THREADS;
use super::validation::{require_not_negative, require_positive};
use super::{CellsSettings, ConfigError};

/// Bounds of `leader_ttl_s`, in seconds.
const LEADER_TTL_S: RangeInclusive<f64> = 1.0..=60.0;
/// Bounds of `max_threads`.
const THREADS: RangeInclusive<usize> = MIN_THREADS..=1900;
/// Bounds of `history_per_key`.
const HISTORY_PER_KEY: RangeInclusive<usize> = 10..=10_000;

/// The operators' own settings, all with defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// How long the leader's lease lasts, in seconds.
    pub leader_ttl_s: f64,
    /// A machine without a heartbeat for this long after a failover is scaled in, in seconds; `None` for
    /// the time by which its worker's lease has expired.
    pub fence_after_s: Option<f64>,
    /// Drain time: scale out aims to have waiting job arrays done within it, in seconds.
    pub drain_s: f64,
    /// An idle machine is scaled in after this time, in seconds.
    pub idle_s: f64,
    /// The same for machine types that jobs use whose objective leaves no time to boot a machine, if
    /// there are more machines than those jobs kept busy.
    pub idle_protected_s: f64,
    /// The same for machine types that jobs with deadlines used recently: by the time another machine
    /// is up and has their images, much of what a deadline leaves is gone.
    pub idle_deadline_s: f64,
    /// A machine that is not up after this many times its nominal boot time is no longer
    /// counted on, so that scale out may add another.
    pub slow_boot: f64,
    /// Most connections of users and workers at once; 0 derives it from the platform's limits.
    pub max_connections: usize,
    /// Most threads of this process at once, those of the controller's duties included.
    pub max_threads: usize,
    /// Machines of a large type that low-priority tasks leave free, if that is more than the widest recent
    /// gang takes.
    pub keep_clear: usize,
    /// Finished jobs stored for each key of the run-time history.
    pub history_per_key: usize,
    /// False switches the adjustment of stated run times off (for measuring).
    pub adjust: bool,
    /// False switches reservations off (for measuring).
    pub reserve: bool,
    /// Lending to and borrowing from other cells; `None` switches both off.
    pub cells: Option<CellsSettings>,
}

impl Default for OperatorConfig {
    fn default() -> Self {
        OperatorConfig {
            leader_ttl_s: 3.0,
            fence_after_s: None,
            drain_s: 45.0,
            idle_s: 8.0,
            idle_protected_s: 12.0,
            idle_deadline_s: 60.0,
            slow_boot: 1.6,
            max_connections: 0,
            max_threads: 224,
            keep_clear: 0,
            history_per_key: 64,
            adjust: true,
            reserve: true,
            cells: None,
        }
    }
}

impl OperatorConfig {
    /// Parses and checks the operators' HCL; `path` is named in the errors.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Malformed`] or [`ConfigError::Field`].
    pub fn parse(text: &str, path: &str) -> Result<OperatorConfig, ConfigError> {
        let malformed = |reason: String| {
            let reason = reason.replace('\n', " ");
            ConfigError::Malformed { path: path.into(), reason }
        };
        let value: serde_json::Value = hcl::from_str(text).map_err(|e| malformed(e.to_string()))?;
        let config: OperatorConfig =
            serde_path_to_error::deserialize(value).map_err(|e| malformed(e.to_string()))?;
        config.validate()?;
        Ok(config)
    }

    fn validate(&self) -> Result<(), ConfigError> {
        require_positive("leader_ttl_s", self.leader_ttl_s)?;
        require_in_range("leader_ttl_s", &self.leader_ttl_s, &LEADER_TTL_S)?;
        if let Some(fence_after_s) = self.fence_after_s {
            require_positive("fence_after_s", fence_after_s)?;
        }
        require_positive("drain_s", self.drain_s)?;
        require_not_negative("idle_s", self.idle_s)?;
        require_not_negative("idle_protected_s", self.idle_protected_s)?;
        require_not_negative("idle_deadline_s", self.idle_deadline_s)?;
        require_positive("slow_boot", self.slow_boot)?;
        require_in_range("max_threads", &self.max_threads, &THREADS)?;
        // An eighth of the connections is for users alone; of a single one nothing would be left.
        if self.max_connections == 1 {
            return Err(ConfigError::field("max_connections", "must be 0 or at least 2"));
        }
        require_in_range("history_per_key", &self.history_per_key, &HISTORY_PER_KEY)?;
        self.cells.as_ref().map_or(Ok(()), CellsSettings::validate)
    }
}

fn require_in_range<T: PartialOrd + std::fmt::Display>(
    field: &str,
    value: &T,
    range: &RangeInclusive<T>,
) -> Result<(), ConfigError> {
    if range.contains(value) {
        return Ok(());
    }
    let reason = format!("must be from {} to {}", range.start(), range.end());
    Err(ConfigError::field(field, reason))
}
