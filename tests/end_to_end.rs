//! A whole controller on loopback, between stand-ins for the state store, the cloud and a
//! worker: bad input of each kind, and a job from its submission to its end.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use common::servers::{cloud, serve};
use common::state_store_server::{
    events, parameter, read_response, transaction, transaction_response, watched,
};
use common::store::Store;
use common::{platform_json, spec};
use milletlock::config::{Config, OperatorConfig, PlatformConfig};
use milletlock::controller::Controller;
use milletlock::http::{Client, ClientResponse, Response};
use milletlock::peer::{self, Call};
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, HeartbeatReply, Order, TaskStage};
use serde_json::{json, Value};

/// The state store, as far as the controller uses it.
fn state_store(out: Arc<AtomicBool>) -> SocketAddr {
    counted_state_store(out, Arc::default())
}

/// The same, counting the reads that reply at once.
fn counted_state_store(out: Arc<AtomicBool>, reads: Arc<AtomicUsize>) -> SocketAddr {
    let (store, changed) = (Mutex::new(Store::default()), Condvar::new());
    serve(move |r| {
        if r.method == "GET" && (r.path.starts_with("/keys/") || r.path.ends_with("blockMs=0")) {
            reads.fetch_add(1, Ordering::SeqCst);
        }
        if out.load(Ordering::SeqCst) {
            return Response::error(503, "trouble");
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
                let (prefix, from) = watched(&r);
                let block = Duration::from_millis(parameter(&r, "blockMs").parse().unwrap_or(0));
                let quiet = |s: &mut Store| events(s, prefix, from).is_empty();
                read_response(&changed.wait_timeout_while(s, block, quiet).expect("the store").0, &r)
            }
            ("GET", _) => read_response(&s, &r),
            _ => Response::error(404, "no such path"),
        }
    })
}

struct RunningController {
    addr: SocketAddr,
    internal: SocketAddr,
    out: Arc<AtomicBool>,
}

fn start() -> RunningController {
    let out = Arc::new(AtomicBool::new(false));
    let state = state_store(out.clone());
    start_with(state, out, |_| {})
}

/// A controller on a given state store, with settings changed.
fn start_with(state: SocketAddr, out: Arc<AtomicBool>, change: impl Fn(&mut Value)) -> RunningController {
    let s = start_unready(state, out, change);
    until("the controller is up", || s.get("/up").0 == 200);
    s
}

/// The same without waiting until it is up.
fn start_unready(state: SocketAddr, out: Arc<AtomicBool>, change: impl Fn(&mut Value)) -> RunningController {
    // Bound here and handed over, so that no other test can take the port in between.
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
    RunningController { addr, internal, out }
}

