//! The borrowing side of loans between cells: answers the messages of lending cells.

use milletlock_cells::LoanSyncRequest;

use super::loan_writes::LoanOutcome;
use super::{lock_ignoring_poison, Controller, Leadership, SharedState};
use crate::config::CellsSettings;
use crate::fleet::LoanWrite;
use crate::loan_messages::{report_to_proto, request_from_proto, summary_to_proto, LoanMessageError};
use crate::peer::{LoanReply, LoanRequest, PeerReply};
use crate::time::{wall, Micros};

/// Most changes that one message leads to; the rest follow with the next.
const MAX_CHANGES: usize = 32;
/// No change is begun this long after the message came: its sender no longer waits for the answer.
const ANSWER_TIMEOUT: Micros = Micros::from_millis(600);
/// Most senders of refused messages that are remembered.
const MAX_REFUSED_CELLS: usize = 100;

impl Controller {
    /// Answers another cell's message about its loans.
    pub(super) fn on_loans(&self, message: &LoanRequest) -> PeerReply {
        let Some(cells) = &self.config.operator.cells else { return PeerReply::Loans(LoanReply::default()) };
        let request = match checked_request(cells, message) {
            Ok(request) => request,
            Err(error) => {
                self.log_refused_message(&message.from, error.to_string());
                return PeerReply::Loans(LoanReply { from: cells.name.clone(), ..LoanReply::default() });
            }
        };
        let readable = self.decidable(&request);
        if let Some((fencing_token, request)) = &readable {
            // One message at a time: each change rests on the records as the one before left them.
            let _guard = lock_ignoring_poison(&self.loan_changes);
            self.apply_loan_request(*fencing_token, request);
        }
        let shared = self.lock();
        PeerReply::Loans(match &shared.leadership {
            Some(leadership) => loan_reply(cells, leadership, readable.as_ref().map(|(_, request)| request)),
            None => self.not_leading(cells, &shared),
        })
    }

    /// The part of a message that this leader can decide on, with its fencing token; none if it does not lead, or
    /// cannot read its records about the sender.
    fn decidable(&self, request: &LoanSyncRequest) -> Option<(u64, LoanSyncRequest)> {
        let shared = self.lock();
        let leadership = shared.leadership.as_ref()?;
        let request = leadership.fleet.without_unreadable(request)?;
        Some((leadership.term.fencing_token, request))
    }

    /// Makes the changes that a message requests.
    fn apply_loan_request(&self, fencing_token: u64, request: &LoanSyncRequest) {
        let begun = self.now();
        self.retry_loan_writes(fencing_token);
        for _ in 0..MAX_CHANGES {
            if self.now() - begun > ANSWER_TIMEOUT {
                return;
            }
            let Some(write) = self.begin_next_change(fencing_token, request) else { return };
            tracing::debug!(job = write.job(), lender = %request.from, "borrowed job changed");
            if self.write_loan(fencing_token, write) == LoanOutcome::Unknown {
                return;
            }
        }
    }

    /// The write of the next change that a message requests; none if there is none, or it has to wait.
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

    /// Logs why a message is refused, once for each sender and reason: it is sent again and again.
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

    /// The answer of a controller that does not lead: who does.
    fn not_leading(&self, cells: &CellsSettings, shared: &SharedState) -> LoanReply {
        let leader = shared.leader.as_ref().and_then(|leader| {
            let member = self.config.platform.members.iter().find(|member| member.label == leader.label)?;
            Some(member.addr.to_string())
        });
        LoanReply { from: cells.name.clone(), leader: leader.unwrap_or_default(), ..LoanReply::default() }
    }
}

/// The message, if it can be decoded and is from a cell that the settings name.
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

/// The leader's answer: how the loans stand whose records it can read, and this cell's summary.
fn loan_reply(
    cells: &CellsSettings,
    leadership: &Leadership,
    request: Option<&LoanSyncRequest>,
) -> LoanReply {
    let fleet = &leadership.fleet;
    let reports = request
        .map(|request| {
            fleet.loans.borrower_ledger.reports(request, |job| fleet.recorded_done_of_borrowed(job))
        })
        .unwrap_or_default();
    LoanReply {
        from: cells.name.clone(),
        term: leadership.term.fencing_token,
        leads: true,
        leader: String::new(),
        summary: Some(summary_to_proto(fleet.cell_summary(wall()))),
        reports: reports.iter().map(report_to_proto).collect(),
    }
}
