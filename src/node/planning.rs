//! Keeps the owner's plan up to date as time passes.

use super::Node;
use crate::time::{wall, Micros};

impl Node {
    /// Lets time pass for the owner's world and keeps its plan up to date.
    pub(super) fn plan(&self) {
        while !self.stopping() {
            self.sleep(Micros::from_millis(40));
            self.plan_once();
        }
    }

    /// Lets time pass, plans, and answers workers that wait for a start.
    pub fn plan_once(&self) {
        let mut core = self.lock();
        let writes = core.own.as_mut().is_some_and(|own| {
            own.fleet.tick(self.now(), wall());
            own.fleet.starts_wait()
        });
        drop(core);
        self.answer_waiting();
        if writes {
            self.wake.notify_all();
        }
    }
}
