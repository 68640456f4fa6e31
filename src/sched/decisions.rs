//! The planner's output: what starts, what is reserved and what is preempted.
//!
//! Indices are those of the [`super::Snapshot`] that the plan was made for.

use super::resources::Resources;
use crate::time::Micros;

/// Tasks of one class on one machine: index into `Snapshot::machines`, number of tasks.
pub type TasksOnMachine = (usize, u32);

/// Tasks of one class that could not be placed: index into `Snapshot::classes`, number of tasks.
pub type TasksOfClass = (usize, u32);

/// A placed task: index into `Snapshot::machines`, index into that machine's `placed`.
pub type PlacedTaskIndex = (usize, usize);

/// Tasks of a class to start on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Index into `Snapshot::classes`.
    pub class: usize,
    /// Index into `Snapshot::machines`.
    pub machine: usize,
    /// Number of tasks.
    pub count: u32,
}

/// The reservation of the first blocked job: jobs behind it in the queue may not delay it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Index into `Snapshot::classes`.
    pub class: usize,
    /// Time until its machines are free, by the stated ends of the tasks on them.
    pub at: Micros,
    /// The machines, each with the number of the class's tasks it is reserved for.
    pub machines: Vec<TasksOnMachine>,
}

/// The planner's decisions: its only output.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Tasks to start now.
    pub starts: Vec<Start>,
    /// The reservation of the first blocked job, if there is one.
    pub reservation: Option<Reservation>,
    /// Tasks to preempt.
    pub preempt: Vec<PlacedTaskIndex>,
    /// Tasks that found no capacity, in the queue's order.
    pub unplaced: Vec<TasksOfClass>,
    /// Tasks of job arrays that their team's quota holds back, in the queue's order: of each team only the first
    /// group of the queue that it holds back, and none if a service or a gang goes first.
    pub blocked_by_quota: Vec<TasksOfClass>,
    /// By team: what the plan's starts of all other work take of its quota, which is left to them.
    pub quota_of_other_starts: Vec<Resources>,
    /// By machine type: whether tasks wait that headroom on it is reserved for. Lower priorities do not
    /// start there meanwhile.
    pub contended_types: Vec<bool>,
    /// By team: whether a gang of it is held back by its quota. Quota that comes free is left to that gang.
    pub gang_blocked_by_quota: Vec<bool>,
}
