//! Client of the state store (the consensus-backed key-value store): reads, compare-and-swap
//! transactions, leases and watches, within this node's share of the store's rate limits.

mod budget;
mod error;

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};

use serde::Deserialize;
use serde_json::{json, Value};

use crate::http::{CallError, Client, ClientResponse};
use crate::time::{steady, Micros, Steady};
use crate::wire::{Events, Row, Rows, Txn};

use budget::RateBudget;
pub use budget::{NextRates, RequestPriority, TokenBucket};
pub use error::{StateStoreError, TxnOutcome};

/// Client of the state store. Calls wait for this node's rate budget (by their
/// [`RequestPriority`]) and fail with a [`StateStoreError`] when they have no result.
pub struct StateStoreClient {
    http: Client,
    watch: Client,
    budget: Mutex<RateBudget>,
    waiting: Condvar,
    /// Since when no call has been answered, if the last one was not.
    failing: Mutex<Option<Steady>>,
}

/// The store's answer to a lease grant; the wire calls the lease id `tenure`.
#[derive(Deserialize)]
struct LeaseGranted {
    #[serde(rename = "tenure")]
    lease: u64,
}

/// The store's answer to an executed transaction; the wire calls the revision `harvest`.
#[derive(Deserialize)]
struct TxnCommitted {
    #[serde(rename = "harvest")]
    revision: u64,
}

/// The store's answer to a transaction whose guards did not hold.
#[derive(Deserialize)]
struct TxnConflict {
    /// The keys whose guards failed.
    #[serde(default)]
    failed: Vec<String>,
}

/// Timeout of one call.
const CALL_TIMEOUT: Micros = Micros::from_millis(2000);
/// Timeout of lease renewals and ends.
const LEASE_CALL_TIMEOUT: Micros = Micros::from_millis(1000);
/// How long a call waits for the budget, unless it is a leadership call.
const BUDGET_PATIENCE: Micros = Micros::from_millis(1500);
/// Connections for calls, and for blocking watches.
const CALL_CONNECTIONS: usize = 8;
const WATCH_CONNECTIONS: usize = 2;
/// Rows a page of a list.
const LIST_PAGE_ROWS: usize = 500;
/// Tries of a transaction that a user waits for, when the store refuses it for the rate.
const USER_TXN_TRIES: u32 = 3;

