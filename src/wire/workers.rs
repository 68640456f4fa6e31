//! Messages between workers and controllers: heartbeats, the replies to heartbeats, and direct commands.

use super::null_is_default;
use serde::{Deserialize, Serialize};

/// Path at which a controller accepts the workers' heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path at which a worker accepts direct commands.
pub const COMMANDS_PATH: &str = "/commands";

/// The stage of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStage {
    /// The machine is fetching the task's image.
    #[serde(rename = "fetching")]
    Fetching,
    /// The task waits for the other tasks of its gang to start.
    #[serde(rename = "gathering")]
    Waiting,
    /// The task runs.
    #[serde(rename = "running")]
    Running,
    /// The task is being stopped and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has exited; see [`TaskStatus::exit_reason`].
    #[serde(rename = "exited")]
    Exited,
    /// A stage that this version does not know. The task counts as being on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task completed successfully.
    #[serde(rename = "done")]
    Done,
    /// A command of the controller stopped the task.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the same gang was lost.
    #[serde(rename = "mates_gone")]
    GangPeersLost,
    /// The other tasks of the gang did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The worker refused the start because the machine lacks free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The worker refused the start because another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    AttemptInUse,
    /// The worker refused the start because it knows no such job or task.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A reason that this version does not know.
    #[serde(other)]
    Other,
}

/// The status of a task in a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task: job id and task number, such as `wk-000412/3`.
    #[serde(rename = "kernel")]
    pub task: String,
    /// Number of the attempt to run the task.
    #[serde(rename = "sowing")]
    pub attempt: u64,
    /// Stage of the task.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why the task exited; none if it has not exited.
    #[serde(rename = "blight", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether the task's progress was saved in a checkpoint; none if the worker does not say.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat, with the status of all tasks on its machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "husk")]
    pub machine: String,
    /// Address at which the worker accepts direct commands, `ip:port`.
    #[serde(rename = "addr", default)]
    pub address: String,
    /// Name of the machine's type.
    #[serde(rename = "breed", default)]
    pub machine_type: String,
    /// Name of the machine's zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// The worker's agent epoch, which increases each time the worker's lease expires.
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    /// Sequence number of the heartbeat within the agent epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "sickle", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the spot instance; none without an interruption notice.
    #[serde(rename = "reclaimS", default)]
    pub interruption_notice_s: Option<f64>,
    /// All tasks on the machine. Exited tasks are included until the controller sends
    /// [`WorkerCommand::Forget`].
    #[serde(rename = "kernels", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command of the leader to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum WorkerCommand {
    /// Starts a task.
    #[serde(rename = "start")]
    Start {
        /// Name of the task.
        #[serde(rename = "kernel")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Halt {
        /// Name of the task.
        #[serde(rename = "kernel")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
        /// Seconds that the worker gives the task to save a checkpoint before it ends the task.
        #[serde(rename = "graceS")]
        grace_s: f64,
    },
    /// Removes an exited task from the worker's heartbeats.
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
    /// The leader's fencing token. A worker ignores a reply with a lower token than the highest it has seen.
    #[serde(rename = "sickle")]
    pub fencing_token: u64,
    /// The commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Commands that the leader sends to a worker without waiting for the worker's next heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// The leader's fencing token.
    #[serde(rename = "sickle")]
    pub fencing_token: u64,
    /// The worker's agent epoch for which the commands are meant.
    #[serde(rename = "season")]
    pub agent_epoch: u64,
    /// The commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
