//! Arrays: independent tasks, of which as many start as there is room for.

use super::work::Work;
use super::Start;

impl Work<'_> {
    pub(super) fn start_array(&mut self, class: usize, starts: &mut Vec<Start>) -> u32 {
        let c = &self.s.classes[class];
        let mut want = self.want(class);
        for m in self.candidates(c) {
            if want == 0 {
                break;
            }
            let n = self.fit(c, m).min(want).min(self.zone_room(class, self.s.rooms[m].zone));
            if n > 0 {
                self.take(class, m, n);
                starts.push(Start { class, room: m, count: n });
                want -= n;
            }
        }
        want
    }
}
