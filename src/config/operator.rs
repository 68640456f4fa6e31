//! The operators' own settings file (HCL). All settings have defaults. Unknown settings are an error.

use std::ops::RangeInclusive;

use serde::Deserialize;

use super::server_limits::MIN_THREADS;
use super::validation::{require_not_negative, require_positive};
use super::{CellsSettings, ConfigError};

/// Allowed values of `leader_ttl_s`, in seconds.
const LEADER_TTL_S: RangeInclusive<f64> = 1.0..=60.0;
/// Allowed values of `max_threads`.
const THREADS: RangeInclusive<usize> = MIN_THREADS..=1900;
/// Allowed values of `history_per_key`.
const HISTORY_PER_KEY: RangeInclusive<usize> = 10..=10_000;

/// The operators' own settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// Time to live of the leader's lease in the state store, in seconds.
    pub leader_ttl_s: f64,
    /// Seconds after a failover until a machine that has not sent a heartbeat is scaled in. `None` means the
    /// time by which the lease of its worker has expired.
    pub fence_after_s: Option<f64>,
    /// Drain time in seconds: scale-out aims to finish the waiting job arrays within this time.
    pub drain_s: f64,
    /// Seconds after which an idle machine is scaled in.
    pub idle_s: f64,
    /// Seconds after which an idle machine is scaled in, for machine types used by jobs whose service-level
    /// objective leaves no time to boot a machine. It applies to machines beyond the number that these jobs
    /// have kept busy.
    pub idle_protected_s: f64,
    /// Seconds after which an idle machine is scaled in, for machine types that jobs with deadlines have used
    /// recently. Booting another machine and fetching the images would take much of the time that a deadline
    /// leaves.
    pub idle_deadline_s: f64,
    /// Multiple of the nominal boot time after which a machine that has not booted no longer counts as
    /// expected capacity, so that scale-out may add another machine.
    pub slow_boot: f64,
    /// Maximum number of open connections of users and workers. With 0 the number is derived from the
    /// platform's limits. 1 is not allowed.
    pub max_connections: usize,
    /// Maximum number of threads of this process, including those of the controller's own duties.
    pub max_threads: usize,
    /// Minimum number of machines of a large type that low-priority tasks leave free. If the widest recent
    /// gang needs more machines, that number counts instead.
    pub keep_clear: usize,
    /// Number of finished jobs that the run-time history stores for each of its keys.
    pub history_per_key: usize,
    /// Whether the users' run-time estimates are corrected by the history. Switched off only for
    /// measurements.
    pub adjust: bool,
    /// Whether the planner makes reservations. Switched off only for measurements.
    pub reserve: bool,
    /// Loans to and from other cells; `None` switches both off.
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
    /// Parses and validates the operators' HCL file. `path` is the file's name in error messages.
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
        // An eighth of the connections is reserved for users. Of a single connection nothing would remain for
        // workers.
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
