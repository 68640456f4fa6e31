//! What is left of machines, limits and zones while a plan is made.

use std::collections::BTreeSet;

use super::placement::{allowed, delay, lacks_awaited_image};
use super::types::cpu_tenths;
use super::{JobClass, Resources, Snapshot, TeamUse};
use crate::time::Micros;
use crate::wire::Priority;

/// The state of planning: the snapshot and what is left of it.
pub(super) struct PlanState<'a> {
    /// What is planned for.
    pub(super) snapshot: &'a Snapshot,
    /// By room: what is free.
    pub(super) free: Vec<Resources>,
    /// By machine: capacity that low ranks may still take where headroom is reserved for others.
    pub(super) free_beside_headroom: Vec<Option<Resources>>,
    /// What each team uses, with what this plan starts.
    pub(super) teams: Vec<TeamUse>,
    /// With a reservation: what is left at its time on its rooms.
    pub(super) shadow: Vec<Option<Resources>>,
    /// When the reservation begins.
    pub(super) reserved_at: Micros,
    /// By class: its tasks in each zone, with what this plan starts.
    pub(super) zones: Vec<Vec<u32>>,
    /// Types for whose kept tasks some wait: nothing lower starts on them now.
    pub(super) contended_types: Vec<bool>,
    /// Rooms on which tasks are being stopped for a class already.
    pub(super) being_preempted_for: Vec<bool>,
    /// Tasks that this plan stops for replicas: room and place in its list.
    pub(super) preemptions_for_replicas: BTreeSet<(usize, usize)>,
    /// By room: what this plan has given to replicas, which never end.
    pub(super) endless: Vec<Resources>,
    /// By team: what its first gang that is held back by the quota reserves of it, and when.
    pub(super) quota_reservations: Vec<Option<QuotaReservation>>,
    /// By team: a gang is held back by the limit, whether it has room or not.
    pub(super) gang_at_limit: Vec<bool>,
    /// By team: stated ends of what this plan starts.
    pub(super) planned_ends: Vec<Vec<StatedEnd>>,
}

/// What a gang that is held back by its team's quota alone reserves of that quota, so that the
/// team's lower jobs do not take what frees of it first.
#[derive(Clone, Copy)]
pub(super) struct QuotaReservation {
    /// What each of the gang's tasks takes.
    pub(super) need: Resources,
    /// How many tasks the gang has.
    pub(super) count: u32,
    /// When, by the stated ends of the team's tasks, the quota lets the gang start.
    pub(super) at: Micros,
}

/// Tasks that end at a time, by their stated run time (not the adjusted one): quota frees by what
/// users stated.
#[derive(Clone, Copy)]
pub(super) struct StatedEnd {
    /// When, from now.
    pub(super) at: Micros,
    /// What each of the tasks takes.
    pub(super) need: Resources,
    /// How many tasks end then.
    pub(super) count: u32,
}

/// A room that could take tasks of a class. Candidates compare by their fields in this order, and the
/// least is the best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineCandidate {
    /// Capacity on it is reserved for tasks of a higher rank.
    kept_for_others: bool,
    /// How long until a task would run there, in steps within which delays count as alike.
    delay_steps: i64,
    /// The room's price.
    rate: i64,
    /// All its processors, in tenths.
    total_tenths: i64,
    /// Its free processors, in tenths.
    free_tenths: i64,
    /// Its index.
    room: usize,
}

