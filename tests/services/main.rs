//! Services at the leader: replicas run until their job is cancelled, run again elsewhere whatever ends them,
//! and are never on two machines.

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
