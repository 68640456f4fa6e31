//! A model of the version in production: its records, in the form in which it reads and writes them, and the
//! part of its leader (there called the owner of a part) that reads and writes them. The model does not use
//! the record types of this version, so that tests detect a change of their stored form. Line numbers are
//! those of that version's sources.

use std::collections::{BTreeMap, BTreeSet};

use milletlock::wire::{Change, Guard, Row, Txn};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::store::Store;

/// The record of a live job, under `job/<id>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: Value,
    pub submitted_us: i64,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub high: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// The final record of an ended job, under `final/<id>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub stage: String,
    pub tasks: u32,
}

/// The record of a machine. Values under `machines/<slot>` contain several of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "p", alias = "part", default)]
    pub part: u32,
    #[serde(rename = "n", alias = "token", default)]
    pub token: u64,
    #[serde(rename = "a", alias = "addr", default)]
    pub addr: String,
    #[serde(rename = "t", alias = "ty", default)]
    pub ty: String,
    #[serde(rename = "z", alias = "zone", default)]
    pub zone: String,
    #[serde(rename = "s", alias = "spot", default)]
    pub spot: bool,
}

/// The record of a recent job, in the list under `recent`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRecord {
    pub at_us: i64,
    pub need: (f64, f64, f64),
    pub rank: String,
    pub types: Vec<String>,
    pub work: f64,
    pub hasty: bool,
    #[serde(default)]
    pub beside: u32,
    #[serde(default)]
    pub due: bool,
    #[serde(default)]
    pub spot: bool,
}

/// A finished job in the history: its end and the ratio of its actual to its stated run time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinishedJob {
    pub end_s: i64,
    pub ratio: f64,
}

/// The finished jobs of a team with the same stated run time. Values under `hist/<bucket>` contain several of
/// these records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryRecord {
    pub team: String,
    pub stated_us: i64,
    pub past: Vec<FinishedJob>,
}

/// Number of bytes that the version in production leaves free in a value.
const SLACK: usize = 64;

/// Number of tasks in a chunk of done ranges of the version in production.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    ((value_bytes / 4).saturating_sub(8)).max(64) as u32
}

/// The stored text of a set of tasks, such as `0-4,7`.
pub fn ranges_text(tasks: &BTreeSet<u32>) -> String {
    let mut runs: Vec<(u32, u32)> = Vec::new();
    for &task in tasks {
        match runs.last_mut() {
            Some(run) if run.1 + 1 == task => run.1 = task,
            _ => runs.push((task, task)),
        }
    }
    let one = |&(a, b): &(u32, u32)| if a == b { a.to_string() } else { format!("{a}-{b}") };
    runs.iter().map(one).collect::<Vec<_>>().join(",")
}

/// The set of tasks in a stored text.
pub fn tasks_of_text(text: &str) -> BTreeSet<u32> {
    let bounds = |part: &str| -> (u32, u32) {
        let (a, b) = part.split_once('-').unwrap_or((part, part));
        (a.parse().expect("a number"), b.parse().expect("a number"))
    };
    text.split(',')
        .filter(|part| !part.is_empty())
        .flat_map(|part| (bounds(part).0)..=(bounds(part).1))
        .collect()
}

/// Ids of all machines with a record.
pub fn machines_in(store: &Store) -> BTreeSet<String> {
    let rows = store.rows("machines/");
    rows.iter().flat_map(|r| r.value.as_object().expect("machines").keys().cloned()).collect()
}

/// The highest stored start mark of each job.
pub fn marks_in(store: &Store) -> BTreeMap<String, u32> {
    let mut highest = BTreeMap::new();
    for row in store.rows("marks/") {
        let marks: BTreeMap<String, u32> = serde_json::from_value(row.value).expect("marks");
        for (id, mark) in marks {
            highest.entry(id).and_modify(|h: &mut u32| *h = mark.max(*h)).or_insert(mark);
        }
    }
    highest
}

/// The done tasks of a job in all its chunks, whichever version wrote them.
pub fn done_in(store: &Store, id: &str) -> BTreeSet<u32> {
    let rows = store.rows(&format!("done/{id}/"));
    rows.iter().flat_map(|r| tasks_of_text(r.value.as_str().expect("a text"))).collect()
}

