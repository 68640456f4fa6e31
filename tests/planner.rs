//! The planner against a slow plain model, task by task, on random cases.

mod common;

use common::planner::{class as job, need, secs};
use milletlock::sched::{
    plan, IncrementalBackfill, JobClass, MachineSnapshot, PlacedTask, Plan, ReservedHeadroom, Resources,
    Snapshot, Start, TeamUse,
};
use milletlock::time::Micros;
use milletlock::wire::Priority;
use proptest::prelude::*;

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Idle),
        Just(Priority::Normal),
        Just(Priority::Urgent),
        Just(Priority::Critical)
    ]
}

prop_compose! {
    fn machine()(cpu_price in 0i64..3, machine_type in 0usize..2, zone in 0usize..2, spot in any::<bool>(), accepts_starts in prop::bool::weighted(0.85),
              opens_s in 0i64..30, has in any::<bool>(), reclaimed_in in prop::option::weighted(0.1, 1i64..60),
              held in prop::collection::vec((1u32..3, priority(), 1i64..90, any::<bool>()), 0..4)) -> MachineSnapshot {
        let total = need(if machine_type == 0 { 4.0 } else { 16.0 });
        let held: Vec<PlacedTask> = held.into_iter().map(|(cpus, priority, left, stoppable)| PlacedTask {
            need: need(f64::from(cpus)), priority, within_fair_share: false, team: usize::from(!stoppable), remaining: secs(left), lost_work: secs(left), preemptible: stoppable, stopping: false, is_replica: false,
        }).scan(0.0, |sum, h| { *sum += h.need.cpus; Some((*sum, h)) }).filter(|x| x.0 <= total.cpus).map(|x| x.1).collect();
        let free = held.iter().fold(total, |f, h| f.minus(&h.need, 1));
        MachineSnapshot { machine_type, zone, spot, total, free, cpu_price, accepts_starts, accepts_starts_in: secs(if accepts_starts { opens_s % 4 } else { opens_s }),
               images: if has { vec![1] } else { vec![] }, fetch_gb_per_s: 0.5, failure_penalty: Micros::ZERO,
               reclaimed_in: reclaimed_in.map(secs), placed: held }
    }
}

prop_compose! {
    fn class(widest: u32)(missed_aims in 0u8..3, priority in priority(), team in 0usize..2, count in 1..widest, gang in any::<bool>(), cpus in 1u32..5,
               types in prop_oneof![Just(vec![0]), Just(vec![1]), Just(vec![0, 1])],
               zone in prop::option::weighted(0.2, 0usize..2), tie in 0u8..3, spot in any::<bool>(),
               adjusted in 1i64..100, waited in 0i64..200, live in 0u32..2) -> JobClass {
        JobClass { priority, aged_priority: (missed_aims == 2 && gang).then_some(Priority::Urgent), team, within_fair_share: false, startable_tasks: count, tasks: count + live, gang, need: need(f64::from(cpus)), machine_types: types, zone,
                one_zone: tie == 1, spread: tie == 2, spot, image: Some(1), image_gb: 2.0, waits_for_image: false, adjusted_runtime: secs(adjusted),
                waited: secs(waited), tasks_by_zone: vec![live, 0], preempt_after: secs(1000), deadline_slack: None, missed_objectives: missed_aims, replica_machines: None }
    }
}

prop_compose! {
    fn snapshot(most: usize, widest: u32)(machines in prop::collection::vec(machine(), 0..most),
                  classes in prop::collection::vec(class(widest), 0..7), limit in 0..widest + 4, keep in any::<(bool, bool)>(), reserve in any::<bool>()) -> Snapshot {
        let held = machines.iter().flat_map(|r| &r.placed).filter(|h| h.team == 0);
        let used = held.fold(Resources::default(), |n, h| n.plus(&h.need, 1));
        // Somewhat over what runs, so that the quota is met now and then.
        let cpus_max = if limit == 0 { 0.0 } else { used.cpus + f64::from(limit) };
        Snapshot { zone_count: 2, machines, classes, reserve, low_priority_delay_step: secs(4), delay_step: secs(2), headroom_machines: 1,
                   teams: vec![TeamUse { used, cpu_quota: cpus_max, gpu_quota: 0.0 }, TeamUse::default()],
                   reserved_headroom: vec![None, keep.0.then(|| ReservedHeadroom { need: need(15.0), priority: Priority::Urgent, spot: keep.1 })] }
    }
}

