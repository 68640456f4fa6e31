//! Cancellations in an outage, with whole controllers in simulated time: the state service refuses the
//! owner alone, another controller confirms a cancellation, then the service is out for all for longer
//! than `cancel_s`, while a worker keeps reporting. The cancelled tasks must be gone in time whatever
//! other fault comes on top.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use common::servers::{cloud, serve_some};
use common::state_service::{answer_read, answer_transaction, parameter, transaction};
use common::store::Store;
use common::worker::{Task, WorkerState};
use common::{platform_json, spec, LEASE};
use milletlock::config::{Config, OperatorConfig, PlatformConfig};
use milletlock::controller::Controller;
use milletlock::http::{self, Client, Reply, Request, RequestClass, Response, ServerLimits};
use milletlock::peer::{OutboundMessage, PeerError, PeerHub};
use milletlock::time::{Clock, Micros, Steady};
use milletlock::wire::{Change, DirectCommandRequest, HeartbeatReply, TaskStage, Txn, WorkerCommand};
use serde_json::{json, Value};

const STEP: i64 = 250_000;
const SECOND: i64 = 1_000_000;
const REPORT: i64 = 3 * SECOND;
const CANCEL: i64 = 47 * SECOND;
const TTL: Micros = Micros(3 * SECOND);

fn locked<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

struct Lease {
    ttl: i64,
    until: i64,
    keys: BTreeSet<String>,
}

/// The state service, with leases by the test's time; only here do leases matter, so it stands here.
#[derive(Default)]
struct StateService {
    store: Store,
    leases: BTreeMap<u64, Lease>,
    next: u64,
    out: bool,
    refused: BTreeSet<usize>,
    /// Reads are refused the first controller beside that.
    no_reads: bool,
    /// So many cancellations are carried out without an answer.
    unanswered: usize,
}

impl StateService {
    fn expire(&mut self, now: i64) {
        if self.out {
            return;
        }
        let over: Vec<u64> = self.leases.iter().filter(|l| l.1.until < now).map(|l| *l.0).collect();
        over.into_iter().for_each(|l| self.end(l));
    }

    fn end(&mut self, lease: u64) {
        let Some(l) = self.leases.remove(&lease) else { return };
        let then: Vec<Change> = l.keys.into_iter().map(Change::drop).collect();
        if !then.is_empty() {
            let _ = self.store.txn(&Txn { guards: vec![], then });
        }
    }

    /// After an outage every lease has its full time again.
    fn back(&mut self, now: i64) {
        self.out = false;
        self.leases.values_mut().for_each(|l| l.until = now + l.ttl);
    }

    fn answer(&mut self, node: usize, r: &Request, now: i64) -> Option<Response> {
        self.expire(now);
        let path = r.path.split('?').next().unwrap_or("");
        let unreadable = node == 0 && self.no_reads && r.method == "GET";
        if self.out || self.refused.contains(&node) || unreadable {
            return Some(self.refuse(path, r));
        }
        let lease_of = |p: &str| p.split('/').nth(2).and_then(|l| l.parse::<u64>().ok()).unwrap_or(0);
        Some(match (r.method.as_str(), path) {
            ("POST", "/leases") => {
                let v: Value = serde_json::from_slice(&r.body).expect("a lease");
                let ttl = v["ttlMs"].as_i64().expect("a time") * 1000;
                self.next += 1;
                self.leases.insert(self.next, Lease { ttl, until: now + ttl, keys: BTreeSet::new() });
                Response::json(200, &json!({ "tenure": self.next }))
            }
            ("POST", p) if p.ends_with("/renew") => match self.leases.get_mut(&lease_of(p)) {
                Some(l) => {
                    l.until = now + l.ttl;
                    Response::json(200, &json!({}))
                }
                None => Response::error(404, "no such lease"),
            },
            ("DELETE", p) => {
                self.end(lease_of(p));
                Response::json(200, &json!({}))
            }
            ("POST", "/txn") => return self.txn(r),
            ("GET", _) => answer_read(&self.store, r),
            _ => Response::error(404, "no such path"),
        })
    }

