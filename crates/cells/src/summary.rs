//! What a cell tells others of its room.

use std::collections::BTreeMap;

/// The form of summaries that this version sends and reads.
pub const SUMMARY_FORM: u32 = 1;

/// A summary that is of no use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// A form that this version does not read.
    #[error("a summary of form {0}, known is {SUMMARY_FORM}")]
    UnknownForm(u32),
    /// Composed later than now.
    #[error("a summary from {0} ms in the future")]
    FromTheFuture(i64),
    /// Composed too long ago.
    #[error("a summary that is {0} ms old")]
    Stale(i64),
    /// A figure that is no amount.
    #[error("a summary with an amount that is none")]
    NoAmount,
}

/// A cell's room and backlog at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellSummary {
    /// The form.
    pub form: u32,
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
    /// Whether it can be acted on at a moment (in microseconds of the time of day): of a known form, no
    /// older than `max_age_us`, and no further in the future than clocks may differ.
    pub fn check(&self, now_us: i64, max_age_us: i64, skew_us: i64) -> Result<(), SummaryError> {
        if self.form != SUMMARY_FORM {
            return Err(SummaryError::UnknownForm(self.form));
        }
        let age_us = now_us.saturating_sub(self.composed_us);
        if age_us < -skew_us {
            return Err(SummaryError::FromTheFuture(-age_us / 1000));
        }
        if age_us > max_age_us + skew_us {
            return Err(SummaryError::Stale(age_us / 1000));
        }
        let mut amounts = self.free_cpus.values().chain([&self.spare_cpus, &self.backlog_s]);
        if amounts.any(|amount| !amount.is_finite() || *amount < 0.0) {
            return Err(SummaryError::NoAmount);
        }
        Ok(())
    }
}
