//! Messages between users and controllers: the description of a job, and the replies about its status.

use super::null_is_default;
use serde::{Deserialize, Serialize};

/// How the tasks of a job depend on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks (a job array).
    #[serde(rename = "batch")]
    Array,
    /// Tasks of which either all run at the same time or none runs (gang scheduling).
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the user cancels the job.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job. Jobs of a higher priority start first and may preempt jobs of a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Uses only resources that no other job needs.
    Idle,
    /// The usual priority.
    Normal,
    /// Goes before normal jobs.
    Urgent,
    /// Goes before jobs of all other priorities.
    Critical,
}

/// A job as its user describes it. Job records contain this description too. Records that an earlier version
/// wrote may lack some fields, so these have defaults here; a submission must contain them, see
/// [`JobSpec::parse`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user; see [`is_job_id`](super::is_job_id).
    #[serde(rename = "nameId")]
    pub id: String,
    /// Class of the job, such as `train`. The settings state service-level objectives by class.
    #[serde(rename = "grain", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Name of the team whose guarantee and quota apply.
    #[serde(rename = "owner")]
    pub team: String,
    /// How the tasks depend on each other.
    pub shape: Shape,
    /// Priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`](super::MAX_TASKS).
    #[serde(rename = "kernels")]
    pub tasks: u32,
    /// Processors that each task needs; may be a fraction.
    pub cpus: f64,
    /// Accelerator cards that each task needs.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory that each task needs, in GB.
    #[serde(rename = "ramGb", default)]
    pub memory_gb: f64,
    /// Name of the image that a machine must have fetched before a task starts on it.
    #[serde(rename = "seed", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Size of the image in GB.
    #[serde(rename = "pullGb", default)]
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` allows any.
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Name of the only allowed zone; `None` allows any.
    #[serde(rename = "field", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "oneZone", default, deserialize_with = "null_is_default")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(default, deserialize_with = "null_is_default")]
    pub spread: bool,
    /// Whether the tasks may run on spot instances.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds. It may be 0 only for a service.
    #[serde(rename = "expectS", default, deserialize_with = "null_is_default")]
    pub estimate_s: f64,
    /// Seconds of run time between checkpoints; 0 if the tasks save none.
    #[serde(rename = "stashEveryS", default, deserialize_with = "null_is_default")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stashS", default, deserialize_with = "null_is_default")]
    pub save_s: f64,
    /// Seconds after the submission by which the job should be done; `None` without a deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether the job is a job array: its tasks are independent of each other.
    pub fn is_array(&self) -> bool {
        self.shape == Shape::Array
    }

    /// Whether the job is a gang: either all its tasks run at the same time or none runs.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }

    /// Whether the job is a service: its tasks (replicas) run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }
}

/// The stage of a job, as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// The job has not ended, and none of its tasks runs.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are done.
    Done,
    /// A user has cancelled the job.
    Cancelled,
}

/// Reply to an accepted submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStage {
    /// Id of the job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Stage of the job.
    pub stage: Stage,
}

/// Reply to a status request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Stage of the job.
    pub stage: Stage,
    /// Number of tasks that are done.
    #[serde(default)]
    pub done: u32,
    /// Number of tasks that are running.
    #[serde(default)]
    pub running: u32,
}
