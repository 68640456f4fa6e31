//! Faults of the state store: transactions that are lost, whose answers are lost, or that are executed late.

use std::collections::VecDeque;

use milletlock::wire::Txn;
use rand::rngs::StdRng;
use rand::Rng;

use super::store::Store;

/// A fault of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnFault {
    /// The transaction is executed, but its answer is lost.
    AnswerLost,
    /// The transaction is lost.
    Lost,
    /// The transaction is not answered, and is executed after the next transaction.
    Late,
}

/// The faults of transactions that write a job's live or final record. Other transactions have no faults,
/// except those that `by_prefix` names.
#[derive(Default)]
pub struct StoreFaults {
    /// The faults of the next transactions, in order.
    pub next: VecDeque<TxnFault>,
    /// Once `next` is empty: the random generator, and the fraction of transactions that have a fault.
    pub random: Option<(StdRng, f64)>,
    /// The fault of all transactions that change a key with this prefix.
    pub by_prefix: Option<(&'static str, TxnFault)>,
    /// Transactions that change a key with this prefix are refused with status 503.
    pub refused_prefix: Option<&'static str>,
    /// Transactions that are still to be executed late.
    late: Vec<Txn>,
}

impl StoreFaults {
    /// Executes a transaction with its fault, if it has one; `None` if the transaction is not answered.
    pub fn execute(&mut self, store: &mut Store, txn: &Txn) -> Option<Result<u64, Vec<String>>> {
        let is_of_job = txn
            .then
            .iter()
            .any(|change| change.key().starts_with("job/") || change.key().starts_with("final/"));
        let fault = self.fault_by_prefix(txn).or_else(|| if is_of_job { self.next_fault() } else { None });
        if fault == Some(TxnFault::Late) {
            self.late.push(txn.clone());
            return None;
        }
        let result = (fault != Some(TxnFault::Lost)).then(|| store.txn(txn));
        if is_of_job {
            self.execute_late(store);
        }
        result.filter(|_| fault.is_none())
    }

    /// Whether a transaction is refused with status 503.
    pub fn refuses(&self, txn: &Txn) -> bool {
        let is_refused = |prefix| txn.then.iter().any(|change| change.key().starts_with(prefix));
        self.refused_prefix.is_some_and(is_refused)
    }

    /// Executes the late transactions now.
    pub fn execute_late(&mut self, store: &mut Store) {
        self.late.drain(..).for_each(|late| drop(store.txn(&late)));
    }

    /// The fault of a transaction that changes a key with the prefix of `by_prefix`; `None` if it changes none.
    fn fault_by_prefix(&self, txn: &Txn) -> Option<TxnFault> {
        let (prefix, fault) = self.by_prefix?;
        txn.then.iter().any(|change| change.key().starts_with(prefix)).then_some(fault)
    }

    /// The fault of the next transaction that writes a job's record; `None` if it has none.
    fn next_fault(&mut self) -> Option<TxnFault> {
        if let Some(fault) = self.next.pop_front() {
            return Some(fault);
        }
        let (random, share) = self.random.as_mut()?;
        let fates = [TxnFault::AnswerLost, TxnFault::Lost, TxnFault::Late];
        random.random_bool(*share).then(|| fates[random.random_range(0..fates.len())])
    }
}
