//! Settings: the platform's JSON file and the operators' own HCL file. Both are checked in full
//! before anything starts; a mistake is one line that names the field.

mod cells;
mod fleet_size;

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

use crate::http::{ServerLimits, READER_THREADS};
use crate::time::Micros;

pub use cells::{CellsSettings, OtherCell};
pub use fleet_size::TARGET_MACHINES;

/// What is wrong with the settings, in one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("{path}: cannot be read: {why}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's reason.
        why: String,
    },
    /// The file is not of the right form.
    #[error("{path}: {why}")]
    Malformed {
        /// The file.
        path: String,
        /// The parser's reason, with the field's name.
        why: String,
    },
    /// A field's value cannot be used.
    #[error("{field}: {why}")]
    Field {
        /// The field, with its place.
        field: String,
        /// What it must be.
        why: String,
    },
}

fn bad(field: impl Into<String>, why: impl Into<String>) -> ConfigError {
    ConfigError::Field { field: field.into(), why: why.into() }
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its label.
    pub label: String,
    /// Its zone.
    #[serde(default)]
    pub location: String,
    /// Where it listens for the other controllers.
    pub addr: SocketAddr,
}

/// Addresses of the regional services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// A team's guarantee and limit; zero means none.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors its tasks may use; 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerator cards.
    #[serde(default)]
    pub gpus: f64,
    /// Most cards its tasks may use; 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim that users state for a class of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// `wait`, `finished` or `deadline`; other kinds are ignored.
    pub kind: String,
    /// The class of jobs.
    #[serde(default)]
    pub class: String,
    /// Seconds, where the kind has them.
    #[serde(default)]
    pub within_s: f64,
    /// For deadlines: how many times the job's own.
    #[serde(default = "once")]
    pub times: f64,
}

fn once() -> f64 {
    1.0
}

/// Times that workers keep to.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Seconds between reports.
    pub report_s: f64,
    /// Seconds a worker keeps its tasks without an answer.
    pub lease_s: f64,
    /// Seconds a gang task waits for the others.
    pub gang_wait_s: f64,
    /// Seconds within which the tasks of a gang notice a loss.
    pub gang_peer_s: f64,
    /// Seconds within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

impl Workers {
    /// How long an owner that cannot see cancellations may go on renewing leases: the last renewal plus
    /// the lease must fall within `cancel_s` of the last fresh view, with drift and the worker's own
    /// answer time allowed for.
    fn blind_bound(&self) -> Micros {
        Micros::from_secs((self.cancel_s - self.lease_s) * 0.998 - 2.0)
    }
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// KiB in a value.
    pub value_kb: f64,
    /// Puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Limits of the state service from some moment on; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// KiB in a value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// KiB in a value, within the present and the coming limit.
    pub fn least_value_kb(&self) -> f64 {
        let next = self.next.as_ref().and_then(|n| n.value_kb);
        next.map_or(self.value_kb, |n| n.min(self.value_kb))
    }

    /// Puts and deletes in a transaction, within the present and the coming limit.
    pub fn least_txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|n| n.txn_ops);
        next.map_or(self.txn_ops, |n| n.min(self.txn_ops))
    }

    /// The coming rates as shares of the present ones, at most 1: requests, then changes.
    pub fn next_rates(&self) -> (f64, f64) {
        let share = |now: f64, next: Option<f64>| next.map_or(1.0, |n| (n / now).min(1.0));
        let next = self.next.clone().unwrap_or_default();
        (share(self.rps, next.rps), share(self.write_rps, next.write_rps))
    }
}

/// Limits of the cloud's interface.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Seconds that the machine list is late.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Share of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

/// The `settings` object of the platform's file.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// How many controllers there are.
    #[serde(default)]
    pub initial_size: usize,
    /// The zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The users' aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' times.
    pub workers: Workers,
    /// The state service's limits.
    pub state: StateLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// This process's limits.
    pub limits: Limits,
    /// How far the time of day may be off, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
}

/// The platform's settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// This controller's label.
    pub label: String,
    /// This controller's zone.
    #[serde(default)]
    pub location: String,
    /// Where users, workers and health checks connect.
    pub serve_on: SocketAddr,
    /// Where the other controllers connect.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The regional services.
    pub services: Services,
    /// Everything else.
    pub settings: Settings,
}

