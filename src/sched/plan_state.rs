//! The state of planning: the snapshot, and the free capacity, quotas and zone allowances that are left while
//! the plan is made.

use std::collections::BTreeSet;

use super::decisions::PlacedTaskIndex;
use super::eligibility::{adjusted_end, lacks_awaited_image, may_use};
use super::headroom::free_beside_headroom;
use super::queue::QueueGroup;
use super::resources::Resources;
use super::snapshot::{JobClass, Snapshot, TeamUse};
use super::zone_limits;
use crate::time::Micros;

/// The state of planning. Classes are planned one after the other; each sees what the classes before it in
/// the queue have left.
pub(super) struct PlanState<'a> {
    /// The snapshot that the plan is made for.
    pub(super) snapshot: &'a Snapshot,
    /// By machine: free resources, without those that this plan's starts take.
    pub(super) free: Vec<Resources>,
    /// By machine: resources that lower priorities may still take without using the headroom reserved there;
    /// `None` where no headroom is kept free.
    pub(super) free_beside_headroom: Vec<Option<Resources>>,
    /// By team: its resource use and quota, including what this plan starts.
    pub(super) team_uses: Vec<TeamUse>,
    /// By machine of the reservation: what is free when the reservation begins, beyond what the reserved
    /// tasks take. `None` for all other machines.
    pub(super) free_at_reservation: Vec<Option<Resources>>,
    /// Time until the reservation begins.
    pub(super) reserved_at: Micros,
    /// By class: number of its tasks in each zone, including those that this plan starts.
    pub(super) tasks_by_zone: Vec<Vec<u32>>,
    /// By machine type: whether tasks that headroom on this type is reserved for are waiting. Lower
    /// priorities do not start on such machines now.
    pub(super) contended_types: Vec<bool>,
    /// By machine: whether this plan preempts tasks on it to free capacity for a class.
    pub(super) has_preemptions: Vec<bool>,
    /// Tasks that this plan preempts for replicas.
    pub(super) preempted_for_replicas: BTreeSet<PlacedTaskIndex>,
    /// By machine: resources of the replicas that this plan starts. Unlike other tasks, replicas do not end
    /// by themselves.
    pub(super) started_replica_use: Vec<Resources>,
    /// By team: the part of its quota that is reserved for its first gang blocked by the quota, if that gang
    /// finds capacity.
    pub(super) quota_reservations: Vec<Option<QuotaReservation>>,
    /// By team: whether the quota blocks a gang of the team. It does not matter whether the gang would find
    /// capacity.
    pub(super) gang_blocked_by_quota: Vec<bool>,
    /// By team: the first group of the queue that the team's quota blocks.
    pub(super) first_blocked_by_quota: Vec<Option<QuotaBlockedGroup>>,
    /// By team: when the tasks that this plan starts will end and release their quota.
    pub(super) planned_releases: Vec<Vec<QuotaRelease>>,
}

/// The part of a team's quota reserved for a gang that is blocked by this quota alone. Without the
/// reservation, jobs of the team that are later in the queue would take any quota that is released.
#[derive(Clone, Copy)]
pub(super) struct QuotaReservation {
    /// Resources that each of the gang's tasks takes.
    pub(super) need: Resources,
    /// Number of the gang's tasks.
    pub(super) count: u32,
    /// Time until enough tasks of the team have ended for the quota to let the gang start.
    pub(super) at: Micros,
}

/// A group of the queue that a team's quota blocks.
pub(super) struct QuotaBlockedGroup {
    /// The group.
    pub(super) group: QueueGroup,
    /// Whether the first blocked class of the group is a service.
    pub(super) is_service: bool,
}

/// Tasks that release quota when they end. For tasks that are already placed the stated end counts, for tasks
/// that this plan starts the end by their adjusted run time.
#[derive(Clone, Copy)]
pub(super) struct QuotaRelease {
    /// Time until the tasks end.
    pub(super) at: Micros,
    /// Resources that each of the tasks takes.
    pub(super) need: Resources,
    /// Number of tasks.
    pub(super) count: u32,
}

