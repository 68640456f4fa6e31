//! Writes the records of loans between cells, for the lending and the borrowing side alike.

use super::step_down::StepDownReason;
use super::Controller;
use crate::fleet::LoanWrite;
use crate::keys::{final_key, job_key};
use crate::leadership::{self, KeyState, SHARD_KEY};
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::time::wall;

/// Outcome of a write of loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoanOutcome {
    /// It is durable.
    Written,
    /// It was not applied and never will be; the records have been read back.
    NotWritten,
    /// Not known yet, or this controller no longer leads.
    Unknown,
}

impl Controller {
    /// Sends writes again that had no answer. Until they have one, a late copy of them may be carried out.
    pub(super) fn retry_loan_writes(&self, fencing_token: u64) {
        let unresolved = match self.lock().leadership_with(fencing_token) {
            Some(leadership) => leadership.fleet.loans.take_unresolved(),
            None => return,
        };
        for write in unresolved {
            self.write_loan(fencing_token, write);
        }
    }

    /// Writes the records of held jobs that 0.3.0 to 0.3.2 wrote back and that were restored, in the form which
    /// those versions write: all controllers read it.
    pub(super) fn write_restored_records(&self) {
        let (fencing_token, writes) = match self.lock().leadership.as_mut() {
            Some(leadership) => (leadership.term.fencing_token, leadership.fleet.begin_record_restores()),
            None => return,
        };
        if self.config.operator.cells.is_none() {
            // No lending duty sends those again that had no answer.
            self.retry_loan_writes(fencing_token);
        }
        for write in writes {
            self.write_loan(fencing_token, write);
        }
    }

    /// Carries out a write of loans.
    pub(super) fn write_loan(&self, fencing_token: u64, write: LoanWrite) -> LoanOutcome {
        let shard_revision = match self.lock().leadership_with(fencing_token) {
            Some(leadership) => leadership.term.shard_revision,
            None => return LoanOutcome::Unknown,
        };
        let txn = leadership::loan_txn(&write, shard_revision);
        match self.state.txn(&txn, RequestPriority::Leader) {
            Ok(TxnOutcome::Committed(revision)) => self.loan_written(fencing_token, &write, revision),
            Ok(TxnOutcome::Conflict(keys)) => self.loan_conflict(fencing_token, write, &keys),
            // Refused without having been executed.
            Err(
                StateStoreError::Refused(_)
                | StateStoreError::RateBudgetExceeded
                | StateStoreError::Rejected(_),
            ) => {
                if let Some(leadership) = self.lock().leadership_with(fencing_token) {
                    leadership.fleet.discard_loan_write(&write);
                }
                LoanOutcome::NotWritten
            }
            Err(error) => {
                tracing::info!(job = write.job(), %error, "loan write outcome unknown");
                self.loan_unresolved(fencing_token, write)
            }
        }
    }

    /// Records a committed write in the fleet.
    fn loan_written(&self, fencing_token: u64, write: &LoanWrite, revision: u64) -> LoanOutcome {
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return LoanOutcome::Unknown };
        leadership.fleet.apply_loan_write(write, revision, self.now(), wall());
        self.wake.notify_all();
        LoanOutcome::Written
    }

    /// Keeps a write whose outcome is unknown, to be sent again.
    fn loan_unresolved(&self, fencing_token: u64, write: LoanWrite) -> LoanOutcome {
        if let Some(leadership) = self.lock().leadership_with(fencing_token) {
            leadership.fleet.queue_unresolved_loan_write(write);
        }
        LoanOutcome::Unknown
    }

    /// Some record has changed: by another's write, or by an earlier copy of this one. Either way no copy
    /// of it can be committed any more, and the records are read back.
    fn loan_conflict(&self, fencing_token: u64, write: LoanWrite, keys: &[String]) -> LoanOutcome {
        if keys.iter().any(|key| key == SHARD_KEY) {
            self.step_down_from(fencing_token, StepDownReason::ShardTaken);
            return LoanOutcome::Unknown;
        }
        let records = match leadership::read_loan_records(&self.state, &write) {
            Ok(records) => records,
            Err(error) => {
                tracing::debug!(job = write.job(), %error, "loan record read-back failed");
                return self.loan_unresolved(fencing_token, write);
            }
        };
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return LoanOutcome::Unknown };
        let fleet = &mut leadership.fleet;
        for KeyState { key, row } in records {
            leadership::update_from_store(fleet, &key, row, self.now());
        }
        let job = write.job();
        let is_borrowing = matches!(write, LoanWrite::Borrower { .. });
        if !is_borrowing {
            leadership::mark_unreadable_finals(fleet, keys);
        }
        if is_borrowing && keys.iter().any(|key| *key == job_key(job) || *key == final_key(job)) {
            fleet.record_own_job_id(job);
        }
        fleet.discard_loan_write(&write);
        LoanOutcome::NotWritten
    }
}
