//! Jobs from their submission to their end, and what users are told of them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use milletlock::peer;
use milletlock::peer::Call;
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, TaskStage, WorkerCommand};
use serde_json::{json, Value};

use crate::common::spec;
use crate::controller::{counted_state_store, start_controller, start_controller_with, until};
use crate::fields::{with_field, without_field};

#[test]
fn a_job_runs_to_its_end_and_an_outage_is_said_to_be_one() {
    let controller = start_controller();
    let job = json!(spec(1, 1, "batch"));
    assert_eq!(controller.submit(&job), (201, json!({ "nameId": "wk-000001", "stage": "queued" })));
    // A repeat, whatever its body, is the known job.
    let mut other = job.clone();
    other["kernels"] = json!(9);
    other["owner"] = json!("nobody");
    assert_eq!(controller.submit(&other).0, 200);
    for body in [
        json!({ "nameId": "wk-000001" }),
        json!({ "nameId": "wk-000001", "kernels": -1, "shape": null }),
        with_field(&job, "cpus", json!(64.0)),
        with_field(&job, "cpus", json!("many")),
        with_field(&job, "breeds", json!(["unheard"])),
        with_field(&job, "field", json!("moon")),
        without_field(&job, "grain"),
    ] {
        assert_eq!(controller.submit(&body), (200, controller.get("/api/jobs/wk-000001").1), "{body}");
    }
    assert_eq!(controller.get("/api/jobs/wk-000001").1["stage"], "queued");

    let mut sequence = 0;
    let mut fencing_token = 0;
    let mut started = None;
    until("the task is started", || {
        sequence += 1;
        let r = controller.send_heartbeat(sequence, fencing_token, &[]);
        fencing_token = r.fencing_token;
        started = r.commands.iter().find_map(|o| match o {
            WorkerCommand::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        started.is_some()
    });
    let (task, attempt) = started.expect("a start");
    controller.send_heartbeat(sequence + 1, fencing_token, &[(&task, attempt, TaskStage::Running, None)]);
    let v = controller.get("/api/jobs/wk-000001").1;
    assert_eq!((v["stage"].as_str(), v["running"].as_u64()), (Some("running"), Some(1)));

    // People on call see it between controllers, users never.
    let call = Call { method: "GET".into(), path: "/status".into(), body: Vec::new() };
    let status = peer::call_once(controller.internal, call, Micros::from_secs(5.0)).expect("a status");
    let v: Value = serde_json::from_slice(&status.body).expect("JSON");
    assert_eq!(v["owner"]["jobs"][0]["id"], "wk-000001");
    assert_eq!(controller.get("/status").0, 404);

    controller.unavailable.store(true, Ordering::SeqCst);
    assert_eq!(controller.get("/api/jobs/wk-000001").0, 503);
    assert_eq!(controller.submit(&json!(spec(2, 1, "batch"))).0, 503);
    // Workers are replied to all the same.
    controller.send_heartbeat(sequence + 2, fencing_token, &[(&task, attempt, TaskStage::Running, None)]);
    controller.unavailable.store(false, Ordering::SeqCst);

    controller.send_heartbeat(
        sequence + 3,
        fencing_token,
        &[(&task, attempt, TaskStage::Exited, Some(ExitReason::Done))],
    );
    until("the job is done", || controller.get("/api/jobs/wk-000001").1["stage"] == "done");
    assert_eq!(controller.call("POST", "/api/jobs/wk-000001/withdraw", Some(b"{}")).1["stage"], "done");
    assert_eq!(controller.submit(&job).1["stage"], "done");
    for body in [without_field(&job, "seed"), with_field(&job, "cpus", json!(64.0))] {
        let (status, v) = controller.submit(&body);
        assert_eq!((status, v["stage"].as_str()), (200, Some("done")), "{body}");
    }

    assert_eq!(controller.submit(&json!(spec(3, 1, "batch"))).0, 201);
    let cancelled = json!({ "nameId": "wk-000003", "stage": "cancelled" });
    assert_eq!(controller.call("POST", "/api/jobs/wk-000003/withdraw", Some(b"{}")), (200, cancelled));
    assert_eq!(controller.get("/api/jobs/wk-000003").1["stage"], "cancelled");
    assert_eq!(controller.call("POST", "/api/jobs/wk-000009/withdraw", Some(b"{}")).0, 404);
}

/// Polls of a busy minute would take the whole share of the state store with a read for each.
#[test]
fn polls_share_reads_and_never_lag_behind_what_a_user_was_told() {
    let (unavailable, reads) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let state = counted_state_store(unavailable.clone(), reads.clone());
    let first = start_controller_with(state, unavailable.clone(), |_| {});
    let second = start_controller_with(state, unavailable, |p| p["label"] = json!("c-1"));
    for n in 1..=20 {
        assert_eq!(first.submit(&json!(spec(n, 3, "batch"))).0, 201);
    }
    let before = reads.load(Ordering::SeqCst);
    std::thread::scope(|scope| {
        for n in 1..=20 {
            let second = &second;
            scope.spawn(move || {
                for _ in 0..20 {
                    let (status, body) = second.get(&format!("/api/jobs/{}", spec(n, 3, "batch").id));
                    assert_eq!(status, 200, "{body}");
                }
            });
        }
    });
    let took = reads.load(Ordering::SeqCst) - before;
    assert!(took < 100, "{took} reads for 400 polls");
    // What one controller has said is known to the other at once, however short the time between.
    for n in 1..=20 {
        let (by, at) = if n % 2 == 0 { (&first, &second) } else { (&second, &first) };
        let path = format!("/api/jobs/{}", spec(n, 3, "batch").id);
        assert_eq!(by.call("POST", &format!("{path}/withdraw"), Some(b"{}")).1["stage"], "cancelled");
        assert_eq!(at.get(&path).1["stage"], "cancelled");
        let new = spec(100 + n, 1, "batch");
        assert_eq!(by.submit(&json!(new)).0, 201);
        assert_eq!(at.get(&format!("/api/jobs/{}", new.id)).0, 200);
        assert_eq!(at.get(&format!("/api/jobs/wk-{:06}", 500 + n)).0, 404);
    }
}
