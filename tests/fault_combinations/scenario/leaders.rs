//! Leaders: they fail over, read changes, write records and return machines.

use milletlock::fleet::Fleet;
use milletlock::leadership::{self, Batch};
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::Micros;

use super::{Scenario, SimulatedLeader};
use crate::common::clock::{at, wall};
use crate::common::simulated_controller::SimulatedController;
use crate::common::store::take_due;

impl Scenario {
    /// The newest leader's view of the cluster.
    pub fn fleet(&mut self) -> &mut Fleet {
        &mut self.leaders.last_mut().expect("a leader").controller.fleet
    }

    /// Another controller claims everything and reads the records. The earlier one does not know.
    pub fn fail_over(&mut self, zone: Option<&'static str>) -> usize {
        assert!(self.store_up, "nobody can claim anything");
        let controller = SimulatedController::claim(&mut self.store, &self.cfg, at(self.seconds));
        self.leaders.push(SimulatedLeader {
            controller,
            alive: true,
            zone,
            last_read: self.seconds,
            lost_reply: None,
        });
        self.leaders.len() - 1
    }

    /// The leader's process ends.
    pub fn end_leader(&mut self, leader: usize) {
        self.leaders[leader].alive = false;
    }

    /// The leader ends and another becomes leader after a while.
    pub fn replace_leader(&mut self, gap: f64) -> usize {
        self.end_leader(self.leaders.len() - 1);
        self.run(gap);
        self.fail_over(None)
    }

    /// Whether a leader lives and reaches the state store.
    pub fn reaches_store(&self, leader: usize) -> bool {
        let o = &self.leaders[leader];
        self.store_up && o.alive && (self.partitioned_zone.is_none() || o.zone != self.partitioned_zone)
    }

    /// A leader out of touch with the state store replies no longer than the bound.
    pub fn may_reply(&self, leader: usize) -> bool {
        let o = &self.leaders[leader];
        o.alive && self.seconds - o.last_read < self.cfg.max_staleness().secs()
    }

    /// Leaders that reach the state store read the changes of the jobs.
    pub fn read_changes(&mut self) {
        for i in 0..self.leaders.len() {
            if !self.reaches_store(i) {
                continue;
            }
            let (now, s, o) = (at(self.seconds), self.seconds, &mut self.leaders[i]);
            o.controller.read_changes(&self.store, now);
            o.last_read = s;
        }
    }

    /// All leaders write.
    pub fn write_records(&mut self) {
        for i in 0..self.leaders.len() {
            self.write_records_of(i);
        }
    }

    /// A leader renews its lease and writes what is pending.
    fn write_records_of(&mut self, i: usize) {
        let chunk = chunk_tasks(4096);
        if !self.leaders[i].alive {
            return;
        }
        let (now, wall) = (at(self.seconds), wall(self.seconds));
        let holds_shard = self.leaders[i].controller.holds_shard(&self.store);
        if self.reaches_store(i) && holds_shard {
            self.leaders[i].controller.fleet.confirm_lease(now);
        }
        self.leaders[i].controller.fleet.tick(now, wall);
        if !self.reaches_store(i) {
            return;
        }
        if !holds_shard {
            // The renewal of its lease is refused: it has been replaced.
            self.end_leader(i);
            return;
        }
        for b in self.batches(i, chunk) {
            let lost = self.leaders[i].lost_reply.filter(|u| b.writes.iter().any(|w| u.1(&w.write)));
            let applied = if let Some((delay, _)) = lost {
                self.leaders[i].lost_reply = None;
                self.late_transactions.push((at(self.seconds + delay), b.txn.clone()));
                None
            } else {
                Some(self.store.txn(&b.txn))
            };
            if !self.apply_transaction_result(i, &b, applied) {
                break;
            }
        }
    }

    /// The transactions that a leader would write now.
    pub fn batches(&mut self, leader: usize, chunk: u32) -> Vec<Batch> {
        self.leaders[leader].controller.batches(Micros(12_000_000), chunk, at(self.seconds))
    }

    /// A leader learns how its transaction went (none: no reply), and reads back what it must.
    pub fn apply_transaction_result(
        &mut self,
        leader: usize,
        b: &Batch,
        applied: Option<Result<u64, Vec<String>>>,
    ) -> bool {
        let (now, o) = (at(self.seconds), &mut self.leaders[leader]);
        let Err(keys) = o.controller.apply_txn_result(b, applied, now) else { return true };
        if keys.iter().any(|k| k == leadership::SHARD_KEY) && !o.controller.holds_shard(&self.store) {
            o.alive = false;
            return false;
        }
        o.controller.read_back(&keys, &self.store, now);
        false
    }

    /// The state store carries out the transactions that were delayed.
    pub fn apply_late_transactions(&mut self) {
        for t in take_due(&mut self.late_transactions, at(self.seconds)) {
            let r = self.store.txn(&t);
            self.late_results.push(r);
        }
    }

    /// Leaders that reach the cloud return machines.
    pub fn return_machines(&mut self) {
        for i in 0..self.leaders.len() {
            let o = &self.leaders[i];
            let ids = o.controller.fleet.machines_to_scale_in();
            if ids.is_empty()
                || !o.alive
                || !self.cloud_up
                || (self.partitioned_zone.is_some() && o.zone == self.partitioned_zone)
            {
                continue;
            }
            self.workers.retain(|w| !ids.contains(&w.state.id));
            self.leaders[i].controller.fleet.remove_scaled_in_machines(&ids, at(self.seconds));
        }
    }
}
