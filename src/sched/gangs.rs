//! Gangs: all tasks start together or none does.

use super::state::{PlanState, QuotaReservation};
use super::{Plan, Start};
use crate::time::Micros;

/// How planning a gang ended.
pub(super) enum GangOutcome {
    /// All its tasks start.
    Started,
    /// It finds no room.
    NoRoom,
    /// Its team's limit alone holds it back, or it is behind another gang of its team for which that is so.
    AtQuota,
}

impl PlanState<'_> {
    /// Starts a gang, or claims what frees of its team's limit for it.
    pub(super) fn plan_gang(&mut self, class_index: usize, plan: &mut Plan) -> GangOutcome {
        let class = &self.snapshot.classes[class_index];
        if self.startable_count(class_index) >= class.count {
            let started = self.start_gang(class_index, &mut plan.starts);
            return if started { GangOutcome::Started } else { GangOutcome::NoRoom };
        }
        if self.gang_at_limit[class.team] {
            return GangOutcome::AtQuota;
        }
        self.gang_at_limit[class.team] = true;
        let Some(rooms) = self.find_gang_rooms(class_index) else { return GangOutcome::NoRoom };
        self.claim_limit(class_index, rooms, plan);
        GangOutcome::AtQuota
    }

    /// Claims what frees of the team's limit for a gang that has room and is held back by that limit
    /// alone: the team's lower jobs must not take it, or a gang would starve behind its own team's small
    /// tasks. One gang of a team at a time, and only while it has room: with a claim for each, or stops
    /// for one that then had no room, a team at its limit stood still, or had the same tasks stopped over
    /// and over.
    fn claim_limit(&mut self, class_index: usize, rooms: Vec<(usize, u32)>, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        let stops = self.preempt_within_limit(class_index);
        let at = if stops.is_empty() { self.limit_allows_at(class_index) } else { Micros::ZERO };
        plan.preempt.extend(stops);
        self.quota_reservations[class.team] =
            Some(QuotaReservation { need: class.need, count: class.count, at });
        if plan.reservation.is_none() && self.snapshot.reserve {
            plan.reservation = Some(self.reserve_rooms(class_index, at, rooms));
        }
    }

    /// Places a whole gang, or nothing. `fit` says how many tasks a room takes.
    pub(super) fn place_gang(
        &self,
        class_index: usize,
        rooms: &[usize],
        fit: &dyn Fn(usize) -> u32,
    ) -> Option<Vec<(usize, u32)>> {
        let class = &self.snapshot.classes[class_index];
        let zones: Vec<Option<usize>> =
            if class.one_zone { (0..self.snapshot.zone_count).map(Some).collect() } else { vec![None] };
        for only in zones {
            let mut left = class.count;
            let mut by_zone = self.zones[class_index].clone();
            let mut places = Vec::new();
            for &room_index in rooms {
                let zone = self.snapshot.machines[room_index].zone;
                if left == 0 {
                    break;
                }
                if only.is_some_and(|o| o != zone) {
                    continue;
                }
                let mut count = fit(room_index).min(left);
                if class.one_zone && by_zone.iter().enumerate().any(|(o, &k)| o != zone && k > 0) {
                    count = 0;
                }
                if class.spread {
                    count = count.min(class.tasks.div_ceil(2).saturating_sub(by_zone[zone]));
                }
                if count > 0 {
                    by_zone[zone] += count;
                    left -= count;
                    places.push((room_index, count));
                }
            }
            if left == 0 {
                return Some(places);
            }
        }
        None
    }

    /// Starts a gang whole; returns whether it did.
    fn start_gang(&mut self, class_index: usize, starts: &mut Vec<Start>) -> bool {
        let class = &self.snapshot.classes[class_index];
        let rooms = self.candidates(class);
        let Some(places) =
            self.place_gang(class_index, &rooms, &|room_index| self.fits_now(class, room_index))
        else {
            return false;
        };
        for (room_index, count) in places {
            self.allocate(class_index, room_index, count);
            starts.push(Start { class: class_index, machine: room_index, count });
        }
        true
    }

    /// Where a gang would go now, whatever its team's limit says.
    fn find_gang_rooms(&self, class_index: usize) -> Option<Vec<(usize, u32)>> {
        let rooms = self.candidates(&self.snapshot.classes[class_index]);
        self.place_gang(class_index, &rooms, &|room_index| {
            self.fits_now(&self.snapshot.classes[class_index], room_index)
        })
    }
}
