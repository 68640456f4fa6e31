//! Loans in a leader's fleet: lent tasks never start at the lender, a borrower starts only the tasks that it
//! has borrowed, and a new leader rebuilds both sides from the records.

mod common;

use common::fleet_scenario::Scenario;
use common::lending_scenario::{
    borrower_summary, lend, lending_config, lending_scenario, run_to_rest, tasks, wall,
};
use common::store::Store;
use common::{production, record, spec, types};
use milletlock::fleet::{Fleet, LendingCandidate, LoanWrite, PendingWrite};
use milletlock::leadership::{self, SHARD_KEY};
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Change, ExitReason, Heartbeat, TaskStage, Txn, WorkerCommand};
use milletlock_cells::{
    BorrowRefusal, BorrowerChange, Lending, Loan, LoanAction, LoanItem, LoanNumber, LoanOffer,
    LoanSyncRequest, LocalTasks, TaskSet,
};
use serde_json::json;

/// The tasks that the cell would lend to a borrower with `spare_cpus` spare processors.
fn lending_candidate(scenario: &Scenario, spare_cpus: f64) -> Option<LendingCandidate> {
    scenario.fleet.lending_candidate(&borrower_summary(spare_cpus), wall(scenario))
}

fn put(key: &str, value: serde_json::Value) -> Change {
    Change::put(key.to_string(), value)
}

/// Writes these rows without a condition.
fn write_rows(store: &mut Store, then: Vec<Change>) {
    store.txn(&Txn { guards: Vec::new(), then }).expect("written");
}

#[test]
fn lent_tasks_do_not_start_at_the_lender_while_the_outcome_of_the_write_is_unknown() {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 100, "batch"));
    let write = lend(&mut scenario, 60);
    // The write gets no reply.
    scenario.fleet.queue_unresolved_loan_write(write.clone());
    assert_eq!(run_to_rest(&mut scenario), tasks("0-39"));
    // The write was not applied, and no copy of it can be applied later. All tasks may start in this cell
    // again.
    scenario.fleet.discard_loan_write(&write);
    assert_eq!(run_to_rest(&mut scenario), tasks("40-99"));
}

/// Lent tasks are normally not in the set of waiting tasks. Their start is refused even if they are.
#[test]
fn a_start_of_a_lent_task_is_refused_even_if_the_task_waits() {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 8, "batch"));
    let write = lend(&mut scenario, 4);
    scenario.fleet.apply_loan_write(&write, 20, scenario.now, wall(&scenario));
    let job = scenario.fleet.jobs.get_mut("wk-000001").expect("the job is in the fleet");
    (0..8).for_each(|task| {
        job.waiting.insert(task);
    });
    assert_eq!(run_to_rest(&mut scenario), tasks("0-3"));
}

#[test]
fn only_never_started_tasks_of_arrays_without_placement_rules_are_lent() {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 100, "batch"));
    (0..4).for_each(|_| scenario.step(&[]));
    let start_mark = scenario.fleet.jobs["wk-000001"].wanted_start_mark;
    assert!(start_mark > 0);
    let candidate = lending_candidate(&scenario, 1000.0).expect("a candidate");
    assert_eq!(candidate.tasks, TaskSet::span(start_mark, 100), "tasks below the mark may have been started");
    for (name, value) in [("spread", json!(true)), ("oneZone", json!(true)), ("field", json!("north"))] {
        let mut scenario = lending_scenario();
        let mut job = json!(spec(1, 100, "batch"));
        job[name] = value;
        scenario.submit(serde_json::from_value(job).expect("a job"));
        assert!(lending_candidate(&scenario, 1000.0).is_none(), "{name}");
    }
    for shape in ["gang", "daemon"] {
        let mut scenario = lending_scenario();
        scenario.submit(spec(1, 100, shape));
        assert!(lending_candidate(&scenario, 1000.0).is_none(), "{shape}");
    }
}

/// A loan with an offer of tasks of a job that has a hundred tasks.
fn offer(number: u64, job_number: u32, offered: &str) -> LoanItem {
    let description = json!(spec(job_number, 100, "batch"));
    LoanItem {
        number: LoanNumber(number),
        job: spec(job_number, 100, "batch").id,
        tasks: tasks(offered),
        action: LoanAction::Run,
        offer: Some(LoanOffer { description, job_tasks: 100 }),
    }
}

