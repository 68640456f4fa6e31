//! Bin packing: which of the machines that have free capacity a class takes first.

use super::eligibility::start_delay;
use super::plan_state::PlanState;
use super::resources::cpu_tenths;
use super::snapshot::JobClass;
use crate::time::Micros;
use crate::wire::Priority;

/// A machine that could take tasks of a class. Candidates compare by their fields in this order, and the
/// least is the best. Within a step of delay, cheap machines go before expensive ones, small ones before
/// large ones and full ones before empty ones, so that machines become empty and can be returned.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineCandidate {
    /// Whether headroom on it is reserved for tasks of a higher priority.
    reserved_for_others: bool,
    /// Time until a task would run there, in steps within which delays count as alike.
    delay_steps: i64,
    /// Its price per processor.
    cpu_price: i64,
    /// All its processors, in tenths.
    total_tenths: i64,
    /// Its free processors, in tenths.
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

    /// The step within which delays count as alike: heartbeats come every few seconds anyway.
    fn delay_step(&self, priority: Priority) -> Micros {
        match priority {
            Priority::Idle => self.snapshot.low_priority_delay_step,
            _ => self.snapshot.delay_step,
        }
    }

    fn candidate(&self, class: &JobClass, machine_index: usize, step: Micros) -> MachineCandidate {
        let machine = &self.snapshot.machines[machine_index];
        MachineCandidate {
            reserved_for_others: self.snapshot.is_below_reserved_priority(class, machine),
            delay_steps: start_delay(class, machine).0 / step.0.max(1),
            cpu_price: machine.cpu_price,
            total_tenths: cpu_tenths(machine.total.cpus),
            free_tenths: cpu_tenths(self.free[machine_index].cpus),
            machine: machine_index,
        }
    }
}
