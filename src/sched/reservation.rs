//! The reservation: when and where the first blocked job finds its room, by stated ends.

use super::placement::allowed;
use super::state::PlanState;
use super::Reservation;
use crate::time::Micros;

impl PlanState<'_> {
    /// Reserves the room that the class finds first; `None` if it finds none.
    pub(super) fn reserve(&mut self, class_index: usize) -> Option<Reservation> {
        let class = &self.snapshot.classes[class_index];
        let rooms: Vec<usize> = (0..self.snapshot.machines.len())
            .filter(|&room_index| {
                let room = &self.snapshot.machines[room_index];
                allowed(class, room) && room.reclaimed_in.is_none() && room.total.fits(&class.need) > 0
            })
            .collect();
        let at = self.earliest_start(class_index, &rooms)?;
        let fit = |room_index: usize| self.free_at(room_index, at).fits(&class.need);
        let places = if class.gang {
            self.place_gang(class_index, &rooms, &fit)?
        } else {
            let first = rooms.iter().find(|&&room| fit(room) > 0 && self.zone_takes(class_index, room))?;
            vec![(*first, 1)]
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
        let need = self.snapshot.classes[class_index].need;
        for &(room_index, count) in &rooms {
            self.shadow[room_index] = Some(self.free_at(room_index, at).minus(&need, count));
        }
        Reservation { class: class_index, at, machines: rooms }
    }
}
