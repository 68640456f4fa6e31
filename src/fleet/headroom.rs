//! Capacity that is kept ready for further jobs like the recent ones: warm pools of idle machines, and
//! headroom that jobs of lower priorities leave free.

use super::recent_jobs::{arrival_span_s, RecentJob};
use super::Fleet;
use crate::capacity::WarmPool;
use crate::sched::ReservedHeadroom;
use crate::time::Steady;
use crate::wire::{MachineType, Priority};

/// Warm pools are kept for at least this many seconds after the last job that would use them. Without a
/// minimum, a chance gap of forty seconds between jobs that usually come every ten seconds would have the
/// whole pool removed.
const MIN_WARM_POOL_GAP_S: f64 = 60.0;

/// Number of processors that a GPU counts for when machine types are compared by size.
const CPUS_PER_GPU: f64 = 8.0;

impl Fleet {
    /// By machine type: how many machines stay up even when idle. The number follows the load of the recent
    /// jobs that should start sooner than a new machine boots, plus a reserve: a new machine would come too
    /// late for the next such job.
    pub(super) fn warm_pools(&self, now: Steady) -> Vec<WarmPool> {
        let recent = || self.recent_jobs.iter().filter(|job| job.starts_before_boot);
        if !self.expects_more_jobs(recent, MIN_WARM_POOL_GAP_S, now) {
            return vec![WarmPool::default(); self.catalog.types.len()];
        }
        let span_s = arrival_span_s(recent(), now);
        (0..self.catalog.types.len()).map(|type_index| self.warm_pool(type_index, span_s)).collect()
    }

    /// The warm pool of a machine type, from the recent jobs that prefer the type and that arrived during
    /// the last `span_s` seconds.
    fn warm_pool(&self, type_index: usize, span_s: f64) -> WarmPool {
        let prefers_type =
            |job: &&RecentJob| job.starts_before_boot && job.types.first() == Some(&type_index);
        let mut machine_seconds = 0.0;
        let mut has_jobs = false;
        let mut spot = false;
        for job in self.recent_jobs.iter().filter(prefers_type) {
            let tasks_per_machine = self.type_capacity(type_index).fits(&job.need).max(1);
            machine_seconds += job.task_seconds / f64::from(tasks_per_machine);
            has_jobs = true;
            spot |= job.spot;
        }
        if !has_jobs {
            return WarmPool::default();
        }
        // Square-root staffing: the mean number of machines in use plus the square root of that mean.
        let load = machine_seconds / span_s;
        WarmPool { count: (load + load.sqrt()).round().max(1.0) as usize, spot }
    }

    /// Number of machines of a large type that jobs of low priorities leave free: the operator's setting,
    /// or the number of machines that the widest recent gang that should start at once takes, whichever is
    /// greater.
    pub(super) fn headroom_machines(&self) -> usize {
        let urgent_gangs =
            self.recent_jobs.iter().filter(|job| job.starts_before_boot && job.extra_machines > 0);
        let widest = urgent_gangs.map(|job| job.extra_machines as usize + 1).max();
        widest.unwrap_or(0).max(self.config.operator.keep_clear)
    }

    /// By machine type: the headroom that jobs of lower priorities leave free, if any. The headroom is for
    /// the tasks of a recent job above the lowest priority of which one task takes a whole machine of the
    /// type and may not use a smaller type. If there are several such jobs, it is for the job of the highest
    /// priority, and among these for the one with the largest tasks.
    pub(super) fn reserved_headroom(&self) -> Vec<Option<ReservedHeadroom>> {
        (0..self.catalog.types.len()).map(|type_index| self.headroom_on_type(type_index)).collect()
    }

    /// The headroom that jobs of lower priorities leave free on machines of one type, if any.
    fn headroom_on_type(&self, type_index: usize) -> Option<ReservedHeadroom> {
        let size = |machine_type: &MachineType| machine_type.cpus + CPUS_PER_GPU * machine_type.gpus;
        let types = &self.catalog.types;
        let is_smallest =
            |job: &&RecentJob| job.types.iter().all(|&other| size(&types[other]) >= size(&types[type_index]));
        let largest = self
            .recent_jobs
            .iter()
            .filter(|job| job.priority > Priority::Idle && job.types.contains(&type_index))
            .filter(is_smallest)
            .filter(|job| self.type_capacity(type_index).fits(&job.need) == 1)
            .max_by(|a, b| a.priority.cmp(&b.priority).then(a.need.cpus.total_cmp(&b.need.cpus)))?;
        Some(ReservedHeadroom { need: largest.need, priority: largest.priority, spot: largest.spot })
    }
}
