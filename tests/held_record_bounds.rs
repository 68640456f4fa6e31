//! The bounds of what this version writes of jobs with loans: the size of their records, the versions beside which
//! records are held, and writes that the state store would refuse again and again.

mod common;

use common::lending_scenario::{lend, lending_scenario, wall};
use common::lending_world::{Leader, Machine, World, JOB, SETTLED, VALUE_BYTES};
use common::spec;
use milletlock::fleet::LoanWrite;
use milletlock::leadership::mark_unreadable_finals;
use milletlock::records::{JobRecord, LentForm};
use milletlock::wire::{Change, Txn};
use milletlock_cells::Lending;
use serde_json::{json, Value};

fn job_value(world: &World) -> Value {
    world.store().row(&format!("job/{JOB}")).expect("the job").value
}

/// A job with an open loan, as 0.3.2 left it, whose record in the held form takes all of a value.
fn lent_by_0_3_2_with_a_long_description(world: &World, machine: &mut Machine) {
    let mut leader = world.leader();
    leader.begin_and_lend(machine);
    world.borrower().is_full = true;
    leader.lend();
    let mut record: JobRecord = serde_json::from_value(job_value(world)).expect("a record");
    while json!(record).to_string().len() + 2 <= VALUE_BYTES {
        record.spec.image = Some(record.spec.image.unwrap_or_default() + "x");
    }
    let then = vec![Change::put(format!("job/{JOB}"), json!(record))];
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    world.store().lend_as_0_3_2(JOB);
}

/// Guards against a rewritten record that a value cannot hold any more once tasks are given back.
#[test]
fn a_rewritten_record_leaves_room_for_loans_that_are_split() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    lent_by_0_3_2_with_a_long_description(&world, &mut machine);
    let mut leader = world.leader_beside("0.3.3");
    leader.lend();
    let held = world.borrower().tasks();
    world.borrower().gives_back = held.iter().filter(|task| task % 2 == 0).collect();
    (0..SETTLED).for_each(|_| leader.lend());
    let value = job_value(&world);
    let record: JobRecord = serde_json::from_value(value.clone()).expect("a record");
    assert!(record.lending.tasks().len() < held.len(), "tasks are given back");
    let bytes = value.to_string().len();
    assert!(bytes <= VALUE_BYTES, "{bytes} bytes of {VALUE_BYTES}");
}

/// Guards against writes of loans that are refused in each round for what stands under the final record's key.
#[test]
fn no_loans_are_written_of_a_job_that_cannot_be_ended() {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 100, "batch"));
    let write = lend(&mut scenario, 60);
    scenario.fleet.apply_loan_write(&write, 20, scenario.now, wall(&scenario));
    let LoanWrite::Lender { record, .. } = write else { panic!("a loan of this cell") };
    let mut hidden = *record;
    hidden.lent_form = LentForm::Hidden;
    scenario.fleet.apply_job_record(hidden, 21, scenario.now);
    mark_unreadable_finals(&mut scenario.fleet, &[format!("final/{JOB}")]);
    assert!(scenario.fleet.begin_held_form_rewrites(8).is_empty(), "its record is rewritten");
    assert!(scenario.fleet.settle_loan(JOB, Lending::default()).is_none(), "its loan is settled");
}

/// A controller that led beside one of this version, and leads again after another leader.
fn leads_again<'a>(world: &'a World, machine: &mut Machine) -> Leader<'a> {
    let mut leader = world.leader_beside("0.3.3");
    leader.submit();
    leader.steps(machine, SETTLED);
    world.elect_earlier();
    leader.steps(machine, SETTLED);
    leader.fail_over();
    leader
}

/// Guards against loans beside a controller that was replaced by an older one while another controller led.
#[test]
fn versions_of_an_earlier_term_allow_no_loan() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = leads_again(&world, &mut machine);
    for _ in 0..SETTLED {
        leader.lend();
        leader.step(&mut machine);
    }
    assert!(world.borrower().tasks().is_empty(), "no controller has reported its version in this term");
    leader.controller.announce_once();
    leader.lend_some(&mut machine);
}

/// Guards against lending that stops with a failover until the leader that died is back.
#[test]
fn the_version_of_the_leader_that_died_allows_loans() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    world.leader().submit();
    let mut leader = world.follower();
    leader.hears_of_leader("0.3.3");
    leader.fail_over();
    leader.lend_some(&mut machine);
}
