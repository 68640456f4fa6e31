//! Arrays: independent tasks, of which as many start as there is room for.

use super::state::PlanState;
use super::Start;

impl PlanState<'_> {
    /// Starts as many tasks of an array as possible; returns how many found no room.
    pub(super) fn start_array(&mut self, class_index: usize, starts: &mut Vec<Start>) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let mut left = self.startable_count(class_index);
        for room_index in self.candidates(class) {
            if left == 0 {
                break;
            }
            let zone = self.snapshot.machines[room_index].zone;
            let fits = self.fits_now(class, room_index);
            let count = fits.min(left).min(self.zone_allowance(class_index, zone));
            if count > 0 {
                self.allocate(class_index, room_index, count);
                starts.push(Start { class: class_index, machine: room_index, count });
                left -= count;
            }
        }
        left
    }
}
