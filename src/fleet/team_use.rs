//! What the teams use of their quotas. All tasks that are or may be on a machine count.

use super::{task_resources, Fleet, Machine};
use crate::config::Team;
use crate::jobs::{Job, JobId};
use crate::sched::{Resources, TeamUse};

/// Counted against every team for a machine of which nothing is known, not even its type: it leaves
/// none of their quotas.
const UNKNOWN_USE: Resources = Resources { cpus: 1e9, gpus: 1e9, memory: 0.0 };

/// What counts against the teams' quotas.
pub(super) struct QuotaUse {
    /// By team: what its own tasks take.
    pub(super) by_team: Vec<Resources>,
    /// What counts against each team: tasks of unknown jobs, and whole machines with unknown tasks.
    pub(super) unknown: Resources,
}

impl Fleet {
    /// The use of all teams for a plan, with the places reserved for their gangs.
    pub(super) fn team_uses(&mut self) -> Vec<TeamUse> {
        // Counted anew with each plan, so that what has ended is seen.
        self.cached_team_use.clear();
        self.uses_with_reservations()
    }

    /// The use of all teams at this moment; empty if no team has a quota.
    pub(super) fn current_team_uses(&mut self) -> Vec<TeamUse> {
        if self.config.platform.settings.teams.iter().any(has_quota) {
            self.uses_with_reservations()
        } else {
            Vec::new()
        }
    }

    /// What a team uses, against its quota. Cached between plans: starts are added, ends only lower it,
    /// and all else that may raise it clears the cache.
    pub(super) fn team_use(&mut self, name: &str) -> TeamUse {
        let Some((index, _)) = self.team_settings(name) else { return TeamUse::default() };
        self.use_of(index)
    }

    /// Adds a started task to its team's use, if that is cached.
    pub(super) fn add_use(&mut self, team: &str, need: &Resources) {
        let Some((index, _)) = self.team_settings(team) else { return };
        if let Some(used) = self.cached_team_use.get_mut(index) {
            *used = used.plus(need, 1);
        }
    }

    fn uses_with_reservations(&mut self) -> Vec<TeamUse> {
        let count = self.config.platform.settings.teams.len();
        let mut teams: Vec<TeamUse> = (0..count).map(|index| self.use_of(index)).collect();
        // Places reserved for gangs count against their teams' quotas: lower priorities do not take them.
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

    /// What a team uses, by its index. That of a team without a quota is not counted.
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

    /// What all teams use, in one pass over all tasks: with a pass for each team, counting took a third
    /// of the leader's processor time where eight teams have quotas.
    fn count_uses(&self) -> Vec<Resources> {
        let QuotaUse { by_team, unknown } = self.count_quota_use();
        by_team.into_iter().map(|used| used.plus(&unknown, 1)).collect()
    }

    /// What counts against the quotas, apart for what may be any team's.
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

    /// Adds the live tasks of a machine to what their teams use.
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
