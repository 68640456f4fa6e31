//! Jobs: ranges of tasks, the records kept in the state service, and the owner's view of a job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletlock_cells::{Lending, LoanNumber, TaskSet};
use serde::ser::{SerializeMap, Serializer};
use serde::{Deserialize, Serialize};

use crate::time::{Micros, Steady, Wall};
use crate::wire::{JobSpec, Rank, Stage};

/// A job's id.
pub type JobId = Arc<str>;
/// A machine's id.
pub type MachineId = Arc<str>;

/// A set of task numbers as sorted, disjoint, non-adjacent half-open ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// The empty set.
    pub fn new() -> Ranges {
        Ranges(Vec::new())
    }

    /// All numbers from `a` up to but not including `b`.
    pub fn span(a: u32, b: u32) -> Ranges {
        Ranges(if a < b { vec![(a, b)] } else { Vec::new() })
    }

    /// Whether the set holds `x`.
    pub fn contains(&self, x: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= x);
        self.0.get(i).is_some_and(|r| r.0 <= x)
    }

    /// Adds `x`; false if it was there.
    pub fn insert(&mut self, x: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < x);
        match self.0.get(i).copied() {
            Some((a, b)) if a <= x && x < b => false,
            Some((a, b)) if b == x => {
                match self.0.get(i + 1).copied() {
                    Some((c, d)) if c == x + 1 => {
                        self.0[i] = (a, d);
                        self.0.remove(i + 1);
                    }
                    _ => self.0[i] = (a, x + 1),
                }
                true
            }
            Some((a, b)) if a == x + 1 => {
                self.0[i] = (x, b);
                true
            }
            _ => {
                self.0.insert(i, (x, x + 1));
                true
            }
        }
    }

    /// Takes `x` out; false if it was not there.
    pub fn remove(&mut self, x: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= x);
        let Some((a, b)) = self.0.get(i).copied().filter(|r| r.0 <= x) else { return false };
        match (a == x, b == x + 1) {
            (true, true) => {
                self.0.remove(i);
            }
            (true, false) => self.0[i].0 = x + 1,
            (false, true) => self.0[i].1 = x,
            (false, false) => {
                self.0[i] = (a, x);
                self.0.insert(i + 1, (x + 1, b));
            }
        }
        true
    }

    /// How many numbers the set holds.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0).sum()
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|r| r.0..r.1)
    }

    /// How many numbers are at least `x`.
    pub fn count_from(&self, x: u32) -> u32 {
        self.0.iter().map(|r| r.1.saturating_sub(r.0.max(x))).sum()
    }

    /// The part from `a` up to but not including `b`.
    pub fn within(&self, a: u32, b: u32) -> Ranges {
        Ranges(self.0.iter().map(|r| (r.0.max(a), r.1.min(b))).filter(|r| r.0 < r.1).collect())
    }

    /// The same numbers as a compressed bitmap.
    pub fn task_set(&self) -> TaskSet {
        self.iter().collect()
    }

    /// The compact text: `0-4,7`, inclusive.
    pub fn text(&self) -> String {
        let one = |&(a, b): &(u32, u32)| if b == a + 1 { a.to_string() } else { format!("{a}-{}", b - 1) };
        self.0.iter().map(one).collect::<Vec<_>>().join(",")
    }

    /// Adds the numbers of a compact text; numbers from `limit` on are left out.
    pub fn add_text(&mut self, text: &str, limit: u32) {
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (a, b) = part.split_once('-').unwrap_or((part, part));
            if let (Ok(a), Ok(b)) = (a.parse::<u32>(), b.parse::<u32>()) {
                for x in a..=b.min(limit.saturating_sub(1)) {
                    self.insert(x);
                }
            }
        }
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> Ranges {
        let mut ranges = Ranges::new();
        for number in numbers {
            ranges.insert(number);
        }
        ranges
    }
}

