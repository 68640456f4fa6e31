//! The planner: a snapshot goes in, decisions come out. No clock, no I/O, no lock.
//!
//! Jobs are classes of like tasks and are decided by count. The queue goes by rank, then by
//! (wait / adjusted time)^3 x size. The first blocked job that can have one gets a reservation at
//! the earliest time its room frees by the running tasks' *stated* times; jobs behind it start now
//! only if, by their *adjusted* times, they do not delay it.

mod arrays;
mod availability;
mod gangs;
mod limits;
mod placement;
mod preemptible;
mod preemption;
mod queue;
mod reservation;
mod services;
mod state;
mod top_up;
mod types;

pub(crate) use placement::allowed;
pub use queue::{order, score};
pub use services::{runs_in, ReportingMachine};
pub use top_up::IncrementalBackfill;
pub use types::{
    JobClass, MachineSnapshot, PlacedTask, Plan, Reservation, ReservedHeadroom, Resources, Snapshot, Start,
    TeamUse,
};

use gangs::GangOutcome;
use state::PlanState;

/// Decides what starts, what is reserved and what is stopped, class by class in the queue's order.
pub fn plan(snapshot: &Snapshot) -> Plan {
    let mut plan = Plan::default();
    let mut state = PlanState::new(snapshot);
    for class_index in order(&snapshot.classes) {
        if snapshot.classes[class_index].count > 0 {
            state.plan_class(class_index, &mut plan);
        }
    }
    plan.contended_types = state.contended_types;
    plan.gang_awaits_quota = state.gang_at_limit;
    plan
}

impl PlanState<'_> {
    /// Plans one class. A team's limit holds it back without giving it a claim to room.
    fn plan_class(&mut self, class_index: usize, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        let unmet = if class.gang {
            match self.plan_gang(class_index, plan) {
                GangOutcome::Started => 0,
                GangOutcome::NoRoom => class.count,
                GangOutcome::AtQuota => return,
            }
        } else if class.replica_machines.is_some() {
            self.start_service(class_index, &mut plan.starts, &mut plan.preempt)
        } else {
            self.start_array(class_index, &mut plan.starts)
        };
        if unmet == 0 {
            return;
        }
        plan.unmet.push((class_index, unmet));
        self.mark_contended_types(class);
        // All that can be stopped for a service is by now; what it needs beyond that has to be rented.
        if class.replica_machines.is_none() {
            self.reserve_or_preempt(class_index, plan);
        }
    }

    /// Notes on which types tasks of this class wait for the room that is kept for them.
    fn mark_contended_types(&mut self, class: &JobClass) {
        for &ty in &class.types {
            let kept =
                self.snapshot.headroom_for(ty, false).is_some_and(|kept| class.priority >= kept.priority);
            if let (true, Some(contended)) = (kept, self.contended_types.get_mut(ty)) {
                *contended = true;
            }
        }
    }
}
