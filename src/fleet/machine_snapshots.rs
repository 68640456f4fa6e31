//! Snapshots of the machines and of the tasks on them, which are the planner's input.

use std::collections::BTreeMap;

use super::replicas::PREEMPTED_REPLICA_COST;
use super::{stated_run_time, task_resources, Fleet, Machine, TaskEntry, TaskKey};
use crate::jobs::MachineId;
use crate::sched::{MachineSnapshot, PlacedTask, Resources};
use crate::time::{Micros, Steady};
use crate::wire::{JobSpec, MachineType, Priority, TaskStage};

/// After this many heartbeat intervals without a heartbeat a machine does not accept starts.
const MAX_SILENT_INTERVALS: f64 = 2.5;

/// A silent machine is expected to accept starts again this many heartbeat intervals from now.
const SILENT_ACCEPTS_IN_INTERVALS: f64 = 3.0;

/// A machine is expected to be up after this many times the boot time of its type.
const EXPECTED_BOOT_FACTOR: f64 = 1.1;

/// Minimum time until a booting machine is expected to be up.
const MIN_REMAINING_BOOT_TIME: Micros = Micros(2_000_000);

/// Seconds that the planner adds to a machine's start delay for each job of which a task failed there.
const PENALTY_PER_FAILED_JOB_S: f64 = 10.0;

/// Run time that is assumed for a task whose job is not known, in seconds.
const UNKNOWN_RUN_TIME_S: f64 = 60.0;

/// Time that is added to the remaining run time of a task that may still be fetching its image, in seconds.
const IMAGE_FETCH_TIME_S: f64 = 5.0;

/// A task is expected to run on for at least this share of its stated run time, even if it has run for longer
/// than stated.
const OVERRUN_REMAINING_SHARE: f64 = 0.1;

/// Minimum time that any task is expected to run on, in seconds.
const MIN_REMAINING_RUN_TIME_S: f64 = 1.0;

/// Minimum number of processors in computations of prices per processor and of lost work.
const MIN_CPUS: f64 = 0.1;

/// Prices per processor are compared as integers, in thousandths of the catalog's unit.
const CPU_PRICE_SCALE: f64 = 1e3;

/// Capacity of a machine that is reserved for gang tasks whose starts have not been sent.
#[derive(Clone, Copy, Default)]
struct ReservedPlaces {
    /// Number of these tasks.
    tasks: u32,
    /// Resources that these tasks take together.
    need: Resources,
}

impl Fleet {
    /// Snapshots of the machines that the planner may use, and the machines' ids in the same order.
    pub(super) fn machine_snapshots(&self, now: Steady) -> (Vec<MachineSnapshot>, Vec<MachineId>) {
        let reserved = self.reserved_gang_places();
        let (mut snapshots, mut ids) = (Vec::new(), Vec::new());
        for machine in self.machines.values() {
            let is_gone = machine.scaling_in || machine.lease_expired || machine.missing;
            if is_gone || !machine.acknowledged || (machine.up && machine.has_unknown_use()) {
                continue;
            }
            let places = reserved.get(&machine.id).copied().unwrap_or_default();
            if let Some(snapshot) = self.snapshot_without_reserved(places, machine, now) {
                snapshots.push(snapshot);
                ids.push(machine.id.clone());
            }
        }
        (snapshots, ids)
    }

