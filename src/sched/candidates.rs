//! Bin packing: the order in which a class uses the machines that have free capacity.

use super::eligibility::start_delay;
use super::plan_state::PlanState;
use super::resources::cpu_tenths;
use super::snapshot::JobClass;
use crate::time::Micros;
use crate::wire::Priority;

/// A machine on which tasks of a class fit. Candidates compare by their fields in the order of declaration,
/// and the smallest one is the best. If start delays are equal, cheap machines go before expensive ones,
/// small before large, and those with little free capacity before those with much. So machines become empty
/// and can be returned to the cloud.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineCandidate {
    /// Whether headroom on the machine is reserved for tasks of a higher priority.
    reserved_for_higher_priority: bool,
    /// Start delay in whole steps; delays within the same step count as equal.
    delay_steps: i64,
    /// Price per processor and hour, in thousandths of the currency unit.
    cpu_price: i64,
    /// All processors of the machine, in tenths.
    total_tenths: i64,
    /// Free processors of the machine, in tenths.
    free_tenths: i64,
    /// Index into `Snapshot::machines`.
    machine: usize,
}

impl PlanState<'_> {
    /// The machines on which tasks of the class could start now, best first.
    pub(super) fn candidates(&self, class: &JobClass) -> Vec<usize> {
        let step = self.delay_step(class.priority);
        let mut candidates: Vec<MachineCandidate> = (0..self.snapshot.machines.len())
            .filter(|&machine_index| self.fits_now(class, machine_index) > 0)
            .map(|machine_index| self.candidate(class, machine_index, step))
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|candidate| candidate.machine).collect()
    }

    /// The step in which start delays are compared. Smaller differences do not matter, since heartbeats are
    /// seconds apart.
    fn delay_step(&self, priority: Priority) -> Micros {
        match priority {
            Priority::Idle => self.snapshot.low_priority_delay_step,
            _ => self.snapshot.delay_step,
        }
    }

    /// The machine as a candidate for the class, with delays in units of `step`.
    fn candidate(&self, class: &JobClass, machine_index: usize, step: Micros) -> MachineCandidate {
        let machine = &self.snapshot.machines[machine_index];
        MachineCandidate {
            reserved_for_higher_priority: self.snapshot.is_below_reserved_priority(class, machine),
            delay_steps: start_delay(class, machine).0 / step.0.max(1),
            cpu_price: machine.cpu_price,
            total_tenths: cpu_tenths(machine.total.cpus),
            free_tenths: cpu_tenths(self.free[machine_index].cpus),
            machine: machine_index,
        }
    }
}
