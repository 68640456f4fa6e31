//! The guest's side: which loans it holds, and what a home's message changes.

use std::collections::BTreeMap;

use crate::loan::{BorrowedJob, HeldLoan, LoanNumber};
use crate::message::{LoanItem, LoanReport, LoanState, Offer, Request, Wish};
use crate::task_set::TaskSet;

/// Why a guest refuses a loan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A job of this id is known here from elsewhere.
    #[error("a job of this id is known here already")]
    KnownJob,
    /// Task numbers that the job does not have, or none.
    #[error("tasks that the job does not have")]
    WrongTasks,
    /// Tasks that are held here already.
    #[error("some of the tasks are held already")]
    HeldAlready,
    /// The description cannot be read.
    #[error("the description cannot be read: {0}")]
    Malformed(String),
    /// The job's tasks must run at one place or time, or it never ends.
    #[error("only arrays without rules over all their tasks are borrowed")]
    NotBorrowable,
    /// A class of jobs that is not borrowed here.
    #[error("class {0} is not borrowed here")]
    Class(String),
    /// It can never run here.
    #[error("it can never run here: {0}")]
    NeverRuns(String),
    /// There is no room for so much.
    #[error("no room for {0} tasks")]
    NoRoom(u32),
}

/// What a guest's ledger needs to know of the tasks and machines here.
pub trait LocalTasks {
    /// Which of the tasks have certainly not begun here and will not, if they are not started from now on.
    fn unstarted(&self, job: &str, tasks: &TaskSet) -> TaskSet;

    /// Whether a loan may be taken on; its tasks are tasks of the job, and none is held here.
    fn admit(&self, item: &LoanItem, offer: &Offer) -> Result<(), Refusal>;
}

/// A change of a guest's records, to be written in one guarded transaction and then applied.
#[derive(Clone, Debug, PartialEq)]
pub struct GuestChange {
    /// The home cell.
    pub home: String,
    /// The job.
    pub job: String,
    /// Its record from now on; none: there is none.
    pub record: Option<BorrowedJob>,
    /// The home's high-water mark from now on, if it rises: no loan up to it is ever accepted again.
    pub high_water: Option<LoanNumber>,
    /// Tasks that are held no more: none of them may start from before the write on.
    pub withdrawn: TaskSet,
    /// Why an offer is refused, if it is.
    pub refusal: Option<Refusal>,
}

/// The loans that a cell holds, as recorded. Changes go through `apply` after they are durable.
#[derive(Clone, Debug, Default)]
pub struct GuestLedger {
    jobs: BTreeMap<String, BorrowedJob>,
    high_water: BTreeMap<String, LoanNumber>,
}

impl GuestLedger {
    /// Takes over the record of a borrowed job.
    pub fn load(&mut self, job: &str, record: BorrowedJob) {
        self.jobs.insert(job.to_string(), record);
    }

    /// Takes over the high-water mark of a home.
    pub fn load_high_water(&mut self, home: &str, number: LoanNumber) {
        let mark = self.high_water.entry(home.to_string()).or_default();
        *mark = number.max(*mark);
    }

    /// A borrowed job.
    pub fn job(&self, job: &str) -> Option<&BorrowedJob> {
        self.jobs.get(job)
    }