/// Class, time, and the machines with the number of tasks on each.
type ReservedPlaces = (usize, Micros, Vec<(usize, u32)>);

/// The model keeps single tasks and asks each question anew from all that was placed.
struct Model<'a> {
    s: &'a Snapshot,
    placed: Vec<(usize, usize)>,
    reserved: Option<ReservedPlaces>,
    quota_reservations: Vec<(usize, f64, Micros)>,
    /// Teams of which a gang is held back by the quota.
    gang_awaits_quota: Vec<usize>,
    contended: [bool; 2],
}

impl Model<'_> {
    fn delay(&self, c: &JobClass, r: &MachineSnapshot) -> Micros {
        let fetch = if r.images.contains(&1) { 0.0 } else { c.image_gb / r.fetch_gb_per_s };
        r.accepts_starts_in + Micros::from_secs(fetch) + r.failure_penalty
    }

    fn low(&self, class: usize, m: usize) -> bool {
        let r = &self.s.machines[m];
        self.s.reserved_headroom[r.machine_type]
            .is_some_and(|k| self.s.classes[class].priority < k.priority && (k.spot || !r.spot))
    }

    fn free(&self, m: usize) -> f64 {
        let used: f64 = self.placed.iter().filter(|p| p.1 == m).map(|p| self.s.classes[p.0].need.cpus).sum();
        self.s.machines[m].free.cpus - used
    }

    fn clear(&self, m: usize) -> bool {
        let machine_type = self.s.machines[m].machine_type;
        let could = |r: &MachineSnapshot| {
            r.machine_type == machine_type
                && r.reclaimed_in.is_none()
                && self.s.reserved_headroom[machine_type]
                    .is_some_and(|k| r.free.fits(&k.need) > 0 && (k.spot || !r.spot))
        };
        could(&self.s.machines[m])
            && self.s.machines.iter().take(m).filter(|r| could(r)).count() < self.s.headroom_machines
    }

    /// What a reservation leaves on the machine at its time.
    fn shadow(&self, m: usize) -> Option<f64> {
        let (class, at, machines) = self.reserved.as_ref()?;
        let n = machines.iter().find(|r| r.0 == m)?.1;
        let r = &self.s.machines[m];
        let back: f64 = r.placed.iter().filter(|h| h.remaining <= *at).map(|h| h.need.cpus).sum();
        // What was placed before the reservation counts as there; afterwards by its end.
        let before: f64 = self.placed_before(m);
        let after: f64 = self
            .placed_after(m)
            .filter(|c| self.delay(&self.s.classes[*c], r) + self.s.classes[*c].adjusted_runtime > *at)
            .map(|c| self.s.classes[c].need.cpus)
            .sum();
        Some(r.free.cpus + back - before - after - f64::from(n) * self.s.classes[*class].need.cpus)
    }

    fn placed_before(&self, m: usize) -> f64 {
        let head = self.reserved.as_ref().map(|r| r.0);
        let order = milletlock::sched::order(&self.s.classes);
        let pos = |c: usize| order.iter().position(|&o| o == c);
        self.placed
            .iter()
            .filter(|p| p.1 == m && head.is_some_and(|h| pos(p.0) <= pos(h)))
            .map(|p| self.s.classes[p.0].need.cpus)
            .sum()
    }

    fn placed_after(&self, m: usize) -> impl Iterator<Item = usize> + '_ {
        let head = self.reserved.as_ref().map(|r| r.0);
        let order = milletlock::sched::order(&self.s.classes);
        let pos = move |c: usize| order.iter().position(|&o| o == c);
        self.placed.iter().filter(move |p| p.1 == m && head.is_some_and(|h| pos(p.0) > pos(h))).map(|p| p.0)
    }

    fn fits_one(&self, class: usize, m: usize) -> bool {
        let (c, r) = (&self.s.classes[class], &self.s.machines[m]);
        let placed = || self.placed.iter().filter(|p| p.0 == class);
        let ends = self.delay(c, r) + c.adjusted_runtime;
        let place = r.accepts_starts
            && c.machine_types.contains(&r.machine_type)
            && c.zone.is_none_or(|z| z == r.zone)
            && (c.spot || !r.spot);
        let fits = self.free(m) + 1e-6 >= c.need.cpus;
        let notice = r.reclaimed_in.is_none_or(|u| ends <= u);
        let contended = self.low(class, m) && self.contended[r.machine_type];
        let kept = !self.low(class, m) || !self.clear(m) || {
            let k = self.s.reserved_headroom[r.machine_type].expect("kept").need.cpus;
            let low: f64 =
                r.placed.iter().filter(|h| h.priority < Priority::Urgent).map(|h| h.need.cpus).sum();
            let new: f64 = self
                .placed
                .iter()
                .filter(|p| p.1 == m && self.low(p.0, m))
                .map(|p| self.s.classes[p.0].need.cpus)
                .sum();
            r.total.cpus - k - low - new + 1e-6 >= c.need.cpus
        };
        let back = match (&self.reserved, self.shadow(m)) {
            (Some((_, at, _)), Some(left)) => ends <= *at || left + 1e-6 >= c.need.cpus,
            _ => true,
        };
        let zone = |z: usize| {
            c.tasks_by_zone[z] + placed().filter(|p| self.s.machines[p.1].zone == z).count() as u32
        };
        let tied = !c.one_zone || zone(1 - r.zone) == 0;
        let spread = !c.spread || zone(r.zone) < c.tasks.div_ceil(2);
        place && fits && notice && !contended && kept && back && tied && spread
    }

    fn quota_left(&self, class: usize) -> u32 {
        let c = &self.s.classes[class];
        let used: f64 = self
            .placed
            .iter()
            .filter(|p| self.s.classes[p.0].team == c.team)
            .map(|p| self.s.classes[p.0].need.cpus)
            .sum();
        let ends = c.adjusted_runtime + self.s.low_priority_delay_step;
        let claimed = self.quota_reservations.iter().filter(|x| x.0 == c.team && ends > x.2).map(|x| x.1);
        let used = used + self.s.teams[c.team].used.cpus + claimed.sum::<f64>();
        let max = self.s.teams[c.team].cpu_quota;
        if max <= 0.0 {
            u32::MAX
        } else {
            ((max - used + 1e-6) / c.need.cpus).floor().max(0.0) as u32
        }
    }

    /// Whether the gang would start if its team had no quota.
    fn finds_capacity(&self, class: usize) -> bool {
        let mut m = Model {
            s: self.s,
            placed: self.placed.clone(),
            reserved: self.reserved.clone(),
            quota_reservations: Vec::new(),
            gang_awaits_quota: Vec::new(),
            contended: self.contended,
        };
        m.place(class, self.s.classes[class].startable_tasks) == 0
    }

    /// The first stated end after which the quota lets the whole gang start.
    fn quota_allows_at(&self, class: usize) -> Micros {
        let c = &self.s.classes[class];
        let mut ends: Vec<(Micros, f64)> = Vec::new();
        for h in self.s.machines.iter().flat_map(|r| &r.placed).filter(|h| h.team == c.team) {
            ends.push((h.remaining, h.need.cpus));
        }
        for &(other, m) in self.placed.iter().filter(|p| self.s.classes[p.0].team == c.team) {
            let o = &self.s.classes[other];
            ends.push((self.delay(o, &self.s.machines[m]) + o.adjusted_runtime, o.need.cpus));
        }
        let total: f64 = ends.iter().map(|e| e.1).sum::<f64>() + self.outside(c.team);
        let max = self.s.teams[c.team].cpu_quota;
        let freed = |at: Micros| ends.iter().filter(|e| e.0 <= at).map(|e| e.1).sum::<f64>();
        let enough =
            |at: Micros| max - total + freed(at) + 1e-6 >= f64::from(c.startable_tasks) * c.need.cpus;
        ends.iter().map(|e| e.0).filter(|at| enough(*at)).min().unwrap_or(secs(86_400))
    }

    /// What the team uses beside the tasks that are held.
    fn outside(&self, team: usize) -> f64 {
        let held = self.s.machines.iter().flat_map(|r| &r.placed).filter(|h| h.team == team);
        self.s.teams[team].used.cpus - held.map(|h| h.need.cpus).sum::<f64>()
    }

    fn best_first(&self, class: usize) -> Vec<usize> {
        let c = &self.s.classes[class];
        let mut v: Vec<usize> = (0..self.s.machines.len())
            .filter(|&m| {
                // The zone's ties are looked at task by task.
                let free = JobClass { one_zone: false, spread: false, ..c.clone() };
                let mut s = self.s.clone();
                s.classes[class] = free;
                Model {
                    s: &s,
                    placed: self.placed.clone(),
                    reserved: self.reserved.clone(),
                    quota_reservations: Vec::new(),
                    gang_awaits_quota: Vec::new(),
                    contended: self.contended,
                }
                .fits_one(class, m)
            })
            .collect();
        v.sort_by_key(|&m| {
            let step =
                if c.priority == Priority::Idle { self.s.low_priority_delay_step } else { self.s.delay_step };
            let d = self.delay(c, &self.s.machines[m]).0 / step.0;
            (
                self.low(class, m),
                d,
                self.s.machines[m].cpu_price,
                (self.s.machines[m].total.cpus * 10.0) as i64,
                (self.free(m) * 10.0) as i64,
                m,
            )
        });
        v
    }

    /// Places tasks of a class, a gang's all or none; returns how many found no capacity.
    fn place(&mut self, class: usize, want: u32) -> u32 {
        let c = &self.s.classes[class];
        let zones: Vec<Option<usize>> =
            if c.gang && c.one_zone { vec![Some(0), Some(1)] } else { vec![None] };
        let machines = self.best_first(class);
        let mut left = want;
        for only in zones {
            let before = self.placed.len();
            left = want;
            for &m in machines.iter().filter(|&&m| only.is_none_or(|z| z == self.s.machines[m].zone)) {
                while left > 0 && self.fits_one(class, m) {
                    self.placed.push((class, m));
                    left -= 1;
                }
            }
            if c.gang && left > 0 {
                self.placed.truncate(before);
                left = want;
            } else {
                break;
            }
        }
        left
    }

    fn run(&mut self) {
        for class in milletlock::sched::order(&self.s.classes) {
            let c = &self.s.classes[class];
            let limited = self.quota_left(class) < c.startable_tasks;
            if c.gang && limited && self.gang_awaits_quota.contains(&c.team) {
                continue;
            }
            if c.gang && limited {
                self.gang_awaits_quota.push(c.team);
            }
            // Held back by the quota alone: its team's lower jobs leave it what it needs, unless they end
            // before the quota comes free.
            if c.gang && limited && self.finds_capacity(class) {
                let at = self.quota_allows_at(class);
                self.quota_reservations.push((c.team, f64::from(c.startable_tasks) * c.need.cpus, at));
                if self.reserved.is_none() && self.s.reserve {
                    self.reserved = plan_reservation(self.s, class, &self.placed);
                }
                continue;
            }
            let want = c.startable_tasks.min(self.quota_left(class));
            let mut left = if c.gang { c.startable_tasks } else { want };
            if want == left {
                left = self.place(class, want);
            }
            if left > 0
                && self.s.reserved_headroom[1].is_some_and(|k| c.priority >= k.priority)
                && c.machine_types.contains(&1)
            {
                self.contended[1] = true;
            }
            if left > 0 && self.reserved.is_none() && self.s.reserve {
                self.reserved = plan_reservation(self.s, class, &self.placed);
            }
        }
    }
}

