//! The writes that lend tasks of a job, settle and write off loans, and cancel and end the job. The tests
//! check the effects of a lost answer, a lost write and a late write, and the value that is left under
//! `final/`. The records are those that leaders of this version write.

mod common;

use common::leader_without_copies::{run_until_ended, MAX_STEPS};
use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS, TASKS};
use common::production_api::{read_final_record, CancelAnswer, ProductionApi};
use common::production_leader::ProductionLeader;
use common::store_faults::TxnFault;
use milletlock::wire::{Change, Txn};
use serde_json::json;

/// The writes of a job's record, in the order in which they occur.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Lend,
    Settle,
    CloseLastLoan,
    WriteOff,
    Cancel,
    EndCancelled,
    EndDone,
}

const STEPS: [Step; 7] = [
    Step::Lend,
    Step::Settle,
    Step::CloseLastLoan,
    Step::WriteOff,
    Step::Cancel,
    Step::EndCancelled,
    Step::EndDone,
];

const FAULTS: [TxnFault; 3] = [TxnFault::AnswerLost, TxnFault::Lost, TxnFault::Late];

/// Lets the borrower accept the loans that are open, and no further ones.
fn fill_borrower(world: &World, leader: &mut Leader<'_>) {
    world.borrower().is_full = true;
    leader.lend();
}

/// A cell in which the next write of the job's record is that of `step`.
fn world_before(step: Step) -> (World, Machine) {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    world.store().is_recording = true;
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    if step != Step::Lend {
        leader.lend_until_accepted(&mut machine);
        leader.steps(&mut machine, SETTLE_STEPS);
        machine.finish_one();
        leader.steps(&mut machine, SETTLE_STEPS);
        fill_borrower(&world, &mut leader);
    }
    if step == Step::EndCancelled {
        world.borrower().is_cut_off = true;
        assert_eq!(leader.cancel(), 503);
        world.borrower().is_cut_off = false;
    }
    if step == Step::EndDone {
        all_done_but_not_ended(&world, &mut leader, &mut machine);
    }
    (world, machine)
}

/// Runs the cells until all tasks have finished. The machine has not reported those that finished last, and a
/// loan is still open.
fn all_done_but_not_ended(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    let borrowed = world.borrower().tasks();
    for _ in 0..MAX_STEPS {
        leader.step(machine);
        let recorded = world.recorded_done().len() as u32;
        if recorded + borrowed.len() + machine.running().len() as u32 == TASKS {
            break;
        }
        machine.finish_all();
    }
    world.borrower().done = borrowed;
    leader.lend();
    world.borrower().is_cut_off = true;
    leader.steps(machine, SETTLE_STEPS);
    machine.finish_all();
}

/// A new leader whose next write of the job's record is that of `step`.
fn leader_before<'a>(step: Step, world: &'a World, machine: &mut Machine) -> Leader<'a> {
    let mut leader = world.leader();
    if step != Step::EndDone {
        leader.steps(machine, 1);
    }
    leader
}

/// Makes the write of `step`, which may be lost, late or unanswered.
fn perform(step: Step, world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    match step {
        Step::Lend => leader.lend(),
        Step::Settle => {
            let borrowed = world.borrower().tasks();
            world.borrower().tasks_to_return = borrowed.iter().take(2).collect();
            leader.lend();
        }
        Step::CloseLastLoan => {
            world.borrower().return_unfinished();
            leader.lend();
        }
        Step::WriteOff => {
            world.borrower().is_cut_off = true;
            leader.write_off();
        }
        Step::Cancel => {
            world.borrower().is_cut_off = true;
            leader.cancel();
        }
        Step::EndCancelled => leader.lend(),
        Step::EndDone => leader.steps(machine, 1),
    }
}

fn has_loans(world: &World) -> bool {
    world.job_row().is_some_and(|record| record.get("lending").is_some())
}

/// Asserts that the stored records are consistent. A live job has no final record; without loans it has no
/// value under `final/` at all. A job that has ended has only a final record there. No late copy of an
/// executed write of the job would be executed again.
fn assert_consistent(world: &World, context: &str) {
    let final_row = world.final_row();
    let is_final = final_row.as_ref().is_some_and(|value| read_final_record(value).is_some());
    match world.job_row() {
        Some(_) if has_loans(world) => assert!(!is_final, "{context}: {final_row:?}"),
        Some(_) => assert_eq!(final_row, None, "{context}: without loans"),
        None => assert!(final_row.is_none() || is_final, "{context}: {final_row:?} without a live job"),
    }
    let store = world.store();
    let of_job = |txn: &&&Txn| txn.then.iter().any(|change| change.key().contains(JOB));
    let executed = store.repeatable();
    let repeatable: Vec<_> = executed.iter().filter(of_job).collect();
    assert!(repeatable.is_empty(), "{context}: a late copy would be executed: {repeatable:?}");
}

