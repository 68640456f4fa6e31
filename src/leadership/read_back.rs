//! Updates the fleet with single keys that were read back, after a write that met a conflict or whose
//! outcome is unknown.

use super::loan_records;
use super::record_keys::RecordKey;
use crate::fleet::Fleet;
use crate::records::JobRecord;
use crate::time::{wall, Steady};
use crate::wire::Row;

/// Updates the fleet with a key as it stands in the state store; `row` is none if there is no such key.
pub fn update_from_store(fleet: &mut Fleet, key: &str, row: Option<Row>, now: Steady) {
    let mod_revision = row.as_ref().map_or(0, |row| row.mod_revision);
    match RecordKey::parse(key) {
        RecordKey::Job(id) => update_job(fleet, id, row, now),
        RecordKey::Borrowed(borrowed) => {
            loan_records::update_borrowed(fleet, borrowed, key, row, now, wall());
        }
        RecordKey::Lent(lent) => loan_records::update_lent(fleet, lent, key, row),
        RecordKey::Machine(id) => fleet.machine_record_read_back(id, mod_revision),
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
            fleet.done_chunk_read_back(key, mod_revision);
            let text = row.as_ref().map_or(Some(""), |row| row.value.as_str());
            if let (true, Ok(chunk), Some(text)) = (fleet.jobs.contains_key(job), chunk.parse(), text) {
                fleet.inherit_done(job, chunk, text, mod_revision);
            }
        }
        RecordKey::Recent | RecordKey::SingleHistory | RecordKey::Other => {}
    }
}

/// Updates a job. One without a record, or with one that cannot be decoded, is over.
fn update_job(fleet: &mut Fleet, id: &str, row: Option<Row>, now: Steady) {
    let mod_revision = row.as_ref().map_or(0, |row| row.mod_revision);
    match row.and_then(|row| serde_json::from_value::<JobRecord>(row.value).ok()) {
        Some(record) => fleet.apply_job_record(record, mod_revision, now),
        None => {
            let known = fleet.jobs.get(id).map_or(0, |job| job.mod_revision);
            fleet.job_ended(id, fleet.jobs_revision().max(known) + 1);
        }
    }
}
