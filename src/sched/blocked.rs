//! What a blocked class gets: the reservation, or capacity that others are preempted from.

use super::decisions::Plan;
use super::plan_state::PlanState;

impl PlanState<'_> {
    /// Reserves machines for a blocked class if no class has a reservation yet, and preempts others for it
    /// if it cannot wait that long.
    pub(super) fn reserve_or_preempt(&mut self, class_index: usize, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        if plan.reservation.is_some() || !self.snapshot.reserve {
            // Not the first blocked class, but it cannot wait either: each finds machines of its own.
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