/// What is written for a live job, under `job/<id>`.
#[derive(Clone, Debug, Deserialize)]
pub struct JobRecord {
    /// The job as its user described it.
    #[serde(alias = "spec_of_lent")]
    pub spec: JobSpec,
    /// When it was accepted, in microseconds of the time of day.
    pub submitted_us: i64,
    /// Tasks below this may have been started, as earlier versions wrote it; now in the marks.
    #[serde(default)]
    pub high: u32,
    /// Loans to other cells, and whether the job is being cancelled while some are open.
    #[serde(default)]
    pub lending: Lending,
}

/// While there is something to say of loans, the description has another name: versions that know nothing
/// of loans cannot read the record then, so that none of them starts what is lent.
impl Serialize for JobRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut record = serializer.serialize_map(None)?;
        let spec_name = if self.lending.is_empty() { "spec" } else { "spec_of_lent" };
        record.serialize_entry(spec_name, &self.spec)?;
        record.serialize_entry("submitted_us", &self.submitted_us)?;
        if self.high > 0 {
            record.serialize_entry("high", &self.high)?;
        }
        if !self.lending.is_empty() {
            record.serialize_entry("lending", &self.lending)?;
        }
        record.end()
    }
}

/// What is kept for ever of a job that is over, under `final/<id>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// `done` or `cancelled`.
    pub stage: Stage,
    /// Number of tasks.
    pub tasks: u32,
}

/// What is written for a machine before the first start on it, many to a value, under
/// `machines/<slot>`. Earlier versions wrote one under `machine/<id>`, with longer names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The part it belongs to.
    #[serde(rename = "p", alias = "part", default)]
    pub part: u32,
    /// The token it was enrolled with.
    #[serde(rename = "n", alias = "token", default)]
    pub token: u64,
    /// The worker's address.
    #[serde(rename = "a", alias = "addr", default)]
    pub addr: String,
    /// Type.
    #[serde(rename = "t", alias = "ty", default)]
    pub ty: String,
    /// Zone.
    #[serde(rename = "z", alias = "zone", default)]
    pub zone: String,
    /// Spot.
    #[serde(rename = "s", alias = "spot", default)]
    pub spot: bool,
    /// Fields of a later version, written back as they were read.
    #[serde(flatten)]
    pub other: BTreeMap<String, serde_json::Value>,
}

/// A recent job, as far as what is kept for its like goes. The list of them is written now and
/// then under `recent`, so that a new owner does not return what the next such job needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRecord {
    /// When it came, in microseconds of the time of day.
    pub at_us: i64,
    /// Processors, cards and memory of a task.
    pub need: (f64, f64, f64),
    /// Its rank.
    pub rank: Rank,
    /// Names of the types it may use.
    pub types: Vec<String>,
    /// Task-seconds, by the stated time.
    pub work: f64,
    /// Its class should start sooner than a machine boots and fetches.
    #[serde(rename = "hasty")]
    pub starts_before_boot: bool,
    /// Machines that it takes at once, beyond the first.
    #[serde(rename = "beside", default)]
    pub extra_machines: u32,
    /// It has a deadline.
    #[serde(default)]
    pub due: bool,
    /// It may use spot machines.
    #[serde(default)]
    pub spot: bool,
}

/// Key of the list of recent jobs.
pub const RECENT_KEY: &str = "recent";

/// Key of a live job.
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// Key of a job that is over.
pub fn final_key(id: &str) -> String {
    format!("final/{id}")
}

/// Prefix of the packed machine records.
pub const MACHINES: &str = "machines";
/// Prefix of the packed marks: by job, tasks below which may have been started.
pub const MARKS: &str = "marks";
/// Prefix of the history, packed by key's hash; earlier versions wrote `hist/<team>/<stated>`.
pub const HISTORY: &str = "hist";

/// Key of a packed value.
pub fn slot_key(prefix: &str, slot: u32) -> String {
    format!("{prefix}/{slot}")
}

