//! The controller: accepts jobs, elects one leader among the controllers, scales the cloud's
//! machines out and in, and tells workers what to run.
//!
//! Each long-lived duty runs on a standard thread of its own, in a module of its own. All threads
//! share one lock ([`Controller::lock`]), which is never held during I/O: a duty copies what it needs,
//! lets go, does its I/O with a deadline, and takes the lock again to record the outcome, checking
//! that it still leads with the same fencing token.

mod announce;
mod borrowing;
mod catalog;
mod cells_status;
mod cloud;
mod commands;
mod error;
mod heartbeats;
mod latency;
mod leadership;
mod lending;
mod loan_writes;
mod peers;
mod planning;
mod status;
mod users;
mod watch;
mod writer;

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;

use rand::Rng;

pub use self::error::ControllerError;
use self::heartbeats::DeferredHeartbeatReply;
use self::latency::{histogram, Latencies};
use self::leadership::StateBudget;
pub use self::lending::LendingChoice;
use self::lending::OtherCellState;
pub use self::status::STATUS;
pub use self::writer::done_write_interval;
use crate::api::{self, RequestOrigin};
use crate::cancellation_notices::CancellationNotices;
use crate::cloud::CloudClient;
use crate::config::Config;
use crate::fleet::{Fleet, JobProgress};
use crate::http::{self, Reply, Request, RequestClass, Response};
use crate::jobs::MachineId;
use crate::leadership::{LeaderClaim, LeaderRecord};
use crate::live_jobs::LiveJobs;
use crate::peer::{InboundMessage, PeerHub};
use crate::records::FinalRecord;
use crate::state::StateStoreClient;
use crate::store_contact::StoreContact;
use crate::time::{Clock, Micros, Steady};
use crate::wire::{MachineType, HEALTH_PATH, HEARTBEAT_PATH, WRITE_OFF_PATH};

/// The state of the controller that leads and so owns the machines.
struct Leadership {
    /// Machines, jobs and the plan.
    fleet: Fleet,
    /// The claim by which it owns them.
    claim: LeaderClaim,
    /// Age of its knowledge of the state store, which limits how long it may act.
    view: StoreContact,
    /// When a worker's report was last accepted.
    last_heartbeat: Steady,
}

/// The state that all threads of a controller share.
#[derive(Default)]
struct SharedState {
    /// None while another controller leads, or nobody.
    leadership: Option<Leadership>,
    /// A claim has succeeded and its records are being read: reports wait for that a moment.
    claiming: bool,
    /// The leader, where known.
    leader: Option<LeaderRecord>,
    /// The highest fencing token seen.
    highest_fencing_token: u64,
    /// Versions of the other controllers, by label, as last told.
    peer_versions: BTreeMap<String, String>,
    /// The other cells, by name.
    other_cells: BTreeMap<String, OtherCellState>,
    /// Why messages of other cells were last refused, by their sender's name.
    refused_cells: BTreeMap<String, String>,
    /// The machine types, once known.
    machine_types: Option<Vec<MachineType>>,
    /// Final stages known to be written, with the revisions at which they were written.
    finals: BTreeMap<String, (FinalRecord, u64)>,
    /// The keys of `finals`, oldest first.
    finals_order: VecDeque<String>,
    /// Numbers of live jobs as the leader announced them.
    announced_counts: BTreeMap<String, JobProgress>,
    /// Reports of idle workers that are still to be answered.
    deferred_replies: BTreeMap<MachineId, DeferredHeartbeatReply>,
    /// When each worker was last sent to the leader.
    redirected: BTreeMap<String, Steady>,
    /// Until then users' requests are not relayed to other controllers.
    no_relay_until: Steady,
    /// When a message or an answer of another controller last came.
    last_peer_contact: Steady,
    /// After resigning this controller makes no claim until then, so that another can lead.
    no_claim_until: Steady,
}

impl SharedState {
    /// The leadership, if it is still the one that was claimed with this fencing token.
    fn leadership_with(&mut self, fencing_token: u64) -> Option<&mut Leadership> {
        self.leadership.as_mut().filter(|o| o.claim.fencing_token == fencing_token)
    }
}

/// Reads of the live jobs begin no closer together than this.
const MIN_POLL_READ_INTERVAL: Micros = Micros::from_millis(20);
/// Reads of the live jobs may always begin this far apart.
const MAX_POLL_READ_INTERVAL: Micros = Micros::from_millis(250);
/// Number of threads that answer the other controllers.
const PEER_THREADS: usize = 3;
/// Stack size of a duty's thread in bytes.
const DUTY_STACK: usize = 512 * 1024;

