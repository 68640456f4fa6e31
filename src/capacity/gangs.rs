//! Scale out for gangs: adds machines for tasks of gangs that will not find capacity soon.

use super::offers::scale_out_for_tasks;
use super::{Autoscaler, ScaleOutItem};
use crate::sched::{may_use, JobClass, MachineSnapshot};
use crate::time::Micros;

/// Capacity on a machine for one more task of a gang. Slots compare by their fields in the order of
/// declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GangSlot {
    /// Time until the capacity is free.
    at: Micros,
    /// Index into `Snapshot::machines`.
    machine: usize,
}

impl Autoscaler<'_> {
    /// Adds machines for the tasks of gangs that will not find capacity on existing machines soon, by the
    /// stated ends of the running tasks.
    pub(super) fn scale_out_for_gangs(&self, scale_out: &mut Vec<ScaleOutItem>) {
        let mut used_slots = vec![0u32; self.snapshot.machines.len()];
        for &(class_index, unplaced) in &self.plan.unplaced {
            let class = &self.snapshot.classes[class_index];
            if !class.gang {
                continue;
            }
            let offers = self.fitting_offers(class);
            let boot_s = offers.first().map(|best| self.types[best.offer.type_index].boot_s);
            let boot_time = boot_s.map_or(Micros::ZERO, Micros::from_secs);
            let mut covered = 0u32;
            for GangSlot { at, machine } in self.gang_slots(class, &used_slots, unplaced) {
                // A slot that will be free before a new machine has booted counts only while the gang can
                // still wait, because stated run times may be too short.
                let is_free_soon = at <= boot_time && class.preempt_after.0 > 0;
                if covered < unplaced && (is_free_soon || self.machine_status[machine].booting) {
                    used_slots[machine] += 1;
                    covered += 1;
                }
            }
            // Machines added in this round for an earlier class are not counted, since that class will use
            // them.
            scale_out_for_tasks(scale_out, unplaced - covered, offers.first());
        }
    }

    /// The slots for tasks of a gang on each machine, soonest first. The slots counted in `used_slots` are
    /// left out, and each machine has at most `max_slots` others.
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

/// Times until a machine's slots with numbers from `used` up to, but not including, `last` are free, by the
/// stated ends of the tasks on it.
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
