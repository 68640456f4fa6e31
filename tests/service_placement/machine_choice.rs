//! Choices among machines that would do.

use milletlock::sched::{JobClass, MachineSnapshot};
use milletlock::time::Micros;
use milletlock::wire::Priority;

use crate::builders::{machine, machines_of, plan_for, service, without_image};
use crate::common::planner::{machine_with_tasks, running_task, secs};

/// Guards against losing several replicas with one machine.
#[test]
fn replicas_share_a_machine_only_if_there_is_no_other() {
    let plan = plan_for(vec![machine(8.0), machine(8.0), machine(8.0)], vec![service(3)]);
    assert_eq!(machines_of(&plan, 0), [0, 1, 2]);
    // Machines with a replica, or that one has left of late, are avoided.
    let second = JobClass { replica_machines: Some(vec![0, 2]), ..service(1) };
    let plan = plan_for(vec![machine(8.0), machine(8.0), machine(8.0)], vec![second]);
    assert_eq!(machines_of(&plan, 0), [1]);
    let plan = plan_for(vec![machine(8.0)], vec![service(3)]);
    assert_eq!(machines_of(&plan, 0), [0, 0, 0]);
}

/// Guards against losing most replicas with one zone.
#[test]
fn replicas_spread_over_zones_where_delays_are_alike() {
    let south = || MachineSnapshot { zone: 1, ..machine(8.0) };
    let machines = vec![machine(8.0), machine(8.0), machine(8.0), machine(8.0), south(), south()];
    let plan = plan_for(machines, vec![service(4)]);
    let in_south = machines_of(&plan, 0).iter().filter(|&&machine| machine >= 4).count();
    assert_eq!(in_south, 2);
    // Spreading over zones is not worth more than a little time.
    let late = || MachineSnapshot { accepts_starts_in: secs(8), ..south() };
    let machines = vec![machine(8.0), machine(8.0), machine(8.0), machine(8.0), late(), late()];
    assert_eq!(machines_of(&plan_for(machines, vec![service(4)]), 0), [0, 1, 2, 3]);
}

/// Guards against fetching an image, or preempting work, where neither saves time.
#[test]
fn the_machine_where_a_replica_runs_soonest_is_taken() {
    let plan = plan_for(vec![without_image(machine(8.0)), machine(8.0)], vec![service(1)]);
    assert_eq!(machines_of(&plan, 0), [1]);
    let full = || machine_with_tasks(machine(1.0), vec![running_task(1.0, Priority::Idle)]);
    let plan = plan_for(vec![full(), machine(8.0)], vec![service(1)]);
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![1], Vec::new()));
    let opens_soon = MachineSnapshot { accepts_starts_in: Micros::from_millis(1500), ..machine(8.0) };
    let plan = plan_for(vec![full(), opens_soon], vec![service(1)]);
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![1], Vec::new()));
    // Preempting another is worth it where the free machine has to fetch for long.
    let slow = MachineSnapshot { fetch_gb_per_s: 0.1, ..without_image(machine(8.0)) };
    let plan = plan_for(vec![full(), slow], vec![service(1)]);
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![0], vec![(0, 0)]));
}
