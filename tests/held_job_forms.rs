//! Forms of the record of a job with loans: the form that 0.3.0 to 0.3.2 wrote, and records with
//! descriptions so long that the value has little or no space for loans.

mod common;

use common::leader_without_copies::run_until_ended;
use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS, TASKS, VALUE_BYTES};
use common::production_leader::ProductionLeader;
use common::spec;
use serde_json::{json, Value};

/// Number of machine types in a description that takes more than half of a value.
const MANY_TYPES: usize = 22;

/// Gives the job's record, in the form of 0.3.2, a long description.
fn with_long_description(world: &World) {
    let mut store = world.store();
    let (record, _) = store.keys.get_mut(&format!("job/{JOB}")).expect("the job");
    record["spec_of_lent"]["breeds"] = type_names(MANY_TYPES);
}

/// Names of `count` machine types that do not exist, and of one that exists. The names are so long that 31 of
/// them leave no space for a loan.
fn type_names(count: usize) -> Value {
    let others = (0..count).map(|number| format!("{number:0>115}"));
    json!(others.chain(["small".to_string()]).collect::<Vec<_>>())
}

/// A cell of version 0.3.2 that has lent tasks of a job. Some of its own tasks are done and some are running.
fn lent_by_0_3_2() -> (World, Machine) {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    machine.finish_one();
    leader.steps(&mut machine, SETTLE_STEPS);
    drop(leader);
    world.store().lend_as_0_3_2(JOB);
    (world, machine)
}

fn assert_values_fit(world: &World) {
    for (key, (value, _)) in &world.store().keys {
        let bytes = value.to_string().len();
        assert!(bytes <= VALUE_BYTES, "{key}: {bytes} bytes");
    }
}

/// Runs the cells until the job has ended, and asserts that only its final record is left and that no task
/// was started twice.
fn run_until_ended_with_checks(world: &World, leader: &mut Leader<'_>, machine: &mut Machine) {
    run_until_ended(world, leader, machine, "", assert_values_fit);
    let twice: Vec<_> = machine.started.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "started more than once: {twice:?}");
}

/// Guards against the loss of progress of a job that 0.3.2 has lent, when a version before 0.3 leads. A
/// leader of this version prevents the loss by rewriting the job's record.
#[test]
fn a_job_lent_by_0_3_2_survives_a_leader_before_0_3_once_this_version_has_led() {
    let (world, mut machine) = lent_by_0_3_2();
    let mut leader = world.leader();
    leader.steps(&mut machine, 1);
    leader.lend();
    leader.steps(&mut machine, SETTLE_STEPS);
    let (done, running) = (world.recorded_done(), machine.running());
    assert!(!done.is_empty() && !running.is_empty());
    drop(leader);
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, SETTLE_STEPS);
    assert!(earlier.knows(JOB));
    assert_eq!((world.recorded_done(), machine.running()), (done, running));
    run_until_ended_with_checks(&world, &mut world.leader(), &mut machine);
}

/// Guards against transactions whose guards expect a placeholder, although 0.3.2 wrote none.
#[test]
fn a_job_lent_by_0_3_2_can_be_settled_cancelled_and_ended() {
    for is_cancelled in [false, true] {
        // A leader that does not know the versions of the other controllers does not change the form.
        for knows_versions in [false, true] {
            for has_long_description in [false, true] {
                let (world, mut machine) = lent_by_0_3_2();
                if has_long_description {
                    with_long_description(&world);
                }
                let mut leader = if knows_versions { world.leader() } else { world.follower() };
                leader.fail_over();
                leader.steps(&mut machine, 2);
                leader.lend();
                let given_back = world.borrower().tasks().iter().take(2).collect();
                world.borrower().tasks_to_return = given_back;
                let before = world.job_row();
                leader.lend();
                assert_ne!(world.job_row(), before, "the loan was not settled");
                if is_cancelled {
                    world.borrower().is_cut_off = true;
                    assert_eq!(leader.cancel(), 503);
                    assert_eq!(world.job_row().expect("live")["lending"]["cancelling"], true);
                }
                run_until_ended_with_checks(&world, &mut leader, &mut machine);
                let stage = if is_cancelled { "cancelled" } else { "done" };
                assert_eq!(world.final_row(), Some(json!({ "stage": stage, "tasks": TASKS })));
            }
        }
    }
}

/// Guards against a record that the state store rejects because of its size, so that the job cannot be lent,
/// settled or cancelled any more.
#[test]
fn a_job_whose_description_leaves_no_space_for_loans_still_runs() {
    let mut most_lent = Vec::new();
    for types in (4..32).step_by(3) {
        let (world, mut machine) = (World::new(), Machine::new("i-000001"));
        let mut leader = world.leader();
        let mut job = json!(spec(1, TASKS, "batch"));
        job["breeds"] = type_names(types);
        assert_eq!(leader.user_request("POST", "/api/jobs", &job).0, 201);
        leader.steps(&mut machine, SETTLE_STEPS);
        for _ in 0..SETTLE_STEPS {
            leader.lend();
            leader.steps(&mut machine, 1);
            assert_values_fit(&world);
        }
        most_lent.push(world.borrower().tasks().len());
        let given_back = world.borrower().tasks().iter().step_by(2).collect();
        world.borrower().tasks_to_return = given_back;
        leader.lend();
        assert_values_fit(&world);
        run_until_ended_with_checks(&world, &mut leader, &mut machine);
    }
    assert!(most_lent[0] > 0, "few types: {most_lent:?}");
    assert!(most_lent.contains(&0), "many types: {most_lent:?}");
}

/// Guards against requests for a job that are answered with 503 after a leader of 0.3.2 has rewritten the
/// job's record.
#[test]
fn a_follower_answers_requests_for_a_job_whose_record_0_3_2_has_rewritten() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit_and_lend(&mut machine);
    drop(leader);
    world.store().rewrite_as_0_3_2(JOB, |_| ());
    let follower = world.follower();
    let status = follower.user_request("GET", &format!("/api/jobs/{JOB}"), &Value::Null);
    assert_eq!((status.0, &status.1["stage"]), (200, &json!("queued")), "a status request");
    let again = follower.user_request("POST", "/api/jobs", &json!(spec(1, TASKS, "batch")));
    assert_eq!(again.0, 200, "a repeated submission: {again:?}");
}
