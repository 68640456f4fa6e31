//! What the leader writes to the state store: which records are due, and what follows once they are
//! written.

use std::collections::BTreeMap;

use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::records::MachineRecord;
use crate::task_ranges::{chunk_number, chunk_span, TaskRanges};
use crate::time::{Micros, Steady};

/// A record that the leader has to write or delete. Those that sort first are written first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// The end of a job: all its tasks are done.
    Final(JobId),
    /// The value in this slot of machine records, before the first start on a machine in it.
    Machines(u32),
    /// The value in this slot of start marks, before tasks that they allow are started.
    StartMarks(u32),
    /// The copy of a lent job's start mark, before tasks that it allows are started.
    LentStartMark(JobId),
    /// The chunk of this number of a job's done ranges, with its copy if one is kept.
    Done(JobId, u32),
    /// The value in this slot of packed records, from which some were only removed.
    Compaction(PackKind, u32),
    /// The value in this bucket of the run-time history.
    History(u32),
    /// Deletion of a removed machine's own record, as earlier versions of the program wrote it, with the
    /// record's version.
    ObsoleteMachineRecord(MachineId, u64),
    /// Deletion of a row that an ended job has left behind, by key, with the row's version.
    OrphanedRow(String, u64),
    /// The list of recent jobs.
    RecentJobs,
}

impl PendingWrite {
    /// Whether somebody waits for it: a start, or a job's user.
    pub fn urgent(&self) -> bool {
        matches!(
            self,
            PendingWrite::Final(_)
                | PendingWrite::Machines(_)
                | PendingWrite::StartMarks(_)
                | PendingWrite::LentStartMark(_)
        )
    }
}

/// Kinds of records of which many share a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PackKind {
    /// Machine records.
    Machines,
    /// Start marks of jobs.
    StartMarks,
}

/// What a write holds, as it was when the write was composed.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteContents {
    /// Nothing that has to be remembered.
    Nothing,
    /// Done ranges.
    Done {
        /// The tasks.
        tasks: TaskRanges,
        /// Whether their copy is written as well.
        is_copied: bool,
    },
    /// The copy of a lent job's start mark.
    LentStartMark(u32),
    /// Chunks of done ranges, by number, that are deleted with the job's end.
    RemovedDoneChunks(Vec<u32>),
    /// Machines, with the count of changes to their value.
    Machines(Vec<MachineId>, u64),
    /// Start marks, with the count of changes to their value.
    StartMarks(Vec<(JobId, u32)>, u64),
}

/// Sizes that the state store accepts.
pub(super) struct WriteLimits {
    /// Bytes of a value.
    pub(super) value_bytes: usize,
    /// Changes of a transaction.
    pub(super) txn_changes: usize,
}

/// Records that belong to nothing any more and are to be deleted, with their versions.
#[derive(Default)]
pub(super) struct RecordCleanup {
    /// Machines' own records, as earlier versions of the program wrote them.
    pub(super) machine_records: BTreeMap<MachineId, u64>,
    /// Rows of jobs that have ended, by key: done ranges, and copies of these and of start marks.
    pub(super) rows: BTreeMap<String, u64>,
}

/// Which part of the list of recent jobs is stored.
pub(super) struct RecentJobsWrites {
    /// How many jobs this leader has added to the list.
    pub(super) submitted: u64,
    /// That number when the list was last written.
    pub(super) written: u64,
    /// When the list was last written.
    pub(super) written_at: Steady,
}

/// The limit on values is not made smaller than this.
const MIN_VALUE_BYTES: usize = 512;
/// The limit on transactions is not made smaller than this.
const MIN_TXN_CHANGES: usize = 4;
/// How long records that nobody waits for are gathered before they are written.
pub(super) const DEFERRED_WRITE_INTERVAL: Micros = Micros(3_000_000);

/// Least time between two writes of the list of recent jobs.
pub(super) const RECENT_JOBS_INTERVAL: Micros = Micros(10_000_000);

impl Fleet {
    /// Bytes that a state-store value may hold; halved by `reduce_write_limits`.
    pub fn max_value_bytes(&self) -> usize {
        self.write_limits.value_bytes
    }

    /// Changes that a state-store transaction may hold; halved by `reduce_write_limits`.
    pub fn max_txn_changes(&self) -> usize {
        self.write_limits.txn_changes
    }

