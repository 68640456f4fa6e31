//! A leader from before loans leads a cell for a while in which loans are open.
//!
//! What happens: a job of which tasks are lent has a record that a leader from before 0.3 cannot read, so that
//! it starts none of the lent tasks. It logs `a record cannot be read` with the job's key, and from then on
//! counts the job among those that have ended: it removes the job's `done/<id>/<chunk>` rows, one transaction
//! each, and its entry in `marks/<slot>`. When a version with loans leads again, it finds a job of which
//! nothing is done and nothing was ever started. Finished tasks run again, and a task that still runs on a
//! machine which cannot be asked may be started or lent a second time.
//!
//! Why: in the earlier version a row belongs to a job that it has read, or to none
//! (`Fleet::inherit_done` and `Fleet::inherit_marks`, src/fleet.rs of that version); nothing of the row itself
//! says that its job lives. So what has to outlast such a leader must not lie where it looks.
//!
//! Seen before the mend: `finished tasks start again: {0, 1, 2, 3, 4, 5, 6, 7}`, of the done ranges `{23, 24} lacks
//! some of {0, 1, 2, 3, 4, 5, 6, 7}`, and `tasks that may run on the silent machine are lent: [22, 23]`.

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

/// Time between two results of a machine, less than between two writes of results of other jobs.
const BETWEEN_RESULTS: Micros = Micros::from_millis(100);

/// Four tasks are done at the lender, two at the borrower, and all of it is recorded. None runs.
fn lent_and_done_on_both_sides(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
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

fn started_again(machine: &Machine, finished: &BTreeSet<u32>) -> BTreeSet<u32> {
    finished.iter().filter(|task| machine.started.get(task).is_some_and(|n| *n > 1)).copied().collect()
}

#[test]
fn finished_tasks_of_a_job_with_loans_are_not_run_again() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    lent_and_done_on_both_sides(&world, &mut leader, &mut machine);
    let finished = machine.forgotten_results.clone();
    let at_borrower: BTreeSet<u32> = world.borrower().done.iter().collect();
    assert!(!finished.is_empty() && !at_borrower.is_empty(), "done on both sides");
    // Users' requests meanwhile, as the version in production answers them by the records.
    world.run_earlier_leader();
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    let again = started_again(&machine, &finished);
    assert!(again.is_empty(), "finished tasks start again: {again:?}");
    let here = |task: &u32| machine.started.contains_key(task);
    let twice: Vec<&u32> = at_borrower.iter().filter(|task| here(task)).collect();
    assert!(twice.is_empty(), "what the borrower finished starts here: {twice:?}");
}

/// What is kept apart for the job goes when the job ends.
#[test]
fn nothing_of_a_job_is_left_when_it_has_ended() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    lent_and_done_on_both_sides(&world, &mut leader, &mut machine);
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    leader.steps(&mut machine, SETTLE_STEPS);
    let store = world.store();
    let left: Vec<&String> =
        store.keys.keys().filter(|key| key.contains(JOB) && !key.starts_with("final/")).collect();
    assert!(left.is_empty(), "{left:?}");
}

/// Once no loan is open any more, the version in production reads the job, with all that is done.
#[test]
fn the_earlier_version_finds_all_results_once_the_loans_are_closed() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    lent_and_done_on_both_sides(&world, &mut leader, &mut machine);
    let finished = machine.forgotten_results.clone();
    let at_borrower: BTreeSet<u32> = world.borrower().done.iter().collect();
    let highest = |world: &World| production::marks_in(&world.store()).get(JOB).copied().unwrap_or(0);
    let mark = highest(&world);
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
            assert!(record.high.max(highest(&world)) >= mark, "the start mark fell below {mark}");
            return;
        }
        leader.lend();
        leader.steps(&mut machine, 1);
    }
    panic!("the loans are not closed");
}

/// Tasks above the mark may be lent, and start at once after a failover, since no leader was ever allowed to
/// start them. A mark that falls makes tasks of these that run on a machine which cannot be asked.
#[test]
fn a_start_mark_that_rose_while_tasks_were_lent_does_not_fall() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend_until_accepted(&mut machine);
    let lent = world.borrower().tasks();
    // All comes back and is begun here, but for the last task.
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
    // The machine cannot be asked; another one is there.
    let mut leader = world.leader();
    let mut other = Machine::new("i-000002");
    world.borrower().tasks_to_return = TaskSet::new();
    for _ in 0..SETTLE_STEPS {
        leader.step(&mut other);
        leader.lend();
    }
    let elsewhere: BTreeSet<u32> = other.running().intersection(&running).copied().collect();
    assert!(elsewhere.is_empty(), "tasks that may run on the silent machine start elsewhere: {elsewhere:?}");
    let held = world.borrower().tasks();
    let lent_again: Vec<u32> = running.iter().filter(|task| held.contains(**task)).copied().collect();
    assert!(lent_again.is_empty(), "tasks that may run on the silent machine are lent: {lent_again:?}");
}

/// Done ranges without a copy, as 0.3.0 wrote them, do not outlast an earlier version: the worker keeps the results.
#[test]
fn a_result_is_taken_only_once_its_copy_is_stored() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    lent_and_done_on_both_sides(&world, &mut leader, &mut machine);
    leader.steps(&mut machine, SETTLE_STEPS);
    machine.finish_all();
    // The results are written, and the worker has not heard of it.
    leader.step(&mut machine);
    (0..SETTLE_STEPS).for_each(|_| leader.idle_step());
    let copies: Vec<String> = world.store().rows("lent/").into_iter().map(|row| row.key).collect();
    assert!(!copies.is_empty());
    copies.iter().for_each(|key| drop(world.store().keys.remove(key)));
    world.refuses_copies.store(true, Ordering::SeqCst);
    let taken = machine.forgotten_results.clone();
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(machine.forgotten_results, taken);
    world.refuses_copies.store(false, Ordering::SeqCst);
    leader.steps(&mut machine, SETTLE_STEPS);
    assert!(machine.forgotten_results.len() > taken.len(), "{:?}", machine.forgotten_results);
}

