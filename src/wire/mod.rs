//! The messages of each interface, one module each. The names that travel are odd and stay in this
//! folder, as serde renames; the code has the field's own names.

mod cells;
mod cloud;
mod jobs;
mod replies;
mod state;
mod workers;

pub use cells::{BorrowedStatus, CellsStatus, LentStatus, OtherCellStatus, WrittenOff, WRITE_OFF_PATH};
pub use cloud::{Catalog, ListedMachine, MachineList, MachineNames, MachineType, ScaleOutRequest};
pub use jobs::{
    is_job_id, JobSpec, JobStage, JobStatus, Priority, Shape, Stage, SubmissionError, MAX_TASKS, REQUIRED,
};
pub use replies::{ControllerStatus, Health, Redirect, ShardStatus, HEALTH_PATH};
pub use state::{Change, Event, Events, Guard, Row, Rows, Txn};
pub use workers::{
    DirectCommandRequest, ExitReason, Heartbeat, HeartbeatReply, TaskStage, TaskStatus, WorkerCommand,
    COMMANDS_PATH, HEARTBEAT_PATH,
};

use serde::Deserialize;

/// Reads null as the default, as if the field were left out.
fn null_is_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(Option::<T>::deserialize(deserializer)?.unwrap_or_default())
}
