//! The live jobs as this controller has read them from the state store, for status requests.
//!
//! The answer to a status request must be based on a read of the state store that began after the request
//! arrived. One read of the changes under `job/` since the last read serves all requests that are waiting at
//! that moment. Users poll each unfinished job every few seconds. With one read for each poll, a busy minute
//! alone would use up this controller's share of the state store's rate limits.

use std::collections::BTreeSet;
use std::sync::{Condvar, Mutex, MutexGuard};

use serde::Deserialize;
use serde_json::Value;

use crate::keys::JOBS_PREFIX;
use crate::records::JobRecord;
use crate::state::{KeyList, RequestPriority, StateStoreClient, StateStoreError};
use crate::time::{steady, Micros, Steady};
use crate::wire::{WatchEvent, WatchEvents};

/// How long a status request waits for a read; the user's client gives up after two seconds.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(1900);

/// Ids of the live jobs at a revision of the state store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveIds {
    /// Ids of the live jobs.
    pub ids: BTreeSet<String>,
    /// The state store's revision; `None` until all live jobs have been read.
    pub revision: Option<u64>,
}

impl LiveIds {
    /// Applies the changes since [`LiveIds::revision`].
    pub fn apply(&mut self, changes: &WatchEvents) {
        let job_id =
            |key: Option<&String>| key.and_then(|key| key.strip_prefix(JOBS_PREFIX)).map(str::to_string);
        self.ids.extend(changes.events.iter().filter_map(|event| job_id(event.put.as_ref())));
        // Events may come in any order. Removals are applied last, because a job that has ended never becomes
        // live again.
        for ended in changes.events.iter().filter_map(|event| job_id(event.drop.as_ref())) {
            self.ids.remove(&ended);
        }
        self.revision = self.revision.max(Some(changes.revision));
    }
}

/// The live jobs, and those of them whose record this version cannot read.
#[derive(Default)]
struct LiveRecords {
    live: LiveIds,
    /// Ids of the live jobs whose record this version cannot read.
    unreadable: BTreeSet<String>,
}

impl LiveRecords {
    /// Applies the changes since [`LiveIds::revision`].
    fn apply(&mut self, changes: &WatchEvents) {
        // Events may come in any order. Of several records of a job, the latest one counts.
        let mut events: Vec<&WatchEvent> = changes.events.iter().collect();
        events.sort_by_key(|event| event.mod_revision);
        for event in events {
            if let Some(id) = event.put.as_deref().and_then(|key| key.strip_prefix(JOBS_PREFIX)) {
                self.update_readability(id, &event.value);
            }
        }
        self.live.apply(changes);
        self.unreadable.retain(|id| self.live.ids.contains(id));
    }

    /// Records whether this version can read a job's record.
    fn update_readability(&mut self, id: &str, record: &Value) {
        if JobRecord::deserialize(record).is_ok() {
            self.unreadable.remove(id);
        } else {
            self.unreadable.insert(id.to_string());
        }
    }

    fn presence(&self, id: &str) -> Presence {
        match (self.live.ids.contains(id), self.unreadable.contains(id)) {
            (false, _) => Presence::Absent,
            (true, true) => Presence::Unreadable,
            (true, false) => Presence::Live,
        }
    }
}

/// Whether a job has a live record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The job has a live record.
    Live,
    /// The job has a live record that this version cannot read.
    Unreadable,
    /// The job has no live record: it has ended, or was never accepted.
    Absent,
}

/// A read that failed, by its number.
struct FailedRead {
    number: u64,
    error: StateStoreError,
}

/// The live jobs as they were last read, and the state of the reads. Reads are numbered from 1.
#[derive(Default)]
struct ReadState {
    records: LiveRecords,
    /// Number of the last read that has begun.
    last_begun: u64,
    /// Number of the last read that succeeded; 0 if none has.
    last_succeeded: u64,
    last_failed: Option<FailedRead>,
    /// Whether a thread makes a read, or waits until the next read may begin.
    read_in_progress: bool,
    /// When the last read began; used to keep the minimum interval between reads.
    last_begun_at: Steady,
}

impl ReadState {
    /// The result for a job, from a read with at least this number; `None` if no such read has ended yet.
    fn result_since(&self, number: u64, id: &str) -> Option<Result<Presence, StateStoreError>> {
        if self.last_succeeded >= number {
            return Some(Ok(self.records.presence(id)));
        }
        let failed = self.last_failed.as_ref().filter(|failed| failed.number >= number)?;
        Some(Err(failed.error.clone()))
    }

