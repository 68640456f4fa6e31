//! The planner's input: the fleet's machines and jobs in the form that `sched::plan` reads.
//!
//! `Fleet::planner_input` builds a [`Snapshot`] with one `MachineSnapshot` for each machine that can be
//! planned on and one `JobClass` for each job that has not ended. [`PlannerInput`] adds which machine and
//! which job each index of the snapshot stands for, so that the plan can be carried out (see `planning`).

use std::collections::{BTreeMap, BTreeSet};

use super::{task_resources, Fleet};
use crate::jobs::{Job, JobId, MachineId};
use crate::sched::{JobClass, Resources, Snapshot};
use crate::time::{Micros, Steady, Wall};
use crate::wire::{JobSpec, Priority, Shape};

/// The planner rounds start delays down to multiples of this step when it compares machines.
const DELAY_STEP: Micros = Micros(2_000_000);

/// The step for start delays of jobs of the lowest priority, in heartbeat intervals.
const LOW_PRIORITY_DELAY_STEP_INTERVALS: f64 = 1.5;

/// How far a team may exceed its fair share, in processors or GPUs: sums of fractions have rounding errors.
const FAIR_SHARE_TOLERANCE: f64 = 1e-6;

/// The planner's input, with the machine and the job that each of its indices stands for.
pub(super) struct PlannerInput {
    /// The snapshot that the planner reads.
    pub(super) snapshot: Snapshot,
    /// The ids of the snapshot's machines, by machine index.
    pub(super) machines: Vec<MachineId>,
    /// The ids of the jobs of the snapshot's classes, by class index.
    pub(super) jobs: Vec<JobId>,
}

/// The largest number of tasks of any unfinished job, by shape.
#[derive(Clone, Copy, Default)]
struct WidestJobs {
    /// Tasks of the widest gang; 0 if there is none.
    gang: u32,
    /// Tasks of the widest array or service; 0 if there is none.
    other: u32,
}

impl WidestJobs {
    fn of(jobs: &[&Job]) -> WidestJobs {
        let mut widest = WidestJobs::default();
        for job in jobs {
            let of_shape = if job.spec.is_gang() { &mut widest.gang } else { &mut widest.other };
            *of_shape = (*of_shape).max(job.spec.tasks);
        }
        widest
    }

    fn of_shape(self, shape: Shape) -> u32 {
        if shape == Shape::Gang {
            self.gang
        } else {
            self.other
        }
    }
}

/// Inputs that all job classes of a snapshot share.
struct ClassInputs<'a> {
    /// The index of each machine in the snapshot.
    machine_index: BTreeMap<&'a MachineId, usize>,
    widest: WidestJobs,
    now: Steady,
    wall: Wall,
}

impl Fleet {
    /// Builds the planner's input from the present state of the fleet.
    pub(super) fn planner_input(&mut self, now: Steady, wall: Wall) -> PlannerInput {
        self.drop_old_recent_jobs(now);
        self.within_fair_share = self.jobs_within_fair_share();
        let heartbeat_s = self.config.platform.settings.workers.report_s;
        let (machine_snapshots, machines) = self.machine_snapshots(now);
        let (classes, jobs) = self.job_classes(&machines, now, wall);
        let snapshot = Snapshot {
            zone_count: self.catalog.zones.len(),
            reserve: self.config.operator.reserve,
            headroom_machines: self.headroom_machines(),
            low_priority_delay_step: Micros::from_secs(LOW_PRIORITY_DELAY_STEP_INTERVALS * heartbeat_s),
            delay_step: DELAY_STEP,
            reserved_headroom: self.reserved_headroom(),
            machines: machine_snapshots,
            classes,
            teams: self.team_uses(),
        };
        PlannerInput { snapshot, machines, jobs }
    }

    /// The jobs that fit their team's fair share together with the team's unfinished jobs that were submitted
    /// earlier. A team without a fair share has no such job.
    fn jobs_within_fair_share(&self) -> BTreeSet<JobId> {
        // Borrowed tasks count towards their team's fair share in the cell that accepted their job.
        let is_own = |job: &&Job| !job.ended && job.borrowed_from.is_none();
        let mut by_age: Vec<&Job> = self.jobs.values().filter(is_own).collect();
        by_age.sort_by_key(|job| job.submitted);
        let mut used_by_team: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut fits = |job: &&Job| {
            let Some((_, team)) = self.team_settings(&job.spec.team) else { return false };
            let has_fair_share = team.cpus > 0.0 || team.gpus > 0.0;
            if !has_fair_share {
                return false;
            }
            let used = used_by_team.entry(&team.name).or_default();
            *used = used.plus(&task_resources(&job.spec), job.spec.tasks - job.done.len());
            used.cpus <= team.cpus + FAIR_SHARE_TOLERANCE && used.gpus <= team.gpus + FAIR_SHARE_TOLERANCE
        };
        by_age.into_iter().filter(|job| fits(job)).map(|job| job.id.clone()).collect()
    }

