//! Rounds in which a follower copies the progress of jobs with loans, while the leader is of a version that
//! keeps no copies. The tests check the bounds of a round, the counts in the status, and which reported
//! results are used.

mod common;

use common::leader_without_copies::{assert_none_starts_again, follower_with_reported_results, NO_VERSION};
use common::lending_world::{Leader, Machine, World, SETTLE_STEPS};
use common::spec;
use common::worker::Task;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{Change, ExitReason, TaskStage, Txn};
use serde_json::json;

/// Writes the records of `jobs` jobs, each with tasks 0 and 1 borrowed. The ids begin with `wk-000100`.
fn borrow_jobs(world: &World, jobs: usize) {
    for index in 0..jobs {
        let description = spec(100 + index as u32, 2, "batch");
        let job = json!({
            "home": "there", "description": description, "loans": [{ "number": 5, "tasks": "0-1" }]
        });
        let record = Change::put(format!("borrowed/job/wk-0001{index:02}"), job);
        world.store().txn(&Txn { guards: Vec::new(), then: vec![record] }).expect("written");
    }
}

/// Numbers of jobs with loans, and of those without copies, in a controller's status; none if it shows no
/// numbers.
fn lent_progress(controller: &Leader) -> Option<(u64, u64)> {
    let status = controller.status();
    let progress = status.get("lent_progress")?;
    Some((progress["jobs"].as_u64()?, progress["without_copies"].as_u64()?))
}

/// An operator must not let a version without loans lead before all jobs with loans have copies. Therefore
/// the status of every controller shows how many jobs still lack copies.
#[test]
fn the_status_counts_jobs_without_copies_until_all_have_copies() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(
        lent_progress(&leader),
        Some((1, 0)),
        "a leader of this version has copied the progress of its only job"
    );
    world.remove_copies();
    borrow_jobs(&world, 9);
    let mut follower = world.follower();
    assert_eq!(lent_progress(&follower), None, "before its first round a follower shows no numbers");
    follower.receive_leader_announcement("0.3.0");
    follower.keep_progress();
    assert_eq!(lent_progress(&follower), Some((10, 2)), "one round copies the progress of eight jobs");
    follower.keep_progress();
    assert_eq!(lent_progress(&follower), Some((10, 0)));
    follower.receive_leader_announcement("0.3.2");
    follower.keep_progress();
    assert_eq!(
        lent_progress(&follower),
        None,
        "a follower shows no numbers if the leader keeps copies itself"
    );
}

/// Guards against a status that shows no job without copies while a record cannot be read.
#[test]
fn unreadable_records_count_as_jobs_without_copies() {
    let world = World::new();
    let unreadable = Change::put("borrowed/job/wk-000100".to_string(), json!({ "home": 3 }));
    world.store().txn(&Txn { guards: Vec::new(), then: vec![unreadable] }).expect("written");
    world.leader();
    let mut follower = world.follower();
    follower.receive_leader_announcement("0.3.0");
    follower.keep_progress();
    assert_eq!(lent_progress(&follower), Some((1, 1)));
}

/// Guards against a fault in which the bounded buffer of reported results was full of results of jobs without
/// loans, so that results of lent jobs that were reported later were dropped.
#[test]
fn results_of_lent_jobs_are_kept_after_many_results_of_other_jobs() {
    const RESULTS: u32 = 10_000;
    const HEARTBEATS: u32 = 20;
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    let mut follower = world.follower();
    world.run_earlier_leader();
    follower.receive_leader_announcement(NO_VERSION);
    for index in 0..HEARTBEATS {
        let mut other = Machine::new("i-000002");
        let done = || Task {
            exit_reason: Some(ExitReason::Done),
            ..Task::new(TaskStage::Exited, Micros::ZERO, Steady(0))
        };
        other.state.tasks =
            (0..RESULTS).map(|task| ((format!("wk-9000{index:02}/{task}"), 1), done())).collect();
        follower.heartbeat(&mut other);
    }
    follower.heartbeat(&mut machine);
    machine.discard_all_tasks();
    follower.keep_progress();
    world.run_earlier_leader();
    assert_none_starts_again(&world, &mut machine, &finished);
}

/// Guards against a fault in which a round read and wrote all jobs with reported results, and so used up the
/// state store's rate limit that users' requests need. A round is bounded in this case too, and all jobs get
/// their turn.
#[test]
fn rounds_are_bounded_when_results_of_all_jobs_were_reported() {
    const JOBS: usize = 30;
    const MAX_JOBS_PER_ROUND: usize = 8;
    let world = World::new();
    let id = |index: usize| format!("wk-0001{index:02}");
    borrow_jobs(&world, JOBS);
    let mut machine = Machine::new("i-000001");
    for index in 0..JOBS {
        let done = Task {
            exit_reason: Some(ExitReason::Done),
            ..Task::new(TaskStage::Exited, Micros::ZERO, Steady(0))
        };
        machine.state.tasks.insert((format!("{}/0", id(index)), 1), done);
    }
    let mut follower = follower_with_reported_results(&world, &mut machine);
    let copied = || world.store().rows("borrowed/done/").len();
    let mut rounds = Vec::new();
    while copied() < JOBS && rounds.len() < JOBS {
        let before = copied();
        follower.keep_progress();
        rounds.push(copied() - before);
    }
    assert_eq!(rounds.iter().sum::<usize>(), JOBS, "{rounds:?}");
    assert!(rounds.iter().all(|jobs| (1..=MAX_JOBS_PER_ROUND).contains(jobs)), "{rounds:?}");
}