/// A stored value with several records.
struct Slot<T> {
    mod_revision: u64,
    items: BTreeMap<String, T>,
    /// Sum of the items' sizes and the brackets, in bytes.
    bytes: usize,
    /// Whether the items have changed since the value was written.
    dirty: bool,
}

/// Records packed into slots, as the version in production packs them.
struct Packs<T> {
    /// Maximum size of a slot in bytes.
    limit: usize,
    slots: Vec<Slot<T>>,
    slot_of: BTreeMap<String, usize>,
}

impl<T: Clone + Serialize + DeserializeOwned> Packs<T> {
    fn new(value_bytes: usize) -> Packs<T> {
        Packs { limit: value_bytes - SLACK, slots: Vec::new(), slot_of: BTreeMap::new() }
    }

    fn size(id: &str, item: &T) -> usize {
        serde_json::to_string(item).expect("a record").len() + id.len() + 16
    }

    fn grow_to(&mut self, slots: usize) {
        while self.slots.len() < slots {
            self.slots.push(Slot { mod_revision: 0, items: BTreeMap::new(), bytes: 2, dirty: false });
        }
    }

    fn load(&mut self, slot: usize, mod_revision: u64, value: Value) {
        self.grow_to(slot + 1);
        let items: BTreeMap<String, T> = serde_json::from_value(value).expect("a value of production's form");
        // A record that is in several values counts as part of the value that is read last.
        self.slot_of.extend(items.keys().map(|id| (id.clone(), slot)));
        let bytes = 2 + items.iter().map(|(id, item)| Self::size(id, item)).sum::<usize>();
        self.slots[slot] = Slot { mod_revision, items, bytes, dirty: false };
    }

    fn put(&mut self, id: &str, item: T) {
        let size = Self::size(id, &item);
        let known = self.slot_of.get(id).copied();
        let room = || self.slots.iter().position(|s| s.bytes + size <= self.limit);
        let slot = known.or_else(room).unwrap_or(self.slots.len());
        self.grow_to(slot + 1);
        self.slot_of.insert(id.into(), slot);
        let slot = &mut self.slots[slot];
        let replaced = slot.items.insert(id.into(), item).map_or(0, |item| Self::size(id, &item));
        slot.bytes = slot.bytes + size - replaced;
        slot.dirty = true;
    }

    fn remove(&mut self, id: &str) {
        if let Some(slot) = self.slot_of.remove(id) {
            let slot = &mut self.slots[slot];
            slot.bytes -= slot.items.remove(id).map_or(0, |item| Self::size(id, &item));
            slot.dirty = true;
        }
    }

    fn get(&self, id: &str) -> Option<&T> {
        self.slot_of.get(id).and_then(|&slot| self.slots[slot].items.get(id))
    }

    /// Takes over the revision of a slot that was read back after a conflict (`learn`, src/packs.rs:127).
    fn learn(&mut self, slot: &str, mod_revision: u64) {
        let number = slot.parse::<usize>().ok();
        if let Some(slot) = number.and_then(|number| self.slots.get_mut(number)) {
            slot.mod_revision = mod_revision;
        }
    }

    /// Numbers of the slots with unwritten changes.
    fn dirty(&self) -> impl Iterator<Item = usize> + '_ {
        self.slots.iter().enumerate().filter(|(_, slot)| slot.dirty).map(|(number, _)| number)
    }
}

/// A live job as the leader knows it.
pub(super) struct Job {
    pub(super) mod_revision: u64,
    pub(super) tasks: u32,
    /// The start mark, written or not.
    pub(super) mark: u32,
    pub(super) done: BTreeSet<u32>,
    pub(super) done_written: BTreeSet<u32>,
    /// The revision of each stored chunk of done ranges, by chunk number.
    pub(super) chunks: BTreeMap<u32, u64>,
}

impl Job {
    /// Whether all tasks are done (`complete`, src/jobs.rs:324).
    pub(super) fn is_complete(&self) -> bool {
        self.done.len() == self.tasks as usize
    }
}

/// The record that a write of the version in production concerns.
#[derive(Clone)]
pub(super) enum Written {
    /// The slot of machines with this number.
    Machines(usize),
    /// The slot of start marks with this number.
    Marks(usize),
    /// A chunk of a job's done ranges.
    Done(String, u32),
    /// The end of a job.
    Final(String),
    /// The removal of the done ranges under this key, whose job is not known.
    Orphan(String),
}

