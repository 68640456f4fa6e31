//! Starts: the one check that each of them passes, and what it counts.

use super::*;

/// Bits of an attempt number that count; the others are the owner's token.
const ATTEMPT_BITS: u32 = 24;

/// The highest count of an attempt number.
const MAX_ATTEMPTS: u64 = (1 << ATTEMPT_BITS) - 1;

/// Attempt numbers that are left for what one plan places, gangs included, before no more is started.
const ATTEMPTS_RESERVED: u64 = 1 << 18;

/// Most orders in an answer to a worker. A line of an answer may take 64 KiB, and an order up to a hundred
/// bytes; what is beyond leaves with the next answers.
pub(super) const MAX_ORDERS: usize = 500;

impl Fleet {
    /// Whether starts wait for a mark to be written.
    pub fn starts_wait(&self) -> bool {
        self.jobs.values().any(|j| j.high_wanted > j.high && !j.cancelled)
    }

    /// Whether the mark that lets a task start is written.
    pub(super) fn marked(&self, id: &JobId, n: u32) -> bool {
        self.jobs.get(id).is_some_and(|j| j.high > n)
    }

    /// Starts what is assigned to the machine that is being answered, and what else of the waiting
    /// array tasks finds room there before the next plan.
    pub(super) fn start_on(&mut self, id: &MachineId, now: Steady, out: &mut Vec<WorkerCommand>) {
        for (job, n) in self.promised.remove(id).unwrap_or_default() {
            let unsent =
                self.jobs.get(&job).and_then(|j| j.gang.as_ref()).is_some_and(|g| {
                    g.stopping.is_none() && g.places.get(&n) == Some(id) && !g.sent.contains(n)
                });
            if unsent && !self.start_one(&job, n, id, now, out) {
                // Not yet: its mark or the machine's record is being written.
                self.promised.entry(id.clone()).or_default().push((job, n));
            }
        }
        let is_service = |j: &JobId| self.jobs.get(j).is_some_and(|j| j.spec.is_service());
        let (replicas, others): (Vec<_>, Vec<_>) =
            self.assigned.remove(id).unwrap_or_default().into_iter().partition(|a| is_service(&a.0));
        for (job, count) in replicas {
            let started = self.start_some(&job, count, id, now, out);
            let waits = self.jobs.get(&job).is_some_and(|j| !j.waiting.is_empty());
            if started < count && waits {
                // Its mark is being written, or what it replaces has not ended yet.
                self.assigned.entry(id.clone()).or_default().push((job, count - started));
            }
        }
        self.start_replicas(id, now, out);
        for (job, count) in others {
            self.start_some(&job, count, id, now, out);
        }
        let Some(room) = self.top_up_room(id, now) else { return };
        let team_uses = self.current_team_uses();
        let classes = &self.planned_for.classes;
        let waits = |unmet: &(usize, u32)| unmet.1 > 0 && classes[unmet.0].gang;
        let gang_waits = self.plan.unmet.iter().any(|u| waits(u) && sched::allowed(&classes[u.0], &room));
        let top_up = IncrementalBackfill {
            snapshot: &self.planned_for,
            contended_types: &self.plan.contended_types,
            claimed_limits: &self.plan.claimed_limits,
            team_uses,
            room: &room,
            gang_waits,
        };
        for (class, count) in top_up.starts(&mut self.plan.unmet) {
            if let Some(job) = self.planned_jobs.get(class).cloned() {
                self.start_some(&job, count, id, now, out);
            }
        }
    }

    /// The machine as the planner sees it, if more may start on it before the next plan.
    pub(super) fn top_up_room(&self, id: &MachineId, now: Steady) -> Option<MachineSnapshot> {
        if self.plan.unmet.is_empty() || self.closed.contains(id) || self.promised.contains_key(id) {
            return None;
        }
        let m = self.machines.get(id).filter(|m| m.usable(now) && !m.missing && !m.unknown_use())?;
        if m.tasks.values().any(|e| e.live() && e.stop.is_some()) {
            return None;
        }
        self.room(m, now, 0, Resources::default()).filter(|r| r.free.cpus > 0.0)
    }

    /// Starts up to so many waiting tasks of a job on the machine that is being answered; returns how
    /// many.
    pub(super) fn start_some(
        &mut self,
        job: &JobId,
        count: u32,
        id: &MachineId,
        now: Steady,
        out: &mut Vec<WorkerCommand>,
    ) -> u32 {
        let Some(j) = self.jobs.get(job).filter(|j| !j.cancelled) else { return 0 };
        let from = if self.may_be_on_unheard(&j.spec) { j.inherited } else { 0 };
        let next: Vec<u32> = j.waiting.iter().filter(|n| *n >= from).take(count as usize).collect();
        if let Some(j) = self.jobs.get_mut(job) {
            if let Some(top) = next.last().filter(|t| **t >= j.high) {
                let ahead = count.max(16);
                j.high_wanted = j.high_wanted.max(top.saturating_add(1 + ahead).min(j.spec.tasks));
            }
        }
        let mut started = 0;
        for n in next {
            if !self.start_one(job, n, id, now, out) {
                break;
            }
            started += 1;
        }
        started
    }

