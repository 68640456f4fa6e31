//! Arrays that wait for machines that have their image.

use milletlock::sched::{plan, JobClass, MachineSnapshot, PlacedTask, Plan, Snapshot, Start};
use milletlock::wire::Priority;

use crate::common::planner::{class, empty_machine, machine_with_tasks, running_task, secs};
use crate::incremental_backfill::BackfillCase;
use crate::sorted_starts;

/// An image that only the second machine has.
const IMAGE: u32 = 7;
/// An image that no machine has.
const MISSING_IMAGE: u32 = 8;

/// An urgent array whose image takes five seconds to fetch.
fn urgent_array(waits_for_image: bool) -> JobClass {
    JobClass {
        priority: Priority::Urgent,
        image: Some(IMAGE),
        image_gb: 1.0,
        waits_for_image,
        preempt_after: secs(-1),
        ..class(6, 15, 1)
    }
}

/// The plan for a class on two machines: an empty one without the image, and one with the image that is half
/// in use.
fn plan_on_two_machines(class: JobClass) -> Plan {
    let low = PlacedTask { remaining: secs(40), lost_work: secs(1), ..running_task(1.0, Priority::Idle) };
    let slow_fetch = MachineSnapshot { fetch_gb_per_s: 0.2, ..empty_machine(4.0) };
    let with_image = MachineSnapshot { images: vec![IMAGE], ..slow_fetch.clone() };
    plan(&Snapshot {
        zone_count: 1,
        machines: vec![slow_fetch, machine_with_tasks(with_image, vec![low; 2])],
        classes: vec![class],
        reserved_headroom: vec![None],
        ..Snapshot::default()
    })
}

/// Guards against an urgent array that starts late everywhere. Its image took longer to fetch than its
/// objective allows, and it started on all free machines, although machines with the image became free a
/// moment later.
#[test]
fn an_array_that_waits_for_its_image_starts_only_on_machines_that_have_it() {
    let starts_on = |machine: usize, count: u32| Start { class: 0, machine, count };
    let fetches = plan_on_two_machines(urgent_array(false));
    let starts = sorted_starts(&fetches.starts);
    assert_eq!((starts, fetches.preempt), (vec![starts_on(0, 4), starts_on(1, 2)], vec![]));
    // Nothing starts on the machine without the image, and tasks are preempted only on the other machine.
    let waits = plan_on_two_machines(urgent_array(true));
    assert_eq!((sorted_starts(&waits.starts), waits.preempt), (vec![starts_on(1, 2)], vec![(1, 0)]));
    // The same holds between two plans.
    let backfill = |class: JobClass| BackfillCase { classes: vec![class], ..Default::default() }.starts();
    let waits = JobClass { image: Some(MISSING_IMAGE), ..urgent_array(true) };
    assert_eq!(backfill(waits.clone()), []);
    let fetches = JobClass { waits_for_image: false, ..waits };
    assert_eq!(backfill(fetches), [(0, 4)]);
}
