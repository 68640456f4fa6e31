//! A follower of this version beside a leader that keeps no copies of lent jobs' progress: a leader of a
//! version before 0.3, or of 0.3.0. The follower must copy that progress, and the results that workers report
//! to it, before they are lost. The elections, the records and the follower's transactions are those of the
//! real program.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;

use common::leader_without_copies::{
    assert_none_starts_again, follower_with_reported_results, run_until_done, NO_VERSION,
};
use common::lending_world::{Machine, World, JOB, SETTLE_STEPS, TASKS};
use common::worker::Task;
use common::{production, spec};
use milletlock::leadership::{read_jobs_with_loans, read_start_marks, LEADER_KEY};
use milletlock::state::{RequestPriority, TxnOutcome};
use milletlock::time::{Micros, Steady};
use milletlock::wire::{Change, ExitReason, TaskStage, Txn};
use milletlock_cells::TaskSet;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Raises the job's start mark without a copy, as a leader does that keeps no copies.
fn raise_start_mark(world: &World) {
    let raised = Change::put("marks/0".to_string(), json!({ JOB: TASKS }));
    world.store().txn(&Txn { guards: Vec::new(), then: vec![raised] }).expect("written");
}

/// Guards against the loss of results that a worker reported to a follower, after their leader was killed and
/// before a leader of an earlier version told the worker to forget them.
#[test]
fn results_reported_to_a_follower_are_not_lost_under_an_earlier_leader() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    let mut follower = follower_with_reported_results(&world, &mut machine);
    follower.keep_progress();
    world.run_earlier_leader();
    assert_none_starts_again(&world, &mut machine, &finished);
}

/// Guards against the loss of results reported to a follower that becomes the leader before it has written
/// them.
#[test]
fn a_follower_that_becomes_leader_writes_the_results_reported_to_it() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    let mut follower = follower_with_reported_results(&world, &mut machine);
    follower.fail_over();
    follower.idle_step();
    let copied = world.copied_done();
    assert!(copied.is_superset(&finished), "finished {finished:?}, but only {copied:?} are copied");
}

/// Guards against the loss of a borrowed task's result: an earlier version halts and forgets borrowed tasks
/// as well.
#[test]
fn results_of_borrowed_tasks_reported_to_a_follower_are_not_lost_under_an_earlier_leader() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let borrowed = json!({
        "home": "there", "description": spec(5, 10, "batch"), "loans": [{ "number": 5, "tasks": "1-3" }]
    });
    let then = vec![
        Change::put("borrowed/job/wk-000005".to_string(), borrowed),
        Change::put("borrowed/done/wk-000005/0".to_string(), json!("1-2")),
        Change::put("borrowed/lender/there".to_string(), json!({ "high_water": 5, "finished": 0 })),
    ];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(machine.running(), BTreeSet::from([3]));
    machine.finish_all();
    let mut follower = follower_with_reported_results(&world, &mut machine);
    follower.keep_progress();
    world.run_earlier_leader();
    let rows = world.store().rows("borrowed/done/wk-000005/");
    assert!(rows.iter().any(|row| row.value == json!("1-3")), "{rows:?}");
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(machine.started[&3], 1, "the finished borrowed task started again");
}

/// Both versions lead in turn while a follower of this version runs. A task whose result was reported to a
/// controller of this version, which then had time for one write, must not start again under any later
/// leader.
#[test]
fn no_result_reported_to_any_controller_is_lost_in_random_changes_between_the_versions() {
    for seed in 0..24 {
        let mut random = StdRng::seed_from_u64(seed);
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        let mut leader = world.leader();
        leader.submit_and_lend(&mut machine);
        // The tasks whose result was reported, each with the number of its starts by then. That number may be
        // above one, as an attempt may have been halted before.
        let mut reported: BTreeMap<u32, usize> = BTreeMap::new();
        for _ in 0..30 {
            match random.random_range(0..5) {
                0 => {
                    let mut follower = world.follower();
                    world.run_earlier_leader();
                    follower.receive_leader_announcement(if random.random_bool(0.5) {
                        NO_VERSION
                    } else {
                        "0.3.0"
                    });
                    record_results(&mut reported, &machine, machine.pending_results());
                    follower.heartbeat(&mut machine);
                    // If the earlier version can read the job's record, it tells the worker to forget no
                    // result that is not recorded.
                    let record = world.store().row(&format!("job/{JOB}")).expect("the job").value;
                    if serde_json::from_value::<production::JobRecord>(record).is_err() {
                        machine.discard_all_tasks();
                    }
                    if random.random_bool(0.5) {
                        follower.keep_progress();
                        leader = world.leader();
                    } else {
                        // The new leader has time for one write. If its process ended before, the reported
                        // results would be lost.
                        follower.fail_over();
                        follower.idle_step();
                        leader = follower;
                    }
                }
                1 => machine.finish_all(),
                2 => leader.lend(),
                3 => {
                    let mut borrower = world.borrower();
                    let unfinished = borrower.tasks().difference(&borrower.done);
                    borrower.tasks_to_return =
                        unfinished.iter().filter(|_| random.random_bool(0.2)).collect();
                }
                _ => leader.steps(&mut machine, random.random_range(1..5)),
            }
            record_results(&mut reported, &machine, machine.forgotten_results.clone());
            assert_not_started_since(&reported, &machine, seed);
        }
        world.borrower().tasks_to_return = TaskSet::new();
        world.store().keys.remove(LEADER_KEY);
        run_until_done(&world, &mut world.leader(), &mut machine);
        assert_not_started_since(&reported, &machine, seed);
    }
}

