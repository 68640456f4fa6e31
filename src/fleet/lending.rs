//! The lending side of loans: which tasks may be lent, and the writes that lend and settle.

use milletlock_cells::{CellSummary, Lending, LendingInputs, Loan, LoanNumber, TaskSet, MAX_TASKS_PER_LOAN};

use super::borrowing::is_array_without_rules;
use super::{Fleet, LoanWrite, Machine};
use crate::jobs::{Job, JobId};
use crate::records::{JobRecord, LentForm};
use crate::time::Wall;
use crate::wire::JobSpec;

/// Lent tasks are recalled only if they take no more than this part of the drain time: with more they would
/// be lent again at once.
const RECALLED_SHARE: f64 = 0.5;
/// Bytes of a record that are left for all but the description and the loans.
const RECORD_SLACK: usize = 192;
/// Most bytes that a loan takes in a record, without its tasks: its number and a cell's name.
const BYTES_PER_LOAN: usize = 110;
/// Most bytes that a lent task takes in a record: five digits and a comma.
const BYTES_PER_LENT_TASK: usize = 6;

/// Tasks of a job that could be lent.
#[derive(Clone, Debug)]
pub struct LendingCandidate {
    /// The job.
    pub job: JobId,
    /// Its tasks that have not begun.
    pub tasks: TaskSet,
    /// What the number of tasks to lend is decided from.
    pub inputs: LendingInputs,
}

