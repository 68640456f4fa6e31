//! Validation of the platform's settings. The first mistake found is reported.

use super::platform::{ClusterSettings, PlatformConfig, Team, WorkerTimings};
use super::service_limits::{CloudLimits, NextStateStoreLimits, ProcessLimits, StateStoreLimits};
use super::validation::{require_not_negative, require_positive};
use super::ConfigError;
use crate::time::Micros;

/// Maximum length of a controller's label in bytes.
const MAX_LABEL_LENGTH: usize = 100;
/// A worker's heartbeats may be up to this many times `report_s` apart.
const MAX_HEARTBEAT_DELAY_FACTOR: f64 = 1.25;
/// Minimum of [`WorkerTimings::max_staleness`]. With a lower maximum the leader could hardly answer any
/// heartbeat, because it reads the state store only at intervals and its view ages in between.
const MIN_MAX_STALENESS: Micros = Micros::from_millis(400);
/// Minimum of `value_kb`, in KiB. A job's record with names of the usual maximum length fits into such a
/// value.
const MIN_VALUE_KB: f64 = 1.0;
/// Minimum of `txn_ops`. A claim to leadership needs three puts and deletes in one transaction.
const MIN_TXN_OPS: usize = 4;
/// Minimum of `max_sockets`.
const MIN_SOCKETS: usize = 16;

impl PlatformConfig {
    pub(super) fn validate(&self) -> Result<(), ConfigError> {
        let has_bad_length = self.label.is_empty() || self.label.len() > MAX_LABEL_LENGTH;
        if has_bad_length || self.label.contains(['/', ' ']) {
            let reason = format!("must be 1 to {MAX_LABEL_LENGTH} bytes without slashes and spaces");
            return Err(ConfigError::field("label", reason));
        }
        self.validate_members()?;
        self.settings.validate()
    }

    fn validate_members(&self) -> Result<(), ConfigError> {
        for (i, member) in self.members.iter().enumerate() {
            let is_repeated = self.members[..i].iter().any(|other| other.label == member.label);
            if is_repeated || member.label == self.label {
                let reason = format!("`{}` is the label of two controllers", member.label);
                return Err(ConfigError::field(format!("members[{i}].label"), reason));
            }
        }
        Ok(())
    }
}

impl ClusterSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        self.validate_teams()?;
        self.workers.validate()?;
        self.state.validate()?;
        self.cloud.validate()?;
        self.limits.validate()?;
        require_not_negative("settings.skew_ms", self.skew_ms)
    }

    fn validate_teams(&self) -> Result<(), ConfigError> {
        for (i, team) in self.teams.iter().enumerate() {
            let path = format!("settings.teams[{i}]");
            if self.teams[..i].iter().any(|other| other.name == team.name) {
                let reason = format!("`{}` is the name of two teams", team.name);
                return Err(ConfigError::field(format!("{path}.name"), reason));
            }
            team.validate(&path)?;
        }
        Ok(())
    }
}

impl Team {
    fn validate(&self, path: &str) -> Result<(), ConfigError> {
        if self.name.is_empty() {
            return Err(ConfigError::field(format!("{path}.name"), "must not be empty"));
        }
        require_not_negative(&format!("{path}.cpus"), self.cpus)?;
        require_not_negative(&format!("{path}.cpus_max"), self.cpus_max)?;
        require_not_negative(&format!("{path}.gpus"), self.gpus)?;
        require_not_negative(&format!("{path}.gpus_max"), self.gpus_max)
    }
}

impl WorkerTimings {
    fn validate(&self) -> Result<(), ConfigError> {
        require_positive("settings.workers.report_s", self.report_s)?;
        require_positive("settings.workers.lease_s", self.lease_s)?;
        require_not_negative("settings.workers.gang_wait_s", self.gang_wait_s)?;
        require_not_negative("settings.workers.gang_peer_s", self.gang_peer_s)?;
        require_positive("settings.workers.cancel_s", self.cancel_s)?;
        if self.report_s * MAX_HEARTBEAT_DELAY_FACTOR >= self.lease_s {
            let reason = "must be less than four fifths of lease_s, or leases expire between heartbeats";
            return Err(ConfigError::field("settings.workers.report_s", reason));
        }
        if self.cancel_s <= self.lease_s {
            return Err(ConfigError::field("settings.workers.cancel_s", "must be greater than lease_s"));
        }
        if self.max_staleness() < MIN_MAX_STALENESS {
            let reason = "must be at least 2.5 s above lease_s, or no heartbeat can be answered";
            return Err(ConfigError::field("settings.workers.cancel_s", reason));
        }
        Ok(())
    }
}

impl StateStoreLimits {
    fn validate(&self) -> Result<(), ConfigError> {
        let path = "settings.state";
        require_positive("settings.state.rps", self.rps)?;
        require_positive("settings.state.write_rps", self.write_rps)?;
        require_positive("settings.state.value_kb", self.value_kb)?;
        validate_sizes(path, self.value_kb, self.txn_ops)?;
        self.next.as_ref().map_or(Ok(()), |next| self.validate_next(next))
    }

    fn validate_next(&self, next: &NextStateStoreLimits) -> Result<(), ConfigError> {
        let path = "settings.state.next";
        require_positive("settings.state.next.rps", next.rps.unwrap_or(self.rps))?;
        require_positive("settings.state.next.write_rps", next.write_rps.unwrap_or(self.write_rps))?;
        require_positive("settings.state.next.value_kb", next.value_kb.unwrap_or(self.value_kb))?;
        validate_sizes(path, self.min_value_kb(), self.min_txn_ops())
    }
}

/// Checks that a job's record fits into a value, and all changes that must be atomic into one transaction.
fn validate_sizes(path: &str, value_kb: f64, txn_ops: usize) -> Result<(), ConfigError> {
    if value_kb < MIN_VALUE_KB {
        let reason = format!("must be at least {MIN_VALUE_KB}");
        return Err(ConfigError::field(format!("{path}.value_kb"), reason));
    }
    if txn_ops < MIN_TXN_OPS {
        let reason = format!("must be at least {MIN_TXN_OPS}");
        return Err(ConfigError::field(format!("{path}.txn_ops"), reason));
    }
    Ok(())
}

impl CloudLimits {
    fn validate(&self) -> Result<(), ConfigError> {
        require_positive("settings.cloud.rps", self.rps)?;
        require_not_negative("settings.cloud.list_lag_s", self.list_lag_s)
    }
}

impl ProcessLimits {
    fn validate(&self) -> Result<(), ConfigError> {
        require_positive("settings.limits.cpu", self.cpu)?;
        require_positive("settings.limits.ram_mb", self.ram_mb)?;
        if self.max_sockets < MIN_SOCKETS {
            let reason = format!("must be at least {MIN_SOCKETS}");
            return Err(ConfigError::field("settings.limits.max_sockets", reason));
        }
        Ok(())
    }
}
