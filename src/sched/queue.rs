//! The order in which jobs are considered.

use super::Class;

/// The queue's score within a rank: (wait / adjusted time)^3 x size.
pub fn score(c: &Class) -> f64 {
    let wait = c.waited.secs().max(0.001);
    let time = c.adjusted.secs().max(0.001);
    let size = c.need.cpus.max(c.need.gpus).max(0.1) * f64::from(c.count.max(1));
    (wait / time).powi(3) * size
}

/// The queue's order: guaranteed work, then rank, then fewest aims lost, then score.
pub fn order(classes: &[Class]) -> Vec<usize> {
    let mut by: Vec<(usize, f64)> = classes.iter().map(score).enumerate().collect();
    by.sort_by(|a, b| {
        let (x, y) = (&classes[a.0], &classes[b.0]);
        (y.guaranteed, y.queue_rank(), x.missed_aims)
            .cmp(&(x.guaranteed, x.queue_rank(), y.missed_aims))
            .then(b.1.total_cmp(&a.1))
            .then(a.0.cmp(&b.0))
    });
    by.into_iter().map(|x| x.0).collect()
}
