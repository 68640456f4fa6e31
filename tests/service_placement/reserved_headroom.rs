//! Replicas beside headroom that is reserved for large tasks.

use milletlock::sched::{plan, JobClass, MachineSnapshot, ReservedHeadroom, Snapshot};
use milletlock::wire::Priority;

use crate::builders::{machine, machines_of, replica, service, snapshot, without_image};
use crate::common::planner::{machine_with_tasks, need};

/// Machines of two types, the first of which has headroom reserved for tasks of 30 processors.
fn with_headroom(machines: Vec<MachineSnapshot>, classes: Vec<JobClass>) -> Snapshot {
    let headroom = ReservedHeadroom { need: need(30.0), priority: Priority::Urgent, spot: false };
    let both_types =
        classes.into_iter().map(|class| JobClass { machine_types: vec![0, 1], ..class }).collect();
    Snapshot { reserved_headroom: vec![Some(headroom), None], ..snapshot(machines, both_types) }
}

/// Another type's machine, on which a replica would run ten seconds later.
fn later_elsewhere() -> MachineSnapshot {
    MachineSnapshot { machine_type: 1, fetch_gb_per_s: 0.2, ..without_image(machine(8.0)) }
}

/// Guards against replicas, which never end, that take the last whole machines of large tasks.
#[test]
fn replicas_go_beside_a_larger_task_only_while_it_fits() {
    let beside = |replicas: usize| machine_with_tasks(machine(32.0), vec![replica(1.0); replicas]);
    let choice =
        |machines: Vec<MachineSnapshot>| machines_of(&plan(&with_headroom(machines, vec![service(1)])), 0);
    assert_eq!(choice(vec![beside(0), later_elsewhere()]), [0]);
    assert_eq!(choice(vec![beside(1), later_elsewhere()]), [0]);
    assert_eq!(choice(vec![beside(2), later_elsewhere()]), [1]);
    assert_eq!(choice(vec![beside(2)]), [0], "nowhere else to go");
    // Another type's machine goes first where a replica runs as soon, be it the emptier one.
    let as_soon = MachineSnapshot { machine_type: 1, ..machine(64.0) };
    assert_eq!(choice(vec![beside(0), as_soon]), [1]);
}

/// The same for replicas that one plan starts together.
#[test]
fn replicas_of_one_plan_count_where_a_larger_task_has_to_fit() {
    let services = vec![service(1), service(1), service(1)];
    let plan = plan(&with_headroom(vec![machine(32.0), later_elsewhere()], services));
    let beside = plan.starts.iter().filter(|start| start.machine == 0).count();
    assert_eq!(beside, 2);
}