/// Records reported results, each with the number of the task's starts so far.
fn record_results(reported: &mut BTreeMap<u32, usize>, machine: &Machine, tasks: BTreeSet<u32>) {
    for task in tasks {
        reported.entry(task).or_insert(machine.started[&task]);
    }
}

/// Asserts that no task has started after its result was reported.
fn assert_not_started_since(reported: &BTreeMap<u32, usize>, machine: &Machine, seed: u64) {
    let again: Vec<_> = reported.iter().filter(|(task, times)| machine.started[task] > **times).collect();
    assert!(again.is_empty(), "seed {seed}: started again: {again:?}");
}

/// Guards against unreadable done ranges after a worker has reported a task number that the job does not
/// have.
#[test]
fn a_result_with_a_task_number_beyond_the_jobs_tasks_is_ignored() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    let beyond =
        Task { exit_reason: Some(ExitReason::Done), ..Task::new(TaskStage::Exited, Micros::ZERO, Steady(0)) };
    machine.state.tasks.insert((format!("{JOB}/{TASKS}"), 1), beyond);
    let mut follower = follower_with_reported_results(&world, &mut machine);
    follower.keep_progress();
    assert!(world.copied_done().iter().all(|task| *task < TASKS), "{:?}", world.copied_done());
    follower.fail_over();
    follower.steps(&mut machine, SETTLE_STEPS);
    let recorded = world.recorded_done();
    assert!(recorded.is_superset(&finished) && recorded.iter().all(|task| *task < TASKS), "{recorded:?}");
}

/// Guards against the loss of results that a leader had accepted while the state store refused its writes,
/// when an earlier version leads next.
#[test]
fn results_that_a_leader_could_not_write_are_not_lost_under_an_earlier_leader() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    let mut leader = world.follower();
    leader.fail_over();
    leader.steps(&mut machine, SETTLE_STEPS);
    world.refuses_copies.store(true, Ordering::SeqCst);
    machine.finish_all();
    let finished = machine.pending_results();
    assert!(!finished.is_empty());
    assert_eq!(leader.heartbeat(&mut machine), 200);
    leader.controller.write_once();
    world.run_earlier_leader();
    machine.discard_all_tasks();
    world.refuses_copies.store(false, Ordering::SeqCst);
    leader.receive_leader_announcement(NO_VERSION);
    leader.keep_progress();
    world.run_earlier_leader();
    assert_none_starts_again(&world, &mut machine, &finished);
}

/// Guards against the loss of progress that 0.3.0 wrote without copies, when a version before 0.3 leads next.
#[test]
fn a_follower_beside_0_3_0_copies_the_progress_that_the_leader_wrote() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    leader.steps(&mut machine, SETTLE_STEPS);
    let finished = machine.forgotten_results.clone();
    assert!(!finished.is_empty());
    world.remove_copies();
    let mark = production::marks_in(&world.store())[JOB];
    let mut follower = world.follower();
    follower.receive_leader_announcement("0.3.0");
    follower.keep_progress();
    assert_eq!(world.copied_done(), world.recorded_done());
    let record = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    let stored = world.copied_mark().max(record["high"].as_u64().unwrap_or(0));
    assert!(stored >= u64::from(mark), "the start mark is {mark}, but its copy is {stored}");
    world.run_earlier_leader();
    assert_none_starts_again(&world, &mut machine, &finished);
}