/// The operators' own settings, all with defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// How long the leader's lease lasts, in seconds.
    pub leader_ttl_s: f64,
    /// A machine that stays silent this long after a takeover is returned, in seconds.
    pub fence_after_s: f64,
    /// Spare room is rented so that waiting array work drains in this time, in seconds.
    pub drain_s: f64,
    /// An idle machine is returned after this time, in seconds.
    pub idle_s: f64,
    /// An idle machine of a type that hasty jobs depend on is returned after this time, if there
    /// are more of them than those jobs kept busy.
    pub idle_protected_s: f64,
    /// An idle machine of a type that jobs with deadlines used of late is returned after this: by
    /// the time another is up and has their images, much of what a deadline leaves is gone.
    pub idle_deadline_s: f64,
    /// A machine that is not up after this many times its nominal boot time gets a second one
    /// beside it.
    pub slow_boot: f64,
    /// Most users' and workers' connections at once; 0 derives it from the platform's limit.
    pub max_connections: usize,
    /// Most threads of this process at once, every duty counted.
    pub max_threads: usize,
    /// Rooms of a large type kept clear of low ranks.
    pub keep_clear: usize,
    /// Past jobs kept for each key of the history.
    pub history_per_key: usize,
    /// False switches the adjustment of run times off (for measuring).
    pub adjust: bool,
    /// False switches the reservation off (for measuring).
    pub reserve: bool,
    /// Lending to and borrowing from other cells; none: off.
    pub cells: Option<CellsSettings>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            leader_ttl_s: 3.0,
            fence_after_s: 25.0,
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

/// All settings, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The platform's file.
    pub platform: Platform,
    /// The operators' file, or its defaults.
    pub operator: Operator,
}

/// Memory that an open connection takes while its request is read and answered, generously, in
/// KiB. Quiet ones take next to nothing.
const CONNECTION_KB: f64 = 8.0;
/// Threads of the duties: nine, three for the other controllers, their runtime, the one that
/// waits for readiness, the main one, and those that send direct commands.
pub const DUTY_THREADS: usize = 15 + COMMAND_THREADS;
/// Threads that bring a new owner's token to machines at once.
pub const RAISE_THREADS: usize = 6;
/// Threads that send halts at once.
pub const HALT_THREADS: usize = 9;
/// Threads that send direct commands at once.
const COMMAND_THREADS: usize = RAISE_THREADS + HALT_THREADS;
/// Sockets of the duties: listeners, watches, the cloud, the other controllers, direct commands.
const DUTY_SOCKETS: usize = 17 + COMMAND_THREADS;

/// Workers report after up to so many times their interval.
const LATEST_REPORT: f64 = 1.25;
/// With a shorter bound on acting without the state service an owner would answer hardly any report,
/// since its view of the state service is never fresher than the interval of its reads.
const LEAST_BLIND_BOUND: Micros = Micros::from_millis(400);
/// The least KiB of a value: a job's record with the longest names that are usual fits.
const LEAST_VALUE_KB: f64 = 1.0;
/// The fewest changes of a transaction.
const LEAST_TXN_OPS: usize = 4;

fn positive(field: &str, v: f64) -> Result<(), ConfigError> {
    if v.is_finite() && v > 0.0 {
        Ok(())
    } else {
        Err(bad(field, format!("must be a number above 0, not {v}")))
    }
}

fn not_negative(field: &str, v: f64) -> Result<(), ConfigError> {
    if v.is_finite() && v >= 0.0 {
        Ok(())
    } else {
        Err(bad(field, format!("must be a number of at least 0, not {v}")))
    }
}

