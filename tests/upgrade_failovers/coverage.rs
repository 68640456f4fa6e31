//! What the histories met, so that a test can check that they met enough.

use std::ops::Add;

/// What a history met, summed up over all of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    pub machines: usize,
    pub jobs: usize,
    pub done: usize,
    /// Late transactions of leaders that had ended.
    pub late: usize,
    /// Values above the small limit when the limits fell.
    pub oversized: usize,
}

impl Add for Coverage {
    type Output = Coverage;

    fn add(self, other: Coverage) -> Coverage {
        Coverage {
            machines: self.machines + other.machines,
            jobs: self.jobs + other.jobs,
            done: self.done + other.done,
            late: self.late + other.late,
            oversized: self.oversized + other.oversized,
        }
    }
}
