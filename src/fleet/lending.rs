//! The lending side of loans: what may be lent, and the writes that lend and settle.

use milletlock_cells::{CellSummary, Lending, LendingInputs, Loan, LoanNumber, TaskSet, MAX_TASKS_PER_LOAN};

use super::borrowing::is_array_without_rules;
use super::*;

/// Tasks are recalled only if they take no more than this part of the drain time: with more they would be
/// lent again at once.
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
    /// What the choice rests on.
    pub view: LendingInputs,
}

impl Fleet {
    /// Tasks of a lent job that are done elsewhere.
    pub fn lent_tasks_done(&mut self, id: &str, tasks: &TaskSet) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) else { return };
        for task in tasks.iter().filter(|task| *task < job.spec.tasks) {
            job.done.insert(task);
            job.waiting.remove(task);
        }
        self.dirty = true;
    }

    /// Seconds for which this cell's own waiting arrays keep its machines busy. Without a machine there is
    /// nothing to measure by: a processor is taken for it.
    pub fn array_backlog_s(&self) -> f64 {
        let own_arrays = self
            .jobs
            .values()
            .filter(|job| !job.cancelled && job.borrowed_from.is_none() && job.spec.is_array());
        let work = |job: &Job| f64::from(job.waiting.len()) * job.spec.cpus * job.spec.estimate_s;
        own_arrays.map(work).sum::<f64>() / self.array_cpus().max(1.0)
    }

    /// Whether this cell would get through such tasks of a job well within the drain time.
    pub fn could_run_soon(&self, id: &str, tasks: &TaskSet) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let left = tasks.difference(&job.done.task_set()).len();
        let work_s = f64::from(left) * job.spec.cpus * job.spec.estimate_s;
        left > 0 && work_s / self.array_cpus().max(1.0) <= self.cfg.operator.drain_s * RECALLED_SHARE
    }

    /// Processors of the machines that arrays can run on.
    fn array_cpus(&self) -> f64 {
        let machines = self.machines.values().filter(|m| m.up && !m.leaving && !m.expired);
        machines.filter_map(|m| m.ty).map(|ty| self.total(ty).cpus).sum()
    }

    /// How many more tasks of a job can be lent so that the records of its loans fit a value at both sides,
    /// however the sets of tasks fall apart as some are given back.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec, lent: impl Iterator<Item = u32>) -> u32 {
        let description = serde_json::to_string(spec).map_or(usize::MAX, |text| text.len());
        let taken = lent.fold(description, |bytes, tasks| {
            bytes.saturating_add(BYTES_PER_LOAN + BYTES_PER_LENT_TASK * tasks as usize)
        });
        let left = self.value_limit.saturating_sub(RECORD_SLACK + BYTES_PER_LOAN).saturating_sub(taken);
        u32::try_from(left / BYTES_PER_LENT_TASK).unwrap_or(u32::MAX)
    }

    /// The job to lend from to a guest with this summary: the youngest that waits long enough, since the
    /// older ones are served first here. Only tasks above its mark: those have never been started.
    pub fn lending_candidate(&self, guest: &CellSummary, now: Wall) -> Option<LendingCandidate> {
        let cells = self.cfg.operator.cells.as_ref()?;
        let backlog_s = self.array_backlog_s();
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| self.is_lendable(job, guest)).collect();
        jobs.sort_by_key(|job| std::cmp::Reverse(job.submitted));
        jobs.into_iter().find_map(|job| {
            let waited_s = (now - job.submitted).secs();
            let begun = job.high.max(job.high_wanted);
            let tasks: TaskSet = job.waiting.iter().filter(|task| *task >= begun).collect();
            let loans = self.loans.home.lending(&job.id).map(|lending| lending.loans.as_slice());
            let lent = loans.unwrap_or_default().iter().map(|loan| loan.tasks.len());
            let lendable = tasks.len().min(self.tasks_that_fit(&job.spec, lent));
            let view = LendingInputs {
                backlog_s,
                drain_s: self.cfg.operator.drain_s,
                lendable,
                task_cpus: job.spec.cpus,
                task_s: job.spec.estimate_s,
                waited_s,
                borrower_spare_cpus: guest.spare_cpus,
                borrower_backlog_s: guest.backlog_s,
            };
            let is_due = waited_s >= cells.lend_after_s && lendable > 0;
            is_due.then(|| LendingCandidate { job: job.id.clone(), tasks, view })
        })
    }

    /// Whether tasks of a job may be lent to a guest at all: only those of arrays without a rule over all
    /// their tasks, and never what is borrowed itself.
    fn is_lendable(&self, job: &Job, guest: &CellSummary) -> bool {
        let spec = &job.spec;
        let lends = self.cfg.operator.cells.as_ref().is_some_and(|cells| cells.lends(spec.class.as_ref()));
        let has_type =
            spec.types.as_ref().is_none_or(|types| types.iter().any(|ty| guest.free_cpus.contains_key(ty)));
        lends
            && has_type
            && !job.cancelled
            && job.borrowed_from.is_none()
            && is_array_without_rules(spec)
            && !self.loans.is_lending(&job.id)
    }

    /// Begins to lend the last `count` of a candidate's tasks: from now on none of them may start here.
    pub fn begin_loan(&mut self, candidate: &LendingCandidate, count: u32, guest: &str) -> Option<LoanWrite> {
        let skipped = candidate.tasks.len().saturating_sub(count.min(MAX_TASKS_PER_LOAN)) as usize;
        let tasks: TaskSet = candidate.tasks.iter().skip(skipped).collect();
        if tasks.is_empty() {
            return None;
        }
        let number = self.loans.home.next_number()?;
        let loan = Loan { number, borrower: guest.to_string(), tasks: tasks.clone() };
        let lending = self.loans.home.with_loan(&candidate.job, loan);
        let write = self.home_write(&candidate.job, lending, Some(number));
        if write.is_none() {
            self.loans.home.write_resolved(number);
            return None;
        }
        self.loans.lending_in_flight.insert(candidate.job.clone(), tasks);
        self.update_withheld(&candidate.job);
        write
    }

    /// The write of what a job's record says of loans from now on; none while another is in flight.
    fn home_write(&self, job: &str, lending: Lending, made: Option<LoanNumber>) -> Option<LoanWrite> {
        if self.loans.is_lending(job) {
            return None;
        }
        let (mut record, mod_revision) = match (self.loans.lent.get(job), self.jobs.get(job)) {
            (Some(lent), _) => (lent.record.clone(), lent.mod_revision),
            (None, Some(job)) => {
                let spec = job.spec.clone();
                let submitted_us = job.submitted.0;
                // Early versions keep the mark here: what it covers stays covered.
                (
                    JobRecord { spec, submitted_us, high_water_mark: job.high, lending: Lending::default() },
                    job.mod_revision,
                )
            }
            (None, None) => return None,
        };
        record.lending = lending;
        Some(LoanWrite::Home { job: job.into(), record: Box::new(record), mod_revision, made })
    }

    /// The write by which a settlement with a guest takes effect.
    pub fn settle_loan(&mut self, job: &str, lending: Lending) -> Option<LoanWrite> {
        let write = self.home_write(job, lending, None)?;
        self.loans.lending_in_flight.insert(job.into(), TaskSet::new());
        Some(write)
    }
}
