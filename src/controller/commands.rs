//! The commanding duties: direct commands to workers. One brings a new leader's fencing token to machines that
//! send it no heartbeat, the other halts. Halts have threads of their own: thousands of machines behind a
//! cut, each of which is waited for, must not hold them up.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{Controller, Leadership};
use crate::config::{FENCING_TOKEN_THREADS, HALT_THREADS};
use crate::direct_command::DirectCommand;
use crate::fleet::Fleet;
use crate::http::{Client, ClientResponse};
use crate::time::{Micros, Steady};
use crate::wire::{DirectCommandRequest, Heartbeat, COMMANDS_PATH};

/// How often halts that cannot wait for a report are sent.
const HALT_INTERVAL: Micros = Micros::from_millis(100);
/// How often machines that do not report are asked to take this leader's fencing token.
const RAISE_INTERVAL: Micros = Micros::from_millis(500);
/// How long a worker has to answer a command.
const COMMAND_TIMEOUT: Micros = Micros::from_millis(1500);
/// How often a command is sent at the most: again if the worker has begun another session.
const COMMAND_ATTEMPTS: usize = 2;
/// Stack in bytes of a thread that sends commands.
const COMMAND_STACK: usize = 128 * 1024;

impl Controller {
    /// Sends halts until the controller ends.
    pub(super) fn send_halts(&self) {
        while !self.stopping() {
            self.sleep(HALT_INTERVAL);
            self.send_due(Fleet::to_halt, HALT_THREADS);
        }
    }

    /// Brings this leader's fencing token to machines until the controller ends.
    pub(super) fn raise_fencing_tokens(&self) {
        while !self.stopping() {
            self.sleep(RAISE_INTERVAL);
            self.send_due(|fleet, now| fleet.to_raise(now), FENCING_TOKEN_THREADS);
        }
    }

    /// Sends the direct commands that are due; false if there were none.
    pub fn command_once(&self) -> bool {
        let raised = self.send_due(|fleet, now| fleet.to_raise(now), FENCING_TOKEN_THREADS);
        self.send_due(Fleet::to_halt, HALT_THREADS) || raised
    }

    fn send_due(&self, due: impl FnOnce(&mut Fleet, Steady) -> Vec<DirectCommand>, threads: usize) -> bool {
        let due = self.lock().leadership.as_mut().map(|o| {
            let commands = due(&mut o.fleet, self.now());
            (o.fleet.fencing_token, commands)
        });
        let Some((fencing_token, list)) = due.filter(|d| !d.1.is_empty()) else { return false };
        // A worker that does not answer holds up only one thread: the others go on with the list.
        let next = AtomicUsize::new(0);
        std::thread::scope(|s| {
            for _ in 0..list.len().min(threads) {
                let (next, list) = (&next, &list);
                let send = move || {
                    while let Some(c) = list.get(next.fetch_add(1, Ordering::Relaxed)) {
                        self.send_command(fencing_token, c);
                    }
                };
                // If a thread cannot be started, the others send its share.
                let _ = std::thread::Builder::new().stack_size(COMMAND_STACK).spawn_scoped(s, send);
            }
        });
        true
    }

    /// Sends a command, unless it is no longer needed, and hands the worker's report to the fleet.
    fn send_command(&self, fencing_token: u64, command: &DirectCommand) {
        let DirectCommand { machine, address, agent_epoch, commands: orders } = command;
        // It may have reported by itself since the list was made.
        let due = |o: &Leadership| {
            o.claim.fencing_token == fencing_token
                && o.fleet.machines.get(machine).is_some_and(|m| !orders.is_empty() || m.to_raise(self.now()))
        };
        if !self.lock().leadership.as_ref().is_some_and(due) {
            return;
        }
        let Ok(address) = address.parse() else { return };
        let client = Client::new(address, 1);
        let mut agent_epoch = *agent_epoch;
        for _ in 0..COMMAND_ATTEMPTS {
            let Ok(body) = serde_json::to_vec(&DirectCommandRequest {
                fencing_token,
                agent_epoch,
                commands: orders.clone(),
            }) else {
                return;
            };
            let Ok(ClientResponse { status, body }) =
                client.call("POST", COMMANDS_PATH, Some(&body), COMMAND_TIMEOUT)
            else {
                tracing::debug!(%machine, "direct command unanswered");
                return;
            };
            let Ok(r) = serde_json::from_slice::<Heartbeat>(&body) else { return };
            if r.machine != **machine {
                return;
            }
            // With halts, a later session has nothing left to be halted.
            if status == 409 && r.fencing_token < fencing_token && orders.is_empty() {
                agent_epoch = r.agent_epoch;
                continue;
            }
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(fencing_token) else {
                return;
            };
            if let Some(higher) = leadership.fleet.raised(&r, self.now()) {
                self.step_down(&mut shared, higher, "a worker has seen a higher fencing token");
            }
            return;
        }
    }
}
