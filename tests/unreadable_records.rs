//! Records that this version cannot read: they are damaged, or a later version wrote them.
//!
//! The tests guard against a leader that treats an unreadable record as a missing one. Such a leader did not
//! know the job. It removed the job's done ranges and start mark, and commanded the workers to stop the job's
//! tasks and to forget their results. The same happened if a leader read a record back after a conflict and
//! could not read it. Users got the status `queued` with no task done, and done tasks ran again once the
//! record was readable. Only a read that does not find the key shows that a record is missing.

mod common;

use std::sync::atomic::Ordering;

use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS, STEP, TASKS};
use common::store::Store;
use common::{config, record, spec, types, LEASE};
use milletlock::fleet::{Fleet, PendingWrite};
use milletlock::leadership::{self, SHARD_KEY};
use milletlock::loan_messages::request_to_proto;
use milletlock::peer::{PeerMessage, PeerReply};
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Change, Txn};
use milletlock_cells::{LoanAction, LoanItem, LoanNumber, LoanOffer, LoanSyncRequest, TaskSet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

/// The maximum number of steps until the job is done.
const TO_THE_END: usize = 200;

fn put(store: &mut Store, key: &str, value: Value) {
    store.txn(&Txn { guards: Vec::new(), then: vec![Change::put(key.to_string(), value)] }).expect("written");
}

fn value(world: &World, key: &str) -> Value {
    world.store().row(key).unwrap_or_else(|| panic!("{key} is missing")).value
}

fn job_key() -> String {
    format!("job/{JOB}")
}

/// Runs the job until some of its tasks are done and recorded as done, and others are running.
fn run_some_tasks(world: &World, machine: &mut Machine) {
    let mut leader = world.leader();
    leader.submit();
    leader.steps(machine, SETTLE_STEPS);
    machine.finish_all();
    leader.steps(machine, SETTLE_STEPS);
    assert!(
        machine.forgotten_results.len() >= 4 && !machine.running().is_empty(),
        "{:?}",
        machine.forgotten_results
    );
}

/// Runs the job until it is done.
fn run_until_done(leader: &mut Leader<'_>, machine: &mut Machine) {
    for _ in 0..TO_THE_END {
        machine.finish_all();
        leader.step(machine);
        if leader.stage() == "done" {
            return;
        }
    }
    panic!("the job is not done");
}

fn assert_each_started_once(machine: &Machine) {
    let again: Vec<_> = machine.started.iter().filter(|(_, times)| **times > 1).collect();
    assert!(again.is_empty(), "started more than once: {again:?}");
    assert_eq!(machine.started.len(), TASKS as usize);
}

fn unreadable(leader: &Leader<'_>) -> Value {
    leader.status()["owner"]["unreadable"].clone()
}

/// Checks that users get status 503 for requests about the job, neither 404 nor a stage.
fn assert_unavailable(leader: &Leader<'_>) {
    let path = format!("/api/jobs/{JOB}");
    assert_eq!(leader.user_request("GET", &path, &Value::Null).0, 503);
    assert_eq!(leader.user_request("POST", &format!("{path}/withdraw"), &Value::Null).0, 503);
    assert_eq!(leader.user_request("POST", "/api/jobs", &json!(spec(1, TASKS, "batch"))).0, 503);
}

/// A new leader finds the job's record unreadable. The record is repaired while this leader is active.
#[test]
fn a_job_with_an_unreadable_record_loses_no_progress_and_runs_no_task_twice() {
    for damaged in [json!({ "spec": 5 }), json!({ "spec_of_a_later_version": {} }), json!("x"), Value::Null] {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        run_some_tasks(&world, &mut machine);
        let good = value(&world, &job_key());
        put(&mut world.store(), &job_key(), damaged);
        let mut leader = world.leader();
        let (running, taken) = (machine.running(), machine.forgotten_results.clone());
        leader.steps(&mut machine, 3 * SETTLE_STEPS);
        assert_unavailable(&leader);
        assert_eq!(unreadable(&leader)["keys"], json!([job_key()]));
        assert_eq!(machine.running(), running, "the job's tasks keep running");
        machine.finish_all();
        leader.steps(&mut machine, 3 * SETTLE_STEPS);
        assert_eq!(machine.forgotten_results, taken, "the worker keeps results that cannot be recorded");
        assert!(world.recorded_done().is_superset(&taken));
        put(&mut world.store(), &job_key(), good);
        leader.steps(&mut machine, 2);
        let mut leader = world.leader();
        run_until_done(&mut leader, &mut machine);
        assert_each_started_once(&machine);
    }
}

/// The record becomes unreadable while a leader is active. The leader's next write of done ranges meets a
/// conflict, and the leader reads the record back.
#[test]
fn a_record_that_is_unreadable_when_read_back_does_not_end_the_job() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    run_some_tasks(&world, &mut machine);
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    let good = value(&world, &job_key());
    put(&mut world.store(), &job_key(), json!({ "spec": 5 }));
    machine.finish_all();
    leader.steps(&mut machine, 3 * SETTLE_STEPS);
    assert_unavailable(&leader);
    let started: usize = machine.started.values().sum();
    machine.finish_all();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert_eq!(machine.started.values().sum::<usize>(), started, "a task of the blocked job is started");
    put(&mut world.store(), &job_key(), good);
    run_until_done(&mut leader, &mut machine);
    assert_each_started_once(&machine);
}

