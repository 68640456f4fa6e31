//! Histograms of response latencies, logged once a minute.

use hdrhistogram::{CreationError, Histogram};

use super::Controller;
use crate::time::{Micros, Steady};
use crate::wire::HEARTBEAT_PATH;

/// Largest latency in the histograms, in microseconds. Longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Interval at which the latencies are logged.
const LOG_INTERVAL: Micros = Micros::from_millis(60_000);

/// Histograms of the latencies since the last log messages, in microseconds.
pub(super) struct Latencies {
    users: Histogram<u64>,
    workers: Histogram<u64>,
    logged_at: Steady,
}

impl Latencies {
    /// Empty histograms, to be logged [`LOG_INTERVAL`] after `now`.
    pub(super) fn new(now: Steady) -> Result<Latencies, CreationError> {
        Ok(Latencies { users: empty_histogram()?, workers: empty_histogram()?, logged_at: now })
    }

    /// Logs the histograms and resets them.
    fn log_and_reset(&mut self) {
        for (caller, histogram) in [("users", &mut self.users), ("workers", &mut self.workers)] {
            if !histogram.is_empty() {
                tracing::info!(
                    caller,
                    answers = histogram.len(),
                    p50_us = histogram.value_at_quantile(0.5),
                    p99_us = histogram.value_at_quantile(0.99),
                    max_us = histogram.max(),
                    "response latency, last minute"
                );
            }
            histogram.reset();
        }
    }
}

impl Controller {
    /// Records how long a request to `path` took that began at `since`. Logs the histograms if they are due.
    pub(super) fn record_latency(&self, path: &str, since: Steady) {
        let latency_us = (self.now() - since).0.clamp(1, MAX_LATENCY_US as i64) as u64;
        let mut latencies = super::lock_ignoring_poison(&self.latencies);
        let histogram = if path == HEARTBEAT_PATH { &mut latencies.workers } else { &mut latencies.users };
        // The clamped latency is within the histogram's bounds, so recording cannot fail.
        let _ = histogram.record(latency_us);
        if self.now() - latencies.logged_at < LOG_INTERVAL {
            return;
        }
        latencies.log_and_reset();
        latencies.logged_at = self.now();
    }
}

/// An empty histogram of latencies in microseconds.
fn empty_histogram() -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
}
