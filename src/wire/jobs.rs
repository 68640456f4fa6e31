//! Users: submissions, and the answers to polls.

use super::null_is_default;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The shape of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "batch")]
    Array,
    /// Tasks that run together or not at all.
    #[serde(rename = "gang")]
    Gang,
    /// Tasks that run until their user withdraws the job.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority; a greater rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs when nothing else wants the room.
    Idle,
    /// The usual.
    Normal,
    /// Before the usual.
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
    /// Class of jobs that the aims speak of.
    #[serde(rename = "grain", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Team whose guarantee and limit apply.
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
    /// Processors of each task.
    pub cpus: f64,
    /// Accelerator cards of each task.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory of each task in GB.
    #[serde(rename = "ramGb", default)]
    pub memory_gb: f64,
    /// Image that the machine must have.
    #[serde(rename = "seed", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Size of the image.
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
    /// May use spot machines.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// The owner's estimate of a task's run time in seconds; none for a service.
    #[serde(rename = "expectS", default, deserialize_with = "null_is_default")]
    pub estimate_s: f64,
    /// Progress between checkpoints; 0: never saves.
    #[serde(rename = "stashEveryS", default, deserialize_with = "null_is_default")]
    pub checkpoint_s: f64,
    /// Seconds needed to save when stopped.
    #[serde(rename = "stashS", default, deserialize_with = "null_is_default")]
    pub save_s: f64,
    /// Seconds from submission until it should be complete.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Whether a string has the form of a job id.
pub fn is_job_id(text: &str) -> bool {
    text.strip_prefix("wk-")
        .is_some_and(|d| (1..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// Why a submission cannot be read, in one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// The body is no JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The body is JSON, but no object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or its value cannot be.
    #[error("{field}: {why}")]
    Field {
        /// The field, by its name on the wire.
        field: String,
        /// What is wrong with it.
        why: String,
    },
    /// A field has a value of another form; the text names it.
    #[error("{0}")]
    Form(String),
}

impl SubmissionError {
    fn field(field: &str, why: impl Into<String>) -> SubmissionError {
        SubmissionError::Field { field: field.into(), why: why.into() }
    }
}

/// Greatest amount of anything in a submission.
const MAX_AMOUNT: f64 = 1e9;

/// Most tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// Fields that a submission must hold; all others may be null or left out.
pub const REQUIRED: [&str; 17] = [
    "nameId",
    "grain",
    "owner",
    "shape",
    "rank",
    "kernels",
    "cpus",
    "cards",
    "ramGb",
    "seed",
    "pullGb",
    "oneZone",
    "spread",
    "gleanings",
    "expectS",
    "stashEveryS",
    "stashS",
];

/// Longest text in a submission, in bytes.
const MAX_TEXT: usize = 200;

/// Longest reason given to a user, whatever they sent.
const MAX_REASON: usize = 300;

/// A reason as one line of bounded length; parts of it may be the user's own text.
fn one_line(why: &str) -> String {
    why.chars().take(MAX_REASON).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

impl JobSpec {
    /// Parses and checks a submission; the error is a reason for the user, in one line.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SubmissionError> {
        let submission: Value =
            serde_json::from_slice(body).map_err(|e| SubmissionError::NotJson(e.to_string()))?;
        let Some(fields) = submission.as_object() else {
            return Err(SubmissionError::NotAnObject);
        };
        if let Some(name) = REQUIRED.iter().find(|n| fields.get(**n).is_none_or(Value::is_null)) {
            return Err(SubmissionError::field(name, "missing"));
        }
        // Serde would take an object with the name as its key for one of these as well.
        if let Some(name) = ["shape", "rank"].iter().find(|n| !fields.get(**n).is_some_and(Value::is_string))
        {
            return Err(SubmissionError::field(name, "must be a string"));
        }
        let spec: JobSpec = serde_path_to_error::deserialize(submission)
            .map_err(|e| SubmissionError::Form(one_line(&e.to_string())))?;
        spec.check()?;
        Ok(spec)
    }

    /// Whether its tasks run by themselves, each to completion.
    pub fn is_array(&self) -> bool {
        self.shape == Shape::Array
    }

    /// Whether all its tasks run at the same time or none does.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }

    fn check(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.id) {
            return Err(SubmissionError::field("nameId", "must be wk- and digits"));
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(SubmissionError::field("kernels", format!("must be from 1 to {MAX_TASKS}")));
        }
        let amount = |name: &str, value: f64, least: f64| {
            if value.is_finite() && (least..=MAX_AMOUNT).contains(&value) {
                Ok(())
            } else {
                Err(SubmissionError::field(name, "out of range"))
            }
        };
        amount("cpus", self.cpus, 0.0)?;
        amount("cards", self.gpus, 0.0)?;
        amount("ramGb", self.memory_gb, 0.0)?;
        if self.cpus == 0.0 && self.gpus == 0.0 && self.memory_gb == 0.0 {
            return Err(SubmissionError::field("cpus", "a task must take something of its machine"));
        }
        amount("pullGb", self.image_gb, 0.0)?;
        amount("expectS", self.estimate_s, 0.0)?;
        if self.estimate_s <= 0.0 && !self.is_service() {
            return Err(SubmissionError::field("expectS", "must be above 0"));
        }
        amount("stashEveryS", self.checkpoint_s, 0.0)?;
        amount("stashS", self.save_s, 0.0)?;
        if let Some(deadline_s) = self.deadline_s {
            amount("dueS", deadline_s, 0.0)?;
        }
        let short = |name: &str, text: &str| {
            if text.is_empty() || text.len() > MAX_TEXT || text.chars().any(char::is_control) {
                Err(SubmissionError::field(name, format!("must be 1 to {MAX_TEXT} bytes")))
            } else {
                Ok(())
            }
        };
        short("owner", &self.team)?;
        for (name, text) in [("grain", &self.class), ("seed", &self.image), ("field", &self.zone)] {
            if let Some(text) = text {
                short(name, text)?;
            }
        }
        if let Some(types) = &self.types {
            if types.is_empty() || types.len() > 32 {
                return Err(SubmissionError::field("breeds", "must name 1 to 32 types"));
            }
            types.iter().try_for_each(|t| short("breeds", t))?;
        }
        Ok(())
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
    /// Its user withdrew it.
    Cancelled,
}

/// Answer to an accepted submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStage {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Its stage.
    pub stage: Stage,
}

/// Answer to a poll.
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
