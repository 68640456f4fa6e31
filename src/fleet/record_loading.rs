//! Loading the records that earlier leaders wrote to the state store, at failover.

use std::collections::BTreeMap;

use super::machine::Machine;
use super::unreadable::UnreadableRecord;
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::keys::{borrowed_done_key, done_key, lent_done_key, lent_start_mark_key};
use crate::records::MachineRecord;
use crate::task_ranges::{TaskRangeError, TaskRanges};
use crate::time::Steady;

impl Fleet {
    /// Loads a machine's record. Tasks may be running on the machine until it has acknowledged this leader's
    /// fencing token. Earlier versions of the program wrote a separate record for each machine:
    /// `mod_revision` is the revision of such a record, or 0 if the machine's record is packed.
    pub fn load_machine(&mut self, id: &str, record: &MachineRecord, mod_revision: u64, now: Steady) {
        let mut machine = Machine::new(id, now);
        machine.registered = true;
        machine.mod_revision = mod_revision;
        machine.inherited = true;
        machine.acknowledged = false;
        let id = machine.id.clone();
        if self.machines.insert(id.clone(), machine).is_none_or(|replaced| replaced.acknowledged) {
            self.unacknowledged_machines += 1;
        }
        self.recovery.expect_machine(&id);
        if mod_revision > 0 {
            // The record is also packed into a value with others. The separate record is deleted when the
            // machine is removed.
            self.machine_records.put(&id, record.clone());
        }
        self.cached_team_use.clear();
        self.describe_machine(&id, &record.address, &record.machine_type, &record.zone, record.spot);
    }

    /// Loads a value of packed machine records.
    pub fn load_machines(
        &mut self,
        slot: u32,
        records: BTreeMap<MachineId, MachineRecord>,
        mod_revision: u64,
        now: Steady,
    ) {
        for (id, record) in &records {
            self.load_machine(id, record, 0, now);
        }
        // If two values contain a machine's record, both copies are the same.
        self.machine_records.load(slot, mod_revision, records, |_, stored| stored);
    }

    /// Loads a value of packed start marks. The marks of jobs that have ended are removed.
    pub fn load_start_marks(&mut self, slot: u32, marks: BTreeMap<JobId, u32>, mod_revision: u64) {
        let has_ended =
            |id: &&JobId| !self.jobs.contains_key(*id) && !self.is_blocked_by_unreadable_record(id);
        let ended: Vec<JobId> = marks.keys().filter(has_ended).cloned().collect();
        for (id, mark) in &marks {
            if let Some(job) = self.jobs.get_mut(id) {
                job.raise_start_mark(*mark);
            }
        }
        // If two values contain a job's start mark, the higher one is valid, since a start mark only rises.
        self.start_marks.load(slot, mod_revision, marks, u32::max);
        ended.iter().for_each(|id| self.start_marks.remove(id));
    }

    /// Completes the loading once all records have been loaded. Values above the present size limit are
    /// split. Jobs whose start marks may be in an unreadable value get the highest possible start mark.
    pub fn finish_loading(&mut self) {
        self.assume_start_marks();
        self.machine_records.empty_oversized();
        self.start_marks.empty_oversized();
    }

    /// Loads a chunk of done ranges. If its job has ended, the chunk is queued for deletion.
    pub fn load_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        let own = self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none());
        // An earlier version of the program counted a replica that exited as done. Replicas of a service are
        // never done.
        match own.filter(|job| !job.spec.is_service()) {
            Some(job) => {
                let added = job.add_done_chunk(chunk, text, mod_revision);
                self.mark_unreadable_on_error(id, &done_key(id, chunk), added);
            }
            None => self.queue_orphan_removal(id, done_key(id, chunk), mod_revision),
        }
    }

    /// Loads the copy of a chunk of a lent job's done ranges. If the job has ended, the copy is queued for
    /// deletion.
    pub fn load_lent_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        match self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) {
            Some(job) => {
                let added = job.add_done_copy(chunk, text, mod_revision);
                self.mark_unreadable_on_error(id, &lent_done_key(id, chunk), added);
            }
            None => self.queue_orphan_removal(id, lent_done_key(id, chunk), mod_revision),
        }
    }

    /// Loads the copy of a lent job's start mark. If the job has ended, the copy is queued for deletion.
    pub fn load_lent_start_mark(&mut self, id: &str, mark: u32, mod_revision: u64) {
        match self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) {
            Some(job) => job.add_start_mark_copy(mark, mod_revision),
            None => self.queue_orphan_removal(id, lent_start_mark_key(id), mod_revision),
        }
    }

    /// Loads a chunk of done ranges of borrowed tasks. If this cell has no open loan of the job, the chunk is
    /// queued for deletion. If the loan is open but this cell has accepted another job with the same id, the
    /// chunk stays in the state store for a later leader.
    pub fn load_borrowed_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        match self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_some()) {
            Some(job) => {
                let added = job.add_done_chunk(chunk, text, mod_revision);
                self.mark_unreadable_on_error(id, &borrowed_done_key(id, chunk), added);
            }
            None if self.loans.borrower_ledger.job(id).is_some() => {}
            None => self.queue_orphan_removal(id, borrowed_done_key(id, chunk), mod_revision),
        }
    }

    /// Queues the deletion of a row that remains of an ended job. Nothing is queued if `mod_revision` is 0,
    /// since the row does not exist then, or if a record of the job is unreadable, since the job may not have
    /// ended.
    fn queue_orphan_removal(&mut self, id: &str, key: String, mod_revision: u64) {
        if mod_revision > 0 && !self.is_blocked_by_unreadable_record(id) {
            tracing::info!(key, "row of a job that has no record, to be removed");
            self.cleanup.rows.insert(key, mod_revision);
        }
    }

    /// Marks a record of done ranges as unreadable if adding the ranges to the job failed.
    fn mark_unreadable_on_error(&mut self, id: &str, key: &str, added: Result<(), TaskRangeError>) {
        if let Err(error) = added {
            self.mark_unreadable(UnreadableRecord::OfJob(id), key, &error);
        }
    }
}

impl Job {
    /// Adds a stored chunk of done ranges.
    fn add_done_chunk(&mut self, chunk: u32, text: &str, mod_revision: u64) -> Result<(), TaskRangeError> {
        let done = TaskRanges::parse(text, self.spec.tasks)?;
        self.add_done(done.iter());
        for number in done.iter() {
            self.done_written.insert(number);
        }
        self.done_chunks.insert(chunk, mod_revision);
        Ok(())
    }

    /// Adds the stored copy of a chunk of done ranges.
    fn add_done_copy(&mut self, chunk: u32, text: &str, mod_revision: u64) -> Result<(), TaskRangeError> {
        let done = TaskRanges::parse(text, self.spec.tasks)?;
        self.add_done(done.iter());
        self.copy.is_kept = true;
        self.copy.record_done_chunk(chunk, &done, mod_revision);
        Ok(())
    }

    /// Adds the stored copy of the start mark. An earlier leader may have removed the mark itself: raising
    /// the wanted mark has it written again.
    fn add_start_mark_copy(&mut self, mark: u32, mod_revision: u64) {
        self.copy.is_kept = true;
        self.copy.start_mark_revision = mod_revision;
        self.copy.record_start_mark(mark);
        self.wanted_start_mark = self.wanted_start_mark.max(mark);
        self.inherited_start_mark = self.inherited_start_mark.max(mark);
    }
}
