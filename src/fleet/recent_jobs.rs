//! Recently submitted jobs: what the cluster should be ready for, since more like them are expected.
//! The list is stored, so that a new leader does not scale in what the next such job needs.

use super::{stated_run_time, task_resources, Fleet};
use crate::records::DemandRecord;
use crate::sched::Resources;
use crate::time::{Micros, Steady, Wall};
use crate::wire::{JobSpec, MachineType, Priority};

/// How long submitted jobs stay on the list.
pub(super) const RECENT_JOBS_WINDOW: Micros = Micros(300_000_000);

/// No more jobs of a kind are expected once none has come in this many of their usual intervals. With
/// fewer, the chance gaps of a steady stream would count as its end; with more, machines idle in vain.
const MISSED_ARRIVALS: f64 = 4.0;

/// The least time, in seconds, that the rate of arrivals is taken over.
const MIN_SPAN_S: f64 = 60.0;

/// Task time counted at most, in seconds: longer tasks do not call for more ready machines.
const MAX_TASK_S: f64 = 3600.0;

/// Bytes of a stored recent job without its types' names, at most.
const RECORD_BYTES: usize = 200;

/// Bytes that a type's name takes in a record beyond its text: quotes and a comma.
const TYPE_NAME_OVERHEAD_BYTES: usize = 3;

/// The fetch rate, in GB a second, assumed at least, so that a type without one does not divide by zero.
const MIN_FETCH_GB_PER_S: f64 = 0.001;

/// A recently submitted job.
#[derive(Clone, Debug)]
pub(super) struct RecentJob {
    /// When it was submitted.
    pub(super) submitted_at: Steady,
    /// What a task takes.
    pub(super) need: Resources,
    /// Its priority.
    pub(super) priority: Priority,
    /// Indices of the machine types it may use.
    pub(super) types: Vec<usize>,
    /// Run time of all its tasks together in seconds, as stated.
    pub(super) task_seconds: f64,
    /// Its class should start sooner than a machine boots and fetches the image.
    pub(super) starts_before_boot: bool,
    /// Machines that it takes at once, beyond the first: a gang's tasks.
    pub(super) extra_machines: u32,
    /// It has a deadline.
    pub(super) has_deadline: bool,
    /// It may use spot machines.
    pub(super) spot: bool,
}

impl Fleet {
    /// Adds a submitted job to the recent ones.
    pub(super) fn record_recent_job(&mut self, spec: &JobSpec, now: Steady) {
        let types = self.allowed_types(spec);
        let ready_s = self.seconds_to_new_machine(spec, &types);
        let is_service = spec.is_service();
        // A service holds its capacity for as long as it runs; what has to be ready for the next one is
        // the capacity for the time that a new machine would take.
        let task_s = if is_service { ready_s } else { stated_run_time(spec).secs() }.min(MAX_TASK_S);
        let starts_before_boot = self.start_objective_s(spec).is_some_and(|within_s| within_s < ready_s);
        self.recent_jobs_writes.submitted += 1;
        self.recent_jobs.push(RecentJob {
            submitted_at: now,
            need: task_resources(spec),
            priority: spec.priority,
            types,
            task_seconds: task_s * f64::from(spec.tasks),
            starts_before_boot: is_service || starts_before_boot,
            extra_machines: if spec.is_gang() { spec.tasks - 1 } else { 0 },
            has_deadline: spec.deadline_s.is_some(),
            spot: spec.spot,
        });
    }

    /// Seconds until a new machine of the fastest of these types has booted and has the job's image.
    fn seconds_to_new_machine(&self, spec: &JobSpec, types: &[usize]) -> f64 {
        let known = types.iter().filter_map(|&index| self.catalog.types.get(index));
        known
            .map(|machine_type| machine_type.boot_s + fetch_s(spec, machine_type))
            .fold(f64::INFINITY, f64::min)
    }

