//! The leader's view of a job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletlock_cells::TaskSet;

use crate::keys::{borrowed_done_key, borrowed_key, done_key, job_key};
use crate::progress_copy::ProgressCopy;
use crate::records::JobRecord;
use crate::task_ranges::TaskRanges;
use crate::time::{Micros, Steady, Wall};
use crate::wire::JobSpec;

/// A job's id.
pub type JobId = Arc<str>;
/// A machine's id.
pub type MachineId = Arc<str>;

/// The current attempt of a gang.
#[derive(Clone, Debug)]
pub struct GangAttempt {
    /// The attempt number, shared by all its tasks.
    pub attempt: u64,
    /// The machine of each task, whether its start has been sent or not.
    pub places: BTreeMap<u32, MachineId>,
    /// Tasks whose start has been sent.
    pub started: TaskRanges,
    /// When the places were chosen.
    pub placed_at: Steady,
    /// When the first start was sent.
    pub first_start_at: Option<Steady>,
    /// Seconds of grace with which it is being stopped; `None` if it is not.
    pub stop_grace_s: Option<f64>,
}

impl GangAttempt {
    /// The tasks whose start has not been sent, with their machines.
    pub(crate) fn unsent_places(&self) -> impl Iterator<Item = (u32, &MachineId)> {
        let places = self.places.iter().map(|(task, machine)| (*task, machine));
        places.filter(|(task, _)| !self.started.contains(*task))
    }
}

/// Run times that were observed from start to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// Their sum.
    pub total: Micros,
    /// How many they are.
    pub count: u32,
}

impl RunTimes {
    /// Adds a run time.
    pub fn add(&mut self, run_time: Micros) {
        self.total = self.total + run_time;
        self.count += 1;
    }
}

/// Failures further apart than this do not count as consecutive: twice the longest time between two
/// attempts.
const FAILURES_APART: Micros = Micros::from_millis(120_000);

/// Seconds until the next attempt after each of the first `QUICK_RETRIES` failures.
const QUICK_RETRY_S: f64 = 0.5;

/// Failures in a row that are retried at once.
const QUICK_RETRIES: u32 = 2;

/// Longest time between two attempts, in seconds.
const MAX_RETRY_S: f64 = 60.0;

/// Exponent of two beyond which the time between two attempts grows no more.
const MAX_BACK_OFF_EXPONENT: u32 = 7;

/// Failures in a row are counted up to this number.
const MAX_COUNTED_FAILURES: u32 = 1000;

/// A start mark is written at least this many tasks ahead of the starts that need it.
const MIN_MARK_AHEAD: u32 = 16;

/// The leader's view of a live job.
#[derive(Debug)]
pub struct Job {
    /// The id.
    pub id: JobId,
    /// The description.
    pub spec: JobSpec,
    /// When it was accepted.
    pub submitted: Wall,
    /// When this leader first knew of it.
    pub known_since: Steady,
    /// Version of its record.
    pub mod_revision: u64,
    /// High-water mark of started task numbers, as written: tasks below it may be started.
    pub start_mark: u32,
    /// The start mark to be written next.
    pub wanted_start_mark: u32,
    /// The start mark as this leader found it: tasks below it may be running on any machine until all
    /// machines have acknowledged this leader's fencing token.
    pub inherited_start_mark: u32,
    /// Tasks that are not done and run nowhere.
    pub waiting: TaskRanges,
    /// Tasks that are done.
    pub done: TaskRanges,
    /// Done tasks whose ranges are written.
    pub done_written: TaskRanges,
    /// Versions of the records of done ranges, by chunk number.
    pub done_chunks: BTreeMap<u32, u64>,
    /// The stored copies of the done ranges and the start mark, kept once tasks of the job are to be lent.
    pub copy: ProgressCopy,
    /// When done ranges were last written.
    pub done_written_at: Steady,
    /// The machines on which each task is running, or may be.
    pub placements: BTreeMap<u32, Vec<MachineId>>,
    /// The gang's current attempt.
    pub gang: Option<GangAttempt>,
    /// It has ended, cancelled by its user or complete; what is left of it is being stopped.
    pub ended: bool,
    /// Failures in a row, across machines.
    pub consecutive_failures: u32,
    /// When it last failed.
    pub failed_at: Steady,
    /// Machines on which it failed with no success since.
    pub failed_on: BTreeSet<MachineId>,
    /// After failures, not started before this.
    pub not_before: Steady,
    /// Machines that a replica of a service has left by itself, and when.
    pub vacated: BTreeMap<MachineId, Steady>,
    /// Run times of its tasks, for the history.
    pub run_times: RunTimes,
    /// When its first start was sent by this leader.
    pub first_start_at: Option<Steady>,
    /// Tasks that must not start in this cell: those lent to others, or, of a borrowed job, all that
    /// are not held here.
    pub withheld: TaskRanges,
    /// The cell that accepted the job, if another one did.
    pub borrowed_from: Option<String>,
    /// Tasks of a borrowed job whose start has been sent.
    pub started: TaskRanges,
}

