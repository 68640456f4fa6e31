//! Replicas that start between two plans, on a machine that has just sent a heartbeat.

use super::eligibility::{fetch_seconds, may_use};
use super::headroom::capacity_beside_replicas;
use super::resources::Resources;
use super::snapshot::{JobClass, MachineSnapshot};
use crate::time::Micros;

/// A machine that has just sent a heartbeat, as waiting replicas see it.
pub struct ReportingMachine<'a> {
    /// The machine.
    pub machine: &'a MachineSnapshot,
    /// Resources of a task that headroom on the machine is reserved for, if any is.
    pub headroom: Option<Resources>,
    /// Whether the machine's zone has half of the service's replicas already.
    pub zone_has_half_of_replicas: bool,
}

impl ReportingMachine<'_> {
    /// Whether one more replica may start here ahead of the next plan. `planned` is the time until it
    /// would run where the plan has placed it; none if the plan found no place for it. It has to run sooner
    /// here, and a place in another zone is waited for if this one has many replicas.
    pub fn should_start(&self, class: &JobClass, planned: Option<Micros>) -> bool {
        let machine = self.machine;
        let runs_in = Micros::from_secs(fetch_seconds(class, machine)) + machine.failure_penalty;
        let is_sooner = planned.is_none_or(|planned| !self.zone_has_half_of_replicas && runs_in < planned);
        may_use(class, machine)
            && machine.reclaimed_in.is_none()
            && self.leaves_headroom(class)
            && machine.free.fits(&class.need) > 0
            && is_sooner
    }

    /// Whether a task of the headroom's size still fits beside the replicas and one more of them.
    fn leaves_headroom(&self, class: &JobClass) -> bool {
        self.headroom.is_none_or(|headroom| {
            let beside = capacity_beside_replicas(self.machine).minus(&class.need, 1);
            beside.fits(&headroom) > 0
        })
    }
}
