//! What the teams use of their limits. All that may be somewhere counts.

use super::*;

impl Fleet {
    /// The use of all teams for a plan, with the places promised to their gangs.
    pub(super) fn team_uses(&mut self) -> Vec<TeamUse> {
        // Counted anew with each plan, so that what has ended is seen.
        self.uses.clear();
        self.uses_with_promises()
    }

    /// The use of all teams at this moment; none if no team is limited.
    pub(super) fn current_team_uses(&mut self) -> Vec<TeamUse> {
        if self.cfg.platform.settings.teams.iter().any(is_limited) {
            self.uses_with_promises()
        } else {
            Vec::new()
        }
    }

    /// What a team uses, against its limit. Kept between plans: starts are added, ends only lower it,
    /// and all else that may raise it empties it.
    pub(super) fn team_use(&mut self, name: &str) -> TeamUse {
        let Some((at, _)) = self.team(name) else { return TeamUse::default() };
        self.use_of(at)
    }

    /// Adds a started task to its team's use, if that is counted at present.
    pub(super) fn add_use(&mut self, team: &str, need: &Resources) {
        let Some((at, _)) = self.team(team) else { return };
        if let Some(used) = self.uses.get_mut(at) {
            *used = used.plus(need, 1);
        }
    }

    fn uses_with_promises(&mut self) -> Vec<TeamUse> {
        let count = self.cfg.platform.settings.teams.len();
        let mut teams: Vec<TeamUse> = (0..count).map(|at| self.use_of(at)).collect();
        // Places promised to gangs count against their teams' limits: nothing lower takes them.
        for j in self.jobs.values() {
            let (Some(g), Some((at, _))) = (&j.gang, self.team(&j.spec.team)) else { continue };
            let unsent = g.places.len() as u32 - g.sent.len().min(g.places.len() as u32);
            if let Some(t) = teams.get_mut(at) {
                t.used = t.used.plus(&need_of(&j.spec), unsent);
            }
        }
        teams
    }

    /// What a team uses, by its index. That of a team without limits is not counted.
    fn use_of(&mut self, at: usize) -> TeamUse {
        let team = &self.cfg.platform.settings.teams[at];
        let (cpus_max, gpus_max) = (team.cpus_max, team.gpus_max);
        if !is_limited(team) {
            return TeamUse { used: Resources::default(), cpu_quota: cpus_max, gpu_quota: gpus_max };
        }
        if self.uses.is_empty() {
            self.uses = self.count_uses();
        }
        TeamUse { used: self.uses[at], cpu_quota: cpus_max, gpu_quota: gpus_max }
    }

    /// What all teams use, in one pass over all tasks: with a pass for each team, counting took a third
    /// of the owner's processor time where eight teams are limited.
    fn count_uses(&self) -> Vec<Resources> {
        let count = self.cfg.platform.settings.teams.len();
        let mut uses = vec![Resources::default(); count];
        let mut of_all = Resources::default();
        for m in self.machines.values() {
            if !m.heard || m.unknown_use() {
                // Nothing is known of what is there: it may all be any team's.
                let unknown = Resources { cpus: 1e9, gpus: 1e9, memory: 0.0 };
                of_all = of_all.plus(&m.ty.map_or(unknown, |t| self.total(t)), 1);
                continue;
            }
            // The tasks of a job stand together.
            let mut job: Option<(&JobId, Option<&Job>)> = None;
            for (key, entry) in m.tasks.iter().filter(|x| x.1.live()) {
                let Some(need) = entry.need else { continue };
                let known = match job {
                    Some((id, known)) if *id == key.0 => known,
                    _ => self.jobs.get(&key.0),
                };
                job = Some((&key.0, known));
                match known {
                    None => of_all = of_all.plus(&need, 1),
                    Some(j) => {
                        if let Some((at, _)) = self.team(&j.spec.team) {
                            uses[at] = uses[at].plus(&need, 1);
                        }
                    }
                }
            }
        }
        uses.into_iter().map(|used| used.plus(&of_all, 1)).collect()
    }
}

fn is_limited(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}