/// The reservation as the planner says it; that it is right is tested by itself below.
fn plan_reservation(s: &Snapshot, _class: usize, _placed: &[(usize, usize)]) -> Option<ReservedPlaces> {
    plan(s).reservation.map(|r| (r.class, r.at, r.machines))
}

fn by_machine(starts: &[Start]) -> Vec<(usize, usize, u32)> {
    let mut v: Vec<_> = starts.iter().map(|s| (s.class, s.machine, s.count)).collect();
    v.sort_unstable();
    v
}

fn model_starts(s: &Snapshot) -> Vec<(usize, usize, u32)> {
    let mut m = Model {
        s,
        placed: Vec::new(),
        reserved: None,
        quota_reservations: Vec::new(),
        gang_awaits_quota: Vec::new(),
        contended: [false; 2],
    };
    m.run();
    let mut v: Vec<(usize, usize, u32)> = Vec::new();
    for (c, r) in m.placed {
        match v.iter_mut().find(|x| x.0 == c && x.1 == r) {
            Some(x) => x.2 += 1,
            None => v.push((c, r, 1)),
        }
    }
    v.sort_unstable();
    v
}

/// Free processors of a machine at a time, with what the plan starts before a class in the queue.
fn free_at(s: &Snapshot, p: &Plan, m: usize, at: Micros, before: usize) -> f64 {
    let order = milletlock::sched::order(&s.classes);
    let pos = |c: usize| order.iter().position(|&o| o == c);
    let r = &s.machines[m];
    if !r.accepts_starts && r.accepts_starts_in > at {
        return 0.0;
    }
    let back: f64 = r.placed.iter().filter(|h| h.remaining <= at).map(|h| h.need.cpus).sum();
    let new: f64 = p
        .starts
        .iter()
        .filter(|x| x.machine == m && pos(x.class) <= pos(before))
        .map(|x| f64::from(x.count) * s.classes[x.class].need.cpus)
        .sum();
    r.free.cpus + back - new
}

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings(150))]

    #[test]
    fn large_classes_on_many_machines_are_placed_as_the_plain_model_does_task_by_task(s in snapshot(30, 300)) {
        prop_assert_eq!(by_machine(&plan(&s).starts), model_starts(&s));
    }
}

