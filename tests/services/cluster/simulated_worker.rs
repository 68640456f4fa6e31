//! A worker as it really is, and what a simulation does to it.

use std::collections::BTreeMap;

use milletlock::time::{Micros, Steady};
use milletlock::wire::ExitReason;

use super::START;

/// Workers end all tasks so long after the last heartbeat that had a reply.
pub const LEASE: Micros = Micros::from_millis(22_000);

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    pub since: Steady,
    pub ended: Option<ExitReason>,
}

/// A machine as it really is, whatever the leader knows of it.
#[derive(Debug)]
pub struct Worker {
    pub zone: &'static str,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub last_reply: Steady,
    pub next_heartbeat: Steady,
    /// Partitioned from the leader until then.
    pub partitioned_until: Steady,
    /// When the cloud takes it.
    pub preempted_at: Option<Steady>,
    pub tasks: BTreeMap<(String, u64), Task>,
}

/// Tasks of a job end so as soon as they have started, on one machine or on all.
pub struct InjectedFailure {
    pub machine: Option<&'static str>,
    pub job: &'static str,
    pub why: ExitReason,
}

impl Worker {
    /// A worker without tasks, which sends its first heartbeat now.
    pub fn new(zone: &'static str, now: Steady) -> Worker {
        Worker {
            zone,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            last_reply: now,
            next_heartbeat: now,
            partitioned_until: START,
            preempted_at: None,
            tasks: BTreeMap::new(),
        }
    }

    /// Whether messages pass between the worker and the leader.
    pub fn is_reachable(&self, now: Steady) -> bool {
        self.partitioned_until <= now
    }

    /// Ends all tasks if the last reply is too old, and goes on as a new agent.
    pub fn expire_lease(&mut self, now: Steady) {
        if now - self.last_reply > LEASE {
            self.tasks.clear();
            self.agent_epoch += 1;
            self.sequence = 0;
            self.last_reply = now;
        }
    }
}

/// A start that has reached a worker.
pub struct Started {
    pub at: Steady,
    pub machine: String,
    pub task: String,
}