impl<'a> PlanState<'a> {
    /// Nothing planned yet.
    pub(super) fn new(snapshot: &'a Snapshot) -> PlanState<'a> {
        // Of each type, the first few rooms that could take the kept task stay clear for it.
        let mut clear = vec![0usize; snapshot.reserved_headroom.len()];
        let free_beside_headroom = snapshot
            .machines
            .iter()
            .map(|room| {
                let kept = snapshot.headroom_for(room.machine_type, room.spot)?;
                if clear[room.machine_type] >= snapshot.headroom_machines
                    || room.free.fits(&kept.need) == 0
                    || room.reclaimed_in.is_some()
                {
                    return None;
                }
                clear[room.machine_type] += 1;
                let low = room.placed.iter().filter(|h| h.priority < kept.priority);
                Some(low.fold(room.total.minus(&kept.need, 1), |n, h| n.minus(&h.need, 1)))
            })
            .collect();
        PlanState {
            snapshot,
            free: snapshot.machines.iter().map(|room| room.free).collect(),
            free_beside_headroom,
            teams: snapshot.teams.clone(),
            shadow: vec![None; snapshot.machines.len()],
            reserved_at: Micros::ZERO,
            zones: snapshot.classes.iter().map(|class| class.tasks_by_zone.clone()).collect(),
            contended_types: vec![false; snapshot.reserved_headroom.len()],
            being_preempted_for: vec![false; snapshot.machines.len()],
            preemptions_for_replicas: BTreeSet::new(),
            endless: vec![Resources::default(); snapshot.machines.len()],
            quota_reservations: vec![None; snapshot.teams.len()],
            gang_at_limit: vec![false; snapshot.teams.len()],
            planned_ends: vec![Vec::new(); snapshot.teams.len()],
        }
    }

    /// How many tasks of the class could start there now.
    pub(super) fn fits_now(&self, class: &JobClass, room_index: usize) -> u32 {
        let room = &self.snapshot.machines[room_index];
        if !room.accepts_starts || !allowed(class, room) || lacks_awaited_image(class, room) {
            return 0;
        }
        let mut count = self.free[room_index].fits(&class.need);
        if count > 0 && self.snapshot.is_below_reserved_priority(class, room) {
            if self.contended_types[room.machine_type] {
                return 0;
            }
            let beside_kept = self.free_beside_headroom[room_index];
            count = count.min(beside_kept.map_or(count, |free| free.fits(&class.need)));
        }
        let ends_in = delay(class, room) + class.adjusted_runtime;
        if room.reclaimed_in.is_some_and(|until| ends_in > until) {
            return 0;
        }
        match &self.shadow[room_index] {
            // It would still be there when the reserved job comes: only what that job leaves.
            Some(left) if ends_in > self.reserved_at => count.min(left.fits(&class.need)),
            _ => count,
        }
    }

    /// Takes room, and as much of its team's limit, for tasks of the class.
    pub(super) fn allocate(&mut self, class_index: usize, room_index: usize, count: u32) {
        let class = &self.snapshot.classes[class_index];
        let room = &self.snapshot.machines[room_index];
        self.free[room_index] = self.free[room_index].minus(&class.need, count);
        if self.snapshot.is_below_reserved_priority(class, room) {
            self.free_beside_headroom[room_index] =
                self.free_beside_headroom[room_index].map(|free| free.minus(&class.need, count));
        }
        if delay(class, room) + class.adjusted_runtime > self.reserved_at {
            self.shadow[room_index] = self.shadow[room_index].map(|free| free.minus(&class.need, count));
        }
        if let Some(team_use) = self.teams.get_mut(class.team) {
            team_use.used = team_use.used.plus(&class.need, count);
            self.planned_ends[class.team].push(StatedEnd {
                at: delay(class, room) + class.adjusted_runtime,
                need: class.need,
                count,
            });
        }
        if class.replica_machines.is_some() {
            self.endless[room_index] = self.endless[room_index].plus(&class.need, count);
        }
        self.zones[class_index][room.zone] += count;
    }

    /// The rooms for a class, best first.
    pub(super) fn candidates(&self, class: &JobClass) -> Vec<usize> {
        // Reports come every few seconds anyway: within that, cheap and small rooms go before large
        // ones and full ones before empty ones, so that others empty and can be returned.
        let step = match class.priority {
            Priority::Idle => self.snapshot.low_priority_delay_step,
            _ => self.snapshot.delay_step,
        };
        let candidate = |index: usize| {
            let room = &self.snapshot.machines[index];
            MachineCandidate {
                kept_for_others: self.snapshot.is_below_reserved_priority(class, room),
                delay_steps: delay(class, room).0 / step.0.max(1),
                rate: room.cpu_price,
                total_tenths: cpu_tenths(room.total.cpus),
                free_tenths: cpu_tenths(self.free[index].cpus),
                room: index,
            }
        };
        let fitting = (0..self.snapshot.machines.len()).filter(|&index| self.fits_now(class, index) > 0);
        let mut candidates: Vec<MachineCandidate> = fitting.map(candidate).collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|candidate| candidate.room).collect()
    }

    /// Whether one more task of the class may go to the machine's zone.
    pub(super) fn zone_takes(&self, class_index: usize, room_index: usize) -> bool {
        self.zone_allowance(class_index, self.snapshot.machines[room_index].zone) > 0
    }

    /// How many tasks of the class may still go to the zone.
    pub(super) fn zone_allowance(&self, class_index: usize, zone: usize) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let by_zone = &self.zones[class_index];
        if class.one_zone && by_zone.iter().enumerate().any(|(other, &count)| other != zone && count > 0) {
            return 0;
        }
        if class.spread {
            return class.tasks.div_ceil(2).saturating_sub(by_zone[zone]);
        }
        u32::MAX
    }
}
