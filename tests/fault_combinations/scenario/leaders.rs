//! The simulated leaders: failovers, reading changes, writing records and returning machines.

use milletlock::fleet::Fleet;
use milletlock::leadership::{self, Batch};
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::Micros;

use super::{Scenario, SimulatedLeader};
use crate::common::clock::{at, wall};
use crate::common::simulated_controller::SimulatedController;
use crate::common::store::take_due;

impl Scenario {
    /// Returns the newest leader's state of the cluster.
    pub fn fleet(&mut self) -> &mut Fleet {
        &mut self.leaders.last_mut().expect("a leader").controller.fleet
    }

    /// Makes another controller the leader and lets it read the records. The earlier leader is not notified.
    /// Returns the index of the new leader.
    pub fn fail_over(&mut self, zone: Option<&'static str>) -> usize {
        assert!(self.store_up, "a failover needs the state store");
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

    /// Ends a leader's process.
    pub fn end_leader(&mut self, leader: usize) {
        self.leaders[leader].alive = false;
    }

    /// Ends the newest leader, and makes another controller the leader `gap` seconds later.
    pub fn replace_leader(&mut self, gap: f64) -> usize {
        self.end_leader(self.leaders.len() - 1);
        self.run(gap);
        self.fail_over(None)
    }

    /// Returns whether a leader's process runs and reaches the state store.
    pub fn reaches_store(&self, leader: usize) -> bool {
        let o = &self.leaders[leader];
        self.store_up && o.alive && (self.partitioned_zone.is_none() || o.zone != self.partitioned_zone)
    }

    /// Returns whether a leader may reply to workers: its process runs, and it has read from the state store
    /// within [`Config::max_staleness`](milletlock::config::Config::max_staleness).
    pub fn may_reply(&self, leader: usize) -> bool {
        let o = &self.leaders[leader];
        o.alive && self.seconds - o.last_read < self.cfg.max_staleness().secs()
    }

    /// Lets each leader that reaches the state store read the changes of the jobs.
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

    /// Lets all leaders write their pending records.
    pub fn write_records(&mut self) {
        for i in 0..self.leaders.len() {
            self.write_records_of(i);
        }
    }

    /// Lets a leader renew its lease and write its pending records.
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
            // The state store refuses to renew the lease, because the leader has been replaced.
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

    /// Returns the transactions that a leader would write now.
    pub fn batches(&mut self, leader: usize, chunk: u32) -> Vec<Batch> {
        self.leaders[leader].controller.batches(Micros(12_000_000), chunk, at(self.seconds))
    }

    /// Passes the result of a transaction to its leader. `applied` is `None` if there was no reply. Returns
    /// true if the transaction was applied. Otherwise the leader ends if it has been replaced, and else reads
    /// back the records whose state it does not know.
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

    /// Applies the delayed transactions that are due to the state store.
    pub fn apply_late_transactions(&mut self) {
        for t in take_due(&mut self.late_transactions, at(self.seconds)) {
            let r = self.store.txn(&t);
            self.late_results.push(r);
        }
    }

    /// Lets each leader that reaches the cloud return machines.
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
