//! Limits on the writes for jobs with loans: the size of held job records, the versions of the other
//! controllers with which loans are made and held records are written, and the avoidance of writes that the
//! state store would refuse in every round.

mod common;

use common::lending_scenario::{lend, lending_scenario, wall};
use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS, VALUE_BYTES};
use common::spec;
use milletlock::fleet::LoanWrite;
use milletlock::leadership::mark_unreadable_finals;
use milletlock::records::{JobRecord, LentForm};
use milletlock::wire::{Change, Txn};
use milletlock_cells::Lending;
use serde_json::{json, Value};

fn job_value(world: &World) -> Value {
    world.store().row(&format!("job/{JOB}")).expect("the job has a record").value
}

/// Stores a job with an open loan in the form of version 0.3.2. In the held form, its record fills a value
/// completely.
fn lent_by_0_3_2_with_a_long_description(world: &World, machine: &mut Machine) {
    let mut leader = world.leader();
    leader.submit_and_lend(machine);
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

/// Guards against a record that is rewritten in the held form and outgrows its value when tasks are returned,
/// which splits the sets of lent tasks.
#[test]
fn a_record_is_rewritten_in_the_held_form_only_if_it_fits_its_value_with_split_loans() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    lent_by_0_3_2_with_a_long_description(&world, &mut machine);
    let mut leader = world.leader_beside("0.3.3");
    leader.lend();
    let lent = world.borrower().tasks();
    world.borrower().tasks_to_return = lent.iter().filter(|task| task % 2 == 0).collect();
    (0..SETTLE_STEPS).for_each(|_| leader.lend());
    let value = job_value(&world);
    let record: JobRecord = serde_json::from_value(value.clone()).expect("a record");
    assert!(record.lending.tasks().len() < lent.len(), "no tasks were returned");
    let bytes = value.to_string().len();
    assert!(bytes <= VALUE_BYTES, "{bytes} bytes of {VALUE_BYTES}");
}

/// Guards against loan writes that the state store refuses in every round because of the value under the key
/// of the job's final record.
#[test]
fn no_loan_writes_are_made_for_a_job_that_cannot_be_ended() {
    let mut scenario = lending_scenario();
    scenario.submit(spec(1, 100, "batch"));
    let write = lend(&mut scenario, 60);
    scenario.fleet.apply_loan_write(&write, 20, scenario.now, wall(&scenario));
    let LoanWrite::Lender { record, .. } = write else { panic!("a loan of this cell") };
    let mut hidden = *record;
    hidden.lent_form = LentForm::Hidden;
    scenario.fleet.apply_job_record(hidden, 21, scenario.now);
    mark_unreadable_finals(&mut scenario.fleet, &[format!("final/{JOB}")]);
    assert!(scenario.fleet.begin_held_form_rewrites(8).is_empty(), "the job's record is rewritten");
    assert!(scenario.fleet.settle_loan(JOB, Lending::default()).is_none(), "the job's loan is settled");
}

/// A controller that was the leader beside a controller of version 0.3.3, and that is elected again after
/// another leader.
fn leader_elected_again<'a>(world: &'a World, machine: &mut Machine) -> Leader<'a> {
    let mut leader = world.leader_beside("0.3.3");
    leader.submit();
    leader.steps(machine, SETTLE_STEPS);
    world.elect_earlier_leader();
    leader.steps(machine, SETTLE_STEPS);
    leader.fail_over();
    leader
}

/// Guards against loans beside a controller that was replaced by one of an older version during another
/// leader's term.
#[test]
fn versions_reported_in_an_earlier_term_allow_no_loan() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = leader_elected_again(&world, &mut machine);
    for _ in 0..SETTLE_STEPS {
        leader.lend();
        leader.step(&mut machine);
    }
    assert!(
        world.borrower().tasks().is_empty(),
        "a loan is made before the controllers have reported their versions"
    );
    leader.controller.announce_once();
    leader.lend_until_accepted(&mut machine);
}

/// Guards against lending that stops at a failover until the failed leader is available again.
#[test]
fn the_version_that_the_failed_leader_reported_allows_loans() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    world.leader().submit();
    let mut leader = world.follower();
    leader.receive_leader_announcement("0.3.3");
    leader.fail_over();
    leader.lend_until_accepted(&mut machine);
}