impl<'a> PlanState<'a> {
    /// The state before any class is planned.
    pub(super) fn new(snapshot: &'a Snapshot) -> PlanState<'a> {
        let machine_count = snapshot.machines.len();
        let team_count = snapshot.teams.len();
        PlanState {
            snapshot,
            free: snapshot.machines.iter().map(|machine| machine.free).collect(),
            free_beside_headroom: free_beside_headroom(snapshot),
            team_uses: snapshot.teams.clone(),
            free_at_reservation: vec![None; machine_count],
            reserved_at: Micros::ZERO,
            tasks_by_zone: snapshot.classes.iter().map(|class| class.tasks_by_zone.clone()).collect(),
            contended_types: vec![false; snapshot.reserved_headroom.len()],
            has_preemptions: vec![false; machine_count],
            preempted_for_replicas: BTreeSet::new(),
            started_replica_use: vec![Resources::default(); machine_count],
            quota_reservations: vec![None; team_count],
            gang_blocked_by_quota: vec![false; team_count],
            first_blocked_by_quota: (0..team_count).map(|_| None).collect(),
            planned_releases: vec![Vec::new(); team_count],
        }
    }

    /// How many tasks of the class could start on the machine now. Quotas and zone limits are not considered.
    pub(super) fn fits_now(&self, class: &JobClass, machine_index: usize) -> u32 {
        let machine = &self.snapshot.machines[machine_index];
        if !machine.accepts_starts || !may_use(class, machine) || lacks_awaited_image(class, machine) {
            return 0;
        }
        let mut count = self.free[machine_index].fits(&class.need);
        if count > 0 && self.snapshot.is_below_reserved_priority(class, machine) {
            if self.contended_types[machine.machine_type] {
                return 0;
            }
            let beside_headroom = self.free_beside_headroom[machine_index];
            count = count.min(beside_headroom.map_or(count, |free| free.fits(&class.need)));
        }
        let ends_in = adjusted_end(class, machine);
        if machine.reclaimed_in.is_some_and(|reclaimed_in| ends_in > reclaimed_in) {
            return 0;
        }
        match &self.free_at_reservation[machine_index] {
            // The tasks would still run when the reserved class starts, so they may take only what that class
            // leaves.
            Some(free) if ends_in > self.reserved_at => count.min(free.fits(&class.need)),
            _ => count,
        }
    }

    /// Takes capacity on the machine and quota of the team for `count` tasks of the class.
    pub(super) fn allocate(&mut self, class_index: usize, machine_index: usize, count: u32) {
        let class = &self.snapshot.classes[class_index];
        let machine = &self.snapshot.machines[machine_index];
        let ends_in = adjusted_end(class, machine);
        let take = |free: Resources| free.minus(&class.need, count);
        let free = &mut self.free[machine_index];
        *free = take(*free);
        if self.snapshot.is_below_reserved_priority(class, machine) {
            self.free_beside_headroom[machine_index] = self.free_beside_headroom[machine_index].map(take);
        }
        if ends_in > self.reserved_at {
            self.free_at_reservation[machine_index] = self.free_at_reservation[machine_index].map(take);
        }
        if let Some(team_use) = self.team_uses.get_mut(class.team) {
            team_use.used = team_use.used.plus(&class.need, count);
            let release = QuotaRelease { at: ends_in, need: class.need, count };
            self.planned_releases[class.team].push(release);
        }
        if class.replica_machines.is_some() {
            let replica_use = &mut self.started_replica_use[machine_index];
            *replica_use = replica_use.plus(&class.need, count);
        }
        self.tasks_by_zone[class_index][machine.zone] += count;
    }

    /// How many more tasks of the class may be placed in the machine's zone.
    pub(super) fn zone_allowance(&self, class_index: usize, machine_index: usize) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let zone = self.snapshot.machines[machine_index].zone;
        zone_limits::zone_allowance(class, &self.tasks_by_zone[class_index], zone)
    }
}
