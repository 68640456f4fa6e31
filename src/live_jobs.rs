//! The live jobs as this node knows them, for polls. A poll has to rest on a read begun after it
//! came. One read of what changed under `job/` since the last one serves all polls that wait at that
//! moment: users poll each unfinished job every few seconds, and with a read for each the polls of a
//! busy minute alone would take this node's share of the state service.

use std::collections::BTreeSet;
use std::sync::{Condvar, Mutex, MutexGuard};

use crate::state::{RequestPriority, StateStoreClient, StateStoreError};
use crate::time::{steady, Micros, Steady};
use crate::wire::Events;

/// How long a poll waits for a read; its user gives up after two seconds.
const WITHIN: Micros = Micros(1_900_000);
const PREFIX: &str = "job/";

/// Ids of the live jobs at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveIds {
    /// The ids.
    pub ids: BTreeSet<String>,
    /// The revision; none: all is to be read anew.
    pub revision: Option<u64>,
}

impl LiveIds {
    /// Takes in changes since the revision.
    pub fn apply(&mut self, c: &Events) {
        let id = |key: Option<&String>| key.and_then(|k| k.strip_prefix(PREFIX)).map(str::to_string);
        self.ids.extend(c.events.iter().filter_map(|e| id(e.put.as_ref())));
        // Last, whatever order they come in: a job that has ended never lives again.
        for gone in c.events.iter().filter_map(|e| id(e.drop.as_ref())) {
            self.ids.remove(&gone);
        }
        self.revision = self.revision.max(Some(c.revision));
    }
}

#[derive(Default)]
struct Seen {
    live: LiveIds,
    /// Reads begun, the last that succeeded, and the last that failed, by number.
    begun: u64,
    good: u64,
    bad: Option<(u64, StateStoreError)>,
    busy: bool,
    last: Steady,
}

/// The live jobs.
pub struct LiveJobs {
    seen: Mutex<Seen>,
    bell: Condvar,
    gap: Micros,
}

impl LiveJobs {
    /// Nothing is known yet. Reads begin at least `gap` apart.
    pub fn new(gap: Micros) -> LiveJobs {
        LiveJobs { seen: Mutex::default(), bell: Condvar::new(), gap }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn wait<'a>(&self, s: MutexGuard<'a, Seen>, t: Micros) -> MutexGuard<'a, Seen> {
        match self.bell.wait_timeout(s, t.std()) {
            Ok((g, _)) => g,
            Err(e) => e.into_inner().0,
        }
    }

    /// Whether a job is live, by a read begun after this call.
    pub fn is_live(&self, id: &str, state: &StateStoreClient) -> Result<bool, StateStoreError> {
        let deadline = steady() + WITHIN;
        let mut s = self.lock();
        // One that has begun already may have been executed before this call.
        let mine = s.begun + 1;
        loop {
            if s.good >= mine {
                return Ok(s.live.ids.contains(id));
            }
            if let Some((_, e)) = s.bad.as_ref().filter(|b| b.0 >= mine) {
                return Err(e.clone());
            }
            let left = deadline - steady();
            if left.0 <= 0 {
                return Err(StateStoreError::Budget);
            }
            if s.busy {
                s = self.wait(s, left);
                continue;
            }
            s.busy = true;
            // Whoever comes in the gap is served by the same read.
            loop {
                let gap = s.last + self.gap - steady();
                if gap.0 <= 0 {
                    break;
                }
                s = self.wait(s, gap);
            }
            s.begun += 1;
            s.last = steady();
            let (number, from) = (s.begun, s.live.revision);
            drop(s);
            let read = read(state, from);
            s = self.lock();
            s.busy = false;
            match read {
                Ok(r) => {
                    match r {
                        Read::All(live) => s.live = live,
                        Read::Changes(c) => s.live.apply(&c),
                    }
                    s.good = number;
                }
                Err(e) => s.bad = Some((number, e)),
            }
            self.bell.notify_all();
        }
    }
}

enum Read {
    All(LiveIds),
    Changes(Events),
}

/// Reads what changed since a revision, or everything.
fn read(state: &StateStoreClient, from: Option<u64>) -> Result<Read, StateStoreError> {
    match from.map(|from| state.changes(PREFIX, from, RequestPriority::User)) {
        // Too much has changed since: all is read anew.
        None | Some(Err(StateStoreError::TooOld)) => {}
        Some(r) => return r.map(Read::Changes),
    }
    let (rows, revision) = state.list(PREFIX)?;
    let ids = rows.iter().filter_map(|r| r.key.strip_prefix(PREFIX)).map(str::to_string).collect();
    // A list of several pages is not of one moment: what changed meanwhile is read as well.
    let changes = state.changes(PREFIX, revision, RequestPriority::User)?;
    let mut live = LiveIds { ids, revision: Some(revision) };
    live.apply(&changes);
    Ok(Read::All(live))
}
