//! Incremental backfill: starts waiting tasks between two plans, on a machine that has just sent a heartbeat
//! and has free capacity.

use super::decisions::TasksOfClass;
use super::eligibility::{adjusted_end, lacks_awaited_image, may_use};
use super::queue::QueueGroup;
use super::resources::{Resources, NEGLIGIBLE};
use super::snapshot::{JobClass, MachineSnapshot, Snapshot, TeamUse};
use crate::time::Micros;

/// A class without a deadline that has waited longer than this does not wait behind classes whose images are
/// cached.
const MAX_WAIT_BEHIND_CACHED_IMAGES: Micros = Micros::from_millis(60_000);

/// A class with a deadline does not wait behind classes whose images are cached once its slack is below this
/// fraction of its run time. With a larger fraction, machines fetch images that other machines have; with a
/// smaller one, no time is left to fetch the image.
const MIN_SLACK_FRACTION: f64 = 0.2;

/// The backfill of one machine between two plans.
///
/// The caller passes only machines that are not reserved and on which no task is being preempted. So no job
/// that waits for a machine by the plan is delayed.
///
/// Some work does not start before the next plan: gangs, jobs whose tasks must be in one zone or be spread
/// over zones, tasks of teams with a gang that the quota blocks, and, if a gang is waiting for capacity on
/// this machine, tasks of all teams with a quota. If such teams could start tasks outside the plan, a wide
/// gang would never get the machine, because work within its team's fair share goes before the gang in the
/// queue.
pub struct IncrementalBackfill<'a> {
    /// The snapshot of the latest plan.
    pub snapshot: &'a Snapshot,
    /// [`super::Plan::contended_types`] of the latest plan.
    pub contended_types: &'a [bool],
    /// [`super::Plan::gang_blocked_by_quota`] of the latest plan.
    pub gang_blocked_by_quota: &'a [bool],
    /// By team: its resource use at this moment and its quota; empty if no team has a quota.
    pub team_uses: Vec<TeamUse>,
    /// The machine that has sent the heartbeat.
    pub machine: &'a MachineSnapshot,
    /// Whether a gang that may use the machine is waiting for capacity.
    pub gang_waits: bool,
}

/// One pass over the classes of a group of the queue, which starts some of them.
#[derive(Clone, Copy)]
enum BackfillPass {
    /// The classes that are preferred on this machine (`is_preferred`).
    Preferred,
    /// The classes that are not preferred.
    Remaining,
    /// The classes whose image the machine has, or that have no image.
    ImageCached,
}

