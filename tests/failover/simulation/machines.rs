//! Machines and the cloud: periods of faults begin, and machines are lost, listed and returned.

use milletlock::wire::ListedMachine;
use rand::Rng;

use super::Simulation;
use crate::common::LEASE;

impl Simulation {
    /// Begins periods of faults, some shorter and some longer than a lease.
    fn begin_faults(&mut self) {
        let faults = &self.faults;
        // These faults only begin after enough tasks have started that they can affect.
        let (store_lost, no_leader) =
            if self.starts > 20 { (faults.store_lost, faults.no_leader) } else { (0.0, 0.0) };
        for (rate, kind) in [
            (faults.partitioned, 0),
            (faults.replies_lost, 1),
            (faults.heartbeats_lost, 2),
            (faults.frozen, 3),
        ] {
            if !self.chance(rate) {
                continue;
            }
            // One machine, or about half of them.
            let many = kind > 0 && self.rng.random_bool(0.2);
            let one = self.rng.random_range(0..self.workers.len());
            for worker_index in 0..self.workers.len() {
                if worker_index != one && !(many && self.rng.random_bool(0.5)) {
                    continue;
                }
                let until = self.later(3.0, 60.0);
                let worker = &mut self.workers[worker_index];
                match kind {
                    0 => worker.partitioned_until = until,
                    1 => worker.replies_lost_until = until,
                    2 => worker.heartbeats_lost_until = until,
                    _ => worker.frozen_until = until,
                }
                self.faults_occurred += u32::from(kind > 0);
                self.cancel_on_faulty_machine(Some(worker_index));
            }
        }
        if self.chance(store_lost)
            && self.partition.is_none()
            && self.next_leader.is_none()
            && !self.state_store_unavailable()
        {
            self.lose_state_store();
        }
        if self.chance(no_leader) {
            self.cancel_on_faulty_machine(None);
            self.leaders.clear();
            self.no_leader_until = self.later(LEASE.secs() + 1.0, 2.5 * LEASE.secs());
            self.faults_occurred += 1;
        }
    }

    /// Lets the newest leader lose the state store and the other controllers, but not its workers. Users
    /// cancel jobs through other controllers. Another controller becomes the leader, unless the state store
    /// soon becomes unavailable to all.
    fn lose_state_store(&mut self) {
        let until = self.later(10.0, 80.0);
        let Some(leader) = self.leaders.last_mut() else { return };
        leader.store_lost_until = until;
        let share = self.rng.random_range(0.5..1.0);
        for worker_index in 0..self.workers.len() {
            self.workers[worker_index].keeps_old_leader = self.rng.random_bool(share);
        }
        self.cancel_on_faulty_machine(None);
        self.faults_occurred += 1;
        if self.chance(self.faults.store_outage) {
            // Jobs are cancelled after the leader has lost the state store and before the state store becomes
            // unavailable to all.
            let now = self.now;
            let cancel_retries: Vec<String> = self.cancel_retries.keys().cloned().collect();
            cancel_retries.into_iter().for_each(|id| {
                self.cancel_retries.insert(id, now);
            });
            self.send_cancellations();
            self.store_unavailable_until = self.later(self.cancel.secs() + 1.0, 1.5 * self.cancel.secs());
        } else {
            self.next_leader = Some(self.later(0.5, 8.0));
        }
    }

    /// Updates the cloud's machine list at times. Leaders read the latest list late, or an earlier list
    /// again.
    fn list_machines(&mut self) {
        if self.rng.random_bool(0.25) {
            let list = self.workers.iter().map(|worker| ListedMachine {
                id: worker.state.id.clone(),
                address: Some("127.0.0.1:9".into()),
                machine_type: worker.state.machine_type.clone(),
                zone: worker.state.zone.into(),
                spot: worker.state.spot,
                stage: "running".into(),
                age_s: 60.0,
            });
            self.lists.rotate_left(1);
            self.lists[1] = list.collect();
        }
        for leader_index in 0..self.leaders.len() {
            if !self.is_partitioned(leader_index) && self.rng.random_bool(0.1) {
                let at = usize::from(self.rng.random_bool(0.8));
                let now = self.now;
                self.leaders[leader_index].controller.fleet.apply_machine_list(&self.lists[at], now);
            }
        }
    }

    /// Begins faults, removes machines that are lost without a notice, and lets leaders return machines.
    pub(super) fn change_machines(&mut self) {
        self.begin_faults();
        if self.faults.mixed_load {
            self.list_machines();
        }
        if self.chance(self.faults.machine_lost) {
            let worker_index = self.rng.random_range(0..self.workers.len());
            let worker = self.workers.remove(worker_index);
            self.add_machine(worker.type_index, worker.state.zone, worker.state.spot);
        }
        if self.faults.cloud_unavailable
            && self.leaders.iter().any(|leader| self.now < leader.store_lost_until)
        {
            return;
        }
        self.return_machines();
    }

    /// Lets leaders return machines to the cloud. Each machine is replaced by a new one. Some of the cloud's
    /// answers are lost.
    fn return_machines(&mut self) {
        for leader_index in 0..self.leaders.len() {
            let ids = self.leaders[leader_index].controller.fleet.machines_to_scale_in();
            if self.is_partitioned(leader_index) || ids.is_empty() || self.rng.random_bool(0.8) {
                continue;
            }
            let gone: Vec<_> = self
                .workers
                .iter()
                .filter(|worker| ids.contains(&worker.state.id))
                .map(|worker| (worker.type_index, worker.state.zone, worker.state.spot))
                .collect();
            self.workers.retain(|worker| !ids.contains(&worker.state.id));
            for (type_index, zone, spot) in gone {
                self.add_machine(type_index, zone, spot);
            }
            if !self.chance(0.2) {
                let now = self.now;
                self.leaders[leader_index].controller.fleet.remove_scaled_in_machines(&ids, now);
            }
        }
    }
}
