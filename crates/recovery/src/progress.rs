//! Counters and the progress of a recovery. The serialized names are part of the status.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::discrepancy::Discrepancy;

/// The kinds of commands to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommandKind {
    /// Start a task.
    Start,
    /// Stop a task.
    Halt,
    /// Drop an exited task from the worker's reports.
    Forget,
}

/// Numbers of commands to workers since the failover, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandCounts {
    /// Number of commands to start a task.
    pub starts: u64,
    /// Number of commands to stop a task, including repeated ones.
    pub halts: u64,
    /// Number of commands to drop an exited task from the reports, including repeated ones.
    pub forgets: u64,
}

impl CommandCounts {
    /// Counts a command.
    pub fn add(&mut self, kind: CommandKind) {
        let count = match kind {
            CommandKind::Start => &mut self.starts,
            CommandKind::Halt => &mut self.halts,
            CommandKind::Forget => &mut self.forgets,
        };
        *count += 1;
    }

    /// Number of commands of all kinds.
    pub fn total(&self) -> u64 {
        self.starts + self.halts + self.forgets
    }
}

/// Numbers of discrepancies by kind. A kind of which none was found has no entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiscrepancyCounts(BTreeMap<Discrepancy, u64>);

impl DiscrepancyCounts {
    /// Counts a discrepancy.
    pub fn add(&mut self, discrepancy: Discrepancy) {
        *self.0.entry(discrepancy).or_default() += 1;
    }

    /// Number of discrepancies of a kind.
    pub fn count(&self, discrepancy: Discrepancy) -> u64 {
        self.0.get(&discrepancy).copied().unwrap_or(0)
    }

    /// Number of discrepancies of all kinds.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// The progress of a recovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveryProgress {
    /// Seconds since the failover.
    pub after_s: f64,
    /// Number of machines that earlier leaders registered.
    pub machines: u64,
    /// Number of these machines that have not reported and are not lost.
    #[serde(rename = "unheard")]
    pub not_reported: u64,
    /// Number of these machines that were lost before they reported.
    pub lost: u64,
    /// Number of tasks that were found on a machine and agree with the records.
    pub adopted: u64,
    /// Discrepancies that were found so far.
    #[serde(rename = "differences")]
    pub discrepancies: DiscrepancyCounts,
    /// Commands that were sent to workers so far.
    #[serde(rename = "orders")]
    pub commands: CommandCounts,
    /// Seconds from the failover until every machine had reported or was lost; `None` until then.
    #[serde(rename = "settled_s")]
    pub completed_after_s: Option<f64>,
}
