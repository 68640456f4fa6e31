//! Notices of confirmed cancellations that are still to be sent to the other controllers.
//!
//! The controller that confirms a cancellation to a user repeats a notice to each of the others until
//! it is acknowledged, so that the leader stops the tasks at once, in contact with the state store or
//! not. A notice only ever stops work. It comes on top of the staleness bound of
//! [`crate::store_contact`], which holds without it.

use std::collections::VecDeque;

use crate::time::{Micros, Steady};

/// A confirmed cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancellation {
    /// The job's id.
    pub id: String,
    /// Its number of tasks.
    pub tasks: u32,
    /// The revision at which its live record was removed.
    pub revision: u64,
    /// When it was confirmed by this controller.
    pub confirmed_at: Steady,
}

/// Most notices that wait for one controller; beyond it the oldest are dropped.
const MAX_WAITING: usize = 4_000;
/// Most notices in one message.
const MAX_BATCH: usize = 200;

/// The notices to send to one controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticeBatch {
    /// Number of the controller among the others.
    pub to: usize,
    /// The cancellations, oldest first.
    pub cancellations: Vec<Cancellation>,
}

/// The notices that each of the other controllers has not acknowledged yet.
#[derive(Debug)]
pub struct CancellationNotices {
    /// By number of the controller, oldest first.
    waiting: Vec<VecDeque<Cancellation>>,
    max_age: Micros,
}

impl CancellationNotices {
    /// No notices yet, for so many other controllers. A notice is dropped after `max_age`, when the
    /// staleness bound has ended all that it could stop.
    pub fn new(other_controllers: usize, max_age: Micros) -> CancellationNotices {
        CancellationNotices { waiting: vec![VecDeque::new(); other_controllers], max_age }
    }

    /// Adds a notice for all other controllers.
    pub fn add(&mut self, cancellation: &Cancellation) {
        for queue in &mut self.waiting {
            if queue.iter().any(|waiting| waiting.id == cancellation.id) {
                continue;
            }
            if queue.len() >= MAX_WAITING {
                queue.pop_front();
            }
            queue.push_back(cancellation.clone());
        }
    }

    /// The notices to send now, a batch for each controller that has some waiting.
    pub fn due(&mut self, now: Steady) -> Vec<NoticeBatch> {
        let mut batches = Vec::new();
        for (to, queue) in self.waiting.iter_mut().enumerate() {
            queue.retain(|cancellation| now - cancellation.confirmed_at <= self.max_age);
            if !queue.is_empty() {
                batches
                    .push(NoticeBatch { to, cancellations: queue.iter().take(MAX_BATCH).cloned().collect() });
            }
        }
        batches
    }

    /// Removes notices that a controller has acknowledged.
    pub fn remove_acknowledged(&mut self, by: usize, acknowledged: &[Cancellation]) {
        if let Some(queue) = self.waiting.get_mut(by) {
            queue.retain(|waiting| !acknowledged.iter().any(|known| known.id == waiting.id));
        }
    }

    /// Whether all controllers have acknowledged all notices.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }
}
