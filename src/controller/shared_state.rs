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
    /// The term in which this controller leads.
    pub(super) term: LeadershipTerm,
    /// When this controller last reached the state store, which limits how long it may act as the leader.
    pub(super) store_contact: StoreContact,
    /// When a worker's heartbeat was last accepted.
    pub(super) last_heartbeat: Steady,
}

/// The state that all threads of a controller share.
#[derive(Default)]
pub(super) struct SharedState {
    /// None while this controller does not lead.
    pub(super) leadership: Option<Leadership>,
    /// Whether this controller has won an election and is reading the records. Heartbeats that arrive
    /// meanwhile wait for a short time.
    pub(super) is_rebuilding: bool,
    /// The leader, if known.
    pub(super) leader: Option<LeaderRecord>,
    /// The highest fencing token that this controller has seen.
    pub(super) highest_fencing_token: u64,
    /// Versions of the other controllers, by label, as each last reported its own. They are cleared when a
    /// term of this controller ends.
    pub(super) peer_versions: BTreeMap<String, String>,
    /// State of the exchange with the other cells, by cell name.
    pub(super) other_cells: BTreeMap<String, OtherCellState>,
    /// Why the last refused message of each sender was refused, by the name that the sender gave.
    pub(super) refused_cells: BTreeMap<String, String>,
    /// The machine types; none until they are known.
    pub(super) machine_types: Option<Vec<MachineType>>,
    /// Final records that are known to be written.
    pub(super) final_records: FinalRecordCache,
    /// Task counts of live jobs, as the leader last announced them.
    pub(super) announced_counts: BTreeMap<String, JobProgress>,
    /// Heartbeats of idle workers whose replies are deferred.
    pub(super) deferred_replies: BTreeMap<MachineId, DeferredHeartbeatReply>,
    /// When each worker was last redirected to the leader, by machine id.
    pub(super) redirected: BTreeMap<String, Steady>,
    /// Results that workers have reported and that this controller has not recorded as the leader.
    /// A newly elected leader applies them to its fleet.
    pub(super) reported_results: ReportedResults,
    /// How many jobs with loans lack copies of their progress, as counted by the last round of this follower.
    /// None unless the leader is of a version that keeps no copies.
    pub(super) lent_progress: Option<LentProgressStatus>,
    /// Until this time users' requests are not relayed to other controllers.
    pub(super) no_relay_until: Steady,
    /// When a message or an answer of another controller of this cell last arrived.
    pub(super) last_peer_contact: Steady,
    /// Until this time this controller stands in no election. Set when it gives up the leadership because it
    /// is isolated, so that another controller can win, and when it finds records of a later format.
    pub(super) no_election_until: Steady,
}

impl SharedState {
    /// The leadership, if this controller still leads in the term with this fencing token.
    pub(super) fn leadership_with(&mut self, fencing_token: u64) -> Option<&mut Leadership> {
        self.leadership.as_mut().filter(|leadership| leadership.term.fencing_token == fencing_token)
    }

    /// Records the version that another controller reports, and logs it if it has changed. The text is empty
    /// if the controller reports no version; [`UNREPORTED_VERSION`] is then recorded.
    pub(super) fn update_peer_version(&mut self, label: &str, version: String) {
        let version = if version.is_empty() { UNREPORTED_VERSION.to_string() } else { version };
        if self.peer_versions.get(label) != Some(&version) {
            tracing::info!(peer = label, %version, "peer version changed");
            self.peer_versions.insert(label.to_string(), version);
        }
    }

    /// The fencing token of the term in which this controller leads; none if it does not lead.
    pub(super) fn fencing_token(&self) -> Option<u64> {
        self.leadership.as_ref().map(|leadership| leadership.term.fencing_token)
    }
}
