//! Client of the state store, a consensus-backed key-value store: reads, compare-and-swap transactions,
//! leases and watches, within this controller's share of the state store's rate limits.

mod budget;
mod error;

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};

use serde::Deserialize;
use serde_json::{json, Value};

use crate::http::{status, CallError, Client, ClientResponse};
use crate::time::{steady, Micros, Steady};
use crate::wire::{
    KeyNotFound, LeaseGranted, LeaseRequest, Row, RowPage, Txn, TxnCommitted, TxnConflict, WatchEvents,
};

use budget::RateBudget;
pub use budget::{AllowedRates, NextRates, RateShares, RequestPriority, TokenBucket};
pub use error::{StateStoreError, TxnOutcome};

/// Client of the state store. A call waits for this controller's rate budget according to its
/// [`RequestPriority`], and fails with a [`StateStoreError`] if it has no result.
pub struct StateStoreClient {
    calls: Client,
    /// Blocking watches have their own connections, so that they never delay other calls.
    watches: Client,
    budget: Mutex<RateBudget>,
    budget_changed: Condvar,
    /// When the first call failed after the last answered call; `None` if the last call was answered.
    unreachable_since: Mutex<Option<Steady>>,
}

/// All keys with a prefix.
#[derive(Clone, Debug)]
pub struct KeyList {
    /// The keys, in order, with their values.
    pub rows: Vec<Row>,
    /// The state store's revision when the first page was read. A watch from this revision misses no change.
    pub revision: u64,
}

/// The answer to a read of a key.
#[derive(Clone, Debug)]
pub struct KeyRead {
    /// The row; `None` if the key does not exist.
    pub row: Option<Row>,
    /// The revision of the row, or the state store's revision at which the key did not exist.
    pub revision: u64,
}

/// Timeout of a call.
const CALL_TIMEOUT: Micros = Micros::from_millis(2000);
/// Timeout of calls that renew or end a lease.
const LEASE_CALL_TIMEOUT: Micros = Micros::from_millis(1000);
/// How long a call waits for the rate budget, unless it is a leadership call.
const BUDGET_TIMEOUT: Micros = Micros::from_millis(1500);
/// Maximum number of idle connections kept open for calls.
const CALL_CONNECTIONS: usize = 8;
/// Maximum number of idle connections kept open for blocking watches.
const WATCH_CONNECTIONS: usize = 2;
/// Maximum number of rows per page of a list.
const LIST_PAGE_ROWS: usize = 500;
/// Maximum number of tries of a transaction for which a user waits, if the state store refuses it because of
/// its rate limits.
const USER_TXN_TRIES: u32 = 3;

impl StateStoreClient {
    /// Creates a client that uses at most the `allowed` rates, and the fractions `next` of them once the
    /// state store's lower limits are in force.
    pub fn new(address: SocketAddr, allowed: AllowedRates, next: RateShares) -> StateStoreClient {
        StateStoreClient {
            calls: Client::new(address, CALL_CONNECTIONS),
            watches: Client::new(address, WATCH_CONNECTIONS),
            budget: Mutex::new(RateBudget::new(allowed, NextRates::new(next), steady())),
            budget_changed: Condvar::new(),
            unreachable_since: Mutex::new(None),
        }
    }

    /// For how long the state store has been unreachable; zero if the last call was answered.
    pub fn unreachable_for(&self) -> Micros {
        let since = self.unreachable_since.lock().ok().and_then(|since| *since);
        since.map_or(Micros::ZERO, |since| steady() - since)
    }

    /// Sets this controller's share of the state store's rate limits.
    pub fn set_allowed_rates(&self, allowed: AllowedRates) {
        if let Ok(mut budget) = self.budget.lock() {
            budget.set_allowed_rates(allowed);
        }
    }

