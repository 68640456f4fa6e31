//! The records of loans: transactions that change them, and how they are read.

use milletlock_cells::{BorrowedJob, BorrowerChange};
use serde_json::json;

use super::SHARD_KEY;
use crate::fleet::{Fleet, LoanWrite};
use crate::keys::{borrowed_key, final_key, job_key, lender_key, BORROWED_PREFIX};
use crate::records::{FinalRecord, JobRecord, LenderRecord};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError};
use crate::time::{Steady, Wall};
use crate::wire::{Change, Guard, Row, Stage, Txn};

fn guard(key: String, mod_revision: u64) -> Guard {
    Guard { key, mod_revision }
}

/// The transaction that carries out a write of loans, guarded by the part.
pub fn loan_txn(write: &LoanWrite, shard_revision: u64) -> Txn {
    let mut txn = match write {
        LoanWrite::Home { job, record, mod_revision, .. } => home_txn(job, record, *mod_revision),
        LoanWrite::Guest { change, job_stamp, lender, lender_stamp } => {
            guest_txn(change, *job_stamp, *lender, *lender_stamp)
        }
    };
    txn.guards.push(guard(SHARD_KEY.into(), shard_revision));
    txn
}

/// A job that is being cancelled and has no open loan any more is over.
fn home_txn(job: &str, record: &JobRecord, mod_revision: u64) -> Txn {
    let mut guards = vec![guard(job_key(job), mod_revision)];
    let then = if record.lending.is_cancelled() {
        guards.push(guard(final_key(job), 0));
        let over = FinalRecord { stage: Stage::Cancelled, tasks: record.spec.tasks };
        vec![Change::drop(job_key(job)), Change::put(final_key(job), json!(over))]
    } else {
        vec![Change::put(job_key(job), json!(record))]
    };
    Txn { guards, then }
}

/// A job of which tasks are borrowed must not have been accepted here.
fn guest_txn(change: &BorrowerChange, job_stamp: u64, lender: LenderRecord, lender_stamp: u64) -> Txn {
    let job = &change.job;
    let key = borrowed_key(job);
    let mut guards = vec![guard(lender_key(&change.lender), lender_stamp)];
    let mut then = vec![Change::put(lender_key(&change.lender), json!(lender))];
    match &change.record {
        Some(record) => {
            guards.extend([guard(key.clone(), job_stamp), guard(job_key(job), 0), guard(final_key(job), 0)]);
            then.push(Change::put(key, json!(record)));
        }
        None if job_stamp > 0 => {
            guards.push(guard(key.clone(), job_stamp));
            then.push(Change::drop(key));
        }
        None => {}
    }
    Txn { guards, then }
}

/// Reads all that is kept of borrowed tasks.
pub(super) fn borrowed_rows(state: &StateStoreClient) -> Result<Vec<Row>, StateStoreError> {
    let mut rows = state.list(&format!("{BORROWED_PREFIX}/"))?.rows;
    // Jobs first: done ranges belong to them.
    rows.sort_by_key(|row| !row.key.starts_with(&borrowed_key("")));
    Ok(rows)
}

/// Takes over a record of borrowed tasks.
pub(super) fn load_borrowed(fleet: &mut Fleet, row: Row, now: Steady, wall: Wall) {
    let unreadable = |error: serde_json::Error| tracing::error!(key = %row.key, %error, "record unreadable");
    let mut parts = row.key.split('/').skip(1);
    match (parts.next(), parts.next(), parts.next()) {
        (Some("job"), Some(id), None) => match serde_json::from_value::<BorrowedJob>(row.value) {
            Ok(record) => fleet.borrowed_put(id, record, row.mod_revision, now, wall),
            Err(e) => unreadable(e),
        },
        (Some("lender"), Some(cell), None) => match serde_json::from_value::<LenderRecord>(row.value) {
            Ok(record) => fleet.inherit_lender(cell, record, row.mod_revision),
            Err(e) => unreadable(e),
        },
        (Some("done"), Some(id), Some(chunk)) => {
            if let (Ok(chunk), Some(text)) = (chunk.parse(), row.value.as_str()) {
                fleet.inherit_borrowed_done(id, chunk, text, row.mod_revision);
            }
        }
        _ => {}
    }
}

/// Learns how a record of borrowed tasks stands after a conflict or an unknown outcome.
pub(super) fn learn_borrowed(fleet: &mut Fleet, key: &str, row: Option<Row>, now: Steady, wall: Wall) {
    let mut parts = key.split('/').skip(1);
    match (parts.next(), parts.next(), parts.next()) {
        (Some("done"), Some(id), Some(chunk)) => {
            let mod_revision = row.as_ref().map_or(0, |row| row.mod_revision);
            fleet.learn_orphan(key, mod_revision);
            let text = row.as_ref().map_or(Some(""), |row| row.value.as_str());
            if let (Ok(chunk), Some(text)) = (chunk.parse(), text) {
                fleet.inherit_borrowed_done(id, chunk, text, mod_revision);
            }
        }
        (Some("job"), Some(id), None) if row.is_none() => fleet.borrowed_gone(id),
        _ => row.into_iter().for_each(|row| load_borrowed(fleet, row, now, wall)),
    }
}

/// Reads back the records that a write of loans guards, after a conflict.
pub fn read_loan_records(
    state: &StateStoreClient,
    write: &LoanWrite,
) -> Result<Vec<(String, Option<Row>)>, StateStoreError> {
    let keys = match write {
        LoanWrite::Home { job, .. } => vec![job_key(job)],
        LoanWrite::Guest { change, .. } => vec![borrowed_key(&change.job), lender_key(&change.lender)],
    };
    keys.into_iter().map(|key| Ok((key.clone(), state.get(&key, RequestPriority::User)?))).collect()
}