proptest! {
    #![proptest_config(settings(1500))]

    #[test]
    fn starts_are_those_of_the_plain_model(s in snapshot(7, 9)) {
        prop_assert_eq!(by_machine(&plan(&s).starts), model_starts(&s));
    }

    #[test]
    fn the_reservation_is_the_earliest_and_is_not_delayed(s in snapshot(7, 9)) {
        let p = plan(&s);
        let Some(r) = &p.reservation else { return Ok(()) };
        let c = &s.classes[r.class];
        for &(m, n) in &r.machines {
            let need = f64::from(n) * c.need.cpus;
            prop_assert!(free_at(&s, &p, m, r.at, r.class) + 1e-6 >= need, "there is no capacity at its time");
            // With all that was started behind it and still runs then.
            let machine = &s.machines[m];
            let order = milletlock::sched::order(&s.classes);
            let pos = |c: usize| order.iter().position(|&o| o == c);
            let late: f64 = p.starts.iter().filter(|x| x.machine == m && pos(x.class) > pos(r.class)).filter(|x| {
                let c = &s.classes[x.class];
                let fetch = if machine.images.contains(&1) { 0.0 } else { c.image_gb / machine.fetch_gb_per_s };
                machine.accepts_starts_in + Micros::from_secs(fetch) + c.adjusted_runtime > r.at
            }).map(|x| f64::from(x.count) * s.classes[x.class].need.cpus).sum();
            prop_assert!(free_at(&s, &p, m, r.at, r.class) - late + 1e-6 >= need, "backfill delays the reservation");
        }
        if !c.gang && !c.one_zone && !c.spread {
            // No machine has capacity for a task at any earlier end.
            for m in (0..s.machines.len()).filter(|&m| {
                let x = &s.machines[m];
                c.machine_types.contains(&x.machine_type) && c.zone.is_none_or(|z| z == x.zone) && (c.spot || !x.spot) && x.reclaimed_in.is_none()
            }) {
                let ends = s.machines[m].placed.iter().map(|h| h.remaining).chain((!s.machines[m].accepts_starts).then_some(s.machines[m].accepts_starts_in));
                for at in ends.filter(|e| *e < r.at) {
                    prop_assert!(free_at(&s, &p, m, at, r.class) + 1e-6 < c.need.cpus, "capacity at {:?} already", at);
                }
            }
        }
    }
}

