//! The watching duty: follows the changes of the jobs' records that other controllers make.

use super::{Controller, Leadership};
use crate::fleet::Fleet;
use crate::records::JobRecord;
use crate::state::{RequestPriority, StateStoreError};
use crate::time::{Micros, Steady};
use crate::wire::{WatchEvent, WatchEvents};

/// Prefix of the live jobs' keys.
const JOBS_PREFIX: &str = "job/";
/// Pause between two looks.
const WATCH_PAUSE: Micros = Micros::from_millis(100);
/// Pause after a look that failed.
const WATCH_RETRY_DELAY: Micros = Micros::from_millis(250);
/// Complete reads begin no closer together than this.
const MIN_READ_INTERVAL: Micros = Micros::from_millis(100);
/// Complete reads begin no further apart than this.
const MAX_READ_INTERVAL: Micros = Micros::from_millis(1_000);

impl Controller {
    /// Follows the changes of jobs until the controller ends.
    pub(super) fn watch(&self) {
        while !self.stopping() {
            let pause = self.watch_once();
            self.sleep(pause);
        }
    }

    /// Fetches changes of jobs; returns how long to pause. Only complete reads, which are answered at
    /// once, renew the view; between them a watch brings changes as they come. A watch that stays
    /// silent, or is answered late, proves nothing: it may have waited for a service that refuses
    /// this controller.
    pub fn watch_once(&self) -> Micros {
        let Some((fencing_token, from, view)) =
            self.lock().leadership.as_ref().map(|o| (o.claim.fencing_token, o.fleet.read_to(), o.view))
        else {
            return WATCH_PAUSE;
        };
        let sent = self.now();
        // With tight settings the view must not age for long.
        let block = self.cfg.max_staleness().scale(0.4).clamp(MIN_READ_INTERVAL, MAX_READ_INTERVAL);
        let left = block - view.read_age(sent);
        let read = left.0 <= 0;
        let changes = if read {
            self.state.changes(JOBS_PREFIX, from, RequestPriority::Leadership)
        } else {
            self.state.watch(JOBS_PREFIX, from, left)
        };
        match changes {
            Ok(changes) => {
                let mut shared = self.lock();
                let Some(leadership) = shared.leadership_with(fencing_token) else { return Micros::ZERO };
                self.apply_changes(leadership, changes, read.then_some(sent));
                WATCH_PAUSE
            }
            Err(StateStoreError::TooOld) => {
                let mut shared = self.lock();
                if shared.leadership_with(fencing_token).is_some() {
                    self.step_down(&mut shared, 0, "watch revision compacted");
                }
                Micros::ZERO
            }
            Err(e) => {
                tracing::debug!(error = %e, "job watch failed");
                WATCH_RETRY_DELAY
            }
        }
    }

    /// Applies changes; `read_at` is when they were asked for if they are a complete read, none if a
    /// watch brought them.
    fn apply_changes(&self, leadership: &mut Leadership, changes: WatchEvents, read_at: Option<Steady>) {
        let latest = changes.events.iter().map(|e| e.mod_revision).max().unwrap_or(0);
        for event in changes.events {
            apply_change(&mut leadership.fleet, event, self.now());
        }
        leadership.fleet.has_read_to(if read_at.is_some() { changes.revision } else { latest });
        if let Some(sent) = read_at {
            leadership.view.note_read(sent);
        }
    }
}

/// Applies a change under the jobs' prefix.
fn apply_change(fleet: &mut Fleet, e: WatchEvent, now: Steady) {
    if let Some(id) = e.drop.as_deref().and_then(|k| k.strip_prefix(JOBS_PREFIX)) {
        fleet.job_over(id, e.mod_revision);
    } else if e.put.is_some() {
        match serde_json::from_value::<JobRecord>(e.value) {
            Ok(r) => fleet.job_put(r, e.mod_revision, now),
            Err(e) => tracing::error!(error = %e, "malformed job record"),
        }
    }
}
