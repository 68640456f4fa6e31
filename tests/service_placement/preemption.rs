//! Preemption of tasks for replicas.

use milletlock::sched::{JobClass, PlacedTask};
use milletlock::wire::Priority;

use crate::builders::{machine, machines_of, plan_for, service};
use crate::common::planner::{machine_with_tasks, running_task};

/// Guards against a service that waits before it preempts, or that preempts tasks of its own or a higher
/// priority.
#[test]
fn lower_priorities_are_preempted_at_once_and_equal_or_higher_ones_never() {
    let full = |priority: Priority| {
        machine_with_tasks(machine(2.0), vec![running_task(1.0, priority), running_task(1.0, priority)])
    };
    for priority in [Priority::Idle, Priority::Normal, Priority::Urgent] {
        let plan = plan_for(vec![full(priority)], vec![service(1)]);
        assert_eq!((machines_of(&plan, 0), plan.preempt.len()), (vec![0], 1), "{priority:?}");
    }
    let plan = plan_for(vec![full(Priority::Critical)], vec![service(1)]);
    assert_eq!((plan.starts, plan.preempt, plan.unplaced), (Vec::new(), Vec::new(), vec![(0, 1)]));
    let urgent = JobClass { priority: Priority::Urgent, ..service(1) };
    for priority in [Priority::Urgent, Priority::Critical] {
        let plan = plan_for(vec![full(priority)], vec![urgent.clone()]);
        assert_eq!((plan.starts, plan.preempt), (Vec::new(), Vec::new()), "{priority:?}");
    }
}

/// Guards against preempting more tasks while tasks that have been preempted are still ending.
#[test]
fn a_replica_waits_for_capacity_that_is_being_freed() {
    let ending = PlacedTask { preemptible: false, stopping: true, ..running_task(1.0, Priority::Idle) };
    let plan = plan_for(
        vec![machine_with_tasks(machine(2.0), vec![ending, running_task(1.0, Priority::Idle)])],
        vec![service(1)],
    );
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![0], Vec::new()));
}

/// Guards against a second replica that waits for the next plan although one preemption frees capacity for
/// both.
#[test]
fn one_preempted_task_frees_capacity_for_several_replicas() {
    let plan = plan_for(
        vec![machine_with_tasks(machine(4.0), vec![running_task(4.0, Priority::Idle)])],
        vec![service(3)],
    );
    assert_eq!((machines_of(&plan, 0), plan.preempt), (vec![0, 0, 0], vec![(0, 0)]));
}