impl Config {
    /// Reads and checks both files; no operators' file means the defaults.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Config, ConfigError> {
        let text = read(platform)?;
        let platform = Platform::parse(&text, &platform.display().to_string())?;
        let operator = match operator {
            Some(p) => Operator::parse(&read(p)?, &p.display().to_string())?,
            None => Operator::default(),
        };
        Ok(Config { platform, operator })
    }

    /// How many controllers there are in all.
    pub fn nodes(&self) -> usize {
        self.platform.members.len() + 1
    }

    /// The workers' lease.
    pub fn lease(&self) -> Micros {
        Micros::from_secs(self.platform.settings.workers.lease_s)
    }

    /// How long an owner that cannot see cancellations may go on renewing leases.
    pub fn blind_bound(&self) -> Micros {
        self.platform.settings.workers.blind_bound()
    }

    /// Room for callers. Connections: what the operators say, or else what the platform allows,
    /// less the sockets that the duties and the answers to users need, within half the memory; an
    /// eighth is for users and probes alone. Threads: what the operators say, less the duties.
    pub fn server_limits(&self) -> ServerLimits {
        let l = &self.platform.settings.limits;
        let threads = self.caller_threads();
        let interactive_threads = self.interactive_threads();
        let connections = match self.operator.max_connections {
            0 => {
                let by_memory = (l.ram_mb * 0.5 * 1024.0 / CONNECTION_KB) as usize;
                self.connections_by_sockets().min(by_memory).max(8)
            }
            n => n,
        };
        ServerLimits {
            connections,
            background_connections: connections - connections / 8,
            interactive_threads,
            background_threads: (threads - threads * 2 / 3).max(1),
        }
    }

    /// Threads that answer callers.
    fn caller_threads(&self) -> usize {
        let lending = usize::from(self.operator.cells.is_some());
        self.operator.max_threads.saturating_sub(DUTY_THREADS + READER_THREADS + lending).max(2)
    }

    /// Threads that answer users and probes. Each answer to a user may need a connection to the state
    /// service.
    fn interactive_threads(&self) -> usize {
        (self.caller_threads() * 2 / 3).min(self.platform.settings.limits.max_sockets / 8).max(1)
    }

    /// Connections of callers that the platform's limit of sockets leaves beside the service's own.
    fn connections_by_sockets(&self) -> usize {
        let max_sockets = self.platform.settings.limits.max_sockets;
        let own = (DUTY_SOCKETS + self.interactive_threads()).min(max_sockets / 2);
        max_sockets - own
    }

    /// Bytes that a value may hold, now and after the coming change of limits.
    pub fn value_bytes(&self) -> usize {
        (self.platform.settings.state.least_value_kb() * 1024.0) as usize
    }

    /// Puts and deletes that a transaction may hold, now and after the coming change of limits.
    pub fn txn_ops(&self) -> usize {
        self.platform.settings.state.least_txn_ops()
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.platform.settings.teams.iter().find(|t| t.name == name)
    }
}

/// Checks that a record fits a value, and the changes that belong together a transaction: a claim of
/// ownership takes three.
fn check_sizes(at: &str, value_kb: f64, txn_ops: usize) -> Result<(), ConfigError> {
    if value_kb < LEAST_VALUE_KB {
        return Err(bad(format!("{at}.value_kb"), format!("must be at least {LEAST_VALUE_KB}")));
    }
    if txn_ops < LEAST_TXN_OPS {
        return Err(bad(format!("{at}.txn_ops"), format!("must be at least {LEAST_TXN_OPS}")));
    }
    Ok(())
}

fn read(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|e| ConfigError::Unreadable { path: path.display().to_string(), why: e.to_string() })
}

