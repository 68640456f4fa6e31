//! A job with loans under a leader of the version in production: nothing of it is lost, and nothing of it starts, is
//! cancelled or ends there. The records are those that leaders of this version write.

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

/// Rounds within which a leader of either version has done all that it does without further results.
const AT_REST: usize = 2 * SETTLE_STEPS;
/// Rounds within which a job whose tasks end at once has ended.
const MAX_STEPS: usize = 200;

/// What the record of a job says of loans.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lending {
    Never,
    Open,
    Cancelling,
    Closed,
}

/// A job in one of the states, brought there by a leader of this version that has gone since. Some of its tasks are
/// done and recorded, some run.
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
        Lending::Cancelling => ask_to_cancel(&world, &leader),
        Lending::Closed => close_loans(&world, &mut leader, &mut machine),
    }
    drop(leader);
    (world, machine)
}

/// A user asks to cancel while the borrower does not answer.
fn ask_to_cancel(world: &World, leader: &Leader<'_>) {
    world.borrower().is_cut_off = true;
    assert_eq!(leader.user_request("POST", &format!("/api/jobs/{JOB}/withdraw"), &Value::Null).0, 503);
}

/// The borrower holds all that is lent to it, and takes nothing more.
fn borrow_no_more(world: &World, leader: &mut Leader<'_>) {
    world.borrower().is_full = true;
    leader.lend();
}

/// The borrower gives all back and takes nothing more.
fn close_loans(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    borrow_no_more(world, leader);
    world.borrower().return_unfinished();
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.steps(machine, 1);
    }
    let record = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    assert!(record.get("lending").is_none(), "{record}");
}

/// What a leader that counts the job among those that have ended takes away.
#[derive(Debug, PartialEq)]
struct Progress {
    done: BTreeSet<u32>,
    mark: u32,
}

fn progress(world: &World) -> Progress {
    let marks = production::marks_in(&world.store());
    let job = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    let in_record = job["high"].as_u64().unwrap_or(0) as u32;
    Progress { done: world.recorded_done(), mark: marks.get(JOB).copied().unwrap_or(0).max(in_record) }
}

/// How the job has ended, if it has; what is no final record is none.
fn end_of(world: &World) -> Option<String> {
    let row = world.store().row(&format!("final/{JOB}"))?;
    Some(read_final_record(&row.value)?.stage)
}

fn is_live(world: &World) -> bool {
    world.store().row(&format!("job/{JOB}")).is_some()
}

/// Under `final/` there is a final record of a job that has ended, and nothing else.
fn assert_ended(world: &World, stage: &str) {
    assert_eq!(end_of(world).as_deref(), Some(stage));
    let store = world.store();
    let left: Vec<&String> =
        store.keys.keys().filter(|key| key.contains(JOB) && !key.starts_with("final/")).collect();
    assert!(left.is_empty(), "{left:?}");
}

/// Guards against progress that a leader of the version in production takes for that of an ended job.
#[test]
fn production_leaves_the_progress_of_a_job_with_loans_as_it_is() {
    for lending in [Lending::Open, Lending::Cancelling] {
        let (world, mut machine) = job_with(lending);
        let before = progress(&world);
        assert!(!before.done.is_empty() && before.mark > 0, "{lending:?}: {before:?}");
        let mut earlier = ProductionLeader::elected(&world);
        earlier.steps(&mut machine, AT_REST);
        assert!(earlier.knows(JOB), "{lending:?}: it cannot read the job");
        assert!(earlier.done(JOB).is_superset(&before.done), "{lending:?}: {:?}", earlier.done(JOB));
        assert_eq!(progress(&world), before, "{lending:?}");
    }
}

/// Guards against halted tasks, and results that nobody records, while the version in production leads.
#[test]
fn production_adopts_the_running_tasks_of_a_job_with_loans() {
    let (world, mut machine) = job_with(Lending::Open);
    let running = machine.running();
    assert!(running.len() > 1, "{running:?}");
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, AT_REST);
    assert_eq!(machine.running(), running, "they run on");
    machine.finish_one();
    let finished = machine.pending_results();
    earlier.steps(&mut machine, AT_REST);
    assert!(world.recorded_done().is_superset(&finished), "{finished:?} of {:?}", world.recorded_done());
    assert!(machine.pending_results().is_empty(), "the worker may forget what is recorded");
    let started = machine.started.clone();
    run_until_done(&world, &mut world.leader(), &mut machine);
    let again: Vec<&u32> = started.keys().filter(|task| machine.started[task] > started[task]).collect();
    assert!(again.is_empty(), "started again: {again:?}");
}

