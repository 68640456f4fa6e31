//! The borrower's side of loans: the borrowed jobs in this cell, and the writes that change their records.

use std::collections::BTreeSet;

use milletlock_cells::{
    BorrowedJob, BorrowerChange, LoanItem, LoanNumber, LoanReport, LoanState, LoanSyncRequest, TaskSet,
};

use super::loans::MAX_REMEMBERED;
use super::{task_resources, Fleet, LoanWrite, TaskKey, UnreadableRecord};
use crate::jobs::{Job, JobId};
use crate::keys::{borrowed_done_prefix, borrowed_key, lender_key};
use crate::records::{JobRecord, LenderRecord};
use crate::time::{Steady, Wall};
use crate::wire::{JobSpec, Priority};

impl Fleet {
    /// Applies the record of a cell from which tasks are borrowed, unless a newer one is known.
    pub fn apply_lender_record(&mut self, cell: &str, record: LenderRecord, mod_revision: u64) {
        if self.loans.revisions.record_stored(&lender_key(cell), mod_revision) {
            self.loans.borrower_ledger.load_high_water(cell, record.high_water);
            self.loans.lenders.insert(cell.to_string(), record);
        }
    }

    /// Applies a new or changed record of a borrowed job, unless a newer one is known.
    pub fn apply_borrowed_record(
        &mut self,
        id: &str,
        record: BorrowedJob,
        mod_revision: u64,
        now: Steady,
        wall: Wall,
    ) {
        let known_revision = self.borrowed_record_revision(id);
        if !self.loans.revisions.record_stored(&borrowed_key(id), mod_revision) {
            return;
        }
        tracing::debug!(job = id, mod_revision, known_revision, tasks = %record.tasks(), "borrowed record applied");
        let lender = record.lender.clone();
        let spec = JobSpec::parse(record.description.to_string().as_bytes());
        self.loans.borrower_ledger.load(id, record);
        if let Some(job) = self.jobs.get_mut(id) {
            if job.borrowed_from.is_some() {
                job.mod_revision = mod_revision;
            } else {
                tracing::error!(job = id, %lender, "borrowed job has the id of a job accepted in this cell");
            }
            self.update_withheld(id);
            return;
        }
        match spec {
            Ok(spec) => self.add_borrowed_job(spec, lender, mod_revision, now, wall),
            Err(error) => {
                self.mark_unreadable(UnreadableRecord::BorrowedJob(id), &borrowed_key(id), &error);
            }
        }
    }

    /// Adds a borrowed job. Its priority and objectives apply only in the lender's cell. In this cell the job
    /// has the lowest priority and no objectives.
    fn add_borrowed_job(
        &mut self,
        spec: JobSpec,
        lender: String,
        mod_revision: u64,
        now: Steady,
        wall: Wall,
    ) {
        let spec = JobSpec { priority: Priority::Idle, class: None, deadline_s: None, ..spec };
        let record = JobRecord::new(spec, wall.0);
        let mut job = Job::new(record, mod_revision, now);
        job.borrowed_from = Some(lender);
        let need = task_resources(&job.spec);
        let id = job.id.clone();
        job.done_chunks.extend(self.take_orphaned_chunks(&id));
        for machine in self.machines.values_mut() {
            for (_, task) in machine.tasks.range_mut(TaskKey::all_of_job(&id)) {
                task.need = Some(need);
            }
        }
        self.jobs.insert(id.clone(), job);
        self.update_withheld(&id);
        for (task, machine) in self.task_locations(&id) {
            self.update_placement(&id, task, &machine);
        }
    }

    /// Takes the chunks of done ranges that remain of an earlier loan of the job out of the queue of
    /// deletions. Returns their chunk numbers and revisions.
    fn take_orphaned_chunks(&mut self, id: &JobId) -> Vec<(u32, u64)> {
        let prefix = borrowed_done_prefix(id);
        let mut taken = Vec::new();
        self.cleanup.rows.retain(|key, mod_revision| {
            let chunk = key.strip_prefix(&prefix).and_then(|chunk| chunk.parse().ok());
            taken.extend(chunk.map(|chunk| (chunk, *mod_revision)));
            chunk.is_none()
        });
        taken
    }

