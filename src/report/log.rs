//! Reads the progress of recoveries from a controller's log.

use serde::Deserialize;

use super::{page, ReportError};

/// Most lines of a log that are read.
const MAX_LINES: usize = 5_000_000;
/// The message of the events that are read.
const RECOVERY_EVENT: &str = "recovery";

/// A line of a log, as far as it is read.
#[derive(Debug, Deserialize)]
struct LogLine {
    message: String,
    #[serde(flatten)]
    fields: serde_json::Value,
}

/// How far a recovery had come at a moment, with the field names of the log.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct RecoverySample {
    /// The leader's fencing token.
    pub token: u64,
    /// Seconds since the failover.
    pub after_s: f64,
    /// Machines that earlier leaders left.
    pub machines: u64,
    /// Those of them that had neither reported nor been given up.
    pub unheard: u64,
    /// Those of them that were given up.
    pub lost: u64,
    /// Tasks that were found on a machine and agree with the records.
    pub adopted: u64,
    /// Tasks done at their workers but not recorded.
    pub finished: u64,
    /// Tasks of jobs that have ended.
    pub job_over: u64,
    /// Tasks that were recorded as done before.
    pub done_before: u64,
    /// Tasks on two machines.
    pub placed_twice: u64,
    /// Tasks that ended without success.
    pub failed: u64,
    /// Gangs of which tasks were missing.
    pub partial_gang: u64,
    /// Machines that were given up, as discrepancies.
    pub machine_lost: u64,
    /// Orders to start a task so far.
    pub starts: u64,
    /// Orders to stop a task so far.
    pub halts: u64,
    /// Orders to drop an exited task from the reports so far.
    pub forgets: u64,
    /// Seconds from the failover until every machine had reported or was lost.
    pub settled_s: Option<f64>,
}

/// The number of discrepancies of one kind.
pub(super) struct DiscrepancyCount {
    /// The kind, as the page calls it.
    pub(super) label: &'static str,
    pub(super) count: u64,
}

impl RecoverySample {
    /// The numbers of discrepancies, by kind.
    pub(super) fn discrepancies(&self) -> [DiscrepancyCount; 7] {
        [
            ("done, not recorded", self.finished),
            ("of a job that is over", self.job_over),
            ("done before", self.done_before),
            ("on two machines", self.placed_twice),
            ("ended without success", self.failed),
            ("gangs in part", self.partial_gang),
            ("machines given up", self.machine_lost),
        ]
        .map(|(label, count)| DiscrepancyCount { label, count })
    }

    /// The number of discrepancies of all kinds.
    pub(super) fn total_discrepancies(&self) -> u64 {
        self.discrepancies().iter().map(|kind| kind.count).sum()
    }
}

/// The recoveries in a log, and what could not be read of it.
#[derive(Debug, Default)]
pub struct RecoveryLog {
    /// The samples of each recovery, in the order of the log; none of them is empty.
    pub recoveries: Vec<Vec<RecoverySample>>,
    /// Number of lines that are not log lines in JSON, or whose fields cannot be read.
    unreadable: usize,
    /// Whether the last line is cut off.
    is_cut_off: bool,
}

impl RecoveryLog {
    /// Reads a log in JSON lines. Lines that cannot be read are counted and left out.
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

    /// Adds a sample to the recovery of its fencing token, or begins a new one.
    fn add_sample(&mut self, sample: RecoverySample) {
        match self.recoveries.last_mut().filter(|samples| samples[0].token == sample.token) {
            Some(samples) => samples.push(sample),
            None => self.recoveries.push(vec![sample]),
        }
    }

    /// What of the log is left out, as the end of a sentence; empty if nothing is.
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

    /// The HTML page of all recoveries.
    pub fn page(&self) -> Result<String, ReportError> {
        page::render(&self.recoveries, &self.omissions())
    }
}
