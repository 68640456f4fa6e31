//! The state that all threads of a controller share, under one lock.

use std::collections::BTreeMap;

use super::deferred_replies::DeferredHeartbeatReply;
use super::final_records::FinalRecordCache;
use super::heard_results::ReportedResults;
use super::other_cells::OtherCellState;
use super::UNREPORTED_VERSION;
use crate::fleet::{Fleet, JobProgress};
use crate::jobs::MachineId;
use crate::leadership::{LeaderRecord, LeadershipTerm};
use crate::store_contact::StoreContact;
use crate::time::Steady;
use crate::wire::{LentProgressStatus, MachineType};

/// The state of a controller that leads.
pub(super) struct Leadership {
    /// Machines, jobs and the plan.
    pub(super) fleet: Fleet,
    /// The term in which it leads.
    pub(super) term: LeadershipTerm,
    /// When it last reached the state store, which limits how long it may act.
    pub(super) store_contact: StoreContact,
    /// When a worker's heartbeat was last accepted.
    pub(super) last_heartbeat: Steady,
}

/// The state that all threads of a controller share.
#[derive(Default)]
pub(super) struct SharedState {
    /// None while another controller leads, or no controller does.
    pub(super) leadership: Option<Leadership>,
    /// An election was won and the records are being read: heartbeats wait a moment for the end of that.
    pub(super) is_rebuilding: bool,
    /// The leader, where known.
    pub(super) leader: Option<LeaderRecord>,
    /// The highest fencing token seen.
    pub(super) highest_fencing_token: u64,
    /// Versions of the other controllers, by label, as each last reported it. They are forgotten as a term of this
    /// controller ends.
    pub(super) peer_versions: BTreeMap<String, String>,
    /// The other cells, by name.
    pub(super) other_cells: BTreeMap<String, OtherCellState>,
    /// Why messages of other cells were last refused, by their sender's name.
    pub(super) refused_cells: BTreeMap<String, String>,
    /// The machine types, once known.
    pub(super) machine_types: Option<Vec<MachineType>>,
    /// Final records known to be written.
    pub(super) final_records: FinalRecordCache,
    /// Task counts of live jobs as the leader announced them.
    pub(super) announced_counts: BTreeMap<String, JobProgress>,
    /// Heartbeats of idle workers whose replies are deferred.
    pub(super) deferred_replies: BTreeMap<MachineId, DeferredHeartbeatReply>,
    /// When each worker was last redirected to the leader.
    pub(super) redirected: BTreeMap<String, Steady>,
    /// Results that workers have reported and that this controller has not recorded as the leader.
    pub(super) reported_results: ReportedResults,
    /// Copies of the progress of lent jobs, as the latest round beside a leader without copies found them.
    pub(super) lent_progress: Option<LentProgressStatus>,
    /// Until then users' requests are not relayed to other controllers.
    pub(super) no_relay_until: Steady,
    /// When a message or an answer of another controller last came.
    pub(super) last_peer_contact: Steady,
    /// Until then this controller stands in no election; after it resigned, another can lead.
    pub(super) no_election_until: Steady,
}

impl SharedState {
    /// The leadership, if it is still that of the term with this fencing token.
    pub(super) fn leadership_with(&mut self, fencing_token: u64) -> Option<&mut Leadership> {
        self.leadership.as_mut().filter(|leadership| leadership.term.fencing_token == fencing_token)
    }

    /// Keeps the version of another controller as it reports it, and logs it when it changes.
    pub(super) fn note_version(&mut self, label: &str, version: String) {
        let version = if version.is_empty() { UNREPORTED_VERSION.to_string() } else { version };
        if self.peer_versions.get(label) != Some(&version) {
            tracing::info!(peer = label, %version, "peer version changed");
            self.peer_versions.insert(label.to_string(), version);
        }
    }

    /// The fencing token of this controller's own term; none if it does not lead.
    pub(super) fn fencing_token(&self) -> Option<u64> {
        self.leadership.as_ref().map(|leadership| leadership.term.fencing_token)
    }
}
