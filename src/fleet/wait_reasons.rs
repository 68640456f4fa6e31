//! The reasons for which waiting tasks do not start, by job and by team, for the status and the log.
//! Scheduling decisions do not depend on them.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::team_use::{has_quota, QuotaUse};
use super::{task_resources, Fleet, Machine};
use crate::config::Team;
use crate::jobs::{Job, JobId};
use crate::sched::Resources;
use crate::time::{Steady, Wall};

/// The reason for which tasks of a job wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// A stored record of the job cannot be read.
    UnreadableRecord,
    /// The job failed, and its next attempt is not due yet.
    Backoff,
    /// Tasks of the gang's latest attempt, or starts of its next one, are outstanding.
    GangAttempt,
    /// The tasks may be running on machines that have not acknowledged this leader's fencing token.
    UnacknowledgedMachines,
    /// The latest plan starts the tasks, with the next heartbeats of their machines.
    Starting,
    /// A machine has free capacity, but the plan reserves it for other jobs.
    ReservedCapacity,
    /// No usable machine that the job may use has free capacity.
    NoCapacity,
    /// The team's quota is used up or reserved for a gang of the team.
    Quota,
    /// The job was added after the latest plan.
    NextPlan,
}

/// The number of a job's waiting tasks for each reason.
pub type WaitReasons = BTreeMap<WaitReason, u32>;

/// A team's quota and the resources that count against it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuotaView {
    /// The name of the team.
    pub team: String,
    /// The quota in processors; 0 for none.
    pub cpus_max: f64,
    /// The quota in GPUs; 0 for none.
    pub gpus_max: f64,
    /// All processors that count against the quota.
    pub cpus: f64,
    /// All GPUs that count against the quota.
    pub gpus: f64,
    /// Processors of the team's tasks on machines that have sent no recent heartbeat or are being scaled in.
    pub silent_cpus: f64,
    /// Processors of tasks of unknown jobs and of machines whose tasks are not known. They count against
    /// every team.
    pub unknown_cpus: f64,
}

/// A usable machine with the capacity that is free beside the tasks that the latest plan starts on it.
struct FreeMachine<'a> {
    machine: &'a Machine,
    type_index: usize,
    free: Resources,
}

/// The facts from the latest plan and from the machines that the wait reasons are derived from.
struct PlanView<'a> {
    /// The number of tasks that the plan starts, by job.
    starting: BTreeMap<&'a JobId, u32>,
    /// The jobs that the plan was made for.
    planned: BTreeSet<&'a JobId>,
    /// The number of tasks in `Plan::unplaced`, by job.
    unplaced: BTreeMap<&'a JobId, u32>,
    /// The machines with free capacity.
    free_machines: Vec<FreeMachine<'a>>,
}

/// Waiting tasks of a team for one reason, summed up for the log. `longest_s` is the longest time, in
/// seconds, since one of their jobs was accepted.
#[derive(Default)]
struct WaitingTasks {
    jobs: u32,
    tasks: u32,
    longest_s: f64,
}

impl Fleet {
    /// The wait reasons of each live job that has waiting tasks.
    pub fn wait_reasons(&self, now: Steady) -> BTreeMap<JobId, WaitReasons> {
        let plan = self.plan_view(now);
        let waiting = self.jobs.values().filter(|job| !job.ended && !job.waiting.is_empty());
        waiting.map(|job| (job.id.clone(), self.wait_reasons_of(job, &plan, now))).collect()
    }

    /// The quotas and their use, for all teams that have a quota.
    pub fn quota_views(&self, now: Steady) -> Vec<QuotaView> {
        let teams = &self.config.platform.settings.teams;
        if !teams.iter().any(has_quota) {
            return Vec::new();
        }
        let QuotaUse { by_team, unknown } = self.count_quota_use();
        let silent = self.silent_use_by_team(now);
        let limited = teams.iter().zip(by_team).zip(silent).filter(|((team, _), _)| has_quota(team));
        let view = |((team, own), silent): ((&Team, Resources), Resources)| QuotaView {
            team: team.name.clone(),
            cpus_max: team.cpus_max,
            gpus_max: team.gpus_max,
            cpus: own.cpus + unknown.cpus,
            gpus: own.gpus + unknown.gpus,
            silent_cpus: silent.cpus,
            unknown_cpus: unknown.cpus,
        };
        limited.map(view).collect()
    }

    /// Logs how many tasks of each team wait for each reason, and the use of the quotas.
    pub(super) fn log_wait_reasons(&self, now: Steady, wall: Wall) {
        let mut by_team: BTreeMap<(&str, WaitReason), WaitingTasks> = BTreeMap::new();
        for (id, reasons) in self.wait_reasons(now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let waited_s = (wall - job.submitted).secs();
            for (reason, tasks) in reasons {
                tracing::debug!(job = %id, ?reason, tasks, waited_s, "job waits");
                let waiting = by_team.entry((&job.spec.team, reason)).or_default();
                waiting.jobs += 1;
                waiting.tasks += tasks;
                waiting.longest_s = waiting.longest_s.max(waited_s);
            }
        }
        for ((team, reason), WaitingTasks { jobs, tasks, longest_s }) in by_team {
            tracing::info!(team, ?reason, jobs, tasks, longest_s, "waiting tasks");
        }
        for quota in self.quota_views(now) {
            let QuotaView { team, cpus_max, cpus, silent_cpus, unknown_cpus, gpus_max, gpus } = quota;
            tracing::info!(team, cpus_max, cpus, silent_cpus, unknown_cpus, gpus_max, gpus, "quota");
        }
    }

