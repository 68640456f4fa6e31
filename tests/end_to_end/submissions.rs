//! Which requests controllers accept and refuse.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use milletlock::http::{Client, ClientResponse, Response};
use milletlock::time::Micros;
use serde_json::{json, Value};

use crate::common::servers::serve;
use crate::common::spec;
use crate::controller::{
    start_controller, start_controller_unready, start_controller_with, start_state_store, until,
};
use crate::fields::{with_field, without_field};

/// Sends bytes, which need not be a valid request, and returns the response as text.
fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.write_all(bytes).expect("sent");
    let mut out = String::new();
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.read_to_string(&mut out);
    out
}

#[test]
fn invalid_requests_are_refused_with_an_error_of_one_line() {
    let controller = start_controller();
    let valid = json!(spec(1, 2, "batch"));
    let with = |k: &str, v: Value| with_field(&valid, k, v);
    let without = |k: &str| without_field(&valid, k);
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
        let (got, v) = controller.submit(&body);
        assert_eq!(got, status, "{body}");
        assert!(v["error"].as_str().is_some_and(|e| !e.is_empty() && !e.contains('\n')), "{v}");
    }
    let mut tight = with("owner", json!("tight"));
    tight["shape"] = json!("gang");
    tight["kernels"] = json!(7);
    assert_eq!(controller.submit(&tight).0, 422, "a gang over its team's quota");
    assert_eq!(controller.call("POST", "/api/jobs", Some(b"{not json")).0, 400);
    assert_eq!(controller.get("/nowhere").0, 404);
    assert_eq!(controller.get("/api/jobs/wk-000404").0, 404);
    assert_eq!(controller.get("/api/jobs/%00").0, 404);
    assert_eq!(controller.get("/api/jobs").0, 405);
    assert_eq!(controller.call("POST", "/up", Some(b"")).0, 405);
    assert_eq!(controller.call("POST", "/checkin", Some(b"{}")).0, 400);
    let huge = format!("POST /api/jobs HTTP/1.1\r\nContent-Length: {}\r\n\r\n", 70_000);
    assert!(
        send_raw(controller.addr, huge.as_bytes()).starts_with("HTTP/1.1 413"),
        "a body that is too long is refused before it is read"
    );
    assert!(send_raw(controller.addr, b"nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    // A connection that sends only part of a request does not affect other connections.
    let mut incomplete = TcpStream::connect(controller.addr).expect("a connection");
    incomplete.write_all(b"POST /api/jobs HTTP/1.1\r\nContent-Len").expect("sent");
    assert_eq!(controller.get("/up").0, 200);
}

/// Guards against deciding whether a new job can run before the machine types are known, and against refusing
/// a repeat of an accepted submission in that time.
#[test]
fn without_machine_types_only_malformed_and_repeated_submissions_are_decided() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let state = start_state_store(unavailable.clone());
    let first = start_controller_with(state, unavailable.clone(), |_| {});
    let known = json!(spec(1, 1, "batch"));
    assert_eq!(first.submit(&known).0, 201);
    // The second controller gets the machine types neither from the cloud, at whose address nothing listens,
    // nor from the state store.
    let unused_address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let state_client = Client::new(state, 4);
    let without_types = serve(move |r| {
        if r.path == "/keys/catalog" {
            return Response::error(404, "no such key");
        }
        let body = (r.method == "POST").then_some(r.body.as_slice());
        match state_client.call(&r.method, &r.path, body, Micros::from_secs(10.0)) {
            Ok(ClientResponse { status, body }) => Response { status, body, retry_after: None },
            Err(e) => Response::error(503, &e.to_string()),
        }
    });
    let second = start_controller_unready(without_types, unavailable, |p| {
        p["label"] = json!("c-1");
        p["services"]["cloud"] = json!(unused_address);
    });
    until("the second controller responds", || second.get("/up").0 == 503);
    let new = json!(spec(2, 1, "batch"));
    for undecided in
        [new.clone(), with_field(&new, "owner", json!("nobody")), with_field(&new, "cpus", json!(64.0))]
    {
        assert_eq!(second.submit(&undecided).0, 503, "{undecided}");
    }
    assert_eq!(second.submit(&without_field(&new, "spread")).0, 400);
    for repeat in [known.clone(), without_field(&known, "spread"), with_field(&known, "cpus", json!(64.0))] {
        assert_eq!(second.submit(&repeat).0, 200, "{repeat}");
    }
    assert_eq!(second.get("/up").0, 503, "the second controller knows the machine types");
    assert_eq!(first.get("/api/jobs/wk-000002").0, 404);
}

/// `milletlock job submit` sends the submission in its input and prints the response.
#[test]
fn the_submit_command_prints_the_response_and_fails_if_the_job_is_refused() {
    let controller = start_controller();
    let submit = |job: &Value| {
        let mut p = std::process::Command::new(env!("CARGO_BIN_EXE_milletlock"))
            .args(["job", "--server", &controller.addr.to_string(), "submit", "-"])
            .stdin(std::process::Stdio::piped())
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut input = p.stdin.take().expect("the program's input");
        input.write_all(job.to_string().as_bytes()).expect("sent");
        drop(input);
        let out = p.wait_with_output().expect("the program ends");
        (out.status.code(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let job = json!(spec(7, 1, "batch"));
    let (code, printed) = submit(&job);
    assert!(code == Some(0) && printed.contains("\"queued\""), "{code:?} {printed}");
    assert_eq!(controller.get("/api/jobs/wk-000007").0, 200);
    let (code, printed) = submit(&without_field(&json!(spec(8, 1, "batch")), "grain"));
    assert!(code == Some(1) && printed.contains("grain: missing"), "{code:?} {printed}");
}