/// A pending write with its guards and changes.
pub(super) struct PendingWrite {
    pub(super) written: Written,
    pub(super) guards: Vec<Guard>,
    pub(super) then: Vec<Change>,
}

/// A model of the owner of a part in the version in production: how it reads records after its election and
/// writes them.
pub struct Owner {
    /// The revision of the part's record (`part/0`) that the owner wrote at its election.
    pub(super) part: u64,
    /// The fencing token.
    pub(super) token: u64,
    /// Number of tasks in a chunk of done ranges.
    chunk: u32,
    pub(super) jobs: BTreeMap<String, Job>,
    machines: Packs<MachineRecord>,
    marks: Packs<u32>,
    /// Keys of stored done ranges of unknown jobs, with their revisions.
    pub(super) orphans: BTreeMap<String, u64>,
    /// The write of the latest transaction of `next_write`, until its outcome is known.
    writing: Option<Written>,
}

impl Owner {
    /// Creates an owner that has read the rows of the state store, in the order of their keys.
    pub fn load(part: u64, token: u64, value_bytes: usize, rows: &[Row]) -> Owner {
        let mut owner = Owner {
            part,
            token,
            chunk: chunk_tasks(value_bytes),
            jobs: BTreeMap::new(),
            machines: Packs::new(value_bytes),
            marks: Packs::new(value_bytes),
            orphans: BTreeMap::new(),
            writing: None,
        };
        // All jobs are read before the records that refer to them.
        for row in rows.iter().filter(|r| r.key.starts_with("job/")) {
            // That version logs and skips a record that it cannot read.
            if let Ok(record) = serde_json::from_value::<JobRecord>(row.value.clone()) {
                owner.job_put(&record, row.mod_revision);
            }
        }
        rows.iter().for_each(|row| owner.load_row(row));
        let over = |id: &&String| !owner.jobs.contains_key(*id);
        let over: Vec<String> = owner.marks.slot_of.keys().filter(over).cloned().collect();
        over.iter().for_each(|id| owner.marks.remove(id));
        owner
    }

    fn load_row(&mut self, row: &Row) {
        let parts: Vec<&str> = row.key.split('/').collect();
        let slot = |text: &str| text.parse::<usize>().ok();
        match parts[..] {
            ["machines", number] => {
                if let Some(number) = slot(number) {
                    self.machines.load(number, row.mod_revision, row.value.clone());
                }
            }
            ["marks", number] => {
                if let Some(number) = slot(number) {
                    self.load_marks(number, row);
                }
            }
            ["done", id, chunk] => self.load_done(id, chunk, row),
            _ => {}
        }
    }

    fn load_marks(&mut self, slot: usize, row: &Row) {
        // That version logs and skips a value that it cannot read (`load`, src/cluster.rs:183).
        let Ok(marks) = serde_json::from_value::<BTreeMap<String, u32>>(row.value.clone()) else { return };
        for (id, mark) in &marks {
            if let Some(job) = self.jobs.get_mut(id) {
                job.mark = job.mark.max(*mark);
            }
        }
        self.marks.load(slot, row.mod_revision, row.value.clone());
    }

    fn load_done(&mut self, id: &str, chunk: &str, row: &Row) {
        // The form is checked before the job is looked up: a value that is not a text, or whose chunk is not
        // a number, is left unchanged even if its job is unknown (`load`, src/cluster.rs:187).
        let (Ok(chunk), Some(text)) = (chunk.parse::<u32>(), row.value.as_str()) else { return };
        let Some(job) = self.jobs.get_mut(id) else {
            self.orphans.insert(row.key.clone(), row.mod_revision);
            return;
        };
        let tasks = tasks_of_text(text);
        job.done.extend(&tasks);
        job.done_written.extend(&tasks);
        job.chunks.insert(chunk, row.mod_revision);
    }

    /// Adds a job.
    pub fn job_put(&mut self, record: &JobRecord, mod_revision: u64) {
        let id = record.spec["nameId"].as_str().expect("an id").to_string();
        let tasks = record.spec["kernels"].as_u64().expect("a number") as u32;
        let (done, done_written, chunks) = Default::default();
        self.jobs.insert(id, Job { mod_revision, tasks, mark: record.high, done, done_written, chunks });
    }

