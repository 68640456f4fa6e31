//! What a new leader loads and starts after a failover, and what ends the leadership of an old leader.

use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::time::Micros;
use milletlock::wire::{ListedMachine, TaskStage};

use crate::common::clock::{at, wall, START};
use crate::common::{heartbeat, record, spec};
use crate::fixtures::{
    fleet_with, machine_record, new_fleet, reply_commands, started_job, starts, write_all,
};

#[test]
fn after_a_failover_only_tasks_that_cannot_be_running_elsewhere_start() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 5, START);
    fleet.load_machine("i-2", &machine_record("small"), 5, START);
    fleet.apply_job_record(started_job(spec(1, 8, "batch"), 6), 6, START);
    fleet.apply_job_record(started_job(spec(2, 2, "gang"), 2), 7, START);
    reply_commands(&mut fleet, 0.5, &heartbeat("i-2", 9, 9, &[]));
    fleet.tick(at(0.6), wall(0.6));
    write_all(&mut fleet, 0.6);
    let first_starts = starts(&reply_commands(&mut fleet, 1.0, &heartbeat("i-2", 10, 9, &[])));
    let names: Vec<&str> = first_starts.iter().map(|start| start.0.as_str()).collect();
    assert_eq!(names, ["wk-000001/6", "wk-000001/7"]);
    // The other machine acknowledges the fencing token and runs one of the tasks: the other tasks may start.
    let running_tasks = [("wk-000001/0", 77, TaskStage::Running, None)];
    reply_commands(&mut fleet, 1.5, &heartbeat("i-1", 40, 9, &running_tasks));
    fleet.tick(at(1.6), wall(1.6));
    write_all(&mut fleet, 1.6);
    let rest = starts(&reply_commands(&mut fleet, 2.0, &heartbeat("i-1", 41, 9, &running_tasks)));
    assert!(!rest.is_empty() && rest.iter().all(|start| start.0 != "wk-000001/0"));
}

#[test]
fn the_capacity_of_unacknowledged_machines_counts_towards_a_teams_quota() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 5, START);
    let mut job = spec(1, 8, "batch");
    job.team = "tight".into();
    fleet.apply_job_record(record(job), 6, START);
    reply_commands(&mut fleet, 0.5, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 0.5);
    fleet.tick(at(0.6), wall(0.6));
    write_all(&mut fleet, 0.6);
    // The quota is 6 processors and the unacknowledged machine has 4, so 2 are left.
    assert_eq!(starts(&reply_commands(&mut fleet, 1.0, &heartbeat("i-2", 2, 9, &[]))).len(), 2);
}

#[test]
fn a_higher_fencing_token_ends_leadership_and_is_never_replied_to_with_200() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    assert_eq!(
        fleet.apply_heartbeat(&heartbeat("i-1", 2, 8, &[]), at(1.0), wall(1.0)),
        HeartbeatOutcome::Superseded(8)
    );
    assert_eq!(fleet.apply_direct_command_reply(&heartbeat("i-1", 3, 9, &[]), at(1.0)), Some(9));
}

#[test]
fn a_new_leader_loads_the_recent_jobs_that_large_machines_are_kept_for() {
    // Without the recent jobs, each failover scaled in the idle machines that the next urgent job needed.
    let mut urgent = spec(1, 1, "gang");
    urgent.class = Some("quick".into());
    urgent.image_gb = 5.0;
    urgent.cpus = 15.0;
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(urgent), 1, START);
    assert!(fleet.pending_writes(at(20.0), Micros::ZERO, 1000).contains(&PendingWrite::RecentJobs));
    let records = fleet.recent_job_records(at(20.0), wall(20.0), 4000);
    assert_eq!(records.len(), 1);
    let mut next_leader = new_fleet(8);
    next_leader.load_recent_jobs(records, at(30.0), wall(30.0));
    let reloaded = next_leader.recent_job_records(at(30.0), wall(30.0), 4000);
    assert_eq!(
        (reloaded[0].submitted_us, reloaded[0].starts_before_boot, &reloaded[0].types[..]),
        (wall(0.0).0, true, &["large".to_string()][..])
    );
    assert!(
        fleet.recent_job_records(at(20.0), wall(20.0), 50).is_empty(),
        "a list that does not fit the value is empty"
    );
}

