//! Copies of a lent job's progress, under keys that only versions with loans look at.
//!
//! A version without loans cannot read the record of a job with open loans in the form of 0.3.0 to 0.3.2
//! ([`crate::records::LentForm::Hidden`]). It takes the job's done ranges and start mark for those of a job that has
//! ended, and removes them. What is copied outlasts that: a task counts as recorded only once its copy is stored as
//! well, see docs/cells.md.

use std::collections::BTreeMap;

use crate::task_ranges::TaskRanges;

/// The stored copies of a job's done ranges and start mark.
#[derive(Clone, Debug, Default)]
pub struct ProgressCopy {
    /// Whether done ranges and start marks are copied. Once they are, that goes on until the job ends.
    pub is_kept: bool,
    /// Done tasks whose copies are stored.
    pub done: TaskRanges,
    /// Versions of the copies of done ranges, by chunk number.
    pub done_chunks: BTreeMap<u32, u64>,
    /// The start mark as it is stored, in the copy or in the record of the job with loans.
    pub start_mark: u32,
    /// Version of the start mark's copy; 0: there is none.
    pub start_mark_revision: u64,
}

impl ProgressCopy {
    /// Notes that the copy of a chunk of done ranges is stored with these tasks, at this version.
    pub fn record_done_chunk(&mut self, chunk: u32, tasks: &TaskRanges, mod_revision: u64) {
        for number in tasks.iter() {
            self.done.insert(number);
        }
        self.done_chunks.insert(chunk, mod_revision);
    }

    /// Notes that a start mark is stored, which only rises.
    pub fn record_start_mark(&mut self, mark: u32) {
        self.start_mark = self.start_mark.max(mark);
    }
}
