//! Simulated workers, and the faults that tests inject.

use std::collections::BTreeMap;

use milletlock::time::{Micros, Steady};
use milletlock::wire::ExitReason;

use super::START;

/// The lease of a worker: it ends all its tasks this long after the last heartbeat that was answered.
pub const LEASE: Micros = Micros::from_millis(22_000);

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    pub since: Steady,
    pub ended: Option<ExitReason>,
}

/// The true state of a machine's worker, whatever the leader knows of it.
#[derive(Debug)]
pub struct Worker {
    pub zone: &'static str,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub last_reply: Steady,
    pub next_heartbeat: Steady,
    /// Until when the worker is partitioned from the leader.
    pub partitioned_until: Steady,
    /// When the cloud reclaims the machine; `None` without a spot interruption notice.
    pub reclaimed_at: Option<Steady>,
    pub tasks: BTreeMap<(String, u64), Task>,
}

/// An injected failure: tasks of a job end for the given reason as soon as they are started, on one machine
/// or (with `None`) on all.
pub struct InjectedFailure {
    pub machine: Option<&'static str>,
    pub job: &'static str,
    pub reason: ExitReason,
}

impl Worker {
    /// A worker without tasks whose first heartbeat is due now.
    pub fn new(zone: &'static str, now: Steady) -> Worker {
        Worker {
            zone,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            last_reply: now,
            next_heartbeat: now,
            partitioned_until: START,
            reclaimed_at: None,
            tasks: BTreeMap::new(),
        }
    }

    /// Whether the worker and the leader can reach each other.
    pub fn is_reachable(&self, now: Steady) -> bool {
        self.partitioned_until <= now
    }

    /// Ends all tasks and begins the next agent epoch if the worker's lease has expired.
    pub fn expire_lease(&mut self, now: Steady) {
        if now - self.last_reply > LEASE {
            self.tasks.clear();
            self.agent_epoch += 1;
            self.sequence = 0;
            self.last_reply = now;
        }
    }
}

/// A start that a worker has executed.
pub struct Started {
    pub at: Steady,
    pub machine: String,
    pub task: String,
}
