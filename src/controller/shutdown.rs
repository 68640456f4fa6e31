//! The end of a controller that is asked to end: a leader first records the results of lent jobs, then gives up
//! its lease, so that another controller leads at once and finds them.

use super::step_down::StepDownReason;
use super::Controller;
use crate::leadership::LeadershipTerm;
use crate::time::Micros;

/// Longest time that a leader takes to record results before it gives up its lease.
const RECORD_TIMEOUT: Micros = Micros::from_millis(2_000);
/// Pause after a write that did not succeed.
const RECORD_RETRY_DELAY: Micros = Micros::from_millis(50);

impl Controller {
    /// Gives up the leadership, if this controller has it: records the results of lent jobs, which a leader
    /// without loans would lose, and ends the lease.
    pub fn resign(&self) {
        let Some(term) = self.lock().leadership.as_ref().map(|leadership| leadership.term) else { return };
        let left = self.record_results(term);
        if left > 0 {
            tracing::error!(results = left, "results of lent jobs not recorded");
        }
        self.step_down_from(term.fencing_token, StepDownReason::AskedToEnd);
        if let Err(error) = self.state.end_lease(term.lease) {
            tracing::info!(%error, "leader lease not ended");
        }
    }

    /// Writes the results of lent jobs until none is left or the time is over; how many are left.
    fn record_results(&self, term: LeadershipTerm) -> u32 {
        let deadline = self.now() + RECORD_TIMEOUT;
        loop {
            let left = match self.lock().leadership_with(term.fencing_token) {
                Some(leadership) => leadership.fleet.unrecorded_results_of_loans(),
                None => return 0,
            };
            if left == 0 || self.now() >= deadline {
                return left;
            }
            if !self.write_results_of_loans() {
                std::thread::sleep(RECORD_RETRY_DELAY.to_duration());
            }
        }
    }
}
