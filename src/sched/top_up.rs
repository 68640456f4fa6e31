//! Incremental backfill: starts between two plans, on a machine that has free capacity now (it has
//! just sent a heartbeat).

use super::placement::{allowed, delay, lacks_awaited_image};
use super::types::EPS;
use super::{JobClass, MachineSnapshot, Resources, Snapshot, TeamUse};
use crate::time::Micros;

/// A class without a deadline that waited longer than this is not passed over for one whose image is
/// there already.
const PASSED_OVER: Micros = Micros::from_millis(60_000);

/// A class with a deadline is not passed over once it may wait no longer than this part of its run time.
/// A larger part makes machines fetch images that others have; a smaller one leaves no time to fetch.
const LEAST_SLACK: f64 = 0.2;

/// What fills a machine up between two plans. It is asked for machines outside the reservation on
/// which nothing is being stopped, so it delays nobody that the plan made wait for them; jobs tied to
/// zones, and teams a gang of which waits for their limit, are left to the next plan. So are all teams
/// with a limit where a gang waits for room on such a machine: what they start beyond the plan would
/// keep a wide gang from it, behind work within a guarantee.
pub struct IncrementalBackfill<'a> {
    /// What the latest plan was made for.
    pub snapshot: &'a Snapshot,
    /// By type, whether tasks wait that it is kept for.
    pub contended_types: &'a [bool],
    /// By team, whether what frees of its limit is claimed by a gang.
    pub gang_awaits_quota: &'a [bool],
    /// By team, what it uses now; none for teams that are not limited.
    pub team_uses: Vec<TeamUse>,
    /// The machine.
    pub machine: &'a MachineSnapshot,
    /// Whether a gang waits that may use the machine.
    pub gang_waits: bool,
}

impl IncrementalBackfill<'_> {
    /// Which of the array tasks that found no room start on the machine, by class; they are taken off
    /// `unmet`. It goes in the queue's order, but among jobs of one rank that missed as many aims, those
    /// whose image the machine has go first: where all machines are in use, each would otherwise fetch
    /// every image, and fetching takes as much of its time as running.
    pub fn starts(mut self, unmet: &mut [(usize, u32)]) -> Vec<(usize, u32)> {
        let group = |c: &JobClass| (c.within_fair_share, c.queue_priority(), c.missed_objectives);
        let classes = &self.snapshot.classes;
        let mut starts = Vec::new();
        let mut free = self.machine.free;
        // Classes of one group stand together in the queue.
        for alike in unmet.chunk_by_mut(|a, b| group(&classes[a.0]) == group(&classes[b.0])) {
            for goes_first in [true, false] {
                self.fill(alike, goes_first, &mut free, &mut starts);
            }
            if free.cpus <= EPS {
                break;
            }
        }
        starts
    }

    /// Starts what fits of the classes that go first, or of the others.
    fn fill(
        &mut self,
        unmet: &mut [(usize, u32)],
        goes_first: bool,
        free: &mut Resources,
        starts: &mut Vec<(usize, u32)>,
    ) {
        for (class_index, left) in unmet.iter_mut().filter(|u| u.1 > 0) {
            let class = &self.snapshot.classes[*class_index];
            if self.goes_first(class) != goes_first || !self.may_start(class) {
                continue;
            }
            let count = free.fits(&class.need).min(*left).min(self.limit_allows(class));
            if count > 0 {
                *free = free.minus(&class.need, count);
                *left -= count;
                self.add_use(class, count);
                starts.push((*class_index, count));
            }
        }
    }

    /// Whether the class goes before others of its group.
    fn goes_first(&self, class: &JobClass) -> bool {
        let has_image = class.image.is_none_or(|image| self.machine.images.contains(&image));
        let is_pressed = match class.deadline_slack {
            Some(slack) => slack < class.adjusted_runtime.scale(LEAST_SLACK),
            None => class.waited > PASSED_OVER,
        };
        has_image || is_pressed
    }

    /// Whether tasks of the class may start on the machine before the next plan.
    fn may_start(&self, class: &JobClass) -> bool {
        let room = self.machine;
        let below_kept = self.snapshot.is_below_reserved_priority(class, room);
        let contended = self.contended_types.get(room.machine_type).copied().unwrap_or(false);
        let left_clear = below_kept && (self.snapshot.headroom_machines > 0 || contended);
        let claimed = self.gang_awaits_quota.get(class.team).copied().unwrap_or(false);
        let team_use = self.team_uses.get(class.team);
        let limited = team_use.is_some_and(|t| t.cpu_quota > 0.0 || t.gpu_quota > 0.0);
        let tied = class.gang || class.one_zone || class.spread || (limited && self.gang_waits);
        let ends_in_time =
            room.reclaimed_in.is_none_or(|until| delay(class, room) + class.adjusted_runtime <= until);
        let usable = allowed(class, room) && !lacks_awaited_image(class, room);
        !(tied || claimed || left_clear) && usable && ends_in_time
    }

    /// How many more tasks of the class its team's limit allows.
    fn limit_allows(&self, class: &JobClass) -> u32 {
        self.team_uses.get(class.team).map_or(u32::MAX, |team_use| team_use.allows(&class.need))
    }

    /// Counts started tasks against their team's limit.
    fn add_use(&mut self, class: &JobClass, count: u32) {
        if let Some(team_use) = self.team_uses.get_mut(class.team) {
            team_use.used = team_use.used.plus(&class.need, count);
        }
    }
}