impl Fleet {
    /// Records tasks of a lent job as done that are done in the borrowing cell.
    pub fn mark_lent_tasks_done(&mut self, id: &str, tasks: &TaskSet) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) else { return };
        let count = job.spec.tasks;
        job.add_done(tasks.iter().filter(|task| *task < count));
        self.dirty = true;
    }

    /// Notes results that this controller heard of before it led, of a job with loans.
    pub fn add_results_received_as_follower(&mut self, id: &str, tasks: &TaskSet) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.has_loans()) else { return };
        let in_this_cell = match self.loans.borrower_ledger.job(id) {
            Some(record) => tasks.intersection(&record.tasks()),
            None => tasks.intersection(&TaskSet::span(0, job.spec.tasks)),
        };
        job.add_done(in_this_cell.iter());
        self.dirty = true;
    }

    /// Seconds for which this cell's own waiting arrays keep its machines busy. Without a machine there is
    /// nothing to measure by: one processor is assumed.
    pub fn array_backlog_s(&self) -> f64 {
        let is_own_array = |job: &&Job| !job.ended && job.borrowed_from.is_none() && job.spec.is_array();
        let cpu_seconds = |job: &Job| f64::from(job.waiting.len()) * job.spec.cpus * job.spec.estimate_s;
        let work: f64 = self.jobs.values().filter(is_own_array).map(cpu_seconds).sum();
        work / self.array_cpus().max(1.0)
    }

    /// Whether this cell would finish these tasks of a job well within the drain time.
    pub fn could_finish_soon(&self, id: &str, tasks: &TaskSet) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let left = tasks.difference(&job.done.task_set()).len();
        let work_s = f64::from(left) * job.spec.cpus * job.spec.estimate_s;
        left > 0 && work_s / self.array_cpus().max(1.0) <= self.config.operator.drain_s * RECALLED_SHARE
    }

    /// Processors of the machines that arrays can run on.
    fn array_cpus(&self) -> f64 {
        self.machines_in_use()
            .filter_map(|machine| machine.type_index)
            .map(|type_index| self.type_capacity(type_index).cpus)
            .sum()
    }

    /// The machines that tasks of arrays run on: up, with a valid lease, and not about to be removed.
    pub(super) fn machines_in_use(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().filter(|machine| machine.up && !machine.scaling_in && !machine.lease_expired)
    }

    /// How many more tasks of a job can be lent so that the records of its loans fit a value on both sides,
    /// however the sets of tasks are split as some are returned. `lent`: the sizes of its open loans.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec, lent: impl Iterator<Item = u32>) -> u32 {
        let taken = Self::record_bytes(spec, lent).saturating_add(BYTES_PER_LOAN);
        let left = self.write_limits.value_bytes.saturating_sub(taken);
        u32::try_from(left / BYTES_PER_LENT_TASK).unwrap_or(u32::MAX)
    }

    /// Most bytes that the record of a job with loans takes, however the sets of tasks are split. `lent`: the
    /// sizes of the loans.
    fn record_bytes(spec: &JobSpec, lent: impl Iterator<Item = u32>) -> usize {
        let description = serde_json::to_string(spec).map_or(usize::MAX, |text| text.len());
        lent.fold(description.saturating_add(RECORD_SLACK), |bytes, tasks| {
            bytes.saturating_add(BYTES_PER_LOAN + BYTES_PER_LENT_TASK * tasks as usize)
        })
    }

    /// The job to lend from to a borrower with this summary: the youngest that waits long enough, since the
    /// older ones are served first here.
    pub fn lending_candidate(&self, borrower: &CellSummary, now: Wall) -> Option<LendingCandidate> {
        let min_wait_s = self.config.operator.cells.as_ref()?.lend_after_s;
        let backlog_s = self.array_backlog_s();
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| self.is_lendable(job, borrower)).collect();
        jobs.sort_by_key(|job| std::cmp::Reverse(job.submitted));
        let mut candidates = jobs.into_iter().map(|job| self.candidate_from(job, borrower, backlog_s, now));
        candidates.find(|candidate| candidate.inputs.waited_s >= min_wait_s && candidate.inputs.lendable > 0)
    }

    /// The tasks of a job that could be lent: only those from its start mark on, which have never been
    /// started.
    fn candidate_from(
        &self,
        job: &Job,
        borrower: &CellSummary,
        backlog_s: f64,
        now: Wall,
    ) -> LendingCandidate {
        let first_unstarted = job.start_mark.max(job.wanted_start_mark).max(job.inherited_start_mark);
        let tasks: TaskSet = job.waiting.iter().filter(|task| *task >= first_unstarted).collect();
        let lending = self.loans.lender_ledger.lending(&job.id);
        let loans = lending.map(|lending| lending.loans.as_slice()).unwrap_or_default();
        let lent = loans.iter().map(|loan| loan.tasks.len());
        let inputs = LendingInputs {
            backlog_s,
            drain_s: self.config.operator.drain_s,
            lendable: tasks.len().min(self.tasks_that_fit(&job.spec, lent)),
            task_cpus: job.spec.cpus,
            task_s: job.spec.estimate_s,
            waited_s: (now - job.submitted).secs(),
            borrower_spare_cpus: borrower.spare_cpus,
            borrower_backlog_s: borrower.backlog_s,
        };
        LendingCandidate { job: job.id.clone(), tasks, inputs }
    }

    /// Whether tasks of a job may be lent to a borrower at all: only those of arrays without a rule over
    /// all their tasks, and never what is borrowed itself.
    fn is_lendable(&self, job: &Job, borrower: &CellSummary) -> bool {
        let spec = &job.spec;
        let cells = self.config.operator.cells.as_ref();
        let lends_class = cells.is_some_and(|cells| cells.lends(spec.class.as_ref()));
        let has_type = spec
            .types
            .as_ref()
            .is_none_or(|types| types.iter().any(|name| borrower.free_cpus.contains_key(name)));
        lends_class
            && has_type
            && !job.ended
            && !self.is_blocked_by_unreadable_record(&job.id)
            && job.borrowed_from.is_none()
            && is_array_without_rules(spec)
            && !self.loans.is_lending(&job.id)
    }

    /// Begins to lend the last `count` of a candidate's tasks: from now on none of them may start here.
    pub fn begin_loan(
        &mut self,
        candidate: &LendingCandidate,
        count: u32,
        borrower: &str,
    ) -> Option<LoanWrite> {
        let skipped = candidate.tasks.len().saturating_sub(count.min(MAX_TASKS_PER_LOAN)) as usize;
        let tasks: TaskSet = candidate.tasks.iter().skip(skipped).collect();
        if tasks.is_empty() {
            return None;
        }
        // The earlier versions' rows alone do not outlast a leader that cannot read the job's record.
        let job = self.jobs.get_mut(&candidate.job)?;
        job.copy.is_kept = true;
        if !job.is_copy_complete() {
            return None;
        }
        let number = self.loans.lender_ledger.next_number()?;
        let loan = Loan { number, borrower: borrower.to_string(), tasks: tasks.clone() };
        let lending = self.loans.lender_ledger.with_loan(&candidate.job, loan);
        let write = self.lender_write(&candidate.job, lending, Some(number));
        if write.is_none() {
            self.loans.lender_ledger.write_resolved(number);
            return None;
        }
        self.record_start_mark_of_first_loan(write.as_ref());
        self.loans.lending_in_flight.insert(candidate.job.clone(), tasks);
        self.update_withheld(&candidate.job);
        write
    }

    /// From the first loan on the job's record carries the start mark, which outlasts a leader that cannot read it:
    /// tasks below it may be started whether or not the write is applied.
    fn record_start_mark_of_first_loan(&mut self, write: Option<&LoanWrite>) {
        let Some(LoanWrite::Lender { job, record, .. }) = write else { return };
        if self.loans.lent.contains_key(job) {
            return;
        }
        if let Some(known) = self.jobs.get_mut(job) {
            known.copy.note_start_mark(record.start_mark);
        }
    }

    /// The write by which a settlement with a borrower takes effect; none while another write about the
    /// job is in flight, or if the record would be one that earlier versions read before all that they have
    /// removed of the job is written again.
    pub fn settle_loan(&mut self, job: &str, lending: Lending) -> Option<LoanWrite> {
        let lacks_rows = |job: &Job| !job.has_written_all_copies();
        if lending.is_empty() && self.jobs.get(job).is_some_and(lacks_rows) {
            return None;
        }
        let write = self.lender_write(job, lending, None)?;
        self.loans.lending_in_flight.insert(job.into(), TaskSet::new());
        Some(write)
    }

    /// Writes that store records in the held form which were read in the hidden one, `count` at the most. Those
    /// that would not fit a value, however their loans are split, stay as they are.
    pub fn begin_held_form_rewrites(&mut self, count: usize) -> Vec<LoanWrite> {
        let hidden = self.loans.lent.iter().filter(|(_, lent)| lent.record.lent_form == LentForm::Hidden);
        let writes =
            hidden.filter(|(_, lent)| self.fits_held_form(&lent.record)).filter_map(|(job, lent)| {
                let mut write = self.lender_write(job, lent.record.lending.clone(), None)?;
                let LoanWrite::Lender { record, .. } = &mut write else { return None };
                record.lent_form = LentForm::Held;
                Some(write)
            });
        let writes: Vec<LoanWrite> = writes.take(count).collect();
        for write in &writes {
            self.loans.lending_in_flight.insert(write.job().into(), TaskSet::new());
        }
        writes
    }

    /// The write that stores a job's record as it is known here.
    pub(super) fn rewrite_record(&mut self, job: &str) -> Option<LoanWrite> {
        let lending = self.loans.lender_ledger.lending(job).cloned().unwrap_or_default();
        let write = self.lender_write(job, lending, None)?;
        self.loans.lending_in_flight.insert(job.into(), TaskSet::new());
        Some(write)
    }

    /// Whether a record with its loans fits a value in the held form, however the loans are split.
    fn fits_held_form(&self, record: &JobRecord) -> bool {
        let lent = record.lending.loans.iter().map(|loan| loan.tasks.len());
        Self::record_bytes(&record.spec, lent) <= self.write_limits.value_bytes
    }

    /// How many records of lent jobs are stored in the form of 0.3.0 to 0.3.2.
    pub fn hidden_records(&self) -> usize {
        self.loans.lent.values().filter(|lent| lent.record.lent_form == LentForm::Hidden).count()
    }

    /// The write that replaces the loans in a job's record; none while another is in flight, or if it would be
    /// refused for what stands under the key of the job's final record.
    fn lender_write(&self, job: &str, lending: Lending, new_loan: Option<LoanNumber>) -> Option<LoanWrite> {
        if self.loans.is_lending(job) || self.unreadable.cannot_end(job) {
            return None;
        }
        let (mut record, mod_revision) = match self.loans.lent.get(job) {
            Some(lent) => (lent.record.clone(), lent.mod_revision),
            None => {
                let job = self.jobs.get(job)?;
                (unlent_record(job), job.mod_revision)
            }
        };
        let placeholder_revision = self.placeholder_revision(job);
        record.lending = lending;
        if new_loan.is_some() {
            // All controllers of the cell read that form, or nothing would be lent.
            record.lent_form = LentForm::Held;
        }
        if let Some(job) = self.jobs.get(job) {
            record.start_mark = record.start_mark.max(job.start_mark).max(job.wanted_start_mark);
        }
        Some(LoanWrite::Lender {
            job: job.into(),
            record: Box::new(record),
            mod_revision,
            placeholder_revision,
            new_loan,
        })
    }
}

/// The record of a job of which nothing is lent.
fn unlent_record(job: &Job) -> JobRecord {
    // Early versions store the start mark in this record; it must not fall.
    JobRecord { start_mark: job.start_mark, ..JobRecord::new(job.spec.clone(), job.submitted.0) }
}