/// With an unreadable chunk of done ranges, the leader does not know which tasks of the job are done.
#[test]
fn no_task_starts_of_a_job_with_unreadable_done_ranges() {
    let rows = [json!(7), json!({ "ranges": "0-3" }), json!("0-400"), json!("three"), json!("3-1")];
    for damaged in rows {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        run_some_tasks(&world, &mut machine);
        machine.finish_all();
        let key = world.store().rows("done/")[0].key.clone();
        let good = value(&world, &key);
        put(&mut world.store(), &key, damaged.clone());
        let mut leader = world.leader();
        let started: usize = machine.started.values().sum();
        leader.steps(&mut machine, 3 * SETTLE_STEPS);
        assert_eq!(machine.started.values().sum::<usize>(), started, "{damaged}");
        assert_eq!(value(&world, &key), damaged, "the unreadable record is changed");
        assert_eq!(unreadable(&leader)["keys"], json!([key]));
        put(&mut world.store(), &key, good);
        let mut leader = world.leader();
        run_until_done(&mut leader, &mut machine);
        assert_each_started_once(&machine);
    }
}

/// Guards against unreadable copies of a lent job's progress that count as missing, or as another job's.
#[test]
fn unreadable_copies_block_their_job_and_remove_nothing() {
    let done = format!("lent/done/{JOB}/1");
    let mark = format!("lent/marks/{JOB}");
    let damaged =
        [(&done, json!("0-400")), (&done, json!({ "form": 2 })), (&mark, json!("x")), (&mark, json!(-1))];
    for (key, row) in damaged {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        let mut leader = world.leader();
        leader.submit_and_lend(&mut machine);
        let lent = world.borrower().tasks();
        put(&mut world.store(), key, row.clone());
        put(&mut world.store(), "lent/done/wk-000009/1", json!("0-3"));
        let rows =
            |prefix: &str| world.store().rows(prefix).into_iter().map(|row| row.key).collect::<Vec<_>>();
        let before = (rows(&format!("lent/done/{JOB}")), rows("done/"));
        let started: usize = machine.started.values().sum();
        machine.finish_all();
        let mut leader = world.leader();
        for _ in 0..SETTLE_STEPS {
            leader.lend();
            leader.step(&mut machine);
        }
        assert_eq!(machine.started.values().sum::<usize>(), started, "{key}: a task is started");
        assert_eq!(value(&world, key), row, "the unreadable copy is changed");
        let after = (rows(&format!("lent/done/{JOB}")), rows("done/"));
        let is_kept = |kept: &[String], now: &[String]| kept.iter().all(|key| now.contains(key));
        assert!(is_kept(&before.0, &after.0) && is_kept(&before.1, &after.1), "{before:?} {after:?}");
        assert!(lent.is_subset(&world.borrower().tasks()), "the loan is closed");
        assert_eq!(unreadable(&leader)["keys"], json!([key]));
        assert!(["queued", "running"].contains(&leader.stage().as_str()), "{}", leader.stage());
        assert!(world.store().row("lent/done/wk-000009/1").is_none(), "copies of an unknown job stay");
    }
}

