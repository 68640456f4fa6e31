//! What the owner keeps in the state service: taking records over, and what waits to be written.

use super::*;
use crate::keys::borrowed_done_key;

/// Something to write for the owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// A job is over: all tasks are done.
    Final(JobId),
    /// A value of machines' records, before the first start on a machine in it.
    Machines(u32),
    /// A value of marks, before tasks that they allow are started.
    Marks(u32),
    /// A chunk of done ranges.
    Done(JobId, u32),
    /// A value of records from which only some have gone.
    Tidy(PackKind, u32),
    /// A value of the history.
    History(u32),
    /// A machine is gone that has a record of its own, as earlier versions wrote it.
    Unenrol(MachineId, u64),
    /// A chunk of done ranges that is no job's any more.
    Orphan(String, u64),
    /// The list of recent jobs.
    Recent,
}

impl PendingWrite {
    /// Whether somebody waits for it: a start, or a job's user.
    pub fn urgent(&self) -> bool {
        matches!(self, PendingWrite::Final(_) | PendingWrite::Machines(_) | PendingWrite::Marks(_))
    }
}

/// What is packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PackKind {
    /// Machines' records.
    Machines,
    /// Jobs' marks.
    Marks,
}

/// What a write holds, as it stood when it was composed.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteContents {
    /// Nothing that has to be remembered.
    Nothing,
    /// Done ranges.
    Done(TaskRanges),
    /// Chunks of done ranges, by number, that go with the job's end.
    DroppedChunks(Vec<u32>),
    /// Machines, with the count of changes to their value.
    Machines(Vec<MachineId>, u64),
    /// Marks, with the count of changes to their value.
    Marks(Vec<(JobId, u32)>, u64),
}

/// Values are not made smaller than this, in bytes.
const LEAST_VALUE: usize = 512;
/// Transactions are not made smaller than this, in changes.
const LEAST_TXN: usize = 4;
/// How long what nobody waits for is gathered before it is written.
pub(super) const LAZY_WRITE_INTERVAL: Micros = Micros(3_000_000);

/// How often done ranges of borrowed tasks are written: a user at their home waits for the last of them.
const BORROWED_DONE_INTERVAL: Micros = Micros(400_000);

/// How often the list of recent jobs is written at the most.
pub(super) const RECENT_JOBS_INTERVAL: Micros = Micros(10_000_000);

impl Fleet {
    /// Takes over a machine from its record: tasks may be on it until it is heard. `mod_revision` is the
    /// version of a record of its own, as earlier versions wrote it, or 0.
    pub fn inherit_machine(&mut self, id: &str, r: &MachineRecord, mod_revision: u64, now: Steady) {
        let mut m = Machine::new(id, now);
        (m.enrolled, m.mod_revision, m.inherited, m.heard) = (true, mod_revision, true, false);
        let id = m.id.clone();
        if self.machines.insert(id.clone(), m).is_none_or(|old| old.heard) {
            self.unheard_machines += 1;
        }
        self.recovery.expect_machine(&id);
        if mod_revision > 0 {
            // It moves into a value with others; its own record goes when the machine does.
            self.packs.put(&id, r.clone());
        }
        self.uses.clear();
        self.describe(&id, &r.address, &r.machine_type, &r.zone, r.spot);
    }

    /// Takes over a value of machines' records.
    pub fn inherit_machines(
        &mut self,
        slot: u32,
        records: BTreeMap<MachineId, MachineRecord>,
        mod_revision: u64,
        now: Steady,
    ) {
        for (id, r) in &records {
            self.inherit_machine(id, r, 0, now);
        }
        // The copies of a moved record are the same.
        self.packs.load(slot, mod_revision, records, |_, stored| stored);
    }

    /// Takes over a value of marks. Those of jobs that are over are dropped.
    pub fn inherit_marks(&mut self, slot: u32, marks: BTreeMap<JobId, u32>, mod_revision: u64) {
        let over: Vec<JobId> = marks.keys().filter(|id| !self.jobs.contains_key(*id)).cloned().collect();
        for (id, high) in &marks {
            if let Some(j) = self.jobs.get_mut(id) {
                j.marked(*high);
            }
        }
        // A mark only rises.
        self.marks.load(slot, mod_revision, marks, u32::max);
        over.iter().for_each(|id| self.marks.remove(id));
    }

