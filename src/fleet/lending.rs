//! The lender's side of loans: which tasks may be lent, and the writes that make and settle loans.

use milletlock_cells::{CellSummary, Lending, LendingInputs, Loan, LoanNumber, TaskSet, MAX_TASKS_PER_LOAN};

use super::borrowing::is_array_without_rules;
use super::{Fleet, LoanWrite, Machine};
use crate::jobs::{Job, JobId};
use crate::records::{JobRecord, LentForm};
use crate::time::Wall;
use crate::wire::JobSpec;

/// The share of the drain time that lent tasks may take in this cell if they are to be recalled. Tasks that
/// take longer would be lent again at once.
const RECALLED_SHARE: f64 = 0.5;
/// Bytes of a record that are reserved for everything except the description and the loans.
const RECORD_SLACK: usize = 192;
/// The maximum size in bytes of a loan in a record without its tasks: the loan number and a cell's name.
const BYTES_PER_LOAN: usize = 110;
/// The maximum size in bytes of a lent task in a record: five digits and a comma.
const BYTES_PER_LENT_TASK: usize = 6;

/// A job with tasks that could be lent.
#[derive(Clone, Debug)]
pub struct LendingCandidate {
    /// The id of the job.
    pub job: JobId,
    /// The waiting tasks of the job that have never been started.
    pub tasks: TaskSet,
    /// The inputs from which the number of tasks to lend is decided.
    pub inputs: LendingInputs,
}