/// Guards against a fault by which no idle machine was scaled in for a minute after each failover, because
/// every machine counted as new.
#[test]
fn a_new_leader_takes_the_age_of_machines_from_the_clouds_list() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    reply_commands(&mut fleet, 0.5, &heartbeat("i-1", 9, 9, &[]));
    let idle = |fleet: &mut Fleet, second: f64| {
        reply_commands(fleet, second, &heartbeat("i-1", 10 + second as u64, 9, &[]));
        let _ = fleet.decide_scaling(at(second), wall(second));
        fleet.machines_to_scale_in().len()
    };
    assert_eq!(idle(&mut fleet, 20.0), 0, "the machine counts as just scaled out");
    let listed = ListedMachine {
        id: "i-1".into(),
        address: None,
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        stage: "running".into(),
        age_s: 300.0,
    };
    // A machine that has replied only to a direct command so far does not count as one that never came up.
    fleet.load_machine("i-2", &machine_record("small"), 0, at(19.0));
    fleet.apply_direct_command_reply(&heartbeat("i-2", 9, 9, &[]), at(20.5));
    fleet.apply_machine_list(&[listed.clone(), ListedMachine { id: "i-2".into(), ..listed }], at(21.0));
    fleet.tick(at(21.5), wall(21.5));
    assert!(fleet.machines_to_scale_in().is_empty());
    assert_eq!(idle(&mut fleet, 22.0), 1);
}

/// 1,500 machines send their heartbeats, each with its two running tasks, within seconds after a failover.
#[test]
fn when_all_machines_report_at_once_after_a_failover_no_running_task_starts_again() {
    const MACHINES: u32 = 1500;
    let mut fleet = new_fleet(9);
    let id = |machine: u32| format!("i-{machine:06}");
    (0..MACHINES).for_each(|machine| fleet.load_machine(&id(machine), &machine_record("small"), 0, START));
    for job in 1..=100 {
        fleet.apply_job_record(started_job(spec(job, 60, "batch"), 40), u64::from(job), START);
    }
    // 3,000 tasks are running, two on each machine; of each job ten more tasks may have been started.
    let task = |number: u32| format!("wk-{:06}/{}", number % 100 + 1, number / 100);
    let runs = |machine: u32| [task(2 * machine), task(2 * machine + 1)];
    let report_of = |machine: u32, sequence: u64| {
        let [a, b] = runs(machine);
        let running_tasks = [(&*a, 5, TaskStage::Running, None), (&*b, 6, TaskStage::Running, None)];
        heartbeat(&id(machine), sequence, 9, &running_tasks)
    };
    let mut started: Vec<String> = Vec::new();
    for round in 0..4u64 {
        for machine in 0..MACHINES {
            let second = 1.0 + round as f64 * 3.0 + f64::from(machine) * 1e-3;
            let message = report_of(machine, 100 + round);
            started.extend(
                starts(&reply_commands(&mut fleet, second, &message)).into_iter().map(|start| start.0),
            );
        }
        assert_eq!(fleet.unacknowledged_machines(), 0);
        let second = 3.0 + round as f64 * 3.0;
        fleet.tick(at(second), wall(second));
        write_all(&mut fleet, second);
    }
    let running: std::collections::BTreeSet<String> = (0..MACHINES).flat_map(runs).collect();
    assert!(started.len() > 1000, "only {} starts", started.len());
    assert!(started.iter().all(|task| !running.contains(task)), "a running task was started again");
}

/// A message from another controller about a job may be delayed by a minute. A new leader that receives it
/// then may never have known the job, because it was cancelled before the failover.
#[test]
fn a_delayed_job_message_does_not_restore_an_ended_job_at_a_new_leader() {
    let mut fleet = new_fleet(8);
    fleet.advance_jobs_revision(50);
    fleet.apply_job_record(record(spec(1, 1, "batch")), 40, at(1.0));
    assert!(fleet.jobs.is_empty(), "the job's record was removed before the records were read");
    // A record that is newer than the records that were read belongs to a new job.
    fleet.apply_job_record(record(spec(2, 1, "batch")), 51, at(1.0));
    assert_eq!(fleet.jobs.len(), 1);
    // A message about the job's end comes before its record, and the record comes a second time after that.
    fleet.apply_job_removal("wk-000003", 55);
    fleet.apply_job_record(record(spec(3, 1, "batch")), 53, at(2.0));
    fleet.advance_jobs_revision(60);
    fleet.apply_job_record(record(spec(3, 1, "batch")), 53, at(3.0));
    fleet.apply_job_removal("wk-000002", 58);
    fleet.apply_job_record(record(spec(2, 1, "batch")), 51, at(3.0));
    assert!(fleet.jobs.is_empty());
}
