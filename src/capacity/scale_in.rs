//! Scale in: which idle machines are removed, beyond those that the warm pools keep.

use super::Autoscaler;
use crate::sched::MachineSnapshot;
use crate::time::Micros;

/// The least time that the cloud bills for a machine. Removing a machine that is younger than this saves
/// nothing.
const MIN_BILLED_TIME: Micros = Micros::from_millis(60_000);

impl Autoscaler<'_> {
    /// Indices of the machines to remove, those with the highest price per processor first.
    pub(super) fn scale_in(&self) -> Vec<usize> {
        let mut remaining = self.warm_machines_by_type();
        let mut removed = Vec::new();
        for index in self.most_expensive_first() {
            let machine = &self.snapshot.machines[index];
            let status = &self.machine_status[index];
            let pool_size = self.warm_pool_size(machine);
            let timed_out = status.idle.is_some_and(|idle| idle > self.idle_timeout(machine));
            let beyond_billed_minimum = status.age > MIN_BILLED_TIME;
            let beyond_pool = pool_size == 0 || remaining[machine.machine_type] > pool_size;
            if timed_out && beyond_billed_minimum && beyond_pool && !self.is_planned(index) {
                remaining[machine.machine_type] =
                    remaining[machine.machine_type].saturating_sub(usize::from(pool_size > 0));
                removed.push(index);
            }
        }
        removed
    }

    /// By type: how many machines count towards its warm pool now.
    fn warm_machines_by_type(&self) -> Vec<usize> {
        let mut candidates = vec![0; self.types.len()];
        for (machine, status) in self.snapshot.machines.iter().zip(self.machine_status) {
            let counts =
                !status.booting && machine.reclaimed_in.is_none() && self.warm_pool_size(machine) > 0;
            candidates[machine.machine_type] += usize::from(counts);
        }
        candidates
    }

    /// Indices of all machines, those with the highest price per processor first.
    fn most_expensive_first(&self) -> Vec<usize> {
        let count = self.snapshot.machines.len().min(self.machine_status.len());
        let mut machines: Vec<usize> = (0..count).collect();
        machines.sort_by_key(|&index| std::cmp::Reverse(self.snapshot.machines[index].cpu_price));
        machines
    }

    /// Whether the plan starts tasks on a machine or reserves it.
    fn is_planned(&self, machine: usize) -> bool {
        let reservation = self.plan.reservation.as_ref();
        let reserved = reservation
            .is_some_and(|reservation| reservation.machines.iter().any(|&(reserved, _)| reserved == machine));
        reserved || self.plan.starts.iter().any(|start| start.machine == machine)
    }

    /// The size of the warm pool that a machine counts towards, or zero if it counts towards none. A spot
    /// instance does not count towards a pool whose jobs may not use spot instances.
    fn warm_pool_size(&self, machine: &MachineSnapshot) -> usize {
        let pool = self.warm_pools.get(machine.machine_type).copied().unwrap_or_default();
        if machine.spot && !pool.spot {
            0
        } else {
            pool.count
        }
    }

    /// How long a machine has to be idle before it is removed.
    fn idle_timeout(&self, machine: &MachineSnapshot) -> Micros {
        match self.deadline_jobs_expected.get(machine.machine_type) {
            Some(true) => self.policy.deadline_idle_timeout,
            _ if self.warm_pool_size(machine) > 0 => self.policy.warm_idle_timeout,
            _ => self.policy.idle_timeout,
        }
    }
}
