//! The reasons in the status for which waiting tasks do not start.

mod common;

use common::clock::{at, wall, START};
use common::fleet_writes::acknowledge_writes;
use common::{config, heartbeat, record, spec, types, TIGHT_LIMIT};
use milletlock::fleet::{Fleet, QuotaView, WaitReason, WaitReasons};
use milletlock::records::{JobRecord, MachineRecord};
use milletlock::wire::{ExitReason, JobSpec, TaskStage};

const TOKEN: u64 = 7;
const SMALL_CPUS: f64 = 4.0;

/// The fleet of a leader with these jobs and with a heartbeat from each of `machines` small machines. A plan
/// is made and all writes are done.
fn planned_fleet(machines: u32, jobs: Vec<JobRecord>) -> Fleet {
    let mut fleet = Fleet::new(config(), types(), TOKEN, START);
    for (revision, job) in (1..).zip(jobs) {
        fleet.apply_job_record(job, revision, START);
    }
    for machine in 0..machines {
        send_empty_heartbeat(&mut fleet, machine, 1, 0.5);
    }
    acknowledge_writes(&mut fleet, 1000, 1000, at(0.6));
    fleet.tick(at(1.6), wall(1.6));
    acknowledge_writes(&mut fleet, 1000, 1001, at(1.7));
    fleet
}

/// Sends the fleet a heartbeat without tasks from a machine, `s` seconds after the start.
fn send_empty_heartbeat(fleet: &mut Fleet, machine: u32, sequence: u64, s: f64) {
    fleet.apply_heartbeat(&heartbeat(&format!("i-{machine}"), sequence, TOKEN, &[]), at(s), wall(s));
}

fn of_team(team: &str, spec: JobSpec) -> JobSpec {
    JobSpec { team: team.into(), ..spec }
}

/// The wait reasons of a job in the status, `s` seconds after the start.
fn reasons(fleet: &Fleet, s: f64, id: &str) -> WaitReasons {
    let status = fleet.status(None, at(s), wall(s));
    status.jobs.into_iter().find(|job| job.id == id).expect("the job is in the status").wait_reasons
}

/// Guards against tasks without a wait reason: tasks that a team's quota blocks are not among those for which
/// the plan found no capacity.
#[test]
fn tasks_beyond_the_teams_quota_have_the_reason_quota() {
    let job = record(of_team("tight", spec(1, 10, "batch")));
    let fleet = planned_fleet(4, vec![job]);
    let beyond = 10 - TIGHT_LIMIT as u32;
    let expected = [(WaitReason::Starting, TIGHT_LIMIT as u32), (WaitReason::Quota, beyond)];
    assert_eq!(reasons(&fleet, 2.0, "wk-000001"), WaitReasons::from(expected));
}

#[test]
fn tasks_without_a_machine_with_free_capacity_have_the_reason_no_capacity() {
    let wide = JobSpec { cpus: 16.0, ..spec(2, 1, "batch") };
    let fleet = planned_fleet(1, vec![record(spec(1, 6, "batch")), record(wide)]);
    let expected = [(WaitReason::Starting, 4), (WaitReason::NoCapacity, 2)];
    assert_eq!(reasons(&fleet, 2.0, "wk-000001"), WaitReasons::from(expected));
    assert_eq!(reasons(&fleet, 2.0, "wk-000002"), WaitReasons::from([(WaitReason::NoCapacity, 1)]));
}

/// A free machine that the job may use is reserved for a gang that was submitted earlier.
#[test]
fn a_task_behind_a_gang_with_a_reservation_has_the_reason_reserved_capacity() {
    let mut fleet = planned_fleet(2, vec![record(JobSpec { cpus: 4.0, ..spec(1, 1, "batch") })]);
    send_empty_heartbeat(&mut fleet, 0, 2, 2.0);
    send_empty_heartbeat(&mut fleet, 1, 2, 2.0);
    let gang = JobSpec { cpus: 4.0, ..spec(2, 2, "gang") };
    let behind = JobSpec { estimate_s: 4000.0, ..spec(3, 1, "batch") };
    fleet.apply_job_record(record(gang), 2, at(2.5));
    fleet.apply_job_record(record(behind), 3, at(2.5));
    fleet.tick(at(4.0), wall(4.0));
    assert_eq!(reasons(&fleet, 4.0, "wk-000003"), WaitReasons::from([(WaitReason::ReservedCapacity, 1)]));
}

/// After a failover, tasks that may have been started wait until all machines have acknowledged the leader's
/// fencing token. The other tasks of the job wait for the quota, since unacknowledged machines count against
/// every quota.
#[test]
fn after_a_failover_tasks_that_may_be_running_wait_for_unacknowledged_machines() {
    let started = JobRecord { start_mark: 6, ..record(of_team("tight", spec(1, 8, "batch"))) };
    let mut fleet = planned_fleet(0, vec![started]);
    let machine = MachineRecord {
        address: "127.0.0.1:9".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        ..MachineRecord::default()
    };
    fleet.load_machine("i-8", &machine, 5, START);
    fleet.load_machine("i-9", &machine, 5, START);
    fleet.tick(at(2.7), wall(2.7));
    let expected = [(WaitReason::UnacknowledgedMachines, 6), (WaitReason::Quota, 2)];
    assert_eq!(reasons(&fleet, 3.0, "wk-000001"), WaitReasons::from(expected));
    let quotas = fleet.status(None, at(3.0), wall(3.0)).quotas;
    let [QuotaView { team, cpus_max, cpus, unknown_cpus, .. }] = &quotas[..] else { panic!("{quotas:?}") };
    assert_eq!((team.as_str(), *cpus_max), ("tight", TIGHT_LIMIT as f64));
    assert_eq!((*cpus, *unknown_cpus), (2.0 * SMALL_CPUS, 2.0 * SMALL_CPUS));
    assert!(
        fleet.status(Some("free"), at(3.0), wall(3.0)).quotas.is_empty(),
        "a team sees another team's quota"
    );
}

#[test]
fn a_failed_job_has_the_reason_backoff_until_its_next_attempt() {
    let mut fleet = planned_fleet(1, vec![record(spec(1, 1, "batch"))]);
    send_empty_heartbeat(&mut fleet, 0, 2, 2.0);
    let attempt = fleet.machines["i-0"].tasks.keys().next().expect("the task is started").attempt;
    let failed = [("wk-000001/0", attempt, TaskStage::Exited, Some(ExitReason::Error))];
    fleet.apply_heartbeat(&heartbeat("i-0", 3, TOKEN, &failed), at(3.0), wall(3.0));
    assert_eq!(reasons(&fleet, 3.1, "wk-000001"), WaitReasons::from([(WaitReason::Backoff, 1)]));
}

/// The tasks of a machine that sends no heartbeats count against the quota until its lease has expired. The
/// status shows how much of the quota they use.
#[test]
fn the_status_shows_the_quota_used_by_tasks_on_silent_machines() {
    let mut fleet = planned_fleet(1, vec![record(of_team("tight", spec(1, 4, "batch")))]);
    send_empty_heartbeat(&mut fleet, 0, 2, 2.0);
    let silent_cpus = |fleet: &Fleet, s: f64| fleet.quota_views(at(s))[0].silent_cpus;
    assert_eq!((silent_cpus(&fleet, 3.0), silent_cpus(&fleet, 20.0)), (0.0, 4.0));
}
