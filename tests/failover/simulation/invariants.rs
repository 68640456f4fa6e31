//! The invariants that must hold at every step, checked from outside.

use std::collections::BTreeSet;

use milletlock::keys::{final_key, job_key};
use milletlock::records::FinalRecord;
use milletlock::wire::{Shape, Stage, TaskStage};

use super::{Simulation, Worker};
use crate::common::worker::{assert_placement, job_of};
use crate::common::TIGHT_LIMIT;

impl Simulation {
    /// The invariants, at the moment a task has fetched and starts: here only executing tasks count.
    pub(super) fn check_start(&self, w: usize, task: &str, id: &str) {
        let s = &self.specs[id];
        let on = |m: &Worker| m.state.executing().filter(|k| job_of(&k.0) == id).count() as u32;
        let twice =
            self.workers.iter().enumerate().any(|(i, m)| i != w && m.state.executing().any(|k| k.0 == task));
        assert!(!twice, "ran_twice: {task}");
        let m = &self.workers[w].state;
        let other: u32 = self.workers.iter().filter(|o| o.state.zone != m.zone).map(on).sum();
        let here: u32 = self.workers.iter().filter(|o| o.state.zone == m.zone).map(on).sum();
        assert_placement(s, m, task, here, other);
        assert!(s.team != "tight" || self.used("tight") < TIGHT_LIMIT, "quota: {task}");
        assert!(
            self.cancelled.get(id).is_none_or(|at| self.now - *at < self.cancel),
            "ran_cancelled: {task}"
        );
    }

    /// How many tasks of a team are on machines; each takes a processor.
    fn used(&self, team: &str) -> usize {
        let on = self.workers.iter().flat_map(|w| w.state.executing());
        on.filter(|k| self.specs[job_of(&k.0)].team == team).count()
    }

    /// The invariants, at every step.
    pub(super) fn check_invariants(&mut self) {
        self.check_running_tasks();
        self.check_final_records();
        self.check_jobs();
    }

    /// No task runs twice, after its cancellation or beyond its team's limit.
    fn check_running_tasks(&self) {
        let mut on = BTreeSet::new();
        for w in &self.workers {
            for (task, _) in w.state.executing() {
                assert!(on.insert(task.as_str()), "ran_twice: {task} is on two machines");
                let late = self.cancelled.get(job_of(task)).is_some_and(|at| self.now - *at > self.cancel);
                // On a machine that hangs it does nothing, until the machine goes on.
                assert!(!late || self.now < w.frozen_until, "ran_cancelled: {task} is on {}", w.state.id);
            }
        }
        assert!(self.used("tight") <= TIGHT_LIMIT, "quota: tight");
    }

    /// The first final record of a job stays, and is right.
    fn check_final_records(&mut self) {
        for (_, key, value) in &self.store.log[self.log_checked..] {
            let Some(id) = key.strip_prefix("final/") else { continue };
            let Some(v) = value else { panic!("went_back: {id} is forgotten") };
            let f: FinalRecord = serde_json::from_value(v.clone()).expect("a final record");
            let first = *self.finals.entry(id.to_string()).or_insert(f.stage);
            assert_eq!(first, f.stage, "went_back: {id}");
            match f.stage {
                Stage::Done => assert!(self.all_finished(id), "not_done: {id}"),
                Stage::Cancelled => {
                    assert!(self.cancel_requested.contains(id), "went_back: no user cancelled {id}")
                }
                _ => panic!("went_back: {id} is called over, but how?"),
            }
        }
        self.log_checked = self.store.log.len();
    }

    /// Each job is either open or over, and cancelled if its user was told so.
    fn check_jobs(&self) {
        for id in self.specs.keys() {
            let (live, over) =
                (self.store.mod_revision(&job_key(id)), self.store.mod_revision(&final_key(id)));
            assert!(live > 0 || over > 0, "forgotten: {id}");
            assert!(live == 0 || over == 0, "went_back: {id} is over and open");
            let told = self.cancelled.contains_key(id);
            assert!(!told || self.finals.get(id) == Some(&Stage::Cancelled), "went_back: {id}");
        }
    }

    /// Whether some of a job that waits could start somewhere as things stand.
    fn startable(&self, id: &str) -> bool {
        let s = &self.specs[id];
        let there = |t: &String| {
            let of = self.workers.iter().flat_map(|w| &w.state.tasks);
            of.into_iter().any(|(k, x)| k.0 == *t && x.stage != TaskStage::Exited)
        };
        let tasks: Vec<String> = (0..s.tasks).map(|n| format!("{id}/{n}")).collect();
        let waits = tasks.iter().filter(|t| !self.finished.contains(*t) && !there(t)).count();
        let gang = s.shape == Shape::Gang;
        let least = if gang { s.tasks as usize } else { 1 };
        if waits < least || (s.team == "tight" && self.placed("tight") + least > TIGHT_LIMIT) {
            return false;
        }
        let zones = [self.capacity_in_zone(id, "north"), self.capacity_in_zone(id, "south")];
        let half = s.tasks.div_ceil(2) as usize;
        if s.one_zone {
            return (0..2).any(|z| zones[z].0 >= least && zones[1 - z].1 == 0);
        }
        let most = |z: (usize, usize)| if s.spread { z.0.min(half.saturating_sub(z.1)) } else { z.0 };
        most(zones[0]) + most(zones[1]) >= least
    }

    /// How many more tasks of a job a zone has capacity for, and how many are or will be there.
    fn capacity_in_zone(&self, id: &str, zone: &str) -> (usize, usize) {
        let s = &self.specs[id];
        let of = || self.workers.iter().filter(|w| w.state.zone == zone);
        let live = |w: &Worker| w.state.tasks.values().filter(|t| t.stage != TaskStage::Exited).count();
        let fits =
            |w: &&Worker| (s.spot || !w.state.spot) && s.zone.as_deref().is_none_or(|z| z == w.state.zone);
        let capacity: usize =
            of().filter(fits).map(|w| (self.types[w.ty].cpus as usize).saturating_sub(live(w))).sum();
        let here = of().flat_map(|w| &w.state.tasks);
        let here = here.filter(|(k, t)| job_of(&k.0) == id && t.stage != TaskStage::Exited).count();
        (capacity, here)
    }

    /// How many tasks of a team are or will be on machines.
    fn placed(&self, team: &str) -> usize {
        let of = self.workers.iter().flat_map(|w| &w.state.tasks);
        of.filter(|(k, t)| t.stage != TaskStage::Exited && self.specs[job_of(&k.0)].team == team).count()
    }

    /// Once the faults are over, no job waits for long although it could start.
    pub(super) fn check_no_starvation(&mut self, seed: u64) {
        let open: Vec<String> =
            self.store.rows("job/").iter().map(|r| r.key.trim_start_matches("job/").to_string()).collect();
        self.waiting.retain(|id, _| open.contains(id));
        for id in open {
            if !self.startable(&id) {
                self.waiting.remove(&id);
                continue;
            }
            let since = *self.waiting.entry(id.clone()).or_insert(self.now);
            assert!((self.now - since).secs() <= 90.0, "seed {seed}: {id} could start and waits");
        }
    }
}