fn request(loans: Vec<LoanItem>) -> LoanSyncRequest {
    LoanSyncRequest { from: "there".into(), to: "here".into(), term: 1, horizon: LoanNumber(0), loans }
}

/// Carries out the changes that a lender's message leads to. Each change is written at once. Returns the
/// changes.
fn handle(
    fleet: &mut Fleet,
    request: &LoanSyncRequest,
    store: &mut Store,
    now: Steady,
) -> Vec<BorrowerChange> {
    let mut changes = Vec::new();
    while let Some(change) = fleet.loans.borrower_ledger.next_change(request, &fleet.local_tasks()) {
        changes.push(change.clone());
        assert!(changes.len() < 100, "the message leads to changes without end");
        let write = fleet.begin_borrower_change(change);
        match store.txn(&leadership::loan_txn(&write, store.mod_revision(SHARD_KEY))) {
            Ok(revision) => fleet.apply_loan_write(&write, revision, now, Wall(now.0)),
            Err(keys) => {
                assert!(keys.iter().any(|key| key.starts_with("job/")), "{keys:?}");
                fleet.record_own_job_id(write.job());
                fleet.discard_loan_write(&write);
            }
        }
    }
    changes
}

#[test]
fn a_borrower_runs_the_borrowed_tasks_and_no_others() {
    let (mut scenario, mut store) = (lending_scenario(), Store::default());
    let run = request(vec![offer(5, 1, "10-19")]);
    handle(&mut scenario.fleet, &run, &mut store, scenario.now);
    assert_eq!(run_to_rest(&mut scenario), tasks("10-19"));
    assert_eq!(scenario.fleet.recorded_done("wk-000001"), tasks("10-19"));
    let pending = scenario.fleet.pending_writes(scenario.now, Micros::ZERO, 1000);
    assert!(
        !pending.iter().any(|write| matches!(write, PendingWrite::Final(_))),
        "the borrower writes the final record"
    );
    // No task can be recalled, since all have been started.
    let recall = LoanSyncRequest {
        loans: vec![LoanItem { action: LoanAction::Recall, ..offer(5, 1, "10-19") }],
        ..run
    };
    assert!(handle(&mut scenario.fleet, &recall, &mut store, scenario.now).is_empty());
}

#[test]
fn recalled_tasks_that_were_withdrawn_do_not_start_at_the_borrower() {
    let (mut scenario, mut store) = (lending_scenario(), Store::default());
    handle(&mut scenario.fleet, &request(vec![offer(5, 1, "0-19")]), &mut store, scenario.now);
    scenario.step(&[]);
    scenario.step(&[]);
    let recall = request(vec![LoanItem { action: LoanAction::Recall, ..offer(5, 1, "0-19") }]);
    let changes = handle(&mut scenario.fleet, &recall, &mut store, scenario.now);
    let withdrawn = &changes[0].withdrawn;
    assert!(!withdrawn.is_empty() && !withdrawn.contains(0), "{withdrawn}");
    assert!(run_to_rest(&mut scenario).is_disjoint(withdrawn));
}

/// A stopped task waits again, but it may have saved a checkpoint or left files in the borrower's cell. It
/// therefore stays with the borrower.
#[test]
fn a_stopped_task_is_not_withdrawn_from_the_borrower() {
    let (mut scenario, mut store) = (lending_scenario(), Store::default());
    handle(&mut scenario.fleet, &request(vec![offer(5, 1, "0-19")]), &mut store, scenario.now);
    scenario.step(&[]);
    scenario.step(&[]);
    let machine = scenario.machines[0].clone();
    let running = scenario.tasks(&machine);
    let stopped: Vec<_> = running
        .iter()
        .map(|(task, attempt)| (task.as_str(), *attempt, TaskStage::Exited, Some(ExitReason::Stopped)))
        .collect();
    scenario.sequence += 1;
    // No task of the job is started again during the test.
    scenario.fleet.jobs.get_mut("wk-000001").expect("the job is in the fleet").not_before = Steady(i64::MAX);
    let message = Heartbeat { spot: false, ..common::heartbeat(&machine, scenario.sequence, 7, &stopped) };
    scenario.fleet.apply_heartbeat(&message, scenario.now, wall(&scenario));
    let numbers: TaskSet =
        running.iter().filter_map(|(task, _)| task.rsplit_once('/')?.1.parse().ok()).collect();
    let recall = request(vec![LoanItem { action: LoanAction::Recall, ..offer(5, 1, "0-19") }]);
    let changes = handle(&mut scenario.fleet, &recall, &mut store, scenario.now);
    assert!(!numbers.is_empty() && changes[0].withdrawn.is_disjoint(&numbers), "{numbers} {changes:?}");
}

