//! Builders for the tests of the planner.

use milletlock::sched::{JobClass, Resources};
use milletlock::time::Micros;
use milletlock::wire::{MachineType, Priority};

/// Whole seconds.
pub fn secs(s: i64) -> Micros {
    Micros(s * 1_000_000)
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
