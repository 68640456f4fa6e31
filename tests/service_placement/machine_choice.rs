//! The choice among several machines that could take a replica.

use milletlock::sched::{JobClass, MachineSnapshot};
use milletlock::time::Micros;
use milletlock::wire::Priority;

use crate::builders::{machine, machines_of, plan_for, service, without_image};
use crate::common::planner::{machine_with_tasks, running_task, secs};

/// Guards against losing several replicas together with one machine.
#[test]
fn replicas_share_a_machine_only_if_there_is_no_other() {
    let plan = plan_for(vec![machine(8.0), machine(8.0), machine(8.0)], vec![service(3)]);
    assert_eq!(machines_of(&plan, 0), [0, 1, 2]);
    // Machines that have a replica, or that a replica has left recently, are avoided.
    let second = JobClass { replica_machines: Some(vec![0, 2]), ..service(1) };
    let plan = plan_for(vec![machine(8.0), machine(8.0), machine(8.0)], vec![second]);
    assert_eq!(machines_of(&plan, 0), [1]);
    let plan = plan_for(vec![machine(8.0)], vec![service(3)]);
    assert_eq!(machines_of(&plan, 0), [0, 0, 0]);
}

/// Guards against losing most replicas together with one zone.
#[test]
fn replicas_are_spread_over_zones_if_delays_are_equal() {
    let south = || MachineSnapshot { zone: 1, ..machine(8.0) };
    let machines = vec![machine(8.0), machine(8.0), machine(8.0), machine(8.0), south(), south()];
    let plan = plan_for(machines, vec![service(4)]);
    let in_south = machines_of(&plan, 0).iter().filter(|&&machine| machine >= 4).count();
    assert_eq!(in_south, 2);
    // Replicas are not spread over zones if this delays their start much.
    let late = || MachineSnapshot { accepts_starts_in: secs(8), ..south() };
    let machines = vec![machine(8.0), machine(8.0), machine(8.0), machine(8.0), late(), late()];
    assert_eq!(machines_of(&plan_for(machines, vec![service(4)]), 0), [0, 1, 2, 3]);
}

/// Guards against fetching an image or preempting tasks when a replica does not run sooner for it.
#[test]
fn a_replica_starts_on_the_machine_where_it_runs_soonest() {
    let plan = plan_for(vec![without_image(machine(8.0)), machine(8.0)], vec![service(1)]);
    assert_eq!(machines_of(&plan, 0), [1]);
    let full = || machine_with_tasks(machine(1.0), vec![running_task(1.0, Priority::Idle)]);
    let plan = plan_for(vec![full(), machine(8.0)], vec![service(1)]);
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![1], Vec::new()));
    let accepts_starts_soon =
        MachineSnapshot { accepts_starts_in: Micros::from_millis(1500), ..machine(8.0) };
    let plan = plan_for(vec![full(), accepts_starts_soon], vec![service(1)]);
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![1], Vec::new()));
    // Tasks are preempted if the machine with free capacity takes long to fetch the image.
    let with_slow_fetch = MachineSnapshot { fetch_gb_per_s: 0.1, ..without_image(machine(8.0)) };
    let plan = plan_for(vec![full(), with_slow_fetch], vec![service(1)]);
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![0], vec![(0, 0)]));
}
