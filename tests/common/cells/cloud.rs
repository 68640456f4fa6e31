//! A simulated cloud server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use milletlock::http::Response;
use serde_json::{json, Value};

use super::super::servers::serve;
use super::super::state_store_server::parameter;
use super::super::types;
use super::history::History;
use super::lock;

/// Starts a cloud server that lists the cell's machines and has no capacity for more. Returns its address.
pub fn cloud(machines: Vec<String>, history: Arc<Mutex<History>>) -> SocketAddr {
    serve(move |r| match (r.method.as_str(), r.path.split('?').next().unwrap_or("")) {
        ("POST", "/rentals/return") => {
            let body: Value = serde_json::from_slice(&r.body).expect("a request");
            let names = body["husks"].as_array().expect("names").iter().filter_map(Value::as_str);
            names.for_each(|id| lock(&history).remove_machine(id));
            Response::json(200, &json!({}))
        }
        ("POST", "/rentals") => {
            let body: Value = serde_json::from_slice(&r.body).expect("a request");
            lock(&history).scale_out_requests += body["count"].as_u64().unwrap_or(0);
            Response::error(503, "no capacity")
        }
        ("GET", "/catalog") => Response::json(200, &json!({ "breeds": types() })),
        ("GET", "/rentals") => {
            let from = parameter(&r, "from");
            let machine = |id: &String| {
                json!({ "nameId": id, "addr": "", "breed": "small", "field": "north", "gleanings": false,
                        "stage": "running", "ageS": 60.0 })
            };
            let history = lock(&history);
            let listed =
                machines.iter().filter(|id| id.as_str() > from && !history.removed_machines.contains(*id));
            let list: Vec<Value> = listed.map(machine).collect();
            Response::json(200, &json!({ "husks": list, "more": false }))
        }
        _ => Response::error(503, "no capacity"),
    })
}
