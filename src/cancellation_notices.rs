//! Cancellations that the other controllers are yet to be told of. Whoever confirms one to a user
//! tells each of the others until it has answered, so that whoever owns the machines stops the tasks
//! at once, in touch with the state service or not. Such a word only ever stops work. It comes on top
//! of the bound on acting blind (`view`), which holds without it.

use std::collections::VecDeque;

use crate::time::{Micros, Steady};

/// A cancellation that was confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancellation {
    /// The job.
    pub id: String,
    /// Its number of tasks.
    pub tasks: u32,
    /// The revision at which its record went.
    pub revision: u64,
    /// When it was confirmed here.
    pub since: Steady,
}

/// Most that wait for one controller; the oldest go first.
const MOST: usize = 4_000;
/// Most in one message.
const BATCH: usize = 200;

/// What each of the others is yet to be told.
#[derive(Debug)]
pub struct CancellationNotices {
    waiting: Vec<VecDeque<Cancellation>>,
    keep: Micros,
}

impl CancellationNotices {
    /// For so many others. After `keep` the bound on acting blind has ended all that the word could.
    pub fn new(others: usize, keep: Micros) -> CancellationNotices {
        CancellationNotices { waiting: vec![VecDeque::new(); others], keep }
    }

    /// Has all others told.
    pub fn add(&mut self, c: &Cancellation) {
        for w in &mut self.waiting {
            if w.iter().any(|x| x.id == c.id) {
                continue;
            }
            if w.len() >= MOST {
                w.pop_front();
            }
            w.push_back(c.clone());
        }
    }

    /// What to tell now, by number of the other.
    pub fn due(&mut self, now: Steady) -> Vec<(usize, Vec<Cancellation>)> {
        let keep = self.keep;
        let batch = |(to, w): (usize, &mut VecDeque<Cancellation>)| {
            w.retain(|c| now - c.since <= keep);
            (to, w.iter().take(BATCH).cloned().collect::<Vec<_>>())
        };
        self.waiting.iter_mut().enumerate().map(batch).filter(|b| !b.1.is_empty()).collect()
    }

    /// One of the others has answered that it knows these.
    pub fn answered(&mut self, by: usize, told: &[Cancellation]) {
        if let Some(w) = self.waiting.get_mut(by) {
            w.retain(|c| !told.iter().any(|t| t.id == c.id));
        }
    }

    /// Whether all others know all.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }
}
