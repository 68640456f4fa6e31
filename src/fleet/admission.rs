//! The check that a submitted job can ever run in this cluster.

use super::tasks::{task_resources, type_resources};
use crate::config::Config;
use crate::sched::TeamUse;
use crate::wire::{JobSpec, MachineType};

/// Why a job can never run in this cluster. The display text is the reason that the job's user reads. It
/// names the fields of the submission as they are on the wire.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRunnable {
    /// The settings have no team of this name.
    #[error("owner: no team {0}")]
    UnknownTeam(String),
    /// The settings list zones, but none of this name.
    #[error("field: no zone {0}")]
    UnknownZone(String),
    /// A single task needs more resources than any machine type has that the job allows, in the zones that it
    /// allows.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The tasks that must run at once exceed the quota of this team.
    #[error("over the limit of team {0}")]
    OverTeamQuota(String),
}

/// Checks by the settings and the catalog that a job can ever run. The check does not consider whether the
/// cloud has capacity of a type: the leader learns that only when a scale-out is refused, and the capacity
/// may be available again at any time.
///
/// # Errors
///
/// [`NotRunnable`] if the job can never run.
pub fn check_runnable(spec: &JobSpec, config: &Config, types: &[MachineType]) -> Result<(), NotRunnable> {
    let Some(team) = config.team(&spec.team) else {
        return Err(NotRunnable::UnknownTeam(spec.team.clone()));
    };
    if let Some(zone) = &spec.zone {
        let zones = &config.platform.settings.zones;
        if !zones.is_empty() && !zones.contains(zone) {
            return Err(NotRunnable::UnknownZone(zone.clone()));
        }
    }
    if allowed_types(types, spec).is_empty() {
        return Err(NotRunnable::FitsNoMachineType);
    }
    let quota = TeamUse { cpu_quota: team.cpus_max, gpu_quota: team.gpus_max, ..TeamUse::default() };
    // Gangs and services need all their tasks at once; a job array makes progress with one at a time.
    let tasks_at_once = if spec.is_array() { 1 } else { spec.tasks };
    if quota.allowed_tasks(&task_resources(spec)) < tasks_at_once {
        return Err(NotRunnable::OverTeamQuota(spec.team.clone()));
    }
    Ok(())
}

/// The indices of the machine types that a job allows and that its tasks fit on.
pub(super) fn allowed_types(types: &[MachineType], spec: &JobSpec) -> Vec<usize> {
    let need = task_resources(spec);
    let is_allowed = |machine_type: &MachineType| {
        spec.types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
            && spec
                .zone
                .as_ref()
                .is_none_or(|zone| machine_type.zones.is_empty() || machine_type.zones.contains(zone))
            && type_resources(machine_type).fits(&need) > 0
    };
    (0..types.len()).filter(|&index| is_allowed(&types[index])).collect()
}
