//! Records that this version cannot read: those of a later version, or damaged ones.
//!
//! What happens: a new leader logs `record unreadable` and leaves a job's record out that it cannot decode. The
//! job is then not known, and what belongs to it counts as left over from a job that has ended: its done ranges
//! and start mark are removed, workers are told to stop its tasks and to forget its results. A record that
//! changes into such a form while a leader leads, and is read back after a conflict, ends the job as well. Users
//! are told `queued` with nothing done. When the record can be read again, finished tasks run again.
//!
//! Why: that a record cannot be read was taken for there being none. Only a read of the store without the key
//! shows that.

mod common;

use std::sync::atomic::Ordering;

use common::lending_world::{Leader, Machine, World, JOB, SETTLED, STEP, TASKS};
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

/// Steps until all is done.
const TO_THE_END: usize = 200;

fn put(store: &mut Store, key: &str, value: Value) {
    store.txn(&Txn { guards: Vec::new(), then: vec![Change::put(key.to_string(), value)] }).expect("written");
}

fn value(world: &World, key: &str) -> Value {
    world.store().row(key).unwrap_or_else(|| panic!("{key} is gone")).value
}

fn job_key() -> String {
    format!("job/{JOB}")
}

/// Tasks are done and recorded, others run.
fn begun(world: &World, machine: &mut Machine) {
    let mut leader = world.leader();
    leader.submit();
    leader.steps(machine, SETTLED);
    machine.finish_all();
    leader.steps(machine, SETTLED);
    assert!(machine.taken.len() >= 4 && !machine.running().is_empty(), "{:?}", machine.taken);
}

/// Plays on until the job is done.
fn run_to_the_end(leader: &mut Leader<'_>, machine: &mut Machine) {
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
    assert!(again.is_empty(), "started again: {again:?}");
    assert_eq!(machine.started.len(), TASKS as usize);
}

fn unreadable(leader: &Leader<'_>) -> Value {
    leader.status()["owner"]["unreadable"].clone()
}

/// Users get 503 for the job, never 404 and never a stage.
fn assert_not_answered(leader: &Leader<'_>) {
    let path = format!("/api/jobs/{JOB}");
    assert_eq!(leader.ask("GET", &path, &Value::Null).0, 503);
    assert_eq!(leader.ask("POST", &format!("{path}/withdraw"), &Value::Null).0, 503);
    assert_eq!(leader.ask("POST", "/api/jobs", &json!(spec(1, TASKS, "batch"))).0, 503);
}

/// A new leader finds the record unreadable; it is put right while that one leads.
#[test]
fn a_job_whose_record_cannot_be_read_loses_nothing() {
    for damaged in [json!({ "spec": 5 }), json!({ "spec_of_a_later_version": {} }), json!("x"), Value::Null] {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        begun(&world, &mut machine);
        let good = value(&world, &job_key());
        put(&mut world.store(), &job_key(), damaged);
        let mut leader = world.leader();
        let (running, taken) = (machine.running(), machine.taken.clone());
        leader.steps(&mut machine, 3 * SETTLED);
        assert_not_answered(&leader);
        assert_eq!(unreadable(&leader)["keys"], json!([job_key()]));
        assert_eq!(machine.running(), running, "its tasks run on");
        machine.finish_all();
        leader.steps(&mut machine, 3 * SETTLED);
        assert_eq!(machine.taken, taken, "results that cannot be recorded stay with the worker");
        assert!(world.recorded_done().is_superset(&taken));
        put(&mut world.store(), &job_key(), good);
        leader.steps(&mut machine, 2);
        let mut leader = world.leader();
        run_to_the_end(&mut leader, &mut machine);
        assert_each_started_once(&machine);
    }
}

/// The record changes while a leader leads: its next write of done ranges meets a conflict and reads it back.
#[test]
fn a_record_that_is_unreadable_when_read_back_does_not_end_the_job() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    begun(&world, &mut machine);
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLED);
    let good = value(&world, &job_key());
    put(&mut world.store(), &job_key(), json!({ "spec": 5 }));
    machine.finish_all();
    leader.steps(&mut machine, 3 * SETTLED);
    assert_not_answered(&leader);
    let started: usize = machine.started.values().sum();
    machine.finish_all();
    leader.steps(&mut machine, SETTLED);
    assert_eq!(machine.started.values().sum::<usize>(), started, "nothing of it starts on a guess");
    put(&mut world.store(), &job_key(), good);
    run_to_the_end(&mut leader, &mut machine);
    assert_each_started_once(&machine);
}

