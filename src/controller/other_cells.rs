//! The state that a leader keeps of each other cell: the controller to which it sends messages, and the
//! cell's latest summary.

use milletlock_cells::CellSummary;

use super::Controller;
use crate::config::OtherCell;
use crate::loan_messages::summary_from_proto;
use crate::peer::{LoanReply, PeerError};
use crate::time::wall;

/// Largest age of a summary that is used, in microseconds.
const MAX_SUMMARY_AGE_US: i64 = 3_000_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Why an exchange with another cell failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CellExchangeError {
    /// The answer is not a loan reply.
    #[error("the answer is not a loan reply")]
    WrongAnswer,
    /// The answering controller belongs to another cell, or its settings have no `cells` block.
    #[error("the answering controller belongs to another cell or has no `cells` block in its settings")]
    WrongCell,
    /// There was no answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
}

/// State of the exchange with another cell.
#[derive(Debug, Default)]
pub(super) struct OtherCellState {
    /// Index, among the cell's controllers, of the one to which messages are sent.
    controller: usize,
    /// The highest term of the cell's leader that has been seen.
    term: u64,
    /// The cell's latest summary.
    summary: Option<CellSummary>,
    /// Whether the cell's leader answered the last message.
    reachable: bool,
    /// Number of messages that this controller has sent to the cell.
    messages: u64,
}

impl OtherCellState {
    /// The cell's latest summary, if the cell's leader answered the last message.
    pub(super) fn summary(&self) -> Option<&CellSummary> {
        self.summary.as_ref().filter(|_| self.reachable)
    }

    /// Number of messages that this controller has sent to the cell.
    pub(super) fn messages(&self) -> u64 {
        self.messages
    }

    /// Counts a message to the cell. Returns the index of the controller to which the message is to be sent.
    pub(super) fn count_message(&mut self) -> usize {
        self.messages += 1;
        self.controller
    }

    /// Selects the controller with the address `leader` for the next messages, or the cell's next controller
    /// if none has this address.
    fn switch_controller(&mut self, cell: &OtherCell, leader: &str) {
        self.reachable = false;
        let leads = cell.controllers.iter().position(|addr| addr.to_string() == leader);
        self.controller = leads.unwrap_or((self.controller + 1) % cell.controllers.len().max(1));
    }
}

impl Controller {
    /// Marks a cell as unreachable, and selects the cell's next controller for the next message.
    pub(super) fn mark_cell_unreachable(&self, cell: &OtherCell, error: &CellExchangeError) {
        let mut shared = self.lock();
        let state = shared.other_cells.entry(cell.name.clone()).or_default();
        if state.reachable {
            tracing::info!(cell = %cell.name, why = error.to_string(), "cell unreachable");
        }
        state.switch_controller(cell, "");
    }

    /// Updates the state of a cell from its answer. Returns whether the loan reports in the answer are to be
    /// used.
    pub(super) fn update_cell_state(&self, cell: &OtherCell, reply: &LoanReply) -> bool {
        let mut shared = self.lock();
        let state = shared.other_cells.entry(cell.name.clone()).or_default();
        if !reply.leads {
            state.switch_controller(cell, &reply.leader);
            return false;
        }
        if reply.term < state.term {
            tracing::error!(cell = %cell.name, term = reply.term, known = state.term, "stale cell term refused");
            state.switch_controller(cell, "");
            return false;
        }
        state.term = reply.term;
        if !state.reachable {
            tracing::info!(cell = %cell.name, term = reply.term, "cell reachable");
        }
        state.reachable = true;
        state.summary = self.checked_summary(cell, reply);
        true
    }

    /// The summary in an answer; none if the answer has none, or if the summary is implausible or too old.
    fn checked_summary(&self, cell: &OtherCell, reply: &LoanReply) -> Option<CellSummary> {
        let summary = summary_from_proto(reply.summary.as_ref()?);
        let skew_us = (self.config.platform.settings.skew_ms * MICROS_PER_MILLI) as i64;
        match summary.check(wall().0, MAX_SUMMARY_AGE_US, skew_us) {
            Ok(()) => Some(summary),
            Err(error) => {
                tracing::error!(cell = %cell.name, %error, "cell summary refused");
                None
            }
        }
    }
}