/// One job has an unreadable record, another has open loans. Leaders change, messages are lost, and lent
/// tasks are done or returned. No record of the first job is lost, and no task of the second runs twice.
#[test]
fn an_unreadable_record_beside_open_loans_loses_no_progress_and_runs_no_task_twice() {
    for seed in 0..8 {
        let mut random = StdRng::seed_from_u64(seed);
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        put(&mut world.store(), "job/wk-000002", json!({ "spec_of_a_later_version": {} }));
        put(&mut world.store(), "done/wk-000002/0", json!("0-3"));
        let mut leader = world.leader();
        leader.submit_and_lend(&mut machine);
        for _ in 0..60 {
            match random.random_range(0..6) {
                0 => leader = world.leader(),
                1 => machine.finish_all(),
                2 => leader.lend(),
                3 => {
                    let mut borrower = world.borrower();
                    borrower.is_cut_off = !borrower.is_cut_off;
                    let held = borrower.tasks();
                    let done: TaskSet = held.iter().filter(|_| random.random_bool(0.3)).collect();
                    borrower.done = borrower.done.union(&done);
                }
                4 => world.refuses_copies.store(random.random_bool(0.3), Ordering::SeqCst),
                _ => leader.steps(&mut machine, random.random_range(1..5)),
            }
            let lent = world.borrower().tasks();
            let both: Vec<u32> = machine.running().into_iter().filter(|task| lent.contains(*task)).collect();
            assert!(both.is_empty(), "seed {seed}: tasks in both cells: {both:?}");
        }
        assert_eq!(leader.user_request("GET", "/api/jobs/wk-000002", &Value::Null).0, 503, "seed {seed}");
        assert_eq!(value(&world, "done/wk-000002/0"), json!("0-3"), "seed {seed}");
        world.refuses_copies.store(false, Ordering::SeqCst);
        world.borrower().is_cut_off = false;
        for _ in 0..TO_THE_END {
            machine.finish_all();
            let held = world.borrower().tasks();
            world.borrower().done = held;
            leader.lend();
            leader.step(&mut machine);
        }
        assert_eq!(leader.stage(), "done", "seed {seed}");
        let again: Vec<_> = machine.started.iter().filter(|(_, times)| **times > 1).collect();
        assert!(again.is_empty(), "seed {seed}: started more than once: {again:?}");
    }
}

/// With an unreadable start mark, any task may be running on a machine that has sent no heartbeat yet.
#[test]
fn a_job_with_an_unreadable_start_mark_waits_for_all_machines() {
    for (key, damaged) in [("marks/0", json!([1])), ("marks/0", json!({ "wk-000001": "x" }))] {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        run_some_tasks(&world, &mut machine);
        let running = machine.running();
        put(&mut world.store(), key, damaged.clone());
        let (mut leader, mut other) = (world.leader(), Machine::new("i-000002"));
        leader.steps(&mut other, SETTLE_STEPS);
        assert!(other.running().is_disjoint(&running), "{:?} of {running:?}", other.running());
        leader.steps(&mut machine, SETTLE_STEPS);
        assert_eq!(value(&world, key), damaged, "the unreadable value is changed");
    }
}

