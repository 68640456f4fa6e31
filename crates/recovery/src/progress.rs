//! What is counted during a recovery. The serialized names are part of the status.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::discrepancy::Discrepancy;

/// Kinds of commands to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommandKind {
    /// A task is started.
    Start,
    /// A task is stopped.
    Halt,
    /// An exited task is dropped from the worker's reports.
    Forget,
}

/// Commands since the failover, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandCounts {
    /// Commands to start a task.
    pub starts: u64,
    /// Commands to stop a task, repeated ones included.
    pub halts: u64,
    /// Commands to drop an exited task from the reports, repeated ones included.
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

/// Numbers of discrepancies by kind; a kind without any has no entry.
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

/// How far a recovery has come.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveryProgress {
    /// Seconds since the failover.
    pub after_s: f64,
    /// Machines that earlier leaders left.
    pub machines: u64,
    /// Those of them that have neither reported nor been given up.
    #[serde(rename = "unheard")]
    pub not_reported: u64,
    /// Those of them that were given up.
    pub lost: u64,
    /// Tasks that were found on a machine and agree with the records.
    pub adopted: u64,
    /// Discrepancies found so far.
    #[serde(rename = "differences")]
    pub discrepancies: DiscrepancyCounts,
    /// Commands sent so far.
    #[serde(rename = "orders")]
    pub commands: CommandCounts,
    /// Seconds from the failover until every machine had reported or was lost; `None` before that.
    #[serde(rename = "settled_s")]
    pub completed_after_s: Option<f64>,
}
