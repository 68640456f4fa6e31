//! Routes HTTP requests to what answers them, by path and method.

use std::sync::Arc;

use super::responses::unavailable;
use super::{Controller, STATUS_PATH};
use crate::api::{self, RequestOrigin};
use crate::http::{self, status, Reply, Request, RequestClass, Response};
use crate::wire::{HEALTH_PATH, HEARTBEAT_PATH, WRITE_OFF_PATH};

impl Controller {
    /// What the HTTP server calls for each request.
    pub(super) fn service(self: &Arc<Controller>) -> http::Service {
        let controller = self.clone();
        let handler = move |request: Request, reply: Reply| {
            let since = controller.now();
            let path = request.path.clone();
            controller.serve(&request, reply);
            if path != HEALTH_PATH {
                controller.record_latency(&path, since);
            }
        };
        http::Service { classify, handler: Arc::new(handler) }
    }

    /// Answers a request that came over a connection, now or a little later.
    pub fn serve(&self, request: &Request, reply: Reply) {
        if request.path == HEARTBEAT_PATH && request.method == "POST" {
            self.handle_heartbeat(request, Some(reply));
        } else {
            reply.send(&self.answer(request, RequestOrigin::Http));
        }
    }

    /// Answers a request of a user, a worker or the load balancer, or one that another controller
    /// relayed.
    pub fn answer(&self, request: &Request, origin: RequestOrigin) -> Response {
        let is_relayed = origin == RequestOrigin::Peer;
        match request.path.as_str() {
            HEARTBEAT_PATH if request.method == "POST" => {
                let refused = || unavailable("not now");
                self.handle_heartbeat(request, None).unwrap_or_else(refused)
            }
            HEALTH_PATH if request.method == "GET" => self.health(),
            HEARTBEAT_PATH | HEALTH_PATH => Response::error(status::METHOD_NOT_ALLOWED, "wrong method"),
            // For operators, over the controllers' own interface: users' connections never reach it.
            path if is_relayed && path.starts_with(STATUS_PATH) => self.status(request),
            path if is_relayed && path.starts_with(WRITE_OFF_PATH) => self.write_off(request),
            _ => api::handle(self, request, origin),
        }
    }
}

/// Which threads of the HTTP server a request is for.
fn classify(request: &Request) -> RequestClass {
    match request.path.as_str() {
        HEALTH_PATH => RequestClass::HealthCheck,
        HEARTBEAT_PATH => RequestClass::Background,
        _ => RequestClass::Interactive,
    }
}
