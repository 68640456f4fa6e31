//! The summary of spare capacity and backlog that a cell sends to other cells.

use std::collections::BTreeMap;

/// The format number of the summaries that this version sends and reads.
pub const SUMMARY_FORMAT: u32 = 1;

/// Microseconds in a millisecond.
const US_PER_MS: i64 = 1_000;

/// The reasons for which a received summary is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// The summary has a format that this version does not read. The value is its number.
    #[error("the summary has format {0}, but only format {SUMMARY_FORMAT} is supported")]
    UnknownFormat(u32),
    /// The summary was composed in the future, by this number of milliseconds.
    #[error("the summary was composed {0} ms in the future")]
    FromTheFuture(i64),
    /// The summary is too old. The value is its age in milliseconds.
    #[error("the summary is too old: {0} ms")]
    Stale(i64),
    /// A number of the summary is negative or not finite.
    #[error("the summary contains a number that is negative or not finite")]
    InvalidAmount,
}

/// A cell's spare capacity and backlog at a point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellSummary {
    /// The format number of the summary.
    pub format: u32,
    /// The time at which the summary was composed, in microseconds of wall-clock time.
    pub composed_us: i64,
    /// The number of free processors on the cell's machines, for each of its machine types by name.
    pub free_cpus: BTreeMap<String, f64>,
    /// The number of processors for which the cell accepts further tasks of other cells.
    pub spare_cpus: f64,
    /// The backlog of the cell's own arrays, in seconds for which it keeps the cell's machines busy.
    pub backlog_s: f64,
}

impl CellSummary {
    /// Checks that the summary can be used at the time `now_us`, in microseconds of wall-clock time.
    ///
    /// The summary must have a supported format. It must not be older than `max_age_us` plus `skew_us`, and
    /// not further in the future than `skew_us`, the maximum difference between the cells' clocks. All its
    /// numbers must be finite and not negative.
    ///
    /// # Errors
    /// The reason for which the summary is refused.
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
