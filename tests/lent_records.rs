//! The record of a job with loans in each form that any version writes: which versions read which form, when
//! a form is written, and the effects of a damaged record or placeholder.

mod common;

use common::lending_scenario::tasks;
use common::lending_world::{Machine, World, JOB, SETTLE_STEPS, TASKS};
use common::production::{self, ranges_text};
use common::production_api::read_final_record;
use common::records_of_0_3_2::RecordOf0_3_2;
use common::{record, spec};
use milletlock::records::{FinalPlaceholder, JobRecord, LentForm};
use milletlock::wire::{Change, Txn};
use milletlock_cells::{Lending, Loan, LoanNumber};
use serde_json::{json, Value};

/// Number of tasks of the job in the fixtures.
const FIXTURE_TASKS: u64 = 50;
/// When the job in the fixtures was accepted, in microseconds since 1970.
const FIXTURE_SUBMITTED_US: i64 = 1_700_000_000_000_000;
/// The time of acceptance in the held form of a record, in microseconds since 1970.
const HELD_SUBMITTED_US: i64 = 4_102_444_800_000_000;

/// The description of the job in the fixtures as its user submitted it.
fn description() -> Value {
    json!({
        "nameId": "wk-000001", "grain": "any", "owner": "free", "shape": "batch", "rank": "normal",
        "kernels": FIXTURE_TASKS, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "seed": "img", "pullGb": 0.5,
        "breeds": ["small"], "oneZone": false, "spread": false, "gleanings": true,
        "expectS": 20.0, "stashEveryS": 0.0, "stashS": 0.0
    })
}

/// The description in the held form of the record, which versions before 0.3 read while the job has loans.
fn held_description() -> Value {
    let mut held = description();
    held["breeds"] = json!([]);
    held["kernels"] = json!(FIXTURE_TASKS + 1);
    held
}

fn lending(cancelling: bool) -> Value {
    json!({ "loans": [{ "number": 9, "guest": "there", "tasks": "30-49" }], "cancelling": cancelling })
}

/// The record without loans.
fn plain() -> Value {
    json!({ "spec": description(), "submitted_us": FIXTURE_SUBMITTED_US, "high": 30 })
}

/// The job's own values of the fields that differ in the held form.
fn own_fields() -> Value {
    json!({ "breeds": ["small"], "kernels": FIXTURE_TASKS, "submitted_us": FIXTURE_SUBMITTED_US })
}

/// The held form of the record with a loan.
fn held(cancelling: bool) -> Value {
    let mut held = plain();
    held["spec"] = held_description();
    held["held"] = own_fields();
    held["submitted_us"] = json!(HELD_SUBMITTED_US);
    held["lending"] = lending(cancelling);
    held
}

/// The hidden form of the record with a loan, as 0.3.0 to 0.3.2 write it.
fn hidden(cancelling: bool) -> Value {
    let mut hidden = plain();
    hidden["spec_of_lent"] = description();
    hidden["lending"] = lending(cancelling);
    hidden.as_object_mut().expect("an object").remove("spec");
    hidden
}

fn read(value: &Value) -> JobRecord {
    serde_json::from_value(value.clone()).expect("a record that this version reads")
}

fn read_by_production(value: &Value) -> Option<production::JobRecord> {
    serde_json::from_value(value.clone()).ok()
}

/// Guards against a record that this version reads with other contents than were written, or writes back in
/// another form.
#[test]
fn each_record_form_is_read_and_written_back_unchanged() {
    let forms = [plain(), held(false), held(true), hidden(false), hidden(true)];
    for value in forms {
        let record = read(&value);
        assert_eq!(json!(record.spec), description(), "{value}");
        assert_eq!((record.start_mark, record.submitted_us), (30, FIXTURE_SUBMITTED_US), "{value}");
        assert_eq!(json!(record), value);
    }
    assert_eq!(read(&held(false)).lent_form, LentForm::Held);
    assert_eq!(read(&hidden(false)).lent_form, LentForm::Hidden);
}

