//! Scale out for services: whole machines for replicas that found no place.

use super::offers::scale_out_for_tasks;
use super::{Autoscaler, ScaleOutItem};
use crate::sched::{may_use, Resources};

impl Autoscaler<'_> {
    /// Scales out for replicas that found no place: whole machines, on-demand ones if they are offered,
    /// since a replica outlives most spot machines.
    pub(super) fn scale_out_for_services(&self, scale_out: &mut Vec<ScaleOutItem>) {
        let mut booting_capacity = self.booting_capacity();
        for &(class_index, unmet) in &self.plan.unplaced {
            let class = &self.snapshot.classes[class_index];
            if class.replica_machines.is_none() {
                continue;
            }
            let mut missing = unmet;
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

    /// By machine: its free capacity if it is booting and can be counted on, else nothing. What is up
    /// the planner has filled already.
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
