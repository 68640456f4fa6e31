//! A controller: wires the duties together. Each long-lived duty has a routine of its own; all
//! share one lock around the owner's world, held only for computing.

use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::Rng;
use serde_json::json;

use crate::api;
use crate::cloud::{CloudClient, CloudError};
use crate::cluster::{self, Batch, Claim, Owner, LEADER, PART};
use crate::config::{Config, RAISERS};
use crate::fleet::{CheckIn, Counts, Fleet, Pending};
use crate::http::{self, Client, Lane, Reply, Request, Response};
use crate::jobs::{chunk_tasks, FinalRecord, JobId, JobRecord, MachineId};
use crate::live::LiveJobs;
use crate::notices::{Cancellation, Notices};
use crate::peer::{self, Ack, Answer, Call, Inbound, JobCounts, JobNews, Message, Outcome, PeerHub, Summary};
use crate::state::{Applied, StateClient, StateError, Urgency};
use crate::time::{wall, Clock, Micros, Steady};
use crate::view::View;
use crate::wire::{
    is_job_id, Change, Commands, Event, Guard, MachineType, Order, RentRequest, Report, ReportReply, Stage,
    Txn,
};

/// What an owner has.
struct Own {
    fleet: Fleet,
    claim: Claim,
    /// How long it may still act without having looked.
    view: View,
    /// When a worker's report was last taken.
    last_report: Steady,
}

/// A report that is answered when a start for its worker comes up, or after a while.
struct Later {
    report: Report,
    token: u64,
    until: Steady,
    reply: Reply,
}

#[derive(Default)]
struct Core {
    own: Option<Own>,
    /// A claim is being made: reports wait for it a moment.
    claiming: bool,
    leader: Option<Owner>,
    highest: u64,
    types: Option<Vec<MachineType>>,
    /// Final stages known to be written, with the revisions at which they were.
    finals: BTreeMap<String, (FinalRecord, u64)>,
    finals_order: VecDeque<String>,
    counts: BTreeMap<String, Counts>,
    /// Idle workers whose reports wait for an answer.
    waiting: BTreeMap<MachineId, Later>,
    redirected: BTreeMap<String, Steady>,
    no_relay_until: Steady,
    /// When another controller was last heard.
    last_peer: Steady,
    /// After resigning, others go first.
    hold_off: Steady,
}

/// Path of the status view between controllers; a team's name may follow.
pub const STATUS: &str = "/status";

struct Latencies {
    users: Histogram<u64>,
    workers: Histogram<u64>,
    said: Steady,
}

