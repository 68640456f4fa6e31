//! The borrowing side: answers the messages of other cells about their loans.

use milletlock_cells::LoanSyncRequest;

use super::loan_writes::LoanOutcome;
use super::{Controller, Leadership, SharedState};
use crate::config::CellsSettings;
use crate::loan_messages::{report_to_proto, request_from_proto, summary_to_proto, LoanMessageError};
use crate::peer::{LoanReply, LoanRequest, PeerReply};
use crate::time::{wall, Micros};

/// Most changes that one message leads to; the rest follow with the next.
const MAX_CHANGES: usize = 32;
/// No change is begun this long after the message came: its sender does not wait for the answer.
const ANSWER_TIME: Micros = Micros::from_millis(600);

/// Most senders of refused messages that are remembered.
const MAX_REFUSED_CELLS: usize = 100;

impl Controller {
    /// Answers another cell's message about its loans.
    pub(super) fn on_loans(&self, message: &LoanRequest) -> PeerReply {
        let Some(cells) = &self.cfg.operator.cells else { return PeerReply::Loans(LoanReply::default()) };
        let request = match checked(cells, message) {
            Ok(request) => request,
            Err(why) => {
                self.log_refused_message(&message.from, why.to_string());
                return PeerReply::Loans(LoanReply { from: cells.name.clone(), ..LoanReply::default() });
            }
        };
        let fencing_token = self.lock().leadership.as_ref().map(|leadership| leadership.claim.fencing_token);
        if let Some(fencing_token) = fencing_token {
            // One at a time: each change rests on the records as the one before left them.
            let _guard = self.loan_changes.lock().unwrap_or_else(|e| e.into_inner());
            self.carry_out(fencing_token, &request);
        }
        let shared = self.lock();
        PeerReply::Loans(match &shared.leadership {
            Some(leadership) => loan_reply(cells, leadership, &request),
            None => self.not_leading(cells, &shared),
        })
    }

    /// Makes the changes that a message asks for.
    fn carry_out(&self, fencing_token: u64, request: &LoanSyncRequest) {
        let begun = self.now();
        self.retry_loan_writes(fencing_token);
        for _ in 0..MAX_CHANGES {
            if self.now() - begun > ANSWER_TIME {
                return;
            }
            let write = {
                let mut shared = self.lock();
                let Some(leadership) = shared.leadership_with(fencing_token) else { return };
                let fleet = &mut leadership.fleet;
                let Some(change) = fleet.loans.guest.next_change(request, &fleet.local_tasks()) else {
                    return;
                };
                if fleet.loans.is_returning(&change.job) {
                    return;
                }
                if let Some(why) = &change.refusal {
                    tracing::info!(job = %change.job, home = %change.lender, %why, "loan refused");
                }
                fleet.begin_guest_change(change)
            };
            tracing::debug!(job = write.job(), home = %request.from, "borrowed job changed");
            if self.write_loan(fencing_token, write) == LoanOutcome::Unknown {
                return;
            }
        }
    }

    /// Logs why a message is refused, once for each sender and reason: it comes again and again.
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
            let member = self.cfg.platform.members.iter().find(|member| member.label == leader.label)?;
            Some(member.addr.to_string())
        });
        LoanReply { from: cells.name.clone(), leader: leader.unwrap_or_default(), ..LoanReply::default() }
    }
}

/// The message, if it can be read and is from a cell that is known here.
fn checked(cells: &CellsSettings, message: &LoanRequest) -> Result<LoanSyncRequest, LoanMessageError> {
    if message.to != cells.name {
        return Err(LoanMessageError::Misaddressed { to: message.to.clone(), own: cells.name.clone() });
    }
    if cells.other(&message.from).is_none() {
        return Err(LoanMessageError::UnknownCell(message.from.clone()));
    }
    request_from_proto(message)
}

fn loan_reply(cells: &CellsSettings, leadership: &Leadership, request: &LoanSyncRequest) -> LoanReply {
    let fleet = &leadership.fleet;
    let reports = fleet.loans.guest.reports(request, |job| fleet.recorded_done(job));
    LoanReply {
        from: cells.name.clone(),
        term: leadership.claim.fencing_token,
        leads: true,
        leader: String::new(),
        summary: Some(summary_to_proto(fleet.cell_summary(wall()))),
        reports: reports.iter().map(report_to_proto).collect(),
    }
}
