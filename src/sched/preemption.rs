//! Preemption: which running tasks are stopped so that a class of higher rank can start.

use super::placement::{allowed, fetch_s};
use super::work::Work;
use super::{Class, Held};
use crate::time::Micros;

impl Work<'_> {
    /// Tasks to stop so that the class can start: where least is lost, with the time that the
    /// class's image would take to fetch counted as lost too.
    pub(super) fn preempt(&mut self, class: usize) -> Vec<(usize, usize)> {
        let c = &self.s.classes[class];
        let mut options: Vec<(Micros, usize, Vec<usize>, u32)> = Vec::new();
        for (m, r) in self.s.rooms.iter().enumerate() {
            if !r.open || r.until.is_some() || self.claimed[m] || !allowed(c, r) {
                continue;
            }
            let fetch = Micros::from_secs(fetch_s(c, r) * c.need.cpus.max(0.1));
            let coming = r.held.iter().filter(|h| h.stopping).fold(self.free[m], |n, h| n.plus(&h.need, 1));
            if coming.fits(&c.need) > 0 {
                options.push((fetch, m, Vec::new(), coming.fits(&c.need)));
                continue;
            }
            let mut victims: Vec<usize> = (0..r.held.len()).filter(|&h| yields_to(&r.held[h], c)).collect();
            victims.sort_by_key(|&h| r.held[h].lost);
            let (mut free, mut lost, mut chosen) = (coming, fetch, Vec::new());
            for h in victims {
                if free.fits(&c.need) > 0 {
                    break;
                }
                free = free.plus(&r.held[h].need, 1);
                lost = lost + r.held[h].lost;
                chosen.push(h);
            }
            if free.fits(&c.need) > 0 {
                options.push((lost, m, chosen, free.fits(&c.need)));
            }
        }
        options.sort();
        let rooms: Vec<usize> = options.iter().map(|o| o.1).collect();
        let mut by_room: Vec<Option<usize>> = vec![None; self.s.rooms.len()];
        for (i, o) in options.iter().enumerate() {
            by_room[o.1] = Some(i);
        }
        let fit = |m: usize| by_room[m].map_or(0, |i| options[i].3);
        let places = if c.gang {
            self.whole(class, &rooms, &fit)
        } else {
            rooms.iter().find(|&&m| self.zone_room(class, self.s.rooms[m].zone) > 0).map(|&m| vec![(m, 1)])
        };
        let places = places.unwrap_or_default();
        for &(m, _) in &places {
            self.claimed[m] = true;
        }
        let chosen = |m: usize| by_room[m].map(|i| options[i].2.clone()).unwrap_or_default();
        places.into_iter().flat_map(|(m, _)| chosen(m).into_iter().map(move |h| (m, h))).collect()
    }
}

/// Whether a task may be stopped for the class. What goes before it in the queue, by its team's guarantee,
/// is not: it would begin again at once, and be stopped again.
pub(super) fn yields_to(h: &Held, c: &Class) -> bool {
    h.stoppable && h.rank < c.rank && (c.guaranteed || !h.guaranteed)
}
