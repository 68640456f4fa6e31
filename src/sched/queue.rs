//! The queue: the order in which job classes are planned.

use std::cmp::Reverse;

use super::snapshot::JobClass;
use crate::wire::Priority;

/// Lower bound, in seconds, of the times in the score.
const LEAST_SCORED_SECONDS: f64 = 0.001;

/// Lower bound of a task's size in the score, in processors or GPUs.
const LEAST_SCORED_SIZE: f64 = 0.1;

/// Classes of one group differ in the queue by their score only. Groups compare by their fields in this
/// order, and the lesser goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueGroup {
    /// Work within its team's fair share goes first.
    within_fair_share: Reverse<bool>,
    /// Then the higher priority.
    priority: Reverse<Priority>,
    /// Then the class that has missed fewer of its objectives.
    missed_objectives: u8,
}

impl QueueGroup {
    /// The class's group.
    pub(super) fn of(class: &JobClass) -> QueueGroup {
        QueueGroup {
            within_fair_share: Reverse(class.within_fair_share),
            priority: Reverse(class.queue_priority()),
            missed_objectives: class.missed_objectives,
        }
    }
}

/// The score within a group, Eq. 5 of the paper: (wait / adjusted run time)^3 x size. The size is that
/// of the tasks that could start, in processors or GPUs, whichever are more.
pub fn score(class: &JobClass) -> f64 {
    let wait = class.waited.secs().max(LEAST_SCORED_SECONDS);
    let runtime = class.adjusted_runtime.secs().max(LEAST_SCORED_SECONDS);
    let task_size = class.need.cpus.max(class.need.gpus).max(LEAST_SCORED_SIZE);
    let size = task_size * f64::from(class.startable_tasks.max(1));
    (wait / runtime).powi(3) * size
}

/// The queue: indices into `classes` by fair share, priority, missed objectives and score; of equal
/// classes the first one goes first.
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