impl Platform {
    /// Parses and checks the platform's JSON.
    pub fn parse(text: &str, path: &str) -> Result<Platform, ConfigError> {
        let p: Platform = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))
            .map_err(|e| ConfigError::Malformed { path: path.into(), why: e.to_string() })?;
        p.check()?;
        Ok(p)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.label.is_empty() || self.label.len() > 100 || self.label.contains(['/', ' ']) {
            return Err(bad("label", "must be 1 to 100 bytes with no slash or space"));
        }
        for (i, m) in self.members.iter().enumerate() {
            if m.label == self.label || self.members[..i].iter().any(|o| o.label == m.label) {
                return Err(bad(format!("members[{i}].label"), format!("{} is there twice", m.label)));
            }
        }
        let s = &self.settings;
        for (i, t) in s.teams.iter().enumerate() {
            let at = |f: &str| format!("settings.teams[{i}].{f}");
            if t.name.is_empty() {
                return Err(bad(at("name"), "must not be empty"));
            }
            if s.teams[..i].iter().any(|o| o.name == t.name) {
                return Err(bad(at("name"), format!("{} is there twice", t.name)));
            }
            not_negative(&at("cpus"), t.cpus)?;
            not_negative(&at("cpus_max"), t.cpus_max)?;
            not_negative(&at("gpus"), t.gpus)?;
            not_negative(&at("gpus_max"), t.gpus_max)?;
        }
        let w = &s.workers;
        positive("settings.workers.report_s", w.report_s)?;
        positive("settings.workers.lease_s", w.lease_s)?;
        not_negative("settings.workers.gang_wait_s", w.gang_wait_s)?;
        not_negative("settings.workers.gang_peer_s", w.gang_peer_s)?;
        positive("settings.workers.cancel_s", w.cancel_s)?;
        if w.report_s * LATEST_REPORT >= w.lease_s {
            return Err(bad("settings.workers.report_s", "must be well below lease_s: leases would run out"));
        }
        if w.cancel_s <= w.lease_s {
            return Err(bad("settings.workers.cancel_s", "must be above lease_s"));
        }
        if w.blind_bound() < LEAST_BLIND_BOUND {
            let least = "must be at least 2.5 s above lease_s: no report could be answered";
            return Err(bad("settings.workers.cancel_s", least));
        }
        positive("settings.state.rps", s.state.rps)?;
        positive("settings.state.write_rps", s.state.write_rps)?;
        positive("settings.state.value_kb", s.state.value_kb)?;
        check_sizes("settings.state", s.state.value_kb, s.state.txn_ops)?;
        if let Some(next) = &s.state.next {
            let at = "settings.state.next";
            positive(&format!("{at}.rps"), next.rps.unwrap_or(s.state.rps))?;
            positive(&format!("{at}.write_rps"), next.write_rps.unwrap_or(s.state.write_rps))?;
            positive(&format!("{at}.value_kb"), next.value_kb.unwrap_or(s.state.value_kb))?;
            check_sizes(at, s.state.least_value_kb(), s.state.least_txn_ops())?;
        }
        positive("settings.cloud.rps", s.cloud.rps)?;
        not_negative("settings.cloud.list_lag_s", s.cloud.list_lag_s)?;
        positive("settings.limits.cpu", s.limits.cpu)?;
        positive("settings.limits.ram_mb", s.limits.ram_mb)?;
        if s.limits.max_sockets < 16 {
            return Err(bad("settings.limits.max_sockets", "must be at least 16"));
        }
        not_negative("settings.skew_ms", s.skew_ms)
    }
}

impl Operator {
    /// Parses and checks the operators' HCL.
    pub fn parse(text: &str, path: &str) -> Result<Operator, ConfigError> {
        let bad_file =
            |why: String| ConfigError::Malformed { path: path.into(), why: why.replace('\n', " ") };
        let v: serde_json::Value = hcl::from_str(text).map_err(|e| bad_file(e.to_string()))?;
        let o: Operator = serde_path_to_error::deserialize(v).map_err(|e| bad_file(e.to_string()))?;
        positive("leader_ttl_s", o.leader_ttl_s)?;
        if !(1.0..=60.0).contains(&o.leader_ttl_s) {
            return Err(bad("leader_ttl_s", "must be from 1 to 60"));
        }
        positive("fence_after_s", o.fence_after_s)?;
        positive("drain_s", o.drain_s)?;
        not_negative("idle_s", o.idle_s)?;
        not_negative("idle_protected_s", o.idle_protected_s)?;
        not_negative("idle_deadline_s", o.idle_deadline_s)?;
        positive("slow_boot", o.slow_boot)?;
        if !(DUTY_THREADS + READER_THREADS + 8..=1900).contains(&o.max_threads) {
            let least = DUTY_THREADS + READER_THREADS + 8;
            return Err(bad("max_threads", format!("must be from {least} to 1900")));
        }
        if o.max_connections == 1 {
            return Err(bad("max_connections", "must be 0 or at least 2"));
        }
        if o.history_per_key < 10 || o.history_per_key > 10_000 {
            return Err(bad("history_per_key", "must be from 10 to 10000"));
        }
        o.cells.as_ref().map_or(Ok(()), CellsSettings::check)?;
        Ok(o)
    }
}
