//! How long an owner may act without having looked. Cancellations are confirmed by any controller
//! through the state service, and so is its own replacement; an owner that cannot read it must have
//! stopped renewing leases so early that they end within `cancel_s` of anything it may have missed.
//! Every path that answers a report or sends a start asks here, at the moment of the answer.

use crate::time::{Micros, Steady};

/// An owner's view of the state service.
#[derive(Clone, Copy, Debug)]
pub struct StoreContact {
    /// Start of the last complete read of the jobs' changes.
    read: Steady,
    /// Start of the last renewal that showed that nobody had taken over.
    owned: Steady,
    bound: Micros,
}

impl StoreContact {
    /// The view of an owner whose claim, and the reads after it, began at a moment.
    pub fn new(begun: Steady, bound: Micros) -> StoreContact {
        StoreContact { read: begun, owned: begun, bound }
    }

    /// All changes were read by a request that was sent at this moment. A watch that waits is none:
    /// one that stays silent may be waiting for a service that no longer answers this node.
    pub fn note_read(&mut self, sent: Steady) {
        self.read = self.read.max(sent);
    }

    /// Nobody had taken over when a renewal sent at this moment was granted.
    pub fn note_renewal(&mut self, sent: Steady) {
        self.owned = self.owned.max(sent);
    }

    /// The age of what it rests on.
    pub fn age(&self, now: Steady) -> Micros {
        now - self.read.min(self.owned)
    }

    /// The age of the last complete read.
    pub fn read_age(&self, now: Steady) -> Micros {
        now - self.read
    }

    /// Whether leases may be renewed and tasks started.
    pub fn may_act(&self, now: Steady) -> bool {
        self.age(now) <= self.bound
    }
}
