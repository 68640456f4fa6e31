//! How long a leader may act without contact with the state store (its staleness bound).
//!
//! Any controller may confirm a cancellation through the state store, and so may another controller
//! become leader. A leader that cannot read the store must therefore stop renewing the workers' leases
//! so early that they expire within `cancel_s` of anything it may have missed. Every path that answers
//! a heartbeat or sends a start checks [`StoreContact::may_act`] at the moment it does so.

use crate::time::{Micros, Steady};

/// When a leader was last in contact with the state store.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    /// Start of the last complete read of the jobs' changes.
    last_read: Steady,
    /// Start of the last lease renewal that was granted: no other controller led then.
    last_renewal: Steady,
    max_staleness: Micros,
}

impl StoreContact {
    /// The contact of a leader whose claim, and the reads after it, began at `claimed`.
    pub fn new(claimed: Steady, max_staleness: Micros) -> StoreContact {
        StoreContact { last_read: claimed, last_renewal: claimed, max_staleness }
    }

    /// Notes that all changes were read by a request sent at this moment. A watch that blocks does
    /// not count: one that stays silent may wait for a store that no longer answers this controller.
    pub fn record_read(&mut self, sent: Steady) {
        self.last_read = self.last_read.max(sent);
    }

    /// Notes that a renewal of the leader's lease, sent at this moment, was granted.
    pub fn record_renewal(&mut self, sent: Steady) {
        self.last_renewal = self.last_renewal.max(sent);
    }

    /// The age of what the leader knows: of its last read or renewal, whichever is older.
    pub fn age(&self, now: Steady) -> Micros {
        now - self.last_read.min(self.last_renewal)
    }

    /// The age of the last complete read.
    pub fn read_age(&self, now: Steady) -> Micros {
        now - self.last_read
    }

    /// Whether the leader's own lease, of duration `ttl`, is known to be valid: until it ends no other
    /// controller leads.
    pub fn holds_lease(&self, now: Steady, ttl: Micros) -> bool {
        now - self.last_renewal < ttl
    }

    /// Whether the leader may renew workers' leases and start tasks.
    pub fn may_act(&self, now: Steady) -> bool {
        self.age(now) <= self.max_staleness
    }
}
