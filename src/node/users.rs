//! What the users' interface (`api`) needs of a controller: final stages, numbers of live jobs, and
//! telling the owner what was written or cancelled.

use super::Node;
use crate::fleet::Counts;
use crate::http::{Request, Response};
use crate::notices::Cancellation;
use crate::peer::{JobNews, Message};
use crate::records::{FinalRecord, JobRecord};
use crate::time::Micros;
use crate::wire::MachineType;

/// Most final stages that are kept; the oldest go first.
const MAX_FINALS: usize = 20_000;
/// How long another controller has to answer a user's request.
const RELAY_TIMEOUT: Micros = Micros::from_millis(900);
/// Pause after a request that no other controller could answer either.
const RELAY_PAUSE: Micros = Micros::from_millis(2_000);
/// How long the owner has to take word of a new job.
const JOB_NEWS_TIMEOUT: Micros = Micros::from_millis(1000);

impl Node {
    /// Relays a user's request to the other controllers until one can answer it.
    pub fn relay_to_any(&self, req: &Request) -> Option<Response> {
        if self.now() < self.lock().no_relay_until {
            return None;
        }
        for to in 0..self.peers.count() {
            if let Some(r) = self.relay(to, req, RELAY_TIMEOUT).filter(|r| r.status != 503) {
                return Some(r);
            }
        }
        // Most likely the state service is out for all: no need to ask each time.
        self.lock().no_relay_until = self.now() + RELAY_PAUSE;
        None
    }

    /// A final stage that is known to be written, and the revision at which it was.
    pub fn final_of(&self, id: &str) -> Option<(FinalRecord, u64)> {
        self.lock().finals.get(id).copied()
    }

    /// Records a final stage; final stages never change.
    pub fn learn_final(&self, id: &str, f: FinalRecord, revision: u64) {
        let mut shared = self.lock();
        if shared.finals.contains_key(id) {
            return;
        }
        if shared.finals.insert(id.to_string(), (f, revision)).is_none() {
            shared.finals_order.push_back(id.to_string());
            if shared.finals_order.len() > MAX_FINALS {
                if let Some(old) = shared.finals_order.pop_front() {
                    shared.finals.remove(&old);
                }
            }
        }
    }

    /// Machine types, once known.
    pub fn types(&self) -> Option<Vec<MachineType>> {
        self.lock().machine_types.clone()
    }

    /// Numbers of a live job: the owner's own, or those it announced.
    pub fn counts(&self, id: &str) -> Counts {
        let shared = self.lock();
        match &shared.ownership {
            Some(ownership) => ownership.fleet.counts(id).unwrap_or_default(),
            None => shared.announced_counts.get(id).copied().unwrap_or_default(),
        }
    }

    /// Tells the owner of a job that this node has written.
    pub fn job_written(&self, id: &str, record: JobRecord, revision: u64) {
        let to = {
            let mut shared = self.lock();
            if let Some(ownership) = shared.ownership.as_mut() {
                ownership.fleet.job_put(record, revision, self.now());
                self.wake.notify_all();
                return;
            }
            let leader = shared.leader.as_ref().map(|l| l.label.clone());
            self.cfg.platform.members.iter().position(|m| Some(&m.label) == leader.as_ref())
        };
        let Some(to) = to else { return };
        let record = serde_json::to_vec(&record).unwrap_or_default();
        // Not waited for: the owner's watch sees it in any case, a little later.
        let _ = self.peers.begin(
            to,
            Message::Notify(JobNews { id: id.to_string(), record, revision }),
            JOB_NEWS_TIMEOUT,
        );
    }

    /// This node confirms to a user that a job is cancelled: its tasks are stopped here, and all
    /// others are told, whoever of them has the machines.
    pub fn cancellation_confirmed(&self, id: &str, f: FinalRecord, revision: u64) {
        if self.peers.count() > 0 {
            let since = self.now();
            let c = Cancellation { id: id.to_string(), tasks: f.tasks, revision, since };
            self.notices.lock().unwrap_or_else(|e| e.into_inner()).add(&c);
            self.notices_added.notify_one();
        }
        self.apply_cancellation(id, f, revision);
    }

    /// Records a confirmed cancellation and, on the owner, stops what is left of the job.
    pub(super) fn apply_cancellation(&self, id: &str, f: FinalRecord, revision: u64) {
        self.learn_final(id, f, revision);
        if let Some(ownership) = self.lock().ownership.as_mut() {
            ownership.fleet.job_over(id, revision);
            self.wake.notify_all();
        }
    }
}
