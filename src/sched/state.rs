//! What is left of machines, limits and zones while a plan is made.

use super::limits::{Claim, StatedEnd};
use super::placement::{allowed, delay};
use super::{Class, Need, Room, Snapshot, TeamUse};
use crate::time::Micros;
use crate::wire::Rank;

/// The state of planning: the snapshot and what is left of it.
pub(super) struct PlanState<'a> {
    /// What is planned for.
    pub(super) snapshot: &'a Snapshot,
    /// By room: what is free.
    pub(super) free: Vec<Need>,
    /// Room that low ranks may still take where some is kept for others.
    pub(super) free_beside_kept: Vec<Option<Need>>,
    /// What each team uses, with what this plan starts.
    pub(super) teams: Vec<TeamUse>,
    /// With a reservation: what is left at its time on its rooms.
    pub(super) shadow: Vec<Option<Need>>,
    /// When the reservation begins.
    pub(super) reserved_at: Micros,
    /// By class: its tasks in each zone, with what this plan starts.
    pub(super) zones: Vec<Vec<u32>>,
    /// Types for whose kept tasks some wait: nothing lower starts on them now.
    pub(super) contended_types: Vec<bool>,
    /// Rooms on which tasks are being stopped for a class already.
    pub(super) being_cleared: Vec<bool>,
    /// By team: what its first gang that is held back by the limit takes of it, and when.
    pub(super) limit_claims: Vec<Option<Claim>>,
    /// By team: a gang is held back by the limit, whether it has room or not.
    pub(super) gang_at_limit: Vec<bool>,
    /// By team: stated ends of what this plan starts.
    pub(super) planned_ends: Vec<Vec<StatedEnd>>,
}

impl<'a> PlanState<'a> {
    /// Nothing planned yet.
    pub(super) fn new(snapshot: &'a Snapshot) -> PlanState<'a> {
        // Of each type, the first few rooms that could take the kept task stay clear for it.
        let mut clear = vec![0usize; snapshot.keep.len()];
        let free_beside_kept = snapshot
            .rooms
            .iter()
            .map(|room| {
                let k = snapshot.kept(room.ty, room.spot)?;
                if clear[room.ty] >= snapshot.clear_rooms
                    || room.free.fits(&k.need) == 0
                    || room.until.is_some()
                {
                    return None;
                }
                clear[room.ty] += 1;
                let low = room.held.iter().filter(|h| h.rank < k.rank);
                Some(low.fold(room.total.less(&k.need, 1), |n, h| n.less(&h.need, 1)))
            })
            .collect();
        PlanState {
            snapshot,
            free: snapshot.rooms.iter().map(|room| room.free).collect(),
            free_beside_kept,
            teams: snapshot.teams.clone(),
            shadow: vec![None; snapshot.rooms.len()],
            reserved_at: Micros::ZERO,
            zones: snapshot.classes.iter().map(|class| class.zones.clone()).collect(),
            contended_types: vec![false; snapshot.keep.len()],
            being_cleared: vec![false; snapshot.rooms.len()],
            limit_claims: vec![None; snapshot.teams.len()],
            gang_at_limit: vec![false; snapshot.teams.len()],
            planned_ends: vec![Vec::new(); snapshot.teams.len()],
        }
    }

    /// Whether room on that machine is kept for tasks of a higher rank than the class.
    fn is_below_kept_rank(&self, class: &Class, room: &Room) -> bool {
        self.snapshot.kept(room.ty, room.spot).is_some_and(|k| class.rank < k.rank)
    }

    /// How many tasks of the class could start there now.
    pub(super) fn fits_now(&self, class: &Class, room_index: usize) -> u32 {
        let room = &self.snapshot.rooms[room_index];
        if !room.open || !allowed(class, room) {
            return 0;
        }
        let mut n = self.free[room_index].fits(&class.need);
        if n > 0 && self.is_below_kept_rank(class, room) {
            if self.contended_types[room.ty] {
                return 0;
            }
            n = n.min(self.free_beside_kept[room_index].map_or(n, |s| s.fits(&class.need)));
        }
        let runs = delay(class, room) + class.adjusted;
        if room.until.is_some_and(|u| runs > u) {
            return 0;
        }
        match &self.shadow[room_index] {
            // It would still be there when the reserved job comes: only what that job leaves.
            Some(left) if runs > self.reserved_at => n.min(left.fits(&class.need)),
            _ => n,
        }
    }

    /// Takes room, and as much of its team's limit, for tasks of the class.
    pub(super) fn allocate(&mut self, class_index: usize, room_index: usize, count: u32) {
        let class = &self.snapshot.classes[class_index];
        let room = &self.snapshot.rooms[room_index];
        self.free[room_index] = self.free[room_index].less(&class.need, count);
        if self.is_below_kept_rank(class, room) {
            self.free_beside_kept[room_index] =
                self.free_beside_kept[room_index].map(|x| x.less(&class.need, count));
        }
        if delay(class, room) + class.adjusted > self.reserved_at {
            self.shadow[room_index] = self.shadow[room_index].map(|x| x.less(&class.need, count));
        }
        if let Some(team_use) = self.teams.get_mut(class.team) {
            team_use.used = team_use.used.plus(&class.need, count);
            self.planned_ends[class.team].push(StatedEnd {
                at: delay(class, room) + class.adjusted,
                need: class.need,
                count,
            });
        }
        self.zones[class_index][room.zone] += count;
    }

    /// The rooms for a class, best first.
    pub(super) fn candidates(&self, class: &Class) -> Vec<usize> {
        let tenths = |cpus: f64| (cpus * 10.0) as i64;
        let mut ranked: Vec<(bool, i64, i64, i64, i64, usize)> = (0..self.snapshot.rooms.len())
            .filter(|&room_index| self.fits_now(class, room_index) > 0)
            .map(|room_index| {
                let room = &self.snapshot.rooms[room_index];
                // Reports come every few seconds anyway: within that, cheap and small rooms go before large
                // ones and full ones before empty ones, so that others empty and can be returned.
                let step = if class.rank == Rank::Idle {
                    self.snapshot.low_rank_delay_step
                } else {
                    self.snapshot.delay_step
                };
                let delay = delay(class, room).0 / step.0.max(1);
                (
                    self.is_below_kept_rank(class, room),
                    delay,
                    room.rate,
                    tenths(room.total.cpus),
                    tenths(self.free[room_index].cpus),
                    room_index,
                )
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|x| x.5).collect()
    }

    /// How many tasks of the class may still go to the zone.
    pub(super) fn zone_allowance(&self, class_index: usize, zone: usize) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let at = &self.zones[class_index];
        if class.one_zone && at.iter().enumerate().any(|(z, &n)| z != zone && n > 0) {
            return 0;
        }
        if class.spread {
            return class.tasks.div_ceil(2).saturating_sub(at[zone]);
        }
        u32::MAX
    }
}
