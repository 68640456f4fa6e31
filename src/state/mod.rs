//! Client of the state store (the consensus-backed key-value store): reads, compare-and-swap
//! transactions, leases and watches, within this controller's share of the store's rate limits.

mod budget;
mod error;

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};

use serde::Deserialize;
use serde_json::{json, Value};

use crate::http::{status, CallError, Client, ClientResponse};
use crate::time::{steady, Micros, Steady};
use crate::wire::{LeaseGranted, LeaseRequest, Row, RowPage, Txn, TxnCommitted, TxnConflict, WatchEvents};

use budget::RateBudget;
pub use budget::{AllowedRates, NextRates, RateShares, RequestPriority, TokenBucket};
pub use error::{StateStoreError, TxnOutcome};

/// Client of the state store. Calls wait for this controller's rate budget (by their
/// [`RequestPriority`]) and fail with a [`StateStoreError`] when they have no result.
pub struct StateStoreClient {
    calls: Client,
    /// Blocking watches have connections of their own, so that they never hold up other calls.
    watches: Client,
    budget: Mutex<RateBudget>,
    budget_changed: Condvar,
    /// Since when no call has been answered, if the last one was not.
    unreachable_since: Mutex<Option<Steady>>,
}

/// All keys with a prefix.
#[derive(Clone, Debug)]
pub struct KeyList {
    /// The keys, in order, with their values.
    pub rows: Vec<Row>,
    /// The store's revision when the first page was read: a watch from it misses nothing.
    pub revision: u64,
}

/// Timeout of one call.
const CALL_TIMEOUT: Micros = Micros::from_millis(2000);
/// Timeout of lease renewals and ends.
const LEASE_CALL_TIMEOUT: Micros = Micros::from_millis(1000);
/// How long a call waits for the budget, unless it is a leadership call.
const BUDGET_PATIENCE: Micros = Micros::from_millis(1500);
/// Connections for calls.
const CALL_CONNECTIONS: usize = 8;
/// Connections for blocking watches.
const WATCH_CONNECTIONS: usize = 2;
/// Rows a page of a list.
const LIST_PAGE_ROWS: usize = 500;
/// Tries of a transaction that a user waits for, when the store refuses it for the rate.
const USER_TXN_TRIES: u32 = 3;

impl StateStoreClient {
    /// A client that keeps to the `allowed` rates, and to the fractions `next` of them once the store's
    /// limits fall.
    pub fn new(address: SocketAddr, allowed: AllowedRates, next: RateShares) -> StateStoreClient {
        StateStoreClient {
            calls: Client::new(address, CALL_CONNECTIONS),
            watches: Client::new(address, WATCH_CONNECTIONS),
            budget: Mutex::new(RateBudget::new(allowed, NextRates::new(next), steady())),
            budget_changed: Condvar::new(),
            unreachable_since: Mutex::new(None),
        }
    }

    /// For how long the store has been unreachable (zero if the last call was answered).
    pub fn unreachable_for(&self) -> Micros {
        let since = self.unreachable_since.lock().ok().and_then(|since| *since);
        since.map_or(Micros::ZERO, |since| steady() - since)
    }

    /// Changes this controller's share of the store's limits.
    pub fn set_allowed_rates(&self, allowed: AllowedRates) {
        if let Ok(mut budget) = self.budget.lock() {
            budget.set_allowed(allowed);
        }
    }

    /// Waits until the budget allows one request with `writes` changes, at most `patience`.
    fn admit(
        &self,
        writes: usize,
        priority: RequestPriority,
        patience: Micros,
    ) -> Result<(), StateStoreError> {
        let deadline = steady() + patience;
        let Ok(mut budget) = self.budget.lock() else { return Err(StateStoreError::RateBudgetExceeded) };
        loop {
            let now = steady();
            let Err(wait) = budget.try_take(now, writes, priority) else { return Ok(()) };
            if now + wait > deadline {
                return Err(StateStoreError::RateBudgetExceeded);
            }
            match self.budget_changed.wait_timeout(budget, wait.to_duration()) {
                Ok((guard, _)) => budget = guard,
                Err(_) => return Err(StateStoreError::RateBudgetExceeded),
            }
        }
    }

