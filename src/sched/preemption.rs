//! Preemption: which running tasks are stopped so that a class of higher rank can start.

use super::placement::{allowed, fetch_seconds, lacks_awaited_image};
use super::preemptible::preemptible_for;
use super::state::PlanState;
use super::{JobClass, Plan};
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
    pub(super) fn reserve_or_preempt(&mut self, class_index: usize, plan: &mut Plan) {
        let class = &self.snapshot.classes[class_index];
        if plan.reservation.is_none() && self.snapshot.reserve {
            plan.reservation = self.reserve(class_index);
            let too_late =
                plan.reservation.as_ref().is_none_or(|reservation| reservation.at > class.preempt_after);
            if too_late {
                plan.preempt.extend(self.preempt(class_index));
            }
        } else if class.preempt_after.0 <= 0 {
            // Not the head, but out of patience as well: each finds rooms of its own.
            plan.preempt.extend(self.preempt(class_index));
        }
    }

    /// Tasks to stop so that the class can start: where least is lost, with the time that the
    /// class's image would take to fetch counted as lost too.
    fn preempt(&mut self, class_index: usize) -> Vec<(usize, usize)> {
        let class = &self.snapshot.classes[class_index];
        let room_count = self.snapshot.machines.len();
        let mut options: Vec<PreemptionOption> =
            (0..room_count).filter_map(|room| self.preemption_option(class, room)).collect();
        options.sort();
        let rooms: Vec<usize> = options.iter().map(|option| option.room).collect();
        let mut by_room: Vec<Option<&PreemptionOption>> = vec![None; room_count];
        for option in &options {
            by_room[option.room] = Some(option);
        }
        let places = if class.gang {
            let fit = |room: usize| by_room[room].map_or(0, |option| option.fits);
            self.place_gang(class_index, &rooms, &fit)
        } else {
            let first = rooms.iter().find(|&&room| self.zone_takes(class_index, room));
            first.map(|&room| vec![(room, 1)])
        };
        let mut stopped = Vec::new();
        for (room, _) in places.unwrap_or_default() {
            self.being_preempted_for[room] = true;
            let stops = by_room[room].iter().flat_map(|option| &option.stops);
            stopped.extend(stops.map(|&held| (room, held)));
        }
        stopped
    }

    /// What it takes for at least one task of the class to fit into a room; `None` if it cannot.
    fn preemption_option(&self, class: &JobClass, room_index: usize) -> Option<PreemptionOption> {
        let room = &self.snapshot.machines[room_index];
        if !room.accepts_starts || room.reclaimed_in.is_some() || self.being_preempted_for[room_index] {
            return None;
        }
        if !allowed(class, room) || lacks_awaited_image(class, room) {
            return None;
        }
        let ending = room.placed.iter().filter(|task| task.stopping);
        let mut free = ending.fold(self.free[room_index], |free, task| free.plus(&task.need, 1));
        let mut lost = Micros::from_secs(fetch_seconds(class, room) * class.need.cpus.max(0.1));
        let mut stops = Vec::new();
        if free.fits(&class.need) == 0 {
            for held in preemptible_for(class, room) {
                if free.fits(&class.need) > 0 {
                    break;
                }
                free = free.plus(&room.placed[held].need, 1);
                lost = lost + room.placed[held].lost_work;
                stops.push(held);
            }
        }
        let fits = free.fits(&class.need);
        (fits > 0).then_some(PreemptionOption { lost, room: room_index, stops, fits })
    }
}
