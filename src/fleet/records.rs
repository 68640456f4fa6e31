//! The records that the leader writes to the state store: which of them are due, and the updates of the model
//! once they are written.

use std::collections::BTreeMap;

use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::records::MachineRecord;
use crate::task_ranges::{chunk_number, chunk_span, TaskRanges};
use crate::time::{Micros, Steady};

/// A record that the leader has to write or delete. Writes are executed in their sort order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// The final record of a job, all of whose tasks are done.
    Final(JobId),
    /// The value in this slot of machine records, before the first start on a machine in it.
    Machines(u32),
    /// The value in this slot of start marks, before tasks that the marks allow are started.
    StartMarks(u32),
    /// The copy of a lent job's start mark, before tasks that the mark allows are started.
    LentStartMark(JobId),
    /// The chunk with this number of a job's done ranges, with its copy if one is kept.
    Done(JobId, u32),
    /// The value in this slot of packed records, if records were only removed from it since it was written.
    Compaction(PackKind, u32),
    /// The value in this bucket of the run-time history.
    History(u32),
    /// The deletion of a removed machine's own record, which an earlier version of the program wrote; with
    /// the record's revision.
    ObsoleteMachineRecord(MachineId, u64),
    /// The deletion of a row that remains of an ended job; with the row's key and revision.
    OrphanedRow(String, u64),
    /// The list of recent jobs.
    RecentJobs,
}

impl PendingWrite {
    /// Whether the start of a task or a job's user waits for this write.
    pub fn is_urgent(&self) -> bool {
        matches!(
            self,
            PendingWrite::Final(_)
                | PendingWrite::Machines(_)
                | PendingWrite::StartMarks(_)
                | PendingWrite::LentStartMark(_)
        )
    }
}

/// Kinds of records that are packed, many to a state-store value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PackKind {
    /// Machine records.
    Machines,
    /// Start marks of jobs.
    StartMarks,
}

/// The contents of a write at the time at which it was composed. The model may have changed when the write is
/// applied.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteContents {
    /// Contents that are not needed once the write is applied.
    Nothing,
    /// A chunk of done ranges.
    Done {
        /// The tasks that are done.
        tasks: TaskRanges,
        /// Whether the copy of the done ranges is written as well.
        is_copied: bool,
    },
    /// The copy of a lent job's start mark; with the mark.
    LentStartMark(u32),
    /// The numbers of the chunks of done ranges that the transaction with a job's final record deletes.
    RemovedDoneChunks(Vec<u32>),
    /// The machines in a value, with the number of changes made to that value.
    Machines(Vec<MachineId>, u64),
    /// The start marks in a value, with the number of changes made to that value.
    StartMarks(Vec<(JobId, u32)>, u64),
}

/// The largest values and transactions that the state store accepts.
pub(super) struct WriteLimits {
    /// The maximum size of a value in bytes.
    pub(super) value_bytes: usize,
    /// The maximum number of changes in a transaction.
    pub(super) txn_changes: usize,
}

/// Obsolete records that are to be deleted, with their revisions.
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
    /// The value of `submitted` when the list was last written.
    pub(super) written: u64,
    /// When the list was last written.
    pub(super) written_at: Steady,
}

/// The smallest limit on values, in bytes, that rejected writes lead to.
const MIN_VALUE_BYTES: usize = 512;
/// The smallest limit on changes in a transaction that rejected writes lead to.
const MIN_TXN_CHANGES: usize = 4;
/// The minimum time between two writes of deferred records, which no start and no user waits for.
pub(super) const DEFERRED_WRITE_INTERVAL: Micros = Micros(3_000_000);

/// The minimum time between two writes of the list of recent jobs.
pub(super) const RECENT_JOBS_INTERVAL: Micros = Micros(10_000_000);

impl Fleet {
    /// The maximum size of a state-store value in bytes; halved by `reduce_write_limits`.
    pub fn max_value_bytes(&self) -> usize {
        self.write_limits.value_bytes
    }

