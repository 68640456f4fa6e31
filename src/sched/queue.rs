//! The queue: the order in which job classes are planned.

use std::cmp::Reverse;

use super::snapshot::JobClass;
use crate::wire::Priority;

/// Lower bound, in seconds, of the wait and run times in the score.
const MIN_SCORED_SECONDS: f64 = 0.001;

/// Lower bound of a task's size in the score, in processors or GPUs.
const MIN_SCORED_SIZE: f64 = 0.1;

/// A group of classes whose order in the queue depends on their scores only. Groups compare by their fields
/// in the order of declaration, and the smallest group goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueGroup {
    /// Work within its team's fair share goes first.
    within_fair_share: Reverse<bool>,
    /// Then the higher priority goes first.
    priority: Reverse<Priority>,
    /// Then the class that has missed fewer of its objectives goes first.
    missed_objectives: u8,
}

impl QueueGroup {
    /// The group that the class belongs to.
    pub(super) fn of(class: &JobClass) -> QueueGroup {
        QueueGroup {
            within_fair_share: Reverse(class.within_fair_share),
            priority: Reverse(class.queue_priority()),
            missed_objectives: class.missed_objectives,
        }
    }
}

/// The score within a group, Eq. 5 of the paper: (wait / adjusted run time)^3 x size. The size is the total
/// of the startable tasks, in processors or GPUs, whichever is larger.
pub fn score(class: &JobClass) -> f64 {
    let wait = class.waited.secs().max(MIN_SCORED_SECONDS);
    let runtime = class.adjusted_runtime.secs().max(MIN_SCORED_SECONDS);
    let task_size = class.need.cpus.max(class.need.gpus).max(MIN_SCORED_SIZE);
    let size = task_size * f64::from(class.startable_tasks.max(1));
    (wait / runtime).powi(3) * size
}

/// The order of the queue: indices into `classes`, sorted by fair share, priority, missed objectives and
/// score. Classes that are equal in all of these keep their order in `classes`.
pub fn queue_order(classes: &[JobClass]) -> Vec<usize> {
    let scores: Vec<f64> = classes.iter().map(score).collect();
    let mut queue: Vec<usize> = (0..classes.len()).collect();
    queue.sort_by(|&a, &b| {
        let by_group = QueueGroup::of(&classes[a]).cmp(&QueueGroup::of(&classes[b]));
        let by_score = scores[b].total_cmp(&scores[a]);
        by_group.then(by_score).then(a.cmp(&b))
    });
    queue
}
