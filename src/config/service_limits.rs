//! The limits that the platform sets: those of the state store, of the cloud and of this process.

use serde::Deserialize;

use crate::state::RateShares;

/// Limits of the state store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateStoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without further notice.
    #[serde(default)]
    pub next: Option<NextStateStoreLimits>,
}

/// Limits of the state store from some moment on; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateStoreLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateStoreLimits {
    /// Largest value that fits both the present and the next limit, in KiB.
    pub fn min_value_kb(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        next.map_or(self.value_kb, |next| next.min(self.value_kb))
    }

    /// Most puts and deletes in a transaction that fits both the present and the next limit.
    pub fn min_txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        next.map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }

    /// The next rates as fractions of the present ones, at most 1.
    pub fn next_rates(&self) -> RateShares {
        let fraction = |now: f64, next: Option<f64>| next.map_or(1.0, |next| (next / now).min(1.0));
        let next = self.next.clone().unwrap_or_default();
        RateShares {
            requests: fraction(self.rps, next.rps),
            writes: fraction(self.write_rps, next.write_rps),
        }
    }
}

/// Limits of the cloud's interface.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Seconds by which the machine list lags behind.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Share of a processor core.
    pub cpu: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}
