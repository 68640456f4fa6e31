//! Making plans and carrying them out: what the plan starts on each machine, the places given to
//! gangs, and the tasks it preempts or that must save before a spot machine is taken.

use super::planner_input::PlannerInput;
use super::*;

/// A task to be evicted from its machine: preempted for other work, checkpointed before its spot
/// machine is reclaimed, or a service replica that moves.
struct Eviction {
    /// The machine the task is on.
    machine: MachineId,
    /// The task, by job, number and attempt.
    task: TaskKey,
    /// Seconds it is given to save.
    grace_s: f64,
    /// Whether the halt is sent at once, not only with the answer to the next report.
    at_once: bool,
}

impl Fleet {
    /// Plans anew if something changed, or the plan is old.
    pub fn replan(&mut self, now: Steady, wall: Wall) {
        let old = now - self.planned;
        // A plan looks at each pair of job and machine: many pairs are planned less often.
        let pairs = (self.jobs.len() * self.machines.len()) as i64;
        let gap = Micros::from_millis(20).max(Micros(pairs.min(250_000) * 2));
        if !(self.dirty && old > gap || old > Micros::from_secs(1.0)) {
            return;
        }
        self.plan_now(now, wall);
    }

    /// Plans, and returns what the plan's indices mean.
    pub(super) fn plan_now(&mut self, now: Steady, wall: Wall) -> (Snapshot, Vec<MachineId>) {
        self.dirty = false;
        self.planned = now;
        self.drop_unsent_gangs(now);
        let input = self.snapshot(now, wall);
        let mut plan = sched::plan(&input.snapshot);
        if self.is_hearing_machines(now) {
            plan.preempt.clear();
        }
        self.assign(&input, &plan, now);
        let PlannerInput { snapshot, machines, jobs } = input;
        self.stop_for(&plan, &machines, now);
        self.note_waiting_services(&snapshot, &plan);
        let reserved = plan.reservation.iter().flat_map(|r| r.machines.iter().map(|x| x.0));
        let closed = reserved.chain(plan.preempt.iter().map(|x| x.0));
        self.closed = closed.map(|m| machines[m].clone()).collect();
        self.plan = plan;
        self.planned_jobs = jobs;
        self.planned_for = Snapshot { machines: Vec::new(), ..snapshot.clone() };
        (snapshot, machines)
    }

    /// A gang keeps the places it was given, so that their workers can be told to report for it. One
    /// none of whose starts has left is planned anew when a place is lost or it takes too long; one
    /// whose starts have left is stopped then.
    pub(super) fn drop_unsent_gangs(&mut self, now: Steady) {
        let wait = Micros::from_secs(self.cfg.platform.settings.workers.gang_wait_s);
        let heartbeat_interval = self.heartbeat_interval();
        let mut broken = Vec::new();
        for j in self.jobs.values_mut() {
            let Some(g) = &j.gang else { continue };
            let lost = g.places.iter().any(|(n, m)| {
                !g.sent.contains(*n)
                    && self.machines.get(m).is_none_or(|m| {
                        m.leaving || m.expired || m.missing || m.notice.is_some() || !m.usable(now)
                    })
            });
            let stale = lost || now - g.placed > heartbeat_interval.scale(1.5);
            let over = g.stopping.is_some() || (g.sent.is_empty() && stale);
            if over && j.live.is_empty() {
                j.gang = None;
            } else if g.stopping.is_none() {
                let unsent = g.places.keys().any(|n| !g.sent.contains(*n));
                if (lost && !g.sent.is_empty()) || (unsent && g.since.is_some_and(|s| now - s > wait)) {
                    broken.push((j.id.clone(), g.attempt));
                }
            }
        }
        for (id, attempt) in broken {
            self.gang_broken(&id, attempt);
        }
    }

    /// Keeps what the plan starts on each machine.
    pub(super) fn assign(&mut self, input: &PlannerInput, plan: &Plan, now: Steady) {
        self.assigned.clear();
        let mut taken: BTreeMap<usize, u32> = BTreeMap::new();
        let mut gangs: BTreeMap<usize, Vec<MachineId>> = BTreeMap::new();
        for st in &plan.starts {
            let id = &input.machines[st.machine];
            if input.snapshot.classes[st.class].gang {
                let at = gangs.entry(st.class).or_default();
                at.extend((0..st.count).map(|_| id.clone()));
                continue;
            }
            *taken.entry(st.class).or_insert(0) += st.count;
            self.assigned.entry(id.clone()).or_default().push((input.jobs[st.class].clone(), st.count));
        }
        for (class, count) in taken {
            self.raise_mark(&input.jobs[class], count);
        }
        for (class, at) in gangs {
            let waited = input.snapshot.classes[class].waited;
            self.place_gang(&input.jobs[class], at, waited, now);
        }
        self.promise_places();
    }