/// Key of a chunk of a job's done ranges.
pub fn done_key(id: &str, chunk: u32) -> String {
    format!("done/{id}/{chunk}")
}

/// Prefix of all that a cell keeps of tasks that it has borrowed.
pub const BORROWED: &str = "borrowed";

/// Key of a borrowed job.
pub fn borrowed_key(id: &str) -> String {
    format!("{BORROWED}/job/{id}")
}

/// Key of a chunk of a borrowed job's done ranges.
pub fn borrowed_done_key(id: &str, chunk: u32) -> String {
    format!("{BORROWED}/done/{id}/{chunk}")
}

/// Key of what is kept of a cell from which tasks are borrowed.
pub fn lender_key(cell: &str) -> String {
    format!("{BORROWED}/lender/{cell}")
}

/// What is kept of a cell from which tasks are borrowed, under `borrowed/lender/<cell>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LenderRecord {
    /// No loan up to this number is accepted any more.
    pub high_water: LoanNumber,
    /// Tasks that were done here in loans that are closed.
    pub finished: u64,
}

/// Tasks in a chunk of done ranges, so that the longest text fits a value: ranges of one task
/// each, apart by one, take up to seven bytes for two tasks.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    ((value_bytes / 4).saturating_sub(8)).clamp(64, 65_535) as u32
}

/// Bits of a chunk's number that hold its index among the job's chunks.
const CHUNK_INDEX_BITS: u32 = 12;

/// Number of a chunk of done ranges. It carries the tasks in a chunk beside the index: with the index
/// alone, as earlier versions number chunks, two owners whose values are limited differently would
/// write different tasks under one key, and each would drop some that the other had written. Chunks
/// of earlier versions are read like any other and never rewritten: these numbers are all larger.
pub fn chunk_number(tasks_per_chunk: u32, index: u32) -> u32 {
    (tasks_per_chunk << CHUNK_INDEX_BITS) | index
}

/// The tasks of a numbered chunk: from the first up to but not including the second.
pub fn chunk_span(number: u32) -> (u32, u32) {
    let tasks = number >> CHUNK_INDEX_BITS;
    let index = number & ((1 << CHUNK_INDEX_BITS) - 1);
    (index * tasks, (index + 1) * tasks)
}

/// Where a gang's present attempt stands.
#[derive(Clone, Debug)]
pub struct GangAttempt {
    /// The attempt number, shared by all its tasks.
    pub attempt: u64,
    /// Where each task goes; a start may have left already or not.
    pub places: BTreeMap<u32, MachineId>,
    /// Tasks whose start has left.
    pub sent: Ranges,
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
    pub stamp: u64,
    /// Tasks below this may be started: written.
    pub high: u32,
    /// Tasks below this are to be made startable next.
    pub high_wanted: u32,
    /// `high` as this owner found it: tasks below may be anywhere until all machines are heard.
    pub inherited: u32,
    /// Tasks that are neither done nor anywhere.
    pub waiting: Ranges,
    /// Tasks that are done.
    pub done: Ranges,
    /// Done tasks whose ranges are written.
    pub done_written: Ranges,
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
    pub withheld: Ranges,
    /// The cell that accepted the job, if another one did.
    pub borrowed_from: Option<String>,
    /// Tasks of a borrowed job whose start has left.
    pub begun: Ranges,
}

impl Job {
    /// A job from its record.
    pub fn new(record: JobRecord, stamp: u64, now: Steady) -> Job {
        Job {
            id: record.spec.id.as_str().into(),
            waiting: Ranges::span(0, record.spec.tasks),
            submitted: Wall(record.submitted_us),
            known: now,
            stamp,
            high: record.high,
            high_wanted: record.high,
            inherited: record.high,
            spec: record.spec,
            done: Ranges::new(),
            done_written: Ranges::new(),
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
            withheld: Ranges::new(),
            borrowed_from: None,
            begun: Ranges::new(),
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
    pub fn withhold(&mut self, tasks: Ranges) {
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