/// Runs the cells until the job has ended, and asserts after each step that the records are consistent.
fn run_until_ended_with_checks(world: &World, leader: &mut Leader<'_>, machine: &mut Machine, context: &str) {
    run_until_ended(world, leader, machine, context, |world| assert_consistent(world, context));
}

fn assert_none_ran_twice(machine: &Machine, context: &str) {
    let twice: Vec<_> = machine.started.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "{context}: started more than once: {twice:?}");
}

/// Guards against inconsistent records and repeated starts after a write that is lost, is executed late or
/// whose answer is lost.
#[test]
fn an_unanswered_write_leaves_consistent_records_and_starts_no_task_twice() {
    for step in STEPS {
        for fault in FAULTS {
            for is_replaced in [false, true] {
                let context = format!("{step:?}, {fault:?}, leader replaced: {is_replaced}");
                let (world, mut machine) = world_before(step);
                let mut leader = leader_before(step, &world, &mut machine);
                world.faults().next = [fault].into();
                perform(step, &world, &mut leader, &mut machine);
                assert!(world.faults().next.is_empty(), "{context}: nothing was written");
                assert_consistent(&world, &context);
                if is_replaced {
                    leader = world.leader();
                }
                run_until_ended_with_checks(&world, &mut leader, &mut machine, &context);
                assert_none_ran_twice(&machine, &context);
                let is_cancelled = matches!(step, Step::Cancel | Step::EndCancelled);
                let stage = world.final_row().expect("ended")["stage"].clone();
                assert_eq!(stage == "cancelled", is_cancelled, "{context}: {stage}");
            }
        }
    }
}

/// Guards against late copies of writes that are executed, and against a placeholder that remains after the
/// loans are closed.
#[test]
fn each_write_leaves_consistent_records_and_no_late_copy_is_executed() {
    for step in STEPS {
        let context = format!("{step:?}");
        let (world, mut machine) = world_before(step);
        assert_consistent(&world, &context);
        let mut leader = leader_before(step, &world, &mut machine);
        perform(step, &world, &mut leader, &mut machine);
        assert_consistent(&world, &context);
        let is_held = matches!(step, Step::Lend | Step::Settle | Step::Cancel);
        assert_eq!(has_loans(&world), is_held, "{context}: {:?}", world.job_row());
        let answer = ProductionApi::default().cancel(&mut world.store(), JOB);
        let is_refused = answer == CancelAnswer::Refused;
        assert_eq!(is_refused, is_held, "{context}: the earlier version answers {answer:?}");
    }
}

/// Guards against inconsistent records and repeated starts after the write of a restored record that is
/// lost, is executed late or whose answer is lost.
#[test]
fn an_unanswered_restoring_write_leaves_consistent_records_and_starts_no_task_twice() {
    for fault in FAULTS {
        for closes_loans in [false, true] {
            for is_replaced in [false, true] {
                let context =
                    format!("{fault:?}, loans closed: {closes_loans}, leader replaced: {is_replaced}");
                let (world, mut machine) = world_before(Step::Settle);
                if closes_loans {
                    world.borrower().loans.clear();
                }
                world.store().rewrite_as_0_3_2(JOB, |lending| {
                    lending.loans.retain(|_| !closes_loans);
                });
                world.faults().next = [fault].into();
                let mut leader = world.leader();
                leader.steps(&mut machine, 1);
                assert!(world.faults().next.is_empty(), "{context}: nothing was written");
                if is_replaced {
                    leader = world.leader();
                }
                for _ in 0..SETTLE_STEPS {
                    leader.lend();
                    leader.step(&mut machine);
                }
                assert_consistent(&world, &context);
                run_until_ended_with_checks(&world, &mut leader, &mut machine, &context);
                assert_none_ran_twice(&machine, &context);
                assert_eq!(world.final_row().expect("ended")["stage"], "done", "{context}");
            }
        }
    }
}

