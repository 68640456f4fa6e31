//! The platform's settings file (JSON). Fields that are not listed here are ignored: new ones may
//! come.

use std::net::SocketAddr;

use serde::Deserialize;

use super::service_limits::{CloudLimits, ProcessLimits, StateStoreLimits};
use super::ConfigError;
use crate::time::Micros;

/// The platform's settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformConfig {
    /// This controller's label.
    pub label: String,
    /// This controller's zone; empty if none is named.
    #[serde(default)]
    pub location: String,
    /// Where users, workers and health checks connect.
    pub serve_on: SocketAddr,
    /// Where the other controllers connect.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the regional services.
    pub services: RegionalServices,
    /// Everything else.
    pub settings: ClusterSettings,
}

impl PlatformConfig {
    /// Parses and checks the platform's JSON; `path` is named in the errors.
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

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its label.
    pub label: String,
    /// Its zone; empty if none is named.
    #[serde(default)]
    pub location: String,
    /// Where it listens for the other controllers.
    pub addr: SocketAddr,
}

/// Addresses of the regional services.
#[derive(Clone, Debug, Deserialize)]
pub struct RegionalServices {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state store.
    pub state: SocketAddr,
}

/// The `settings` object of the platform's file.
#[derive(Clone, Debug, Deserialize)]
pub struct ClusterSettings {
    /// How many controllers the cluster has at first.
    #[serde(default)]
    pub initial_size: usize,
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams with their quotas.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time-outs of the workers.
    pub workers: WorkerTimings,
    /// The state store's limits.
    pub state: StateStoreLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// This process's limits.
    pub limits: ProcessLimits,
    /// How far the time of day may be off, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
}

/// A team's guaranteed and highest use; zero means none.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Quota: most processors its tasks may use; 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerator cards.
    #[serde(default)]
    pub gpus: f64,
    /// Quota: most cards its tasks may use; 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What a service-level objective limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// The time until a job starts (`wait`).
    Start,
    /// The time until a job ends (`finished`).
    End,
    /// The time until a job ends, as a multiple of its own deadline (`deadline`).
    Deadline,
    /// A kind that this version does not know; the objective is ignored.
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
    /// What it limits.
    pub kind: ObjectiveKind,
    /// The class of jobs.
    #[serde(default)]
    pub class: String,
    /// Seconds, where the kind has them.
    #[serde(default)]
    pub within_s: f64,
    /// For deadlines: a multiple of the job's own.
    #[serde(default = "default_deadline_multiple")]
    pub times: f64,
}

fn default_deadline_multiple() -> f64 {
    1.0
}

/// Intervals and time-outs that workers keep to.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// Seconds between heartbeats.
    pub report_s: f64,
    /// Seconds a worker keeps its tasks without an answer to a heartbeat.
    pub lease_s: f64,
    /// Seconds a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// Seconds within which the tasks of a gang notice that one is lost.
    pub gang_peer_s: f64,
    /// Seconds within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

impl WorkerTimings {
    /// Part of a span by this process's clock that has passed for certain: clocks drift.
    const ELAPSED_FOR_CERTAIN: f64 = 0.998;
    /// Seconds that a worker may take to end its tasks.
    const WORKER_REACTION_S: f64 = 2.0;

    /// How old the leader's view of the state store may be while it renews workers' leases. The last
    /// renewal and the lease must fall within `cancel_s` of the last fresh view, with clock drift and
    /// the worker's own reaction time allowed for.
    pub(super) fn max_staleness(&self) -> Micros {
        let span_s = self.cancel_s - self.lease_s;
        Micros::from_secs(span_s * Self::ELAPSED_FOR_CERTAIN - Self::WORKER_REACTION_S)
    }
}
