//! Scale out and scale in of the fleet: collects the autoscaler's inputs and marks machines for scale in as
//! it decides.

use super::{Fleet, Machine};
use crate::capacity::{Autoscaler, MachineOffer, MachineStatus, ScaleOutItem, ScalingPolicy};
use crate::jobs::MachineId;
use crate::time::{Micros, Steady, Wall};
use crate::wire::MachineType;

/// A zone counts as partitioned only if at least this many of its machines are silent.
const MIN_SILENT_IN_PARTITIONED_ZONE: usize = 2;

impl Fleet {
    /// Makes a plan and decides on scaling: returns the machines to request, at most one item for each
    /// offer, and marks idle machines for scale in.
    pub fn decide_scaling(&mut self, now: Steady, wall: Wall) -> Vec<ScaleOutItem> {
        // The autoscaler needs a plan made from the same snapshot, because the plan's indices refer to it.
        let (snapshot, machines) = self.plan_now(now, wall);
        let zones = self.zones_by_type();
        let autoscaler = Autoscaler {
            snapshot: &snapshot,
            plan: &self.plan,
            machine_status: &self.machine_status(&machines, now),
            types: &self.catalog.types,
            zones: &zones,
            refused: &self.offers_to_avoid(now),
            warm_pools: &self.warm_pools(now),
            deadline_jobs_expected: &self.deadline_jobs_expected(now),
            policy: self.scaling_policy(),
        };
        let decision = autoscaler.decide();
        for index in decision.scale_in {
            self.scale_in_idle(&machines[index]);
        }
        decision.scale_out
    }

    /// Age and use of the snapshot's machines, in the snapshot's order.
    fn machine_status(&self, machines: &[MachineId], now: Steady) -> Vec<MachineStatus> {
        let known = machines.iter().filter_map(|id| self.machines.get(id));
        let status = |machine: &Machine| MachineStatus {
            age: machine.age(now),
            idle: (machine.up && machine.tasks.is_empty()).then(|| now - machine.idle_since),
            booting: !machine.up,
        };
        known.map(status).collect()
    }

    /// By machine type: indices of the zones in which the type is offered.
    fn zones_by_type(&mut self) -> Vec<Vec<usize>> {
        let types = self.catalog.types.clone();
        let zones_of = |machine_type: &MachineType| {
            machine_type.zones.iter().map(|name| self.catalog.zone_index(name)).collect()
        };
        types.iter().map(zones_of).collect()
    }

    /// By machine type: whether more jobs with a deadline are expected that may use the type.
    fn deadline_jobs_expected(&self, now: Steady) -> Vec<bool> {
        let expected = |type_index: usize| {
            let recent = || {
                self.recent_jobs.iter().filter(move |job| job.has_deadline && job.types.contains(&type_index))
            };
            self.expects_more_jobs(recent, self.slowest_boot_s(), now)
        };
        (0..self.catalog.types.len()).map(expected).collect()
    }

    /// Offers that the cloud refused recently, and all offers in partitioned zones, since new machines
    /// there could not send heartbeats either.
    fn offers_to_avoid(&self, now: Steady) -> Vec<MachineOffer> {
        let mut offers: Vec<MachineOffer> = self.refused_offers.keys().copied().collect();
        for zone in (0..self.catalog.zones.len()).filter(|zone| self.is_partitioned(*zone, now)) {
            let types = 0..self.catalog.types.len();
            offers
                .extend(types.flat_map(|type_index| {
                    [false, true].map(|spot| MachineOffer { type_index, zone, spot })
                }));
        }
        offers
    }

    /// Whether a zone is most likely cut off by a network partition: most of its machines are silent.
    fn is_partitioned(&self, zone: usize, now: Steady) -> bool {
        let is_silent = |machine: &&Machine| self.is_silent(machine, now);
        let silent = self.machines_up_in(zone).filter(is_silent).count();
        silent >= MIN_SILENT_IN_PARTITIONED_ZONE && silent * 2 > self.machines_up_in(zone).count()
    }

    /// The scaling policy from the operator's settings.
    fn scaling_policy(&self) -> ScalingPolicy {
        let operator = &self.config.operator;
        ScalingPolicy {
            drain_time: Micros::from_secs(operator.drain_s),
            idle_timeout: Micros::from_secs(operator.idle_s),
            warm_idle_timeout: Micros::from_secs(operator.idle_protected_s),
            deadline_idle_timeout: Micros::from_secs(operator.idle_deadline_s),
            max_boot_factor: operator.slow_boot,
        }
    }

    /// Marks a machine for scale in if no task is on it.
    fn scale_in_idle(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.tasks.is_empty()) {
            tracing::info!(machine = %machine.id, reason = "idle", "scale in");
            machine.scaling_in = true;
        }
    }

    /// Records that the cloud refused an offer, so that it is not requested again before `until`.
    pub fn record_refused_offer(&mut self, offer: MachineOffer, until: Steady) {
        self.refused_offers.insert(offer, until);
    }
}
