//! Messages between cells, and a network that loses, duplicates, reorders and delays them.

use milletlock_cells::{LoanReport, LoanSyncRequest};
use rand::Rng;

use super::World;

/// Messages that one step delivers while there are faults.
const DELIVERIES_WITH_FAULTS: usize = 2;
/// With more messages in flight than this none is held back.
const MAX_HELD_BACK: usize = 20;

/// A borrower's reply.
#[derive(Clone)]
pub struct Reply {
    pub reports: Vec<LoanReport>,
}

/// A message between cells, which are named by their index.
pub enum Message {
    Request { to: usize, request: LoanSyncRequest },
    Reply { to: usize, from: usize, reply: Reply },
}

impl World {
    /// Sends a message, unless it is lost; maybe twice.
    pub fn post(&mut self, message: impl Fn() -> Message) {
        if self.chance(self.faults.lost) {
            return;
        }
        self.messages.push(message());
        if self.chance(self.faults.duplicated) {
            self.messages.push(message());
        }
    }

    /// Some messages arrive, in any order. With faults, some wait for very long.
    pub fn deliver(&mut self) {
        let is_reliable = self.faults.lost == 0;
        let in_flight = self.messages.len();
        let count = if is_reliable { in_flight } else { in_flight.min(DELIVERIES_WITH_FAULTS) };
        for _ in 0..count {
            let position = if is_reliable { 0 } else { self.rng.random_range(0..self.messages.len()) };
            if !is_reliable && self.messages.len() < MAX_HELD_BACK && self.chance(300) {
                return;
            }
            match self.messages.remove(position) {
                Message::Request { to, request } => self.handle_request(to, &request),
                Message::Reply { to, from, reply } => self.handle_reply(to, from, &reply),
            }
        }
    }
}