impl Fleet {
    /// Marks tasks of an own job as done that a borrower has reported as done.
    pub fn mark_lent_tasks_done(&mut self, id: &str, tasks: &TaskSet) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) else { return };
        let count = job.spec.tasks;
        job.add_done(tasks.iter().filter(|task| *task < count));
        self.dirty = true;
    }

    /// Adds results of a job with loans that this controller received in heartbeats before it became the
    /// leader. Of a borrowed job, only the tasks that this cell has borrowed count.
    pub fn add_results_received_as_follower(&mut self, id: &str, tasks: &TaskSet) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.has_loans()) else { return };
        let in_this_cell = match self.loans.borrower_ledger.job(id) {
            Some(record) => tasks.intersection(&record.tasks()),
            None => tasks.intersection(&TaskSet::span(0, job.spec.tasks)),
        };
        job.add_done(in_this_cell.iter());
        self.dirty = true;
    }

    /// The backlog of job arrays: the seconds for which the waiting tasks of this cell's own arrays would
    /// keep its machines busy. One processor is assumed if the cell has no machine.
    pub fn array_backlog_s(&self) -> f64 {
        let is_own_array = |job: &&Job| !job.ended && job.borrowed_from.is_none() && job.spec.is_array();
        let cpu_seconds = |job: &Job| f64::from(job.waiting.len()) * job.spec.cpus * job.spec.estimate_s;
        let work: f64 = self.jobs.values().filter(is_own_array).map(cpu_seconds).sum();
        work / self.array_cpus().max(1.0)
    }

    /// Whether this cell could finish the given tasks of a job within `RECALLED_SHARE` of the drain time.
    /// `false` if none of them is left.
    pub fn could_finish_soon(&self, id: &str, tasks: &TaskSet) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let left = tasks.difference(&job.done.task_set()).len();
        let work_s = f64::from(left) * job.spec.cpus * job.spec.estimate_s;
        left > 0 && work_s / self.array_cpus().max(1.0) <= self.config.operator.drain_s * RECALLED_SHARE
    }

    /// The total number of processors of the machines that tasks of arrays run on.
    fn array_cpus(&self) -> f64 {
        self.machines_in_use()
            .filter_map(|machine| machine.type_index)
            .map(|type_index| self.type_capacity(type_index).cpus)
            .sum()
    }

    /// The machines that tasks of arrays run on. They are up, their leases are valid, and they are not being
    /// scaled in.
    pub(super) fn machines_in_use(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().filter(|machine| machine.up && !machine.scaling_in && !machine.lease_expired)
    }

    /// How many more tasks of a job can be lent. The records of its loans have to fit a state-store value in
    /// both cells, however the sets of tasks are split when some tasks are returned. `lent` gives the number
    /// of tasks of each open loan.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec, lent: impl Iterator<Item = u32>) -> u32 {
        let taken = Self::record_bytes(spec, lent).saturating_add(BYTES_PER_LOAN);
        let left = self.write_limits.value_bytes.saturating_sub(taken);
        u32::try_from(left / BYTES_PER_LENT_TASK).unwrap_or(u32::MAX)
    }

    /// The maximum size in bytes of the record of a job with loans, however the sets of tasks are split.
    /// `lent` gives the number of tasks of each loan.
    fn record_bytes(spec: &JobSpec, lent: impl Iterator<Item = u32>) -> usize {
        let description = serde_json::to_string(spec).map_or(usize::MAX, |text| text.len());
        lent.fold(description.saturating_add(RECORD_SLACK), |bytes, tasks| {
            bytes.saturating_add(BYTES_PER_LOAN + BYTES_PER_LENT_TASK * tasks as usize)
        })
    }

    /// The job whose tasks are to be lent to a borrower with this summary. It is the most recently submitted
    /// job that has waited long enough, since this cell starts the tasks of older jobs first.
    pub fn lending_candidate(&self, borrower: &CellSummary, now: Wall) -> Option<LendingCandidate> {
        let min_wait_s = self.config.operator.cells.as_ref()?.lend_after_s;
        let backlog_s = self.array_backlog_s();
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| self.is_lendable(job, borrower)).collect();
        jobs.sort_by_key(|job| std::cmp::Reverse(job.submitted));
        let mut candidates = jobs.into_iter().map(|job| self.candidate_from(job, borrower, backlog_s, now));
        candidates.find(|candidate| candidate.inputs.waited_s >= min_wait_s && candidate.inputs.lendable > 0)
    }

    /// The tasks of a job that could be lent. These are the waiting tasks from the job's start mark on, which
    /// have never been started.
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

    /// Whether tasks of a job may be lent to a borrower at all. Only tasks of arrays without placement rules
    /// are lent, and never borrowed tasks.
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
            && !self.loans.has_lender_write_in_flight(&job.id)
    }

    /// Begins to lend the last `count` of a candidate's tasks. From now on none of them may start in this
    /// cell. `None` if no write can be made now.
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
        // Versions that cannot read the record of a job with loans delete its done ranges. A loan is
        // therefore made only once copies of them are stored.
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
            self.loans.lender_ledger.mark_write_resolved(number);
            return None;
        }
        self.record_start_mark_of_first_loan(write.as_ref());
        self.loans.lending_in_flight.insert(candidate.job.clone(), tasks);
        self.update_withheld(&candidate.job);
        write
    }

    /// Records the start mark that a job's record contains from the first loan on. A leader that cannot read
    /// the record does not delete it, so the start mark counts as copied: tasks below it may be started
    /// whether or not the write is applied.
    fn record_start_mark_of_first_loan(&mut self, write: Option<&LoanWrite>) {
        let Some(LoanWrite::Lender { job, record, .. }) = write else { return };
        if self.loans.lent.contains_key(job) {
            return;
        }
        if let Some(known) = self.jobs.get_mut(job) {
            known.copy.record_start_mark(record.start_mark);
        }
    }

    /// Begins the write that stores the loans of a job after a settlement with a borrower. `None` while
    /// another loan write for the job is in flight. `None` also if the job has no loans left but some of its
    /// copied results are missing from its stored done ranges: earlier versions, which may have deleted these
    /// ranges, read the record of a job without loans, so the ranges have to be stored again first.
    pub fn settle_loan(&mut self, job: &str, lending: Lending) -> Option<LoanWrite> {
        let lacks_rows = |job: &Job| !job.has_written_all_copies();
        if lending.is_empty() && self.jobs.get(job).is_some_and(lacks_rows) {
            return None;
        }
        let write = self.lender_write(job, lending, None)?;
        self.loans.lending_in_flight.insert(job.into(), TaskSet::new());
        Some(write)
    }

    /// Begins writes, at most `count`, that change job records from the hidden form to the held form
    /// ([`LentForm`]). Records that might not fit a value, depending on how their loans are split, stay in
    /// the hidden form.
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

    /// Begins the write that stores a job's record with the loans in this cell's ledger, without a change.
    pub(super) fn rewrite_record(&mut self, job: &str) -> Option<LoanWrite> {
        let lending = self.loans.lender_ledger.lending(job).cloned().unwrap_or_default();
        let write = self.lender_write(job, lending, None)?;
        self.loans.lending_in_flight.insert(job.into(), TaskSet::new());
        Some(write)
    }

    /// Whether a record in the held form fits a value, however its loans are split.
    fn fits_held_form(&self, record: &JobRecord) -> bool {
        let lent = record.lending.loans.iter().map(|loan| loan.tasks.len());
        Self::record_bytes(&record.spec, lent) <= self.write_limits.value_bytes
    }

    /// The number of job records with loans that are stored in the hidden form of versions 0.3.0 to 0.3.2.
    pub fn hidden_records(&self) -> usize {
        self.loans.lent.values().filter(|lent| lent.record.lent_form == LentForm::Hidden).count()
    }

    /// The write that replaces the loans in a job's record. `None` while another loan write for the job is in
    /// flight, or if the state store would refuse the write because of the value under the key of the job's
    /// final record.
    fn lender_write(&self, job: &str, lending: Lending, new_loan: Option<LoanNumber>) -> Option<LoanWrite> {
        if self.loans.has_lender_write_in_flight(job) || self.unreadable.cannot_end(job) {
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
            // All controllers of this cell can read the held form. Otherwise no tasks would be lent.
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

/// The record of a job without loans.
fn unlent_record(job: &Job) -> JobRecord {
    // Early versions store the start mark in the job's record. It must not become lower.
    JobRecord { start_mark: job.start_mark, ..JobRecord::new(job.spec.clone(), job.submitted.0) }
}
