//! Work that its team's quota blocks.

use milletlock::sched::{plan, JobClass, MachineSnapshot, PlacedTask, Snapshot, Start, TeamUse};
use milletlock::wire::Priority;

use crate::common::planner::{class, empty_machine, machine_with_tasks, need, running_task, secs};
use crate::sorted_starts;

/// An urgent gang of two tasks that may use only the second machine and cannot wait before it preempts.
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

/// An array of small tasks of the lowest priority.
fn small_tasks() -> JobClass {
    JobClass { priority: Priority::Idle, ..class(8, 20, 5) }
}

/// The first machine is half used by eight small tasks. The second machine has another type and
/// `free_for_gang` free processors. The team has two processors of its quota left.
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

/// Guards against preemption for gangs that cannot start. On a day with low load, each waiting gang of a team
/// with a quota reserved its part of the quota and had the team's small tasks preempted, although there was
/// no capacity for the gang. The small tasks started and were preempted again 21,000 times.
#[test]
fn a_gang_blocked_by_quota_preempts_only_if_it_finds_capacity_and_only_the_first_gang_reserves() {
    let gang_and_small = || vec![urgent_gang(), small_tasks()];
    // The gang's machine is in use, so nothing is preempted, and the small tasks use the rest of the quota.
    let without_capacity = plan(&snapshot_near_quota(0.0, gang_and_small()));
    assert!(without_capacity.preempt.is_empty(), "{:?}", without_capacity.preempt);
    assert_eq!(sorted_starts(&without_capacity.starts), [Start { class: 1, machine: 0, count: 2 }]);
    // The gang finds capacity. As many small tasks as necessary are preempted, once, and no small tasks start
    // in their place.
    let mut snapshot = snapshot_near_quota(16.0, gang_and_small());
    let first = plan(&snapshot);
    assert_eq!((first.preempt.len(), first.starts.len()), (2, 0));
    for &(machine, task) in &first.preempt {
        snapshot.machines[machine].placed[task].stopping = true;
    }
    let second = plan(&snapshot);
    assert_eq!((second.preempt.len(), second.starts.len()), (0, 0));
    // Tasks within their team's fair share go before the gang in the queue and are not preempted, since they
    // would start again at once.
    let mut snapshot = snapshot_near_quota(16.0, gang_and_small());
    snapshot.machines[0].placed.iter_mut().for_each(|task| task.within_fair_share = true);
    assert!(plan(&snapshot).preempt.is_empty());
    snapshot.machines[0].placed.iter_mut().take(2).for_each(|task| task.within_fair_share = false);
    assert_eq!(plan(&snapshot).preempt, [(0, 0), (0, 1)]);
    // Quota is reserved only for the first of several waiting gangs. Tasks that end before the quota lets
    // that gang start may start.
    let short = JobClass { adjusted_runtime: secs(10), ..small_tasks() };
    let mut snapshot = snapshot_near_quota(16.0, vec![urgent_gang(), urgent_gang(), urgent_gang(), short]);
    snapshot.classes.iter_mut().for_each(|class| class.preempt_after = secs(100));
    let several = plan(&snapshot);
    let starts = sorted_starts(&several.starts);
    assert_eq!((several.preempt.len(), starts), (0, vec![Start { class: 3, machine: 0, count: 2 }]));
}

/// Guards against released quota that goes to the wrong work between two plans: tasks of lower priority took
/// quota for which tasks had been preempted in favour of a service of the same team.
#[test]
fn only_the_first_blocked_group_of_a_team_is_listed_as_blocked_by_quota() {
    let plan_with = |first: JobClass| plan(&snapshot_near_quota(0.0, vec![first, small_tasks()]));
    let first = JobClass { priority: Priority::Urgent, ..class(3, 30, 40) };
    let first_blocked = plan_with(first.clone());
    assert_eq!(
        first_blocked.blocked_by_quota,
        [(0, 1)],
        "the small tasks behind the first class are not listed"
    );
    assert_eq!(first_blocked.quota_of_other_starts, [need(0.0)]);
    let first_started = plan_with(JobClass { startable_tasks: 1, ..first.clone() });
    assert_eq!(first_started.blocked_by_quota, [(1, 7)]);
    assert_eq!(
        first_started.quota_of_other_starts[0].cpus,
        need(1.0).cpus,
        "starts of the first class count as other starts"
    );
    let service = JobClass { replica_machines: Some(Vec::new()), ..first };
    assert!(
        plan_with(service).blocked_by_quota.is_empty(),
        "nothing is listed if a service is blocked first"
    );
}
