//! Team quotas: how many tasks of a class a quota lets start, when it lets a gang start, and which tasks of
//! the team are preempted to release quota.

use super::decisions::{PlacedTaskIndex, Plan, Start};
use super::plan_state::{PlanState, QuotaBlockedGroup, QuotaRelease};
use super::preemption_rule::may_preempt;
use super::queue::QueueGroup;
use super::resources::Resources;
use super::snapshot::{JobClass, PlacedTask, TeamUse};
use crate::time::Micros;

/// Returned where no end of a task releases enough quota: one day, which counts as later than the end of any
/// task.
const PLANNING_HORIZON: Micros = Micros::from_millis(86_400_000);

/// A placed task that may be preempted. Tasks compare by their fields in the order of declaration, and the
/// smallest one is preempted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptibleTask {
    /// Work that is lost if the task is preempted, in processor time.
    lost_work: Micros,
    /// Index into `Snapshot::machines`.
    machine: usize,
    /// Index into the machine's `placed`.
    task: usize,
}

impl PlanState<'_> {
    /// How many tasks of the class its team's quota lets start. Quota that is reserved for a gang of the team
    /// counts as used, unless the class ends before the gang starts.
    pub(super) fn tasks_within_quota(&self, class_index: usize) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let Some(mut team_use) = self.team_uses.get(class.team).copied() else {
            return class.startable_tasks;
        };
        let runs_for = class.adjusted_runtime + self.snapshot.low_priority_delay_step;
        let reservation = self.quota_reservations[class.team];
        if let Some(reservation) = reservation.filter(|reservation| runs_for > reservation.at) {
            team_use.used = team_use.used.plus(&reservation.need, reservation.count);
        }
        class.startable_tasks.min(team_use.allowed_tasks(&class.need))
    }

    /// Adds the tasks of an array that its team's quota blocks to the plan's list. Tasks are not added if the
    /// quota has already blocked a service or an earlier group of the team: released quota is left to that
    /// work.
    pub(super) fn record_blocked_by_quota(&mut self, class_index: usize, within_quota: u32, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        let blocked = class.startable_tasks.saturating_sub(within_quota);
        let Some(first) = self.first_blocked_by_quota.get_mut(class.team).filter(|_| blocked > 0) else {
            return;
        };
        let group = QueueGroup::of(class);
        let is_service = class.replica_machines.is_some();
        let first =
            first.get_or_insert_with(|| QuotaBlockedGroup { group: QueueGroup::of(class), is_service });
        if !first.is_service && !is_service && first.group == group {
            plan.blocked_by_quota.push((class_index, blocked));
        }
    }

    /// By team: the quota that starts of work outside the team's first blocked group take. Services and gangs
    /// count as outside the group.
    pub(super) fn quota_of_other_starts(&self, starts: &[Start]) -> Vec<Resources> {
        let mut taken = vec![Resources::default(); self.first_blocked_by_quota.len()];
        for start in starts {
            let class = &self.snapshot.classes[start.class];
            let Some(Some(blocked)) = self.first_blocked_by_quota.get(class.team) else { continue };
            if class.replica_machines.is_some() || class.gang || blocked.group != QueueGroup::of(class) {
                taken[class.team] = taken[class.team].plus(&class.need, start.count);
            }
        }
        taken
    }

    /// Time until the team's quota lets all startable tasks of the class start at once, as tasks of the team
    /// end.
    pub(super) fn quota_available_at(&self, class_index: usize) -> Micros {
        let class = &self.snapshot.classes[class_index];
        let Some(mut team_use) = self.team_uses.get(class.team).copied() else { return Micros::ZERO };
        for QuotaRelease { at, need, count } in self.quota_releases(class.team) {
            team_use.used = team_use.used.minus(&need, count);
            if allows_all_tasks(&team_use, class) {
                return at;
            }
        }
        PLANNING_HORIZON
    }

    /// When the team's tasks, both placed ones and those that this plan starts, release their quota, soonest
    /// first.
    fn quota_releases(&self, team: usize) -> Vec<QuotaRelease> {
        let release = |task: &PlacedTask| {
            let at = if task.stopping { Micros::ZERO } else { task.remaining };
            QuotaRelease { at, need: task.need, count: 1 }
        };
        let placed = self.snapshot.machines.iter().flat_map(|machine| &machine.placed);
        let mut releases: Vec<QuotaRelease> = placed.filter(|task| task.team == team).map(release).collect();
        releases.extend(&self.planned_releases[team]);
        releases.sort_unstable_by_key(|release| release.at);
        releases
    }

    /// Tasks of the same team and lower priority to preempt so that the quota lets all startable tasks of the
    /// class start. Empty if the class can still wait, or if preempting all such tasks would not release
    /// enough quota.
    pub(super) fn preempt_within_quota(&self, class_index: usize) -> Vec<PlacedTaskIndex> {
        let class = &self.snapshot.classes[class_index];
        let Some(mut team_use) = self.team_uses.get(class.team).copied() else { return Vec::new() };
        if class.preempt_after.0 > 0 {
            return Vec::new();
        }
        let victims = self.preemptible_in_team(class, &mut team_use);
        let mut preempted = Vec::new();
        for victim in victims {
            if allows_all_tasks(&team_use, class) {
                return preempted;
            }
            let task = &self.snapshot.machines[victim.machine].placed[victim.task];
            team_use.used = team_use.used.minus(&task.need, 1);
            preempted.push((victim.machine, victim.task));
        }
        if allows_all_tasks(&team_use, class) {
            preempted
        } else {
            Vec::new()
        }
    }

    /// The tasks of the class's team that may be preempted for it, those that lose the least work first.
    /// Subtracts the tasks that are being stopped already from `team_use`.
    fn preemptible_in_team(&self, class: &JobClass, team_use: &mut TeamUse) -> Vec<PreemptibleTask> {
        let mut victims: Vec<PreemptibleTask> = Vec::new();
        for (machine_index, machine) in self.snapshot.machines.iter().enumerate() {
            let of_team = machine.placed.iter().enumerate().filter(|(_, task)| task.team == class.team);
            for (task_index, task) in of_team {
                if task.stopping {
                    team_use.used = team_use.used.minus(&task.need, 1);
                } else if may_preempt(task, class) {
                    let lost_work = task.lost_work;
                    victims.push(PreemptibleTask { lost_work, machine: machine_index, task: task_index });
                }
            }
        }
        victims.sort_unstable();
        victims
    }
}

/// Whether the quota lets all startable tasks of the class start at once.
fn allows_all_tasks(team_use: &TeamUse, class: &JobClass) -> bool {
    team_use.allowed_tasks(&class.need) >= class.startable_tasks
}
