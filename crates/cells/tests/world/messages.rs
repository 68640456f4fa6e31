//! The messages between simulated cells, and the network, which loses, duplicates, reorders and delays them.

use milletlock_cells::{LoanReport, LoanSyncRequest};
use rand::Rng;

use super::Simulation;

/// The number of messages that one step delivers while there are faults.
const DELIVERIES_WITH_FAULTS: usize = 2;
/// The number of messages in flight from which on messages are no longer delayed.
const MAX_DELAYED: usize = 20;

/// A borrower's reply.
#[derive(Clone)]
pub struct Reply {
    pub reports: Vec<LoanReport>,
}

/// A message between cells. Cells are identified by their index.
pub enum Message {
    Request { to: usize, request: LoanSyncRequest },
    Reply { to: usize, from: usize, reply: Reply },
}

impl Simulation {
    /// Sends a message. It may be lost or duplicated.
    pub fn post(&mut self, message: impl Fn() -> Message) {
        if self.chance(self.faults.lost) {
            return;
        }
        self.messages.push(message());
        if self.chance(self.faults.duplicated) {
            self.messages.push(message());
        }
    }

    /// Delivers messages: all of them in order without faults, otherwise a few in random order. With faults,
    /// some messages are delayed for a long time.
    pub fn deliver(&mut self) {
        let is_reliable = self.faults.lost == 0;
        let in_flight = self.messages.len();
        let count = if is_reliable { in_flight } else { in_flight.min(DELIVERIES_WITH_FAULTS) };
        for _ in 0..count {
            let position = if is_reliable { 0 } else { self.rng.random_range(0..self.messages.len()) };
            if !is_reliable && self.messages.len() < MAX_DELAYED && self.chance(300) {
                return;
            }
            match self.messages.remove(position) {
                Message::Request { to, request } => self.handle_request(to, &request),
                Message::Reply { to, from, reply } => self.handle_reply(to, from, &reply),
            }
        }
    }
}
