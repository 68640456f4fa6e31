//! Client of the state service: reads, guarded transactions, leases and watches, within this
//! node's share of the service's limits.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};

use serde::Deserialize;
use serde_json::{json, Value};

use crate::http::{CallError, Client};
use crate::time::{steady, Micros, Steady};
use crate::wire::{Events, Row, Rows, Txn};

/// Why a call to the state service has no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
pub enum StateError {
    /// The service, or its limits, refused: nothing was executed.
    #[error("refused with {0}")]
    Refused(u16),
    /// Over this node's own share: nothing was sent.
    #[error("over this node's share of the state service")]
    Budget,
    /// No answer: it may have been executed, or may yet be.
    #[error("unknown: {0}")]
    Unknown(String),
    /// The lease is gone.
    #[error("the lease is gone")]
    NoLease,
    /// The watch's revision is too old.
    #[error("the revision is too old")]
    TooOld,
    /// The service takes no such request: a value or a transaction is too large. Never to be sent again
    /// as it is.
    #[error("rejected: {0}")]
    Rejected(String),
    /// The records are of a form that this version does not read.
    #[error("records of form {found}, this version reads up to {known}")]
    NewerRecords {
        /// The form as it is named there.
        found: String,
        /// The latest form that is read.
        known: u32,
    },
    /// The answer makes no sense.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Result of a transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Executed at this revision.
    Yes(u64),
    /// Some conditions did not hold.
    Conflict(Vec<String>),
}

/// How much a call matters when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Ownership: never waits for the budget.
    Ownership,
    /// Acceptance and cancellation: users wait for it.
    User,
    /// What starts and ends of jobs wait for.
    Owner,
    /// Everything else.
    Rest,
}

/// A token bucket that holds a second's worth.
pub struct Bucket {
    rate: f64,
    level: f64,
    at: Steady,
}

impl Bucket {
    /// A full one.
    pub fn new(rate: f64, now: Steady) -> Bucket {
        Bucket { rate, level: rate, at: now }
    }

    fn refill(&mut self, now: Steady) {
        self.level = (self.level + (now - self.at).secs() * self.rate).min(self.rate.max(1.0));
        self.at = now;
    }

    /// Takes `n`; returns how long to wait first. What is kept back is for urgent calls.
    pub fn take(&mut self, now: Steady, n: f64, keep: f64) -> Result<(), Micros> {
        self.refill(now);
        // A request larger than the whole bucket passes when the bucket is full.
        let need = (n + keep).min(self.rate.max(1.0));
        if self.level >= need {
            self.level -= n;
            return Ok(());
        }
        Err(Micros::from_secs(((need - self.level) / self.rate).clamp(0.002, 1.0)))
    }
}

struct Budget {
    requests: Bucket,
    writes: Bucket,
    pause_until: Steady,
    /// This node's share of the present limits: requests and changes a second.
    share: (f64, f64),
    next: NextRates,
}

impl Budget {
    /// Sets the rates by the share and, once they show, by the coming limits.
    fn set_rates(&mut self) {
        let (requests, writes) = self.next.in_force();
        self.requests.rate = self.share.0 * requests;
        self.writes.rate = self.share.1 * writes;
    }
}

/// Refusals for the rate within this time are counted together.
const REFUSALS_WITHIN: Micros = Micros::from_millis(10_000);
/// So many of them show that the coming limits hold: bursts of several nodes at once have one now
/// and then under any limits.
const REFUSALS_SHOW: usize = 5;

/// Rates that will hold from some moment on, without notice. The present ones are kept to until
/// refusals for the rate (429) or of a write that is too large (400) show the change; an outage or a service that refuses this node alone
/// answers 503 and shows nothing.
#[derive(Clone, Debug)]
pub struct NextRates {
    shares: (f64, f64),
    /// The latest refusals for the rate, no more than show the change.
    refusals: VecDeque<Steady>,
    shown: bool,
}

impl NextRates {
    /// The coming rates as shares of the present ones, requests and changes.
    pub fn new(shares: (f64, f64)) -> NextRates {
        NextRates { shares, refusals: VecDeque::new(), shown: false }
    }

    /// Counts a refusal for the rate; whether it shows the change.
    pub fn refused(&mut self, now: Steady) -> bool {
        self.refusals.push_back(now);
        while self.refusals.len() > REFUSALS_SHOW {
            self.refusals.pop_front();
        }
        let oldest = self.refusals.front().copied().unwrap_or(now);
        let many = self.refusals.len() == REFUSALS_SHOW && now - oldest <= REFUSALS_WITHIN;
        let shows = many && !self.shown && self.shares != (1.0, 1.0);
        self.shown |= shows;
        shows
    }

    /// A write was rejected as too large: the coming limits hold.
    pub fn rejected(&mut self) {
        self.shown = true;
    }

