//! Tasks that start on a machine between two plans.

use milletlock::sched::{
    queue_order, IncrementalBackfill, JobClass, MachineSnapshot, Snapshot, TasksOfClass, TeamUse,
};
use milletlock::wire::Priority;

use crate::common::planner::{class, empty_machine, need};

/// The image that the machine has cached.
const CACHED_IMAGE: u32 = 7;
/// An image that the machine would have to fetch.
const OTHER_IMAGE: u32 = 1;

/// The state after the latest plan, from which the backfill of one machine starts.
#[derive(Default)]
pub struct BackfillCase {
    pub classes: Vec<JobClass>,
    pub team_uses: Vec<TeamUse>,
    /// Whether the quota blocks a gang of the first team.
    pub gang_blocked_by_quota: bool,
    /// Whether a gang is waiting for capacity.
    pub gang_waits: bool,
}

impl BackfillCase {
    /// The tasks that start on an empty machine with four processors that has [`CACHED_IMAGE`].
    pub fn starts(self) -> Vec<TasksOfClass> {
        let machine = MachineSnapshot { images: vec![CACHED_IMAGE], ..empty_machine(4.0) };
        let snapshot = Snapshot { zone_count: 1, classes: self.classes, ..Snapshot::default() };
        let queue = queue_order(&snapshot.classes).into_iter();
        let mut unplaced: Vec<TasksOfClass> =
            queue.map(|class| (class, snapshot.classes[class].startable_tasks)).collect();
        IncrementalBackfill {
            snapshot: &snapshot,
            contended_types: &[false],
            gang_blocked_by_quota: &[self.gang_blocked_by_quota],
            team_uses: self.team_uses,
            machine: &machine,
            gang_waits: self.gang_waits,
        }
        .starts(&mut unplaced)
    }
}

#[test]
fn classes_whose_image_is_cached_start_first_within_their_group() {
    let with_image =
        |image: u32, waited_s: i64| JobClass { image: Some(image), image_gb: 5.0, ..class(3, 30, waited_s) };
    let starts =
        |classes: Vec<JobClass>| BackfillCase { classes, gang_waits: true, ..Default::default() }.starts();
    // The class that has waited longer has to fetch its image, so it gets what the other class leaves.
    assert_eq!(starts(vec![with_image(OTHER_IMAGE, 20), with_image(CACHED_IMAGE, 10)]), [(1, 3), (0, 1)]);
    // A class that has waited for more than a minute does not wait behind cached images.
    assert_eq!(starts(vec![with_image(OTHER_IMAGE, 70), with_image(CACHED_IMAGE, 10)]), [(0, 3), (1, 1)]);
    // A cached image does not let a class go before a higher priority or before a class with fewer missed
    // objectives.
    let urgent = JobClass { priority: Priority::Urgent, ..with_image(OTHER_IMAGE, 20) };
    assert_eq!(starts(vec![urgent, with_image(CACHED_IMAGE, 10)]), [(0, 3), (1, 1)]);
    let with_missed_objective = JobClass { missed_objectives: 1, ..with_image(CACHED_IMAGE, 90) };
    assert_eq!(starts(vec![with_image(OTHER_IMAGE, 20), with_missed_objective]), [(0, 3), (1, 1)]);
}

/// Guards against leaving all work to the next plan when every team has a quota. Each freed processor then
/// waited for the next heartbeat, which took two seconds or more for tasks that run for fifteen.
#[test]
fn teams_with_quotas_start_tasks_between_plans_up_to_their_quota() {
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
    // The second team's quota allows two tasks, which leaves capacity for the other team.
    assert_eq!(case(of_two_teams(), 8.0).starts(), [(0, 2), (1, 2)]);
    assert_eq!(case(of_two_teams(), 10.0).starts(), [(1, 3)]);
    // The quota blocks a gang of the first team, so that team starts nothing.
    let with_gang_blocked_by_quota =
        BackfillCase { gang_blocked_by_quota: true, ..case(of_two_teams(), 0.0) };
    assert_eq!(with_gang_blocked_by_quota.starts(), [(0, 3)]);
    // A gang is waiting for capacity, so all work of teams with a quota is left to the next plan.
    let with_gang_waiting_for_capacity = BackfillCase { gang_waits: true, ..case(of_two_teams(), 0.0) };
    assert_eq!(with_gang_waiting_for_capacity.starts(), []);
    // Classes of the same team share its quota.
    assert_eq!(case(vec![of_team(1, 20), of_team(1, 10)], 7.0).starts(), [(0, 3)]);
}
