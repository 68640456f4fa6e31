//! A leader of the version in production leads a cell while a job of this cell has loans.
//!
//! The failure: a version before 0.3 cannot read the record of a job with loans. It logs
//! `a record cannot be read` with the job's key, starts none of the lent tasks, and takes the job for an
//! ended one. It removes the job's `done/<id>/<chunk>` rows, one transaction each, and its entry in
//! `marks/<slot>`, since a row in itself does not say that its job is live (`Fleet::inherit_done` and
//! `Fleet::inherit_marks`, src/fleet.rs of that version). The next leader of this version then finds a job
//! without finished tasks and without a start mark: finished tasks run again, and a task that still runs on
//! an unreachable machine is started or lent a second time. This version therefore keeps copies of the
//! progress under keys that earlier versions do not read.
//!
//! Without these copies the tests failed with `finished tasks start again: {0, 1, 2, 3, 4, 5, 6, 7}`,
//! `{23, 24} lacks some of {0, 1, 2, 3, 4, 5, 6, 7}` (the done ranges that were left), and
//! `tasks that may run on the silent machine are lent: [22, 23]`.

mod common;

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use milletlock::time::Micros;
use milletlock_cells::TaskSet;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use common::leader_without_copies::{run_until_done, MAX_STEPS};
use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS, TASKS};
use common::{production, spec};

/// Time between two results of a machine. It is shorter than the time between two writes of results of jobs
/// without loans.
const BETWEEN_RESULTS: Micros = Micros::from_millis(100);

/// Completes tasks at the lender and two tasks at the borrower, and lets the leader record them. Loans remain
/// open.
fn complete_tasks_in_both_cells(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    leader.submit();
    leader.steps(machine, SETTLE_STEPS);
    machine.finish_all();
    leader.steps(machine, 1);
    leader.lend_until_accepted(machine);
    leader.steps(machine, SETTLE_STEPS);
    machine.finish_all();
    leader.steps(machine, SETTLE_STEPS);
    let last: TaskSet = world.borrower().tasks().iter().skip(1).take(2).collect();
    assert_eq!(last.len(), 2, "tasks are lent");
    world.borrower().done = last;
    leader.lend();
    leader.steps(machine, SETTLE_STEPS);
}

/// The tasks of `finished` that have started more than once on the machine.
fn started_again(machine: &Machine, finished: &BTreeSet<u32>) -> BTreeSet<u32> {
    finished.iter().filter(|task| machine.started.get(task).is_some_and(|n| *n > 1)).copied().collect()
}

/// Guards against finished tasks that run again after an earlier version has removed the job's done ranges.
#[test]
fn finished_tasks_of_a_job_with_loans_do_not_run_again_after_an_earlier_leader() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    complete_tasks_in_both_cells(&world, &mut leader, &mut machine);
    let finished = machine.forgotten_results.clone();
    let at_borrower: BTreeSet<u32> = world.borrower().done.iter().collect();
    assert!(!finished.is_empty() && !at_borrower.is_empty(), "no task is done in one of the cells");
    // Two terms of the earlier version in succession.
    world.run_earlier_leader();
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    let again = started_again(&machine, &finished);
    assert!(again.is_empty(), "finished tasks start again: {again:?}");
    let started_at_lender = |task: &u32| machine.started.contains_key(task);
    let twice: Vec<&u32> = at_borrower.iter().filter(|task| started_at_lender(task)).collect();
    assert!(twice.is_empty(), "tasks that the borrower finished start at the lender: {twice:?}");
}

/// Guards against copies of a job's progress that remain after the job has ended.
#[test]
fn only_the_final_record_remains_when_a_lent_job_has_ended() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    complete_tasks_in_both_cells(&world, &mut leader, &mut machine);
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    leader.steps(&mut machine, SETTLE_STEPS);
    let store = world.store();
    let remaining: Vec<&String> =
        store.keys.keys().filter(|key| key.contains(JOB) && !key.starts_with("final/")).collect();
    assert!(remaining.is_empty(), "{remaining:?}");
}

/// Once no loan is open, the version in production must be able to read the job's record, all its done ranges
/// and its start mark.
#[test]
fn an_earlier_version_reads_all_results_once_the_loans_are_closed() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    complete_tasks_in_both_cells(&world, &mut leader, &mut machine);
    let finished = machine.forgotten_results.clone();
    let at_borrower: BTreeSet<u32> = world.borrower().done.iter().collect();
    let stored_mark = |world: &World| production::marks_in(&world.store()).get(JOB).copied().unwrap_or(0);
    let mark = stored_mark(&world);
    assert!(mark > 0);
    world.run_earlier_leader();
    let mut leader = world.leader();
    world.borrower().return_unfinished();
    world.borrower().is_full = true;
    for _ in 0..SETTLE_STEPS {
        let row = world.store().row(&format!("job/{JOB}")).expect("the job");
        let read = serde_json::from_value::<production::JobRecord>(row.value);
        if let Ok(record) = read {
            let found = world.recorded_done();
            assert!(found.is_superset(&finished), "{found:?} lacks some of {finished:?}");
            assert!(found.is_superset(&at_borrower), "{found:?} lacks some of {at_borrower:?}");
            assert!(record.high.max(stored_mark(&world)) >= mark, "the start mark fell below {mark}");
            return;
        }
        leader.lend();
        leader.steps(&mut machine, 1);
    }
    panic!("the job still has loans");
}