/// Guards against a restoring write that is never sent again by a leader without a `cells` block in its
/// settings, which sends no messages to other cells.
#[test]
fn a_restoring_write_is_sent_again_by_a_leader_without_a_cells_block() {
    for fault in FAULTS {
        let context = format!("{fault:?}");
        let (world, mut machine) = world_before(Step::Settle);
        world.borrower().loans.clear();
        world.store().rewrite_as_0_3_2(JOB, |lending| lending.loans.clear());
        world.faults().next = [fault].into();
        let mut leader = world.leader_without_cells();
        leader.steps(&mut machine, SETTLE_STEPS);
        assert!(world.faults().next.is_empty(), "{context}: nothing was written");
        assert_consistent(&world, &context);
        run_until_ended_with_checks(&world, &mut leader, &mut machine, &context);
        assert_none_ran_twice(&machine, &context);
    }
}

/// Guards against a write that replaces the final record of a job. Each write is guarded by the value under
/// `final/`.
#[test]
fn no_write_replaces_a_final_record() {
    let ended = json!({ "stage": "done", "tasks": TASKS });
    let put = || Change::put(format!("final/{JOB}"), ended.clone());
    for step in STEPS {
        let (world, mut machine) = world_before(step);
        let mut leader = leader_before(step, &world, &mut machine);
        world.store().txn(&Txn { guards: Vec::new(), then: vec![put()] }).expect("written");
        perform(step, &world, &mut leader, &mut machine);
        leader.steps(&mut machine, SETTLE_STEPS);
        assert_eq!(world.final_row().as_ref(), Some(&ended), "{step:?}");
    }
    // The same holds for a job of which nothing is lent.
    let (world, _) = world_before(Step::Lend);
    let leader = world.leader();
    world.store().txn(&Txn { guards: Vec::new(), then: vec![put()] }).expect("written");
    assert_eq!(leader.cancel(), 503);
    assert_eq!(world.final_row(), Some(ended));
}

/// Guards against a cancellation by the earlier version that is executed late, after the loans are closed.
#[test]
fn a_refused_cancellation_by_the_earlier_version_is_not_executed_later() {
    let (world, mut machine) = world_before(Step::CloseLastLoan);
    let late = world.store().production_cancellation(JOB);
    let is_refused = || late.as_ref().is_none_or(|txn| world.store().txn(txn).is_err());
    let mut leader = world.leader();
    leader.steps(&mut machine, 1);
    assert!(is_refused(), "a loan is open");
    perform(Step::CloseLastLoan, &world, &mut leader, &mut machine);
    assert!(!has_loans(&world));
    assert!(is_refused(), "the job has changed since the cancellation was sent");
}

/// Guards against a cancellation that one version confirms and the other does not.
#[test]
fn a_cancellation_requested_under_an_earlier_leader_takes_effect_under_this_version() {
    let (world, mut machine) = world_before(Step::Cancel);
    let follower = world.follower();
    let (started, running) = (machine.started.clone(), machine.running());
    assert!(!running.is_empty());
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, SETTLE_STEPS);
    let mut users = ProductionApi::default();
    assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Refused);
    world.borrower().is_cut_off = true;
    assert_eq!(follower.cancel(), 503);
    assert_eq!(world.job_row().expect("live")["lending"]["cancelling"], true);
    earlier.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::Refused);
    assert_eq!(machine.running(), running, "tasks stopped although no cancellation was confirmed");
    let mut leader = world.leader();
    world.borrower().is_cut_off = false;
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.step(&mut machine);
    }
    assert_eq!(leader.cancel(), 200);
    assert_eq!(world.final_row().expect("ended")["stage"], "cancelled");
    leader.steps(&mut machine, SETTLE_STEPS);
    assert!(machine.running().is_empty() && machine.started == started);
    assert_eq!(users.cancel(&mut world.store(), JOB), CancelAnswer::AlreadyOver("cancelled".into()));
}

/// Guards against a placeholder that remains or that prevents the job's end, under a leader without a `cells`
/// block in its settings.
#[test]
fn a_leader_without_the_cells_block_ends_the_job_with_its_placeholder() {
    let (world, mut machine) = world_before(Step::EndDone);
    assert!(has_loans(&world) && world.final_row().is_some());
    let mut leader = world.leader_without_cells();
    leader.steps(&mut machine, 2 * SETTLE_STEPS);
    assert_consistent(&world, "without the cells block");
    assert_eq!(world.final_row().expect("ended")["stage"], "done");
    let store = world.store();
    let left: Vec<&String> = store.keys.keys().filter(|key| key.contains(JOB)).collect();
    assert_eq!(left, [&format!("final/{JOB}")]);
}
