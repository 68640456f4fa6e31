//! The platform's settings file (JSON). Unknown fields are ignored, because later platforms may add some.

use std::net::SocketAddr;

use serde::Deserialize;

use super::service_limits::{CloudLimits, ProcessLimits, StateStoreLimits};
use super::ConfigError;
use crate::time::Micros;

/// The content of the platform's settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformConfig {
    /// Label of this controller, unique among the controllers.
    pub label: String,
    /// Zone of this controller; empty if the file names none.
    #[serde(default)]
    pub location: String,
    /// Address at which this controller listens for users, workers and health checks.
    pub serve_on: SocketAddr,
    /// Address at which this controller listens for other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers of this cell.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the services that this controller uses.
    pub services: RegionalServices,
    /// The settings that are the same for all controllers, and this process's limits.
    pub settings: ClusterSettings,
}

impl PlatformConfig {
    /// Parses and validates the platform's JSON file. `path` is the file's name in error messages.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Malformed`] or [`ConfigError::Field`].
    pub fn parse(text: &str, path: &str) -> Result<PlatformConfig, ConfigError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let config: PlatformConfig = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| ConfigError::Malformed { path: path.into(), reason: e.to_string() })?;
        config.validate()?;
        Ok(config)
    }
}

/// Another controller of this cell.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Label of the controller.
    pub label: String,
    /// Zone of the controller; empty if the file names none.
    #[serde(default)]
    pub location: String,
    /// Address at which the controller listens for other controllers.
    pub addr: SocketAddr,
}

/// Addresses of the services outside this cell.
#[derive(Clone, Debug, Deserialize)]
pub struct RegionalServices {
    /// Address of the cloud's interface.
    pub cloud: SocketAddr,
    /// Address of the state store.
    pub state: SocketAddr,
}

/// The `settings` object of the platform's file.
#[derive(Clone, Debug, Deserialize)]
pub struct ClusterSettings {
    /// Number of controllers when the cluster starts.
    #[serde(default)]
    pub initial_size: usize,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams with their guarantees and quotas; their names are unique.
    pub teams: Vec<Team>,
    /// The service-level objectives, by class of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of the workers.
    pub workers: WorkerTimings,
    /// Limits of the state store.
    pub state: StateStoreLimits,
    /// Limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: ProcessLimits,
    /// Maximum error of the clock that tells the time of day, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
}

/// A team with its guarantee and its quota.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Team {
    /// Name of the team; not empty.
    pub name: String,
    /// Number of processors that the team is guaranteed; 0 for no guarantee.
    #[serde(default)]
    pub cpus: f64,
    /// Quota: maximum number of processors that the team's tasks may use; 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of accelerator cards that the team is guaranteed; 0 for no guarantee.
    #[serde(default)]
    pub gpus: f64,
    /// Quota: maximum number of accelerator cards that the team's tasks may use; 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// The quantity that a service-level objective limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// The time from submission until the job starts (`wait` in the settings).
    Start,
    /// The time from submission until the job ends (`finished` in the settings).
    End,
    /// The time from submission until the job ends, as a multiple of the job's own deadline (`deadline` in
    /// the settings).
    Deadline,
    /// A kind that this version does not know. The objective is ignored.
    Unknown,
}

impl From<String> for ObjectiveKind {
    fn from(name: String) -> ObjectiveKind {
        match name.as_str() {
            "wait" => ObjectiveKind::Start,
            "finished" => ObjectiveKind::End,
            "deadline" => ObjectiveKind::Deadline,
            _ => ObjectiveKind::Unknown,
        }
    }
}

/// A service-level objective for a class of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// The quantity that the objective limits.
    pub kind: ObjectiveKind,
    /// Class of jobs to which the objective applies.
    #[serde(default)]
    pub class: String,
    /// Limit in seconds, for the kinds `wait` and `finished`.
    #[serde(default)]
    pub within_s: f64,
    /// Limit as a multiple of the job's own deadline, for the kind `deadline`.
    #[serde(default = "default_deadline_multiple")]
    pub times: f64,
}

fn default_deadline_multiple() -> f64 {
    1.0
}

/// Intervals and timeouts of the workers, which the platform sets.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// Seconds between heartbeats.
    pub report_s: f64,
    /// Duration of a worker's lease in seconds: a worker without a reply to a heartbeat for this long ends
    /// its tasks.
    pub lease_s: f64,
    /// Seconds for which a task waits for the other tasks of its gang to start.
    pub gang_wait_s: f64,
    /// Seconds within which the tasks of a gang detect that one of them is lost.
    pub gang_peer_s: f64,
    /// Seconds after a cancellation within which all tasks of the job must have ended.
    pub cancel_s: f64,
}

impl WorkerTimings {
    /// Fraction of a time span measured by this process's clock that has certainly passed, because clocks may
    /// drift.
    const ELAPSED_FOR_CERTAIN: f64 = 0.998;
    /// Seconds that a worker may take to end its tasks after its lease has expired.
    const WORKER_REACTION_S: f64 = 2.0;

    /// Maximum age of the leader's view of the state store while it renews workers' leases. A lease renewed
    /// at this age must have expired, and the worker's tasks must have ended, within `cancel_s` of the time
    /// of the view. Clock drift and the worker's reaction time are deducted.
    pub(super) fn max_staleness(&self) -> Micros {
        let span_s = self.cancel_s - self.lease_s;
        Micros::from_secs(span_s * Self::ELAPSED_FOR_CERTAIN - Self::WORKER_REACTION_S)
    }
}
