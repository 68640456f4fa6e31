//! Claims whose transactions have no reply.

mod common;

use std::sync::{Arc, Mutex};

use common::servers::serve_some;
use common::state_store_server::{read_response, transaction, transaction_response};
use common::store::Store;
use milletlock::http::Response;
use milletlock::leadership;
use milletlock::state::{AllowedRates, RateShares, StateStoreClient, StateStoreError};
use milletlock::time::Micros;
use milletlock::wire::Txn;
use serde_json::json;

/// Rates that are never reached here.
const UNLIMITED: AllowedRates = AllowedRates { requests_per_s: 1e6, writes_per_s: 1e6 };

/// A claim has no reply and is carried out only when the same process claims again, with the same
/// fencing token, incarnation and label, and has no reply once more. Taken for the second it would leave the
/// leader renewing a lease that the leader's record does not hang on.
#[test]
fn a_late_claim_is_not_mistaken_for_the_next() {
    #[derive(Default)]
    struct Service {
        store: Store,
        leases: u64,
        ended: Vec<String>,
        late: Option<Txn>,
    }
    let service: Arc<Mutex<Service>> = Arc::default();
    let s = service.clone();
    let addr = serve_some(move |r| {
        let s = &mut *s.lock().expect("the service");
        Some(match (r.method.as_str(), r.path.as_str()) {
            ("POST", "/leases") => {
                s.leases += 1;
                Response::json(200, &json!({ "tenure": s.leases }))
            }
            ("DELETE", path) => {
                s.ended.push(path.to_string());
                Response::json(200, &json!({}))
            }
            ("POST", "/txn") => {
                let t = transaction(&r);
                match s.late.take() {
                    None => s.late = Some(t),
                    Some(first) => {
                        assert!(s.store.txn(&first).is_ok(), "the first is carried out");
                        assert!(s.store.txn(&t).is_err(), "the second fails by its guards");
                    }
                }
                return None;
            }
            ("GET", _) => read_response(&s.store, &r),
            _ => Response::error(404, "no such path"),
        })
    });
    let client = StateStoreClient::new(addr, UNLIMITED, RateShares::FULL);
    let claim =
        || leadership::try_become_leader(&client, "c-0", 7, Micros::from_secs(3.0), 0).expect("an outcome");
    assert!(claim().is_none(), "not there when it was looked for");
    // Its lease is ended, so that the service refuses the late copy; this one carries it out all the same.
    assert_eq!(service.lock().expect("the service").ended, ["/leases/1"]);
    assert!(claim().is_none(), "what is written hangs on the first lease");
}

/// Records of a newer format are neither loaded nor changed: an old process may be back after all
/// others have moved on.
#[test]
fn records_of_a_newer_format_are_not_loaded() {
    let store: Arc<Mutex<Store>> = Arc::default();
    let known = leadership::FORMAT_VERSION;
    let s = store.clone();
    let addr = serve_some(move |r| {
        let mut store = s.lock().expect("the store");
        Some(match (r.method.as_str(), r.path.as_str()) {
            ("POST", "/leases") => Response::json(200, &json!({ "tenure": 1 })),
            ("POST", "/txn") => {
                let result = store.txn(&transaction(&r));
                transaction_response(&store, result)
            }
            ("GET", _) => read_response(&store, &r),
            _ => Response::error(404, "no such path"),
        })
    });
    let client = StateStoreClient::new(addr, UNLIMITED, RateShares::FULL);
    let claim = || leadership::try_become_leader(&client, "c-0", 7, Micros::from_secs(3.0), 0);
    let put = |value: serde_json::Value| {
        let mut store = store.lock().expect("the store");
        store.revision += 1;
        let revision = store.revision;
        store.keys.insert(leadership::FORMAT_KEY.into(), (value, revision));
    };
    for later in [json!({ "reader": known + 1 }), json!({ "reader": "two" }), json!([])] {
        put(later);
        assert!(matches!(claim(), Err(StateStoreError::NewerRecords { known: k, .. }) if k == known));
        let keys: Vec<String> = store.lock().expect("the store").keys.keys().cloned().collect();
        assert_eq!(keys, [leadership::FORMAT_KEY], "nothing is written");
    }
    put(json!({ "reader": known, "more": true }));
    assert!(claim().expect("an outcome").is_some(), "a known format is loaded");
}
