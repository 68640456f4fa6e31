//! Which running tasks may be preempted for a class. A pure rule on a task and a class, shared by
//! preemption for room, preemption within a team's quota and service placement; it sits below the
//! planning state so that those modules depend on it, and it on none of them.

use super::{JobClass, MachineSnapshot, PlacedTask};

/// Indices into `room.held` of the tasks that may be preempted for the class, those that lose the
/// least work first.
pub(super) fn preemptible_for(class: &JobClass, room: &MachineSnapshot) -> Vec<usize> {
    let mut victims: Vec<usize> =
        (0..room.placed.len()).filter(|&held| may_preempt(&room.placed[held], class)).collect();
    victims.sort_by_key(|&held| room.placed[held].lost_work);
    victims
}

/// Whether a task may be preempted for the class. A task that goes before the class in the queue by
/// its team's guarantee (fair share) may not: it would be queued again at once, and preempted again.
pub(super) fn may_preempt(task: &PlacedTask, class: &JobClass) -> bool {
    task.preemptible && task.priority < class.priority && (class.within_fair_share || !task.within_fair_share)
}
