//! Scale out for gangs: machines for the tasks of gangs that find no room soon.

use super::offers::scale_out_for_tasks;
use super::{CapacityView, ScaleOut};
use crate::sched::{may_use, JobClass};
use crate::time::Micros;

/// When a room has place for one more task of a gang. Slots compare by their fields in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GangSlot {
    at: Micros,
    room: usize,
}

impl CapacityView<'_> {
    /// When each room has place for tasks of a gang, by stated ends, soonest first: one entry for
    /// each task it takes beyond those in `used`.
    fn slots(&self, class: &JobClass, used: &[u32], most: u32) -> Vec<GangSlot> {
        let mut slots = Vec::new();
        for (index, room) in self.snapshot.machines.iter().enumerate() {
            let total = room.total.fits(&class.need);
            if !may_use(class, room)
                || room.reclaimed_in.is_some()
                || !self.coming(index)
                || total <= used[index]
            {
                continue;
            }
            let mut ends: Vec<_> = room.placed.iter().map(|task| (task.remaining, task.need)).collect();
            ends.sort_by_key(|end| end.0);
            let mut ends = ends.into_iter();
            let mut free = room.free;
            let mut at = room.accepts_starts_in;
            let mut taken = used[index];
            while taken < total.min(used[index].saturating_add(most)) {
                while free.fits(&class.need) <= taken {
                    let Some((left, need)) = ends.next() else { break };
                    free = free.plus(&need, 1);
                    at = at.max(left);
                }
                if free.fits(&class.need) <= taken {
                    break;
                }
                taken += 1;
                slots.push(GangSlot { at, room: index });
            }
        }
        slots.sort_unstable();
        slots
    }

    /// Scales out for the tasks of gangs that find no machine soon, by stated ends.
    pub(super) fn scale_out_for_gangs(&self, rents: &mut Vec<ScaleOut>) {
        let mut used = vec![0u32; self.snapshot.machines.len()];
        for &(class_index, left) in &self.plan.unmet {
            let class = &self.snapshot.classes[class_index];
            if !class.gang {
                continue;
            }
            let offers = self.offers(class);
            let boot_s = offers.first().map(|best| self.types[best.offer.ty].boot_s);
            let boot = boot_s.map_or(Micros::ZERO, Micros::from_secs);
            let mut found = 0u32;
            for GangSlot { at, room } in self.slots(class, &used, left) {
                // The promise of a room soon, by stated ends, counts only until it is broken.
                let promised = at <= boot && class.preempt_after.0 > 0;
                if found < left && (promised || self.upkeep[room].booting) {
                    used[room] += 1;
                    found += 1;
                }
            }
            // Machines scaled out for an earlier class in this same round were not asked for this one.
            scale_out_for_tasks(rents, left - found, offers.first());
        }
    }
}
