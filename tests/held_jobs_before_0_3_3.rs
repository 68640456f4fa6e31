//! Held job records under leaders of 0.3.0 to 0.3.2. Those versions know loans, but read the description that
//! is stored for versions before 0.3. When they write the record, they keep the loans and drop the fields
//! that hold the user's description. A leader of this version must restore the record, or treat it as
//! unreadable.

mod common;

use common::leader_without_copies::run_until_done;
use common::lending_world::{Machine, World, JOB, SETTLE_STEPS, TASKS};
use common::production_api::{CancelAnswer, ProductionApi};
use common::production_leader::ProductionLeader;
use milletlock::wire::{Change, Txn};
use milletlock_cells::Lending;
use serde_json::{json, Value};

/// The loans in the record that 0.3.2 writes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loans {
    Kept,
    Closed,
}

/// The key of the job's final record.
fn final_key() -> String {
    format!("final/{JOB}")
}

/// Leaves a job with an open loan in the cell. Some of its tasks are done and some run on the returned
/// machine.
fn lent_job(world: &World) -> Machine {
    let mut machine = Machine::new("i-000001");
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_one();
    leader.steps(&mut machine, SETTLE_STEPS);
    world.borrower().is_full = true;
    leader.lend();
    machine
}

/// A leader of 0.3.2 writes the job's record. With `Loans::Closed`, the borrower has returned all tasks
/// before.
fn rewrite_record(world: &World, loans: Loans) {
    world.elect_earlier_leader();
    let is_closed = loans == Loans::Closed;
    if is_closed {
        world.borrower().loans.clear();
    }
    world.store().rewrite_as_0_3_2(JOB, |lending| {
        if is_closed {
            *lending = Lending::default();
        }
    });
}

/// Guards against a job that continues with the description for versions before 0.3, or waits forever.
#[test]
fn a_held_record_rewritten_by_0_3_2_is_restored() {
    for loans in [Loans::Kept, Loans::Closed] {
        let world = World::new();
        let mut machine = lent_job(&world);
        let user_spec = json!(common::spec(1, TASKS, "batch"));
        let submitted = world.job_row().expect("the job")["held"]["submitted_us"].clone();
        rewrite_record(&world, loans);
        let mut leader = world.leader();
        leader.steps(&mut machine, 1);
        let record = world.job_row().expect("the job");
        let name = if loans == Loans::Kept { "spec_of_lent" } else { "spec" };
        assert_eq!((&record[name], &record["submitted_us"]), (&user_spec, &submitted), "{loans:?}: {record}");
        assert_eq!(world.final_row(), None, "{loans:?}: the placeholder was not removed");
        assert_eq!(leader.stage(), "running", "{loans:?}");
        run_until_done(&world, &mut leader, &mut machine);
        let ended = json!({ "stage": "done", "tasks": TASKS });
        assert_eq!(world.final_row(), Some(ended), "{loans:?}");
        let twice: Vec<_> = machine.started.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "{loans:?}: started more than once: {twice:?}");
    }
}

/// Guards against a job that cannot be cancelled after 0.3.2 has led, or whose final record has a wrong
/// number of tasks.
#[test]
fn a_restored_job_can_be_cancelled() {
    for loans in [Loans::Kept, Loans::Closed] {
        let world = World::new();
        let mut machine = lent_job(&world);
        rewrite_record(&world, loans);
        let follower = world.follower();
        assert_eq!(follower.cancel(), 503, "{loans:?}: cancelled before a leader restored the record");
        let mut leader = world.leader();
        leader.steps(&mut machine, 1);
        leader.cancel();
        leader.lend();
        leader.lend();
        assert_eq!(leader.cancel(), 200, "{loans:?}");
        let ended = json!({ "stage": "cancelled", "tasks": TASKS });
        assert_eq!(world.final_row(), Some(ended), "{loans:?}");
        leader.steps(&mut machine, SETTLE_STEPS);
        assert!(machine.running().is_empty(), "{loans:?}");
    }
}

/// Guards against a version before 0.3 that starts, cancels or ends a job whose loans 0.3.2 has closed. The
/// record still has the description for versions before 0.3, until a leader of this version restores it.
#[test]
fn a_production_leader_does_not_run_a_held_job_whose_loans_0_3_2_closed() {
    let world = World::new();
    let mut machine = lent_job(&world);
    rewrite_record(&world, Loans::Closed);
    let (started, done) = (machine.started.clone(), world.recorded_done());
    let mut earlier = ProductionLeader::elected(&world);
    let mut users = ProductionApi::default();
    for _ in 0..2 * SETTLE_STEPS {
        machine.finish_all();
        earlier.step(&mut machine);
        assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Refused);
    }
    assert_eq!(machine.started, started);
    assert!(world.recorded_done().len() > done.len(), "no result of the running tasks was recorded");
    run_until_done(&world, &mut world.leader(), &mut machine);
    let twice: Vec<_> = machine.started.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "started more than once: {twice:?}");
}

/// Guards against a leader that runs a job after the stored fields that hold its description were lost:
/// without a matching placeholder the record cannot be restored.
#[test]
fn a_held_record_without_a_matching_placeholder_is_unreadable_and_kept() {
    for placeholder in
        [None, Some(json!({ "held": true })), Some(json!({ "held": { "kernels": TASKS - 1 } }))]
    {
        let world = World::new();
        let mut machine = lent_job(&world);
        rewrite_record(&world, Loans::Kept);
        match &placeholder {
            None => drop(world.store().keys.remove(&final_key())),
            Some(value) => {
                let then = vec![Change::put(final_key(), value.clone())];
                world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
            }
        }
        let (record, started) = (world.job_row(), machine.started.clone());
        let done = world.recorded_done();
        let mut leader = world.leader();
        for _ in 0..SETTLE_STEPS {
            leader.step(&mut machine);
            leader.lend();
        }
        assert_eq!(leader.cancel(), 503, "{placeholder:?}");
        assert_eq!(
            leader.user_request("GET", &format!("/api/jobs/{JOB}"), &Value::Null).0,
            503,
            "{placeholder:?}"
        );
        assert_eq!(world.job_row(), record, "{placeholder:?}");
        assert_eq!(world.final_row(), placeholder);
        assert_eq!((machine.started, world.recorded_done()), (started, done), "{placeholder:?}");
        assert!(!world.borrower().tasks().is_empty(), "{placeholder:?}: the loan was closed");
    }
}

/// Guards against a follower of this version that makes no copies of a held job's progress after 0.3.0 has
/// written the job's record.
#[test]
fn a_follower_copies_the_progress_that_0_3_0_records_of_a_held_job() {
    let world = World::new();
    let machine = lent_job(&world);
    rewrite_record(&world, Loans::Kept);
    let mut follower = world.follower();
    follower.receive_leader_announcement("0.3.0");
    let done: Vec<u32> = machine.started.keys().copied().collect();
    let text = common::production::ranges_text(&done.iter().copied().collect());
    let then = vec![Change::put(format!("done/{JOB}/0"), json!(text))];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    follower.keep_progress();
    assert!(done.iter().all(|task| world.copied_done().contains(task)), "{:?}", world.copied_done());
}
