//! What loans mean for a leader's fleet: lent tasks never start at home, a guest starts what it holds and
//! nothing else, and both are rebuilt from the records.

mod common;

use common::lending_scenario::{guest, lend, lending_config, lending_scenario, run_to_rest, tasks, wall};
use common::store::Store;
use common::{production, record, spec, types};
use milletlock::fleet::{Fleet, LoanWrite};
use milletlock::leadership::{self, SHARD_KEY};
use milletlock::time::{Steady, Wall};
use milletlock::wire::{ExitReason, TaskStage, WorkerCommand};
use milletlock_cells::{
    BorrowRefusal, BorrowerChange, Lending, Loan, LoanAction, LoanItem, LoanNumber, LoanOffer,
    LoanSyncRequest, LocalTasks, TaskSet,
};
use serde_json::json;

#[test]
fn lent_tasks_do_not_start_at_home_from_before_the_write_on() {
    let mut s = lending_scenario();
    s.submit(spec(1, 100, "batch"));
    let write = lend(&mut s, 60);
    // The write has no reply yet, and never gets one here.
    s.fleet.loan_unresolved(write.clone());
    assert_eq!(run_to_rest(&mut s), tasks("0-39"));
    // It was not applied, and no copy of it can be any more: all may start again.
    s.fleet.loan_not_written(&write);
    assert_eq!(run_to_rest(&mut s), tasks("40-99"));
}

/// Lent tasks are kept out of what waits as well; a start is refused all the same.
#[test]
fn a_start_of_a_lent_task_is_refused_whatever_waits() {
    let mut s = lending_scenario();
    s.submit(spec(1, 8, "batch"));
    let write = lend(&mut s, 4);
    s.fleet.loan_written(&write, 20, s.now, wall(&s));
    let job = s.fleet.jobs.get_mut("wk-000001").expect("the job");
    (0..8).for_each(|task| {
        job.waiting.insert(task);
    });
    assert_eq!(run_to_rest(&mut s), tasks("0-3"));
}

#[test]
fn only_tasks_that_never_began_are_lent_and_only_of_arrays_without_rules() {
    let mut s = lending_scenario();
    s.submit(spec(1, 100, "batch"));
    (0..4).for_each(|_| s.step(&[]));
    let begun = s.fleet.jobs["wk-000001"].wanted_start_mark;
    assert!(begun > 0);
    let candidate = s.fleet.lending_candidate(&guest(1000.0), wall(&s)).expect("a candidate");
    assert_eq!(candidate.tasks, TaskSet::span(begun, 100), "what the mark covers may have been started");
    for (name, value) in [("spread", json!(true)), ("oneZone", json!(true)), ("field", json!("north"))] {
        let mut s = lending_scenario();
        let mut job = json!(spec(1, 100, "batch"));
        job[name] = value;
        s.submit(serde_json::from_value(job).expect("a job"));
        assert!(s.fleet.lending_candidate(&guest(1000.0), wall(&s)).is_none(), "{name}");
    }
    for shape in ["gang", "daemon"] {
        let mut s = lending_scenario();
        s.submit(spec(1, 100, shape));
        assert!(s.fleet.lending_candidate(&guest(1000.0), wall(&s)).is_none(), "{shape}");
    }
}

/// An offer of tasks of a job with a hundred.
fn offer(number: u64, n: u32, held: &str) -> LoanItem {
    let description = json!(spec(n, 100, "batch"));
    LoanItem {
        number: LoanNumber(number),
        job: spec(n, 100, "batch").id,
        tasks: tasks(held),
        action: LoanAction::Run,
        offer: Some(LoanOffer { description, job_tasks: 100 }),
    }
}

fn request(loans: Vec<LoanItem>) -> LoanSyncRequest {
    LoanSyncRequest { from: "there".into(), to: "here".into(), term: 1, horizon: LoanNumber(0), loans }
}

/// Carries out what a message asks for, each change durable at once.
fn handle(
    fleet: &mut Fleet,
    request: &LoanSyncRequest,
    store: &mut Store,
    now: Steady,
) -> Vec<BorrowerChange> {
    let mut changes = Vec::new();
    while let Some(change) = fleet.loans.borrower_ledger.next_change(request, &fleet.local_tasks()) {
        changes.push(change.clone());
        assert!(changes.len() < 100, "it changes without end");
        let write = fleet.begin_borrower_change(change);
        match store.txn(&leadership::loan_txn(&write, store.mod_revision(SHARD_KEY))) {
            Ok(revision) => fleet.loan_written(&write, revision, now, Wall(now.0)),
            Err(keys) => {
                assert!(keys.iter().any(|key| key.starts_with("job/")), "{keys:?}");
                fleet.note_known_job(write.job());
                fleet.loan_not_written(&write);
            }
        }
    }
    changes
}

