//! The writes of the leaders of both versions.

use milletlock::leadership::{self, Batch, SHARD_KEY};
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::Micros;
use milletlock::wire::Change;

use super::{SimulatedLeader, Simulation, TxnOutcome};

/// Maximum number of rounds until a leader has written everything, if no events occur.
const MAX_WRITE_ROUNDS: u32 = 2000;

/// Maximum number of transactions of a round, larger than the number that a leader composes at once.
const MAX_TRANSACTIONS_PER_ROUND: usize = 100;

impl Simulation {
    /// Submits up to `max_txns` pending transactions of the leader; returns how many of them let the
    /// round continue.
    pub fn write_records(&mut self, max_txns: usize) -> usize {
        self.now = self.now + Micros(4_000_000);
        let (now, wall) = (self.now, self.wall());
        match &mut self.leader {
            SimulatedLeader::Production(_) => (0..max_txns).take_while(|_| self.write_production()).count(),
            SimulatedLeader::Current(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                let pending = fleet.pending_writes(now, Micros::ZERO, chunk);
                let ops = fleet.max_txn_changes();
                let batches =
                    leadership::compose_batches(fleet, self.shard_revision, pending, ops, now, wall);
                batches.iter().take(max_txns).take_while(|b| self.write_batch(b)).count()
            }
        }
    }

    /// Submits one transaction of a leader of the version in production; returns `false` if none is pending.
    fn write_production(&mut self) -> bool {
        let SimulatedLeader::Production(leader) = &mut self.leader else { return false };
        let Some(txn) = leader.next_write() else { return false };
        let outcome = self.submit(&txn);
        let SimulatedLeader::Production(leader) = &mut self.leader else { return false };
        match outcome {
            TxnOutcome::Applied(revision) => leader.written(revision),
            TxnOutcome::Refused(failed) => leader.refused(&failed),
            TxnOutcome::TooLarge => panic!("a value of the version in production is too large: {txn:?}"),
        }
        true
    }

    /// Submits one transaction of a leader of this version, and handles the reply as the leader's writer
    /// does. Returns `false` if the round ends.
    fn write_batch(&mut self, batch: &Batch) -> bool {
        for change in &batch.txn.then {
            if let Change::Put { put, value, .. } = change {
                let bytes = value.to_string().len();
                assert!(bytes <= self.announced.value_bytes, "{put} was written with {bytes} bytes");
            }
        }
        assert!(batch.txn.then.len() <= self.announced.txn_ops, "{:?}", batch.txn.then);
        let lost_replies = self.lost_replies;
        if self.chance(lost_replies) {
            if self.chance(0.5) {
                self.submit(&batch.txn);
            } else {
                self.late.push(batch.txn.clone());
            }
            self.read_back(batch.txn.guards.iter().map(|g| &g.key));
            return false;
        }
        match self.submit(&batch.txn) {
            TxnOutcome::Applied(revision) => {
                let SimulatedLeader::Current(fleet) = &mut self.leader else { return false };
                batch
                    .writes
                    .iter()
                    .for_each(|w| fleet.write_applied(&w.write, revision, &w.contents, self.now));
                true
            }
            TxnOutcome::Refused(failed) => {
                self.read_back(failed.iter());
                true
            }
            TxnOutcome::TooLarge => {
                self.rejected += 1;
                let SimulatedLeader::Current(fleet) = &mut self.leader else { return false };
                fleet.reduce_write_limits();
                false
            }
        }
    }

    /// Updates a leader of this version from the stored values of keys, as it does after a conflict.
    fn read_back<'a>(&mut self, keys: impl Iterator<Item = &'a String>) {
        let SimulatedLeader::Current(fleet) = &mut self.leader else { return };
        for key in keys.filter(|key| *key != SHARD_KEY) {
            leadership::update_from_store(fleet, self.store.key_state(key), self.now);
        }
    }

    /// Submits the leader's transactions until none is pending.
    pub fn write_all(&mut self) {
        for _ in 0..MAX_WRITE_ROUNDS {
            let rejected = self.rejected;
            if self.write_records(MAX_TRANSACTIONS_PER_ROUND) == 0
                && self.rejected == rejected
                && self.has_written_all()
            {
                return;
            }
        }
        panic!("the leader still has pending writes after the maximum number of rounds");
    }

    /// Whether the leader has no pending writes.
    fn has_written_all(&mut self) -> bool {
        match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.next_write().is_none(),
            SimulatedLeader::Current(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                fleet.pending_writes(self.now + Micros(20_000_000), Micros::ZERO, chunk).is_empty()
            }
        }
    }
}
