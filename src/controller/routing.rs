//! Routes HTTP requests to their handlers, by path and method.

use std::sync::Arc;

use super::responses::unavailable;
use super::{Controller, STATUS_PATH};
use crate::api::{self, RequestOrigin};
use crate::http::{self, status, Reply, Request, RequestClass, Response};
use crate::wire::{HEALTH_PATH, HEARTBEAT_PATH, WRITE_OFF_PATH};

impl Controller {
    /// The callbacks that the HTTP server uses for each request. Latencies of health checks are not recorded.
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

    /// Answers a request that the HTTP server received. The reply to a heartbeat may be deferred.
    pub fn serve(&self, request: &Request, reply: Reply) {
        if request.path == HEARTBEAT_PATH && request.method == "POST" {
            self.handle_heartbeat(request, Some(reply));
        } else {
            reply.send(&self.answer(request, RequestOrigin::Http));
        }
    }

    /// Answers a request of a user, a worker or the load balancer, or one that another controller relayed.
    /// The heartbeats that come here are relayed ones, whose replies are not deferred.
    pub fn answer(&self, request: &Request, origin: RequestOrigin) -> Response {
        let is_relayed = origin == RequestOrigin::Peer;
        match request.path.as_str() {
            HEARTBEAT_PATH if request.method == "POST" => {
                let no_response = || unavailable("the heartbeat has no response");
                self.handle_heartbeat(request, None).unwrap_or_else(no_response)
            }
            HEALTH_PATH if request.method == "GET" => self.health(),
            HEARTBEAT_PATH | HEALTH_PATH => Response::error(status::METHOD_NOT_ALLOWED, "method not allowed"),
            // These paths are for operators, who use the interface between the controllers. Users'
            // connections cannot reach them.
            path if is_relayed && path.starts_with(STATUS_PATH) => self.status(request),
            path if is_relayed && path.starts_with(WRITE_OFF_PATH) => self.write_off(request),
            _ => api::handle(self, request, origin),
        }
    }
}

/// The class of a request, which decides on the threads of the HTTP server that handle it.
fn classify(request: &Request) -> RequestClass {
    match request.path.as_str() {
        HEALTH_PATH => RequestClass::HealthCheck,
        HEARTBEAT_PATH => RequestClass::Background,
        _ => RequestClass::Interactive,
    }
}
