//! The planner's input, and how its plan is carried out.

use super::replicas::STOPPED_REPLICA_COSTS;
use super::*;

/// Delays that differ by less count as alike.
pub(super) const DELAY_STEP: Micros = Micros(2_000_000);

/// Seconds after which a narrow job that missed its start yields to others no more: it must begin
/// within four minutes.
pub(super) const MAX_YIELD_S: f64 = 150.0;

/// The same for the widest job of its shape, which takes longer to find its room.
pub(super) const MAX_YIELD_OF_WIDEST_S: f64 = 90.0;

/// The planner's input, and what its indices mean.
pub(super) struct PlannerInput {
    /// What the planner reads.
    pub(super) snapshot: Snapshot,
    /// The machines of its rooms.
    pub(super) machines: Vec<MachineId>,
    /// The jobs of its classes.
    pub(super) jobs: Vec<JobId>,
}

/// A task that is to be stopped.
struct TaskStop {
    machine: MachineId,
    task: TaskKey,
    /// Seconds it is given to save.
    grace_s: f64,
    /// Whether the halt is sent at once, not only with the answer to the next report.
    at_once: bool,
}

/// Numbers of tasks of the widest unfinished jobs.
#[derive(Clone, Copy, Default)]
struct WidestJobs {
    gang: u32,
    other: u32,
}

impl WidestJobs {
    fn of(jobs: &[&Job]) -> WidestJobs {
        let mut widest = WidestJobs::default();
        for j in jobs {
            let w = if j.spec.is_gang() { &mut widest.gang } else { &mut widest.other };
            *w = (*w).max(j.spec.tasks);
        }
        widest
    }

    fn of_shape(self, shape: Shape) -> u32 {
        if shape == Shape::Gang {
            self.gang
        } else {
            self.other
        }
    }
}

impl Fleet {
    /// A for a waiting job.
    pub fn adjusted(&self, s: &JobSpec, wall: Wall) -> Micros {
        let stated = stated(s);
        if !self.cfg.operator.adjust {
            return stated;
        }
        stated.scale(self.history.factor(&Key { team: s.team.clone(), stated }, wall))
    }

    /// Until the stated end of a task; overrunning ones have a tenth of it, at least a second.
    pub(super) fn stated_left(&self, e: &Entry, s: Option<&JobSpec>, now: Steady) -> Micros {
        let stated = s.map_or(Micros::from_secs(60.0), stated);
        let fetch =
            if matches!(e.stage, None | Some(TaskStage::Fetching | TaskStage::Waiting)) { 5.0 } else { 0.0 };
        let left = stated - (now - e.running.unwrap_or(e.since)) + Micros::from_secs(fetch);
        left.max(stated.scale(0.1)).max(Micros::from_secs(1.0))
    }

    /// The jobs that fit their team's guarantee together with its earlier unfinished ones.
    pub(super) fn within_guarantee(&self) -> BTreeSet<JobId> {
        // What is borrowed counts towards its team's guarantee in the cell that accepted it.
        let own = |j: &&Job| !j.cancelled && j.borrowed_from.is_none();
        let mut by_age: Vec<&Job> = self.jobs.values().filter(own).collect();
        by_age.sort_by_key(|j| j.submitted);
        let mut sums: BTreeMap<&str, Need> = BTreeMap::new();
        let mut fits = |j: &&Job| {
            let Some((_, t)) = self.team(&j.spec.team).filter(|x| x.1.cpus > 0.0 || x.1.gpus > 0.0) else {
                return false;
            };
            let sum = sums.entry(&t.name).or_default();
            *sum = sum.plus(&need_of(&j.spec), j.spec.tasks - j.done.len());
            sum.cpus <= t.cpus + 1e-6 && sum.gpus <= t.gpus + 1e-6
        };
        by_age.into_iter().filter(|j| fits(j)).map(|j| j.id.clone()).collect()
    }

    /// The planner's input.
    pub(super) fn snapshot(&mut self, now: Steady, wall: Wall) -> PlannerInput {
        self.demands.retain(|d| now - d.at < RECENT);
        self.guaranteed = self.within_guarantee();
        let (rooms, machines) = self.rooms(now);
        let (classes, jobs) = self.classes(&machines, now, wall);
        let snapshot = Snapshot {
            zones: self.zones.len(),
            reserve: self.cfg.operator.reserve,
            clear_rooms: self.clear(),
            low_rank_delay_step: Micros::from_secs(1.5 * self.cfg.platform.settings.workers.report_s),
            delay_step: DELAY_STEP,
            keep: self.keep(),
            rooms,
            classes,
            teams: self.team_uses(),
        };
        PlannerInput { snapshot, machines, jobs }
    }

