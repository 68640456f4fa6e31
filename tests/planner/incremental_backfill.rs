//! What starts on a machine between two plans.

use milletlock::sched::{
    queue_order, IncrementalBackfill, JobClass, MachineSnapshot, Snapshot, TasksOfClass, TeamUse,
};
use milletlock::wire::Priority;

use crate::common::planner::{class, empty_machine, need};

/// The image that the machine has.
const CACHED_IMAGE: u32 = 7;
/// An image that it has to fetch.
const OTHER_IMAGE: u32 = 1;

/// The state that the last plan left to the backfill.
#[derive(Default)]
pub struct BackfillCase {
    pub classes: Vec<JobClass>,
    pub team_uses: Vec<TeamUse>,
    /// A gang of the first team waits for its quota.
    pub gang_blocked_by_quota: bool,
    /// A gang waits for capacity.
    pub gang_waits: bool,
}

impl BackfillCase {
    /// What starts on an empty machine of four processors that has [`CACHED_IMAGE`].
    pub fn starts(self) -> Vec<TasksOfClass> {
        let machine = MachineSnapshot { images: vec![CACHED_IMAGE], ..empty_machine(4.0) };
        let snapshot = Snapshot { zone_count: 1, classes: self.classes, ..Snapshot::default() };
        let queue = queue_order(&snapshot.classes).into_iter();
        let mut unmet: Vec<TasksOfClass> =
            queue.map(|class| (class, snapshot.classes[class].startable_tasks)).collect();
        IncrementalBackfill {
            snapshot: &snapshot,
            contended_types: &[false],
            gang_blocked_by_quota: &[self.gang_blocked_by_quota],
            team_uses: self.team_uses,
            machine: &machine,
            gang_waits: self.gang_waits,
        }
        .starts(&mut unmet)
    }
}

#[test]
fn between_plans_a_machine_takes_first_what_it_has_the_image_for() {
    let with_image =
        |image: u32, waited_s: i64| JobClass { image: Some(image), image_gb: 5.0, ..class(3, 30, waited_s) };
    let starts =
        |classes: Vec<JobClass>| BackfillCase { classes, gang_waits: true, ..Default::default() }.starts();
    // The older one has to fetch: it gets what is left.
    assert_eq!(starts(vec![with_image(OTHER_IMAGE, 20), with_image(CACHED_IMAGE, 10)]), [(1, 3), (0, 1)]);
    // Not for ever, and never past a higher priority or one that is not late.
    assert_eq!(starts(vec![with_image(OTHER_IMAGE, 70), with_image(CACHED_IMAGE, 10)]), [(0, 3), (1, 1)]);
    let urgent = JobClass { priority: Priority::Urgent, ..with_image(OTHER_IMAGE, 20) };
    assert_eq!(starts(vec![urgent, with_image(CACHED_IMAGE, 10)]), [(0, 3), (1, 1)]);
    let late = JobClass { missed_objectives: 1, ..with_image(CACHED_IMAGE, 90) };
    assert_eq!(starts(vec![with_image(OTHER_IMAGE, 20), late]), [(0, 3), (1, 1)]);
}

/// With a quota for every team, what was left to the next plan was all work: each processor that came free
/// waited for the next heartbeat, two seconds or more of tasks that take fifteen.
#[test]
fn between_plans_teams_start_as_much_as_their_quota_allows() {
    let of_team = |team: usize, waited_s: i64| JobClass { team, ..class(3, 30, waited_s) };
    let of_two_teams = || vec![of_team(1, 20), of_team(0, 10)];
    let uses = |cpus_of_second_team: f64| {
        let limited = |cpus: f64| TeamUse { used: need(cpus), cpu_quota: 10.0, gpu_quota: 0.0 };
        vec![limited(0.0), limited(cpus_of_second_team)]
    };
    let case = |classes: Vec<JobClass>, cpus_of_second_team: f64| BackfillCase {
        classes,
        team_uses: uses(cpus_of_second_team),
        ..Default::default()
    };
    assert_eq!(case(of_two_teams(), 0.0).starts(), [(0, 3), (1, 1)]);
    // What the quota lets start of the one leaves capacity for the other.
    assert_eq!(case(of_two_teams(), 8.0).starts(), [(0, 2), (1, 2)]);
    assert_eq!(case(of_two_teams(), 10.0).starts(), [(1, 3)]);
    // A gang of the second one's team waits for what comes free of its quota.
    let quota_awaited = BackfillCase { gang_blocked_by_quota: true, ..case(of_two_teams(), 0.0) };
    assert_eq!(quota_awaited.starts(), [(0, 3)]);
    // A gang waits for capacity: it is left to the next plan.
    let capacity_awaited = BackfillCase { gang_waits: true, ..case(of_two_teams(), 0.0) };
    assert_eq!(capacity_awaited.starts(), []);
    // Classes of one team share its quota.
    assert_eq!(case(vec![of_team(1, 20), of_team(1, 10)], 7.0).starts(), [(0, 3)]);
}
