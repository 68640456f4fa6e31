//! Scale out for gangs: machines for the tasks of gangs that find no place soon.

use super::offers::scale_out_for_tasks;
use super::{Autoscaler, ScaleOutItem};
use crate::sched::{may_use, JobClass, MachineSnapshot};
use crate::time::Micros;

/// When a machine has capacity for one more task of a gang. Slots compare by their fields in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GangSlot {
    /// Time from now until the capacity is free.
    at: Micros,
    /// Index into `Snapshot::machines`.
    machine: usize,
}

impl Autoscaler<'_> {
    /// Scales out for the tasks of gangs that find no machine soon, by the stated ends of the running
    /// tasks.
    pub(super) fn scale_out_for_gangs(&self, scale_out: &mut Vec<ScaleOutItem>) {
        let mut used_slots = vec![0u32; self.snapshot.machines.len()];
        for &(class_index, unmet) in &self.plan.unplaced {
            let class = &self.snapshot.classes[class_index];
            if !class.gang {
                continue;
            }
            let offers = self.fitting_offers(class);
            let boot_s = offers.first().map(|best| self.types[best.offer.type_index].boot_s);
            let boot = boot_s.map_or(Micros::ZERO, Micros::from_secs);
            let mut found = 0u32;
            for GangSlot { at, machine } in self.gang_slots(class, &used_slots, unmet) {
                // That a slot frees soon, by stated ends, counts only while the gang can still wait:
                // stated times may be too short.
                let is_free_soon = at <= boot && class.preempt_after.0 > 0;
                if found < unmet && (is_free_soon || self.machine_status[machine].booting) {
                    used_slots[machine] += 1;
                    found += 1;
                }
            }
            // Machines that this round adds for an earlier class do not count: that class will use them.
            scale_out_for_tasks(scale_out, unmet - found, offers.first());
        }
    }

    /// When each machine has capacity for tasks of a gang, soonest first: one slot for each task beyond
    /// those in `used_slots`, at most `max_slots` to a machine.
    fn gang_slots(&self, class: &JobClass, used_slots: &[u32], max_slots: u32) -> Vec<GangSlot> {
        let mut slots = Vec::new();
        for (index, machine) in self.snapshot.machines.iter().enumerate() {
            if !may_use(class, machine) || machine.reclaimed_in.is_some() || !self.is_reliable(index) {
                continue;
            }
            let used = used_slots[index];
            let last = machine.total.fits(&class.need).min(used.saturating_add(max_slots));
            let times = slot_times(class, machine, used, last);
            slots.extend(times.into_iter().map(|at| GangSlot { at, machine: index }));
        }
        slots.sort_unstable();
        slots
    }
}

/// When a machine has capacity for its slots from `used` to before `last`, by the stated ends of the
/// tasks on it.
fn slot_times(class: &JobClass, machine: &MachineSnapshot, used: u32, last: u32) -> Vec<Micros> {
    if used >= last {
        return Vec::new();
    }
    let mut by_end: Vec<_> = machine.placed.iter().map(|task| (task.remaining, task.need)).collect();
    by_end.sort_by_key(|(remaining, _)| *remaining);
    let mut ends = by_end.into_iter();
    let mut free = machine.free;
    let mut at = machine.accepts_starts_in;
    let mut times = Vec::new();
    for slot in used..last {
        while free.fits(&class.need) <= slot {
            let Some((remaining, need)) = ends.next() else { return times };
            free = free.plus(&need, 1);
            at = at.max(remaining);
        }
        times.push(at);
    }
    times
}
