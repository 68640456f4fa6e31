//! A borrower whose state store answers late. While an answer is on its way, other threads of the leader
//! change the same record. The older state in the late answer must not replace the newer one.

mod common;

use common::lender_messages::{accepted, deliver, item, offer};
use common::lending_scenario::tasks;
use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS, STEP};
use common::store_faults::TxnFault;
use milletlock::time::Micros;
use milletlock_cells::{LoanAction, LoanItem, LoanNumber, LoanState, TaskSet};

const FIRST_LOAN: LoanNumber = LoanNumber(5);
const SECOND_LOAN: LoanNumber = LoanNumber(6);
/// The tasks of the first loan. They are more than the machine can run at the same time.
const FIRST_TASKS: &str = "20-39";
const SECOND_TASKS: &str = "10-19";

/// The id of another job of the lender.
const OTHER_JOB: &str = "wk-000002";
/// The key of the record of the borrowed job with the id `JOB`.
const BORROWED_RECORD: &str = "borrowed/job/wk-000001";
/// More than the interval between two writes that remove start marks of ended jobs.
const DEFERRED_WRITE_INTERVAL: Micros = Micros(4_000_000);

fn first_loan(action: LoanAction) -> LoanItem {
    item(FIRST_LOAN, FIRST_TASKS, action)
}

fn second_loan() -> LoanItem {
    item(SECOND_LOAN, SECOND_TASKS, LoanAction::Run)
}

/// A loan of another job of the lender, for a few tasks.
fn loan_of_other_job() -> LoanItem {
    let few = item(FIRST_LOAN, "36-39", LoanAction::Run);
    LoanItem { job: OTHER_JOB.into(), offer: Some(offer(2)), ..few }
}

/// Accepts the first loan, starts as many of its tasks as the machine can run, and ends one of them.
fn borrow(leader: &mut Leader<'_>, machine: &mut Machine) {
    let reports = deliver(leader, vec![first_loan(LoanAction::Run)], LoanNumber::default());
    assert_eq!(accepted(&reports[0]), tasks(FIRST_TASKS));
    leader.steps(machine, SETTLE_STEPS);
    let running = machine.running().len();
    assert!((2..tasks(FIRST_TASKS).len() as usize).contains(&running), "{running} tasks run");
    machine.finish_one();
}

/// Sends the write of a result, which is lost, and returns while the answer to the read that follows is held.
/// `before_read` is called before the read, and `during_read` while its answer is on its way.
fn read_back_late(
    leader: &mut Leader<'_>,
    machine: &mut Machine,
    before_read: impl FnOnce(&mut Leader<'_>),
    during_read: impl FnOnce(&mut Leader<'_>, &mut Machine),
) {
    let world = leader.world();
    leader.heartbeat(machine);
    world.wait(STEP);
    world.faults().by_prefix = Some(("borrowed/done/", TxnFault::Lost));
    world.transactions.close("borrowed/done/");
    let controller = leader.controller.clone();
    let writer = std::thread::spawn(move || controller.write_once());
    world.transactions.wait_until_held();
    before_read(leader);
    world.reads.close("borrowed/job/");
    world.transactions.open();
    world.reads.wait_until_held();
    during_read(leader, machine);
    world.faults().by_prefix = None;
    world.reads.open();
    writer.join().expect("the writer");
}

/// Runs all tasks that start to their end. Returns their numbers. The first tasks may start before the leader
/// writes or reads another record.
fn run_to_rest(leader: &mut Leader<'_>, machine: &mut Machine) -> TaskSet {
    for _ in 0..SETTLE_STEPS {
        machine.finish_all();
        leader.heartbeat(machine);
        leader.world().wait(STEP);
        leader.controller.plan_once();
    }
    for _ in 0..2 * SETTLE_STEPS {
        leader.step(machine);
        machine.finish_all();
    }
    machine.started.keys().copied().collect()
}

/// Guards against tasks that run in two cells: a late read brought back the record from before a recall, and
/// the returned tasks started at the borrower as well.
#[test]
fn a_late_read_does_not_bring_returned_tasks_back() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    borrow(&mut leader, &mut machine);
    let mut kept = TaskSet::new();
    let recall = |leader: &mut Leader<'_>, _: &mut Machine| {
        let reports = deliver(leader, vec![first_loan(LoanAction::Recall)], LoanNumber::default());
        kept = accepted(&reports[0]);
    };
    read_back_late(&mut leader, &mut machine, |_| (), recall);
    let returned = tasks(FIRST_TASKS).difference(&kept);
    assert!(!returned.is_empty() && !kept.is_empty(), "returned {returned}, kept {kept}");
    let started = run_to_rest(&mut leader, &mut machine);
    assert_eq!(started, kept, "the lender may start {returned}");
}

/// Guards against tasks that run in two cells: a late read brought back the record of a loan that had been
/// closed and dropped meanwhile.
#[test]
fn a_late_read_does_not_bring_a_dropped_loan_back() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    borrow(&mut leader, &mut machine);
    let close = |leader: &mut Leader<'_>, machine: &mut Machine| {
        deliver(leader, Vec::new(), FIRST_LOAN);
        // The loan's tasks are halted. Once the worker shows that they have exited, the job is forgotten.
        for _ in 0..4 {
            leader.heartbeat(machine);
        }
    };
    read_back_late(&mut leader, &mut machine, |_| (), close);
    assert!(world.store().row(BORROWED_RECORD).is_none(), "the record was not dropped");
    let starts = machine.started.clone();
    run_to_rest(&mut leader, &mut machine);
    assert_eq!(machine.started, starts, "tasks of a dropped loan started again");
}

