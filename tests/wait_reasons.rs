//! Why waiting tasks do not start, as the status shows it.

mod common;

use common::clock::{at, wall, START};
use common::fleet_writes::acknowledge_writes;
use common::{config, heartbeat, record, spec, types, TIGHT_LIMIT};
use milletlock::fleet::{Fleet, QuotaView, WaitReason, WaitReasons};
use milletlock::records::{JobRecord, MachineRecord};
use milletlock::wire::{ExitReason, JobSpec, TaskStage};

const TOKEN: u64 = 7;
const SMALL_CPUS: f64 = 4.0;

/// A leader with heartbeats of so many small machines, and these jobs; planned, and all writes done.
fn planned_fleet(machines: u32, jobs: Vec<JobRecord>) -> Fleet {
    let mut fleet = Fleet::new(config(), types(), TOKEN, START);
    for (revision, job) in (1..).zip(jobs) {
        fleet.apply_job_record(job, revision, START);
    }
    for machine in 0..machines {
        beat(&mut fleet, machine, 1, 0.5);
    }
    acknowledge_writes(&mut fleet, 1000, 1000, at(0.6));
    fleet.tick(at(1.6), wall(1.6));
    acknowledge_writes(&mut fleet, 1000, 1001, at(1.7));
    fleet
}

/// A heartbeat without tasks.
fn beat(fleet: &mut Fleet, machine: u32, sequence: u64, s: f64) {
    fleet.apply_heartbeat(&heartbeat(&format!("i-{machine}"), sequence, TOKEN, &[]), at(s), wall(s));
}

fn of_team(team: &str, spec: JobSpec) -> JobSpec {
    JobSpec { team: team.into(), ..spec }
}

/// The reasons of one job in the status.
fn reasons(fleet: &Fleet, s: f64, id: &str) -> WaitReasons {
    let status = fleet.status(None, at(s), wall(s));
    status.jobs.into_iter().find(|job| job.id == id).expect("the job").wait_reasons
}

/// Tasks that a team's quota holds back showed nowhere: they are not among those that found no capacity.
#[test]
fn tasks_beyond_their_teams_quota_wait_for_it() {
    let job = record(of_team("tight", spec(1, 10, "batch")));
    let fleet = planned_fleet(4, vec![job]);
    let beyond = 10 - TIGHT_LIMIT as u32;
    let expected = [(WaitReason::Starting, TIGHT_LIMIT as u32), (WaitReason::Quota, beyond)];
    assert_eq!(reasons(&fleet, 2.0, "wk-000001"), WaitReasons::from(expected));
}

#[test]
fn tasks_that_fit_no_machine_wait_for_capacity() {
    let wide = JobSpec { cpus: 16.0, ..spec(2, 1, "batch") };
    let fleet = planned_fleet(1, vec![record(spec(1, 6, "batch")), record(wide)]);
    let expected = [(WaitReason::Starting, 4), (WaitReason::NoCapacity, 2)];
    assert_eq!(reasons(&fleet, 2.0, "wk-000001"), WaitReasons::from(expected));
    assert_eq!(reasons(&fleet, 2.0, "wk-000002"), WaitReasons::from([(WaitReason::NoCapacity, 1)]));
}

/// A free machine that the job may use is kept for a gang that came before it.
#[test]
fn tasks_wait_beside_capacity_that_is_reserved() {
    let mut fleet = planned_fleet(2, vec![record(JobSpec { cpus: 4.0, ..spec(1, 1, "batch") })]);
    beat(&mut fleet, 0, 2, 2.0);
    beat(&mut fleet, 1, 2, 2.0);
    let gang = JobSpec { cpus: 4.0, ..spec(2, 2, "gang") };
    let behind = JobSpec { estimate_s: 4000.0, ..spec(3, 1, "batch") };
    fleet.apply_job_record(record(gang), 2, at(2.5));
    fleet.apply_job_record(record(behind), 3, at(2.5));
    fleet.tick(at(4.0), wall(4.0));
    assert_eq!(reasons(&fleet, 4.0, "wk-000003"), WaitReasons::from([(WaitReason::ReservedCapacity, 1)]));
}

/// After a failover a job with started tasks, and a team with a quota, wait for machines that are not heard.
#[test]
fn after_a_failover_tasks_wait_for_unacknowledged_machines() {
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
    assert!(fleet.status(Some("free"), at(3.0), wall(3.0)).quotas.is_empty(), "another team's");
}

#[test]
fn a_job_that_failed_waits_for_its_next_attempt() {
    let mut fleet = planned_fleet(1, vec![record(spec(1, 1, "batch"))]);
    beat(&mut fleet, 0, 2, 2.0);
    let attempt = fleet.machines["i-0"].tasks.keys().next().expect("started").attempt;
    let failed = [("wk-000001/0", attempt, TaskStage::Exited, Some(ExitReason::Error))];
    fleet.apply_heartbeat(&heartbeat("i-0", 3, TOKEN, &failed), at(3.0), wall(3.0));
    assert_eq!(reasons(&fleet, 3.1, "wk-000001"), WaitReasons::from([(WaitReason::Backoff, 1)]));
}

/// What a lost machine held still counts against the quota until its lease has expired; the status shows it.
#[test]
fn quota_held_by_silent_machines_shows() {
    let mut fleet = planned_fleet(1, vec![record(of_team("tight", spec(1, 4, "batch")))]);
    beat(&mut fleet, 0, 2, 2.0);
    let silent_cpus = |fleet: &Fleet, s: f64| fleet.quota_views(at(s))[0].silent_cpus;
    assert_eq!((silent_cpus(&fleet, 3.0), silent_cpus(&fleet, 20.0)), (0.0, 4.0));
}
