//! A controller of this version beside a leader that keeps no copies of lent jobs' progress: of a version before
//! loans, or of 0.3.0. Elections, records and the follower's transactions are real.

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

/// The start mark rises as under a leader that keeps no copies.
fn raise_start_mark(world: &World) {
    let raised = Change::put("marks/0".to_string(), json!({ JOB: TASKS }));
    world.store().txn(&Txn { guards: Vec::new(), then: vec![raised] }).expect("written");
}

/// Guards against the loss of results that workers reported to a follower after their leader was killed, before
/// an earlier version that led had them forgotten.
#[test]
fn results_that_a_follower_hears_outlast_an_earlier_leader() {
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

/// Guards against the loss of what a follower has heard when it leads itself before it could write that.
#[test]
fn a_follower_that_leads_knows_the_results_that_it_heard() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    let mut follower = follower_with_reported_results(&world, &mut machine);
    follower.fail_over();
    follower.idle_step();
    let copied = world.copied_done();
    assert!(copied.is_superset(&finished), "of {finished:?} just {copied:?} are recorded");
}

/// Guards against the loss of a borrowed task's result: an earlier version halts and forgets those tasks as well.
#[test]
fn results_of_borrowed_tasks_that_a_follower_hears_outlast_an_earlier_leader() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let held = json!({
        "home": "there", "description": spec(5, 10, "batch"), "loans": [{ "number": 5, "tasks": "1-3" }]
    });
    let then = vec![
        Change::put("borrowed/job/wk-000005".to_string(), held),
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
    assert_eq!(machine.started[&3], 1, "it starts again");
}

/// Both versions lead in turn while a follower of this version is alive. What a controller of this version has
/// heard of, with time for one write, never starts again, whichever leader follows.
#[test]
fn what_any_controller_has_heard_outlasts_any_changes_between_the_versions() {
    for seed in 0..24 {
        let mut random = StdRng::seed_from_u64(seed);
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        let mut leader = world.leader();
        leader.submit_and_lend(&mut machine);
        // The tasks of which a result was heard, with how often they had started: some were halted before.
        let mut heard: BTreeMap<u32, usize> = BTreeMap::new();
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
                    note_heard(&mut heard, &machine, machine.pending_results());
                    follower.heartbeat(&mut machine);
                    // Of a job whose record it can read, that version has nothing forgotten.
                    let record = world.store().row(&format!("job/{JOB}")).expect("the job").value;
                    if serde_json::from_value::<production::JobRecord>(record).is_err() {
                        machine.discard_all_tasks();
                    }
                    if random.random_bool(0.5) {
                        follower.keep_progress();
                        leader = world.leader();
                    } else {
                        // It has time for one write; a process that ends before that takes what it heard along.
                        follower.fail_over();
                        follower.idle_step();
                        leader = follower;
                    }
                }
                1 => machine.finish_all(),
                2 => leader.lend(),
                3 => {
                    let mut borrower = world.borrower();
                    let free = borrower.tasks().difference(&borrower.done);
                    borrower.tasks_to_return = free.iter().filter(|_| random.random_bool(0.2)).collect();
                }
                _ => leader.steps(&mut machine, random.random_range(1..5)),
            }
            note_heard(&mut heard, &machine, machine.forgotten_results.clone());
            assert_not_started_since(&heard, &machine, seed);
        }
        world.borrower().tasks_to_return = TaskSet::new();
        world.store().keys.remove(LEADER_KEY);
        run_until_done(&world, &mut world.leader(), &mut machine);
        assert_not_started_since(&heard, &machine, seed);
    }
}

fn note_heard(heard: &mut BTreeMap<u32, usize>, machine: &Machine, tasks: BTreeSet<u32>) {
    for task in tasks {
        heard.entry(task).or_insert(machine.started[&task]);
    }
}

fn assert_not_started_since(heard: &BTreeMap<u32, usize>, machine: &Machine, seed: u64) {
    let again: Vec<_> = heard.iter().filter(|(task, times)| machine.started[task] > **times).collect();
    assert!(again.is_empty(), "seed {seed}: started again: {again:?}");
}

/// Guards against done ranges that no version can read, since a worker lists a task that the job has not.
#[test]
fn a_result_beyond_the_jobs_tasks_is_left_out() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    let none =
        Task { exit_reason: Some(ExitReason::Done), ..Task::new(TaskStage::Exited, Micros::ZERO, Steady(0)) };
    machine.state.tasks.insert((format!("{JOB}/{TASKS}"), 1), none);
    let mut follower = follower_with_reported_results(&world, &mut machine);
    follower.keep_progress();
    assert!(world.copied_done().iter().all(|task| *task < TASKS), "{:?}", world.copied_done());
    follower.fail_over();
    follower.steps(&mut machine, SETTLE_STEPS);
    let recorded = world.recorded_done();
    assert!(recorded.is_superset(&finished) && recorded.iter().all(|task| *task < TASKS), "{recorded:?}");
}

/// Guards against the loss of results that a leader had accepted while the state store refused its writes.
#[test]
fn results_that_a_leader_could_not_write_outlast_an_earlier_one() {
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

/// Guards against the loss of rows that 0.3.0 wrote without copies, when a version before loans leads next.
#[test]
fn a_controller_beside_0_3_0_copies_what_that_leader_wrote() {
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
    assert!(stored >= u64::from(mark), "of the start mark {mark} {stored} is stored");
    world.run_earlier_leader();
    assert_none_starts_again(&world, &mut machine, &finished);
}

/// Guards against copies that would bring an ended job back, or stay behind it.
#[test]
fn copies_of_a_job_that_ends_under_0_3_0_revive_nothing_and_go() {
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
    assert_eq!(late.len(), 2, "done ranges and the start mark");
    // The end as 0.3.0 writes it.
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
    let left: Vec<String> = world.store().rows("lent/").into_iter().map(|row| row.key).collect();
    assert!(left.is_empty(), "{left:?}");
}

/// Guards against an older copy that is carried out late, after a newer one.
#[test]
fn a_late_copy_does_not_replace_a_newer_one() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    let client = world.state_client();
    let jobs = read_jobs_with_loans(&client, |error| panic!("{error}")).expect("jobs");
    let marks = read_start_marks(&client).expect("start marks");
    let progress = jobs[0].read_progress(&client, &marks).expect("its progress");
    let copies = |heard: &str| progress.missing_copies(&TaskSet::parse(heard).expect("tasks"), 4096);
    let (older, newer) = (copies("0-1"), copies("0-3"));
    let mut outcomes = newer.iter().chain(&older).map(|txn| client.txn(txn, RequestPriority::Background));
    assert!(matches!(outcomes.next(), Some(Ok(TxnOutcome::Committed(_)))));
    assert!(outcomes.all(|outcome| matches!(outcome, Ok(TxnOutcome::Conflict(_)))));
    assert!(world.copied_done().is_superset(&(0..4).collect()));
}

/// Guards against a start mark that 0.3.0 raises and a version before loans then removes.
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
    assert_eq!(world.store().revision, revision, "what is copied is not written again");
}

/// Copies that are older than the rows beside them take nothing away, nor do they lower a start mark.
#[test]
fn old_copies_beside_newer_rows_change_nothing() {
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

/// Guards against a follower that writes beside a leader which keeps the copies itself.
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
