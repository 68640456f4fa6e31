//! The state of a job in the leader's model.

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
    /// The machine of each task, by task number, whether or not its start has been sent.
    pub places: BTreeMap<u32, MachineId>,
    /// Tasks of this attempt whose start has been sent.
    pub started: TaskRanges,
    /// When the machines were chosen.
    pub placed_at: Steady,
    /// When the first start of the attempt was sent.
    pub first_start_at: Option<Steady>,
    /// The grace period in seconds with which the attempt is being stopped; `None` if it is not being
    /// stopped.
    pub stop_grace_s: Option<f64>,
}

impl GangAttempt {
    /// The tasks whose start has not been sent, with their machines.
    pub(crate) fn unsent_places(&self) -> impl Iterator<Item = (u32, &MachineId)> {
        let places = self.places.iter().map(|(task, machine)| (*task, machine));
        places.filter(|(task, _)| !self.started.contains(*task))
    }
}

/// The sum and the number of run times that were observed from start to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// The sum of the run times.
    pub total: Micros,
    /// The number of run times.
    pub count: u32,
}

impl RunTimes {
    /// Adds a run time.
    pub fn add(&mut self, run_time: Micros) {
        self.total = self.total + run_time;
        self.count += 1;
    }
}

/// Failures further apart than this do not count as consecutive. It is twice the longest time between two
/// attempts.
const MAX_FAILURE_GAP: Micros = Micros::from_millis(120_000);

/// Seconds until the next attempt after each of the first `QUICK_RETRIES` consecutive failures.
const QUICK_RETRY_S: f64 = 0.5;

/// The number of consecutive failures that are retried after the short delay `QUICK_RETRY_S`.
const QUICK_RETRIES: u32 = 2;

/// The longest time between two attempts, in seconds.
const MAX_RETRY_S: f64 = 60.0;

/// The largest exponent of two that the time between two attempts is computed from.
const MAX_BACK_OFF_EXPONENT: u32 = 7;

/// The number up to which consecutive failures are counted.
const MAX_COUNTED_FAILURES: u32 = 1000;

/// The minimum number of tasks by which a start mark is written ahead of the starts that need it.
const MIN_MARK_AHEAD: u32 = 16;

/// The state of a live job, or of an ended one some of whose tasks may still be running.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The job's description. That of a borrowed job has the lowest priority, no class and no deadline.
    pub spec: JobSpec,
    /// When the job was accepted.
    pub submitted: Wall,
    /// When this leader first read a record of the job.
    pub known_since: Steady,
    /// The state-store revision of the job's record.
    pub mod_revision: u64,
    /// The high-water mark of started task numbers, as stored. Tasks with lower numbers may be started.
    pub start_mark: u32,
    /// The start mark that is to be stored next.
    pub wanted_start_mark: u32,
    /// The start mark that this leader loaded. Tasks with lower numbers may be running on any machine until
    /// all machines have acknowledged this leader's fencing token.
    pub inherited_start_mark: u32,
    /// Tasks that are not done, not withheld, and may be running on no machine.
    pub waiting: TaskRanges,
    /// Tasks that are done.
    pub done: TaskRanges,
    /// Done tasks that the stored done ranges contain.
    pub done_written: TaskRanges,
    /// The state-store revisions of the records of done ranges, by chunk number.
    pub done_chunks: BTreeMap<u32, u64>,
    /// The stored copies of the done ranges and the start mark. They are kept from the moment at which tasks
    /// of the job are first to be lent.
    pub copy: ProgressCopy,
    /// When a chunk of the done ranges was last written.
    pub done_written_at: Steady,
    /// The machines on which each task is running, or may be.
    pub placements: BTreeMap<u32, Vec<MachineId>>,
    /// The gang's current attempt.
    pub gang: Option<GangAttempt>,
    /// Whether the job has ended, cancelled by its user or complete. Its remaining tasks are being stopped.
    pub ended: bool,
    /// The number of consecutive failures, on all machines together.
    pub consecutive_failures: u32,
    /// When the latest counted failure occurred.
    pub failed_at: Steady,
    /// Machines on which the job has failed since its latest success.
    pub failed_on: BTreeSet<MachineId>,
    /// The end of the retry delay after a failure. No task of the job is started before it.
    pub not_before: Steady,
    /// Machines on which a replica of a service exited by itself, and when it did.
    pub vacated: BTreeMap<MachineId, Steady>,
    /// Run times of the job's tasks, for the run-time history.
    pub run_times: RunTimes,
    /// When this leader sent the first start of a task of the job.
    pub first_start_at: Option<Steady>,
    /// Tasks that must not start in this cell: those lent to other cells or, of a borrowed job, all that this
    /// cell has not borrowed.
    pub withheld: TaskRanges,
    /// The name of the lender if the job is borrowed; `None` if this cell accepted the job.
    pub borrowed_from: Option<String>,
    /// Tasks of a borrowed job whose start has been sent.
    pub started: TaskRanges,
}

impl Job {
    /// Creates the state of a job from its record.
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

    /// The key of the job's record in the state store.
    pub fn record_key(&self) -> String {
        match self.borrowed_from {
            Some(_) => borrowed_key(&self.id),
            None => job_key(&self.id),
        }
    }

    /// The key of a chunk of the job's done ranges in the state store.
    pub fn done_chunk_key(&self, chunk: u32) -> String {
        match self.borrowed_from {
            Some(_) => borrowed_done_key(&self.id, chunk),
            None => done_key(&self.id, chunk),
        }
    }

    /// Whether the job is borrowed, or progress copies are kept because tasks of it are lent, were lent or
    /// are to be lent.
    pub(crate) fn has_loans(&self) -> bool {
        self.borrowed_from.is_some() || self.copy.is_kept
    }

