//! Workers' heartbeats (`POST /checkin`). The leader answers them, at once or when there is a task to
//! start; any other controller redirects the worker to the leader or relays its heartbeat.

use std::sync::MutexGuard;
use std::time::Duration;

use super::deferred_replies::DeferredHeartbeatReply;
use super::responses::{not_the_leader, redirect, unavailable};
use super::step_down::StepDownReason;
use super::{Controller, SharedState};
use crate::fleet::HeartbeatOutcome;
use crate::http::{status, Reply, Request, Response};
use crate::jobs::MachineId;
use crate::time::{wall, Micros, Steady};
use crate::wire::{Heartbeat, HeartbeatReply};

/// Longest time for which the reply to an idle worker's heartbeat is deferred. The worker stops waiting after
/// four seconds.
const MAX_REPLY_DELAY: Micros = Micros::from_millis(2900);
/// Longest time for which a heartbeat waits while this controller rebuilds the fleet after a won election.
const REBUILD_TIMEOUT: Micros = Micros::from_millis(1500);
/// How often a waiting heartbeat checks whether the rebuild has ended.
const REBUILD_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a worker's redirection to the leader is remembered.
const REDIRECT_RETENTION: Micros = Micros::from_millis(30_000);
/// A redirected worker that sends its next heartbeat to this controller within this time cannot reach the
/// leader.
const REDIRECT_RETRY_WINDOW: Micros = Micros::from_millis(12_000);
/// How long this controller waits for the leader's answer to a relayed heartbeat.
const RELAY_HEARTBEAT_TIMEOUT: Micros = Micros::from_millis(2500);

/// How a heartbeat is handled.
enum HeartbeatHandling {
    /// The heartbeat is answered now: with this response, sent through the [`Reply`] if there is one.
    Answer(Response, Option<Reply>),
    /// The reply to the heartbeat is deferred.
    Deferred,
}

impl Controller {
    /// Handles a heartbeat. If there is a `reply`, the response is sent through it, now or later, and none is
    /// returned. A heartbeat that another controller relayed comes without a `reply`; its response is
    /// returned.
    pub(super) fn handle_heartbeat(&self, request: &Request, reply: Option<Reply>) -> Option<Response> {
        match self.receive_heartbeat(request, reply) {
            HeartbeatHandling::Answer(answer, Some(reply)) => {
                reply.send(&answer);
                None
            }
            HeartbeatHandling::Answer(answer, None) => Some(answer),
            HeartbeatHandling::Deferred => None,
        }
    }

