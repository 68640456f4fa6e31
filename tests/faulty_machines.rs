//! Failing tasks: a faulty machine is distinguished from a faulty job.

mod common;

use std::sync::Arc;

use common::fleet_scenario::Scenario;
use common::{heartbeat, spec};
use milletlock::jobs::{JobId, MachineId};
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, Heartbeat, JobSpec, TaskStage};

/// The next heartbeat of a machine on which up to `count` tasks of a job have exited with the reason `why`
/// and all other tasks are running.
fn ended(scenario: &mut Scenario, machine: &str, job: &str, count: usize, why: ExitReason) -> Heartbeat {
    scenario.sequence += 1;
    let mut left = count;
    let on_machine = scenario.tasks(machine);
    let tasks: Vec<_> = on_machine
        .iter()
        .map(|(task, attempt)| {
            if left > 0 && task.starts_with(job) {
                left -= 1;
                (task.as_str(), *attempt, TaskStage::Exited, Some(why))
            } else {
                (task.as_str(), *attempt, TaskStage::Running, None)
            }
        })
        .collect();
    heartbeat(machine, scenario.sequence, 7, &tasks)
}

/// Number of failures in a row that the leader counts for a job.
fn consecutive_failures(scenario: &Scenario, job: &str) -> u32 {
    let id: JobId = Arc::from(job);
    scenario.fleet.jobs[&id].consecutive_failures
}

/// Whether the leader scales a machine in.
fn is_scaling_in(scenario: &Scenario, machine: &str) -> bool {
    scenario.fleet.machines_to_scale_in().iter().any(|id| id == machine)
}

/// Removes the exited tasks of a job from the leader's model of a machine.
fn remove_exited(scenario: &mut Scenario, machine: &str, job: &str) {
    let id: MachineId = Arc::from(machine);
    let machine = scenario.fleet.machines.get_mut(&id).expect("a machine");
    machine.tasks.retain(|key, task| &*key.job != job || task.exit_reason.is_none());
}

/// Guards against a fault by which sixteen tasks of an urgent job that failed at once on one machine delayed
/// the job on all machines by a minute.
#[test]
fn several_failures_on_one_machine_count_as_one_failure_of_the_job() {
    let mut scenario = Scenario::new(2, false);
    scenario.submit(spec(1, 8, "batch"));
    (0..3).for_each(|_| scenario.step(&[]));
    assert_eq!((scenario.tasks("i-000").len(), scenario.tasks("i-001").len()), (4, 4));
    let failed = ended(&mut scenario, "i-000", "wk-000001", 4, ExitReason::Error);
    scenario.send_heartbeat(&failed);
    assert_eq!(consecutive_failures(&scenario, "wk-000001"), 1);
    // Tasks fail on another machine as well, so the job may be faulty.
    let failed = ended(&mut scenario, "i-001", "wk-000001", 4, ExitReason::Error);
    scenario.send_heartbeat(&failed);
    assert_eq!(consecutive_failures(&scenario, "wk-000001"), 2);
}

/// Tasks that started before a machine became faulty may still succeed. Their success does not show that
/// tasks started later succeed.
#[test]
fn successes_of_tasks_started_before_a_failure_do_not_keep_a_machine_from_scale_in() {
    let mut scenario = Scenario::new(1, false);
    scenario.submit(spec(1, 2, "batch"));
    (0..3).for_each(|_| scenario.step(&[]));
    scenario.submit(spec(2, 1, "batch"));
    scenario.submit(spec(3, 1, "batch"));
    (0..3).for_each(|_| scenario.step(&[]));
    assert_eq!(scenario.tasks("i-000").len(), 4);
    let failed = ended(&mut scenario, "i-000", "wk-000002", 1, ExitReason::Error);
    scenario.send_heartbeat(&failed);
    remove_exited(&mut scenario, "i-000", "wk-000002");
    scenario.now = scenario.now + Micros::from_secs(1.0);
    let succeeded = ended(&mut scenario, "i-000", "wk-000001", 1, ExitReason::Done);
    scenario.send_heartbeat(&succeeded);
    assert!(!is_scaling_in(&scenario, "i-000"), "the job may be faulty");
    remove_exited(&mut scenario, "i-000", "wk-000001");
    let failed = ended(&mut scenario, "i-000", "wk-000003", 1, ExitReason::Error);
    scenario.send_heartbeat(&failed);
    assert!(is_scaling_in(&scenario, "i-000"));
}

/// A job that succeeds on other machines is not faulty, so its first failure shows that the machine is.
#[test]
fn a_machine_on_which_a_job_fails_that_succeeds_elsewhere_is_scaled_in_at_once() {
    let mut scenario = Scenario::new(2, false);
    scenario.submit(JobSpec { estimate_s: 60.0, ..spec(1, 8, "batch") });
    (0..3).for_each(|_| scenario.step(&[]));
    let succeeded = ended(&mut scenario, "i-001", "wk-000001", 1, ExitReason::Done);
    scenario.send_heartbeat(&succeeded);
    assert!(!is_scaling_in(&scenario, "i-000") && !is_scaling_in(&scenario, "i-001"));
    let failed = ended(&mut scenario, "i-000", "wk-000001", 1, ExitReason::Error);
    scenario.send_heartbeat(&failed);
    assert!(is_scaling_in(&scenario, "i-000") && !is_scaling_in(&scenario, "i-001"));
}

/// A faulty job is retried at growing intervals also if there is only one machine.
#[test]
fn a_job_that_fails_repeatedly_on_the_only_machine_is_backed_off() {
    let mut scenario = Scenario::new(1, false);
    scenario.submit(spec(1, 4, "batch"));
    for _ in 0..40 {
        scenario.step(&[]);
        if !scenario.tasks("i-000").is_empty() {
            let failed = ended(&mut scenario, "i-000", "wk-000001", 4, ExitReason::Error);
            scenario.send_heartbeat(&failed);
            remove_exited(&mut scenario, "i-000", "wk-000001");
        }
    }
    // Three attempts at once, then attempts 8, 16, 32 and 60 s apart.
    assert_eq!(consecutive_failures(&scenario, "wk-000001"), 6);
}
