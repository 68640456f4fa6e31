//! The messages of each interface. The names that travel are odd and stay in this file, as serde
//! renames; the code has the field's own names.

use std::collections::BTreeMap;

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
pub enum Rank {
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
    pub rank: Rank,
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

fn null_is_default<'de, D, T>(d: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

/// Whether a string has the form of a job id.
pub fn is_job_id(s: &str) -> bool {
    s.strip_prefix("wk-")
        .is_some_and(|d| (1..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

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

/// Longest reason given to a user, whatever they sent.
const MAX_REASON: usize = 300;

/// A reason as one line of bounded length; parts of it may be the user's own text.
fn one_line(why: &str) -> String {
    why.chars().take(MAX_REASON).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

impl JobSpec {
    /// Parses and checks a submission; the error is a reason for the user, in one line.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let v: Value = serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
        let Some(fields) = v.as_object() else {
            return Err("not an object".into());
        };
        if let Some(name) = REQUIRED.iter().find(|n| fields.get(**n).is_none_or(Value::is_null)) {
            return Err(format!("{name}: missing"));
        }
        // Serde would take an object with the name as its key for one of these as well.
        if let Some(name) = ["shape", "rank"].iter().find(|n| !fields.get(**n).is_some_and(Value::is_string))
        {
            return Err(format!("{name}: must be a string"));
        }
        let spec: JobSpec = serde_path_to_error::deserialize(v).map_err(|e| one_line(&e.to_string()))?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if !is_job_id(&self.id) {
            return Err("nameId: must be wk- and digits".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("kernels: must be from 1 to {MAX_TASKS}"));
        }
        let amount = |name: &str, v: f64, least: f64| {
            if v.is_finite() && v >= least && v <= 1e9 {
                Ok(())
            } else {
                Err(format!("{name}: out of range"))
            }
        };
        amount("cpus", self.cpus, 0.0)?;
        amount("cards", self.gpus, 0.0)?;
        amount("ramGb", self.memory_gb, 0.0)?;
        if self.cpus == 0.0 && self.gpus == 0.0 && self.memory_gb == 0.0 {
            return Err("cpus: a task must take something of its machine".into());
        }
        amount("pullGb", self.image_gb, 0.0)?;
        amount("expectS", self.estimate_s, 0.0)?;
        if self.estimate_s <= 0.0 && self.shape != Shape::Service {
            return Err("expectS: must be above 0".into());
        }
        amount("stashEveryS", self.checkpoint_s, 0.0)?;
        amount("stashS", self.save_s, 0.0)?;
        if let Some(d) = self.deadline_s {
            amount("dueS", d, 0.0)?;
        }
        let short = |name: &str, s: &str| {
            if s.is_empty() || s.len() > 200 || s.chars().any(char::is_control) {
                Err(format!("{name}: must be 1 to 200 bytes"))
            } else {
                Ok(())
            }
        };
        short("owner", &self.team)?;
        for (name, s) in [("grain", &self.class), ("seed", &self.image), ("field", &self.zone)] {
            if let Some(s) = s {
                short(name, s)?;
            }
        }
        if let Some(types) = &self.types {
            if types.is_empty() || types.len() > 32 {
                return Err("breeds: must name 1 to 32 types".into());
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
pub enum Why {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "mates_gone")]
    Peers,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Start refused: no room.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Start refused: here with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Start refused: no such job or task.
    #[serde(rename = "unknown")]
    Unknown,
    /// Something newer than this program.
    #[serde(other)]
    Other,
}

/// A task in a worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
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
    pub why: Option<Why>,
    /// Whether progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The machine.
    #[serde(rename = "husk")]
    pub machine: String,
    /// Where the worker takes commands.
    #[serde(default)]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "breed", default)]
    pub ty: String,
    /// Zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// Session.
    pub season: u64,
    /// Number of the message within the session.
    pub tally: u64,
    /// Highest token seen.
    #[serde(rename = "sickle", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "reclaimS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "kernels", default)]
    pub tasks: Vec<TaskReport>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
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
pub struct ReportReply {
    /// The token of the one entitled to command.
    #[serde(rename = "sickle")]
    pub token: u64,
    /// The commands, executed in order.
    pub orders: Vec<Order>,
}

/// A direct command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Commands {
    /// The token.
    #[serde(rename = "sickle")]
    pub token: u64,
    /// The session meant.
    pub season: u64,
    /// The commands.
    pub orders: Vec<Order>,
}

/// A machine type in the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processors.
    pub cpus: f64,
    /// Accelerator cards.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Room for images in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Image fetch rate in GB a second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Spot price an hour, now.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: Option<f64>,
    /// Usual boot time.
    #[serde(rename = "readyS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "fields", default)]
    pub zones: Vec<String>,
}

/// The catalogue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// Machine types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "plea")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub ty: String,
    /// Zone.
    #[serde(rename = "field")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "gleanings")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Names of machines: rented, or to return.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "husks")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "nameId")]
    pub id: String,
    /// The worker's address.
    #[serde(default)]
    pub addr: Option<String>,
    /// Type.
    #[serde(rename = "breed", default)]
    pub ty: String,
    /// Zone.
    #[serde(rename = "field", default)]
    pub zone: String,
    /// Spot.
    #[serde(rename = "gleanings", default, deserialize_with = "null_is_default")]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    #[serde(default)]
    pub stage: String,
    /// Age since the rental request.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "husks")]
    pub machines: Vec<ListedMachine>,
    /// Whether there is more.
    #[serde(default)]
    pub more: bool,
}

/// A key of the state service with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    pub value: Value,
    /// Revision of the latest change.
    #[serde(rename = "stamp")]
    pub stamp: u64,
}

/// A page of keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rows {
    /// The keys.
    pub rows: Vec<Row>,
    /// Whether there is more.
    #[serde(default)]
    pub more: bool,
    /// The service's revision.
    #[serde(rename = "harvest")]
    pub revision: u64,
}

/// A condition on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version it must have; 0: none.
    pub stamp: u64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Write.
    Put {
        /// The key.
        put: String,
        /// The value.
        value: Value,
        /// The lease it hangs on.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove.
    Drop {
        /// The key.
        drop: String,
    },
}

impl Change {
    /// A put without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Change {
        Change::Put { put: key.into(), value, lease: None }
    }

