//! The lender's side: the ledger of the loans that a cell has made, and the changes that follow from a
//! borrower's reports.

use std::collections::{BTreeMap, BTreeSet};

use crate::loan::{Lending, Loan, LoanNumber};
use crate::message::{LoanAction, LoanItem, LoanOffer, LoanReport, LoanState, LoanSyncRequest};
use crate::task_set::TaskSet;

/// The reasons to refuse a borrower's report as inconsistent with the ledger. A refused report changes
/// nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoanReportError {
    /// The report is about a loan number that this lender has not assigned yet.
    #[error("loan {0} was never made")]
    NeverMade(u64),
    /// The report is about a loan that was made to another cell.
    #[error("loan {number} of job {job} was made to another cell")]
    LentElsewhere {
        /// The loan's number.
        number: u64,
        /// The job's id.
        job: String,
    },
    /// The report lists tasks as done that are not part of the loan.
    #[error("loan {number} of job {job} does not include tasks {tasks}")]
    NotLent {
        /// The loan's number.
        number: u64,
        /// The job's id.
        job: String,
        /// The tasks that are not part of the loan, in the text form of [`TaskSet`].
        tasks: String,
    },
}

/// A change of the lender's records that follows from a borrower's report.
#[derive(Clone, Debug, PartialEq)]
pub struct LenderChange {
    /// The job's id.
    pub job: String,
    /// Tasks of the loan that are done at the borrower.
    pub done: TaskSet,
    /// The new value of the loans in the job's record, or `None` if they do not change.
    pub lending: Option<Lending>,
}

/// The loans that a cell has made, as they are stored.
///
/// The caller first writes a change to the state store and then applies it with [`LenderLedger::load`].
#[derive(Clone, Debug)]
pub struct LenderLedger {
    /// The open loans and the cancellation request of each job that has any, by job id.
    jobs: BTreeMap<String, Lending>,
    /// The last number that was assigned.
    last_number: LoanNumber,
    /// Numbers of loans whose write has no known outcome yet.
    writes_in_flight: BTreeSet<LoanNumber>,
}

impl LenderLedger {
    /// Creates the ledger of a leader with this term, before the records are loaded. The records contain
    /// all open loans of earlier terms, so every loan of an earlier term without a record is closed.
    pub fn new(term: u64) -> LenderLedger {
        LenderLedger {
            jobs: BTreeMap::new(),
            last_number: LoanNumber::before_term(term),
            writes_in_flight: BTreeSet::new(),
        }
    }

    /// Sets the loans of a job to those in its stored record.
    pub fn load(&mut self, job: &str, lending: Lending) {
        if lending.is_empty() {
            self.jobs.remove(job);
        } else {
            self.jobs.insert(job.to_string(), lending);
        }
    }

    /// Removes a job whose record was deleted, with all its loans.
    pub fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// The loans of a job and whether it is being cancelled, or `None` if there is nothing stored.
    pub fn lending(&self, job: &str) -> Option<&Lending> {
        self.jobs.get(job)
    }

