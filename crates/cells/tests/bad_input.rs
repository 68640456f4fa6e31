//! Messages and records that are wrong, late or from elsewhere change nothing.

use std::collections::BTreeMap;

use milletlock_cells::{
    CellSummary, GuestLedger, HomeLedger, Loan, LoanItem, LoanNumber, LoanReport, LoanState, LocalTasks,
    Offer, Refusal, ReportError, Request, SummaryError, TaskSet, TaskSetError, Wish, MAX_TASKS, SUMMARY_FORM,
};
use serde_json::json;

/// A cell where nothing has begun, and everything is welcome.
struct Idle;

impl LocalTasks for Idle {
    fn unstarted(&self, _job: &str, tasks: &TaskSet) -> TaskSet {
        tasks.clone()
    }

    fn admit(&self, _item: &LoanItem, _offer: &Offer) -> Result<(), Refusal> {
        Ok(())
    }
}

fn item(number: u64, job: &str, tasks: &str, wish: Wish) -> LoanItem {
    let offer = Offer { description: json!({}), job_tasks: 10 };
    let tasks = TaskSet::parse(tasks).expect("tasks");
    LoanItem { number: LoanNumber(number), job: job.into(), tasks, wish, offer: Some(offer) }
}

fn request(from: &str, horizon: u64, loans: Vec<LoanItem>) -> Request {
    Request { from: from.into(), to: "guest".into(), term: 1, horizon: LoanNumber(horizon), loans }
}

/// Carries out all that a message asks for; returns the refusals.
fn handle(ledger: &mut GuestLedger, request: &Request) -> Vec<Refusal> {
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
    let mut guest = GuestLedger::default();
    let offer = request("home", 5, vec![item(5, "wk-1", "0-3", Wish::Run)]);
    assert!(handle(&mut guest, &offer).is_empty());
    let accepted = guest.reports(&offer, |_| TaskSet::new());
    assert_eq!(accepted[0].state, LoanState::Held { tasks: TaskSet::span(0, 4), done: TaskSet::new() });
    assert!(guest.next_change(&offer, &Idle).is_none(), "the same offer again changes nothing");
    assert_eq!(guest.reports(&offer, |_| TaskSet::new()), accepted);
    // The home closes it. A copy of the offer that comes later creates nothing.
    handle(&mut guest, &request("home", 9, Vec::new()));
    assert!(guest.job("wk-1").is_none());
    assert!(guest.next_change(&offer, &Idle).is_none());
    assert_eq!(guest.reports(&offer, |_| TaskSet::new())[0].state, LoanState::Closed);
}

#[test]
fn a_late_message_does_not_drop_loans_that_were_made_after_it() {
    let mut guest = GuestLedger::default();
    handle(&mut guest, &request("home", 7, vec![item(7, "wk-1", "0-3", Wish::Run)]));
    handle(&mut guest, &request("home", 6, Vec::new()));
    assert!(guest.job("wk-1").is_some());
    // Nor does one of another home.
    handle(&mut guest, &request("other", 9, Vec::new()));
    assert!(guest.job("wk-1").is_some());
}

#[test]
fn wrong_offers_are_refused_for_good() {
    let mut guest = GuestLedger::default();
    handle(&mut guest, &request("home", 1, vec![item(1, "wk-1", "0-3", Wish::Run)]));
    let wrong = [
        (request("home", 0, vec![item(2, "wk-2", "8-10", Wish::Run)]), Refusal::WrongTasks),
        (request("home", 0, vec![item(3, "wk-2", "", Wish::Run)]), Refusal::WrongTasks),
        (request("home", 0, vec![item(4, "wk-1", "3-5", Wish::Run)]), Refusal::HeldAlready),
        (request("other", 0, vec![item(4, "wk-1", "7", Wish::Run)]), Refusal::KnownJob),
    ];
    for (request, refusal) in wrong {
        assert_eq!(handle(&mut guest, &request), [refusal]);
        let reports = guest.reports(&request, |_| TaskSet::new());
        assert_eq!(reports[0].state, LoanState::Closed);
    }
    assert_eq!(guest.job("wk-1").expect("the job").tasks(), TaskSet::span(0, 4));
}

#[test]
fn a_cancelled_or_recalled_offer_that_was_never_seen_is_closed() {
    for wish in [Wish::Cancel, Wish::Recall] {
        let mut guest = GuestLedger::default();
        let request = request("home", 3, vec![item(3, "wk-1", "0-3", wish)]);
        assert!(handle(&mut guest, &request).is_empty());
        assert!(guest.job("wk-1").is_none());
        assert_eq!(guest.reports(&request, |_| TaskSet::new())[0].state, LoanState::Closed);
    }
}