    /// A removal.
    pub fn drop(key: impl Into<String>) -> Change {
        Change::Drop { drop: key.into() }
    }

    /// The key that changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Drop { drop } => drop,
        }
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    pub then: Vec<Change>,
}

/// A change seen by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The key written, if it was.
    #[serde(default)]
    pub put: Option<String>,
    /// The key removed, if it was.
    #[serde(default)]
    pub drop: Option<String>,
    /// The value written.
    #[serde(default)]
    pub value: Value,
    /// The revision.
    #[serde(default)]
    pub stamp: u64,
}

/// What a watch returns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    /// The service's revision.
    #[serde(rename = "harvest")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Path of the workers' reports.
pub const REPORT_PATH: &str = "/checkin";
/// Path of the load balancer's health check.
pub const HEALTH_PATH: &str = "/up";
/// Path at which a worker takes direct commands.
pub const COMMANDS_PATH: &str = "/commands";

/// Answer to a report that was sent to a controller that does not lead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the leader.
    #[serde(rename = "steward")]
    pub leader: String,
}

/// Answer to the load balancer's health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether users are served here.
    #[serde(rename = "up")]
    pub healthy: bool,
}

/// Answer to a request for a controller's status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus<View> {
    /// Label of the leader, where known.
    pub leader: Option<String>,
    /// Label of the controller that answers.
    pub node: String,
    /// What the owner sees; none on any other controller.
    #[serde(rename = "owner")]
    pub view: Option<View>,
    /// Versions of the controllers, by label; none for one that has not been heard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<BTreeMap<String, Option<String>>>,
    /// The parts that it owns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<Vec<PartStatus>>,
    /// Age in seconds of the owner's view of the state service.
    #[serde(rename = "state_seen_s_ago", default, skip_serializing_if = "Option::is_none")]
    pub view_age_s: Option<f64>,
}

/// A part and its owner, as part of a controller's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStatus {
    /// Label of the owner.
    pub owner: String,
    /// Number of the part.
    pub part: u32,
    /// The owner's token.
    pub token: u64,
}
