//! Which placed tasks may be preempted for a class: a rule on a task and a class alone, shared by
//! preemption for capacity, preemption within a team's quota and service placement.

use super::snapshot::{JobClass, MachineSnapshot, PlacedTask};

/// Indices into `machine.placed` of the tasks that may be preempted for the class, those that lose the
/// least work first.
pub(super) fn preemptible_for(class: &JobClass, machine: &MachineSnapshot) -> Vec<usize> {
    let placed = &machine.placed;
    let mut victims: Vec<usize> =
        (0..placed.len()).filter(|&task| may_preempt(&placed[task], class)).collect();
    victims.sort_by_key(|&task| placed[task].lost_work);
    victims
}

/// Whether a task may be preempted for the class. A task that goes before the class in the queue by
/// its team's fair share may not: it would be queued again at once, and preempted again.
pub(super) fn may_preempt(task: &PlacedTask, class: &JobClass) -> bool {
    let yields_fair_share = class.within_fair_share || !task.within_fair_share;
    task.preemptible && task.priority < class.priority && yields_fair_share
}
