//! The reservation: when and where the first blocked job finds its room, by stated ends.

use super::placement::allowed;
use super::state::PlanState;
use super::{Need, Reservation};
use crate::time::Micros;

impl PlanState<'_> {
    /// What is free on a room at a time, by stated ends.
    fn free_at(&self, room_index: usize, at: Micros) -> Need {
        let room = &self.snapshot.rooms[room_index];
        if room.opens_in > at && !room.open {
            return Need::default();
        }
        room.held.iter().filter(|h| h.left <= at).fold(self.free[room_index], |n, h| n.plus(&h.need, 1))
    }

    pub(super) fn reserve(&mut self, class_index: usize) -> Option<Reservation> {
        let class = &self.snapshot.classes[class_index];
        let rooms: Vec<usize> = (0..self.snapshot.rooms.len())
            .filter(|&room_index| {
                let room = &self.snapshot.rooms[room_index];
                allowed(class, room) && room.until.is_none() && room.total.fits(&class.need) > 0
            })
            .collect();
        let at = self.earliest_start(class_index, &rooms)?;
        let fit = |room_index: usize| self.free_at(room_index, at).fits(&class.need);
        let places = if class.gang {
            self.place_gang(class_index, &rooms, &fit)?
        } else {
            let room_index = *rooms.iter().find(|&&room_index| {
                fit(room_index) > 0
                    && self.zone_allowance(class_index, self.snapshot.rooms[room_index].zone) > 0
            })?;
            vec![(room_index, 1)]
        };
        Some(self.reserve_rooms(class_index, at, places))
    }

    /// Reserves rooms for the class from a time on.
    pub(super) fn reserve_rooms(
        &mut self,
        class_index: usize,
        at: Micros,
        rooms: Vec<(usize, u32)>,
    ) -> Reservation {
        self.reserved_at = at;
        for &(room_index, n) in &rooms {
            self.shadow[room_index] =
                Some(self.free_at(room_index, at).less(&self.snapshot.classes[class_index].need, n));
        }
        Reservation { class: class_index, at, rooms }
    }

    /// The earliest moment at which, by stated ends, the class finds its room: the whole of a
    /// gang, one task of an array. One sweep over the ends, with the room counted by zone.
    fn earliest_start(&self, class_index: usize, rooms: &[usize]) -> Option<Micros> {
        let class = &self.snapshot.classes[class_index];
        // When a room opens and when a task on it ends, with what comes free.
        let mut events: Vec<(Micros, usize, Need)> = Vec::new();
        let mut free = vec![None; self.snapshot.rooms.len()];
        for &room_index in rooms {
            let room = &self.snapshot.rooms[room_index];
            if room.open {
                free[room_index] = Some(self.free[room_index]);
            } else {
                events.push((room.opens_in, room_index, Need::default()));
            }
            events.extend(room.held.iter().map(|h| (h.left, room_index, h.need)));
        }
        events.sort_unstable_by_key(|e| (e.0, e.1));
        let mut fits = vec![0u32; self.snapshot.rooms.len()];
        let mut by_zone = vec![0u64; self.snapshot.zones.max(1)];
        for &room_index in rooms {
            if let Some(f) = &free[room_index] {
                fits[room_index] = f.fits(&class.need);
                by_zone[self.snapshot.rooms[room_index].zone] += u64::from(fits[room_index]);
            }
        }
        // What ends on a room before it opens counts from then on.
        let mut early: Vec<Need> = vec![Need::default(); self.snapshot.rooms.len()];
        let mut i = 0;
        while i < events.len() {
            let at = events[i].0;
            while let Some(&(_, room_index, need)) = events.get(i).filter(|e| e.0 == at) {
                let room = &self.snapshot.rooms[room_index];
                if free[room_index].is_none() {
                    early[room_index] = early[room_index].plus(&need, 1);
                    if at >= room.opens_in {
                        free[room_index] = Some(self.free[room_index].plus(&early[room_index], 1));
                    }
                } else {
                    free[room_index] = free[room_index].map(|f: Need| f.plus(&need, 1));
                }
                if let Some(f) = &free[room_index] {
                    let now = f.fits(&class.need);
                    by_zone[room.zone] += u64::from(now) - u64::from(fits[room_index]).min(u64::from(now));
                    fits[room_index] = now;
                }
                i += 1;
            }
            if self.zones_suffice(class_index, &by_zone) {
                return Some(at);
            }
        }
        None
    }

    /// Whether so much room in each zone takes a gang whole, or a task of an array.
    fn zones_suffice(&self, class_index: usize, by_zone: &[u64]) -> bool {
        let class = &self.snapshot.classes[class_index];
        let at = &self.zones[class_index];
        let takes = |z: usize, have: u64| {
            let elsewhere = at.iter().enumerate().any(|(o, &k)| o != z && k > 0);
            if class.one_zone && elsewhere {
                0
            } else if class.spread {
                have.min(u64::from(class.tasks.div_ceil(2).saturating_sub(at.get(z).copied().unwrap_or(0))))
            } else {
                have
            }
        };
        let by = || by_zone.iter().enumerate().map(|(z, &n)| takes(z, n));
        if !class.gang {
            return by().any(|n| n > 0);
        }
        let most = if class.one_zone { by().max().unwrap_or(0) } else { by().sum() };
        most >= u64::from(class.count)
    }
}
