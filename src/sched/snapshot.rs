//! The planner's input: machines, job classes and teams at one moment.
//!
//! Four index spaces are used in the snapshot and in the plan: machines ([`Snapshot::machines`]), job
//! classes ([`Snapshot::classes`]), teams ([`Snapshot::teams`]) and machine types (the catalog of the
//! platform settings, which [`Snapshot::reserved_headroom`] follows). Spans of time count from the
//! moment of the snapshot.

use super::resources::{count_within, Resources};
use crate::time::Micros;
use crate::wire::Priority;

/// A task that runs, or may be about to run, on a machine.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// Resources that it takes.
    pub need: Resources,
    /// Its job's priority.
    pub priority: Priority,
    /// Whether its job is within its team's fair share (the team's guarantee).
    pub within_fair_share: bool,
    /// Index into [`Snapshot::teams`]; out of range if the team is unknown.
    pub team: usize,
    /// Time until its stated end. A task that overruns its stated run time has a little left.
    pub remaining: Micros,
    /// Work lost if it is preempted now, in processor time (zero for jobs that checkpoint).
    pub lost_work: Micros,
    /// Whether it may be preempted: it runs and is not being stopped already.
    pub preemptible: bool,
    /// Whether it is being preempted or cancelled already.
    pub stopping: bool,
    /// Whether it is a replica of a service, which runs until its job is cancelled.
    pub is_replica: bool,
}

impl PlacedTask {
    /// A replica of the service that is about to start.
    pub fn replica(class: &JobClass) -> PlacedTask {
        PlacedTask {
            need: class.need,
            priority: class.priority,
            within_fair_share: class.within_fair_share,
            team: class.team,
            remaining: class.adjusted_runtime,
            lost_work: Micros::ZERO,
            preemptible: false,
            stopping: false,
            is_replica: true,
        }
    }
}

/// A machine (node) as the planner sees it.
#[derive(Clone, Debug)]
pub struct MachineSnapshot {
    /// Index into the machine types.
    pub machine_type: usize,
    /// Index into the zones, below [`Snapshot::zone_count`].
    pub zone: usize,
    /// Whether it is a spot (preemptible) instance.
    pub spot: bool,
    /// All resources it has.
    pub total: Resources,
    /// Resources that no placed task takes.
    pub free: Resources,
    /// Whether tasks may be started on it now.
    pub accepts_starts: bool,
    /// Time until a start is expected to reach it: its next heartbeat, or the end of its boot.
    pub accepts_starts_in: Micros,
    /// Ids of the images it has or is fetching (its image cache).
    pub images: Vec<u32>,
    /// Image fetch rate.
    pub fetch_gb_per_s: f64,
    /// Price per processor and hour, in thousandths of the currency unit.
    pub cpu_price: i64,
    /// Time added to the delay of a start here: machines with recent failures go last.
    pub failure_penalty: Micros,
    /// Time until the cloud reclaims it, if it is a spot instance with a notice. Only tasks that end
    /// before may start.
    pub reclaimed_in: Option<Micros>,
    /// The tasks placed on it. [`super::Plan::preempt`] points into this list.
    pub placed: Vec<PlacedTask>,
}

/// A job class: the tasks of one job that could start, taken together, since all its tasks are alike.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// The job's priority.
    pub priority: Priority,
    /// Priority aging: the priority that the queue counts the job with once it has waited too long, if
    /// that is higher. Otherwise more work of higher priorities than there is capacity would starve a
    /// wide gang. It does not let the job preempt others.
    pub aged_priority: Option<Priority>,
    /// Index into [`Snapshot::teams`]; out of range if the team is unknown.
    pub team: usize,
    /// Whether the job is within its team's fair share (the team's guarantee).
    pub within_fair_share: bool,
    /// Number of tasks that could start now.
    pub startable_tasks: u32,
    /// Number of all tasks of the job.
    pub tasks: u32,
    /// Whether it is a gang: all its tasks start together or none does.
    pub gang: bool,
    /// Resources that each task takes.
    pub need: Resources,
    /// Indices of the machine types it may use; empty: none at all.
    pub machine_types: Vec<usize>,
    /// The only zone it may use, if it is tied to one.
    pub zone: Option<usize>,
    /// Whether all its tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of its tasks may be in one zone.
    pub spread: bool,
    /// Whether it may use spot instances.
    pub spot: bool,
    /// Id of its image, if it has one.
    pub image: Option<u32>,
    /// The image's size in GB.
    pub image_gb: f64,
    /// Whether it starts only on machines that have its image, for now: with the fetch it would miss its
    /// objective anyway, and machines that have the image are about to come free.
    pub waits_for_image: bool,
    /// Adjusted run time of a task: the stated one times the factor A (`history::History::factor`).
    pub adjusted_runtime: Micros,
    /// Time since the job was accepted.
    pub waited: Micros,
    /// By zone: the number of its tasks that are, or may be, placed there.
    pub tasks_by_zone: Vec<u32>,
    /// How long it may still wait without missing its deadline; none if it has no deadline.
    pub deadline_slack: Option<Micros>,
    /// Number of its service-level objectives that it has missed, or will miss even if it starts now.
    /// When there is more work than capacity, jobs that can still meet more of theirs go first.
    pub missed_objectives: u8,
    /// How long it may still wait before other tasks are preempted for it; zero or less: it preempts now.
    pub preempt_after: Micros,
    /// For a service: indices of the machines with a replica of it, and of those that a replica has
    /// recently left. None for arrays and gangs.
    pub replica_machines: Option<Vec<usize>>,
}