    /// By machine: the capacity that is reserved for gang tasks whose starts have not been sent.
    fn reserved_gang_places(&self) -> BTreeMap<&MachineId, ReservedPlaces> {
        let mut reserved: BTreeMap<&MachineId, ReservedPlaces> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(gang) = &job.gang else { continue };
            for (_, machine) in gang.unsent_places() {
                let places = reserved.entry(machine).or_default();
                places.tasks += 1;
                places.need = places.need.plus(&task_resources(&job.spec), 1);
            }
        }
        reserved
    }

    /// The planner's snapshot of a machine on which no capacity is reserved; `None` if its type is not known.
    pub(super) fn machine_snapshot(&self, machine: &Machine, now: Steady) -> Option<MachineSnapshot> {
        self.snapshot_without_reserved(ReservedPlaces::default(), machine, now)
    }

    /// The planner's snapshot of a machine, without the capacity `reserved` on it; `None` if the machine's
    /// type is not known.
    fn snapshot_without_reserved(
        &self,
        reserved: ReservedPlaces,
        machine: &Machine,
        now: Steady,
    ) -> Option<MachineSnapshot> {
        let type_index = machine.type_index?;
        let machine_type = &self.catalog.types[type_index];
        let total = self.type_capacity(type_index);
        let free = machine.free(total);
        let price = match machine_type.spot_price {
            Some(spot_price) if machine.spot => spot_price,
            _ => machine_type.price,
        };
        let max_silence = self.heartbeat_interval().scale(MAX_SILENT_INTERVALS);
        let live_tasks = machine.tasks.iter().filter(|(_, task)| task.is_live());
        Some(MachineSnapshot {
            machine_type: type_index,
            zone: machine.zone,
            spot: machine.spot,
            total,
            free: if reserved.tasks > 0 { free.minus(&reserved.need, 1) } else { free },
            accepts_starts: machine.is_usable(now) && now - machine.heartbeat_at < max_silence,
            accepts_starts_in: self.accepts_starts_in(machine, machine_type, now),
            images: machine.images.iter().map(|image| image.image).collect(),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            cpu_price: (price / machine_type.cpus.max(MIN_CPUS) * CPU_PRICE_SCALE) as i64,
            failure_penalty: Micros::from_secs(PENALTY_PER_FAILED_JOB_S * machine.failed_jobs.len() as f64),
            reclaimed_in: machine.interruption_at.map(|notice| notice - now),
            placed: live_tasks.map(|(key, task)| self.placed_task(key, task, now)).collect(),
        })
    }

    /// Expected time until a machine accepts starts: until its next heartbeat, or until it has booted. Zero
    /// while the reply to a heartbeat is deferred, since a start can then be sent at once.
    fn accepts_starts_in(&self, machine: &Machine, machine_type: &MachineType, now: Steady) -> Micros {
        if !machine.up {
            let boot = Micros::from_secs(machine_type.boot_s).scale(EXPECTED_BOOT_FACTOR);
            return (boot - (machine.age_when_known + (now - machine.known_since)))
                .max(MIN_REMAINING_BOOT_TIME);
        }
        let heartbeat_interval = self.heartbeat_interval();
        let silent = now - machine.heartbeat_at;
        if silent > heartbeat_interval.scale(MAX_SILENT_INTERVALS) {
            heartbeat_interval.scale(SILENT_ACCEPTS_IN_INTERVALS)
        } else if now < machine.reply_deferred_until {
            Micros::ZERO
        } else {
            (heartbeat_interval - silent).max(Micros::ZERO)
        }
    }

    /// The planner's view of a task on a machine.
    fn placed_task(&self, key: &TaskKey, task: &TaskEntry, now: Steady) -> PlacedTask {
        let spec = self.jobs.get(&key.job).map(|job| &job.spec);
        let is_service = spec.is_some_and(|spec| spec.is_service());
        let is_preemptible = spec.is_some_and(|spec| !spec.is_gang() || spec.tasks == 1);
        PlacedTask {
            need: task.need.unwrap_or_default(),
            priority: spec.map_or(Priority::Idle, |spec| spec.priority),
            within_fair_share: self.within_fair_share.contains(&key.job),
            team: spec.and_then(|spec| self.team_settings(&spec.team)).map_or(usize::MAX, |(index, _)| index),
            remaining: self.remaining_run_time(task, spec, now),
            lost_work: lost_work(task, spec, now),
            preemptible: task.stop_grace_s.is_none() && is_preemptible,
            stopping: task.stop_grace_s.is_some(),
            is_replica: is_service,
        }
    }

    /// Expected remaining run time of a task, from its stated run time. At least a tenth of the stated run
    /// time is expected to remain, even if the task has run for longer, and at least a second.
    pub(super) fn remaining_run_time(&self, task: &TaskEntry, spec: Option<&JobSpec>, now: Steady) -> Micros {
        let stated = spec.map_or(Micros::from_secs(UNKNOWN_RUN_TIME_S), stated_run_time);
        let may_fetch = matches!(task.stage, None | Some(TaskStage::Fetching | TaskStage::Waiting));
        let fetch = Micros::from_secs(if may_fetch { IMAGE_FETCH_TIME_S } else { 0.0 });
        let left = stated - (now - task.running_since.unwrap_or(task.since)) + fetch;
        left.max(stated.scale(OVERRUN_REMAINING_SHARE)).max(Micros::from_secs(MIN_REMAINING_RUN_TIME_S))
    }
}

/// Work that is lost if a task is preempted now, in processor time; none if the task saves checkpoints.
fn lost_work(task: &TaskEntry, spec: Option<&JobSpec>, now: Steady) -> Micros {
    if spec.is_some_and(|spec| spec.checkpoint_s > 0.0) {
        return Micros::ZERO;
    }
    // The time that the task has spent fetching its image counts as well. Otherwise the tasks of a wide job
    // might always be preempted soon after they were placed, and the job would never get beyond fetching.
    let since_start = now - task.since;
    let is_service = spec.is_some_and(|spec| spec.is_service());
    let lost = if is_service { PREEMPTED_REPLICA_COST } else { since_start };
    lost.scale(task.need.map_or(1.0, |need| need.cpus.max(MIN_CPUS)))
}
