//! Elections whose transactions are not answered, and elections over records of a newer format.

mod common;

use std::sync::{Arc, Mutex};

use common::servers::serve_opt;
use common::state_store_server::{read_response, transaction, transaction_response};
use common::store::Store;
use milletlock::http::Response;
use milletlock::leadership;
use milletlock::state::{AllowedRates, RateShares, StateStoreClient, StateStoreError};
use milletlock::time::Micros;
use milletlock::wire::Txn;
use serde_json::json;

/// Rate limits that these tests never reach.
const UNLIMITED: AllowedRates = AllowedRates { requests_per_s: 1e6, writes_per_s: 1e6 };

/// An election transaction is not answered. It is executed only when the same process tries again, with the
/// same fencing token, incarnation and label, and the second transaction is not answered either. If the
/// process took the first transaction for the second, it would renew a lease to which the leader's record is
/// not attached.
#[test]
fn an_election_committed_late_is_not_mistaken_for_the_next_election() {
    #[derive(Default)]
    struct FaultyStateStore {
        store: Store,
        leases: u64,
        ended: Vec<String>,
        late: Option<Txn>,
    }
    let state_store: Arc<Mutex<FaultyStateStore>> = Arc::default();
    let served = state_store.clone();
    let addr = serve_opt(move |request| {
        let served = &mut *served.lock().expect("the state store");
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/leases") => {
                served.leases += 1;
                Response::json(200, &json!({ "tenure": served.leases }))
            }
            ("DELETE", path) => {
                served.ended.push(path.to_string());
                Response::json(200, &json!({}))
            }
            ("POST", "/txn") => {
                let txn = transaction(&request);
                match served.late.take() {
                    None => served.late = Some(txn),
                    Some(first) => {
                        assert!(served.store.txn(&first).is_ok(), "the first transaction is executed late");
                        assert!(served.store.txn(&txn).is_err(), "the guards of the second one fail");
                    }
                }
                return None;
            }
            ("GET", _) => read_response(&served.store, &request),
            _ => Response::error(404, "no such path"),
        })
    });
    let client = StateStoreClient::new(addr, UNLIMITED, RateShares::FULL);
    let try_election =
        || leadership::try_become_leader(&client, "c-0", 7, Micros::from_secs(3.0), 0).expect("an outcome");
    assert!(try_election().is_none(), "the first transaction is not executed before the read-back");
    // The lease of the first election has ended, so that a real state store would refuse its late
    // transaction. This model executes it nevertheless.
    assert_eq!(state_store.lock().expect("the state store").ended, ["/leases/1"]);
    assert!(try_election().is_none(), "the stored record is attached to the first lease");
}

/// Records of a newer format are neither loaded nor changed. This protects them from an old process that
/// starts again after the other controllers have been upgraded.
#[test]
fn records_of_a_newer_format_are_not_loaded() {
    let store: Arc<Mutex<Store>> = Arc::default();
    let known = leadership::FORMAT_VERSION;
    let served = store.clone();
    let addr = serve_opt(move |request| {
        let mut store = served.lock().expect("the state store");
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/leases") => Response::json(200, &json!({ "tenure": 1 })),
            ("POST", "/txn") => {
                let result = store.txn(&transaction(&request));
                transaction_response(&store, result)
            }
            ("GET", _) => read_response(&store, &request),
            _ => Response::error(404, "no such path"),
        })
    });
    let client = StateStoreClient::new(addr, UNLIMITED, RateShares::FULL);
    let try_election = || leadership::try_become_leader(&client, "c-0", 7, Micros::from_secs(3.0), 0);
    let put = |value: serde_json::Value| {
        let mut store = store.lock().expect("the state store");
        store.revision += 1;
        let revision = store.revision;
        store.keys.insert(leadership::FORMAT_KEY.into(), (value, revision));
    };
    for later in [json!({ "reader": known + 1 }), json!({ "reader": "two" }), json!([])] {
        put(later);
        assert!(matches!(try_election(), Err(StateStoreError::NewerRecords { known: k, .. }) if k == known));
        let keys: Vec<String> = store.lock().expect("the state store").keys.keys().cloned().collect();
        assert_eq!(keys, [leadership::FORMAT_KEY], "the election wrote to the state store");
    }
    put(json!({ "reader": known, "more": true }));
    assert!(try_election().expect("an outcome").is_some(), "a known format prevented the election");
}