#[test]
fn the_queue_goes_by_rank_then_by_the_cubed_ratio_times_size() {
    let base = common::planner::class(2, 10, 20);
    // (20/10)^3 x 2 = 16; (30/10)^3 x 1 = 27; (20/10)^3 x 4 = 32; urgent whatever its score.
    let b = JobClass { waited: secs(30), startable_tasks: 1, ..base.clone() };
    let c = JobClass { startable_tasks: 4, ..base.clone() };
    let d = JobClass { priority: Priority::Urgent, waited: secs(1), ..base.clone() };
    let e = JobClass { within_fair_share: true, priority: Priority::Idle, waited: secs(1), ..base.clone() };
    // Whoever missed more objectives yields, however long it waited.
    let f = JobClass { missed_objectives: 1, waited: secs(900), ..base.clone() };
    let g = JobClass { missed_objectives: 2, waited: secs(9000), ..base.clone() };
    assert_eq!(milletlock::sched::order(&[g, f, base.clone(), b, c, d.clone(), e]), [6, 5, 4, 3, 2, 1, 0]);
    // One that waited for long counts as urgent, never behind its own priority and not above the urgent.
    let h = JobClass { aged_priority: Some(Priority::Urgent), ..base.clone() };
    let i = JobClass {
        aged_priority: Some(Priority::Urgent),
        priority: Priority::Critical,
        waited: secs(1),
        ..base.clone()
    };
    assert_eq!(milletlock::sched::order(&[base, d, h, i]), [3, 2, 1, 0]);
}

