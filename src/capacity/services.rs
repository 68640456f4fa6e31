//! Scale out for services: adds whole machines for replicas that no machine has capacity for.

use super::offers::scale_out_for_tasks;
use super::{Autoscaler, ScaleOutItem};
use crate::sched::{may_use, Resources};

impl Autoscaler<'_> {
    /// Adds whole machines for unplaced replicas. On-demand machines are preferred if they are offered, since
    /// the cloud reclaims most spot instances before a replica ends.
    pub(super) fn scale_out_for_services(&self, scale_out: &mut Vec<ScaleOutItem>) {
        let mut booting_capacity = self.booting_capacity();
        for &(class_index, unplaced) in &self.plan.unplaced {
            let class = &self.snapshot.classes[class_index];
            if class.replica_machines.is_none() {
                continue;
            }
            let mut missing = unplaced;
            for (index, machine) in self.snapshot.machines.iter().enumerate() {
                if !may_use(class, machine) {
                    continue;
                }
                let free = &mut booting_capacity[index];
                let taken = free.fits(&class.need).min(missing);
                *free = free.minus(&class.need, taken);
                missing -= taken;
            }
            let offers = self.fitting_offers(class);
            let on_demand = offers.iter().find(|fitting| !fitting.offer.spot);
            scale_out_for_tasks(scale_out, missing, on_demand.or(offers.first()));
        }
    }

    /// By machine: its free capacity if it is booting and counts as capacity, otherwise nothing. The planner
    /// has already filled the machines that are up.
    fn booting_capacity(&self) -> Vec<Resources> {
        let machines = self.snapshot.machines.iter().enumerate();
        machines
            .map(|(index, machine)| {
                if self.machine_status[index].booting && self.is_reliable(index) {
                    machine.free
                } else {
                    Resources::default()
                }
            })
            .collect()
    }
}
