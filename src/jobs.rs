//! The owner's view of a job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::keys::{borrowed_done_key, borrowed_key, done_key, job_key};
use crate::records::JobRecord;
use crate::task_ranges::TaskRanges;
use crate::time::{Micros, Steady, Wall};
use crate::wire::JobSpec;

/// A job's id.
pub type JobId = Arc<str>;
/// A machine's id.
pub type MachineId = Arc<str>;

/// Where a gang's present attempt stands.
#[derive(Clone, Debug)]
pub struct GangAttempt {
    /// The attempt number, shared by all its tasks.
    pub attempt: u64,
    /// Where each task goes; a start may have left already or not.
    pub places: BTreeMap<u32, MachineId>,
    /// Tasks whose start has left.
    pub sent: TaskRanges,
    /// When the places were chosen.
    pub placed: Steady,
    /// When the first start left.
    pub since: Option<Steady>,
    /// Being stopped, with this grace.
    pub stopping: Option<f64>,
}

/// Failures further apart than this are not in a row: twice the longest time between two tries.
const FAILURES_APART: Micros = Micros::from_millis(120_000);

/// The owner's view of a live job.
#[derive(Debug)]
pub struct Job {
    /// The id.
    pub id: JobId,
    /// The description.
    pub spec: JobSpec,
    /// When it was accepted.
    pub submitted: Wall,
    /// When this owner came to know it.
    pub known: Steady,
    /// Version of its record.
    pub mod_revision: u64,
    /// Tasks below this may be started: written.
    pub high: u32,
    /// Tasks below this are to be made startable next.
    pub high_wanted: u32,
    /// `high` as this owner found it: tasks below may be anywhere until all machines are heard.
    pub inherited: u32,
    /// Tasks that are neither done nor anywhere.
    pub waiting: TaskRanges,
    /// Tasks that are done.
    pub done: TaskRanges,
    /// Done tasks whose ranges are written.
    pub done_written: TaskRanges,
    /// Versions of the chunks of done ranges.
    pub chunks: BTreeMap<u32, u64>,
    /// When done ranges were last written.
    pub wrote_done: Steady,
    /// Where tasks possibly are.
    pub live: BTreeMap<u32, Vec<MachineId>>,
    /// The gang's present attempt.
    pub gang: Option<GangAttempt>,
    /// The user withdrew it; only its remains are left to clear.
    pub cancelled: bool,
    /// Failures in a row, across machines.
    pub errors: u32,
    /// When it last failed.
    pub failed_at: Steady,
    /// Machines on which it failed with no success since.
    pub failed_on: BTreeSet<MachineId>,
    /// After failures, not started before this.
    pub not_before: Steady,
    /// Machines that a replica of a service has left by itself, and when.
    pub vacated: BTreeMap<MachineId, Steady>,
    /// Run times seen whole: their sum and number.
    pub ran: (Micros, u32),
    /// A start has been counted (for the log).
    pub first_start: Option<Steady>,
    /// Tasks that must not start in this cell: those lent to others, or, of a borrowed job, all that are
    /// not held here.
    pub withheld: TaskRanges,
    /// The cell that accepted the job, if another one did.
    pub borrowed_from: Option<String>,
    /// Tasks of a borrowed job whose start has left.
    pub begun: TaskRanges,
}

impl Job {
    /// A job from its record.
    pub fn new(record: JobRecord, mod_revision: u64, now: Steady) -> Job {
        Job {
            id: record.spec.id.as_str().into(),
            waiting: TaskRanges::span(0, record.spec.tasks),
            submitted: Wall(record.submitted_us),
            known: now,
            mod_revision,
            high: record.high_water_mark,
            high_wanted: record.high_water_mark,
            inherited: record.high_water_mark,
            spec: record.spec,
            done: TaskRanges::new(),
            done_written: TaskRanges::new(),
            chunks: BTreeMap::new(),
            wrote_done: now,
            live: BTreeMap::new(),
            gang: None,
            cancelled: false,
            errors: 0,
            failed_at: Steady(0),
            failed_on: BTreeSet::new(),
            not_before: Steady(0),
            vacated: BTreeMap::new(),
            ran: (Micros::ZERO, 0),
            first_start: None,
            withheld: TaskRanges::new(),
            borrowed_from: None,
            begun: TaskRanges::new(),
        }
    }

    /// Key of the job's record.
    pub fn record_key(&self) -> String {
        match self.borrowed_from {
            Some(_) => borrowed_key(&self.id),
            None => job_key(&self.id),
        }
    }

    /// Key of a chunk of the job's done ranges.
    pub fn done_chunk_key(&self, chunk: u32) -> String {
        match self.borrowed_from {
            Some(_) => borrowed_done_key(&self.id, chunk),
            None => done_key(&self.id, chunk),
        }
    }

    /// Withholds these tasks from being started here, and no others.
    pub fn withhold(&mut self, tasks: TaskRanges) {
        let before = std::mem::replace(&mut self.withheld, tasks);
        for task in before.iter().filter(|task| !self.withheld.contains(*task)) {
            if !self.live.contains_key(&task) && !self.done.contains(task) {
                self.waiting.insert(task);
            }
        }
        for task in self.withheld.iter() {
            self.waiting.remove(task);
        }
    }

    /// Whether all tasks are done.
    pub fn complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// A task succeeded: the failures before it are no longer in a row.
    pub fn succeeded(&mut self) {
        self.errors = 0;
        self.failed_on.clear();
    }

    /// Counts a failure: the job is tried again ever more seldom, so that a mistaken one does not hold
    /// room. While it waits, further failures on the same machine are of starts that left before and are
    /// not counted: a machine at fault fails many tasks at once, and would put the job off for a minute.
    pub fn back_off(&mut self, machine: &MachineId, now: Steady) {
        if now - self.failed_at > FAILURES_APART {
            // Replicas of a service may fail hours apart, with no success that would end the row.
            self.succeeded();
        }
        let is_elsewhere = self.failed_on.insert(machine.clone());
        if now < self.not_before && !is_elsewhere {
            return;
        }
        self.failed_at = now;
        self.errors = (self.errors + 1).min(1000);
        let wait = if self.errors <= 2 { 0.5 } else { f64::from(1u32 << self.errors.min(7)).min(60.0) };
        self.not_before = now + Micros::from_secs(wait);
    }

    /// Learns from its mark that tasks below `high` may have been started.
    pub fn marked(&mut self, high: u32) {
        self.high = self.high.max(high);
        self.high_wanted = self.high_wanted.max(high);
        self.inherited = self.inherited.max(high);
    }
}

/// Splits `wk-000412/3`.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, n) = task.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}
