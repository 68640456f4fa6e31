//! Messages that are invalid, late or from another cell. They must not change the ledgers.

use std::collections::BTreeMap;

use milletlock_cells::{
    BorrowRefusal, BorrowerLedger, CellSummary, LenderLedger, Loan, LoanAction, LoanItem, LoanNumber,
    LoanOffer, LoanReport, LoanReportError, LoanState, LoanSyncRequest, LocalTasks, SummaryError, TaskSet,
    TaskSetError, MAX_TASKS, SUMMARY_FORMAT,
};
use serde_json::json;

/// A cell in which no task has started, and which accepts every loan.
struct AcceptingCell;

impl LocalTasks for AcceptingCell {
    fn unstarted(&self, _job: &str, tasks: &TaskSet) -> TaskSet {
        tasks.clone()
    }

    fn admit(&self, _item: &LoanItem, _offer: &LoanOffer) -> Result<(), BorrowRefusal> {
        Ok(())
    }
}

fn item(number: u64, job: &str, tasks: &str, action: LoanAction) -> LoanItem {
    let offer = LoanOffer { description: json!({}), job_tasks: 10 };
    let tasks = TaskSet::parse(tasks).expect("tasks");
    LoanItem { number: LoanNumber(number), job: job.into(), tasks, action, offer: Some(offer) }
}

fn request(from: &str, horizon: u64, loans: Vec<LoanItem>) -> LoanSyncRequest {
    LoanSyncRequest { from: from.into(), to: "borrower".into(), term: 1, horizon: LoanNumber(horizon), loans }
}

/// Applies all changes that follow from a message. Returns the refusals.
fn handle(ledger: &mut BorrowerLedger, request: &LoanSyncRequest) -> Vec<BorrowRefusal> {
    let (mut refusals, mut changes) = (Vec::new(), 0);
    while let Some(change) = ledger.next_change(request, &AcceptingCell) {
        changes += 1;
        assert!(changes < 100, "the number of changes is not bounded");
        refusals.extend(change.refusal.clone());
        ledger.apply(&change);
    }
    refusals
}

#[test]
fn a_repeated_offer_changes_nothing() {
    let mut borrower = BorrowerLedger::default();
    let offer = request("lender", 5, vec![item(5, "wk-1", "0-3", LoanAction::Run)]);
    assert!(handle(&mut borrower, &offer).is_empty());
    let accepted = borrower.reports(&offer, |_| TaskSet::new());
    assert_eq!(accepted[0].state, LoanState::Accepted { tasks: TaskSet::span(0, 4), done: TaskSet::new() });
    assert!(borrower.next_change(&offer, &AcceptingCell).is_none(), "a repeated offer changes nothing");
    assert_eq!(borrower.reports(&offer, |_| TaskSet::new()), accepted);
    // The lender closes the loan. A copy of the offer that arrives later creates no record.
    handle(&mut borrower, &request("lender", 9, Vec::new()));
    assert!(borrower.job("wk-1").is_none());
    assert!(borrower.next_change(&offer, &AcceptingCell).is_none());
    assert_eq!(borrower.reports(&offer, |_| TaskSet::new())[0].state, LoanState::Closed);
}

#[test]
fn a_late_message_does_not_delete_loans_made_after_it() {
    let mut borrower = BorrowerLedger::default();
    handle(&mut borrower, &request("lender", 7, vec![item(7, "wk-1", "0-3", LoanAction::Run)]));
    handle(&mut borrower, &request("lender", 6, Vec::new()));
    assert!(borrower.job("wk-1").is_some());
    // A message of another lender does not delete the loan either.
    handle(&mut borrower, &request("other", 9, Vec::new()));
    assert!(borrower.job("wk-1").is_some());
}

#[test]
fn invalid_offers_are_refused_and_reported_as_closed() {
    let mut borrower = BorrowerLedger::default();
    handle(&mut borrower, &request("lender", 1, vec![item(1, "wk-1", "0-3", LoanAction::Run)]));
    let invalid = [
        (request("lender", 0, vec![item(2, "wk-2", "8-10", LoanAction::Run)]), BorrowRefusal::InvalidTasks),
        (request("lender", 0, vec![item(3, "wk-2", "", LoanAction::Run)]), BorrowRefusal::InvalidTasks),
        (request("lender", 0, vec![item(4, "wk-1", "3-5", LoanAction::Run)]), BorrowRefusal::AlreadyBorrowed),
        (request("other", 0, vec![item(4, "wk-1", "7", LoanAction::Run)]), BorrowRefusal::JobIdInUse),
    ];
    for (request, refusal) in invalid {
        assert_eq!(handle(&mut borrower, &request), [refusal]);
        let reports = borrower.reports(&request, |_| TaskSet::new());
        assert_eq!(reports[0].state, LoanState::Closed);
    }
    assert_eq!(borrower.job("wk-1").expect("the job").tasks(), TaskSet::span(0, 4));
}

#[test]
fn a_loan_cancelled_or_recalled_before_its_offer_arrives_is_closed() {
    for action in [LoanAction::Cancel, LoanAction::Recall] {
        let mut borrower = BorrowerLedger::default();
        let request = request("lender", 3, vec![item(3, "wk-1", "0-3", action)]);
        assert!(handle(&mut borrower, &request).is_empty());
        assert!(borrower.job("wk-1").is_none());
        assert_eq!(borrower.reports(&request, |_| TaskSet::new())[0].state, LoanState::Closed);
    }
}