/// Of a job with a row that cannot be read it is not known which tasks are done.
#[test]
fn nothing_starts_of_a_job_with_an_unreadable_done_row() {
    let rows = [json!(7), json!({ "ranges": "0-3" }), json!("0-400"), json!("three"), json!("3-1")];
    for damaged in rows {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        begun(&world, &mut machine);
        machine.finish_all();
        let key = world.store().rows("done/")[0].key.clone();
        let good = value(&world, &key);
        put(&mut world.store(), &key, damaged.clone());
        let mut leader = world.leader();
        let started: usize = machine.started.values().sum();
        leader.steps(&mut machine, 3 * SETTLED);
        assert_eq!(machine.started.values().sum::<usize>(), started, "{damaged}");
        assert_eq!(value(&world, &key), damaged, "it stays as it is");
        assert_eq!(unreadable(&leader)["keys"], json!([key]));
        put(&mut world.store(), &key, good);
        let mut leader = world.leader();
        run_to_the_end(&mut leader, &mut machine);
        assert_each_started_once(&machine);
    }
}

/// Guards against copies of a lent job's progress that cannot be read and are taken for none, or for another job's.
#[test]
fn copies_that_cannot_be_read_hold_their_job() {
    let done = format!("lent/done/{JOB}/1");
    let mark = format!("lent/marks/{JOB}");
    let damaged =
        [(&done, json!("0-400")), (&done, json!({ "form": 2 })), (&mark, json!("x")), (&mark, json!(-1))];
    for (key, row) in damaged {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        let mut leader = world.leader();
        leader.begin_and_lend(&mut machine);
        let held = world.borrower().tasks();
        put(&mut world.store(), key, row.clone());
        put(&mut world.store(), "lent/done/wk-000009/1", json!("0-3"));
        let rows =
            |prefix: &str| world.store().rows(prefix).into_iter().map(|row| row.key).collect::<Vec<_>>();
        let before = (rows(&format!("lent/done/{JOB}")), rows("done/"));
        let started: usize = machine.started.values().sum();
        machine.finish_all();
        let mut leader = world.leader();
        for _ in 0..SETTLED {
            leader.lend();
            leader.step(&mut machine);
        }
        assert_eq!(machine.started.values().sum::<usize>(), started, "{key}: nothing starts");
        assert_eq!(value(&world, key), row, "it stays as it is");
        let after = (rows(&format!("lent/done/{JOB}")), rows("done/"));
        let is_kept = |kept: &[String], now: &[String]| kept.iter().all(|key| now.contains(key));
        assert!(is_kept(&before.0, &after.0) && is_kept(&before.1, &after.1), "{before:?} {after:?}");
        assert!(held.is_subset(&world.borrower().tasks()), "the loan stays open");
        assert_eq!(unreadable(&leader)["keys"], json!([key]));
        assert!(["queued", "running"].contains(&leader.stage().as_str()), "{}", leader.stage());
        assert!(world.store().row("lent/done/wk-000009/1").is_none(), "copies of no job go");
    }
}

/// Guards against an unreadable record beside open loans: leaders change, messages are lost, tasks are done and given
/// back. Nothing of the unreadable job is lost, and nothing of the lent one runs twice.
#[test]
fn an_unreadable_record_beside_open_loans_loses_and_repeats_nothing() {
    for seed in 0..8 {
        let mut random = StdRng::seed_from_u64(seed);
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        put(&mut world.store(), "job/wk-000002", json!({ "spec_of_a_later_version": {} }));
        put(&mut world.store(), "done/wk-000002/0", json!("0-3"));
        let mut leader = world.leader();
        leader.begin_and_lend(&mut machine);
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
            let held = world.borrower().tasks();
            let both: Vec<u32> = machine.running().into_iter().filter(|task| held.contains(*task)).collect();
            assert!(both.is_empty(), "seed {seed}: in both cells: {both:?}");
        }
        assert_eq!(leader.ask("GET", "/api/jobs/wk-000002", &Value::Null).0, 503, "seed {seed}");
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
        assert!(again.is_empty(), "seed {seed}: started again: {again:?}");
    }
}

/// Tasks that no known mark covers may run on a machine that cannot be asked.
#[test]
fn without_its_start_mark_a_job_waits_for_the_machines() {
    for (key, damaged) in [("marks/0", json!([1])), ("marks/0", json!({ "wk-000001": "x" }))] {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        begun(&world, &mut machine);
        let running = machine.running();
        put(&mut world.store(), key, damaged.clone());
        let (mut leader, mut other) = (world.leader(), Machine::new("i-000002"));
        leader.steps(&mut other, SETTLED);
        assert!(other.running().is_disjoint(&running), "{:?} of {running:?}", other.running());
        leader.steps(&mut machine, SETTLED);
        assert_eq!(value(&world, key), damaged, "it stays as it is");
    }
}

