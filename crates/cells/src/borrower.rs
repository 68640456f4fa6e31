//! The borrower's side: the ledger of the loans that a cell has accepted, and the changes that follow from
//! a lender's message.

use std::collections::BTreeMap;

use crate::loan::{BorrowedJob, BorrowedLoan, LoanNumber};
use crate::message::{LoanAction, LoanItem, LoanOffer, LoanReport, LoanState, LoanSyncRequest};
use crate::task_set::TaskSet;

/// The reasons for which a borrower refuses a loan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BorrowRefusal {
    /// This cell already has a job with this id, which it did not borrow from this lender.
    #[error("this cell already has another job with this id")]
    JobIdInUse,
    /// The loan lists no tasks, or tasks that the job does not have.
    #[error("the loan lists no tasks, or tasks that the job does not have")]
    InvalidTasks,
    /// Some of the tasks are already borrowed, with another loan of the job.
    #[error("some of the tasks are already borrowed")]
    AlreadyBorrowed,
    /// The job's description is malformed. The value is the reason.
    #[error("the job description cannot be read: {0}")]
    MalformedDescription(String),
    /// The placement of a task depends on other tasks of the job, or the job never ends.
    #[error("only job arrays without rules over all their tasks can be borrowed")]
    NotBorrowable,
    /// The operator's settings do not allow borrowing tasks of this job class.
    #[error("this cell does not borrow tasks of class {0}")]
    ClassNotBorrowed(String),
    /// This cell can never run the tasks. The value is the reason.
    #[error("the tasks can never run in this cell: {0}")]
    NotRunnable(String),
    /// This cell has no spare capacity for this number of tasks.
    #[error("no spare capacity for {0} tasks")]
    NoCapacity(u32),
}

/// The view of its cell's tasks and machines that a borrower's ledger needs.
pub trait LocalTasks {
    /// The subset of the tasks that have certainly not started in this cell. They remain unstarted as long as
    /// the cell starts none of them after this call.
    fn unstarted(&self, job: &str, tasks: &TaskSet) -> TaskSet;

    /// Checks whether a loan can be accepted. The ledger has already checked that its tasks are tasks of
    /// the job and that none of them is borrowed.
    ///
    /// # Errors
    /// The reason for which the loan is refused.
    fn admit(&self, item: &LoanItem, offer: &LoanOffer) -> Result<(), BorrowRefusal>;
}

/// A change of a borrower's records. The caller writes it in one compare-and-swap transaction and then
/// applies it.
#[derive(Clone, Debug, PartialEq)]
pub struct BorrowerChange {
    /// Name of the lender's cell.
    pub lender: String,
    /// The job's id.
    pub job: String,
    /// The new record of the job, or `None` if the record is to be deleted.
    pub record: Option<BorrowedJob>,
    /// The new high-water mark of the lender's loans, if it rises. No loan up to this number is accepted
    /// later.
    pub high_water: Option<LoanNumber>,
    /// Tasks that are no longer borrowed after the change. The caller must stop starting them before it
    /// sends the write.
    pub withdrawn: TaskSet,
    /// The reason for which the offer is refused, if it is.
    pub refusal: Option<BorrowRefusal>,
}

/// The decision on an offered loan.
enum Decision<'a> {
    /// The loan is accepted.
    Accept(&'a LoanOffer),
    /// The loan is refused.
    Refuse(BorrowRefusal),
    /// The lender has recalled or cancelled the loan before the borrower accepted it.
    Withdrawn,
}

/// The loans that a cell has accepted, as they are stored.
///
/// The caller first writes a change to the state store. It then applies the change with
/// [`BorrowerLedger::apply`], or reads the records back and loads each one.
#[derive(Clone, Debug, Default)]
pub struct BorrowerLedger {
    /// The borrowed jobs, by id.
    jobs: BTreeMap<String, BorrowedJob>,
    /// The high-water mark of each lender, by the name of its cell.
    high_water: BTreeMap<String, LoanNumber>,
}

impl BorrowerLedger {
    /// Sets a borrowed job to its stored record.
    pub fn load(&mut self, job: &str, record: BorrowedJob) {
        self.jobs.insert(job.to_string(), record);
    }

    /// Raises the high-water mark of a lender to a stored one. A lower value changes nothing.
    pub fn load_high_water(&mut self, lender: &str, number: LoanNumber) {
        let mark = self.high_water.entry(lender.to_string()).or_default();
        *mark = number.max(*mark);
    }