#[test]
fn the_running_tasks_of_a_cancelled_loan_are_halted() {
    let (mut scenario, mut store) = (lending_scenario(), Store::default());
    handle(&mut scenario.fleet, &request(vec![offer(5, 1, "0-19")]), &mut store, scenario.now);
    (0..3).for_each(|_| scenario.step(&[]));
    let machine = scenario.machines[0].clone();
    assert!(!scenario.tasks(&machine).is_empty());
    let cancel = request(vec![LoanItem { action: LoanAction::Cancel, ..offer(5, 1, "0-19") }]);
    handle(&mut scenario.fleet, &cancel, &mut store, scenario.now);
    let message = scenario.running_heartbeat(&machine);
    let commands = scenario.send_heartbeat(&message);
    assert!(
        !commands.is_empty() && commands.iter().all(|command| matches!(command, WorkerCommand::Halt { .. })),
        "{commands:?}"
    );
}

#[test]
fn a_borrower_refuses_tasks_that_it_cannot_or_may_not_run() {
    let scenario = lending_scenario();
    let admit =
        |item: &LoanItem| scenario.fleet.local_tasks().admit(item, item.offer.as_ref().expect("an offer"));
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

/// Guards against a record that outgrows its state-store value: its loans could then be neither settled nor
/// closed.
#[test]
fn records_with_loans_fit_their_values_however_the_sets_of_tasks_are_split() {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 100_000, "batch"));
    let mut record = None;
    for revision in 20..60 {
        let Some(candidate) = lending_candidate(&scenario, 1e9) else { break };
        let write =
            scenario.fleet.begin_loan(&candidate, candidate.inputs.lendable, "there").expect("a loan");
        scenario.fleet.apply_loan_write(&write, revision, scenario.now, wall(&scenario));
        let LoanWrite::Lender { record: written, .. } = write else { panic!("a loan of this cell") };
        record = Some(*written);
    }
    assert!(lending_candidate(&scenario, 1e9).is_none(), "more tasks are lent than fit the record");
    let mut record = record.expect("some loans");
    for loan in &mut record.lending.loans {
        loan.tasks = loan.tasks.iter().filter(|task| task % 2 == 0).collect();
    }
    let bytes = json!(record).to_string().len();
    assert!(bytes <= 4096, "{bytes} bytes");
    assert!(record.lending.tasks().len() > 200, "only a few tasks are lent");
}

/// A worker could not distinguish the tasks of two jobs with the same id.
#[test]
fn a_job_with_the_id_of_a_job_accepted_in_this_cell_is_not_borrowed() {
    let (mut scenario, mut store) = (lending_scenario(), Store::default());
    write_rows(&mut store, vec![put("job/wk-000001", json!(record(spec(1, 5, "batch"))))]);
    // The leader does not know the accepted job yet. The first transaction fails, and the next attempt
    // refuses the loan.
    let changes = handle(&mut scenario.fleet, &request(vec![offer(5, 1, "0-9")]), &mut store, scenario.now);
    assert_eq!(changes.last().and_then(|change| change.refusal.clone()), Some(BorrowRefusal::JobIdInUse));
    assert!(store.row("borrowed/job/wk-000001").is_none());
}

