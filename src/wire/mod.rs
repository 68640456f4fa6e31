//! The JSON messages of all interfaces of the program, one module for each interface.
//!
//! The protocols use their own names for many concepts. The serde attributes in this folder map these names
//! to the usual terms of cluster scheduling, and the rest of the program uses only these terms:
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `addr` | address |
//! | `alone` | gang incomplete (exit reason) |
//! | `answers` | reachable (another cell) |
//! | `batch` | array, of independent tasks |
//! | `blight` | exit reason |
//! | `breed`, `breeds`, `sku` | machine type |
//! | `cards` | accelerator cards (GPUs), in the code `gpus` |
//! | `daemon` | service |
//! | `dueS` | deadline |
//! | `expectS` | the user's estimate of a task's run time |
//! | `field`, `fields` | zone |
//! | `flushing` | saving a checkpoint (task stage) |
//! | `gathering` | waiting for the gang's other tasks (task stage) |
//! | `gleanings` | spot instance |
//! | `grain` | class of a job |
//! | `harvest` | revision of the state store |
//! | `home` of a borrowed job | lender |
//! | `husk`, `husks` | machine |
//! | `in_use` | the machine has another attempt of the task (exit reason) |
//! | `kept` | whether a checkpoint was saved |
//! | `kernel`, `kernels` | task |
//! | `localGb` | space for cached images |
//! | `marketPrice` | spot price |
//! | `mates_gone` | gang peers lost (exit reason) |
//! | `nameId` | id of a job or a machine |
//! | `node` | controller |
//! | `orders` | commands to a worker |
//! | `owner` of a job | team |
//! | `owner` in a status | leader |
//! | `part`, `parts` | shard |
//! | `path` of a row or guard | key of the state store |
//! | `plea` | id of a scale-out request, which makes it idempotent |
//! | `pullGb`, `pullGbPerS` | size of an image, rate at which it is fetched |
//! | `ramGb` | memory in GB |
//! | `rank` | priority |
//! | `rate` | price an hour |
//! | `readyS` | boot time |
//! | `reclaimS` | interruption notice of a spot instance |
//! | `season` | agent epoch |
//! | `seed` | image |
//! | `sickle`, `token` | fencing token |
//! | `sowing` | number of the attempt to run a task |
//! | `stamp` | revision of a key's latest change (`mod_revision`) |
//! | `stashEveryS`, `stashS` | checkpoint interval, time to save a checkpoint |
//! | `state_seen_s_ago` | age of the last contact with the state store |
//! | `steward` | leader |
//! | `tally` | sequence number of a heartbeat |
//! | `tenure` | lease |
//! | `ttlMs` | time to live of a lease, in milliseconds |
//! | `up` | whether the controller is healthy |

mod cells;
mod cloud;
mod jobs;
mod replies;
mod state;
mod submissions;
mod workers;

pub use cells::{
    BorrowedJobStatus, CellsStatus, LentLoanStatus, LentProgressStatus, OtherCellStatus, WriteOffReply,
    WRITE_OFF_PATH,
};
pub use cloud::{Catalog, ListedMachine, MachineList, MachineNames, MachineType, ScaleOutRequest};
pub use jobs::{JobSpec, JobStage, JobStatus, Priority, Shape, Stage};
pub use replies::{ControllerStatus, Health, Redirect, ShardStatus, HEALTH_PATH};
pub use state::{
    Change, Guard, KeyNotFound, LeaseGranted, LeaseRequest, Row, RowPage, Txn, TxnCommitted, TxnConflict,
    WatchEvent, WatchEvents,
};
pub use submissions::{is_job_id, submitted_id, SubmissionError, MAX_TASKS, REQUIRED_FIELDS};
pub use workers::{
    DirectCommandRequest, ExitReason, Heartbeat, HeartbeatReply, TaskStage, TaskStatus, WorkerCommand,
    COMMANDS_PATH, HEARTBEAT_PATH,
};

use serde::Deserialize;

/// Deserializes null as the type's default, like a field that is left out.
fn null_is_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(Option::<T>::deserialize(deserializer)?.unwrap_or_default())
}
