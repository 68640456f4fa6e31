//! Implements [`JobsBackend`], through which the users' interface ([`crate::api`]) reads the final records
//! and task counts that this controller knows, and notifies the other controllers of written and cancelled
//! jobs.

use std::fmt::Display;

use super::{lock_ignoring_poison, Controller};
use crate::api::{JobsBackend, StoredFinal};
use crate::cancellation_notices::Cancellation;
use crate::config::Config;
use crate::fleet::{JobProgress, UnreadableRecord};
use crate::http::{status, Request, Response};
use crate::live_jobs::LiveJobs;
use crate::peer::{JobNews, PeerMessage};
use crate::records::JobRecord;
use crate::state::StateStoreClient;
use crate::time::Micros;
use crate::wire::MachineType;

/// How long this controller waits for another one's answer to a relayed user request.
const RELAY_TIMEOUT: Micros = Micros::from_millis(900);
/// How long no request is relayed after one that no other controller could answer.
const RELAY_PAUSE: Micros = Micros::from_millis(2_000);
/// How long the leader has to acknowledge the message about a new job.
const JOB_NEWS_TIMEOUT: Micros = Micros::from_millis(1000);

impl JobsBackend for Controller {
    fn config(&self) -> &Config {
        &self.config
    }

    fn state(&self) -> &StateStoreClient {
        &self.state
    }

    fn live_jobs(&self) -> &LiveJobs {
        &self.live
    }

    /// Relays a user's request to the other controllers, one after another, until one can answer it.
    fn relay_to_any(&self, request: &Request) -> Option<Response> {
        if self.now() < self.lock().no_relay_until {
            return None;
        }
        for peer in 0..self.peers.count() {
            let response = self.relay(peer, request, RELAY_TIMEOUT);
            if let Some(response) = response.filter(|response| response.status != status::SERVICE_UNAVAILABLE)
            {
                return Some(response);
            }
        }
        // Most likely no controller reaches the state store, so relaying further requests would be useless.
        self.lock().no_relay_until = self.now() + RELAY_PAUSE;
        None
    }

    fn cached_final_record(&self, id: &str) -> Option<StoredFinal> {
        self.lock().final_records.get(id)
    }

    fn cache_final_record(&self, id: &str, ended: StoredFinal) {
        self.lock().final_records.insert(id, ended);
    }

    fn report_unreadable_record(&self, key: &str, error: &dyn Display) {
        match self.lock().leadership.as_mut() {
            Some(leadership) => leadership.fleet.mark_unreadable(UnreadableRecord::Other, key, error),
            None => tracing::error!(key, %error, "record unreadable"),
        }
    }

    fn machine_types(&self) -> Option<Vec<MachineType>> {
        self.lock().machine_types.clone()
    }

    /// The fleet's counts if this controller leads, otherwise the counts that the leader announced.
    fn task_counts(&self, id: &str) -> JobProgress {
        let shared = self.lock();
        match &shared.leadership {
            Some(leadership) => leadership.fleet.progress(id).unwrap_or_default(),
            None => shared.announced_counts.get(id).copied().unwrap_or_default(),
        }
    }

    fn announce_job_record(&self, id: &str, record: JobRecord, revision: u64) {
        let leader = {
            let mut shared = self.lock();
            if let Some(leadership) = shared.leadership.as_mut() {
                leadership.fleet.apply_job_record(record, revision, self.now());
                self.wake.notify_all();
                return;
            }
            let Some(leader) = &shared.leader else { return };
            self.peer_index(&leader.label)
        };
        let Some(leader) = leader else { return };
        let record = serde_json::to_vec(&record).unwrap_or_default();
        let news = PeerMessage::Notify(JobNews { id: id.to_string(), record, revision });
        // The answer is not awaited: if the message is lost, the leader's watch delivers the job a little
        // later.
        let _ = self.peers.send(leader, news, JOB_NEWS_TIMEOUT);
    }

    /// Called when this controller confirms to a user that a job is cancelled. Stops the job's tasks if this
    /// controller leads, and notifies all others, whichever of them leads.
    fn announce_cancellation(&self, id: &str, cancelled: StoredFinal) {
        if self.peers.count() > 0 {
            let confirmed_at = self.now();
            let StoredFinal { record, revision } = cancelled;
            let cancellation =
                Cancellation { id: id.to_string(), tasks: record.tasks, revision, confirmed_at };
            lock_ignoring_poison(&self.notices).add(&cancellation);
            self.notices_added.notify_one();
        }
        self.apply_cancellation(id, cancelled);
    }
}

impl Controller {
    /// Records a confirmed cancellation. If this controller leads, stops the job's remaining tasks.
    pub(super) fn apply_cancellation(&self, id: &str, cancelled: StoredFinal) {
        self.cache_final_record(id, cancelled);
        if let Some(leadership) = self.lock().leadership.as_mut() {
            leadership.fleet.apply_job_removal(id, cancelled.revision);
            self.wake.notify_all();
        }
    }
}
