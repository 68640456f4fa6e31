//! Reads the progress of recoveries after failovers from a controller's log.

use serde::Deserialize;

use super::{page, ReportError};

/// Maximum number of lines that are read from a log.
const MAX_LINES: usize = 5_000_000;
/// Message of the log lines that contain a sample of a recovery.
const RECOVERY_EVENT: &str = "recovery";

/// A log line in JSON: its message and all other fields.
#[derive(Debug, Deserialize)]
struct LogLine {
    message: String,
    #[serde(flatten)]
    fields: serde_json::Value,
}

/// The progress of a recovery at one time. The fields have the names of the log's fields. The counts of
/// discrepancies and commands are totals since the failover.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct RecoverySample {
    /// The leader's fencing token.
    pub token: u64,
    /// Seconds since the failover.
    pub after_s: f64,
    /// Machines that the leader took over from earlier leaders.
    pub machines: u64,
    /// Number of these machines that have not sent a heartbeat since the failover and do not count as lost.
    pub unheard: u64,
    /// Number of these machines that count as lost.
    pub lost: u64,
    /// Tasks found on a machine in agreement with the records.
    pub adopted: u64,
    /// Discrepancies: tasks that were done on their machine but not recorded as done.
    pub finished: u64,
    /// Discrepancies: tasks on a machine whose job has ended.
    pub job_over: u64,
    /// Discrepancies: tasks on a machine that were already recorded as done.
    pub done_before: u64,
    /// Discrepancies: tasks that were on two machines.
    pub placed_twice: u64,
    /// Discrepancies: tasks that had exited without success.
    pub failed: u64,
    /// Discrepancies: gangs of which some tasks were missing.
    pub partial_gang: u64,
    /// Discrepancies: machines that were lost.
    pub machine_lost: u64,
    /// Commands to start a task.
    pub starts: u64,
    /// Commands to stop a task.
    pub halts: u64,
    /// Commands to remove an exited task from the heartbeats.
    pub forgets: u64,
    /// Seconds from the failover until each machine had sent a heartbeat or counted as lost; none until then.
    pub settled_s: Option<f64>,
}

/// The number of discrepancies of one kind.
pub(super) struct DiscrepancyCount {
    /// Name of the kind on the page.
    pub(super) label: &'static str,
    pub(super) count: u64,
}

impl RecoverySample {
    /// The number of discrepancies of each kind.
    pub(super) fn discrepancies(&self) -> [DiscrepancyCount; 7] {
        [
            ("done, not recorded", self.finished),
            ("job has ended", self.job_over),
            ("already recorded as done", self.done_before),
            ("on two machines", self.placed_twice),
            ("ended without success", self.failed),
            ("incomplete gangs", self.partial_gang),
            ("machines lost", self.machine_lost),
        ]
        .map(|(label, count)| DiscrepancyCount { label, count })
    }

    /// The total number of discrepancies.
    pub(super) fn total_discrepancies(&self) -> u64 {
        self.discrepancies().iter().map(|kind| kind.count).sum()
    }
}

/// The recoveries in a log, and how much of the log could not be read.
#[derive(Debug, Default)]
pub struct RecoveryLog {
    /// The samples of each recovery, in the order of the log. Each recovery has at least one sample.
    pub recoveries: Vec<Vec<RecoverySample>>,
    /// Number of lines that are not log lines in JSON, and of recovery events with fields that cannot be
    /// read.
    unreadable: usize,
    /// Whether the last line is incomplete.
    is_cut_off: bool,
}

impl RecoveryLog {
    /// Reads a log with one JSON object per line. Lines that cannot be read are counted and skipped.
    pub fn read(bytes: &[u8]) -> Result<RecoveryLog, ReportError> {
        let text = String::from_utf8_lossy(bytes);
        if text.trim().is_empty() {
            return Err(ReportError::Empty);
        }
        let mut log = RecoveryLog::default();
        let mut has_log_lines = false;
        let mut lines = text.lines().filter(|line| !line.trim().is_empty()).take(MAX_LINES).peekable();
        while let Some(line) = lines.next() {
            let is_cut_off = lines.peek().is_none() && !text.ends_with('\n');
            match serde_json::from_str::<LogLine>(line) {
                Ok(line) => {
                    has_log_lines = true;
                    log.add_line(line);
                }
                Err(_) if is_cut_off => log.is_cut_off = true,
                Err(_) => log.unreadable += 1,
            }
        }
        match (has_log_lines, log.recoveries.is_empty()) {
            (false, _) => Err(ReportError::NotALog),
            (true, true) => Err(ReportError::NoRecovery),
            (true, false) => Ok(log),
        }
    }

    fn add_line(&mut self, line: LogLine) {
        if line.message != RECOVERY_EVENT {
            return;
        }
        match serde_json::from_value::<RecoverySample>(line.fields) {
            Ok(sample) if sample.after_s.is_finite() => self.add_sample(sample),
            _ => self.unreadable += 1,
        }
    }

    /// Adds a sample to the last recovery if it has the same fencing token, otherwise to a new recovery.
    fn add_sample(&mut self, sample: RecoverySample) {
        match self.recoveries.last_mut().filter(|samples| samples[0].token == sample.token) {
            Some(samples) => samples.push(sample),
            None => self.recoveries.push(vec![sample]),
        }
    }

    /// Text that says which parts of the log were skipped, to be appended to a sentence; empty if none were.
    pub fn omissions(&self) -> String {
        let mut omissions = String::new();
        if self.unreadable > 0 {
            omissions += &format!("; {} lines could not be read", self.unreadable);
        }
        if self.is_cut_off {
            omissions += "; the last line is cut off";
        }
        omissions
    }

    /// Renders the HTML page of all recoveries.
    pub fn page(&self) -> Result<String, ReportError> {
        page::render(&self.recoveries, &self.omissions())
    }
}
