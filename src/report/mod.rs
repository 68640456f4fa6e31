//! The report that `milletlock report` makes of a log: how recoveries after failovers went, as one
//! self-contained HTML page.

mod chart;
mod log;
mod page;

pub use log::{RecoveryLog, RecoverySample};

/// Why no page can be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// There is nothing in the file.
    #[error("the log is empty")]
    Empty,
    /// No line is a log line in JSON.
    #[error("no line of it is a log line in JSON; write the log with LOG_FORMAT=json")]
    NotALog,
    /// It is a log, but has no event of a recovery.
    #[error("the log tells of no recovery; it needs LOG_LEVEL=info, and a takeover of machines")]
    NoRecovery,
    /// A chart cannot be drawn; the reason.
    #[error("a chart cannot be drawn: {0}")]
    Chart(String),
}
