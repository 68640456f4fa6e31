//! Incremental backfill: array tasks that start between two plans, on a machine that has free capacity
//! now because it has just sent a heartbeat.

use super::decisions::TasksOfClass;
use super::eligibility::{adjusted_end, lacks_awaited_image, may_use};
use super::queue::QueueGroup;
use super::resources::{Resources, NEGLIGIBLE};
use super::snapshot::{JobClass, MachineSnapshot, Snapshot, TeamUse};
use crate::time::Micros;

/// A class without a deadline that has waited longer than this is not passed over for one whose image is
/// cached.
const MAX_PASSED_OVER: Micros = Micros::from_millis(60_000);

/// A class with a deadline is not passed over once its slack is below this fraction of its run time. A
/// larger fraction makes machines fetch images that others have; a smaller one leaves no time to fetch.
const LEAST_SLACK_FRACTION: f64 = 0.2;

/// The backfill of one machine between two plans. The caller passes only machines outside the reservation
/// on which nothing is being preempted, so it delays nobody that the plan made wait for them. Left to the
/// next plan are jobs tied to zones, teams with a gang that waits for quota, and, where a gang waits for
/// capacity on such a machine, all teams with a quota: what those start beyond the plan would keep a wide
/// gang from the machine, behind work within its team's fair share.
pub struct IncrementalBackfill<'a> {
    /// What the latest plan was made for.
    pub snapshot: &'a Snapshot,
    /// [`super::Plan::contended_types`] of the latest plan.
    pub contended_types: &'a [bool],
    /// [`super::Plan::gang_blocked_by_quota`] of the latest plan.
    pub gang_blocked_by_quota: &'a [bool],
    /// By team: what it uses now; empty if no team has a quota.
    pub team_uses: Vec<TeamUse>,
    /// The machine.
    pub machine: &'a MachineSnapshot,
    /// Whether a gang waits that may use the machine.
    pub gang_waits: bool,
}

/// Which classes of a group are filled in.
#[derive(Clone, Copy)]
enum Candidates {
    /// Those that go before others of their group.
    First,
    /// The others.
    Last,
    /// Those whose image the machine has.
    WithImage,
}