impl JobClass {
    /// The priority that counts in the queue.
    pub fn queue_priority(&self) -> Priority {
        self.aged_priority.map_or(self.priority, |aged| aged.max(self.priority))
    }
}

/// A team's resource use and its quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUse {
    /// Resources that its tasks take, including tasks that may or may not still run.
    pub used: Resources,
    /// Processor quota; 0: unlimited.
    pub cpu_quota: f64,
    /// GPU quota; 0: unlimited.
    pub gpu_quota: f64,
}

impl TeamUse {
    /// How many more tasks that each take `task` the quota allows.
    pub fn allowed_tasks(&self, task: &Resources) -> u32 {
        let allowed = |quota: f64, used: f64, per_task: f64| {
            if quota <= 0.0 {
                u32::MAX
            } else {
                count_within(quota - used, per_task)
            }
        };
        let by_cpus = allowed(self.cpu_quota, self.used.cpus, task.cpus);
        let by_gpus = allowed(self.gpu_quota, self.used.gpus, task.gpus);
        by_cpus.min(by_gpus)
    }
}

/// Headroom reserved on machines of a type for tasks of this size and at least this priority.
#[derive(Clone, Copy, Debug)]
pub struct ReservedHeadroom {
    /// Resources that such a task takes.
    pub need: Resources,
    /// The lowest priority of the tasks it is reserved for.
    pub priority: Priority,
    /// Whether such tasks may use spot instances; if not, none is reserved on those.
    pub spot: bool,
}

/// Everything the planner sees: its only input.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Number of zones.
    pub zone_count: usize,
    /// The machines that can be planned on.
    pub machines: Vec<MachineSnapshot>,
    /// The jobs, each as one class. Classes without startable tasks are not planned.
    pub classes: Vec<JobClass>,
    /// The teams' use and quotas.
    pub teams: Vec<TeamUse>,
    /// By machine type: the headroom that lower priorities leave free, if any.
    pub reserved_headroom: Vec<Option<ReservedHeadroom>>,
    /// Whether the first blocked job gets a reservation.
    pub reserve: bool,
    /// Delays that differ by less than this count as alike for the lowest priority, which fills machines
    /// up rather than starting a moment sooner.
    pub low_priority_delay_step: Micros,
    /// The same for the other priorities.
    pub delay_step: Micros,
    /// Number of machines of each type on which the reserved headroom is kept free. Lower priorities may
    /// fill the others, and are preempted there if need be.
    pub headroom_machines: usize,
}

impl Snapshot {
    /// The headroom reserved on machines of a type, spot or on demand, if any.
    pub fn headroom_for(&self, machine_type: usize, spot: bool) -> Option<ReservedHeadroom> {
        let headroom = self.reserved_headroom.get(machine_type).copied().flatten();
        headroom.filter(|headroom| headroom.spot || !spot)
    }

    /// Whether headroom on the machine is reserved for tasks of a higher priority than the class's.
    pub fn is_below_reserved_priority(&self, class: &JobClass, machine: &MachineSnapshot) -> bool {
        let headroom = self.headroom_for(machine.machine_type, machine.spot);
        headroom.is_some_and(|headroom| class.priority < headroom.priority)
    }
}
