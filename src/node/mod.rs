//! A controller: wires the duties together. Each long-lived duty has a routine of its own; all
//! share one lock around the owner's world, held only for computing.

mod announce;
mod catalog;
mod cloud;
mod commands;
mod latency;
mod ownership;
mod peers;
mod planning;
mod reports;
mod status;
mod users;
mod watch;
mod writer;

use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;

use rand::Rng;

use self::latency::{histogram, Latencies};
use self::ownership::state_budget;
use self::reports::DeferredReply;
pub use self::status::STATUS;
use crate::api;
use crate::cloud::CloudClient;
use crate::cluster::{Claim, Owner};
use crate::config::Config;
use crate::fleet::{Counts, Fleet};
use crate::http::{self, Lane, Reply, Request, Response};
use crate::jobs::{FinalRecord, MachineId};
use crate::live::LiveJobs;
use crate::notices::Notices;
use crate::peer::{Inbound, PeerHub};
use crate::state::StateClient;
use crate::time::{Clock, Micros, Steady};
use crate::view::View;
use crate::wire::{MachineType, HEALTH_PATH, REPORT_PATH};

/// What an owner has.
struct Ownership {
    fleet: Fleet,
    claim: Claim,
    /// How long it may still act without having looked.
    view: View,
    /// When a worker's report was last taken.
    last_report: Steady,
}

#[derive(Default)]
struct SharedState {
    ownership: Option<Ownership>,
    /// A claim is being made: reports wait for it a moment.
    claiming: bool,
    leader: Option<Owner>,
    highest_token: u64,
    machine_types: Option<Vec<MachineType>>,
    /// Final stages known to be written, with the revisions at which they were.
    finals: BTreeMap<String, (FinalRecord, u64)>,
    finals_order: VecDeque<String>,
    announced_counts: BTreeMap<String, Counts>,
    /// Idle workers whose reports wait for an answer.
    deferred_replies: BTreeMap<MachineId, DeferredReply>,
    redirected: BTreeMap<String, Steady>,
    no_relay_until: Steady,
    /// When another controller was last heard.
    last_peer_contact: Steady,
    /// After resigning, others go first.
    no_claim_until: Steady,
}

impl SharedState {
    /// The ownership, if it is still the one that was claimed with this token.
    fn owned_with(&mut self, token: u64) -> Option<&mut Ownership> {
        self.ownership.as_mut().filter(|o| o.claim.token == token)
    }
}

/// Reads of the live jobs begin no closer together than this.
const MIN_POLL_READ_INTERVAL: Micros = Micros::from_millis(20);
/// Reads of the live jobs may always begin this far apart.
const MAX_POLL_READ_INTERVAL: Micros = Micros::from_millis(250);
/// Threads that answer the other controllers.
const PEER_THREADS: usize = 3;
/// Stack of a duty's thread in bytes.
const DUTY_STACK: usize = 512 * 1024;

/// A long-lived routine of a controller.
type Duty = fn(&Node);

/// A controller.
pub struct Node {
    /// Settings.
    pub cfg: Arc<Config>,
    /// The state service.
    pub state: StateClient,
    /// The live jobs, for polls.
    pub live: LiveJobs,
    cloud: CloudClient,
    peers: PeerHub,
    shared: Mutex<SharedState>,
    wake: Condvar,
    /// Cancellations that the others are yet to be told of.
    notices: Mutex<Notices>,
    notices_added: Condvar,
    latencies: Mutex<Latencies>,
    stop: Arc<AtomicBool>,
    clock: Clock,
    incarnation: u64,
    started: Steady,
}

impl Node {
    /// Listens where the settings say, and runs.
    pub fn run(cfg: Config, stop: Arc<AtomicBool>) -> anyhow::Result<()> {
        let listener = TcpListener::bind(cfg.platform.serve_on)?;
        let internal = TcpListener::bind(cfg.platform.internal_addr)?;
        Node::run_on(cfg, listener, internal, stop)
    }

