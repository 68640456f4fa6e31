//! The lender's side: which tasks are lent, and what a borrower's report changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::loan::{Lending, Loan, LoanNumber};
use crate::message::{LoanAction, LoanItem, LoanOffer, LoanReport, LoanState, LoanSyncRequest};
use crate::task_set::TaskSet;

/// Why a borrower's report cannot be true. Such a report changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoanReportError {
    /// A loan that this lender has not made yet.
    #[error("loan {0} was never made")]
    NeverMade(u64),
    /// A loan that was made to another cell.
    #[error("loan {number} of job {job} is with another cell")]
    LentElsewhere {
        /// The loan's number.
        number: u64,
        /// The job's id.
        job: String,
    },
    /// Tasks that are not part of the loan.
    #[error("loan {number} of job {job} does not hold tasks {tasks}")]
    NotLent {
        /// The loan's number.
        number: u64,
        /// The job's id.
        job: String,
        /// The tasks, as compact text.
        tasks: String,
    },
}

/// What a borrower's report changes at the lender.
#[derive(Clone, Debug, PartialEq)]
pub struct LenderChange {
    /// The job's id.
    pub job: String,
    /// Tasks that are done at the borrower.
    pub done: TaskSet,
    /// What the job's record is to say of loans from now on; `None` if that does not change.
    pub lending: Option<Lending>,
}

/// The loans that a cell has made, as recorded. A change is first made durable by the caller, then taken
/// over with [`LenderLedger::load`].
#[derive(Clone, Debug)]
pub struct LenderLedger {
    jobs: BTreeMap<String, Lending>,
    last_number: LoanNumber,
    /// Numbers of loans whose write has no known outcome yet.
    writes_in_flight: BTreeSet<LoanNumber>,
}

impl LenderLedger {
    /// The ledger of a leader with this term, before the records are loaded. All open loans of earlier
    /// terms are in the records, so any that is not is closed.
    pub fn new(term: u64) -> LenderLedger {
        LenderLedger {
            jobs: BTreeMap::new(),
            last_number: LoanNumber::before_term(term),
            writes_in_flight: BTreeSet::new(),
        }
    }

    /// Takes over what a job's record says of loans.
    pub fn load(&mut self, job: &str, lending: Lending) {
        if lending.is_empty() {
            self.jobs.remove(job);
        } else {
            self.jobs.insert(job.to_string(), lending);
        }
    }

    /// The job's record is gone, and all its loans with it.
    pub fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// What a job's record says of loans.
    pub fn lending(&self, job: &str) -> Option<&Lending> {
        self.jobs.get(job)
    }

    /// All jobs whose record says something of loans, by id.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &Lending)> {
        self.jobs.iter()
    }

    /// The open loans with a borrower, each with its job's id.
    pub fn loans_with<'a>(&'a self, borrower: &'a str) -> impl Iterator<Item = (&'a str, &'a Loan)> {
        self.loans().filter(move |(_, loan)| loan.borrower == borrower)
    }

    /// All open loans, each with its job's id.
    fn loans(&self) -> impl Iterator<Item = (&str, &Loan)> {
        self.jobs.iter().flat_map(|(job, lending)| lending.loans.iter().map(move |loan| (job.as_str(), loan)))
    }

    /// A fresh loan number, or `None` if the term has no more. Its write counts as in flight until
    /// [`LenderLedger::mark_write_resolved`] is called.
    pub fn next_number(&mut self) -> Option<LoanNumber> {
        self.last_number = self.last_number.next()?;
        self.writes_in_flight.insert(self.last_number);
        Some(self.last_number)
    }

    /// The outcome of the write of a loan is known, and the records are loaded.
    pub fn mark_write_resolved(&mut self, number: LoanNumber) {
        self.writes_in_flight.remove(&number);
    }

    /// All loans up to this number that are not in the ledger are closed. A loan whose write is in flight
    /// is beyond it: a message that does not name it may arrive when the borrower already holds it.
    pub fn horizon(&self) -> LoanNumber {
        match self.writes_in_flight.first() {
            Some(first) => first.previous(),
            None => self.last_number,
        }
    }

    /// What a job's record says once a loan is added.
    pub fn with_loan(&self, job: &str, loan: Loan) -> Lending {
        let mut lending = self.jobs.get(job).cloned().unwrap_or_default();
        lending.loans.push(loan);
        lending
    }

    /// What a job's record says once all loans with a borrower are written off by an operator; `None` if
    /// there are none.
    pub fn without_borrower(&self, job: &str, borrower: &str) -> Option<Lending> {
        let mut lending = self.jobs.get(job)?.clone();
        let loans_before = lending.loans.len();
        lending.loans.retain(|loan| loan.borrower != borrower);
        (lending.loans.len() < loans_before).then_some(lending)
    }

    /// The message to a borrower. `action` decides on each loan whose job is not being cancelled; `offer`
    /// describes the job of each loan that the borrower is not known to hold.
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
        // The borrower's high-water mark rises with each offer that it decides on.
        loans.sort_by_key(|item| item.number);
        LoanSyncRequest { from: from.into(), to: to.into(), term, horizon: self.horizon(), loans }
    }

    fn is_cancelling(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|lending| lending.cancelling)
    }

    /// What a borrower's report changes. `recorded` returns the tasks of a job that the lender's own
    /// records have as done. `Ok(None)`: the loan is closed here already, the report came late.
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
        let (held, done) = match &report.state {
            LoanState::Accepted { tasks, done } => (tasks.clone(), done.clone()),
            LoanState::Closed => (TaskSet::new(), TaskSet::new()),
        };
        let not_lent = done.difference(&loan.tasks);
        if !not_lent.is_empty() {
            let tasks = not_lent.to_string();
            return Err(LoanReportError::NotLent { number: number.0, job: job.into(), tasks });
        }
        // A late report names tasks that have been given back since. Done tasks are never given back.
        let held = held.intersection(&loan.tasks);
        // The borrower drops a loan once it is closed here, so all that is done must be recorded before.
        let left = if held.is_subset(&recorded(job)) { TaskSet::new() } else { held };
        let lending = (left != loan.tasks).then(|| self.with_tasks(job, number, left));
        Ok(Some(LenderChange { job: job.to_string(), done, lending }))
    }

    /// What a job's record says once a loan is left with these tasks; with none it is closed.
    fn with_tasks(&self, job: &str, number: LoanNumber, tasks: TaskSet) -> Lending {
        let mut lending = self.jobs.get(job).cloned().unwrap_or_default();
        for loan in lending.loans.iter_mut().filter(|loan| loan.number == number) {
            loan.tasks = tasks.clone();
        }
        lending.loans.retain(|loan| !loan.tasks.is_empty());
        lending
    }
}