    /// Records the result of the read with this number.
    fn finish(&mut self, number: u64, result: Result<ReadResult, StateStoreError>) {
        self.read_in_progress = false;
        match result {
            Ok(ReadResult::All(records)) => self.records = records,
            Ok(ReadResult::Changes(changes)) => self.records.apply(&changes),
            Err(error) => {
                self.last_failed = Some(FailedRead { number, error });
                return;
            }
        }
        self.last_succeeded = number;
    }
}

/// The live jobs as this controller reads them for status requests. Threads that wait for the same read share
/// it.
pub struct LiveJobs {
    state: Mutex<ReadState>,
    read_ended: Condvar,
    min_read_interval: Micros,
}

impl LiveJobs {
    /// Creates the state before the first read. Reads begin at least `min_read_interval` apart.
    pub fn new(min_read_interval: Micros) -> LiveJobs {
        LiveJobs { state: Mutex::default(), read_ended: Condvar::new(), min_read_interval }
    }

    fn lock(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits up to `timeout` until a read has ended.
    fn wait<'a>(&self, state: MutexGuard<'a, ReadState>, timeout: Micros) -> MutexGuard<'a, ReadState> {
        match self.read_ended.wait_timeout(state, timeout.to_duration()) {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        }
    }

    /// Whether a job is live, according to a read that begins after this call.
    ///
    /// # Errors
    /// The error of the read; [`StateStoreError::RateBudgetExceeded`] if no read ended in time.
    pub fn presence(&self, id: &str, store: &StateStoreClient) -> Result<Presence, StateStoreError> {
        let deadline = steady() + REQUEST_TIMEOUT;
        let mut state = self.lock();
        // A read that has begun already does not count: the state store may have executed it before this
        // call.
        let needed = state.last_begun + 1;
        loop {
            if let Some(result) = state.result_since(needed, id) {
                return result;
            }
            let left = deadline - steady();
            if left.0 <= 0 {
                return Err(StateStoreError::RateBudgetExceeded);
            }
            state =
                if state.read_in_progress { self.wait(state, left) } else { self.read_once(state, store) };
        }
    }

    /// Makes a read once the minimum interval since the last read has passed, and wakes all requests that
    /// wait for it.
    fn read_once<'a>(
        &'a self,
        mut state: MutexGuard<'a, ReadState>,
        store: &StateStoreClient,
    ) -> MutexGuard<'a, ReadState> {
        state.read_in_progress = true;
        // Requests that arrive during this wait are served by the same read.
        loop {
            let left = state.last_begun_at + self.min_read_interval - steady();
            if left.0 <= 0 {
                break;
            }
            state = self.wait(state, left);
        }
        state.last_begun += 1;
        state.last_begun_at = steady();
        let (number, from) = (state.last_begun, state.records.live.revision);
        drop(state);
        let result = read(store, from);
        let mut state = self.lock();
        state.finish(number, result);
        self.read_ended.notify_all();
        state
    }
}

/// The result of a read of the live jobs.
enum ReadResult {
    /// All live jobs.
    All(LiveRecords),
    /// The changes since the last read.
    Changes(WatchEvents),
}

/// Reads the changes since the revision `from`, or all live jobs if `from` is `None` or has been compacted.
fn read(store: &StateStoreClient, from: Option<u64>) -> Result<ReadResult, StateStoreError> {
    match from.map(|from| store.changes(JOBS_PREFIX, from, RequestPriority::User)) {
        // There was no read before, or its revision has been compacted: all live jobs are read below.
        None | Some(Err(StateStoreError::RevisionCompacted)) => {}
        Some(result) => return result.map(ReadResult::Changes),
    }
    let KeyList { rows, revision } = store.list(JOBS_PREFIX)?;
    let mut records = LiveRecords::default();
    records.live.revision = Some(revision);
    for row in &rows {
        if let Some(id) = row.key.strip_prefix(JOBS_PREFIX) {
            records.live.ids.insert(id.to_string());
            records.update_readability(id, &row.value);
        }
    }
    // The pages of a list are read one after the other. The changes since the first page are therefore read
    // as well.
    let changes = store.changes(JOBS_PREFIX, revision, RequestPriority::User)?;
    records.apply(&changes);
    Ok(ReadResult::All(records))
}
