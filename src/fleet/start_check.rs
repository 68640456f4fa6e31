//! The check that every start passes, with everything counted that is running or may be.

use super::machine::Machine;
use super::tasks::task_resources;
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::time::Steady;
use crate::wire::JobSpec;

impl Fleet {
    /// Whether a task may start on a machine now. No start is sent without this check.
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
            && self.runs_nowhere_else(job, number)
            && !self.attempts_exhausted()
            && self.machine_fits(machine, &job.spec)
            && self.zone_rules_allow(machine, job)
            && team_use.allows(&task_resources(&job.spec)) > 0
    }

    /// Whether a task cannot be running on a machine that has not acknowledged this leader's fencing
    /// token.
    fn runs_nowhere_else(&self, job: &Job, number: u32) -> bool {
        self.unacknowledged_machines == 0
            || is_never_started(job, number)
            || !self.may_run_on_unacknowledged(&job.spec)
    }

    /// Whether a machine is of an allowed type, zone and kind, and has the capacity for one more task.
    fn machine_fits(&self, machine: &Machine, spec: &JobSpec) -> bool {
        let Some(type_index) = machine.type_index else { return false };
        let free = machine.free(self.type_capacity(type_index));
        self.allowed_types(spec).contains(&type_index)
            && free.fits(&task_resources(spec)) > 0
            && self.zone_and_kind_allowed(machine, spec)
    }

    /// Whether a job may use machines of this one's zone, and spot machines if it is one.
    pub(super) fn zone_and_kind_allowed(&self, machine: &Machine, spec: &JobSpec) -> bool {
        spec.zone.as_deref().is_none_or(|zone| zone == self.zone_name(machine.zone))
            && (spec.spot || !machine.spot)
    }

    /// Whether the job's rules on zones allow one more task in the machine's zone: all tasks in one
    /// zone, or at most half of them in each.
    fn zone_rules_allow(&self, machine: &Machine, job: &Job) -> bool {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return true;
        }
        let zones = self.placements_by_zone(job);
        let here = zones.get(machine.zone).copied().unwrap_or(0);
        let is_elsewhere = zones.iter().sum::<u32>() > here;
        !(spec.one_zone && is_elsewhere || spec.spread && is_half_of_tasks(here, spec))
    }

    /// Whether a job's started tasks may be running on a machine that has not acknowledged this leader's
    /// fencing token. Only on one that the job may use: an earlier leader checked that as this one does.
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

    /// How many tasks of a job are running, or may be, in each zone.
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

/// Whether so many tasks are half of a job's, or more.
pub(super) fn is_half_of_tasks(count: u32, spec: &JobSpec) -> bool {
    count >= spec.tasks.div_ceil(2)
}

/// Whether no earlier leader can have started a task, nor another one that it is placed with.
fn is_never_started(job: &Job, number: u32) -> bool {
    job.first_never_started().is_some_and(|first| number >= first)
}

/// Whether the job itself allows a task to start: it waits, is below the written start mark, and no other
/// cell may run it.
fn is_startable(job: &Job, number: u32, now: Steady) -> bool {
    !job.ended
        && job.waiting.contains(number)
        && !job.placements.contains_key(&number)
        && !job.withheld.contains(number)
        && number < job.stored_start_mark()
        && now >= job.not_before
}
