//! The controller's side of the users' interface: it implements [`JobsBackend`] for
//! [`crate::api`] with the final stages it knows, the task counts of live jobs, and by telling the
//! leader what was written or cancelled.

use super::Controller;
use crate::api::{JobsBackend, StoredFinal};
use crate::cancellation_notices::Cancellation;
use crate::config::Config;
use crate::fleet::JobProgress;
use crate::http::{Request, Response};
use crate::live_jobs::LiveJobs;
use crate::peer::{JobNews, PeerMessage};
use crate::records::{FinalRecord, JobRecord};
use crate::state::StateStoreClient;
use crate::time::Micros;
use crate::wire::MachineType;

/// Most final stages that are kept; the oldest go first.
const MAX_FINALS: usize = 20_000;
/// How long another controller has to answer a user's request.
const RELAY_TIMEOUT: Micros = Micros::from_millis(900);
/// Pause after a request that no other controller could answer either.
const RELAY_PAUSE: Micros = Micros::from_millis(2_000);
/// How long the leader has to take word of a new job.
const JOB_NEWS_TIMEOUT: Micros = Micros::from_millis(1000);

impl JobsBackend for Controller {
    fn config(&self) -> &Config {
        &self.cfg
    }

    fn state(&self) -> &StateStoreClient {
        &self.state
    }

    fn live_jobs(&self) -> &LiveJobs {
        &self.live
    }

    /// Relays a user's request to the other controllers until one can answer it.
    fn relay_to_any(&self, req: &Request) -> Option<Response> {
        if self.now() < self.lock().no_relay_until {
            return None;
        }
        for to in 0..self.peers.count() {
            if let Some(r) = self.relay(to, req, RELAY_TIMEOUT).filter(|r| r.status != 503) {
                return Some(r);
            }
        }
        // Most likely the state store is out for all: no need to ask each time.
        self.lock().no_relay_until = self.now() + RELAY_PAUSE;
        None
    }

    fn known_final(&self, id: &str) -> Option<StoredFinal> {
        self.lock().finals.get(id).map(|&(record, revision)| StoredFinal { record, revision })
    }

    fn learn_final(&self, id: &str, record: FinalRecord, revision: u64) {
        let mut shared = self.lock();
        if shared.finals.contains_key(id) {
            return;
        }
        if shared.finals.insert(id.to_string(), (record, revision)).is_none() {
            shared.finals_order.push_back(id.to_string());
            if shared.finals_order.len() > MAX_FINALS {
                if let Some(old) = shared.finals_order.pop_front() {
                    shared.finals.remove(&old);
                }
            }
        }
    }

    fn machine_types(&self) -> Option<Vec<MachineType>> {
        self.lock().machine_types.clone()
    }

    /// The leader's own counts, or on another controller those that the leader announced.
    fn counts(&self, id: &str) -> JobProgress {
        let shared = self.lock();
        match &shared.leadership {
            Some(leadership) => leadership.fleet.counts(id).unwrap_or_default(),
            None => shared.announced_counts.get(id).copied().unwrap_or_default(),
        }
    }

    fn job_written(&self, id: &str, record: JobRecord, revision: u64) {
        let to = {
            let mut shared = self.lock();
            if let Some(leadership) = shared.leadership.as_mut() {
                leadership.fleet.job_put(record, revision, self.now());
                self.wake.notify_all();
                return;
            }
            let leader = shared.leader.as_ref().map(|l| l.label.clone());
            self.cfg.platform.members.iter().position(|m| Some(&m.label) == leader.as_ref())
        };
        let Some(to) = to else { return };
        let record = serde_json::to_vec(&record).unwrap_or_default();
        // Not waited for: the leader's watch sees it in any case, a little later.
        let _ = self.peers.send(
            to,
            PeerMessage::Notify(JobNews { id: id.to_string(), record, revision }),
            JOB_NEWS_TIMEOUT,
        );
    }

    /// This controller confirms to a user that a job is cancelled: its tasks are stopped here, and
    /// all others are told, whichever of them leads.
    fn cancellation_confirmed(&self, id: &str, record: FinalRecord, revision: u64) {
        if self.peers.count() > 0 {
            let since = self.now();
            let cancellation = Cancellation { id: id.to_string(), tasks: record.tasks, revision, since };
            self.notices.lock().unwrap_or_else(|e| e.into_inner()).add(&cancellation);
            self.notices_added.notify_one();
        }
        self.apply_cancellation(id, record, revision);
    }
}

impl Controller {
    /// Records a confirmed cancellation and, on the leader, stops what is left of the job.
    pub(super) fn apply_cancellation(&self, id: &str, record: FinalRecord, revision: u64) {
        self.learn_final(id, record, revision);
        if let Some(leadership) = self.lock().leadership.as_mut() {
            leadership.fleet.job_over(id, revision);
            self.wake.notify_all();
        }
    }
}
