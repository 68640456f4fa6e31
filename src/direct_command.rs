//! Commands that the owner sends straight to a worker, instead of in the answer to its report.

use crate::jobs::MachineId;
use crate::wire::WorkerCommand;

/// A command to send straight to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectCommand {
    /// The machine on which the worker runs.
    pub machine: MachineId,
    /// Where the worker takes commands.
    pub address: String,
    /// The worker's session that is meant.
    pub agent_epoch: u64,
    /// The orders; without any, the command only brings the owner's token.
    pub commands: Vec<WorkerCommand>,
}
