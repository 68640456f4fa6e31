//! Gangs: all tasks start together or none does. A gang that its team's quota holds back reserves quota.

use super::decisions::{Plan, Start, TasksOnMachine};
use super::plan_state::{PlanState, QuotaReservation};
use crate::time::Micros;

/// How planning a gang ended.
pub(super) enum GangOutcome {
    /// All its tasks start.
    Started,
    /// It finds no free capacity.
    NoCapacity,
    /// Its team's quota holds it back: either alone, or another gang of the team is held back before it.
    BlockedByQuota,
}

impl PlanState<'_> {
    /// Starts a gang, or reserves for it what comes free of its team's quota.
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

    /// Starts a gang whole, if it finds free capacity now.
    fn start_gang(&mut self, class_index: usize, starts: &mut Vec<Start>) -> GangOutcome {
        let Some(places) = self.place_gang_now(class_index) else { return GangOutcome::NoCapacity };
        for (machine_index, count) in places {
            self.allocate(class_index, machine_index, count);
            starts.push(Start { class: class_index, machine: machine_index, count });
        }
        GangOutcome::Started
    }

    /// Where a gang would go now, whatever its team's quota says.
    fn place_gang_now(&self, class_index: usize) -> Option<Vec<TasksOnMachine>> {
        let class = &self.snapshot.classes[class_index];
        let machines = self.candidates(class);
        self.place_gang(class_index, &machines, &|machine_index| self.fits_now(class, machine_index))
    }

    /// Reserves what comes free of the team's quota for a gang that finds capacity at `places` and is held
    /// back by that quota alone: the team's lower jobs must not take it, or a gang would starve behind its
    /// own team's small tasks. One gang of a team at a time, and only while it finds capacity: with a
    /// reservation for each, or preemption for one that then found no capacity, a team at its quota stood
    /// still, or had the same tasks preempted over and over.
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
