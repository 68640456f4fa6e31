//! Scale in: which idle machines go back, beside those that the warm pools keep.

use super::CapacityView;
use crate::sched::MachineSnapshot;
use crate::time::Micros;

/// The least time the cloud charges for a machine: returning one younger than this saves nothing.
const LEAST_CHARGE: Micros = Micros::from_millis(60_000);

impl CapacityView<'_> {
    /// Whether the plan starts tasks on a machine or reserves it.
    fn planned(&self, room: usize) -> bool {
        let reservation = self.plan.reservation.as_ref();
        reservation.is_some_and(|reservation| reservation.machines.iter().any(|place| place.0 == room))
            || self.plan.starts.iter().any(|start| start.machine == room)
    }

    /// How many machines like this one stay though idle. A spot machine that those for whom some stay
    /// may not use is kept for nobody.
    fn warm_count(&self, room: &MachineSnapshot) -> usize {
        let pool = self.warm.get(room.machine_type).copied().unwrap_or_default();
        if room.spot && !pool.spot {
            0
        } else {
            pool.count
        }
    }

    /// How long a machine has to be idle to be returned.
    fn idle_limit(&self, room: &MachineSnapshot) -> Micros {
        match self.due.get(room.machine_type) {
            Some(true) => self.policy.idle_due,
            _ if self.warm_count(room) > 0 => self.policy.idle_kept,
            _ => self.policy.idle,
        }
    }

    /// Indices of the machines to return (scale in), dearest first.
    pub(super) fn scale_in(&self) -> Vec<usize> {
        let mut left: Vec<usize> = vec![0; self.types.len()];
        for (room, upkeep) in self.snapshot.machines.iter().zip(self.upkeep) {
            let counts = !upkeep.booting && room.reclaimed_in.is_none() && self.warm_count(room) > 0;
            left[room.machine_type] += usize::from(counts);
        }
        let mut returns = Vec::new();
        // The dear ones first.
        let mut by_price: Vec<usize> = (0..self.snapshot.machines.len().min(self.upkeep.len())).collect();
        by_price.sort_by_key(|&index| std::cmp::Reverse(self.snapshot.machines[index].cpu_price));
        for index in by_price {
            let (room, upkeep) = (&self.snapshot.machines[index], &self.upkeep[index]);
            let warm = self.warm_count(room);
            let idle = upkeep.idle.is_some_and(|idle| idle > self.idle_limit(room));
            // Under the least charge nothing is saved by giving a machine back.
            let charged = upkeep.age > LEAST_CHARGE;
            let spare = warm == 0 || left[room.machine_type] > warm;
            if idle && charged && spare && !self.planned(index) {
                left[room.machine_type] = left[room.machine_type].saturating_sub(usize::from(warm > 0));
                returns.push(index);
            }
        }
        returns
    }
}