/// A lender that cannot read a job's record does not report the job's loans as closed to the borrower.
#[test]
fn a_loan_of_a_job_with_an_unreadable_record_stays_open() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend_until_accepted(&mut machine);
    let lent = world.borrower().tasks();
    put(&mut world.store(), &job_key(), json!({ "spec_of_a_later_version": {} }));
    let mut leader = world.leader();
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.step(&mut machine);
    }
    assert_eq!(world.borrower().tasks(), lent);
}

fn borrowed_rows(store: &mut Store, job: Value, lender: Value) {
    put(store, "borrowed/job/wk-000005", job);
    put(store, "borrowed/done/wk-000005/0", json!("1-2"));
    put(store, "borrowed/lender/there", lender);
}

/// A borrower does not report a loan whose records it cannot read. If it reported the loan as closed, the
/// lender would run the tasks again.
#[test]
fn a_borrower_does_not_report_loans_with_unreadable_records() {
    let description = json!(spec(5, 10, "batch"));
    let held =
        json!({ "home": "there", "description": description, "loans": [{ "number": 5, "tasks": "1-3" }] });
    let lender = json!({ "high_water": 5, "finished": 2 });
    let no_description =
        json!({ "home": "there", "description": 5, "loans": [{ "number": 5, "tasks": "1-3" }] });
    for (job, lender) in [(json!(3), lender.clone()), (no_description, lender), (held, json!("x"))] {
        let world = World::new();
        borrowed_rows(&mut world.store(), job.clone(), lender.clone());
        let mut leader = world.leader();
        let offer = LoanOffer { description: description.clone(), job_tasks: 10 };
        let item = |number: u64| LoanItem {
            number: LoanNumber(number),
            job: "wk-000005".into(),
            tasks: TaskSet::parse("1-3").expect("tasks"),
            action: LoanAction::Run,
            offer: Some(offer.clone()),
        };
        let (from, to) = ("there".to_string(), "here".to_string());
        let loans = vec![item(5), item(6)];
        let request = LoanSyncRequest { from, to, term: 1, horizon: LoanNumber(0), loans };
        let message = PeerMessage::Lend(request_to_proto(&request));
        let PeerReply::Loans(reply) = leader.controller.handle_peer_message(&message) else {
            panic!("no reply")
        };
        let closed: Vec<u64> =
            reply.reports.iter().filter(|report| report.closed).map(|r| r.number).collect();
        assert!(closed.is_empty(), "{closed:?} of {job} and {lender}");
        let mut machine = Machine::new("i-000001");
        leader.steps(&mut machine, SETTLE_STEPS);
        assert_eq!(value(&world, "borrowed/done/wk-000005/0"), json!("1-2"));
        assert_eq!(value(&world, "borrowed/lender/there"), lender);
        assert_eq!(value(&world, "borrowed/job/wk-000005"), job);
    }
}

/// If a value of machine records is unreadable, started tasks may be running on machines that the leader does
/// not know, until the leases of these machines have expired.
#[test]
fn started_tasks_wait_while_machine_records_are_unreadable() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    run_some_tasks(&world, &mut machine);
    let running = machine.running();
    put(&mut world.store(), "machines/0", json!([1]));
    let (mut leader, mut other) = (world.leader(), Machine::new("i-000002"));
    leader.steps(&mut other, 3 * SETTLE_STEPS);
    assert!(other.running().is_disjoint(&running), "{:?} of {running:?}", other.running());
    assert_eq!(value(&world, "machines/0"), json!([1]), "the unreadable value is changed");
}

