//! Replicas that leave a spot machine before it is reclaimed, and the machines that they can move to.

use std::collections::BTreeMap;

use super::{task_resources, Fleet, Machine, TaskKey};
use crate::jobs::{Job, JobId, MachineId};
use crate::sched::Resources;
use crate::time::{Micros, Steady};

/// Replicas on a spot machine are stopped at the latest this many heartbeat intervals before the machine is
/// reclaimed.
const MOVE_LEAD_INTERVALS: f64 = 1.5;

impl Fleet {
    /// Replicas that are to be stopped now because their spot machine is about to be reclaimed. A replica
    /// is stopped as soon as another machine has capacity for it and its image in the cache, and otherwise
    /// at the last moment.
    pub(super) fn replicas_to_move(&self, now: Steady) -> Vec<(MachineId, TaskKey)> {
        let last_moment =
            Micros::from_secs(self.config.platform.settings.workers.report_s * MOVE_LEAD_INTERVALS);
        let mut reservations = ReplicaReservations::default();
        let mut moves = Vec::new();
        for machine in self.machines.values() {
            let Some(notice) = machine.interruption_at else { continue };
            for (key, task) in
                machine.tasks.iter().filter(|(_, task)| task.is_live() && task.stop_grace_s.is_none())
            {
                let Some(job) = self.jobs.get(&key.job).filter(|job| job.spec.is_service()) else {
                    continue;
                };
                if task.stage.is_none() {
                    continue;
                }
                let replacement = self.replacement(job, &reservations, now);
                if let Some(to) = &replacement {
                    reservations.add(to, &job.id, task_resources(&job.spec));
                }
                if replacement.is_some() || notice - now < last_moment {
                    moves.push((machine.id.clone(), key.clone()));
                }
            }
        }
        moves
    }

    /// A machine that can take over a replica. It must have the replica's image in its cache and enough free
    /// capacity that is not reserved for other replicas. No replica of the same service may be on the
    /// machine or about to move there.
    fn replacement(&self, job: &Job, reservations: &ReplicaReservations, now: Steady) -> Option<MachineId> {
        let spec = &job.spec;
        let types = self.allowed_types(spec);
        let need = task_resources(spec);
        let image = spec.image.as_ref().and_then(|name| self.catalog.images.get(name));
        let is_replacement = |machine: &&Machine| {
            let type_index = machine.type_index.filter(|index| types.contains(index));
            let free =
                type_index.map(|index| reservations.free(machine, machine.free(self.type_capacity(index))));
            let has_image =
                spec.image.is_none() || machine.images.iter().any(|cached| Some(&cached.image) == image);
            let has_replica = job.placements.values().flatten().any(|at| *at == machine.id)
                || reservations.has(&machine.id, &job.id);
            free.is_some_and(|free| free.fits(&need) > 0)
                && has_image
                && self.zone_and_kind_allowed(machine, spec)
                && machine.is_usable(now)
                && machine.interruption_at.is_none()
                && !has_replica
        };
        self.machines.values().find(is_replacement).map(|machine| machine.id.clone())
    }
}

/// By machine: the services and resources of replicas that are about to move there, so that two moves do not
/// count on the same free capacity.
#[derive(Default)]
struct ReplicaReservations(BTreeMap<MachineId, Vec<(JobId, Resources)>>);

impl ReplicaReservations {
    fn add(&mut self, machine: &MachineId, job: &JobId, need: Resources) {
        self.0.entry(machine.clone()).or_default().push((job.clone(), need));
    }

    /// The part of a machine's free capacity that is not reserved.
    fn free(&self, machine: &Machine, free: Resources) -> Resources {
        let reserved = self.0.get(&machine.id).into_iter().flatten();
        reserved.fold(free, |free, (_, need)| free.minus(need, 1))
    }

    /// Whether a replica of the service is about to move to the machine.
    fn has(&self, machine: &MachineId, job: &JobId) -> bool {
        self.0.get(machine).into_iter().flatten().any(|(reserved_for, _)| reserved_for == job)
    }
}
