//! A controller whose write of a loan is not answered. The write may have been executed, so that none of the
//! loan's tasks may start in the lender cell until the outcome is known.

mod common;

use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex};

use common::servers::{cloud, serve_opt};
use common::state_store_server::{read_response, transaction, transaction_response};
use common::store::Store;
use common::{heartbeat, platform_json, spec};
use milletlock::api::RequestOrigin;
use milletlock::config::{Config, OperatorConfig, PlatformConfig};
use milletlock::controller::{Controller, LendingPolicy};
use milletlock::http::{Request, Response};
use milletlock::leadership::SHARD_KEY;
use milletlock::peer::{proto, LoanReply, OutboundMessage, PeerError, PeerHub, PeerReply};
use milletlock::time::{wall, Clock, Micros};
use milletlock::wire::{Heartbeat, HeartbeatReply, TaskStage, WorkerCommand};
use serde_json::json;

const CELLS: &str =
    "cells {\n name = \"here\"\n others = [{ name = \"there\", controllers = [\"127.0.0.1:1\"] }]\n \
                     lend = [\"any\"]\n lend_after_s = 0\n}\n";

/// Time between two heartbeats.
const STEP: Micros = Micros(200_000);

/// Replies as the leader of another cell that has capacity.
fn other_cell(out: OutboundMessage) -> Result<(), PeerError> {
    reply_as("there", 1, out)
}

/// Replies as the leader of the cell `name` in `term`.
fn reply_as(name: &str, term: u64, out: OutboundMessage) -> Result<(), PeerError> {
    let summary = proto::CellSummary {
        form: 1,
        composed_us: wall().0,
        spare_cpus: 100.0,
        ..proto::CellSummary::default()
    };
    let reply =
        LoanReply { from: name.into(), term, leads: true, summary: Some(summary), ..LoanReply::default() };
    out.answer(Ok(PeerReply::Loans(reply)));
    Ok(())
}

/// Serves a state store. While `drops_loan_replies` is set, it executes writes of loans without a reply.
fn state_store(store: Arc<Mutex<Store>>, drops_loan_replies: Arc<AtomicBool>) -> std::net::SocketAddr {
    serve_opt(move |request| {
        let mut store = store.lock().expect("the state store");
        match (request.method.as_str(), request.path.split('?').next().unwrap_or("")) {
            ("POST", "/leases") => Some(Response::json(200, &json!({ "tenure": 1 }))),
            ("POST", "/txn") => {
                let txn = transaction(&request);
                let of_leader = txn.guards.iter().any(|guard| guard.key == SHARD_KEY);
                let is_loan =
                    of_leader && txn.then.iter().any(|change| format!("{change:?}").contains("spec_of_lent"));
                let result = store.txn(&txn);
                let is_dropped = is_loan && drops_loan_replies.load(Ordering::SeqCst);
                (!is_dropped).then(|| transaction_response(&store, result))
            }
            ("GET", _) => Some(read_response(&store, &request)),
            _ => Some(Response::json(200, &json!({}))),
        }
    })
}

/// Sends a request of a worker or a user to a controller.
fn post(node: &Controller, path: &str, body: Vec<u8>) -> Response {
    node.answer(&Request { method: "POST".into(), path: path.into(), body }, RequestOrigin::Http)
}

/// Lets a worker send twelve heartbeats, and returns the tasks that were started on it.
fn started(node: &Controller, clock: &AtomicI64) -> Vec<String> {
    let (mut on_worker, mut fencing_token) = (Vec::<(String, u64)>::new(), 0);
    for _ in 0..12 {
        let sequence = clock.load(Ordering::SeqCst) as u64;
        let tasks: Vec<_> = on_worker.iter().map(|t| (t.0.as_str(), t.1, TaskStage::Running, None)).collect();
        let message = Heartbeat { spot: false, ..heartbeat("i-000001", sequence, fencing_token, &tasks) };
        let response = post(node, "/checkin", serde_json::to_vec(&message).expect("a heartbeat"));
        let reply: HeartbeatReply = serde_json::from_slice(&response.body).expect("a reply");
        fencing_token = reply.fencing_token;
        on_worker.extend(reply.commands.into_iter().filter_map(|command| match command {
            WorkerCommand::Start { task, attempt } => Some((task, attempt)),
            _ => None,
        }));
        clock.fetch_add(STEP.0, Ordering::SeqCst);
        node.plan_once();
        node.write_once();
    }
    on_worker.into_iter().map(|t| t.0).collect()
}

