//! The reservation: when and where the first blocked job finds its room, by stated ends.

use super::placement::allowed;
use super::work::Work;
use super::{Need, Reservation};
use crate::time::Micros;

impl Work<'_> {
    /// What is free on a room at a time, by stated ends.
    fn free_at(&self, m: usize, at: Micros) -> Need {
        let r = &self.s.rooms[m];
        if r.opens_in > at && !r.open {
            return Need::default();
        }
        r.held.iter().filter(|h| h.left <= at).fold(self.free[m], |n, h| n.plus(&h.need, 1))
    }

    pub(super) fn reserve(&mut self, class: usize) -> Option<Reservation> {
        let c = &self.s.classes[class];
        let rooms: Vec<usize> = (0..self.s.rooms.len())
            .filter(|&m| {
                let r = &self.s.rooms[m];
                allowed(c, r) && r.until.is_none() && r.total.fits(&c.need) > 0
            })
            .collect();
        let at = self.earliest(class, &rooms)?;
        let fit = |m: usize| self.free_at(m, at).fits(&c.need);
        let places = if c.gang {
            self.whole(class, &rooms, &fit)?
        } else {
            let m =
                *rooms.iter().find(|&&m| fit(m) > 0 && self.zone_room(class, self.s.rooms[m].zone) > 0)?;
            vec![(m, 1)]
        };
        Some(self.hold(class, at, places))
    }

    /// Reserves rooms for the class from a time on.
    pub(super) fn hold(&mut self, class: usize, at: Micros, rooms: Vec<(usize, u32)>) -> Reservation {
        self.at = at;
        for &(m, n) in &rooms {
            self.shadow[m] = Some(self.free_at(m, at).less(&self.s.classes[class].need, n));
        }
        Reservation { class, at, rooms }
    }

    /// The earliest moment at which, by stated ends, the class finds its room: the whole of a
    /// gang, one task of an array. One sweep over the ends, with the room counted by zone.
    fn earliest(&self, class: usize, rooms: &[usize]) -> Option<Micros> {
        let c = &self.s.classes[class];
        // When a room opens and when a task on it ends, with what comes free.
        let mut events: Vec<(Micros, usize, Need)> = Vec::new();
        let mut free = vec![None; self.s.rooms.len()];
        for &m in rooms {
            let r = &self.s.rooms[m];
            if r.open {
                free[m] = Some(self.free[m]);
            } else {
                events.push((r.opens_in, m, Need::default()));
            }
            events.extend(r.held.iter().map(|h| (h.left, m, h.need)));
        }
        events.sort_unstable_by_key(|e| (e.0, e.1));
        let mut fits = vec![0u32; self.s.rooms.len()];
        let mut by_zone = vec![0u64; self.s.zones.max(1)];
        for &m in rooms {
            if let Some(f) = &free[m] {
                fits[m] = f.fits(&c.need);
                by_zone[self.s.rooms[m].zone] += u64::from(fits[m]);
            }
        }
        // What ends on a room before it opens counts from then on.
        let mut early: Vec<Need> = vec![Need::default(); self.s.rooms.len()];
        let mut i = 0;
        while i < events.len() {
            let at = events[i].0;
            while let Some(&(_, m, need)) = events.get(i).filter(|e| e.0 == at) {
                let r = &self.s.rooms[m];
                if free[m].is_none() {
                    early[m] = early[m].plus(&need, 1);
                    if at >= r.opens_in {
                        free[m] = Some(self.free[m].plus(&early[m], 1));
                    }
                } else {
                    free[m] = free[m].map(|f: Need| f.plus(&need, 1));
                }
                if let Some(f) = &free[m] {
                    let now = f.fits(&c.need);
                    by_zone[r.zone] += u64::from(now) - u64::from(fits[m]).min(u64::from(now));
                    fits[m] = now;
                }
                i += 1;
            }
            if self.enough(class, &by_zone) {
                return Some(at);
            }
        }
        None
    }

    /// Whether so much room in each zone takes a gang whole, or a task of an array.
    fn enough(&self, class: usize, by_zone: &[u64]) -> bool {
        let c = &self.s.classes[class];
        let at = &self.zones[class];
        let takes = |z: usize, have: u64| {
            let elsewhere = at.iter().enumerate().any(|(o, &k)| o != z && k > 0);
            if c.one_zone && elsewhere {
                0
            } else if c.spread {
                have.min(u64::from(c.tasks.div_ceil(2).saturating_sub(at.get(z).copied().unwrap_or(0))))
            } else {
                have
            }
        };
        let by = || by_zone.iter().enumerate().map(|(z, &n)| takes(z, n));
        if !c.gang {
            return by().any(|n| n > 0);
        }
        let most = if c.one_zone { by().max().unwrap_or(0) } else { by().sum() };
        most >= u64::from(c.count)
    }
}
