//! Services in the leader's model: replicas run until their job is cancelled, run again if they end for any
//! reason, and never run on two machines.

#[path = "../common/mod.rs"]
mod common;

mod backoff;
mod cluster;
mod placement;
mod preemption;
mod random_faults;
mod records;
mod relocation;
mod restarts;