/// Guards against tasks in both cells, and against ends and confirmed cancellations that the borrower has not heard of.
#[test]
fn production_starts_cancels_and_ends_nothing_of_a_job_with_loans() {
    for lending in [Lending::Open, Lending::Cancelling] {
        let (world, mut machine) = job_with(lending);
        let (started, record) = (machine.started.clone(), world.store().row(&format!("job/{JOB}")));
        let mut users = ProductionApi::default();
        assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Refused, "{lending:?}");
        let mut earlier = ProductionLeader::elected(&world);
        let mut idle = Machine::new("i-000002");
        for _ in 0..AT_REST {
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
        assert_eq!(version(&record_now), version(&record), "{lending:?}: its record is written");
        assert_eq!(end_of(&world), None, "{lending:?}");
        assert!(earlier.leads);
    }
}

/// Guards against a job that the version in production holds back although nothing of it is lent.
#[test]
fn production_starts_and_ends_a_job_of_which_nothing_is_lent() {
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
        assert!(machine.started.len() > started, "{lending:?}: nothing starts");
        let again: Vec<&u32> =
            before.done.iter().filter(|task| machine.started.get(task) > Some(&1)).collect();
        assert!(again.is_empty(), "{lending:?}: started again: {again:?}");
        assert_eq!(end_of(&world).as_deref(), Some("done"), "{lending:?}");
        assert!(earlier.refused.is_empty(), "{lending:?}: {:?}", earlier.refused);
    }
}

/// Guards against a placeholder that stays behind and has each cancellation refused.
#[test]
fn production_cancels_a_job_of_which_nothing_is_lent() {
    for lending in [Lending::Never, Lending::Closed] {
        let (world, mut machine) = job_with(lending);
        let mut earlier = ProductionLeader::elected(&world);
        earlier.steps(&mut machine, SETTLE_STEPS);
        let mut users = ProductionApi::default();
        assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Confirmed, "{lending:?}");
        earlier.steps(&mut machine, AT_REST);
        assert!(machine.running().is_empty(), "{lending:?}: {:?}", machine.running());
        assert_eq!(end_of(&world).as_deref(), Some("cancelled"), "{lending:?}");
        let again = users.cancel(&mut world.store(), JOB);
        assert_eq!(again, CancelAnswer::AlreadyOver("cancelled".into()), "{lending:?}");
    }
}

/// All tasks are done while a loan is open: those of the borrower are recorded, and it does not hear that they are.
/// The last one in the lender's cell runs.
fn all_but_one_recorded() -> (World, Machine) {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    borrow_no_more(&world, &mut leader);
    let held = world.borrower().tasks();
    for _ in 0..MAX_STEPS {
        if machine.running().len() == 1 && world.recorded_done().len() as u32 + held.len() + 1 == 40 {
            break;
        }
        if machine.running().len() > 1 {
            machine.finish_one();
        }
        leader.step(&mut machine);
    }
    assert_eq!(machine.running().len(), 1, "the others are done");
    world.borrower().done = held;
    leader.lend();
    world.borrower().is_cut_off = true;
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(world.recorded_done().len(), 39);
    (world, machine)
}

/// Guards against an end that the version in production writes, or that is refused and holds up its other writes.
#[test]
fn all_tasks_done_while_a_loan_is_open_end_under_this_version() {
    let (world, mut machine) = all_but_one_recorded();
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, SETTLE_STEPS);
    machine.finish_all();
    let mut other = Machine::new("i-000002");
    for _ in 0..AT_REST {
        earlier.step(&mut machine);
        earlier.step(&mut other);
        let of_job: Vec<_> = earlier.refused.iter().flat_map(|txn| changes_of(txn, JOB)).collect();
        assert!(earlier.refused.is_empty(), "refused, with {of_job:?}");
    }
    assert_eq!(world.recorded_done().len(), 40, "the last result is recorded");
    assert!(is_live(&world) && end_of(&world).is_none(), "it is ended by the earlier version");
    assert!(production::machines_in(&world.store()).contains("i-000002"), "other writes are held up");
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
    leader.steps(&mut machine, AT_REST);
    assert_eq!(machine.started, started);
    assert_ended(&world, "done");
    assert_eq!(
        world.store().row(&format!("final/{JOB}")).map(|row| row.value),
        Some(json!({ "stage": "done", "tasks": 40 }))
    );
}

/// A job that is being cancelled with no open loan ends in the same write; should such a record ever be stored, the
/// version in production starts and ends nothing of it.
#[test]
fn a_record_being_cancelled_without_loans_starts_and_ends_nothing_under_production() {
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
    earlier.steps(&mut machine, AT_REST);
    assert!(machine.started.is_empty(), "{:?}", machine.started);
    assert!(is_live(&world) && end_of(&world).is_none());
}

/// Guards against a job that stays although its cancellation has nothing to wait for.
#[test]
fn no_record_says_that_a_job_is_being_cancelled_with_no_loan_open() {
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
    let is_over = |lending: &&Value| lending["cancelling"] == true && lending["loans"] == json!([]);
    assert_eq!(lending.filter(is_over).count(), 0);
}
