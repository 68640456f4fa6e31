//! The load balancer's health check and the operators' status view.

use std::collections::BTreeMap;

use super::responses::unavailable;
use super::{Controller, Leadership, SharedState, VERSION};
use crate::http::{status, Request, Response};
use crate::time::{wall, Micros};
use crate::wire::{ControllerStatus, Health, ShardStatus};

/// Path of the status view on the interface between the controllers. A team's name may follow.
pub const STATUS_PATH: &str = "/status";
/// The other controllers count as unreachable after this long without any message or answer from them.
const PEER_TIMEOUT: Micros = Micros::from_millis(4500);
/// The state store counts as unreachable after this long without an answer.
const STATE_TIMEOUT: Micros = Micros::from_millis(1500);
/// Number of the only shard.
const ONLY_SHARD: u32 = 0;

impl Controller {
    /// Whether this controller can serve users. A controller that reaches neither the state store nor any
    /// other controller can answer only with 503, while the other controllers may be able to serve. An outage
    /// of the state store for all controllers does not make them unhealthy: the load balancer would then
    /// leave them out for longer than the outage lasts.
    pub(super) fn health(&self) -> Response {
        let shared = self.lock();
        if shared.machine_types.is_none() {
            return unavailable("starting");
        }
        let peer_silence = self.now() - shared.last_peer_contact;
        let store_unreachable = self.state.unreachable_for() > STATE_TIMEOUT;
        if store_unreachable && self.peers.count() > 0 && peer_silence > PEER_TIMEOUT {
            return unavailable("cut off from the state service and the other controllers");
        }
        Response::json(status::OK, &Health { healthy: true })
    }

    /// The status of this controller, restricted to one team if the path names one.
    pub(super) fn status(&self, request: &Request) -> Response {
        let team = request.path.strip_prefix(STATUS_PATH).and_then(|rest| rest.strip_prefix('/'));
        let shared = self.lock();
        let leadership = shared.leadership.as_ref();
        let lent_progress = || match leadership {
            Some(leadership) => self.lent_progress_of_leader(leadership),
            None => shared.lent_progress,
        };
        let cells_status = |leadership| self.cells_status(&shared, leadership);
        let status = ControllerStatus {
            leader: shared.leader.as_ref().map(|leader| leader.label.clone()),
            controller: self.config.platform.label.clone(),
            fleet: leadership.map(|leadership| leadership.fleet.status(team, self.now(), wall())),
            shards: leadership.map(|leadership| vec![self.shard_status(leadership)]),
            versions: Some(self.versions(&shared)),
            state_age_s: leadership.map(|leadership| leadership.store_contact.age(self.now()).secs()),
            lent_progress: team.is_none().then(lent_progress).flatten(),
            cells: leadership.filter(|_| team.is_none()).and_then(cells_status),
        };
        Response::json(status::OK, &status)
    }

    /// The status of the only shard, which belongs to the leader.
    fn shard_status(&self, leadership: &Leadership) -> ShardStatus {
        ShardStatus {
            leader: self.config.platform.label.clone(),
            shard: ONLY_SHARD,
            fencing_token: leadership.term.fencing_token,
        }
    }

    /// Versions of all controllers, by label; none for a controller that has not reported its version.
    fn versions(&self, shared: &SharedState) -> BTreeMap<String, Option<String>> {
        let members = self.config.platform.members.iter();
        let peers =
            members.map(|member| (member.label.clone(), shared.peer_versions.get(&member.label).cloned()));
        let own = (self.config.platform.label.clone(), Some(VERSION.to_string()));
        peers.chain([own]).collect()
    }
}
