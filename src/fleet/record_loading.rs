//! Loading what earlier leaders wrote to the state store, at failover.

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
    /// Loads a machine's record: tasks may be running on it until it has acknowledged this leader's
    /// fencing token. `mod_revision` is the version of a record of its own, as earlier versions of the
    /// program wrote it, or 0.
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
            // It moves into a value with others; its own record is deleted when the machine is removed.
            self.machine_records.put(&id, record.clone());
        }
        self.cached_team_use.clear();
        self.describe_machine(&id, &record.address, &record.machine_type, &record.zone, record.spot);
    }

    /// Loads a value of machine records.
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
        // The copies of a moved record are the same.
        self.machine_records.load(slot, mod_revision, records, |_, stored| stored);
    }

    /// Loads a value of start marks. Those of jobs that have ended are dropped.
    pub fn load_start_marks(&mut self, slot: u32, marks: BTreeMap<JobId, u32>, mod_revision: u64) {
        let has_ended =
            |id: &&JobId| !self.jobs.contains_key(*id) && !self.is_blocked_by_unreadable_record(id);
        let ended: Vec<JobId> = marks.keys().filter(has_ended).cloned().collect();
        for (id, mark) in &marks {
            if let Some(job) = self.jobs.get_mut(id) {
                job.raise_start_mark(*mark);
            }
        }
        // A start mark only rises.
        self.start_marks.load(slot, mod_revision, marks, u32::max);
        ended.iter().for_each(|id| self.start_marks.remove(id));
    }

    /// All values have been loaded: those above the present size limit are split, and what unreadable ones may
    /// say is assumed.
    pub fn finish_loading(&mut self) {
        self.assume_start_marks();
        self.machine_records.empty_oversized();
        self.start_marks.empty_oversized();
    }

    /// Loads a chunk of done ranges. That of a job that has ended is to be deleted.
    pub fn load_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        let own = self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none());
        // An earlier version of the program counted a replica that ended as done; a service never is.
        match own.filter(|job| !job.spec.is_service()) {
            Some(job) => {
                let added = job.add_done_chunk(chunk, text, mod_revision);
                self.mark_unreadable_on_error(id, &done_key(id, chunk), added);
            }
            None => self.queue_orphan_removal(id, done_key(id, chunk), mod_revision),
        }
    }

    /// Loads the copy of a chunk of a lent job's done ranges. That of a job that has ended is to be deleted.
    pub fn load_lent_done(&mut self, id: &str, chunk: u32, text: &str, mod_revision: u64) {
        match self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) {
            Some(job) => {
                let added = job.add_done_copy(chunk, text, mod_revision);
                self.mark_unreadable_on_error(id, &lent_done_key(id, chunk), added);
            }
            None => self.queue_orphan_removal(id, lent_done_key(id, chunk), mod_revision),
        }
    }

    /// Loads the copy of a lent job's start mark. That of a job that has ended is to be deleted.
    pub fn load_lent_start_mark(&mut self, id: &str, mark: u32, mod_revision: u64) {
        match self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) {
            Some(job) => job.add_start_mark_copy(mark, mod_revision),
            None => self.queue_orphan_removal(id, lent_start_mark_key(id), mod_revision),
        }
    }

    /// Loads a chunk of done ranges of borrowed tasks. That of a job that is not held any more is to be
    /// deleted; one of a loan that is open beside an own job of its id stays for a later leader.
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

    /// Notes what a job that has ended has left behind, which is to be deleted; `mod_revision` is 0 if there is no
    /// such row.
    fn queue_orphan_removal(&mut self, id: &str, key: String, mod_revision: u64) {
        if mod_revision > 0 && !self.is_blocked_by_unreadable_record(id) {
            tracing::info!(key, "row of a job that has no record, to be removed");
            self.cleanup.rows.insert(key, mod_revision);
        }
    }

    /// Notes whether done ranges of a job could be read and were added.
    fn mark_unreadable_on_error(&mut self, id: &str, key: &str, added: Result<(), TaskRangeError>) {
        if let Err(error) = added {
            self.mark_unreadable(UnreadableRecord::OfJob(id), key, &error);
        }
    }
}

impl Job {
    /// Adds a chunk of done ranges as it is written.
    fn add_done_chunk(&mut self, chunk: u32, text: &str, mod_revision: u64) -> Result<(), TaskRangeError> {
        let done = TaskRanges::parse(text, self.spec.tasks)?;
        self.add_done(done.iter());
        for number in done.iter() {
            self.done_written.insert(number);
        }
        self.done_chunks.insert(chunk, mod_revision);
        Ok(())
    }

    /// Adds the copy of a chunk of done ranges as it is stored.
    fn add_done_copy(&mut self, chunk: u32, text: &str, mod_revision: u64) -> Result<(), TaskRangeError> {
        let done = TaskRanges::parse(text, self.spec.tasks)?;
        self.add_done(done.iter());
        self.copy.is_kept = true;
        self.copy.record_done_chunk(chunk, &done, mod_revision);
        Ok(())
    }

    /// Adds the copy of the start mark as it is stored. An earlier leader may have removed the mark itself,
    /// which is then written again.
    fn add_start_mark_copy(&mut self, mark: u32, mod_revision: u64) {
        self.copy.is_kept = true;
        self.copy.start_mark_revision = mod_revision;
        self.copy.record_start_mark(mark);
        self.wanted_start_mark = self.wanted_start_mark.max(mark);
        self.inherited_start_mark = self.inherited_start_mark.max(mark);
    }
}
