//! Rebuilds the fleet from the stored records after a won election.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::keys::MACHINE_TYPES_KEY;
use super::loan_records;
use super::record_keys::{
    RecordKey, ALL_HISTORY_PREFIX, ALL_MACHINES_PREFIX, DONE_PREFIX, PACKED_MACHINES_PREFIX,
};
use super::restored_records;
use crate::config::Config;
use crate::fleet::{Fleet, UnreadableRecord};
use crate::history::HistoryRecord;
use crate::keys::{JOBS_PREFIX, LENT_PREFIX, RECENT_KEY, START_MARKS_PREFIX};
use crate::records::{JobRecord, MachineRecord};
use crate::state::{KeyList, RequestPriority, StateStoreClient, StateStoreError};
use crate::time::{wall, Steady, Wall};
use crate::wire::{MachineType, Row};

/// Reads the list of machine types (under [`MACHINE_TYPES_KEY`]); `None` if there is none or it cannot be
/// decoded.
///
/// # Errors
/// As any read from the state store.
pub fn read_machine_types(state: &StateStoreClient) -> Result<Option<Vec<MachineType>>, StateStoreError> {
    let row = state.get(MACHINE_TYPES_KEY, RequestPriority::Leadership)?;
    Ok(row.and_then(|row| serde_json::from_value(row.value).ok()))
}

/// Reads all records after a won election into a new fleet of the leader with this `fencing_token`. `now`
/// has to be after the election was answered.
///
/// # Errors
/// As any read from the state store. A record that cannot be decoded is no error: it is logged, marked as
/// unreadable in the fleet and not loaded. Only a single machine's record is loaded nevertheless, as an empty
/// record.
pub fn rebuild(
    state: &StateStoreClient,
    config: Arc<Config>,
    types: Vec<MachineType>,
    fencing_token: u64,
    now: Steady,
) -> Result<Fleet, StateStoreError> {
    let mut fleet = Fleet::new(config, types, fencing_token, now);
    let KeyList { rows: mut jobs, revision } = state.list(JOBS_PREFIX)?;
    let leftover_placeholders = restored_records::restore_records(state, &mut jobs)?;
    let machines = state.list(ALL_MACHINES_PREFIX)?.rows;
    let start_marks = state.list(&format!("{START_MARKS_PREFIX}/"))?.rows;
    let done = state.list(DONE_PREFIX)?.rows;
    let history = state.list(ALL_HISTORY_PREFIX)?.rows;
    let recent = state.list(RECENT_KEY)?.rows;
    // Read even if the settings no longer allow loans, so that the progress of earlier loans is kept.
    let borrowed = loan_records::borrowed_rows(state)?;
    let lent = state.list(&format!("{LENT_PREFIX}/"))?.rows;
    // Jobs are loaded before the records that belong to them.
    let rows = [recent, jobs, borrowed, machines, start_marks, done, lent, history].concat();
    load_records(&mut fleet, rows, now, wall());
    for placeholder in leftover_placeholders {
        tracing::info!(job = %placeholder.job, "record of held job restored");
        fleet.record_leftover_placeholder(placeholder.job, placeholder.mod_revision);
    }
    fleet.advance_jobs_revision(revision);
    Ok(fleet)
}

/// Loads records into a new leader's fleet. Rows of jobs have to precede the rows that belong to them.
pub fn load_records(fleet: &mut Fleet, mut rows: Vec<Row>, now: Steady, wall: Wall) {
    // Packed machine records are loaded first, so that the single records of earlier versions are placed
    // into the slots that exist already.
    rows.sort_by_key(|row| !row.key.starts_with(PACKED_MACHINES_PREFIX));
    for row in rows {
        load_record(fleet, row, now, wall);
    }
    fleet.finish_loading();
}

