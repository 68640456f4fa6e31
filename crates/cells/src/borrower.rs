//! The borrower's side: which loans it holds, and what a lender's message changes.

use std::collections::BTreeMap;

use crate::loan::{BorrowedJob, BorrowedLoan, LoanNumber};
use crate::message::{LoanAction, LoanItem, LoanOffer, LoanReport, LoanState, LoanSyncRequest};
use crate::task_set::TaskSet;

/// Why a borrower refuses a loan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BorrowRefusal {
    /// This cell has a job of this id that it did not borrow from this lender.
    #[error("a job of this id is known here already")]
    JobIdInUse,
    /// The loan names tasks that the job does not have, or none at all.
    #[error("tasks that the job does not have")]
    InvalidTasks,
    /// Some of the tasks are held here already.
    #[error("some of the tasks are held already")]
    TasksAlreadyBorrowed,
    /// The job's description cannot be read; the reason.
    #[error("the description cannot be read: {0}")]
    MalformedDescription(String),
    /// The job's tasks depend on each other's placement, or the job never ends.
    #[error("only arrays without rules over all their tasks are borrowed")]
    NotBorrowable,
    /// The settings do not allow jobs of this class to be borrowed.
    #[error("class {0} is not borrowed here")]
    ClassNotBorrowed(String),
    /// No machine here can ever run the tasks; the reason.
    #[error("it can never run here: {0}")]
    NotRunnable(String),
    /// There is no capacity for this many tasks.
    #[error("no room for {0} tasks")]
    NoCapacity(u32),
}

/// What a borrower's ledger needs to know of the tasks and machines of its cell.
pub trait LocalTasks {
    /// Those of the tasks that have certainly not begun here, and will not if none is started from now
    /// on.
    fn unstarted(&self, job: &str, tasks: &TaskSet) -> TaskSet;

    /// Whether a loan may be taken on. The ledger has checked that its tasks are tasks of the job, and
    /// that none is held here.
    fn admit(&self, item: &LoanItem, offer: &LoanOffer) -> Result<(), BorrowRefusal>;
}

/// A change of a borrower's records, to be written in one guarded transaction and then applied.
#[derive(Clone, Debug, PartialEq)]
pub struct BorrowerChange {
    /// Name of the lender's cell.
    pub lender: String,
    /// The job's id.
    pub job: String,
    /// The job's record from now on; `None` if it has none any more.
    pub record: Option<BorrowedJob>,
    /// The lender's high-water mark from now on, if it rises: no loan up to it is ever accepted again.
    pub high_water: Option<LoanNumber>,
    /// Tasks that are no longer held: none of them may start from before the write on.
    pub withdrawn: TaskSet,
    /// Why an offer is refused, if it is.
    pub refusal: Option<BorrowRefusal>,
}

/// The outcome of deciding on a loan that is not held.
enum Decision<'a> {
    /// The loan is taken on.
    Accept(&'a LoanOffer),
    /// The loan is refused.
    Refuse(BorrowRefusal),
    /// The lender has withdrawn the loan before it was ever held.
    Withdrawn,
}

/// The loans that a cell holds, as recorded. A change is first made durable by the caller, then taken
/// over: with [`BorrowerLedger::apply`], or record by record as they were read back.
#[derive(Clone, Debug, Default)]
pub struct BorrowerLedger {
    jobs: BTreeMap<String, BorrowedJob>,
    /// High-water marks, by the lender's name.
    high_water: BTreeMap<String, LoanNumber>,
}

impl BorrowerLedger {
    /// Takes over the record of a borrowed job.
    pub fn load(&mut self, job: &str, record: BorrowedJob) {
        self.jobs.insert(job.to_string(), record);
    }

    /// Takes over the high-water mark of a lender.
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

    /// A lender's high-water mark: no loan up to it is accepted any more.
    pub fn high_water(&self, lender: &str) -> LoanNumber {
        self.high_water.get(lender).copied().unwrap_or_default()
    }

    /// The first change that a lender's message asks for. `None`: the records agree with the message, and
    /// the loans can be reported.
    pub fn next_change(&self, request: &LoanSyncRequest, local: &impl LocalTasks) -> Option<BorrowerChange> {
        self.drop_closed(request).or_else(|| {
            let mut items: Vec<&LoanItem> = request.loans.iter().collect();
            // A mark above an offer that is still to be decided on would refuse it.
            items.sort_by_key(|item| item.number);
            items.into_iter().find_map(|item| self.change_for_item(&request.from, item, local))
        })
    }

    /// Takes over a change that is durable.
    pub fn apply(&mut self, change: &BorrowerChange) {
        match &change.record {
            Some(record) => self.load(&change.job, record.clone()),
            None => self.remove(&change.lender, &change.job),
        }
        if let Some(number) = change.high_water {
            self.load_high_water(&change.lender, number);
        }
    }

    /// The record of a job that was borrowed from a lender is gone.
    pub fn remove(&mut self, lender: &str, job: &str) {
        if self.record_from(lender, job).is_some() {
            self.jobs.remove(job);
        }
    }

