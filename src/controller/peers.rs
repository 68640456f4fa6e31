//! Messages from the other controllers, and requests that are relayed to them.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Mutex;
use std::time::Duration;

use super::{Controller, VERSION};
use crate::fleet::JobProgress;
use crate::http::{self, Request, Response};
use crate::leadership::LeaderRecord;
use crate::peer::{self, Ack, Answer, Call, InboundMessage, JobNews, PeerMessage, PeerReply, Summary};
use crate::records::{FinalRecord, JobRecord};
use crate::time::Micros;
use crate::wire::{is_job_id, Stage};

/// How long to wait for a message before looking whether to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

impl Controller {
    /// Has another controller answer a request; none if it cannot be reached.
    pub(super) fn relay(&self, to: usize, req: &Request, timeout: Micros) -> Option<Response> {
        let call = Call { method: req.method.clone(), path: req.path.clone(), body: req.body.clone() };
        match self.peers.call(to, PeerMessage::Relay(call), timeout) {
            Ok(PeerReply::Answer(a)) => Some(Response {
                status: u16::try_from(a.status).unwrap_or(503),
                body: a.body,
                retry_after: (a.retry_after > 0).then_some(a.retry_after),
            }),
            _ => None,
        }
    }

    /// Takes note that another controller answered; steps down if it knows a higher fencing token.
    pub(super) fn peer_answered(&self, fencing_token: u64) {
        let mut shared = self.lock();
        shared.last_peer_contact = self.now();
        if fencing_token > shared.highest_fencing_token {
            self.step_down(&mut shared, fencing_token, "another controller knows a higher fencing token");
        }
    }

    /// Answers the messages of other controllers until the controller ends.
    pub(super) fn answer_peers(&self, inbound: &Mutex<Receiver<InboundMessage>>) {
        while !self.stopping() {
            let next = inbound.lock().unwrap_or_else(|e| e.into_inner()).recv_timeout(RECEIVE_TIMEOUT);
            let msg = match next {
                Ok(m) => m,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let out = self.hear(&msg.message);
            msg.answer(out);
        }
    }

    /// Answers a message of another controller.
    pub fn hear(&self, m: &PeerMessage) -> PeerReply {
        // Another cell's word says nothing of this cell's own controllers.
        if !matches!(m, PeerMessage::Lend(_)) {
            self.lock().last_peer_contact = self.now();
        }
        match m {
            PeerMessage::Lend(request) => self.on_loans(request),
            PeerMessage::Announce(s) => self.on_announcement(s),
            PeerMessage::Notify(n) => self.on_job_news(n),
            PeerMessage::Cancelled(c) => self.on_cancellations(c),
            PeerMessage::Relay(c) => self.on_relay(c),
        }
    }

    /// Answers a request that another controller relayed.
    fn on_relay(&self, call: &Call) -> PeerReply {
        let req = Request { method: call.method.clone(), path: call.path.clone(), body: call.body.clone() };
        let r = if req.body.len() > http::MAX_BODY {
            Response::error(413, "body over 64 KiB")
        } else {
            self.answer(&req, true)
        };
        PeerReply::Answer(Answer {
            status: u32::from(r.status),
            body: r.body,
            retry_after: r.retry_after.unwrap_or(0),
        })
    }

    /// Another controller has confirmed cancellations: what is left of the jobs is stopped, whether
    /// this leader can see their records or not.
    fn on_cancellations(&self, list: &peer::Cancellations) -> PeerReply {
        for c in &list.jobs {
            if !is_job_id(&c.id) {
                tracing::error!(job = %c.id, "malformed job id in cancellation notice");
                continue;
            }
            self.apply_cancellation(
                &c.id,
                FinalRecord { stage: Stage::Cancelled, tasks: c.tasks },
                c.revision,
            );
        }
        PeerReply::Ack(Ack { token: self.lock().highest_fencing_token, version: VERSION.into() })
    }

    /// Another controller leads: its numbers of live jobs are kept for polls.
    fn on_announcement(&self, s: &Summary) -> PeerReply {
        let mut shared = self.lock();
        if s.token > shared.highest_fencing_token {
            self.step_down(&mut shared, s.token, "another controller leads with a higher fencing token");
        }
        if s.token > 0 && s.token == shared.highest_fencing_token && shared.leadership.is_none() {
            shared.leader = Some(LeaderRecord {
                label: s.leader.clone(),
                incarnation: 0,
                fencing_token: s.token,
                lease: 0,
            });
            shared.announced_counts = s
                .jobs
                .iter()
                .map(|j| (j.id.clone(), JobProgress { done: j.done, running: j.running }))
                .collect();
        }
        PeerReply::Ack(Ack { token: shared.highest_fencing_token, version: VERSION.into() })
    }

    /// Another controller has written or ended a job.
    fn on_job_news(&self, n: &JobNews) -> PeerReply {
        let mut shared = self.lock();
        if let Some(leadership) = shared.leadership.as_mut() {
            if n.record.is_empty() {
                leadership.fleet.job_over(&n.id, n.revision);
            } else if let Ok(r) = serde_json::from_slice::<JobRecord>(&n.record) {
                leadership.fleet.job_put(r, n.revision, self.now());
            }
            self.wake.notify_all();
        }
        PeerReply::Ack(Ack { token: shared.highest_fencing_token, version: VERSION.into() })
    }
}
