//! Tasks that fail: a machine at fault is told from a job that was submitted with a mistake.

mod common;

use std::sync::Arc;

use common::fleet_scenario::Scenario;
use common::{heartbeat, spec};
use milletlock::jobs::{JobId, MachineId};
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, Heartbeat, JobSpec, TaskStage};

/// The next heartbeat of a machine, on which tasks of one job, all or some, have ended so.
fn ended(s: &mut Scenario, machine: &str, job: &str, count: usize, why: ExitReason) -> Heartbeat {
    s.sequence += 1;
    let mut left = count;
    let there = s.tasks(machine);
    let tasks: Vec<_> = there
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
    heartbeat(machine, s.sequence, 7, &tasks)
}

fn errors(s: &Scenario, job: &str) -> u32 {
    let id: JobId = Arc::from(job);
    s.fleet.jobs[&id].consecutive_failures
}

fn leaving(s: &Scenario, machine: &str) -> bool {
    s.fleet.machines_to_scale_in().iter().any(|id| id == machine)
}

fn forget_on(s: &mut Scenario, machine: &str, job: &str) {
    let id: MachineId = Arc::from(machine);
    let machine = s.fleet.machines.get_mut(&id).expect("a machine");
    machine.tasks.retain(|k, e| &*k.job != job || e.exit_reason.is_none());
}

/// A machine that failed sixteen tasks of an urgent job at once put the job off for a minute on all others.
#[test]
fn several_failures_on_one_machine_count_as_one_failure_of_the_job() {
    let mut s = Scenario::new(2, false);
    s.submit(spec(1, 8, "batch"));
    (0..3).for_each(|_| s.step(&[]));
    assert_eq!((s.tasks("i-000").len(), s.tasks("i-001").len()), (4, 4));
    let failed = ended(&mut s, "i-000", "wk-000001", 4, ExitReason::Error);
    s.send_heartbeat(&failed);
    assert_eq!(errors(&s, "wk-000001"), 1);
    // On another machine as well: it may be the job.
    let failed = ended(&mut s, "i-001", "wk-000001", 4, ExitReason::Error);
    s.send_heartbeat(&failed);
    assert_eq!(errors(&s, "wk-000001"), 2);
}

/// Tasks that began before the fault go on to succeed: they say nothing of what begins after it.
#[test]
fn successes_of_tasks_started_before_a_failure_do_not_keep_a_machine_from_scale_in() {
    let mut s = Scenario::new(1, false);
    s.submit(spec(1, 2, "batch"));
    (0..3).for_each(|_| s.step(&[]));
    s.submit(spec(2, 1, "batch"));
    s.submit(spec(3, 1, "batch"));
    (0..3).for_each(|_| s.step(&[]));
    assert_eq!(s.tasks("i-000").len(), 4);
    let failed = ended(&mut s, "i-000", "wk-000002", 1, ExitReason::Error);
    s.send_heartbeat(&failed);
    forget_on(&mut s, "i-000", "wk-000002");
    s.now = s.now + Micros::from_secs(1.0);
    let succeeded = ended(&mut s, "i-000", "wk-000001", 1, ExitReason::Done);
    s.send_heartbeat(&succeeded);
    assert!(!leaving(&s, "i-000"), "one job may be mistaken");
    forget_on(&mut s, "i-000", "wk-000001");
    let failed = ended(&mut s, "i-000", "wk-000003", 1, ExitReason::Error);
    s.send_heartbeat(&failed);
    assert!(leaving(&s, "i-000"));
}

/// A job that succeeds elsewhere is not mistaken: the first failure is the machine's.
#[test]
fn a_machine_on_which_a_job_fails_that_succeeds_elsewhere_is_scaled_in_at_once() {
    let mut s = Scenario::new(2, false);
    s.submit(JobSpec { estimate_s: 60.0, ..spec(1, 8, "batch") });
    (0..3).for_each(|_| s.step(&[]));
    let succeeded = ended(&mut s, "i-001", "wk-000001", 1, ExitReason::Done);
    s.send_heartbeat(&succeeded);
    assert!(!leaving(&s, "i-000") && !leaving(&s, "i-001"));
    let failed = ended(&mut s, "i-000", "wk-000001", 1, ExitReason::Error);
    s.send_heartbeat(&failed);
    assert!(leaving(&s, "i-000") && !leaving(&s, "i-001"));
}

/// With a single machine a mistaken job is still tried ever more seldom.
#[test]
fn a_job_that_fails_repeatedly_on_the_only_machine_is_backed_off() {
    let mut s = Scenario::new(1, false);
    s.submit(spec(1, 4, "batch"));
    for _ in 0..40 {
        s.step(&[]);
        if !s.tasks("i-000").is_empty() {
            let failed = ended(&mut s, "i-000", "wk-000001", 4, ExitReason::Error);
            s.send_heartbeat(&failed);
            forget_on(&mut s, "i-000", "wk-000001");
        }
    }
    // Three tries at once, then 8, 16, 32 and 60 s apart.
    assert_eq!(errors(&s, "wk-000001"), 6);
}
