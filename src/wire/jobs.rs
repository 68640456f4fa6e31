//! Messages between users and controllers: the description of a job, and replies about its status.

use super::null_is_default;
use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks (a job array).
    #[serde(rename = "batch")]
    Array,
    /// Tasks that run at the same time or not at all (gang scheduling).
    #[serde(rename = "gang")]
    Gang,
    /// Tasks that run until the user cancels the job.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority; a greater one goes first and may preempt a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs on resources that nothing else needs.
    Idle,
    /// The default.
    Normal,
    /// Before normal jobs.
    Urgent,
    /// Before everything.
    Critical,
}

/// A job as its user describes it. Records hold it in this form and are read without fields that an
/// earlier version left out; a submission must name them, see [`JobSpec::parse`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Class of jobs, for which the settings state service-level objectives.
    #[serde(rename = "grain", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Team whose guarantee and limit (quota) apply.
    #[serde(rename = "owner")]
    pub team: String,
    /// Array, gang or service.
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "kernels")]
    pub tasks: u32,
    /// Processors that each task needs.
    pub cpus: f64,
    /// Accelerator cards that each task needs.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory that each task needs, in GB.
    #[serde(rename = "ramGb", default)]
    pub memory_gb: f64,
    /// Image that a machine must have before a task starts on it.
    #[serde(rename = "seed", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Size of the image in GB.
    #[serde(rename = "pullGb", default)]
    pub image_gb: f64,
    /// Allowed machine types; none means any.
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "field", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "oneZone", default, deserialize_with = "null_is_default")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(default, deserialize_with = "null_is_default")]
    pub spread: bool,
    /// The job may use spot instances.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds; 0 for a service.
    #[serde(rename = "expectS", default, deserialize_with = "null_is_default")]
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints; 0: the task never saves one.
    #[serde(rename = "stashEveryS", default, deserialize_with = "null_is_default")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stashS", default, deserialize_with = "null_is_default")]
    pub save_s: f64,
    /// Seconds from submission until it should be complete.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether its tasks are independent of each other (a job array).
    pub fn is_array(&self) -> bool {
        self.shape == Shape::Array
    }

    /// Whether all its tasks run at the same time or none does (gang scheduling).
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }
}

/// The stage of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// Reply to an accepted submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStage {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Its stage.
    pub stage: Stage,
}

/// Reply to a status request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Its stage.
    pub stage: Stage,
    /// Tasks done.
    #[serde(default)]
    pub done: u32,
    /// Tasks running.
    #[serde(default)]
    pub running: u32,
}
