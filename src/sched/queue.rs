//! The order in which jobs are considered.

use super::JobClass;

/// The queue's score within a rank: (wait / adjusted time)^3 x size.
pub fn score(class: &JobClass) -> f64 {
    let wait = class.waited.secs().max(0.001);
    let time = class.adjusted_runtime.secs().max(0.001);
    let size = class.need.cpus.max(class.need.gpus).max(0.1) * f64::from(class.count.max(1));
    (wait / time).powi(3) * size
}

/// The queue's order: guaranteed work, then rank, then fewest aims missed, then score.
pub fn order(classes: &[JobClass]) -> Vec<usize> {
    let scores: Vec<f64> = classes.iter().map(score).collect();
    let mut indexes: Vec<usize> = (0..classes.len()).collect();
    indexes.sort_by(|&a, &b| {
        let (x, y) = (&classes[a], &classes[b]);
        (y.within_fair_share, y.queue_priority(), x.missed_objectives)
            .cmp(&(x.within_fair_share, x.queue_priority(), y.missed_objectives))
            .then(scores[b].total_cmp(&scores[a]))
            .then(a.cmp(&b))
    });
    indexes
}