/// Tasks above the start mark may be lent, or started directly after a failover, since no leader was allowed
/// to start them before. Guards against a start mark that falls below tasks that run on an unreachable
/// machine.
#[test]
fn a_start_mark_that_rose_while_tasks_were_lent_is_not_lowered_by_an_earlier_leader() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend_until_accepted(&mut machine);
    let lent = world.borrower().tasks();
    // The borrower returns all tasks but the last one, and the lender starts them.
    world.borrower().tasks_to_return = lent.iter().take(lent.len() as usize - 1).collect();
    leader.lend();
    for _ in 0..MAX_STEPS {
        machine.finish_all();
        leader.step(&mut machine);
        if machine.running().iter().any(|task| lent.contains(*task)) {
            break;
        }
    }
    let running = machine.running();
    assert!(running.iter().any(|task| lent.contains(*task)), "{running:?} of {lent}");
    world.run_earlier_leader();
    // The machine no longer reports; another one does.
    let mut leader = world.leader();
    let mut other = Machine::new("i-000002");
    world.borrower().tasks_to_return = TaskSet::new();
    for _ in 0..SETTLE_STEPS {
        leader.step(&mut other);
        leader.lend();
    }
    let on_other: BTreeSet<u32> = other.running().intersection(&running).copied().collect();
    assert!(
        on_other.is_empty(),
        "tasks that may run on the silent machine start on another one: {on_other:?}"
    );
    let borrowed = world.borrower().tasks();
    let lent_again: Vec<u32> = running.iter().filter(|task| borrowed.contains(**task)).copied().collect();
    assert!(lent_again.is_empty(), "tasks that may run on the silent machine are lent: {lent_again:?}");
}

/// An earlier leader removes done ranges that have no copy, as 0.3.0 wrote them. Until the copy is stored,
/// the worker must keep the results.
#[test]
fn a_result_is_forgotten_only_once_its_copy_is_stored() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    complete_tasks_in_both_cells(&world, &mut leader, &mut machine);
    leader.steps(&mut machine, SETTLE_STEPS);
    machine.finish_all();
    // The results are written, but the worker has received no command to forget them.
    leader.step(&mut machine);
    (0..SETTLE_STEPS).for_each(|_| leader.idle_step());
    let copies: Vec<String> = world.store().rows("lent/").into_iter().map(|row| row.key).collect();
    assert!(!copies.is_empty());
    copies.iter().for_each(|key| drop(world.store().keys.remove(key)));
    world.refuses_copies.store(true, Ordering::SeqCst);
    let forgotten = machine.forgotten_results.clone();
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(machine.forgotten_results, forgotten);
    world.refuses_copies.store(false, Ordering::SeqCst);
    leader.steps(&mut machine, SETTLE_STEPS);
    assert!(machine.forgotten_results.len() > forgotten.len(), "{:?}", machine.forgotten_results);
}

/// Guards against results that still waited for the next write when their leader was killed: after an earlier
/// version had led, their tasks ran again.
#[test]
fn results_of_a_lent_job_are_recorded_by_the_write_after_the_heartbeat() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    let running = machine.running();
    for _ in 0..running.len() {
        world.wait(BETWEEN_RESULTS);
        machine.finish_one();
        leader.heartbeat(&mut machine);
        leader.controller.write_once();
        let reported = machine.pending_results();
        let copied = world.copied_done();
        assert!(copied.is_superset(&reported), "reported {reported:?}, but only {copied:?} are copied");
    }
    machine.discard_all_tasks();
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    let again = started_again(&machine, &running);
    assert!(again.is_empty(), "finished tasks start again: {again:?}");
}

/// Guards against a leader that resigns before it has recorded the results that it has received.
#[test]
fn a_resigning_leader_first_records_the_results_of_lent_jobs() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    assert_eq!(leader.heartbeat(&mut machine), 200);
    leader.controller.resign();
    let copied = world.copied_done();
    assert!(
        !finished.is_empty() && copied.is_superset(&finished),
        "finished {finished:?}, but only {copied:?} are copied"
    );
    machine.discard_all_tasks();
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    let again = started_again(&machine, &finished);
    assert!(again.is_empty(), "finished tasks start again: {again:?}");
}

