//! The duties that send direct commands to workers. One sends a new leader's fencing token to machines that
//! have not acknowledged it, the other halts tasks. Halts have threads of their own: they must not be delayed
//! by thousands of machines behind a network partition, for each of which a thread waits until a timeout.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::step_down::StepDownReason;
use super::{Controller, Leadership};
use crate::config::{FENCING_TOKEN_THREADS, HALT_THREADS};
use crate::direct_command::DirectCommand;
use crate::fleet::Fleet;
use crate::http::{status, Client, ClientResponse};
use crate::time::{Micros, Steady};
use crate::wire::{DirectCommandRequest, Heartbeat, COMMANDS_PATH};

/// Pause between two rounds of sending halts that cannot wait for a heartbeat.
const HALT_INTERVAL: Micros = Micros::from_millis(100);
/// Pause between two rounds of sending this leader's fencing token to machines that have not acknowledged it.
const FENCING_TOKEN_INTERVAL: Micros = Micros::from_millis(500);
/// How long this controller waits for a worker's answer to a command.
const COMMAND_TIMEOUT: Micros = Micros::from_millis(1500);
/// How many times a command is sent at most. It is sent again if the worker's agent epoch has changed.
const COMMAND_ATTEMPTS: usize = 2;
/// The HTTP status with which a worker refuses a command because its agent epoch differs or because it has
/// seen a higher fencing token.
const COMMAND_REFUSED_STATUS: u16 = status::CONFLICT;
/// Stack size in bytes of a thread that sends commands.
const COMMAND_STACK_BYTES: usize = 128 * 1024;

impl Controller {
    /// Sends halts that are due until the controller stops.
    pub(super) fn send_halts(&self) {
        while !self.stopping() {
            self.sleep(HALT_INTERVAL);
            self.send_due_commands(Fleet::halt_commands, HALT_THREADS);
        }
    }

    /// Sends this leader's fencing token to unacknowledged machines until the controller stops.
    pub(super) fn raise_fencing_tokens(&self) {
        while !self.stopping() {
            self.sleep(FENCING_TOKEN_INTERVAL);
            self.send_due_commands(|fleet, now| fleet.fencing_token_commands(now), FENCING_TOKEN_THREADS);
        }
    }

    /// Sends the direct commands that are due. Returns false if there were none.
    pub fn send_commands_once(&self) -> bool {
        let tokens_sent =
            self.send_due_commands(|fleet, now| fleet.fencing_token_commands(now), FENCING_TOKEN_THREADS);
        self.send_due_commands(Fleet::halt_commands, HALT_THREADS) || tokens_sent
    }

    /// Sends the commands that `due` lists, on at most `threads` threads. Returns false if there were none.
    fn send_due_commands(
        &self,
        due: impl FnOnce(&mut Fleet, Steady) -> Vec<DirectCommand>,
        threads: usize,
    ) -> bool {
        let listed = self.lock().leadership.as_mut().map(|leadership| {
            let commands = due(&mut leadership.fleet, self.now());
            (leadership.fleet.fencing_token, commands)
        });
        let Some((fencing_token, commands)) = listed.filter(|(_, commands)| !commands.is_empty()) else {
            return false;
        };
        // A worker that does not answer delays only one thread: the others send the rest of the list.
        let next = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            for _ in 0..commands.len().min(threads) {
                let (next, commands) = (&next, &commands);
                let send = move || {
                    while let Some(command) = commands.get(next.fetch_add(1, Ordering::Relaxed)) {
                        self.send_command(fencing_token, command);
                    }
                };
                // If a thread cannot be started, the others send the commands that it would have sent.
                let _ = std::thread::Builder::new().stack_size(COMMAND_STACK_BYTES).spawn_scoped(scope, send);
            }
        });
        true
    }

    /// Sends a command, unless it is no longer needed, and applies the heartbeat in the worker's answer to
    /// the fleet.
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
            // A refused command that only carries the fencing token is sent again with the worker's agent
            // epoch. Halts are not: under a later agent epoch none of the tasks to be halted is left.
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

    /// Whether a command is still needed. A command that only carries the fencing token is not, if the
    /// machine's worker has sent a heartbeat since the commands were listed. No command is needed for a
    /// machine that is no longer known.
    fn is_still_due(&self, fencing_token: u64, command: &DirectCommand) -> bool {
        let is_due = |leadership: &mut Leadership| {
            let machine = leadership.fleet.machines.get(&command.machine);
            machine.is_some_and(|machine| {
                !command.commands.is_empty() || machine.needs_fencing_token(self.now())
            })
        };
        self.lock().leadership_with(fencing_token).is_some_and(is_due)
    }

    /// Applies the heartbeat with which a worker answered a command to the fleet. Steps down if the heartbeat
    /// carries a higher fencing token.
    fn on_command_answer(&self, fencing_token: u64, heartbeat: &Heartbeat) {
        let mut shared = self.lock();
        let Some(leadership) = shared.leadership_with(fencing_token) else { return };
        if let Some(higher) = leadership.fleet.apply_direct_command_reply(heartbeat, self.now()) {
            self.step_down(&mut shared, StepDownReason::HigherTokenAtWorker(higher));
        }
    }
}