    /// The maximum number of changes in a state-store transaction; halved by `reduce_write_limits`.
    pub fn max_txn_changes(&self) -> usize {
        self.write_limits.txn_changes
    }

    /// Halves the limits on values and transactions after the state store rejected a write as too large. The
    /// store then accepts less than the smallest limits that were announced. Since the limits are halved, no
    /// write is sent again unchanged.
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

    /// Puts the start marks and machine records that have to be written before starts into packed values.
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

    /// The writes that are due, the most urgent first. The done ranges of a running job are written again
    /// after `batch`: until then the workers keep the results and list them in their heartbeats. `chunk` is
    /// the number of tasks in a chunk of done ranges.
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

    /// Adds the deferred records, which no start and no user waits for.
    fn add_deferred_writes(&self, writes: &mut Vec<PendingWrite>) {
        let machines = self.machine_records.pending(false);
        writes.extend(machines.map(|slot| PendingWrite::Compaction(PackKind::Machines, slot)));
        let marks = self.start_marks.pending(false);
        writes.extend(marks.map(|slot| PendingWrite::Compaction(PackKind::StartMarks, slot)));
        writes.extend(self.history.dirty_buckets().map(PendingWrite::History));
    }

    /// The due writes for jobs: final records of complete jobs, copies of start marks, and chunks of done
    /// ranges.
    fn pending_job_writes(&self, now: Steady, batch: Micros, chunk: u32) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        let loan_batch = self.loan_done_interval().min(batch);
        for job in self.jobs.values().filter(|job| !job.ended) {
            // The lender writes the final record of a borrowed job, once it has this cell's results.
            let is_own = job.borrowed_from.is_none();
            if is_own && job.is_complete() {
                // A write that the state store refuses each time would delay the other writes in its
                // transaction.
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

    /// Updates the model after the state store applied a write at `revision`.
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
        self.dirty |= write.is_urgent();
    }

    fn final_written(&mut self, id: &JobId, revision: u64, contents: &WriteContents) {
        // Chunks that were not deleted in the same transaction are queued for deletion. The deleted ones are
        // left out, since another deletion would cost a failed transaction and a read for each of them.
        if let (WriteContents::RemovedDoneChunks(removed), Some(job)) = (contents, self.jobs.get_mut(id)) {
            job.done_chunks.retain(|chunk, _| !removed.contains(chunk));
        }
        self.apply_job_removal(id, revision);
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
            // The mark may be of an earlier loan of a job that was borrowed anew during the write. It is then
            // no longer among the marks that are kept, and the next write of the slot removes it.
            let is_kept = self.start_marks.get(id).is_some_and(|kept| kept >= mark);
            if let Some(job) = self.jobs.get_mut(id).filter(|_| is_kept) {
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

    /// Updates the revision of a row that is to be deleted, as read back after its deletion failed.
    /// `mod_revision` is 0 if the row no longer exists.
    pub fn update_orphan_revision(&mut self, key: &str, mod_revision: u64) {
        set_or_remove(&mut self.cleanup.rows, key, mod_revision);
    }

    /// Updates the revision of a machine's own record that is to be deleted, as read back after its deletion
    /// failed. `mod_revision` is 0 if the record no longer exists.
    pub fn update_machine_record_revision(&mut self, id: &str, mod_revision: u64) {
        set_or_remove(&mut self.cleanup.machine_records, id, mod_revision);
    }
}

/// Adds writes for the chunks of a job's done ranges that contain done tasks not yet stored.
pub(super) fn add_due_chunks(job: &Job, chunk: u32, writes: &mut Vec<PendingWrite>) {
    for index in 0..job.spec.tasks.div_ceil(chunk) {
        let number = chunk_number(chunk, index);
        let span = chunk_span(number);
        if job.has_unrecorded_within(span.start, span.end) {
            writes.push(PendingWrite::Done(job.id.clone(), number));
        }
    }
}

/// Sets the revision of a record that is to be deleted, or removes the entry if `mod_revision` is 0.
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
