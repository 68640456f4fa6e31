//! The planner: a snapshot of the fleet goes in, decisions come out. No clock, no I/O, no lock.
//!
//! It follows "Job scheduling with adjusted runtime estimates on production supercomputers" (Tang, Desai,
//! Buettner, Lan, 2013); sections below are those of the paper, and docs/design.md says what was added.
//!
//! [`plan()`] takes the job classes one after the other, and each sees what those before it have taken:
//!
//! 1. **Queue** (`queue`): by fair share, priority and missed objectives, then by the score of Eq. 5,
//!    (wait / adjusted run time)^3 x size. The run time of a waiting job is adjusted by its team's history
//!    (4.2.3, `history::History::factor`).
//! 2. **Quota** (`quota`): a team's quota bounds how many tasks of a class may start. The first gang of a
//!    team that its quota alone holds back reserves what comes free of it.
//! 3. **Placement**: arrays start as many tasks as fit (`arrays`), gangs start whole or not at all
//!    (`gangs`, `gang_placement`), services place each replica where it runs soonest
//!    (`service_placement`, `replica_preemption`). `candidates` orders the machines (bin packing);
//!    `eligibility`, `zone_limits` and `headroom` say which may be used.
//! 4. **Reservation** (5.1, `reservation`, `availability`): the first blocked class reserves the machines
//!    that come free first, by the *stated* ends of running tasks (selective adjustment, 5.2).
//! 5. **Backfilling** (5.1, `PlanState::fits_now`): classes behind it start now only where, by their
//!    *adjusted* run times, they end before the reservation or fit beside it.
//! 6. **Preemption** (`blocked`, `preemption`): a blocked class that cannot wait for its reservation has
//!    tasks of lower priority preempted (`preemption_rule`).
//!
//! Between two plans, `incremental_backfill` and `replica_starts` start waiting tasks on a machine that
//! has just sent a heartbeat.
//!
//! `snapshot` and `decisions` are the planner's input and output, `resources` their amounts; `plan_state`
//! is what is left of the snapshot while a plan is made.

mod arrays;
mod availability;
mod blocked;
mod candidates;
mod decisions;
mod eligibility;
mod gang_placement;
mod gangs;
mod headroom;
mod incremental_backfill;
mod plan_state;
mod preemption;
mod preemption_rule;
mod queue;
mod quota;
mod replica_preemption;
mod replica_starts;
mod reservation;
mod resources;
mod service_placement;
mod snapshot;
mod zone_limits;

pub use decisions::{PlacedTaskIndex, Plan, Reservation, Start, TasksOfClass, TasksOnMachine};
pub(crate) use eligibility::may_use;
pub use eligibility::start_delay;
pub use incremental_backfill::IncrementalBackfill;
pub use queue::{queue_order, score};
pub use replica_starts::ReportingMachine;
pub use resources::Resources;
pub use snapshot::{JobClass, MachineSnapshot, PlacedTask, ReservedHeadroom, Snapshot, TeamUse};

use gangs::GangOutcome;
use plan_state::PlanState;

/// Decides what starts, what is reserved and what is preempted, class by class in the queue's order.
pub fn plan(snapshot: &Snapshot) -> Plan {
    let mut plan = Plan::default();
    let mut state = PlanState::new(snapshot);
    for class_index in queue_order(&snapshot.classes) {
        if snapshot.classes[class_index].startable_tasks > 0 {
            state.plan_class(class_index, &mut plan);
        }
    }
    plan.quota_of_other_starts = state.quota_of_other_starts(&plan.starts);
    plan.contended_types = state.contended_types;
    plan.gang_blocked_by_quota = state.gang_blocked_by_quota;
    plan
}

impl PlanState<'_> {
    /// Plans one class. A class that its team's quota holds back gets no reservation here and preempts
    /// nobody outside its team.
    fn plan_class(&mut self, class_index: usize, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        let unmet = if class.gang {
            match self.plan_gang(class_index, plan) {
                GangOutcome::Started => 0,
                GangOutcome::NoCapacity => class.startable_tasks,
                GangOutcome::BlockedByQuota => return,
            }
        } else if class.replica_machines.is_some() {
            self.record_blocked_by_quota(class_index, self.tasks_within_quota(class_index), plan);
            self.start_service(class_index, plan)
        } else {
            let within_quota = self.tasks_within_quota(class_index);
            self.record_blocked_by_quota(class_index, within_quota, plan);
            self.start_array(class_index, within_quota, &mut plan.starts)
        };
        if unmet == 0 {
            return;
        }
        plan.unplaced.push((class_index, unmet));
        self.mark_contended_types(class);
        // All that can be preempted for a service is by now; what it lacks beyond that has to be rented.
        if class.replica_machines.is_none() {
            self.reserve_or_preempt(class_index, plan);
        }
    }

    /// Marks the machine types on which tasks of this class wait for the headroom reserved for them.
    fn mark_contended_types(&mut self, class: &JobClass) {
        for &machine_type in &class.machine_types {
            let headroom = self.snapshot.headroom_for(machine_type, false);
            if headroom.is_some_and(|headroom| class.priority >= headroom.priority) {
                self.contended_types[machine_type] = true;
            }
        }
    }
}
