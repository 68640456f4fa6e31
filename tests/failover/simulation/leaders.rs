//! Leaders: they fail over, read changes and write records; older ones may live on beside a newer one.

use milletlock::leadership::Batch;
use milletlock::store_contact::StoreContact;
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::{Micros, Steady};
use rand::Rng;

use super::{SimulatedLeader, Simulation};
use crate::common::clock::wall_at;
use crate::common::simulated_controller::SimulatedController;

impl Simulation {
    /// Another controller becomes leader. The earlier ones do not know yet; more than three are too many.
    pub(super) fn fail_over(&mut self) {
        let mut controller = SimulatedController::claim(&mut self.store, &self.cfg, self.now);
        controller.fleet.advance_jobs_revision(controller.watched_revision);
        let store_contact = StoreContact::new(self.now, self.bound);
        self.leaders.push(SimulatedLeader {
            controller,
            last_read: self.now,
            store_contact,
            store_lost_until: Steady(0),
        });
        if self.leaders.len() > 3 {
            self.leaders.remove(0);
        }
    }

    /// Cuts the leader off, with the workers of the south: from the state store, the cloud, the
    /// other controllers and the north. Another becomes leader outside.
    fn begin_partition(&mut self) {
        let newest = self.leaders.len() - 1;
        self.leaders.drain(..newest);
        let long = self.rng.random_range(15.0..45.0);
        self.fail_over();
        self.partition = Some((self.now, self.now + Micros::from_secs(long)));
    }

    /// Whether a leader is the partitioned one.
    pub(super) fn is_partitioned(&self, leader: usize) -> bool {
        self.partition.is_some() && leader == 0 && self.leaders.len() > 1
    }

    /// Whether a leader replies to workers: only until cancellations that it cannot see might be due.
    pub(super) fn may_reply(&self, leader: usize) -> bool {
        self.leaders[leader].store_contact.may_act(self.now)
    }

    /// Which leader a worker's heartbeat reaches, if any.
    pub(super) fn reached_leader(&mut self, w: usize) -> Option<usize> {
        let last = self.leaders.len().checked_sub(1)?;
        if self.partition.is_some() {
            if self.workers[w].state.zone == "north" {
                return Some(last);
            }
            return (last > 0 && self.may_reply(0)).then_some(0);
        }
        if self.workers[w].keeps_old_leader {
            let old = (0..last).find(|i| self.leaders[*i].store_lost_until > self.now);
            if let Some(i) = old.filter(|i| self.may_reply(*i)) {
                return Some(i);
            }
        }
        // Mostly the newest leader, sometimes one that does not know yet that it is replaced; but no
        // worker of the newest goes to one that lost the state store, and tells it.
        let store_lost = self.leaders[..last].iter().any(|o| o.store_lost_until > self.now);
        let i = if !store_lost && self.chance(0.15) { self.rng.random_range(0..=last) } else { last };
        self.may_reply(i).then_some(i)
    }

    /// Leaders change, unless none can.
    pub(super) fn change_leader(&mut self, i: u32) {
        if self.state_store_unavailable() || self.now < self.no_leader_until {
            return;
        }
        if self.next_leader.is_some_and(|at| at <= self.now) {
            self.next_leader = None;
            self.fail_over();
            return;
        }
        let every = self.faults.failover_every_s.map(|s| ((s * 4.0) as u32).max(1));
        if self.faults.partition && self.partition.is_none() && i % 400 == 200 && !self.leaders.is_empty() {
            self.begin_partition();
        } else if self.leaders.is_empty() {
            self.fail_over();
        } else if self.partition.is_none() && every.is_some_and(|e| i % e == e - 1) {
            self.faults_occurred += 1;
            self.fail_over();
        } else if self.partition.is_none() && self.rng.random_bool(self.faults.failover) {
            self.fail_over();
        }
    }

    /// Leaders read the changes of the jobs, unless they have lost the state store.
    pub(super) fn read_changes(&mut self) {
        if self.state_store_unavailable() {
            return;
        }
        let skipped = usize::from(self.is_partitioned(0));
        for o in &mut self.leaders[skipped..] {
            if self.now < o.store_lost_until {
                continue;
            }
            o.controller.read_changes(&self.store, self.now);
            o.controller.fleet.advance_jobs_revision(o.controller.watched_revision);
            o.last_read = self.now;
            o.store_contact.record_read(self.now);
        }
    }

    /// All leaders write, the newest first.
    pub(super) fn write_records(&mut self) {
        for i in (0..self.leaders.len()).rev() {
            self.write_records_of(i);
        }
        self.remove_superseded_leaders();
    }

    /// A leader whose shard was taken has learnt it from the guard.
    fn remove_superseded_leaders(&mut self) {
        let mut keep = Vec::new();
        let (now, store_unavailable, oldest_partitioned) =
            (self.now, self.state_store_unavailable(), self.is_partitioned(0));
        for (i, o) in std::mem::take(&mut self.leaders).into_iter().enumerate() {
            // Now and then an old leader does not try to write and so lives on.
            if o.controller.holds_shard(&self.store)
                || self.rng.random_bool(0.97)
                || (oldest_partitioned && i == 0)
                || store_unavailable
                || now < o.store_lost_until
            {
                keep.push(o);
            }
        }
        self.leaders = keep;
    }

    /// A leader renews its lease, unless it is too late or the renewal is lost, and writes what is pending.
    fn write_records_of(&mut self, i: usize) {
        let chunk = chunk_tasks(4096);
        let now = self.now;
        // Only the newest leader's lease is renewed, and not always.
        let newest = i + 1 == self.leaders.len();
        let store_lost = self.state_store_unavailable() || now < self.leaders[i].store_lost_until;
        let renewed = newest && !store_lost && !self.chance(0.2);
        let o = &mut self.leaders[i];
        if renewed {
            o.controller.fleet.confirm_lease(now);
            o.store_contact.record_renewal(now);
        }
        o.controller.fleet.tick(now, wall_at(now));
        if self.is_partitioned(i) || store_lost {
            return;
        }
        for b in self.leaders[i].controller.batches(Micros(1_500_000), chunk, now) {
            if !self.apply_batch(i, &b) {
                break;
            }
        }
    }

    /// Executes a transaction now, late or never; false: the leader must read back first.
    fn apply_batch(&mut self, i: usize, b: &Batch) -> bool {
        let (mut known, mut result) = (true, None);
        // Whole periods of it, so that newer ones of the same leader overtake many.
        let late_period = self.now.0 / 30_000_000 % 2 == 0;
        if late_period && self.chance(self.faults.late_writes) {
            known = false;
            let at = self.later(2.0, 12.0);
            self.late_transactions.push((at, b.txn.clone()));
            self.faults_occurred += 1;
        } else if self.chance(self.faults.lost_replies) {
            known = false;
            if self.rng.random_bool(0.5) {
                result = Some(self.store.txn(&b.txn));
            } else {
                let at = self.now + Micros::from_secs(self.rng.random_range(0.5..20.0));
                self.late_transactions.push((at, b.txn.clone()));
            }
        } else {
            result = Some(self.store.txn(&b.txn));
        }
        let (now, controller) = (self.now, &mut self.leaders[i].controller);
        match controller.apply_txn_result(b, result.filter(|_| known), now) {
            Ok(()) => true,
            Err(keys) => {
                controller.read_back(&keys, &self.store, now);
                false
            }
        }
    }
}
