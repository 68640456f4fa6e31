//! The keys of the leader's records, parsed.

use crate::keys::{
    BORROWED_PREFIX, HISTORY_PREFIX, LENT_PREFIX, MACHINES_PREFIX, RECENT_KEY, START_MARKS_PREFIX,
};

/// Prefix of the machines' records in both forms, `machine/<id>` and `machines/<slot>`.
pub(super) const ALL_MACHINES_PREFIX: &str = "machine";
/// Prefix of the packed machine records.
pub(super) const PACKED_MACHINES_PREFIX: &str = "machines/";
/// Prefix of the chunks of done ranges.
pub(super) const DONE_PREFIX: &str = "done/";
/// Prefix of the history's keys.
pub(super) const ALL_HISTORY_PREFIX: &str = "hist/";

/// What a key of the leader's records stands for. Numbers are kept as text: whether they can be read
/// is for the record's reader to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKey<'a> {
    /// A live job, by id.
    Job(&'a str),
    /// The final record of a job, by id.
    Final(&'a str),
    /// A single machine's record, by machine id, as versions before packed records wrote it.
    Machine(&'a str),
    /// A value of packed machine records, by slot.
    PackedMachines(&'a str),
    /// A value of packed start marks, by slot.
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
    /// A packed bucket of history records, by number.
    HistoryBucket(&'a str),
    /// A single history record, as earlier versions wrote it.
    SingleHistory,
    /// A record of borrowed tasks.
    Borrowed(BorrowedKey<'a>),
    /// A copy of a lent job's progress.
    Lent(LentKey<'a>),
    /// None of these.
    Other,
}

/// What a key under the prefix of borrowed tasks stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BorrowedKey<'a> {
    /// A borrowed job, by id.
    Job(&'a str),
    /// A cell from which tasks are borrowed, by name.
    Lender(&'a str),
    /// A chunk of a borrowed job's done ranges.
    DoneChunk {
        /// The job's id.
        job: &'a str,
        /// The chunk's number.
        chunk: &'a str,
    },
    /// None of these.
    Other,
}

/// What a key under the prefix of lent jobs' progress stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LentKey<'a> {
    /// The copy of a chunk of a job's done ranges.
    DoneChunk {
        /// The job's id.
        job: &'a str,
        /// The chunk's number.
        chunk: &'a str,
    },
    /// The copy of a job's start mark, by the job's id.
    StartMark(&'a str),
    /// None of these.
    Other,
}

/// Key of a single machine's record.
pub(super) fn single_machine_key(id: &str) -> String {
    format!("machine/{id}")
}

impl<'a> RecordKey<'a> {
    /// What a key stands for, by its form.
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
    /// What a key stands for, by its parts after the prefix of lent jobs' progress.
    fn new(kind: Option<&'a str>, id: Option<&'a str>, chunk: Option<&'a str>) -> LentKey<'a> {
        match (kind, id, chunk) {
            (Some("done"), Some(job), Some(chunk)) => LentKey::DoneChunk { job, chunk },
            (Some("marks"), Some(job), None) => LentKey::StartMark(job),
            _ => LentKey::Other,
        }
    }
}

impl<'a> BorrowedKey<'a> {
    /// What a key stands for, by its parts after the prefix of borrowed tasks.
    fn new(kind: Option<&'a str>, id: Option<&'a str>, chunk: Option<&'a str>) -> BorrowedKey<'a> {
        match (kind, id, chunk) {
            (Some("job"), Some(id), None) => BorrowedKey::Job(id),
            (Some("lender"), Some(cell), None) => BorrowedKey::Lender(cell),
            (Some("done"), Some(job), Some(chunk)) => BorrowedKey::DoneChunk { job, chunk },
            _ => BorrowedKey::Other,
        }
    }
}
