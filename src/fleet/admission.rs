//! Which jobs can run in this cluster at all.

use super::tasks::{task_resources, type_resources};
use crate::config::Config;
use crate::sched::TeamUse;
use crate::wire::{JobSpec, MachineType};

/// Why a submission can never run, by the settings and the catalog, as its user is told; `None` if it
/// can. Whether the cloud has capacity of a type they do not show: that is known only when a scale-out is
/// refused, and capacity may be back at any time.
pub fn never_runs(spec: &JobSpec, config: &Config, types: &[MachineType]) -> Option<String> {
    let Some(team) = config.team(&spec.team) else {
        return Some(format!("owner: no team {}", spec.team));
    };
    if let Some(zone) = &spec.zone {
        let zones = &config.platform.settings.zones;
        if !zones.is_empty() && !zones.contains(zone) {
            return Some(format!("field: no zone {zone}"));
        }
    }
    if allowed_types(types, spec).is_empty() {
        return Some("a task fits no allowed machine type".into());
    }
    let quota = TeamUse { cpu_quota: team.cpus_max, gpu_quota: team.gpus_max, ..TeamUse::default() };
    // Gangs and services need all their tasks at once; a job array makes progress with one at a time.
    let tasks_at_once = if spec.is_array() { 1 } else { spec.tasks };
    if quota.allows(&task_resources(spec)) < tasks_at_once {
        return Some(format!("over the limit of team {}", spec.team));
    }
    None
}

/// Types, by index, that a job allows and its tasks fit.
pub(super) fn allowed_types(types: &[MachineType], spec: &JobSpec) -> Vec<usize> {
    let need = task_resources(spec);
    let is_allowed = |machine_type: &MachineType| {
        spec.types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
            && spec
                .zone
                .as_ref()
                .is_none_or(|z| machine_type.zones.is_empty() || machine_type.zones.contains(z))
            && type_resources(machine_type).fits(&need) > 0
    };
    (0..types.len()).filter(|&index| is_allowed(&types[index])).collect()
}
