//! The leaders of the simulated cluster: failovers, reads of changes and writes of records. An earlier leader
//! may continue beside a newer one.

use milletlock::leadership::Batch;
use milletlock::store_contact::StoreContact;
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::{Micros, Steady};
use rand::Rng;

use super::{SimulatedLeader, Simulation};
use crate::common::clock::wall_at;
use crate::common::simulated_controller::SimulatedController;

impl Simulation {
    /// Makes another controller the leader. The earlier leaders are not informed; at most three leaders are
    /// kept.
    pub(super) fn fail_over(&mut self) {
        let mut controller = SimulatedController::claim(&mut self.store, &self.cfg, self.now);
        controller.fleet.advance_jobs_revision(controller.watched_revision);
        let store_contact = StoreContact::new(self.now, self.max_staleness);
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

    /// Partitions the newest leader and the workers in the zone `south` from the state store, the cloud, the
    /// other controllers and the zone `north`. Another controller outside the partition becomes the leader.
    fn begin_partition(&mut self) {
        let newest = self.leaders.len() - 1;
        self.leaders.drain(..newest);
        let duration_s = self.rng.random_range(15.0..45.0);
        self.fail_over();
        self.partition = Some((self.now, self.now + Micros::from_secs(duration_s)));
    }

    /// Whether the leader with this index is the partitioned one.
    pub(super) fn is_partitioned(&self, leader: usize) -> bool {
        self.partition.is_some() && leader == 0 && self.leaders.len() > 1
    }

    /// Whether a leader may reply to workers. It may not once it has had no contact with the state store for
    /// too long, because there may be cancellations that it has not seen.
    pub(super) fn may_reply(&self, leader: usize) -> bool {
        self.leaders[leader].store_contact.may_act(self.now)
    }

    /// The index of the leader that a worker's heartbeat reaches and that may reply, if any.
    pub(super) fn reached_leader(&mut self, worker_index: usize) -> Option<usize> {
        let last = self.leaders.len().checked_sub(1)?;
        if self.partition.is_some() {
            if self.workers[worker_index].state.zone == "north" {
                return Some(last);
            }
            return (last > 0 && self.may_reply(0)).then_some(0);
        }
        if self.workers[worker_index].keeps_old_leader {
            let old = (0..last).find(|i| self.leaders[*i].store_lost_until > self.now);
            if let Some(i) = old.filter(|i| self.may_reply(*i)) {
                return Some(i);
            }
        }
        // The heartbeat mostly reaches the newest leader, and sometimes an earlier one that does not know yet
        // that it was replaced. If an earlier leader has lost the state store, heartbeats reach only the
        // newest one: a worker that has accepted the newest fencing token would show it to the earlier
        // leader, which would then step down.
        let store_lost = self.leaders[..last].iter().any(|leader| leader.store_lost_until > self.now);
        let i = if !store_lost && self.chance(0.15) { self.rng.random_range(0..=last) } else { last };
        self.may_reply(i).then_some(i)
    }

    /// Lets another controller become the leader, by the faults of step `i`, unless no controller can.
    pub(super) fn change_leader(&mut self, step: u32) {
        if self.state_store_unavailable() || self.now < self.no_leader_until {
            return;
        }
        if self.next_leader.is_some_and(|at| at <= self.now) {
            self.next_leader = None;
            self.fail_over();
            return;
        }
        let every = self.faults.failover_every_s.map(|s| ((s * 4.0) as u32).max(1));
        if self.faults.partition && self.partition.is_none() && step % 400 == 200 && !self.leaders.is_empty()
        {
            self.begin_partition();
        } else if self.leaders.is_empty() {
            self.fail_over();
        } else if self.partition.is_none() && every.is_some_and(|e| step % e == e - 1) {
            self.faults_occurred += 1;
            self.fail_over();
        } else if self.partition.is_none() && self.rng.random_bool(self.faults.failover) {
            self.fail_over();
        }
    }

    /// All leaders that reach the state store read the changes to jobs' records.
    pub(super) fn read_changes(&mut self) {
        if self.state_store_unavailable() {
            return;
        }
        let skipped = usize::from(self.is_partitioned(0));
        for leader in &mut self.leaders[skipped..] {
            if self.now < leader.store_lost_until {
                continue;
            }
            leader.controller.read_changes(&self.store, self.now);
            leader.controller.fleet.advance_jobs_revision(leader.controller.watched_revision);
            leader.last_read = self.now;
            leader.store_contact.record_read(self.now);
        }
    }

    /// All leaders write their records, the newest leader first.
    pub(super) fn write_records(&mut self) {
        for i in (0..self.leaders.len()).rev() {
            self.write_records_of(i);
        }
        self.remove_superseded_leaders();
    }

    /// Removes leaders whose writes fail because another leader has taken the shard.
    fn remove_superseded_leaders(&mut self) {
        let mut keep = Vec::new();
        let (now, store_unavailable, oldest_partitioned) =
            (self.now, self.state_store_unavailable(), self.is_partitioned(0));
        for (i, leader) in std::mem::take(&mut self.leaders).into_iter().enumerate() {
            // In most steps an earlier leader does not write, so that it remains.
            if leader.controller.holds_shard(&self.store)
                || self.rng.random_bool(0.97)
                || (oldest_partitioned && i == 0)
                || store_unavailable
                || now < leader.store_lost_until
            {
                keep.push(leader);
            }
        }
        self.leaders = keep;
    }

    /// Writes the pending records of a leader. The newest leader first renews its lease, unless the renewal
    /// is lost.
    fn write_records_of(&mut self, leader_index: usize) {
        let chunk = chunk_tasks(4096);
        let now = self.now;
        // Only the newest leader's lease is renewed, and only with a probability of 0.8.
        let newest = leader_index + 1 == self.leaders.len();
        let store_lost = self.state_store_unavailable() || now < self.leaders[leader_index].store_lost_until;
        let renewed = newest && !store_lost && !self.chance(0.2);
        let leader = &mut self.leaders[leader_index];
        if renewed {
            leader.controller.fleet.confirm_lease(now);
            leader.store_contact.record_renewal(now);
        }
        leader.controller.fleet.tick(now, wall_at(now));
        if self.is_partitioned(leader_index) || store_lost {
            return;
        }
        for batch in self.leaders[leader_index].controller.batches(Micros(1_500_000), chunk, now) {
            if !self.apply_batch(leader_index, &batch) {
                break;
            }
        }
    }

    /// Executes a leader's transaction, now or late. Returns false if the leader had to read records back,
    /// because the transaction failed or had no reply.
    fn apply_batch(&mut self, leader_index: usize, batch: &Batch) -> bool {
        let (mut known, mut result) = (true, None);
        // Late transactions occur in alternate periods of 30 s, so that many are overtaken by later
        // transactions of the same leader.
        let late_period = self.now.0 / 30_000_000 % 2 == 0;
        if late_period && self.chance(self.faults.late_writes) {
            known = false;
            let at = self.later(2.0, 12.0);
            self.late_transactions.push((at, batch.txn.clone()));
            self.faults_occurred += 1;
        } else if self.chance(self.faults.lost_replies) {
            known = false;
            if self.rng.random_bool(0.5) {
                result = Some(self.store.txn(&batch.txn));
            } else {
                let at = self.now + Micros::from_secs(self.rng.random_range(0.5..20.0));
                self.late_transactions.push((at, batch.txn.clone()));
            }
        } else {
            result = Some(self.store.txn(&batch.txn));
        }
        let (now, controller) = (self.now, &mut self.leaders[leader_index].controller);
        match controller.apply_txn_result(batch, result.filter(|_| known), now) {
            Ok(()) => true,
            Err(keys) => {
                controller.read_back(&keys, &self.store, now);
                false
            }
        }
    }
}
