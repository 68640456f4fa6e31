//! The order of the queue.

use milletlock::sched::{queue_order, JobClass};
use milletlock::wire::Priority;

use crate::common::planner::{class, secs};

#[test]
fn the_queue_goes_by_priority_then_by_the_cubed_ratio_times_size() {
    let base = class(2, 10, 20);
    // (20/10)^3 x 2 = 16; (30/10)^3 x 1 = 27; (20/10)^3 x 4 = 32; urgent whatever its score.
    let waited_longer = JobClass { waited: secs(30), startable_tasks: 1, ..base.clone() };
    let larger = JobClass { startable_tasks: 4, ..base.clone() };
    let urgent = JobClass { priority: Priority::Urgent, waited: secs(1), ..base.clone() };
    let within_fair_share =
        JobClass { within_fair_share: true, priority: Priority::Idle, waited: secs(1), ..base.clone() };
    // Whoever missed more objectives yields, however long it waited.
    let missed_one = JobClass { missed_objectives: 1, waited: secs(900), ..base.clone() };
    let missed_two = JobClass { missed_objectives: 2, waited: secs(9000), ..base.clone() };
    let classes =
        [missed_two, missed_one, base.clone(), waited_longer, larger, urgent.clone(), within_fair_share];
    assert_eq!(queue_order(&classes), [6, 5, 4, 3, 2, 1, 0]);
    // One that waited for long counts as urgent, never behind its own priority and not above the urgent.
    let aged = JobClass { aged_priority: Some(Priority::Urgent), ..base.clone() };
    let aged_critical = JobClass { priority: Priority::Critical, waited: secs(1), ..aged.clone() };
    assert_eq!(queue_order(&[base, urgent, aged, aged_critical]), [3, 2, 1, 0]);
}