/// Guards against copies that are written after their job has ended and make it live again, or are never
/// removed.
#[test]
fn late_copies_of_a_job_that_ended_under_0_3_0_are_refused_and_older_ones_removed() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    leader.steps(&mut machine, SETTLE_STEPS);
    raise_start_mark(&world);
    let client = world.state_client();
    let jobs = read_jobs_with_loans(&client, |error| panic!("{error}")).expect("jobs");
    let marks = read_start_marks(&client).expect("start marks");
    let progress = jobs[0].read_progress(&client, &marks).expect("its progress");
    let all = TaskSet::span(0, TASKS);
    let late = progress.missing_copies(&all, 4096);
    assert_eq!(late.len(), 2, "expected a copy of the done ranges and one of the start mark");
    // 0.3.0 ends the job without removing its copies.
    world.store().keys.retain(|key, _| !key.starts_with("job/") && !key.starts_with("done/"));
    let ended = json!({ "stage": "done", "tasks": TASKS });
    let end = Txn { guards: Vec::new(), then: vec![Change::put(format!("final/{JOB}"), ended)] };
    world.store().txn(&end).expect("written");
    for txn in &late {
        let outcome = client.txn(txn, RequestPriority::Background).expect("an answer");
        assert!(matches!(outcome, TxnOutcome::Conflict(_)), "{outcome:?}");
    }
    let mut follower = world.follower();
    follower.receive_leader_announcement("0.3.0");
    follower.keep_progress();
    let started: usize = machine.started.values().sum();
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(leader.stage(), "done");
    assert_eq!(machine.started.values().sum::<usize>(), started);
    let remaining: Vec<String> = world.store().rows("lent/").into_iter().map(|row| row.key).collect();
    assert!(remaining.is_empty(), "{remaining:?}");
}

/// Guards against the write of an older copy that is executed after the write of a newer one.
#[test]
fn a_late_copy_does_not_replace_a_newer_one() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    let client = world.state_client();
    let jobs = read_jobs_with_loans(&client, |error| panic!("{error}")).expect("jobs");
    let marks = read_start_marks(&client).expect("start marks");
    let progress = jobs[0].read_progress(&client, &marks).expect("its progress");
    let copies = |reported: &str| progress.missing_copies(&TaskSet::parse(reported).expect("tasks"), 4096);
    let (older, newer) = (copies("0-1"), copies("0-3"));
    let mut outcomes = newer.iter().chain(&older).map(|txn| client.txn(txn, RequestPriority::Background));
    assert!(matches!(outcomes.next(), Some(Ok(TxnOutcome::Committed(_)))));
    assert!(outcomes.all(|outcome| matches!(outcome, Ok(TxnOutcome::Conflict(_)))));
    assert!(world.copied_done().is_superset(&(0..4).collect()));
}

/// Guards against the loss of a start mark that 0.3.0 raises and a version before 0.3 then removes.
#[test]
fn a_start_mark_that_0_3_0_raises_is_copied() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    raise_start_mark(&world);
    let mut follower = world.follower();
    follower.receive_leader_announcement("0.3.0");
    follower.keep_progress();
    assert_eq!(world.copied_mark(), u64::from(TASKS));
    let revision = world.store().revision;
    follower.keep_progress();
    assert_eq!(world.store().revision, revision, "a complete copy was written again");
}

/// Copies that are older than the done ranges and start marks that other leaders wrote must not remove
/// results or lower a start mark.
#[test]
fn copies_older_than_the_other_rows_change_nothing() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    leader.steps(&mut machine, SETTLE_STEPS);
    let old: Vec<_> = world.store().rows("lent/");
    for _ in 0..2 {
        machine.finish_all();
        leader.steps(&mut machine, SETTLE_STEPS);
    }
    let finished = machine.forgotten_results.clone();
    let mark = production::marks_in(&world.store())[JOB];
    world.remove_copies();
    let then = old.into_iter().map(|row| Change::put(row.key, row.value)).collect();
    let txn = Txn { guards: Vec::new(), then };
    world.store().txn(&txn).expect("written");
    let mut next = world.leader();
    next.steps(&mut machine, SETTLE_STEPS);
    assert!(production::marks_in(&world.store())[JOB] >= mark);
    assert!(world.copied_done().is_superset(&finished));
    assert_none_starts_again(&world, &mut machine, &finished);
}

/// Guards against a follower that writes copies although the leader keeps them itself.
#[test]
fn a_follower_of_this_version_leaves_the_copies_to_the_leader() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let mut follower = world.follower();
    follower.receive_leader_announcement(env!("CARGO_PKG_VERSION"));
    follower.heartbeat(&mut machine);
    let revision = world.store().revision;
    follower.keep_progress();
    assert_eq!(world.store().revision, revision);
}
