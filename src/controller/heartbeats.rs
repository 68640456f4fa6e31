//! Workers' heartbeats (`POST /checkin`, a status report). The leader answers them, at once or when
//! there is a task to start; any other controller redirects the worker to the leader or relays its
//! heartbeat.

use std::sync::MutexGuard;
use std::time::Duration;

use super::{Controller, SharedState};
use crate::fleet::HeartbeatOutcome;
use crate::http::{Reply, Request, Response};
use crate::jobs::MachineId;
use crate::time::{wall, Micros, Steady};
use crate::wire::{Heartbeat, HeartbeatReply, Redirect};

/// How long the answer to an idle worker's heartbeat is held back at the most; the worker gives up
/// after four seconds.
const MAX_REPLY_DELAY: Micros = Micros::from_millis(2900);
/// How long a heartbeat waits for the outcome of this controller's own claim.
const CLAIM_TIMEOUT: Micros = Micros::from_millis(1500);
/// How often it is looked whether that claim has ended.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long it is remembered that a worker was sent to the leader.
const REDIRECT_RETENTION: Micros = Micros::from_millis(30_000);
/// A worker that is back within this time cannot reach the leader.
const REDIRECT_RETRY_WINDOW: Micros = Micros::from_millis(12_000);
/// How long the leader has to answer a heartbeat that is carried to it.
const RELAY_HEARTBEAT_TIMEOUT: Micros = Micros::from_millis(2500);

/// A heartbeat whose answer is held back until there is a task to start on its machine.
pub(super) struct DeferredHeartbeatReply {
    report: Heartbeat,
    /// The leader's fencing token when the heartbeat came.
    fencing_token: u64,
    /// When it is answered at the latest.
    deadline: Steady,
    reply: Reply,
}

/// What becomes of a heartbeat.
enum HeartbeatHandling {
    /// It is answered now, through the reply where there is one.
    Answer(Response, Option<Reply>),
    /// Its answer is deferred.
    Deferred,
}

impl Controller {
    /// Handles a heartbeat. With a `reply` it is answered through that, now or later; without one, as for
    /// a heartbeat that another controller relayed, the answer is returned.
    pub(super) fn handle_heartbeat(&self, req: &Request, reply: Option<Reply>) -> Option<Response> {
        match self.take_heartbeat(req, reply) {
            HeartbeatHandling::Answer(answer, Some(reply)) => {
                reply.send(&answer);
                None
            }
            HeartbeatHandling::Answer(answer, None) => Some(answer),
            HeartbeatHandling::Deferred => None,
        }
    }

    /// Decides on the answer to a heartbeat.
    fn take_heartbeat(&self, req: &Request, reply: Option<Reply>) -> HeartbeatHandling {
        let report: Heartbeat = match serde_json::from_slice(&req.body) {
            Ok(r) => r,
            Err(e) => {
                tracing::error!(error = %e, "malformed heartbeat");
                return HeartbeatHandling::Answer(Response::error(400, &e.to_string()), reply);
            }
        };
        let mut shared = self.await_claim();
        if shared.leadership.is_some() {
            return self.answer_as_owner(&mut shared, report, reply);
        }
        if reply.is_none() {
            return HeartbeatHandling::Answer(Response::error(503, "not the owner"), None);
        }
        HeartbeatHandling::Answer(self.redirect_or_relay(shared, &report.machine, req), reply)
    }