    /// All borrowed jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &BorrowedJob)> {
        self.jobs.iter()
    }

    /// A home's high-water mark.
    pub fn high_water(&self, home: &str) -> LoanNumber {
        self.high_water.get(home).copied().unwrap_or_default()
    }

    /// The first change that a home's message asks for; none: the records agree with it, and the loans
    /// can be reported.
    pub fn next_change(&self, request: &Request, local: &impl LocalTasks) -> Option<GuestChange> {
        self.drop_closed(request).or_else(|| {
            let mut items: Vec<&LoanItem> = request.loans.iter().collect();
            // A mark above an offer that is still to be decided on would refuse it.
            items.sort_by_key(|item| item.number);
            items.into_iter().find_map(|item| self.change_for(&request.from, item, local))
        })
    }

    /// A change is durable.
    pub fn apply(&mut self, change: &GuestChange) {
        match &change.record {
            Some(record) => self.load(&change.job, record.clone()),
            None => self.remove(&change.home, &change.job),
        }
        if let Some(number) = change.high_water {
            self.load_high_water(&change.home, number);
        }
    }

    /// The record of a job that was borrowed from a home is gone.
    pub fn remove(&mut self, home: &str, job: &str) {
        if self.is_of(home, job) {
            self.jobs.remove(job);
        }
    }

    /// How the loans stand that a message names. `done` says which tasks of a job are recorded as done
    /// here. What is neither held nor known to be closed is left out.
    pub fn reports(&self, request: &Request, done: impl Fn(&str) -> TaskSet) -> Vec<LoanReport> {
        let report = |item: &LoanItem| {
            let state = match self.held(&request.from, item) {
                Some(loan) => LoanState::Held {
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

    fn is_of(&self, home: &str, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|record| record.home == home)
    }

    fn held(&self, home: &str, item: &LoanItem) -> Option<&HeldLoan> {
        let record = self.jobs.get(&item.job).filter(|record| record.home == home)?;
        record.loans.iter().find(|loan| loan.number == item.number)
    }

    /// Loans that their home has closed are dropped. Only those up to the message's horizon: a late
    /// message does not name loans that were made after it.
    fn drop_closed(&self, request: &Request) -> Option<GuestChange> {
        let is_closed = |loan: &HeldLoan| {
            loan.number <= request.horizon && !request.loans.iter().any(|item| item.number == loan.number)
        };
        let mut of_home = self.jobs.iter().filter(|(_, record)| record.home == request.from);
        of_home.find_map(|(job, record)| {
            let loans: Vec<HeldLoan> = record.loans.iter().filter(|loan| !is_closed(loan)).cloned().collect();
            (loans.len() < record.loans.len()).then(|| self.with_loans(job, record, loans))
        })
    }

    fn change_for(&self, home: &str, item: &LoanItem, local: &impl LocalTasks) -> Option<GuestChange> {
        match (self.held(home, item), item.wish) {
            (Some(_), Wish::Run) => None,
            (Some(loan), Wish::Recall) => self.give_back(item, loan, local),
            (Some(_), Wish::Cancel) => {
                let record = self.jobs.get(&item.job)?;
                let others = record.loans.iter().filter(|loan| loan.number != item.number);
                Some(self.with_loans(&item.job, record, others.cloned().collect()))
            }
            // Decided before, and closed since: the same offer again, or a late copy of it.
            (None, _) if item.number <= self.high_water(home) => None,
            (None, Wish::Cancel | Wish::Recall) => Some(self.decided(home, item, Err(None))),
            (None, Wish::Run) => {
                let offer = item.offer.as_ref()?;
                let verdict = self.check(home, item, offer).and_then(|()| local.admit(item, offer));
                Some(self.decided(home, item, verdict.map(|()| offer).map_err(Some)))
            }
        }
    }

    /// What can be said of an offer without knowing machines and teams.
    fn check(&self, home: &str, item: &LoanItem, offer: &Offer) -> Result<(), Refusal> {
        if item.tasks.max().is_none_or(|last| last >= offer.job_tasks) {
            return Err(Refusal::WrongTasks);
        }
        match self.jobs.get(&item.job) {
            Some(record) if record.home != home => Err(Refusal::KnownJob),
            Some(record) if !record.tasks().is_disjoint(&item.tasks) => Err(Refusal::HeldAlready),
            _ => Ok(()),
        }
    }

    /// The durable decision on an offer: the record of what is accepted, and the mark by which it is
    /// never decided on again.
    fn decided(&self, home: &str, item: &LoanItem, verdict: Result<&Offer, Option<Refusal>>) -> GuestChange {
        let mut change = GuestChange {
            home: home.to_string(),
            job: item.job.clone(),
            record: self.jobs.get(&item.job).filter(|record| record.home == home).cloned(),
            high_water: Some(item.number),
            withdrawn: TaskSet::new(),
            refusal: None,
        };
        match verdict {
            Ok(offer) => {
                let record = change.record.get_or_insert_with(|| BorrowedJob {
                    home: home.to_string(),
                    description: offer.description.clone(),
                    loans: Vec::new(),
                });
                record.loans.push(HeldLoan { number: item.number, tasks: item.tasks.clone() });
            }
            Err(refusal) => change.refusal = refusal,
        }
        change
    }

    /// Gives back the tasks of a loan that have not begun.
    fn give_back(&self, item: &LoanItem, loan: &HeldLoan, local: &impl LocalTasks) -> Option<GuestChange> {
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
        Some(self.with_loans(&item.job, record, loans))
    }

    /// A job's record with other loans; without any it goes.
    fn with_loans(&self, job: &str, record: &BorrowedJob, loans: Vec<HeldLoan>) -> GuestChange {
        let left = BorrowedJob { loans, ..record.clone() };
        let withdrawn = record.tasks().difference(&left.tasks());
        GuestChange {
            home: record.home.clone(),
            job: job.to_string(),
            record: (!left.loans.is_empty()).then_some(left),
            high_water: None,
            withdrawn,
            refusal: None,
        }
    }
}
