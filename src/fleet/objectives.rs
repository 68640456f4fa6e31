//! Service-level objectives of job classes: which objectives a job has missed, and how long it may wait.

use super::recent_jobs::fetch_s;
use super::{stated_run_time, Fleet};
use crate::config::{Objective, ObjectiveKind};
use crate::history::EstimateKey;
use crate::jobs::Job;
use crate::time::{Micros, Wall};
use crate::wire::JobSpec;

/// Seconds after which a narrow job that missed its start objective no longer yields to other jobs. Such a
/// job has to start within four minutes.
const MAX_YIELD_S: f64 = 150.0;

/// The same limit for the widest job of a shape. It is lower, since a wide job needs more time to find
/// machines.
const MAX_YIELD_OF_WIDEST_S: f64 = 90.0;

/// A missed objective on the end counts until the job has waited this many times the objective's time limit.
const MAX_END_OVERRUN: f64 = 5.0;

/// The share of its adjusted run time that a job is expected to take, for the estimate of its end.
const EXPECTED_RUN_SHARE: f64 = 0.7;

/// The maximum count of missed objectives.
const MAX_MISSED: usize = 200;

/// Heartbeat intervals until other jobs are preempted for a job that has no objective on its start.
const DEFAULT_PREEMPTION_WAIT_INTERVALS: f64 = 2.0;

/// Heartbeat intervals that pass until workers have received the commands that preempt tasks and those that
/// start other tasks.
const PREEMPTION_INTERVALS: f64 = 1.5;

impl Fleet {
    /// The expected run time of a waiting job's tasks. It is the stated run time; if the operator setting
    /// `adjust` is on, it is scaled by the factor from stated to actual run times in the team's history.
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

    /// Seconds within which a job should start; `None` if its class has no objective on the start.
    pub(super) fn start_objective_s(&self, spec: &JobSpec) -> Option<f64> {
        let on_start = self.objectives(spec).filter(|objective| objective.kind == ObjectiveKind::Start);
        on_start.map(|objective| objective.within_s).reduce(f64::min)
    }

    /// Seconds after which a job no longer yields to other jobs. The more tasks the job has, compared with
    /// `widest`, the largest number of tasks of any job of its shape, the lower the limit is.
    pub(super) fn max_yield_s(spec: &JobSpec, widest: u32) -> f64 {
        let width = f64::from(spec.tasks) / f64::from(widest.max(spec.tasks).max(1));
        MAX_YIELD_S - (MAX_YIELD_S - MAX_YIELD_OF_WIDEST_S) * width
    }

    /// How many of its class's objectives a job has missed, by its age or by the time at which it would end
    /// if it started now. Jobs that can still meet more of their objectives go first. A missed objective
    /// therefore counts only for a limited time, so that no job starves or seems forgotten: an objective on
    /// the end counts until five times its limit, an objective on the start until `max_yield_s`, which is
    /// shorter for wider jobs because they take longer to find machines. For a gang that has not started by
    /// then no missed objective counts.
    pub(super) fn missed_objectives(&self, job: &Job, waited: Micros, adjusted: Micros, widest: u32) -> u8 {
        let spec = &job.spec;
        if spec.is_service() {
            return 0;
        }
        let may_have_started = job.first_start_at.is_some() || job.inherited_start_mark > 0;
        // The objective on the start no longer counts for an array of which tasks have started. Otherwise its
        // tasks that are lost with a machine would wait behind all newer jobs, and the job would miss its
        // deadline.
        let has_started = spec.is_array() && may_have_started;
        let waited_s = waited.secs();
        let max_yield_s = Self::max_yield_s(spec, widest);
        if spec.is_gang() && !may_have_started && waited_s >= max_yield_s {
            // A gang whose stated run time alone exceeds the objective on the end misses that objective from
            // the beginning, and would yield to others for five times its limit.
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

    /// Seconds within which a job should end: the limit of its class's latest objective on the end, and the
    /// job's own deadline unless its class has an objective on deadlines. Of the objectives on the end only
    /// the latest counts: jobs that missed an earlier one have little time left, and jobs that met it have
    /// time to spare.
    fn end_limits_s(&self, spec: &JobSpec) -> impl Iterator<Item = f64> {
        let on_end = self.objectives(spec).filter(|objective| objective.kind == ObjectiveKind::End);
        let last_s = on_end.map(|objective| objective.within_s).reduce(f64::max);
        let has_deadline_objective =
            self.objectives(spec).any(|objective| objective.kind == ObjectiveKind::Deadline);
        let own_s = spec.deadline_s.filter(|_| !has_deadline_objective);
        [last_s, own_s].into_iter().flatten()
    }

    /// Whether an array should wait for machines that have its image cached. This is so if its tasks would
    /// miss their start objective on a machine that has to fetch the image, and if more than a heartbeat
    /// interval is left until the objective's limit.
    pub(super) fn should_wait_for_image(&self, spec: &JobSpec, waited: Micros) -> bool {
        let Some(within_s) = self.start_objective_s(spec).filter(|_| spec.is_array()) else { return false };
        let left_s = within_s - waited.secs();
        left_s > self.config.platform.settings.workers.report_s && self.min_fetch_s(spec) > left_s
    }

    /// Seconds to fetch a job's image on the fastest machine type that the job may use; 0 if there is no such
    /// type.
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

    /// How long a job may wait before others are preempted for it: the limit of its class's start objective,
    /// less the heartbeat intervals that the commands take and the time to fetch its image.
    pub(super) fn preemption_wait(&self, spec: &JobSpec) -> Micros {
        let heartbeat_s = self.config.platform.settings.workers.report_s;
        if spec.is_service() {
            // Users of a service notice a missing replica at once.
            return Micros::ZERO;
        }
        let Some(within_s) = self.start_objective_s(spec) else {
            return Micros::from_secs(DEFAULT_PREEMPTION_WAIT_INTERVALS * heartbeat_s);
        };
        let fetch_s = self.min_fetch_s(spec);
        // If the fetch alone takes longer than the objective allows, only machines that have the image cached
        // meet the objective. An earlier preemption gains nothing then.
        let fetch_s = if fetch_s < within_s { fetch_s } else { 0.0 };
        Micros::from_secs((within_s - PREEMPTION_INTERVALS * heartbeat_s - fetch_s).max(0.0))
    }
}
