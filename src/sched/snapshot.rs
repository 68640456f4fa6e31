//! The planner's input: the machines, job classes and teams at one moment.
//!
//! The snapshot and the plan use four kinds of indices: into the machines ([`Snapshot::machines`]), into the
//! job classes ([`Snapshot::classes`]), into the teams ([`Snapshot::teams`]) and into the machine types (the
//! catalog of the platform settings; [`Snapshot::reserved_headroom`] has the same order). All times are
//! relative to the moment of the snapshot.

use super::resources::{count_within, Resources};
use crate::time::Micros;
use crate::wire::Priority;

/// A task that runs, or may be about to run, on a machine.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// Resources that the task takes.
    pub need: Resources,
    /// The priority of the task's job.
    pub priority: Priority,
    /// Whether the job is within its team's fair share (the capacity guaranteed to the team).
    pub within_fair_share: bool,
    /// Index into [`Snapshot::teams`]; out of range if the team is unknown.
    pub team: usize,
    /// Time until the task's stated end. A task that has overrun its stated run time counts as ending
    /// shortly.
    pub remaining: Micros,
    /// Work that is lost if the task is preempted now, in processor time (zero for jobs that checkpoint).
    pub lost_work: Micros,
    /// Whether the task may be preempted: it is not being stopped already, and its job is known and is not a
    /// gang of several tasks.
    pub preemptible: bool,
    /// Whether the task is being preempted or cancelled already.
    pub stopping: bool,
    /// Whether the task is a replica of a service. Replicas run until their job is cancelled.
    pub is_replica: bool,
}

impl PlacedTask {
    /// A replica of the service `class` that is about to start.
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
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// All resources of the machine.
    pub total: Resources,
    /// Resources that no placed task takes.
    pub free: Resources,
    /// Whether tasks may be started on the machine now.
    pub accepts_starts: bool,
    /// Expected time until a start reaches the machine: until its next heartbeat, or until it has booted.
    pub accepts_starts_in: Micros,
    /// Ids of the images that the machine has cached or is fetching.
    pub images: Vec<u32>,
    /// Image fetch rate in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per processor and hour, in thousandths of the currency unit.
    pub cpu_price: i64,
    /// Time added to the start delay on this machine, so that machines with recent failures are chosen last.
    pub failure_penalty: Micros,
    /// Time until the cloud reclaims the machine, if it is a spot instance with an interruption notice. Only
    /// tasks that end before then may start on it.
    pub reclaimed_in: Option<Micros>,
    /// The tasks placed on the machine. [`super::Plan::preempt`] contains indices into this list.
    pub placed: Vec<PlacedTask>,
}

