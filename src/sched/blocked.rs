//! Blocked classes: a class that does not find enough capacity gets the reservation, or tasks are preempted
//! for it.

use super::decisions::Plan;
use super::plan_state::PlanState;

impl PlanState<'_> {
    /// Reserves machines for a blocked class if no class has a reservation yet. If the class cannot wait
    /// until the reservation begins, or gets none, preempts tasks for it.
    pub(super) fn reserve_or_preempt(&mut self, class_index: usize, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        if plan.reservation.is_some() || !self.snapshot.reserve {
            // Another class has the reservation, or reservations are turned off. If this class cannot wait,
            // tasks are preempted for it on machines where this plan preempts none yet.
            if class.preempt_after.0 <= 0 {
                plan.preempt.extend(self.preempt(class_index));
            }
            return;
        }
        plan.reservation = self.reserve(class_index);
        let starts_in_time =
            plan.reservation.as_ref().is_some_and(|reservation| reservation.at <= class.preempt_after);
        if !starts_in_time {
            plan.preempt.extend(self.preempt(class_index));
        }
    }
}
