//! Builders and generators for the tests of the planner.

use milletlock::sched::{queue_order, JobClass, MachineSnapshot, PlacedTask, Resources};
use milletlock::time::Micros;
use milletlock::wire::{MachineType, Priority};
use proptest::prelude::*;

/// Rounding errors in sums of processors stay below this.
pub const CPU_TOLERANCE: f64 = 1e-6;

/// The image that random machines may have.
pub const IMAGE: u32 = 1;

/// Processors of a random machine of each type.
const CPUS_BY_TYPE: [f64; 2] = [4.0, 16.0];

/// Whole seconds.
pub fn secs(seconds: i64) -> Micros {
    Micros(seconds * 1_000_000)
}

/// Any of the priorities, each as likely as the others.
pub fn any_priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Idle),
        Just(Priority::Normal),
        Just(Priority::Urgent),
        Just(Priority::Critical)
    ]
}

prop_compose! {
    /// A machine without tasks, which accepts starts in less than so many seconds.
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

/// So many processors, and as much memory.
pub fn need(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory: cpus }
}

/// An array's class of one-processor tasks on the first type.
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

/// An on-demand machine of the first type and zone that accepts starts, without tasks and images.
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

/// The machine with these tasks on it.
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

/// The only machine type where renting is looked at by itself.
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
