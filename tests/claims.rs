//! Claims whose transactions have no answer.

mod common;

use std::sync::{Arc, Mutex};

use common::servers::serve_some;
use common::state_service::{answer_read, transaction};
use common::store::Store;
use milletlock::cluster;
use milletlock::http::Response;
use milletlock::state::StateClient;
use milletlock::time::Micros;
use milletlock::wire::Txn;
use serde_json::json;

/// A claim has no answer and is carried out only when the same process claims again, with the same
/// token, incarnation and label, and has no answer once more. Taken for the second it would leave the
/// owner renewing a lease that the leader's record does not hang on.
#[test]
fn a_claim_carried_out_late_is_not_taken_for_the_next() {
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
            ("GET", _) => answer_read(&s.store, &r),
            _ => Response::error(404, "no such path"),
        })
    });
    let client = StateClient::new(addr, 1e6, 1e6, (1.0, 1.0));
    let claim = || cluster::claim(&client, "c-0", 7, Micros::from_secs(3.0), 0).expect("an outcome");
    assert!(claim().is_none(), "not there when it was looked for");
    // Its lease is ended, so that the service refuses the late copy; this one carries it out all the same.
    assert_eq!(service.lock().expect("the service").ended, ["/leases/1"]);
    assert!(claim().is_none(), "what is written hangs on the first lease");
}
