//! A job with loans, stored by a leader of this version, under a leader of the version in production. That
//! leader must keep the job's record and progress, start none of its tasks, and neither cancel nor end it.

mod common;

use std::collections::BTreeSet;

use common::leader_without_copies::run_until_done;
use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS};
use common::production;
use common::production_api::{read_final_record, CancelAnswer, Known, ProductionApi};
use common::production_leader::ProductionLeader;
use common::production_writes::changes_of;
use common::{record, spec};
use milletlock::wire::{Change, Row, Txn};
use serde_json::{json, Value};

/// Number of steps after which a leader of either version changes nothing more unless a task exits.
const STEPS_TO_REST: usize = 2 * SETTLE_STEPS;
/// Maximum number of steps until a job has ended whose tasks finish at each step.
const MAX_STEPS: usize = 200;

/// The loans in the record of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lending {
    /// No task was ever lent.
    Never,
    /// A loan is open.
    Open,
    /// A loan is open and the job is being cancelled.
    Cancelling,
    /// All loans were returned.
    Closed,
}

/// A cell whose job has these loans, as a leader of this version left it that no longer runs. Some tasks of
/// the job are recorded as done, and some run.
fn job_with(lending: Lending) -> (World, Machine) {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    if lending == Lending::Never {
        leader.submit();
        leader.steps(&mut machine, SETTLE_STEPS);
    } else {
        leader.submit_and_lend(&mut machine);
    }
    machine.finish_all();
    leader.steps(&mut machine, SETTLE_STEPS);
    match lending {
        Lending::Never | Lending::Open => {}
        Lending::Cancelling => request_cancellation(&world, &leader),
        Lending::Closed => close_loans(&world, &mut leader, &mut machine),
    }
    drop(leader);
    (world, machine)
}

/// A user cancels the job while the borrower does not answer.
fn request_cancellation(world: &World, leader: &Leader<'_>) {
    world.borrower().is_cut_off = true;
    assert_eq!(leader.user_request("POST", &format!("/api/jobs/{JOB}/withdraw"), &Value::Null).0, 503);
}

/// The borrower reports that it is full. It keeps the borrowed tasks, and no further ones are lent to it.
fn fill_borrower(world: &World, leader: &mut Leader<'_>) {
    world.borrower().is_full = true;
    leader.lend();
}

/// The borrower returns all unfinished tasks, and no further ones are lent to it.
fn close_loans(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    fill_borrower(world, leader);
    world.borrower().return_unfinished();
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.steps(machine, 1);
    }
    let record = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    assert!(record.get("lending").is_none(), "{record}");
}

/// The progress of the job that a leader removes if it takes the job for an ended one.
#[derive(Debug, PartialEq)]
struct Progress {
    /// The tasks recorded as done.
    done: BTreeSet<u32>,
    start_mark: u32,
}

/// The stored progress of the job.
fn progress(world: &World) -> Progress {
    let marks = production::marks_in(&world.store());
    let job = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    let in_record = job["high"].as_u64().unwrap_or(0) as u32;
    Progress { done: world.recorded_done(), start_mark: marks.get(JOB).copied().unwrap_or(0).max(in_record) }
}

/// The stage in the job's final record; `None` if there is none, or only the placeholder of a held job.
fn final_stage(world: &World) -> Option<String> {
    let row = world.store().row(&format!("final/{JOB}"))?;
    Some(read_final_record(&row.value)?.stage)
}

/// Whether the job has a live record.
fn is_live(world: &World) -> bool {
    world.store().row(&format!("job/{JOB}")).is_some()
}

/// Asserts that the job has a final record with this stage, and no other record.
fn assert_ended(world: &World, stage: &str) {
    assert_eq!(final_stage(world).as_deref(), Some(stage));
    let store = world.store();
    let remaining: Vec<&String> =
        store.keys.keys().filter(|key| key.contains(JOB) && !key.starts_with("final/")).collect();
    assert!(remaining.is_empty(), "{remaining:?}");
}

/// Guards against a leader of the version in production that takes the job's progress for that of an ended
/// job, and removes it.
#[test]
fn a_production_leader_leaves_the_progress_of_a_job_with_loans_unchanged() {
    for lending in [Lending::Open, Lending::Cancelling] {
        let (world, mut machine) = job_with(lending);
        let before = progress(&world);
        assert!(!before.done.is_empty() && before.start_mark > 0, "{lending:?}: {before:?}");
        let mut earlier = ProductionLeader::elected(&world);
        earlier.steps(&mut machine, STEPS_TO_REST);
        assert!(earlier.knows(JOB), "{lending:?}: the leader cannot read the job");
        assert!(earlier.done(JOB).is_superset(&before.done), "{lending:?}: {:?}", earlier.done(JOB));
        assert_eq!(progress(&world), before, "{lending:?}");
    }
}

