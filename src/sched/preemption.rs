//! Preemption: which running tasks are stopped so that a class of higher rank can start.

use super::placement::{allowed, fetch_seconds};
use super::state::PlanState;
use super::{Class, Held, Plan};
use crate::time::Micros;

/// A room that the class can have, and what is stopped for it. Options compare by their fields in this
/// order: where least work is lost goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionOption {
    /// Work lost, with the time of fetching the class's image.
    lost: Micros,
    /// The room's index.
    room: usize,
    /// Tasks to stop, by their place in the room's list.
    stops: Vec<usize>,
    /// How many tasks of the class fit then.
    fits: u32,
}

impl PlanState<'_> {
    /// Reserves room for a blocked class if none is reserved yet, and stops others for it if it cannot
    /// wait that long.
    pub(super) fn make_way(&mut self, class_index: usize, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        if plan.reservation.is_none() && self.snapshot.reserve {
            plan.reservation = self.reserve(class_index);
            let too_late =
                plan.reservation.as_ref().is_none_or(|reservation| reservation.at > class.patience);
            if too_late {
                plan.preempt.extend(self.preempt(class_index));
            }
        } else if class.patience.0 <= 0 {
            // Not the head, but out of patience as well: each finds rooms of its own.
            plan.preempt.extend(self.preempt(class_index));
        }
    }

    /// Tasks to stop so that the class can start: where least is lost, with the time that the
    /// class's image would take to fetch counted as lost too.
    fn preempt(&mut self, class_index: usize) -> Vec<(usize, usize)> {
        let class = &self.snapshot.classes[class_index];
        let mut options: Vec<PreemptionOption> = Vec::new();
        for (room_index, room) in self.snapshot.rooms.iter().enumerate() {
            if !room.open || room.until.is_some() || self.being_cleared[room_index] || !allowed(class, room) {
                continue;
            }
            let fetch = Micros::from_secs(fetch_seconds(class, room) * class.need.cpus.max(0.1));
            let coming = room
                .held
                .iter()
                .filter(|h| h.stopping)
                .fold(self.free[room_index], |n, h| n.plus(&h.need, 1));
            if coming.fits(&class.need) > 0 {
                options.push(PreemptionOption {
                    lost: fetch,
                    room: room_index,
                    stops: Vec::new(),
                    fits: coming.fits(&class.need),
                });
                continue;
            }
            let mut victims: Vec<usize> =
                (0..room.held.len()).filter(|&h| yields_to(&room.held[h], class)).collect();
            victims.sort_by_key(|&h| room.held[h].lost_work);
            let (mut free, mut lost, mut chosen) = (coming, fetch, Vec::new());
            for h in victims {
                if free.fits(&class.need) > 0 {
                    break;
                }
                free = free.plus(&room.held[h].need, 1);
                lost = lost + room.held[h].lost_work;
                chosen.push(h);
            }
            if free.fits(&class.need) > 0 {
                options.push(PreemptionOption {
                    lost,
                    room: room_index,
                    stops: chosen,
                    fits: free.fits(&class.need),
                });
            }
        }
        options.sort();
        let rooms: Vec<usize> = options.iter().map(|option| option.room).collect();
        let mut by_room: Vec<Option<usize>> = vec![None; self.snapshot.rooms.len()];
        for (i, option) in options.iter().enumerate() {
            by_room[option.room] = Some(i);
        }
        let fit = |room_index: usize| by_room[room_index].map_or(0, |i| options[i].fits);
        let places = if class.gang {
            self.place_gang(class_index, &rooms, &fit)
        } else {
            rooms
                .iter()
                .find(|&&room_index| {
                    self.zone_allowance(class_index, self.snapshot.rooms[room_index].zone) > 0
                })
                .map(|&room_index| vec![(room_index, 1)])
        };
        let places = places.unwrap_or_default();
        for &(room_index, _) in &places {
            self.being_cleared[room_index] = true;
        }
        let chosen =
            |room_index: usize| by_room[room_index].map(|i| options[i].stops.clone()).unwrap_or_default();
        places
            .into_iter()
            .flat_map(|(room_index, _)| chosen(room_index).into_iter().map(move |h| (room_index, h)))
            .collect()
    }
}

/// Whether a task may be stopped for the class. What goes before it in the queue, by its team's guarantee,
/// is not: it would begin again at once, and be stopped again.
pub(super) fn yields_to(task: &Held, class: &Class) -> bool {
    task.stoppable && task.rank < class.rank && (class.guaranteed || !task.guaranteed)
}
