//! What is left of machines, limits and zones while a plan is made.

use super::limits::Claim;
use super::placement::{allowed, delay};
use super::{Class, Need, Room, Snapshot, TeamUse};
use crate::time::Micros;
use crate::wire::Rank;

/// The state of planning: the snapshot and what is left of it.
pub(super) struct Work<'a> {
    pub(super) s: &'a Snapshot,
    pub(super) free: Vec<Need>,
    /// Room that low ranks may still take where some is kept for others.
    pub(super) spare: Vec<Option<Need>>,
    pub(super) teams: Vec<TeamUse>,
    /// With a reservation: what is left at its time on its rooms.
    pub(super) shadow: Vec<Option<Need>>,
    pub(super) at: Micros,
    pub(super) zones: Vec<Vec<u32>>,
    /// Types for whose kept tasks some wait: nothing lower starts on them now.
    pub(super) wanted: Vec<bool>,
    /// Rooms on which tasks are being stopped for a class already.
    pub(super) claimed: Vec<bool>,
    /// By team: what its first gang that is held back by the limit takes of it, and when.
    pub(super) held_back: Vec<Option<Claim>>,
    /// By team: a gang is held back by the limit, whether it has room or not.
    pub(super) behind: Vec<bool>,
    /// By team: stated ends of what this plan starts.
    pub(super) ends: Vec<Vec<(Micros, Need, u32)>>,
}

impl<'a> Work<'a> {
    pub(super) fn new(s: &'a Snapshot) -> Work<'a> {
        // Of each type, the first few rooms that could take the kept task stay clear for it.
        let mut clear = vec![0usize; s.keep.len()];
        let spare = s
            .rooms
            .iter()
            .map(|r| {
                let k = s.kept(r.ty, r.spot)?;
                if clear[r.ty] >= s.clear || r.free.fits(&k.need) == 0 || r.until.is_some() {
                    return None;
                }
                clear[r.ty] += 1;
                let low = r.held.iter().filter(|h| h.rank < k.rank);
                Some(low.fold(r.total.less(&k.need, 1), |n, h| n.less(&h.need, 1)))
            })
            .collect();
        Work {
            s,
            free: s.rooms.iter().map(|r| r.free).collect(),
            spare,
            teams: s.teams.clone(),
            shadow: vec![None; s.rooms.len()],
            at: Micros::ZERO,
            zones: s.classes.iter().map(|c| c.zones.clone()).collect(),
            wanted: vec![false; s.keep.len()],
            claimed: vec![false; s.rooms.len()],
            held_back: vec![None; s.teams.len()],
            behind: vec![false; s.teams.len()],
            ends: vec![Vec::new(); s.teams.len()],
        }
    }

    fn low(&self, c: &Class, r: &Room) -> bool {
        self.s.kept(r.ty, r.spot).is_some_and(|k| c.rank < k.rank)
    }

    /// How many tasks of the class could start there now.
    pub(super) fn fit(&self, c: &Class, m: usize) -> u32 {
        let r = &self.s.rooms[m];
        if !r.open || !allowed(c, r) {
            return 0;
        }
        let mut n = self.free[m].fits(&c.need);
        if n > 0 && self.low(c, r) {
            if self.wanted[r.ty] {
                return 0;
            }
            n = n.min(self.spare[m].map_or(n, |s| s.fits(&c.need)));
        }
        let runs = delay(c, r) + c.adjusted;
        if r.until.is_some_and(|u| runs > u) {
            return 0;
        }
        match &self.shadow[m] {
            // It would still be there when the reserved job comes: only what that job leaves.
            Some(left) if runs > self.at => n.min(left.fits(&c.need)),
            _ => n,
        }
    }

    pub(super) fn take(&mut self, class: usize, m: usize, n: u32) {
        let c = &self.s.classes[class];
        let r = &self.s.rooms[m];
        self.free[m] = self.free[m].less(&c.need, n);
        if self.low(c, r) {
            self.spare[m] = self.spare[m].map(|x| x.less(&c.need, n));
        }
        if delay(c, r) + c.adjusted > self.at {
            self.shadow[m] = self.shadow[m].map(|x| x.less(&c.need, n));
        }
        if let Some(t) = self.teams.get_mut(c.team) {
            t.used = t.used.plus(&c.need, n);
            self.ends[c.team].push((delay(c, r) + c.adjusted, c.need, n));
        }
        self.zones[class][r.zone] += n;
    }

    /// The rooms for a class, best first.
    pub(super) fn candidates(&self, c: &Class) -> Vec<usize> {
        let tenths = |cpus: f64| (cpus * 10.0) as i64;
        let mut v: Vec<(bool, i64, i64, i64, i64, usize)> = (0..self.s.rooms.len())
            .filter(|&m| self.fit(c, m) > 0)
            .map(|m| {
                let r = &self.s.rooms[m];
                // Reports come every few seconds anyway: within that, cheap and small rooms go before large
                // ones and full ones before empty ones, so that others empty and can be returned.
                let step = if c.rank == Rank::Idle { self.s.coarse } else { self.s.fine };
                let delay = delay(c, r).0 / step.0.max(1);
                (self.low(c, r), delay, r.rate, tenths(r.total.cpus), tenths(self.free[m].cpus), m)
            })
            .collect();
        v.sort_unstable();
        v.into_iter().map(|x| x.5).collect()
    }

    /// How many tasks of the class may still go to the zone.
    pub(super) fn zone_room(&self, class: usize, zone: usize) -> u32 {
        let c = &self.s.classes[class];
        let at = &self.zones[class];
        if c.one_zone && at.iter().enumerate().any(|(z, &n)| z != zone && n > 0) {
            return 0;
        }
        if c.spread {
            return c.tasks.div_ceil(2).saturating_sub(at[zone]);
        }
        u32::MAX
    }
}