/// This program's version, told to the other controllers.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// The version of a controller that tells none.
const UNTOLD_VERSION: &str = "before 0.2";

/// The main function of a duty's thread.
type Duty = fn(&Controller);

/// A controller process: its settings, clients and the state that its duties share.
pub struct Controller {
    /// Settings.
    pub cfg: Arc<Config>,
    /// The state store.
    pub state: StateStoreClient,
    /// The live jobs, for polls.
    pub live: LiveJobs,
    cloud: CloudClient,
    /// Connections to the other controllers.
    peers: PeerHub,
    shared: Mutex<SharedState>,
    /// Notified when there is something to write, and when the leadership changes.
    wake: Condvar,
    /// Cancellations that other controllers have not acknowledged yet.
    notices: Mutex<CancellationNotices>,
    /// Notified when a cancellation was added to `notices`.
    notices_added: Condvar,
    /// Held while another cell's message changes what is borrowed.
    loan_changes: Mutex<()>,
    latencies: Mutex<Latencies>,
    stop: Arc<AtomicBool>,
    clock: Clock,
    /// Random number of this run of the process.
    incarnation: u64,
    started: Steady,
}

impl Controller {
    /// Listens on the addresses of the settings and runs until `stop` is set.
    pub fn run(cfg: Config, stop: Arc<AtomicBool>) -> Result<(), ControllerError> {
        let listener = bind(cfg.platform.serve_on)?;
        let internal = bind(cfg.platform.internal_addr)?;
        Controller::run_on(cfg, listener, internal, stop)
    }

    /// A controller whose duties are not started: the `*_once` methods each do one round of a duty.
    pub fn new(
        cfg: Config,
        peers: PeerHub,
        clock: Clock,
        stop: Arc<AtomicBool>,
    ) -> Result<Arc<Controller>, ControllerError> {
        let budget = StateBudget::new(&cfg, false);
        let p = &cfg.platform;
        let keep = Micros::from_secs(p.settings.workers.cancel_s);
        let now = clock.now();
        Ok(Arc::new(Controller {
            state: StateStoreClient::new(
                p.services.state,
                budget.requests_per_s,
                budget.writes_per_s,
                p.settings.state.next_rates(),
            ),
            // Half of what the others are allowed, at the most.
            live: LiveJobs::new(
                Micros::from_secs(2.0 / budget.requests_per_s.max(0.1))
                    .clamp(MIN_POLL_READ_INTERVAL, MAX_POLL_READ_INTERVAL),
            ),
            cloud: CloudClient::new(p.services.cloud, p.settings.cloud.rps * 0.8),
            notices: Mutex::new(CancellationNotices::new(peers.count(), keep)),
            notices_added: Condvar::new(),
            loan_changes: Mutex::new(()),
            peers,
            shared: Mutex::new(SharedState { last_peer_contact: now, ..SharedState::default() }),
            wake: Condvar::new(),
            latencies: Mutex::new(Latencies { users: histogram()?, workers: histogram()?, logged_at: now }),
            stop,
            incarnation: rand::rng().random_range(1..=u64::MAX >> 12),
            started: now,
            clock,
            cfg: Arc::new(cfg),
        }))
    }

    /// Runs on listeners that are already open until `stop` is set.
    pub fn run_on(
        cfg: Config,
        listener: TcpListener,
        internal: TcpListener,
        stop: Arc<AtomicBool>,
    ) -> Result<(), ControllerError> {
        let members = cfg.platform.members.iter().map(|m| m.addr).collect();
        let other_cells = cfg.operator.cells.as_ref().map(|cells| cells.addresses()).unwrap_or_default();
        let (peers, inbound) =
            PeerHub::start(internal, members, &other_cells).map_err(ControllerError::Peers)?;
        let controller = Controller::new(cfg, peers, Clock::Machine, stop)?;
        tracing::info!(label = %controller.cfg.platform.label, incarnation = controller.incarnation, "controller started");
        let duties = controller.start_duties(inbound).map_err(ControllerError::Thread)?;
        let limits = controller.cfg.server_limits();
        tracing::info!(
            connections = limits.connections,
            workers = limits.background_connections,
            threads = limits.interactive_threads + limits.background_threads,
            "connection limits"
        );
        let served = http::serve(listener, limits, controller.stop.clone(), controller.service());
        // Without callers there is nothing to serve: all else ends as well.
        controller.stop.store(true, Ordering::Relaxed);
        controller.wake.notify_all();
        for thread in duties {
            let _ = thread.join();
        }
        served.map_err(ControllerError::Serve)
    }

