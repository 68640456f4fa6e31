//! The limits that the platform sets for the state store, for the cloud and for this process.

use serde::Deserialize;

use crate::state::RateShares;

/// Limits of the state store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateStoreLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that will replace the current ones at an unknown time, without further notice.
    #[serde(default)]
    pub next: Option<NextStateStoreLimits>,
}

/// Limits of the state store that will take effect at an unknown time. A limit that is `None` does not
/// change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateStoreLimits {
    /// Maximum number of requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateStoreLimits {
    /// The smaller of the current and the next limit of a value, in KiB.
    pub fn min_value_kb(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        next.map_or(self.value_kb, |next| next.min(self.value_kb))
    }

    /// The smaller of the current and the next limit of puts and deletes in a transaction.
    pub fn min_txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        next.map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }

    /// The next rate limits as fractions of the current ones, at most 1.
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
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum delay in seconds until a change of a machine is visible in the machine list.
    pub list_lag_s: f64,
}

/// The resources that this process may use.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Processor time per second of elapsed time; 1 is a whole processor core.
    pub cpu: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}