impl IncrementalBackfill<'_> {
    /// Which of the tasks that found no capacity start on the machine, by class; they are taken off
    /// `unmet`. Classes start in the queue's order, but within a group those whose image the machine has
    /// cached go first: where all machines are in use, each would otherwise fetch every image, and
    /// fetching takes as much of its time as running.
    pub fn starts(&mut self, unmet: &mut [TasksOfClass]) -> Vec<TasksOfClass> {
        self.fill_in_turn(unmet, &[Candidates::First, Candidates::Last], self.machine.free)
    }

    /// The same of the tasks that their team's quota held back when the plan was made, where tasks have ended
    /// since. The plan's starts of the same group on other machines count on what is free of the quota: what
    /// would have to fetch an image leaves it to them. What the plan starts of other work is to be counted in
    /// `team_uses`; `free` is what is left of the machine.
    pub fn starts_within_freed_quota(
        &mut self,
        held: &mut [TasksOfClass],
        free: Resources,
    ) -> Vec<TasksOfClass> {
        self.fill_in_turn(held, &[Candidates::WithImage], free)
    }

    /// Starts what fits, by groups of the queue; within a group some candidates after the others.
    fn fill_in_turn(
        &mut self,
        unmet: &mut [TasksOfClass],
        turns: &[Candidates],
        mut free: Resources,
    ) -> Vec<TasksOfClass> {
        let classes = &self.snapshot.classes;
        let group = |unmet: &TasksOfClass| QueueGroup::of(&classes[unmet.0]);
        let mut starts = Vec::new();
        // Classes of one group stand together in the queue.
        for alike in unmet.chunk_by_mut(|a, b| group(a) == group(b)) {
            for candidates in turns {
                self.fill(alike, *candidates, &mut free, &mut starts);
            }
            if free.cpus <= NEGLIGIBLE {
                break;
            }
        }
        starts
    }

    /// Starts what fits of the candidates.
    fn fill(
        &mut self,
        unmet: &mut [TasksOfClass],
        candidates: Candidates,
        free: &mut Resources,
        starts: &mut Vec<TasksOfClass>,
    ) {
        for (class_index, waiting) in unmet.iter_mut().filter(|unmet| unmet.1 > 0) {
            let class = &self.snapshot.classes[*class_index];
            if !self.is_candidate(class, candidates) || !self.may_start(class) {
                continue;
            }
            let count = free.fits(&class.need).min(*waiting).min(self.quota_allows(class));
            if count > 0 {
                *free = free.minus(&class.need, count);
                *waiting -= count;
                self.add_use(class, count);
                starts.push((*class_index, count));
            }
        }
    }

    /// Whether the class is one of the candidates.
    fn is_candidate(&self, class: &JobClass, candidates: Candidates) -> bool {
        match candidates {
            Candidates::First => self.goes_first(class),
            Candidates::Last => !self.goes_first(class),
            Candidates::WithImage => self.has_image(class),
        }
    }

    /// Whether the class goes before others of its group: its image is cached, or it is pressed for time.
    fn goes_first(&self, class: &JobClass) -> bool {
        let is_pressed = match class.deadline_slack {
            Some(slack) => slack < class.adjusted_runtime.scale(LEAST_SLACK_FRACTION),
            None => class.waited > MAX_PASSED_OVER,
        };
        self.has_image(class) || is_pressed
    }

    /// Whether the machine has the class's image.
    fn has_image(&self, class: &JobClass) -> bool {
        class.image.is_none_or(|image| self.machine.images.contains(&image))
    }

    /// Whether tasks of the class may start on the machine before the next plan.
    fn may_start(&self, class: &JobClass) -> bool {
        let machine = self.machine;
        if self.is_left_to_next_plan(class) || self.must_leave_headroom(class) {
            return false;
        }
        let ends_in_time =
            machine.reclaimed_in.is_none_or(|reclaimed_in| adjusted_end(class, machine) <= reclaimed_in);
        may_use(class, machine) && !lacks_awaited_image(class, machine) && ends_in_time
    }

    /// Whether only a whole plan can place the class: it looks at all machines and at what gangs wait for.
    fn is_left_to_next_plan(&self, class: &JobClass) -> bool {
        let team_use = self.team_uses.get(class.team);
        let has_quota = team_use.is_some_and(|team| team.cpu_quota > 0.0 || team.gpu_quota > 0.0);
        let is_tied = class.gang || class.one_zone || class.spread;
        let gang_blocked_by_quota = self.gang_blocked_by_quota.get(class.team).copied().unwrap_or(false);
        is_tied || gang_blocked_by_quota || (has_quota && self.gang_waits)
    }

    /// Whether the class must leave the machine to tasks that headroom on it is reserved for.
    fn must_leave_headroom(&self, class: &JobClass) -> bool {
        let machine = self.machine;
        let is_contended = self.contended_types.get(machine.machine_type).copied().unwrap_or(false);
        let is_below = self.snapshot.is_below_reserved_priority(class, machine);
        is_below && (self.snapshot.headroom_machines > 0 || is_contended)
    }

    /// How many more tasks of the class its team's quota allows.
    fn quota_allows(&self, class: &JobClass) -> u32 {
        self.team_uses.get(class.team).map_or(u32::MAX, |team_use| team_use.allowed_tasks(&class.need))
    }

    /// Counts started tasks against their team's quota.
    fn add_use(&mut self, class: &JobClass, count: u32) {
        if let Some(team_use) = self.team_uses.get_mut(class.team) {
            team_use.used = team_use.used.plus(&class.need, count);
        }
    }
}