/// Guards against tasks that run in two cells: a late read that found no record ended a loan that had been
/// accepted meanwhile, and the lender was told that it is closed.
#[test]
fn a_late_read_does_not_end_a_loan_that_was_accepted_after_it() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    borrow(&mut leader, &mut machine);
    let close = |leader: &mut Leader<'_>| drop(deliver(leader, Vec::new(), FIRST_LOAN));
    let lend_again =
        |leader: &mut Leader<'_>, _: &mut Machine| drop(deliver(leader, vec![second_loan()], FIRST_LOAN));
    read_back_late(&mut leader, &mut machine, close, lend_again);
    let reports = deliver(&leader, vec![second_loan()], FIRST_LOAN);
    assert_eq!(accepted(&reports[0]), tasks(SECOND_TASKS));
}

/// Guards against a loan that is reported as closed although its record is stored: its record was ignored, since
/// another one was deleted during the read, and the lender's record was applied alone.
#[test]
fn records_of_a_loan_that_change_while_they_are_read_are_read_again() {
    let world = World::new();
    let mut leader = world.leader();
    let other = loan_of_other_job();
    deliver(&leader, vec![other.clone()], LoanNumber::default());
    world.faults().by_prefix = Some((BORROWED_RECORD, TxnFault::AnswerLost));
    deliver(&leader, vec![other, second_loan()], LoanNumber::default());
    world.faults().by_prefix = None;
    world.reads.close(BORROWED_RECORD);
    let lending = leader.lend_in_background();
    world.reads.wait_until_held();
    deliver(&leader, Vec::new(), FIRST_LOAN);
    world.reads.open();
    leader.finish_lending(lending);
    let reports = deliver(&leader, vec![second_loan()], FIRST_LOAN);
    assert_eq!(accepted(&reports[0]), tasks(SECOND_TASKS));
}

/// Guards against tasks that run in two cells: after a loan was accepted with a write whose outcome was unknown,
/// the lender's record alone was read back, and its high-water mark had the loan reported as closed.
#[test]
fn a_loan_whose_acceptance_is_unknown_is_not_reported_as_closed() {
    let world = World::new();
    let leader = world.leader();
    let other = loan_of_other_job();
    let reports = deliver(&leader, vec![other.clone()], LoanNumber::default());
    assert_eq!(accepted(&reports[0]), tasks("36-39"));
    // The acceptance of the second loan is executed but not answered. Then it is sent again without success.
    for fault in [TxnFault::AnswerLost, TxnFault::Lost] {
        world.faults().by_prefix = Some((BORROWED_RECORD, fault));
        // In the second message the first loan is closed, which needs a write of the lender's record too.
        let (loans, horizon) = match fault {
            TxnFault::AnswerLost => (vec![other.clone(), second_loan()], LoanNumber::default()),
            _ => (vec![second_loan()], FIRST_LOAN),
        };
        let reports = deliver(&leader, loans, horizon);
        let closed: Vec<_> = reports.iter().filter(|report| report.state == LoanState::Closed).collect();
        assert!(closed.is_empty(), "after {fault:?}: {closed:?}");
    }
    world.faults().by_prefix = None;
    let reports = deliver(&leader, vec![second_loan()], FIRST_LOAN);
    assert_eq!(accepted(&reports[0]), tasks(SECOND_TASKS));
}

/// Guards against tasks that a new leader returns although they run: the late answer to a write of start marks
/// counted for a job that had been borrowed anew meanwhile, and its mark was removed from the state store.
#[test]
fn a_late_answer_sets_no_start_mark_of_a_job_that_was_borrowed_anew() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    deliver(&leader, vec![item(FIRST_LOAN, "36-39", LoanAction::Run)], LoanNumber::default());
    run_to_rest(&mut leader, &mut machine);
    assert_eq!(machine.started.len(), 4);
    // A start of another job has the value written that contains the start marks of both.
    let other = LoanItem { job: OTHER_JOB.into(), offer: Some(offer(2)), ..second_loan() };
    deliver(&leader, vec![item(FIRST_LOAN, "36-39", LoanAction::Run), other.clone()], LoanNumber::default());
    leader.heartbeat(&mut machine);
    world.wait(STEP);
    leader.controller.plan_once();
    world.transactions.close("marks/");
    let controller = leader.controller.clone();
    let writer = std::thread::spawn(move || controller.write_once());
    world.transactions.wait_until_held();
    let anew = item(LoanNumber(7), SECOND_TASKS, LoanAction::Run);
    let reports = deliver(&leader, vec![other, anew], FIRST_LOAN);
    assert_eq!(accepted(&reports[1]), tasks(SECOND_TASKS));
    world.transactions.open();
    writer.join().expect("the writer");
    machine.started.clear();
    for _ in 0..2 * SETTLE_STEPS {
        leader.step(&mut machine);
        machine.finish_all();
        leader.world().wait(DEFERRED_WRITE_INTERVAL);
    }
    let first = tasks(SECOND_TASKS).iter().next().expect("a task");
    assert!(machine.started.contains_key(&first), "{:?}", machine.started);
    let marks = world.store().row("marks/0").expect("start marks").value;
    let mark = marks[JOB].as_u64().unwrap_or(0);
    assert!(mark > u64::from(first), "tasks have started and the stored start marks are {marks}");
}