const FINALS_KEPT: usize = 20_000;
/// Reads for polls begin no closer together than the first and no further than the second.
const POLLS_APART: (Micros, Micros) = (Micros::from_millis(20), Micros::from_millis(250));
/// How often the others are told who leads.
const ANNOUNCE_EVERY: Micros = Micros::from_millis(1000);
/// When one that did not answer is told of cancellations again.
const TELL_AGAIN: Micros = Micros::from_millis(300);
/// After this without a word from another controller, whether one can be heard is asked.
const PEER_QUIET: Micros = Micros::from_millis(1500);
/// After this without a word, asked for or not, none can be heard.
const PEER_LOST: Micros = Micros::from_millis(4500);
/// After this without an answer the state service counts as lost.
const STATE_LOST: Micros = Micros::from_millis(1500);
/// How long the answer to an idle worker's report waits for a start at the most; the worker gives
/// up after four seconds.
const ANSWER_WITHIN: Micros = Micros::from_millis(2500);
/// Most machines in one request for some.
const MOST_RENTED: u32 = 50;
/// Most machines in one request to return some.
const MOST_RETURNED: usize = 100;
/// How often the done ranges of a job that goes on are written; its workers keep the results.
const DONE_EVERY: Micros = Micros::from_millis(12_000);

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
    core: Mutex<Core>,
    wake: Condvar,
    /// Cancellations that the others are yet to be told of.
    notices: Mutex<Notices>,
    told: Condvar,
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
        let (rps, writes) = share(&cfg, false);
        let p = &cfg.platform;
        let keep = Micros::from_secs(p.settings.workers.cancel_s);
        let now = clock.now();
        Ok(Arc::new(Node {
            state: StateClient::new(p.services.state, rps, writes, p.settings.state.next_rates()),
            // Half of what the others are allowed, at the most.
            live: LiveJobs::new(Micros::from_secs(2.0 / rps.max(0.1)).clamp(POLLS_APART.0, POLLS_APART.1)),
            cloud: CloudClient::new(p.services.cloud, p.settings.cloud.rps * 0.8),
            notices: Mutex::new(Notices::new(peers.count(), keep)),
            told: Condvar::new(),
            peers,
            core: Mutex::new(Core { last_peer: now, ..Core::default() }),
            wake: Condvar::new(),
            latencies: Mutex::new(Latencies { users: histogram()?, workers: histogram()?, said: now }),
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
        let mut duties = Vec::new();
        let mut duty = |name: &str, f: fn(&Node)| -> std::io::Result<()> {
            let n = node.clone();
            let t =
                std::thread::Builder::new().name(name.into()).stack_size(512 * 1024).spawn(move || f(&n))?;
            duties.push(t);
            Ok(())
        };
        duty("keeper", Node::keep)?;
        duty("watcher", Node::watch)?;
        duty("writer", Node::write)?;
        duty("cloud", Node::tend)?;
        duty("list", Node::list)?;
        duty("announcer", Node::announce)?;
        duty("commander", Node::command)?;
        duty("planner", Node::plan)?;
        let inbound = Arc::new(Mutex::new(inbound));
        for i in 0..3 {
            let (n, inbound) = (node.clone(), inbound.clone());
            let t = std::thread::Builder::new()
                .name(format!("peer-{i}"))
                .stack_size(512 * 1024)
                .spawn(move || n.answer_peers(&inbound))?;
            duties.push(t);
        }
        let n = node.clone();
        let handler = move |r: Request, reply: Reply| {
            let since = n.now();
            let path = r.path.clone();
            n.serve(&r, reply);
            if path != "/up" {
                n.timed(&path, since);
            }
        };
        let lane = |r: &Request| match r.path.as_str() {
            "/up" => Lane::Probe,
            "/checkin" => Lane::Bulk,
            _ => Lane::Prompt,
        };
        let service = http::Service { lane, handler: Arc::new(handler) };
        let room = node.cfg.room();
        tracing::info!(
            connections = room.connections,
            workers = room.bulk_connections,
            threads = room.prompt_threads + room.bulk_threads,
            "room for callers"
        );
        let served = http::serve(listener, room, node.stop.clone(), service);
        // Without callers there is nothing to serve: all else ends as well.
        node.stop.store(true, Ordering::Relaxed);
        node.wake.notify_all();
        for t in duties {
            let _ = t.join();
        }
        Ok(served?)
    }

    /// The present moment, as this node reads it.
    pub fn now(&self) -> Steady {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        // A panic elsewhere must not take the others along.
        self.core.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn sleep(&self, t: Micros) {
        if !self.stopping() {
            std::thread::sleep(t.std());
        }
    }

    // ---- requests ----

    /// Answers a request that came over a connection, now or a little later.
    pub fn serve(&self, req: &Request, reply: Reply) {
        if req.path == "/checkin" && req.method == "POST" {
            self.check_in(req, Some(reply));
        } else {
            reply.send(&self.answer(req, false));
        }
    }

    /// Answers a request of a user, a worker or the load balancer.
    pub fn answer(&self, req: &Request, relayed: bool) -> Response {
        match req.path.as_str() {
            "/checkin" if req.method == "POST" => {
                let refused = || Response::error(503, "not now");
                self.check_in(req, None).unwrap_or_else(refused)
            }
            "/up" if req.method == "GET" => self.up(),
            "/checkin" | "/up" => Response::error(405, "wrong method"),
            // For people on call, by the controllers' own interface: users' connections never
            // reach it.
            p if relayed && p.starts_with(STATUS) => self.status(req),
            _ => api::handle(self, req, relayed),
        }
    }

    fn status(&self, req: &Request) -> Response {
        let team = req.path.strip_prefix(STATUS).and_then(|r| r.strip_prefix('/'));
        let core = self.lock();
        let me = &self.cfg.platform.label;
        let leader = core.leader.as_ref().map(|l| l.label.clone());
        if let Some(own) = &core.own {
            let out_of_touch = own.view.age(self.now()).secs();
            let view = own.fleet.status(team, self.now(), wall());
            let parts = json!([{ "part": 0, "owner": me, "token": own.claim.token }]);
            let body = json!({
                "node": me, "leader": leader, "parts": parts, "state_seen_s_ago": out_of_touch, "owner": view,
            });
            return Response::json(200, &body);
        }
        Response::json(200, &json!({ "node": me, "leader": leader, "owner": null }))
    }

    /// Keeps how long a request took, and now and then says how long they take.
    fn timed(&self, path: &str, since: Steady) {
        let took = (self.now() - since).0.clamp(1, 60_000_000) as u64;
        let mut l = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        let h = if path == "/checkin" { &mut l.workers } else { &mut l.users };
        // Within the bounds by the clamp above.
        let _ = h.record(took);
        if (self.now() - l.said).secs() < 60.0 {
            return;
        }
        for (who, h) in [("users", &l.users), ("workers", &l.workers)] {
            if !h.is_empty() {
                tracing::info!(
                    who,
                    answers = h.len(),
                    p50_us = h.value_at_quantile(0.5),
                    p99_us = h.value_at_quantile(0.99),
                    max_us = h.max(),
                    "answer times of the last minute"
                );
            }
        }
        l.users.reset();
        l.workers.reset();
        l.said = self.now();
    }

    /// Whether users are well served here. Cut off from the state service and all others it can
    /// answer nothing but 503, while the others may serve; an outage for all is not told by being
    /// unhealthy, since it would take the longer to come back.
    fn up(&self) -> Response {
        let core = self.lock();
        if core.types.is_none() {
            return Response::error(503, "starting");
        }
        let unheard = self.now() - core.last_peer;
        let lost = self.state.out_of_reach() > STATE_LOST;
        if lost && self.peers.count() > 0 && unheard > PEER_LOST {
            return Response::error(503, "cut off from the state service and the other controllers");
        }
        Response::json(200, &json!({ "up": true }))
    }

    /// Takes a report. With a way back it is answered here, now or later; without one, as for a
    /// report that another controller carries, the answer is returned.
    fn check_in(&self, req: &Request, reply: Option<Reply>) -> Option<Response> {
        let (answer, reply) = self.take_report(req, reply);
        match (answer, reply) {
            (Some(a), Some(reply)) => {
                reply.send(&a);
                None
            }
            (a, _) => a,
        }
    }

    /// What a report is answered with; nothing if that waits, with the way back, for a start.
    fn take_report(&self, req: &Request, reply: Option<Reply>) -> (Option<Response>, Option<Reply>) {
        let report: Report = match serde_json::from_slice(&req.body) {
            Ok(r) => r,
            Err(e) => {
                tracing::error!(error = %e, "a worker's report cannot be read");
                return (Some(Response::error(400, &e.to_string())), reply);
            }
        };
        let now = self.now();
        let mut core = self.lock();
        while core.claiming && core.own.is_none() && (self.now() - now).secs() < 1.5 {
            core = match self.wake.wait_timeout(core, Duration::from_millis(200)) {
                Ok((g, _)) => g,
                Err(e) => e.into_inner().0,
            };
        }
        let now = self.now();
        if let Some(own) = core.own.as_mut() {
            if !own.view.may_act(now) {
                // Cancellations cannot be seen any more: leases must be let run out.
                own.fleet.not_answered(&report.machine, now);
                let refused = Response::error(503, "out of touch with the state service");
                return (Some(refused), reply);
            }
            own.last_report = now;
            let token = own.claim.token;
            let answer = match own.fleet.check_in(&report, now, wall()) {
                CheckIn::Reply(r) => {
                    // Other workers report when something changes, and must not be kept from it.
                    let id: MachineId = report.machine.as_str().into();
                    if r.orders.is_empty() && own.fleet.may_wait(&id, now) {
                        if let Some(reply) = reply {
                            let later = Later { report, token, until: now + ANSWER_WITHIN, reply };
                            // A second report takes the place of the first: its worker gave up.
                            core.waiting.insert(id, later);
                            return (None, None);
                        }
                    }
                    Response::json(200, &r)
                }
                CheckIn::Refuse => Response::error(503, "not now"),
                CheckIn::Superseded(token) => {
                    self.step_down(&mut core, token, "a worker has seen a higher token");
                    Response::error(503, "not the owner")
                }
            };
            return (Some(answer), reply);
        }
        if reply.is_none() {
            return (Some(Response::error(503, "not the owner")), None);
        }
        let Some(leader) = core.leader.clone().filter(|l| l.label != self.cfg.platform.label) else {
            return (Some(Response::error(503, "no owner known")), reply);
        };
        core.redirected.retain(|_, at| (now - *at).secs() < 30.0);
        let again = core.redirected.get(&report.machine).is_some_and(|at| (now - *at).secs() < 12.0);
        if !again {
            core.redirected.insert(report.machine.clone(), now);
            return (Some(Response::json(421, &json!({ "steward": leader.label }))), reply);
        }
        drop(core);
        // It was sent to the owner and is back: it cannot get through, so its report is carried.
        let to = self.cfg.platform.members.iter().position(|m| m.label == leader.label);
        let answer = match to.and_then(|to| self.relay(to, req, Micros::from_millis(2500))) {
            Some(r) => r,
            None => Response::error(503, "the owner does not answer"),
        };
        (Some(answer), reply)
    }

    /// Answers those idle workers for whom a start may leave now, or who waited long enough.
    fn answer_waiting(&self) {
        let mut core = self.lock();
        let Core { own, waiting, .. } = &mut *core;
        let now = self.now();
        let own = own.as_mut().filter(|o| o.view.may_act(now));
        let token = own.as_ref().map(|o| o.claim.token);
        let due: Vec<MachineId> = waiting
            .iter()
            .filter(|(id, w)| {
                Some(w.token) != token
                    || now >= w.until
                    || own.as_ref().is_some_and(|o| o.fleet.start_waits(id))
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut answers = Vec::new();
        if let Some(own) = own {
            for id in &due {
                let Some(w) = waiting.get(id).filter(|w| w.token == own.claim.token) else { continue };
                let orders = own.fleet.later(&w.report, now, wall());
                if orders.is_empty() && now < w.until {
                    continue;
                }
                if let Some(w) = waiting.remove(id) {
                    answers.push((w.reply, Response::json(200, &ReportReply { token: w.token, orders })));
                }
            }
        }
        // Of an earlier time as owner, or while the state service is out of sight.
        let lost = due.iter().filter(|id| waiting.get(*id).is_some_and(|w| Some(w.token) != token));
        for id in lost.cloned().collect::<Vec<_>>() {
            if let Some(w) = waiting.remove(&id) {
                answers.push((w.reply, Response::error(503, "not the owner")));
            }
        }
        drop(core);
        for (reply, r) in answers {
            reply.send(&r);
        }
    }

    fn relay(&self, to: usize, req: &Request, timeout: Micros) -> Option<Response> {
        let call = Call { method: req.method.clone(), path: req.path.clone(), body: req.body.clone() };
        match self.peers.call(to, Message::Relay(call), timeout) {
            Ok(Outcome::Answer(a)) => Some(Response {
                status: u16::try_from(a.status).unwrap_or(503),
                body: a.body,
                retry_after: (a.retry_after > 0).then_some(a.retry_after),
            }),
            _ => None,
        }
    }

    /// Has another controller answer a user whom this one cannot.
    pub fn relay_to_any(&self, req: &Request) -> Option<Response> {
        if self.now() < self.lock().no_relay_until {
            return None;
        }
        for to in 0..self.peers.count() {
            if let Some(r) = self.relay(to, req, Micros::from_millis(900)).filter(|r| r.status != 503) {
                return Some(r);
            }
        }
        // Most likely the state service is out for all: no need to ask each time.
        self.lock().no_relay_until = self.now() + Micros::from_secs(2.0);
        None
    }

    /// A final stage that is known to be written, and the revision at which it was.
    pub fn final_of(&self, id: &str) -> Option<(FinalRecord, u64)> {
        self.lock().finals.get(id).copied()
    }

    /// Keeps a final stage; final stages never change.
    pub fn learn_final(&self, id: &str, f: FinalRecord, revision: u64) {
        let mut core = self.lock();
        if core.finals.contains_key(id) {
            return;
        }
        if core.finals.insert(id.to_string(), (f, revision)).is_none() {
            core.finals_order.push_back(id.to_string());
            if core.finals_order.len() > FINALS_KEPT {
                if let Some(old) = core.finals_order.pop_front() {
                    core.finals.remove(&old);
                }
            }
        }
    }

    /// Machine types, once known.
    pub fn types(&self) -> Option<Vec<MachineType>> {
        self.lock().types.clone()
    }

    /// Numbers of a live job: the owner's own, or those it announced.
    pub fn counts(&self, id: &str) -> Counts {
        let core = self.lock();
        match &core.own {
            Some(own) => own.fleet.counts(id).unwrap_or_default(),
            None => core.counts.get(id).copied().unwrap_or_default(),
        }
    }

    /// A job was written by this node: the owner is told.
    pub fn job_written(&self, id: &str, record: JobRecord, revision: u64) {
        let to = {
            let mut core = self.lock();
            if let Some(own) = core.own.as_mut() {
                own.fleet.job_put(record, revision, self.now());
                self.wake.notify_all();
                return;
            }
            let leader = core.leader.as_ref().map(|l| l.label.clone());
            self.cfg.platform.members.iter().position(|m| Some(&m.label) == leader.as_ref())
        };
        let Some(to) = to else { return };
        let record = serde_json::to_vec(&record).unwrap_or_default();
        // Not waited for: the owner's watch sees it in any case, a little later.
        let _ = self.peers.begin(
            to,
            Message::Notify(JobNews { id: id.to_string(), record, revision }),
            Micros::from_millis(1000),
        );
    }

    /// This node confirms to a user that a job is cancelled: its tasks are stopped here, and all
    /// others are told, whoever of them has the machines.
    pub fn cancellation_confirmed(&self, id: &str, f: FinalRecord, revision: u64) {
        if self.peers.count() > 0 {
            let since = self.now();
            let c = Cancellation { id: id.to_string(), tasks: f.tasks, revision, since };
            self.notices.lock().unwrap_or_else(|e| e.into_inner()).add(&c);
            self.told.notify_one();
        }
        self.cancelled_at(id, f, revision);
    }

    fn cancelled_at(&self, id: &str, f: FinalRecord, revision: u64) {
        self.learn_final(id, f, revision);
        if let Some(own) = self.lock().own.as_mut() {
            own.fleet.job_over(id, revision);
            self.wake.notify_all();
        }
    }

    /// Tells each of the others what it does not know yet; false if one did not answer.
    pub fn tell_once(&self) -> bool {
        let due = self.notices.lock().unwrap_or_else(|e| e.into_inner()).due(self.now());
        let sent: Vec<_> = due
            .into_iter()
            .map(|(to, batch)| {
                let one = |c: &Cancellation| peer::Cancellation {
                    id: c.id.clone(),
                    tasks: c.tasks,
                    revision: c.revision,
                };
                let message =
                    Message::Cancelled(peer::Cancellations { jobs: batch.iter().map(one).collect() });
                (to, self.peers.begin(to, message, Micros::from_millis(900)), batch)
            })
            .collect();
        let mut all = true;
        for (to, waiting, batch) in sent {
            match waiting.and_then(|w| w.wait()) {
                Ok(Outcome::Ack(a)) => {
                    self.notices.lock().unwrap_or_else(|e| e.into_inner()).answered(to, &batch);
                    self.heard_token(a.token);
                }
                Ok(Outcome::Answer(_)) => all = false,
                Err(e) => {
                    tracing::debug!(to, error = %e, "could not be told of cancellations yet");
                    all = false;
                }
            }
        }
        all
    }

    /// Another controller has answered, and knows this token.
    fn heard_token(&self, token: u64) {
        let mut core = self.lock();
        core.last_peer = self.now();
        if token > core.highest {
            self.step_down(&mut core, token, "another controller knows a higher token");
        }
    }

    // ---- other controllers ----

    fn answer_peers(&self, inbound: &Mutex<Receiver<Inbound>>) {
        while !self.stopping() {
            let next =
                inbound.lock().unwrap_or_else(|e| e.into_inner()).recv_timeout(Duration::from_millis(500));
            let msg = match next {
                Ok(m) => m,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let out = self.hear(&msg.message);
            msg.answer(out);
        }
    }

    /// Answers what another controller says.
    pub fn hear(&self, m: &Message) -> Outcome {
        self.lock().last_peer = self.now();
        match m {
            Message::Announce(s) => self.announced(s),
            Message::Notify(n) => self.notified(n),
            Message::Cancelled(c) => self.cancelled(c),
            Message::Relay(c) => {
                let req = Request { method: c.method.clone(), path: c.path.clone(), body: c.body.clone() };
                let r = if req.body.len() > http::MAX_BODY {
                    Response::error(413, "body over 64 KiB")
                } else {
                    self.answer(&req, true)
                };
                Outcome::Answer(Answer {
                    status: u32::from(r.status),
                    body: r.body,
                    retry_after: r.retry_after.unwrap_or(0),
                })
            }
        }
    }

    /// Another controller has confirmed cancellations: what is left of the jobs is stopped, whether
    /// this owner can see their records or not.
    fn cancelled(&self, list: &peer::Cancellations) -> Outcome {
        for c in &list.jobs {
            if !is_job_id(&c.id) {
                tracing::error!(job = %c.id, "another controller tells of a malformed job");
                continue;
            }
            self.cancelled_at(&c.id, FinalRecord { stage: Stage::Cancelled, tasks: c.tasks }, c.revision);
        }
        Outcome::Ack(Ack { token: self.lock().highest })
    }

    fn announced(&self, s: &Summary) -> Outcome {
        let mut core = self.lock();
        if s.token > core.highest {
            self.step_down(&mut core, s.token, "another controller leads with a higher token");
        }
        if s.token > 0 && s.token == core.highest && core.own.is_none() {
            core.leader = Some(Owner { label: s.leader.clone(), incarnation: 0, token: s.token, lease: 0 });
            core.counts =
                s.jobs.iter().map(|j| (j.id.clone(), Counts { done: j.done, running: j.running })).collect();
        }
        Outcome::Ack(Ack { token: core.highest })
    }

    fn notified(&self, n: &JobNews) -> Outcome {
        let mut core = self.lock();
        if let Some(own) = core.own.as_mut() {
            if n.record.is_empty() {
                own.fleet.job_over(&n.id, n.revision);
            } else if let Ok(r) = serde_json::from_slice::<JobRecord>(&n.record) {
                own.fleet.job_put(r, n.revision, self.now());
            }
            self.wake.notify_all();
        }
        Outcome::Ack(Ack { token: core.highest })
    }

    /// What the others are told by the owner.
    fn summary(&self, own: &Own) -> Summary {
        let count = |id: &JobId| {
            let c = own.fleet.counts(id).filter(|c| *c != Counts::default())?;
            Some(JobCounts { id: id.to_string(), done: c.done, running: c.running })
        };
        Summary {
            leader: self.cfg.platform.label.clone(),
            token: own.claim.token,
            jobs: own.fleet.jobs.keys().take(2000).filter_map(count).collect(),
        }
    }

    /// Tells the others who leads, about once a second, and what was cancelled, at once and until
    /// each has answered.
    fn announce(&self) {
        let (mut last, mut all_told) = (Steady(0), true);
        while !self.stopping() {
            let since = self.now() - last;
            let left = if all_told { ANNOUNCE_EVERY - since } else { TELL_AGAIN };
            {
                let n = self.notices.lock().unwrap_or_else(|e| e.into_inner());
                if left.0 > 0 && (n.is_empty() || !all_told) {
                    drop(self.told.wait_timeout(n, left.std()));
                }
            }
            all_told = self.tell_once();
            if self.now() - last >= ANNOUNCE_EVERY {
                self.announce_once();
                last = self.now();
            }
        }
    }

    /// Tells the others who leads, or asks whether any of them can be heard.
    pub fn announce_once(&self) {
        let summary = {
            let core = self.lock();
            match &core.own {
                Some(own) => Some(self.summary(own)),
                // Nobody has been heard of late: whether anybody can be is asked.
                None if self.now() - core.last_peer > PEER_QUIET => Some(Summary::default()),
                None => None,
            }
        };
        let Some(s) = summary else { return };
        let sent: Vec<_> = (0..self.peers.count())
            .filter_map(|to| {
                self.peers.begin(to, Message::Announce(s.clone()), Micros::from_millis(900)).ok()
            })
            .collect();
        for w in sent {
            if let Ok(Outcome::Ack(a)) = w.wait() {
                self.heard_token(a.token);
            }
        }
    }

    // ---- ownership ----

    fn step_down(&self, core: &mut Core, token: u64, why: &str) {
        core.highest = core.highest.max(token);
        if let Some(own) = core.own.take() {
            let (rps, writes) = share(&self.cfg, false);
            self.state.allow(rps, writes);
            tracing::info!(token = own.claim.token, higher = token, why, "gives its parts up");
            core.leader = None;
            self.wake.notify_all();
        }
    }

    /// Keeps the leader's lease, or waits for its end and takes over.
    fn keep(&self) {
        self.learn_types();
        let ttl = Micros::from_secs(self.cfg.operator.leader_ttl_s);
        while !self.stopping() {
            let pause = self.keep_once(ttl);
            self.sleep(pause);
        }
    }

    /// Renews the leader's lease, or waits a while for its end and takes over; returns how long to
    /// pause.
    pub fn keep_once(&self, ttl: Micros) -> Micros {
        let lease = self.lock().own.as_ref().map(|o| (o.claim.lease, o.claim.token));
        match lease {
            Some((lease, token)) => {
                self.hold(lease, token);
                // The view rests on renewals too: with tight settings it must not age for long.
                ttl.scale(0.3).min(self.cfg.blind_bound().scale(0.4)).max(Micros::from_millis(100))
            }
            None => match self.follow(ttl) {
                Ok(()) => Micros::ZERO,
                Err(e) => {
                    tracing::debug!(error = %e, "the leader's record cannot be read");
                    Micros::from_millis(300)
                }
            },
        }
    }

    fn hold(&self, lease: u64, token: u64) {
        let begun = self.now();
        let r = self.state.renew(lease);
        let renewed = r.is_ok();
        let mut core = self.lock();
        let Some(own) = core.own.as_mut().filter(|o| o.claim.token == token) else { return };
        // A single controller is followed by nobody while it lives.
        if renewed || self.cfg.nodes() == 1 {
            own.fleet.confirm(begun);
            own.view.has_owned(begun);
        }
        match r {
            Ok(()) => {}
            Err(StateError::NoLease) => self.step_down(&mut core, 0, "its lease ended"),
            Err(e) => tracing::info!(error = %e, "the lease could not be renewed"),
        }
        // Cut off from workers and controllers alike while the state service answers: others can
        // serve the workers before their leases run out, this one cannot.
        let quiet = Micros::from_secs(self.cfg.platform.settings.workers.report_s * 2.5);
        let now = self.now();
        let unheard = now - core.last_peer;
        let alone = core.own.as_ref().is_some_and(|o| {
            self.peers.count() > 0
                && now - o.last_report > quiet
                && unheard > Micros::from_secs(3.0)
                && o.fleet.machines.values().filter(|m| m.up).count() > 1
        });
        if alone && renewed {
            core.hold_off = now + Micros::from_secs(8.0);
            self.step_down(&mut core, 0, "hears neither workers nor controllers");
            drop(core);
            let _ = self.state.end_lease(lease);
        }
    }

    fn follow(&self, ttl: Micros) -> Result<(), StateError> {
        let (rows, revision) = self.state.list(LEADER)?;
        let row = rows.into_iter().find(|r| r.key == LEADER);
        let owner: Option<Owner> = row.as_ref().and_then(|r| serde_json::from_value(r.value.clone()).ok());
        let stamp = row.as_ref().map_or(0, |r| r.stamp);
        let mine = owner.as_ref().is_some_and(|o| o.label == self.cfg.platform.label);
        if let (Some(o), false) = (&owner, mine) {
            {
                let mut core = self.lock();
                core.highest = core.highest.max(o.token);
                core.leader = Some(o.clone());
            }
            let e = self.state.watch(LEADER, revision, Micros::from_millis(3000))?;
            if !e.events.iter().any(|e| e.drop.as_deref() == Some(LEADER)) {
                return Ok(());
            }
            self.lock().leader = None;
            tracing::info!(leader = %o.label, "the leader's lease ended");
            // Most of the time one of the others is a little faster, and the guard decides. One that
            // has started of late goes first: in a rolling restart the others are still to go, and
            // each would take the ownership only to lose it again.
            let old = self.now() - self.started > Micros::from_secs(120.0);
            let first = if old { 60 } else { 5 };
            self.sleep(Micros::from_millis(rand::rng().random_range(first..first + 50)));
            return self.take(ttl, 0);
        }
        // Nobody leads, or an earlier life of this very process did.
        if self.now() < self.lock().hold_off {
            self.sleep(Micros::from_millis(300));
            return Ok(());
        }
        self.take(ttl, stamp)
    }

    fn take(&self, ttl: Micros, seen: u64) -> Result<(), StateError> {
        if self.now() < self.lock().hold_off {
            return Ok(());
        }
        let begun = self.now();
        let label = &self.cfg.platform.label;
        let Some(claim) = cluster::claim(&self.state, label, self.incarnation, ttl, seen)? else {
            return Ok(());
        };
        tracing::info!(token = claim.token, "takes over");
        {
            let mut core = self.lock();
            core.claiming = true;
            core.highest = core.highest.max(claim.token);
        }
        let types = self.types().unwrap_or_default();
        let r = cluster::rebuild(&self.state, self.cfg.clone(), types, claim.token, self.now());
        let mut core = self.lock();
        core.claiming = false;
        match r {
            Ok(mut fleet) if core.highest == claim.token => {
                if let Some(t) = &core.types {
                    fleet.set_types(t.clone());
                }
                let now = self.now();
                let (rps, writes) = share(&self.cfg, true);
                self.state.allow(rps, writes);
                tracing::info!(
                    token = claim.token,
                    jobs = fleet.jobs.len(),
                    machines = fleet.machines.len(),
                    ms = (now - begun).0 / 1000,
                    "rebuilt"
                );
                // Cancellations that were told of while the records were read.
                for id in fleet.jobs.keys().cloned().collect::<Vec<_>>() {
                    if let Some((_, revision)) = core.finals.get(&*id) {
                        fleet.job_over(&id, *revision);
                    }
                }
                core.leader = Some(Owner {
                    label: label.clone(),
                    incarnation: self.incarnation,
                    token: claim.token,
                    lease: claim.lease,
                });
                core.last_peer = now;
                let view = View::new(begun, self.cfg.blind_bound());
                core.own = Some(Own { fleet, claim, view, last_report: now });
                self.wake.notify_all();
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(e) => {
                tracing::info!(error = %e, "could not rebuild");
                drop(core);
                let _ = self.state.end_lease(claim.lease);
                Err(e)
            }
        }
    }

    fn learn_types(&self) {
        while !self.stopping() && !self.learn_types_once() {
            self.sleep(Micros::from_millis(500));
        }
    }

    /// Asks for the machine types; false if nobody can say.
    pub fn learn_types_once(&self) -> bool {
        let found = match cluster::catalog(&self.state) {
            Ok(Some(t)) => Some(t),
            _ => self.cloud.catalog().ok().inspect(|t| self.write_types(t)),
        };
        let known = found.is_some();
        if let Some(t) = found {
            self.lock().types = Some(t);
        }
        known
    }

    fn write_types(&self, types: &[MachineType]) {
        let value = json!(types);
        if value.to_string().len() <= self.cfg.value_bytes() {
            let guards = vec![Guard { key: cluster::CATALOG.into(), stamp: 0 }];
            let _ = self
                .state
                .txn(&Txn { guards, then: vec![Change::put(cluster::CATALOG, value)] }, Urgency::Rest);
        }
    }

    /// Sees the jobs that other controllers accept and end.
    fn watch(&self) {
        while !self.stopping() {
            let pause = self.watch_once();
            self.sleep(pause);
        }
    }

    /// Looks for changes of jobs; returns how long to pause. Between reads that answer at once, which
    /// alone renew the view, a watch brings changes as they come: one that stays silent, or whose
    /// answer comes late, proves nothing, since it may have waited for a service that refuses this
    /// node.
    pub fn watch_once(&self) -> Micros {
        let Some((token, from, view)) =
            self.lock().own.as_ref().map(|o| (o.claim.token, o.fleet.read_to(), o.view))
        else {
            return Micros::from_millis(100);
        };
        let sent = self.now();
        // With tight settings the view must not age for long.
        let block = self.cfg.blind_bound().scale(0.4).clamp(Micros::from_millis(100), Micros::from_secs(1.0));
        let left = block - view.read_age(sent);
        let read = left.0 <= 0;
        let changes = if read {
            self.state.changes("job/", from, Urgency::Ownership)
        } else {
            self.state.watch("job/", from, left)
        };
        match changes {
            Ok(e) => {
                let mut core = self.lock();
                let Some(own) = core.own.as_mut().filter(|o| o.claim.token == token) else {
                    return Micros::ZERO;
                };
                let to = if read { e.revision } else { e.events.iter().map(|e| e.stamp).max().unwrap_or(0) };
                for e in e.events {
                    take_change(&mut own.fleet, e, self.now());
                }
                own.fleet.has_read_to(to);
                if read {
                    own.view.has_read(sent);
                }
                Micros::from_millis(100)
            }
            Err(StateError::TooOld) => {
                let mut core = self.lock();
                if core.own.as_ref().is_some_and(|o| o.claim.token == token) {
                    self.step_down(&mut core, 0, "missed changes, reads all anew");
                }
                Micros::ZERO
            }
            Err(e) => {
                tracing::debug!(error = %e, "no view of the jobs");
                Micros::from_millis(250)
            }
        }
    }

    /// Lets time pass for the owner's world and keeps its plan up to date.
    fn plan(&self) {
        while !self.stopping() {
            self.sleep(Micros::from_millis(40));
            self.plan_once();
        }
    }

    /// Lets time pass, plans, and answers workers that wait for a start.
    pub fn plan_once(&self) {
        let mut core = self.lock();
        let writes = core.own.as_mut().is_some_and(|own| {
            own.fleet.tick(self.now(), wall());
            own.fleet.starts_wait()
        });
        drop(core);
        self.answer_waiting();
        if writes {
            self.wake.notify_all();
        }
    }

    /// Brings this owner's token to the machines it has inherited, and halts to those that do not
    /// come for them.
    fn command(&self) {
        while !self.stopping() {
            let pause = if self.command_once() { 500 } else { 100 };
            self.sleep(Micros::from_millis(pause));
        }
    }

    /// Sends the direct commands that are due; false if there were none.
    pub fn command_once(&self) -> bool {
        let due = self.lock().own.as_mut().map(|o| {
            let now = self.now();
            let raise =
                o.fleet.to_raise(now).into_iter().map(|(id, addr, season)| (id, addr, season, Vec::new()));
            let mut list: Vec<DirectCommand> = raise.collect();
            list.extend(o.fleet.to_halt(now));
            (o.fleet.token, list)
        });
        let Some((token, list)) = due.filter(|d| !d.1.is_empty()) else { return false };
        // One that does not answer holds up only one routine: the others go on with the list.
        let next = AtomicUsize::new(0);
        std::thread::scope(|s| {
            for _ in 0..list.len().min(RAISERS) {
                let (next, list) = (&next, &list);
                let send = move || {
                    while let Some(c) = list.get(next.fetch_add(1, Ordering::Relaxed)) {
                        self.command_one(token, c);
                    }
                };
                // Without a routine more the others do its share.
                let _ = std::thread::Builder::new().stack_size(128 * 1024).spawn_scoped(s, send);
            }
        });
        true
    }

    fn command_one(&self, token: u64, (id, addr, season, orders): &DirectCommand) {
        // It may have reported by itself since the list was made.
        let due = |o: &Own| {
            o.claim.token == token
                && o.fleet.machines.get(id).is_some_and(|m| !orders.is_empty() || m.to_raise(self.now()))
        };
        if !self.lock().own.as_ref().is_some_and(due) {
            return;
        }
        let Ok(addr) = addr.parse() else { return };
        let client = Client::new(addr, 1);
        let mut season = *season;
        for _ in 0..2 {
            let Ok(body) = serde_json::to_vec(&Commands { token, season, orders: orders.clone() }) else {
                return;
            };
            let Ok((status, body)) = client.call("POST", "/commands", Some(&body), Micros::from_millis(1500))
            else {
                tracing::debug!(machine = %id, "does not answer");
                return;
            };
            let Ok(r) = serde_json::from_slice::<Report>(&body) else { return };
            if r.machine != **id {
                return;
            }
            // With halts, a later session has nothing left to be halted.
            if status == 409 && r.token < token && orders.is_empty() {
                season = r.season;
                continue;
            }
            let mut core = self.lock();
            let Some(own) = core.own.as_mut().filter(|o| o.claim.token == token) else { return };
            if let Some(higher) = own.fleet.raised(&r, self.now()) {
                self.step_down(&mut core, higher, "a worker has seen a higher token");
            }
            return;
        }
    }

    // ---- writing ----

    /// Writes what waits.
    fn write(&self) {
        while !self.stopping() {
            drop(self.wake.wait_timeout(self.lock(), Duration::from_millis(150)));
            if !self.write_once() {
                self.sleep(Micros::from_millis(150));
            }
        }
    }

    /// Writes what waits now; false if writing should pause.
    pub fn write_once(&self) -> bool {
        let now = self.now();
        let work = self.lock().own.as_mut().map(|own| {
            let ops = own.fleet.txn_ops();
            let chunk = chunk_tasks(own.fleet.value_bytes());
            let pending = own.fleet.pending(now, DONE_EVERY, chunk);
            let part = own.claim.part;
            (own.claim.clone(), cluster::batches(&mut own.fleet, part, pending, ops, now, wall()))
        });
        let Some((claim, batches)) = work else { return true };
        batches.into_iter().all(|b| self.write_batch(&claim, b))
    }

    /// Writes a batch; false if writing should pause.
    fn write_batch(&self, claim: &Claim, b: Batch) -> bool {
        let urgency = if b.urgent { Urgency::Owner } else { Urgency::Rest };
        let result = self.state.txn(&b.txn, urgency);
        let ours = |c: &Core| c.own.as_ref().is_some_and(|o| o.claim.token == claim.token);
        match result {
            Ok(Applied::Yes(revision)) => {
                let mut finals: Vec<(JobId, u32)> = Vec::new();
                {
                    let mut core = self.lock();
                    if !ours(&core) {
                        return false;
                    }
                    let now = self.now();
                    if let Some(own) = core.own.as_mut() {
                        for (item, said) in &b.items {
                            if let Pending::Final(id) = item {
                                if let Some(j) = own.fleet.jobs.get(id) {
                                    finals.push((id.clone(), j.spec.tasks));
                                }
                            }
                            own.fleet.written(item, revision, said, now);
                        }
                    }
                }
                for (id, tasks) in finals {
                    tracing::debug!(job = %id, "done");
                    self.learn_final(&id, FinalRecord { stage: Stage::Done, tasks }, revision);
                }
                true
            }
            Ok(Applied::Conflict(keys)) => {
                if keys.iter().any(|k| k == PART) {
                    let mut core = self.lock();
                    if ours(&core) {
                        self.step_down(&mut core, 0, "another owner has taken the part");
                    }
                    return false;
                }
                self.read_back(claim, &keys)
            }
            Err(StateError::Unknown(e)) => {
                tracing::info!(error = %e, "a write has no answer, reads back");
                let keys: Vec<String> =
                    b.txn.guards.iter().map(|g| g.key.clone()).filter(|k| k != PART).collect();
                self.read_back(claim, &keys)
            }
            Err(StateError::Rejected(e)) => {
                tracing::error!(error = %e, "the state service rejects a write");
                if let Some(own) = self.lock().own.as_mut().filter(|o| o.claim.token == claim.token) {
                    own.fleet.write_rejected();
                }
                false
            }
            Err(e) => {
                tracing::debug!(error = %e, "a write has to wait");
                false
            }
        }
    }

    /// Learns how keys stand after a conflict or an unknown outcome.
    fn read_back(&self, claim: &Claim, keys: &[String]) -> bool {
        for key in keys {
            let Ok(row) = self.state.get(key, Urgency::User) else { return false };
            let mut core = self.lock();
            let Some(own) = core.own.as_mut().filter(|o| o.claim.token == claim.token) else { return false };
            cluster::learn(&mut own.fleet, key, row, self.now());
        }
        true
    }

    // ---- the cloud ----

    /// Keeps an eye on the cloud's list and its prices. A long list takes several requests, which
    /// must not hold up renting.
    fn list(&self) {
        let lag = Micros::from_secs(self.cfg.platform.settings.cloud.list_lag_s);
        let every = lag.scale(0.75).max(Micros::from_secs(2.0));
        let (mut listed, mut priced, mut last) = (Steady(0), Steady(0), 0u64);
        while !self.stopping() {
            self.sleep(Micros::from_millis(500));
            let Some(token) = self.lock().own.as_ref().map(|o| o.claim.token) else { continue };
            let now = self.now();
            if last != token {
                last = token;
                listed = Steady(0);
            }
            if now - priced > Micros::from_secs(45.0) {
                if let Ok(t) = self.cloud.catalog() {
                    priced = now;
                    let mut core = self.lock();
                    core.types = Some(t.clone());
                    if let Some(own) = core.own.as_mut() {
                        own.fleet.set_types(t);
                    }
                }
            }
            if now - listed > every {
                if let Ok(list) = self.cloud.list() {
                    listed = now;
                    if let Some(own) = self.lock().own.as_mut().filter(|o| o.claim.token == token) {
                        own.fleet.listed(&list, self.now());
                    }
                }
            }
        }
    }

    /// Rents and returns.
    fn tend(&self) {
        let lag = Micros::from_secs(self.cfg.platform.settings.cloud.list_lag_s);
        let (mut counter, mut began) = (0u64, (0u64, Steady(0)));
        while !self.stopping() {
            self.sleep(Micros::from_millis(500));
            let Some((token, first)) = self.lock().own.as_ref().map(|o| (o.claim.token, o.claim.first))
            else {
                continue;
            };
            if began.0 != token {
                began = (token, self.now());
            }
            self.give_back(token);
            // What the last owner rented shows in the list only after a while.
            if first || self.now() - began.1 > lag.scale(1.2) {
                self.rent(token, &mut counter);
            }
        }
    }

    fn give_back(&self, token: u64) {
        let ids = match self.lock().own.as_ref().filter(|o| o.claim.token == token) {
            Some(own) => own.fleet.leaving(),
            None => return,
        };
        if ids.is_empty() {
            return;
        }
        // Each answer counts at once: what the next request has to wait for must not hold up what
        // can start elsewhere.
        for part in ids.chunks(MOST_RETURNED) {
            match self.cloud.give_back(part) {
                Ok(()) => {
                    if let Some(own) = self.lock().own.as_mut().filter(|o| o.claim.token == token) {
                        own.fleet.returned(part, self.now());
                    }
                    self.wake.notify_all();
                }
                Err(e) => {
                    tracing::info!(error = %e, machines = ids.len(), "could not be returned yet");
                    return;
                }
            }
        }
    }

    fn rent(&self, token: u64, counter: &mut u64) {
        let wants = match self.lock().own.as_mut().filter(|o| o.claim.token == token) {
            Some(own) => {
                let w = own.fleet.capacity(self.now(), wall());
                w.into_iter()
                    .filter_map(|(o, n)| {
                        let ty = own.fleet.types().get(o.ty)?.name.clone();
                        Some((o, n, ty, own.fleet.zone_name(o.zone).to_string()))
                    })
                    .collect::<Vec<_>>()
            }
            None => return,
        };
        // A request is for fifty at the most.
        let requests = wants.into_iter().flat_map(|(offer, count, ty, zone)| {
            let whole =
                (0..count.div_ceil(MOST_RENTED)).map(move |i| (count - i * MOST_RENTED).min(MOST_RENTED));
            whole.map(move |n| (offer, n, ty.clone(), zone.clone()))
        });
        let mut refused = Vec::new();
        for (offer, count, ty, zone) in requests {
            if refused.contains(&offer) {
                continue;
            }
            *counter += 1;
            let request = format!("r-{token}-{}-{counter}", self.incarnation);
            let r = RentRequest { request, ty, zone, spot: offer.spot, count };
            let mut outcome = self.cloud.rent(&r);
            // The same request may be repeated: it rents nothing twice.
            for _ in 0..2 {
                if !matches!(outcome, Err(CloudError::Unknown(_))) {
                    break;
                }
                outcome = self.cloud.rent(&r);
            }
            let mut core = self.lock();
            let Some(own) = core.own.as_mut().filter(|o| o.claim.token == token) else { return };
            match outcome {
                Ok(ids) => {
                    tracing::info!(ty = %r.ty, zone = %r.zone, spot = r.spot, asked = r.count, got = ids.len(), "rented");
                    if (ids.len() as u32) < r.count {
                        refused.push(offer);
                        own.fleet.offer_refused(offer, self.now() + Micros::from_secs(10.0));
                    }
                    own.fleet.rented(&ids, offer, self.now());
                }
                Err(CloudError::NoCapacity) => {
                    refused.push(offer);
                    tracing::debug!(ty = %r.ty, zone = %r.zone, spot = r.spot, "no capacity");
                    own.fleet.offer_refused(offer, self.now() + Micros::from_secs(10.0));
                }
                Err(e) => {
                    tracing::info!(error = %e, "the cloud rents nothing now");
                    own.fleet.offer_refused(offer, self.now() + Micros::from_secs(2.0));
                    return;
                }
            }
        }
    }
}

/// A command that is sent straight to a worker: machine, address, session and orders.
type DirectCommand = (MachineId, String, u64, Vec<Order>);

/// Takes in a change under the jobs' prefix.
fn take_change(fleet: &mut Fleet, e: Event, now: Steady) {
    if let Some(id) = e.drop.as_deref().and_then(|k| k.strip_prefix("job/")) {
        fleet.job_over(id, e.stamp);
    } else if e.put.is_some() {
        match serde_json::from_value::<JobRecord>(e.value) {
            Ok(r) => fleet.job_put(r, e.stamp, now),
            Err(e) => tracing::error!(error = %e, "a job's record cannot be read"),
        }
    }
}

/// This node's share of the state service's requests and changes. The leader writes for all, so
/// it is allowed more of the changes than the others. Those only accept and cancel, in bursts: their
/// shares add up to more than there is, and what the service refuses then is tried again at once.
fn share(cfg: &Config, leads: bool) -> (f64, f64) {
    let st = &cfg.platform.settings.state;
    let others = cfg.nodes().saturating_sub(1) as f64;
    let (rps, writes) = match (cfg.nodes(), leads) {
        (1, _) => (0.9, 0.9),
        (n, true) => (1.8 / (n as f64 + 1.0), 0.6),
        (n, false) => (0.9 / (n as f64 + 1.0), (0.8 / others).min(0.4)),
    };
    (st.rps * rps, st.write_rps * writes)
}

fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, 60_000_000, 2)
}
