//! How a controller is: the load balancer's probe and the status view for people on call.

use serde_json::json;

use super::Node;
use crate::http::{Request, Response};
use crate::time::{wall, Micros};

/// Path of the status view between controllers; a team's name may follow.
pub const STATUS: &str = "/status";
/// After this without a word, asked for or not, none can be heard.
const PEER_LOST: Micros = Micros::from_millis(4500);
/// After this without an answer the state service counts as lost.
const STATE_LOST: Micros = Micros::from_millis(1500);

impl Node {
    /// Whether users are well served here. Cut off from the state service and all others it can
    /// answer nothing but 503, while the others may serve; an outage for all is not told by being
    /// unhealthy, since it would take the longer to come back.
    pub(super) fn up(&self) -> Response {
        let core = self.lock();
        if core.types.is_none() {
            return Response::error(503, "starting");
        }
        let unheard = self.now() - core.last_peer;
        let lost = self.state.out_of_reach() > STATE_LOST;
        if lost && self.peers.count() > 0 && unheard > PEER_LOST {
            return Response::error(503, "cut off from the state service and the other controllers");
        }
        Response::json(200, &json!({ "up": true }))
    }

    pub(super) fn status(&self, req: &Request) -> Response {
        let team = req.path.strip_prefix(STATUS).and_then(|r| r.strip_prefix('/'));
        let core = self.lock();
        let me = &self.cfg.platform.label;
        let leader = core.leader.as_ref().map(|l| l.label.clone());
        if let Some(own) = &core.own {
            let out_of_touch = own.view.age(self.now()).secs();
            let view = own.fleet.status(team, self.now(), wall());
            let parts = json!([{ "part": 0, "owner": me, "token": own.claim.token }]);
            let body = json!({
                "node": me, "leader": leader, "parts": parts, "state_seen_s_ago": out_of_touch, "owner": view,
            });
            return Response::json(200, &body);
        }
        Response::json(200, &json!({ "node": me, "leader": leader, "owner": null }))
    }
}
