//! A job accepted in this cell with the same id as a borrowed job. A version before 0.3 accepts such a job,
//! since it does not check the records of borrowed tasks.

mod common;

use common::lending_scenario::tasks;
use common::lending_world::{Machine, World, JOB, SETTLE_STEPS};
use common::{record, spec};
use milletlock::loan_messages::{report_from_proto, request_to_proto};
use milletlock::peer::{PeerMessage, PeerReply};
use milletlock::wire::{Change, Txn};
use milletlock_cells::{
    BorrowedJob, BorrowedLoan, LoanAction, LoanItem, LoanNumber, LoanReport, LoanState, LoanSyncRequest,
    TaskSet,
};
use serde_json::json;

const LOAN: LoanNumber = LoanNumber(5);

/// Writes the records of a borrowed job and of a job with the same id that this cell accepted and that has
/// done tasks.
fn write_records_of_both(world: &World) {
    let description = json!(spec(1, 40, "batch"));
    let loans = vec![BorrowedLoan { number: LOAN, tasks: tasks("0-9") }];
    let borrowed = BorrowedJob { lender: "there".into(), description, loans };
    let then = vec![
        Change::put(format!("job/{JOB}"), json!(record(spec(1, 40, "batch")))),
        Change::put(format!("borrowed/job/{JOB}"), json!(borrowed)),
        Change::put(format!("done/{JOB}/0"), json!("0-4")),
    ];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
}

/// The lender's message that asks the borrower to run the loan.
fn message() -> LoanSyncRequest {
    let (job, tasks) = (JOB.into(), tasks("0-9"));
    let item = LoanItem { number: LOAN, job, tasks, action: LoanAction::Run, offer: None };
    let (from, to, horizon) = ("there".into(), "here".into(), LoanNumber::default());
    LoanSyncRequest { from, to, term: 1, horizon, loans: vec![item] }
}

/// Guards against done tasks of this cell's job that are reported to the lender as done tasks of its job.
#[test]
fn done_tasks_of_an_own_job_are_not_reported_to_the_lender_of_a_job_with_its_id() {
    let world = World::new();
    write_records_of_both(&world);
    let leader = world.leader();
    let reply = leader.controller.handle_peer_message(&PeerMessage::Lend(request_to_proto(&message())));
    let PeerReply::Loans(reply) = reply else { panic!("no reports") };
    let reports: Vec<LoanReport> =
        reply.reports.iter().map(|report| report_from_proto(report).expect("a report")).collect();
    let state = LoanState::Accepted { tasks: tasks("0-9"), done: TaskSet::new() };
    assert_eq!(reports, [LoanReport { number: LOAN, state }]);
}

/// Guards against results of borrowed tasks that are removed like those of an ended loan.
#[test]
fn results_of_borrowed_tasks_are_kept_beside_an_own_job_with_the_same_id() {
    let world = World::new();
    write_records_of_both(&world);
    let key = format!("borrowed/done/{JOB}/0");
    let then = vec![Change::put(key.clone(), json!("5-9"))];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    let mut leader = world.leader();
    leader.steps(&mut Machine::new("i-000001"), SETTLE_STEPS);
    assert_eq!(world.store().row(&key).map(|row| row.value), Some(json!("5-9")));
}
