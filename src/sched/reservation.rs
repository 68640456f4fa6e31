//! The reservation of backfill scheduling (paper, 5.1): when and on which machines the first blocked job
//! starts, by the stated ends of the running tasks.

use super::decisions::{Reservation, TasksOnMachine};
use super::eligibility::may_use;
use super::plan_state::PlanState;
use crate::time::Micros;

impl PlanState<'_> {
    /// Reserves the machines on which the class can start first; `None` if it cannot start on any.
    pub(super) fn reserve(&mut self, class_index: usize) -> Option<Reservation> {
        let class = &self.snapshot.classes[class_index];
        let machines = self.reservable_machines(class_index);
        let at = self.earliest_start(class_index, &machines)?;
        let fits = |machine_index: usize| self.free_at(machine_index, at).fits(&class.need);
        let places = self.place_blocked(class_index, &machines, &fits)?;
        Some(self.reserve_machines(class_index, at, places))
    }

    /// The machines that may be reserved for the class: those that a task would fit if they were empty and
    /// that have no interruption notice.
    fn reservable_machines(&self, class_index: usize) -> Vec<usize> {
        let class = &self.snapshot.classes[class_index];
        let is_reservable = |machine_index: &usize| {
            let machine = &self.snapshot.machines[*machine_index];
            let has_no_notice = machine.reclaimed_in.is_none();
            may_use(class, machine) && has_no_notice && machine.total.fits(&class.need) > 0
        };
        (0..self.snapshot.machines.len()).filter(is_reservable).collect()
    }

    /// Reserves machines for the class from the time `at`.
    pub(super) fn reserve_machines(
        &mut self,
        class_index: usize,
        at: Micros,
        machines: Vec<TasksOnMachine>,
    ) -> Reservation {
        self.reserved_at = at;
        let need = self.snapshot.classes[class_index].need;
        for &(machine_index, count) in &machines {
            let free = self.free_at(machine_index, at).minus(&need, count);
            self.free_at_reservation[machine_index] = Some(free);
        }
        Reservation { class: class_index, at, machines }
    }
}
