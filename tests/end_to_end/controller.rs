//! Starts real controllers on loopback and the simulated state store that they use.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use milletlock::config::{Config, OperatorConfig, PlatformConfig};
use milletlock::controller::Controller;
use milletlock::http::{Client, Response};
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, HeartbeatReply, TaskStage};
use serde_json::{json, Value};

use crate::common::servers::{cloud, serve};
use crate::common::state_store_server::{
    events, parameter, read_response, transaction, transaction_response, watch_parameters,
};
use crate::common::store::Store;
use crate::common::{heartbeat, platform_json};

/// Starts a simulated state store with the requests that a controller uses. While `unavailable` is set, it
/// answers every request with status 503. Returns its address.
pub fn start_state_store(unavailable: Arc<AtomicBool>) -> SocketAddr {
    start_counting_state_store(unavailable, Arc::default())
}

/// Like [`start_state_store`], and counts in `reads` the reads that are answered at once, without waiting for
/// a change.
pub fn start_counting_state_store(unavailable: Arc<AtomicBool>, reads: Arc<AtomicUsize>) -> SocketAddr {
    let (store, changed) = (Mutex::new(Store::default()), Condvar::new());
    serve(move |r| {
        if r.method == "GET" && (r.path.starts_with("/keys/") || r.path.ends_with("blockMs=0")) {
            reads.fetch_add(1, Ordering::SeqCst);
        }
        if unavailable.load(Ordering::SeqCst) {
            return Response::error(503, "unavailable");
        }
        let mut s = store.lock().expect("the store");
        let path = r.path.split('?').next().unwrap_or("");
        match (r.method.as_str(), path) {
            ("POST", "/leases") => Response::json(200, &json!({ "tenure": 1 })),
            ("POST", p) if p.ends_with("/renew") => Response::json(200, &json!({})),
            ("POST", "/txn") => {
                let done = s.txn(&transaction(&r));
                changed.notify_all();
                transaction_response(&s, done)
            }
            ("GET", "/watch") => {
                let (prefix, from) = watch_parameters(&r);
                let block = Duration::from_millis(parameter(&r, "blockMs").parse().unwrap_or(0));
                let quiet = |s: &mut Store| events(s, prefix, from).is_empty();
                read_response(&changed.wait_timeout_while(s, block, quiet).expect("the store").0, &r)
            }
            ("GET", _) => read_response(&s, &r),
            _ => Response::error(404, "no such path"),
        }
    })
}

/// A controller that runs in this process.
pub struct RunningController {
    /// Address for users and workers.
    pub addr: SocketAddr,
    /// Address for other controllers.
    pub internal: SocketAddr,
    /// While set, the state store answers every request with status 503.
    pub unavailable: Arc<AtomicBool>,
}

/// Starts a controller with its own state store and waits until it is healthy.
pub fn start_controller() -> RunningController {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = start_state_store(unavailable.clone());
    start_controller_with(state, unavailable, |_| {})
}

/// Starts a controller on a given state store with changed settings, and waits until it is healthy.
pub fn start_controller_with(
    state: SocketAddr,
    unavailable: Arc<AtomicBool>,
    change: impl Fn(&mut Value),
) -> RunningController {
    let controller = start_controller_unready(state, unavailable, change);
    until("the controller is healthy", || controller.get("/up").0 == 200);
    controller
}

/// Like [`start_controller_with`], but does not wait until the controller is healthy.
pub fn start_controller_unready(
    state: SocketAddr,
    unavailable: Arc<AtomicBool>,
    change: impl Fn(&mut Value),
) -> RunningController {
    // The ports are bound here, so that no other test can take them before the controller listens.
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (users, others) = (bind(), bind());
    let at = |l: &TcpListener| l.local_addr().expect("an address");
    let (addr, internal) = (at(&users), at(&others));
    let mut p = platform_json();
    p["services"] = json!({ "cloud": cloud(), "state": state });
    change(&mut p);
    let platform = PlatformConfig::parse(&p.to_string(), "test").expect("settings");
    let cfg = Config { platform, operator: OperatorConfig::default() };
    std::thread::spawn(move || Controller::run_on(cfg, users, others, Arc::new(AtomicBool::new(false))));
    RunningController { addr, internal, unavailable }
}

/// Waits until a condition holds. Fails after 20 seconds, far longer than any condition takes.
pub fn until(what: &str, mut f: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !f() {
        assert!(Instant::now() < deadline, "did not happen within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl RunningController {
    /// Sends a request as a user or worker. Returns the response's status and JSON body; the status is 0
    /// without a response.
    pub fn call(&self, method: &str, path: &str, body: Option<&[u8]>) -> (u16, Value) {
        match Client::new(self.addr, 0).call(method, path, body, Micros::from_secs(10.0)) {
            Ok(response) => (response.status, serde_json::from_slice(&response.body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str) -> (u16, Value) {
        self.call("GET", path, None)
    }

    /// Submits a job.
    pub fn submit(&self, v: &Value) -> (u16, Value) {
        self.call("POST", "/api/jobs", Some(v.to_string().as_bytes()))
    }

    /// Sends a heartbeat of the only worker, and repeats it until there is a reply.
    pub fn send_heartbeat(
        &self,
        sequence: u64,
        fencing_token: u64,
        tasks: &[(&str, u64, TaskStage, Option<ExitReason>)],
    ) -> HeartbeatReply {
        let r = heartbeat("i-000001", sequence, fencing_token, tasks);
        let body = serde_json::to_vec(&r).expect("a heartbeat");
        let mut reply = None;
        until("the heartbeat has a reply", || {
            let (status, v) = self.call("POST", "/checkin", Some(&body));
            reply = (status == 200).then(|| serde_json::from_value(v).expect("a reply"));
            reply.is_some()
        });
        reply.expect("a reply")
    }
}