    /// The state store rejected a write as too large, under limits smaller than any that were announced:
    /// from now on values and transactions are half as large, so that no write is sent again unchanged.
    pub fn reduce_write_limits(&mut self) {
        let limits = &mut self.write_limits;
        limits.value_bytes = (limits.value_bytes / 2).max(MIN_VALUE_BYTES);
        limits.txn_changes = (limits.txn_changes / 2).max(MIN_TXN_CHANGES);
        tracing::info!(
            bytes = limits.value_bytes,
            changes = limits.txn_changes,
            "state store value and transaction limits reduced"
        );
        self.machine_records.reduce_limit(limits.value_bytes);
        self.start_marks.reduce_limit(limits.value_bytes);
    }

    /// Puts what has to be written before starts into packed values.
    pub(super) fn queue_records(&mut self) {
        for job in self.jobs.values().filter(|job| !job.ended && job.wanted_start_mark > job.start_mark) {
            if self.start_marks.get(&job.id) != Some(&job.wanted_start_mark) {
                self.start_marks.put(&job.id, job.wanted_start_mark);
            }
        }
        for machine in self.machines.values() {
            let is_due = machine.up && !machine.registered && !machine.scaling_in;
            if is_due && machine.type_index.is_some() && self.machine_records.get(&machine.id).is_none() {
                let record = MachineRecord {
                    shard: 0,
                    fencing_token: self.fencing_token,
                    address: machine.address.clone(),
                    machine_type: machine.type_name.clone(),
                    zone: self.catalog.zones.get(machine.zone).cloned().unwrap_or_default(),
                    spot: machine.spot,
                    ..MachineRecord::default()
                };
                self.machine_records.put(&machine.id, record);
            }
        }
    }

    /// What is due to be written, the most urgent first. Done ranges of a job that goes on are written
    /// again after `batch`: until then its workers keep the results and list them in their heartbeats.
    /// `chunk` is how many tasks a chunk of done ranges holds.
    pub fn pending_writes(&mut self, now: Steady, batch: Micros, chunk: u32) -> Vec<PendingWrite> {
        self.queue_records();
        let mut writes = self.pending_job_writes(now, batch, chunk);
        writes.extend(self.machine_records.pending(true).map(PendingWrite::Machines));
        writes.extend(self.start_marks.pending(true).map(PendingWrite::StartMarks));
        if now - self.deferred_write_at > DEFERRED_WRITE_INTERVAL {
            self.add_deferred_writes(&mut writes);
        }
        let machine_records = self.cleanup.machine_records.iter();
        writes.extend(
            machine_records.map(|(id, revision)| PendingWrite::ObsoleteMachineRecord(id.clone(), *revision)),
        );
        let recent = &self.recent_jobs_writes;
        if recent.submitted > recent.written && now - recent.written_at > RECENT_JOBS_INTERVAL {
            writes.push(PendingWrite::RecentJobs);
        }
        let orphans = self.cleanup.rows.iter();
        writes.extend(orphans.map(|(key, revision)| PendingWrite::OrphanedRow(key.clone(), *revision)));
        writes.sort();
        writes
    }

    /// Adds the records that nobody waits for.
    fn add_deferred_writes(&self, writes: &mut Vec<PendingWrite>) {
        let machines = self.machine_records.pending(false);
        writes.extend(machines.map(|slot| PendingWrite::Compaction(PackKind::Machines, slot)));
        let marks = self.start_marks.pending(false);
        writes.extend(marks.map(|slot| PendingWrite::Compaction(PackKind::StartMarks, slot)));
        writes.extend(self.history.dirty_buckets().map(PendingWrite::History));
    }

