//! The resources that count against the teams' quotas: those of all tasks that are running, or may be.

use super::{task_resources, Fleet, Machine};
use crate::config::Team;
use crate::jobs::{Job, JobId};
use crate::sched::{Resources, TeamUse};

/// Resources counted against every team for a machine of unknown type whose tasks are not known. They are
/// larger than any quota, so that every team's quota is used up.
const UNKNOWN_USE: Resources = Resources { cpus: 1e9, gpus: 1e9, memory: 0.0 };

/// The resources that count against the teams' quotas.
pub(super) struct QuotaUse {
    /// The resources of each team's own tasks, by team index.
    pub(super) by_team: Vec<Resources>,
    /// The resources that count against every team: those of tasks of unknown jobs, and those of whole
    /// machines whose tasks are not known.
    pub(super) unknown: Resources,
}

impl Fleet {
    /// The quota use of all teams for a plan, by team index. It includes the places reserved for their gangs.
    pub(super) fn team_uses(&mut self) -> Vec<TeamUse> {
        // The use is counted again for each plan, so that ended tasks no longer count.
        self.cached_team_use.clear();
        self.uses_with_reservations()
    }

    /// The quota use of all teams at this moment, by team index; empty if no team has a quota.
    pub(super) fn current_team_uses(&mut self) -> Vec<TeamUse> {
        if self.config.platform.settings.teams.iter().any(has_quota) {
            self.uses_with_reservations()
        } else {
            Vec::new()
        }
    }

    /// The quota use of a team. It is cached between plans: each start adds to the cached use. Ends of tasks
    /// are not counted until the next plan, since they only lower the use. Everything else that may raise the
    /// use clears the cache.
    pub(super) fn team_use(&mut self, name: &str) -> TeamUse {
        let Some((index, _)) = self.team_settings(name) else { return TeamUse::default() };
        self.use_of(index)
    }

    /// Adds a started task to its team's quota use, if the use is cached.
    pub(super) fn add_use(&mut self, team: &str, need: &Resources) {
        let Some((index, _)) = self.team_settings(team) else { return };
        if let Some(used) = self.cached_team_use.get_mut(index) {
            *used = used.plus(need, 1);
        }
    }

    fn uses_with_reservations(&mut self) -> Vec<TeamUse> {
        let count = self.config.platform.settings.teams.len();
        let mut teams: Vec<TeamUse> = (0..count).map(|index| self.use_of(index)).collect();
        // Places reserved for gangs count against their teams' quotas, so that jobs of lower priorities do
        // not take this part of the quota.
        for job in self.jobs.values() {
            let (Some(gang), Some((index, _))) = (&job.gang, self.team_settings(&job.spec.team)) else {
                continue;
            };
            let places = gang.places.len() as u32;
            let unsent = places - gang.started.len().min(places);
            if let Some(team) = teams.get_mut(index) {
                team.used = team.used.plus(&task_resources(&job.spec), unsent);
            }
        }
        teams
    }

    /// The quota use of the team with this index. For a team without a quota, the used resources are not
    /// counted and stay 0.
    fn use_of(&mut self, index: usize) -> TeamUse {
        let team = &self.config.platform.settings.teams[index];
        let (cpus_max, gpus_max) = (team.cpus_max, team.gpus_max);
        if !has_quota(team) {
            return TeamUse { used: Resources::default(), cpu_quota: cpus_max, gpu_quota: gpus_max };
        }
        if self.cached_team_use.is_empty() {
            self.cached_team_use = self.count_uses();
        }
        TeamUse { used: self.cached_team_use[index], cpu_quota: cpus_max, gpu_quota: gpus_max }
    }

    /// Counts the resources of all teams, by team index, in one pass over all tasks. With one pass for each
    /// team, counting took a third of the leader's processor time when eight teams had quotas.
    fn count_uses(&self) -> Vec<Resources> {
        let QuotaUse { by_team, unknown } = self.count_quota_use();
        by_team.into_iter().map(|used| used.plus(&unknown, 1)).collect()
    }

    /// Counts the resources that count against the quotas, with those that may be any team's in
    /// `QuotaUse::unknown`.
    pub(super) fn count_quota_use(&self) -> QuotaUse {
        let count = self.config.platform.settings.teams.len();
        let mut by_team = vec![Resources::default(); count];
        let mut unknown = Resources::default();
        for machine in self.machines.values() {
            if !machine.acknowledged || machine.has_unknown_use() {
                unknown = unknown
                    .plus(&machine.type_index.map_or(UNKNOWN_USE, |index| self.type_capacity(index)), 1);
            } else {
                self.count_tasks(machine, &mut by_team, &mut unknown);
            }
        }
        QuotaUse { by_team, unknown }
    }

    /// Adds the resources of a machine's live tasks to those of their teams, or to `unknown` if a task's job
    /// is not known.
    pub(super) fn count_tasks(&self, machine: &Machine, by_team: &mut [Resources], unknown: &mut Resources) {
        // Tasks are ordered by job: each job is looked up once.
        let mut latest: Option<(&JobId, Option<&Job>)> = None;
        for (key, task) in machine.tasks.iter().filter(|(_, task)| task.is_live()) {
            let Some(need) = task.need else { continue };
            let job = match latest {
                Some((id, job)) if *id == key.job => job,
                _ => self.jobs.get(&key.job),
            };
            latest = Some((&key.job, job));
            let Some(job) = job else {
                *unknown = unknown.plus(&need, 1);
                continue;
            };
            if let Some((index, _)) = self.team_settings(&job.spec.team) {
                by_team[index] = by_team[index].plus(&need, 1);
            }
        }
    }
}

/// Whether a team has a quota: 0 means none.
pub(super) fn has_quota(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}
