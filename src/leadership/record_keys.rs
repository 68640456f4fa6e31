//! Parsing of the keys under which the leader's records are stored.

use crate::keys::{
    BORROWED_PREFIX, HISTORY_PREFIX, LENT_PREFIX, MACHINES_PREFIX, RECENT_KEY, START_MARKS_PREFIX,
};

/// Prefix of machine records in both forms, `machine/<id>` and `machines/<slot>`.
pub(super) const ALL_MACHINES_PREFIX: &str = "machine";
/// Prefix of the packed machine records.
pub(super) const PACKED_MACHINES_PREFIX: &str = "machines/";
/// Prefix of the chunks of done ranges.
pub(super) const DONE_PREFIX: &str = "done/";
/// Prefix of the history records.
pub(super) const ALL_HISTORY_PREFIX: &str = "hist/";

/// The kind of record that a key stands for. Slot, chunk and bucket numbers are kept as text; the code
/// that reads the record parses them and handles those that are not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKey<'a> {
    /// The record of the live job with this id.
    Job(&'a str),
    /// The final record of the job with this id.
    Final(&'a str),
    /// The record of the single machine with this id, as versions before packed records wrote it.
    Machine(&'a str),
    /// The packed machine records in the slot with this number.
    PackedMachines(&'a str),
    /// The packed start marks in the slot with this number.
    PackedStartMarks(&'a str),
    /// A chunk of a job's done ranges.
    DoneChunk {
        /// The job's id.
        job: &'a str,
        /// The chunk's number.
        chunk: &'a str,
    },
    /// The list of recent jobs.
    Recent,
    /// The packed history records in the bucket with this number.
    HistoryBucket(&'a str),
    /// A single history record, as versions before packed buckets wrote it.
    SingleHistory,
    /// A record of borrowed tasks.
    Borrowed(BorrowedKey<'a>),
    /// A copy of a lent job's progress.
    Lent(LentKey<'a>),
    /// A key of another kind.
    Other,
}

/// The kind of record that a key under [`BORROWED_PREFIX`] stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BorrowedKey<'a> {
    /// The record of the borrowed job with this id.
    Job(&'a str),
    /// The record of the lender cell with this name.
    Lender(&'a str),
    /// A chunk of a borrowed job's done ranges.
    DoneChunk {
        /// The job's id.
        job: &'a str,
        /// The chunk's number.
        chunk: &'a str,
    },
    /// A key of another kind.
    Other,
}

/// The kind of record that a key under [`LENT_PREFIX`] stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LentKey<'a> {
    /// The copy of a chunk of a job's done ranges.
    DoneChunk {
        /// The job's id.
        job: &'a str,
        /// The chunk's number.
        chunk: &'a str,
    },
    /// The copy of the start mark of the job with this id.
    StartMark(&'a str),
    /// A key of another kind.
    Other,
}

/// Key of the record of a single machine, as versions before packed records wrote it.
pub(super) fn single_machine_key(id: &str) -> String {
    format!("machine/{id}")
}

impl<'a> RecordKey<'a> {
    /// Parses a key; keys that this version does not know are [`RecordKey::Other`].
    pub(super) fn parse(key: &'a str) -> RecordKey<'a> {
        let mut parts = key.split('/');
        match (parts.next(), parts.next(), parts.next()) {
            (Some(BORROWED_PREFIX), kind, id) => {
                RecordKey::Borrowed(BorrowedKey::new(kind, id, parts.next()))
            }
            (Some(LENT_PREFIX), kind, id) => RecordKey::Lent(LentKey::new(kind, id, parts.next())),
            (Some("job"), Some(id), None) => RecordKey::Job(id),
            (Some("final"), Some(id), None) => RecordKey::Final(id),
            (Some("machine"), Some(id), None) => RecordKey::Machine(id),
            (Some(MACHINES_PREFIX), Some(slot), None) => RecordKey::PackedMachines(slot),
            (Some(START_MARKS_PREFIX), Some(slot), None) => RecordKey::PackedStartMarks(slot),
            (Some("done"), Some(job), Some(chunk)) => RecordKey::DoneChunk { job, chunk },
            (Some(RECENT_KEY), None, None) => RecordKey::Recent,
            (Some(HISTORY_PREFIX), Some(bucket), None) => RecordKey::HistoryBucket(bucket),
            (Some(HISTORY_PREFIX), Some(_), Some(_)) => RecordKey::SingleHistory,
            _ => RecordKey::Other,
        }
    }
}

impl<'a> LentKey<'a> {
    /// Creates the key from its parts after [`LENT_PREFIX`].
    fn new(kind: Option<&'a str>, id: Option<&'a str>, chunk: Option<&'a str>) -> LentKey<'a> {
        match (kind, id, chunk) {
            (Some("done"), Some(job), Some(chunk)) => LentKey::DoneChunk { job, chunk },
            (Some("marks"), Some(job), None) => LentKey::StartMark(job),
            _ => LentKey::Other,
        }
    }
}

impl<'a> BorrowedKey<'a> {
    /// Creates the key from its parts after [`BORROWED_PREFIX`].
    fn new(kind: Option<&'a str>, id: Option<&'a str>, chunk: Option<&'a str>) -> BorrowedKey<'a> {
        match (kind, id, chunk) {
            (Some("job"), Some(id), None) => BorrowedKey::Job(id),
            (Some("lender"), Some(cell), None) => BorrowedKey::Lender(cell),
            (Some("done"), Some(job), Some(chunk)) => BorrowedKey::DoneChunk { job, chunk },
            _ => BorrowedKey::Other,
        }
    }
}