/// A controller that leads its cell and has a job array of six tasks to lend. `carry` carries its messages to
/// other controllers.
fn controller(
    state: std::net::SocketAddr,
    clock: &Arc<AtomicI64>,
    carry: impl Fn(OutboundMessage) -> Result<(), PeerError> + Send + Sync + 'static,
) -> (Arc<Controller>, LendingPolicy) {
    let mut p = platform_json();
    p["services"] = json!({ "cloud": cloud(), "state": state });
    let platform = PlatformConfig::parse(&p.to_string(), "test").expect("settings");
    let operator = OperatorConfig::parse(CELLS, "test").expect("settings");
    let policy = LendingPolicy::new(operator.cells.as_ref().expect("cells"));
    let cfg = Config { platform, operator };
    let node =
        Controller::new(cfg, PeerHub::with_transport(0, carry), Clock::Manual(clock.clone()), Arc::default());
    let node = node.expect("a controller");
    assert!(node.load_machine_types_once());
    node.maintain_leadership_once(Micros::from_secs(3.0));
    let submission = json!(spec(1, 6, "batch")).to_string().into_bytes();
    assert_eq!(post(&node, "/api/jobs", submission).status, 201);
    (node, policy)
}

fn job_record(store: &Mutex<Store>) -> serde_json::Value {
    store.lock().expect("the store").row("job/wk-000001").expect("the job").value
}

#[test]
fn tasks_of_a_loan_whose_write_is_unanswered_do_not_start_at_the_lender() {
    let (store, drops_loan_replies) = (Arc::<Mutex<Store>>::default(), Arc::new(AtomicBool::new(true)));
    let clock = Arc::new(AtomicI64::new(1_000_000_000));
    let state = state_store(store.clone(), drops_loan_replies.clone());
    let (node, mut policy) = controller(state, &clock, other_cell);
    node.lend_once(&mut policy);
    let lent = job_record(&store);
    assert_eq!(lent["lending"]["loans"][0]["tasks"], "1-5", "the write of the loan was not executed: {lent}");
    assert_eq!(started(&node, &clock), ["wk-000001/0"], "the other tasks may be lent");
    // The write is sent again and fails, because it was executed before. The controller then reads the
    // record.
    drops_loan_replies.store(false, Ordering::SeqCst);
    node.lend_once(&mut policy);
    assert!(started(&node, &clock).iter().all(|task| task == "wk-000001/0"));
}

/// Replies of a cell with another name, and of a leader that has been replaced, cause no loan.
#[test]
fn a_reply_from_another_cell_or_an_older_term_causes_no_loan() {
    let store = Arc::<Mutex<Store>>::default();
    let clock = Arc::new(AtomicI64::new(1_000_000_000));
    let state = state_store(store.clone(), Arc::default());
    let (term, name) = (Arc::new(AtomicI64::new(5)), Arc::new(Mutex::new("elsewhere")));
    let (term_now, name_now) = (term.clone(), name.clone());
    let carry = move |out: OutboundMessage| {
        let name: &str = *name_now.lock().expect("a name");
        reply_as(name, term_now.load(Ordering::SeqCst) as u64, out)
    };
    let (node, mut policy) = controller(state, &clock, carry);
    let is_lent = || job_record(&store).get("lending").is_some();
    node.lend_once(&mut policy);
    assert!(!is_lent(), "tasks are lent after a reply of another cell");
    // The term of a reply is recorded even if the policy lends nothing.
    *name.lock().expect("a name") = "there";
    let mut never = LendingPolicy::new(&never_lends());
    node.lend_once(&mut never);
    assert!(!is_lent());
    term.store(4, Ordering::SeqCst);
    node.lend_once(&mut policy);
    assert!(!is_lent(), "tasks are lent after a reply of an older term");
    term.store(5, Ordering::SeqCst);
    node.lend_once(&mut policy);
    assert!(is_lent());
}

/// The settings of the lender with a lending script that lends nothing.
fn never_lends() -> milletlock::config::CellsSettings {
    let text = CELLS.replace("lend_after_s = 0", "script = \"fn portion(view) { 0 }\"");
    OperatorConfig::parse(&text, "test").expect("settings").cells.expect("cells")
}
