//! Service-level objectives of job classes: which ones a job has missed, and how long it may wait.

use super::recent_jobs::fetch_s;
use super::{stated_run_time, Fleet};
use crate::config::{Objective, ObjectiveKind};
use crate::history::EstimateKey;
use crate::jobs::Job;
use crate::time::{Micros, Wall};
use crate::wire::JobSpec;

/// Seconds after which a narrow job that missed its start objective yields to others no more: it must
/// start within four minutes.
const MAX_YIELD_S: f64 = 150.0;

/// The same for the widest job of its shape, which takes longer to find machines.
const MAX_YIELD_OF_WIDEST_S: f64 = 90.0;

/// A missed objective on the end counts for this many times its time limit.
const MAX_END_OVERRUN: f64 = 5.0;

/// The part of its adjusted run time that a job is expected to take when its end is foreseen.
const EXPECTED_RUN_SHARE: f64 = 0.7;

/// Missed objectives counted at most.
const MAX_MISSED: usize = 200;

/// Heartbeat intervals until others are preempted for a job that has no objective on its start.
const DEFAULT_PREEMPTION_WAIT_INTERVALS: f64 = 2.0;

/// Heartbeat intervals that the commands to preempt tasks and to start others take.
const PREEMPTION_INTERVALS: f64 = 1.5;

impl Fleet {
    /// The run time expected of a waiting job's tasks: the stated one, scaled by its team's history of
    /// actual to stated run times when the operator setting `adjust` is on.
    pub fn adjusted_run_time(&self, spec: &JobSpec, wall: Wall) -> Micros {
        let stated = stated_run_time(spec);
        if !self.config.operator.adjust {
            return stated;
        }
        stated.scale(self.history.factor(&EstimateKey { team: spec.team.clone(), stated }, wall))
    }

    /// The objectives of a job's class.
    fn objectives<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a Objective> {
        let all = self.config.platform.settings.objectives.iter();
        all.filter(|objective| Some(&objective.class) == spec.class.as_ref())
    }

    /// Seconds within which a job of this class should start, if it has such an objective.
    pub(super) fn start_objective_s(&self, spec: &JobSpec) -> Option<f64> {
        let on_start = self.objectives(spec).filter(|objective| objective.kind == ObjectiveKind::Start);
        on_start.map(|objective| objective.within_s).reduce(f64::min)
    }

    /// After how many seconds a job yields to others no more: the wider it is, the sooner.
    pub(super) fn max_yield_s(spec: &JobSpec, widest: u32) -> f64 {
        let width = f64::from(spec.tasks) / f64::from(widest.max(spec.tasks).max(1));
        MAX_YIELD_S - (MAX_YIELD_S - MAX_YIELD_OF_WIDEST_S) * width
    }

    /// How many of its class's objectives a job has missed, by its age or by the time it would end if it
    /// started now. So that nothing starves or might be taken for forgotten, a missed objective stops
    /// counting against it after a while: one on its end after five times the limit, one on its start
    /// sooner, and the sooner the wider the job is: it takes longer to find machines. For a gang that has
    /// not begun by then none counts.
    pub(super) fn missed_objectives(&self, job: &Job, waited: Micros, adjusted: Micros, widest: u32) -> u8 {
        let spec = &job.spec;
        if spec.is_service() {
            return 0;
        }
        let may_have_started = job.first_start_at.is_some() || job.inherited_start_mark > 0;
        // An array of which tasks have started has its start behind it: tasks that are lost with a machine
        // would otherwise wait behind all newer jobs, and the job miss its deadline for them.
        let has_started = spec.is_array() && may_have_started;
        let waited_s = waited.secs();
        let max_yield_s = Self::max_yield_s(spec, widest);
        if spec.is_gang() && !may_have_started && waited_s >= max_yield_s {
            // One whose stated run time alone exceeds the objective on the end misses it from the beginning.
            return 0;
        }
        let end_s = waited_s + EXPECTED_RUN_SHARE * adjusted.secs();
        let misses_end = |within_s: f64| end_s > within_s && waited_s < MAX_END_OVERRUN * within_s;
        let missed = self.objectives(spec).filter(|objective| match objective.kind {
            ObjectiveKind::Start => !has_started && waited_s > objective.within_s && waited_s < max_yield_s,
            ObjectiveKind::Deadline => {
                spec.deadline_s.is_some_and(|due_s| misses_end(due_s * objective.times))
            }
            ObjectiveKind::End | ObjectiveKind::Unknown => false,
        });
        let missed_ends = self.end_limits_s(spec).filter(|within_s| misses_end(*within_s));
        (missed.count() + missed_ends.count()).min(MAX_MISSED) as u8
    }

    /// Seconds within which a job should end: by its class's last objective on the end, and by its own
    /// deadline if no objective is about that. Of objectives on the end only the last counts: jobs that
    /// missed an earlier one have little time left, those that did not have some to spare.
    fn end_limits_s(&self, spec: &JobSpec) -> impl Iterator<Item = f64> {
        let on_end = self.objectives(spec).filter(|objective| objective.kind == ObjectiveKind::End);
        let last_s = on_end.map(|objective| objective.within_s).reduce(f64::max);
        let has_deadline_objective =
            self.objectives(spec).any(|objective| objective.kind == ObjectiveKind::Deadline);
        let own_s = spec.deadline_s.filter(|_| !has_deadline_objective);
        [last_s, own_s].into_iter().flatten()
    }

    /// Whether an array should wait a moment for machines that have its image: where it has to be fetched
    /// its tasks would start too late for their objective, and there is still time for a heartbeat.
    pub(super) fn should_wait_for_image(&self, spec: &JobSpec, waited: Micros) -> bool {
        let Some(within_s) = self.start_objective_s(spec).filter(|_| spec.is_array()) else { return false };
        let left_s = within_s - waited.secs();
        left_s > self.config.platform.settings.workers.report_s && self.min_fetch_s(spec) > left_s
    }

    /// Seconds that a job's image takes to fetch on the fastest type that it may use; 0 without one.
    fn min_fetch_s(&self, spec: &JobSpec) -> f64 {
        let types = self.allowed_types(spec);
        let fetch_times = types.iter().map(|&index| fetch_s(spec, &self.catalog.types[index]));
        let fastest_s = fetch_times.fold(f64::INFINITY, f64::min);
        if fastest_s.is_finite() {
            fastest_s
        } else {
            0.0
        }
    }

    /// How long a job may wait before others are preempted for it: what its class's objective allows, less
    /// the heartbeats that carry the commands and the fetch of its image.
    pub(super) fn preemption_wait(&self, spec: &JobSpec) -> Micros {
        let heartbeat_s = self.config.platform.settings.workers.report_s;
        if spec.is_service() {
            // Its users miss a replica at once.
            return Micros::ZERO;
        }
        let Some(within_s) = self.start_objective_s(spec) else {
            return Micros::from_secs(DEFAULT_PREEMPTION_WAIT_INTERVALS * heartbeat_s);
        };
        let fetch_s = self.min_fetch_s(spec);
        // Where the fetch alone takes longer than the objective allows, only machines that have the image
        // meet it: preempting others sooner gains nothing.
        let fetch_s = if fetch_s < within_s { fetch_s } else { 0.0 };
        Micros::from_secs((within_s - PREEMPTION_INTERVALS * heartbeat_s - fetch_s).max(0.0))
    }
}