impl IncrementalBackfill<'_> {
    /// Chooses which tasks that found no capacity start on the machine, and subtracts them from `waiting`.
    /// Classes start in the order of the queue, but within a group those whose image the machine has cached
    /// go first. Otherwise, when all machines are in use, each machine would fetch every image and spend as
    /// much time on fetching as on running tasks.
    pub fn starts(&mut self, waiting: &mut [TasksOfClass]) -> Vec<TasksOfClass> {
        self.start_in_passes(waiting, &[BackfillPass::Preferred, BackfillPass::Remaining], self.machine.free)
    }

    /// Chooses which tasks that the quota blocked when the plan was made start on the machine, now that tasks
    /// have ended and released quota. Subtracts them from `blocked`.
    ///
    /// The plan may have assigned tasks of the same group to other machines; those starts rely on the quota
    /// that is free now. Therefore a class starts here only if the machine has its image: a class that would
    /// have to fetch it leaves the quota to the planned starts. The caller must have added the planned starts
    /// of all other work to `team_uses` ([`super::Plan::quota_of_other_starts`]). `free` is the capacity of
    /// the machine that is still free.
    pub fn starts_within_freed_quota(
        &mut self,
        blocked: &mut [TasksOfClass],
        free: Resources,
    ) -> Vec<TasksOfClass> {
        self.start_in_passes(blocked, &[BackfillPass::ImageCached], free)
    }

    /// Starts the tasks that fit, group by group of the queue, with the given passes over each group.
    fn start_in_passes(
        &mut self,
        waiting: &mut [TasksOfClass],
        passes: &[BackfillPass],
        mut free: Resources,
    ) -> Vec<TasksOfClass> {
        let classes = &self.snapshot.classes;
        let group = |tasks: &TasksOfClass| QueueGroup::of(&classes[tasks.0]);
        let mut starts = Vec::new();
        // Classes of one group are adjacent, since `waiting` is in the order of the queue.
        for group_classes in waiting.chunk_by_mut(|a, b| group(a) == group(b)) {
            for pass in passes {
                self.start_group(group_classes, *pass, &mut free, &mut starts);
            }
            if free.cpus <= NEGLIGIBLE {
                break;
            }
        }
        starts
    }

    /// Starts the tasks that fit, of those classes of a group that belong to the pass.
    fn start_group(
        &mut self,
        waiting: &mut [TasksOfClass],
        pass: BackfillPass,
        free: &mut Resources,
        starts: &mut Vec<TasksOfClass>,
    ) {
        for (class_index, count_left) in waiting.iter_mut().filter(|tasks| tasks.1 > 0) {
            let class = &self.snapshot.classes[*class_index];
            if !self.is_in_pass(class, pass) || !self.may_start(class) {
                continue;
            }
            let count = free.fits(&class.need).min(*count_left).min(self.quota_allows(class));
            if count > 0 {
                *free = free.minus(&class.need, count);
                *count_left -= count;
                self.add_use(class, count);
                starts.push((*class_index, count));
            }
        }
    }

    /// Whether the class belongs to the pass.
    fn is_in_pass(&self, class: &JobClass, pass: BackfillPass) -> bool {
        match pass {
            BackfillPass::Preferred => self.is_preferred(class),
            BackfillPass::Remaining => !self.is_preferred(class),
            BackfillPass::ImageCached => self.has_image(class),
        }
    }

    /// Whether the class goes before others of its group: the machine has its image, or the class must start
    /// soon.
    fn is_preferred(&self, class: &JobClass) -> bool {
        let must_start_soon = match class.deadline_slack {
            Some(slack) => slack < class.adjusted_runtime.scale(MIN_SLACK_FRACTION),
            None => class.waited > MAX_WAIT_BEHIND_CACHED_IMAGES,
        };
        self.has_image(class) || must_start_soon
    }

    /// Whether the machine has the class's image; true for a class without an image.
    fn has_image(&self, class: &JobClass) -> bool {
        class.image.is_none_or(|image| self.machine.images.contains(&image))
    }

    /// Whether tasks of the class may start on the machine before the next plan.
    fn may_start(&self, class: &JobClass) -> bool {
        let machine = self.machine;
        if self.needs_full_plan(class) || self.must_leave_headroom(class) {
            return false;
        }
        let ends_in_time =
            machine.reclaimed_in.is_none_or(|reclaimed_in| adjusted_end(class, machine) <= reclaimed_in);
        may_use(class, machine) && !lacks_awaited_image(class, machine) && ends_in_time
    }

    /// Whether only a full plan may place the class, since a full plan considers all machines and what gangs
    /// wait for.
    fn needs_full_plan(&self, class: &JobClass) -> bool {
        let team_use = self.team_uses.get(class.team);
        let has_quota = team_use.is_some_and(|team| team.cpu_quota > 0.0 || team.gpu_quota > 0.0);
        let needs_joint_placement = class.gang || class.one_zone || class.spread;
        let gang_blocked_by_quota = self.gang_blocked_by_quota.get(class.team).copied().unwrap_or(false);
        needs_joint_placement || gang_blocked_by_quota || (has_quota && self.gang_waits)
    }

    /// Whether the class must leave the machine to the tasks that headroom on it is reserved for.
    fn must_leave_headroom(&self, class: &JobClass) -> bool {
        let machine = self.machine;
        let is_contended = self.contended_types.get(machine.machine_type).copied().unwrap_or(false);
        let is_below_reserved = self.snapshot.is_below_reserved_priority(class, machine);
        is_below_reserved && (self.snapshot.headroom_machines > 0 || is_contended)
    }

    /// How many more tasks of the class its team's quota allows.
    fn quota_allows(&self, class: &JobClass) -> u32 {
        self.team_uses.get(class.team).map_or(u32::MAX, |team_use| team_use.allowed_tasks(&class.need))
    }

    /// Adds started tasks to their team's use.
    fn add_use(&mut self, class: &JobClass, count: u32) {
        if let Some(team_use) = self.team_uses.get_mut(class.team) {
            team_use.used = team_use.used.plus(&class.need, count);
        }
    }
}
