//! What a state store does with the writes of a fleet, where a test has no store.

use milletlock::fleet::Fleet;
use milletlock::leadership;
use milletlock::time::{Micros, Steady};

use super::clock::wall_at;

/// Acknowledges all writes that a fleet has pending, in transactions of so many changes, at one revision.
pub fn acknowledge_writes(fleet: &mut Fleet, txn_ops: usize, revision: u64, now: Steady) {
    let pending = fleet.pending_writes(now, Micros::ZERO, 1000);
    for batch in leadership::compose_batches(fleet, 1, pending, txn_ops, now, wall_at(now)) {
        for composed in &batch.writes {
            fleet.write_applied(&composed.write, revision, &composed.contents, now);
        }
    }
}
