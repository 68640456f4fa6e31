//! The stored form of loans, at the lender and at the borrower. The serialized names of these types are
//! part of stored records and must not change.

use serde::{Deserialize, Serialize};

use crate::task_set::TaskSet;

/// Number of low bits of a loan number that count the loans of one term. The higher bits are the term.
const COUNTER_BITS: u32 = 20;

/// The number of a loan: the term of the lender's leader in the high bits, a counter in the low bits.
///
/// A number is unique within the lender's cell and is never reused, since every failover raises the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanNumber(pub u64);

impl LoanNumber {
    /// The number directly before the first number of a term.
    pub fn before_term(term: u64) -> LoanNumber {
        LoanNumber(term << COUNTER_BITS)
    }

    /// The next number, or `None` if the term has no numbers left.
    pub fn next(self) -> Option<LoanNumber> {
        let next = LoanNumber(self.0 + 1);
        let is_same_term = next.0 >> COUNTER_BITS == self.0 >> COUNTER_BITS;
        is_same_term.then_some(next)
    }

    /// The previous number. Must not be called on 0, which is the number of no loan.
    pub fn previous(self) -> LoanNumber {
        LoanNumber(self.0 - 1)
    }
}

/// A loan, as the lender stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The loan's number.
    pub number: LoanNumber,
    /// Name of the borrower's cell, which runs the tasks.
    #[serde(rename = "guest")]
    pub borrower: String,
    /// The lent tasks. The lender starts none of them while they are part of this record.
    pub tasks: TaskSet,
}

/// The part of a job's record at the lender that describes its loans.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lending {
    /// The open loans of the job.
    #[serde(default)]
    pub loans: Vec<Loan>,
    /// Whether a user has requested the job's cancellation. None of its tasks starts any more, and the
    /// job counts as cancelled once it has no open loan.
    #[serde(default)]
    pub cancelling: bool,
}

impl Lending {
    /// Whether the job has neither open loans nor a requested cancellation, so that nothing is stored.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty() && !self.cancelling
    }

    /// Whether the job is cancelled: a user has requested the cancellation, and no loan is open.
    pub fn is_cancelled(&self) -> bool {
        self.cancelling && self.loans.is_empty()
    }

    /// All lent tasks of the job.
    pub fn tasks(&self) -> TaskSet {
        TaskSet::union_of(self.loans.iter().map(|loan| &loan.tasks))
    }
}

/// A loan, as the borrower stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedLoan {
    /// The loan's number.
    pub number: LoanNumber,
    /// The borrowed tasks, without those that the borrower has returned.
    pub tasks: TaskSet,
}

/// A job from which a cell borrows tasks, as the borrower stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedJob {
    /// Name of the lender's cell, to which the job was submitted.
    #[serde(rename = "home")]
    pub lender: String,
    /// The job's description in JSON, as the lender sent it.
    pub description: serde_json::Value,
    /// The accepted loans that are not closed.
    pub loans: Vec<BorrowedLoan>,
}

impl BorrowedJob {
    /// All borrowed tasks of the job.
    pub fn tasks(&self) -> TaskSet {
        TaskSet::union_of(self.loans.iter().map(|loan| &loan.tasks))
    }
}
