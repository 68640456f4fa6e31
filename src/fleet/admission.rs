//! Which jobs can run here at all.

use super::*;

/// Why a submission can never run, as far as the settings and the catalogue tell. Whether a type is to
/// be had as an ordinary machine they don't: capacity shows only when a rental is refused, and may be
/// back at any time.
pub fn never_runs(s: &JobSpec, cfg: &Config, types: &[MachineType]) -> Option<String> {
    let Some(team) = cfg.team(&s.team) else {
        return Some(format!("owner: no team {}", s.team));
    };
    if let Some(zone) = &s.zone {
        let zones = &cfg.platform.settings.zones;
        if !zones.is_empty() && !zones.contains(zone) {
            return Some(format!("field: no zone {zone}"));
        }
    }
    let allowed = allowed_types(types, s);
    if allowed.is_empty() {
        return Some("a task fits no allowed machine type".into());
    }
    let limit = TeamUse { cpu_quota: team.cpus_max, gpu_quota: team.gpus_max, ..TeamUse::default() };
    // Gangs and services need all their tasks at once; an array gets on with one at a time.
    let least = if s.is_array() { 1 } else { s.tasks };
    if limit.allows(&need_of(s)) < least {
        return Some(format!("over the limit of team {}", s.team));
    }
    None
}