    /// The record of a borrowed job.
    pub fn job(&self, job: &str) -> Option<&BorrowedJob> {
        self.jobs.get(job)
    }

    /// All borrowed jobs, by id.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &BorrowedJob)> {
        self.jobs.iter()
    }

    /// The high-water mark of a lender: the highest loan number that was decided on. No loan up to it is
    /// accepted any more. It is 0 if no loan of this lender was decided on.
    pub fn high_water(&self, lender: &str) -> LoanNumber {
        self.high_water.get(lender).copied().unwrap_or_default()
    }

    /// The next change that follows from a lender's message, or `None` if the records agree with the
    /// message, so that the loans can be reported.
    pub fn next_change(&self, request: &LoanSyncRequest, local: &impl LocalTasks) -> Option<BorrowerChange> {
        self.delete_closed(request).or_else(|| {
            let mut items: Vec<&LoanItem> = request.loans.iter().collect();
            // Offers are decided on in ascending order: a decision raises the high-water mark, and an offer
            // that is not yet decided on would count as refused once the mark is above its number.
            items.sort_by_key(|item| item.number);
            items.into_iter().find_map(|item| self.change_for_item(&request.from, item, local))
        })
    }

    /// Applies a change that has been written to the state store.
    pub fn apply(&mut self, change: &BorrowerChange) {
        match &change.record {
            Some(record) => self.load(&change.job, record.clone()),
            None => self.remove(&change.lender, &change.job),
        }
        if let Some(number) = change.high_water {
            self.load_high_water(&change.lender, number);
        }
    }

    /// Removes a job whose record was deleted. A job borrowed from another lender is left in place.
    pub fn remove(&mut self, lender: &str, job: &str) {
        if self.record_from(lender, job).is_some() {
            self.jobs.remove(job);
        }
    }

    /// Reports the states of the loans that a message lists, in its order. A loan that is neither accepted
    /// nor known to be closed is left out.
    ///
    /// `done` returns the tasks of a job that are recorded as done in the borrower's state store.
    pub fn reports(&self, request: &LoanSyncRequest, done: impl Fn(&str) -> TaskSet) -> Vec<LoanReport> {
        let report = |item: &LoanItem| {
            let state = match self.accepted_loan(&request.from, item) {
                Some(loan) => LoanState::Accepted {
                    tasks: loan.tasks.clone(),
                    done: loan.tasks.intersection(&done(&item.job)),
                },
                None if item.number <= self.high_water(&request.from) => LoanState::Closed,
                None => return None,
            };
            Some(LoanReport { number: item.number, state })
        };
        request.loans.iter().filter_map(report).collect()
    }

    /// The record of a job, if it was borrowed from this lender.
    fn record_from(&self, lender: &str, job: &str) -> Option<&BorrowedJob> {
        self.jobs.get(job).filter(|record| record.lender == lender)
    }

    fn accepted_loan(&self, lender: &str, item: &LoanItem) -> Option<&BorrowedLoan> {
        let record = self.record_from(lender, &item.job)?;
        record.loans.iter().find(|loan| loan.number == item.number)
    }

    /// The change that deletes loans which the lender has closed: loans up to the message's horizon that it
    /// does not list. Loans beyond the horizon are kept, since they may have been made after a late message
    /// was sent. A change concerns one job.
    fn delete_closed(&self, request: &LoanSyncRequest) -> Option<BorrowerChange> {
        let is_open = |loan: &BorrowedLoan| {
            loan.number > request.horizon || request.loans.iter().any(|item| item.number == loan.number)
        };
        let mut from_lender = self.jobs.iter().filter(|(_, record)| record.lender == request.from);
        from_lender.find_map(|(job, record)| {
            let open: Vec<BorrowedLoan> = record.loans.iter().filter(|loan| is_open(loan)).cloned().collect();
            (open.len() < record.loans.len()).then(|| replace_loans(job, record, open))
        })
    }

    fn change_for_item(
        &self,
        lender: &str,
        item: &LoanItem,
        local: &impl LocalTasks,
    ) -> Option<BorrowerChange> {
        match self.accepted_loan(lender, item) {
            Some(loan) => self.change_accepted_loan(item, loan, local),
            // This loan was decided on earlier and is closed: the message is a repeated or late offer.
            None if item.number <= self.high_water(lender) => None,
            None => {
                let decision = self.decide(lender, item, local)?;
                Some(self.record_decision(lender, item, decision))
            }
        }
    }

    /// The change that the lender's action requires for an accepted loan.
    fn change_accepted_loan(
        &self,
        item: &LoanItem,
        loan: &BorrowedLoan,
        local: &impl LocalTasks,
    ) -> Option<BorrowerChange> {
        match item.action {
            LoanAction::Run => None,
            LoanAction::Recall => self.return_unstarted(item, loan, local),
            LoanAction::Cancel => {
                let record = self.jobs.get(&item.job)?;
                let others = record.loans.iter().filter(|other| other.number != item.number);
                Some(replace_loans(&item.job, record, others.cloned().collect()))
            }
        }
    }

    /// Decides on an offered loan, or returns `None` if the message does not contain the job's description.
    fn decide<'a>(&self, lender: &str, item: &'a LoanItem, local: &impl LocalTasks) -> Option<Decision<'a>> {
        if item.action != LoanAction::Run {
            return Some(Decision::Withdrawn);
        }
        let offer = item.offer.as_ref()?;
        let verdict = self.check_offer(lender, item, offer).and_then(|()| local.admit(item, offer));
        Some(match verdict {
            Ok(()) => Decision::Accept(offer),
            Err(refusal) => Decision::Refuse(refusal),
        })
    }

    /// Checks an offer as far as the ledger can, without knowledge of machines and settings.
    fn check_offer(&self, lender: &str, item: &LoanItem, offer: &LoanOffer) -> Result<(), BorrowRefusal> {
        if item.tasks.max().is_none_or(|last| last >= offer.job_tasks) {
            return Err(BorrowRefusal::InvalidTasks);
        }
        match self.jobs.get(&item.job) {
            Some(record) if record.lender != lender => Err(BorrowRefusal::JobIdInUse),
            Some(record) if !record.tasks().is_disjoint(&item.tasks) => Err(BorrowRefusal::AlreadyBorrowed),
            _ => Ok(()),
        }
    }

    /// The change that records a decision: the job's record with the loan, if it is accepted, and the
    /// high-water mark, which prevents a second decision on the same loan.
    fn record_decision(&self, lender: &str, item: &LoanItem, decision: Decision<'_>) -> BorrowerChange {
        let mut change = BorrowerChange {
            lender: lender.to_string(),
            job: item.job.clone(),
            record: self.record_from(lender, &item.job).cloned(),
            high_water: Some(item.number),
            withdrawn: TaskSet::new(),
            refusal: None,
        };
        match decision {
            Decision::Accept(offer) => {
                let record = change.record.get_or_insert_with(|| BorrowedJob {
                    lender: lender.to_string(),
                    description: offer.description.clone(),
                    loans: Vec::new(),
                });
                record.loans.push(BorrowedLoan { number: item.number, tasks: item.tasks.clone() });
            }
            Decision::Refuse(refusal) => change.refusal = Some(refusal),
            Decision::Withdrawn => {}
        }
        change
    }

    /// The change that returns the unstarted tasks of a loan to the lender, or `None` if all have started.
    fn return_unstarted(
        &self,
        item: &LoanItem,
        loan: &BorrowedLoan,
        local: &impl LocalTasks,
    ) -> Option<BorrowerChange> {
        let returned = local.unstarted(&item.job, &loan.tasks).intersection(&loan.tasks);
        if returned.is_empty() {
            return None;
        }
        let record = self.jobs.get(&item.job)?;
        let mut loans = record.loans.clone();
        for loan in loans.iter_mut().filter(|loan| loan.number == item.number) {
            loan.tasks = loan.tasks.difference(&returned);
        }
        loans.retain(|loan| !loan.tasks.is_empty());
        Some(replace_loans(&item.job, record, loans))
    }
}

/// The change that replaces the loans in a job's record. The record is deleted if no loans remain.
fn replace_loans(job: &str, record: &BorrowedJob, loans: Vec<BorrowedLoan>) -> BorrowerChange {
    let remaining = BorrowedJob { loans, ..record.clone() };
    let withdrawn = record.tasks().difference(&remaining.tasks());
    BorrowerChange {
        lender: record.lender.clone(),
        job: job.to_string(),
        record: (!remaining.loans.is_empty()).then_some(remaining),
        high_water: None,
        withdrawn,
        refusal: None,
    }
}
