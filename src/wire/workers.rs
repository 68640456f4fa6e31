//! Workers: their reports, the answers to them, and direct commands.

use super::null_is_default;
use serde::{Deserialize, Serialize};

/// Path of the workers' reports.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path at which a worker takes direct commands.
pub const COMMANDS_PATH: &str = "/commands";

/// Where a task stands on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Gang task, waits for the others.
    #[serde(rename = "gathering")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
    /// Something newer than this program; counted as being there.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "mates_gone")]
    GangPeersLost,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Start refused: no room.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Start refused: here with another attempt.
    #[serde(rename = "in_use")]
    AttemptInUse,
    /// Start refused: no such job or task.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// Something newer than this program.
    #[serde(other)]
    Other,
}

/// A task in a worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Job and number, `wk-000412/3`.
    #[serde(rename = "kernel")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "sowing")]
    pub attempt: u64,
    /// Where it stands.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why it ended, if it did.
    #[serde(rename = "blight", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "husk")]
    pub machine: String,
    /// Where the worker takes commands.
    #[serde(rename = "addr", default)]
    pub address: String,
    /// Machine type.
    #[serde(rename = "breed", default)]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    /// Number of the message within the session.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "sickle", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "reclaimS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "kernels", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum WorkerCommand {
    /// Start a task.
    #[serde(rename = "start")]
    Start {
        /// The task.
        #[serde(rename = "kernel")]
        task: String,
        /// The attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Halt {
        /// The task.
        #[serde(rename = "kernel")]
        task: String,
        /// The attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
        /// Time to save.
        #[serde(rename = "graceS")]
        grace_s: f64,
    },
    /// Remove an exited task from the reports.
    #[serde(rename = "forget")]
    Forget {
        /// The task.
        #[serde(rename = "kernel")]
        task: String,
        /// The attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The token of the one entitled to command.
    #[serde(rename = "sickle")]
    pub fencing_token: u64,
    /// The commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// A direct command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// The token.
    #[serde(rename = "sickle")]
    pub fencing_token: u64,
    /// The session meant.
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    /// The commands.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
