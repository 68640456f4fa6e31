//! How many tasks of a class may go to a zone.

use super::snapshot::JobClass;

/// How many more tasks of the class may be placed in the zone, when `tasks_by_zone` are placed already.
pub(super) fn zone_allowance(class: &JobClass, tasks_by_zone: &[u32], zone: usize) -> u32 {
    if class.one_zone && has_tasks_elsewhere(tasks_by_zone, zone) {
        return 0;
    }
    if class.spread {
        let placed = tasks_by_zone.get(zone).copied().unwrap_or(0);
        return half_of_tasks(class).saturating_sub(placed);
    }
    u32::MAX
}

/// Half of the tasks of the class, rounded up: the most of a spread job in one zone.
pub(super) fn half_of_tasks(class: &JobClass) -> u32 {
    class.tasks.div_ceil(2)
}

/// Whether any zone but this one has tasks.
fn has_tasks_elsewhere(tasks_by_zone: &[u32], zone: usize) -> bool {
    tasks_by_zone.iter().enumerate().any(|(other, &count)| other != zone && count > 0)
}
