//! Loans as both sides record them.

use serde::{Deserialize, Serialize};

use crate::task_set::TaskSet;

/// Bits of a loan's number that count; the others are the term of the home's owner.
const COUNTER_BITS: u32 = 20;

/// Number of a loan. It is unique within its home cell and never comes again: it starts with the owner's
/// term, which every takeover raises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanNumber(pub u64);

impl LoanNumber {
    /// The number before the first one of a term.
    pub fn before_term(term: u64) -> LoanNumber {
        LoanNumber(term << COUNTER_BITS)
    }

    /// The number after this one; none if the term has no more.
    pub fn next(self) -> Option<LoanNumber> {
        let next = LoanNumber(self.0 + 1);
        (next.0 >> COUNTER_BITS == self.0 >> COUNTER_BITS).then_some(next)
    }
}

/// A loan as its home records it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Its number.
    pub number: LoanNumber,
    /// The cell that runs the tasks.
    pub guest: String,
    /// The tasks. As long as they stand here their home starts none of them.
    pub tasks: TaskSet,
}

/// What a job's record at its home says of loans.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lending {
    /// The open loans.
    #[serde(default)]
    pub loans: Vec<Loan>,
    /// The job's user wants it cancelled: nothing of it starts any more, and it counts as cancelled
    /// once no loan is open.
    #[serde(default)]
    pub cancelling: bool,
}

impl Lending {
    /// Whether there is nothing to record.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty() && !self.cancelling
    }

    /// Whether the job is cancelled: its user wants it, and no cell holds anything of it.
    pub fn is_cancelled(&self) -> bool {
        self.cancelling && self.loans.is_empty()
    }

    /// All tasks that are lent.
    pub fn tasks(&self) -> TaskSet {
        self.loans.iter().fold(TaskSet::new(), |all, loan| all.union(&loan.tasks))
    }
}

/// A loan as the guest records it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLoan {
    /// Its number.
    pub number: LoanNumber,
    /// The tasks that the guest has not given back.
    pub tasks: TaskSet,
}

/// A job of which a guest has borrowed tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedJob {
    /// The cell that accepted the job.
    pub home: String,
    /// The job's description, as its home sent it.
    pub description: serde_json::Value,
    /// The loans.
    pub loans: Vec<HeldLoan>,
}

impl BorrowedJob {
    /// All tasks that are held here.
    pub fn tasks(&self) -> TaskSet {
        self.loans.iter().fold(TaskSet::new(), |all, loan| all.union(&loan.tasks))
    }
}