/// Guards against a version before 0.3 that does not find a job with loans, or that starts tasks of the job
/// or ends it.
#[test]
fn versions_before_0_3_find_a_job_with_loans_that_they_can_neither_start_nor_complete() {
    let mut job_record = read(&plain());
    let reads = |record: &JobRecord| read_by_production(&json!(record)).expect("it reads the record").spec;
    assert_eq!(reads(&job_record), description(), "while nothing is lent");
    let loans = vec![Loan { number: LoanNumber(1), borrower: "there".into(), tasks: tasks("1") }];
    for lending in [Lending { loans, cancelling: false }, Lending { loans: Vec::new(), cancelling: true }] {
        job_record.lending = lending;
        let seen = reads(&job_record);
        assert_eq!(seen["breeds"], json!([]), "a machine type is allowed");
        assert_eq!(seen["kernels"], json!(FIXTURE_TASKS + 1), "the job can become complete");
        assert_eq!(seen, held_description(), "other fields differ from the job's own description");
        let back: JobRecord = serde_json::from_value(json!(job_record)).expect("read by this version");
        assert_eq!((&back.lending, &back.spec), (&job_record.lending, &job_record.spec));
    }
    job_record.lending = Lending::default();
    assert_eq!(reads(&job_record), description(), "after the loans are closed");
}

/// Guards against a job with loans that 0.3.0 to 0.3.2 do not find, or of which they start or lend tasks.
#[test]
fn versions_0_3_0_to_0_3_2_find_a_held_job_with_its_loans() {
    let read =
        |value: Value| -> RecordOf0_3_2 { serde_json::from_value(value).expect("it reads the record") };
    for value in [held(false), held(true)] {
        let cancelling = value["lending"]["cancelling"] == true;
        let seen = read(value);
        assert_eq!(json!(seen.spec), held_description());
        assert_eq!(json!(seen.lending), lending(cancelling));
    }
    for value in [plain(), hidden(false), hidden(true)] {
        assert_eq!(json!(read(value).spec), description());
    }
}

/// Guards against a placeholder that any version takes for the job's final record.
#[test]
fn the_placeholder_cannot_be_read_as_a_final_record() {
    let placeholder = json!(FinalPlaceholder::new(&read(&plain())));
    assert_eq!(placeholder, json!({ "held": own_fields() }));
    assert!(read_final_record(&placeholder).is_none());
    assert!(serde_json::from_value::<milletlock::records::FinalRecord>(placeholder).is_err());
}

/// Guards against damaged records that are read as valid ones.
#[test]
fn a_damaged_record_of_a_lent_job_is_unreadable() {
    let error = |value: Value| serde_json::from_value::<JobRecord>(value).expect_err("damaged").to_string();
    let damaged = |damage: fn(&mut serde_json::Map<String, Value>)| {
        let mut value = held(false);
        damage(value.as_object_mut().expect("an object"));
        error(value)
    };
    let without_loans = damaged(|record| drop(record.remove("lending")));
    assert_eq!(without_loans, "the job record has the held form but contains no loans");
    let without_description = damaged(|record| drop(record.remove("spec")));
    assert_eq!(without_description, "the job record has no description of the job");
    let with_two = damaged(|record| drop(record.insert("spec_of_lent".into(), description())));
    assert_eq!(with_two, "the job record has two descriptions of the job");
    let without_own_fields = damaged(|record| drop(record.remove("held")));
    assert_eq!(
        without_own_fields,
        "the job record has the description of a held job but not the job's own fields"
    );
    let with_another = damaged(|record| drop(record.insert("spec".into(), description())));
    assert_eq!(with_another, "the description in the job record is not the held form of the job");
    for damage in [json!("held"), json!({ "loans": "30-49" }), json!({ "loans": [{ "number": 9 }] })] {
        let mut damaged = held(false);
        damaged["lending"] = damage;
        error(damaged);
    }
}

fn put(world: &World, key: &str, value: Value) {
    let then = vec![Change::put(key.to_string(), value)];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
}