    /// Recent jobs as they are stored: only those that capacity is kept ready for, the latest first, no
    /// more than fit into `bytes` bytes.
    pub fn recent_job_records(&self, now: Steady, wall: Wall, bytes: usize) -> Vec<DemandRecord> {
        let mut bytes_left = bytes;
        let latest_first = self.recent_jobs.iter().rev();
        latest_first
            .filter(|job| job.starts_before_boot || job.priority > Priority::Idle)
            .map(|job| self.recent_job_record(job, now, wall))
            .take_while(|record| {
                let names = record.types.iter().map(|name| name.len() + TYPE_NAME_OVERHEAD_BYTES);
                let size = RECORD_BYTES + names.sum::<usize>();
                bytes_left = bytes_left.saturating_sub(size);
                bytes_left > 0
            })
            .collect()
    }

    /// A recent job as it is stored, with the names of its types instead of their indices.
    fn recent_job_record(&self, job: &RecentJob, now: Steady, wall: Wall) -> DemandRecord {
        let type_name = |index: &usize| self.catalog.types.get(*index).map(|known| known.name.clone());
        DemandRecord {
            submitted_us: (wall - (now - job.submitted_at)).0,
            need: (job.need.cpus, job.need.gpus, job.need.memory),
            priority: job.priority,
            types: job.types.iter().filter_map(type_name).collect(),
            task_seconds: job.task_seconds,
            starts_before_boot: job.starts_before_boot,
            extra_machines: job.extra_machines,
            has_deadline: job.has_deadline,
            spot: job.spot,
        }
    }

    /// Loads the stored list of recent jobs. It has to be loaded before the jobs themselves: those that
    /// are still live would be in it twice otherwise.
    pub fn load_recent_jobs(&mut self, records: Vec<DemandRecord>, now: Steady, wall: Wall) {
        for record in records {
            let age = (wall - Wall(record.submitted_us)).max(Micros::ZERO);
            let type_index = |name: &String| self.catalog.types.iter().position(|known| known.name == *name);
            let (cpus, gpus, memory) = record.need;
            self.recent_jobs.push(RecentJob {
                submitted_at: now - age,
                need: Resources { cpus, gpus, memory },
                priority: record.priority,
                types: record.types.iter().filter_map(type_index).collect(),
                task_seconds: record.task_seconds,
                starts_before_boot: record.starts_before_boot,
                extra_machines: record.extra_machines,
                has_deadline: record.has_deadline,
                spot: record.spot,
            });
        }
        self.drop_old_recent_jobs(now);
    }

    /// Drops jobs from the list that are no longer recent.
    pub(super) fn drop_old_recent_jobs(&mut self, now: Steady) {
        self.recent_jobs.retain(|job| now - job.submitted_at < RECENT_JOBS_WINDOW);
    }

    /// Whether more jobs like some recent ones are expected: not if none has come for much longer than
    /// usual, and for at least `min_lull_s` seconds.
    pub(super) fn expects_more_jobs<'a, I>(
        &self,
        recent: impl Fn() -> I,
        min_lull_s: f64,
        now: Steady,
    ) -> bool
    where
        I: Iterator<Item = &'a RecentJob>,
    {
        let Some(last) = recent().map(|job| job.submitted_at).max() else { return false };
        let usual_interval_s = arrival_span_s(recent(), now) / recent().count() as f64;
        (now - last).secs() <= (MISSED_ARRIVALS * usual_interval_s).max(min_lull_s)
    }

    /// Seconds that the slowest type takes to boot. A machine that is removed in a shorter lull may have
    /// to be requested again.
    pub(super) fn slowest_boot_s(&self) -> f64 {
        self.catalog.types.iter().map(|machine_type| machine_type.boot_s).fold(0.0, f64::max)
    }
}

/// Seconds that a job's image takes to fetch on a machine type.
pub(super) fn fetch_s(spec: &JobSpec, machine_type: &MachineType) -> f64 {
    spec.image_gb / machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// Seconds over which recent jobs have come.
pub(super) fn arrival_span_s<'a>(recent: impl Iterator<Item = &'a RecentJob>, now: Steady) -> f64 {
    let first = recent.map(|job| job.submitted_at).min().unwrap_or(now);
    (now - first).secs().clamp(MIN_SPAN_S, RECENT_JOBS_WINDOW.secs())
}