/// Guards against a leader of the version in production that halts the running tasks of a job with loans, or
/// does not record their results.
#[test]
fn a_production_leader_adopts_the_running_tasks_of_a_job_with_loans() {
    let (world, mut machine) = job_with(Lending::Open);
    let running = machine.running();
    assert!(running.len() > 1, "{running:?}");
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, STEPS_TO_REST);
    assert_eq!(machine.running(), running, "running tasks were halted");
    machine.finish_one();
    let finished = machine.pending_results();
    earlier.steps(&mut machine, STEPS_TO_REST);
    assert!(world.recorded_done().is_superset(&finished), "{finished:?} of {:?}", world.recorded_done());
    assert!(machine.pending_results().is_empty(), "the worker was not told to forget recorded results");
    let started = machine.started.clone();
    run_until_done(&world, &mut world.leader(), &mut machine);
    let again: Vec<&u32> = started.keys().filter(|task| machine.started[task] > started[task]).collect();
    assert!(again.is_empty(), "started again: {again:?}");
}

/// Guards against tasks that run in both cells, and against a job that ends or is confirmed as cancelled
/// while the borrower still runs tasks of it.
#[test]
fn a_production_leader_neither_starts_nor_cancels_nor_ends_a_job_with_loans() {
    for lending in [Lending::Open, Lending::Cancelling] {
        let (world, mut machine) = job_with(lending);
        let (started, record) = (machine.started.clone(), world.store().row(&format!("job/{JOB}")));
        let mut users = ProductionApi::default();
        assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Refused, "{lending:?}");
        let mut earlier = ProductionLeader::elected(&world);
        let mut idle = Machine::new("i-000002");
        for _ in 0..STEPS_TO_REST {
            earlier.step(&mut machine);
            earlier.step(&mut idle);
            machine.finish_all();
            assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Refused, "{lending:?}");
            let answer = users.status(&world.store(), JOB);
            assert!(matches!(answer, Ok(Known::Live { .. })), "{lending:?}: {answer:?}");
        }
        assert_eq!(machine.started, started, "{lending:?}");
        assert!(idle.started.is_empty(), "{lending:?}: {:?}", idle.started);
        let record_now = world.store().row(&format!("job/{JOB}"));
        let version = |row: &Option<Row>| row.as_ref().map(|row| row.mod_revision);
        assert_eq!(version(&record_now), version(&record), "{lending:?}: the job's record was rewritten");
        assert_eq!(final_stage(&world), None, "{lending:?}");
        assert!(earlier.leads);
    }
}

/// Guards against a job without open loans that the version in production does not run.
#[test]
fn a_production_leader_runs_and_ends_a_job_without_open_loans() {
    for lending in [Lending::Never, Lending::Closed] {
        let (world, mut machine) = job_with(lending);
        let before = progress(&world);
        let started = machine.started.len();
        let mut earlier = ProductionLeader::elected(&world);
        for _ in 0..MAX_STEPS {
            machine.finish_all();
            earlier.step(&mut machine);
            if !is_live(&world) {
                break;
            }
        }
        assert!(machine.started.len() > started, "{lending:?}: no task starts");
        let again: Vec<&u32> =
            before.done.iter().filter(|task| machine.started.get(task) > Some(&1)).collect();
        assert!(again.is_empty(), "{lending:?}: started again: {again:?}");
        assert_eq!(final_stage(&world).as_deref(), Some("done"), "{lending:?}");
        assert!(earlier.refused.is_empty(), "{lending:?}: {:?}", earlier.refused);
    }
}

/// Guards against a placeholder that remains under the key of the final record after the loans are closed:
/// with it, the version in production refuses each cancellation.
#[test]
fn a_production_controller_cancels_a_job_without_open_loans() {
    for lending in [Lending::Never, Lending::Closed] {
        let (world, mut machine) = job_with(lending);
        let mut earlier = ProductionLeader::elected(&world);
        earlier.steps(&mut machine, SETTLE_STEPS);
        let mut users = ProductionApi::default();
        assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Confirmed, "{lending:?}");
        earlier.steps(&mut machine, STEPS_TO_REST);
        assert!(machine.running().is_empty(), "{lending:?}: {:?}", machine.running());
        assert_eq!(final_stage(&world).as_deref(), Some("cancelled"), "{lending:?}");
        let again = users.cancel(&mut world.store(), JOB);
        assert_eq!(again, CancelAnswer::AlreadyOver("cancelled".into()), "{lending:?}");
    }
}

