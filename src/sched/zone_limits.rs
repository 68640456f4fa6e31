//! Zone limits: how many tasks of a class may be placed in a zone.

use super::snapshot::JobClass;

/// How many more tasks of the class may be placed in the zone, given the number of its tasks already placed
/// in each zone (`tasks_by_zone`). `u32::MAX` if the zone is not limited.
pub(super) fn zone_allowance(class: &JobClass, tasks_by_zone: &[u32], zone: usize) -> u32 {
    if class.one_zone && has_tasks_in_other_zones(tasks_by_zone, zone) {
        return 0;
    }
    if class.spread {
        let placed = tasks_by_zone.get(zone).copied().unwrap_or(0);
        return half_of_tasks(class).saturating_sub(placed);
    }
    u32::MAX
}

/// Half of the class's tasks, rounded up: the most tasks that a job with `spread` may have in one zone.
pub(super) fn half_of_tasks(class: &JobClass) -> u32 {
    class.tasks.div_ceil(2)
}

/// Whether any other zone has tasks.
fn has_tasks_in_other_zones(tasks_by_zone: &[u32], zone: usize) -> bool {
    tasks_by_zone.iter().enumerate().any(|(other, &count)| other != zone && count > 0)
}
