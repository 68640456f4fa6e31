//! Loans as both sides record them. The serialized names of these types are part of stored records and
//! must not change.

use serde::{Deserialize, Serialize};

use crate::task_set::TaskSet;

/// Low bits of a loan's number that count the loans of one term; the high bits are the term itself.
const COUNTER_BITS: u32 = 20;

/// Number of a loan: the term of the lender's leader in the high bits, a counter in the low ones.
///
/// It is unique within the lender's cell and never reused, since every failover raises the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanNumber(pub u64);

impl LoanNumber {
    /// The number before the first one of a term.
    pub fn before_term(term: u64) -> LoanNumber {
        LoanNumber(term << COUNTER_BITS)
    }

    /// The number after this one, or `None` if the term has no more numbers.
    pub fn next(self) -> Option<LoanNumber> {
        let next = LoanNumber(self.0 + 1);
        let is_same_term = next.0 >> COUNTER_BITS == self.0 >> COUNTER_BITS;
        is_same_term.then_some(next)
    }

    /// The number before this one. There is none before 0, which no loan has.
    pub fn previous(self) -> LoanNumber {
        LoanNumber(self.0 - 1)
    }
}

/// A loan as its lender records it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The loan's number.
    pub number: LoanNumber,
    /// Name of the cell that runs the tasks.
    #[serde(rename = "guest")]
    pub borrower: String,
    /// The tasks. As long as they stand here the lender starts none of them.
    pub tasks: TaskSet,
}

/// What a job's record at its lender says of loans.
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

    /// Whether the job is cancelled: its user asked for it, and no cell holds any of its tasks.
    pub fn is_cancelled(&self) -> bool {
        self.cancelling && self.loans.is_empty()
    }

    /// All tasks that are lent.
    pub fn tasks(&self) -> TaskSet {
        TaskSet::union_of(self.loans.iter().map(|loan| &loan.tasks))
    }
}

/// A loan as its borrower records it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedLoan {
    /// The loan's number.
    pub number: LoanNumber,
    /// The tasks that the borrower has not given back.
    pub tasks: TaskSet,
}

/// A job of which a borrower holds tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowedJob {
    /// Name of the cell that accepted the job.
    #[serde(rename = "home")]
    pub lender: String,
    /// The job's description, as the lender sent it.
    pub description: serde_json::Value,
    /// The loans that are held.
    pub loans: Vec<BorrowedLoan>,
}

impl BorrowedJob {
    /// All tasks that are held here.
    pub fn tasks(&self) -> TaskSet {
        TaskSet::union_of(self.loans.iter().map(|loan| &loan.tasks))
    }
}
