//! The limits of teams: how much of a class they let start, and when.

use super::preemption::yields_to;
use super::work::Work;
use super::Need;
use crate::time::Micros;

/// A gang's claim on its team's limit.
#[derive(Clone, Copy)]
pub(super) struct Claim {
    pub(super) need: Need,
    pub(super) count: u32,
    /// When, by stated ends, the limit lets it start.
    pub(super) at: Micros,
}

/// Later than anything that is planned.
const FAR: Micros = Micros(86_400_000_000);

impl Work<'_> {
    /// How many tasks of the class its team's limit lets start. What a gang of the team waits for is
    /// left to it, unless the class ends before.
    pub(super) fn want(&self, class: usize) -> u32 {
        let c = &self.s.classes[class];
        let Some(t) = self.teams.get(c.team) else { return c.count };
        let mut t = *t;
        if let Some(claim) = self.held_back[c.team].filter(|x| c.adjusted + self.s.coarse > x.at) {
            t.used = t.used.plus(&claim.need, claim.count);
        }
        c.count.min(t.allows(&c.need))
    }

    /// When, by stated ends, the team's limit lets the class start whole.
    pub(super) fn limit_frees(&self, class: usize) -> Micros {
        let c = &self.s.classes[class];
        let Some(mut t) = self.teams.get(c.team).copied() else { return Micros::ZERO };
        let held = self.s.rooms.iter().flat_map(|r| &r.held).filter(|h| h.team == c.team);
        let mut ends: Vec<(Micros, Need, u32)> =
            held.map(|h| (if h.stopping { Micros::ZERO } else { h.left }, h.need, 1)).collect();
        ends.extend(&self.ends[c.team]);
        ends.sort_unstable_by_key(|e| e.0);
        for (at, need, n) in ends {
            t.used = t.used.less(&need, n);
            if t.allows(&c.need) >= c.count {
                return at;
            }
        }
        FAR
    }

    /// Tasks of the same team and lower rank to stop so that the limit lets the class start, once
    /// it has waited long enough.
    pub(super) fn within_limit(&self, class: usize) -> Vec<(usize, usize)> {
        let c = &self.s.classes[class];
        let Some(mut t) = self.teams.get(c.team).copied() else { return Vec::new() };
        if c.patience.0 > 0 {
            return Vec::new();
        }
        let mut victims: Vec<(Micros, usize, usize)> = Vec::new();
        for (m, r) in self.s.rooms.iter().enumerate() {
            for (i, h) in r.held.iter().enumerate().filter(|x| x.1.team == c.team) {
                if h.stopping {
                    t.used = t.used.less(&h.need, 1);
                } else if yields_to(h, c) {
                    victims.push((h.lost, m, i));
                }
            }
        }
        victims.sort_unstable();
        let mut out = Vec::new();
        for (_, m, i) in victims {
            if t.allows(&c.need) >= c.count {
                return out;
            }
            t.used = t.used.less(&self.s.rooms[m].held[i].need, 1);
            out.push((m, i));
        }
        if t.allows(&c.need) >= c.count {
            out
        } else {
            Vec::new()
        }
    }
}
