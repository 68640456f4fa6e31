//! Stepping down: gives up the leadership, with the reason.

use std::fmt;

use super::{allowed_rates, Controller, ControllerRole, SharedState};

/// Why a leader steps down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepDownReason {
    /// A worker has seen this higher fencing token.
    HigherTokenAtWorker(u64),
    /// Another controller has seen this higher fencing token and named it in an answer.
    HigherTokenAtPeer(u64),
    /// Another controller announced that it leads with this higher fencing token.
    HigherTokenAnnounced(u64),
    /// The leader's lease has expired or was ended.
    LeaseExpired,
    /// Messages of neither workers nor other controllers reach this leader.
    Isolated,
    /// Another leader has taken the shard: the state store refused a write because the revision of the
    /// shard's record had changed.
    ShardTaken,
    /// Hardly any attempt numbers of this fencing token are left.
    AttemptsExhausted,
    /// The state store has compacted the revision from which this leader watches changes.
    WatchCompacted,
    /// The record of a job, which this leader could not read before, can now be read.
    RecordReadable,
    /// The process was asked to end.
    AskedToEnd,
}

impl StepDownReason {
    /// The higher fencing token that was seen; 0 for the reasons without one.
    fn higher_fencing_token(self) -> u64 {
        match self {
            StepDownReason::HigherTokenAtWorker(fencing_token)
            | StepDownReason::HigherTokenAtPeer(fencing_token)
            | StepDownReason::HigherTokenAnnounced(fencing_token) => fencing_token,
            StepDownReason::LeaseExpired
            | StepDownReason::Isolated
            | StepDownReason::ShardTaken
            | StepDownReason::AttemptsExhausted
            | StepDownReason::WatchCompacted
            | StepDownReason::RecordReadable
            | StepDownReason::AskedToEnd => 0,
        }
    }
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::HigherTokenAtWorker(_) => "a worker has seen a higher fencing token",
            StepDownReason::HigherTokenAtPeer(_) => "another controller knows a higher fencing token",
            StepDownReason::HigherTokenAnnounced(_) => "another controller leads with a higher fencing token",
            StepDownReason::LeaseExpired => "leader lease expired",
            StepDownReason::Isolated => "hears neither workers nor controllers",
            StepDownReason::ShardTaken => "another leader has taken the shard",
            StepDownReason::AttemptsExhausted => "its attempt numbers are used up",
            StepDownReason::WatchCompacted => "watch revision compacted",
            StepDownReason::AskedToEnd => "the process is asked to end",
            StepDownReason::RecordReadable => "an unreadable job record is readable again",
        })
    }
}

impl Controller {
    /// Records the higher fencing token that the reason names, if any. If this controller leads, gives up
    /// the leadership, and keeps the results of jobs with loans that are not recorded yet.
    pub(super) fn step_down(&self, shared: &mut SharedState, reason: StepDownReason) {
        let higher = reason.higher_fencing_token();
        shared.highest_fencing_token = shared.highest_fencing_token.max(higher);
        if let Some(leadership) = shared.leadership.take() {
            for results in leadership.fleet.results_of_loans() {
                shared.reported_results.record(&results.job, &results.tasks, self.now());
            }
            self.state.set_allowed_rates(allowed_rates(&self.config, ControllerRole::Follower));
            tracing::info!(
                fencing_token = leadership.term.fencing_token,
                higher,
                why = reason.to_string(),
                "stepped down"
            );
            shared.leader = None;
            // Any other controller may be replaced by one of an earlier version before this one leads again.
            shared.peer_versions.clear();
            self.wake.notify_all();
        }
    }

    /// Gives up the leadership if this controller still leads in the term with this fencing token.
    pub(super) fn step_down_from(&self, fencing_token: u64, reason: StepDownReason) {
        let mut shared = self.lock();
        if shared.leadership_with(fencing_token).is_some() {
            self.step_down(&mut shared, reason);
        }
    }
}
