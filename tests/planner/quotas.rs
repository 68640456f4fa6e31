//! Gangs that their team's quota holds back.

use milletlock::sched::{plan, JobClass, MachineSnapshot, PlacedTask, Snapshot, Start, TeamUse};
use milletlock::wire::Priority;

use crate::common::planner::{class, empty_machine, machine_with_tasks, need, running_task, secs};
use crate::sorted_starts;

/// An urgent gang of two tasks that may use the second machine only.
fn urgent_gang() -> JobClass {
    JobClass {
        priority: Priority::Urgent,
        gang: true,
        need: need(2.0),
        machine_types: vec![1],
        preempt_after: secs(-1),
        ..class(2, 30, 40)
    }
}

/// Small tasks of the lowest priority.
fn small_tasks() -> JobClass {
    JobClass { priority: Priority::Idle, ..class(8, 20, 5) }
}

/// A machine half in use by eight small tasks, and one of another type; the team has two processors of its
/// quota left.
fn snapshot_near_quota(free_for_gang: f64, classes: Vec<JobClass>) -> Snapshot {
    let small = PlacedTask { remaining: secs(40), ..running_task(1.0, Priority::Idle) };
    let with_image = MachineSnapshot { images: vec![1], ..empty_machine(16.0) };
    let for_gang = MachineSnapshot { machine_type: 1, free: need(free_for_gang), ..with_image.clone() };
    Snapshot {
        zone_count: 2,
        machines: vec![machine_with_tasks(with_image, vec![small; 8]), for_gang],
        classes,
        reserve: true,
        low_priority_delay_step: secs(4),
        delay_step: secs(2),
        headroom_machines: 0,
        teams: vec![TeamUse { used: need(8.0), cpu_quota: 10.0, gpu_quota: 0.0 }],
        reserved_headroom: vec![None, None],
    }
}

/// On a calm day of a team with a quota each waiting gang reserved its part of it, and had the team's small
/// tasks preempted though there was no capacity for it: they began and were preempted again, 21,000 times.
#[test]
fn a_gang_at_its_teams_quota_preempts_nothing_unless_it_finds_capacity_and_only_the_first_reserves() {
    let gang_and_small = || vec![urgent_gang(), small_tasks()];
    // Its machine is in use: nothing is preempted for the quota, which the small ones use meanwhile.
    let without_capacity = plan(&snapshot_near_quota(0.0, gang_and_small()));
    assert!(without_capacity.preempt.is_empty(), "{:?}", without_capacity.preempt);
    assert_eq!(sorted_starts(&without_capacity.starts), [Start { class: 1, machine: 0, count: 2 }]);
    // It finds capacity: as many are preempted as it takes, once, and the small ones leave the quota to it.
    let mut snapshot = snapshot_near_quota(16.0, gang_and_small());
    let first = plan(&snapshot);
    assert_eq!((first.preempt.len(), first.starts.len()), (2, 0));
    for &(machine, task) in &first.preempt {
        snapshot.machines[machine].placed[task].stopping = true;
    }
    let second = plan(&snapshot);
    assert_eq!((second.preempt.len(), second.starts.len()), (0, 0));
    // What goes before it by its team's fair share is not preempted: it would begin again at once.
    let mut snapshot = snapshot_near_quota(16.0, gang_and_small());
    snapshot.machines[0].placed.iter_mut().for_each(|task| task.within_fair_share = true);
    assert!(plan(&snapshot).preempt.is_empty());
    snapshot.machines[0].placed.iter_mut().take(2).for_each(|task| task.within_fair_share = false);
    assert_eq!(plan(&snapshot).preempt, [(0, 0), (0, 1)]);
    // Of several that wait only the first does. What ends before the quota comes free may start.
    let short = JobClass { adjusted_runtime: secs(10), ..small_tasks() };
    let mut snapshot = snapshot_near_quota(16.0, vec![urgent_gang(), urgent_gang(), urgent_gang(), short]);
    snapshot.classes.iter_mut().for_each(|class| class.preempt_after = secs(100));
    let several = plan(&snapshot);
    let starts = sorted_starts(&several.starts);
    assert_eq!((several.preempt.len(), starts), (0, vec![Start { class: 3, machine: 0, count: 2 }]));
}

/// Between plans quota that comes free may go to the work that is next for it and to no other: lower tasks took
/// what had been preempted for a service of their team.
#[test]
fn only_what_is_next_for_a_quota_is_held_for_it() {
    let with = |first: JobClass| plan(&snapshot_near_quota(0.0, vec![first, small_tasks()]));
    let first = JobClass { priority: Priority::Urgent, ..class(3, 30, 40) };
    let held = with(first.clone());
    assert_eq!(held.blocked_by_quota, [(0, 1)], "not the small tasks behind it");
    assert_eq!(held.quota_of_other_starts, [need(0.0)]);
    let behind_starts = with(JobClass { startable_tasks: 1, ..first.clone() });
    assert_eq!(behind_starts.blocked_by_quota, [(1, 7)]);
    assert_eq!(
        behind_starts.quota_of_other_starts[0].cpus,
        need(1.0).cpus,
        "what the first one starts is its own"
    );
    let service = JobClass { replica_machines: Some(Vec::new()), ..first };
    assert!(with(service).blocked_by_quota.is_empty(), "a service goes first");
}
