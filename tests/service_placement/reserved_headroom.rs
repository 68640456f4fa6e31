//! Replicas on machines with headroom reserved for large tasks.

use milletlock::sched::{plan, JobClass, MachineSnapshot, ReservedHeadroom, Snapshot};
use milletlock::wire::Priority;

use crate::builders::{machine, machines_of, replica, service, snapshot, without_image};
use crate::common::planner::{machine_with_tasks, need};

/// A snapshot with two machine types. On the first type, headroom is reserved for tasks with 30 processors.
fn with_headroom(machines: Vec<MachineSnapshot>, classes: Vec<JobClass>) -> Snapshot {
    let headroom = ReservedHeadroom { need: need(30.0), priority: Priority::Urgent, spot: false };
    let both_types =
        classes.into_iter().map(|class| JobClass { machine_types: vec![0, 1], ..class }).collect();
    Snapshot { reserved_headroom: vec![Some(headroom), None], ..snapshot(machines, both_types) }
}

/// A machine of the second type, on which a replica would run ten seconds later.
fn slower_machine_of_other_type() -> MachineSnapshot {
    MachineSnapshot { machine_type: 1, fetch_gb_per_s: 0.2, ..without_image(machine(8.0)) }
}

/// Guards against replicas that take the last machines on which large tasks fit: replicas do not end by
/// themselves.
#[test]
fn replicas_use_machines_with_headroom_only_while_a_large_task_still_fits() {
    let with_replicas = |replicas: usize| machine_with_tasks(machine(32.0), vec![replica(1.0); replicas]);
    let choice =
        |machines: Vec<MachineSnapshot>| machines_of(&plan(&with_headroom(machines, vec![service(1)])), 0);
    assert_eq!(choice(vec![with_replicas(0), slower_machine_of_other_type()]), [0]);
    assert_eq!(choice(vec![with_replicas(1), slower_machine_of_other_type()]), [0]);
    assert_eq!(choice(vec![with_replicas(2), slower_machine_of_other_type()]), [1]);
    assert_eq!(choice(vec![with_replicas(2)]), [0], "no other machine can take the replica");
    // A machine of the other type is preferred if a replica runs as soon there, even if it has more free
    // capacity.
    let as_soon = MachineSnapshot { machine_type: 1, ..machine(64.0) };
    assert_eq!(choice(vec![with_replicas(0), as_soon]), [1]);
}

/// Guards against the same failure with several replicas that one plan starts.
#[test]
fn replicas_started_by_the_same_plan_count_against_headroom() {
    let services = vec![service(1), service(1), service(1)];
    let plan = plan(&with_headroom(vec![machine(32.0), slower_machine_of_other_type()], services));
    let started_on_first = plan.starts.iter().filter(|start| start.machine == 0).count();
    assert_eq!(started_on_first, 2);
}
