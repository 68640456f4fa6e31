//! HTTP servers that replace the services that a controller calls, such as the cloud.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use milletlock::http::{self, Reply, Request, RequestClass, Response, ServerLimits};
use serde_json::{json, Value};

use super::types;

/// Starts a server on a free port and returns its address. The server runs until the test process ends. If
/// `handle` returns `None`, the server closes the connection without a response.
pub fn serve_opt(handle: impl Fn(Request) -> Option<Response> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let limits = ServerLimits {
        connections: 100,
        background_connections: 100,
        interactive_threads: 50,
        background_threads: 1,
    };
    let handler = Arc::new(move |request: Request, reply: Reply| match handle(request) {
        Some(response) => reply.send(&response),
        None => drop(reply),
    });
    let service = http::Service { classify: |_| RequestClass::Interactive, handler };
    std::thread::spawn(move || http::serve(listener, limits, Arc::new(AtomicBool::new(false)), service));
    addr
}

/// Starts a server as [`serve_opt`] does, with a response to every request.
pub fn serve(handle: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    serve_opt(move |request| Some(handle(request)))
}

/// Starts a cloud that offers the machine types of [`types`], and has no machines and no capacity.
pub fn cloud() -> SocketAddr {
    recording_cloud(Arc::default())
}

/// Starts a cloud as [`cloud`] does. It adds the IDs of the machines that a controller returns to `returned`.
pub fn recording_cloud(returned: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    serve(move |request| match (request.method.as_str(), request.path.split('?').next().unwrap_or("")) {
        ("GET", "/catalog") => Response::json(200, &json!({ "breeds": types() })),
        ("GET", "/rentals") => Response::json(200, &json!({ "husks": [], "more": false })),
        ("POST", "/rentals/return") => {
            let body: Value = serde_json::from_slice(&request.body).expect("a JSON body");
            let ids = body["husks"].as_array().into_iter().flatten().filter_map(Value::as_str);
            returned.lock().expect("no panic").extend(ids.map(String::from));
            Response::json(200, &json!({}))
        }
        _ => Response::error(503, "no capacity"),
    })
}
