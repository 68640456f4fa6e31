//! Counts of what the simulated histories cover, so that a test can assert that they cover enough.

use std::ops::Add;

/// Counts for one history, or the sums for several histories.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    /// Enrolled machines.
    pub machines: usize,
    /// Live jobs with a stored start mark.
    pub jobs: usize,
    /// Recorded done tasks of live jobs.
    pub done: usize,
    /// Transactions of former leaders that arrived late.
    pub late: usize,
    /// Values larger than the `SMALL` limit when the limits were reduced.
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