    /// Removes a job whose live record no longer exists; its stored done ranges become orphans.
    pub fn job_over(&mut self, id: &str) {
        if let Some(job) = self.jobs.remove(id) {
            let orphan = |(chunk, mod_revision): (u32, u64)| (format!("done/{id}/{chunk}"), mod_revision);
            self.orphans.extend(job.chunks.into_iter().map(orphan));
        }
        self.marks.remove(id);
    }

    /// All machine records with their ids.
    pub(super) fn machine_records(&self) -> impl Iterator<Item = (&String, &MachineRecord)> {
        self.machines.slots.iter().flat_map(|slot| &slot.items)
    }

    /// Whether the machine's record is stored.
    pub(super) fn has_enrolled(&self, id: &str) -> bool {
        self.machines.slot_of.get(id).is_some_and(|&slot| !self.machines.slots[slot].dirty)
    }

    /// The stored start mark of a job; 0 if it has unwritten changes or none is stored.
    pub(super) fn written_mark(&self, id: &str) -> u32 {
        let slot = self.marks.slot_of.get(id).map(|&slot| &self.marks.slots[slot]);
        slot.filter(|slot| !slot.dirty).and_then(|slot| slot.items.get(id).copied()).unwrap_or(0)
    }

    /// Takes over the stored value of a key after a conflict (`learn`, src/cluster.rs:322).
    pub(super) fn read_back(&mut self, key: &str, row: Option<&Row>) {
        let mod_revision = row.map_or(0, |row| row.mod_revision);
        let parts: Vec<&str> = key.split('/').collect();
        match parts[..] {
            ["machines", slot] => self.machines.learn(slot, mod_revision),
            ["marks", slot] => self.marks.learn(slot, mod_revision),
            ["done", id, chunk] => {
                match self.orphans.get_mut(key) {
                    Some(_) if mod_revision == 0 => drop(self.orphans.remove(key)),
                    Some(known) => *known = mod_revision,
                    None => {}
                }
                let Some(job) = self.jobs.get_mut(id) else { return };
                let text = row.map_or(Some(""), |row| row.value.as_str());
                if let (Ok(chunk), Some(text)) = (chunk.parse(), text) {
                    job.done.extend(tasks_of_text(text));
                    job.done_written.extend(tasks_of_text(text));
                    job.chunks.insert(chunk, mod_revision);
                }
            }
            _ => {}
        }
    }

    /// Adds a machine record, to be written.
    pub fn enrol(&mut self, id: &str) {
        let addr = "127.0.0.1:9".into();
        let (ty, zone) = ("small".into(), "north".into());
        let record = MachineRecord { part: 0, token: self.token, addr, ty, zone, spot: false };
        self.machines.put(id, record);
    }

    /// Removes the record of a machine that was returned to the cloud.
    pub fn returned(&mut self, id: &str) {
        self.machines.remove(id);
    }

