//! When capacity becomes free, by the stated ends of the running tasks. Running tasks keep their stated ends
//! (paper, 5.2): with an end that is estimated too early, a reservation would begin while its machines are
//! still in use.

use super::plan_state::PlanState;
use super::resources::Resources;
use super::snapshot::JobClass;
use super::zone_limits::zone_allowance;
use crate::time::Micros;

/// A machine begins to accept starts, or a task on it ends.
struct CapacityEvent {
    /// Time until the event.
    at: Micros,
    /// Index into `Snapshot::machines`.
    machine: usize,
    /// Resources that become free; zero if the machine begins to accept starts.
    freed: Resources,
}

/// How many tasks of a class fit into each zone, updated event by event in the order of time.
struct AvailabilityProfile<'a> {
    /// The state of planning; it is not changed.
    state: &'a PlanState<'a>,
    /// Resources that each task of the class takes.
    need: Resources,
    /// By machine: free resources; `None` before the machine accepts starts.
    free: Vec<Option<Resources>>,
    /// By machine: resources of the tasks that ended before the machine accepted starts. They are added to
    /// `free` when it begins to accept starts.
    freed_before_accepting: Vec<Resources>,
    /// By machine: how many tasks of the class fit.
    fits: Vec<u32>,
    /// By zone: how many tasks of the class fit.
    fits_by_zone: Vec<u64>,
}

impl<'a> AvailabilityProfile<'a> {
    /// The profile at the moment of the snapshot, for the given machines.
    fn new(state: &'a PlanState<'a>, class: &JobClass, machines: &[usize]) -> AvailabilityProfile<'a> {
        let machine_count = state.snapshot.machines.len();
        let mut profile = AvailabilityProfile {
            state,
            need: class.need,
            free: vec![None; machine_count],
            freed_before_accepting: vec![Resources::default(); machine_count],
            fits: vec![0; machine_count],
            fits_by_zone: vec![0; state.snapshot.zone_count.max(1)],
        };
        for &machine in machines {
            if state.snapshot.machines[machine].accepts_starts {
                profile.free[machine] = Some(state.free[machine]);
                profile.update_fits(machine);
            }
        }
        profile
    }

    /// Applies an event to its machine.
    fn apply(&mut self, event: &CapacityEvent) {
        let machine = event.machine;
        if let Some(free) = self.free[machine] {
            self.free[machine] = Some(free.plus(&event.freed, 1));
        } else {
            self.freed_before_accepting[machine] = self.freed_before_accepting[machine].plus(&event.freed, 1);
            if event.at >= self.state.snapshot.machines[machine].accepts_starts_in {
                self.free[machine] =
                    Some(self.state.free[machine].plus(&self.freed_before_accepting[machine], 1));
            }
        }
        self.update_fits(machine);
    }

    /// Counts again how many tasks fit on a machine and updates its zone. The number never falls, since
    /// events only free resources.
    fn update_fits(&mut self, machine: usize) {
        let Some(free) = &self.free[machine] else { return };
        let fits = free.fits(&self.need);
        let added = fits.saturating_sub(self.fits[machine]);
        self.fits_by_zone[self.state.snapshot.machines[machine].zone] += u64::from(added);
        self.fits[machine] = fits;
    }
}

impl PlanState<'_> {
    /// What is free on a machine at a time, by the stated ends of its tasks.
    pub(super) fn free_at(&self, machine_index: usize, at: Micros) -> Resources {
        let machine = &self.snapshot.machines[machine_index];
        if machine.accepts_starts_in > at && !machine.accepts_starts {
            return Resources::default();
        }
        let ended = machine.placed.iter().filter(|task| task.remaining <= at);
        ended.fold(self.free[machine_index], |free, task| free.plus(&task.need, 1))
    }

    /// The earliest time at which, by stated ends, the whole gang or one task of an array can start on the
    /// machines. `None` if there is no such time.
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

    /// The events of the machines in the order of time.
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

    /// Whether the whole gang, or one task of an array, can be placed if `fits_by_zone` tasks fit into each
    /// zone.
    fn zones_suffice(&self, class_index: usize, fits_by_zone: &[u64]) -> bool {
        let class = &self.snapshot.classes[class_index];
        let tasks_by_zone = &self.tasks_by_zone[class_index];
        let allowance = |zone: usize| u64::from(zone_allowance(class, tasks_by_zone, zone));
        let mut placeable = fits_by_zone.iter().enumerate().map(|(zone, &fits)| fits.min(allowance(zone)));
        if !class.gang {
            return placeable.any(|count| count > 0);
        }
        let placeable_tasks = if class.one_zone { placeable.max().unwrap_or(0) } else { placeable.sum() };
        placeable_tasks >= u64::from(class.startable_tasks)
    }
}
