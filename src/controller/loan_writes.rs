//! Writes the records of loans between cells, both for the lender and for the borrower.

use super::step_down::StepDownReason;
use super::Controller;
use crate::fleet::{LoanWrite, UnresolvedLoanWrite};
use crate::keys::{final_key, job_key};
use crate::leadership::{self, SHARD_KEY};
use crate::state::{RequestPriority, StateStoreError, TxnOutcome};
use crate::time::wall;

/// Outcome of a write of loan records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoanOutcome {
    /// The write was committed.
    Written,
    /// The write was not executed and never will be. After a conflict the records have been read back.
    NotWritten,
    /// The outcome is not known yet, or this controller no longer leads.
    Unknown,
}

impl Controller {
    /// Sends the writes with unknown outcome again. Until a write has a known outcome, the state store may
    /// still execute a delayed copy of it.
    pub(super) fn retry_loan_writes(&self, fencing_token: u64) {
        let unresolved = match self.lock().leadership_with(fencing_token) {
            Some(leadership) => leadership.fleet.loans.take_unresolved(),
            None => return,
        };
        for write in unresolved {
            self.retry_loan_write(fencing_token, &write);
        }
    }

    /// Sends a write with unknown outcome again. It stays in flight until it is committed, or until a conflict
    /// shows that no copy of it can be committed any more. A refused retry shows neither.
    fn retry_loan_write(&self, fencing_token: u64, unresolved: &UnresolvedLoanWrite) {
        let write = unresolved.write().clone();
        match self.send_loan_write(fencing_token, &write) {
            Some(Ok(outcome)) => {
                self.handle_loan_outcome(fencing_token, write, outcome);
            }
            Some(Err(error)) => {
                tracing::debug!(job = write.job(), %error, "loan write still unresolved");
                self.keep_unresolved_loan(fencing_token, write);
            }
            None => {}
        }
    }

    /// Writes the restored records of held jobs. Versions 0.3.0 to 0.3.2 had written these records back
    /// without the field `held`. The restored records are written in the form of those versions, which all
    /// controllers of this cell read ([`crate::records::LentForm::Hidden`]).
    pub(super) fn write_restored_records(&self) {
        let (fencing_token, writes) = match self.lock().leadership.as_mut() {
            Some(leadership) => (leadership.term.fencing_token, leadership.fleet.begin_record_restores()),
            None => return,
        };
        if self.config.operator.cells.is_none() {
            // Without a `cells` block no lending duty sends the writes with unknown outcome again.
            self.retry_loan_writes(fencing_token);
        }
        for write in writes {
            self.write_loan(fencing_token, write);
        }
    }

    /// Sends a new write of loan records to the state store and records its outcome.
    pub(super) fn write_loan(&self, fencing_token: u64, write: LoanWrite) -> LoanOutcome {
        match self.send_loan_write(fencing_token, &write) {
            None => LoanOutcome::Unknown,
            Some(Ok(outcome)) => self.handle_loan_outcome(fencing_token, write, outcome),
            // The only copy of the write was refused before it was executed.
            Some(Err(
                StateStoreError::Refused(_)
                | StateStoreError::RateBudgetExceeded
                | StateStoreError::Rejected(_),
            )) => {
                if let Some(leadership) = self.lock().leadership_with(fencing_token) {
                    leadership.fleet.discard_loan_write(&write);
                }
                LoanOutcome::NotWritten
            }
            Some(Err(error)) => {
                tracing::info!(job = write.job(), %error, "loan write outcome unknown");
                self.keep_unresolved_loan(fencing_token, write)
            }
        }
    }

    /// Sends a write of loan records to the state store; none if this controller no longer leads in the term.
    fn send_loan_write(
        &self,
        fencing_token: u64,
        write: &LoanWrite,
    ) -> Option<Result<TxnOutcome, StateStoreError>> {
        let shard_revision = self.lock().leadership_with(fencing_token)?.term.shard_revision;
        let txn = leadership::loan_txn(write, shard_revision);
        Some(self.state.txn(&txn, RequestPriority::Leader))
    }

    /// Handles the state store's answer to a write of loan records.
    fn handle_loan_outcome(&self, fencing_token: u64, write: LoanWrite, outcome: TxnOutcome) -> LoanOutcome {
        match outcome {
            TxnOutcome::Committed(revision) => self.apply_written_loan(fencing_token, &write, revision),
            TxnOutcome::Conflict(keys) => self.handle_loan_conflict(fencing_token, write, &keys),
        }
    }

    /// Applies a committed write to the fleet.
    fn apply_written_loan(&self, fencing_token: u64, write: &LoanWrite, revision: u64) -> LoanOutcome {
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return LoanOutcome::Unknown };
        leadership.fleet.apply_loan_write(write, revision, self.now(), wall());
        self.wake.notify_all();
        LoanOutcome::Written
    }

    /// The fleet's latest known revision of the records of jobs and of lenders; none if this controller no longer
    /// leads in the term.
    pub(super) fn known_revision(&self, fencing_token: u64) -> Option<u64> {
        Some(self.lock().leadership_with(fencing_token)?.fleet.known_revision())
    }

    /// Keeps a write with unknown outcome in the fleet, to be sent again.
    fn keep_unresolved_loan(&self, fencing_token: u64, write: LoanWrite) -> LoanOutcome {
        if let Some(leadership) = self.lock().leadership_with(fencing_token) {
            leadership.fleet.queue_unresolved_loan_write(write);
        }
        LoanOutcome::Unknown
    }

    /// Handles a conflict: a record has changed, by a write of another controller or by an earlier copy of
    /// this write. In both cases no other copy of this write can be committed any more, and the records are
    /// read back.
    fn handle_loan_conflict(&self, fencing_token: u64, write: LoanWrite, keys: &[String]) -> LoanOutcome {
        if keys.iter().any(|key| key == SHARD_KEY) {
            self.step_down_from(fencing_token, StepDownReason::ShardTaken);
            return LoanOutcome::Unknown;
        }
        let Some(known_revision) = self.known_revision(fencing_token) else { return LoanOutcome::Unknown };
        let records = match leadership::read_loan_records(&self.state, &write, known_revision) {
            Ok(records) => records,
            Err(error) => {
                tracing::debug!(job = write.job(), %error, "loan record read-back failed");
                return self.keep_unresolved_loan(fencing_token, write);
            }
        };
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return LoanOutcome::Unknown };
        let fleet = &mut leadership.fleet;
        let is_borrowing = matches!(write, LoanWrite::Borrower { .. });
        if is_borrowing && records.iter().any(|state| fleet.loans.is_outdated(&state.key, state.as_of)) {
            // The records changed during the read. They belong together, so none of them is applied: the
            // write is sent again, conflicts again, and the records are read once more.
            fleet.queue_unresolved_loan_write(write);
            return LoanOutcome::Unknown;
        }
        for state in records {
            leadership::update_from_store(fleet, state, self.now());
        }
        let job = write.job();
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
