//! A reference model of what a plan with services may do.

use std::collections::BTreeSet;

use milletlock::sched::{PlacedTask, PlacedTaskIndex, Plan, Snapshot};

use crate::builders::machines_of;
use crate::common::planner::{queue_positions, CPU_TOLERANCE};

/// Answers what a plan may do, task by task, from the snapshot alone.
pub struct Model<'a> {
    snapshot: &'a Snapshot,
    plan: &'a Plan,
    pub preempted: BTreeSet<PlacedTaskIndex>,
}

impl<'a> Model<'a> {
    /// The model for a snapshot and a plan made from it.
    pub fn new(snapshot: &'a Snapshot, plan: &'a Plan) -> Model<'a> {
        Model { snapshot, plan, preempted: plan.preempt.iter().copied().collect() }
    }

    /// Whether the class is that of a service.
    pub fn is_service(&self, class: usize) -> bool {
        self.snapshot.classes[class].replica_machines.is_some()
    }

    /// Whether the class may use the machine, regardless of the tasks on it.
    pub fn may_use(&self, index: usize, machine: usize) -> bool {
        let (class, machine) = (&self.snapshot.classes[index], &self.snapshot.machines[machine]);
        let is_not_reclaimed = machine.reclaimed_in.is_none() || !self.is_service(index);
        let zone_allowed = class.zone.is_none_or(|zone| zone == machine.zone);
        machine.accepts_starts
            && is_not_reclaimed
            && zone_allowed
            && class.machine_types.contains(&machine.machine_type)
            && (class.spot || !machine.spot)
    }

    /// Number of tasks of a class in a zone, including those that the plan starts.
    pub fn tasks_in_zone(&self, class: usize, zone: usize) -> u32 {
        let machines = machines_of(self.plan, class);
        let new = machines.iter().filter(|machine| self.snapshot.machines[**machine].zone == zone).count();
        self.snapshot.classes[class].tasks_by_zone[zone] + new as u32
    }

    fn zone_rules_allow(&self, index: usize, zone: usize) -> bool {
        let class = &self.snapshot.classes[index];
        let tied_to_other_zone = class.one_zone && self.tasks_in_zone(index, 1 - zone) > 0;
        let zone_is_full = class.spread && self.tasks_in_zone(index, zone) >= class.tasks.div_ceil(2);
        !tied_to_other_zone && !zone_is_full
    }

    /// Processors of the tasks that the plan starts on a machine, of the classes for which `counts` is true.
    pub fn placed_cpus(&self, machine: usize, counts: impl Fn(usize) -> bool) -> f64 {
        let starts = self.plan.starts.iter().filter(|start| start.machine == machine && counts(start.class));
        starts.map(|start| f64::from(start.count) * self.snapshot.classes[start.class].need.cpus).sum()
    }

    /// Processors that are free on a machine once the tasks for which `ends` is true have ended.
    pub fn cpus_with(&self, machine: usize, ends: impl Fn(usize, &PlacedTask) -> bool) -> f64 {
        let machine = &self.snapshot.machines[machine];
        let ended = machine.placed.iter().enumerate().filter(|(index, task)| ends(*index, task));
        machine.free.cpus + ended.map(|(_, task)| task.need.cpus).sum::<f64>()
    }

    /// Whether a task may be preempted for the class.
    pub fn may_preempt(&self, class: usize, task: &PlacedTask) -> bool {
        let class = &self.snapshot.classes[class];
        task.preemptible
            && task.priority < class.priority
            && (class.within_fair_share || !task.within_fair_share)
    }

    /// Whether the quota of the class's team allows one more task.
    pub fn quota_allows_another(&self, class: usize) -> bool {
        let class = &self.snapshot.classes[class];
        let quota = self.snapshot.teams[class.team].cpu_quota;
        quota <= 0.0 || self.used_by_team(class.team) + class.need.cpus <= quota + CPU_TOLERANCE
    }

    /// Processors that a team uses, including those that the plan's starts take.
    pub fn used_by_team(&self, team: usize) -> f64 {
        let starts = self.plan.starts.iter().filter(|start| self.snapshot.classes[start.class].team == team);
        let new: f64 =
            starts.map(|start| f64::from(start.count) * self.snapshot.classes[start.class].need.cpus).sum();
        self.snapshot.teams[team].used.cpus + new
    }

    /// Whether one more replica could be placed on the machine, even if all tasks that may be preempted were.
    pub fn could_take_another(&self, class: usize, machine: usize) -> bool {
        let zone = self.snapshot.machines[machine].zone;
        if !self.may_use(class, machine) || !self.zone_rules_allow(class, zone) {
            return false;
        }
        let positions = queue_positions(&self.snapshot.classes);
        let earlier = self.placed_cpus(machine, |other| positions[other] <= positions[class]);
        let most = self.cpus_with(machine, |_, task| task.stopping || self.may_preempt(class, task));
        most - earlier + CPU_TOLERANCE >= self.snapshot.classes[class].need.cpus
    }
}
