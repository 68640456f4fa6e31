//! The check that every start of a task must pass. It counts all tasks that are running or may be running.

use super::machine::Machine;
use super::tasks::task_resources;
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::time::Steady;
use crate::wire::JobSpec;

impl Fleet {
    /// Whether a task may start on a machine now. Every start is checked here just before it is sent.
    pub(super) fn may_start(&mut self, id: &JobId, number: u32, machine: &MachineId, now: Steady) -> bool {
        let Some(team) = self.jobs.get(id).map(|job| job.spec.team.clone()) else { return false };
        let team_use = self.team_use(&team);
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(machine)) else {
            return false;
        };
        is_startable(job, number, now)
            && !self.is_blocked_by_unreadable_record(id)
            && (is_never_started(job, number) || !self.may_have_unknown_machines(now))
            && machine.is_usable(now)
            && !machine.has_unknown_use()
            && self.cannot_run_on_unacknowledged(job, number)
            && !self.attempts_exhausted()
            && self.machine_fits(machine, &job.spec)
            && self.zone_rules_allow(machine, job)
            && team_use.allowed_tasks(&task_resources(&job.spec)) > 0
    }

    /// Whether it is certain that a task is not running on a machine that has not acknowledged this leader's
    /// fencing token.
    fn cannot_run_on_unacknowledged(&self, job: &Job, number: u32) -> bool {
        self.unacknowledged_machines == 0
            || is_never_started(job, number)
            || !self.may_run_on_unacknowledged(&job.spec)
    }

    /// Whether a machine is of a type, zone and kind (spot or on-demand) that the job allows, and has enough
    /// free capacity for one more of its tasks.
    fn machine_fits(&self, machine: &Machine, spec: &JobSpec) -> bool {
        let Some(type_index) = machine.type_index else { return false };
        let free = machine.free(self.type_capacity(type_index));
        self.allowed_types(spec).contains(&type_index)
            && free.fits(&task_resources(spec)) > 0
            && self.zone_and_kind_allowed(machine, spec)
    }

    /// Whether the job allows the machine's zone and, if the machine is a spot instance, spot instances.
    pub(super) fn zone_and_kind_allowed(&self, machine: &Machine, spec: &JobSpec) -> bool {
        spec.zone.as_deref().is_none_or(|zone| zone == self.zone_name(machine.zone))
            && (spec.spot || !machine.spot)
    }

    /// Whether the job's zone rules allow one more task in the machine's zone. With `one_zone` all tasks must
    /// be in the same zone; with `spread` at most half of them, rounded up, may be in any one zone.
    fn zone_rules_allow(&self, machine: &Machine, job: &Job) -> bool {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return true;
        }
        let zones = self.placements_by_zone(job);
        let here = zones.get(machine.zone).copied().unwrap_or(0);
        let is_elsewhere = zones.iter().sum::<u32>() > here;
        !(spec.one_zone && is_elsewhere || spec.spread && is_at_least_half_of_tasks(here, spec))
    }

    /// Whether tasks of a job that an earlier leader started may be running on a machine that has not
    /// acknowledged this leader's fencing token. Only machines that the job allows count, since earlier
    /// leaders made the same check before a start.
    pub(super) fn may_run_on_unacknowledged(&self, spec: &JobSpec) -> bool {
        if self.unacknowledged_machines == 0 {
            return false;
        }
        let types = self.allowed_types(spec);
        self.machines.values().any(|machine| {
            !machine.acknowledged
                && machine.type_index.is_none_or(|index| types.contains(&index))
                && self.zone_and_kind_allowed(machine, spec)
        })
    }

    /// By zone index: how many tasks of a job are running, or may be running, in the zone.
    pub(super) fn placements_by_zone(&self, job: &Job) -> Vec<u32> {
        let mut counts = vec![0; self.catalog.zones.len()];
        for id in job.placements.values().flatten() {
            if let Some(machine) = self.machines.get(id) {
                counts[machine.zone] += 1;
            }
        }
        counts
    }
}

/// Whether `count` tasks are at least half of the job's tasks, rounded up.
pub(super) fn is_at_least_half_of_tasks(count: u32, spec: &JobSpec) -> bool {
    count >= spec.tasks.div_ceil(2)
}

/// Whether no earlier leader can have started the task, nor any other task of the job whose place matters for
/// it (in a gang or with zone rules).
fn is_never_started(job: &Job, number: u32) -> bool {
    job.first_never_started().is_some_and(|first| number >= first)
}

/// Whether the job itself allows a task to start: the job has not ended and is not backed off after a
/// failure, and the task is waiting, is below the stored start mark, and is not withheld because another
/// cell may run it.
fn is_startable(job: &Job, number: u32, now: Steady) -> bool {
    !job.ended
        && job.waiting.contains(number)
        && !job.placements.contains_key(&number)
        && !job.withheld.contains(number)
        && number < job.stored_start_mark()
        && now >= job.not_before
}