/// A lender that cannot read the record of a lent job does not tell the borrower that its loan is closed.
#[test]
fn a_loan_whose_record_cannot_be_read_stays_open() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLED);
    leader.lend_some(&mut machine);
    let held = world.borrower().tasks();
    put(&mut world.store(), &job_key(), json!({ "spec_of_a_later_version": {} }));
    let mut leader = world.leader();
    for _ in 0..SETTLED {
        leader.lend();
        leader.step(&mut machine);
    }
    assert_eq!(world.borrower().tasks(), held);
}

fn borrowed_rows(store: &mut Store, job: Value, lender: Value) {
    put(store, "borrowed/job/wk-000005", job);
    put(store, "borrowed/done/wk-000005/0", json!("1-2"));
    put(store, "borrowed/lender/there", lender);
}

/// A borrower that cannot read what it holds says nothing of it: "closed" would have the lender run it again.
#[test]
fn a_borrower_does_not_report_what_it_cannot_read() {
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
        leader.steps(&mut machine, SETTLED);
        assert_eq!(value(&world, "borrowed/done/wk-000005/0"), json!("1-2"));
        assert_eq!(value(&world, "borrowed/lender/there"), lender);
        assert_eq!(value(&world, "borrowed/job/wk-000005"), job);
    }
}

/// With a value of machine records unreadable, any machine may run what was begun, until its lease has ended.
#[test]
fn what_was_begun_waits_while_machine_records_cannot_be_read() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    begun(&world, &mut machine);
    let running = machine.running();
    put(&mut world.store(), "machines/0", json!([1]));
    let (mut leader, mut other) = (world.leader(), Machine::new("i-000002"));
    leader.steps(&mut other, 3 * SETTLED);
    assert!(other.running().is_disjoint(&running), "{:?} of {running:?}", other.running());
    assert_eq!(value(&world, "machines/0"), json!([1]), "it stays as it is");
}

/// Guards against a wait for machines of an unreadable value that ends before their leases have, or never. No job
/// waits for 90 s once all troubles are over.
#[test]
fn the_wait_for_machines_of_an_unreadable_value_ends() {
    const LONGEST_WAIT: Micros = Micros::from_millis(90_000);
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    begun(&world, &mut machine);
    let running = machine.running();
    put(&mut world.store(), "machines/0", json!([1]));
    let (mut leader, mut other) = (world.leader(), Machine::new("i-000002"));
    // An earlier leader that lost the state store just now may renew the lease of the machine for a while.
    let last_renewal = config().max_staleness();
    let mut waited = Micros::ZERO;
    while other.running().is_disjoint(&running) {
        other.finish_all();
        leader.step(&mut other);
        waited = waited + STEP;
        assert!(waited < LONGEST_WAIT, "none of {running:?} starts in {} s", waited.secs());
    }
    let session = last_renewal + LEASE;
    assert!(waited >= session, "after {} s of {} s a task is on two machines", waited.secs(), session.secs());
    run_to_the_end(&mut leader, &mut other);
    assert_eq!(value(&world, "machines/0"), json!([1]), "it stays as it is");
}

/// The `cells` block was taken out while loans are open: nothing that is lent starts, nothing is lost, and what
/// was borrowed is run and recorded.
#[test]
fn a_leader_without_the_cells_block_keeps_both_sides_of_loans() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLED);
    leader.lend_some(&mut machine);
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
    assert!(machine.started.keys().all(|task| !lent.contains(*task)), "lent tasks start here");
    assert_eq!(value(&world, "borrowed/done/wk-000005/0"), json!("1-2"));
    let done = world.store().rows("borrowed/done/wk-000005/");
    assert!(done.iter().any(|row| row.value == json!("1-3")), "the held task is run and recorded: {done:?}");
    let response = leader.ask("POST", "/api/jobs", &json!(spec(5, 10, "batch")));
    assert_eq!(response.0, 503, "its id is in use: {response:?}");
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

/// Removing what a job has left behind fails if the job's key is back.
#[test]
fn done_ranges_of_a_job_that_is_back_are_not_removed() {
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
                leadership::update_from_store(&mut fleet, &key, store.row(&key), now);
            }
        }
    }
    assert!(store.row("done/wk-000001/0").is_some());
    let pending = fleet.pending_writes(now, Micros::ZERO, 1000);
    assert!(pending.is_empty(), "it is not tried again and again: {pending:?}");
}