    /// Makes one HTTP call, notes whether the store is reachable and counts refusals for the rate.
    fn call(
        &self,
        client: &Client,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout: Micros,
    ) -> Result<ClientResponse, StateStoreError> {
        let body = body.map(Value::to_string);
        let result = client.call(method, path, body.as_deref().map(str::as_bytes), timeout);
        self.note_reachability(&result);
        match result {
            Ok(ClientResponse { status: status::TOO_MANY_REQUESTS, .. }) => {
                if let Ok(mut budget) = self.budget.lock() {
                    budget.rate_refused();
                }
                Err(StateStoreError::Refused(status::TOO_MANY_REQUESTS))
            }
            Ok(ClientResponse { status: status::SERVICE_UNAVAILABLE, .. }) => {
                Err(StateStoreError::Refused(status::SERVICE_UNAVAILABLE))
            }
            Ok(response) => Ok(response),
            Err(CallError::NotSent(_)) => Err(StateStoreError::NotSent),
            Err(CallError::NoAnswer(cause)) => Err(StateStoreError::NoAnswer(cause)),
        }
    }

    fn note_reachability(&self, result: &Result<ClientResponse, CallError>) {
        let Ok(mut unreachable_since) = self.unreachable_since.lock() else { return };
        match result {
            Ok(ClientResponse { status: status::SERVICE_UNAVAILABLE, .. }) | Err(_) => {
                unreachable_since.get_or_insert_with(steady);
            }
            Ok(_) => *unreachable_since = None,
        }
    }

    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    /// As any call.
    pub fn get(&self, key: &str, priority: RequestPriority) -> Result<Option<Row>, StateStoreError> {
        self.admit(0, priority, BUDGET_PATIENCE)?;
        let response = self.call(&self.calls, "GET", &format!("/keys/{key}"), None, CALL_TIMEOUT)?;
        match response.status {
            status::OK => parse(&response.body).map(Some),
            status::NOT_FOUND => Ok(None),
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Reads all keys with a prefix, page by page.
    ///
    /// # Errors
    /// As any call; the first error ends the read.
    pub fn list(&self, prefix: &str) -> Result<KeyList, StateStoreError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut revision = None;
        loop {
            let page = self.list_page(prefix, rows.last())?;
            let first_revision = *revision.get_or_insert(page.revision);
            let empty = page.rows.is_empty();
            rows.extend(page.rows);
            if !page.more || empty {
                return Ok(KeyList { rows, revision: first_revision });
            }
        }
    }

    /// Reads the page of a list that begins after the row `last`.
    fn list_page(&self, prefix: &str, last: Option<&Row>) -> Result<RowPage, StateStoreError> {
        let from = last.map(|row| format!("&from={}", row.key)).unwrap_or_default();
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        let path = format!("/keys?starts={prefix}{from}&most={LIST_PAGE_ROWS}");
        let response = self.call(&self.calls, "GET", &path, None, CALL_TIMEOUT)?;
        match response.status {
            status::OK => parse(&response.body),
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Executes a compare-and-swap transaction.
    ///
    /// # Errors
    /// [`StateStoreError::LeaseNotFound`] if a put names a lease that is gone; [`StateStoreError::Rejected`] if
    /// the store takes no such transaction (too large); otherwise as any call.
    pub fn txn(&self, txn: &Txn, priority: RequestPriority) -> Result<TxnOutcome, StateStoreError> {
        let response = self.send_txn(txn, priority)?;
        match response.status {
            status::OK => {
                parse::<TxnCommitted>(&response.body).map(|reply| TxnOutcome::Committed(reply.revision))
            }
            status::CONFLICT => {
                parse::<TxnConflict>(&response.body).map(|reply| TxnOutcome::Conflict(reply.failed))
            }
            status::BAD_REQUEST => Err(self.txn_rejected(&response.body)),
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Sends a transaction; one that a user waits for is tried again when it is refused for the rate.
    fn send_txn(&self, txn: &Txn, priority: RequestPriority) -> Result<ClientResponse, StateStoreError> {
        let body = serde_json::to_value(txn).map_err(|e| StateStoreError::Malformed(e.to_string()))?;
        let mut tries = if priority == RequestPriority::User { USER_TXN_TRIES } else { 1 };
        loop {
            self.admit(txn.then.len(), priority, BUDGET_PATIENCE)?;
            tries -= 1;
            match self.call(&self.calls, "POST", "/txn", Some(&body), CALL_TIMEOUT) {
                // Too many changes at this moment, and a user waits: nothing was executed.
                Err(StateStoreError::Refused(status::TOO_MANY_REQUESTS)) if tries > 0 => {}
                result => return result,
            }
        }
    }

    /// The error for a transaction that the store answered with 400.
    fn txn_rejected(&self, body: &[u8]) -> StateStoreError {
        let text = String::from_utf8_lossy(body).into_owned();
        if text.contains("no such lease") {
            return StateStoreError::LeaseNotFound;
        }
        if let Ok(mut budget) = self.budget.lock() {
            budget.write_rejected();
        }
        StateStoreError::Rejected(text)
    }

    /// Takes a new lease of `ttl` (whole milliseconds on the wire); returns its id.
    ///
    /// # Errors
    /// As any call.
    pub fn grant_lease(&self, ttl: Micros) -> Result<u64, StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        let body = json!(LeaseRequest { ttl_ms: ttl.millis() });
        let response = self.call(&self.calls, "POST", "/leases", Some(&body), CALL_TIMEOUT)?;
        match response.status {
            status::OK | status::CREATED => parse::<LeaseGranted>(&response.body).map(|reply| reply.lease),
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// [`StateStoreError::LeaseNotFound`] if it is gone (lease expiry); otherwise as any call.
    pub fn renew_lease(&self, lease: u64) -> Result<(), StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        let path = format!("/leases/{lease}/renew");
        let response = self.call(&self.calls, "POST", &path, Some(&json!({})), LEASE_CALL_TIMEOUT)?;
        match response.status {
            status::OK => Ok(()),
            status::NOT_FOUND => Err(StateStoreError::LeaseNotFound),
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Ends a lease; the store removes the keys that are attached to it.
    ///
    /// # Errors
    /// As any call; a lease that is gone already is no error.
    pub fn end_lease(&self, lease: u64) -> Result<(), StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        self.call(&self.calls, "DELETE", &format!("/leases/{lease}"), None, LEASE_CALL_TIMEOUT).map(|_| ())
    }

    /// What has changed under a prefix since a revision, by a read that does not block.
    ///
    /// # Errors
    /// [`StateStoreError::RevisionCompacted`] if the revision is compacted away; otherwise as any call.
    pub fn changes(
        &self,
        prefix: &str,
        from: u64,
        priority: RequestPriority,
    ) -> Result<WatchEvents, StateStoreError> {
        self.admit(0, priority, BUDGET_PATIENCE)?;
        self.read_events(&self.calls, prefix, from, Micros::ZERO)
    }

    /// Waits up to `block` for changes under a prefix since a revision.
    ///
    /// # Errors
    /// [`StateStoreError::RevisionCompacted`] if the revision is compacted away; otherwise as any call.
    pub fn watch(&self, prefix: &str, from: u64, block: Micros) -> Result<WatchEvents, StateStoreError> {
        self.admit(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        self.read_events(&self.watches, prefix, from, block)
    }

    fn read_events(
        &self,
        client: &Client,
        prefix: &str,
        from: u64,
        block: Micros,
    ) -> Result<WatchEvents, StateStoreError> {
        let path = format!("/watch?starts={prefix}&from={from}&blockMs={}", block.millis());
        let response = self.call(client, "GET", &path, None, block + CALL_TIMEOUT)?;
        match response.status {
            status::OK => parse(&response.body),
            status::GONE => Err(StateStoreError::RevisionCompacted),
            other => Err(StateStoreError::Refused(other)),
        }
    }
}

/// Decodes a response's JSON body.
fn parse<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, StateStoreError> {
    serde_json::from_slice(body).map_err(|e| StateStoreError::Malformed(e.to_string()))
}