    /// Ends of jobs that are complete, and chunks of done ranges that are due.
    fn pending_job_writes(&self, now: Steady, batch: Micros, chunk: u32) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        let loan_batch = self.loan_done_interval().min(batch);
        for job in self.jobs.values().filter(|job| !job.ended) {
            // The end of a borrowed job is written by the cell that accepted it, which waits for what is
            // done here.
            let is_own = job.borrowed_from.is_none();
            if is_own && job.is_complete() {
                // A write that is refused again and again would hold up those in the same transaction.
                if !self.unreadable.cannot_end(&job.id) {
                    writes.push(PendingWrite::Final(job.id.clone()));
                }
                continue;
            }
            if is_own && job.copy.is_kept && job.copy.start_mark < job.wanted_start_mark {
                writes.push(PendingWrite::LentStartMark(job.id.clone()));
            }
            let batch = if job.has_loans() { loan_batch } else { batch };
            if now - job.done_written_at >= batch && job.has_unrecorded() {
                add_due_chunks(job, chunk, &mut writes);
            }
        }
        writes.retain(|write| !self.replaces_unreadable(write));
        writes
    }

    /// A write was applied at a revision.
    pub fn write_applied(
        &mut self,
        write: &PendingWrite,
        revision: u64,
        contents: &WriteContents,
        now: Steady,
    ) {
        match write {
            PendingWrite::Final(id) => self.final_written(id, revision, contents),
            PendingWrite::OrphanedRow(key, _) => {
                self.cleanup.rows.remove(key);
            }
            PendingWrite::RecentJobs => {
                self.recent_jobs_writes.written = self.recent_jobs_writes.submitted;
                self.recent_jobs_writes.written_at = now;
            }
            PendingWrite::Machines(slot) | PendingWrite::Compaction(PackKind::Machines, slot) => {
                self.machines_written(*slot, revision, contents);
            }
            PendingWrite::StartMarks(slot) | PendingWrite::Compaction(PackKind::StartMarks, slot) => {
                self.start_marks_written(*slot, revision, contents);
            }
            PendingWrite::LentStartMark(id) => self.start_mark_copied(id, revision, contents),
            PendingWrite::Done(id, chunk) => self.done_chunk_written(id, *chunk, revision, contents, now),
            PendingWrite::History(bucket) => self.history.mark_written(*bucket, revision),
            PendingWrite::ObsoleteMachineRecord(id, _) => {
                self.cleanup.machine_records.remove(id);
            }
        }
        if matches!(write, PendingWrite::Compaction(..) | PendingWrite::History(_)) {
            self.deferred_write_at = now;
        }
        self.dirty |= write.urgent();
    }

    fn final_written(&mut self, id: &JobId, revision: u64, contents: &WriteContents) {
        // Chunks that were not deleted in the same transaction are to be deleted next. For those that
        // were, each would cost a failed transaction and a read.
        if let (WriteContents::RemovedDoneChunks(removed), Some(job)) = (contents, self.jobs.get_mut(id)) {
            job.done_chunks.retain(|chunk, _| !removed.contains(chunk));
        }
        self.job_ended(id, revision);
    }

    fn machines_written(&mut self, slot: u32, revision: u64, contents: &WriteContents) {
        let WriteContents::Machines(ids, version) = contents else { return };
        self.machine_records.mark_written(slot, *version, revision);
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.registered = true;
            }
        }
    }

    fn start_marks_written(&mut self, slot: u32, revision: u64, contents: &WriteContents) {
        let WriteContents::StartMarks(marks, version) = contents else { return };
        self.start_marks.mark_written(slot, *version, revision);
        for (id, mark) in marks {
            if let Some(job) = self.jobs.get_mut(id) {
                job.start_mark = job.start_mark.max(*mark);
            }
        }
    }

    fn start_mark_copied(&mut self, id: &JobId, revision: u64, contents: &WriteContents) {
        let WriteContents::LentStartMark(mark) = contents else { return };
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.copy.record_start_mark(*mark);
        job.copy.start_mark_revision = revision;
    }

    fn done_chunk_written(
        &mut self,
        id: &JobId,
        chunk: u32,
        revision: u64,
        contents: &WriteContents,
        now: Steady,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let WriteContents::Done { tasks, is_copied } = contents {
            for number in tasks.iter() {
                job.done_written.insert(number);
            }
            if *is_copied {
                job.copy.record_done_chunk(chunk, tasks, revision);
            }
        }
        job.done_chunks.insert(chunk, revision);
        job.done_written_at = now;
    }

    /// The version of a row that is to be deleted, as read back after its deletion failed; 0 if there is
    /// none.
    pub fn orphan_read_back(&mut self, key: &str, mod_revision: u64) {
        set_or_remove(&mut self.cleanup.rows, key, mod_revision);
    }

    /// The version of a machine's own record that is to be deleted, as read back after its deletion
    /// failed; 0 if there is none.
    pub fn machine_record_read_back(&mut self, id: &str, mod_revision: u64) {
        set_or_remove(&mut self.cleanup.machine_records, id, mod_revision);
    }
}

/// Adds the chunks of a job's done ranges that hold more than is written.
pub(super) fn add_due_chunks(job: &Job, chunk: u32, writes: &mut Vec<PendingWrite>) {
    for index in 0..job.spec.tasks.div_ceil(chunk) {
        let number = chunk_number(chunk, index);
        let span = chunk_span(number);
        if job.has_unrecorded_within(span.start, span.end) {
            writes.push(PendingWrite::Done(job.id.clone(), number));
        }
    }
}

/// Sets the version of a record that is to be deleted, or removes it if the record does not exist.
fn set_or_remove<K: Ord + std::borrow::Borrow<str>>(
    records: &mut BTreeMap<K, u64>,
    key: &str,
    mod_revision: u64,
) {
    if mod_revision == 0 {
        records.remove(key);
    } else if let Some(known) = records.get_mut(key) {
        *known = mod_revision;
    }
}
