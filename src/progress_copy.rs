//! Copies of a lent job's progress, under keys that only versions with loans read, write or delete.
//!
//! A version without loans cannot read the record of a job with open loans in the form of 0.3.0 to 0.3.2
//! ([`crate::records::LentForm::Hidden`]). It assumes that the job has ended, and deletes the job's done
//! ranges and start mark. It does not delete the copies. A task therefore counts as recorded only once the
//! copy of its done range is stored as well; see docs/cells.md.

use std::collections::BTreeMap;

use crate::task_ranges::TaskRanges;

/// The stored copies of a job's done ranges and start mark.
#[derive(Clone, Debug, Default)]
pub struct ProgressCopy {
    /// Whether done ranges and start marks are copied. Once copying has begun, it continues until the job
    /// ends.
    pub is_kept: bool,
    /// Done tasks whose copies are stored.
    pub done: TaskRanges,
    /// `mod_revision` of the copy of each chunk of done ranges, by chunk number.
    pub done_chunks: BTreeMap<u32, u64>,
    /// The highest start mark that is stored in the copy or in the record of the job with loans.
    pub start_mark: u32,
    /// `mod_revision` of the copy of the start mark; 0 if there is no copy.
    pub start_mark_revision: u64,
}

impl ProgressCopy {
    /// Records that the copy of a chunk of done ranges is stored with these tasks at this `mod_revision`.
    pub fn record_done_chunk(&mut self, chunk: u32, tasks: &TaskRanges, mod_revision: u64) {
        for number in tasks.iter() {
            self.done.insert(number);
        }
        self.done_chunks.insert(chunk, mod_revision);
    }

    /// Records that a start mark is stored. A lower mark than the known one has no effect.
    pub fn record_start_mark(&mut self, mark: u32) {
        self.start_mark = self.start_mark.max(mark);
    }
}