    pub(super) fn start_one(
        &mut self,
        job: &JobId,
        n: u32,
        id: &MachineId,
        now: Steady,
        out: &mut Vec<WorkerCommand>,
    ) -> bool {
        if out.len() >= MAX_ORDERS || !self.may_start(job, n, id, now) {
            return false;
        }
        let fresh_attempt = self.next_attempt();
        let Some(j) = self.jobs.get_mut(job) else { return false };
        let attempt = match j.gang.as_mut() {
            Some(g) => {
                g.sent.insert(n);
                g.since.get_or_insert(now);
                if g.sent.len() as usize == g.places.len() {
                    tracing::debug!(job = %job, "all gang starts sent");
                }
                g.attempt
            }
            None => fresh_attempt,
        };
        if j.borrowed_from.is_some() {
            j.begun.insert(n);
        }
        let need = need_of(&j.spec);
        if j.first_start.is_none() {
            j.first_start = Some(now);
            tracing::debug!(job = %job, machine = %id, "first task start");
        }
        let team = j.spec.team.clone();
        self.add_use(&team, &need);
        if let Some(m) = self.machines.get_mut(id) {
            m.tasks.insert((job.clone(), n, attempt), TaskEntry::new(Some(need), now));
            m.sent.push((job.clone(), n, attempt));
            m.idle = now;
        }
        self.refresh(job, n, id);
        tracing::debug!(machine = %id, job = %job, task = n, "task start sent");
        out.push(WorkerCommand::Start { task: task_name(job, n), attempt });
        true
    }

    /// Attempt numbers come from the fencing token and the attempt counter: never reused, without a write.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempt_counter += 1;
        (self.fencing_token << ATTEMPT_BITS) | (self.attempt_counter & MAX_ATTEMPTS)
    }

    /// Whether this owner has hardly an attempt number left. It starts nothing more: under a higher
    /// token there are as many again. Four thousand machines that each start a task a second get here
    /// within little more than an hour.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempt_counter + ATTEMPTS_RESERVED > MAX_ATTEMPTS
    }

    /// As if so many attempt numbers had been used: for tests.
    pub fn use_attempts(&mut self, count: u64) {
        self.attempt_counter += count;
    }

    /// The one place where a start is checked, with everything that is possibly there counted.
    pub(super) fn may_start(&mut self, job: &JobId, n: u32, id: &MachineId, now: Steady) -> bool {
        let Some(team) = self.jobs.get(job).map(|j| j.spec.team.clone()) else { return false };
        let limit = self.team_use(&team);
        let (Some(j), Some(m)) = (self.jobs.get(job), self.machines.get(id)) else { return false };
        let Some(ty) = m.ty else { return false };
        let s = &j.spec;
        if j.cancelled
            || !m.usable(now)
            || m.unknown_use()
            || !j.waiting.contains(n)
            || j.live.contains_key(&n)
        {
            return false;
        }
        // Lent to another cell, or not held here: another cell may run it.
        if j.withheld.contains(n) {
            return false;
        }
        if n >= j.high || now < j.not_before {
            return false;
        }
        if self.unheard_machines > 0 && !self.startable_blind(j, n) && self.may_be_on_unheard(&j.spec) {
            return false;
        }
        if self.attempts_exhausted() {
            return false;
        }
        let total = self.total(ty);
        if !self.allowed_types(s).contains(&ty) || m.free(total).fits(&need_of(s)) == 0 {
            return false;
        }
        if s.zone.as_deref().is_some_and(|z| z != self.zone_name(m.zone)) || (m.spot && !s.spot) {
            return false;
        }
        let zones = if s.one_zone || s.spread { self.zones_of(j) } else { Vec::new() };
        let here = zones.get(m.zone).copied().unwrap_or(0);
        if s.one_zone && zones.iter().sum::<u32>() > here {
            return false;
        }
        if s.spread && here >= s.tasks.div_ceil(2) {
            return false;
        }
        limit.allows(&need_of(s)) > 0
    }

    /// While some machine is not heard, only what cannot be on it may start.
    pub(super) fn startable_blind(&self, j: &Job, n: u32) -> bool {
        let tied = j.spec.one_zone || j.spec.spread || j.spec.is_gang();
        if tied {
            j.inherited == 0
        } else {
            n >= j.inherited
        }
    }

    /// Whether a job's started tasks may be on a machine that is not heard. Only on one that the
    /// job may use: an old owner checked that as this one does.
    pub(super) fn may_be_on_unheard(&self, s: &JobSpec) -> bool {
        if self.unheard_machines == 0 {
            return false;
        }
        let types = self.allowed_types(s);
        self.machines.values().any(|m| {
            !m.heard
                && m.ty.is_none_or(|t| types.contains(&t))
                && (s.spot || !m.spot)
                && s.zone.as_deref().is_none_or(|z| z == self.zone_name(m.zone))
        })
    }

    pub(super) fn zones_of(&self, j: &Job) -> Vec<u32> {
        let mut v = vec![0; self.zones.len()];
        for at in j.live.values() {
            for id in at {
                if let Some(m) = self.machines.get(id) {
                    v[m.zone] += 1;
                }
            }
        }
        v
    }
}