    /// Starts a thread for each duty.
    fn start_duties(
        self: &Arc<Controller>,
        inbound: Receiver<InboundMessage>,
    ) -> std::io::Result<Vec<JoinHandle<()>>> {
        let duties: [(&str, Duty); 9] = [
            ("keeper", Controller::keep_leadership),
            ("watcher", Controller::watch),
            ("writer", Controller::write),
            ("cloud", Controller::scale_out_and_in),
            ("list", Controller::refresh_cloud),
            ("announcer", Controller::announce),
            ("halts", Controller::send_halts),
            ("tokens", Controller::raise_fencing_tokens),
            ("planner", Controller::plan),
        ];
        let mut threads = Vec::new();
        for (name, duty) in duties {
            let controller = self.clone();
            threads.push(spawn_duty(name.into(), move || duty(&controller))?);
        }
        if self.cfg.operator.cells.is_some() {
            let controller = self.clone();
            threads.push(spawn_duty("lending".into(), move || controller.lend())?);
        }
        let inbound = Arc::new(Mutex::new(inbound));
        for i in 0..PEER_THREADS {
            let (controller, inbound) = (self.clone(), inbound.clone());
            threads.push(spawn_duty(format!("peer-{i}"), move || controller.answer_peers(&inbound))?);
        }
        Ok(threads)
    }

    /// What the HTTP server calls for each request.
    fn service(self: &Arc<Controller>) -> http::Service {
        let controller = self.clone();
        let handler = move |req: Request, reply: Reply| {
            let since = controller.now();
            let path = req.path.clone();
            controller.serve(&req, reply);
            if path != HEALTH_PATH {
                controller.record_latency(&path, since);
            }
        };
        let classify = |req: &Request| match req.path.as_str() {
            HEALTH_PATH => RequestClass::HealthCheck,
            HEARTBEAT_PATH => RequestClass::Background,
            _ => RequestClass::Interactive,
        };
        http::Service { classify, handler: Arc::new(handler) }
    }

    /// The present moment, as this controller's clock reads it.
    pub fn now(&self) -> Steady {
        self.clock.now()
    }

    /// Locks the shared state.
    fn lock(&self) -> MutexGuard<'_, SharedState> {
        // A panic elsewhere must not take the others along.
        self.shared.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether the controller is to end.
    fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sleeps, unless the controller is to end.
    fn sleep(&self, t: Micros) {
        if !self.stopping() {
            std::thread::sleep(t.std());
        }
    }

    /// Answers a request that came over a connection, now or a little later.
    pub fn serve(&self, req: &Request, reply: Reply) {
        if req.path == HEARTBEAT_PATH && req.method == "POST" {
            self.handle_heartbeat(req, Some(reply));
        } else {
            reply.send(&self.answer(req, false));
        }
    }

    /// Answers a request of a user, a worker or the load balancer.
    pub fn answer(&self, req: &Request, relayed: bool) -> Response {
        match req.path.as_str() {
            HEARTBEAT_PATH if req.method == "POST" => {
                let refused = || Response::error(503, "not now");
                self.handle_heartbeat(req, None).unwrap_or_else(refused)
            }
            HEALTH_PATH if req.method == "GET" => self.health(),
            HEARTBEAT_PATH | HEALTH_PATH => Response::error(405, "wrong method"),
            // For people on call, by the controllers' own interface: users' connections never
            // reach it.
            p if relayed && p.starts_with(STATUS) => self.status(req),
            p if relayed && p.starts_with(WRITE_OFF_PATH) => self.write_off(req),
            _ => {
                let origin = if relayed { RequestOrigin::Peer } else { RequestOrigin::User };
                api::handle(self, req, origin)
            }
        }
    }
}

/// Binds a listener to an address of the settings.
fn bind(addr: SocketAddr) -> Result<TcpListener, ControllerError> {
    TcpListener::bind(addr).map_err(|source| ControllerError::Listen { addr, source })
}

/// Starts a duty's thread.
fn spawn_duty(name: String, duty: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name).stack_size(DUTY_STACK).spawn(duty)
}
