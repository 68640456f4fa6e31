//! Whole controllers, a state store and a worker in simulated time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use milletlock::api::RequestOrigin;
use milletlock::config::{Config, OperatorConfig, PlatformConfig};
use milletlock::controller::{Controller, ScalingState};
use milletlock::http::Request;
use milletlock::peer::{OutboundMessage, PeerError, PeerHub};
use milletlock::time::{Clock, Micros, Steady};
use milletlock::wire::HeartbeatReply;
use serde_json::{json, Value};

use crate::common::servers::{recording_cloud, serve_some};
use crate::common::{platform_json, spec, LEASE};
use crate::state_store::StateStoreServer;
use crate::worker::Worker;

/// How far each step moves the time, in microseconds.
pub const STEP: i64 = 250_000;

/// A second in microseconds.
pub const SECOND: i64 = 1_000_000;

/// The worker sends heartbeats this often.
pub const HEARTBEAT_INTERVAL: i64 = 3 * SECOND;

/// Cancelled tasks must be gone so long after the confirmation.
pub const CANCEL_DEADLINE: i64 = 47 * SECOND;

/// The leader's lease.
pub const LEADER_LEASE: Micros = Micros(3 * SECOND);

/// Locks a mutex, whatever panicked with it.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

type Controllers = Arc<Mutex<Vec<Arc<Controller>>>>;

/// Three controllers, their state store and a worker.
pub struct Simulation {
    pub clock: Arc<AtomicI64>,
    pub store: Arc<Mutex<StateStoreServer>>,
    pub controllers: Controllers,
    /// Controllers that cannot hear one another.
    pub partitioned: Arc<AtomicBool>,
    pub ports: Vec<SocketAddr>,
    pub cloud: SocketAddr,
    /// Machines that the cloud was asked to take back.
    pub returned: Arc<Mutex<Vec<String>>>,
    pub worker: Arc<Mutex<Worker>>,
    /// When the user was told that the job is cancelled.
    pub confirmed_at: Option<i64>,
    pub steps: u64,
}

impl Simulation {
    /// Three controllers of which the first leads, and a job with two tasks that run on the worker.
    pub fn new() -> Simulation {
        let clock = Arc::new(AtomicI64::new(2_000 * SECOND));
        let store: Arc<Mutex<StateStoreServer>> = Arc::default();
        let port = |controller: usize| {
            let (store, clock) = (store.clone(), clock.clone());
            serve_some(move |r| lock(&store).reply(controller, &r, clock.load(Ordering::SeqCst)))
        };
        let ports = vec![port(0), port(1), port(2)];
        let now = clock.load(Ordering::SeqCst);
        let worker = Arc::new(Mutex::new(Worker::new("i-000001", now)));
        let (w, c) = (worker.clone(), clock.clone());
        let addr = serve_some(move |r| lock(&w).command(&r, c.load(Ordering::SeqCst)));
        lock(&worker).state.addr = addr.to_string();
        let returned: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut simulation = Simulation {
            clock,
            store,
            controllers: Arc::default(),
            partitioned: Arc::default(),
            ports,
            cloud: recording_cloud(returned.clone()),
            returned,
            worker,
            confirmed_at: None,
            steps: 0,
        };
        for i in 0..3 {
            let n = simulation.new_controller(i);
            lock(&simulation.controllers).push(n);
        }
        let submission = json!(spec(1, 2, "batch")).to_string();
        assert_eq!(simulation.call(1, "POST", "/api/jobs", &submission).0, 201);
        simulation.run_until("both tasks run", |w| lock(&w.worker).placed(1) == 2);
        assert_eq!(simulation.fencing_tokens(), [Some(1), None, None]);
        simulation
    }

