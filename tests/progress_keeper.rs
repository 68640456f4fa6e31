//! The rounds of a follower beside a leader that keeps no copies of lent jobs' progress: their bounds, what the
//! status shows of them, and which of the results that were heard they can count on.

mod common;

use common::leader_without_copies::{assert_none_runs_again, follower_that_hears, NO_VERSION};
use common::lending_world::{Leader, Machine, World, SETTLED};
use common::spec;
use common::worker::Task;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{Change, ExitReason, TaskStage, Txn};
use serde_json::json;

/// Records of jobs of which tasks 0 and 1 are borrowed: `wk-000100` and following.
fn borrow_jobs(world: &World, jobs: usize) {
    for n in 0..jobs {
        let description = spec(100 + n as u32, 2, "batch");
        let held = json!({ "home": "there", "description": description, "loans": [{ "number": 5, "tasks": "0-1" }] });
        let record = Change::put(format!("borrowed/job/wk-0001{n:02}"), held);
        world.store().txn(&Txn { guards: Vec::new(), then: vec![record] }).expect("written");
    }
}

/// Jobs with loans and those without copies, as a controller's status shows them to operators.
fn lent_progress(controller: &Leader) -> Option<(u64, u64)> {
    let status = controller.status();
    let progress = status.get("lent_progress")?;
    Some((progress["jobs"].as_u64()?, progress["without_copies"].as_u64()?))
}

/// Guards against a version before loans that leads too soon: the status of any controller shows how many jobs
/// still lack copies.
#[test]
fn the_status_counts_jobs_without_copies_down_to_none() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.begin_and_lend(&mut machine);
    machine.finish_all();
    leader.steps(&mut machine, SETTLED);
    assert_eq!(lent_progress(&leader), Some((1, 0)), "at a leader that makes copies");
    world.remove_copies();
    borrow_jobs(&world, 9);
    let mut follower = world.follower();
    assert_eq!(lent_progress(&follower), None, "nothing is known before a round");
    follower.hears_of_leader("0.3.0");
    follower.keep_progress();
    assert_eq!(lent_progress(&follower), Some((10, 2)), "eight jobs a round");
    follower.keep_progress();
    assert_eq!(lent_progress(&follower), Some((10, 0)));
    follower.hears_of_leader("0.3.2");
    follower.keep_progress();
    assert_eq!(lent_progress(&follower), None, "the leader has the count");
}

/// Guards against a count of none while a record cannot be read.
#[test]
fn unreadable_records_count_as_jobs_without_copies() {
    let world = World::new();
    let unreadable = Change::put("borrowed/job/wk-000100".to_string(), json!({ "home": 3 }));
    world.store().txn(&Txn { guards: Vec::new(), then: vec![unreadable] }).expect("written");
    world.leader();
    let mut follower = world.follower();
    follower.hears_of_leader("0.3.0");
    follower.keep_progress();
    assert_eq!(lent_progress(&follower), Some((1, 1)));
}

/// Guards against a store of results that is full of jobs without loans: what was heard of lent jobs after that
/// was left out.
#[test]
fn results_of_lent_jobs_are_kept_when_many_others_were_heard() {
    const RESULTS: u32 = 10_000;
    const HEARTBEATS: u32 = 20;
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.begin_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.held_results();
    let mut follower = world.follower();
    world.earlier_version_leads();
    follower.hears_of_leader(NO_VERSION);
    for n in 0..HEARTBEATS {
        let mut other = Machine::new("i-000002");
        let done =
            || Task { why: Some(ExitReason::Done), ..Task::new(TaskStage::Exited, Micros::ZERO, Steady(0)) };
        other.state.tasks = (0..RESULTS).map(|task| ((format!("wk-9000{n:02}/{task}"), 1), done())).collect();
        follower.heartbeat(&mut other);
    }
    follower.heartbeat(&mut machine);
    machine.lose_all();
    follower.keep_progress();
    world.earlier_version_leads();
    assert_none_runs_again(&world, &mut machine, &finished);
}

/// Guards against rounds that take the store's rate from users: with results for all jobs, a round read and wrote
/// every one of them. Its bound holds then too, and no job is left out for long.
#[test]
fn rounds_are_bounded_when_results_of_all_jobs_were_heard() {
    const JOBS: usize = 30;
    const MOST_A_ROUND: usize = 8;
    let world = World::new();
    let id = |n: usize| format!("wk-0001{n:02}");
    borrow_jobs(&world, JOBS);
    let mut machine = Machine::new("i-000001");
    for n in 0..JOBS {
        let done =
            Task { why: Some(ExitReason::Done), ..Task::new(TaskStage::Exited, Micros::ZERO, Steady(0)) };
        machine.state.tasks.insert((format!("{}/0", id(n)), 1), done);
    }
    let mut follower = follower_that_hears(&world, &mut machine);
    let copied = || world.store().rows("borrowed/done/").len();
    let mut rounds = Vec::new();
    while copied() < JOBS && rounds.len() < JOBS {
        let before = copied();
        follower.keep_progress();
        rounds.push(copied() - before);
    }
    assert_eq!(rounds.iter().sum::<usize>(), JOBS, "{rounds:?}");
    assert!(rounds.iter().all(|jobs| (1..=MOST_A_ROUND).contains(jobs)), "{rounds:?}");
}
