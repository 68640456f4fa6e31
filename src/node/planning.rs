//! Keeps the owner's plan up to date as time passes.

use super::Node;
use crate::time::{wall, Micros};

/// Pause between two rounds of planning.
const PLAN_INTERVAL: Micros = Micros::from_millis(40);

impl Node {
    /// Lets time pass for the owner's world and keeps its plan up to date.
    pub(super) fn plan(&self) {
        while !self.stopping() {
            self.sleep(PLAN_INTERVAL);
            self.plan_once();
        }
    }

    /// Lets time pass, plans, and answers workers that wait for a start.
    pub fn plan_once(&self) {
        let mut shared = self.lock();
        let writes = shared.ownership.as_mut().is_some_and(|ownership| {
            ownership.fleet.tick(self.now(), wall());
            ownership.fleet.starts_wait()
        });
        drop(shared);
        self.answer_deferred();
        if writes {
            self.wake.notify_all();
        }
    }
}
