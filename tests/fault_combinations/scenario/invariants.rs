//! Invariants, checked against the workers' tasks and the records in the state store.

use milletlock::keys::job_key;
use milletlock::wire::Stage;

use super::Scenario;
use crate::common::worker::{assert_placement, job_of};
use crate::common::TIGHT_LIMIT;

impl Scenario {
    /// Asserts when a worker gets a start command that the task may start there. `tests/failover` asserts the
    /// same when the task has fetched its image.
    pub(super) fn check_start(&self, w: usize, task: &str) {
        let id = job_of(task);
        let worker = &self.workers[w].state;
        let twice = self.workers.iter().flat_map(|o| o.state.placed()).any(|k| k.0 == task);
        assert!(!twice, "ran_twice: {task} at {} s", self.seconds);
        let in_zone = |same_zone: bool| {
            let workers = self.workers.iter().filter(|o| (o.state.zone == worker.zone) == same_zone);
            workers.map(|o| o.state.placed_of(id)).sum::<usize>() as u32
        };
        assert_placement(&self.specs[id], worker, task, in_zone(true), in_zone(false));
    }

    /// Asserts the invariants that hold after each step.
    pub(super) fn check_invariants(&mut self) {
        let s = self.seconds;
        let tight = self.workers.iter().flat_map(|w| w.state.placed());
        let tight = tight.filter(|k| self.specs[job_of(&k.0)].team == "tight").count();
        assert!(tight <= TIGHT_LIMIT, "quota: {tight} at {s} s");
        let cancel = self.cfg.platform.settings.workers.cancel_s;
        for (id, since) in &self.cancelled {
            assert!(s - since <= cancel || self.placed(id) == 0, "ran_cancelled: {id} at {s} s");
        }
        for id in self.specs.keys() {
            let (live, stage) = (self.store.row(&job_key(id)).is_some(), self.stage(id));
            assert!(live != stage.is_some(), "forgotten, or both live and ended: {id} at {s} s");
            let Some(stage) = stage else { continue };
            let first = *self.finals.entry(id.clone()).or_insert(stage);
            assert_eq!(first, stage, "went_back: {id} at {s} s");
            let mut tasks = (0..self.specs[id].tasks).map(|n| format!("{id}/{n}"));
            assert!(
                stage != Stage::Done || tasks.all(|t| self.finished.contains(&t)),
                "not_done: {id} at {s} s"
            );
            assert!(
                stage != Stage::Cancelled || self.cancelled.contains_key(id),
                "went_back: {id} is recorded as cancelled without a cancellation"
            );
        }
    }
}
