//! Commands that the leader sends directly to a worker instead of in the reply to a heartbeat.

use crate::jobs::MachineId;
use crate::wire::WorkerCommand;

/// Commands to be sent directly to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectCommand {
    /// The machine on which the worker runs.
    pub machine: MachineId,
    /// Address at which the worker accepts direct commands, as `IP:PORT`.
    pub address: String,
    /// The agent epoch that the commands are for. A worker in another agent epoch refuses them.
    pub agent_epoch: u64,
    /// The commands, in the order in which the worker executes them. If there are none, the message only
    /// brings the leader's fencing token to the worker.
    pub commands: Vec<WorkerCommand>,
}
