//! Updates the fleet with single keys that were read back after a conflict, or after a write whose outcome
//! is unknown.

use serde_json::json;

use super::record_keys::{BorrowedKey, RecordKey};
use super::{loan_records, rebuild};
use crate::fleet::{Fleet, UnreadableRecord};
use crate::keys::job_key;
use crate::records::JobRecord;
use crate::state::{RequestPriority, StateStoreClient, StateStoreError};
use crate::time::Steady;
use crate::wire::Row;

/// The state of a key as it was read back.
pub struct KeyState {
    /// The key.
    pub key: String,
    /// The row; `None` if the key does not exist.
    pub row: Option<Row>,
    /// A revision of the state store: the state is at least as new.
    pub as_of: u64,
}

/// Reads a key back. `known_revision` is the fleet's
/// [`known_revision`](crate::fleet::Fleet::known_revision) before the read.
///
/// # Errors
/// As any read from the state store.
pub fn read_key(
    state: &StateStoreClient,
    key: &str,
    known_revision: u64,
) -> Result<KeyState, StateStoreError> {
    let read = state.read(key, RequestPriority::User)?;
    Ok(KeyState { key: key.to_string(), as_of: read.revision.max(known_revision), row: read.row })
}

/// Updates the fleet with the state of a key that was read back. The record of a borrowed job or of a lender
/// is ignored if the answer to the read came so late that a newer state of the record may be known.
pub fn update_from_store(fleet: &mut Fleet, state: KeyState, now: Steady) {
    let KeyState { key, row, as_of } = state;
    let key = key.as_str();
    let mod_revision = row.as_ref().map_or(0, |row| row.mod_revision);
    match RecordKey::parse(key) {
        RecordKey::Job(id) => update_job(fleet, id, row, as_of, now),
        RecordKey::Borrowed(BorrowedKey::Job(_) | BorrowedKey::Lender(_))
            if fleet.loans.is_outdated(key, as_of) =>
        {
            tracing::debug!(key, as_of, "late answer to a read ignored");
        }
        RecordKey::Borrowed(borrowed) => {
            loan_records::update_borrowed(fleet, borrowed, key, row, as_of, now);
        }
        RecordKey::Lent(lent) => loan_records::update_lent(fleet, lent, key, row),
        RecordKey::Machine(id) => fleet.update_machine_record_revision(id, mod_revision),
        RecordKey::PackedMachines(slot) => {
            if let Ok(slot) = slot.parse() {
                fleet.machine_records.set_mod_revision(slot, mod_revision);
            }
        }
        RecordKey::PackedStartMarks(slot) => {
            if let Ok(slot) = slot.parse() {
                fleet.start_marks.set_mod_revision(slot, mod_revision);
            }
        }
        RecordKey::HistoryBucket(bucket) => {
            if let Ok(bucket) = bucket.parse() {
                fleet.history.set_mod_revision(bucket, mod_revision);
            }
        }
        RecordKey::DoneChunk { job, chunk } => {
            fleet.update_orphan_revision(key, mod_revision);
            if fleet.jobs.contains_key(job) {
                let value = row.map_or_else(|| json!(""), |row| row.value);
                rebuild::load_done_chunk(fleet, job, chunk, key, &value, mod_revision);
            }
        }
        RecordKey::Final(_) | RecordKey::Recent | RecordKey::SingleHistory | RecordKey::Other => {}
    }
}

/// Why a live job cannot be ended.
#[derive(Debug, thiserror::Error)]
#[error("expected the placeholder that was written with the live job's record, found another value or none")]
struct PlaceholderMismatch;

/// Marks live jobs that cannot be ended, because the key of their final record does not have the expected
/// value. `failed` are the keys whose guards did not hold when a write was refused. A job is marked if its
/// final key is among them but the key of its live record is not: the live record is then as it is known
/// here, so that reading it back would not resolve the conflict.
pub fn mark_unreadable_finals(fleet: &mut Fleet, failed: &[String]) {
    for key in failed {
        let RecordKey::Final(id) = RecordKey::parse(key) else { continue };
        if !failed.contains(&job_key(id)) {
            fleet.mark_unreadable(UnreadableRecord::Final(id), key, &PlaceholderMismatch);
        }
    }
}

/// Updates a job with its record as it was read back. A job has ended only if it has no record. A job whose
/// record cannot be decoded is live, but blocked by the unreadable record. The answer to the read is ignored if
/// it came so late that a newer state of the record may be known.
fn update_job(fleet: &mut Fleet, id: &str, row: Option<Row>, as_of: u64, now: Steady) {
    if as_of < fleet.known_job_revision(id) {
        tracing::debug!(job = id, as_of, "late answer to a read ignored");
        return;
    }
    let Some(row) = row else {
        fleet.apply_job_removal(id, as_of);
        return;
    };
    match serde_json::from_value::<JobRecord>(row.value) {
        Ok(record) => {
            let is_cancelling = record.lending.cancelling;
            fleet.apply_job_record(record, row.mod_revision, now);
            if !is_cancelling && !fleet.jobs.contains_key(id) {
                fleet.cancel_removals_of_job(id);
            }
        }
        Err(error) => {
            fleet.mark_unreadable(UnreadableRecord::Job(id), &row.key, &error);
            fleet.cancel_removals_of_job(id);
        }
    }
}