/// What starts between two plans on an empty machine of four processors that has image 7.
fn backfill(
    classes: Vec<JobClass>,
    team_uses: Vec<TeamUse>,
    claimed: bool,
    gang_waits: bool,
) -> Vec<(usize, u32)> {
    let machine = MachineSnapshot {
        machine_type: 0,
        zone: 0,
        spot: false,
        total: need(4.0),
        free: need(4.0),
        accepts_starts: true,
        accepts_starts_in: Micros::ZERO,
        images: vec![7],
        fetch_gb_per_s: 1.0,
        cpu_price: 1,
        failure_penalty: Micros::ZERO,
        reclaimed_in: None,
        placed: vec![],
    };
    let s = Snapshot { zone_count: 1, classes, ..Snapshot::default() };
    let mut unmet: Vec<(usize, u32)> =
        milletlock::sched::order(&s.classes).into_iter().map(|c| (c, s.classes[c].startable_tasks)).collect();
    IncrementalBackfill {
        snapshot: &s,
        contended_types: &[false],
        gang_awaits_quota: &[claimed],
        team_uses,
        machine: &machine,
        gang_waits,
    }
    .starts(&mut unmet)
}

#[test]
fn between_plans_a_machine_takes_first_what_it_has_the_image_for() {
    let with = |image: u32, waited: i64| JobClass { image: Some(image), image_gb: 5.0, ..job(3, 30, waited) };
    let top = |classes: Vec<JobClass>| backfill(classes, Vec::new(), false, true);
    // The older one has to fetch: it gets what is left.
    assert_eq!(top(vec![with(1, 20), with(7, 10)]), [(1, 3), (0, 1)]);
    // Not for ever, and never past a higher priority or one that is not late.
    assert_eq!(top(vec![with(1, 70), with(7, 10)]), [(0, 3), (1, 1)]);
    assert_eq!(
        top(vec![JobClass { priority: Priority::Urgent, ..with(1, 20) }, with(7, 10)]),
        [(0, 3), (1, 1)]
    );
    assert_eq!(top(vec![with(1, 20), JobClass { missed_objectives: 1, ..with(7, 90) }]), [(0, 3), (1, 1)]);
}

