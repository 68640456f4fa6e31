//! The state store's replies to requests, given its present keys. A test that needs leases, refusals, lost
//! replies or blocking watches models them itself.

use milletlock::http::{Request, Response};
use milletlock::wire::Txn;
use serde_json::{json, Value};

use super::store::Store;

/// The value of a query parameter of a request; empty if the request does not have it.
pub fn parameter<'a>(request: &'a Request, name: &str) -> &'a str {
    let query = request.path.split_once('?').map_or("", |parts| parts.1);
    let value = |pair: &'a str| pair.split_once('=').filter(|p| p.0 == name).map(|p| p.1);
    query.split('&').find_map(value).unwrap_or("")
}

/// Decodes the transaction in the body of a request.
pub fn transaction(request: &Request) -> Txn {
    serde_json::from_slice(&request.body).expect("a transaction")
}

/// The response to a transaction with this result.
pub fn transaction_response(store: &Store, result: Result<u64, Vec<String>>) -> Response {
    match result {
        Ok(revision) => Response::json(200, &json!({ "harvest": revision })),
        Err(keys) => Response::json(409, &json!({ "failed": keys, "harvest": store.revision })),
    }
}

/// The response to a list of keys, to a watch, which is answered without blocking, or to the read of a key.
pub fn read_response(store: &Store, request: &Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    match path {
        "/keys" => {
            let rows = store.rows(parameter(request, "starts"));
            Response::json(200, &json!({ "rows": rows, "more": false, "harvest": store.revision }))
        }
        "/watch" => {
            let (prefix, from) = watch_parameters(request);
            Response::json(200, &json!({ "harvest": store.revision, "events": events(store, prefix, from) }))
        }
        key => match store.row(key.trim_start_matches("/keys/")) {
            Some(row) => Response::json(200, &row),
            None => Response::json(404, &json!({ "harvest": store.revision })),
        },
    }
}

/// The parameters of a watch request: the prefix of the keys, and the revision after which changes are
/// returned.
pub fn watch_parameters(request: &Request) -> (&str, u64) {
    (parameter(request, "starts"), parameter(request, "from").parse().unwrap_or(0))
}

/// The changes of keys with a prefix after a revision, as events of a watch.
pub fn events(store: &Store, prefix: &str, from: u64) -> Vec<Value> {
    let changes = store.changes_since(from).iter().filter(|change| change.1.starts_with(prefix));
    changes
        .map(|(revision, key, value)| match value {
            Some(value) => json!({ "put": key, "value": value, "stamp": revision }),
            None => json!({ "drop": key, "stamp": revision }),
        })
        .collect()
}