    /// Ends the loans of a job from a lender, which have no record as of a revision. If the job has no other
    /// loan, its remaining tasks are stopped.
    pub(super) fn end_borrowing(&mut self, id: &str, lender: &str, as_of: u64) {
        self.loans.borrower_ledger.remove(lender, id);
        if self.loans.borrower_ledger.job(id).is_some() {
            return;
        }
        self.loans.revisions.record_deleted(&borrowed_key(id), as_of);
        if self.jobs.get(id).is_some_and(|job| job.borrowed_from.is_some()) {
            self.end_job(id);
        }
    }

    /// The reports on the loans that a lender's message lists. While a write about a job is in flight, no loan
    /// of the job is reported as closed: the write may have accepted the loan, and another write may have shown
    /// its high-water mark already.
    pub fn loan_reports(&self, request: &LoanSyncRequest) -> Vec<LoanReport> {
        let in_flight = |item: &&LoanItem| self.loans.has_borrower_write_in_flight(&item.job);
        let undecided: BTreeSet<LoanNumber> =
            request.loans.iter().filter(in_flight).map(|item| item.number).collect();
        let done = |job: &str| self.recorded_done_of_borrowed(job);
        let mut reports = self.loans.borrower_ledger.reports(request, done);
        reports.retain(|report| report.state != LoanState::Closed || !undecided.contains(&report.number));
        reports
    }

    /// Begins a change of the borrowed tasks. From now on none of the tasks that the change withdraws may
    /// start.
    pub fn begin_borrower_change(&mut self, change: BorrowerChange) -> LoanWrite {
        let id: JobId = change.job.as_str().into();
        let mut lender = self.loans.lender(&change.lender);
        let lender_revision = self.loans.revisions.get(&lender_key(&change.lender));
        lender.high_water = lender.high_water.max(change.high_water.unwrap_or_default());
        let done = self.recorded_done_of_borrowed(&id);
        lender.finished += u64::from(change.withdrawn.intersection(&done).len());
        let has_record = self.loans.borrower_ledger.job(&id).is_some_and(|job| job.lender == change.lender);
        let job_revision = if has_record { self.borrowed_record_revision(&id) } else { 0 };
        self.loans.returning_in_flight.insert(id.clone(), change.withdrawn.clone());
        self.update_withheld(&id);
        LoanWrite::Borrower { change: Box::new(change), job_revision, lender, lender_revision }
    }

    /// Records that a job with this id was accepted in this cell, as a failed write has shown. Tasks of a job
    /// with this id are then not borrowed.
    pub fn record_own_job_id(&mut self, id: &str) {
        if self.loans.own_job_ids.len() > MAX_REMEMBERED {
            // If one of the removed ids is needed again, the next failed write records it again.
            self.loans.own_job_ids.clear();
        }
        self.loans.own_job_ids.insert(id.to_string());
    }

    /// Ends a borrowed job whose record was found deleted, as of a revision, when it was read back.
    pub fn end_deleted_borrowed_job(&mut self, id: &str, as_of: u64) {
        if let Some(lender) = self.loans.borrower_ledger.job(id).map(|record| record.lender.clone()) {
            self.end_borrowing(id, &lender, as_of);
        }
    }

    /// Stops tasks of a job that this cell no longer has on loan.
    pub(super) fn stop_withdrawn(&mut self, id: &str, withdrawn: &TaskSet) {
        let id: JobId = id.into();
        for machine in self.machines.values_mut() {
            let of_job = machine.tasks.range_mut(TaskKey::all_of_job(&id));
            for (_, task) in of_job.filter(|(key, task)| task.is_live() && withdrawn.contains(key.number)) {
                task.stop_grace_s = Some(0.0);
            }
        }
    }
}

/// Whether a job is an array without placement rules, whose tasks may run in any zone and independently of
/// each other.
pub(super) fn is_array_without_rules(spec: &JobSpec) -> bool {
    spec.is_array() && !spec.one_zone && !spec.spread && spec.zone.is_none()
}