    /// A watch that had been open stays silent, and its time runs out; all else is refused.
    fn refuse(&self, path: &str, r: &Request) -> Response {
        if path == "/watch" && parameter(r, "blockMs") != "0" {
            return Response::json(200, &json!({ "harvest": self.store.revision, "events": [] }));
        }
        Response::error(503, "unavailable")
    }

    fn txn(&mut self, r: &Request) -> Option<Response> {
        let t = transaction(r);
        let leases: Vec<u64> = t
            .then
            .iter()
            .filter_map(|c| if let Change::Put { lease, .. } = c { *lease } else { None })
            .collect();
        if leases.iter().any(|l| !self.leases.contains_key(l)) {
            return Some(Response::error(400, "no such lease"));
        }
        let done = self.store.txn(&t);
        if done.is_ok() {
            for c in &t.then {
                self.leases.values_mut().for_each(|l| {
                    l.keys.remove(c.key());
                });
                if let Change::Put { put, lease: Some(l), .. } = c {
                    self.leases.get_mut(l)?.keys.insert(put.clone());
                }
            }
        }
        if self.unanswered > 0 && t.then.iter().any(|c| c.key().starts_with("final/")) {
            self.unanswered -= 1;
            return None;
        }
        Some(answer_transaction(&self.store, done))
    }
}

/// A worker; commands come to a port of its own. Its tasks run from the moment they are started, and end
/// only by a halt or with the lease: no other end matters here.
struct Worker {
    state: WorkerState,
    due: i64,
    /// The controller to which it reports.
    node: usize,
    hung_until: i64,
    /// It reaches no controller, while commands reach it.
    mute: bool,
    /// Commands do not reach it, while it reaches controllers.
    shut: bool,
}

impl Worker {
    fn new(id: &str, now: i64) -> Worker {
        let state = WorkerState::new(id.into(), "north", Steady(now));
        Worker { state, due: now, node: 0, hung_until: 0, mute: false, shut: false }
    }

    fn execute_orders(&mut self, orders: &[WorkerCommand], now: i64) {
        for o in orders {
            match o {
                WorkerCommand::Start { task, attempt } => {
                    let running = Task::new(TaskStage::Running, Micros::ZERO, Steady(now));
                    self.state.tasks.insert((task.clone(), *attempt), running);
                }
                WorkerCommand::Halt { task, attempt, .. } => {
                    self.state.halt(task, *attempt);
                }
                WorkerCommand::Forget { task, attempt } => self.state.forget(task, *attempt),
            }
        }
    }

    fn command(&mut self, r: &Request, now: i64) -> Option<Response> {
        if now < self.hung_until || self.shut {
            return None;
        }
        let c: DirectCommandRequest = serde_json::from_slice(&r.body).expect("a command");
        if !self.state.accept_command(c.fencing_token, c.agent_epoch) {
            return Some(Response::json(409, &self.state.report()));
        }
        self.execute_orders(&c.commands, now);
        Some(Response::json(200, &self.state.report()))
    }

    /// How many tasks of a job are there.
    fn runs(&self, n: u32) -> usize {
        self.state.placed_of(&spec(n, 1, "batch").id)
    }
}

type Controllers = Arc<Mutex<Vec<Arc<Controller>>>>;

struct Simulation {
    clock: Arc<AtomicI64>,
    service: Arc<Mutex<StateService>>,
    controllers: Controllers,
    /// Controllers that cannot hear one another.
    partitioned: Arc<AtomicBool>,
    ports: Vec<SocketAddr>,
    cloud: SocketAddr,
    worker: Arc<Mutex<Worker>>,
    /// When the user was told that the job is cancelled.
    told: Option<i64>,
    steps: u64,
}

