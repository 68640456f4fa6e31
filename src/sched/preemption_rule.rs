//! The rule that decides which placed tasks may be preempted for a class. It is shared by preemption for
//! capacity, preemption within a team's quota and service placement, and depends only on the task and the
//! class.

use super::snapshot::{JobClass, MachineSnapshot, PlacedTask};

/// Indices into `machine.placed` of the tasks that may be preempted for the class, those that lose the least
/// work first.
pub(super) fn preemptible_for(class: &JobClass, machine: &MachineSnapshot) -> Vec<usize> {
    let placed = &machine.placed;
    let mut victims: Vec<usize> =
        (0..placed.len()).filter(|&task| may_preempt(&placed[task], class)).collect();
    victims.sort_by_key(|&task| placed[task].lost_work);
    victims
}

/// Whether a task may be preempted for the class. A task within its team's fair share may not be preempted
/// for a class that exceeds its own team's fair share: the task goes before such a class in the queue, so it
/// would start again at once and be preempted again.
pub(super) fn may_preempt(task: &PlacedTask, class: &JobClass) -> bool {
    let respects_fair_share = class.within_fair_share || !task.within_fair_share;
    task.preemptible && task.priority < class.priority && respects_fair_share
}
