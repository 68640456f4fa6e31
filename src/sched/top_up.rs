//! Starts between two plans, on a machine that has room now.

use super::placement::{allowed, delay};
use super::types::EPS;
use super::{Class, Room, Snapshot};
use crate::time::Micros;

/// A class that waited longer than this is not passed over for one whose image is there already.
const PASSED_OVER: Micros = Micros::from_millis(60_000);

/// Between two plans: what of the array tasks that found no room may start on a machine that has
/// room now. Called for machines outside the reservation on which nothing is being stopped, so it
/// delays nobody that the plan made wait for them; jobs tied to zones and teams with a limit are
/// left to the next plan. It goes in the queue's order, but among jobs of one rank that missed as
/// many aims, those whose image the machine has go first: where all machines are in use, each would
/// otherwise fetch every image, and fetching takes as much of its time as running. What it starts
/// is taken off `unmet`.
pub fn top_up(
    snapshot: &Snapshot,
    contended_types: &[bool],
    unmet: &mut [(usize, u32)],
    room: &Room,
) -> Vec<(usize, u32)> {
    let mut starts = Vec::new();
    let mut free = room.free;
    let kept = snapshot.kept(room.ty, room.spot);
    let has_image = |c: &Class| c.image.is_none_or(|i| room.images.contains(&i));
    let group = |c: &Class| (c.guaranteed, c.queue_rank(), c.missed_aims);
    let may_start = |c: &Class| {
        let limited = snapshot.teams.get(c.team).is_some_and(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0);
        let low = kept.is_some_and(|k| c.rank < k.rank);
        let clear =
            low && (snapshot.clear_rooms > 0 || contended_types.get(room.ty).copied().unwrap_or(false));
        let ends = room.until.is_none_or(|u| delay(c, room) + c.adjusted <= u);
        !(c.gang || c.one_zone || c.spread || limited || clear) && allowed(c, room) && ends
    };
    let mut from = 0;
    while from < unmet.len() && free.cpus > EPS {
        // Classes of one group stand together in the queue.
        let current = group(&snapshot.classes[unmet[from].0]);
        let to = (from..unmet.len())
            .find(|&i| group(&snapshot.classes[unmet[i].0]) != current)
            .unwrap_or(unmet.len());
        for first_pass in [true, false] {
            for (class_index, left) in unmet[from..to].iter_mut().filter(|u| u.1 > 0) {
                let class = &snapshot.classes[*class_index];
                let goes_first = has_image(class) || class.waited > PASSED_OVER;
                if goes_first != first_pass || !may_start(class) {
                    continue;
                }
                let count = free.fits(&class.need).min(*left);
                if count > 0 {
                    free = free.less(&class.need, count);
                    *left -= count;
                    starts.push((*class_index, count));
                }
            }
        }
        from = to;
    }
    starts
}