    /// Takes the lock, and while a claim is being made waits a moment for its outcome.
    fn await_claim(&self) -> MutexGuard<'_, SharedState> {
        let since = self.now();
        let mut shared = self.lock();
        while shared.claiming && shared.leadership.is_none() && self.now() - since < CLAIM_TIMEOUT {
            shared = match self.wake.wait_timeout(shared, CLAIM_CHECK_INTERVAL) {
                Ok((guard, _)) => guard,
                Err(e) => e.into_inner().0,
            };
        }
        shared
    }

    /// Answers a heartbeat as the leader, or defers the answer.
    fn answer_as_owner(
        &self,
        shared: &mut SharedState,
        report: Heartbeat,
        reply: Option<Reply>,
    ) -> HeartbeatHandling {
        let now = self.now();
        let Some(leadership) = shared.leadership.as_mut() else {
            return HeartbeatHandling::Answer(Response::error(503, "not the owner"), reply);
        };
        if !leadership.view.may_act(now) {
            // Cancellations cannot be seen any more: leases must be let run out.
            leadership.fleet.not_answered(&report.machine, now);
            let refused = Response::error(503, "out of touch with the state service");
            return HeartbeatHandling::Answer(refused, reply);
        }
        leadership.last_heartbeat = now;
        let fencing_token = leadership.claim.fencing_token;
        let answer = match leadership.fleet.check_in(&report, now, wall()) {
            HeartbeatOutcome::Reply(r) => {
                // Other workers report when something changes, and must not be kept from it.
                let id: MachineId = report.machine.as_str().into();
                if r.commands.is_empty() && leadership.fleet.may_wait(&id, now) {
                    if let Some(reply) = reply {
                        let deadline = now + MAX_REPLY_DELAY;
                        let deferred = DeferredHeartbeatReply { report, fencing_token, deadline, reply };
                        leadership.fleet.reply_deferred(&id, deadline);
                        // A second report takes the place of the first: its worker gave up.
                        shared.deferred_replies.insert(id, deferred);
                        return HeartbeatHandling::Deferred;
                    }
                }
                Response::json(200, &r)
            }
            HeartbeatOutcome::Refuse => Response::error(503, "not now"),
            HeartbeatOutcome::Superseded(fencing_token) => {
                self.step_down(shared, fencing_token, "a worker has seen a higher fencing token");
                Response::error(503, "not the owner")
            }
        };
        HeartbeatHandling::Answer(answer, reply)
    }

    /// Redirects a worker to the leader; if it is back soon after, relays its heartbeat to the leader.
    fn redirect_or_relay(
        &self,
        mut shared: MutexGuard<'_, SharedState>,
        machine: &str,
        req: &Request,
    ) -> Response {
        let now = self.now();
        let Some(leader) = shared.leader.clone().filter(|l| l.label != self.cfg.platform.label) else {
            return Response::error(503, "no owner known");
        };
        shared.redirected.retain(|_, at| now - *at < REDIRECT_RETENTION);
        let again = shared.redirected.get(machine).is_some_and(|at| now - *at < REDIRECT_RETRY_WINDOW);
        if !again {
            shared.redirected.insert(machine.to_string(), now);
            return Response::json(421, &Redirect { leader: leader.label });
        }
        drop(shared);
        // It was sent to the leader and is back: it cannot get through, so its heartbeat is carried.
        let to = self.cfg.platform.members.iter().position(|m| m.label == leader.label);
        match to.and_then(|to| self.relay(to, req, RELAY_HEARTBEAT_TIMEOUT)) {
            Some(r) => r,
            None => Response::error(503, "the owner does not answer"),
        }
    }

    /// Sends the deferred answers for which there is a start now, and those whose time is over.
    pub(super) fn answer_deferred(&self) {
        let mut shared = self.lock();
        let SharedState { leadership, deferred_replies, .. } = &mut *shared;
        let now = self.now();
        let leadership = leadership.as_mut().filter(|o| o.view.may_act(now));
        let fencing_token = leadership.as_ref().map(|o| o.claim.fencing_token);
        let due: Vec<MachineId> = deferred_replies
            .iter()
            .filter(|(id, w)| {
                Some(w.fencing_token) != fencing_token
                    || now >= w.deadline
                    || leadership.as_ref().is_some_and(|o| o.fleet.start_waits(id))
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut answers = Vec::new();
        if let Some(leadership) = leadership {
            for id in &due {
                let Some(w) =
                    deferred_replies.get(id).filter(|w| w.fencing_token == leadership.claim.fencing_token)
                else {
                    continue;
                };
                let orders = leadership.fleet.later(&w.report, now, wall());
                if orders.is_empty() && now < w.deadline {
                    continue;
                }
                if let Some(w) = deferred_replies.remove(id) {
                    answers.push((
                        w.reply,
                        Response::json(
                            200,
                            &HeartbeatReply { fencing_token: w.fencing_token, commands: orders },
                        ),
                    ));
                }
            }
        }
        // Of an earlier time as leader, or while the state store is out of sight.
        let lost = due
            .iter()
            .filter(|id| deferred_replies.get(*id).is_some_and(|w| Some(w.fencing_token) != fencing_token));
        for id in lost.cloned().collect::<Vec<_>>() {
            if let Some(w) = deferred_replies.remove(&id) {
                answers.push((w.reply, Response::error(503, "not the owner")));
            }
        }
        drop(shared);
        for (reply, r) in answers {
            reply.send(&r);
        }
    }
}