/// Waits for a condition that is bound to come; the deadline only ends a broken run.
fn until(what: &str, mut f: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !f() {
        assert!(Instant::now() < deadline, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl RunningController {
    fn call(&self, method: &str, path: &str, body: Option<&[u8]>) -> (u16, Value) {
        match Client::new(self.addr, 0).call(method, path, body, Micros::from_secs(10.0)) {
            Ok(response) => (response.status, serde_json::from_slice(&response.body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    fn get(&self, path: &str) -> (u16, Value) {
        self.call("GET", path, None)
    }

    fn submit(&self, v: &Value) -> (u16, Value) {
        self.call("POST", "/api/jobs", Some(v.to_string().as_bytes()))
    }

    fn send_heartbeat(
        &self,
        sequence: u64,
        fencing_token: u64,
        tasks: &[(&str, u64, TaskStage, Option<ExitReason>)],
    ) -> HeartbeatReply {
        let r = common::heartbeat("i-000001", sequence, fencing_token, tasks);
        let body = serde_json::to_vec(&r).expect("a heartbeat");
        let mut reply = None;
        until("a heartbeat has a reply", || {
            let (status, v) = self.call("POST", "/checkin", Some(&body));
            reply = (status == 200).then(|| serde_json::from_value(v).expect("a reply"));
            reply.is_some()
        });
        reply.expect("a reply")
    }
}

fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut s = TcpStream::connect(addr).expect("a connection");
    s.write_all(bytes).expect("sent");
    let mut out = String::new();
    let _ = s.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = s.read_to_string(&mut out);
    out
}

fn with(job: &Value, name: &str, v: Value) -> Value {
    let mut job = job.clone();
    job[name] = v;
    job
}

fn without(job: &Value, name: &str) -> Value {
    let mut job = job.clone();
    job.as_object_mut().expect("an object").remove(name);
    job
}

#[test]
fn what_cannot_be_taken_is_refused_in_one_line() {
    let s = start();
    let good = json!(spec(1, 2, "batch"));
    let with = |k: &str, v: Value| with(&good, k, v);
    let without = |k: &str| without(&good, k);
    let cases = [
        (json!([1]), 400),
        (json!("x"), 400),
        (without("nameId"), 400),
        (without("kernels"), 400),
        (without("cpus"), 400),
        (without("expectS"), 400),
        (without("grain"), 400),
        (without("gleanings"), 400),
        (with("stashS", Value::Null), 400),
        (with("seed", Value::Null), 400),
        (with("nameId", json!("job-1")), 400),
        (with("nameId", json!("wk-1/2")), 400),
        (with("nameId", json!(5)), 400),
        (with("kernels", json!(0)), 400),
        (with("kernels", json!(100_001)), 400),
        (with("kernels", json!(-1)), 400),
        (with("kernels", json!(1.5)), 400),
        (with("cpus", json!("many")), 400),
        (with("cpus", json!(-1.0)), 400),
        (with("cpus", json!(1e300)), 400),
        (with("expectS", json!(0.0)), 400),
        (with("shape", json!("cloud")), 400),
        (with("rank", json!("highest")), 400),
        (with("breeds", json!([])), 400),
        (with("gleanings", json!("yes")), 400),
        (with("owner", json!("nobody")), 422),
        (with("cpus", json!(64.0)), 422),
        (with("breeds", json!(["unheard"])), 422),
        (with("field", json!("moon")), 422),
        (with("ramGb", json!(33.0)), 422),
        (with("cards", json!(1.0)), 422),
    ];
    for (body, status) in cases {
        let (got, v) = s.submit(&body);
        assert_eq!(got, status, "{body}");
        assert!(v["error"].as_str().is_some_and(|e| !e.is_empty() && !e.contains('\n')), "{v}");
    }
    let mut tight = with("owner", json!("tight"));
    tight["shape"] = json!("gang");
    tight["kernels"] = json!(7);
    assert_eq!(s.submit(&tight).0, 422, "a gang over its team's limit");
    assert_eq!(s.call("POST", "/api/jobs", Some(b"{not json")).0, 400);
    assert_eq!(s.get("/nowhere").0, 404);
    assert_eq!(s.get("/api/jobs/wk-000404").0, 404);
    assert_eq!(s.get("/api/jobs/%00").0, 404);
    assert_eq!(s.get("/api/jobs").0, 405);
    assert_eq!(s.call("POST", "/up", Some(b"")).0, 405);
    assert_eq!(s.call("POST", "/checkin", Some(b"{}")).0, 400);
    let huge = format!("POST /api/jobs HTTP/1.1\r\nContent-Length: {}\r\n\r\n", 70_000);
    assert!(raw(s.addr, huge.as_bytes()).starts_with("HTTP/1.1 413"), "refused before it is read");
    assert!(raw(s.addr, b"nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    // A connection that stops half-way costs only itself.
    let mut half = TcpStream::connect(s.addr).expect("a connection");
    half.write_all(b"POST /api/jobs HTTP/1.1\r\nContent-Len").expect("sent");
    assert_eq!(s.get("/up").0, 200);
}

#[test]
fn a_job_runs_to_its_end_and_an_outage_is_said_to_be_one() {
    let s = start();
    let job = json!(spec(1, 1, "batch"));
    assert_eq!(s.submit(&job), (201, json!({ "nameId": "wk-000001", "stage": "queued" })));
    // A repeat, whatever its body, is the known job.
    let mut other = job.clone();
    other["kernels"] = json!(9);
    other["owner"] = json!("nobody");
    assert_eq!(s.submit(&other).0, 200);
    for body in [
        json!({ "nameId": "wk-000001" }),
        json!({ "nameId": "wk-000001", "kernels": -1, "shape": null }),
        with(&job, "cpus", json!(64.0)),
        with(&job, "cpus", json!("many")),
        with(&job, "breeds", json!(["unheard"])),
        with(&job, "field", json!("moon")),
        without(&job, "grain"),
    ] {
        assert_eq!(s.submit(&body), (200, s.get("/api/jobs/wk-000001").1), "{body}");
    }
    assert_eq!(s.get("/api/jobs/wk-000001").1["stage"], "queued");

    let mut sequence = 0;
    let mut fencing_token = 0;
    let mut started = None;
    until("the task is started", || {
        sequence += 1;
        let r = s.send_heartbeat(sequence, fencing_token, &[]);
        fencing_token = r.fencing_token;
        started = r.orders.iter().find_map(|o| match o {
            Order::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        started.is_some()
    });
    let (task, attempt) = started.expect("a start");
    s.send_heartbeat(sequence + 1, fencing_token, &[(&task, attempt, TaskStage::Running, None)]);
    let v = s.get("/api/jobs/wk-000001").1;
    assert_eq!((v["stage"].as_str(), v["running"].as_u64()), (Some("running"), Some(1)));

    // People on call see it between controllers, users never.
    let call = Call { method: "GET".into(), path: "/status".into(), body: Vec::new() };
    let status = peer::ask(s.internal, call, Micros::from_secs(5.0)).expect("a status");
    let v: Value = serde_json::from_slice(&status.body).expect("JSON");
    assert_eq!(v["owner"]["jobs"][0]["id"], "wk-000001");
    assert_eq!(s.get("/status").0, 404);

    s.out.store(true, Ordering::SeqCst);
    assert_eq!(s.get("/api/jobs/wk-000001").0, 503);
    assert_eq!(s.submit(&json!(spec(2, 1, "batch"))).0, 503);
    // Workers are replied to all the same.
    s.send_heartbeat(sequence + 2, fencing_token, &[(&task, attempt, TaskStage::Running, None)]);
    s.out.store(false, Ordering::SeqCst);

    s.send_heartbeat(
        sequence + 3,
        fencing_token,
        &[(&task, attempt, TaskStage::Exited, Some(ExitReason::Done))],
    );
    until("the job is done", || s.get("/api/jobs/wk-000001").1["stage"] == "done");
    assert_eq!(s.call("POST", "/api/jobs/wk-000001/withdraw", Some(b"{}")).1["stage"], "done");
    assert_eq!(s.submit(&job).1["stage"], "done");
    for body in [without(&job, "seed"), with(&job, "cpus", json!(64.0))] {
        let (status, v) = s.submit(&body);
        assert_eq!((status, v["stage"].as_str()), (200, Some("done")), "{body}");
    }

    assert_eq!(s.submit(&json!(spec(3, 1, "batch"))).0, 201);
    let cancelled = json!({ "nameId": "wk-000003", "stage": "cancelled" });
    assert_eq!(s.call("POST", "/api/jobs/wk-000003/withdraw", Some(b"{}")), (200, cancelled));
    assert_eq!(s.get("/api/jobs/wk-000003").1["stage"], "cancelled");
    assert_eq!(s.call("POST", "/api/jobs/wk-000009/withdraw", Some(b"{}")).0, 404);
}

#[test]
fn every_controller_replies_for_each_accepted_job_once_faults_are_over() {
    let out = Arc::new(AtomicBool::new(false));
    let state = state_store(out.clone());
    let first = start_with(state, out.clone(), |_| {});
    let ids: Vec<String> = (1..=20).map(|n| spec(n, 3, "batch").id).collect();
    for n in 1..=20 {
        assert_eq!(first.submit(&json!(spec(n, 3, "batch"))).0, 201);
    }
    out.store(true, Ordering::SeqCst);
    assert!(ids.iter().all(|id| first.get(&format!("/api/jobs/{id}")).0 == 503));
    out.store(false, Ordering::SeqCst);
    // A process is back at once under the same label, while the earlier one still runs: it knows
    // nothing, takes over by the records, and no job is lost to either.
    let second = start_with(state, out, |_| {});
    for s in [&first, &second] {
        for id in &ids {
            until("there is a reply for the job", || s.get(&format!("/api/jobs/{id}")).0 == 200);
        }
    }
    assert_eq!(
        first.send_heartbeat(1, 0, &[]).fencing_token + 1,
        second.send_heartbeat(2, 0, &[]).fencing_token
    );
    // The earlier one learns from a worker that has seen the later fencing token, and gives up for good.
    let late = common::heartbeat("i-000001", 3, 2, &[]);
    let late = serde_json::to_vec(&late).expect("a heartbeat");
    assert_eq!(first.call("POST", "/checkin", Some(&late)).0, 503);
}

#[test]
fn a_leader_that_sees_no_cancellations_stops_renewing_leases_in_time() {
    let out = Arc::new(AtomicBool::new(false));
    let state = state_store(out.clone());
    let s = start_with(state, out.clone(), |p| {
        p["settings"]["workers"]["report_s"] = json!(0.5);
        p["settings"]["workers"]["lease_s"] = json!(2.0);
        p["settings"]["workers"]["cancel_s"] = json!(4.5);
    });
    let status = |sequence: u64| {
        let r = common::heartbeat("i-000001", sequence, 1, &[]);
        s.call("POST", "/checkin", Some(&serde_json::to_vec(&r).expect("a heartbeat"))).0
    };
    s.send_heartbeat(1, 0, &[]);
    out.store(true, Ordering::SeqCst);
    let since = Instant::now();
    let mut sequence = 2;
    until("the worker is no longer replied to", || {
        sequence += 1;
        status(sequence) == 503
    });
    // Half a second without a view, and the lease of two: well before the 4.5 s are over.
    assert!(since.elapsed().as_secs_f64() + 2.0 < 4.5, "after {:?}", since.elapsed());
    out.store(false, Ordering::SeqCst);
    until("it is replied to again", || {
        sequence += 1;
        status(sequence) == 200
    });
}

#[test]
fn a_partitioned_controller_is_unhealthy_and_one_in_an_outage_is_not() {
    let out = Arc::new(AtomicBool::new(false));
    let state = state_store(out.clone());
    // Nobody listens there: bound once and let go.
    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let with = |other: SocketAddr| {
        start_with(state, out.clone(), move |p| {
            p["label"] = json!(format!("c-{other}"));
            p["members"] = json!([{ "label": "c-other", "addr": other.to_string() }]);
        })
    };
    let cut = with(nobody);
    let other = start_with(state, out.clone(), |p| p["label"] = json!("c-other"));
    let heard = with(other.internal);
    out.store(true, Ordering::SeqCst);
    until("the one that is cut off is unhealthy", || cut.get("/up").0 == 503);
    // The state store is out for this one as well, but another controller can be heard.
    assert_eq!(heard.get("/up").0, 200);
    out.store(false, Ordering::SeqCst);
    until("it is healthy again", || cut.get("/up").0 == 200);
}

/// Polls of a busy minute would take the whole share of the state store with a read for each.
#[test]
fn polls_share_reads_and_never_lag_behind_what_a_user_was_told() {
    let (out, reads) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let state = counted_state_store(out.clone(), reads.clone());
    let first = start_with(state, out.clone(), |_| {});
    let second = start_with(state, out, |p| p["label"] = json!("c-1"));
    for n in 1..=20 {
        assert_eq!(first.submit(&json!(spec(n, 3, "batch"))).0, 201);
    }
    let before = reads.load(Ordering::SeqCst);
    std::thread::scope(|s| {
        for n in 1..=20 {
            let second = &second;
            s.spawn(move || {
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

/// Whether a job can run is not decided without the types, while a job accepted earlier stays accepted.
#[test]
fn without_machine_types_only_what_is_malformed_or_known_is_decided() {
    let out = Arc::new(AtomicBool::new(false));
    let state = state_store(out.clone());
    let first = start_with(state, out.clone(), |_| {});
    let known = json!(spec(1, 1, "batch"));
    assert_eq!(first.submit(&known).0, 201);
    // Neither the cloud, where nobody listens, nor the state store tells the second one the types.
    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let all_else = Client::new(state, 4);
    let without_types = serve(move |r| {
        if r.path == "/keys/catalog" {
            return Response::error(404, "no such key");
        }
        let body = (r.method == "POST").then_some(r.body.as_slice());
        match all_else.call(&r.method, &r.path, body, Micros::from_secs(10.0)) {
            Ok(ClientResponse { status, body }) => Response { status, body, retry_after: None },
            Err(e) => Response::error(503, &e.to_string()),
        }
    });
    let second = start_unready(without_types, out, |p| {
        p["label"] = json!("c-1");
        p["services"]["cloud"] = json!(nobody);
    });
    until("it replies", || second.get("/up").0 == 503);
    let new = json!(spec(2, 1, "batch"));
    for undecided in [new.clone(), with(&new, "owner", json!("nobody")), with(&new, "cpus", json!(64.0))] {
        assert_eq!(second.submit(&undecided).0, 503, "{undecided}");
    }
    assert_eq!(second.submit(&without(&new, "spread")).0, 400);
    for repeat in [known.clone(), without(&known, "spread"), with(&known, "cpus", json!(64.0))] {
        assert_eq!(second.submit(&repeat).0, 200, "{repeat}");
    }
    assert_eq!(second.get("/up").0, 503, "it never learned them");
    assert_eq!(first.get("/api/jobs/wk-000002").0, 404);
}

/// The command line sends what its file holds and says what came of it.
#[test]
fn the_command_line_submits_a_job() {
    let s = start();
    let submit = |job: &Value| {
        let mut p = std::process::Command::new(env!("CARGO_BIN_EXE_milletlock"))
            .args(["job", "--server", &s.addr.to_string(), "submit", "-"])
            .stdin(std::process::Stdio::piped())
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("the program");
        let mut input = p.stdin.take().expect("its input");
        input.write_all(job.to_string().as_bytes()).expect("sent");
        drop(input);
        let out = p.wait_with_output().expect("its end");
        (out.status.code(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let job = json!(spec(7, 1, "batch"));
    let (code, said) = submit(&job);
    assert!(code == Some(0) && said.contains("\"queued\""), "{code:?} {said}");
    assert_eq!(s.get("/api/jobs/wk-000007").0, 200);
    let (code, said) = submit(&without(&json!(spec(8, 1, "batch")), "grain"));
    assert!(code == Some(1) && said.contains("grain: missing"), "{code:?} {said}");
}