#[test]
fn a_guest_runs_what_it_holds_and_nothing_else() {
    let (mut s, mut store) = (lending_scenario(), Store::default());
    let held = request(vec![offer(5, 1, "10-19")]);
    handle(&mut s.fleet, &held, &mut store, s.now);
    assert_eq!(run_to_rest(&mut s), tasks("10-19"));
    assert_eq!(s.fleet.recorded_done("wk-000001"), tasks("10-19"));
    let pending = s.fleet.pending_writes(s.now, milletlock::time::Micros::ZERO, 1000);
    assert!(
        !pending.iter().any(|p| matches!(p, milletlock::fleet::PendingWrite::Final(_))),
        "the end is its home's"
    );
    // Nothing can be recalled any more, since all has begun.
    let recall = LoanSyncRequest {
        loans: vec![LoanItem { action: LoanAction::Recall, ..offer(5, 1, "10-19") }],
        ..held
    };
    assert!(handle(&mut s.fleet, &recall, &mut store, s.now).is_empty());
}

#[test]
fn what_a_guest_gives_back_does_not_start_there() {
    let (mut s, mut store) = (lending_scenario(), Store::default());
    handle(&mut s.fleet, &request(vec![offer(5, 1, "0-19")]), &mut store, s.now);
    s.step(&[]);
    s.step(&[]);
    let recall = request(vec![LoanItem { action: LoanAction::Recall, ..offer(5, 1, "0-19") }]);
    let changes = handle(&mut s.fleet, &recall, &mut store, s.now);
    let given_back = &changes[0].withdrawn;
    assert!(!given_back.is_empty() && !given_back.contains(0), "{given_back}");
    assert!(run_to_rest(&mut s).is_disjoint(given_back));
}

/// It waits again, but may have saved progress or left something behind: it stays where it began.
#[test]
fn a_task_that_was_stopped_is_not_given_back() {
    let (mut s, mut store) = (lending_scenario(), Store::default());
    handle(&mut s.fleet, &request(vec![offer(5, 1, "0-19")]), &mut store, s.now);
    s.step(&[]);
    s.step(&[]);
    let machine = s.machines[0].clone();
    let there = s.tasks(&machine);
    let stopped: Vec<_> =
        there.iter().map(|t| (t.0.as_str(), t.1, TaskStage::Exited, Some(ExitReason::Stopped))).collect();
    s.sequence += 1;
    // Nothing of the job is started again for now.
    s.fleet.jobs.get_mut("wk-000001").expect("the job").not_before = Steady(i64::MAX);
    let message =
        milletlock::wire::Heartbeat { spot: false, ..common::heartbeat(&machine, s.sequence, 7, &stopped) };
    s.fleet.check_in(&message, s.now, wall(&s));
    let numbers: TaskSet = there.iter().filter_map(|t| t.0.rsplit_once('/')?.1.parse().ok()).collect();
    let recall = request(vec![LoanItem { action: LoanAction::Recall, ..offer(5, 1, "0-19") }]);
    let changes = handle(&mut s.fleet, &recall, &mut store, s.now);
    assert!(!numbers.is_empty() && changes[0].withdrawn.is_disjoint(&numbers), "{numbers} {changes:?}");
}

#[test]
fn a_cancelled_loan_is_halted_and_its_tasks_are_gone() {
    let (mut s, mut store) = (lending_scenario(), Store::default());
    handle(&mut s.fleet, &request(vec![offer(5, 1, "0-19")]), &mut store, s.now);
    (0..3).for_each(|_| s.step(&[]));
    let machine = s.machines[0].clone();
    assert!(!s.tasks(&machine).is_empty());
    let cancel = request(vec![LoanItem { action: LoanAction::Cancel, ..offer(5, 1, "0-19") }]);
    handle(&mut s.fleet, &cancel, &mut store, s.now);
    let message = s.running_heartbeat(&machine);
    let orders = s.send_heartbeat(&message);
    assert!(
        !orders.is_empty() && orders.iter().all(|o| matches!(o, WorkerCommand::Halt { .. })),
        "{orders:?}"
    );
}

