//! A simulation with three complete controllers, a state store and a worker in simulated time.

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

use crate::common::servers::{recording_cloud, serve_opt};
use crate::common::{platform_json, spec, LEASE};
use crate::state_store::StateStoreServer;
use crate::worker::Worker;

/// The time that passes in one step, in microseconds.
pub const STEP: i64 = 250_000;

/// A second in microseconds.
pub const SECOND: i64 = 1_000_000;

/// The worker's heartbeat interval, in microseconds.
pub const HEARTBEAT_INTERVAL: i64 = 3 * SECOND;

/// Longest time, in microseconds, from the confirmation of a cancellation until the job's tasks have
/// ended.
pub const CANCEL_DEADLINE: i64 = 47 * SECOND;

/// The duration of the leader's lease.
pub const LEADER_LEASE: Micros = Micros(3 * SECOND);

/// Locks a mutex, even if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

type Controllers = Arc<Mutex<Vec<Arc<Controller>>>>;

/// Three controllers, their state store and a worker.
pub struct Simulation {
    /// The time in microseconds.
    pub clock: Arc<AtomicI64>,
    pub store: Arc<Mutex<StateStoreServer>>,
    pub controllers: Controllers,
    /// Whether the controllers cannot reach one another.
    pub partitioned: Arc<AtomicBool>,
    /// The state store's address for each controller. The state store recognizes a controller by the address
    /// that the controller uses.
    pub ports: Vec<SocketAddr>,
    pub cloud: SocketAddr,
    /// The machines that the controllers have asked the cloud to end.
    pub returned: Arc<Mutex<Vec<String>>>,
    pub worker: Arc<Mutex<Worker>>,
    /// When the cancellation was confirmed to the user.
    pub confirmed_at: Option<i64>,
    /// Number of steps so far.
    pub steps: u64,
}

