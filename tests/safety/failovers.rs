//! What a new leader knows, and what ends an old one.

use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::time::Micros;
use milletlock::wire::{ListedMachine, TaskStage};

use crate::common::clock::{at, wall, START};
use crate::common::{heartbeat, record, spec};
use crate::fixtures::{fleet_with, machine_record, new_fleet, orders, started_job, starts, write_all};

#[test]
fn after_a_failover_only_what_cannot_be_elsewhere_starts() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 5, START);
    fleet.load_machine("i-2", &machine_record("small"), 5, START);
    fleet.apply_job_record(started_job(spec(1, 8, "batch"), 6), 6, START);
    fleet.apply_job_record(started_job(spec(2, 2, "gang"), 2), 7, START);
    orders(&mut fleet, 0.5, &heartbeat("i-2", 9, 9, &[]));
    fleet.tick(at(0.6), wall(0.6));
    write_all(&mut fleet, 0.6);
    let s = starts(&orders(&mut fleet, 1.0, &heartbeat("i-2", 10, 9, &[])));
    let names: Vec<&str> = s.iter().map(|x| x.0.as_str()).collect();
    assert_eq!(names, ["wk-000001/6", "wk-000001/7"]);
    // The missing machine shows our fencing token and holds one of the tasks: the others may start.
    let there = [("wk-000001/0", 77, TaskStage::Running, None)];
    orders(&mut fleet, 1.5, &heartbeat("i-1", 40, 9, &there));
    fleet.tick(at(1.6), wall(1.6));
    write_all(&mut fleet, 1.6);
    let rest = starts(&orders(&mut fleet, 2.0, &heartbeat("i-1", 41, 9, &there)));
    assert!(!rest.is_empty() && rest.iter().all(|x| x.0 != "wk-000001/0"));
}

#[test]
fn a_limited_team_counts_unheard_machines_as_its_own() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 5, START);
    let mut s = spec(1, 8, "batch");
    s.team = "tight".into();
    fleet.apply_job_record(record(s), 6, START);
    orders(&mut fleet, 0.5, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 0.5);
    fleet.tick(at(0.6), wall(0.6));
    write_all(&mut fleet, 0.6);
    // The limit is 6 and the unheard machine has 4 processors: two are left.
    assert_eq!(starts(&orders(&mut fleet, 1.0, &heartbeat("i-2", 2, 9, &[]))).len(), 2);
}

#[test]
fn a_higher_fencing_token_ends_leadership_and_is_never_replied_to_with_200() {
    let mut fleet = fleet_with(spec(1, 1, "batch"));
    assert_eq!(
        fleet.check_in(&heartbeat("i-1", 2, 8, &[]), at(1.0), wall(1.0)),
        HeartbeatOutcome::Superseded(8)
    );
    assert_eq!(fleet.direct_command_answered(&heartbeat("i-1", 3, 9, &[]), at(1.0)), Some(9));
}

#[test]
fn a_new_leader_knows_what_large_machines_are_kept_for() {
    // Without it, each failover returned the idle machines that the next urgent job needed.
    let mut hasty = spec(1, 1, "gang");
    hasty.class = Some("quick".into());
    hasty.image_gb = 5.0;
    hasty.cpus = 15.0;
    let mut fleet = new_fleet(7);
    fleet.apply_job_record(record(hasty), 1, START);
    assert!(fleet.pending_writes(at(20.0), Micros::ZERO, 1000).contains(&PendingWrite::RecentJobs));
    let list = fleet.recent_job_records(at(20.0), wall(20.0), 4000);
    assert_eq!(list.len(), 1);
    let mut next = new_fleet(8);
    next.load_recent_jobs(list, at(30.0), wall(30.0));
    let again = next.recent_job_records(at(30.0), wall(30.0), 4000);
    assert_eq!(
        (again[0].submitted_us, again[0].starts_before_boot, &again[0].types[..]),
        (wall(0.0).0, true, &["large".to_string()][..])
    );
    assert!(
        fleet.recent_job_records(at(20.0), wall(20.0), 50).is_empty(),
        "a list that does not fit a value"
    );
}