fn job_key() -> String {
    format!("job/{JOB}")
}

fn final_key() -> String {
    format!("final/{JOB}")
}

fn value(world: &World, key: &str) -> Option<Value> {
    world.store().row(key).map(|row| row.value)
}

/// Lends tasks of a job, and lets the borrower accept no further loans.
fn lent_job(world: &World, machine: &mut Machine) {
    let mut leader = world.leader();
    leader.submit_and_lend(machine);
    world.borrower().is_full = true;
    leader.lend();
}

/// Lends tasks of a job, and stores the job's record as 0.3.2 writes it.
fn lent_by_0_3_2(world: &World, machine: &mut Machine) {
    lent_job(world, machine);
    world.store().lend_as_0_3_2(JOB);
}

fn is_hidden(world: &World) -> bool {
    let record = world.job_row().expect("the job");
    record.get("spec").is_none() && record.get("spec_of_lent").is_some()
}

/// Guards against rewriting a record to a form that another controller cannot read.
#[test]
fn hidden_records_keep_their_form_until_all_controllers_read_the_held_form() {
    for version in ["", "0.1.0", "0.3.0", "0.3.2"] {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        lent_by_0_3_2(&world, &mut machine);
        let mut leader = world.leader_beside(version);
        leader.steps(&mut machine, SETTLE_STEPS);
        let borrowed = world.borrower().tasks();
        world.borrower().tasks_to_return = borrowed.iter().take(1).collect();
        (0..SETTLE_STEPS).for_each(|_| leader.lend());
        let record = read(&world.job_row().expect("the job"));
        assert_eq!(record.lending.tasks().len(), borrowed.len() - 1, "{version}: one task has been returned");
        assert!(is_hidden(&world), "{version}");
        assert_eq!(world.final_row(), None, "{version}");
        assert_eq!(leader.status()["lent_progress"]["hidden_records"], 1, "{version}");
        let cancelled = leader.user_request("POST", &format!("/api/jobs/{JOB}/withdraw"), &Value::Null);
        assert_eq!(cancelled.0, 503, "{version}: the borrower still has tasks");
        assert!(is_hidden(&world) && world.final_row().is_none(), "{version}: cancelling");
        leader.lend();
        assert_eq!(world.final_row().expect("ended")["stage"], "cancelled", "{version}");
    }
}

/// Guards against loans whose record another controller cannot read.
#[test]
fn nothing_is_lent_while_a_controller_cannot_read_the_held_form() {
    for version in ["", "0.1.0", "0.3.0", "0.3.2"] {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        let mut leader = world.leader_beside(version);
        leader.submit();
        for _ in 0..SETTLE_STEPS {
            leader.step(&mut machine);
            leader.lend();
        }
        assert!(world.borrower().tasks().is_empty(), "{version}");
    }
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader_beside("0.3.3");
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend_until_accepted(&mut machine);
}

/// Guards against a job record that versions before 0.3 still cannot read after the rollout of this version.
#[test]
fn hidden_records_are_rewritten_once_all_controllers_read_the_held_form() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    lent_by_0_3_2(&world, &mut machine);
    let before = read(&world.job_row().expect("the job"));
    let mut leader = world.leader_beside("0.3.3");
    leader.lend();
    let record = world.store().row(&job_key()).expect("the job");
    assert!(read_by_production(&record.value).is_some(), "{}", record.value);
    let after = read(&record.value);
    assert_eq!(after.submitted_us, before.submitted_us);
    assert_eq!((after.spec, after.lending), (before.spec, before.lending));
    let placeholder = world.store().row(&final_key()).expect("a placeholder");
    let own = json!({ "breeds": null, "kernels": TASKS, "submitted_us": before.submitted_us });
    let own_fields = json!({ "held": own });
    assert_eq!((placeholder.value, placeholder.mod_revision), (own_fields, record.mod_revision));
    assert_eq!(leader.status()["lent_progress"]["hidden_records"], 0);
    leader.lend();
    assert_eq!(
        world.store().mod_revision(&job_key()),
        record.mod_revision,
        "the record is written more than once"
    );
}

