//! Writing the records of loans, for the lending and the borrowing side alike.

use super::Controller;
use crate::fleet::LoanWrite;
use crate::keys::{final_key, job_key};
use crate::leadership::{self, SHARD_KEY};
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::time::wall;

/// What became of a write of loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoanOutcome {
    /// It is durable.
    Written,
    /// It was not applied and never will be; the records have been read back.
    NotWritten,
    /// Not known yet, or this controller owns nothing any more.
    Unknown,
}

impl Controller {
    /// Sends writes again that had no answer. Until they have one, a late copy of them may be applied.
    pub(super) fn retry_loan_writes(&self, fencing_token: u64) {
        let unresolved = match self.lock().leadership_with(fencing_token) {
            Some(leadership) => leadership.fleet.loans.take_unresolved(),
            None => return,
        };
        for write in unresolved {
            self.write_loan(fencing_token, write);
        }
    }

    /// Carries out a write of loans.
    pub(super) fn write_loan(&self, fencing_token: u64, write: LoanWrite) -> LoanOutcome {
        let shard_revision = match self.lock().leadership_with(fencing_token) {
            Some(leadership) => leadership.claim.shard_revision,
            None => return LoanOutcome::Unknown,
        };
        let txn = leadership::loan_txn(&write, shard_revision);
        match self.state.txn(&txn, RequestPriority::Leader) {
            Ok(TxnOutcome::Committed(revision)) => self.loan_written(fencing_token, &write, revision),
            Ok(TxnOutcome::Conflict(keys)) => self.loan_conflict(fencing_token, write, &keys),
            // Refused without having been executed.
            Err(
                StateStoreError::NotSent
                | StateStoreError::Refused(_)
                | StateStoreError::Budget
                | StateStoreError::Rejected(_),
            ) => {
                if let Some(leadership) = self.lock().leadership_with(fencing_token) {
                    leadership.fleet.loan_not_written(&write);
                }
                LoanOutcome::NotWritten
            }
            Err(e) => {
                tracing::info!(job = write.job(), error = %e, "loan write outcome unknown");
                self.loan_unresolved(fencing_token, write)
            }
        }
    }

    fn loan_written(&self, fencing_token: u64, write: &LoanWrite, revision: u64) -> LoanOutcome {
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return LoanOutcome::Unknown };
        leadership.fleet.loan_written(write, revision, self.now(), wall());
        self.wake.notify_all();
        LoanOutcome::Written
    }

    fn loan_unresolved(&self, fencing_token: u64, write: LoanWrite) -> LoanOutcome {
        if let Some(leadership) = self.lock().leadership_with(fencing_token) {
            leadership.fleet.loan_unresolved(write);
        }
        LoanOutcome::Unknown
    }

    /// Some record has changed: by another's write, or by an earlier copy of this one. Either way no copy
    /// of it can be applied any more, and the records tell how things stand.
    fn loan_conflict(&self, fencing_token: u64, write: LoanWrite, keys: &[String]) -> LoanOutcome {
        if keys.iter().any(|key| key == SHARD_KEY) {
            let mut shared = self.lock();
            if shared.leadership_with(fencing_token).is_some() {
                self.step_down(&mut shared, 0, "another owner has taken the part");
            }
            return LoanOutcome::Unknown;
        }
        let rows = match leadership::read_loan_records(&self.state, &write) {
            Ok(rows) => rows,
            Err(e) => {
                tracing::debug!(job = write.job(), error = %e, "loan record read-back failed");
                return self.loan_unresolved(fencing_token, write);
            }
        };
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return LoanOutcome::Unknown };
        let fleet = &mut leadership.fleet;
        for (key, row) in rows {
            leadership::learn(fleet, &key, row, self.now());
        }
        let job = write.job();
        let is_guest = matches!(write, LoanWrite::Guest { .. });
        if is_guest && keys.iter().any(|key| *key == job_key(job) || *key == final_key(job)) {
            fleet.note_known_job(job);
        }
        fleet.loan_not_written(&write);
        LoanOutcome::NotWritten
    }
}
