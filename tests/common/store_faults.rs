//! Transactions that a state store loses on the way, whose answers it loses, or that it carries out late.

use std::collections::VecDeque;

use milletlock::wire::Txn;
use rand::rngs::StdRng;
use rand::Rng;

use super::store::Store;

/// What becomes of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is lost.
    Lost,
    /// It has no answer, and is carried out after the next one.
    Late,
}

/// The fates of the transactions that write a job's record or its end.
#[derive(Default)]
pub struct StoreFaults {
    /// Those of the next ones; then all is well.
    pub next: VecDeque<Fate>,
    /// For each of them, unless `next` has one: the share that has a fate.
    pub random: Option<(StdRng, f64)>,
    late: Vec<Txn>,
}

impl StoreFaults {
    /// Carries out a transaction by its fate; no result: it is not answered.
    pub fn execute(&mut self, store: &mut Store, txn: &Txn) -> Option<Result<u64, Vec<String>>> {
        let is_of_job = txn
            .then
            .iter()
            .any(|change| change.key().starts_with("job/") || change.key().starts_with("final/"));
        let fate = if is_of_job { self.fate() } else { None };
        if fate == Some(Fate::Late) {
            self.late.push(txn.clone());
            return None;
        }
        let result = (fate != Some(Fate::Lost)).then(|| store.txn(txn));
        if is_of_job {
            self.late.drain(..).for_each(|late| drop(store.txn(&late)));
        }
        result.filter(|_| fate.is_none())
    }

    fn fate(&mut self) -> Option<Fate> {
        if let Some(fate) = self.next.pop_front() {
            return Some(fate);
        }
        let (random, share) = self.random.as_mut()?;
        let fates = [Fate::AnswerLost, Fate::Lost, Fate::Late];
        random.random_bool(*share).then(|| fates[random.random_range(0..fates.len())])
    }
}