/// With a quota for every team, what was left to the next plan was all work: each processor that came free
/// waited for the next report, two seconds or more of tasks that take fifteen.
#[test]
fn between_plans_teams_start_as_much_as_their_quota_allows() {
    let two = || vec![JobClass { team: 1, ..job(3, 30, 20) }, JobClass { team: 0, ..job(3, 30, 10) }];
    let uses = |used: f64| {
        let limited = |used: f64| TeamUse { used: need(used), cpu_quota: 10.0, gpu_quota: 0.0 };
        vec![limited(0.0), limited(used)]
    };
    assert_eq!(backfill(two(), uses(0.0), false, false), [(0, 3), (1, 1)]);
    // What the quota lets start of the one leaves capacity for the other.
    assert_eq!(backfill(two(), uses(8.0), false, false), [(0, 2), (1, 2)]);
    assert_eq!(backfill(two(), uses(10.0), false, false), [(1, 3)]);
    // A gang of the second one's team waits for what comes free of its quota.
    assert_eq!(backfill(two(), uses(0.0), true, false), [(0, 3)]);
    // A gang waits for capacity: it is left to the next plan.
    assert_eq!(backfill(two(), uses(0.0), false, true), []);
    // Classes of one team share its quota.
    let one_team = || vec![JobClass { team: 1, ..job(3, 30, 20) }, JobClass { team: 1, ..job(3, 30, 10) }];
    assert_eq!(backfill(one_team(), uses(7.0), false, false), [(0, 3)]);
}

/// On a calm day of a team with a quota each waiting gang reserved its part of it, and had the team's small
/// tasks preempted though there was no capacity for it: they began and were preempted again, 21,000 times.
#[test]
fn a_gang_at_its_teams_quota_preempts_nothing_unless_it_finds_capacity_and_only_the_first_reserves() {
    let held = PlacedTask {
        need: need(1.0),
        priority: Priority::Idle,
        within_fair_share: false,
        team: 0,
        remaining: secs(40),
        lost_work: secs(5),
        preemptible: true,
        stopping: false,
        is_replica: false,
    };
    let machine = |machine_type: usize, free: f64, held: Vec<PlacedTask>| MachineSnapshot {
        machine_type,
        zone: 0,
        spot: false,
        total: need(16.0),
        free: need(free),
        accepts_starts: true,
        accepts_starts_in: Micros::ZERO,
        images: vec![1],
        fetch_gb_per_s: 1.0,
        cpu_price: 1,
        failure_penalty: Micros::ZERO,
        reclaimed_in: None,
        placed: held,
    };
    let gang = JobClass {
        priority: Priority::Urgent,
        gang: true,
        need: need(2.0),
        machine_types: vec![1],
        preempt_after: secs(-1),
        ..common::planner::class(2, 30, 40)
    };
    let small = JobClass { priority: Priority::Idle, ..common::planner::class(8, 20, 5) };
    let snapshot = |large: f64, classes: Vec<JobClass>| Snapshot {
        zone_count: 2,
        machines: vec![machine(0, 8.0, vec![held.clone(); 8]), machine(1, large, Vec::new())],
        classes,
        reserve: true,
        low_priority_delay_step: secs(4),
        delay_step: secs(2),
        headroom_machines: 0,
        teams: vec![TeamUse { used: need(8.0), cpu_quota: 10.0, gpu_quota: 0.0 }],
        reserved_headroom: vec![None, None],
    };
    // Its machine is in use: nothing is preempted for the quota, which the small ones use meanwhile.
    let p = plan(&snapshot(0.0, vec![gang.clone(), small.clone()]));
    assert!(p.preempt.is_empty(), "{:?}", p.preempt);
    assert_eq!(by_machine(&p.starts), [(1, 0, 2)]);
    // It finds capacity: as many are preempted as it takes, once, and the small ones leave the quota to it.
    let mut s = snapshot(16.0, vec![gang.clone(), small.clone()]);
    let p = plan(&s);
    assert_eq!((p.preempt.len(), p.starts.len()), (2, 0));
    for &(m, i) in &p.preempt {
        s.machines[m].placed[i].stopping = true;
    }
    let p = plan(&s);
    assert_eq!((p.preempt.len(), p.starts.len()), (0, 0));
    // What goes before it by its team's fair share is not preempted: it would begin again at once.
    let mut s = snapshot(16.0, vec![gang.clone(), small.clone()]);
    s.machines[0].placed.iter_mut().for_each(|h| h.within_fair_share = true);
    assert!(plan(&s).preempt.is_empty());
    s.machines[0].placed.iter_mut().take(2).for_each(|h| h.within_fair_share = false);
    assert_eq!(plan(&s).preempt, [(0, 0), (0, 1)]);
    // Of several that wait only the first does. What ends before the quota comes free may start.
    let mut s = snapshot(
        16.0,
        vec![gang.clone(), gang.clone(), gang, JobClass { adjusted_runtime: secs(10), ..small }],
    );
    s.classes.iter_mut().for_each(|c| c.preempt_after = secs(100));
    let p = plan(&s);
    assert_eq!((p.preempt.len(), by_machine(&p.starts)), (0, vec![(3, 0, 2)]));
}

