//! The watching duty: follows the changes to jobs' records that other controllers make.

use super::step_down::StepDownReason;
use super::{Controller, Leadership};
use crate::fleet::{Fleet, UnreadableRecord};
use crate::keys::{job_key, JOBS_PREFIX};
use crate::records::JobRecord;
use crate::state::{RequestPriority, StateStoreError};
use crate::store_contact::StoreContact;
use crate::time::{Micros, Steady};
use crate::wire::{WatchEvent, WatchEvents};

/// Pause between two reads.
const WATCH_PAUSE: Micros = Micros::from_millis(100);
/// Pause after a read that failed.
const WATCH_RETRY_DELAY: Micros = Micros::from_millis(250);
/// Shortest interval between the starts of two complete reads.
const MIN_READ_INTERVAL: Micros = Micros::from_millis(100);
/// Longest interval between the starts of two complete reads.
const MAX_READ_INTERVAL: Micros = Micros::from_millis(1_000);
/// Interval between the starts of two complete reads, as a share of the time for which a leader may act
/// without contact with the state store.
const READ_SHARE_OF_STALENESS: f64 = 0.4;

/// The state of a leader's watch of the jobs' records.
struct WatchPosition {
    fencing_token: u64,
    /// The revision up to which changes have been read.
    revision: u64,
    store_contact: StoreContact,
}

impl WatchPosition {
    fn of(leadership: &Leadership) -> WatchPosition {
        WatchPosition {
            fencing_token: leadership.term.fencing_token,
            revision: leadership.fleet.jobs_revision(),
            store_contact: leadership.store_contact,
        }
    }
}

impl Controller {
    /// Follows the changes to jobs' records until the controller stops.
    pub(super) fn watch(&self) {
        while !self.stopping() {
            let pause = self.watch_once();
            self.sleep(pause);
        }
    }

    /// Fetches the changes to jobs' records once; returns how long to pause.
    ///
    /// Complete reads, which the state store answers at once, alternate with watches, which deliver changes
    /// as they are made. Only a complete read counts as contact with the state store. A watch without events
    /// or with a late answer does not: the state store may have refused this controller while the watch was
    /// open.
    pub fn watch_once(&self) -> Micros {
        let position = self.lock().leadership.as_ref().map(WatchPosition::of);
        let Some(position) = position else { return WATCH_PAUSE };
        let sent = self.now();
        let until_read = self.read_interval() - position.store_contact.read_age(sent);
        let is_complete_read = until_read.0 <= 0;
        let changes = if is_complete_read {
            self.state.changes(JOBS_PREFIX, position.revision, RequestPriority::Leadership)
        } else {
            self.state.watch(JOBS_PREFIX, position.revision, until_read)
        };
        match changes {
            Ok(changes) => {
                let mut shared = self.lock();
                let Some(leadership) = shared.leadership_with(position.fencing_token) else {
                    return Micros::ZERO;
                };
                let is_rebuild_due =
                    self.apply_changes(leadership, changes, is_complete_read.then_some(sent));
                drop(shared);
                if is_rebuild_due {
                    self.step_down_from(position.fencing_token, StepDownReason::RecordReadable);
                }
                WATCH_PAUSE
            }
            Err(StateStoreError::RevisionCompacted) => {
                self.step_down_from(position.fencing_token, StepDownReason::WatchCompacted);
                Micros::ZERO
            }
            Err(error) => {
                tracing::debug!(%error, "job watch failed");
                WATCH_RETRY_DELAY
            }
        }
    }

    /// Interval between the starts of two complete reads. The reads must be frequent enough for the maximum
    /// staleness that the settings allow.
    fn read_interval(&self) -> Micros {
        let by_staleness = self.config.max_staleness().scale(READ_SHARE_OF_STALENESS);
        by_staleness.clamp(MIN_READ_INTERVAL, MAX_READ_INTERVAL)
    }

    /// Applies changes to the fleet. For a complete read, `read_at` is when it was requested; for a watch it
    /// is none. Returns whether the fleet has to be rebuilt from all records.
    fn apply_changes(
        &self,
        leadership: &mut Leadership,
        mut changes: WatchEvents,
        read_at: Option<Steady>,
    ) -> bool {
        let mut is_rebuild_due = false;
        // The latest record of a job must win, in whatever order the events arrive.
        changes.events.sort_by_key(|event| event.mod_revision);
        let latest = changes.events.iter().map(|event| event.mod_revision).max().unwrap_or(0);
        for event in changes.events {
            is_rebuild_due |= apply_change(&mut leadership.fleet, event, self.now());
        }
        leadership.fleet.advance_jobs_revision(if read_at.is_some() { changes.revision } else { latest });
        if let Some(sent) = read_at {
            leadership.store_contact.record_read(sent);
        }
        is_rebuild_due
    }
}

/// Applies a change to a key with the jobs' prefix. Returns whether the fleet has to be rebuilt from all
/// records: a job's record can now be read that this leader could not read before.
fn apply_change(fleet: &mut Fleet, event: WatchEvent, now: Steady) -> bool {
    let job_id = |key: &Option<String>| key.as_deref()?.strip_prefix(JOBS_PREFIX).map(str::to_string);
    if let Some(id) = job_id(&event.drop) {
        fleet.apply_job_removal(&id, event.mod_revision);
        return false;
    }
    let Some(id) = job_id(&event.put) else { return false };
    match serde_json::from_value::<JobRecord>(event.value) {
        Ok(_) if fleet.is_unreadable_job(&id) => return true,
        Ok(record) => fleet.apply_job_record(record, event.mod_revision, now),
        Err(error) => fleet.mark_unreadable(UnreadableRecord::Job(&id), &job_key(&id), &error),
    }
    false
}
