//! Acknowledges the writes of a fleet in tests without a state store.

use milletlock::fleet::Fleet;
use milletlock::leadership;
use milletlock::time::{Micros, Steady};

use super::clock::wall_at;

/// Acknowledges all pending writes of a fleet, in transactions of up to `txn_ops` changes, all at the same
/// revision.
pub fn acknowledge_writes(fleet: &mut Fleet, txn_ops: usize, revision: u64, now: Steady) {
    let pending = fleet.pending_writes(now, Micros::ZERO, 1000);
    for batch in leadership::compose_batches(fleet, 1, pending, txn_ops, now, wall_at(now)) {
        for composed in &batch.writes {
            fleet.write_applied(&composed.write, revision, &composed.contents, now);
        }
    }
}
