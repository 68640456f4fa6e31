//! The live jobs as this controller knows them, for status requests.
//!
//! The answer to a status request has to rest on a read of the state store that began after the
//! request came. One read of what changed under `job/` since the last one serves all requests that
//! wait at that moment: users poll each unfinished job every few seconds, and with a read for each
//! poll a busy minute alone would use up this controller's share of the store's rate limits.

use std::collections::BTreeSet;
use std::sync::{Condvar, Mutex, MutexGuard};

use serde::Deserialize;
use serde_json::Value;

use crate::keys::JOBS_PREFIX;
use crate::records::JobRecord;
use crate::state::{KeyList, RequestPriority, StateStoreClient, StateStoreError};
use crate::time::{steady, Micros, Steady};
use crate::wire::{WatchEvent, WatchEvents};

/// How long a status request waits for a read; its user gives up after two seconds.
const REQUEST_PATIENCE: Micros = Micros::from_millis(1900);

/// Ids of the live jobs at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveIds {
    /// The ids.
    pub ids: BTreeSet<String>,
    /// The revision; `None` until all live jobs have been read.
    pub revision: Option<u64>,
}

impl LiveIds {
    /// Applies changes since the revision.
    pub fn apply(&mut self, changes: &WatchEvents) {
        let job_id =
            |key: Option<&String>| key.and_then(|key| key.strip_prefix(JOBS_PREFIX)).map(str::to_string);
        self.ids.extend(changes.events.iter().filter_map(|event| job_id(event.put.as_ref())));
        // Removals last, whatever order the events come in: a job that has ended never lives again.
        for ended in changes.events.iter().filter_map(|event| job_id(event.drop.as_ref())) {
            self.ids.remove(&ended);
        }
        self.revision = self.revision.max(Some(changes.revision));
    }
}

/// The live jobs, and which of their records this version cannot read.
#[derive(Default)]
struct LiveRecords {
    live: LiveIds,
    unreadable: BTreeSet<String>,
}

impl LiveRecords {
    /// Applies changes since the revision.
    fn apply(&mut self, changes: &WatchEvents) {
        // The latest record of a job counts, whatever order the events come in.
        let mut events: Vec<&WatchEvent> = changes.events.iter().collect();
        events.sort_by_key(|event| event.mod_revision);
        for event in events {
            if let Some(id) = event.put.as_deref().and_then(|key| key.strip_prefix(JOBS_PREFIX)) {
                self.note_record(id, &event.value);
            }
        }
        self.live.apply(changes);
        self.unreadable.retain(|id| self.live.ids.contains(id));
    }

    /// Notes whether a job's record can be read.
    fn note_record(&mut self, id: &str, record: &Value) {
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

/// Whether a job is live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is live.
    Live,
    /// It has a record that this version cannot read.
    Unreadable,
    /// It has no record: it has ended, or was never accepted.
    Absent,
}

/// A read that failed.
struct FailedRead {
    number: u64,
    error: StateStoreError,
}

/// The live jobs as last read, and which reads have begun and ended. Reads are numbered from 1.
#[derive(Default)]
struct ReadState {
    records: LiveRecords,
    /// Number of the last read that has begun.
    last_begun: u64,
    /// Number of the last read that succeeded; 0: none.
    last_succeeded: u64,
    last_failed: Option<FailedRead>,
    /// A read is under way, or its turn is awaited.
    read_in_progress: bool,
    /// When the last read began.
    last_begun_at: Steady,
}

impl ReadState {
    /// The answer for a job by a read of at least this number; `None` if none has ended yet.
    fn result_since(&self, number: u64, id: &str) -> Option<Result<Presence, StateStoreError>> {
        if self.last_succeeded >= number {
            return Some(Ok(self.records.presence(id)));
        }
        let failed = self.last_failed.as_ref().filter(|failed| failed.number >= number)?;
        Some(Err(failed.error.clone()))
    }

    /// Records the result of a read.
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

/// The live jobs.
pub struct LiveJobs {
    state: Mutex<ReadState>,
    read_ended: Condvar,
    min_read_interval: Micros,
}

impl LiveJobs {
    /// Knows no job yet. Reads begin at least `min_read_interval` apart.
    pub fn new(min_read_interval: Micros) -> LiveJobs {
        LiveJobs { state: Mutex::default(), read_ended: Condvar::new(), min_read_interval }
    }

    fn lock(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn wait<'a>(&self, state: MutexGuard<'a, ReadState>, timeout: Micros) -> MutexGuard<'a, ReadState> {
        match self.read_ended.wait_timeout(state, timeout.to_duration()) {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        }
    }

    /// Whether a job is live, by a read that begins after this call.
    ///
    /// # Errors
    /// That of the read; [`StateStoreError::RateBudgetExceeded`] if none ended in time.
    pub fn presence(&self, id: &str, store: &StateStoreClient) -> Result<Presence, StateStoreError> {
        let deadline = steady() + REQUEST_PATIENCE;
        let mut state = self.lock();
        // The store may have executed a read that has begun already before this call.
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

    /// Makes a read, as soon as the minimum interval since the last one has passed, and wakes all
    /// requests that wait for it.
    fn read_once<'a>(
        &'a self,
        mut state: MutexGuard<'a, ReadState>,
        store: &StateStoreClient,
    ) -> MutexGuard<'a, ReadState> {
        state.read_in_progress = true;
        // Requests that come within the interval are served by the same read.
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

/// What a read of the live jobs gives.
enum ReadResult {
    /// All of them.
    All(LiveRecords),
    /// What has changed since the last read.
    Changes(WatchEvents),
}

/// Reads what changed since a revision, or everything.
fn read(store: &StateStoreClient, from: Option<u64>) -> Result<ReadResult, StateStoreError> {
    match from.map(|from| store.changes(JOBS_PREFIX, from, RequestPriority::User)) {
        // Too much has changed since: everything is read again.
        None | Some(Err(StateStoreError::RevisionCompacted)) => {}
        Some(result) => return result.map(ReadResult::Changes),
    }
    let KeyList { rows, revision } = store.list(JOBS_PREFIX)?;
    let mut records = LiveRecords::default();
    records.live.revision = Some(revision);
    for row in &rows {
        if let Some(id) = row.key.strip_prefix(JOBS_PREFIX) {
            records.live.ids.insert(id.to_string());
            records.note_record(id, &row.value);
        }
    }
    // The pages of a list are not read at one moment: what changed meanwhile is read as well.
    let changes = store.changes(JOBS_PREFIX, revision, RequestPriority::User)?;
    records.apply(&changes);
    Ok(ReadResult::All(records))
}
