//! What the planner sees and what it decides: the snapshot, the plan and their parts.

use crate::time::Micros;
use crate::wire::Priority;

/// Amounts below this count as nothing.
pub(super) const EPS: f64 = 1e-6;

/// Processors in whole tenths, truncated: machines are ordered by this, so that tiny differences of
/// free capacity do not decide.
pub(super) fn cpu_tenths(cpus: f64) -> i64 {
    (cpus * 10.0) as i64
}

/// Resources that a task takes or a machine has: processors, GPUs, and memory in GB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

impl Resources {
    /// How many tasks of need `task` fit into this.
    pub fn fits(&self, task: &Resources) -> u32 {
        let one = |have: f64, need: f64| {
            if need <= EPS {
                u32::MAX
            } else {
                ((have + EPS) / need).floor().clamp(0.0, 1e9) as u32
            }
        };
        one(self.cpus, task.cpus).min(one(self.gpus, task.gpus)).min(one(self.memory, task.memory))
    }

    /// This less `count` tasks of need `task`.
    pub fn minus(&self, task: &Resources, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus - task.cpus * count,
            gpus: self.gpus - task.gpus * count,
            memory: self.memory - task.memory * count,
        }
    }

    /// This and `count` tasks of need `task`.
    pub fn plus(&self, task: &Resources, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus + task.cpus * count,
            gpus: self.gpus + task.gpus * count,
            memory: self.memory + task.memory * count,
        }
    }
}

/// A task that runs, or may be about to run, on a machine (placed, in `MachineSnapshot::held`).
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// What it takes.
    pub need: Resources,
    /// Its job's rank (priority).
    pub priority: Priority,
    /// Whether its job is within its team's guarantee (fair share).
    pub within_fair_share: bool,
    /// Index into `Snapshot::teams`.
    pub team: usize,
    /// Until its stated end; overrunning tasks have a little left.
    pub remaining: Micros,
    /// Work lost if it is preempted now, in processor time (zero for jobs that checkpoint).
    pub lost_work: Micros,
    /// Whether it may be stopped for others: it runs and is not being stopped already.
    pub preemptible: bool,
    /// Whether it is being preempted or cancelled already.
    pub stopping: bool,
    /// Whether it runs until its job is cancelled.
    pub is_replica: bool,
}