#[test]
fn a_guest_refuses_what_it_cannot_or_will_not_run() {
    let s = lending_scenario();
    let admit = |item: &LoanItem| s.fleet.local_tasks().admit(item, item.offer.as_ref().expect("an offer"));
    let with = |name: &str, value: serde_json::Value| {
        let mut item = offer(5, 1, "0-9");
        item.offer.as_mut().expect("an offer").description[name] = value;
        item
    };
    assert_eq!(admit(&offer(5, 1, "0-9")), Ok(()));
    assert_eq!(admit(&offer(5, 1, "0-20")), Err(BorrowRefusal::NoCapacity(21)));
    assert_eq!(admit(&with("shape", json!("gang"))), Err(BorrowRefusal::NotBorrowable));
    assert_eq!(admit(&with("spread", json!(true))), Err(BorrowRefusal::NotBorrowable));
    assert_eq!(admit(&with("grain", json!("quick"))), Err(BorrowRefusal::ClassNotBorrowed("quick".into())));
    assert!(matches!(admit(&with("owner", json!("nobody"))), Err(BorrowRefusal::NotRunnable(_))));
    assert!(matches!(admit(&with("breeds", json!(["unheard"]))), Err(BorrowRefusal::NotRunnable(_))));
    assert!(matches!(admit(&with("kernels", json!(7))), Err(BorrowRefusal::MalformedDescription(_))));
    assert!(matches!(admit(&with("nameId", json!("wk-2"))), Err(BorrowRefusal::MalformedDescription(_))));
    assert!(matches!(admit(&with("cpus", json!("many"))), Err(BorrowRefusal::MalformedDescription(_))));
}

/// A record that outgrew its value could neither be settled nor closed any more.
#[test]
fn records_of_loans_fit_their_values_however_the_sets_fall_apart() {
    let mut s = lending_scenario();
    s.submit(spec(1, 100_000, "batch"));
    let mut record = None;
    for revision in 20..60 {
        let Some(candidate) = s.fleet.lending_candidate(&guest(1e9), wall(&s)) else { break };
        let write = s.fleet.begin_loan(&candidate, candidate.inputs.lendable, "there").expect("a loan");
        s.fleet.loan_written(&write, revision, s.now, wall(&s));
        let LoanWrite::Lender { record: written, .. } = write else { panic!("a loan of this cell") };
        record = Some(*written);
    }
    assert!(s.fleet.lending_candidate(&guest(1e9), wall(&s)).is_none(), "no more fits");
    let mut record = record.expect("some loans");
    for loan in &mut record.lending.loans {
        loan.tasks = loan.tasks.iter().filter(|task| task % 2 == 0).collect();
    }
    let bytes = json!(record).to_string().len();
    assert!(bytes <= 4096, "{bytes} bytes");
    assert!(record.lending.tasks().len() > 200, "and many are lent");
}

/// Two jobs of one id could not be told apart on a worker.
#[test]
fn a_job_that_was_accepted_here_is_not_borrowed() {
    let (mut s, mut store) = (lending_scenario(), Store::default());
    let put = milletlock::wire::Change::put("job/wk-000001".to_string(), json!(record(spec(1, 5, "batch"))));
    store.txn(&milletlock::wire::Txn { guards: Vec::new(), then: vec![put] }).expect("written");
    // The leader has not heard of it yet: the transaction fails, and the next try refuses.
    let changes = handle(&mut s.fleet, &request(vec![offer(5, 1, "0-9")]), &mut store, s.now);
    assert_eq!(changes.last().and_then(|c| c.refusal.clone()), Some(BorrowRefusal::JobIdInUse));
    assert!(store.row("borrowed/job/wk-000001").is_none());
}

#[test]
fn a_failover_finds_both_sides_of_loans_in_the_records() {
    let (mut s, mut store) = (lending_scenario(), Store::default());
    handle(&mut s.fleet, &request(vec![offer(5, 1, "10-19")]), &mut store, s.now);
    let mut lent = record(spec(2, 50, "batch"));
    lent.lending.loans =
        vec![Loan { number: LoanNumber(9), borrower: "there".into(), tasks: tasks("30-49") }];
    let put = milletlock::wire::Change::put("job/wk-000002".to_string(), json!(lent));
    store.txn(&milletlock::wire::Txn { guards: Vec::new(), then: vec![put] }).expect("written");
    let mut fleet = Fleet::new(lending_config(), types(), 8, s.now);
    leadership::load_records(&mut fleet, store.rows(""), s.now, wall(&s));
    assert_eq!(fleet.jobs["wk-000001"].waiting.task_set(), tasks("10-19"));
    assert_eq!(fleet.jobs["wk-000002"].waiting.task_set(), tasks("0-29"));
    assert_eq!(fleet.loans.borrower_ledger.high_water("there"), LoanNumber(5));
    let late =
        fleet.loans.borrower_ledger.next_change(&request(vec![offer(4, 3, "0-9")]), &fleet.local_tasks());
    assert_eq!(late, None, "a late copy of an offer that was decided on creates nothing");
}

