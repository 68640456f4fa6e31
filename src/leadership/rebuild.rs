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

/// Machine types as last written (under [`MACHINE_TYPES_KEY`]); `None` if there are none or they cannot
/// be decoded.
///
/// # Errors
/// As any read from the state store.
pub fn read_machine_types(state: &StateStoreClient) -> Result<Option<Vec<MachineType>>, StateStoreError> {
    let row = state.get(MACHINE_TYPES_KEY, RequestPriority::Leadership)?;
    Ok(row.and_then(|row| serde_json::from_value(row.value).ok()))
}

/// Reads all records after a won election into a new fleet under the leader's `fencing_token`; `now` is a
/// moment after the election was answered.
///
/// # Errors
/// As any read from the state store. Records that cannot be decoded are logged and left out.
pub fn rebuild(
    state: &StateStoreClient,
    config: Arc<Config>,
    types: Vec<MachineType>,
    fencing_token: u64,
    now: Steady,
) -> Result<Fleet, StateStoreError> {
    let mut fleet = Fleet::new(config, types, fencing_token, now);
    let KeyList { rows: mut jobs, revision } = state.list(JOBS_PREFIX)?;
    let left_placeholders = restored_records::restore_records(state, &mut jobs)?;
    let machines = state.list(ALL_MACHINES_PREFIX)?.rows;
    let start_marks = state.list(&format!("{START_MARKS_PREFIX}/"))?.rows;
    let done = state.list(DONE_PREFIX)?.rows;
    let history = state.list(ALL_HISTORY_PREFIX)?.rows;
    let recent = state.list(RECENT_KEY)?.rows;
    // Whatever the settings say now: what is done of loans of before is not forgotten.
    let borrowed = loan_records::borrowed_rows(state)?;
    let lent = state.list(&format!("{LENT_PREFIX}/"))?.rows;
    // Jobs come before the records that belong to them.
    let rows = [recent, jobs, borrowed, machines, start_marks, done, lent, history].concat();
    load_records(&mut fleet, rows, now, wall());
    for left in left_placeholders {
        tracing::info!(job = %left.job, "record of held job restored");
        fleet.record_leftover_placeholder(left.job, left.mod_revision);
    }
    fleet.advance_jobs_revision(revision);
    Ok(fleet)
}

/// Loads records into a new leader's fleet.
pub fn load_records(fleet: &mut Fleet, mut rows: Vec<Row>, now: Steady, wall: Wall) {
    // Packed values go first, so that single records of earlier versions fill them up.
    rows.sort_by_key(|row| !row.key.starts_with(PACKED_MACHINES_PREFIX));
    for row in rows {
        load_record(fleet, row, now, wall);
    }
    fleet.finish_loading();
}

/// Loads one record, by the form of its key.
fn load_record(fleet: &mut Fleet, row: Row, now: Steady, wall: Wall) {
    let Row { key, value, mod_revision } = row;
    match RecordKey::parse(&key) {
        RecordKey::Job(id) => {
            if let Some(job) = decode::<JobRecord>(fleet, UnreadableRecord::Job(id), &key, value) {
                fleet.apply_job_record(job, mod_revision, now);
            }
        }
        RecordKey::Machine(id) => {
            // One that cannot be decoded may hold tasks all the same: it stays unheard until it sends
            // a heartbeat or is scaled in.
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
            load_done(fleet, job, chunk, &key, &value, mod_revision);
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

/// Loads a packed bucket of history records.
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
    /// Its key does not end with a number.
    #[error(transparent)]
    Slot(#[from] std::num::ParseIntError),
    /// It cannot be decoded.
    #[error(transparent)]
    Value(#[from] serde_json::Error),
}

/// A packed value with its slot number, or none if it cannot be decoded: that is noted, and the slot is never
/// overwritten.
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

/// A packed value with its slot number, as stored under `<prefix>/<slot>`.
fn try_decode_packed<T: DeserializeOwned>(slot: &str, value: Value) -> Result<(u32, T), PackedValueError> {
    Ok((slot.parse()?, serde_json::from_value(value)?))
}

/// Why a row of done ranges cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("no text of done ranges under the number of a chunk")]
struct NoDoneRanges;

/// Loads a chunk of an own job's done ranges.
pub(super) fn load_done(
    fleet: &mut Fleet,
    job: &str,
    chunk: &str,
    key: &str,
    value: &Value,
    mod_revision: u64,
) {
    match (chunk.parse(), value.as_str()) {
        (Ok(chunk), Some(text)) => fleet.load_done(job, chunk, text, mod_revision),
        _ => note_no_done_ranges(fleet, job, key),
    }
}

/// Notes that a row is no text of done ranges.
pub(super) fn note_no_done_ranges(fleet: &mut Fleet, job: &str, key: &str) {
    fleet.mark_unreadable(UnreadableRecord::OfJob(job), key, &NoDoneRanges);
}

/// A record's value, or none if it cannot be decoded: that is noted, and the load goes on without it.
pub(super) fn decode<T: DeserializeOwned>(
    fleet: &mut Fleet,
    record: UnreadableRecord<'_>,
    key: &str,
    value: Value,
) -> Option<T> {
    serde_json::from_value(value).map_err(|error| fleet.mark_unreadable(record, key, &error)).ok()
}
