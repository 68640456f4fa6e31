//! HTTP servers that stand in for what a controller calls.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use milletlock::http::{self, Reply, Request, RequestClass, Response, ServerLimits};
use serde_json::{json, Value};

use super::types;

/// Serves requests on a port of its own until the test ends; one without a reply has its
/// connection closed.
pub fn serve_or_disconnect(f: impl Fn(Request) -> Option<Response> + Send + Sync + 'static) -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address");
    let limits = ServerLimits {
        connections: 100,
        background_connections: 100,
        interactive_threads: 50,
        background_threads: 1,
    };
    let handler = Arc::new(move |r: Request, reply: Reply| match f(r) {
        Some(response) => reply.send(&response),
        None => drop(reply),
    });
    let service = http::Service { classify: |_| RequestClass::Interactive, handler };
    std::thread::spawn(move || http::serve(l, limits, Arc::new(AtomicBool::new(false)), service));
    addr
}

/// The same, with a reply to all.
pub fn serve(f: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    serve_or_disconnect(move |r| Some(f(r)))
}

/// A cloud with the usual types, no machines and no capacity.
pub fn cloud() -> SocketAddr {
    recording_cloud(Arc::default())
}

/// The same, which records the machines that it is asked to take back.
pub fn recording_cloud(returned: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    serve(move |r| match (r.method.as_str(), r.path.split('?').next().unwrap_or("")) {
        ("GET", "/catalog") => Response::json(200, &json!({ "breeds": types() })),
        ("GET", "/rentals") => Response::json(200, &json!({ "husks": [], "more": false })),
        ("POST", "/rentals/return") => {
            let request: Value = serde_json::from_slice(&r.body).expect("a request");
            let ids = request["husks"].as_array().into_iter().flatten().filter_map(Value::as_str);
            returned.lock().expect("no panic").extend(ids.map(String::from));
            Response::json(200, &json!({}))
        }
        _ => Response::error(503, "no capacity"),
    })
}