/// A cell in which all tasks but one are recorded as done. The last task runs at the lender. A loan is still
/// open, since the borrower is cut off after the results of its tasks are recorded.
fn all_but_one_recorded() -> (World, Machine) {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    fill_borrower(&world, &mut leader);
    let borrowed = world.borrower().tasks();
    for _ in 0..MAX_STEPS {
        if machine.running().len() == 1 && world.recorded_done().len() as u32 + borrowed.len() + 1 == 40 {
            break;
        }
        if machine.running().len() > 1 {
            machine.finish_one();
        }
        leader.step(&mut machine);
    }
    assert_eq!(machine.running().len(), 1, "all tasks but one are done");
    world.borrower().done = borrowed;
    leader.lend();
    world.borrower().is_cut_off = true;
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(world.recorded_done().len(), 39);
    (world, machine)
}

/// Guards against a production leader that ends the job itself, or whose refused end of the job blocks its
/// other writes.
#[test]
fn a_job_with_an_open_loan_and_all_tasks_done_ends_only_under_this_version() {
    let (world, mut machine) = all_but_one_recorded();
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, SETTLE_STEPS);
    machine.finish_all();
    let mut other = Machine::new("i-000002");
    for _ in 0..STEPS_TO_REST {
        earlier.step(&mut machine);
        earlier.step(&mut other);
        let of_job: Vec<_> = earlier.refused.iter().flat_map(|txn| changes_of(txn, JOB)).collect();
        assert!(
            earlier.refused.is_empty(),
            "transactions are refused, with these changes of the job: {of_job:?}"
        );
    }
    assert_eq!(world.recorded_done().len(), 40, "the last result is recorded");
    assert!(is_live(&world) && final_stage(&world).is_none(), "the earlier version ended the job");
    assert!(production::machines_in(&world.store()).contains("i-000002"), "other writes are blocked");
    let started = machine.started.clone();
    world.borrower().is_cut_off = false;
    let mut leader = world.leader();
    for _ in 0..MAX_STEPS {
        leader.lend();
        leader.step(&mut machine);
        if !is_live(&world) {
            break;
        }
    }
    leader.steps(&mut machine, STEPS_TO_REST);
    assert_eq!(machine.started, started);
    assert_ended(&world, "done");
    assert_eq!(
        world.store().row(&format!("final/{JOB}")).map(|row| row.value),
        Some(json!({ "stage": "done", "tasks": 40 }))
    );
}

/// No record with `cancelling` set and without loans should be stored, as a cancelled job ends in the write
/// that closes its last loan. If there is such a record, a production leader must neither start nor end the
/// job.
#[test]
fn a_production_leader_neither_starts_nor_ends_a_job_being_cancelled_without_loans() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    drop(leader);
    let mut cancelling = record(spec(1, 4, "batch"));
    cancelling.lending.cancelling = true;
    cancelling.start_mark = 4;
    let then = vec![
        Change::put(format!("job/{JOB}"), json!(cancelling)),
        Change::put(format!("done/{JOB}/0"), json!("0-3")),
    ];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, STEPS_TO_REST);
    assert!(machine.started.is_empty(), "{:?}", machine.started);
    assert!(is_live(&world) && final_stage(&world).is_none());
}

/// Guards against a job that remains in cancellation after its last loan is closed.
#[test]
fn a_job_being_cancelled_ends_in_the_write_that_closes_its_last_loan() {
    let (world, mut machine) = job_with(Lending::Cancelling);
    let mut leader = world.leader();
    world.borrower().is_cut_off = false;
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.step(&mut machine);
    }
    assert_ended(&world, "cancelled");
    let store = world.store();
    let records = store.log.iter().filter(|(_, key, _)| *key == format!("job/{JOB}"));
    let lending = records.filter_map(|(_, _, value)| value.as_ref()?.get("lending"));
    let has_no_loan = |lending: &&Value| lending["cancelling"] == true && lending["loans"] == json!([]);
    assert_eq!(lending.filter(has_no_loan).count(), 0);
}