/// Guards against results that waited for the next write when their leader was killed, and ran again after an
/// earlier version had led.
#[test]
fn results_of_a_lent_job_are_recorded_as_they_are_reported() {
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
        assert!(copied.is_superset(&reported), "of {reported:?} just {copied:?} are recorded");
    }
    machine.discard_all_tasks();
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    let again = started_again(&machine, &running);
    assert!(again.is_empty(), "finished tasks start again: {again:?}");
}

/// Guards against a leader that gives up its lead before it has recorded what it was told.
#[test]
fn a_leader_that_resigns_first_records_the_results_of_lent_jobs() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_all();
    let finished = machine.pending_results();
    assert_eq!(leader.heartbeat(&mut machine), 200);
    leader.controller.resign();
    let copied = world.copied_done();
    assert!(!finished.is_empty() && copied.is_superset(&finished), "of {finished:?} just {copied:?}");
    machine.discard_all_tasks();
    world.run_earlier_leader();
    let mut leader = world.leader();
    run_until_done(&world, &mut leader, &mut machine);
    let again = started_again(&machine, &finished);
    assert!(again.is_empty(), "finished tasks start again: {again:?}");
}

#[test]
fn nothing_is_lent_before_all_that_is_done_is_copied() {
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

#[test]
fn no_task_starts_above_the_stored_copy_of_the_start_mark() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend_until_accepted(&mut machine);
    world.refuses_copies.store(true, Ordering::SeqCst);
    // One task stays lent.
    let held = world.borrower().tasks();
    world.borrower().tasks_to_return = held.iter().skip(1).collect();
    leader.lend();
    for _ in 0..MAX_STEPS {
        machine.finish_all();
        leader.step(&mut machine);
    }
    let stored = |key: &str| world.store().row(key).and_then(|row| row.value.as_u64()).unwrap_or(0);
    let job = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    let mark = stored(&format!("lent/marks/{JOB}")).max(job["high"].as_u64().unwrap_or(0));
    let highest = machine.started.keys().max().copied().map_or(0, u64::from);
    assert!(highest < mark, "task {highest} started, the stored mark is {mark}");
}

/// Users repeat the submission and cancel while the earlier version leads, and after it: no cancellation is
/// confirmed while the borrower holds tasks, and the repeated submission makes no second job.
#[test]
fn cancelled_is_said_only_when_the_borrower_has_dropped_its_tasks() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    lent_and_done_on_both_sides(&world, &mut leader, &mut machine);
    world.run_earlier_leader();
    let mut leader = world.leader();
    world.borrower().is_cut_off = true;
    let again = leader.user_request("POST", "/api/jobs", &json!(spec(1, TASKS, "batch")));
    assert_eq!(again.0, 200, "{again:?}");
    let cancel = format!("/api/jobs/{JOB}/withdraw");
    assert_eq!(leader.user_request("POST", &cancel, &Value::Null).0, 503, "the borrower holds tasks");
    world.run_earlier_leader();
    leader.steps(&mut machine, 1);
    let mut leader = world.leader();
    assert_eq!(leader.user_request("POST", &cancel, &Value::Null).0, 503, "the borrower still holds tasks");
    world.borrower().is_cut_off = false;
    let started: usize = machine.started.values().sum();
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.step(&mut machine);
    }
    assert!(world.borrower().tasks().is_empty());
    let answer = leader.user_request("POST", &cancel, &Value::Null);
    assert_eq!((answer.0, &answer.1["stage"]), (200, &json!("cancelled")));
    assert_eq!(machine.started.values().sum::<usize>(), started, "nothing of it starts");
}

/// Both versions lead in turn, many times, while tasks begin, are done, are lent and given back. What the
/// worker was told to forget as done never starts again, and no task is in both cells.
#[test]
fn results_outlast_any_number_of_changes_between_the_versions() {
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
                    let held = borrower.tasks();
                    let done: TaskSet = held.iter().filter(|_| random.random_bool(0.3)).collect();
                    borrower.done = borrower.done.union(&done);
                }
                4 => {
                    let mut borrower = world.borrower();
                    let free = borrower.tasks().difference(&borrower.done);
                    borrower.tasks_to_return = free.iter().filter(|_| random.random_bool(0.2)).collect();
                }
                _ => leader.steps(&mut machine, random.random_range(1..5)),
            }
            let again = started_again(&machine, &machine.forgotten_results);
            assert!(again.is_empty(), "seed {seed}: finished tasks start again: {again:?}");
            let held = world.borrower().tasks();
            let both: Vec<u32> = machine.running().into_iter().filter(|task| held.contains(*task)).collect();
            assert!(both.is_empty(), "seed {seed}: in both cells: {both:?}");
        }
        world.borrower().tasks_to_return = TaskSet::new();
        run_until_done(&world, &mut leader, &mut machine);
        let again = started_again(&machine, &machine.forgotten_results);
        assert!(again.is_empty(), "seed {seed}: finished tasks start again: {again:?}");
    }
}
