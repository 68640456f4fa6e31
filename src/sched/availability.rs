//! When capacity comes free, by the stated ends of the tasks that run. Running tasks keep their stated
//! ends (paper, 5.2): an underestimated one would put a reservation at a moment when its machines are
//! still in use.

use super::plan_state::PlanState;
use super::resources::Resources;
use super::snapshot::JobClass;
use super::zone_limits::zone_allowance;
use crate::time::Micros;

/// A machine begins to accept starts, or a task on it ends.
struct CapacityEvent {
    /// Time until then.
    at: Micros,
    /// Index into `Snapshot::machines`.
    machine: usize,
    /// What comes free.
    freed: Resources,
}

/// How many tasks of a class fit into each zone as time goes on.
struct AvailabilityProfile<'a> {
    state: &'a PlanState<'a>,
    /// Resources that a task of the class takes.
    need: Resources,
    /// By machine: what is free; none before it accepts starts.
    free: Vec<Option<Resources>>,
    /// By machine: what came free on it before it accepted starts. It counts from then on.
    freed_early: Vec<Resources>,
    /// By machine: how many tasks of the class fit.
    fits: Vec<u32>,
    /// By zone: how many tasks of the class fit.
    fits_by_zone: Vec<u64>,
}

impl<'a> AvailabilityProfile<'a> {
    /// As things stand now.
    fn new(state: &'a PlanState<'a>, class: &JobClass, machines: &[usize]) -> AvailabilityProfile<'a> {
        let machine_count = state.snapshot.machines.len();
        let mut profile = AvailabilityProfile {
            state,
            need: class.need,
            free: vec![None; machine_count],
            freed_early: vec![Resources::default(); machine_count],
            fits: vec![0; machine_count],
            fits_by_zone: vec![0; state.snapshot.zone_count.max(1)],
        };
        for &machine in machines {
            if state.snapshot.machines[machine].accepts_starts {
                profile.free[machine] = Some(state.free[machine]);
                profile.count(machine);
            }
        }
        profile
    }

    /// Applies an event.
    fn apply(&mut self, event: &CapacityEvent) {
        let machine = event.machine;
        if let Some(free) = self.free[machine] {
            self.free[machine] = Some(free.plus(&event.freed, 1));
        } else {
            self.freed_early[machine] = self.freed_early[machine].plus(&event.freed, 1);
            if event.at >= self.state.snapshot.machines[machine].accepts_starts_in {
                self.free[machine] = Some(self.state.free[machine].plus(&self.freed_early[machine], 1));
            }
        }
        self.count(machine);
    }

    /// Counts again how many tasks fit on a machine. The count never falls.
    fn count(&mut self, machine: usize) {
        let Some(free) = &self.free[machine] else { return };
        let fits = free.fits(&self.need);
        let more = fits.saturating_sub(self.fits[machine]);
        self.fits_by_zone[self.state.snapshot.machines[machine].zone] += u64::from(more);
        self.fits[machine] = fits;
    }
}

impl PlanState<'_> {
    /// What is free on a machine at a time, by stated ends.
    pub(super) fn free_at(&self, machine_index: usize, at: Micros) -> Resources {
        let machine = &self.snapshot.machines[machine_index];
        if machine.accepts_starts_in > at && !machine.accepts_starts {
            return Resources::default();
        }
        let ended = machine.placed.iter().filter(|task| task.remaining <= at);
        ended.fold(self.free[machine_index], |free, task| free.plus(&task.need, 1))
    }

    /// The earliest time at which, by stated ends, the class can start: the whole gang, or one task of an
    /// array. One sweep over the ends, with the tasks that fit counted by zone.
    pub(super) fn earliest_start(&self, class_index: usize, machines: &[usize]) -> Option<Micros> {
        let class = &self.snapshot.classes[class_index];
        let mut profile = AvailabilityProfile::new(self, class, machines);
        let events = self.capacity_events(machines);
        for simultaneous in events.chunk_by(|a, b| a.at == b.at) {
            for event in simultaneous {
                profile.apply(event);
            }
            if self.zones_suffice(class_index, &profile.fits_by_zone) {
                return Some(simultaneous[0].at);
            }
        }
        None
    }

    /// When the machines begin to accept starts and the tasks on them end, in the order of time.
    fn capacity_events(&self, machines: &[usize]) -> Vec<CapacityEvent> {
        let mut events = Vec::new();
        for &machine_index in machines {
            let machine = &self.snapshot.machines[machine_index];
            if !machine.accepts_starts {
                events.push(CapacityEvent {
                    at: machine.accepts_starts_in,
                    machine: machine_index,
                    freed: Resources::default(),
                });
            }
            events.extend(machine.placed.iter().map(|task| CapacityEvent {
                at: task.remaining,
                machine: machine_index,
                freed: task.need,
            }));
        }
        events.sort_unstable_by_key(|event| (event.at, event.machine));
        events
    }

    /// Whether a gang can be placed whole, or one task of an array, where so many tasks fit into each zone.
    fn zones_suffice(&self, class_index: usize, fits_by_zone: &[u64]) -> bool {
        let class = &self.snapshot.classes[class_index];
        let tasks_by_zone = &self.tasks_by_zone[class_index];
        let allowance = |zone: usize| u64::from(zone_allowance(class, tasks_by_zone, zone));
        let mut placeable = fits_by_zone.iter().enumerate().map(|(zone, &fits)| fits.min(allowance(zone)));
        if !class.gang {
            return placeable.any(|count| count > 0);
        }
        let most = if class.one_zone { placeable.max().unwrap_or(0) } else { placeable.sum() };
        most >= u64::from(class.startable_tasks)
    }
}
