//! Messages and records that are wrong, late or from elsewhere change nothing.

use std::collections::BTreeMap;

use milletlock_cells::{
    BorrowRefusal, BorrowerLedger, CellSummary, LenderLedger, Loan, LoanAction, LoanItem, LoanNumber,
    LoanOffer, LoanReport, LoanReportError, LoanState, LoanSyncRequest, LocalTasks, SummaryError, TaskSet,
    TaskSetError, MAX_TASKS, SUMMARY_FORMAT,
};
use serde_json::json;

/// A cell where nothing has begun, and everything is welcome.
struct Idle;

impl LocalTasks for Idle {
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

/// Carries out all that a message asks for; returns the refusals.
fn handle(ledger: &mut BorrowerLedger, request: &LoanSyncRequest) -> Vec<BorrowRefusal> {
    let (mut refusals, mut changes) = (Vec::new(), 0);
    while let Some(change) = ledger.next_change(request, &Idle) {
        changes += 1;
        assert!(changes < 100, "it changes without end");
        refusals.extend(change.refusal.clone());
        ledger.apply(&change);
    }
    refusals
}

#[test]
fn an_offer_is_decided_on_once() {
    let mut borrower = BorrowerLedger::default();
    let offer = request("lender", 5, vec![item(5, "wk-1", "0-3", LoanAction::Run)]);
    assert!(handle(&mut borrower, &offer).is_empty());
    let accepted = borrower.reports(&offer, |_| TaskSet::new());
    assert_eq!(accepted[0].state, LoanState::Accepted { tasks: TaskSet::span(0, 4), done: TaskSet::new() });
    assert!(borrower.next_change(&offer, &Idle).is_none(), "the same offer again changes nothing");
    assert_eq!(borrower.reports(&offer, |_| TaskSet::new()), accepted);
    // The lender closes it. A copy of the offer that comes later creates nothing.
    handle(&mut borrower, &request("lender", 9, Vec::new()));
    assert!(borrower.job("wk-1").is_none());
    assert!(borrower.next_change(&offer, &Idle).is_none());
    assert_eq!(borrower.reports(&offer, |_| TaskSet::new())[0].state, LoanState::Closed);
}

#[test]
fn a_late_message_does_not_drop_loans_that_were_made_after_it() {
    let mut borrower = BorrowerLedger::default();
    handle(&mut borrower, &request("lender", 7, vec![item(7, "wk-1", "0-3", LoanAction::Run)]));
    handle(&mut borrower, &request("lender", 6, Vec::new()));
    assert!(borrower.job("wk-1").is_some());
    // Nor does one of another lender.
    handle(&mut borrower, &request("other", 9, Vec::new()));
    assert!(borrower.job("wk-1").is_some());
}

#[test]
fn wrong_offers_are_refused_for_good() {
    let mut borrower = BorrowerLedger::default();
    handle(&mut borrower, &request("lender", 1, vec![item(1, "wk-1", "0-3", LoanAction::Run)]));
    let wrong = [
        (request("lender", 0, vec![item(2, "wk-2", "8-10", LoanAction::Run)]), BorrowRefusal::InvalidTasks),
        (request("lender", 0, vec![item(3, "wk-2", "", LoanAction::Run)]), BorrowRefusal::InvalidTasks),
        (request("lender", 0, vec![item(4, "wk-1", "3-5", LoanAction::Run)]), BorrowRefusal::AlreadyBorrowed),
        (request("other", 0, vec![item(4, "wk-1", "7", LoanAction::Run)]), BorrowRefusal::JobIdInUse),
    ];
    for (request, refusal) in wrong {
        assert_eq!(handle(&mut borrower, &request), [refusal]);
        let reports = borrower.reports(&request, |_| TaskSet::new());
        assert_eq!(reports[0].state, LoanState::Closed);
    }
    assert_eq!(borrower.job("wk-1").expect("the job").tasks(), TaskSet::span(0, 4));
}

#[test]
fn a_cancelled_or_recalled_offer_that_was_never_seen_is_closed() {
    for action in [LoanAction::Cancel, LoanAction::Recall] {
        let mut borrower = BorrowerLedger::default();
        let request = request("lender", 3, vec![item(3, "wk-1", "0-3", action)]);
        assert!(handle(&mut borrower, &request).is_empty());
        assert!(borrower.job("wk-1").is_none());
        assert_eq!(borrower.reports(&request, |_| TaskSet::new())[0].state, LoanState::Closed);
    }
}

#[test]
fn what_was_given_back_does_not_start_again_with_an_older_message() {
    let mut borrower = BorrowerLedger::default();
    let offer = request("lender", 5, vec![item(5, "wk-1", "0-3", LoanAction::Run)]);
    handle(&mut borrower, &offer);
    let recall = request("lender", 5, vec![item(5, "wk-1", "0-3", LoanAction::Recall)]);
    let change = borrower.next_change(&recall, &Idle).expect("a change");
    assert_eq!(change.withdrawn, TaskSet::span(0, 4), "held back from before the write on");
    handle(&mut borrower, &recall);
    handle(&mut borrower, &offer);
    assert!(borrower.job("wk-1").is_none());
}

/// A ledger that has lent tasks 0 to 3 of a job.
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
fn results_that_cannot_be_are_refused() {
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
    assert_eq!(change_for("borrower", &report(earlier, "0-3", "1")), Ok(None), "closed long ago");
}

#[test]
fn a_loan_is_closed_only_once_its_results_are_recorded_at_the_lender() {
    let lender = lender();
    let all_done = report(lender.horizon(), "0-3", "0-3");
    let change_for = |recorded: &str| {
        let recorded = TaskSet::parse(recorded).expect("tasks");
        lender
            .change_for_report("borrower", &all_done, |_| recorded.clone())
            .expect("a true report")
            .expect("a change")
    };
    assert_eq!(change_for("0-2").lending, None);
    assert_eq!(change_for("0-2").done, TaskSet::span(0, 4));
    assert!(change_for("0-3").lending.is_some_and(|lending| lending.is_empty()));
}

#[test]
fn a_loan_being_written_is_beyond_the_horizon() {
    let mut lender = lender();
    let before = lender.horizon();
    let number = lender.next_number().expect("a number");
    assert_eq!(lender.horizon(), before, "a late message without it must not close it");
    lender.mark_write_resolved(number);
    assert_eq!(lender.horizon(), number);
    // A term's numbers are all greater than those of the terms before it.
    assert!(LenderLedger::new(2).horizon() > number);
}

#[test]
fn a_summary_is_acted_on_only_while_it_says_how_things_stand() {
    let good = CellSummary { format: SUMMARY_FORMAT, composed_us: 10_000_000, ..CellSummary::default() };
    let check = |summary: &CellSummary| summary.check(10_500_000, 3_000_000, 100_000);
    assert_eq!(check(&good), Ok(()));
    let cases = [
        (CellSummary { format: 2, ..good.clone() }, SummaryError::UnknownFormat(2)),
        (CellSummary { composed_us: 11_000_000, ..good.clone() }, SummaryError::FromTheFuture(500)),
        (CellSummary { composed_us: 1_000_000, ..good.clone() }, SummaryError::Stale(9_500)),
        (CellSummary { spare_cpus: f64::NAN, ..good.clone() }, SummaryError::InvalidAmount),
        (CellSummary { backlog_s: -1.0, ..good.clone() }, SummaryError::InvalidAmount),
        (
            CellSummary { free_cpus: BTreeMap::from([("small".to_string(), f64::INFINITY)]), ..good.clone() },
            SummaryError::InvalidAmount,
        ),
    ];
    for (summary, error) in cases {
        assert_eq!(check(&summary), Err(error));
    }
    let extreme = CellSummary { composed_us: i64::MIN, ..good };
    assert!(check(&extreme).is_err(), "no panic on input");
}

#[test]
fn sets_of_tasks_are_read_as_written_and_bounded() {
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