    /// Places promised to gangs whose starts have not left yet: their number and need by machine.
    fn promised_places(&self) -> BTreeMap<&MachineId, (u32, Need)> {
        let mut promised: BTreeMap<&MachineId, (u32, Need)> = BTreeMap::new();
        for j in self.jobs.values() {
            let Some(g) = &j.gang else { continue };
            for (_, at) in g.places.iter().filter(|(n, _)| !g.sent.contains(**n)) {
                let p = promised.entry(at).or_default();
                *p = (p.0 + 1, p.1.plus(&need_of(&j.spec), 1));
            }
        }
        promised
    }

    /// The machines that can be planned on, and their identities in the same order.
    fn rooms(&self, now: Steady) -> (Vec<Room>, Vec<MachineId>) {
        let promised = self.promised_places();
        let (mut rooms, mut machines) = (Vec::new(), Vec::new());
        for m in self.machines.values() {
            if m.leaving || m.expired || m.missing || !m.heard || (m.up && m.unknown_use()) {
                continue;
            }
            let (n, need) = promised.get(&m.id).copied().unwrap_or_default();
            if let Some(r) = self.room(m, now, n, need) {
                rooms.push(r);
                machines.push(m.id.clone());
            }
        }
        (rooms, machines)
    }

    /// The jobs as the planner sees them, oldest first, and their identities in the same order.
    fn classes(&mut self, machines: &[MachineId], now: Steady, wall: Wall) -> (Vec<Class>, Vec<JobId>) {
        let room_of: BTreeMap<&MachineId, usize> =
            machines.iter().enumerate().map(|(i, id)| (id, i)).collect();
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled).collect();
        by_age.sort_by_key(|j| j.submitted);
        let widest = WidestJobs::of(&by_age);
        let jobs: Vec<JobId> = by_age.iter().map(|j| j.id.clone()).collect();
        let images: Vec<Option<String>> = by_age.iter().map(|j| j.spec.image.clone()).collect();
        let mut classes: Vec<Class> =
            by_age.iter().map(|j| self.class(j, widest, &room_of, now, wall)).collect();
        for (class, name) in classes.iter_mut().zip(images) {
            class.image = name.map(|n| self.image(&n));
        }
        self.wait_only_for_cached_images(&mut classes);
        (classes, jobs)
    }

    /// No class waits for an image that no machine has.
    fn wait_only_for_cached_images(&self, classes: &mut [Class]) {
        if !classes.iter().any(|class| class.waits_for_image) {
            return;
        }
        let cached: BTreeSet<u32> =
            self.machines.values().flat_map(|m| m.images.iter().map(|image| image.0)).collect();
        for class in classes {
            class.waits_for_image &= class.image.is_some_and(|image| cached.contains(&image));
        }
    }

    /// A job as the planner sees it, but for its image.
    fn class(
        &self,
        j: &Job,
        widest: WidestJobs,
        room_of: &BTreeMap<&MachineId, usize>,
        now: Steady,
        wall: Wall,
    ) -> Class {
        let sp = &j.spec;
        let gang = sp.is_gang();
        let service = sp.is_service();
        let (waited, adjusted) = (wall - j.submitted, self.adjusted(sp, wall));
        Class {
            rank: sp.rank,
            raised: (gang && waited.secs() > Self::max_yield_s(sp, widest.gang)).then_some(Rank::Urgent),
            team: self.team(&sp.team).map_or(usize::MAX, |t| t.0),
            guaranteed: self.guaranteed.contains(&j.id),
            count: self.startable_tasks(j, now),
            tasks: sp.tasks,
            gang,
            need: need_of(sp),
            types: self.allowed_types(sp),
            zone: sp.zone.as_ref().map(|z| self.zones.iter().position(|x| x == z).unwrap_or(usize::MAX)),
            one_zone: sp.one_zone,
            spread: sp.spread,
            spot: sp.spot,
            image: None,
            image_gb: sp.image_gb,
            waits_for_image: self.should_wait_for_image(sp, waited),
            adjusted,
            waited,
            zones: if sp.one_zone || sp.spread || service {
                self.zones_of(j)
            } else {
                vec![0; self.zones.len()]
            },
            slack: sp.deadline_s.map(|due| Micros::from_secs(due) - waited - adjusted),
            missed_aims: self.missed_aims(j, waited, adjusted, widest.of_shape(sp.shape)),
            patience: self.patience(sp) - waited,
            replicas: service.then(|| self.replica_rooms(j, room_of)),
        }
    }

    /// How many of a job's tasks may start now.
    fn startable_tasks(&self, j: &Job, now: Steady) -> u32 {
        let gang = j.spec.is_gang();
        if now < j.not_before || (gang && (j.gang.is_some() || !j.live.is_empty())) {
            return 0;
        }
        if self.silent == 0 || !self.may_be_on_unheard(&j.spec) {
            return j.waiting.len();
        }
        let tied = j.spec.one_zone || j.spec.spread || gang;
        if tied && j.inherited > 0 {
            0
        } else {
            j.waiting.count_from(j.inherited)
        }
    }

    /// A machine as the planner sees it, with places promised on it.
    pub(super) fn room(&self, m: &Machine, now: Steady, promised: u32, promise: Need) -> Option<Room> {
        let ty = m.ty?;
        let t = &self.types[ty];
        let total = self.total(ty);
        let report = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        let live_tasks = m.tasks.iter().filter(|x| x.1.live());
        let free = if promised > 0 { m.free(total).less(&promise, 1) } else { m.free(total) };
        Some(Room {
            ty,
            zone: m.zone,
            spot: m.spot,
            total,
            free,
            open: m.usable(now) && now - m.report < report.scale(2.5),
            opens_in: self.opens_in(m, t, now),
            images: m.images.iter().map(|i| i.0).collect(),
            fetch_rate: t.fetch_gb_per_s,
            rate: (if m.spot { t.spot_price.unwrap_or(t.price) } else { t.price } / t.cpus.max(0.1) * 1e3)
                as i64,
            penalty: Micros::from_secs(10.0 * m.failed.len() as f64),
            until: m.notice.map(|n| n - now),
            held: live_tasks.map(|(k, e)| self.held(k, e, now)).collect(),
        })
    }

    /// A task on a machine as the planner sees it.
    fn held(&self, k: &TaskKey, e: &Entry, now: Steady) -> Held {
        let spec = self.jobs.get(&k.0).map(|j| &j.spec);
        // The fetch of its image counts as well: stopped for others as soon as it was placed, a wide job
        // would never get beyond it.
        let ran = now - e.since;
        let endless = spec.is_some_and(|s| s.is_service());
        let worth = if endless { STOPPED_REPLICA_COSTS } else { ran };
        let saves = spec.is_some_and(|s| s.checkpoint_s > 0.0);
        Held {
            need: e.need.unwrap_or_default(),
            rank: spec.map_or(Rank::Idle, |s| s.rank),
            guaranteed: self.guaranteed.contains(&k.0),
            team: spec.and_then(|s| self.team(&s.team)).map_or(usize::MAX, |t| t.0),
            left: self.stated_left(e, spec, now),
            lost_work: if saves {
                Micros::ZERO
            } else {
                worth.scale(e.need.map_or(1.0, |n| n.cpus.max(0.1)))
            },
            stoppable: e.stop.is_none() && spec.is_some_and(|s| !s.is_gang() || s.tasks == 1),
            stopping: e.stop.is_some(),
            endless,
        }
    }

    /// How long until a start can reach a machine: with its next report, or once it has booted.
    fn opens_in(&self, m: &Machine, t: &MachineType, now: Steady) -> Micros {
        if !m.up {
            let boot = Micros::from_secs(t.boot_s);
            return (boot.scale(1.1) - (m.age + (now - m.known))).max(Micros::from_secs(2.0));
        }
        let report = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        // A silent machine is not counted on until it reports again.
        let silent = now - m.report;
        if silent > report.scale(2.5) {
            report.scale(3.0)
        } else if now < m.deferred_until {
            Micros::ZERO
        } else {
            (report - silent).max(Micros::ZERO)
        }
    }

    /// After so many seconds a job yields to others no more: the sooner the wider it is.
    pub(super) fn max_yield_s(s: &JobSpec, widest: u32) -> f64 {
        let width = f64::from(s.tasks) / f64::from(widest.max(s.tasks).max(1));
        MAX_YIELD_S - (MAX_YIELD_S - MAX_YIELD_OF_WIDEST_S) * width
    }

    /// How many of its class's aims a job has lost, by its age or by the time it would end if it
    /// started now. So that nothing starves or might be taken for forgotten, a lost aim stops
    /// counting against it after a while: one for its end after five times the aim, one for its
    /// start sooner, and the sooner the wider the job is: it takes longer to find its room.
    /// An array of which tasks have begun has its start behind it: tasks that are lost with a machine
    /// would otherwise wait behind all newer jobs, and the job miss its deadline for them.
    pub(super) fn missed_aims(&self, j: &Job, waited: Micros, adjusted: Micros, widest: u32) -> u8 {
        let s = &j.spec;
        let begun = s.is_array() && (j.first_start.is_some() || j.inherited > 0);
        if s.is_service() {
            return 0;
        }
        let end = waited.secs() + 0.7 * adjusted.secs();
        let max_yield_s = Self::max_yield_s(s, widest);
        let by_end = |within: f64| end > within && waited.secs() < 5.0 * within;
        let aims = &self.cfg.platform.settings.objectives;
        let of_class = || aims.iter().filter(|o| Some(&o.class) == s.class.as_ref());
        let lost = of_class().filter(|o| match (o.kind.as_str(), s.deadline_s) {
            ("wait", _) => !begun && waited.secs() > o.within_s && waited.secs() < max_yield_s,
            ("deadline", Some(due)) => by_end(due * o.times),
            _ => false,
        });
        // Of aims for the end only the last counts: those that lost an earlier one have little time
        // left, those that did not have some to spare.
        let finished = of_class().filter(|o| o.kind == "finished").map(|o| o.within_s).reduce(f64::max);
        let own = s.deadline_s.filter(|_| !of_class().any(|o| o.kind == "deadline"));
        let by_ends = [finished, own].into_iter().flatten().filter(|within| by_end(*within));
        (lost.count() + by_ends.count()).min(200) as u8
    }

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
        let reserved = plan.reservation.iter().flat_map(|r| r.rooms.iter().map(|x| x.0));
        let closed = reserved.chain(plan.preempt.iter().map(|x| x.0));
        self.closed = closed.map(|m| machines[m].clone()).collect();
        self.plan = plan;
        self.planned_jobs = jobs;
        self.planned_for = Snapshot { rooms: Vec::new(), ..snapshot.clone() };
        (snapshot, machines)
    }

    /// A gang keeps the places it was given, so that their workers can be told to report for it. One
    /// none of whose starts has left is planned anew when a place is lost or it takes too long; one
    /// whose starts have left is stopped then.
    pub(super) fn drop_unsent_gangs(&mut self, now: Steady) {
        let wait = Micros::from_secs(self.cfg.platform.settings.workers.gang_wait_s);
        let report = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        let mut broken = Vec::new();
        for j in self.jobs.values_mut() {
            let Some(g) = &j.gang else { continue };
            let lost = g.places.iter().any(|(n, m)| {
                !g.sent.contains(*n)
                    && self.machines.get(m).is_none_or(|m| {
                        m.leaving || m.expired || m.missing || m.notice.is_some() || !m.usable(now)
                    })
            });
            let stale = lost || now - g.placed > report.scale(1.5);
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
            let id = &input.machines[st.room];
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
        let from = if self.silent > 0 && self.may_be_on_unheard(&j.spec) { j.inherited } else { 0 };
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
            sent: Ranges::new(),
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
            tracing::info!(machine = %machine, job = %task.0, task = task.1, "a replica moves");
            let grace_s = self.grace(&task.0);
            stops.push(TaskStop { machine, task, grace_s, at_once: true });
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
    fn preempted_tasks(&self, plan: &Plan, machines: &[MachineId]) -> Vec<TaskStop> {
        let mut stops = Vec::new();
        for &(room, held) in &plan.preempt {
            let id = &machines[room];
            let Some(m) = self.machines.get(id) else { continue };
            // The planner's `held` lists the live tasks in this very order.
            if let Some((k, _)) = m.tasks.iter().filter(|x| x.1.live()).nth(held) {
                let grace_s = self.grace(&k.0);
                stops.push(TaskStop { machine: id.clone(), task: k.clone(), grace_s, at_once: true });
                tracing::info!(machine = %id, job = %k.0, task = k.1, "preempted");
            }
        }
        stops
    }

    /// Tasks that can save and have to begin with it now, before their spot machine is taken.
    fn tasks_to_save(&self, now: Steady) -> Vec<TaskStop> {
        let report = self.cfg.platform.settings.workers.report_s;
        let mut stops = Vec::new();
        for m in self.machines.values() {
            let Some(notice) = m.notice else { continue };
            for (k, e) in m.tasks.iter().filter(|x| x.1.live() && x.1.stop.is_none()) {
                let grace_s = self.grace(&k.0);
                if grace_s > 0.0 && (notice - now).secs() < grace_s + 2.5 * report && e.stage.is_some() {
                    stops.push(TaskStop { machine: m.id.clone(), task: k.clone(), grace_s, at_once: false });
                }
            }
        }
        stops
    }

    /// Marks a task as to be stopped, and with a gang's task its whole attempt.
    fn stop_task(&mut self, stop: &TaskStop) {
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
