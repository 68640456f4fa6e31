//! The load balancer's health check and the status for people on call.

use std::collections::BTreeMap;

use super::{Controller, Leadership, SharedState, VERSION};
use crate::http::{Request, Response};
use crate::time::{wall, Micros};
use crate::wire::{ControllerStatus, Health, ShardStatus};

/// Path of the status view between controllers; a team's name may follow.
pub const STATUS: &str = "/status";
/// After this without any message or answer the other controllers count as unreachable.
const PEER_TIMEOUT: Micros = Micros::from_millis(4500);
/// After this without an answer the state store counts as unreachable.
const STATE_TIMEOUT: Micros = Micros::from_millis(1500);
/// Number of the one part that there is.
const ONLY_SHARD: u32 = 0;

impl Controller {
    /// Whether users are well served here. Cut off from the state store and all others it can
    /// answer nothing but 503, while the others may serve; an outage for all is not told by being
    /// unhealthy, since it would take the longer to come back.
    pub(super) fn health(&self) -> Response {
        let shared = self.lock();
        if shared.machine_types.is_none() {
            return Response::error(503, "starting");
        }
        let unheard = self.now() - shared.last_peer_contact;
        let lost = self.state.unreachable_for() > STATE_TIMEOUT;
        if lost && self.peers.count() > 0 && unheard > PEER_TIMEOUT {
            return Response::error(503, "cut off from the state service and the other controllers");
        }
        Response::json(200, &Health { healthy: true })
    }

    /// The status, whole or for the team that the path names.
    pub(super) fn status(&self, req: &Request) -> Response {
        let team = req.path.strip_prefix(STATUS).and_then(|r| r.strip_prefix('/'));
        let shared = self.lock();
        let label = &self.cfg.platform.label;
        let leadership = shared.leadership.as_ref();
        let part = |o: &Leadership| ShardStatus {
            leader: label.clone(),
            shard: ONLY_SHARD,
            fencing_token: o.claim.fencing_token,
        };
        Response::json(
            200,
            &ControllerStatus {
                leader: shared.leader.as_ref().map(|l| l.label.clone()),
                controller: label.clone(),
                fleet: leadership.map(|o| o.fleet.status(team, self.now(), wall())),
                shards: leadership.map(|o| vec![part(o)]),
                versions: Some(self.versions(&shared)),
                state_age_s: leadership.map(|o| o.view.age(self.now()).secs()),
                cells: leadership.filter(|_| team.is_none()).and_then(|o| self.cells_status(&shared, o)),
            },
        )
    }

    /// Versions of all controllers, by label: none for those that have not been heard.
    fn versions(&self, shared: &SharedState) -> BTreeMap<String, Option<String>> {
        let members = self.cfg.platform.members.iter();
        let told = members.map(|m| (m.label.clone(), shared.peer_versions.get(&m.label).cloned()));
        let own = (self.cfg.platform.label.clone(), Some(VERSION.to_string()));
        told.chain([own]).collect()
    }
}
