//! Handles the messages of other controllers, and relays requests to them.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Mutex;
use std::time::Duration;

use super::step_down::StepDownReason;
use super::{lock_ignoring_poison, Controller, VERSION};
use crate::api::{RequestOrigin, StoredFinal};
use crate::fleet::JobProgress;
use crate::http::{self, status, Request, Response};
use crate::leadership::LeaderRecord;
use crate::peer::{
    self, Ack, Answer, Call, InboundMessage, JobCounts, JobNews, PeerMessage, PeerReply, Summary,
};
use crate::records::{FinalRecord, JobRecord};
use crate::time::Micros;
use crate::wire::{is_job_id, Stage};

/// How long to wait for a message before checking whether the controller is to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

impl Controller {
    /// Relays a request to another controller and returns its response; none if it does not answer in time.
    pub(super) fn relay(&self, peer: usize, request: &Request, timeout: Micros) -> Option<Response> {
        let call =
            Call { method: request.method.clone(), path: request.path.clone(), body: request.body.clone() };
        let Ok(PeerReply::Answer(answer)) = self.peers.call(peer, PeerMessage::Relay(call), timeout) else {
            return None;
        };
        Some(Response {
            status: u16::try_from(answer.status).unwrap_or(status::SERVICE_UNAVAILABLE),
            body: answer.body,
            retry_after: (answer.retry_after > 0).then_some(answer.retry_after),
        })
    }

    /// Records that another controller answered. Steps down if that controller has seen a higher fencing
    /// token.
    pub(super) fn on_peer_answer(&self, fencing_token: u64) {
        let mut shared = self.lock();
        shared.last_peer_contact = self.now();
        if fencing_token > shared.highest_fencing_token {
            self.step_down(&mut shared, StepDownReason::HigherTokenAtPeer(fencing_token));
        }
    }

    /// Answers the messages of other controllers until this controller stops.
    pub(super) fn answer_peers(&self, inbound: &Mutex<Receiver<InboundMessage>>) {
        while !self.stopping() {
            let received = lock_ignoring_poison(inbound).recv_timeout(RECEIVE_TIMEOUT);
            let inbound_message = match received {
                Ok(inbound_message) => inbound_message,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let outcome = self.handle_peer_message(&inbound_message.message);
            inbound_message.answer(outcome);
        }
    }

    /// Answers a message of another controller.
    pub fn handle_peer_message(&self, message: &PeerMessage) -> PeerReply {
        // Only messages of this cell's own controllers show that they can be reached.
        if !matches!(message, PeerMessage::Lend(_)) {
            self.lock().last_peer_contact = self.now();
        }
        match message {
            PeerMessage::Lend(request) => self.on_loan_request(request),
            PeerMessage::Announce(summary) => self.on_announcement(summary),
            PeerMessage::Notify(news) => self.on_job_news(news),
            PeerMessage::Cancelled(cancellations) => self.on_cancellations(cancellations),
            PeerMessage::Relay(call) => self.on_relay(call),
        }
    }

    /// Answers a request that another controller relayed.
    fn on_relay(&self, call: &Call) -> PeerReply {
        let request =
            Request { method: call.method.clone(), path: call.path.clone(), body: call.body.clone() };
        let response = if request.body.len() > http::MAX_BODY {
            Response::error(status::CONTENT_TOO_LARGE, "body over 64 KiB")
        } else {
            self.answer(&request, RequestOrigin::Peer)
        };
        PeerReply::Answer(Answer {
            status: u32::from(response.status),
            body: response.body,
            retry_after: response.retry_after.unwrap_or(0),
        })
    }

    /// Handles the notice that another controller has confirmed cancellations: a leader stops the remaining
    /// tasks of the jobs, even if it cannot read their records.
    fn on_cancellations(&self, cancellations: &peer::Cancellations) -> PeerReply {
        for cancellation in &cancellations.jobs {
            let id = &cancellation.id;
            if !is_job_id(id) {
                tracing::error!(job = %id, "malformed job id in cancellation notice");
                continue;
            }
            let record = FinalRecord { stage: Stage::Cancelled, tasks: cancellation.tasks };
            self.apply_cancellation(id, StoredFinal { record, revision: cancellation.revision });
        }
        acknowledgement(self.lock().highest_fencing_token)
    }

    /// Handles the announcement of the leader: keeps its task counts of live jobs for status requests.
    fn on_announcement(&self, summary: &Summary) -> PeerReply {
        let mut shared = self.lock();
        if summary.token > shared.highest_fencing_token {
            self.step_down(&mut shared, StepDownReason::HigherTokenAnnounced(summary.token));
        }
        let is_latest_leader = summary.token > 0 && summary.token == shared.highest_fencing_token;
        if is_latest_leader && shared.leadership.is_none() {
            shared.leader = Some(LeaderRecord {
                label: summary.leader.clone(),
                incarnation: 0,
                fencing_token: summary.token,
                lease: 0,
            });
            shared.announced_counts = announced_counts(summary);
            if self.peer_index(&summary.leader).is_some() {
                shared.update_peer_version(&summary.leader, summary.version.clone());
            }
        }
        acknowledgement(shared.highest_fencing_token)
    }

    /// Handles the message that another controller has written or ended a job. A message without a record
    /// means that the job has ended.
    fn on_job_news(&self, news: &JobNews) -> PeerReply {
        let mut shared = self.lock();
        if let Some(leadership) = shared.leadership.as_mut() {
            if news.record.is_empty() {
                leadership.fleet.apply_job_removal(&news.id, news.revision);
            } else if let Ok(record) = serde_json::from_slice::<JobRecord>(&news.record) {
                leadership.fleet.apply_job_record(record, news.revision, self.now());
            }
            self.wake.notify_all();
        }
        acknowledgement(shared.highest_fencing_token)
    }
}

/// The acknowledgement of a message, with the highest fencing token that this controller has seen.
fn acknowledgement(highest_fencing_token: u64) -> PeerReply {
    PeerReply::Ack(Ack { token: highest_fencing_token, version: VERSION.into() })
}

/// The task counts in a leader's announcement, by job.
fn announced_counts(summary: &Summary) -> BTreeMap<String, JobProgress> {
    let counts = |job: &JobCounts| (job.id.clone(), JobProgress { done: job.done, running: job.running });
    summary.jobs.iter().map(counts).collect()
}
