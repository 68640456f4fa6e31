//! The announcing duty: announces the leader to the other controllers, and sends them notices of
//! cancellations that were confirmed to users.

use super::{lock_ignoring_poison, Controller, Leadership, VERSION};
use crate::cancellation_notices::{Cancellation, NoticeBatch};
use crate::fleet::JobProgress;
use crate::jobs::JobId;
use crate::peer::{self, JobCounts, PeerMessage, PeerReply, Summary};
use crate::time::{Micros, Steady};

/// Interval at which the leader announces itself.
const ANNOUNCE_INTERVAL: Micros = Micros::from_millis(1000);
/// Pause before cancellations are sent again to a controller that did not answer.
const NOTICE_RETRY_DELAY: Micros = Micros::from_millis(300);
/// A follower that has received nothing from any other controller for this long probes all of them.
const PEER_PROBE_AFTER: Micros = Micros::from_millis(1500);
/// How long this controller waits for an answer to an announcement or a notice.
const MESSAGE_TIMEOUT: Micros = Micros::from_millis(900);
/// Largest number of jobs whose task counts are announced.
const MAX_ANNOUNCED_JOBS: usize = 2000;

impl Controller {
    /// Announces the leader at intervals of [`ANNOUNCE_INTERVAL`] until the controller stops. Sends
    /// cancellations at once, and repeats them until each of the other controllers has acknowledged them.
    pub(super) fn announce(&self) {
        let mut last_announced = Steady(0);
        let mut all_acknowledged = true;
        while !self.stopping() {
            let since_announced = self.now() - last_announced;
            let timeout =
                if all_acknowledged { ANNOUNCE_INTERVAL - since_announced } else { NOTICE_RETRY_DELAY };
            self.await_notices(timeout, all_acknowledged);
            all_acknowledged = self.send_cancellations_once();
            if self.now() - last_announced >= ANNOUNCE_INTERVAL {
                self.announce_once();
                last_announced = self.now();
            }
        }
    }

    /// Waits for a new notice, no longer than `timeout`. Returns at once if there are notices that have not
    /// been sent yet.
    fn await_notices(&self, timeout: Micros, all_acknowledged: bool) {
        let notices = lock_ignoring_poison(&self.notices);
        if timeout.0 > 0 && (notices.is_empty() || !all_acknowledged) {
            drop(self.notices_added.wait_timeout(notices, timeout.to_duration()));
        }
    }

    /// Announces this controller to the others if it leads. A follower probes the others if it has received
    /// nothing from them for a while.
    pub fn announce_once(&self) {
        let Some(summary) = self.due_summary() else { return };
        let sent: Vec<_> = (0..self.peers.count())
            .filter_map(|peer| {
                let message = PeerMessage::Announce(summary.clone());
                Some((peer, self.peers.send(peer, message, MESSAGE_TIMEOUT).ok()?))
            })
            .collect();
        for (peer, pending_reply) in sent {
            if let Ok(PeerReply::Ack(ack)) = pending_reply.wait() {
                self.on_peer_answer(ack.token);
                self.record_peer_version(peer, ack.version);
            }
        }
    }

    /// The message to send to the others: the leader's announcement, or a follower's probe if one is due.
    fn due_summary(&self) -> Option<Summary> {
        let shared = self.lock();
        if let Some(leadership) = &shared.leadership {
            return Some(self.leader_summary(leadership));
        }
        if self.now() - shared.last_peer_contact > PEER_PROBE_AFTER {
            return Some(Summary { version: VERSION.into(), ..Summary::default() });
        }
        None
    }

    /// Records the version that another controller of this cell reports, and logs it if it has changed.
    fn record_peer_version(&self, peer: usize, version: String) {
        let Some(member) = self.config.platform.members.get(peer) else { return };
        self.lock().update_peer_version(&member.label, version);
    }

    /// The leader's announcement.
    fn leader_summary(&self, leadership: &Leadership) -> Summary {
        let counts = |id: &JobId| {
            let progress =
                leadership.fleet.progress(id).filter(|counts| *counts != JobProgress::default())?;
            Some(JobCounts { id: id.to_string(), done: progress.done, running: progress.running })
        };
        Summary {
            leader: self.config.platform.label.clone(),
            token: leadership.term.fencing_token,
            jobs: leadership.fleet.jobs.keys().take(MAX_ANNOUNCED_JOBS).filter_map(counts).collect(),
            version: VERSION.into(),
        }
    }

    /// Sends each of the other controllers the cancellations that it has not acknowledged yet. Returns false
    /// if one of them did not acknowledge them.
    pub fn send_cancellations_once(&self) -> bool {
        let due = lock_ignoring_poison(&self.notices).due(self.now());
        let sent: Vec<_> = due
            .into_iter()
            .map(|NoticeBatch { to: peer, cancellations: batch }| {
                let pending_reply = self.peers.send(peer, cancellations_message(&batch), MESSAGE_TIMEOUT);
                (peer, pending_reply, batch)
            })
            .collect();
        let mut all_acknowledged = true;
        for (peer, pending_reply, batch) in sent {
            match pending_reply.and_then(|pending_reply| pending_reply.wait()) {
                Ok(PeerReply::Ack(ack)) => {
                    lock_ignoring_poison(&self.notices).remove_acknowledged(peer, &batch);
                    self.on_peer_answer(ack.token);
                }
                Ok(_) => all_acknowledged = false,
                Err(error) => {
                    tracing::debug!(peer, %error, "cancellation notice unanswered");
                    all_acknowledged = false;
                }
            }
        }
        all_acknowledged
    }
}

/// The message that carries cancellations.
fn cancellations_message(batch: &[Cancellation]) -> PeerMessage {
    let job = |cancellation: &Cancellation| peer::Cancellation {
        id: cancellation.id.clone(),
        tasks: cancellation.tasks,
        revision: cancellation.revision,
    };
    PeerMessage::Cancelled(peer::Cancellations { jobs: batch.iter().map(job).collect() })
}