    /// The states of the loans that a message names. `done` returns the tasks of a job that are recorded
    /// as done here. A loan that is neither held nor known to be closed is left out.
    pub fn reports(&self, request: &LoanSyncRequest, done: impl Fn(&str) -> TaskSet) -> Vec<LoanReport> {
        let report = |item: &LoanItem| {
            let state = match self.held_loan(&request.from, item) {
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

    fn held_loan(&self, lender: &str, item: &LoanItem) -> Option<&BorrowedLoan> {
        let record = self.record_from(lender, &item.job)?;
        record.loans.iter().find(|loan| loan.number == item.number)
    }

    /// Drops loans that their lender has closed. Only those up to the message's horizon: a late message
    /// does not name loans that were made after it.
    fn drop_closed(&self, request: &LoanSyncRequest) -> Option<BorrowerChange> {
        let is_open = |loan: &BorrowedLoan| {
            loan.number > request.horizon || request.loans.iter().any(|item| item.number == loan.number)
        };
        let mut from_lender = self.jobs.iter().filter(|(_, record)| record.lender == request.from);
        from_lender.find_map(|(job, record)| {
            let open: Vec<BorrowedLoan> = record.loans.iter().filter(|loan| is_open(loan)).cloned().collect();
            (open.len() < record.loans.len()).then(|| change_to_loans(job, record, open))
        })
    }

    fn change_for_item(
        &self,
        lender: &str,
        item: &LoanItem,
        local: &impl LocalTasks,
    ) -> Option<BorrowerChange> {
        match self.held_loan(lender, item) {
            Some(loan) => self.change_held_loan(item, loan, local),
            // Decided before and closed since: the same offer again, or a late copy of it.
            None if item.number <= self.high_water(lender) => None,
            None => {
                let decision = self.decide(lender, item, local)?;
                Some(self.record_decision(lender, item, decision))
            }
        }
    }

    /// What a message changes about a loan that is held.
    fn change_held_loan(
        &self,
        item: &LoanItem,
        loan: &BorrowedLoan,
        local: &impl LocalTasks,
    ) -> Option<BorrowerChange> {
        match item.action {
            LoanAction::Run => None,
            LoanAction::Recall => self.give_back(item, loan, local),
            LoanAction::Cancel => {
                let record = self.jobs.get(&item.job)?;
                let others = record.loans.iter().filter(|other| other.number != item.number);
                Some(change_to_loans(&item.job, record, others.cloned().collect()))
            }
        }
    }

    /// Decides on a loan that is not held; `None` if it comes without the job's description.
    fn decide<'a>(&self, lender: &str, item: &'a LoanItem, local: &impl LocalTasks) -> Option<Decision<'a>> {
        if item.action != LoanAction::Run {
            return Some(Decision::Withdrawn);
        }
        let offer = item.offer.as_ref()?;
        let verdict = self.check(lender, item, offer).and_then(|()| local.admit(item, offer));
        Some(match verdict {
            Ok(()) => Decision::Accept(offer),
            Err(refusal) => Decision::Refuse(refusal),
        })
    }

    /// Checks of an offer that need no knowledge of machines and settings.
    fn check(&self, lender: &str, item: &LoanItem, offer: &LoanOffer) -> Result<(), BorrowRefusal> {
        if item.tasks.max().is_none_or(|last| last >= offer.job_tasks) {
            return Err(BorrowRefusal::InvalidTasks);
        }
        match self.jobs.get(&item.job) {
            Some(record) if record.lender != lender => Err(BorrowRefusal::JobIdInUse),
            Some(record) if !record.tasks().is_disjoint(&item.tasks) => {
                Err(BorrowRefusal::TasksAlreadyBorrowed)
            }
            _ => Ok(()),
        }
    }

    /// The durable decision on a loan: the record of what is accepted, and the mark by which it is never
    /// decided on again.
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

    /// Gives back the tasks of a loan that have not begun; `None` if all have.
    fn give_back(
        &self,
        item: &LoanItem,
        loan: &BorrowedLoan,
        local: &impl LocalTasks,
    ) -> Option<BorrowerChange> {
        let given_back = local.unstarted(&item.job, &loan.tasks).intersection(&loan.tasks);
        if given_back.is_empty() {
            return None;
        }
        let record = self.jobs.get(&item.job)?;
        let mut loans = record.loans.clone();
        for loan in loans.iter_mut().filter(|loan| loan.number == item.number) {
            loan.tasks = loan.tasks.difference(&given_back);
        }
        loans.retain(|loan| !loan.tasks.is_empty());
        Some(change_to_loans(&item.job, record, loans))
    }
}

/// The change by which a job's record is left with these loans; without any the record is removed.
fn change_to_loans(job: &str, record: &BorrowedJob, loans: Vec<BorrowedLoan>) -> BorrowerChange {
    let left = BorrowedJob { loans, ..record.clone() };
    let withdrawn = record.tasks().difference(&left.tasks());
    BorrowerChange {
        lender: record.lender.clone(),
        job: job.to_string(),
        record: (!left.loans.is_empty()).then_some(left),
        high_water: None,
        withdrawn,
        refusal: None,
    }
}
