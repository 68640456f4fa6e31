//! How long requests take, logged once a minute.

use hdrhistogram::Histogram;

use super::Node;
use crate::time::{Micros, Steady};
use crate::wire::REPORT_PATH;

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

impl Node {
    /// Keeps how long a request took, and now and then says how long they take.
    pub(super) fn record_latency(&self, path: &str, since: Steady) {
        let took = (self.now() - since).0.clamp(1, MAX_LATENCY_US as i64) as u64;
        let mut l = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        let h = if path == REPORT_PATH { &mut l.workers } else { &mut l.users };
        // Within the bounds by the clamp above.
        let _ = h.record(took);
        if self.now() - l.logged_at < LOG_INTERVAL {
            return;
        }
        for (who, h) in [("users", &l.users), ("workers", &l.workers)] {
            if !h.is_empty() {
                tracing::info!(
                    who,
                    answers = h.len(),
                    p50_us = h.value_at_quantile(0.5),
                    p99_us = h.value_at_quantile(0.99),
                    max_us = h.max(),
                    "answer times of the last minute"
                );
            }
        }
        l.users.reset();
        l.workers.reset();
        l.logged_at = self.now();
    }
}

/// An empty histogram of times in microseconds.
pub(super) fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
}