/// A job class: the startable tasks of one job. They are planned together because they have the same
/// requirements.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// The job's priority.
    pub priority: Priority,
    /// Priority aging: the priority that counts for the job's place in the queue once the job has waited too
    /// long, if it is higher than the job's own. Without aging, a steady load of higher priorities above the
    /// capacity would starve a wide gang. The aged priority does not let the job preempt others.
    pub aged_priority: Option<Priority>,
    /// Index into [`Snapshot::teams`]; out of range if the team is unknown.
    pub team: usize,
    /// Whether the job is within its team's fair share (the capacity guaranteed to the team).
    pub within_fair_share: bool,
    /// Number of tasks that could start now.
    pub startable_tasks: u32,
    /// Number of all tasks of the job.
    pub tasks: u32,
    /// Whether the job is a gang: all its tasks start together or none does.
    pub gang: bool,
    /// Resources that each task takes.
    pub need: Resources,
    /// Indices of the machine types that the job may use; if empty, it may use none.
    pub machine_types: Vec<usize>,
    /// The only zone that the job may use; `None` if it may use all.
    pub zone: Option<usize>,
    /// Whether all tasks of the job must be in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the job's tasks may be in the same zone.
    pub spread: bool,
    /// Whether the job may use spot instances.
    pub spot: bool,
    /// Id of the job's image, if it has one.
    pub image: Option<u32>,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Whether the job starts, for now, only on machines that have its image. It is set when the job would
    /// miss its objective if it had to fetch the image, and machines that have the image are expected to
    /// become free soon.
    pub waits_for_image: bool,
    /// Adjusted run time of a task: the stated run time multiplied by the factor A
    /// (`history::History::factor`).
    pub adjusted_runtime: Micros,
    /// Time since the job was accepted.
    pub waited: Micros,
    /// By zone: the number of the job's tasks that are placed there or may be.
    pub tasks_by_zone: Vec<u32>,
    /// How long the job may still wait without missing its deadline; `None` if it has no deadline.
    pub deadline_slack: Option<Micros>,
    /// Number of the job's service-level objectives that it has missed, or will miss even if it starts now.
    /// When the load exceeds the capacity, jobs that can still meet more of their objectives go first.
    pub missed_objectives: u8,
    /// How long the job may still wait before other tasks are preempted for it. At zero or less it may
    /// preempt now.
    pub preempt_after: Micros,
    /// For a service: indices of the machines that have one of its replicas, and of those that a replica has
    /// left recently. `None` for arrays and gangs.
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
    /// Resources that the team's tasks take, including tasks of which it is not known whether they still run.
    pub used: Resources,
    /// Processor quota; 0 means unlimited.
    pub cpu_quota: f64,
    /// GPU quota; 0 means unlimited.
    pub gpu_quota: f64,
}

impl TeamUse {
    /// How many more tasks that each take the resources `task` the quota allows.
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

/// Headroom reserved on machines of a type, for tasks of this size and at least this priority.
#[derive(Clone, Copy, Debug)]
pub struct ReservedHeadroom {
    /// Resources that such a task takes.
    pub need: Resources,
    /// The lowest priority of the tasks that the headroom is reserved for.
    pub priority: Priority,
    /// Whether such tasks may use spot instances. If not, spot instances have no reserved headroom.
    pub spot: bool,
}

/// The planner's complete input.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Number of zones.
    pub zone_count: usize,
    /// The machines that can be planned on.
    pub machines: Vec<MachineSnapshot>,
    /// The jobs, one class for each. Classes without startable tasks are not planned.
    pub classes: Vec<JobClass>,
    /// The resource use and quotas of the teams.
    pub teams: Vec<TeamUse>,
    /// By machine type: the headroom that lower priorities leave free, if any.
    pub reserved_headroom: Vec<Option<ReservedHeadroom>>,
    /// Whether the first blocked job gets a reservation.
    pub reserve: bool,
    /// Step in which start delays are compared for the lowest priority. It is larger than `delay_step`,
    /// because for this priority filling machines matters more than starting a little sooner.
    pub low_priority_delay_step: Micros,
    /// Step in which start delays are compared for the other priorities: delays within the same step count as
    /// equal.
    pub delay_step: Micros,
    /// Number of machines of each type on which the reserved headroom is kept free. On the other machines of
    /// the type lower priorities may use it; if necessary they are preempted there.
    pub headroom_machines: usize,
}

impl Snapshot {
    /// The headroom reserved on machines of a type, either spot or on-demand ones, if any.
    pub fn headroom_for(&self, machine_type: usize, spot: bool) -> Option<ReservedHeadroom> {
        let headroom = self.reserved_headroom.get(machine_type).copied().flatten();
        headroom.filter(|headroom| headroom.spot || !spot)
    }

    /// Whether the machine has headroom reserved for tasks of a higher priority than the class has.
    pub fn is_below_reserved_priority(&self, class: &JobClass, machine: &MachineSnapshot) -> bool {
        let headroom = self.headroom_for(machine.machine_type, machine.spot);
        headroom.is_some_and(|headroom| class.priority < headroom.priority)
    }
}