#[test]
fn returned_tasks_are_not_accepted_again_from_an_older_message() {
    let mut borrower = BorrowerLedger::default();
    let offer = request("lender", 5, vec![item(5, "wk-1", "0-3", LoanAction::Run)]);
    handle(&mut borrower, &offer);
    let recall = request("lender", 5, vec![item(5, "wk-1", "0-3", LoanAction::Recall)]);
    let change = borrower.next_change(&recall, &AcceptingCell).expect("a change");
    assert_eq!(change.withdrawn, TaskSet::span(0, 4), "the tasks are withheld before the write is sent");
    handle(&mut borrower, &recall);
    handle(&mut borrower, &offer);
    assert!(borrower.job("wk-1").is_none());
}

/// The ledger of a lender that has lent tasks 0 to 3 of a job.
fn lender() -> LenderLedger {
    let mut lender = LenderLedger::new(1);
    let number = lender.next_number().expect("a number");
    let loan = Loan { number, borrower: "borrower".into(), tasks: TaskSet::span(0, 4) };
    let lending = lender.with_loan("wk-1", loan);
    lender.load("wk-1", lending);
    lender.mark_write_resolved(number);
    lender
}

fn report(number: LoanNumber, tasks: &str, done: &str) -> LoanReport {
    let set = |text| TaskSet::parse(text).expect("tasks");
    LoanReport { number, state: LoanState::Accepted { tasks: set(tasks), done: set(done) } }
}

#[test]
fn reports_that_contradict_the_ledger_are_refused() {
    let lender = lender();
    let number = lender.horizon();
    let change_for =
        |borrower: &str, report: &LoanReport| lender.change_for_report(borrower, report, |_| TaskSet::new());
    assert!(matches!(
        change_for("other", &report(number, "0-3", "1")),
        Err(LoanReportError::LentElsewhere { .. })
    ));
    assert!(matches!(
        change_for("borrower", &report(number, "0-3", "9")),
        Err(LoanReportError::NotLent { .. })
    ));
    let later = LoanNumber(number.0 + 1);
    assert!(matches!(change_for("borrower", &report(later, "0-3", "1")), Err(LoanReportError::NeverMade(_))));
    let earlier = number.previous();
    assert_eq!(
        change_for("borrower", &report(earlier, "0-3", "1")),
        Ok(None),
        "a report on a closed loan is ignored"
    );
}

#[test]
fn a_loan_is_closed_only_once_its_results_are_recorded_at_the_lender() {
    let lender = lender();
    let all_done = report(lender.horizon(), "0-3", "0-3");
    let change_for = |recorded: &str| {
        let recorded = TaskSet::parse(recorded).expect("tasks");
        lender
            .change_for_report("borrower", &all_done, |_| recorded.clone())
            .expect("a consistent report")
            .expect("a change")
    };
    assert_eq!(change_for("0-2").lending, None);
    assert_eq!(change_for("0-2").done, TaskSet::span(0, 4));
    assert!(change_for("0-3").lending.is_some_and(|lending| lending.is_empty()));
}

#[test]
fn a_loan_whose_write_is_in_flight_is_beyond_the_horizon() {
    let mut lender = lender();
    let before = lender.horizon();
    let number = lender.next_number().expect("a number");
    assert_eq!(lender.horizon(), before, "a late message that does not list the loan must not close it");
    lender.mark_write_resolved(number);
    assert_eq!(lender.horizon(), number);
    // All numbers of a term are greater than those of earlier terms.
    assert!(LenderLedger::new(2).horizon() > number);
}

#[test]
fn summaries_that_are_stale_or_invalid_are_refused() {
    let valid = CellSummary { format: SUMMARY_FORMAT, composed_us: 10_000_000, ..CellSummary::default() };
    let check = |summary: &CellSummary| summary.check(10_500_000, 3_000_000, 100_000);
    assert_eq!(check(&valid), Ok(()));
    let cases = [
        (CellSummary { format: 2, ..valid.clone() }, SummaryError::UnknownFormat(2)),
        (CellSummary { composed_us: 11_000_000, ..valid.clone() }, SummaryError::FromTheFuture(500)),
        (CellSummary { composed_us: 1_000_000, ..valid.clone() }, SummaryError::Stale(9_500)),
        (CellSummary { spare_cpus: f64::NAN, ..valid.clone() }, SummaryError::InvalidAmount),
        (CellSummary { backlog_s: -1.0, ..valid.clone() }, SummaryError::InvalidAmount),
        (
            CellSummary {
                free_cpus: BTreeMap::from([("small".to_string(), f64::INFINITY)]),
                ..valid.clone()
            },
            SummaryError::InvalidAmount,
        ),
    ];
    for (summary, error) in cases {
        assert_eq!(check(&summary), Err(error));
    }
    let extreme = CellSummary { composed_us: i64::MIN, ..valid };
    assert!(check(&extreme).is_err(), "an extreme time is refused without an overflow");
}

#[test]
fn task_sets_keep_their_value_in_text_and_bytes_and_are_bounded() {
    for text in ["", "0", "0-4,7", "5,9-11"] {
        let tasks = TaskSet::parse(text).expect("tasks");
        assert_eq!(tasks.to_string(), text);
        assert_eq!(TaskSet::from_bytes(&tasks.to_bytes()), Ok(tasks));
    }
    assert!(matches!(TaskSet::parse("4-1"), Err(TaskSetError::Malformed(_))));
    assert!(matches!(TaskSet::parse("x"), Err(TaskSetError::Malformed(_))));
    assert!(matches!(TaskSet::parse("0-4000000000"), Err(TaskSetError::TooLarge(_))));
    assert!(matches!(TaskSet::from_bytes(b"nonsense"), Err(TaskSetError::NotABitmap(_))));
    let beyond = TaskSet::span(MAX_TASKS, MAX_TASKS + 1).to_bytes();
    assert!(matches!(TaskSet::from_bytes(&beyond), Err(TaskSetError::TooLarge(_))));
}
