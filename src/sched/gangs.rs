//! Gangs: all tasks of a gang start together or none does. For a gang that only its team's quota blocks,
//! quota is reserved.

use super::decisions::{Plan, Start, TasksOnMachine};
use super::plan_state::{PlanState, QuotaReservation};
use crate::time::Micros;

/// The result of planning a gang.
pub(super) enum GangOutcome {
    /// All its tasks start.
    Started,
    /// There is not enough free capacity for all its tasks.
    NoCapacity,
    /// Its team's quota blocks it. Either only the quota blocks it, or another gang of the team that is
    /// earlier in the queue is blocked by the quota too.
    BlockedByQuota,
}

impl PlanState<'_> {
    /// Starts a gang, or, if its team's quota blocks it, reserves quota for it.
    pub(super) fn plan_gang(&mut self, class_index: usize, plan: &mut Plan) -> GangOutcome {
        let class = &self.snapshot.classes[class_index];
        if self.tasks_within_quota(class_index) >= class.startable_tasks {
            return self.start_gang(class_index, &mut plan.starts);
        }
        if self.gang_blocked_by_quota[class.team] {
            return GangOutcome::BlockedByQuota;
        }
        self.gang_blocked_by_quota[class.team] = true;
        let Some(places) = self.place_gang_now(class_index) else { return GangOutcome::NoCapacity };
        self.reserve_quota(class_index, places, plan);
        GangOutcome::BlockedByQuota
    }

    /// Starts all tasks of a gang if there is free capacity for them now.
    fn start_gang(&mut self, class_index: usize, starts: &mut Vec<Start>) -> GangOutcome {
        let Some(places) = self.place_gang_now(class_index) else { return GangOutcome::NoCapacity };
        for (machine_index, count) in places {
            self.allocate(class_index, machine_index, count);
            starts.push(Start { class: class_index, machine: machine_index, count });
        }
        GangOutcome::Started
    }

    /// Where the tasks of a gang would be placed now if its team had no quota.
    fn place_gang_now(&self, class_index: usize) -> Option<Vec<TasksOnMachine>> {
        let class = &self.snapshot.classes[class_index];
        let machines = self.candidates(class);
        self.place_gang(class_index, &machines, &|machine_index| self.fits_now(class, machine_index))
    }

    /// Reserves quota for a gang that finds capacity at `places` and that only its team's quota blocks.
    /// Without the reservation, jobs of the team that are later in the queue would take the released quota,
    /// and the gang would starve behind its own team's small tasks.
    ///
    /// Quota is reserved for one gang of a team at a time, and only while that gang finds capacity. When
    /// every blocked gang had a reservation, a team at its quota started nothing at all. When tasks were
    /// preempted for a gang that then found no capacity, the same tasks were preempted over and over.
    fn reserve_quota(&mut self, class_index: usize, places: Vec<TasksOnMachine>, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        let preempted = self.preempt_within_quota(class_index);
        let at = if preempted.is_empty() { self.quota_available_at(class_index) } else { Micros::ZERO };
        plan.preempt.extend(preempted);
        self.quota_reservations[class.team] =
            Some(QuotaReservation { need: class.need, count: class.startable_tasks, at });
        if plan.reservation.is_none() && self.snapshot.reserve {
            plan.reservation = Some(self.reserve_machines(class_index, at, places));
        }
    }
}
