//! Controllers during an outage of the state store, during a network partition and after a restart.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

use serde_json::json;

use crate::common::{heartbeat, spec};
use crate::controller::{start_controller_with, start_state_store, until};

#[test]
fn every_controller_knows_all_accepted_jobs_after_an_outage_and_a_restart() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = start_state_store(unavailable.clone());
    let first = start_controller_with(state, unavailable.clone(), |_| {});
    let ids: Vec<String> = (1..=20).map(|n| spec(n, 3, "batch").id).collect();
    for n in 1..=20 {
        assert_eq!(first.submit(&json!(spec(n, 3, "batch"))).0, 201);
    }
    unavailable.store(true, Ordering::SeqCst);
    assert!(ids.iter().all(|id| first.get(&format!("/api/jobs/{id}")).0 == 503));
    unavailable.store(false, Ordering::SeqCst);
    // A second process starts under the same label while the first still runs. It becomes the leader and
    // rebuilds its model from the records. Both processes know all jobs.
    let second = start_controller_with(state, unavailable, |_| {});
    for controller in [&first, &second] {
        for id in &ids {
            until("the controller shows the job", || controller.get(&format!("/api/jobs/{id}")).0 == 200);
        }
    }
    assert_eq!(
        first.send_heartbeat(1, 0, &[]).fencing_token + 1,
        second.send_heartbeat(2, 0, &[]).fencing_token
    );
    // A heartbeat with the higher fencing token shows the first process that it no longer leads. It never
    // leads again.
    let with_newer_token = heartbeat("i-000001", 3, 2, &[]);
    let with_newer_token = serde_json::to_vec(&with_newer_token).expect("a heartbeat");
    assert_eq!(first.call("POST", "/checkin", Some(&with_newer_token)).0, 503);
}

#[test]
fn a_leader_without_contact_with_the_state_store_stops_renewing_leases_in_time() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = start_state_store(unavailable.clone());
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
    until("the leader no longer answers heartbeats", || {
        sequence += 1;
        status(sequence) == 503
    });
    // The leader may act for half a second without the state store. The worker's lease of two seconds then
    // expires well within `cancel_s`, 4.5 s.
    assert!(since.elapsed().as_secs_f64() + 2.0 < 4.5, "after {:?}", since.elapsed());
    unavailable.store(false, Ordering::SeqCst);
    until("the leader answers heartbeats again", || {
        sequence += 1;
        status(sequence) == 200
    });
}

#[test]
fn a_controller_without_state_store_is_unhealthy_only_if_it_reaches_no_other_controller() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = start_state_store(unavailable.clone());
    // An address at which nothing listens: the port was bound and released.
    let unused_address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let start_with_member = |other: SocketAddr| {
        start_controller_with(state, unavailable.clone(), move |p| {
            p["label"] = json!(format!("c-{other}"));
            p["members"] = json!([{ "label": "c-other", "addr": other.to_string() }]);
        })
    };
    let partitioned = start_with_member(unused_address);
    let other = start_controller_with(state, unavailable.clone(), |p| p["label"] = json!("c-other"));
    let connected = start_with_member(other.internal);
    unavailable.store(true, Ordering::SeqCst);
    until("the partitioned controller is unhealthy", || partitioned.get("/up").0 == 503);
    // This controller cannot reach the state store either, but it reaches another controller.
    assert_eq!(connected.get("/up").0, 200);
    unavailable.store(false, Ordering::SeqCst);
    until("the partitioned controller is healthy again", || partitioned.get("/up").0 == 200);
}