    /// A controller whose duties are not started: `turn` does each duty's next piece of work.
    pub fn new(
        cfg: Config,
        peers: PeerHub,
        clock: Clock,
        stop: Arc<AtomicBool>,
    ) -> anyhow::Result<Arc<Node>> {
        let (rps, writes) = state_budget(&cfg, false);
        let p = &cfg.platform;
        let keep = Micros::from_secs(p.settings.workers.cancel_s);
        let now = clock.now();
        Ok(Arc::new(Node {
            state: StateClient::new(p.services.state, rps, writes),
            // Half of what the others are allowed, at the most.
            live: LiveJobs::new(
                Micros::from_secs(2.0 / rps.max(0.1)).clamp(MIN_POLL_READ_INTERVAL, MAX_POLL_READ_INTERVAL),
            ),
            cloud: CloudClient::new(p.services.cloud, p.settings.cloud.rps * 0.8),
            notices: Mutex::new(Notices::new(peers.count(), keep)),
            notices_added: Condvar::new(),
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

    /// Starts all duties; returns when `stop` is set.
    pub fn run_on(
        cfg: Config,
        listener: TcpListener,
        internal: TcpListener,
        stop: Arc<AtomicBool>,
    ) -> anyhow::Result<()> {
        let (peers, inbound) =
            PeerHub::start(internal, cfg.platform.members.iter().map(|m| m.addr).collect())?;
        let node = Node::new(cfg, peers, Clock::Machine, stop)?;
        tracing::info!(label = %node.cfg.platform.label, incarnation = node.incarnation, "started");
        let duties = node.start_duties(inbound)?;
        let room = node.cfg.room();
        tracing::info!(
            connections = room.connections,
            workers = room.bulk_connections,
            threads = room.prompt_threads + room.bulk_threads,
            "room for callers"
        );
        let served = http::serve(listener, room, node.stop.clone(), node.service());
        // Without callers there is nothing to serve: all else ends as well.
        node.stop.store(true, Ordering::Relaxed);
        node.wake.notify_all();
        for t in duties {
            let _ = t.join();
        }
        Ok(served?)
    }

    /// Starts a thread for each duty.
    fn start_duties(self: &Arc<Node>, inbound: Receiver<Inbound>) -> std::io::Result<Vec<JoinHandle<()>>> {
        let duties: [(&str, Duty); 8] = [
            ("keeper", Node::keep),
            ("watcher", Node::watch),
            ("writer", Node::write),
            ("cloud", Node::rent_and_return),
            ("list", Node::refresh_cloud),
            ("announcer", Node::announce),
            ("commander", Node::command),
            ("planner", Node::plan),
        ];
        let mut threads = Vec::new();
        for (name, duty) in duties {
            let node = self.clone();
            threads.push(spawn_duty(name.into(), move || duty(&node))?);
        }
        let inbound = Arc::new(Mutex::new(inbound));
        for i in 0..PEER_THREADS {
            let (node, inbound) = (self.clone(), inbound.clone());
            threads.push(spawn_duty(format!("peer-{i}"), move || node.answer_peers(&inbound))?);
        }
        Ok(threads)
    }

    /// What the HTTP server calls for each request.
    fn service(self: &Arc<Node>) -> http::Service {
        let node = self.clone();
        let handler = move |req: Request, reply: Reply| {
            let since = node.now();
            let path = req.path.clone();
            node.serve(&req, reply);
            if path != HEALTH_PATH {
                node.record_latency(&path, since);
            }
        };
        let lane = |req: &Request| match req.path.as_str() {
            HEALTH_PATH => Lane::Probe,
            REPORT_PATH => Lane::Bulk,
            _ => Lane::Prompt,
        };
        http::Service { lane, handler: Arc::new(handler) }
    }

    /// The present moment, as this node reads it.
    pub fn now(&self) -> Steady {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        // A panic elsewhere must not take the others along.
        self.shared.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn sleep(&self, t: Micros) {
        if !self.stopping() {
            std::thread::sleep(t.std());
        }
    }

    /// Answers a request that came over a connection, now or a little later.
    pub fn serve(&self, req: &Request, reply: Reply) {
        if req.path == REPORT_PATH && req.method == "POST" {
            self.check_in(req, Some(reply));
        } else {
            reply.send(&self.answer(req, false));
        }
    }

    /// Answers a request of a user, a worker or the load balancer.
    pub fn answer(&self, req: &Request, relayed: bool) -> Response {
        match req.path.as_str() {
            REPORT_PATH if req.method == "POST" => {
                let refused = || Response::error(503, "not now");
                self.check_in(req, None).unwrap_or_else(refused)
            }
            HEALTH_PATH if req.method == "GET" => self.health(),
            REPORT_PATH | HEALTH_PATH => Response::error(405, "wrong method"),
            // For people on call, by the controllers' own interface: users' connections never
            // reach it.
            p if relayed && p.starts_with(STATUS) => self.status(req),
            _ => api::handle(self, req, relayed),
        }
    }
}

fn spawn_duty(name: String, duty: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name).stack_size(DUTY_STACK).spawn(duty)
}
