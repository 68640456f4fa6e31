//! A job of this cell that has the id of a borrowed one: a version before 0.3 accepts it, since it looks at no record
//! of borrowed tasks.

mod common;

use common::lending_scenario::tasks;
use common::lending_world::{Machine, World, JOB, SETTLED};
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

/// The records of a borrowed job and of one of its id that was accepted here, of which tasks are done.
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

/// The lender's message about the loan.
fn message() -> LoanSyncRequest {
    let (job, tasks) = (JOB.into(), tasks("0-9"));
    let item = LoanItem { number: LOAN, job, tasks, action: LoanAction::Run, offer: None };
    let (from, to, horizon) = ("there".into(), "here".into(), LoanNumber::default());
    LoanSyncRequest { from, to, term: 1, horizon, loans: vec![item] }
}

/// Guards against a job that another cell calls done for tasks of a job of this one.
#[test]
fn tasks_of_an_own_job_do_not_count_as_done_for_another_cell() {
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

/// Guards against results of borrowed tasks that are removed as those of an ended loan.
#[test]
fn the_results_of_a_loan_are_kept_beside_an_own_job_of_its_id() {
    let world = World::new();
    write_records_of_both(&world);
    let key = format!("borrowed/done/{JOB}/0");
    let then = vec![Change::put(key.clone(), json!("5-9"))];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    let mut leader = world.leader();
    leader.steps(&mut Machine::new("i-000001"), SETTLED);
    assert_eq!(world.store().row(&key).map(|row| row.value), Some(json!("5-9")));
}
