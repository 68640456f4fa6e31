//! Builders and generators for the tests of the planner.

use milletlock::sched::{queue_order, JobClass, MachineSnapshot, PlacedTask, Resources};
use milletlock::time::Micros;
use milletlock::wire::{MachineType, Priority};
use proptest::prelude::*;

/// Upper bound of rounding errors in sums of processors.
pub const CPU_TOLERANCE: f64 = 1e-6;

/// The image that random machines may have.
pub const IMAGE: u32 = 1;

/// Processors of a random machine, by type.
const CPUS_BY_TYPE: [f64; 2] = [4.0, 16.0];

/// A time of whole seconds.
pub fn secs(seconds: i64) -> Micros {
    Micros(seconds * 1_000_000)
}

/// Any priority, all with the same probability.
pub fn any_priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Idle),
        Just(Priority::Normal),
        Just(Priority::Urgent),
        Just(Priority::Critical)
    ]
}

prop_compose! {
    /// A machine without tasks, whose `accepts_starts_in` is less than the given number of seconds.
    pub fn any_empty_machine(accepts_starts_in_end_s: i64)(
        machine_type in 0usize..2,
        zone in 0usize..2,
        spot in any::<bool>(),
        accepts_starts in prop::bool::weighted(0.85),
        accepts_starts_in_s in 0..accepts_starts_in_end_s,
        has_image in any::<bool>(),
        reclaimed_in_s in prop::option::weighted(0.1, 1i64..60),
    ) -> MachineSnapshot {
        MachineSnapshot {
            machine_type,
            zone,
            spot,
            accepts_starts,
            accepts_starts_in: secs(accepts_starts_in_s),
            images: if has_image { vec![IMAGE] } else { Vec::new() },
            reclaimed_in: reclaimed_in_s.map(secs),
            ..empty_machine(CPUS_BY_TYPE[machine_type])
        }
    }
}

/// A number of processors, and as many GB of memory.
pub fn need(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory: cpus }
}

/// The class of an array with one-processor tasks that may use the first type. The adjusted run time and the
/// wait are in seconds.
pub fn class(count: u32, adjusted: i64, waited: i64) -> JobClass {
    JobClass {
        priority: Priority::Normal,
        aged_priority: None,
        team: 0,
        within_fair_share: false,
        startable_tasks: count,
        tasks: count,
        gang: false,
        need: need(1.0),
        machine_types: vec![0],
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: None,
        image_gb: 0.0,
        waits_for_image: false,
        adjusted_runtime: secs(adjusted),
        waited: secs(waited),
        tasks_by_zone: vec![0, 0],
        deadline_slack: None,
        missed_objectives: 0,
        preempt_after: secs(10),
        replica_machines: None,
    }
}

/// The position of each class in the queue, by its index into `classes`.
pub fn queue_positions(classes: &[JobClass]) -> Vec<usize> {
    let mut positions = vec![0; classes.len()];
    for (position, class) in queue_order(classes).into_iter().enumerate() {
        positions[class] = position;
    }
    positions
}

/// An on-demand machine of the first type and zone that accepts starts and has no tasks and no images.
pub fn empty_machine(cpus: f64) -> MachineSnapshot {
    MachineSnapshot {
        machine_type: 0,
        zone: 0,
        spot: false,
        total: need(cpus),
        free: need(cpus),
        accepts_starts: true,
        accepts_starts_in: Micros::ZERO,
        images: Vec::new(),
        fetch_gb_per_s: 1.0,
        cpu_price: 1,
        failure_penalty: Micros::ZERO,
        reclaimed_in: None,
        placed: Vec::new(),
    }
}

/// The machine with the tasks placed on it.
pub fn machine_with_tasks(machine: MachineSnapshot, tasks: Vec<PlacedTask>) -> MachineSnapshot {
    let free = tasks.iter().fold(machine.free, |free, task| free.minus(&task.need, 1));
    MachineSnapshot { free, placed: tasks, ..machine }
}

/// A running task that may be preempted for a higher priority.
pub fn running_task(cpus: f64, priority: Priority) -> PlacedTask {
    PlacedTask {
        need: need(cpus),
        priority,
        within_fair_share: false,
        team: 0,
        remaining: secs(60),
        lost_work: secs(5),
        preemptible: true,
        stopping: false,
        is_replica: false,
    }
}

/// A list with a single small machine type, for tests of scaling that need no others.
pub fn one_small_type() -> Vec<MachineType> {
    vec![MachineType {
        name: "small".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 8.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: Some(0.3),
        boot_s: 30.0,
        zones: vec!["north".into()],
    }]
}
