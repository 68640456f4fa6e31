//! Histograms of the answer times, logged once a minute.

use hdrhistogram::Histogram;

use super::Controller;
use crate::time::{Micros, Steady};
use crate::wire::HEARTBEAT_PATH;

/// Longest time that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// How often the answer times are logged.
const LOG_INTERVAL: Micros = Micros::from_millis(60_000);

/// Answer times since they were last logged.
pub(super) struct Latencies {
    pub(super) users: Histogram<u64>,
    pub(super) workers: Histogram<u64>,
    pub(super) logged_at: Steady,
}

impl Controller {
    /// Records how long a request took; logs the histograms and resets them when they are due.
    pub(super) fn record_latency(&self, path: &str, since: Steady) {
        let took = (self.now() - since).0.clamp(1, MAX_LATENCY_US as i64) as u64;
        let mut latencies = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        let histogram = if path == HEARTBEAT_PATH { &mut latencies.workers } else { &mut latencies.users };
        // Within the bounds by the clamp above.
        let _ = histogram.record(took);
        if self.now() - latencies.logged_at < LOG_INTERVAL {
            return;
        }
        for (who, histogram) in [("users", &latencies.users), ("workers", &latencies.workers)] {
            if !histogram.is_empty() {
                tracing::info!(
                    who,
                    answers = histogram.len(),
                    p50_us = histogram.value_at_quantile(0.5),
                    p99_us = histogram.value_at_quantile(0.99),
                    max_us = histogram.max(),
                    "response latency, last minute"
                );
            }
        }
        latencies.users.reset();
        latencies.workers.reset();
        latencies.logged_at = self.now();
    }
}

/// An empty histogram of times in microseconds.
pub(super) fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
}
