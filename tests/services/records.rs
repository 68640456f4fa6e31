//! Records, status and validation of services.

use milletlock::fleet::{check_runnable, Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::records::{JobRecord, MachineRecord};
use milletlock::time::{Micros, Wall};
use milletlock::wire::{ExitReason, JobSpec, TaskStage};
use serde_json::{json, Value};

use crate::cluster::{secs, service, starts, SimulatedCluster, FENCING_TOKEN, SERVICE, START};
use crate::common::{config, heartbeat, record, types};

/// Guards against replicas that an earlier version of the program recorded as done, and that would never run
/// again.
#[test]
fn stored_done_ranges_of_a_service_are_ignored_and_removed() {
    let mut fleet = Fleet::new(config(), types(), FENCING_TOKEN, START);
    fleet.apply_job_record(record(service(1, 3)), 1, START);
    fleet.load_done(SERVICE, 0, "0-2", 5);
    assert_eq!(fleet.progress(SERVICE).map(|progress| progress.done), Some(0));
    assert_eq!(fleet.jobs[SERVICE].waiting.len(), 3);
    let pending = fleet.pending_writes(START, Micros::ZERO, 1000);
    assert!(
        !pending.iter().any(|write| matches!(write, PendingWrite::Final(_) | PendingWrite::Done(..))),
        "{pending:?}"
    );
    assert!(pending.contains(&PendingWrite::OrphanedRow("done/wk-000001/0".into(), 5)), "{pending:?}");
}

/// Guards against a new leader that starts replicas which may be running on an unacknowledged machine.
#[test]
fn after_a_failover_started_replicas_are_not_restarted_until_all_machines_have_acknowledged() {
    let mut fleet = Fleet::new(config(), types(), FENCING_TOKEN, START);
    let machine = MachineRecord {
        fencing_token: 1,
        machine_type: "small".into(),
        zone: "north".into(),
        ..MachineRecord::default()
    };
    fleet.load_machine("a", &machine, 0, START);
    fleet.load_machine("b", &machine, 0, START);
    fleet.apply_job_record(JobRecord { start_mark: 2, ..record(service(1, 2)) }, 1, START);
    let mut commands_to_b = |sequence: u64, after: Micros| {
        let now = START + after;
        fleet.tick(now, Wall(now.0));
        match fleet.apply_heartbeat(&heartbeat("b", sequence, FENCING_TOKEN, &[]), now, Wall(now.0)) {
            HeartbeatOutcome::Reply(reply) => reply.commands,
            other => panic!("no reply: {other:?}"),
        }
    };
    assert!(commands_to_b(1, secs(0.5)).is_empty());
    assert!(commands_to_b(2, secs(2.0)).is_empty());
    let now = START + secs(2.5);
    let running = [("wk-000001/0", 3, TaskStage::Running, None)];
    fleet.apply_heartbeat(&heartbeat("a", 1, FENCING_TOKEN, &running), now, Wall(now.0));
    let now = START + secs(3.0);
    fleet.tick(now, Wall(now.0));
    let HeartbeatOutcome::Reply(reply) =
        fleet.apply_heartbeat(&heartbeat("b", 3, FENCING_TOKEN, &[]), now, Wall(now.0))
    else {
        panic!("no reply");
    };
    assert_eq!(starts(&reply.commands), ["wk-000001/1"]);
}

/// Guards against a status in which missing replicas of a service do not show.
#[test]
fn the_status_counts_wanted_and_running_replicas() {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 6));
    cluster.run(secs(12.0));
    let status = cluster.fleet.status(None, cluster.now, cluster.wall());
    let job = &status.jobs[0];
    assert_eq!((job.wanted, job.running, job.placed, job.waiting, job.done), (6, 4, 4, 2, 0));
    cluster.end_task("a", SERVICE, ExitReason::Done);
    cluster.exchange_heartbeat("a");
    assert_eq!(
        cluster.fleet.progress(SERVICE).map(|progress| (progress.done, progress.running)),
        Some((0, 3))
    );
}

/// A submission of a team with a quota, as a user sends it.
fn submission(shape: &str) -> Value {
    json!({
        "nameId": "wk-000001", "grain": "feed", "owner": "tight", "shape": shape, "rank": "critical",
        "kernels": 6, "cpus": 1.0, "cards": 0.0, "ramGb": 1.6, "seed": "img", "pullGb": 1.0,
        "breeds": null, "field": null, "oneZone": false, "spread": false, "gleanings": false,
        "expectS": 0.0, "stashEveryS": 0.0, "stashS": 0.0, "dueS": null
    })
}

fn parse_submission(submission: &Value) -> Result<JobSpec, String> {
    JobSpec::parse(submission.to_string().as_bytes()).map_err(|e| e.to_string())
}

/// Guards against rejecting services because of their run time, and against accepting other invalid fields.
#[test]
fn a_service_may_have_any_run_time_and_its_other_fields_are_validated() {
    for seconds in [0.0, 20.0] {
        let mut service = submission("daemon");
        service["expectS"] = json!(seconds);
        assert!(parse_submission(&service).is_ok(), "expectS {seconds}");
    }
    assert!(parse_submission(&submission("batch")).is_err(), "an array without a run time");
    for field in ["expectS", "kernels", "cpus", "shape", "rank", "owner", "stashS", "spread"] {
        let mut service = submission("daemon");
        service.as_object_mut().expect("an object").remove(field);
        assert!(parse_submission(&service).is_err_and(|reason| reason.contains(field)), "without {field}");
    }
    for field in ["expectS", "cpus", "ramGb", "pullGb", "stashEveryS", "stashS"] {
        let mut service = submission("daemon");
        service[field] = json!(-1.0);
        assert!(parse_submission(&service).is_err_and(|reason| reason.contains(field)), "{field} below 0");
    }
}

/// Guards against accepting a service of which some replicas could never run.
#[test]
fn a_service_whose_replicas_exceed_the_teams_quota_is_not_runnable() {
    let with = |shape: &str, replicas: u32| {
        let mut submission = submission(shape);
        (submission["kernels"], submission["expectS"]) = (json!(replicas), json!(20.0));
        check_runnable(&parse_submission(&submission).expect("a good description"), &config(), &types())
    };
    assert_eq!(with("daemon", 6), Ok(()));
    assert!(with("daemon", 7).is_err_and(|reason| reason.to_string().contains("limit")));
    assert_eq!(with("batch", 7), Ok(()), "an array can run one task at a time");
}
