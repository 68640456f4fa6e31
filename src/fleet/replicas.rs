//! Replicas of services: backoff after a replica has ended, the machines that new replicas avoid, and
//! starts of waiting replicas.

use std::collections::BTreeMap;

use super::start_check::is_at_least_half_of_tasks;
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::sched::{self, MachineSnapshot, PlacedTask, Plan, ReportingMachine, Snapshot};
use crate::time::{Micros, Steady};
use crate::wire::{ExitReason, WorkerCommand};

/// A replica that ends by itself after less than this time counts as a failure of its service.
const MIN_HEALTHY_LIFETIME: Micros = Micros::from_millis(30_000);
/// How long a service avoids a machine on which one of its replicas has ended by itself.
const AVOID_MACHINE_FOR: Micros = Micros::from_millis(60_000);
/// The work that counts as lost when a replica is preempted, as run time on its processors: it stands for the
/// cost of the interruption to the service's users.
pub(super) const PREEMPTED_REPLICA_COST: Micros = Micros::from_millis(60_000);

/// A service with replicas that wait for a start.
#[derive(Debug)]
pub(super) struct WaitingService {
    /// Index of the service's class in the latest plan.
    class: usize,
    /// How long after the plan was made its replicas are expected to run by that plan; `None` if the plan has
    /// no machine for one of them.
    planned: Option<Micros>,
}

impl Fleet {
    /// Applies the end of a replica to its service. If the replica ended by itself, the service avoids the
    /// machine for some time, and it is backed off if the replica lived only shortly, so that a faulty
    /// service does not occupy capacity.
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
        if lifetime >= MIN_HEALTHY_LIFETIME {
            job.record_success();
            return;
        }
        job.record_failure(machine, now);
    }

    /// Machines, by their index in the snapshot, that a service's next replica should avoid: machines that
    /// have a replica of the service, and machines on which one has recently ended by itself.
    pub(super) fn machines_to_avoid(
        &self,
        job: &Job,
        machine_index: &BTreeMap<&MachineId, usize>,
    ) -> Vec<usize> {
        let with_replica = job.placements.values().flatten();
        let avoided = with_replica.chain(job.vacated.keys());
        avoided.filter_map(|id| machine_index.get(id).copied()).collect()
    }

    /// Lets services use machines again on which their replicas ended more than `AVOID_MACHINE_FOR` ago.
    pub(super) fn forget_old_vacated_machines(&mut self, now: Steady) {
        for job in self.jobs.values_mut() {
            job.vacated.retain(|_, left_at| now - *left_at < AVOID_MACHINE_FOR);
        }
    }

    /// Records which services have replicas that wait for a start, and when these are expected to run by
    /// the plan.
    pub(super) fn update_waiting_services(&mut self, snapshot: &Snapshot, plan: &Plan) {
        let mut waiting: BTreeMap<usize, Option<Micros>> = BTreeMap::new();
        for start in &plan.starts {
            let class = &snapshot.classes[start.class];
            if class.replica_machines.is_some() {
                let planned = waiting.entry(start.class).or_default();
                *planned = (*planned).max(Some(sched::start_delay(class, &snapshot.machines[start.machine])));
            }
        }
        let unplaced =
            plan.unplaced.iter().filter(|(class, _)| snapshot.classes[*class].replica_machines.is_some());
        waiting.extend(unplaced.map(|(class, _)| (*class, None)));
        let services = waiting.into_iter();
        self.waiting_services = services.map(|(class, planned)| WaitingService { class, planned }).collect();
    }

    /// Starts waiting replicas on a machine whose heartbeat is being answered, if they run sooner there
    /// than on the machines that the plan has chosen for them.
    pub(super) fn start_replicas(&mut self, id: &MachineId, now: Steady, commands: &mut Vec<WorkerCommand>) {
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
            self.start_tasks(&job, 1, id, now, commands);
        }
    }

    /// The job of a waiting service, if its next replica runs sooner on this machine than by the plan.
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
            zone_has_half_of_replicas: is_at_least_half_of_tasks(in_zone, &job.spec),
        };
        let since_plan = now - self.planned_at;
        reporting.should_start(class, service.planned.map(|planned| planned - since_plan)).then_some(job_id)
    }
}