    /// Collects the facts that the wait reasons are derived from.
    fn plan_view(&self, now: Steady) -> PlanView<'_> {
        let mut starting: BTreeMap<&JobId, u32> = BTreeMap::new();
        for assigned in self.assigned_starts.values().flatten() {
            *starting.entry(&assigned.job).or_default() += assigned.count;
        }
        let unplaced = self.plan.unplaced.iter();
        let unplaced = unplaced.filter_map(|(class, tasks)| Some((self.planned_jobs.get(*class)?, *tasks)));
        let usable = self.machines.values().filter(|machine| machine.is_usable(now));
        PlanView {
            starting,
            planned: self.planned_jobs.iter().collect(),
            unplaced: unplaced.collect(),
            free_machines: usable.filter_map(|machine| self.free_machine(machine)).collect(),
        }
    }

    /// A machine with its free capacity; `None` if it has no free processors or its use is not known.
    fn free_machine<'a>(&self, machine: &'a Machine) -> Option<FreeMachine<'a>> {
        let type_index = machine.type_index?;
        let free = self
            .planned_needs(machine)
            .fold(machine.free(self.type_capacity(type_index)), |free, (need, count)| {
                free.minus(&need, count)
            });
        let has_capacity = free.cpus > 0.0 && !machine.has_unknown_use();
        has_capacity.then_some(FreeMachine { machine, type_index, free })
    }

    /// The resources of the tasks that the latest plan starts on a machine: those of one task, and the number
    /// of such tasks.
    fn planned_needs<'a>(&'a self, machine: &Machine) -> impl Iterator<Item = (Resources, u32)> + 'a {
        let assigned = self.assigned_starts.get(&machine.id).into_iter().flatten();
        let assigned = assigned.map(|starts| (&starts.job, starts.count));
        let places = self.reserved_gang_places.get(&machine.id).into_iter().flatten();
        let planned = assigned.chain(places.map(|place| (&place.job, 1)));
        planned.filter_map(|(id, count)| Some((task_resources(&self.jobs.get(id)?.spec), count)))
    }

    /// The wait reasons of a job with waiting tasks.
    fn wait_reasons_of(&self, job: &Job, plan: &PlanView<'_>, now: Steady) -> WaitReasons {
        let waiting = job.waiting.len();
        if let Some(reason) = self.reason_of_whole_job(job, now) {
            return WaitReasons::from([(reason, waiting)]);
        }
        let startable = self.startable_tasks(job, now).min(waiting);
        let starting = plan.starting.get(&job.id).copied().unwrap_or(0).min(startable);
        let unplaced = plan.unplaced.get(&job.id).copied().unwrap_or(0).min(startable - starting);
        let without_capacity = if self.has_capacity_for(job, plan) {
            WaitReason::ReservedCapacity
        } else {
            WaitReason::NoCapacity
        };
        let beyond_quota =
            if plan.planned.contains(&job.id) { WaitReason::Quota } else { WaitReason::NextPlan };
        let counts = [
            (WaitReason::UnacknowledgedMachines, waiting - startable),
            (WaitReason::Starting, starting),
            (without_capacity, unplaced),
            (beyond_quota, startable - starting - unplaced),
        ];
        counts.into_iter().filter(|(_, tasks)| *tasks > 0).collect()
    }

    /// The reason for which no task of a job may start, independently of the plan; `None` if there is no such
    /// reason.
    fn reason_of_whole_job(&self, job: &Job, now: Steady) -> Option<WaitReason> {
        if self.is_blocked_by_unreadable_record(&job.id) {
            return Some(WaitReason::UnreadableRecord);
        }
        if now < job.not_before {
            return Some(WaitReason::Backoff);
        }
        job.is_placed_gang().then_some(WaitReason::GangAttempt)
    }

    /// Whether a usable machine has free capacity for a task of the job, reserved for other jobs or not.
    fn has_capacity_for(&self, job: &Job, plan: &PlanView<'_>) -> bool {
        let need = task_resources(&job.spec);
        let types = self.allowed_types(&job.spec);
        plan.free_machines.iter().any(|free| {
            free.free.fits(&need) > 0
                && types.contains(&free.type_index)
                && self.zone_and_kind_allowed(free.machine, &job.spec)
        })
    }

    /// The resources of each team's tasks on machines that are silent or being scaled in, by team index.
    fn silent_use_by_team(&self, now: Steady) -> Vec<Resources> {
        let mut by_team = vec![Resources::default(); self.config.platform.settings.teams.len()];
        let mut ignored = Resources::default();
        let is_silent = |machine: &&Machine| machine.scaling_in || self.is_silent(machine, now);
        let known = |machine: &&Machine| machine.acknowledged && !machine.has_unknown_use();
        for machine in self.machines.values().filter(known).filter(is_silent) {
            self.count_tasks(machine, &mut by_team, &mut ignored);
        }
        by_team
    }
}
