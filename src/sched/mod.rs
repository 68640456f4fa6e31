//! The planner: computes a [`Plan`] (what to start, reserve and preempt) from a [`Snapshot`] of machines,
//! jobs and teams. It is pure code: it reads no clock, does no I/O and takes no lock.
//!
//! It follows "Job scheduling with adjusted runtime estimates on production supercomputers" (Tang, Desai,
//! Buettner, Lan, 2013). Section and equation numbers in this module are those of the paper; docs/design.md
//! describes the additions to it.
//!
//! [`plan()`] plans the job classes one after the other in the order of the queue. Each class sees the
//! capacity and quota that the classes before it have left:
//!
//! 1. **Queue** (`queue`): classes are ordered by fair share, priority and number of missed objectives, then
//!    by the score of Eq. 5, (wait / adjusted run time)^3 x size. The run time of a waiting job is adjusted
//!    by its team's history (4.2.3, `history::History::factor`).
//! 2. **Quota** (`quota`): a team's quota limits how many tasks of a class may start. The team's first gang
//!    that only the quota blocks gets a reservation of the quota that the team's tasks release.
//! 3. **Placement**: job arrays start as many tasks as fit (`arrays`), gangs start all their tasks or none
//!    (`gangs`, `gang_placement`), and services place each replica on the machine where it runs soonest
//!    (`service_placement`, `replica_preemption`). `candidates` orders the machines (bin packing);
//!    `eligibility`, `zone_limits` and `headroom` decide which machines may be used.
//! 4. **Reservation** (5.1, `reservation`, `availability`): the first blocked class reserves the machines
//!    that become free first, by the *stated* ends of the running tasks (selective adjustment, 5.2).
//! 5. **Backfill** (5.1, `PlanState::fits_now`): classes behind the reservation start now only on machines
//!    where, by their *adjusted* run times, they end before the reservation begins or fit beside the reserved
//!    tasks.
//! 6. **Preemption** (`blocked`, `preemption`): if a blocked class cannot wait for its reservation, tasks of
//!    lower priority are preempted for it (`preemption_rule`).
//!
//! Between two plans, `incremental_backfill` and `replica_starts` start waiting tasks on a machine that has
//! just sent a heartbeat.
//!
//! `snapshot` and `decisions` define the planner's input and output, and `resources` the amounts in them.
//! `plan_state` tracks what is left of the snapshot's capacity and quotas while a plan is made.

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

/// Makes a plan: decides which tasks start, what is reserved and what is preempted, class by class in the
/// order of the queue.
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
    /// Plans one class. A class that only its team's quota blocks is not passed to `reserve_or_preempt`: it
    /// preempts only tasks of its own team, and for a gang `reserve_quota` makes the reservation.
    fn plan_class(&mut self, class_index: usize, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        let unplaced = if class.gang {
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
        if unplaced == 0 {
            return;
        }
        plan.unplaced.push((class_index, unplaced));
        self.mark_contended_types(class);
        // `start_service` has already preempted all tasks that may be preempted for a service. The replicas
        // that still have no machine need new machines.
        if class.replica_machines.is_none() {
            self.reserve_or_preempt(class_index, plan);
        }
    }

    /// Marks the machine types with headroom that is reserved for this class's priority, since tasks of the
    /// class are waiting.
    fn mark_contended_types(&mut self, class: &JobClass) {
        for &machine_type in &class.machine_types {
            let headroom = self.snapshot.headroom_for(machine_type, false);
            if headroom.is_some_and(|headroom| class.priority >= headroom.priority) {
                self.contended_types[machine_type] = true;
            }
        }
    }
}
