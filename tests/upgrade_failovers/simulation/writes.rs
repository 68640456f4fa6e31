//! How leaders of both versions write their records.

use milletlock::leadership::{self, Batch, SHARD_KEY};
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::Micros;
use milletlock::wire::Change;

use super::{SimulatedLeader, Simulation, TxnOutcome};

/// Rounds of writing after which a leader with nothing new to write must have come to rest.
const ROUNDS_TO_REST: u32 = 2000;

/// More transactions than a leader composes at once.
const TRANSACTIONS_OF_A_ROUND: usize = 100;

impl Simulation {
    /// The leader writes at most so many transactions of what waits; how many it did.
    pub fn write_records(&mut self, most: usize) -> usize {
        self.now = self.now + Micros(4_000_000);
        let (now, wall) = (self.now, self.wall());
        match &mut self.leader {
            SimulatedLeader::Production(_) => (0..most).take_while(|_| self.write_production()).count(),
            SimulatedLeader::Current(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                let pending = fleet.pending_writes(now, Micros::ZERO, chunk);
                let ops = fleet.max_txn_changes();
                let batches =
                    leadership::compose_batches(fleet, self.shard_revision, pending, ops, now, wall);
                batches.iter().take(most).take_while(|b| self.write_batch(b)).count()
            }
        }
    }

    /// One transaction of the production version's leader; false if nothing waits.
    fn write_production(&mut self) -> bool {
        let SimulatedLeader::Production(leader) = &mut self.leader else { return false };
        let Some(txn) = leader.next_write() else { return false };
        let outcome = self.submit(&txn);
        let SimulatedLeader::Production(leader) = &mut self.leader else { return false };
        match outcome {
            TxnOutcome::Applied(revision) => leader.written(revision),
            TxnOutcome::Refused(failed) => leader.refused(&failed),
            TxnOutcome::TooLarge => panic!("production's own value is too large: {txn:?}"),
        }
        true
    }

    /// One transaction of this version's leader, as its writer handles the reply; false if the round ends.
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

    /// Reads keys back, as the leader of this version does.
    fn read_back<'a>(&mut self, keys: impl Iterator<Item = &'a String>) {
        let SimulatedLeader::Current(fleet) = &mut self.leader else { return };
        for key in keys.filter(|key| *key != SHARD_KEY) {
            leadership::update_from_store(fleet, key, self.store.row(key), self.now);
        }
    }

    /// Writes until nothing waits.
    pub fn write_to_rest(&mut self) {
        for _ in 0..ROUNDS_TO_REST {
            let rejected = self.rejected;
            if self.write_records(TRANSACTIONS_OF_A_ROUND) == 0
                && self.rejected == rejected
                && self.is_at_rest()
            {
                return;
            }
        }
        panic!("the leader writes without end");
    }

    /// Whether nothing waits to be written.
    fn is_at_rest(&mut self) -> bool {
        match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.next_write().is_none(),
            SimulatedLeader::Current(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                fleet.pending_writes(self.now + Micros(20_000_000), Micros::ZERO, chunk).is_empty()
            }
        }
    }
}
