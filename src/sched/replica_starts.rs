//! Replicas that start between two plans, on a machine that has just sent a heartbeat.

use super::eligibility::{fetch_seconds, may_use};
use super::headroom::capacity_beside_replicas;
use super::resources::Resources;
use super::snapshot::{JobClass, MachineSnapshot};
use crate::time::Micros;

/// A machine that has just sent a heartbeat, as a candidate for a waiting replica.
pub struct ReportingMachine<'a> {
    /// The machine.
    pub machine: &'a MachineSnapshot,
    /// Resources of a task that headroom on the machine is reserved for; `None` if there is no such headroom.
    pub headroom: Option<Resources>,
    /// Whether the machine's zone already has half of the service's replicas.
    pub zone_has_half_of_replicas: bool,
}

impl ReportingMachine<'_> {
    /// Whether one more replica should start here before the next plan. `planned` is the time until the
    /// replica would run on the machine chosen by the plan; `None` if the plan found no machine for it. The
    /// replica starts here only if it would run sooner than planned. If the machine's zone already has half
    /// of the replicas, a replica that has a planned machine waits for that machine.
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

    /// Whether a task of the headroom's size would still fit beside the machine's replicas and one more.
    fn leaves_headroom(&self, class: &JobClass) -> bool {
        self.headroom.is_none_or(|headroom| {
            let capacity_left = capacity_beside_replicas(self.machine).minus(&class.need, 1);
            capacity_left.fits(&headroom) > 0
        })
    }
}
