//! Controllers in an outage of the state store or without each other.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

use serde_json::json;

use crate::common::{heartbeat, spec};
use crate::controller::{start_controller_with, state_store, until};

#[test]
fn every_controller_replies_for_each_accepted_job_once_faults_are_over() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = state_store(unavailable.clone());
    let first = start_controller_with(state, unavailable.clone(), |_| {});
    let ids: Vec<String> = (1..=20).map(|n| spec(n, 3, "batch").id).collect();
    for n in 1..=20 {
        assert_eq!(first.submit(&json!(spec(n, 3, "batch"))).0, 201);
    }
    unavailable.store(true, Ordering::SeqCst);
    assert!(ids.iter().all(|id| first.get(&format!("/api/jobs/{id}")).0 == 503));
    unavailable.store(false, Ordering::SeqCst);
    // A process is back at once under the same label, while the earlier one still runs: it knows
    // nothing, becomes leader by the records, and no job is lost to either.
    let second = start_controller_with(state, unavailable, |_| {});
    for controller in [&first, &second] {
        for id in &ids {
            until("there is a reply for the job", || controller.get(&format!("/api/jobs/{id}")).0 == 200);
        }
    }
    assert_eq!(
        first.send_heartbeat(1, 0, &[]).fencing_token + 1,
        second.send_heartbeat(2, 0, &[]).fencing_token
    );
    // The earlier one learns from a worker that has seen the later fencing token, and gives up for good.
    let late = heartbeat("i-000001", 3, 2, &[]);
    let late = serde_json::to_vec(&late).expect("a heartbeat");
    assert_eq!(first.call("POST", "/checkin", Some(&late)).0, 503);
}

#[test]
fn a_leader_that_sees_no_cancellations_stops_renewing_leases_in_time() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = state_store(unavailable.clone());
    let controller = start_controller_with(state, unavailable.clone(), |p| {
        p["settings"]["workers"]["report_s"] = json!(0.5);
        p["settings"]["workers"]["lease_s"] = json!(2.0);
        p["settings"]["workers"]["cancel_s"] = json!(4.5);
    });
    let status = |sequence: u64| {
        let r = heartbeat("i-000001", sequence, 1, &[]);
        controller.call("POST", "/checkin", Some(&serde_json::to_vec(&r).expect("a heartbeat"))).0
    };
    controller.send_heartbeat(1, 0, &[]);
    unavailable.store(true, Ordering::SeqCst);
    let since = Instant::now();
    let mut sequence = 2;
    until("the worker is no longer replied to", || {
        sequence += 1;
        status(sequence) == 503
    });
    // Half a second without store contact, and the lease of two: well before the 4.5 s are over.
    assert!(since.elapsed().as_secs_f64() + 2.0 < 4.5, "after {:?}", since.elapsed());
    unavailable.store(false, Ordering::SeqCst);
    until("it is replied to again", || {
        sequence += 1;
        status(sequence) == 200
    });
}

#[test]
fn a_partitioned_controller_is_unhealthy_and_one_in_an_outage_is_not() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = state_store(unavailable.clone());
    // Nobody listens there: bound once and let go.
    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let with = |other: SocketAddr| {
        start_controller_with(state, unavailable.clone(), move |p| {
            p["label"] = json!(format!("c-{other}"));
            p["members"] = json!([{ "label": "c-other", "addr": other.to_string() }]);
        })
    };
    let partitioned = with(nobody);
    let other = start_controller_with(state, unavailable.clone(), |p| p["label"] = json!("c-other"));
    let heard = with(other.internal);
    unavailable.store(true, Ordering::SeqCst);
    until("the partitioned one is unhealthy", || partitioned.get("/up").0 == 503);
    // The state store is out for this one as well, but another controller can be heard.
    assert_eq!(heard.get("/up").0, 200);
    unavailable.store(false, Ordering::SeqCst);
    until("it is healthy again", || partitioned.get("/up").0 == 200);
}