    /// Has a job's mark written that allows as many of its waiting tasks to start.
    fn raise_mark(&mut self, job: &JobId, count: u32) {
        let Some(j) = self.jobs.get(job) else { return };
        let from = if self.unheard_machines > 0 && self.may_be_on_unheard(&j.spec) { j.inherited } else { 0 };
        let top = j.waiting.iter().filter(|n| *n >= from).nth(count.saturating_sub(1) as usize);
        let Some(j) = self.jobs.get_mut(job) else { return };
        if let Some(top) = top.filter(|t| *t >= j.high) {
            // A little ahead, so that starts do not wait for the write each time.
            let ahead = count.max(16);
            j.high_wanted = j.high_wanted.max(top.saturating_add(1 + ahead).min(j.spec.tasks));
        }
    }

    /// Begins an attempt of a gang on the machines given, one for each task.
    fn place_gang(&mut self, job: &JobId, at: Vec<MachineId>, waited: Micros, now: Steady) {
        let attempt = self.next_attempt();
        let Some(j) = self.jobs.get_mut(job) else { return };
        let places = j.waiting.iter().zip(at).collect();
        tracing::debug!(job = %j.id, tasks = j.spec.tasks, attempt, waited = waited.secs(), "gang placed");
        j.high_wanted = j.spec.tasks;
        j.gang = Some(GangAttempt {
            attempt,
            places,
            sent: TaskRanges::new(),
            placed: now,
            since: None,
            stopping: None,
        });
    }

    /// Collects by machine the places of gangs whose starts have not left.
    fn promise_places(&mut self) {
        self.promised.clear();
        for j in self.jobs.values() {
            let Some(g) = j.gang.as_ref().filter(|g| g.stopping.is_none()) else { continue };
            for (n, at) in g.places.iter().filter(|(n, _)| !g.sent.contains(**n)) {
                self.promised.entry(at.clone()).or_default().push((j.id.clone(), *n));
            }
        }
    }

    /// Stops what the plan preempts, what a spot notice leaves just time to save, and replicas that
    /// move.
    pub(super) fn stop_for(&mut self, plan: &Plan, machines: &[MachineId], now: Steady) {
        let mut stops = self.preempted_tasks(plan, machines);
        stops.extend(self.tasks_to_save(now));
        for (machine, task) in self.replicas_to_move(now) {
            tracing::info!(machine = %machine, job = %task.0, task = task.1, "replica moved");
            let grace_s = self.grace(&task.0);
            stops.push(Eviction { machine, task, grace_s, at_once: true });
        }
        for stop in &stops {
            self.stop_task(stop);
        }
        for stop in stops.iter().filter(|s| s.at_once) {
            if let Some(e) = self.machines.get_mut(&stop.machine).and_then(|m| m.tasks.get_mut(&stop.task)) {
                e.stop_at_once = e.live() && e.stop.is_some();
            }
        }
    }

    /// The tasks that the plan preempts.
    fn preempted_tasks(&self, plan: &Plan, machines: &[MachineId]) -> Vec<Eviction> {
        let mut stops = Vec::new();
        for &(room, held) in &plan.preempt {
            let id = &machines[room];
            let Some(m) = self.machines.get(id) else { continue };
            // The planner's `held` lists the live tasks in this very order.
            if let Some((k, _)) = m.tasks.iter().filter(|x| x.1.live()).nth(held) {
                let grace_s = self.grace(&k.0);
                stops.push(Eviction { machine: id.clone(), task: k.clone(), grace_s, at_once: true });
                tracing::info!(machine = %id, job = %k.0, task = k.1, "preempted");
            }
        }
        stops
    }

    /// Tasks that can save and have to begin with it now, before their spot machine is taken.
    fn tasks_to_save(&self, now: Steady) -> Vec<Eviction> {
        let report = self.cfg.platform.settings.workers.report_s;
        let mut stops = Vec::new();
        for m in self.machines.values() {
            let Some(notice) = m.notice else { continue };
            for (k, e) in m.tasks.iter().filter(|x| x.1.live() && x.1.stop.is_none()) {
                let grace_s = self.grace(&k.0);
                if grace_s > 0.0 && (notice - now).secs() < grace_s + 2.5 * report && e.stage.is_some() {
                    stops.push(Eviction { machine: m.id.clone(), task: k.clone(), grace_s, at_once: false });
                }
            }
        }
        stops
    }

    /// Marks a task as to be stopped, and with a gang's task its whole attempt.
    fn stop_task(&mut self, stop: &Eviction) {
        let (job, attempt) = (&stop.task.0, stop.task.2);
        if self.jobs.get(job).is_some_and(|j| j.spec.is_gang()) {
            self.stop_all(job, Some(attempt), stop.grace_s, false);
        } else if let Some(e) = self.machines.get_mut(&stop.machine).and_then(|m| m.tasks.get_mut(&stop.task))
        {
            if e.live() && e.stop.is_none() {
                e.stop = Some(stop.grace_s);
            }
        }
        if let Some(g) = self.jobs.get_mut(job).and_then(|j| j.gang.as_mut()) {
            g.stopping.get_or_insert(stop.grace_s);
        }
    }

    /// Seconds that a job's tasks are given to save when they are stopped.
    pub(super) fn grace(&self, id: &JobId) -> f64 {
        self.jobs.get(id).filter(|j| j.spec.checkpoint_s > 0.0).map_or(0.0, |j| j.spec.save_s + 0.5)
    }
}