#[test]
fn a_job_being_cancelled_starts_nothing_and_ends_once_no_loan_is_open() {
    let mut s = lending_scenario();
    s.submit(spec(1, 100, "batch"));
    let write = lend(&mut s, 60);
    s.fleet.loan_written(&write, 20, s.now, wall(&s));
    let LoanWrite::Lender { record: lent, .. } = write else { panic!("a loan of this cell") };
    let mut cancelling = *lent;
    cancelling.lending.cancelling = true;
    s.fleet.apply_job_record(cancelling.clone(), 21, s.now);
    assert!(run_to_rest(&mut s).is_empty());
    let over =
        s.fleet.settle_loan("wk-000001", Lending { loans: Vec::new(), cancelling: true }).expect("a write");
    let txn = leadership::loan_txn(&over, 1);
    let keys: Vec<String> = txn.then.iter().map(|change| format!("{change:?}")).collect();
    assert!(keys.iter().any(|change| change.contains("final/wk-000001")), "{keys:?}");
    s.fleet.loan_written(&over, 22, s.now, wall(&s));
    assert!(s.fleet.loans.lender_ledger.jobs().next().is_none());
}

/// An earlier leader that does not know yet that it was replaced must not lend, take or give back.
#[test]
fn a_write_of_a_leader_that_was_replaced_is_refused() {
    let (mut s, mut store) = (lending_scenario(), Store::default());
    s.submit(spec(1, 100, "batch"));
    let put = |key: &str, value| milletlock::wire::Change::put(key.to_string(), value);
    let then = vec![put("job/wk-000001", json!(record(spec(1, 100, "batch"))))];
    store.txn(&milletlock::wire::Txn { guards: Vec::new(), then }).expect("written");
    let write = lend(&mut s, 60);
    let txn = leadership::loan_txn(&write, store.mod_revision(SHARD_KEY));
    let then = vec![put(SHARD_KEY, json!({ "label": "another" }))];
    store.txn(&milletlock::wire::Txn { guards: Vec::new(), then }).expect("a new leader");
    assert_eq!(store.txn(&txn), Err(vec![SHARD_KEY.to_string()]));
}

/// The version in production would start lent tasks: it must not be able to read such a record.
#[test]
fn production_reads_a_record_only_while_nothing_is_lent() {
    let mut own = record(spec(1, 10, "batch"));
    let reads = |record: &milletlock::records::JobRecord| {
        serde_json::from_value::<production::JobRecord>(json!(record)).is_ok()
    };
    assert!(reads(&own));
    own.lending.loans = vec![Loan { number: LoanNumber(1), borrower: "there".into(), tasks: tasks("1") }];
    assert!(!reads(&own));
    let back: milletlock::records::JobRecord =
        serde_json::from_value(json!(own)).expect("read by this version");
    assert_eq!(back.lending, own.lending);
    own.lending = Lending { loans: Vec::new(), cancelling: true };
    assert!(!reads(&own));
    own.lending = Lending::default();
    assert!(reads(&own), "and again once the loans are closed");
}

/// What a leader of the version in production leaves of a job that has loans, and of borrowed tasks, after it
/// has written all that it has to write.
fn after_production_led(rows: &[(&str, serde_json::Value)]) -> Store {
    let mut store = Store::default();
    let put = |(key, value): &(&str, serde_json::Value)| {
        milletlock::wire::Change::put(key.to_string(), value.clone())
    };
    let then = rows.iter().map(put).collect();
    store.txn(&milletlock::wire::Txn { guards: Vec::new(), then }).expect("written");
    let mut leader = production::Owner::load(store.mod_revision(SHARD_KEY), 8, 4096, &store.rows(""));
    for _ in 0..100 {
        let Some(txn) = leader.next_write() else { return store };
        match store.txn(&txn) {
            Ok(revision) => leader.written(revision),
            Err(failed) => leader.refused(&failed),
        }
    }
    panic!("it writes without end");
}

fn lent_record() -> serde_json::Value {
    let mut lent = record(spec(2, 50, "batch"));
    lent.lending.loans =
        vec![Loan { number: LoanNumber(9), borrower: "there".into(), tasks: tasks("30-49") }];
    json!(lent)
}

#[test]
fn production_leaves_loans_and_borrowed_tasks_as_they_are() {
    let borrowed = json!({ "home": "there", "description": {}, "loans": [{ "number": 5, "tasks": "1-3" }] });
    let rows = [
        ("job/wk-000002", lent_record()),
        ("borrowed/job/wk-000001", borrowed),
        ("borrowed/done/wk-000001/0", json!("1")),
        ("borrowed/lender/there", json!({ "high_water": 5, "finished": 2 })),
    ];
    let store = after_production_led(&rows);
    for (key, value) in &rows {
        assert_eq!(store.row(key).map(|row| row.value).as_ref(), Some(value), "{key}");
    }
}

/// A leader that cannot read a job takes its done ranges for nobody's and removes them: what is done would
/// run again once a version that knows loans leads.
#[test]
fn production_leaves_the_done_ranges_of_a_job_with_loans() {
    let store = after_production_led(&[("job/wk-000002", lent_record()), ("done/wk-000002/0", json!("0-9"))]);
    assert!(store.row("done/wk-000002/0").is_some());
}