    /// The shares of the present rates that are kept to.
    pub fn in_force(&self) -> (f64, f64) {
        if self.shown {
            self.shares
        } else {
            (1.0, 1.0)
        }
    }
}

/// The client.
pub struct StateClient {
    http: Client,
    watch: Client,
    budget: Mutex<Budget>,
    waiting: Condvar,
    /// Since when no call has been answered, if the last one was not.
    failing: Mutex<Option<Steady>>,
}

#[derive(Deserialize)]
struct Granted {
    tenure: u64,
}

#[derive(Deserialize)]
struct Revision {
    harvest: u64,
}

#[derive(Deserialize)]
struct Failed {
    #[serde(default)]
    failed: Vec<String>,
}

const CALL: Micros = Micros::from_millis(2000);

impl StateClient {
    /// A client that keeps to `rps` requests and `write_rps` changes a second, and to those shares of
    /// them that will hold once the service's limits fall.
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, next: (f64, f64)) -> StateClient {
        StateClient {
            http: Client::new(addr, 8),
            watch: Client::new(addr, 2),
            budget: Mutex::new(Budget {
                requests: Bucket::new(rps, steady()),
                writes: Bucket::new(write_rps, steady()),
                pause_until: Steady(0),
                share: (rps, write_rps),
                next: NextRates::new(next),
            }),
            waiting: Condvar::new(),
            failing: Mutex::new(None),
        }
    }

    /// For how long the service has not been reached.
    pub fn out_of_reach(&self) -> Micros {
        let since = self.failing.lock().ok().and_then(|f| *f);
        since.map_or(Micros::ZERO, |s| steady() - s)
    }

    /// Changes this node's share of the service's limits.
    pub fn allow(&self, rps: f64, write_rps: f64) {
        if let Ok(mut b) = self.budget.lock() {
            b.share = (rps, write_rps);
            b.set_rates();
        }
    }

    /// Waits for room in the budget, at most `patience`.
    fn admit(&self, writes: usize, urgency: Urgency, patience: Micros) -> Result<(), StateError> {
        let deadline = steady() + patience;
        let Ok(mut b) = self.budget.lock() else { return Err(StateError::Budget) };
        loop {
            let now = steady();
            let keep = match urgency {
                Urgency::Ownership => {
                    b.requests.refill(now);
                    b.requests.level -= 1.0;
                    b.writes.refill(now);
                    b.writes.level -= writes as f64;
                    return Ok(());
                }
                Urgency::User => 0.0,
                Urgency::Owner => 0.1,
                Urgency::Rest => 0.35,
            };
            let wait = if now < b.pause_until {
                b.pause_until - now
            } else {
                let kept_writes = b.writes.rate * keep;
                let kept_requests = b.requests.rate * keep;
                match b.writes.take(now, writes as f64, if writes > 0 { kept_writes } else { -1e9 }) {
                    Err(w) => w,
                    Ok(()) => match b.requests.take(now, 1.0, kept_requests) {
                        Ok(()) => return Ok(()),
                        Err(w) => {
                            b.writes.level += writes as f64;
                            w
                        }
                    },
                }
            };
            if now + wait > deadline {
                return Err(StateError::Budget);
            }
            match self.waiting.wait_timeout(b, wait.std()) {
                Ok((guard, _)) => b = guard,
                Err(_) => return Err(StateError::Budget),
            }
        }
    }

    fn call(
        &self,
        client: &Client,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout: Micros,
    ) -> Result<(u16, Vec<u8>), StateError> {
        let body = body.map(|b| b.to_string());
        let answer = client.call(method, path, body.as_deref().map(str::as_bytes), timeout);
        if let Ok(mut failing) = self.failing.lock() {
            match answer {
                Ok((503, _)) | Err(_) => {
                    failing.get_or_insert_with(steady);
                }
                Ok(_) => *failing = None,
            }
        }
        match answer {
            Ok((429, _)) => {
                if let Ok(mut b) = self.budget.lock() {
                    b.pause_until = steady() + Micros::from_millis(60);
                    b.requests.level = b.requests.level.min(0.0);
                    if b.next.refused(steady()) {
                        tracing::info!("the state service has its new limits");
                        b.set_rates();
                    }
                }
                Err(StateError::Refused(429))
            }
            Ok((503, _)) => Err(StateError::Refused(503)),
            Ok(r) => Ok(r),
            Err(CallError::NotSent(_)) => Err(StateError::Refused(0)),
            Err(CallError::NoAnswer(e)) => Err(StateError::Unknown(e)),
        }
    }

    /// Reads a key.
    pub fn get(&self, key: &str, urgency: Urgency) -> Result<Option<Row>, StateError> {
        self.admit(0, urgency, Micros::from_millis(1500))?;
        match self.call(&self.http, "GET", &format!("/keys/{key}"), None, CALL)? {
            (200, b) => parse(&b).map(Some),
            (404, _) => Ok(None),
            (s, _) => Err(StateError::Refused(s)),
        }
    }

    /// Reads all keys with a prefix; the revision is that of the first page, so that a watch
    /// from it misses nothing.
    pub fn list(&self, prefix: &str) -> Result<(Vec<Row>, u64), StateError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut revision = None;
        loop {
            let from = rows.last().map(|r| format!("&from={}", r.key)).unwrap_or_default();
            self.admit(0, Urgency::Ownership, CALL)?;
            let path = format!("/keys?starts={prefix}{from}&most=500");
            let page: Rows = match self.call(&self.http, "GET", &path, None, CALL)? {
                (200, b) => parse(&b)?,
                (s, _) => return Err(StateError::Refused(s)),
            };
            let at = *revision.get_or_insert(page.revision);
            let empty = page.rows.is_empty();
            rows.extend(page.rows);
            if !page.more || empty {
                return Ok((rows, at));
            }
        }
    }

    /// Executes a transaction.
    pub fn txn(&self, txn: &Txn, urgency: Urgency) -> Result<Applied, StateError> {
        let body = serde_json::to_value(txn).map_err(|e| StateError::Malformed(e.to_string()))?;
        let mut tries = if urgency == Urgency::User { 3 } else { 1 };
        let answer = loop {
            self.admit(txn.then.len(), urgency, Micros::from_millis(1500))?;
            tries -= 1;
            match self.call(&self.http, "POST", "/txn", Some(&body), CALL) {
                // Too many changes at this moment, and a user waits: nothing was executed.
                Err(StateError::Refused(429)) if tries > 0 => {}
                other => break other?,
            }
        };
        match answer {
            (200, b) => parse::<Revision>(&b).map(|r| Applied::Yes(r.harvest)),
            (409, b) => parse::<Failed>(&b).map(|f| Applied::Conflict(f.failed)),
            (400, b) => {
                let text = String::from_utf8_lossy(&b).into_owned();
                if text.contains("no such lease") {
                    Err(StateError::NoLease)
                } else {
                    if let Ok(mut b) = self.budget.lock() {
                        b.next.rejected();
                        b.set_rates();
                    }
                    Err(StateError::Rejected(text))
                }
            }
            (s, _) => Err(StateError::Refused(s)),
        }
    }

    /// Takes a new lease.
    pub fn lease(&self, ttl: Micros) -> Result<u64, StateError> {
        self.admit(0, Urgency::Ownership, CALL)?;
        let body = json!({ "ttlMs": ttl.0 / 1000 });
        match self.call(&self.http, "POST", "/leases", Some(&body), CALL)? {
            (200 | 201, b) => parse::<Granted>(&b).map(|g| g.tenure),
            (s, _) => Err(StateError::Refused(s)),
        }
    }

    /// Renews a lease.
    pub fn renew(&self, lease: u64) -> Result<(), StateError> {
        self.admit(0, Urgency::Ownership, CALL)?;
        let path = format!("/leases/{lease}/renew");
        match self.call(&self.http, "POST", &path, Some(&json!({})), Micros::from_millis(1000))? {
            (200, _) => Ok(()),
            (404, _) => Err(StateError::NoLease),
            (s, _) => Err(StateError::Refused(s)),
        }
    }

    /// Ends a lease.
    pub fn end_lease(&self, lease: u64) -> Result<(), StateError> {
        self.admit(0, Urgency::Ownership, CALL)?;
        self.call(&self.http, "DELETE", &format!("/leases/{lease}"), None, Micros::from_millis(1000))
            .map(|_| ())
    }

    /// What has changed under a prefix since a revision, by a read that begins now.
    pub fn changes(&self, prefix: &str, from: u64, urgency: Urgency) -> Result<Events, StateError> {
        self.admit(0, urgency, Micros::from_millis(1500))?;
        let path = format!("/watch?starts={prefix}&from={from}&blockMs=0");
        match self.call(&self.http, "GET", &path, None, CALL)? {
            (200, b) => parse(&b),
            (410, _) => Err(StateError::TooOld),
            (s, _) => Err(StateError::Refused(s)),
        }
    }

    /// Waits for changes under a prefix.
    pub fn watch(&self, prefix: &str, from: u64, block: Micros) -> Result<Events, StateError> {
        self.admit(0, Urgency::Ownership, CALL)?;
        let path = format!("/watch?starts={prefix}&from={from}&blockMs={}", block.0 / 1000);
        match self.call(&self.watch, "GET", &path, None, block + CALL)? {
            (200, b) => parse(&b),
            (410, _) => Err(StateError::TooOld),
            (s, _) => Err(StateError::Refused(s)),
        }
    }
}

fn parse<T: for<'a> Deserialize<'a>>(b: &[u8]) -> Result<T, StateError> {
    serde_json::from_slice(b).map_err(|e| StateError::Malformed(e.to_string()))
}