    /// Whether the job is a gang with an outstanding attempt: its starts are due, or tasks of it may be
    /// running.
    pub(crate) fn is_placed_gang(&self) -> bool {
        self.spec.is_gang() && (self.gang.is_some() || !self.placements.is_empty())
    }

    /// Marks tasks as done: they no longer wait for a start.
    pub(crate) fn add_done(&mut self, tasks: impl Iterator<Item = u32>) {
        for task in tasks {
            self.done.insert(task);
            self.waiting.remove(task);
        }
    }

    /// Whether a task is stored as done, so that no leader of any version starts it again. If copies are
    /// kept, the copy has to be stored as well.
    pub fn is_recorded(&self, task: u32) -> bool {
        self.done_written.contains(task) && (!self.copy.is_kept || self.copy.done.contains(task))
    }

    /// The tasks that are stored as done, in the copies as well if they are kept.
    pub fn recorded_done(&self) -> TaskSet {
        let written = self.done_written.task_set();
        if self.copy.is_kept {
            written.intersection(&self.copy.done.task_set())
        } else {
            written
        }
    }

    /// Whether some done tasks have yet to be stored as done.
    pub(crate) fn has_unrecorded(&self) -> bool {
        let done = self.done.len();
        done > self.done_written.len() || self.copy.is_kept && done > self.copy.done.len()
    }

    /// Whether some done tasks from `start` up to but not including `end` have yet to be stored as done.
    pub(crate) fn has_unrecorded_within(&self, start: u32, end: u32) -> bool {
        let done = self.done.within(start, end);
        done != self.done_written.within(start, end)
            || self.copy.is_kept && done != self.copy.done.within(start, end)
    }

    /// Whether the copies contain all tasks of the stored done ranges.
    pub(crate) fn is_copy_complete(&self) -> bool {
        self.done_written.task_set().is_subset(&self.copy.done.task_set())
    }

    /// Whether recorded progress of the job would be lost if a leader of a version without copies removed the
    /// done ranges and the start mark: the copies are incomplete.
    pub(crate) fn lacks_copies(&self) -> bool {
        let has_copied_mark = self.copy.start_mark >= self.start_mark;
        self.borrowed_from.is_none() && !(self.is_copy_complete() && has_copied_mark)
    }

    /// Whether the stored done ranges contain all tasks of the copies.
    pub(crate) fn has_written_all_copies(&self) -> bool {
        self.copy.done.task_set().is_subset(&self.done_written.task_set())
    }

    /// The start mark below which tasks may be started: the lower of the stored mark and its copy, if copies
    /// are kept.
    pub(crate) fn stored_start_mark(&self) -> u32 {
        if self.copy.is_kept {
            self.start_mark.min(self.copy.start_mark)
        } else {
            self.start_mark
        }
    }

    /// Replaces the set of tasks that must not start in this cell. Tasks that are no longer withheld wait
    /// again, unless they are done or may be running.
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

    /// Removes a machine from a task's placements. The task waits again if it may be running on no other
    /// machine and is neither done nor withheld.
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

    /// Whether all tasks of the job are done.
    pub fn is_complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Records the success of a task, which resets the count of consecutive failures.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failed_on.clear();
    }

    /// Counts a failure. The job is retried with exponential backoff, so that a job that always fails does
    /// not occupy capacity. During the retry delay, further failures on the same machine are not counted:
    /// their starts were sent before the delay began. A faulty machine fails many tasks at once, and counting
    /// them all would delay the job by a minute.
    pub fn record_failure(&mut self, machine: &MachineId, now: Steady) {
        if now - self.failed_at > MAX_FAILURE_GAP {
            // Replicas of a service may fail hours apart, without a success that resets the count.
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

    /// Seconds from the latest counted failure to the next attempt.
    fn retry_delay_s(&self) -> f64 {
        if self.consecutive_failures <= QUICK_RETRIES {
            return QUICK_RETRY_S;
        }
        let exponent = self.consecutive_failures.min(MAX_BACK_OFF_EXPONENT);
        f64::from(1u32 << exponent).min(MAX_RETRY_S)
    }

    /// Requests a start mark above task `last`, and further ahead, so that later starts do not each wait for
    /// a write. `count` is the number of tasks that are about to start.
    pub fn request_start_mark(&mut self, last: u32, count: u32) {
        if last < self.start_mark {
            return;
        }
        let mark = last.saturating_add(1 + count.max(MIN_MARK_AHEAD)).min(self.spec.tasks);
        self.wanted_start_mark = self.wanted_start_mark.max(mark);
    }

    /// The lowest task number from which on no earlier leader can have started a task. `None` if tasks of the
    /// job are placed with regard to each other and an earlier leader may have started one of them: then none
    /// counts as never started.
    pub(crate) fn first_never_started(&self) -> Option<u32> {
        let are_placed_together = self.spec.one_zone || self.spec.spread || self.spec.is_gang();
        let is_excluded = are_placed_together && self.inherited_start_mark > 0;
        (!is_excluded).then_some(self.inherited_start_mark)
    }

    /// Records that the start of a task is sent now. Returns its attempt number: that of the gang's attempt
    /// for a gang, `attempt` for other jobs.
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

    /// Raises the start marks to a stored mark: tasks below it may have been started.
    pub fn raise_start_mark(&mut self, mark: u32) {
        self.start_mark = self.start_mark.max(mark);
        self.wanted_start_mark = self.wanted_start_mark.max(mark);
        self.inherited_start_mark = self.inherited_start_mark.max(mark);
    }
}

/// Splits a task's name on the wire, `JOB/NUMBER`, into the job's id and the task number. `None` if the name
/// has another form.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
