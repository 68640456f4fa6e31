//! The home's side: which tasks are lent, and what a guest's report changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::loan::{Lending, Loan, LoanNumber};
use crate::message::{LoanItem, LoanReport, LoanState, Offer, Request, Wish};
use crate::task_set::TaskSet;

/// A guest's report that cannot be true. It changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// A loan that this home has not made yet.
    #[error("loan {0} was never made")]
    NeverMade(u64),
    /// A loan that was made to another cell.
    #[error("loan {number} of job {job} is with another cell")]
    LentElsewhere {
        /// The loan's number.
        number: u64,
        /// The job.
        job: String,
    },
    /// Tasks that are not part of the loan.
    #[error("loan {number} of job {job} does not hold tasks {tasks}")]
    NotLent {
        /// The loan's number.
        number: u64,
        /// The job.
        job: String,
        /// The tasks.
        tasks: String,
    },
}

/// What a guest's report means for the home.
#[derive(Clone, Debug, PartialEq)]
pub struct Settlement {
    /// The job.
    pub job: String,
    /// Tasks that are done at the guest.
    pub done: TaskSet,
    /// What the job's record is to say of loans from now on; none: no change.
    pub lending: Option<Lending>,
}

/// The loans that a cell has made, as recorded. Changes go through `load` after they are durable.
#[derive(Clone, Debug)]
pub struct HomeLedger {
    jobs: BTreeMap<String, Lending>,
    last_number: LoanNumber,
    /// Numbers of loans whose write has no answer yet.
    undecided: BTreeSet<LoanNumber>,
}

impl HomeLedger {
    /// The ledger of an owner with this term. All loans of earlier terms are in the records, so any that
    /// is not is closed.
    pub fn new(term: u64) -> HomeLedger {
        HomeLedger {
            jobs: BTreeMap::new(),
            last_number: LoanNumber::before_term(term),
            undecided: BTreeSet::new(),
        }
    }

    /// Takes over what a job's record says.
    pub fn load(&mut self, job: &str, lending: Lending) {
        if lending.is_empty() {
            self.jobs.remove(job);
        } else {
            self.jobs.insert(job.to_string(), lending);
        }
    }

    /// The job's record is gone, and with it all its loans.
    pub fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// What a job's record says of loans.
    pub fn lending(&self, job: &str) -> Option<&Lending> {
        self.jobs.get(job)
    }

    /// All jobs with a record of loans.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &Lending)> {
        self.jobs.iter()
    }

    /// The open loans with a guest.
    pub fn loans_with<'a>(&'a self, guest: &'a str) -> impl Iterator<Item = (&'a str, &'a Loan)> {
        let of_job = |(job, lending): (&'a String, &'a Lending)| {
            lending.loans.iter().map(move |loan| (job.as_str(), loan))
        };
        self.jobs.iter().flat_map(of_job).filter(move |(_, loan)| loan.guest == guest)
    }

    /// A fresh loan number; none if the term has no more. It is undecided until `decided` is called.
    pub fn next_number(&mut self) -> Option<LoanNumber> {
        self.last_number = self.last_number.next()?;
        self.undecided.insert(self.last_number);
        Some(self.last_number)
    }

    /// Whether a loan stands in the records is certain now, and the records are loaded.
    pub fn decided(&mut self, number: LoanNumber) {
        self.undecided.remove(&number);
    }

    /// All loans up to this number that are not in the ledger are closed. A loan that is being written is
    /// beyond it: a message that does not name it may arrive when the guest holds it already.
    pub fn horizon(&self) -> LoanNumber {
        match self.undecided.first() {
            Some(first) => LoanNumber(first.0 - 1),
            None => self.last_number,
        }
    }

    /// What a job's record says once a loan is added.
    pub fn with_loan(&self, job: &str, loan: Loan) -> Lending {
        let mut lending = self.jobs.get(job).cloned().unwrap_or_default();
        lending.loans.push(loan);
        lending
    }

    /// What a job's record says once all loans with a guest are given up, as an operator decided.
    pub fn without_guest(&self, job: &str, guest: &str) -> Option<Lending> {
        let mut lending = self.jobs.get(job)?.clone();
        let before = lending.loans.len();
        lending.loans.retain(|loan| loan.guest != guest);
        (lending.loans.len() < before).then_some(lending)
    }

    /// The message to a guest. `wish` says what is wanted of a loan whose job is not being cancelled,
    /// `offer` has the job of a loan that the guest is not known to hold.
    pub fn request(
        &self,
        from: &str,
        to: &str,
        term: u64,
        mut wish: impl FnMut(&str, &Loan) -> Wish,
        mut offer: impl FnMut(&str, LoanNumber) -> Option<Offer>,
    ) -> Request {
        let mut loans: Vec<LoanItem> = self
            .loans_with(to)
            .map(|(job, loan)| LoanItem {
                number: loan.number,
                job: job.to_string(),
                tasks: loan.tasks.clone(),
                wish: if self.is_cancelling(job) { Wish::Cancel } else { wish(job, loan) },
                offer: offer(job, loan.number),
            })
            .collect();
        // The guest's high-water mark rises with each offer that it decides on.
        loans.sort_by_key(|item| item.number);
        Request { from: from.into(), to: to.into(), term, horizon: self.horizon(), loans }
    }

    fn is_cancelling(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|lending| lending.cancelling)
    }

    /// What a guest's report means. `recorded` says which tasks of a job are done in this home's own
    /// records. None: the loan is closed here, the report came late.
    pub fn settle(
        &self,
        guest: &str,
        report: &LoanReport,
        recorded: impl Fn(&str) -> TaskSet,
    ) -> Result<Option<Settlement>, ReportError> {
        let Some((job, loan)) = self.find(report.number) else {
            if report.number > self.last_number {
                return Err(ReportError::NeverMade(report.number.0));
            }
            return Ok(None);
        };
        if loan.guest != guest {
            return Err(ReportError::LentElsewhere { number: report.number.0, job: job.into() });
        }
        let (held, done) = match &report.state {
            LoanState::Held { tasks, done } => (tasks.clone(), done.clone()),
            LoanState::Closed => (TaskSet::new(), TaskSet::new()),
        };
        let not_lent = done.difference(&loan.tasks);
        if !not_lent.is_empty() {
            let (number, job) = (report.number.0, job.to_string());
            return Err(ReportError::NotLent { number, job, tasks: not_lent.to_string() });
        }
        // A late report names tasks that have been given back since. What is done never is.
        let held = held.intersection(&loan.tasks);
        // The guest forgets a loan once it is closed here: all that is done must be recorded before.
        let left = if held.is_subset(&recorded(job)) { TaskSet::new() } else { held };
        let lending = (left != loan.tasks).then(|| self.with_tasks(job, loan.number, left));
        Ok(Some(Settlement { job: job.to_string(), done, lending }))
    }

    fn find(&self, number: LoanNumber) -> Option<(&str, &Loan)> {
        self.jobs.iter().find_map(|(job, lending)| {
            let loan = lending.loans.iter().find(|loan| loan.number == number)?;
            Some((job.as_str(), loan))
        })
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