impl Simulation {
    /// Three controllers of which the first leads, and a job with two tasks that run on the worker.
    fn new() -> Simulation {
        let clock = Arc::new(AtomicI64::new(2_000 * SECOND));
        let service: Arc<Mutex<StateService>> = Arc::default();
        let port = |node: usize| {
            let (service, clock) = (service.clone(), clock.clone());
            serve_some(move |r| locked(&service).answer(node, &r, clock.load(Ordering::SeqCst)))
        };
        let ports = vec![port(0), port(1), port(2)];
        let now = clock.load(Ordering::SeqCst);
        let worker = Arc::new(Mutex::new(Worker::new("i-000001", now)));
        let (w, c) = (worker.clone(), clock.clone());
        let addr = serve_some(move |r| locked(&w).command(&r, c.load(Ordering::SeqCst)));
        locked(&worker).state.addr = addr.to_string();
        let mut simulation = Simulation {
            clock,
            service,
            controllers: Arc::default(),
            partitioned: Arc::default(),
            ports,
            cloud: cloud(),
            worker,
            told: None,
            steps: 0,
        };
        for i in 0..3 {
            let n = simulation.node(i);
            locked(&simulation.controllers).push(n);
        }
        let submission = json!(spec(1, 2, "batch")).to_string();
        assert_eq!(simulation.ask(1, "POST", "/api/jobs", &submission).0, 201);
        simulation.until("both tasks run", |w| locked(&w.worker).runs(1) == 2);
        assert_eq!(simulation.tokens(), [Some(1), None, None]);
        simulation
    }

    fn node(&self, i: usize) -> Arc<Controller> {
        let mut p = platform_json();
        let others: Vec<usize> = (0..3).filter(|o| *o != i).collect();
        p["label"] = json!(format!("c-{i}"));
        p["services"] = json!({ "cloud": self.cloud, "state": self.ports[i] });
        let member = |o: &usize| json!({ "label": format!("c-{o}"), "addr": format!("127.0.0.1:{}", 2 + o) });
        p["members"] = others.iter().map(member).collect();
        // The budget goes by the machine's clock, which has no part in this.
        p["settings"]["state"]["rps"] = json!(1e6);
        p["settings"]["state"]["write_rps"] = json!(1e6);
        let platform = PlatformConfig::parse(&p.to_string(), "test").expect("settings");
        let cfg = Config { platform, operator: OperatorConfig::default() };
        let (controllers, partitioned) = (self.controllers.clone(), self.partitioned.clone());
        let carry = move |o: OutboundMessage| {
            let to = locked(&controllers)
                .get(others[o.to])
                .cloned()
                .filter(|_| !partitioned.load(Ordering::SeqCst));
            let answer = to.map(|n| n.handle_peer_message(&o.message)).ok_or(PeerError::TimedOut);
            o.answer(answer);
            Ok(())
        };
        let n = Controller::new(
            cfg,
            PeerHub::with_transport(2, carry),
            Clock::Manual(self.clock.clone()),
            Arc::default(),
        );
        let n = n.expect("a controller");
        assert!(n.load_machine_types_once());
        n
    }

    fn now(&self) -> i64 {
        self.clock.load(Ordering::SeqCst)
    }

    fn nodes(&self) -> Vec<Arc<Controller>> {
        locked(&self.controllers).clone()
    }

    fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let r = Request { method: method.into(), path: path.into(), body: body.into() };
        let a = self.nodes()[node].answer(&r, path == "/status");
        (a.status, serde_json::from_slice(&a.body).unwrap_or(Value::Null))
    }

    /// The tokens of those that take themselves for the owner.
    fn tokens(&self) -> Vec<Option<u64>> {
        (0..3).map(|i| self.ask(i, "GET", "/status", "").1["owner"]["token"].as_u64()).collect()
    }

    /// The user cancels through a controller.
    fn cancel(&mut self, node: usize) {
        let (status, v) = self.ask(node, "POST", "/api/jobs/wk-000001/withdraw", "{}");
        assert_eq!((status, v["stage"].as_str()), (200, Some("cancelled")));
        self.told = Some(self.now());
    }

    /// A simulation in which the service refuses some controllers and the second confirms a cancellation that
    /// no other hears of.
    fn cancelled_unheard(refused: &[usize]) -> Simulation {
        let mut w = Simulation::new();
        w.partitioned.store(true, Ordering::SeqCst);
        w.refuse(refused);
        w.cancel(1);
        w
    }

    /// After 1.5 s the service is out for all.
    fn go_out(&mut self) {
        self.run(1.5);
        locked(&self.service).out = true;
    }

    /// A controller ends and is back at once, remembering nothing.
    fn restart(&mut self, node: usize) {
        let again = self.node(node);
        locked(&self.controllers)[node] = again;
    }

    fn refuse(&self, nodes: &[usize]) {
        locked(&self.service).refused = nodes.iter().copied().collect();
    }

    fn step(&mut self) {
        self.clock.fetch_add(STEP, Ordering::SeqCst);
        self.steps += 1;
        let now = self.now();
        locked(&self.service).expire(now);
        for n in self.nodes() {
            if self.steps % 4 == 0 {
                n.maintain_leadership_once(TTL);
                n.announce_once();
            }
            n.watch_once();
            n.write_once();
            n.plan_once();
            n.send_commands_once();
            n.send_cancellations_once();
        }
        self.run_worker(now);
        // ran_cancelled; what hangs counts when it goes on.
        let w = locked(&self.worker);
        if let Some(told) = self.told.filter(|_| now >= w.hung_until) {
            let late = (now - told) as f64 / 1e6;
            assert!(now - told <= CANCEL || w.runs(1) == 0, "ran_cancelled: {late} s after the confirmation");
        }
    }

    fn run_worker(&self, now: i64) {
        let report = {
            let mut w = locked(&self.worker);
            if now < w.hung_until {
                return;
            }
            w.state.end_session_after(LEASE, Steady(now));
            if now < w.due || w.mute {
                return;
            }
            w.due = now + REPORT;
            (w.node, w.state.report())
        };
        let body = serde_json::to_string(&report.1).expect("a report");
        let (status, v) = self.ask(report.0, "POST", "/checkin", &body);
        let mut w = locked(&self.worker);
        if status != 200 {
            // The next one, a second later.
            (w.node, w.due) = ((w.node + 1) % 3, now + SECOND);
            return;
        }
        let reply: HeartbeatReply = serde_json::from_value(v).expect("a reply");
        if w.state.accept_answer(reply.fencing_token, Steady(now)) {
            w.execute_orders(&reply.commands, now);
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now() + (seconds * 1e6) as i64;
        while self.now() < end {
            self.step();
        }
    }

    fn until(&mut self, what: &str, f: impl Fn(&Simulation) -> bool) {
        let end = self.now() + 40 * SECOND;
        while !f(self) {
            let seen = || (0..3).map(|i| self.ask(i, "GET", "/status", "").1).collect::<Vec<_>>();
            assert!(self.now() < end, "never: {what}: {:?}", seen());
            self.step();
        }
    }

    /// Seconds from the confirmation until the tasks are gone.
    fn gone_after(&mut self) -> f64 {
        let told = self.told.expect("a confirmation");
        while locked(&self.worker).runs(1) > 0 {
            self.step();
        }
        (self.now() - told) as f64 / 1e6
    }

    /// The service goes out for all 1.5 s after the confirmation, for longer than `cancel_s`, and is
    /// back; the refused one is refused for 14 s in all. Returns when the tasks were gone.
    fn outage(&mut self) -> f64 {
        self.go_out();
        let gone = self.gone_after();
        let told = self.told.expect("a confirmation");
        let (until, unrefused) = (told + 84 * SECOND, told + 14 * SECOND);
        while self.now() < until {
            if self.now() > unrefused {
                self.refuse(&[]);
            }
            self.step();
        }
        let now = self.now();
        locked(&self.service).back(now);
        // Back in touch nothing of the job starts again, and everybody answers alike.
        self.run(30.0);
        assert_eq!(locked(&self.worker).runs(1), 0);
        for i in 0..3 {
            assert_eq!(self.ask(i, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled", "by c-{i}");
        }
        // A new job runs: the service does not stand still.
        let submission = json!(spec(2, 2, "batch")).to_string();
        assert_eq!(self.ask(2, "POST", "/api/jobs", &submission).0, 201);
        self.until("new work runs", |w| locked(&w.worker).runs(2) == 2);
        gone
    }
}

/// Combination 4: cancelled as the service refuses the owner alone, and out a second later.
#[test]
fn a_refused_owner_told_by_another_controller_halts_at_once() {
    let mut w = Simulation::new();
    w.refuse(&[0]);
    w.cancel(1);
    let gone = w.outage();
    assert!(gone < 5.0, "the notice of another controller stops work at the next report, not after {gone} s");
    // The refused one leads on after the outage: its lease had its full time again.
    assert_eq!(w.tokens(), [Some(1), None, None]);
}

#[test]
fn without_a_notice_from_others_leases_end_in_time() {
    let mut w = Simulation::cancelled_unheard(&[0]);
    // It goes on answering for a while, as long as it may.
    w.go_out();
    w.run(28.0);
    assert_eq!(locked(&w.worker).runs(1), 2, "work is not given up sooner than needed");
    let gone = w.outage();
    assert!((30.0..47.0).contains(&gone), "gone after {gone} s");
    assert_eq!(w.tokens()[0], Some(1));
}

#[test]
fn a_worker_that_cannot_report_is_halted_by_command() {
    let mut w = Simulation::new();
    w.refuse(&[0]);
    w.cancel(1);
    locked(&w.worker).mute = true;
    w.go_out();
    let gone = w.gone_after();
    assert!(gone < 9.0, "its report is overdue after one and a half, and the halt goes to it: {gone} s");
}

#[test]
fn past_its_bound_the_owner_still_halts_by_command() {
    let mut w = Simulation::cancelled_unheard(&[0]);
    w.go_out();
    w.run(25.0);
    // It answers nobody any more when the notice comes through at last.
    assert_eq!(locked(&w.worker).runs(1), 2);
    let before = w.now();
    w.partitioned.store(false, Ordering::SeqCst);
    w.gone_after();
    assert!(w.now() - before <= 5 * SECOND, "the tasks end by the notice, not by their lease");
}

#[test]
fn with_several_refused_and_the_notice_delayed_tasks_are_gone_in_time() {
    for seconds_apart in [0.0, 8.0, 60.0] {
        let mut w = Simulation::cancelled_unheard(&[0, 2]);
        w.go_out();
        w.run(seconds_apart);
        w.partitioned.store(false, Ordering::SeqCst);
        w.outage();
    }
}

#[test]
fn a_confirmer_that_ends_and_is_back_at_once_has_forgotten_and_it_does_not_matter() {
    let mut w = Simulation::cancelled_unheard(&[0]);
    w.restart(1);
    w.partitioned.store(false, Ordering::SeqCst);
    let gone = w.outage();
    assert!((20.0..47.0).contains(&gone), "nobody tells the owner; gone after {gone} s");
}

#[test]
fn the_owner_that_ends_and_is_back_at_once_answers_nobody_until_it_has_read() {
    let mut w = Simulation::cancelled_unheard(&[0]);
    w.restart(0);
    w.outage();
}

#[test]
fn a_machine_that_hangs_and_goes_on_within_its_lease_is_in_time() {
    for hangs_at in [2.0, 12.0, 20.0] {
        let mut w = Simulation::cancelled_unheard(&[0]);
        w.go_out();
        w.run(hangs_at);
        let now = w.now();
        locked(&w.worker).hung_until = now + 20 * SECOND;
        w.run(19.9);
        assert_eq!(locked(&w.worker).runs(1), 2, "it does nothing while it hangs");
        w.outage();
    }
}

#[test]
fn a_cancellation_whose_transaction_had_no_answer_is_told_and_in_time() {
    let mut w = Simulation::new();
    w.refuse(&[0]);
    locked(&w.service).unanswered = 1;
    w.cancel(1);
    assert_eq!(locked(&w.service).unanswered, 0);
    let gone = w.outage();
    assert!(gone < 5.0, "whoever confirms tells the others, though its write had no answer: {gone} s");
}

/// Whoever wrote the end may have ended before it could tell anybody; its user asks another.
#[test]
fn whoever_repeats_the_confirmation_tells_the_others_too() {
    let mut w = Simulation::cancelled_unheard(&[0]);
    w.restart(1);
    w.partitioned.store(false, Ordering::SeqCst);
    w.run(0.5);
    assert_eq!(locked(&w.worker).runs(1), 2);
    let told = w.told;
    w.cancel(2);
    w.told = told;
    assert!(w.outage() < 6.0);
}

/// A new owner has looked when it claimed; what is confirmed after that it cannot see.
#[test]
fn an_owner_that_has_just_won_counts_from_its_claim() {
    let mut w = Simulation::new();
    w.refuse(&[0]);
    w.until("another leads", |w| w.tokens()[1..].iter().any(Option::is_some));
    w.until("the worker follows it", |w| locked(&w.worker).state.fencing_token == 2);
    w.refuse(&[]);
    w.run(2.0);
    let leads = w.tokens().iter().position(|t| *t == Some(2)).expect("an owner");
    w.partitioned.store(true, Ordering::SeqCst);
    locked(&w.service).refused = [leads].into();
    w.cancel((leads + 1) % 3);
    let gone = w.outage();
    assert!((20.0..47.0).contains(&gone), "gone after {gone} s");
}

/// Combination 10: the service refuses the owner alone, then everybody, while users cancel and ask. Nobody
/// gives an answer that is older than another user's, and what is known to be final stays answered.
#[test]
fn users_are_answered_alike_while_the_service_refuses_the_owner_and_then_everybody() {
    let mut w = Simulation::new();
    w.refuse(&[0]);
    assert_eq!(w.ask(0, "GET", "/api/jobs/wk-000001", "").0, 200, "another answers for it");
    assert_eq!(w.ask(0, "GET", "/api/jobs/wk-000009", "").0, 404);
    // Cancelled through the refused one, which cannot write it: another does.
    w.cancel(0);
    w.go_out();
    for second in 0..40 {
        w.run(1.0);
        assert!(second < 3 || locked(&w.worker).runs(1) == 0, "the owner was told");
        for i in 0..3 {
            let (status, v) = w.ask(i, "GET", "/api/jobs/wk-000001", "");
            assert_eq!((status, v["stage"].as_str()), (200, Some("cancelled")), "by c-{i}: {v}");
            assert_eq!(w.ask(i, "POST", "/api/jobs/wk-000001/withdraw", "{}").0, 200);
            // Whether there is such a job nobody can say.
            assert_eq!(w.ask(i, "GET", "/api/jobs/wk-000009", "").0, 503);
            assert_eq!(w.ask(i, "POST", "/api/jobs", &json!(spec(9, 1, "batch")).to_string()).0, 503);
        }
    }
    w.outage();
    assert_eq!(w.ask(0, "GET", "/api/jobs/wk-000009", "").0, 404);
}

/// Combination 17: a leader loses the service and the other controllers; workers and users still reach it,
/// and the job is cancelled through the next, whose commands reach the worker or do not.
#[test]
fn a_cancellation_through_the_next_leader_ends_tasks_of_one_cut_off_with_its_workers() {
    for (shut, least, most) in [(false, 0.0, 12.0), (true, 12.0, 47.0)] {
        let mut w = Simulation::new();
        w.partitioned.store(true, Ordering::SeqCst);
        w.refuse(&[0]);
        locked(&w.worker).shut = shut;
        w.until("another leads", |w| w.tokens()[1..].contains(&Some(2)));
        let next = w.tokens().iter().position(|t| *t == Some(2)).expect("an owner");
        w.cancel(next);
        let told = w.told.expect("a confirmation");
        while w.now() < told + CANCEL {
            w.step();
            // The earlier one cannot know, and says so.
            assert_eq!(w.ask(0, "GET", "/api/jobs/wk-000001", "").0, 503);
            assert_eq!(w.ask(next, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled");
            if locked(&w.worker).runs(1) == 0 {
                break;
            }
        }
        let gone = (w.now() - told) as f64 / 1e6;
        assert!((least..most).contains(&gone), "gone after {gone} s, commands lost: {shut}");
        // Back in touch it follows the next one.
        w.refuse(&[]);
        w.partitioned.store(false, Ordering::SeqCst);
        locked(&w.worker).shut = false;
        w.run(50.0);
        assert_eq!(w.tokens()[0], None);
        assert_eq!(w.ask(0, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled");
    }
}

/// Its lease is renewed while reads fail: only a read shows what was cancelled.
#[test]
fn renewals_without_reads_do_not_keep_the_view() {
    let mut w = Simulation::new();
    w.partitioned.store(true, Ordering::SeqCst);
    locked(&w.service).no_reads = true;
    w.cancel(1);
    w.run(20.0);
    assert_eq!((locked(&w.worker).runs(1), w.tokens()[0]), (2, Some(1)));
    let gone = w.gone_after();
    assert!((30.0..47.0).contains(&gone), "gone after {gone} s");
}

/// The answer to an idle worker's report may wait for a start; the view is looked at as it leaves.
#[test]
fn an_answer_that_waited_until_the_view_was_too_old_renews_nothing() {
    let mut w = Simulation::new();
    w.told = None;
    let node = w.nodes()[0].clone();
    let l = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address");
    let n = node.clone();
    let handler = Arc::new(move |r: Request, reply: Reply| n.serve(&r, reply));
    let service = http::Service { classify: |_| RequestClass::Interactive, handler };
    let limits = ServerLimits {
        connections: 10,
        background_connections: 10,
        interactive_threads: 4,
        background_threads: 1,
    };
    std::thread::spawn(move || http::serve(l, limits, Arc::default(), service));
    // A second machine, idle, is enrolled and shows the token.
    let idle = |sequence: u64| {
        let r = common::report("i-000002", sequence, u64::from(sequence > 1), &[]);
        serde_json::to_string(&r).expect("a report")
    };
    assert_eq!(w.ask(0, "POST", "/checkin", &idle(1)).0, 200);
    w.run(2.0);
    assert_eq!(w.ask(0, "POST", "/checkin", &idle(2)).0, 200);
    let statuses = |w: &mut Simulation, sequence: u64, seconds_blind: f64| {
        locked(&w.service).out = true;
        // Nobody but this worker: time passes without the rest of the simulation.
        w.clock.fetch_add((seconds_blind * 1e6) as i64, Ordering::SeqCst);
        let body = idle(sequence);
        let ask = std::thread::spawn(move || {
            Client::new(addr, 0).call("POST", "/checkin", Some(body.as_bytes()), Micros(20 * SECOND))
        });
        let taken = |w: &Simulation| {
            let v = w.ask(0, "GET", "/status", "").1;
            let all = v["owner"]["machines"].as_array().cloned().unwrap_or_default();
            all.iter().any(|m| m["id"] == "i-000002" && m["report_s"].as_f64() == Some(0.0))
        };
        while !taken(w) && !ask.is_finished() {
            std::thread::yield_now();
        }
        w.clock.fetch_add(3 * SECOND, Ordering::SeqCst);
        node.plan_once();
        let status = ask.join().expect("no panic").expect("an answer").status;
        let now = w.now();
        locked(&w.service).back(now);
        w.run(5.0);
        status
    };
    assert_eq!(statuses(&mut w, 3, 10.0), 200, "within the bound it is answered");
    assert_eq!(statuses(&mut w, 4, 21.0), 503, "the bound was passed while the answer waited");
}
