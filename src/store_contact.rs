//! The staleness bound: how long a leader may act without contact with the state store.
//!
//! While a leader has no contact with the state store, another controller may confirm a cancellation through
//! the state store or become the leader. A leader that cannot read the state store must therefore stop
//! renewing the workers' leases early enough: they have to expire within `cancel_s` after any change that the
//! leader may have missed. Every path that answers a heartbeat or sends the start of a task checks
//! [`StoreContact::may_act`] immediately before it does so.

use crate::time::{Micros, Steady};

/// The times of a leader's last contact with the state store.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    /// When the request of the last complete read of the jobs' changes was sent.
    last_read: Steady,
    /// When the request of the last granted lease renewal was sent. No other controller led at that time.
    last_renewal: Steady,
    /// The maximum age of the last read and of the last renewal with which the leader may act.
    max_staleness: Micros,
}

impl StoreContact {
    /// Creates the contact of a new leader whose election, followed by the first reads, began at
    /// `election_start`.
    pub fn new(election_start: Steady, max_staleness: Micros) -> StoreContact {
        StoreContact { last_read: election_start, last_renewal: election_start, max_staleness }
    }

    /// Records that all changes of jobs were read by a request that was sent at `sent`. A blocking watch must
    /// not be recorded: if it returns no changes, the state store may no longer answer this controller.
    pub fn record_read(&mut self, sent: Steady) {
        self.last_read = self.last_read.max(sent);
    }

    /// Records that a renewal of the leader's lease, sent at `sent`, was granted.
    pub fn record_renewal(&mut self, sent: Steady) {
        self.last_renewal = self.last_renewal.max(sent);
    }

    /// The age of the last read or of the last renewal, whichever is older.
    pub fn age(&self, now: Steady) -> Micros {
        now - self.last_read.min(self.last_renewal)
    }

    /// The age of the last complete read.
    pub fn read_age(&self, now: Steady) -> Micros {
        now - self.last_read
    }

    /// Whether the leader's own lease, of duration `ttl`, is known to be valid. No other controller can
    /// become the leader before this lease ends.
    pub fn holds_lease(&self, now: Steady, ttl: Micros) -> bool {
        now - self.last_renewal < ttl
    }

    /// Whether the leader may renew workers' leases and start tasks: its last read and its last renewal are
    /// within the staleness bound.
    pub fn may_act(&self, now: Steady) -> bool {
        self.age(now) <= self.max_staleness
    }
}