    /// A controller that remembers nothing.
    fn new_controller(&self, i: usize) -> Arc<Controller> {
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
            let to =
                lock(&controllers).get(others[o.to]).cloned().filter(|_| !partitioned.load(Ordering::SeqCst));
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

    /// The time in microseconds.
    pub fn now(&self) -> i64 {
        self.clock.load(Ordering::SeqCst)
    }

    /// The controllers that run now.
    pub fn controllers(&self) -> Vec<Arc<Controller>> {
        lock(&self.controllers).clone()
    }

    /// Sends a request to a controller: its status and body.
    pub fn call(&self, controller: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let r = Request { method: method.into(), path: path.into(), body: body.into() };
        // Only the controllers' own interface shows the status.
        let origin = if path == "/status" { RequestOrigin::Peer } else { RequestOrigin::Http };
        let a = self.controllers()[controller].answer(&r, origin);
        (a.status, serde_json::from_slice(&a.body).unwrap_or(Value::Null))
    }

    /// The fencing tokens of those that take themselves for the leader.
    pub fn fencing_tokens(&self) -> Vec<Option<u64>> {
        (0..3).map(|i| self.call(i, "GET", "/status", "").1["owner"]["token"].as_u64()).collect()
    }

    /// The user cancels through a controller.
    pub fn cancel(&mut self, controller: usize) {
        let (status, v) = self.call(controller, "POST", "/api/jobs/wk-000001/withdraw", "{}");
        assert_eq!((status, v["stage"].as_str()), (200, Some("cancelled")));
        self.confirmed_at = Some(self.now());
    }

    /// A simulation in which the state store refuses some controllers and the second confirms a cancellation
    /// that no other hears of.
    pub fn with_an_unannounced_cancellation(refused: &[usize]) -> Simulation {
        let mut w = Simulation::new();
        w.partitioned.store(true, Ordering::SeqCst);
        w.refuse(refused);
        w.cancel(1);
        w
    }

    /// After 1.5 s the state store is out for all.
    pub fn begin_outage(&mut self) {
        self.run(1.5);
        lock(&self.store).unavailable = true;
    }

    /// A controller ends and is back at once, remembering nothing.
    pub fn restart(&mut self, controller: usize) {
        let again = self.new_controller(controller);
        lock(&self.controllers)[controller] = again;
    }

    /// The state store refuses these controllers, and no others.
    pub fn refuse(&self, nodes: &[usize]) {
        lock(&self.store).refused = nodes.iter().copied().collect();
    }

    /// Time goes on by a step for all.
    pub fn step(&mut self) {
        self.clock.fetch_add(STEP, Ordering::SeqCst);
        self.steps += 1;
        let now = self.now();
        lock(&self.store).expire(now);
        for n in self.controllers() {
            if self.steps % 4 == 0 {
                n.maintain_leadership_once(LEADER_LEASE);
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
        let w = lock(&self.worker);
        if let Some(confirmed_at) = self.confirmed_at.filter(|_| now >= w.frozen_until) {
            let late = (now - confirmed_at) as f64 / 1e6;
            assert!(
                now - confirmed_at <= CANCEL_DEADLINE || w.placed(1) == 0,
                "ran_cancelled: {late} s after the confirmation"
            );
        }
    }

    /// The worker's lease may end, and it sends a heartbeat if that is due.
    fn run_worker(&self, now: i64) {
        let (controller, heartbeat) = {
            let mut w = lock(&self.worker);
            if now < w.frozen_until {
                return;
            }
            w.state.end_session_after(LEASE, Steady(now));
            if now < w.due || w.heartbeats_lost {
                return;
            }
            w.due = now + HEARTBEAT_INTERVAL;
            (w.controller, w.state.heartbeat())
        };
        let body = serde_json::to_string(&heartbeat).expect("a heartbeat");
        let (status, v) = self.call(controller, "POST", "/checkin", &body);
        let mut w = lock(&self.worker);
        if status != 200 {
            // The next one, a second later.
            (w.controller, w.due) = ((w.controller + 1) % 3, now + SECOND);
            return;
        }
        let reply: HeartbeatReply = serde_json::from_value(v).expect("a reply");
        if w.state.accept_reply(reply.fencing_token, Steady(now)) {
            w.execute_commands(&reply.commands, now);
        }
    }

    /// So many seconds pass.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now() + (seconds * 1e6) as i64;
        while self.now() < end {
            self.step();
        }
    }

    /// So many seconds pass, in which a controller scales out and in twice a second.
    pub fn run_scaling(&mut self, controller: usize, seconds: f64) {
        let mut rounds = ScalingState::default();
        for _ in 0..(seconds * 2.0) as usize {
            self.run(0.5);
            self.controllers()[controller].scale_once(&mut rounds);
        }
    }

    /// Steps until a condition holds, for 40 s at the most.
    pub fn run_until(&mut self, what: &str, f: impl Fn(&Simulation) -> bool) {
        let end = self.now() + 40 * SECOND;
        while !f(self) {
            let seen = || (0..3).map(|i| self.call(i, "GET", "/status", "").1).collect::<Vec<_>>();
            assert!(self.now() < end, "never: {what}: {:?}", seen());
            self.step();
        }
    }

    /// Seconds from the confirmation until the tasks are gone.
    pub fn run_until_tasks_are_gone(&mut self) -> f64 {
        let confirmed_at = self.confirmed_at.expect("a confirmation");
        while lock(&self.worker).placed(1) > 0 {
            self.step();
        }
        (self.now() - confirmed_at) as f64 / 1e6
    }

    /// The state store goes out for all 1.5 s after the confirmation, for longer than `cancel_s`, and is
    /// back; the refused one is refused for 14 s in all. Returns when the tasks were gone.
    pub fn outage(&mut self) -> f64 {
        self.begin_outage();
        let gone = self.run_until_tasks_are_gone();
        let confirmed_at = self.confirmed_at.expect("a confirmation");
        let (until, unrefused) = (confirmed_at + 84 * SECOND, confirmed_at + 14 * SECOND);
        while self.now() < until {
            if self.now() > unrefused {
                self.refuse(&[]);
            }
            self.step();
        }
        let now = self.now();
        lock(&self.store).end_outage(now);
        // Back in touch nothing of the job starts again, and everybody replies alike.
        self.run(30.0);
        assert_eq!(lock(&self.worker).placed(1), 0);
        for i in 0..3 {
            assert_eq!(self.call(i, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled", "by c-{i}");
        }
        // A new job runs: the state store does not stand still.
        let submission = json!(spec(2, 2, "batch")).to_string();
        assert_eq!(self.call(2, "POST", "/api/jobs", &submission).0, 201);
        self.run_until("new work runs", |w| lock(&w.worker).placed(2) == 2);
        gone
    }
}