    /// Decides how to answer a heartbeat: as the leader, or by redirecting or relaying it to the leader.
    fn receive_heartbeat(&self, request: &Request, reply: Option<Reply>) -> HeartbeatHandling {
        let heartbeat: Heartbeat = match serde_json::from_slice(&request.body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::error!(%error, "malformed heartbeat");
                return HeartbeatHandling::Answer(
                    Response::error(status::BAD_REQUEST, &error.to_string()),
                    reply,
                );
            }
        };
        let mut shared = self.await_rebuild();
        if shared.leadership.is_some() {
            return self.answer_as_leader(&mut shared, heartbeat, reply);
        }
        if self.config.operator.cells.is_some() {
            shared.reported_results.record_heartbeat(&heartbeat, self.now());
        }
        if reply.is_none() {
            return HeartbeatHandling::Answer(not_the_leader(), None);
        }
        HeartbeatHandling::Answer(self.redirect_or_relay(shared, &heartbeat.machine, request), reply)
    }

    /// Locks the shared state. While the fleet is being rebuilt, first waits up to [`REBUILD_TIMEOUT`] for
    /// the rebuild to end.
    fn await_rebuild(&self) -> MutexGuard<'_, SharedState> {
        let since = self.now();
        let mut shared = self.lock();
        while shared.is_rebuilding && shared.leadership.is_none() && self.now() - since < REBUILD_TIMEOUT {
            shared = match self.wake.wait_timeout(shared, REBUILD_CHECK_INTERVAL) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        shared
    }

    /// Handles a heartbeat as the leader: answers it or defers the reply.
    fn answer_as_leader(
        &self,
        shared: &mut SharedState,
        heartbeat: Heartbeat,
        reply: Option<Reply>,
    ) -> HeartbeatHandling {
        let now = self.now();
        let Some(leadership) = shared.leadership.as_mut() else {
            return HeartbeatHandling::Answer(not_the_leader(), reply);
        };
        if !leadership.store_contact.may_act(now) {
            // This leader can no longer see cancellations, so it must let the workers' leases expire.
            leadership.fleet.record_unanswered_heartbeat(&heartbeat.machine, now);
            let refused = unavailable("the leader has had no contact with the state store for too long");
            return HeartbeatHandling::Answer(refused, reply);
        }
        leadership.last_heartbeat = now;
        let outcome = leadership.fleet.apply_heartbeat(&heartbeat, now, wall());
        if leadership.fleet.has_results_of_loans(&heartbeat) {
            self.wake.notify_all();
        }
        match outcome {
            HeartbeatOutcome::Reply(heartbeat_reply) => {
                reply_or_defer(shared, heartbeat, &heartbeat_reply, reply, now)
            }
            HeartbeatOutcome::Refuse => HeartbeatHandling::Answer(unavailable("heartbeat refused"), reply),
            HeartbeatOutcome::Superseded(fencing_token) => {
                self.step_down(shared, StepDownReason::HigherTokenAtWorker(fencing_token));
                HeartbeatHandling::Answer(not_the_leader(), reply)
            }
        }
    }

    /// Redirects a worker to the leader. If the worker was redirected a short time ago, relays its heartbeat
    /// to the leader instead.
    fn redirect_or_relay(
        &self,
        mut shared: MutexGuard<'_, SharedState>,
        machine: &str,
        request: &Request,
    ) -> Response {
        let now = self.now();
        let own_label = &self.config.platform.label;
        let Some(leader) = shared.leader.clone().filter(|leader| leader.label != *own_label) else {
            return unavailable("no leader is known");
        };
        shared.redirected.retain(|_, at| now - *at < REDIRECT_RETENTION);
        let was_redirected =
            shared.redirected.get(machine).is_some_and(|at| now - *at < REDIRECT_RETRY_WINDOW);
        if !was_redirected {
            shared.redirected.insert(machine.to_string(), now);
            return redirect(leader.label);
        }
        drop(shared);
        // The worker was redirected and has come back: it cannot reach the leader.
        self.peer_index(&leader.label)
            .and_then(|peer| self.relay(peer, request, RELAY_HEARTBEAT_TIMEOUT))
            .unwrap_or_else(|| unavailable("the leader did not answer the relayed heartbeat"))
    }
}

/// Answers a heartbeat with the fleet's reply, or defers the reply if the machine is idle.
fn reply_or_defer(
    shared: &mut SharedState,
    heartbeat: Heartbeat,
    heartbeat_reply: &HeartbeatReply,
    reply: Option<Reply>,
    now: Steady,
) -> HeartbeatHandling {
    let Some(leadership) = shared.leadership.as_mut() else {
        return HeartbeatHandling::Answer(not_the_leader(), reply);
    };
    // Only replies to idle workers may be deferred. Others send a heartbeat whenever something changes, and a
    // deferred reply would keep them from sending the next one.
    let machine: MachineId = heartbeat.machine.as_str().into();
    if heartbeat_reply.commands.is_empty() && leadership.fleet.may_defer_reply(&machine, now) {
        if let Some(reply) = reply {
            let fencing_token = leadership.term.fencing_token;
            let deadline = now + MAX_REPLY_DELAY;
            leadership.fleet.defer_reply(&machine, deadline);
            // A second heartbeat of a machine replaces the first: the worker no longer waits for that reply.
            let deferred = DeferredHeartbeatReply { heartbeat, fencing_token, deadline, reply };
            shared.deferred_replies.insert(machine, deferred);
            return HeartbeatHandling::Deferred;
        }
    }
    HeartbeatHandling::Answer(Response::json(status::OK, heartbeat_reply), reply)
}
