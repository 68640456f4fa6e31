//! Gangs: all tasks start together or none does.

use super::work::Work;
use super::Start;

impl Work<'_> {
    /// Places a whole gang, or nothing. `fit` says how many tasks a room takes.
    pub(super) fn whole(
        &self,
        class: usize,
        rooms: &[usize],
        fit: &dyn Fn(usize) -> u32,
    ) -> Option<Vec<(usize, u32)>> {
        let c = &self.s.classes[class];
        let zones: Vec<Option<usize>> =
            if c.one_zone { (0..self.s.zones).map(Some).collect() } else { vec![None] };
        for only in zones {
            let mut left = c.count;
            let mut at = self.zones[class].clone();
            let mut places = Vec::new();
            for &m in rooms {
                let z = self.s.rooms[m].zone;
                if left == 0 {
                    break;
                }
                if only.is_some_and(|o| o != z) {
                    continue;
                }
                let mut n = fit(m).min(left);
                if c.one_zone && at.iter().enumerate().any(|(o, &k)| o != z && k > 0) {
                    n = 0;
                }
                if c.spread {
                    n = n.min(c.tasks.div_ceil(2).saturating_sub(at[z]));
                }
                if n > 0 {
                    at[z] += n;
                    left -= n;
                    places.push((m, n));
                }
            }
            if left == 0 {
                return Some(places);
            }
        }
        None
    }

    pub(super) fn start_gang(&mut self, class: usize, starts: &mut Vec<Start>) -> bool {
        let c = &self.s.classes[class];
        if self.want(class) < c.count {
            return false;
        }
        let rooms = self.candidates(c);
        let Some(places) = self.whole(class, &rooms, &|m| self.fit(c, m)) else { return false };
        for (m, n) in places {
            self.take(class, m, n);
            starts.push(Start { class, room: m, count: n });
        }
        true
    }

    /// Where a gang would go now, whatever its team's limit says.
    pub(super) fn room_now(&self, class: usize) -> Option<Vec<(usize, u32)>> {
        let rooms = self.candidates(&self.s.classes[class]);
        self.whole(class, &rooms, &|m| self.fit(&self.s.classes[class], m))
    }
}
