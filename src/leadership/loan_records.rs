//! Records of loans between cells: the transactions that write them, and reading them into the fleet.

use milletlock_cells::{BorrowedJob, BorrowerChange};
use serde_json::{json, Value};

use super::keys::SHARD_KEY;
use super::read_back::{read_key, KeyState};
use super::rebuild::{decode, mark_unreadable_done_chunk};
use super::record_keys::{BorrowedKey, LentKey};
use crate::fleet::{Fleet, LoanWrite, UnreadableRecord};
use crate::job_changes::StoredJob;
use crate::keys::{borrowed_key, final_key, job_key, lender_key, BORROWED_PREFIX};
use crate::records::{FinalRecord, JobRecord, LenderRecord};
use crate::state::{StateStoreClient, StateStoreError};
use crate::time::{wall, Steady, Wall};
use crate::wire::{Change, Guard, Row, Stage, Txn};

/// Creates a guard that a key still has this `mod_revision`, or with 0 that the key does not exist.
fn guard(key: String, mod_revision: u64) -> Guard {
    Guard { key, mod_revision }
}

/// Composes the transaction for a write of loans, guarded by the shard's revision.
pub fn loan_txn(write: &LoanWrite, shard_revision: u64) -> Txn {
    let mut txn = match write {
        LoanWrite::Lender { record, mod_revision, placeholder_revision, .. } => {
            lender_txn(record, *mod_revision, *placeholder_revision)
        }
        LoanWrite::Borrower { change, job_revision, lender, lender_revision } => {
            borrower_txn(change, *job_revision, *lender, *lender_revision)
        }
    };
    txn.guards.push(guard(SHARD_KEY.into(), shard_revision));
    txn
}

/// Composes the lender's write of the loans of one of its own jobs. A job that is being cancelled and has no
/// open loan any more ends as cancelled.
fn lender_txn(record: &JobRecord, mod_revision: u64, placeholder_revision: u64) -> Txn {
    let stored = StoredJob { id: &record.spec.id, mod_revision, placeholder_revision };
    if record.lending.is_cancelled() {
        stored.end(FinalRecord { stage: Stage::Cancelled, tasks: record.spec.tasks })
    } else {
        stored.replace(record)
    }
}

/// Composes the borrower's write of a borrowed job and of the record of its lender. The transaction fails if
/// this cell itself has accepted a job with the same id.
fn borrower_txn(
    change: &BorrowerChange,
    job_revision: u64,
    lender: LenderRecord,
    lender_revision: u64,
) -> Txn {
    let job = &change.job;
    let key = borrowed_key(job);
    let mut guards = vec![guard(lender_key(&change.lender), lender_revision)];
    let mut then = vec![Change::put(lender_key(&change.lender), json!(lender))];
    match &change.record {
        Some(record) => {
            guards.extend([
                guard(key.clone(), job_revision),
                Guard::must_not_exist(job_key(job)),
                Guard::must_not_exist(final_key(job)),
            ]);
            then.push(Change::put(key, json!(record)));
        }
        None if job_revision > 0 => {
            guards.push(guard(key.clone(), job_revision));
            then.push(Change::drop(key));
        }
        None => {}
    }
    Txn { guards, then }
}

/// Reads all records of borrowed tasks. Jobs come before the done ranges that belong to them.
pub(super) fn borrowed_rows(state: &StateStoreClient) -> Result<Vec<Row>, StateStoreError> {
    let mut rows = state.list(&format!("{BORROWED_PREFIX}/"))?.rows;
    rows.sort_by_key(|row| !row.key.starts_with(&borrowed_key("")));
    Ok(rows)
}