    /// All values have been taken over: those above the present limit are split.
    pub fn split_oversized(&mut self) {
        self.packs.empty_oversized();
        self.marks.empty_oversized();
    }

    /// The state service rejected a write as too large, under limits smaller than any that were
    /// announced: from now on values and transactions are half as large, so that no write is sent
    /// again unchanged.
    pub fn write_rejected(&mut self) {
        self.value_limit = (self.value_limit / 2).max(LEAST_VALUE);
        self.txn_limit = (self.txn_limit / 2).max(LEAST_TXN);
        tracing::info!(
            bytes = self.value_limit,
            changes = self.txn_limit,
            "state store value and transaction limits reduced"
        );
        self.packs.reduce_limit(self.value_limit);
        self.marks.reduce_limit(self.value_limit);
    }

    /// Learns done ranges from their record. Those of a job that is over are to be removed.
    pub fn inherit_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        let Some(j) = self.jobs.get(id).filter(|j| j.borrowed_from.is_none()) else {
            self.orphans.insert(done_key(id, chunk), mod_revision);
            return;
        };
        if j.spec.is_service() {
            // An earlier version took a replica that ended for done; a service never is.
            self.orphans.insert(done_key(id, chunk), mod_revision);
            return;
        }
        self.add_done(id, chunk, text, mod_revision);
    }

    /// Learns done ranges of borrowed tasks from their record. Those of a job that is not held any more
    /// are to be removed.
    pub fn inherit_borrowed_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        if self.jobs.get(id).is_some_and(|j| j.borrowed_from.is_some()) {
            self.add_done(id, chunk, text, mod_revision);
        } else if mod_revision > 0 {
            self.orphans.insert(borrowed_done_key(id, chunk), mod_revision);
        }
    }

    fn add_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        let mut r = TaskRanges::new();
        r.add_text(text, j.spec.tasks);
        for n in r.iter() {
            j.done.insert(n);
            j.done_written.insert(n);
            j.waiting.remove(n);
        }
        j.chunks.insert(chunk, mod_revision);
    }

    /// Puts what has to be written before starts into packed values.
    pub(super) fn pack(&mut self) {
        for j in self.jobs.values().filter(|j| !j.cancelled && j.high_wanted > j.high) {
            if self.marks.get(&j.id) != Some(&j.high_wanted) {
                self.marks.put(&j.id, j.high_wanted);
            }
        }
        for m in self.machines.values() {
            if m.up && !m.enrolled && !m.leaving && m.ty.is_some() && self.packs.get(&m.id).is_none() {
                let record = MachineRecord {
                    shard: 0,
                    fencing_token: self.fencing_token,
                    address: m.addr.clone(),
                    machine_type: m.ty_name.clone(),
                    zone: self.zones.get(m.zone).cloned().unwrap_or_default(),
                    spot: m.spot,
                    ..MachineRecord::default()
                };
                self.packs.put(&m.id, record);
            }
        }
    }

    /// What waits to be written, the most urgent first. Done ranges of a job that goes on are
    /// written again after `batch`: until then its workers keep the results and report them.
    pub fn pending(&mut self, now: Steady, batch: Micros, chunk: u32) -> Vec<PendingWrite> {
        self.pack();
        let mut v = self.pending_of_jobs(now, batch, chunk);
        v.extend(self.packs.pending(true).map(PendingWrite::Machines));
        v.extend(self.marks.pending(true).map(PendingWrite::Marks));
        if now - self.lazily_written > LAZY_WRITE_INTERVAL {
            v.extend(self.packs.pending(false).map(|s| PendingWrite::Tidy(PackKind::Machines, s)));
            v.extend(self.marks.pending(false).map(|s| PendingWrite::Tidy(PackKind::Marks, s)));
            v.extend(self.history.dirty().map(PendingWrite::History));
        }
        v.extend(self.unenrol.iter().map(|(id, s)| PendingWrite::Unenrol(id.clone(), *s)));
        if self.submitted_count > self.recent_jobs_written.1
            && now - self.recent_jobs_written.0 > RECENT_JOBS_INTERVAL
        {
            v.push(PendingWrite::Recent);
        }
        v.extend(self.orphans.iter().map(|(k, s)| PendingWrite::Orphan(k.clone(), *s)));
        v.sort();
        v
    }

    /// Records of jobs that are complete, and chunks of done tasks that are due.
    fn pending_of_jobs(&self, now: Steady, batch: Micros, chunk: u32) -> Vec<PendingWrite> {
        let mut v = Vec::new();
        for j in self.jobs.values().filter(|j| !j.cancelled) {
            // The end of a borrowed job is its home's to write, which waits for what is done here.
            let is_own = j.borrowed_from.is_none();
            if is_own && j.complete() {
                v.push(PendingWrite::Final(j.id.clone()));
                continue;
            }
            let batch = if is_own { batch } else { batch.min(BORROWED_DONE_INTERVAL) };
            if now - j.wrote_done >= batch && j.done.len() > j.done_written.len() {
                for index in 0..j.spec.tasks.div_ceil(chunk) {
                    let number = chunk_number(chunk, index);
                    let span = chunk_span(number);
                    if j.done.within(span.start, span.end) != j.done_written.within(span.start, span.end) {
                        v.push(PendingWrite::Done(j.id.clone(), number));
                    }
                }
            }
        }
        v
    }

    /// A write has been applied at a revision.
    pub fn written(&mut self, p: &PendingWrite, revision: u64, contents: &WriteContents, now: Steady) {
        match p {
            PendingWrite::Final(id) => {
                // Chunks that did not go in the same transaction become orphans to be removed. Those
                // that did would each cost a failed transaction and a read.
                if let (WriteContents::DroppedChunks(chunks), Some(j)) = (contents, self.jobs.get_mut(id)) {
                    j.chunks.retain(|chunk, _| !chunks.contains(chunk));
                }
                self.job_over(id, revision);
            }
            PendingWrite::Orphan(key, _) => {
                self.orphans.remove(key);
            }
            PendingWrite::Recent => self.recent_jobs_written = (now, self.submitted_count),
            PendingWrite::Machines(slot) | PendingWrite::Tidy(PackKind::Machines, slot) => {
                self.machines_written(*slot, revision, contents);
            }
            PendingWrite::Marks(slot) | PendingWrite::Tidy(PackKind::Marks, slot) => {
                self.marks_written(*slot, revision, contents);
            }
            PendingWrite::Done(id, chunk) => self.done_chunk_written(id, *chunk, revision, contents, now),
            PendingWrite::History(bucket) => self.history.written(*bucket, revision),
            PendingWrite::Unenrol(id, _) => {
                self.unenrol.remove(id);
            }
        }
        if matches!(p, PendingWrite::Tidy(..) | PendingWrite::History(_)) {
            self.lazily_written = now;
        }
        self.dirty |= p.urgent();
    }

    fn machines_written(&mut self, slot: u32, revision: u64, contents: &WriteContents) {
        let WriteContents::Machines(ids, version) = contents else { return };
        self.packs.written(slot, *version, revision);
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                m.enrolled = true;
            }
        }
    }

    fn marks_written(&mut self, slot: u32, revision: u64, contents: &WriteContents) {
        let WriteContents::Marks(marks, version) = contents else { return };
        self.marks.written(slot, *version, revision);
        for (id, high) in marks {
            if let Some(j) = self.jobs.get_mut(id) {
                j.high = j.high.max(*high);
            }
        }
    }

    fn done_chunk_written(
        &mut self,
        id: &JobId,
        chunk: u32,
        revision: u64,
        contents: &WriteContents,
        now: Steady,
    ) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        if let WriteContents::Done(tasks) = contents {
            for n in tasks.iter() {
                j.done_written.insert(n);
            }
        }
        j.chunks.insert(chunk, revision);
        j.wrote_done = now;
    }

    /// How a chunk that is no job's stands, as read back.
    pub fn learn_orphan(&mut self, key: &str, mod_revision: u64) {
        if mod_revision == 0 {
            self.orphans.remove(key);
        } else if let Some(s) = self.orphans.get_mut(key) {
            *s = mod_revision;
        }
    }

    /// A machine's own record, as earlier versions wrote it, as read back.
    pub fn learn_machine(&mut self, id: &str, mod_revision: u64) {
        if let Some(s) = self.unenrol.get_mut(id) {
            if mod_revision == 0 {
                self.unenrol.remove(id);
            } else {
                *s = mod_revision;
            }
        }
    }
}
