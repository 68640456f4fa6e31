//! When room becomes free, by the stated ends of the tasks that run.

use super::state::PlanState;
use super::{JobClass, Resources};
use crate::time::Micros;

/// A room opens, or a task on it ends.
struct CapacityEvent {
    at: Micros,
    room: usize,
    /// What comes free.
    freed: Resources,
}

/// The room for a class as time goes on, counted in tasks by zone.
struct AvailabilityProfile<'a> {
    state: &'a PlanState<'a>,
    need: Resources,
    /// By room: what is free; none before it opens.
    free: Vec<Option<Resources>>,
    /// By room: what ended on it before it opened. It counts from then on.
    freed_early: Vec<Resources>,
    /// By room: how many tasks of the class fit.
    fits: Vec<u32>,
    /// By zone: how many tasks of the class fit.
    by_zone: Vec<u64>,
}

impl<'a> AvailabilityProfile<'a> {
    /// As things stand now.
    fn new(state: &'a PlanState<'a>, class: &JobClass, rooms: &[usize]) -> AvailabilityProfile<'a> {
        let room_count = state.snapshot.machines.len();
        let mut availability = AvailabilityProfile {
            state,
            need: class.need,
            free: vec![None; room_count],
            freed_early: vec![Resources::default(); room_count],
            fits: vec![0; room_count],
            by_zone: vec![0; state.snapshot.zone_count.max(1)],
        };
        for &room in rooms {
            if state.snapshot.machines[room].accepts_starts {
                availability.free[room] = Some(state.free[room]);
                availability.count(room);
            }
        }
        availability
    }

    /// Applies an event.
    fn apply(&mut self, event: &CapacityEvent) {
        let room = event.room;
        if let Some(free) = self.free[room] {
            self.free[room] = Some(free.plus(&event.freed, 1));
        } else {
            self.freed_early[room] = self.freed_early[room].plus(&event.freed, 1);
            if event.at >= self.state.snapshot.machines[room].accepts_starts_in {
                self.free[room] = Some(self.state.free[room].plus(&self.freed_early[room], 1));
            }
        }
        self.count(room);
    }

    /// Counts the tasks that fit into a room anew. They never become fewer.
    fn count(&mut self, room: usize) {
        let Some(free) = &self.free[room] else { return };
        let fits = free.fits(&self.need);
        let more = fits.saturating_sub(self.fits[room]);
        self.by_zone[self.state.snapshot.machines[room].zone] += u64::from(more);
        self.fits[room] = fits;
    }
}

impl PlanState<'_> {
    /// What is free on a room at a time, by stated ends.
    pub(super) fn free_at(&self, room_index: usize, at: Micros) -> Resources {
        let room = &self.snapshot.machines[room_index];
        if room.accepts_starts_in > at && !room.accepts_starts {
            return Resources::default();
        }
        let ended = room.placed.iter().filter(|task| task.remaining <= at);
        ended.fold(self.free[room_index], |free, task| free.plus(&task.need, 1))
    }

    /// The earliest moment at which, by stated ends, the class finds its room: the whole of a
    /// gang, one task of an array. One sweep over the ends, with the room counted by zone.
    pub(super) fn earliest_start(&self, class_index: usize, rooms: &[usize]) -> Option<Micros> {
        let class = &self.snapshot.classes[class_index];
        let mut availability = AvailabilityProfile::new(self, class, rooms);
        let events = self.room_events(rooms);
        for simultaneous in events.chunk_by(|a, b| a.at == b.at) {
            for event in simultaneous {
                availability.apply(event);
            }
            if self.zones_suffice(class_index, &availability.by_zone) {
                return Some(simultaneous[0].at);
            }
        }
        None
    }

    /// When each of the rooms opens and the tasks on them end, in this order.
    fn room_events(&self, rooms: &[usize]) -> Vec<CapacityEvent> {
        let mut events = Vec::new();
        for &room_index in rooms {
            let room = &self.snapshot.machines[room_index];
            if !room.accepts_starts {
                events.push(CapacityEvent {
                    at: room.accepts_starts_in,
                    room: room_index,
                    freed: Resources::default(),
                });
            }
            let ends = room.placed.iter();
            events.extend(ends.map(|task| CapacityEvent {
                at: task.remaining,
                room: room_index,
                freed: task.need,
            }));
        }
        events.sort_unstable_by_key(|event| (event.at, event.room));
        events
    }

    /// Whether so much room in each zone takes a gang whole, or a task of an array.
    fn zones_suffice(&self, class_index: usize, by_zone: &[u64]) -> bool {
        let class = &self.snapshot.classes[class_index];
        let tasks = &self.zones[class_index];
        let takes = |zone: usize, have: u64| {
            let elsewhere = tasks.iter().enumerate().any(|(other, &count)| other != zone && count > 0);
            if class.one_zone && elsewhere {
                0
            } else if class.spread {
                let there = tasks.get(zone).copied().unwrap_or(0);
                have.min(u64::from(class.tasks.div_ceil(2).saturating_sub(there)))
            } else {
                have
            }
        };
        let taken = || by_zone.iter().enumerate().map(|(zone, &have)| takes(zone, have));
        if !class.gang {
            return taken().any(|count| count > 0);
        }
        let most = if class.one_zone { taken().max().unwrap_or(0) } else { taken().sum() };
        most >= u64::from(class.count)
    }
}
