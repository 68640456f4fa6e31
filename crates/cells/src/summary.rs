//! What a cell tells others of its spare capacity.

use std::collections::BTreeMap;

/// The format of summaries that this version sends and reads.
pub const SUMMARY_FORMAT: u32 = 1;

/// Microseconds in a millisecond.
const US_PER_MS: i64 = 1_000;

/// Why a summary cannot be acted on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// A format that this version does not read.
    #[error("a summary of form {0}, known is {SUMMARY_FORMAT}")]
    UnknownFormat(u32),
    /// Composed this many milliseconds later than now.
    #[error("a summary from {0} ms in the future")]
    FromTheFuture(i64),
    /// Composed too long ago; its age in milliseconds.
    #[error("a summary that is {0} ms old")]
    Stale(i64),
    /// A figure that is negative or not finite.
    #[error("a summary with an amount that is none")]
    InvalidAmount,
}

/// A cell's spare capacity and backlog at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellSummary {
    /// The format of the summary.
    pub format: u32,
    /// When it was composed, in microseconds of the time of day.
    pub composed_us: i64,
    /// Free processors on present machines, by machine type that the cell has.
    pub free_cpus: BTreeMap<String, f64>,
    /// Processors' worth of tasks that it would take on altogether.
    pub spare_cpus: f64,
    /// Seconds for which its own array backlog keeps its machines busy.
    pub backlog_s: f64,
}

impl CellSummary {
    /// Checks that the summary can be acted on at a moment (`now_us`, in microseconds of the time of
    /// day): its format is known, it is no older than `max_age_us`, no further in the future than clocks
    /// may differ (`skew_us`), and all its figures are amounts.
    pub fn check(&self, now_us: i64, max_age_us: i64, skew_us: i64) -> Result<(), SummaryError> {
        if self.format != SUMMARY_FORMAT {
            return Err(SummaryError::UnknownFormat(self.format));
        }
        let age_us = now_us.saturating_sub(self.composed_us);
        if age_us < -skew_us {
            return Err(SummaryError::FromTheFuture(-age_us / US_PER_MS));
        }
        if age_us > max_age_us + skew_us {
            return Err(SummaryError::Stale(age_us / US_PER_MS));
        }
        let mut amounts = self.free_cpus.values().chain([&self.spare_cpus, &self.backlog_s]);
        if amounts.any(|amount| !amount.is_finite() || *amount < 0.0) {
            return Err(SummaryError::InvalidAmount);
        }
        Ok(())
    }
}
