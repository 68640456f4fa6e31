//! Restores the records of held jobs that a leader of version 0.3.0 to 0.3.2 has rewritten. Those versions
//! do not know the stored field `held`, which contains the job's own values of the fields that the held form
//! replaces, and write the record without it. They leave the placeholder as it is, and the placeholder
//! contains the same values.

use serde_json::json;

use crate::jobs::JobId;
use crate::keys::{final_key, JOBS_PREFIX};
use crate::records::{FinalPlaceholder, JobRecord};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError};
use crate::wire::Row;

/// A placeholder that was not rewritten together with the record of its job, so that the two have different
/// revisions.
pub(super) struct LeftoverPlaceholder {
    /// The job's id.
    pub(super) job: JobId,
    /// The placeholder's `mod_revision`.
    pub(super) mod_revision: u64,
}

/// Restores those records among the rows of live jobs that were rewritten without the field `held`, and
/// returns their placeholders. All other rows stay as they are. A record whose placeholder is missing or
/// damaged cannot be restored and stays unreadable.
///
/// # Errors
/// As any read from the state store.
pub(super) fn restore_records(
    state: &StateStoreClient,
    jobs: &mut [Row],
) -> Result<Vec<LeftoverPlaceholder>, StateStoreError> {
    let mut leftover = Vec::new();
    for row in jobs.iter_mut().filter(|row| JobRecord::is_stripped(&row.value)) {
        leftover.extend(restore_record(state, row)?);
    }
    Ok(leftover)
}

/// Restores the record in `row` from its placeholder; `None` if that is not possible.
fn restore_record(
    state: &StateStoreClient,
    row: &mut Row,
) -> Result<Option<LeftoverPlaceholder>, StateStoreError> {
    let Some(id) = row.key.strip_prefix(JOBS_PREFIX) else { return Ok(None) };
    let Some(placeholder) = state.get(&final_key(id), RequestPriority::Leadership)? else { return Ok(None) };
    let mod_revision = placeholder.mod_revision;
    let Ok(placeholder) = serde_json::from_value::<FinalPlaceholder>(placeholder.value) else {
        return Ok(None);
    };
    let Ok(record) = JobRecord::restore(row.value.clone(), placeholder) else { return Ok(None) };
    let leftover = LeftoverPlaceholder { job: id.into(), mod_revision };
    row.value = json!(record);
    Ok(Some(leftover))
}
