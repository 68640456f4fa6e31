//! What a leader knows of the other cells: which of their controllers leads, and the cells' summaries.

use milletlock_cells::CellSummary;

use super::Controller;
use crate::config::OtherCell;
use crate::loan_messages::summary_from_proto;
use crate::peer::{LoanReply, PeerError};
use crate::time::wall;

/// A summary that is older is not used, in microseconds.
const MAX_SUMMARY_AGE_US: i64 = 3_000_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Why an exchange with another cell failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CellExchangeError {
    /// The answer is one to another kind of message.
    #[error("a wrong answer")]
    WrongAnswer,
    /// The controller at the address belongs to another cell, or to none.
    #[error("a controller of another name, or without a cells block, answers")]
    WrongCell,
    /// There is no answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
}

/// State of the exchange with another cell.
#[derive(Debug, Default)]
pub(super) struct OtherCellState {
    /// Which of its controllers messages are sent to, by number.
    controller: usize,
    /// The highest term of its leader that has been seen.
    term: u64,
    /// Its latest summary.
    summary: Option<CellSummary>,
    /// Whether its leader answered the last message.
    reachable: bool,
    /// How many messages this controller has sent to it.
    messages: u64,
}

impl OtherCellState {
    /// Its latest summary, if its leader answered the last message.
    pub(super) fn summary(&self) -> Option<&CellSummary> {
        self.summary.as_ref().filter(|_| self.reachable)
    }

    /// How many messages this controller has sent to it.
    pub(super) fn messages(&self) -> u64 {
        self.messages
    }

    /// Counts a message to the cell; returns the number of the controller that it is for.
    pub(super) fn count_message(&mut self) -> usize {
        self.messages += 1;
        self.controller
    }

    /// Sends the next messages to the controller with the address `leader`, or to the cell's next one if
    /// it has none of that address.
    fn switch_controller(&mut self, cell: &OtherCell, leader: &str) {
        self.reachable = false;
        let leads = cell.controllers.iter().position(|addr| addr.to_string() == leader);
        self.controller = leads.unwrap_or((self.controller + 1) % cell.controllers.len().max(1));
    }
}

impl Controller {
    /// Notes that the leader of a cell could not be reached.
    pub(super) fn cell_unreachable(&self, cell: &OtherCell, error: &CellExchangeError) {
        let mut shared = self.lock();
        let state = shared.other_cells.entry(cell.name.clone()).or_default();
        if state.reachable {
            tracing::info!(cell = %cell.name, why = error.to_string(), "cell unreachable");
        }
        state.switch_controller(cell, "");
    }

    /// Records the state of a cell by its answer; returns whether the loan reports in it are to be used.
    pub(super) fn note_cell(&self, cell: &OtherCell, reply: &LoanReply) -> bool {
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

    /// The summary in an answer, if it is plausible and recent.
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
