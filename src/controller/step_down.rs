//! Stepping down: how a leader gives up its leadership, and why.

use std::fmt;

use super::{allowed_rates, Controller, ControllerRole, SharedState};

/// Why a leader steps down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepDownReason {
    /// A worker has seen this higher fencing token.
    HigherTokenAtWorker(u64),
    /// Another controller answered with this higher fencing token.
    HigherTokenAtPeer(u64),
    /// Another controller announced that it leads with this higher fencing token.
    HigherTokenLeads(u64),
    /// The leader's lease expired, or was ended.
    LeaseExpired,
    /// Neither workers nor other controllers reach this leader.
    Isolated,
    /// Another leader has taken the shard: a guard of a write did not hold.
    ShardTaken,
    /// All attempt numbers of the fencing token are used.
    AttemptsExhausted,
    /// The state store no longer keeps the revision from which changes are watched.
    WatchCompacted,
    /// The record of a job can be read that this leader could not read.
    RecordReadable,
    /// The process is asked to end.
    AskedToEnd,
}

impl StepDownReason {
    /// The higher fencing token that was seen; 0 if the reason is another.
    fn higher_fencing_token(self) -> u64 {
        match self {
            StepDownReason::HigherTokenAtWorker(fencing_token)
            | StepDownReason::HigherTokenAtPeer(fencing_token)
            | StepDownReason::HigherTokenLeads(fencing_token) => fencing_token,
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
            StepDownReason::HigherTokenLeads(_) => "another controller leads with a higher fencing token",
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
    /// Gives up the leadership, if this controller has it, and notes the higher fencing token that the
    /// reason names.
    pub(super) fn step_down(&self, shared: &mut SharedState, reason: StepDownReason) {
        let higher = reason.higher_fencing_token();
        shared.highest_fencing_token = shared.highest_fencing_token.max(higher);
        if let Some(leadership) = shared.leadership.take() {
            for results in leadership.fleet.results_of_loans() {
                shared.reported_results.note(&results.job, &results.tasks, self.now());
            }
            self.state.set_allowed_rates(allowed_rates(&self.config, ControllerRole::Follower));
            tracing::info!(
                fencing_token = leadership.term.fencing_token,
                higher,
                why = reason.to_string(),
                "stepped down"
            );
            shared.leader = None;
            // Any of the others may be replaced by an older one before this controller leads again.
            shared.peer_versions.clear();
            self.wake.notify_all();
        }
    }

    /// Gives up the leadership of the term with this fencing token, if that has not ended yet.
    pub(super) fn step_down_from(&self, fencing_token: u64, reason: StepDownReason) {
        let mut shared = self.lock();
        if shared.leadership_with(fencing_token).is_some() {
            self.step_down(&mut shared, reason);
        }
    }
}
