//! The announcing duty: tells the other controllers who leads and which cancellations were
//! confirmed to users.

use super::{Controller, Leadership, UNTOLD_VERSION, VERSION};
use crate::cancellation_notices::{Cancellation, NoticeBatch};
use crate::fleet::JobProgress;
use crate::jobs::JobId;
use crate::peer::{self, JobCounts, PeerMessage, PeerReply, Summary};
use crate::time::{Micros, Steady};

/// How often the others are told who leads.
const ANNOUNCE_INTERVAL: Micros = Micros::from_millis(1000);
/// When one that did not answer is told of cancellations again.
const NOTICE_RETRY_DELAY: Micros = Micros::from_millis(300);
/// After this without a word from another controller, whether one can be heard is asked.
const PEER_PROBE_AFTER: Micros = Micros::from_millis(1500);
/// How long another controller has to answer an announcement or a notice.
const MESSAGE_TIMEOUT: Micros = Micros::from_millis(900);
/// Most jobs whose numbers are announced.
const MAX_ANNOUNCED_JOBS: usize = 2000;

impl Controller {
    /// Tells the others who leads, about once a second, and of cancellations at once, repeated until
    /// each has acknowledged them.
    pub(super) fn announce(&self) {
        let (mut last, mut all_told) = (Steady(0), true);
        while !self.stopping() {
            let since = self.now() - last;
            let left = if all_told { ANNOUNCE_INTERVAL - since } else { NOTICE_RETRY_DELAY };
            {
                let n = self.notices.lock().unwrap_or_else(|e| e.into_inner());
                if left.0 > 0 && (n.is_empty() || !all_told) {
                    drop(self.notices_added.wait_timeout(n, left.std()));
                }
            }
            all_told = self.tell_once();
            if self.now() - last >= ANNOUNCE_INTERVAL {
                self.announce_once();
                last = self.now();
            }
        }
    }

    /// Announces this leader to the others; on any other controller probes them if none was heard of
    /// late.
    pub fn announce_once(&self) {
        let summary = {
            let shared = self.lock();
            match &shared.leadership {
                Some(leadership) => Some(self.summary(leadership)),
                // Nobody has been heard of late: whether anybody can be is asked.
                None if self.now() - shared.last_peer_contact > PEER_PROBE_AFTER => {
                    Some(Summary { version: VERSION.into(), ..Summary::default() })
                }
                None => None,
            }
        };
        let Some(s) = summary else { return };
        let sent: Vec<_> = (0..self.peers.count())
            .filter_map(|to| {
                let waiting = self.peers.send(to, PeerMessage::Announce(s.clone()), MESSAGE_TIMEOUT).ok()?;
                Some((to, waiting))
            })
            .collect();
        for (to, waiting) in sent {
            if let Ok(PeerReply::Ack(a)) = waiting.wait() {
                self.peer_answered(a.token);
                self.note_version(to, a.version);
            }
        }
    }

    /// Keeps the version of another controller, and says so when it changes.
    fn note_version(&self, peer: usize, version: String) {
        let Some(member) = self.cfg.platform.members.get(peer) else { return };
        let version = if version.is_empty() { UNTOLD_VERSION.to_string() } else { version };
        let mut shared = self.lock();
        if shared.peer_versions.get(&member.label) != Some(&version) {
            tracing::info!(peer = %member.label, %version, "peer version changed");
            shared.peer_versions.insert(member.label.clone(), version);
        }
    }

    /// The leader's announcement.
    fn summary(&self, leadership: &Leadership) -> Summary {
        let count = |id: &JobId| {
            let c = leadership.fleet.counts(id).filter(|c| *c != JobProgress::default())?;
            Some(JobCounts { id: id.to_string(), done: c.done, running: c.running })
        };
        Summary {
            leader: self.cfg.platform.label.clone(),
            token: leadership.claim.fencing_token,
            jobs: leadership.fleet.jobs.keys().take(MAX_ANNOUNCED_JOBS).filter_map(count).collect(),
            version: VERSION.into(),
        }
    }

    /// Sends each of the others the cancellations that it has not acknowledged; false if one did not
    /// answer.
    pub fn tell_once(&self) -> bool {
        let due = self.notices.lock().unwrap_or_else(|e| e.into_inner()).due(self.now());
        let sent: Vec<_> = due
            .into_iter()
            .map(|NoticeBatch { to, cancellations: batch }| {
                let one = |c: &Cancellation| peer::Cancellation {
                    id: c.id.clone(),
                    tasks: c.tasks,
                    revision: c.revision,
                };
                let message =
                    PeerMessage::Cancelled(peer::Cancellations { jobs: batch.iter().map(one).collect() });
                (to, self.peers.send(to, message, MESSAGE_TIMEOUT), batch)
            })
            .collect();
        let mut all = true;
        for (to, waiting, batch) in sent {
            match waiting.and_then(|w| w.wait()) {
                Ok(PeerReply::Ack(a)) => {
                    self.notices.lock().unwrap_or_else(|e| e.into_inner()).acknowledged(to, &batch);
                    self.peer_answered(a.token);
                }
                Ok(_) => all = false,
                Err(e) => {
                    tracing::debug!(peer = to, error = %e, "cancellation notice unanswered");
                    all = false;
                }
            }
        }
        all
    }
}