impl StateStoreClient {
    /// A client that keeps to `rps` requests and `write_rps` changes a second, and to the shares
    /// `next` (requests, changes) of them once the store's limits fall.
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, next: (f64, f64)) -> StateStoreClient {
        StateStoreClient {
            http: Client::new(addr, CALL_CONNECTIONS),
            watch: Client::new(addr, WATCH_CONNECTIONS),
            budget: Mutex::new(RateBudget::new((rps, write_rps), NextRates::new(next), steady())),
            waiting: Condvar::new(),
            failing: Mutex::new(None),
        }
    }

    /// For how long the store has not been reached (zero if the last call was answered).
    pub fn out_of_reach(&self) -> Micros {
        let since = self.failing.lock().ok().and_then(|f| *f);
        since.map_or(Micros::ZERO, |s| steady() - s)
    }

    /// Changes this node's share of the store's limits: requests and changes a second.
    pub fn allow(&self, rps: f64, write_rps: f64) {
        if let Ok(mut budget) = self.budget.lock() {
            budget.set_share((rps, write_rps));
        }
    }

    /// Waits for room in the budget for one request with `writes` changes, at most `patience`.
    fn admit(
        &self,
        writes: usize,
        priority: RequestPriority,
        patience: Micros,
    ) -> Result<(), StateStoreError> {
        let deadline = steady() + patience;
        let Ok(mut budget) = self.budget.lock() else { return Err(StateStoreError::Budget) };
        loop {
            let now = steady();
            let Err(wait) = budget.try_take(now, writes, priority) else { return Ok(()) };
            if now + wait > deadline {
                return Err(StateStoreError::Budget);
            }
            match self.waiting.wait_timeout(budget, wait.std()) {
                Ok((guard, _)) => budget = guard,
                Err(_) => return Err(StateStoreError::Budget),
            }
        }
    }

    /// One HTTP call; notes whether the store is reached and follows refusals for the rate.
    fn call(
        &self,
        client: &Client,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout: Micros,
    ) -> Result<(u16, Vec<u8>), StateStoreError> {
        let body = body.map(|b| b.to_string());
        let answer = client.call(method, path, body.as_deref().map(str::as_bytes), timeout);
        if let Ok(mut failing) = self.failing.lock() {
            match answer {
                Ok(ClientResponse { status: 503, .. }) | Err(_) => {
                    failing.get_or_insert_with(steady);
                }
                Ok(_) => *failing = None,
            }
        }
        match answer {
            Ok(ClientResponse { status: 429, .. }) => {
                if let Ok(mut budget) = self.budget.lock() {
                    budget.rate_refused();
                }
                Err(StateStoreError::Refused(429))
            }
            Ok(ClientResponse { status: 503, .. }) => Err(StateStoreError::Refused(503)),
            Ok(ClientResponse { status, body }) => Ok((status, body)),
            Err(CallError::NotSent(_)) => Err(StateStoreError::Refused(0)),
            Err(CallError::NoAnswer(e)) => Err(StateStoreError::Unknown(e)),
        }
    }

    /// Reads a key; `None` if it is not there.
    pub fn get(&self, key: &str, priority: RequestPriority) -> Result<Option<Row>, StateStoreError> {
        self.admit(0, priority, BUDGET_PATIENCE)?;
        match self.call(&self.http, "GET", &format!("/keys/{key}"), None, CALL_TIMEOUT)? {
            (200, b) => parse(&b).map(Some),
            (404, _) => Ok(None),
            (s, _) => Err(StateStoreError::Refused(s)),
        }
    }

    /// Reads all keys with a prefix, page by page, with the revision of the first page, so that
    /// a watch from it misses nothing.
    pub fn list(&self, prefix: &str) -> Result<(Vec<Row>, u64), StateStoreError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut revision = None;
        loop {
            let from = rows.last().map(|r| format!("&from={}", r.key)).unwrap_or_default();
            self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
            let path = format!("/keys?starts={prefix}{from}&most={LIST_PAGE_ROWS}");
            let page: Rows = match self.call(&self.http, "GET", &path, None, CALL_TIMEOUT)? {
                (200, b) => parse(&b)?,
                (s, _) => return Err(StateStoreError::Refused(s)),
            };
            let at = *revision.get_or_insert(page.revision);
            let empty = page.rows.is_empty();
            rows.extend(page.rows);
            if !page.more || empty {
                return Ok((rows, at));
            }
        }
    }

    /// Executes a compare-and-swap transaction.
    ///
    /// # Errors
    /// [`StateStoreError::NoLease`] if a put names a lease that is gone; [`StateStoreError::Rejected`] if
    /// the store takes no such transaction (too large); otherwise as any call.
    pub fn txn(&self, txn: &Txn, priority: RequestPriority) -> Result<TxnOutcome, StateStoreError> {
        let body = serde_json::to_value(txn).map_err(|e| StateStoreError::Malformed(e.to_string()))?;
        let mut tries = if priority == RequestPriority::User { USER_TXN_TRIES } else { 1 };
        let answer = loop {
            self.admit(txn.then.len(), priority, BUDGET_PATIENCE)?;
            tries -= 1;
            match self.call(&self.http, "POST", "/txn", Some(&body), CALL_TIMEOUT) {
                // Too many changes at this moment, and a user waits: nothing was executed.
                Err(StateStoreError::Refused(429)) if tries > 0 => {}
                other => break other?,
            }
        };
        match answer {
            (200, b) => parse::<TxnCommitted>(&b).map(|c| TxnOutcome::Committed(c.revision)),
            (409, b) => parse::<TxnConflict>(&b).map(|c| TxnOutcome::Conflict(c.failed)),
            (400, b) => {
                let text = String::from_utf8_lossy(&b).into_owned();
                if text.contains("no such lease") {
                    return Err(StateStoreError::NoLease);
                }
                if let Ok(mut budget) = self.budget.lock() {
                    budget.write_rejected();
                }
                Err(StateStoreError::Rejected(text))
            }
            (s, _) => Err(StateStoreError::Refused(s)),
        }
    }

    /// Takes a new lease of `ttl` (whole milliseconds on the wire); returns its id.
    pub fn lease(&self, ttl: Micros) -> Result<u64, StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        let body = json!({ "ttlMs": ttl.0 / 1000 });
        match self.call(&self.http, "POST", "/leases", Some(&body), CALL_TIMEOUT)? {
            (200 | 201, b) => parse::<LeaseGranted>(&b).map(|g| g.lease),
            (s, _) => Err(StateStoreError::Refused(s)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// [`StateStoreError::NoLease`] if it is gone (lease expiry); otherwise as any call.
    pub fn renew(&self, lease: u64) -> Result<(), StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        let path = format!("/leases/{lease}/renew");
        match self.call(&self.http, "POST", &path, Some(&json!({})), LEASE_CALL_TIMEOUT)? {
            (200, _) => Ok(()),
            (404, _) => Err(StateStoreError::NoLease),
            (s, _) => Err(StateStoreError::Refused(s)),
        }
    }

    /// Ends a lease; the keys that hang on it go.
    pub fn end_lease(&self, lease: u64) -> Result<(), StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        self.call(&self.http, "DELETE", &format!("/leases/{lease}"), None, LEASE_CALL_TIMEOUT).map(|_| ())
    }

    /// What has changed under a prefix since a revision, by a read that does not block.
    ///
    /// # Errors
    /// [`StateStoreError::TooOld`] if the revision is compacted away; otherwise as any call.
    pub fn changes(
        &self,
        prefix: &str,
        from: u64,
        priority: RequestPriority,
    ) -> Result<Events, StateStoreError> {
        self.admit(0, priority, BUDGET_PATIENCE)?;
        let path = format!("/watch?starts={prefix}&from={from}&blockMs=0");
        match self.call(&self.http, "GET", &path, None, CALL_TIMEOUT)? {
            (200, b) => parse(&b),
            (410, _) => Err(StateStoreError::TooOld),
            (s, _) => Err(StateStoreError::Refused(s)),
        }
    }

    /// Waits up to `block` for changes under a prefix since a revision.
    ///
    /// # Errors
    /// [`StateStoreError::TooOld`] if the revision is compacted away; otherwise as any call.
    pub fn watch(&self, prefix: &str, from: u64, block: Micros) -> Result<Events, StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        let path = format!("/watch?starts={prefix}&from={from}&blockMs={}", block.0 / 1000);
        match self.call(&self.watch, "GET", &path, None, block + CALL_TIMEOUT)? {
            (200, b) => parse(&b),
            (410, _) => Err(StateStoreError::TooOld),
            (s, _) => Err(StateStoreError::Refused(s)),
        }
    }
}

/// Decodes an answer's JSON body.
fn parse<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, StateStoreError> {
    serde_json::from_slice(body).map_err(|e| StateStoreError::Malformed(e.to_string()))
}