/// Guards against a wait for the machines of an unreadable value that ends before their leases have expired,
/// or that never ends. No job may wait for 90 s once all faults are over.
#[test]
fn the_wait_for_machines_with_unreadable_records_ends_after_their_leases_have_expired() {
    const LONGEST_WAIT: Micros = Micros::from_millis(90_000);
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    run_some_tasks(&world, &mut machine);
    let running = machine.running();
    put(&mut world.store(), "machines/0", json!([1]));
    let (mut leader, mut other) = (world.leader(), Machine::new("i-000002"));
    // An earlier leader that has just lost the state store may still renew the machine's lease for this time.
    let last_renewal = config().max_staleness();
    let mut waited = Micros::ZERO;
    while other.running().is_disjoint(&running) {
        other.finish_all();
        leader.step(&mut other);
        waited = waited + STEP;
        assert!(waited < LONGEST_WAIT, "none of {running:?} is started within {} s", waited.secs());
    }
    let session = last_renewal + LEASE;
    assert!(waited >= session, "started again after {} s, before {} s", waited.secs(), session.secs());
    run_until_done(&mut leader, &mut other);
    assert_eq!(value(&world, "machines/0"), json!([1]), "the unreadable value is changed");
}

/// The `cells` block was removed from the settings while loans are open. No lent task starts in this cell, no
/// progress is lost, and the borrowed tasks are run and their results recorded.
#[test]
fn a_leader_without_the_cells_block_keeps_lent_and_borrowed_tasks() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend_until_accepted(&mut machine);
    let lent = world.borrower().tasks();
    let description = json!(spec(5, 10, "batch"));
    let held =
        json!({ "home": "there", "description": description, "loans": [{ "number": 5, "tasks": "1-3" }] });
    borrowed_rows(&mut world.store(), held, json!({ "high_water": 5, "finished": 0 }));
    let mut leader = world.leader_without_cells();
    for _ in 0..TO_THE_END {
        machine.finish_all();
        leader.step(&mut machine);
    }
    assert!(machine.started.keys().all(|task| !lent.contains(*task)), "lent tasks are started in this cell");
    assert_eq!(value(&world, "borrowed/done/wk-000005/0"), json!("1-2"));
    let done = world.store().rows("borrowed/done/wk-000005/");
    assert!(done.iter().any(|row| row.value == json!("1-3")), "the borrowed task is not done: {done:?}");
    let response = leader.user_request("POST", "/api/jobs", &json!(spec(5, 10, "batch")));
    assert_eq!(response.0, 503, "the id of the job is in use: {response:?}");
    let mut leader = world.leader();
    for _ in 0..TO_THE_END {
        let held = world.borrower().tasks();
        world.borrower().done = held;
        machine.finish_all();
        leader.lend();
        leader.step(&mut machine);
    }
    assert_eq!(leader.stage(), "done");
}

/// The removal of a row that seems to remain of an ended job fails if the job's record exists again.
#[test]
fn done_ranges_of_a_job_whose_record_exists_again_are_not_removed() {
    let mut store = Store::default();
    put(&mut store, SHARD_KEY, json!({ "label": "c-0" }));
    put(&mut store, "done/wk-000001/0", json!("0-3"));
    let now = Steady(1_000_000_000);
    let mut fleet = Fleet::new(config(), types(), 8, now);
    leadership::load_records(&mut fleet, store.rows(""), now, Wall(now.0));
    put(&mut store, &job_key(), json!(record(spec(1, 10, "batch"))));
    for _ in 0..3 {
        let pending = fleet.pending_writes(now, Micros::ZERO, 1000);
        let is_removal = |write: &PendingWrite| matches!(write, PendingWrite::OrphanedRow(..));
        let shard = store.mod_revision(SHARD_KEY);
        if !pending.iter().any(is_removal) {
            break;
        }
        for batch in leadership::compose_batches(&mut fleet, shard, pending, 8, now, Wall(now.0)) {
            for key in store.txn(&batch.txn).err().unwrap_or_default() {
                leadership::update_from_store(&mut fleet, store.key_state(&key), now);
            }
        }
    }
    assert!(store.row("done/wk-000001/0").is_some());
    let pending = fleet.pending_writes(now, Micros::ZERO, 1000);
    assert!(pending.is_empty(), "the removal is tried again: {pending:?}");
}
