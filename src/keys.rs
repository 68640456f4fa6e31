//! Keys in the state store.

/// Key of the list of recent jobs.
pub const RECENT_KEY: &str = "recent";

/// Prefix of the records of live jobs.
pub const JOBS_PREFIX: &str = "job/";

/// Key of the record of a live job.
pub fn job_key(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Key of the final record of a job. While a job is live and its record has the held form, the placeholder is
/// stored under this key.
pub fn final_key(id: &str) -> String {
    format!("final/{id}")
}

/// Prefix of the packed machine records.
pub const MACHINES_PREFIX: &str = "machines";
/// Prefix of the packed start marks. The start mark of a job is a high-water mark: only tasks with numbers
/// below it may have been started.
pub const START_MARKS_PREFIX: &str = "marks";
/// Prefix of the history of run times, packed into buckets by the hash of team and estimate. Earlier versions
/// wrote one value per team and estimate under `hist/<team>/<estimate>`.
pub const HISTORY_PREFIX: &str = "hist";

/// Key of the packed value with the number `slot`.
pub fn slot_key(prefix: &str, slot: u32) -> String {
    format!("{prefix}/{slot}")
}

/// Prefix of the chunks of a job's done ranges.
pub fn done_prefix(id: &str) -> String {
    format!("done/{id}/")
}

/// Key of a chunk of a job's done ranges.
pub fn done_key(id: &str, chunk: u32) -> String {
    format!("{}{chunk}", done_prefix(id))
}

/// Prefix of the copies of lent jobs' progress, which versions without loans neither read nor delete.
pub const LENT_PREFIX: &str = "lent";

/// Prefix of the copies of the chunks of a lent job's done ranges.
pub fn lent_done_prefix(id: &str) -> String {
    format!("{LENT_PREFIX}/done/{id}/")
}

/// Key of the copy of a chunk of a lent job's done ranges.
pub fn lent_done_key(id: &str, chunk: u32) -> String {
    format!("{}{chunk}", lent_done_prefix(id))
}

/// Key of the copy of a lent job's start mark.
pub fn lent_start_mark_key(id: &str) -> String {
    format!("{LENT_PREFIX}/marks/{id}")
}

/// Prefix of all records of a cell about tasks that it has borrowed.
pub const BORROWED_PREFIX: &str = "borrowed";

/// Key of the record of a borrowed job.
pub fn borrowed_key(id: &str) -> String {
    format!("{BORROWED_PREFIX}/job/{id}")
}

/// Key of a chunk of a borrowed job's done ranges.
pub fn borrowed_done_key(id: &str, chunk: u32) -> String {
    format!("{}{chunk}", borrowed_done_prefix(id))
}

/// Prefix of the chunks of a borrowed job's done ranges.
pub fn borrowed_done_prefix(id: &str) -> String {
    format!("{BORROWED_PREFIX}/done/{id}/")
}

/// Key of the record of a lender cell.
pub fn lender_key(cell: &str) -> String {
    format!("{BORROWED_PREFIX}/lender/{cell}")
}