/// Guards against a record that exceeds the limit of a value when it is rewritten.
#[test]
fn a_hidden_record_whose_held_form_exceeds_the_value_limit_keeps_its_form() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    lent_by_0_3_2(&world, &mut machine);
    let mut large = world.job_row().expect("the job");
    let types: Vec<String> = (0..36).map(|n| format!("{n:0100}")).chain(["small".to_string()]).collect();
    large["spec_of_lent"]["breeds"] = json!(types);
    put(&world, &job_key(), large);
    let mut leader = world.leader_beside("0.3.3");
    (0..SETTLE_STEPS).for_each(|_| leader.lend());
    assert!(is_hidden(&world));
    assert_eq!(leader.status()["lent_progress"]["hidden_records"], 1);
}

/// Guards against requests that are answered as if the job were known, when there is a placeholder but no job
/// record.
#[test]
fn a_placeholder_without_a_job_is_reported_as_unreadable_and_kept() {
    let world = World::new();
    put(&world, &final_key(), json!({ "held": true }));
    let leader = world.leader();
    let submission = json!(spec(1, 4, "batch"));
    assert_eq!(leader.user_request("POST", "/api/jobs", &submission).0, 503);
    assert_eq!(leader.user_request("GET", &format!("/api/jobs/{JOB}"), &Value::Null).0, 503);
    assert_eq!(leader.user_request("POST", &format!("/api/jobs/{JOB}/withdraw"), &Value::Null).0, 503);
    assert_eq!(leader.status()["owner"]["unreadable"], json!({ "count": 1, "keys": [final_key()] }));
    assert_eq!(world.final_row(), Some(json!({ "held": true })));
    assert_eq!(world.job_row(), None);
}

/// Guards against a job without its placeholder whose end is refused repeatedly, together with the writes of
/// other jobs in the same transaction.
#[test]
fn a_missing_or_unexpected_placeholder_blocks_only_its_own_job() {
    for unexpected in [None, Some(json!({ "stage": "done" })), Some(json!({ "held": true }))] {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        lent_job(&world, &mut machine);
        match &unexpected {
            None => drop(world.store().keys.remove(&final_key())),
            Some(row) => put(&world, &final_key(), row.clone()),
        }
        put(&world, &format!("done/{JOB}/0"), json!(ranges_text(&(0..40).collect())));
        let mut leader = world.leader();
        let other = json!(spec(2, 2, "batch"));
        assert_eq!(leader.user_request("POST", "/api/jobs", &other).0, 201);
        for _ in 0..2 * SETTLE_STEPS {
            leader.step(&mut machine);
            machine.finish_all();
        }
        let ended = value(&world, "final/wk-000002");
        assert_eq!(ended, Some(json!({ "stage": "done", "tasks": 2 })), "{unexpected:?}: the other job");
        assert!(world.job_row().is_some(), "{unexpected:?}: the job's record was deleted");
        assert_eq!(world.final_row(), unexpected, "the value under the final key has changed");
        let keys = leader.status()["owner"]["unreadable"]["keys"].clone();
        assert_eq!(keys, json!([final_key()]), "{unexpected:?}");
        assert_eq!(leader.user_request("POST", &format!("/api/jobs/{JOB}/withdraw"), &Value::Null).0, 503);
    }
}

/// Guards against a submission whose description looks like that of a held job.
#[test]
fn a_submission_that_allows_no_machine_type_is_refused() {
    let world = World::new();
    let leader = world.leader();
    let mut submission = json!(record(spec(1, 4, "batch")).spec);
    for field in ["field", "dueS"] {
        submission[field] = Value::Null;
    }
    submission["breeds"] = json!([]);
    assert_eq!(leader.user_request("POST", "/api/jobs", &submission).0, 400);
    assert_eq!(world.job_row(), None);
}
