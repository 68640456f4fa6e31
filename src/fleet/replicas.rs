//! Replicas of services: what happens when one ends or waits for a start.

use std::collections::BTreeMap;

use super::start_check::is_half_of_tasks;
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::sched::{self, MachineSnapshot, PlacedTask, Plan, ReportingMachine, Snapshot};
use crate::time::{Micros, Steady};
use crate::wire::{ExitReason, WorkerCommand};

/// A replica that lived for less than this counts as a failure of its service.
const MIN_HEALTHY_LIFE: Micros = Micros::from_millis(30_000);
/// A machine that a replica has left by itself is avoided by its service for this long.
const AVOID_MACHINE_FOR: Micros = Micros::from_millis(60_000);
/// Preempting a replica costs its users as much as this much lost work of its size.
pub(super) const PREEMPTED_REPLICA_COST: Micros = Micros::from_millis(60_000);

/// A service with replicas that wait for a start.
#[derive(Debug)]
pub(super) struct WaitingService {
    /// Its class in the latest plan.
    class: usize,
    /// How long after that plan its replicas would run by it, if it has a place for them.
    planned: Option<Micros>,
}

impl Fleet {
    /// A replica has ended, for whatever reason: it runs again elsewhere. A service whose replicas
    /// end soon after they began is backed off, so that a faulty one does not hold capacity.
    pub(super) fn replica_ended(
        &mut self,
        job: &JobId,
        machine: &MachineId,
        reason: ExitReason,
        lifetime: Micros,
        now: Steady,
    ) {
        let Some(job) = self.jobs.get_mut(job) else { return };
        if !matches!(
            reason,
            ExitReason::Done | ExitReason::Error | ExitReason::UnknownTask | ExitReason::Other
        ) {
            return;
        }
        job.vacated.insert(machine.clone(), now);
        if lifetime >= MIN_HEALTHY_LIFE {
            job.record_success();
            return;
        }
        job.record_failure(machine, now);
    }

    /// Machines, by their index in the snapshot, that a service's next replica should avoid: those
    /// with a replica and those that one has left recently.
    pub(super) fn machines_to_avoid(
        &self,
        job: &Job,
        machine_index: &BTreeMap<&MachineId, usize>,
    ) -> Vec<usize> {
        let with_replica = job.placements.values().flatten();
        let avoided = with_replica.chain(job.vacated.keys());
        avoided.filter_map(|id| machine_index.get(id).copied()).collect()
    }

    /// Forgets which machines replicas have left long ago.
    pub(super) fn forget_vacated(&mut self, now: Steady) {
        for job in self.jobs.values_mut() {
            job.vacated.retain(|_, left_at| now - *left_at < AVOID_MACHINE_FOR);
        }
    }

    /// Notes which services have replicas waiting, and when they would run by the plan.
    pub(super) fn note_waiting_services(&mut self, snapshot: &Snapshot, plan: &Plan) {
        let mut waiting: BTreeMap<usize, Option<Micros>> = BTreeMap::new();
        for start in &plan.starts {
            let class = &snapshot.classes[start.class];
            if class.replica_machines.is_some() {
                let planned = waiting.entry(start.class).or_default();
                *planned = (*planned).max(Some(sched::start_delay(class, &snapshot.machines[start.machine])));
            }
        }
        let unmet =
            plan.unmet.iter().filter(|(class, _)| snapshot.classes[*class].replica_machines.is_some());
        waiting.extend(unmet.map(|(class, _)| (*class, None)));
        let services = waiting.into_iter();
        self.waiting_services = services.map(|(class, planned)| WaitingService { class, planned }).collect();
    }

    /// Starts waiting replicas on a machine that has just sent a heartbeat, if they run sooner here than
    /// where the plan has them.
    pub(super) fn start_replicas(&mut self, id: &MachineId, now: Steady, orders: &mut Vec<WorkerCommand>) {
        if self.waiting_services.is_empty() {
            return;
        }
        let Some(mut machine) = self.machine_for_starts(id, now) else { return };
        let mut chosen = Vec::new();
        for service in &self.waiting_services {
            if let Some(job) = self.service_that_runs_sooner(service, id, &machine, now) {
                let class = &self.planned_snapshot.classes[service.class];
                machine.free = machine.free.minus(&class.need, 1);
                machine.placed.push(PlacedTask::replica(class));
                chosen.push(job.clone());
            }
        }
        for job in chosen {
            self.start_tasks(&job, 1, id, now, orders);
        }
    }

    /// The job of a waiting service if its next replica runs sooner on this machine than by the plan.
    fn service_that_runs_sooner(
        &self,
        service: &WaitingService,
        id: &MachineId,
        machine: &MachineSnapshot,
        now: Steady,
    ) -> Option<&JobId> {
        let class = self.planned_snapshot.classes.get(service.class)?;
        let job_id = self.planned_jobs.get(service.class)?;
        let job = self.jobs.get(job_id)?;
        let is_avoided = job.placements.values().flatten().any(|at| at == id) || job.vacated.contains_key(id);
        if is_avoided || job.waiting.is_empty() {
            return None;
        }
        let in_zone = self.placements_by_zone(job).get(machine.zone).copied().unwrap_or(0);
        let reporting = ReportingMachine {
            machine,
            headroom: self
                .planned_snapshot
                .headroom_for(machine.machine_type, machine.spot)
                .map(|headroom| headroom.need),
            crowded_zone: is_half_of_tasks(in_zone, &job.spec),
        };
        let since_plan = now - self.planned_at;
        reporting.runs_sooner(class, service.planned.map(|planned| planned - since_plan)).then_some(job_id)
    }
}