/// After each failover nothing idle was returned for a minute, since every machine seemed new.
#[test]
fn a_new_leader_knows_the_age_of_machines_that_others_scaled_out() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    orders(&mut fleet, 0.5, &heartbeat("i-1", 9, 9, &[]));
    let idle = |fleet: &mut Fleet, s: f64| {
        orders(fleet, s, &heartbeat("i-1", 10 + s as u64, 9, &[]));
        let _ = fleet.decide_scaling(at(s), wall(s));
        fleet.machines_to_scale_in().len()
    };
    assert_eq!(idle(&mut fleet, 20.0), 0, "as far as is known it has just been scaled out");
    let listed = ListedMachine {
        id: "i-1".into(),
        address: None,
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        stage: "running".into(),
        age_s: 300.0,
    };
    // One that has only replied to a direct command so far is no boot that never ended.
    fleet.load_machine("i-2", &machine_record("small"), 0, at(19.0));
    fleet.direct_command_answered(&heartbeat("i-2", 9, 9, &[]), at(20.5));
    fleet.machines_listed(&[listed.clone(), ListedMachine { id: "i-2".into(), ..listed }], at(21.0));
    fleet.tick(at(21.5), wall(21.5));
    assert!(fleet.machines_to_scale_in().is_empty());
    assert_eq!(idle(&mut fleet, 22.0), 1);
}

/// A thousand and more machines, all heard within a moment of a failover, each with what it runs.
#[test]
fn a_failover_with_all_heartbeats_at_once_starts_nothing_that_runs() {
    const MACHINES: u32 = 1500;
    let mut fleet = new_fleet(9);
    let id = |m: u32| format!("i-{m:06}");
    (0..MACHINES).for_each(|m| fleet.load_machine(&id(m), &machine_record("small"), 0, START));
    for n in 1..=100 {
        fleet.apply_job_record(started_job(spec(n, 60, "batch"), 40), u64::from(n), START);
    }
    // The first 3,000 tasks run, two on a machine; of each job ten more may have been started.
    let task = |k: u32| format!("wk-{:06}/{}", k % 100 + 1, k / 100);
    let runs = |m: u32| [task(2 * m), task(2 * m + 1)];
    let report_of = |m: u32, sequence: u64| {
        let [a, b] = runs(m);
        let there = [(&*a, 5, TaskStage::Running, None), (&*b, 6, TaskStage::Running, None)];
        heartbeat(&id(m), sequence, 9, &there)
    };
    let mut given: Vec<String> = Vec::new();
    for round in 0..4u64 {
        for m in 0..MACHINES {
            let s = 1.0 + round as f64 * 3.0 + f64::from(m) * 1e-3;
            let r = report_of(m, 100 + round);
            given.extend(starts(&orders(&mut fleet, s, &r)).into_iter().map(|x| x.0));
        }
        assert_eq!(fleet.unacknowledged_machines(), 0);
        let s = 3.0 + round as f64 * 3.0;
        fleet.tick(at(s), wall(s));
        write_all(&mut fleet, s);
    }
    let running: std::collections::BTreeSet<String> = (0..MACHINES).flat_map(runs).collect();
    assert!(given.len() > 1000, "only {} starts", given.len());
    assert!(given.iter().all(|t| !running.contains(t)), "a running task was started again");
}

/// The notice of another controller may be held up on the way for a minute. The leader that it reaches
/// then may never have known the job, which was cancelled before it came.
#[test]
fn a_delayed_notice_to_a_new_leader_starts_nothing() {
    let mut fleet = new_fleet(8);
    fleet.advance_jobs_revision(50);
    fleet.apply_job_record(record(spec(1, 1, "batch")), 40, at(1.0));
    assert!(fleet.jobs.is_empty(), "its record was gone when all was read");
    // One that is newer than the read is news.
    fleet.apply_job_record(record(spec(2, 1, "batch")), 51, at(1.0));
    assert_eq!(fleet.jobs.len(), 1);
    // Told of its end before the read shows it, and of its beginning once more after that.
    fleet.apply_job_removal("wk-000003", 55);
    fleet.apply_job_record(record(spec(3, 1, "batch")), 53, at(2.0));
    fleet.advance_jobs_revision(60);
    fleet.apply_job_record(record(spec(3, 1, "batch")), 53, at(3.0));
    fleet.apply_job_removal("wk-000002", 58);
    fleet.apply_job_record(record(spec(2, 1, "batch")), 51, at(3.0));
    assert!(fleet.jobs.is_empty());
}