impl Job {
    /// A job from its record.
    pub fn new(record: JobRecord, mod_revision: u64, now: Steady) -> Job {
        Job {
            id: record.spec.id.as_str().into(),
            waiting: TaskRanges::span(0, record.spec.tasks),
            submitted: Wall(record.submitted_us),
            known_since: now,
            mod_revision,
            start_mark: record.start_mark,
            wanted_start_mark: record.start_mark,
            inherited_start_mark: record.start_mark,
            spec: record.spec,
            done: TaskRanges::new(),
            done_written: TaskRanges::new(),
            done_chunks: BTreeMap::new(),
            copy: ProgressCopy::default(),
            done_written_at: now,
            placements: BTreeMap::new(),
            gang: None,
            ended: false,
            consecutive_failures: 0,
            failed_at: Steady(0),
            failed_on: BTreeSet::new(),
            not_before: Steady(0),
            vacated: BTreeMap::new(),
            run_times: RunTimes::default(),
            first_start_at: None,
            withheld: TaskRanges::new(),
            borrowed_from: None,
            started: TaskRanges::new(),
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

    /// Whether tasks of the job are lent, or were, or it is borrowed.
    pub(crate) fn has_loans(&self) -> bool {
        self.borrowed_from.is_some() || self.copy.is_kept
    }

    /// Whether it is a gang with an attempt: one whose starts are due, or of which tasks may be running.
    pub(crate) fn is_placed_gang(&self) -> bool {
        self.spec.is_gang() && (self.gang.is_some() || !self.placements.is_empty())
    }

    /// Adds done tasks.
    pub(crate) fn add_done(&mut self, tasks: impl Iterator<Item = u32>) {
        for task in tasks {
            self.done.insert(task);
            self.waiting.remove(task);
        }
    }

    /// Whether a task is recorded as done, so that no leader of any version starts it again.
    pub fn is_recorded(&self, task: u32) -> bool {
        self.done_written.contains(task) && (!self.copy.is_kept || self.copy.done.contains(task))
    }

    /// The tasks that are recorded as done.
    pub fn recorded_done(&self) -> TaskSet {
        let written = self.done_written.task_set();
        if self.copy.is_kept {
            written.intersection(&self.copy.done.task_set())
        } else {
            written
        }
    }

    /// Whether some tasks that are done have to be recorded.
    pub(crate) fn has_unrecorded(&self) -> bool {
        let done = self.done.len();
        done > self.done_written.len() || self.copy.is_kept && done > self.copy.done.len()
    }

    /// Whether done tasks from `start` up to but not including `end` have to be recorded.
    pub(crate) fn has_unrecorded_within(&self, start: u32, end: u32) -> bool {
        let done = self.done.within(start, end);
        done != self.done_written.within(start, end)
            || self.copy.is_kept && done != self.copy.done.within(start, end)
    }

    /// Whether all that is written as done is copied as well.
    pub(crate) fn is_copy_complete(&self) -> bool {
        self.done_written.task_set().is_subset(&self.copy.done.task_set())
    }

    /// Whether a leader of a version without copies would take recorded progress of the job away.
    pub(crate) fn lacks_copies(&self) -> bool {
        let has_copied_mark = self.copy.start_mark >= self.start_mark;
        self.borrowed_from.is_none() && !(self.is_copy_complete() && has_copied_mark)
    }

    /// Whether all that is copied is written as done as well.
    pub(crate) fn has_written_all_copies(&self) -> bool {
        self.copy.done.task_set().is_subset(&self.done_written.task_set())
    }

    /// The start mark below which tasks may be started: one that is stored wherever it has to be.
    pub(crate) fn stored_start_mark(&self) -> u32 {
        if self.copy.is_kept {
            self.start_mark.min(self.copy.start_mark)
        } else {
            self.start_mark
        }
    }

    /// Withholds these tasks from being started here, and no others.
    pub fn withhold(&mut self, tasks: TaskRanges) {
        let before = std::mem::replace(&mut self.withheld, tasks);
        for task in before.iter().filter(|task| !self.withheld.contains(*task)) {
            if !self.placements.contains_key(&task) && !self.done.contains(task) {
                self.waiting.insert(task);
            }
        }
        for task in self.withheld.iter() {
            self.waiting.remove(task);
        }
    }

    /// A task is on a machine no longer: it waits again if it is nowhere else and not done.
    pub(crate) fn remove_placement(&mut self, number: u32, machine: &MachineId) {
        if let Some(machines) = self.placements.get_mut(&number) {
            machines.retain(|other| other != machine);
            if machines.is_empty() {
                self.placements.remove(&number);
            }
        }
        let is_placed = self.placements.contains_key(&number);
        if !is_placed && !self.done.contains(number) && !self.withheld.contains(number) {
            self.waiting.insert(number);
        }
    }

    /// Whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// A task succeeded: the failures before it are no longer in a row.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failed_on.clear();
    }

    /// Counts a failure: the job is retried with exponential backoff, so that one which always fails does
    /// not hold capacity. While it waits, further failures on the same machine are of starts that were sent
    /// before and are not counted: a faulty machine fails many tasks at once, and would delay
    /// the job by a minute.
    pub fn record_failure(&mut self, machine: &MachineId, now: Steady) {
        if now - self.failed_at > FAILURES_APART {
            // Replicas of a service may fail hours apart, with no success that would end the row.
            self.record_success();
        }
        let is_other_machine = self.failed_on.insert(machine.clone());
        if now < self.not_before && !is_other_machine {
            return;
        }
        self.failed_at = now;
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
        self.not_before = now + Micros::from_secs(self.retry_delay_s());
    }

    /// Seconds from the latest failure to the next attempt.
    fn retry_delay_s(&self) -> f64 {
        if self.consecutive_failures <= QUICK_RETRIES {
            return QUICK_RETRY_S;
        }
        let exponent = self.consecutive_failures.min(MAX_BACK_OFF_EXPONENT);
        f64::from(1u32 << exponent).min(MAX_RETRY_S)
    }

    /// Asks for a start mark that covers task `last`, and a little more, so that starts do not wait for
    /// the write each time. `count` is how many tasks are about to start.
    pub fn request_start_mark(&mut self, last: u32, count: u32) {
        if last < self.start_mark {
            return;
        }
        let mark = last.saturating_add(1 + count.max(MIN_MARK_AHEAD)).min(self.spec.tasks);
        self.wanted_start_mark = self.wanted_start_mark.max(mark);
    }

    /// The lowest number from which on no earlier leader can have started a task. Tasks that are placed
    /// with regard to each other count as one: `None` if one of them may have been started.
    pub(crate) fn first_never_started(&self) -> Option<u32> {
        let are_placed_together = self.spec.one_zone || self.spec.spread || self.spec.is_gang();
        let is_excluded = are_placed_together && self.inherited_start_mark > 0;
        (!is_excluded).then_some(self.inherited_start_mark)
    }

    /// Counts the start of a task that is sent now; returns its attempt number: the gang's, or else
    /// `attempt`.
    pub(crate) fn record_start(&mut self, number: u32, attempt: u64, now: Steady) -> u64 {
        if self.borrowed_from.is_some() {
            self.started.insert(number);
        }
        let Some(gang) = self.gang.as_mut() else { return attempt };
        gang.started.insert(number);
        gang.first_start_at.get_or_insert(now);
        if gang.started.len() as usize == gang.places.len() {
            tracing::debug!(job = %self.id, "all gang starts sent");
        }
        gang.attempt
    }

    /// Learns from a written start mark that tasks below it may have been started.
    pub fn raise_start_mark(&mut self, mark: u32) {
        self.start_mark = self.start_mark.max(mark);
        self.wanted_start_mark = self.wanted_start_mark.max(mark);
        self.inherited_start_mark = self.inherited_start_mark.max(mark);
    }
}

/// Splits a task's name on the wire, `JOB/NUMBER`, into the job's id and the task number.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
