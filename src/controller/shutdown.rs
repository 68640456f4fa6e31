//! The shutdown of a leader: it records the results of jobs with loans and then ends its lease, so that
//! another controller becomes the leader at once and finds the results.

use super::step_down::StepDownReason;
use super::Controller;
use crate::leadership::LeadershipTerm;
use crate::time::Micros;

/// Longest time for which a leader tries to record results before it ends its lease.
const RECORD_TIMEOUT: Micros = Micros::from_millis(2_000);
/// Pause after a write that did not succeed.
const RECORD_RETRY_DELAY: Micros = Micros::from_millis(50);

impl Controller {
    /// If this controller leads, gives up the leadership: records the results of jobs with loans, which a
    /// leader of a version without loans would lose, and ends the lease.
    pub fn resign(&self) {
        let Some(term) = self.lock().leadership.as_ref().map(|leadership| leadership.term) else { return };
        let unrecorded = self.record_results_of_loans(term);
        if unrecorded > 0 {
            tracing::error!(results = unrecorded, "results of lent jobs not recorded");
        }
        self.step_down_from(term.fencing_token, StepDownReason::AskedToEnd);
        if let Err(error) = self.state.end_lease(term.lease) {
            tracing::info!(%error, "leader lease not ended");
        }
    }

    /// Writes the results of jobs with loans until all are recorded or [`RECORD_TIMEOUT`] has passed. Returns
    /// how many results are not recorded.
    fn record_results_of_loans(&self, term: LeadershipTerm) -> u32 {
        let deadline = self.now() + RECORD_TIMEOUT;
        loop {
            let unrecorded = match self.lock().leadership_with(term.fencing_token) {
                Some(leadership) => leadership.fleet.unrecorded_results_of_loans(),
                None => return 0,
            };
            if unrecorded == 0 || self.now() >= deadline {
                return unrecorded;
            }
            if !self.write_results_of_loans() {
                std::thread::sleep(RECORD_RETRY_DELAY.to_duration());
            }
        }
    }
}