/// Loads a record of borrowed tasks into a new leader's fleet.
pub(super) fn load_borrowed(
    fleet: &mut Fleet,
    borrowed: BorrowedKey,
    key: &str,
    value: Value,
    mod_revision: u64,
    now: Steady,
    wall: Wall,
) {
    match borrowed {
        BorrowedKey::Job(id) => {
            if let Some(record) = decode::<BorrowedJob>(fleet, UnreadableRecord::BorrowedJob(id), key, value)
            {
                fleet.apply_borrowed_record(id, record, mod_revision, now, wall);
            }
        }
        BorrowedKey::Lender(cell) => {
            if let Some(record) = decode::<LenderRecord>(fleet, UnreadableRecord::Lender(cell), key, value) {
                fleet.apply_lender_record(cell, record, mod_revision);
            }
        }
        BorrowedKey::DoneChunk { job, chunk } => match (chunk.parse(), value.as_str()) {
            (Ok(chunk), Some(text)) => fleet.load_borrowed_done(job, chunk, text, mod_revision),
            _ => mark_unreadable_done_chunk(fleet, job, key),
        },
        BorrowedKey::Other => {}
    }
}

/// Loads a copy of a lent job's progress into a new leader's fleet.
pub(super) fn load_lent(fleet: &mut Fleet, lent: LentKey, key: &str, value: Value, mod_revision: u64) {
    match lent {
        LentKey::DoneChunk { job, chunk } => match (chunk.parse(), value.as_str()) {
            (Ok(chunk), Some(text)) => fleet.load_lent_done(job, chunk, text, mod_revision),
            _ => mark_unreadable_done_chunk(fleet, job, key),
        },
        LentKey::StartMark(job) => {
            if let Some(mark) = decode::<u32>(fleet, UnreadableRecord::OfJob(job), key, value) {
                fleet.load_lent_start_mark(job, mark, mod_revision);
            }
        }
        LentKey::Other => {}
    }
}

/// Updates the fleet with a copy of a lent job's progress that was read back; `row` is `None` if the key does
/// not exist.
pub(super) fn update_lent(fleet: &mut Fleet, lent: LentKey, key: &str, row: Option<Row>) {
    let mod_revision = row.as_ref().map_or(0, |row| row.mod_revision);
    fleet.update_orphan_revision(key, mod_revision);
    match (lent, row) {
        (lent, Some(row)) => load_lent(fleet, lent, key, row.value, mod_revision),
        (LentKey::DoneChunk { job, chunk }, None) => {
            if let Ok(chunk) = chunk.parse() {
                fleet.load_lent_done(job, chunk, "", 0);
            }
        }
        (LentKey::StartMark(job), None) => fleet.load_lent_start_mark(job, 0, 0),
        (LentKey::Other, None) => {}
    }
}

/// Updates the fleet with a record of borrowed tasks that was read back; `row` is `None` if the key does not
/// exist as of the revision `as_of`.
pub(super) fn update_borrowed(
    fleet: &mut Fleet,
    borrowed: BorrowedKey,
    key: &str,
    row: Option<Row>,
    as_of: u64,
    now: Steady,
) {
    let mod_revision = row.as_ref().map_or(0, |row| row.mod_revision);
    match (borrowed, row) {
        (BorrowedKey::DoneChunk { job, chunk }, row) => {
            fleet.update_orphan_revision(key, mod_revision);
            let text = row.as_ref().map_or(Some(""), |row| row.value.as_str());
            if let (Ok(chunk), Some(text)) = (chunk.parse(), text) {
                fleet.load_borrowed_done(job, chunk, text, mod_revision);
            }
        }
        (BorrowedKey::Job(id), None) => fleet.end_deleted_borrowed_job(id, as_of),
        (borrowed, Some(row)) => {
            load_borrowed(fleet, borrowed, &row.key, row.value, mod_revision, now, wall());
        }
        (BorrowedKey::Lender(_) | BorrowedKey::Other, None) => {}
    }
}

/// Reads back the records by whose revisions a write of loans is guarded, after the write met a conflict.
/// `known_revision` is the fleet's [`known_revision`](crate::fleet::Fleet::known_revision) before the read.
///
/// # Errors
/// As any read from the state store; the first error ends the read.
pub fn read_loan_records(
    state: &StateStoreClient,
    write: &LoanWrite,
    known_revision: u64,
) -> Result<Vec<KeyState>, StateStoreError> {
    let keys = match write {
        LoanWrite::Lender { job, .. } => vec![job_key(job)],
        LoanWrite::Borrower { change, .. } => vec![borrowed_key(&change.job), lender_key(&change.lender)],
    };
    keys.iter().map(|key| read_key(state, key, known_revision)).collect()
}