impl Simulation {
    /// A simulation in which the first of three controllers leads, and the two tasks of a job run on the
    /// worker.
    pub fn new() -> Simulation {
        let clock = Arc::new(AtomicI64::new(2_000 * SECOND));
        let store: Arc<Mutex<StateStoreServer>> = Arc::default();
        let port = |controller: usize| {
            let (store, clock) = (store.clone(), clock.clone());
            serve_opt(move |request| lock(&store).reply(controller, &request, clock.load(Ordering::SeqCst)))
        };
        let ports = vec![port(0), port(1), port(2)];
        let now = clock.load(Ordering::SeqCst);
        let worker = Arc::new(Mutex::new(Worker::new("i-000001", now)));
        let (w, c) = (worker.clone(), clock.clone());
        let addr = serve_opt(move |r| lock(&w).command(&r, c.load(Ordering::SeqCst)));
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
            let controller = simulation.new_controller(i);
            lock(&simulation.controllers).push(controller);
        }
        let submission = json!(spec(1, 2, "batch")).to_string();
        assert_eq!(simulation.call(1, "POST", "/api/jobs", &submission).0, 201);
        simulation.run_until("both tasks run", |simulation| lock(&simulation.worker).placed(1) == 2);
        assert_eq!(simulation.fencing_tokens(), [Some(1), None, None]);
        simulation
    }

    /// A controller that has just been started.
    fn new_controller(&self, i: usize) -> Arc<Controller> {
        let mut settings = platform_json();
        let others: Vec<usize> = (0..3).filter(|other| *other != i).collect();
        settings["label"] = json!(format!("c-{i}"));
        settings["services"] = json!({ "cloud": self.cloud, "state": self.ports[i] });
        let member = |o: &usize| json!({ "label": format!("c-{o}"), "addr": format!("127.0.0.1:{}", 2 + o) });
        settings["members"] = others.iter().map(member).collect();
        // The client of the state store limits its rate by the machine's clock, not by simulated time. The
        // limits must not delay the simulation.
        settings["settings"]["state"]["rps"] = json!(1e6);
        settings["settings"]["state"]["write_rps"] = json!(1e6);
        let platform = PlatformConfig::parse(&settings.to_string(), "test").expect("settings");
        let cfg = Config { platform, operator: OperatorConfig::default() };
        let (controllers, partitioned) = (self.controllers.clone(), self.partitioned.clone());
        let carry = move |message: OutboundMessage| {
            let to = lock(&controllers)
                .get(others[message.to])
                .cloned()
                .filter(|_| !partitioned.load(Ordering::SeqCst));
            let answer = to
                .map(|controller| controller.handle_peer_message(&message.message))
                .ok_or(PeerError::TimedOut);
            message.answer(answer);
            Ok(())
        };
        let controller = Controller::new(
            cfg,
            PeerHub::with_transport(2, carry),
            Clock::Manual(self.clock.clone()),
            Arc::default(),
        );
        let controller = controller.expect("a controller");
        assert!(controller.load_machine_types_once());
        controller
    }

    /// The time in microseconds.
    pub fn now(&self) -> i64 {
        self.clock.load(Ordering::SeqCst)
    }

    /// The running controllers.
    pub fn controllers(&self) -> Vec<Arc<Controller>> {
        lock(&self.controllers).clone()
    }

    /// Sends a request to a controller; returns the response's status code and body.
    pub fn call(&self, controller: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let request = Request { method: method.into(), path: path.into(), body: body.into() };
        // The status is only available on the interface between the controllers.
        let origin = if path == "/status" { RequestOrigin::Peer } else { RequestOrigin::Http };
        let response = self.controllers()[controller].answer(&request, origin);
        (response.status, serde_json::from_slice(&response.body).unwrap_or(Value::Null))
    }

    /// For each controller, its fencing token if it considers itself the leader.
    pub fn fencing_tokens(&self) -> Vec<Option<u64>> {
        (0..3).map(|i| self.call(i, "GET", "/status", "").1["owner"]["token"].as_u64()).collect()
    }

    /// The user cancels the job through a controller.
    pub fn cancel(&mut self, controller: usize) {
        let (status, body) = self.call(controller, "POST", "/api/jobs/wk-000001/withdraw", "{}");
        assert_eq!((status, body["stage"].as_str()), (200, Some("cancelled")));
        self.confirmed_at = Some(self.now());
    }

    /// A simulation in which the state store refuses some controllers, and the second controller confirms a
    /// cancellation whose notices reach no other controller.
    pub fn with_an_unannounced_cancellation(refused: &[usize]) -> Simulation {
        let mut simulation = Simulation::new();
        simulation.partitioned.store(true, Ordering::SeqCst);
        simulation.refuse(refused);
        simulation.cancel(1);
        simulation
    }

    /// Runs for 1.5 s, then makes the state store unavailable to all controllers.
    pub fn begin_outage(&mut self) {
        self.run(1.5);
        lock(&self.store).unavailable = true;
    }

    /// Replaces a controller by one that has just been started.
    pub fn restart(&mut self, controller: usize) {
        let again = self.new_controller(controller);
        lock(&self.controllers)[controller] = again;
    }

    /// Makes the state store refuse these controllers, and no others.
    pub fn refuse(&self, refused_controllers: &[usize]) {
        lock(&self.store).refused = refused_controllers.iter().copied().collect();
    }

    /// Advances the time by one step, in which all controllers and the worker act.
    pub fn step(&mut self) {
        self.clock.fetch_add(STEP, Ordering::SeqCst);
        self.steps += 1;
        let now = self.now();
        lock(&self.store).expire(now);
        for controller in self.controllers() {
            if self.steps % 4 == 0 {
                controller.maintain_leadership_once(LEADER_LEASE);
                controller.announce_once();
            }
            controller.watch_once();
            controller.write_once();
            controller.plan_once();
            controller.send_commands_once();
            controller.send_cancellations_once();
        }
        self.run_worker(now);
        // Checks the invariant ran_cancelled. Tasks of a frozen machine are checked when the machine resumes.
        let worker = lock(&self.worker);
        if let Some(confirmed_at) = self.confirmed_at.filter(|_| now >= worker.frozen_until) {
            let late = (now - confirmed_at) as f64 / 1e6;
            assert!(
                now - confirmed_at <= CANCEL_DEADLINE || worker.placed(1) == 0,
                "ran_cancelled: {late} s after the confirmation"
            );
        }
    }

    /// Ends the worker's session if its lease has expired, and sends its heartbeat if one is due.
    fn run_worker(&self, now: i64) {
        let (controller, heartbeat) = {
            let mut worker = lock(&self.worker);
            if now < worker.frozen_until {
                return;
            }
            worker.state.end_session_after(LEASE, Steady(now));
            if now < worker.due || worker.heartbeats_lost {
                return;
            }
            worker.due = now + HEARTBEAT_INTERVAL;
            (worker.controller, worker.state.heartbeat())
        };
        let body = serde_json::to_string(&heartbeat).expect("a heartbeat");
        let (status, reply_body) = self.call(controller, "POST", "/checkin", &body);
        let mut worker = lock(&self.worker);
        if status != 200 {
            // The worker tries the next controller a second later.
            (worker.controller, worker.due) = ((worker.controller + 1) % 3, now + SECOND);
            return;
        }
        let reply: HeartbeatReply = serde_json::from_value(reply_body).expect("a reply");
        if worker.state.accept_reply(reply.fencing_token, Steady(now)) {
            worker.execute_commands(&reply.commands, now);
        }
    }

    /// Runs the simulation for this many seconds.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now() + (seconds * 1e6) as i64;
        while self.now() < end {
            self.step();
        }
    }

    /// Runs the simulation for this many seconds, in which one controller scales out and in twice a second.
    pub fn run_scaling(&mut self, controller: usize, seconds: f64) {
        let mut scaling = ScalingState::default();
        for _ in 0..(seconds * 2.0) as usize {
            self.run(0.5);
            self.controllers()[controller].scale_once(&mut scaling);
        }
    }

    /// Runs the simulation until a condition holds; fails after 40 s. The failure message contains
    /// `description`.
    pub fn run_until(&mut self, description: &str, condition: impl Fn(&Simulation) -> bool) {
        let end = self.now() + 40 * SECOND;
        while !condition(self) {
            let statuses = || (0..3).map(|i| self.call(i, "GET", "/status", "").1).collect::<Vec<_>>();
            assert!(
                self.now() < end,
                "did not happen within 40 s: {description}; status of the controllers: {:?}",
                statuses()
            );
            self.step();
        }
    }

    /// Runs the simulation until the job's tasks have ended. Returns the seconds since the
    /// confirmation.
    pub fn run_until_tasks_are_gone(&mut self) -> f64 {
        let confirmed_at = self.confirmed_at.expect("a confirmation");
        while lock(&self.worker).placed(1) > 0 {
            self.step();
        }
        (self.now() - confirmed_at) as f64 / 1e6
    }

    /// Makes the state store unavailable to all controllers after 1.5 s, for longer than `cancel_s`.
    /// Controllers that the state store refused before are refused until 14 s after the confirmation.
    /// After the outage, checks that nothing of the cancelled job starts again and that a new job runs.
    /// Returns the seconds from the confirmation until the job's tasks had ended.
    pub fn outage(&mut self) -> f64 {
        self.begin_outage();
        let ended_after_s = self.run_until_tasks_are_gone();
        let confirmed_at = self.confirmed_at.expect("a confirmation");
        let (outage_until, refused_until) = (confirmed_at + 84 * SECOND, confirmed_at + 14 * SECOND);
        while self.now() < outage_until {
            if self.now() > refused_until {
                self.refuse(&[]);
            }
            self.step();
        }
        let now = self.now();
        lock(&self.store).end_outage(now);
        // After the outage no task of the job starts again, and all controllers give the same reply.
        self.run(30.0);
        assert_eq!(lock(&self.worker).placed(1), 0);
        for i in 0..3 {
            assert_eq!(self.call(i, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled", "by c-{i}");
        }
        // A new job can run, so the cluster works again.
        let submission = json!(spec(2, 2, "batch")).to_string();
        assert_eq!(self.call(2, "POST", "/api/jobs", &submission).0, 201);
        self.run_until("new work runs", |simulation| lock(&simulation.worker).placed(2) == 2);
        ended_after_s
    }
}