/// Guards against a loan of a job whose done ranges have no copy yet.
#[test]
fn no_task_is_lent_before_all_done_ranges_are_copied() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    machine.finish_all();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert!(!world.recorded_done().is_empty());
    world.refuses_copies.store(true, Ordering::SeqCst);
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.step(&mut machine);
    }
    assert!(world.borrower().tasks().is_empty());
    world.refuses_copies.store(false, Ordering::SeqCst);
    leader.lend_until_accepted(&mut machine);
}

/// Guards against starts that only the row in `marks/` allows, which an earlier leader may remove.
#[test]
fn no_task_starts_above_the_stored_copy_of_the_start_mark() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend_until_accepted(&mut machine);
    world.refuses_copies.store(true, Ordering::SeqCst);
    // One task stays lent.
    let borrowed = world.borrower().tasks();
    world.borrower().tasks_to_return = borrowed.iter().skip(1).collect();
    leader.lend();
    for _ in 0..MAX_STEPS {
        machine.finish_all();
        leader.step(&mut machine);
    }
    let stored = |key: &str| world.store().row(key).and_then(|row| row.value.as_u64()).unwrap_or(0);
    let job = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    let mark = stored(&format!("lent/marks/{JOB}")).max(job["high"].as_u64().unwrap_or(0));
    let highest = machine.started.keys().max().copied().map_or(0, u64::from);
    assert!(highest < mark, "task {highest} started, but the stored mark is {mark}");
}

/// Users repeat the submission and cancel after an earlier version has led. The repeated submission must
/// create no second job, and no cancellation may be confirmed while the borrower has tasks of the job.
#[test]
fn a_cancellation_is_confirmed_only_when_the_borrower_has_dropped_its_tasks() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    complete_tasks_in_both_cells(&world, &mut leader, &mut machine);
    world.run_earlier_leader();
    let mut leader = world.leader();
    world.borrower().is_cut_off = true;
    let again = leader.user_request("POST", "/api/jobs", &json!(spec(1, TASKS, "batch")));
    assert_eq!(again.0, 200, "{again:?}");
    let cancel = format!("/api/jobs/{JOB}/withdraw");
    assert_eq!(
        leader.user_request("POST", &cancel, &Value::Null).0,
        503,
        "cancelled while the borrower has tasks"
    );
    world.run_earlier_leader();
    leader.steps(&mut machine, 1);
    let mut leader = world.leader();
    assert_eq!(
        leader.user_request("POST", &cancel, &Value::Null).0,
        503,
        "cancelled while the borrower still has tasks"
    );
    world.borrower().is_cut_off = false;
    let started: usize = machine.started.values().sum();
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.step(&mut machine);
    }
    assert!(world.borrower().tasks().is_empty());
    let answer = leader.user_request("POST", &cancel, &Value::Null);
    assert_eq!((answer.0, &answer.1["stage"]), (200, &json!("cancelled")));
    assert_eq!(machine.started.values().sum::<usize>(), started, "a task of the cancelled job started");
}

/// Both versions lead in turn, many times, while tasks are started, completed, lent and returned. A task
/// whose result a worker was told to forget must not start again, and no task may run in both cells.
#[test]
fn no_result_is_lost_in_random_changes_between_the_versions() {
    for seed in 0..24 {
        let mut random = StdRng::seed_from_u64(seed);
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        let mut leader = world.leader();
        leader.submit();
        for _ in 0..60 {
            match random.random_range(0..6) {
                0 => {
                    (0..random.random_range(1..3)).for_each(|_| world.run_earlier_leader());
                    leader = world.leader();
                }
                1 => machine.finish_all(),
                2 => leader.lend(),
                3 => {
                    let mut borrower = world.borrower();
                    let borrowed = borrower.tasks();
                    let done: TaskSet = borrowed.iter().filter(|_| random.random_bool(0.3)).collect();
                    borrower.done = borrower.done.union(&done);
                }
                4 => {
                    let mut borrower = world.borrower();
                    let unfinished = borrower.tasks().difference(&borrower.done);
                    borrower.tasks_to_return =
                        unfinished.iter().filter(|_| random.random_bool(0.2)).collect();
                }
                _ => leader.steps(&mut machine, random.random_range(1..5)),
            }
            let again = started_again(&machine, &machine.forgotten_results);
            assert!(again.is_empty(), "seed {seed}: finished tasks start again: {again:?}");
            let borrowed = world.borrower().tasks();
            let both: Vec<u32> =
                machine.running().into_iter().filter(|task| borrowed.contains(*task)).collect();
            assert!(both.is_empty(), "seed {seed}: tasks that run in both cells: {both:?}");
        }
        world.borrower().tasks_to_return = TaskSet::new();
        run_until_done(&world, &mut leader, &mut machine);
        let again = started_again(&machine, &machine.forgotten_results);
        assert!(again.is_empty(), "seed {seed}: finished tasks start again: {again:?}");
    }
}
