//! Records of held jobs that 0.3.0 to 0.3.2 wrote back. They drop what they do not know of such a record: the fields of
//! the job's own description. The placeholder, which they leave as it is, still has them.

use serde_json::json;

use crate::jobs::JobId;
use crate::keys::{final_key, JOBS_PREFIX};
use crate::records::{FinalPlaceholder, JobRecord};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError};
use crate::wire::Row;

/// A placeholder that was left behind when its record was written back.
pub(super) struct LeftPlaceholder {
    /// The job.
    pub(super) job: JobId,
    /// The placeholder's version.
    pub(super) mod_revision: u64,
}

/// Restores the records among the rows of live jobs that have to be; the others stay as they are, also those whose
/// placeholder is missing or damaged, which cannot be read.
///
/// # Errors
/// As any read from the state store.
pub(super) fn restore_records(
    state: &StateStoreClient,
    jobs: &mut [Row],
) -> Result<Vec<LeftPlaceholder>, StateStoreError> {
    let mut left = Vec::new();
    for row in jobs.iter_mut().filter(|row| JobRecord::is_stripped(&row.value)) {
        left.extend(restore_record(state, row)?);
    }
    Ok(left)
}

fn restore_record(
    state: &StateStoreClient,
    row: &mut Row,
) -> Result<Option<LeftPlaceholder>, StateStoreError> {
    let Some(id) = row.key.strip_prefix(JOBS_PREFIX) else { return Ok(None) };
    let Some(placeholder) = state.get(&final_key(id), RequestPriority::Leadership)? else { return Ok(None) };
    let mod_revision = placeholder.mod_revision;
    let Ok(placeholder) = serde_json::from_value::<FinalPlaceholder>(placeholder.value) else {
        return Ok(None);
    };
    let Ok(record) = JobRecord::restore(row.value.clone(), placeholder) else { return Ok(None) };
    let left = LeftPlaceholder { job: id.into(), mod_revision };
    row.value = json!(record);
    Ok(Some(left))
}