    /// The job classes for the planner, oldest job first, and the ids of their jobs in the same order.
    fn job_classes(
        &mut self,
        machines: &[MachineId],
        now: Steady,
        wall: Wall,
    ) -> (Vec<JobClass>, Vec<JobId>) {
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|job| !job.ended).collect();
        by_age.sort_by_key(|job| job.submitted);
        let machine_index = machines.iter().enumerate().map(|(index, id)| (id, index)).collect();
        let inputs = ClassInputs { machine_index, widest: WidestJobs::of(&by_age), now, wall };
        let jobs: Vec<JobId> = by_age.iter().map(|job| job.id.clone()).collect();
        let images: Vec<Option<String>> = by_age.iter().map(|job| job.spec.image.clone()).collect();
        let mut classes: Vec<JobClass> = by_age.iter().map(|job| self.job_class(job, &inputs)).collect();
        for (class, image) in classes.iter_mut().zip(images) {
            class.image = image.map(|name| self.image_index(&name));
        }
        self.wait_only_for_cached_images(&mut classes);
        (classes, jobs)
    }

    /// Clears `waits_for_image` of all classes whose image is cached on no machine.
    fn wait_only_for_cached_images(&self, classes: &mut [JobClass]) {
        if !classes.iter().any(|class| class.waits_for_image) {
            return;
        }
        let machines = self.machines.values();
        let cached: BTreeSet<u32> =
            machines.flat_map(|machine| machine.images.iter().map(|image| image.image)).collect();
        for class in classes {
            class.waits_for_image &= class.image.is_some_and(|image| cached.contains(&image));
        }
    }

    /// The planner's class of a job, without the index of its image, which the caller sets.
    fn job_class(&self, job: &Job, inputs: &ClassInputs) -> JobClass {
        let spec = &job.spec;
        let waited = inputs.wall - job.submitted;
        let adjusted = self.adjusted_run_time(spec, inputs.wall);
        let widest = inputs.widest.of_shape(spec.shape);
        JobClass {
            priority: spec.priority,
            aged_priority: aged_priority(spec, waited, inputs.widest.gang),
            team: self.team_settings(&spec.team).map_or(usize::MAX, |(index, _)| index),
            within_fair_share: self.within_fair_share.contains(&job.id),
            startable_tasks: self.startable_tasks(job, inputs.now),
            tasks: spec.tasks,
            gang: spec.is_gang(),
            need: task_resources(spec),
            machine_types: self.allowed_types(spec),
            zone: spec.zone.as_ref().map(|name| self.requested_zone(name)),
            one_zone: spec.one_zone,
            spread: spec.spread,
            spot: spec.spot,
            image: None,
            image_gb: spec.image_gb,
            waits_for_image: self.should_wait_for_image(spec, waited),
            adjusted_runtime: adjusted,
            waited,
            tasks_by_zone: self.tasks_by_zone(job),
            deadline_slack: spec.deadline_s.map(|due_s| Micros::from_secs(due_s) - waited - adjusted),
            missed_objectives: self.missed_objectives(job, waited, adjusted, widest),
            preempt_after: self.preemption_wait(spec) - waited,
            replica_machines: spec.is_service().then(|| self.machines_to_avoid(job, &inputs.machine_index)),
        }
    }

    /// The index of the zone that a job asks for. An unknown zone has the index `usize::MAX`, which no
    /// machine has.
    fn requested_zone(&self, name: &str) -> usize {
        self.catalog.zones.iter().position(|zone| zone == name).unwrap_or(usize::MAX)
    }

    /// How many of a job's tasks are running, or may be, in each zone. All counts are 0 for jobs whose tasks
    /// the planner places without regard to zones.
    fn tasks_by_zone(&self, job: &Job) -> Vec<u32> {
        let spec = &job.spec;
        if spec.one_zone || spec.spread || spec.is_service() {
            self.placements_by_zone(job)
        } else {
            vec![0; self.catalog.zones.len()]
        }
    }

    /// How many of a job's waiting tasks may start now: none during a retry delay or while a gang's attempt
    /// is outstanding. While machines that have not acknowledged this leader's fencing token may still run
    /// tasks of the job, only the tasks that no earlier leader can have started count.
    pub(super) fn startable_tasks(&self, job: &Job, now: Steady) -> u32 {
        if now < job.not_before || job.is_placed_gang() {
            return 0;
        }
        if !self.may_run_on_unacknowledged(&job.spec) {
            return job.waiting.len();
        }
        job.first_never_started().map_or(0, |first| job.waiting.count_from(first))
    }
}

/// The priority with which the planner queues a gang that has waited longer than it yields to other jobs;
/// `None` for all other jobs.
fn aged_priority(spec: &JobSpec, waited: Micros, widest_gang: u32) -> Option<Priority> {
    let has_waited_long = spec.is_gang() && waited.secs() > Fleet::max_yield_s(spec, widest_gang);
    has_waited_long.then_some(Priority::Urgent)
}