    /// Raises a job's start mark, to be written.
    pub fn raise(&mut self, id: &str, mark: u32) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| mark > job.mark) else { return };
        job.mark = mark;
        if self.marks.get(id) != Some(&mark) {
            self.marks.put(id, mark);
        }
    }

    /// Marks a task of a job as done, to be recorded.
    pub fn done(&mut self, id: &str, task: u32) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| task < job.tasks) {
            job.done.insert(task);
        }
    }

    /// The next transaction to write, if any. Its outcome is to be reported by `written` or `refused`.
    pub fn next_write(&mut self) -> Option<Txn> {
        let PendingWrite { written, guards, then } = self.pending().into_iter().next()?;
        self.writing = Some(written);
        let part = Guard { key: "part/0".into(), mod_revision: self.part };
        Some(Txn { guards: [vec![part], guards].concat(), then })
    }

    /// All pending writes, the most urgent ones first (`Fleet::pending`, src/fleet.rs:2116).
    pub(super) fn pending(&self) -> Vec<PendingWrite> {
        let complete = self.jobs.iter().filter(|(_, job)| job.is_complete());
        let finals = complete.map(|(id, job)| self.compose_final(id, job));
        let machines = self.machines.dirty().map(|number| self.compose_machines(number));
        let marks = self.marks.dirty().map(|number| self.compose_marks(number));
        // For a job whose tasks are all done, the end is written and no done ranges.
        let unfinished = self.jobs.iter().filter(|(_, job)| !job.is_complete());
        let done = unfinished.flat_map(|(id, job)| {
            let chunks: BTreeSet<u32> =
                job.done.difference(&job.done_written).map(|task| task / self.chunk).collect();
            chunks.into_iter().map(move |chunk| self.compose_done(id, job, chunk))
        });
        let orphans = self.orphans.iter().map(|(key, revision)| Self::compose_orphan(key, *revision));
        finals.chain(machines).chain(marks).chain(done).chain(orphans).collect()
    }

    fn compose_final(&self, id: &str, job: &Job) -> PendingWrite {
        let (key, over) = (format!("job/{id}"), format!("final/{id}"));
        let guards = vec![
            Guard { key: key.clone(), mod_revision: job.mod_revision },
            Guard { key: over.clone(), mod_revision: 0 },
        ];
        let record = FinalRecord { stage: "done".into(), tasks: job.tasks };
        let mut then = vec![Change::drop(key), Change::put(over, json!(record))];
        then.extend(job.chunks.keys().take(2).map(|chunk| Change::drop(format!("done/{id}/{chunk}"))));
        PendingWrite { written: Written::Final(id.into()), guards, then }
    }

    fn compose_machines(&self, number: usize) -> PendingWrite {
        let (key, slot) = (format!("machines/{number}"), &self.machines.slots[number]);
        let guards = vec![Guard { key: key.clone(), mod_revision: slot.mod_revision }];
        let then = vec![Change::put(key, json!(slot.items))];
        PendingWrite { written: Written::Machines(number), guards, then }
    }

    fn compose_marks(&self, number: usize) -> PendingWrite {
        let (key, slot) = (format!("marks/{number}"), &self.marks.slots[number]);
        let guards = vec![Guard { key: key.clone(), mod_revision: slot.mod_revision }];
        let then = vec![Change::put(key, json!(slot.items))];
        PendingWrite { written: Written::Marks(number), guards, then }
    }

    fn compose_done(&self, id: &str, job: &Job, chunk: u32) -> PendingWrite {
        let span: BTreeSet<u32> =
            job.done.range(chunk * self.chunk..(chunk + 1) * self.chunk).copied().collect();
        let key = format!("done/{id}/{chunk}");
        let mod_revision = job.chunks.get(&chunk).copied().unwrap_or(0);
        let guards = vec![
            Guard { key: format!("job/{id}"), mod_revision: job.mod_revision },
            Guard { key: key.clone(), mod_revision },
        ];
        let then = vec![Change::put(key, json!(ranges_text(&span)))];
        PendingWrite { written: Written::Done(id.into(), chunk), guards, then }
    }

    fn compose_orphan(key: &str, mod_revision: u64) -> PendingWrite {
        let guards = vec![Guard { key: key.into(), mod_revision }];
        let then = vec![Change::drop(key.to_string())];
        PendingWrite { written: Written::Orphan(key.into()), guards, then }
    }

    /// Applies the latest transaction of `next_write`, which was executed at a revision.
    pub fn written(&mut self, revision: u64) {
        if let Some(written) = self.writing.take() {
            self.apply_written(written, revision);
        }
    }

    /// Applies a write that was executed at a revision (`Fleet::written`, src/fleet.rs:2150).
    pub(super) fn apply_written(&mut self, written: Written, revision: u64) {
        match written {
            Written::Machines(number) => {
                let slot = &mut self.machines.slots[number];
                (slot.mod_revision, slot.dirty) = (revision, false);
            }
            Written::Marks(number) => {
                let slot = &mut self.marks.slots[number];
                (slot.mod_revision, slot.dirty) = (revision, false);
            }
            Written::Done(id, chunk) => self.done_written(&id, chunk, revision),
            Written::Final(id) => self.job_over(&id),
            Written::Orphan(key) => {
                self.orphans.remove(&key);
            }
        }
    }

    fn done_written(&mut self, id: &str, chunk: u32, revision: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let span = job.done.range(chunk * self.chunk..(chunk + 1) * self.chunk).copied();
        job.done_written.extend(span);
        job.chunks.insert(chunk, revision);
    }

    /// Handles the refusal of the latest transaction of `next_write`; `failed` are the keys that have
    /// changed. In the tests only done ranges of ended jobs can have been removed in the meantime, so no
    /// other key is read back.
    pub fn refused(&mut self, failed: &[String]) {
        self.writing = None;
        failed.iter().for_each(|key| {
            self.orphans.remove(key);
        });
    }
}