/// Loads one record according to its key.
fn load_record(fleet: &mut Fleet, row: Row, now: Steady, wall: Wall) {
    let Row { key, value, mod_revision } = row;
    match RecordKey::parse(&key) {
        RecordKey::Job(id) => {
            if let Some(job) = decode::<JobRecord>(fleet, UnreadableRecord::Job(id), &key, value) {
                fleet.apply_job_record(job, mod_revision, now);
            }
        }
        RecordKey::Machine(id) => {
            // A machine whose record cannot be decoded may still run tasks. It is loaded with an empty
            // record and counts as unacknowledged until it sends a heartbeat or is scaled in.
            let machine =
                decode::<MachineRecord>(fleet, UnreadableRecord::Other, &key, value).unwrap_or_default();
            fleet.load_machine(id, &machine, mod_revision, now);
        }
        RecordKey::PackedMachines(slot) => {
            if let Some((slot, machines)) =
                decode_packed(fleet, UnreadableRecord::Machines, &key, slot, value)
            {
                fleet.load_machines(slot, machines, mod_revision, now);
            }
        }
        RecordKey::PackedStartMarks(slot) => {
            if let Some((slot, start_marks)) =
                decode_packed(fleet, UnreadableRecord::StartMarks, &key, slot, value)
            {
                fleet.load_start_marks(slot, start_marks, mod_revision);
            }
        }
        RecordKey::Borrowed(borrowed) => {
            loan_records::load_borrowed(fleet, borrowed, &key, value, mod_revision, now, wall);
        }
        RecordKey::Lent(lent) => loan_records::load_lent(fleet, lent, &key, value, mod_revision),
        RecordKey::DoneChunk { job, chunk } => {
            load_done_chunk(fleet, job, chunk, &key, &value, mod_revision);
        }
        RecordKey::Recent => {
            if let Some(list) = decode(fleet, UnreadableRecord::Other, &key, value) {
                fleet.load_recent_jobs(list, now, wall);
            }
        }
        RecordKey::HistoryBucket(bucket) => load_history_bucket(fleet, bucket, &key, value, mod_revision),
        RecordKey::SingleHistory => {
            if let Some(record) = decode::<HistoryRecord>(fleet, UnreadableRecord::Other, &key, value) {
                fleet.history.load_unpacked(record);
            }
        }
        RecordKey::Final(_) | RecordKey::Other => {}
    }
}

/// Loads a packed bucket of history records. A bucket that cannot be decoded is never overwritten.
fn load_history_bucket(fleet: &mut Fleet, bucket: &str, key: &str, value: Value, mod_revision: u64) {
    let decoded = decode_packed::<Vec<HistoryRecord>>(fleet, UnreadableRecord::Other, key, bucket, value);
    let Some((bucket, records)) = decoded else {
        if let Ok(bucket) = bucket.parse() {
            fleet.history.mark_unreadable(bucket);
        }
        return;
    };
    for record in records {
        fleet.history.load(record);
    }
    fleet.history.set_mod_revision(bucket, mod_revision);
}

/// Why a packed value cannot be loaded.
#[derive(Debug, thiserror::Error)]
enum PackedValueError {
    /// The last part of the key is not a slot number.
    #[error(transparent)]
    Slot(#[from] std::num::ParseIntError),
    /// The value cannot be decoded.
    #[error(transparent)]
    Value(#[from] serde_json::Error),
}

/// Decodes a packed value and its slot number. Returns `None` if either cannot be decoded; the record is
/// then marked as unreadable, and a slot of machine records or start marks is never overwritten.
fn decode_packed<T: DeserializeOwned>(
    fleet: &mut Fleet,
    record: UnreadableRecord<'_>,
    key: &str,
    slot: &str,
    value: Value,
) -> Option<(u32, T)> {
    match try_decode_packed(slot, value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            fleet.mark_unreadable(record, key, &error);
            match (record, slot.parse()) {
                (UnreadableRecord::Machines, Ok(slot)) => fleet.machine_records.mark_unreadable(slot),
                (UnreadableRecord::StartMarks, Ok(slot)) => fleet.start_marks.mark_unreadable(slot),
                _ => {}
            }
            None
        }
    }
}

/// Decodes the value and the slot number of a row with the key `<prefix>/<slot>`.
fn try_decode_packed<T: DeserializeOwned>(slot: &str, value: Value) -> Result<(u32, T), PackedValueError> {
    Ok((slot.parse()?, serde_json::from_value(value)?))
}

/// A chunk of done ranges that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("the key does not end with a chunk number, or the value is not a string of done ranges")]
struct InvalidDoneChunk;

/// Loads a chunk of the done ranges of one of this cell's own jobs.
pub(super) fn load_done_chunk(
    fleet: &mut Fleet,
    job: &str,
    chunk: &str,
    key: &str,
    value: &Value,
    mod_revision: u64,
) {
    match (chunk.parse(), value.as_str()) {
        (Ok(chunk), Some(text)) => fleet.load_done(job, chunk, text, mod_revision),
        _ => mark_unreadable_done_chunk(fleet, job, key),
    }
}

/// Marks a chunk of a job's done ranges as unreadable.
pub(super) fn mark_unreadable_done_chunk(fleet: &mut Fleet, job: &str, key: &str) {
    fleet.mark_unreadable(UnreadableRecord::OfJob(job), key, &InvalidDoneChunk);
}

/// Decodes a record's value. Returns `None` if it cannot be decoded; the record is then marked as
/// unreadable.
pub(super) fn decode<T: DeserializeOwned>(
    fleet: &mut Fleet,
    record: UnreadableRecord<'_>,
    key: &str,
    value: Value,
) -> Option<T> {
    serde_json::from_value(value).map_err(|error| fleet.mark_unreadable(record, key, &error)).ok()
}
