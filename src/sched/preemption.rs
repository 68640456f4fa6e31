//! Preemption for capacity: which placed tasks are preempted so that a blocked class can start.

use super::decisions::PlacedTaskIndex;
use super::eligibility::{fetch_seconds, lacks_awaited_image, may_use};
use super::plan_state::PlanState;
use super::preemption_rule::preemptible_for;
use super::resources::Resources;
use super::snapshot::{JobClass, MachineSnapshot};
use crate::time::Micros;

/// Lower bound of the processors of a task where the time to fetch its image is counted as lost work.
const MIN_COUNTED_CPUS: f64 = 0.1;

/// A machine on which tasks of the class fit after preemption. Options compare by their fields in the order
/// of declaration, and the smallest one is the best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionOption {
    /// Lost work in processor time: that of the preempted tasks, and the time to fetch the class's image.
    lost_work: Micros,
    /// Index into `Snapshot::machines`.
    machine: usize,
    /// Tasks to preempt, as indices into the machine's `placed`.
    victims: Vec<usize>,
    /// How many tasks of the class fit after the preemption.
    fits: u32,
}

impl PlanState<'_> {
    /// The tasks to preempt so that the class can start, chosen where the least work is lost. Empty if
    /// preemption does not free enough capacity.
    pub(super) fn preempt(&mut self, class_index: usize) -> Vec<PlacedTaskIndex> {
        let class = &self.snapshot.classes[class_index];
        let machine_count = self.snapshot.machines.len();
        let mut options: Vec<PreemptionOption> =
            (0..machine_count).filter_map(|machine| self.preemption_option(class, machine)).collect();
        options.sort();
        let machines: Vec<usize> = options.iter().map(|option| option.machine).collect();
        let mut by_machine: Vec<Option<&PreemptionOption>> = vec![None; machine_count];
        for option in &options {
            by_machine[option.machine] = Some(option);
        }
        let fits = |machine: usize| by_machine[machine].map_or(0, |option| option.fits);
        let places = self.place_blocked(class_index, &machines, &fits);
        let mut preempted = Vec::new();
        for (machine, _) in places.unwrap_or_default() {
            self.has_preemptions[machine] = true;
            let victims = by_machine[machine].iter().flat_map(|option| &option.victims);
            preempted.extend(victims.map(|&task| (machine, task)));
        }
        preempted
    }

    /// What has to be preempted on a machine so that at least one task of the class fits. `None` if no task
    /// would fit.
    fn preemption_option(&self, class: &JobClass, machine_index: usize) -> Option<PreemptionOption> {
        let machine = &self.snapshot.machines[machine_index];
        if !machine.accepts_starts || machine.reclaimed_in.is_some() || self.has_preemptions[machine_index] {
            return None;
        }
        if !may_use(class, machine) || lacks_awaited_image(class, machine) {
            return None;
        }
        let mut free = free_once_stopped(machine, self.free[machine_index]);
        let counted_cpus = class.need.cpus.max(MIN_COUNTED_CPUS);
        let mut lost_work = Micros::from_secs(fetch_seconds(class, machine) * counted_cpus);
        let mut victims = Vec::new();
        if free.fits(&class.need) == 0 {
            for task in preemptible_for(class, machine) {
                if free.fits(&class.need) > 0 {
                    break;
                }
                free = free.plus(&machine.placed[task].need, 1);
                lost_work = lost_work + machine.placed[task].lost_work;
                victims.push(task);
            }
        }
        let fits = free.fits(&class.need);
        (fits > 0).then_some(PreemptionOption { lost_work, machine: machine_index, victims, fits })
    }
}

/// What is free on the machine once the tasks that are being stopped have ended.
fn free_once_stopped(machine: &MachineSnapshot, free: Resources) -> Resources {
    let stopping = machine.placed.iter().filter(|task| task.stopping);
    stopping.fold(free, |free, task| free.plus(&task.need, 1))
}