impl PlacedTask {
    /// A replica of a service that is about to start.
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

/// A machine (node) as the planner sees it; indices are into `Snapshot::rooms`.
#[derive(Clone, Debug)]
pub struct MachineSnapshot {
    /// Index into the machine types.
    pub machine_type: usize,
    /// Index into the zones, below `Snapshot::zones`.
    pub zone: usize,
    /// Whether it is a spot (preemptible) instance.
    pub spot: bool,
    /// All resources it has.
    pub total: Resources,
    /// Resources that no task takes.
    pub free: Resources,
    /// Whether tasks may start on it now.
    pub accepts_starts: bool,
    /// When it is expected to take a start: its next report, or the end of its boot.
    pub accepts_starts_in: Micros,
    /// Ids of the images it has or is fetching.
    pub images: Vec<u32>,
    /// Image fetch rate in GB a second.
    pub fetch_rate: f64,
    /// Price an hour of a processor, in thousandths.
    pub cpu_price: i64,
    /// Time added to its delay for machines that did badly, so that others go first.
    pub penalty: Micros,
    /// Only tasks that end within this may start (a spot notice).
    pub reclaimed_in: Option<Micros>,
    /// The tasks placed on it; `Plan::preempt` points into this list.
    pub placed: Vec<PlacedTask>,
}

/// A job's tasks that could start, taken together: all tasks of a job are alike (a job class).
#[derive(Clone, Debug)]
pub struct JobClass {
    /// The job's rank (priority).
    pub priority: Priority,
    /// It has waited so long that the queue counts it with this rank, if that is higher: otherwise more
    /// work of higher ranks than there is room would keep a wide gang waiting for ever. Nothing is
    /// stopped by it.
    pub aged_priority: Option<Priority>,
    /// Index into `Snapshot::teams`.
    pub team: usize,
    /// Whether the job is within its team's guarantee (fair share).
    pub within_fair_share: bool,
    /// Tasks that could start now.
    pub count: u32,
    /// All tasks of the job.
    pub tasks: u32,
    /// Whether it is a gang: all its tasks start together or none does.
    pub gang: bool,
    /// What a task takes.
    pub need: Resources,
    /// Indices of the machine types it may use; empty: none at all.
    pub types: Vec<usize>,
    /// The only zone it may use, if it is tied to one.
    pub zone: Option<usize>,
    /// Whether all its tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of its tasks may be in one zone.
    pub spread: bool,
    /// Whether it may use spot machines.
    pub spot: bool,
    /// Id of its image, if it has one.
    pub image: Option<u32>,
    /// The image's size in GB.
    pub image_gb: f64,
    /// It starts only where its image is, for now: with the fetch it would miss its aim anyway, and
    /// machines that have the image come free.
    pub waits_for_image: bool,
    /// Adjusted run time of a task: the stated one times the factor A (`history::History::factor`).
    pub adjusted_runtime: Micros,
    /// Time since the job was accepted.
    pub waited: Micros,
    /// Its tasks that are or may be somewhere, by zone.
    pub tasks_by_zone: Vec<u32>,
    /// How long it may still wait without missing its deadline; none if it has no deadline.
    pub deadline_slack: Option<Micros>,
    /// How many of its aims it has missed, or will even if it starts now: beyond capacity, those
    /// that can still make more of theirs go first.
    pub missed_objectives: u8,
    /// How long it may still wait before others are stopped for it.
    pub preempt_after: Micros,
    /// For a service: rooms with a replica of it, and those that one has left of late.
    pub replica_machines: Option<Vec<usize>>,
}

impl JobClass {
    /// The rank that counts in the queue.
    pub fn queue_priority(&self) -> Priority {
        self.aged_priority.map_or(self.priority, |r| r.max(self.priority))
    }
}

/// A team's use and quota (limit).
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUse {
    /// What its tasks take, those possibly there included.
    pub used: Resources,
    /// Processor quota; 0: no limit.
    pub cpu_quota: f64,
    /// GPU quota; 0: no limit.
    pub gpu_quota: f64,
}

impl TeamUse {
    /// How many more tasks of need `task` the limit allows.
    pub fn allows(&self, task: &Resources) -> u32 {
        let one = |max: f64, used: f64, need: f64| {
            if max <= 0.0 || need <= EPS {
                u32::MAX
            } else {
                ((max - used + EPS) / need).floor().clamp(0.0, 1e9) as u32
            }
        };
        one(self.cpu_quota, self.used.cpus, task.cpus).min(one(self.gpu_quota, self.used.gpus, task.gpus))
    }
}

/// Headroom reserved on machines of a type for tasks of this size and at least this rank.
#[derive(Clone, Copy, Debug)]
pub struct ReservedHeadroom {
    /// Resources that such a task takes.
    pub need: Resources,
    /// The least rank of the tasks it is reserved for.
    pub priority: Priority,
    /// Whether such tasks may use spot machines; if not, none of those is kept for them.
    pub spot: bool,
}

/// Everything the planner sees: its only input.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Number of zones.
    pub zone_count: usize,
    /// The machines; their index is used everywhere in the plan.
    pub machines: Vec<MachineSnapshot>,
    /// The jobs with tasks that could start, as job classes.
    pub classes: Vec<JobClass>,
    /// The teams' use and quota.
    pub teams: Vec<TeamUse>,
    /// By machine type: the headroom that lower ranks leave free, if any.
    pub reserved_headroom: Vec<Option<ReservedHeadroom>>,
    /// Whether the blocked head job gets a reservation.
    pub reserve: bool,
    /// Delays that differ by less than this count as alike for the lowest rank: it waits politely,
    /// and fills machines up rather than starting a moment sooner.
    pub low_priority_delay_step: Micros,
    /// The same for the others.
    pub delay_step: Micros,
    /// Rooms of a type that are kept clear for the tasks in `keep`; low ranks use the others and
    /// are stopped if need be.
    pub headroom_machines: usize,
}

impl Snapshot {
    /// What is kept on machines of a type and kind, if anything is.
    pub fn headroom_for(&self, ty: usize, spot: bool) -> Option<ReservedHeadroom> {
        self.reserved_headroom.get(ty).copied().flatten().filter(|kept| kept.spot || !spot)
    }

    /// Whether headroom on the machine is reserved for tasks of a higher rank than the class's.
    pub fn is_below_reserved_priority(&self, class: &JobClass, machine: &MachineSnapshot) -> bool {
        self.headroom_for(machine.machine_type, machine.spot)
            .is_some_and(|kept| class.priority < kept.priority)
    }
}

/// Tasks of a class to start on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Index into `Snapshot::classes`.
    pub class: usize,
    /// Index into `Snapshot::rooms`.
    pub machine: usize,
    /// How many tasks.
    pub count: u32,
}

/// The blocked head job's reservation (backfilling): later jobs may not delay it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Index into `Snapshot::classes`.
    pub class: usize,
    /// When, from now, its machines are free by the stated ends of the tasks on them.
    pub at: Micros,
    /// The machines by index, with the number of tasks on each.
    pub machines: Vec<(usize, u32)>,
}

/// The planner's decisions: its only output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Tasks to start now.
    pub starts: Vec<Start>,
    /// The reservation for the blocked head job, if there is one.
    pub reservation: Option<Reservation>,
    /// Tasks to preempt: index of the machine and place in its `held`.
    pub preempt: Vec<(usize, usize)>,
    /// Tasks that found no room, by class, in queue order.
    pub unmet: Vec<(usize, u32)>,
    /// By type, whether tasks wait that it is kept for: nothing lower starts on it.
    pub contended_types: Vec<bool>,
    /// By team, whether a gang is held back by its limit: what frees of it is left to that gang.
    pub gang_awaits_quota: Vec<bool>,
}
