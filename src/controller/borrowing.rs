//! The borrower's side of loans between cells: answers the messages of lenders.

use milletlock_cells::LoanSyncRequest;

use super::loan_writes::LoanOutcome;
use super::{lock_ignoring_poison, Controller, Leadership, SharedState};
use crate::config::CellsSettings;
use crate::fleet::LoanWrite;
use crate::loan_messages::{report_to_proto, request_from_proto, summary_to_proto, LoanMessageError};
use crate::peer::{LoanReply, LoanRequest, PeerReply};
use crate::time::{wall, Micros};

/// Largest number of changes that are made for one message. The remaining changes are made for the next
/// message.
const MAX_CHANGES_PER_MESSAGE: usize = 32;
/// No further change is started this long after the message arrived, since its sender soon stops waiting
/// for the answer.
const CHANGE_TIMEOUT: Micros = Micros::from_millis(600);
/// Largest number of senders for which the reason of a refused message is remembered.
const MAX_REFUSED_CELLS: usize = 100;

impl Controller {
    /// Answers a lender's message about its loans.
    pub(super) fn on_loan_request(&self, message: &LoanRequest) -> PeerReply {
        let Some(cells) = &self.config.operator.cells else { return PeerReply::Loans(LoanReply::default()) };
        let request = match checked_request(cells, message) {
            Ok(request) => request,
            Err(error) => {
                self.log_refused_message(&message.from, error.to_string());
                return PeerReply::Loans(LoanReply { from: cells.name.clone(), ..LoanReply::default() });
            }
        };
        let readable = self.decidable_part(&request);
        if let Some((fencing_token, request)) = &readable {
            // Messages are processed one at a time: each change is based on the records that the previous
            // change has written.
            let _guard = lock_ignoring_poison(&self.loan_changes);
            self.apply_loan_request(*fencing_token, request);
        }
        let shared = self.lock();
        PeerReply::Loans(match &shared.leadership {
            Some(leadership) => loan_reply(cells, leadership, readable.as_ref().map(|(_, request)| request)),
            None => self.not_leading_reply(cells, &shared),
        })
    }

    /// The part of a message that this leader can decide on, with the leader's fencing token. None if this
    /// controller does not lead, or cannot read its records about the sender.
    fn decidable_part(&self, request: &LoanSyncRequest) -> Option<(u64, LoanSyncRequest)> {
        let shared = self.lock();
        let leadership = shared.leadership.as_ref()?;
        let request = leadership.fleet.without_unreadable(request)?;
        Some((leadership.term.fencing_token, request))
    }

    /// Makes the changes that a message requests, within the bounds for one message.
    fn apply_loan_request(&self, fencing_token: u64, request: &LoanSyncRequest) {
        let started_at = self.now();
        self.retry_loan_writes(fencing_token);
        for _ in 0..MAX_CHANGES_PER_MESSAGE {
            if self.now() - started_at > CHANGE_TIMEOUT {
                return;
            }
            let Some(write) = self.begin_next_change(fencing_token, request) else { return };
            tracing::debug!(job = write.job(), lender = %request.from, "borrowed job changed");
            if self.write_loan(fencing_token, write) == LoanOutcome::Unknown {
                return;
            }
        }
    }

    /// The write of the next change that a message requests. None if there is no further change, or if the
    /// next one has to wait until an earlier write about the job has a known outcome.
    fn begin_next_change(&self, fencing_token: u64, request: &LoanSyncRequest) -> Option<LoanWrite> {
        let mut shared = self.lock();
        let fleet = &mut shared.leadership_with(fencing_token)?.fleet;
        let change = fleet.loans.borrower_ledger.next_change(request, &fleet.local_tasks())?;
        if fleet.loans.has_borrower_write_in_flight(&change.job) {
            return None;
        }
        if let Some(why) = &change.refusal {
            tracing::info!(job = %change.job, lender = %change.lender, %why, "loan refused");
        }
        Some(fleet.begin_borrower_change(change))
    }

    /// Logs why a message is refused, once for each sender and reason, because senders repeat their messages.
    fn log_refused_message(&self, from: &str, why: String) {
        let mut shared = self.lock();
        if shared.refused_cells.len() >= MAX_REFUSED_CELLS {
            shared.refused_cells.clear();
        }
        if shared.refused_cells.get(from) != Some(&why) {
            tracing::error!(from, why, "cell message refused");
            shared.refused_cells.insert(from.to_string(), why);
        }
    }

    /// The answer of a controller that does not lead. It names the leader's address, if known.
    fn not_leading_reply(&self, cells: &CellsSettings, shared: &SharedState) -> LoanReply {
        let leader = shared.leader.as_ref().and_then(|leader| {
            let member = self.config.platform.members.iter().find(|member| member.label == leader.label)?;
            Some(member.addr.to_string())
        });
        LoanReply { from: cells.name.clone(), leader: leader.unwrap_or_default(), ..LoanReply::default() }
    }
}

/// Decodes a message, after checking that it is for this cell and from a cell that the settings name.
fn checked_request(
    cells: &CellsSettings,
    message: &LoanRequest,
) -> Result<LoanSyncRequest, LoanMessageError> {
    if message.to != cells.name {
        return Err(LoanMessageError::Misaddressed { to: message.to.clone(), own: cells.name.clone() });
    }
    if cells.other(&message.from).is_none() {
        return Err(LoanMessageError::UnknownCell(message.from.clone()));
    }
    request_from_proto(message)
}

/// The leader's answer: this cell's summary, and reports on the loans whose records the leader can read.
fn loan_reply(
    cells: &CellsSettings,
    leadership: &Leadership,
    request: Option<&LoanSyncRequest>,
) -> LoanReply {
    let fleet = &leadership.fleet;
    let reports = request.map(|request| fleet.loan_reports(request)).unwrap_or_default();
    LoanReply {
        from: cells.name.clone(),
        term: leadership.term.fencing_token,
        leads: true,
        leader: String::new(),
        summary: Some(summary_to_proto(fleet.cell_summary(wall()))),
        reports: reports.iter().map(report_to_proto).collect(),
    }
}
