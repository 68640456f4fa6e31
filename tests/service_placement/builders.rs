//! Builders of machines, services and snapshots for the tests.

use milletlock::sched::{plan, JobClass, MachineSnapshot, PlacedTask, Plan, Snapshot, TeamUse};
use milletlock::time::Micros;
use milletlock::wire::Priority;

use crate::common::planner::{class, empty_machine, running_task, secs, IMAGE};

/// The price of a processor on all machines.
pub const CPU_PRICE: i64 = 100;

/// The run time of a service: one day.
pub const SERVICE_RUNTIME: Micros = Micros(86_400_000_000);

/// An empty on-demand machine of the first type and zone that accepts starts and has the image.
pub fn machine(cpus: f64) -> MachineSnapshot {
    MachineSnapshot { images: vec![IMAGE], cpu_price: CPU_PRICE, ..empty_machine(cpus) }
}

/// The machine without any images.
pub fn without_image(machine: MachineSnapshot) -> MachineSnapshot {
    MachineSnapshot { images: Vec::new(), ..machine }
}

/// A running replica of a service with the highest priority.
pub fn replica(cpus: f64) -> PlacedTask {
    PlacedTask { is_replica: true, remaining: SERVICE_RUNTIME, ..running_task(cpus, Priority::Critical) }
}

/// A service with replicas of one processor each, none of which is running.
pub fn service(replicas: u32) -> JobClass {
    JobClass {
        priority: Priority::Critical,
        adjusted_runtime: SERVICE_RUNTIME,
        preempt_after: Micros::ZERO,
        image: Some(IMAGE),
        image_gb: 2.0,
        replica_machines: Some(Vec::new()),
        ..class(replicas, 0, 0)
    }
}

/// A snapshot with two zones and one team, which has no quota.
pub fn snapshot(machines: Vec<MachineSnapshot>, classes: Vec<JobClass>) -> Snapshot {
    Snapshot {
        zone_count: 2,
        machines,
        classes,
        teams: vec![TeamUse::default()],
        reserved_headroom: vec![None, None],
        low_priority_delay_step: secs(4),
        delay_step: secs(2),
        ..Snapshot::default()
    }
}

/// The plan for the machines and classes.
pub fn plan_for(machines: Vec<MachineSnapshot>, classes: Vec<JobClass>) -> Plan {
    plan(&snapshot(machines, classes))
}

/// The machines on which the plan starts tasks of a class, with one entry for each task, in ascending order.
pub fn machines_of(plan: &Plan, class: usize) -> Vec<usize> {
    let starts = plan.starts.iter().filter(|start| start.class == class);
    let mut machines: Vec<usize> =
        starts.flat_map(|start| std::iter::repeat_n(start.machine, start.count as usize)).collect();
    machines.sort_unstable();
    machines
}
