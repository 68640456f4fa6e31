//! Deferred replies to the heartbeats of idle workers. A reply is sent as soon as there is a task to start on
//! the machine, at the latest at its deadline.

use std::collections::BTreeMap;

use super::responses::not_the_leader;
use super::{Controller, Leadership, SharedState};
use crate::http::{status, Reply, Response};
use crate::jobs::MachineId;
use crate::time::{wall, Steady};
use crate::wire::{Heartbeat, HeartbeatReply};

/// A heartbeat whose reply is deferred until there is a task to start on its machine.
pub(super) struct DeferredHeartbeatReply {
    pub(super) heartbeat: Heartbeat,
    /// The leader's fencing token when the heartbeat arrived.
    pub(super) fencing_token: u64,
    /// The latest time at which the reply is sent.
    pub(super) deadline: Steady,
    pub(super) reply: Reply,
}

/// A reply that is due, with the response to send through it.
struct DueReply {
    reply: Reply,
    response: Response,
}

impl Controller {
    /// Sends the deferred replies that are due: there is a task to start on the machine, the deadline has
    /// passed, or the term in which the heartbeat arrived has ended.
    pub(super) fn send_deferred_replies(&self) {
        let due_replies = take_due_replies(&mut self.lock(), self.now());
        for due in due_replies {
            due.reply.send(&due.response);
        }
    }
}

/// Removes the deferred replies that are due, and returns them with their responses.
fn take_due_replies(shared: &mut SharedState, now: Steady) -> Vec<DueReply> {
    let SharedState { leadership, deferred_replies, .. } = shared;
    let mut leadership = leadership.as_mut().filter(|leadership| leadership.store_contact.may_act(now));
    let fencing_token = leadership.as_ref().map(|leadership| leadership.term.fencing_token);
    let is_due = |machine: &MachineId, deferred: &DeferredHeartbeatReply| {
        Some(deferred.fencing_token) != fencing_token
            || now >= deferred.deadline
            || leadership.as_ref().is_some_and(|leadership| leadership.fleet.has_ready_start(machine))
    };
    let due: Vec<MachineId> = deferred_replies
        .iter()
        .filter(|(machine, deferred)| is_due(machine, deferred))
        .map(|(machine, _)| machine.clone())
        .collect();
    let mut due_replies = Vec::new();
    if let Some(leadership) = leadership.as_mut() {
        let replies = due.iter().filter_map(|machine| take_reply(leadership, deferred_replies, machine, now));
        due_replies.extend(replies);
    }
    let stale = due.iter().filter_map(|machine| take_stale_reply(deferred_replies, machine, fencing_token));
    due_replies.extend(stale);
    due_replies
}

/// Removes and returns the deferred reply for a machine if its heartbeat arrived in this term and there are
/// commands for the machine or the deadline has passed.
fn take_reply(
    leadership: &mut Leadership,
    deferred_replies: &mut BTreeMap<MachineId, DeferredHeartbeatReply>,
    machine: &MachineId,
    now: Steady,
) -> Option<DueReply> {
    let fencing_token = leadership.term.fencing_token;
    let deferred =
        deferred_replies.get(machine).filter(|deferred| deferred.fencing_token == fencing_token)?;
    let commands = leadership.fleet.deferred_commands(&deferred.heartbeat, now, wall());
    if commands.is_empty() && now < deferred.deadline {
        return None;
    }
    let deferred = deferred_replies.remove(machine)?;
    let response = Response::json(status::OK, &HeartbeatReply { fencing_token, commands });
    Some(DueReply { reply: deferred.reply, response })
}

/// Removes and returns the deferred reply for a machine if its heartbeat arrived in another term than that of
/// `fencing_token`. `fencing_token` is none while this controller may not act as the leader; then every
/// deferred reply is removed. The response makes the worker look for the leader again.
fn take_stale_reply(
    deferred_replies: &mut BTreeMap<MachineId, DeferredHeartbeatReply>,
    machine: &MachineId,
    fencing_token: Option<u64>,
) -> Option<DueReply> {
    if Some(deferred_replies.get(machine)?.fencing_token) == fencing_token {
        return None;
    }
    let deferred = deferred_replies.remove(machine)?;
    Some(DueReply { reply: deferred.reply, response: not_the_leader() })
}
