//! Gang scheduling: choosing the machines on which all tasks of a gang start together.

use super::decisions::TasksOnMachine;
use super::plan_state::PlanState;
use super::zone_limits::zone_allowance;

impl PlanState<'_> {
    /// Places what a blocked class needs in order to start: the whole gang, or one task of an array.
    /// `machines` are the indices of the machines to use, best first; `fits` returns how many tasks fit on a
    /// machine. `None` if the tasks do not fit.
    pub(super) fn place_blocked(
        &self,
        class_index: usize,
        machines: &[usize],
        fits: &dyn Fn(usize) -> u32,
    ) -> Option<Vec<TasksOnMachine>> {
        if self.snapshot.classes[class_index].gang {
            return self.place_gang(class_index, machines, fits);
        }
        let fits_one = |machine: usize| fits(machine) > 0 && self.zone_allowance(class_index, machine) > 0;
        let first = machines.iter().copied().find(|&machine| fits_one(machine))?;
        Some(vec![(first, 1)])
    }

    /// Places all tasks of a gang or none, with the arguments of `place_blocked`. A gang that must be in one
    /// zone is placed in the first zone that all its tasks fit into.
    pub(super) fn place_gang(
        &self,
        class_index: usize,
        machines: &[usize],
        fits: &dyn Fn(usize) -> u32,
    ) -> Option<Vec<TasksOnMachine>> {
        if !self.snapshot.classes[class_index].one_zone {
            return self.place_gang_in(class_index, None, machines, fits);
        }
        let mut zones = 0..self.snapshot.zone_count;
        zones.find_map(|zone| self.place_gang_in(class_index, Some(zone), machines, fits))
    }

    /// Places all tasks of a gang or none, in the zone `only_zone`, or in any zones if it is `None`.
    fn place_gang_in(
        &self,
        class_index: usize,
        only_zone: Option<usize>,
        machines: &[usize],
        fits: &dyn Fn(usize) -> u32,
    ) -> Option<Vec<TasksOnMachine>> {
        let class = &self.snapshot.classes[class_index];
        let mut missing = class.startable_tasks;
        let mut tasks_by_zone = self.tasks_by_zone[class_index].clone();
        let mut places = Vec::new();
        for &machine_index in machines {
            if missing == 0 {
                break;
            }
            let zone = self.snapshot.machines[machine_index].zone;
            if only_zone.is_some_and(|only| only != zone) {
                continue;
            }
            let allowance = zone_allowance(class, &tasks_by_zone, zone);
            let count = fits(machine_index).min(missing).min(allowance);
            if count > 0 {
                tasks_by_zone[zone] += count;
                missing -= count;
                places.push((machine_index, count));
            }
        }
        (missing == 0).then_some(places)
    }
}
