//! Recently submitted jobs. More jobs like them are expected, so the cluster keeps capacity ready for them.
//! The list is stored in the state store, so that a new leader does not scale in machines that the next such
//! job needs.

use super::{stated_run_time, task_resources, Fleet};
use crate::records::DemandRecord;
use crate::sched::Resources;
use crate::time::{Micros, Steady, Wall};
use crate::wire::{JobSpec, MachineType, Priority};

/// How long a submitted job stays on the list.
pub(super) const RECENT_JOBS_WINDOW: Micros = Micros(300_000_000);

/// The number of usual arrival intervals without a new job after which no more jobs of a kind are expected.
/// With a lower number, random gaps in a steady stream of jobs would count as its end. With a higher one,
/// machines stay idle for longer after the last job.
const MISSED_ARRIVALS: f64 = 4.0;

/// The minimum time span, in seconds, over which the arrival rate is computed.
const MIN_SPAN_S: f64 = 60.0;

/// The run time, in seconds, up to which a task counts. Longer tasks do not need more machines kept ready.
const MAX_TASK_S: f64 = 3600.0;

/// The maximum size in bytes of a stored recent job without the names of its machine types.
const RECORD_BYTES: usize = 200;

/// Bytes that the name of a machine type takes in a record in addition to its text: two quotes and a comma.
const TYPE_NAME_OVERHEAD_BYTES: usize = 3;

/// The lowest image fetch rate, in GB per second, that is assumed. It avoids a division by zero for machine
/// types without a fetch rate.
const MIN_FETCH_GB_PER_S: f64 = 0.001;

/// A recently submitted job.
#[derive(Clone, Debug)]
pub(super) struct RecentJob {
    /// When the job was submitted.
    pub(super) submitted_at: Steady,
    /// Resources of one task.
    pub(super) need: Resources,
    /// The job's priority.
    pub(super) priority: Priority,
    /// Indices of the machine types that the job may use.
    pub(super) types: Vec<usize>,
    /// The sum of the stated run times of all tasks, in seconds. Each task counts for at most `MAX_TASK_S`,
    /// and each replica of a service for the time until a new machine is ready.
    pub(super) task_seconds: f64,
    /// Whether the job should start sooner than a new machine can boot and fetch the image. This is so for
    /// services and for classes with a start objective below that time.
    pub(super) starts_before_boot: bool,
    /// The number of machines that the job needs at the same time beyond the first: a gang's tasks less one,
    /// 0 for other jobs.
    pub(super) extra_machines: u32,
    /// Whether the job has a deadline.
    pub(super) has_deadline: bool,
    /// Whether the job may use spot machines.
    pub(super) spot: bool,
}

impl Fleet {
    /// Adds a submitted job to the list of recent jobs.
    pub(super) fn record_recent_job(&mut self, spec: &JobSpec, now: Steady) {
        let types = self.allowed_types(spec);
        let ready_s = self.seconds_to_new_machine(spec, &types);
        let is_service = spec.is_service();
        // A service occupies its capacity for as long as it runs. Capacity for the next service has to be
        // ready only for the time until a new machine is available.
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

    /// The recent jobs in their stored form, the latest first. Only jobs that capacity is kept ready for are
    /// included, and no more than fit into `bytes` bytes.
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

    /// A recent job in its stored form, with the names of its machine types instead of their indices.
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

    /// Loads the stored list of recent jobs. The list has to be loaded before the jobs themselves. Otherwise
    /// jobs that are still live would be listed twice.
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

    /// Removes jobs from the list that were submitted longer than `RECENT_JOBS_WINDOW` ago.
    pub(super) fn drop_old_recent_jobs(&mut self, now: Steady) {
        self.recent_jobs.retain(|job| now - job.submitted_at < RECENT_JOBS_WINDOW);
    }

    /// Whether more jobs like the given recent ones are expected. None are expected if no such job has been
    /// submitted for much longer than the usual interval and for more than `min_gap_s` seconds.
    pub(super) fn expects_more_jobs<'a, I>(&self, recent: impl Fn() -> I, min_gap_s: f64, now: Steady) -> bool
    where
        I: Iterator<Item = &'a RecentJob>,
    {
        let Some(last) = recent().map(|job| job.submitted_at).max() else { return false };
        let usual_interval_s = arrival_span_s(recent(), now) / recent().count() as f64;
        (now - last).secs() <= (MISSED_ARRIVALS * usual_interval_s).max(min_gap_s)
    }

    /// Seconds that the slowest machine type takes to boot. If machines were removed after a shorter pause in
    /// submissions, they might have to be requested again.
    pub(super) fn slowest_boot_s(&self) -> f64 {
        self.catalog.types.iter().map(|machine_type| machine_type.boot_s).fold(0.0, f64::max)
    }
}

/// Seconds to fetch a job's image on a machine of this type.
pub(super) fn fetch_s(spec: &JobSpec, machine_type: &MachineType) -> f64 {
    spec.image_gb / machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// The time span in seconds over which the recent jobs were submitted, from the first of them until now.
pub(super) fn arrival_span_s<'a>(recent: impl Iterator<Item = &'a RecentJob>, now: Steady) -> f64 {
    let first = recent.map(|job| job.submitted_at).min().unwrap_or(now);
    (now - first).secs().clamp(MIN_SPAN_S, RECENT_JOBS_WINDOW.secs())
}
