//! The simulated state store server of a cell, with leases that expire.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use milletlock::http::{Request, Response};
use milletlock::wire::Change;
use serde_json::{json, Value};

use super::super::servers::serve_opt;
use super::super::state_store_server::{
    events, parameter, read_response, transaction, transaction_response, watch_parameters,
};
use super::super::store::Store;
use super::lock;

/// A simulated state store with leases that expire.
#[derive(Default)]
struct StateStore {
    store: Store,
    /// The time to live, the expiry and the keys of each lease, by lease id.
    leases: BTreeMap<u64, (Duration, Instant, Vec<String>)>,
}

impl StateStore {
    /// Deletes the leases that have expired, with their keys.
    fn delete_expired(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self.leases.iter().filter(|l| l.1 .1 < now).map(|l| *l.0).collect();
        for lease in expired {
            let keys = self.leases.remove(&lease).map(|l| l.2).unwrap_or_default();
            for key in keys.into_iter().filter(|key| self.store.keys.remove(key).is_some()) {
                self.store.revision += 1;
                self.store.log.push((self.store.revision, key, None));
            }
        }
    }

    /// Attaches the key of a change to the lease that the change names, and detaches it from any other lease.
    fn attach(&mut self, change: &Change) {
        self.leases.values_mut().for_each(|lease| lease.2.retain(|key| key != change.key()));
        if let Change::Put { put, lease: Some(lease), .. } = change {
            self.leases.get_mut(lease).into_iter().for_each(|l| l.2.push(put.clone()));
        }
    }

    /// The response to a request.
    fn reply(&mut self, r: &Request) -> Response {
        let path = r.path.split('?').next().unwrap_or("");
        let lease = path.trim_start_matches("/leases/").trim_end_matches("/renew").parse().unwrap_or(0);
        match (r.method.as_str(), path) {
            ("POST", "/leases") => {
                let body: Value = serde_json::from_slice(&r.body).expect("a lease");
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().expect("a time to live"));
                let id = self.leases.last_key_value().map_or(1, |l| l.0 + 1);
                self.leases.insert(id, (ttl, Instant::now() + ttl, Vec::new()));
                Response::json(200, &json!({ "tenure": id }))
            }
            ("POST", p) if p.ends_with("/renew") => match self.leases.get_mut(&lease) {
                Some(l) => {
                    l.1 = Instant::now() + l.0;
                    Response::json(200, &json!({}))
                }
                None => Response::error(404, "no such lease"),
            },
            ("DELETE", _) => {
                self.leases.get_mut(&lease).into_iter().for_each(|l| l.1 = Instant::now());
                Response::json(200, &json!({}))
            }
            ("POST", "/txn") => {
                let txn = transaction(r);
                let result = self.store.txn(&txn);
                for change in txn.then.iter().filter(|_| result.is_ok()) {
                    self.attach(change);
                }
                transaction_response(&self.store, result)
            }
            ("GET", _) => read_response(&self.store, r),
            _ => Response::error(404, "no such path"),
        }
    }
}

/// The numbers of requests and of changes that the controllers of a cell have sent to their state store.
#[derive(Default)]
pub struct StateStoreLoad {
    pub requests: AtomicUsize,
    pub changes: AtomicUsize,
}

/// Starts a state store server. While `drops_replies` is set, every fourth transaction has no reply. Half of
/// these transactions are executed, the others are not. While `is_unavailable` is set, all requests are
/// refused.
pub fn state_store_server(
    drops_replies: Arc<AtomicBool>,
    is_unavailable: Arc<AtomicBool>,
    load: Arc<StateStoreLoad>,
) -> SocketAddr {
    let (state, changed) = (Mutex::new(StateStore::default()), Condvar::new());
    let transactions = AtomicUsize::new(0);
    serve_opt(move |r| {
        load.requests.fetch_add(1, Ordering::Relaxed);
        if r.path == "/txn" {
            load.changes.fetch_add(transaction(&r).then.len(), Ordering::Relaxed);
        }
        let mut state = lock(&state);
        if r.path.starts_with("/watch") {
            let (prefix, from) = watch_parameters(&r);
            let block = Duration::from_millis(parameter(&r, "blockMs").parse().unwrap_or(0));
            let end = Instant::now() + block;
            while events(&state.store, prefix, from).is_empty() && Instant::now() < end {
                let wait = Duration::from_millis(20);
                state = changed.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
                state.delete_expired();
            }
        }
        state.delete_expired();
        let drops = r.path == "/txn" && drops_replies.load(Ordering::Relaxed);
        let number = if drops { transactions.fetch_add(1, Ordering::Relaxed) } else { 1 };
        if number % 8 == 0 {
            return None;
        }
        if is_unavailable.load(Ordering::Relaxed) {
            return Some(Response::error(503, "unavailable"));
        }
        let response = state.reply(&r);
        changed.notify_all();
        (number % 8 != 4).then_some(response)
    })
}
