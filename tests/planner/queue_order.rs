//! The order of the queue.

use milletlock::sched::{queue_order, JobClass};
use milletlock::wire::Priority;

use crate::common::planner::{class, secs};

#[test]
fn queue_is_ordered_by_fair_share_priority_missed_objectives_and_score() {
    let base = class(2, 10, 20);
    // The scores are (20/10)^3 x 2 = 16 for `base`, (30/10)^3 x 1 = 27 for `waited_longer` and (20/10)^3 x 4
    // = 32 for `larger`. The urgent class goes before them regardless of its score.
    let waited_longer = JobClass { waited: secs(30), startable_tasks: 1, ..base.clone() };
    let larger = JobClass { startable_tasks: 4, ..base.clone() };
    let urgent = JobClass { priority: Priority::Urgent, waited: secs(1), ..base.clone() };
    let within_fair_share =
        JobClass { within_fair_share: true, priority: Priority::Idle, waited: secs(1), ..base.clone() };
    // Classes that have missed more objectives go last, however long they have waited.
    let missed_one = JobClass { missed_objectives: 1, waited: secs(900), ..base.clone() };
    let missed_two = JobClass { missed_objectives: 2, waited: secs(9000), ..base.clone() };
    let classes =
        [missed_two, missed_one, base.clone(), waited_longer, larger, urgent.clone(), within_fair_share];
    assert_eq!(queue_order(&classes), [6, 5, 4, 3, 2, 1, 0]);
    // A class that has waited long goes among the urgent ones. If its own priority is higher than that, its
    // own priority counts.
    let aged = JobClass { aged_priority: Some(Priority::Urgent), ..base.clone() };
    let aged_critical = JobClass { priority: Priority::Critical, waited: secs(1), ..aged.clone() };
    assert_eq!(queue_order(&[base, urgent, aged, aged_critical]), [3, 2, 1, 0]);
}
