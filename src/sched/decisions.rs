//! The planner's output: what starts, what is reserved and what is preempted.
//!
//! Indices refer to the [`super::Snapshot`] that the plan was made for.

use super::resources::Resources;
use crate::time::Micros;

/// A number of tasks of one class on one machine: index into `Snapshot::machines`, number of tasks.
pub type TasksOnMachine = (usize, u32);

/// A number of tasks of one class: index into `Snapshot::classes`, number of tasks.
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

/// The reservation of the first blocked job. Jobs behind it in the queue may not delay it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Index into `Snapshot::classes`.
    pub class: usize,
    /// Time until the reserved machines are free, by the stated ends of the tasks on them.
    pub at: Micros,
    /// The reserved machines, each with the number of the class's tasks that it is reserved for.
    pub machines: Vec<TasksOnMachine>,
}

/// The planner's decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Tasks to start now.
    pub starts: Vec<Start>,
    /// The reservation of the first blocked job, if there is one.
    pub reservation: Option<Reservation>,
    /// Tasks to preempt.
    pub preempt: Vec<PlacedTaskIndex>,
    /// Tasks that found no capacity, in the order of the queue. For services, replicas that the quota blocks
    /// are included.
    pub unplaced: Vec<TasksOfClass>,
    /// Tasks of job arrays that their team's quota blocks, in the order of the queue. For each team only the
    /// first blocked group of the queue is listed, and nothing if the first blocked class is a service. The
    /// tasks of a team in `gang_blocked_by_quota` may be listed, but do not start before the next plan.
    pub blocked_by_quota: Vec<TasksOfClass>,
    /// By team: the quota taken by this plan's starts outside the group in `blocked_by_quota`. It must be
    /// counted as used when tasks of that group start before the next plan.
    pub quota_of_other_starts: Vec<Resources>,
    /// By machine type: whether tasks that headroom on this type is reserved for are waiting. Lower
    /// priorities do not start on such machines until the next plan.
    pub contended_types: Vec<bool>,
    /// By team: whether the quota blocks a gang of the team. Quota that is released is left to that gang.
    pub gang_blocked_by_quota: Vec<bool>,
}
