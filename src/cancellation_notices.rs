//! Notices of confirmed cancellations that other controllers have not acknowledged yet.
//!
//! The controller that confirms a cancellation to a user sends a notice to each other controller, and
//! repeats it until it is acknowledged. The leader can then stop the tasks at once, even if it has no
//! contact with the state store. A notice only ever stops tasks. Notices are an addition to the staleness
//! bound of [`crate::store_contact`], which does not depend on them.

use std::collections::VecDeque;

use crate::time::{Micros, Steady};

/// A cancellation that this controller has confirmed to a user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancellation {
    /// The job's id.
    pub id: String,
    /// The job's number of tasks.
    pub tasks: u32,
    /// The revision at which the job's live record was deleted.
    pub revision: u64,
    /// When this controller confirmed the cancellation.
    pub confirmed_at: Steady,
}

/// Maximum number of unacknowledged notices per controller. If there are more, the oldest are dropped.
const MAX_WAITING: usize = 4_000;
/// Maximum number of notices in one message.
const MAX_BATCH: usize = 200;

/// The notices to send to one controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticeBatch {
    /// Index of the receiver among the other controllers.
    pub to: usize,
    /// The cancellations, oldest first.
    pub cancellations: Vec<Cancellation>,
}

/// The notices that the other controllers have not acknowledged yet.
#[derive(Debug)]
pub struct CancellationNotices {
    /// The unacknowledged notices of each other controller, oldest first; indexed like [`NoticeBatch::to`].
    waiting: Vec<VecDeque<Cancellation>>,
    max_age: Micros,
}

impl CancellationNotices {
    /// Creates an empty list of notices for each of `other_controllers` controllers. A notice is dropped
    /// after `max_age`: the staleness bound has then ended all tasks that the notice could stop.
    pub fn new(other_controllers: usize, max_age: Micros) -> CancellationNotices {
        CancellationNotices { waiting: vec![VecDeque::new(); other_controllers], max_age }
    }

    /// Adds a notice of a cancellation for all other controllers.
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

    /// Drops expired notices and returns the notices to send now: one batch for each controller that has
    /// unacknowledged notices.
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

    /// Removes the notices that the controller with index `by` has acknowledged.
    pub fn remove_acknowledged(&mut self, by: usize, acknowledged: &[Cancellation]) {
        if let Some(queue) = self.waiting.get_mut(by) {
            queue.retain(|waiting| !acknowledged.iter().any(|known| known.id == waiting.id));
        }
    }

    /// Whether no notice waits for an acknowledgement.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }
}
