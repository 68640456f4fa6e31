//! What is counted during a recovery.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::difference::Difference;

/// Kinds of orders to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderKind {
    /// A task starts.
    Start,
    /// A task is stopped.
    Halt,
    /// An exited task leaves the reports.
    Forget,
}

/// Orders since the takeover, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCounts {
    /// Starts.
    pub starts: u64,
    /// Halts, repeated ones included.
    pub halts: u64,
    /// Forgets, repeated ones included.
    pub forgets: u64,
}

impl OrderCounts {
    /// Counts an order.
    pub fn add(&mut self, kind: OrderKind) {
        let count = match kind {
            OrderKind::Start => &mut self.starts,
            OrderKind::Halt => &mut self.halts,
            OrderKind::Forget => &mut self.forgets,
        };
        *count += 1;
    }

    /// All orders.
    pub fn total(&self) -> u64 {
        self.starts + self.halts + self.forgets
    }
}

/// Differences by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DifferenceCounts(BTreeMap<Difference, u64>);

impl DifferenceCounts {
    /// Counts a difference.
    pub fn add(&mut self, difference: Difference) {
        *self.0.entry(difference).or_default() += 1;
    }

    /// How many there are of a kind.
    pub fn of(&self, difference: Difference) -> u64 {
        self.0.get(&difference).copied().unwrap_or(0)
    }

    /// All differences.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// How far a recovery has come.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Seconds since the takeover.
    pub after_s: f64,
    /// Machines that the earlier owner left.
    pub machines: u64,
    /// Those that have not been heard.
    pub unheard: u64,
    /// Those that were given up.
    pub lost: u64,
    /// Tasks that were found where they may be.
    pub adopted: u64,
    /// Differences found so far.
    pub differences: DifferenceCounts,
    /// Orders given so far.
    pub orders: OrderCounts,
    /// Seconds from the takeover until all machines were heard or lost; none: not yet.
    pub settled_s: Option<f64>,
}
