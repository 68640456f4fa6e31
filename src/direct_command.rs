//! Commands that the leader sends straight to a worker, instead of in the reply to its heartbeat.

use crate::jobs::MachineId;
use crate::wire::WorkerCommand;

/// Commands to send straight to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectCommand {
    /// The machine on which the worker runs.
    pub machine: MachineId,
    /// Address at which the worker takes commands, `ip:port`.
    pub address: String,
    /// The worker's agent epoch that is meant; a worker in another epoch refuses the commands.
    pub agent_epoch: u64,
    /// The commands, in order. Without any, the message only raises the worker's fencing token.
    pub commands: Vec<WorkerCommand>,
}
