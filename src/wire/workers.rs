//! Messages between workers and controllers: heartbeats, the replies to them, and direct commands.

use super::null_is_default;
use serde::{Deserialize, Serialize};

/// Path of the workers' heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path at which a worker takes direct commands.
pub const COMMANDS_PATH: &str = "/commands";

/// The stage of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// Its image is being fetched.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waits for the gang's other tasks.
    #[serde(rename = "gathering")]
    Waiting,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Is being stopped and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Has exited.
    #[serde(rename = "exited")]
    Exited,
    /// A stage of a later version; the task counts as being on the machine.
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
    /// Another task of the gang was lost.
    #[serde(rename = "mates_gone")]
    GangPeersLost,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Start refused: not enough free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Start refused: the task is on the machine with another attempt.
    #[serde(rename = "in_use")]
    AttemptInUse,
    /// Start refused: no such job or task.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A reason of a later version.
    #[serde(other)]
    Other,
}

/// The status of a task in a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task: job id and number, `wk-000412/3`.
    #[serde(rename = "kernel")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "sowing")]
    pub attempt: u64,
    /// Its stage.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why it exited, if it did.
    #[serde(rename = "blight", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat, with the status of all its tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "husk")]
    pub machine: String,
    /// Address at which the worker takes direct commands, `ip:port`.
    #[serde(rename = "addr", default)]
    pub address: String,
    /// Name of its machine type.
    #[serde(rename = "breed", default)]
    pub machine_type: String,
    /// Name of its zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// The worker's agent epoch: it increases each time its lease expires.
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    /// Sequence number of the message within the agent epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "sickle", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the spot instance, after a notice.
    #[serde(rename = "reclaimS", default)]
    pub interruption_notice_s: Option<f64>,
    /// All tasks on the machine, exited ones included until they are forgotten.
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
        /// Name of the task.
        #[serde(rename = "kernel")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Halt {
        /// Name of the task.
        #[serde(rename = "kernel")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
        /// Seconds that the task has to save a checkpoint.
        #[serde(rename = "graceS")]
        grace_s: f64,
    },
    /// Remove an exited task from the heartbeats.
    #[serde(rename = "forget")]
    Forget {
        /// Name of the task.
        #[serde(rename = "kernel")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's fencing token; workers drop a reply with a lower one than they have seen.
    #[serde(rename = "sickle")]
    pub fencing_token: u64,
    /// The commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// The leader's fencing token.
    #[serde(rename = "sickle")]
    pub fencing_token: u64,
    /// The agent epoch that is meant.
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    /// The commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
