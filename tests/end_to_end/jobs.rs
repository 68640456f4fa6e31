//! Jobs from their submission to their end, and the responses that users get.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use milletlock::peer;
use milletlock::peer::Call;
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, TaskStage, WorkerCommand};
use serde_json::{json, Value};

use crate::common::spec;
use crate::controller::{start_controller, start_controller_with, start_counting_state_store, until};
use crate::fields::{with_field, without_field};

#[test]
fn a_job_runs_to_its_end_and_requests_in_an_outage_get_503() {
    let controller = start_controller();
    let job = json!(spec(1, 1, "batch"));
    assert_eq!(controller.submit(&job), (201, json!({ "nameId": "wk-000001", "stage": "queued" })));
    // A repeated submission gets the status of the known job, whatever its body.
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
        let reply = controller.send_heartbeat(sequence, fencing_token, &[]);
        fencing_token = reply.fencing_token;
        started = reply.commands.iter().find_map(|command| match command {
            WorkerCommand::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        started.is_some()
    });
    let (task, attempt) = started.expect("a start command");
    controller.send_heartbeat(sequence + 1, fencing_token, &[(&task, attempt, TaskStage::Running, None)]);
    let v = controller.get("/api/jobs/wk-000001").1;
    assert_eq!((v["stage"].as_str(), v["running"].as_u64()), (Some("running"), Some(1)));

    // The status is served at the address for other controllers only, not to users.
    let call = Call { method: "GET".into(), path: "/status".into(), body: Vec::new() };
    let status = peer::call_once(controller.internal, call, Micros::from_secs(5.0)).expect("a status");
    let v: Value = serde_json::from_slice(&status.body).expect("JSON");
    assert_eq!(v["owner"]["jobs"][0]["id"], "wk-000001");
    assert_eq!(controller.get("/status").0, 404);

    controller.unavailable.store(true, Ordering::SeqCst);
    assert_eq!(controller.get("/api/jobs/wk-000001").0, 503);
    assert_eq!(controller.submit(&json!(spec(2, 1, "batch"))).0, 503);
    // Heartbeats are still answered during the outage.
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

/// Guards against one read of the state store for each status request. The polls of a busy minute would then
/// use up the controller's whole share of the state store's rate limits.
#[test]
fn status_requests_share_reads_and_never_show_an_older_state_than_an_earlier_response() {
    let (unavailable, reads) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let state = start_counting_state_store(unavailable.clone(), reads.clone());
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
    let used = reads.load(Ordering::SeqCst) - before;
    assert!(used < 100, "{used} reads for 400 status requests");
    // A status request to one controller reflects a response of the other, however little time has passed.
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
