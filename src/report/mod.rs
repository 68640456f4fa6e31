//! The report of `milletlock report`: one self-contained HTML page about the recoveries after failovers in a
//! log.

mod chart;
mod log;
mod page;

pub use log::{RecoveryLog, RecoverySample};

/// Why no report can be made of a log.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The file is empty or contains only whitespace.
    #[error("the log is empty")]
    Empty,
    /// No line of the file is a log line in JSON.
    #[error("no line is a log line in JSON; write the log with LOG_FORMAT=json")]
    NotALog,
    /// The log contains no recovery event.
    #[error("the log contains no recovery event; it needs LOG_LEVEL=info and a failover with machines")]
    NoRecovery,
    /// A chart cannot be drawn, for the reason given.
    #[error("a chart cannot be drawn: {0}")]
    Chart(String),
}
