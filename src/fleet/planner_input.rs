//! The planner's input: the machines and jobs of the owner's world as `sched::plan` sees them.
//!
//! `Fleet::snapshot` builds a [`Snapshot`] with one `MachineSnapshot` per machine that can be planned on and
//! one `JobClass` per job that is not cancelled; [`PlannerInput`] keeps which machine and job each index
//! of the snapshot stands for, so that the plan can be carried out (see `planning`).

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
    /// The run time expected of a waiting job's tasks: the stated one, scaled by its team's history of
    /// actual to stated run times when the operator setting `adjust` is on.
    pub fn adjusted(&self, s: &JobSpec, wall: Wall) -> Micros {
        let stated = stated(s);
        if !self.cfg.operator.adjust {
            return stated;
        }
        stated.scale(self.history.factor(&EstimateKey { team: s.team.clone(), stated }, wall))
    }

    /// Until the stated end of a task; overrunning ones have a tenth of it, at least a second.
    pub(super) fn stated_left(&self, e: &TaskEntry, s: Option<&JobSpec>, now: Steady) -> Micros {
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
        let mut sums: BTreeMap<&str, Resources> = BTreeMap::new();
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
            zone_count: self.zones.len(),
            reserve: self.cfg.operator.reserve,
            headroom_machines: self.clear(),
            low_priority_delay_step: Micros::from_secs(1.5 * self.cfg.platform.settings.workers.report_s),
            delay_step: DELAY_STEP,
            reserved_headroom: self.keep(),
            machines: rooms,
            classes,
            teams: self.team_uses(),
        };
        PlannerInput { snapshot, machines, jobs }
    }

    /// Places promised to gangs whose starts have not left yet: their number and need by machine.
    fn promised_places(&self) -> BTreeMap<&MachineId, (u32, Resources)> {
        let mut promised: BTreeMap<&MachineId, (u32, Resources)> = BTreeMap::new();
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
    fn rooms(&self, now: Steady) -> (Vec<MachineSnapshot>, Vec<MachineId>) {
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
    fn classes(&mut self, machines: &[MachineId], now: Steady, wall: Wall) -> (Vec<JobClass>, Vec<JobId>) {
        let room_of: BTreeMap<&MachineId, usize> =
            machines.iter().enumerate().map(|(i, id)| (id, i)).collect();
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled).collect();
        by_age.sort_by_key(|j| j.submitted);
        let widest = WidestJobs::of(&by_age);
        let jobs: Vec<JobId> = by_age.iter().map(|j| j.id.clone()).collect();
        let images: Vec<Option<String>> = by_age.iter().map(|j| j.spec.image.clone()).collect();
        let mut classes: Vec<JobClass> =
            by_age.iter().map(|j| self.class(j, widest, &room_of, now, wall)).collect();
        for (class, name) in classes.iter_mut().zip(images) {
            class.image = name.map(|n| self.image(&n));
        }
        self.wait_only_for_cached_images(&mut classes);
        (classes, jobs)
    }

    /// No class waits for an image that no machine has.
    fn wait_only_for_cached_images(&self, classes: &mut [JobClass]) {
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
    ) -> JobClass {
        let sp = &j.spec;
        let gang = sp.is_gang();
        let service = sp.is_service();
        let (waited, adjusted) = (wall - j.submitted, self.adjusted(sp, wall));
        JobClass {
            priority: sp.priority,
            aged_priority: (gang && waited.secs() > Self::max_yield_s(sp, widest.gang))
                .then_some(Priority::Urgent),
            team: self.team(&sp.team).map_or(usize::MAX, |t| t.0),
            within_fair_share: self.guaranteed.contains(&j.id),
            startable_tasks: self.startable_tasks(j, now),
            tasks: sp.tasks,
            gang,
            need: need_of(sp),
            machine_types: self.allowed_types(sp),
            zone: sp.zone.as_ref().map(|z| self.zones.iter().position(|x| x == z).unwrap_or(usize::MAX)),
            one_zone: sp.one_zone,
            spread: sp.spread,
            spot: sp.spot,
            image: None,
            image_gb: sp.image_gb,
            waits_for_image: self.should_wait_for_image(sp, waited),
            adjusted_runtime: adjusted,
            waited,
            tasks_by_zone: if sp.one_zone || sp.spread || service {
                self.zones_of(j)
            } else {
                vec![0; self.zones.len()]
            },
            deadline_slack: sp.deadline_s.map(|due| Micros::from_secs(due) - waited - adjusted),
            missed_objectives: self.missed_aims(j, waited, adjusted, widest.of_shape(sp.shape)),
            preempt_after: self.patience(sp) - waited,
            replica_machines: service.then(|| self.replica_rooms(j, room_of)),
        }
    }

    /// How many of a job's tasks may start now.
    fn startable_tasks(&self, j: &Job, now: Steady) -> u32 {
        let gang = j.spec.is_gang();
        if now < j.not_before || (gang && (j.gang.is_some() || !j.live.is_empty())) {
            return 0;
        }
        if self.unheard_machines == 0 || !self.may_be_on_unheard(&j.spec) {
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
    pub(super) fn room(
        &self,
        m: &Machine,
        now: Steady,
        promised: u32,
        promise: Resources,
    ) -> Option<MachineSnapshot> {
        let ty = m.ty?;
        let t = &self.types[ty];
        let total = self.total(ty);
        let heartbeat_interval = self.heartbeat_interval();
        let live_tasks = m.tasks.iter().filter(|x| x.1.live());
        let free = if promised > 0 { m.free(total).minus(&promise, 1) } else { m.free(total) };
        Some(MachineSnapshot {
            machine_type: ty,
            zone: m.zone,
            spot: m.spot,
            total,
            free,
            accepts_starts: m.usable(now) && now - m.report < heartbeat_interval.scale(2.5),
            accepts_starts_in: self.opens_in(m, t, now),
            images: m.images.iter().map(|i| i.0).collect(),
            fetch_gb_per_s: t.fetch_gb_per_s,
            cpu_price: (if m.spot { t.spot_price.unwrap_or(t.price) } else { t.price } / t.cpus.max(0.1)
                * 1e3) as i64,
            failure_penalty: Micros::from_secs(10.0 * m.failed.len() as f64),
            reclaimed_in: m.notice.map(|n| n - now),
            placed: live_tasks.map(|(k, e)| self.held(k, e, now)).collect(),
        })
    }

    /// A task on a machine as the planner sees it.
    fn held(&self, k: &TaskKey, e: &TaskEntry, now: Steady) -> PlacedTask {
        let spec = self.jobs.get(&k.0).map(|j| &j.spec);
        // The fetch of its image counts as well: stopped for others as soon as it was placed, a wide job
        // would never get beyond it.
        let ran = now - e.since;
        let endless = spec.is_some_and(|s| s.is_service());
        let worth = if endless { STOPPED_REPLICA_COSTS } else { ran };
        let saves = spec.is_some_and(|s| s.checkpoint_s > 0.0);
        PlacedTask {
            need: e.need.unwrap_or_default(),
            priority: spec.map_or(Priority::Idle, |s| s.priority),
            within_fair_share: self.guaranteed.contains(&k.0),
            team: spec.and_then(|s| self.team(&s.team)).map_or(usize::MAX, |t| t.0),
            remaining: self.stated_left(e, spec, now),
            lost_work: if saves {
                Micros::ZERO
            } else {
                worth.scale(e.need.map_or(1.0, |n| n.cpus.max(0.1)))
            },
            preemptible: e.stop.is_none() && spec.is_some_and(|s| !s.is_gang() || s.tasks == 1),
            stopping: e.stop.is_some(),
            is_replica: endless,
        }
    }

    /// How long until a start can reach a machine: with its next report, or once it has booted.
    fn opens_in(&self, m: &Machine, t: &MachineType, now: Steady) -> Micros {
        if !m.up {
            let boot = Micros::from_secs(t.boot_s);
            return (boot.scale(1.1) - (m.age + (now - m.known))).max(Micros::from_secs(2.0));
        }
        let heartbeat_interval = self.heartbeat_interval();
        // A silent machine is not counted on until it reports again.
        let silent = now - m.report;
        if silent > heartbeat_interval.scale(2.5) {
            heartbeat_interval.scale(3.0)
        } else if now < m.deferred_until {
            Micros::ZERO
        } else {
            (heartbeat_interval - silent).max(Micros::ZERO)
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
}