#[test]
fn what_a_home_has_given_back_does_not_start_again_with_an_older_message() {
    let mut guest = GuestLedger::default();
    let offer = request("home", 5, vec![item(5, "wk-1", "0-3", Wish::Run)]);
    handle(&mut guest, &offer);
    let recall = request("home", 5, vec![item(5, "wk-1", "0-3", Wish::Recall)]);
    let change = guest.next_change(&recall, &Idle).expect("a change");
    assert_eq!(change.withdrawn, TaskSet::span(0, 4), "held back from before the write on");
    handle(&mut guest, &recall);
    handle(&mut guest, &offer);
    assert!(guest.job("wk-1").is_none());
}

/// A home that has lent tasks 0 to 3 of a job.
fn home() -> HomeLedger {
    let mut home = HomeLedger::new(1);
    let number = home.next_number().expect("a number");
    let loan = Loan { number, guest: "guest".into(), tasks: TaskSet::span(0, 4) };
    let lending = home.with_loan("wk-1", loan);
    home.load("wk-1", lending);
    home.decided(number);
    home
}

fn report(number: LoanNumber, tasks: &str, done: &str) -> LoanReport {
    let set = |text| TaskSet::parse(text).expect("tasks");
    LoanReport { number, state: LoanState::Held { tasks: set(tasks), done: set(done) } }
}

#[test]
fn results_that_cannot_be_are_refused() {
    let home = home();
    let number = home.horizon();
    let settle = |guest: &str, r: &LoanReport| home.settle(guest, r, |_| TaskSet::new());
    assert!(matches!(settle("other", &report(number, "0-3", "1")), Err(ReportError::LentElsewhere { .. })));
    assert!(matches!(settle("guest", &report(number, "0-3", "9")), Err(ReportError::NotLent { .. })));
    let later = LoanNumber(number.0 + 1);
    assert!(matches!(settle("guest", &report(later, "0-3", "1")), Err(ReportError::NeverMade(_))));
    let earlier = LoanNumber(number.0 - 1);
    assert_eq!(settle("guest", &report(earlier, "0-3", "1")), Ok(None), "closed long ago");
}

#[test]
fn a_loan_is_closed_only_once_its_results_are_recorded_at_home() {
    let home = home();
    let all_done = report(home.horizon(), "0-3", "0-3");
    let settle = |recorded: &str| {
        let recorded = TaskSet::parse(recorded).expect("tasks");
        home.settle("guest", &all_done, |_| recorded.clone()).expect("a true report").expect("a settlement")
    };
    assert_eq!(settle("0-2").lending, None);
    assert_eq!(settle("0-2").done, TaskSet::span(0, 4));
    assert!(settle("0-3").lending.is_some_and(|lending| lending.is_empty()));
}

#[test]
fn a_loan_being_written_is_beyond_the_horizon() {
    let mut home = home();
    let before = home.horizon();
    let number = home.next_number().expect("a number");
    assert_eq!(home.horizon(), before, "a late message without it must not close it");
    home.decided(number);
    assert_eq!(home.horizon(), number);
    // A term's numbers are all greater than those of the terms before it.
    assert!(HomeLedger::new(2).horizon() > number);
}

#[test]
fn a_summary_is_acted_on_only_while_it_says_how_things_stand() {
    let good = CellSummary { form: SUMMARY_FORM, composed_us: 10_000_000, ..CellSummary::default() };
    let check = |s: &CellSummary| s.check(10_500_000, 3_000_000, 100_000);
    assert_eq!(check(&good), Ok(()));
    let cases = [
        (CellSummary { form: 2, ..good.clone() }, SummaryError::UnknownForm(2)),
        (CellSummary { composed_us: 11_000_000, ..good.clone() }, SummaryError::FromTheFuture(500)),
        (CellSummary { composed_us: 1_000_000, ..good.clone() }, SummaryError::Stale(9_500)),
        (CellSummary { spare_cpus: f64::NAN, ..good.clone() }, SummaryError::NoAmount),
        (CellSummary { backlog_s: -1.0, ..good.clone() }, SummaryError::NoAmount),
        (
            CellSummary { free_cpus: BTreeMap::from([("small".to_string(), f64::INFINITY)]), ..good.clone() },
            SummaryError::NoAmount,
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
