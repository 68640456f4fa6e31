//! A simulated state store whose leases follow simulated time. It can refuse some controllers or be
//! unavailable.

use std::collections::{BTreeMap, BTreeSet};

use milletlock::http::{Request, Response};
use milletlock::wire::{Change, Txn};
use serde_json::{json, Value};

use crate::common::state_store_server::{parameter, read_response, transaction, transaction_response};
use crate::common::store::Store;

/// A lease and the keys that are removed when it ends.
pub struct Lease {
    /// Its duration in microseconds.
    ttl: i64,
    /// When it expires, in microseconds of simulated time.
    until: i64,
    keys: BTreeSet<String>,
}

/// The simulated state store. The stores that other tests share have no leases; only these tests need them.
#[derive(Default)]
pub struct StateStoreServer {
    pub store: Store,
    /// The leases by id.
    pub leases: BTreeMap<u64, Lease>,
    /// The id of the latest lease.
    pub next: u64,
    /// Whether all controllers are refused.
    pub unavailable: bool,
    /// The controllers that are refused.
    pub refused: BTreeSet<usize>,
    /// Whether reads of the first controller are refused, in addition to `refused`.
    pub reads_refused: bool,
    /// How many of the next cancellations are executed without a reply.
    pub lost_replies: usize,
}

impl StateStoreServer {
    /// Ends the leases that have expired. None expires while the state store is unavailable.
    pub fn expire(&mut self, now: i64) {
        if self.unavailable {
            return;
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|lease| lease.1.until < now).map(|lease| *lease.0).collect();
        expired.into_iter().for_each(|lease| self.end(lease));
    }

    /// Ends a lease and removes its keys.
    fn end(&mut self, lease: u64) {
        let Some(ended) = self.leases.remove(&lease) else { return };
        let then: Vec<Change> = ended.keys.into_iter().map(Change::drop).collect();
        if !then.is_empty() {
            let _ = self.store.txn(&Txn { guards: vec![], then });
        }
    }

    /// Ends an outage. Every lease then has its full duration again.
    pub fn end_outage(&mut self, now: i64) {
        self.unavailable = false;
        self.leases.values_mut().for_each(|lease| lease.until = now + lease.ttl);
    }

    /// The reply to a controller's request; none if the connection is closed without a reply.
    pub fn reply(&mut self, controller: usize, request: &Request, now: i64) -> Option<Response> {
        self.expire(now);
        let path = request.path.split('?').next().unwrap_or("");
        let unreadable = controller == 0 && self.reads_refused && request.method == "GET";
        if self.unavailable || self.refused.contains(&controller) || unreadable {
            return Some(self.refused_response(path, request));
        }
        let lease_of = |path: &str| path.split('/').nth(2).and_then(|l| l.parse::<u64>().ok()).unwrap_or(0);
        Some(match (request.method.as_str(), path) {
            ("POST", "/leases") => {
                let body: Value = serde_json::from_slice(&request.body).expect("a lease");
                let ttl = body["ttlMs"].as_i64().expect("a time") * 1000;
                self.next += 1;
                self.leases.insert(self.next, Lease { ttl, until: now + ttl, keys: BTreeSet::new() });
                Response::json(200, &json!({ "tenure": self.next }))
            }
            ("POST", path) if path.ends_with("/renew") => match self.leases.get_mut(&lease_of(path)) {
                Some(l) => {
                    l.until = now + l.ttl;
                    Response::json(200, &json!({}))
                }
                None => Response::error(404, "no such lease"),
            },
            ("DELETE", path) => {
                self.end(lease_of(path));
                Response::json(200, &json!({}))
            }
            ("POST", "/txn") => return self.txn(request),
            ("GET", _) => read_response(&self.store, request),
            _ => Response::error(404, "no such path"),
        })
    }

    /// The response of a state store that refuses a controller. A watch ends without events, as one does that
    /// was open before; all other requests are refused.
    fn refused_response(&self, path: &str, request: &Request) -> Response {
        if path == "/watch" && parameter(request, "blockMs") != "0" {
            return Response::json(200, &json!({ "harvest": self.store.revision, "events": [] }));
        }
        Response::error(503, "unavailable")
    }

    /// Executes a transaction, unless one of its leases has ended.
    fn txn(&mut self, request: &Request) -> Option<Response> {
        let txn = transaction(request);
        let leases: Vec<u64> = txn
            .then
            .iter()
            .filter_map(|change| if let Change::Put { lease, .. } = change { *lease } else { None })
            .collect();
        if leases.iter().any(|l| !self.leases.contains_key(l)) {
            return Some(Response::error(400, "no such lease"));
        }
        let done = self.store.txn(&txn);
        if done.is_ok() {
            for change in &txn.then {
                self.leases.values_mut().for_each(|l| {
                    l.keys.remove(change.key());
                });
                if let Change::Put { put, lease: Some(l), .. } = change {
                    self.leases.get_mut(l)?.keys.insert(put.clone());
                }
            }
        }
        if self.lost_replies > 0 && txn.then.iter().any(|change| change.key().starts_with("final/")) {
            self.lost_replies -= 1;
            return None;
        }
        Some(transaction_response(&self.store, done))
    }
}
