//! The planning duty: advances the leader's fleet to the current time and keeps its plan up to date.

use super::step_down::StepDownReason;
use super::Controller;
use crate::time::{wall, Micros};

/// Pause between two rounds of planning.
const PLAN_INTERVAL: Micros = Micros::from_millis(40);

impl Controller {
    /// Plans at regular intervals until the controller stops.
    pub(super) fn plan(&self) {
        while !self.stopping() {
            self.sleep(PLAN_INTERVAL);
            self.plan_once();
        }
    }

    /// Advances the fleet to the current time, plans, and sends the deferred replies that are due. Steps down
    /// if hardly any attempt numbers of the fencing token are left.
    pub fn plan_once(&self) {
        let mut shared = self.lock();
        let has_writes = shared.leadership.as_mut().is_some_and(|leadership| {
            leadership.fleet.tick(self.now(), wall());
            leadership.fleet.starts_await_marks()
        });
        if shared.leadership.as_ref().is_some_and(|leadership| leadership.fleet.attempts_exhausted()) {
            self.step_down(&mut shared, StepDownReason::AttemptsExhausted);
        }
        drop(shared);
        self.send_deferred_replies();
        if has_writes {
            self.wake.notify_all();
        }
    }
}
