//! A write of loans that is not answered is sent again, and the retry is refused. The refusal says nothing of the
//! first copy, which may still be executed: until that is known, the tasks must start in neither cell.

mod common;

use common::lender_messages::{accepted, deliver, item};
use common::lending_scenario::tasks;
use common::lending_world::{Machine, World, SETTLE_STEPS};
use common::store_faults::TxnFault;
use milletlock_cells::{LoanAction, LoanNumber, TaskSet};

const LOAN: LoanNumber = LoanNumber(5);
/// The tasks of the loan. They are more than the machine can run at the same time.
const LOAN_TASKS: &str = "20-39";
/// The prefix of the keys of borrowed jobs' records.
const BORROWED_RECORDS: &str = "borrowed/job/";
/// The prefix of the keys of own jobs' records.
const RECORDS: &str = "job/";

/// Guards against tasks that run in two cells: after a refused retry the lender started the tasks of a loan that
/// was recorded late.
#[test]
fn a_lender_starts_no_task_of_a_loan_whose_retried_write_was_refused() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    world.faults().by_prefix = Some((RECORDS, TxnFault::Late));
    leader.lend();
    world.faults().by_prefix = None;
    world.faults().refused_prefix = Some(RECORDS);
    leader.lend();
    for _ in 0..2 * SETTLE_STEPS {
        leader.step(&mut machine);
        machine.finish_all();
    }
    let started: TaskSet = machine.started.keys().copied().collect();
    world.execute_late_transactions();
    let record = world.job_row().expect("the job");
    let lent = tasks(record["lending"]["loans"][0]["tasks"].as_str().expect("a loan"));
    assert!(!lent.is_empty() && !started.is_empty(), "lent {lent}, started {started}");
    assert_eq!(lent.intersection(&started), TaskSet::new(), "started here and lent");
    // The next retry meets a conflict, and the record is read back.
    world.faults().refused_prefix = None;
    leader.lend();
    assert!(leader.status()["cells"]["lent"].as_array().is_some_and(|loans| !loans.is_empty()));
}

/// Guards against tasks that run in two cells: after a refused retry the borrower started recalled tasks, and the
/// smaller record without them was written late. A new leader then reports them as returned.
#[test]
fn a_borrower_starts_no_task_of_a_recall_whose_retried_write_was_refused() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    let loan = |action| vec![item(LOAN, LOAN_TASKS, action)];
    deliver(&leader, loan(LoanAction::Run), LoanNumber::default());
    leader.steps(&mut machine, SETTLE_STEPS);
    world.faults().by_prefix = Some((BORROWED_RECORDS, TxnFault::Late));
    deliver(&leader, loan(LoanAction::Recall), LoanNumber::default());
    world.faults().by_prefix = None;
    world.faults().refused_prefix = Some(BORROWED_RECORDS);
    deliver(&leader, loan(LoanAction::Recall), LoanNumber::default());
    for _ in 0..2 * SETTLE_STEPS {
        leader.step(&mut machine);
        machine.finish_all();
    }
    let started: TaskSet = machine.started.keys().copied().collect();
    world.execute_late_transactions();
    world.faults().refused_prefix = None;
    drop(leader);
    let leader = world.leader();
    let kept = accepted(&deliver(&leader, loan(LoanAction::Recall), LoanNumber::default())[0]);
    let returned = tasks(LOAN_TASKS).difference(&kept);
    assert!(!returned.is_empty() && !started.is_empty(), "returned {returned}, started {started}");
    assert_eq!(returned.intersection(&started), TaskSet::new(), "started here and returned");
}
