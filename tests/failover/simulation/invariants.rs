//! The invariants that must hold at every step, checked from the state of the workers and of the state store.
//! The message of a failed check begins with the invariant's name.

use std::collections::BTreeSet;

use milletlock::keys::{final_key, job_key};
use milletlock::records::FinalRecord;
use milletlock::wire::{Shape, Stage, TaskStage};

use super::{Simulation, Worker};
use crate::common::worker::{assert_placement, job_of};
use crate::common::TIGHT_LIMIT;

impl Simulation {
    /// Checks the invariants for a task that has fetched its image and starts. Only tasks that are executing
    /// count.
    pub(super) fn check_start(&self, worker_index: usize, task: &str, id: &str) {
        let spec = &self.specs[id];
        let on = |m: &Worker| m.state.executing().filter(|k| job_of(&k.0) == id).count() as u32;
        let twice = self
            .workers
            .iter()
            .enumerate()
            .any(|(i, m)| i != worker_index && m.state.executing().any(|k| k.0 == task));
        assert!(!twice, "ran_twice: {task}");
        let m = &self.workers[worker_index].state;
        let other: u32 = self.workers.iter().filter(|o| o.state.zone != m.zone).map(on).sum();
        let same_zone: u32 = self.workers.iter().filter(|o| o.state.zone == m.zone).map(on).sum();
        assert_placement(spec, m, task, same_zone, other);
        assert!(spec.team != "tight" || self.used("tight") < TIGHT_LIMIT, "quota: {task}");
        assert!(
            self.cancelled.get(id).is_none_or(|at| self.now - *at < self.cancel),
            "ran_cancelled: {task}"
        );
    }

    /// Number of executing tasks of a team. Each uses one processor.
    fn used(&self, team: &str) -> usize {
        let on = self.workers.iter().flat_map(|w| w.state.executing());
        on.filter(|k| self.specs[job_of(&k.0)].team == team).count()
    }

    /// Checks the invariants at the end of a step.
    pub(super) fn check_invariants(&mut self) {
        self.check_running_tasks();
        self.check_final_records();
        self.check_jobs();
    }

    /// Checks that no task runs twice, that no task runs longer after its cancellation than allowed, and that
    /// no team exceeds its limit.
    fn check_running_tasks(&self) {
        let mut on = BTreeSet::new();
        for worker in &self.workers {
            for (task, _) in worker.state.executing() {
                assert!(on.insert(task.as_str()), "ran_twice: {task} is on two machines");
                let late = self.cancelled.get(job_of(task)).is_some_and(|at| self.now - *at > self.cancel);
                // A task on a frozen machine does nothing until the machine resumes.
                assert!(
                    !late || self.now < worker.frozen_until,
                    "ran_cancelled: {task} is on {}",
                    worker.state.id
                );
            }
        }
        assert!(self.used("tight") <= TIGHT_LIMIT, "quota: tight");
    }

    /// Checks that the first final record of a job stays as it is, and that it is correct.
    fn check_final_records(&mut self) {
        for (_, key, value) in &self.store.log[self.log_checked..] {
            let Some(id) = key.strip_prefix("final/") else { continue };
            let Some(v) = value else { panic!("went_back: the final record of {id} was removed") };
            let final_record: FinalRecord = serde_json::from_value(v.clone()).expect("a final record");
            let first = *self.finals.entry(id.to_string()).or_insert(final_record.stage);
            assert_eq!(
                first, final_record.stage,
                "went_back: the stage in the final record of {id} has changed"
            );
            match final_record.stage {
                Stage::Done => assert!(self.all_finished(id), "not_done: {id} has unfinished tasks"),
                Stage::Cancelled => {
                    assert!(self.cancel_requested.contains(id), "went_back: no user cancelled {id}")
                }
                _ => panic!("went_back: the final record of {id} has a stage that is not final"),
            }
        }
        self.log_checked = self.store.log.len();
    }

    /// Checks that each job has either a live or a final record, and that it is recorded as cancelled if its
    /// user has received this reply.
    fn check_jobs(&self) {
        for id in self.specs.keys() {
            let (live, ended) =
                (self.store.mod_revision(&job_key(id)), self.store.mod_revision(&final_key(id)));
            assert!(live > 0 || ended > 0, "forgotten: {id} has neither a live nor a final record");
            assert!(live == 0 || ended == 0, "went_back: {id} has both a live and a final record");
            let confirmed = self.cancelled.contains_key(id);
            assert!(
                !confirmed || self.finals.get(id) == Some(&Stage::Cancelled),
                "went_back: the cancellation of {id} was confirmed and is not recorded"
            );
        }
    }

    /// Whether waiting tasks of a job could start on the present machines.
    fn startable(&self, id: &str) -> bool {
        let spec = &self.specs[id];
        let is_placed = |t: &String| {
            let of = self.workers.iter().flat_map(|w| &w.state.tasks);
            of.into_iter().any(|(attempt, state)| attempt.0 == *t && state.stage != TaskStage::Exited)
        };
        let tasks: Vec<String> = (0..spec.tasks).map(|n| format!("{id}/{n}")).collect();
        let waiting_tasks = tasks.iter().filter(|t| !self.finished.contains(*t) && !is_placed(t)).count();
        let gang = spec.shape == Shape::Gang;
        let least = if gang { spec.tasks as usize } else { 1 };
        if waiting_tasks < least || (spec.team == "tight" && self.placed("tight") + least > TIGHT_LIMIT) {
            return false;
        }
        let zones = [self.capacity_in_zone(id, "north"), self.capacity_in_zone(id, "south")];
        let half = spec.tasks.div_ceil(2) as usize;
        if spec.one_zone {
            return (0..2).any(|z| zones[z].0 >= least && zones[1 - z].1 == 0);
        }
        let most = |z: (usize, usize)| if spec.spread { z.0.min(half.saturating_sub(z.1)) } else { z.0 };
        most(zones[0]) + most(zones[1]) >= least
    }

    /// For a job and a zone: how many more tasks the zone has capacity for, and how many are placed there.
    fn capacity_in_zone(&self, id: &str, zone: &str) -> (usize, usize) {
        let s = &self.specs[id];
        let of = || self.workers.iter().filter(|w| w.state.zone == zone);
        let live = |w: &Worker| w.state.tasks.values().filter(|t| t.stage != TaskStage::Exited).count();
        let fits =
            |w: &&Worker| (s.spot || !w.state.spot) && s.zone.as_deref().is_none_or(|z| z == w.state.zone);
        let capacity: usize =
            of().filter(fits).map(|w| (self.types[w.type_index].cpus as usize).saturating_sub(live(w))).sum();
        let placed_here = of().flat_map(|w| &w.state.tasks);
        let placed_here =
            placed_here.filter(|(k, t)| job_of(&k.0) == id && t.stage != TaskStage::Exited).count();
        (capacity, placed_here)
    }

    /// Number of tasks of a team that are placed on machines and have not exited.
    fn placed(&self, team: &str) -> usize {
        let of = self.workers.iter().flat_map(|w| &w.state.tasks);
        of.filter(|(k, t)| t.stage != TaskStage::Exited && self.specs[job_of(&k.0)].team == team).count()
    }

    /// Checks, after the end of the faults, that no job waits for more than 90 s although it could start.
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
            assert!(
                (self.now - since).secs() <= 90.0,
                "seed {seed}: {id} has waited for more than 90 s although it could start"
            );
        }
    }
}