#[test]
fn a_new_leader_loads_lent_and_borrowed_tasks_from_the_records() {
    let (mut scenario, mut store) = (lending_scenario(), Store::default());
    handle(&mut scenario.fleet, &request(vec![offer(5, 1, "10-19")]), &mut store, scenario.now);
    write_rows(&mut store, vec![put("job/wk-000002", lent_record())]);
    let mut fleet = Fleet::new(lending_config(), types(), 8, scenario.now);
    leadership::load_records(&mut fleet, store.rows(""), scenario.now, wall(&scenario));
    assert_eq!(fleet.jobs["wk-000001"].waiting.task_set(), tasks("10-19"));
    assert_eq!(fleet.jobs["wk-000002"].waiting.task_set(), tasks("0-29"));
    assert_eq!(fleet.loans.borrower_ledger.high_water("there"), LoanNumber(5));
    let late =
        fleet.loans.borrower_ledger.next_change(&request(vec![offer(4, 3, "0-9")]), &fleet.local_tasks());
    assert_eq!(late, None, "a late copy of a decided offer leads to a change");
}

#[test]
fn a_job_being_cancelled_starts_no_task_and_ends_once_no_loan_is_open() {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 100, "batch"));
    let write = lend(&mut scenario, 60);
    scenario.fleet.apply_loan_write(&write, 20, scenario.now, wall(&scenario));
    let LoanWrite::Lender { record: lent, .. } = write else { panic!("a loan of this cell") };
    let mut cancelling = *lent;
    cancelling.lending.cancelling = true;
    scenario.fleet.apply_job_record(cancelling.clone(), 21, scenario.now);
    assert!(run_to_rest(&mut scenario).is_empty());
    let settlement = scenario
        .fleet
        .settle_loan("wk-000001", Lending { loans: Vec::new(), cancelling: true })
        .expect("a write");
    let txn = leadership::loan_txn(&settlement, 1);
    let keys: Vec<String> = txn.then.iter().map(|change| format!("{change:?}")).collect();
    assert!(keys.iter().any(|change| change.contains("final/wk-000001")), "{keys:?}");
    scenario.fleet.apply_loan_write(&settlement, 22, scenario.now, wall(&scenario));
    assert!(scenario.fleet.loans.lender_ledger.jobs().next().is_none());
}

/// An earlier leader that does not yet know of its successor must not lend, borrow or withdraw tasks.
#[test]
fn a_loan_write_of_a_replaced_leader_is_refused() {
    let (mut scenario, mut store) = (lending_scenario(), Store::default());
    scenario.submit(spec(1, 100, "batch"));
    write_rows(&mut store, vec![put("job/wk-000001", json!(record(spec(1, 100, "batch"))))]);
    let write = lend(&mut scenario, 60);
    let txn = leadership::loan_txn(&write, store.mod_revision(SHARD_KEY));
    // Another leader takes over.
    write_rows(&mut store, vec![put(SHARD_KEY, json!({ "label": "another" }))]);
    assert_eq!(store.txn(&txn), Err(vec![SHARD_KEY.to_string()]));
}

/// The record of a job of 50 tasks with a loan of the last 20 of them.
fn lent_record() -> serde_json::Value {
    let mut lent = record(spec(2, 50, "batch"));
    lent.lending.loans =
        vec![Loan { number: LoanNumber(9), borrower: "there".into(), tasks: tasks("30-49") }];
    json!(lent)
}

/// The state store after a leader of the version in production has loaded these rows of lent and borrowed
/// tasks, and has executed all its writes.
fn after_production_led(rows: &[(&str, serde_json::Value)]) -> Store {
    let mut store = Store::default();
    write_rows(&mut store, rows.iter().map(|(key, value)| put(key, value.clone())).collect());
    let mut leader = production::Owner::load(store.mod_revision(SHARD_KEY), 8, 4096, &store.rows(""));
    for _ in 0..100 {
        let Some(txn) = leader.next_write() else { return store };
        match store.txn(&txn) {
            Ok(revision) => leader.written(revision),
            Err(failed) => leader.refused(&failed),
        }
    }
    panic!("the leader writes without end");
}

#[test]
fn the_version_in_production_does_not_change_records_of_lent_and_borrowed_tasks() {
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

/// Guards against lost results of jobs with loans. A leader that cannot read the record of a job removes the
/// job's done ranges as remains of an ended job, and done tasks would run again under a leader of a version
/// with loans.
#[test]
fn the_version_in_production_does_not_remove_the_done_ranges_of_a_job_with_loans() {
    let store = after_production_led(&[("job/wk-000002", lent_record()), ("done/wk-000002/0", json!("0-9"))]);
    assert!(store.row("done/wk-000002/0").is_some());
}
