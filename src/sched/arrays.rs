//! Job arrays: independent tasks, of which as many start as fit the free capacity.

use super::decisions::Start;
use super::plan_state::PlanState;

impl PlanState<'_> {
    /// Starts up to `tasks` tasks of an array, as far as capacity allows; returns how many found no capacity.
    pub(super) fn start_array(&mut self, class_index: usize, tasks: u32, starts: &mut Vec<Start>) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let mut waiting = tasks;
        for machine_index in self.candidates(class) {
            if waiting == 0 {
                break;
            }
            let fits = self.fits_now(class, machine_index);
            let count = fits.min(waiting).min(self.zone_allowance(class_index, machine_index));
            if count > 0 {
                self.allocate(class_index, machine_index, count);
                starts.push(Start { class: class_index, machine: machine_index, count });
                waiting -= count;
            }
        }
        waiting
    }
}