/// An urgent array whose image takes longer to fetch than its objective allows filled whatever was free, and
/// began late everywhere; a moment later machines that have the image come free.
#[test]
fn an_array_that_waits_for_its_image_takes_only_machines_that_have_it() {
    let machine = |images: Vec<u32>, held: Vec<PlacedTask>| MachineSnapshot {
        machine_type: 0,
        zone: 0,
        spot: false,
        total: need(4.0),
        free: need(4.0 - held.len() as f64),
        accepts_starts: true,
        accepts_starts_in: Micros::ZERO,
        images,
        fetch_gb_per_s: 0.2,
        cpu_price: 1,
        failure_penalty: Micros::ZERO,
        reclaimed_in: None,
        placed: held,
    };
    let low = PlacedTask {
        need: need(1.0),
        priority: Priority::Idle,
        within_fair_share: false,
        team: 0,
        remaining: secs(40),
        lost_work: secs(1),
        preemptible: true,
        stopping: false,
        is_replica: false,
    };
    let urgent = |waits_for_image: bool| JobClass {
        priority: Priority::Urgent,
        image: Some(7),
        image_gb: 1.0,
        waits_for_image,
        preempt_after: secs(-1),
        ..job(6, 15, 1)
    };
    let planned = |class: JobClass| {
        let machines = vec![machine(vec![], vec![]), machine(vec![7], vec![low.clone(); 2])];
        let s = Snapshot {
            zone_count: 1,
            machines,
            classes: vec![class],
            reserved_headroom: vec![None],
            ..Snapshot::default()
        };
        let p = plan(&s);
        (by_machine(&p.starts), p.preempt)
    };
    assert_eq!(planned(urgent(false)), (vec![(0, 0, 4), (0, 1, 2)], vec![]));
    // Nothing goes to the machine without it, and what is preempted is preempted on the other.
    assert_eq!(planned(urgent(true)), (vec![(0, 1, 2)], vec![(1, 0)]));
    // Between plans as well.
    let waits = JobClass { image: Some(8), ..urgent(true) };
    assert_eq!(backfill(vec![waits.clone()], Vec::new(), false, false), []);
    let other = JobClass { waits_for_image: false, ..waits };
    assert_eq!(backfill(vec![other], Vec::new(), false, false), [(0, 4)]);
}