    /// Waits up to `timeout` until the rate budget allows one request with `writes` changes.
    fn wait_for_budget(
        &self,
        writes: usize,
        priority: RequestPriority,
        timeout: Micros,
    ) -> Result<(), StateStoreError> {
        let deadline = steady() + timeout;
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

    /// Makes one HTTP call, and records whether the state store is reachable and whether it refused the call
    /// because of its rate limits.
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
        self.update_reachability(&result);
        match result {
            Ok(ClientResponse { status: status::TOO_MANY_REQUESTS, .. }) => {
                if let Ok(mut budget) = self.budget.lock() {
                    budget.record_rate_refusal();
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

    /// Records whether the state store answered a call. Status 503 does not count as an answer.
    fn update_reachability(&self, result: &Result<ClientResponse, CallError>) {
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
        self.read(key, priority).map(|read| read.row)
    }

    /// Reads a key, with the revision of what was found.
    ///
    /// # Errors
    /// As any call.
    pub fn read(&self, key: &str, priority: RequestPriority) -> Result<KeyRead, StateStoreError> {
        self.wait_for_budget(0, priority, BUDGET_TIMEOUT)?;
        let response = self.call(&self.calls, "GET", &format!("/keys/{key}"), None, CALL_TIMEOUT)?;
        match response.status {
            status::OK => {
                let row: Row = parse(&response.body)?;
                Ok(KeyRead { revision: row.mod_revision, row: Some(row) })
            }
            status::NOT_FOUND => {
                let KeyNotFound { revision } = parse(&response.body)?;
                Ok(KeyRead { row: None, revision })
            }
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Reads all keys with a prefix, page by page.
    ///
    /// # Errors
    /// As any call; the first error aborts the read.
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
        self.wait_for_budget(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
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
    /// [`StateStoreError::LeaseNotFound`] if a put names a lease that does not exist any more;
    /// [`StateStoreError::Rejected`] if the transaction is too large; otherwise as any call.
    pub fn txn(&self, txn: &Txn, priority: RequestPriority) -> Result<TxnOutcome, StateStoreError> {
        let response = self.send_txn(txn, priority)?;
        match response.status {
            status::OK => {
                parse::<TxnCommitted>(&response.body).map(|reply| TxnOutcome::Committed(reply.revision))
            }
            status::CONFLICT => {
                parse::<TxnConflict>(&response.body).map(|reply| TxnOutcome::Conflict(reply.failed))
            }
            status::BAD_REQUEST => Err(self.rejected_txn_error(&response.body)),
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Sends a transaction. If a user waits for it, it is tried again when the state store refuses it because
    /// of its rate limits.
    fn send_txn(&self, txn: &Txn, priority: RequestPriority) -> Result<ClientResponse, StateStoreError> {
        let body = serde_json::to_value(txn).map_err(|e| StateStoreError::Malformed(e.to_string()))?;
        let mut tries = if priority == RequestPriority::User { USER_TXN_TRIES } else { 1 };
        loop {
            self.wait_for_budget(txn.then.len(), priority, BUDGET_TIMEOUT)?;
            tries -= 1;
            match self.call(&self.calls, "POST", "/txn", Some(&body), CALL_TIMEOUT) {
                // The transaction was not executed, so that it can be sent again.
                Err(StateStoreError::Refused(status::TOO_MANY_REQUESTS)) if tries > 0 => {}
                result => return result,
            }
        }
    }

    /// Returns the error for a transaction that the state store answered with status 400. If a value or the
    /// transaction is too large, the next rate limits are in force.
    fn rejected_txn_error(&self, body: &[u8]) -> StateStoreError {
        let text = String::from_utf8_lossy(body).into_owned();
        if text.contains("no such lease") {
            return StateStoreError::LeaseNotFound;
        }
        if let Ok(mut budget) = self.budget.lock() {
            budget.apply_next_rates();
        }
        StateStoreError::Rejected(text)
    }

    /// Takes a new lease of duration `ttl`, which is sent in whole milliseconds; returns the lease's id.
    ///
    /// # Errors
    /// As any call.
    pub fn grant_lease(&self, ttl: Micros) -> Result<u64, StateStoreError> {
        self.wait_for_budget(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
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
    /// [`StateStoreError::LeaseNotFound`] if the lease does not exist any more; otherwise as any call.
    pub fn renew_lease(&self, lease: u64) -> Result<(), StateStoreError> {
        self.wait_for_budget(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        let path = format!("/leases/{lease}/renew");
        let response = self.call(&self.calls, "POST", &path, Some(&json!({})), LEASE_CALL_TIMEOUT)?;
        match response.status {
            status::OK => Ok(()),
            status::NOT_FOUND => Err(StateStoreError::LeaseNotFound),
            other => Err(StateStoreError::Refused(other)),
        }
    }

    /// Ends a lease; the state store then deletes the keys that are attached to it.
    ///
    /// # Errors
    /// As any call; a lease that does not exist any more is no error.
    pub fn end_lease(&self, lease: u64) -> Result<(), StateStoreError> {
        self.wait_for_budget(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
        self.call(&self.calls, "DELETE", &format!("/leases/{lease}"), None, LEASE_CALL_TIMEOUT).map(|_| ())
    }

    /// Reads the changes of keys with a prefix since a revision, without blocking.
    ///
    /// # Errors
    /// [`StateStoreError::RevisionCompacted`] if the revision has been compacted; otherwise as any call.
    pub fn changes(
        &self,
        prefix: &str,
        from: u64,
        priority: RequestPriority,
    ) -> Result<WatchEvents, StateStoreError> {
        self.wait_for_budget(0, priority, BUDGET_TIMEOUT)?;
        self.read_events(&self.calls, prefix, from, Micros::ZERO)
    }

    /// Reads the changes of keys with a prefix since a revision, and waits up to `block` for the first one.
    ///
    /// # Errors
    /// [`StateStoreError::RevisionCompacted`] if the revision has been compacted; otherwise as any call.
    pub fn watch(&self, prefix: &str, from: u64, block: Micros) -> Result<WatchEvents, StateStoreError> {
        self.wait_for_budget(0, RequestPriority::Leadership, CALL_TIMEOUT)?;
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
