//! The duties that send direct commands to workers. One brings a new leader's fencing token to machines
//! that send it no heartbeat, the other halts tasks. Halts have threads of their own: thousands of machines
//! behind a network partition, each of which is waited for until a timeout, must not hold them up.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::step_down::StepDownReason;
use super::{Controller, Leadership};
use crate::config::{FENCING_TOKEN_THREADS, HALT_THREADS};
use crate::direct_command::DirectCommand;
use crate::fleet::Fleet;
use crate::http::{status, Client, ClientResponse};
use crate::time::{Micros, Steady};
use crate::wire::{DirectCommandRequest, Heartbeat, COMMANDS_PATH};

/// How often halts that cannot wait for a heartbeat are sent.
const HALT_INTERVAL: Micros = Micros::from_millis(100);
/// How often this leader's fencing token is sent to machines that send no heartbeat.
const RAISE_INTERVAL: Micros = Micros::from_millis(500);
/// How long a worker has to answer a command.
const COMMAND_TIMEOUT: Micros = Micros::from_millis(1500);
/// How often a command is sent at the most: again if the worker's agent epoch has changed.
const COMMAND_ATTEMPTS: usize = 2;
/// The HTTP status with which a worker refuses a command: its agent epoch is another, or it has seen a
/// higher fencing token.
const COMMAND_REFUSED_STATUS: u16 = status::CONFLICT;
/// Stack size in bytes of a thread that sends commands.
const COMMAND_STACK_BYTES: usize = 128 * 1024;

impl Controller {
    /// Sends halts until the controller ends.
    pub(super) fn send_halts(&self) {
        while !self.stopping() {
            self.sleep(HALT_INTERVAL);
            self.send_due(Fleet::halt_commands, HALT_THREADS);
        }
    }

    /// Brings this leader's fencing token to machines until the controller ends.
    pub(super) fn raise_fencing_tokens(&self) {
        while !self.stopping() {
            self.sleep(RAISE_INTERVAL);
            self.send_due(|fleet, now| fleet.fencing_token_commands(now), FENCING_TOKEN_THREADS);
        }
    }

    /// Sends the direct commands that are due; false if there were none.
    pub fn send_commands_once(&self) -> bool {
        let raised = self.send_due(|fleet, now| fleet.fencing_token_commands(now), FENCING_TOKEN_THREADS);
        self.send_due(Fleet::halt_commands, HALT_THREADS) || raised
    }

    /// Sends the commands that `due` lists, on up to so many threads; false if there were none.
    fn send_due(&self, due: impl FnOnce(&mut Fleet, Steady) -> Vec<DirectCommand>, threads: usize) -> bool {
        let listed = self.lock().leadership.as_mut().map(|leadership| {
            let commands = due(&mut leadership.fleet, self.now());
            (leadership.fleet.fencing_token, commands)
        });
        let Some((fencing_token, commands)) = listed.filter(|(_, commands)| !commands.is_empty()) else {
            return false;
        };
        // A worker that does not answer holds up only one thread: the others go on with the list.
        let next = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            for _ in 0..commands.len().min(threads) {
                let (next, commands) = (&next, &commands);
                let send = move || {
                    while let Some(command) = commands.get(next.fetch_add(1, Ordering::Relaxed)) {
                        self.send_command(fencing_token, command);
                    }
                };
                // If a thread cannot be started, the others send its share.
                let _ = std::thread::Builder::new().stack_size(COMMAND_STACK_BYTES).spawn_scoped(scope, send);
            }
        });
        true
    }

    /// Sends a command, unless it is no longer needed, and hands the worker's heartbeat to the fleet.
    fn send_command(&self, fencing_token: u64, command: &DirectCommand) {
        if !self.is_still_due(fencing_token, command) {
            return;
        }
        let DirectCommand { machine, address, agent_epoch, commands } = command;
        let Ok(address) = address.parse() else { return };
        let client = Client::new(address, 1);
        let mut agent_epoch = *agent_epoch;
        for _ in 0..COMMAND_ATTEMPTS {
            let request = DirectCommandRequest { fencing_token, agent_epoch, commands: commands.clone() };
            let Ok(body) = serde_json::to_vec(&request) else { return };
            let Ok(ClientResponse { status, body }) =
                client.call("POST", COMMANDS_PATH, Some(&body), COMMAND_TIMEOUT)
            else {
                tracing::debug!(%machine, "direct command unanswered");
                return;
            };
            let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(&body) else { return };
            if heartbeat.machine != **machine {
                return;
            }
            // With halts, a later agent epoch has nothing left to be halted.
            if status == COMMAND_REFUSED_STATUS
                && heartbeat.fencing_token < fencing_token
                && commands.is_empty()
            {
                agent_epoch = heartbeat.agent_epoch;
                continue;
            }
            self.on_command_answer(fencing_token, &heartbeat);
            return;
        }
    }

    /// Whether a command is still needed: its worker may have sent a heartbeat since the list was made.
    fn is_still_due(&self, fencing_token: u64, command: &DirectCommand) -> bool {
        let is_due = |leadership: &mut Leadership| {
            let machine = leadership.fleet.machines.get(&command.machine);
            machine.is_some_and(|machine| {
                !command.commands.is_empty() || machine.needs_fencing_token(self.now())
            })
        };
        self.lock().leadership_with(fencing_token).is_some_and(is_due)
    }

    /// Hands the heartbeat with which a worker answered to the fleet; steps down if it carries a higher
    /// fencing token.
    fn on_command_answer(&self, fencing_token: u64, heartbeat: &Heartbeat) {
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return };
        if let Some(higher) = leadership.fleet.apply_direct_command_reply(heartbeat, self.now()) {
            self.step_down(&mut shared, StepDownReason::HigherTokenAtWorker(higher));
        }
    }
}