    /// All jobs that have open loans or are being cancelled, by id.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &Lending)> {
        self.jobs.iter()
    }

    /// The open loans that were made to a borrower, each with its job's id.
    pub fn loans_with<'a>(&'a self, borrower: &'a str) -> impl Iterator<Item = (&'a str, &'a Loan)> {
        self.loans().filter(move |(_, loan)| loan.borrower == borrower)
    }

    /// All open loans, each with its job's id.
    fn loans(&self) -> impl Iterator<Item = (&str, &Loan)> {
        self.jobs.iter().flat_map(|(job, lending)| lending.loans.iter().map(move |loan| (job.as_str(), loan)))
    }

    /// Assigns a new loan number, or returns `None` if the term has no numbers left. The write of the loan
    /// counts as in flight until [`LenderLedger::mark_write_resolved`] is called.
    pub fn next_number(&mut self) -> Option<LoanNumber> {
        self.last_number = self.last_number.next()?;
        self.writes_in_flight.insert(self.last_number);
        Some(self.last_number)
    }

    /// Marks the write of a loan as no longer in flight. The caller knows the write's outcome and has
    /// loaded the job's record.
    pub fn mark_write_resolved(&mut self, number: LoanNumber) {
        self.writes_in_flight.remove(&number);
    }

    /// The horizon: all loans up to this number that are not in the ledger are closed.
    ///
    /// Loans whose write is in flight have higher numbers than the horizon. Otherwise a late message that
    /// does not list such a loan would close it at a borrower that has already accepted it.
    pub fn horizon(&self) -> LoanNumber {
        match self.writes_in_flight.first() {
            Some(first) => first.previous(),
            None => self.last_number,
        }
    }

    /// The loans of a job with another one added, to be written to the job's record.
    pub fn with_loan(&self, job: &str, loan: Loan) -> Lending {
        let mut lending = self.jobs.get(job).cloned().unwrap_or_default();
        lending.loans.push(loan);
        lending
    }

    /// The loans of a job without those made to a borrower, to be written when an operator writes off the
    /// borrower's loans; `None` if the job has no loan to the borrower.
    pub fn without_borrower(&self, job: &str, borrower: &str) -> Option<Lending> {
        let mut lending = self.jobs.get(job)?.clone();
        let loans_before = lending.loans.len();
        lending.loans.retain(|loan| loan.borrower != borrower);
        (lending.loans.len() < loans_before).then_some(lending)
    }

    /// Composes the message that lists all open loans to a borrower.
    ///
    /// `action` chooses the action for each loan whose job is not being cancelled. `offer` returns the
    /// description of the job for each loan that is not known to be accepted by the borrower.
    pub fn request(
        &self,
        from: &str,
        to: &str,
        term: u64,
        mut action: impl FnMut(&str, &Loan) -> LoanAction,
        mut offer: impl FnMut(&str, LoanNumber) -> Option<LoanOffer>,
    ) -> LoanSyncRequest {
        let item = |(job, loan): (&str, &Loan)| LoanItem {
            number: loan.number,
            job: job.to_string(),
            tasks: loan.tasks.clone(),
            action: if self.is_cancelling(job) { LoanAction::Cancel } else { action(job, loan) },
            offer: offer(job, loan.number),
        };
        let mut loans: Vec<LoanItem> = self.loans_with(to).map(item).collect();
        // The borrower's high-water mark rises with each offer that it decides on. An offer that is not yet
        // decided on would count as refused once the mark is above its number.
        loans.sort_by_key(|item| item.number);
        LoanSyncRequest { from: from.into(), to: to.into(), term, horizon: self.horizon(), loans }
    }

    fn is_cancelling(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|lending| lending.cancelling)
    }

    /// The change of the lender's records that follows from a borrower's report, or `Ok(None)` if the loan
    /// is already closed and the report is late.
    ///
    /// `recorded` returns the tasks of a job that are recorded as done in the lender's state store.
    ///
    /// # Errors
    /// If the report contradicts the ledger.
    pub fn change_for_report(
        &self,
        borrower: &str,
        report: &LoanReport,
        recorded: impl Fn(&str) -> TaskSet,
    ) -> Result<Option<LenderChange>, LoanReportError> {
        let number = report.number;
        let Some((job, loan)) = self.loans().find(|(_, loan)| loan.number == number) else {
            if number > self.last_number {
                return Err(LoanReportError::NeverMade(number.0));
            }
            return Ok(None);
        };
        if loan.borrower != borrower {
            return Err(LoanReportError::LentElsewhere { number: number.0, job: job.into() });
        }
        let (borrowed, done) = match &report.state {
            LoanState::Accepted { tasks, done } => (tasks.clone(), done.clone()),
            LoanState::Closed => (TaskSet::new(), TaskSet::new()),
        };
        let not_lent = done.difference(&loan.tasks);
        if !not_lent.is_empty() {
            let tasks = not_lent.to_string();
            return Err(LoanReportError::NotLent { number: number.0, job: job.into(), tasks });
        }
        // A late report may list tasks that have been returned in the meantime. Done tasks are never
        // returned.
        let borrowed = borrowed.intersection(&loan.tasks);
        // The borrower deletes a loan once the lender has closed it. The lender must therefore have recorded
        // all done tasks of a loan before it closes the loan.
        let remaining = if borrowed.is_subset(&recorded(job)) { TaskSet::new() } else { borrowed };
        let lending = (remaining != loan.tasks).then(|| self.with_tasks(job, number, remaining));
        Ok(Some(LenderChange { job: job.to_string(), done, lending }))
    }

    /// The loans of a job with the tasks of one loan replaced. A loan without tasks is removed, which
    /// closes it.
    fn with_tasks(&self, job: &str, number: LoanNumber, tasks: TaskSet) -> Lending {
        let mut lending = self.jobs.get(job).cloned().unwrap_or_default();
        for loan in lending.loans.iter_mut().filter(|loan| loan.number == number) {
            loan.tasks = tasks.clone();
        }
        lending.loans.retain(|loan| !loan.tasks.is_empty());
        lending
    }
}
