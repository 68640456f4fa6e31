//! A state store that executes some writes of a lent job and withholds others. Each condition that waits for
//! a write is thereby tested separately from conditions that wait for other writes.

mod common;

use common::fleet_scenario::Scenario;
use common::lending_scenario::{borrower_summary, lend, lending_config, lending_scenario, tasks, wall};
use common::store::Store;
use common::{heartbeat, record, spec, types};
use milletlock::fleet::{Fleet, LoanWrite, PendingWrite};
use milletlock::leadership;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Change, ExitReason, TaskStage, Txn};
use milletlock_cells::{Lending, Loan, LoanNumber};
use serde_json::json;

const JOB: &str = "wk-000001";

/// Executes the pending writes that are not withheld.
fn acknowledge(fleet: &mut Fleet, now: Steady, is_withheld: impl Fn(&PendingWrite) -> bool) {
    let pending = fleet.pending_writes(now, Micros::ZERO, 1000);
    let (_, answered): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_withheld);
    for batch in leadership::compose_batches(fleet, 1, answered, 64, now, Wall(now.0)) {
        for composed in &batch.writes {
            fleet.write_applied(&composed.write, 1_000_000, &composed.contents, now);
        }
    }
}

/// Advances the time by three seconds, executes the writes that are not withheld and reports all running
/// tasks as done. Returns the highest number of a task on a machine.
fn step(scenario: &mut Scenario, is_withheld: impl Fn(&PendingWrite) -> bool) -> Option<u32> {
    scenario.now = scenario.now + Micros::from_secs(3.0);
    scenario.fleet.tick(scenario.now, wall(scenario));
    acknowledge(&mut scenario.fleet, scenario.now, &is_withheld);
    let mut highest = None;
    for id in scenario.machines.clone() {
        let on_machine = scenario.tasks(&id);
        let numbers = on_machine.iter().filter_map(|(task, _)| task.rsplit_once('/')?.1.parse::<u32>().ok());
        highest = highest.max(numbers.max());
        let done: Vec<_> = on_machine
            .iter()
            .map(|(task, attempt)| (task.as_str(), *attempt, TaskStage::Exited, Some(ExitReason::Done)))
            .collect();
        scenario.sequence += 1;
        scenario.send_heartbeat(&heartbeat(&id, scenario.sequence, 7, &done));
    }
    highest
}

/// A scenario with a job of a hundred tasks, of which the last twenty are lent.
fn lent_job() -> Scenario {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 100, "batch"));
    let write = lend(&mut scenario, 20);
    scenario.fleet.apply_loan_write(&write, 20, scenario.now, wall(&scenario));
    scenario
}

/// Guards against the start of a task that is not below the copy of the start mark. If a leader of an earlier
/// version then deletes the start mark itself, nothing shows that the task may have been started.
#[test]
fn a_start_waits_for_the_copy_of_the_start_mark() {
    let mut scenario = lent_job();
    let is_copy = |write: &PendingWrite| matches!(write, PendingWrite::LentStartMark(_));
    let mut highest = None;
    for _ in 0..20 {
        highest = highest.max(step(&mut scenario, is_copy));
    }
    let job = &scenario.fleet.jobs[JOB];
    assert!(job.start_mark > job.copy.start_mark, "the start mark itself is not written");
    assert!(highest < Some(job.copy.start_mark), "{highest:?} started, copied {}", job.copy.start_mark);
    let none = |_: &PendingWrite| false;
    (0..60).for_each(|_| highest = highest.max(step(&mut scenario, none)));
    assert_eq!(highest, Some(79), "all tasks that are not lent run once the copies are written");
}

/// Guards against a job without loans, which earlier versions can run, while rows of done ranges are missing
/// that a leader of an earlier version has deleted.
#[test]
fn the_last_loan_closes_only_after_all_done_ranges_are_rewritten() {
    let (mut store, now) = (Store::default(), Steady(1_000_000_000));
    let loan = Loan { number: LoanNumber(1 << 24), borrower: "there".into(), tasks: tasks("80-99") };
    let mut job = record(spec(1, 100, "batch"));
    job.lending = Lending { loans: vec![loan], ..Lending::default() };
    let then = vec![
        Change::put(format!("job/{JOB}"), json!(job)),
        Change::put(format!("lent/done/{JOB}/1"), json!("0-3")),
    ];
    store.txn(&Txn { guards: Vec::new(), then }).expect("written");
    let mut fleet = Fleet::new(lending_config(), types(), 8, now);
    leadership::load_records(&mut fleet, store.rows(""), now, Wall(now.0));
    assert!(fleet.settle_loan(JOB, Lending::default()).is_none(), "the rows of done ranges are missing");
    let is_done_chunk = |write: &PendingWrite| matches!(write, PendingWrite::Done(..));
    acknowledge(&mut fleet, now, is_done_chunk);
    assert!(
        fleet.settle_loan(JOB, Lending::default()).is_none(),
        "the rows of done ranges are still missing"
    );
    acknowledge(&mut fleet, now, |_| false);
    assert!(fleet.settle_loan(JOB, Lending::default()).is_some());
}

/// Guards against a record with loans whose start mark is below one whose write has not been answered.
#[test]
fn a_record_with_loans_contains_the_start_mark_of_an_unanswered_write() {
    let mut scenario = lent_job();
    let is_mark =
        |write: &PendingWrite| matches!(write, PendingWrite::StartMarks(_) | PendingWrite::LentStartMark(_));
    for _ in 0..20 {
        step(&mut scenario, is_mark);
    }
    let job = &scenario.fleet.jobs[JOB];
    let wanted = job.wanted_start_mark;
    assert!(
        wanted > job.start_mark && wanted > job.copy.start_mark,
        "no write of the start mark is unanswered"
    );
    let candidate = scenario
        .fleet
        .lending_candidate(&borrower_summary(1000.0), wall(&scenario))
        .expect("a job to lend from");
    let write = scenario.fleet.begin_loan(&candidate, 10, "there");
    let Some(LoanWrite::Lender { record, .. }) = write else { panic!("no loan: {write:?}") };
    assert!(record.start_mark >= wanted, "{} of {wanted}", record.start_mark);
}
