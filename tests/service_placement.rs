//! Where the planner puts replicas of services, and what is rented for them.

mod common;

use std::collections::BTreeSet;

use common::planner::{class, need, one_small_type, secs};
use milletlock::capacity::{Autoscaler, MachineStatus, ScalingPolicy, WarmPool};
use milletlock::sched::{
    order, plan, JobClass, MachineSnapshot, PlacedTask, Plan, ReservedHeadroom, Resources, Snapshot, TeamUse,
};
use milletlock::time::Micros;
use milletlock::wire::Priority;
use proptest::prelude::*;

/// The image of all classes here.
const IMAGE: u32 = 1;

/// An open, empty, ordinary machine of the first type and zone, which has the image.
fn machine(cpus: f64) -> MachineSnapshot {
    MachineSnapshot {
        machine_type: 0,
        zone: 0,
        spot: false,
        total: need(cpus),
        free: need(cpus),
        accepts_starts: true,
        accepts_starts_in: Micros::ZERO,
        images: vec![IMAGE],
        fetch_gb_per_s: 1.0,
        cpu_price: 100,
        failure_penalty: Micros::ZERO,
        reclaimed_in: None,
        placed: Vec::new(),
    }
}

fn without_image(machine: MachineSnapshot) -> MachineSnapshot {
    MachineSnapshot { images: Vec::new(), ..machine }
}

/// A running task that may be preempted for a higher priority.
fn held(cpus: f64, priority: Priority) -> PlacedTask {
    PlacedTask {
        need: need(cpus),
        priority,
        within_fair_share: false,
        team: 0,
        remaining: secs(60),
        lost_work: secs(5),
        preemptible: true,
        stopping: false,
        is_replica: false,
    }
}

fn replica(cpus: f64) -> PlacedTask {
    PlacedTask { is_replica: true, remaining: secs(86_400), ..held(cpus, Priority::Critical) }
}

/// The machine with these tasks on it.
fn with(machine: MachineSnapshot, tasks: Vec<PlacedTask>) -> MachineSnapshot {
    let free = tasks.iter().fold(machine.free, |free, task| free.minus(&task.need, 1));
    MachineSnapshot { free, placed: tasks, ..machine }
}

/// A service of one-processor replicas, none of which runs yet.
fn service(replicas: u32) -> JobClass {
    JobClass {
        priority: Priority::Critical,
        adjusted_runtime: secs(86_400),
        preempt_after: Micros::ZERO,
        image: Some(IMAGE),
        image_gb: 2.0,
        replica_machines: Some(Vec::new()),
        ..class(replicas, 0, 0)
    }
}

fn snapshot(machines: Vec<MachineSnapshot>, classes: Vec<JobClass>) -> Snapshot {
    Snapshot {
        zone_count: 2,
        machines,
        classes,
        teams: vec![TeamUse::default()],
        reserved_headroom: vec![None, None],
        low_priority_delay_step: secs(4),
        delay_step: secs(2),
        ..Snapshot::default()
    }
}

/// The machines on which a plan starts tasks of a class, one entry a task.
fn machines_of(plan: &Plan, class: usize) -> Vec<usize> {
    let starts = plan.starts.iter().filter(|start| start.class == class);
    let mut machines: Vec<usize> =
        starts.flat_map(|start| std::iter::repeat_n(start.machine, start.count as usize)).collect();
    machines.sort_unstable();
    machines
}

// Against a plain model.

fn any_priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Idle),
        Just(Priority::Normal),
        Just(Priority::Urgent),
        Just(Priority::Critical)
    ]
}

prop_compose! {
    fn any_placed_task()(cpus in 1u32..5, priority in any_priority(), within_fair_share in prop::bool::weighted(0.2),
                  team in 0usize..2, lost in 0i64..90, state in 0u8..4, is_replica in any::<bool>()) -> PlacedTask {
        PlacedTask {
            within_fair_share, team, lost_work: secs(lost), is_replica,
            preemptible: state < 2, stopping: state == 2,
            ..held(f64::from(cpus), priority)
        }
    }
}

prop_compose! {
    fn any_machine()(machine_type in 0usize..2, zone in 0usize..2, spot in any::<bool>(), accepts_starts in prop::bool::weighted(0.85),
                  accepts_starts_in in 0i64..4, has_image in any::<bool>(), reclaimed_in in prop::option::weighted(0.1, 1i64..60),
                  tasks in prop::collection::vec(any_placed_task(), 0..5)) -> MachineSnapshot {
        let total = if machine_type == 0 { 4.0 } else { 16.0 };
        let mut used = 0.0;
        let fitting = tasks.into_iter().filter(|task| {
            let fits = used + task.need.cpus <= total;
            used += if fits { task.need.cpus } else { 0.0 };
            fits
        }).collect();
        let empty = MachineSnapshot {
            machine_type, zone, spot, accepts_starts, accepts_starts_in: secs(accepts_starts_in), reclaimed_in: reclaimed_in.map(secs),
            images: if has_image { vec![IMAGE] } else { Vec::new() },
            ..machine(total)
        };
        with(empty, fitting)
    }
}

prop_compose! {
    /// A service, or an array that competes with the services but has none of them preempted.
    fn any_class()(is_service in prop::bool::weighted(0.7), priority in any_priority(), within_fair_share in prop::bool::weighted(0.2),
                   team in 0usize..2, count in 1u32..6, cpus in 1u32..5,
                   types in prop_oneof![Just(vec![0]), Just(vec![1]), Just(vec![0, 1])],
                   zone in prop::option::weighted(0.2, 0usize..2), tie in 0u8..4, spot in any::<bool>(),
                   live in 0u32..2, occupied in prop::collection::vec(0usize..8, 0..3)) -> JobClass {
        JobClass {
            priority, within_fair_share, team, tasks: count + live, need: need(f64::from(cpus)), machine_types: types, zone,
            one_zone: tie == 1, spread: tie == 2, spot, tasks_by_zone: vec![live, 0],
            preempt_after: if is_service { Micros::ZERO } else { secs(1000) },
            adjusted_runtime: if is_service { secs(86_400) } else { secs(30) },
            replica_machines: is_service.then_some(occupied),
            ..service(count)
        }
    }
}

prop_compose! {
    fn any_snapshot()(machines in prop::collection::vec(any_machine(), 0..8),
                      classes in prop::collection::vec(any_class(), 1..6),
                      limit in prop::option::of(0u32..12), with_headroom in any::<bool>()) -> Snapshot {
        let tasks = machines.iter().flat_map(|machine| &machine.placed).filter(|task| task.team == 0);
        let used = tasks.fold(Resources::default(), |sum, task| sum.plus(&task.need, 1));
        let cpus_max = limit.map_or(0.0, |more| used.cpus + f64::from(more));
        let keep = ReservedHeadroom { need: need(15.0), priority: Priority::Urgent, spot: false };
        Snapshot {
            teams: vec![TeamUse { used, cpu_quota: cpus_max, gpu_quota: 0.0 }, TeamUse::default()],
            reserved_headroom: vec![None, with_headroom.then_some(keep)],
            ..snapshot(machines, classes)
        }
    }
}

/// What a plan may do, asked task by task from the snapshot alone.
struct Model<'a> {
    snapshot: &'a Snapshot,
    plan: &'a Plan,
    stopped: BTreeSet<(usize, usize)>,
}

impl<'a> Model<'a> {
    fn new(snapshot: &'a Snapshot, plan: &'a Plan) -> Model<'a> {
        Model { snapshot, plan, stopped: plan.preempt.iter().copied().collect() }
    }

    fn is_service(&self, class: usize) -> bool {
        self.snapshot.classes[class].replica_machines.is_some()
    }

    /// Whether the class may use the machine whatever is on it.
    fn may_use(&self, class: usize, machine: usize) -> bool {
        let (c, r) = (&self.snapshot.classes[class], &self.snapshot.machines[machine]);
        let lasting = r.reclaimed_in.is_none() || !self.is_service(class);
        let zone_allowed = c.zone.is_none_or(|zone| zone == r.zone);
        r.accepts_starts
            && lasting
            && zone_allowed
            && c.machine_types.contains(&r.machine_type)
            && (c.spot || !r.spot)
    }

    /// Tasks of a class in a zone, with those that the plan starts.
    fn in_zone(&self, class: usize, zone: usize) -> u32 {
        let machines = machines_of(self.plan, class);
        let new = machines.iter().filter(|machine| self.snapshot.machines[**machine].zone == zone).count();
        self.snapshot.classes[class].tasks_by_zone[zone] + new as u32
    }

    fn zone_takes_more(&self, class: usize, zone: usize) -> bool {
        let c = &self.snapshot.classes[class];
        let tied_elsewhere = c.one_zone && self.in_zone(class, 1 - zone) > 0;
        let zone_is_full = c.spread && self.in_zone(class, zone) >= c.tasks.div_ceil(2);
        !tied_elsewhere && !zone_is_full
    }

    fn placed_cpus(&self, machine: usize, counts: impl Fn(usize) -> bool) -> f64 {
        let starts = self.plan.starts.iter().filter(|start| start.machine == machine && counts(start.class));
        starts.map(|start| f64::from(start.count) * self.snapshot.classes[start.class].need.cpus).sum()
    }

    /// What is free on a machine with all tasks ended for which `ends` holds.
    fn cpus_with(&self, machine: usize, ends: impl Fn(usize, &PlacedTask) -> bool) -> f64 {
        let r = &self.snapshot.machines[machine];
        let ended = r.placed.iter().enumerate().filter(|(place, task)| ends(*place, task));
        r.free.cpus + ended.map(|(_, task)| task.need.cpus).sum::<f64>()
    }

    fn may_stop(&self, class: usize, task: &PlacedTask) -> bool {
        let c = &self.snapshot.classes[class];
        task.preemptible && task.priority < c.priority && (c.within_fair_share || !task.within_fair_share)
    }

    fn limit_allows_another(&self, class: usize) -> bool {
        let c = &self.snapshot.classes[class];
        let team = &self.snapshot.teams[c.team];
        team.cpu_quota <= 0.0 || self.used_by_team(c.team) + c.need.cpus <= team.cpu_quota + 1e-6
    }

    fn used_by_team(&self, team: usize) -> f64 {
        let starts = self.plan.starts.iter().filter(|start| self.snapshot.classes[start.class].team == team);
        let new: f64 =
            starts.map(|start| f64::from(start.count) * self.snapshot.classes[start.class].need.cpus).sum();
        self.snapshot.teams[team].used.cpus + new
    }

    /// Whether one more replica could go to the machine, even by preempting all that may be.
    fn could_take_another(&self, class: usize, machine: usize) -> bool {
        let zone = self.snapshot.machines[machine].zone;
        if !self.may_use(class, machine) || !self.zone_takes_more(class, zone) {
            return false;
        }
        let queue = order(&self.snapshot.classes);
        let position = |class: usize| queue.iter().position(|&c| c == class);
        let earlier = self.placed_cpus(machine, |other| position(other) <= position(class));
        let most = self.cpus_with(machine, |_, task| task.stopping || self.may_stop(class, task));
        most - earlier + 1e-6 >= self.snapshot.classes[class].need.cpus
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against replicas where type, zone, kind, a tie or the team's quota forbid them.
    #[test]
    fn replicas_are_placed_only_where_they_are_allowed(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        for (class, c) in snapshot.classes.iter().enumerate().filter(|x| x.1.replica_machines.is_some()) {
            let machines = machines_of(&plan, class);
            prop_assert!(machines.len() <= c.startable_tasks as usize);
            prop_assert!(machines.iter().all(|&machine| model.may_use(class, machine)));
            prop_assert!(!c.one_zone || model.in_zone(class, 0) == 0 || model.in_zone(class, 1) == 0);
            let most = c.tasks.div_ceil(2);
            prop_assert!(!c.spread || (0..2).all(|zone| model.in_zone(class, zone) <= most));
        }
        let team = &snapshot.teams[0];
        prop_assert!(team.cpu_quota <= 0.0 || model.used_by_team(0) <= team.cpu_quota + 1e-6);
    }

    /// Guards against promising capacity that does not come free.
    #[test]
    fn what_is_free_or_comes_free_covers_what_is_placed(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        for machine in 0..snapshot.machines.len() {
            let comes = model.cpus_with(machine, |place, task| task.stopping || model.stopped.contains(&(machine, place)));
            prop_assert!(model.placed_cpus(machine, |_| true) <= comes + 1e-6, "machine {}", machine);
        }
    }

    /// Guards against preempting equal or higher priorities, fair-share work for other work, and anything in vain.
    #[test]
    fn only_lower_ranks_are_stopped_and_only_where_a_replica_needs_it(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        for &(machine, place) in &model.stopped {
            let task = &snapshot.machines[machine].placed[place];
            let here = |class: &usize| machines_of(&plan, *class).contains(&machine);
            let by_limit = |class: &usize| snapshot.classes[*class].team == 0 && task.team == 0;
            let beneficiary = (0..snapshot.classes.len()).filter(|class| model.is_service(*class)).any(|class| {
                (here(&class) || by_limit(&class)) && model.may_stop(class, task)
            });
            prop_assert!(beneficiary, "machine {}, task {}", machine, place);
            let without = model.cpus_with(machine, |_, task| task.stopping);
            let needed = model.placed_cpus(machine, |_| true) > without + 1e-6;
            prop_assert!(needed || task.team == 0, "machine {}, task {} is preempted in vain", machine, place);
        }
    }

    /// Guards against a replica that waits though there is capacity, or some that can be had.
    #[test]
    fn a_replica_waits_only_if_no_room_could_take_it(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        for &(class, left) in plan.unmet.iter().filter(|unmet| model.is_service(unmet.0)) {
            let placed = machines_of(&plan, class).len() as u32;
            prop_assert_eq!(placed + left, snapshot.classes[class].startable_tasks);
            if model.limit_allows_another(class) {
                let machine = (0..snapshot.machines.len()).find(|&machine| model.could_take_another(class, machine));
                prop_assert_eq!(machine, None);
            }
        }
    }
}

// Choices among machines that would do.

/// Guards against losing several replicas with one machine.
#[test]
fn replicas_share_a_machine_only_if_there_is_no_other() {
    let p = plan(&snapshot(vec![machine(8.0), machine(8.0), machine(8.0)], vec![service(3)]));
    assert_eq!(machines_of(&p, 0), [0, 1, 2]);
    // Rooms with a replica, or that one has left of late, are avoided.
    let second = JobClass { replica_machines: Some(vec![0, 2]), ..service(1) };
    let p = plan(&snapshot(vec![machine(8.0), machine(8.0), machine(8.0)], vec![second]));
    assert_eq!(machines_of(&p, 0), [1]);
    let p = plan(&snapshot(vec![machine(8.0)], vec![service(3)]));
    assert_eq!(machines_of(&p, 0), [0, 0, 0]);
}

/// Guards against losing most replicas with one zone.
#[test]
fn replicas_spread_over_zones_where_delays_are_alike() {
    let south = || MachineSnapshot { zone: 1, ..machine(8.0) };
    let machines = vec![machine(8.0), machine(8.0), machine(8.0), machine(8.0), south(), south()];
    let p = plan(&snapshot(machines, vec![service(4)]));
    let in_south = machines_of(&p, 0).iter().filter(|&&machine| machine >= 4).count();
    assert_eq!(in_south, 2);
    // Zones are not worth more than a little time.
    let late = || MachineSnapshot { accepts_starts_in: secs(8), ..south() };
    let machines = vec![machine(8.0), machine(8.0), machine(8.0), machine(8.0), late(), late()];
    assert_eq!(machines_of(&plan(&snapshot(machines, vec![service(4)])), 0), [0, 1, 2, 3]);
}

/// Guards against fetching an image, or preempting work, where neither saves time.
#[test]
fn the_machine_where_a_replica_runs_soonest_is_taken() {
    let p = plan(&snapshot(vec![without_image(machine(8.0)), machine(8.0)], vec![service(1)]));
    assert_eq!(machines_of(&p, 0), [1]);
    let full = || with(machine(1.0), vec![held(1.0, Priority::Idle)]);
    let p = plan(&snapshot(vec![full(), machine(8.0)], vec![service(1)]));
    assert_eq!((machines_of(&p, 0), p.preempt), (vec![1], Vec::new()));
    let opens_soon = MachineSnapshot { accepts_starts_in: Micros::from_millis(1500), ..machine(8.0) };
    let p = plan(&snapshot(vec![full(), opens_soon], vec![service(1)]));
    assert_eq!((machines_of(&p, 0), p.preempt), (vec![1], Vec::new()));
    // Preempting another is worth it where the free machine has to fetch for long.
    let slow = MachineSnapshot { fetch_gb_per_s: 0.1, ..without_image(machine(8.0)) };
    let p = plan(&snapshot(vec![full(), slow], vec![service(1)]));
    assert_eq!((machines_of(&p, 0), p.preempt), (vec![0], vec![(0, 0)]));
}

/// A machine of 32 processors of a type with headroom reserved for tasks of 30.
fn with_headroom(machines: Vec<MachineSnapshot>, classes: Vec<JobClass>) -> Snapshot {
    let keep = ReservedHeadroom { need: need(30.0), priority: Priority::Urgent, spot: false };
    let both_types = classes.into_iter().map(|c| JobClass { machine_types: vec![0, 1], ..c }).collect();
    Snapshot { reserved_headroom: vec![Some(keep), None], ..snapshot(machines, both_types) }
}

/// Another type's machine, on which a replica would run ten seconds later.
fn later_elsewhere() -> MachineSnapshot {
    MachineSnapshot { machine_type: 1, fetch_gb_per_s: 0.2, ..without_image(machine(8.0)) }
}

/// Guards against replicas, which never end, that take the last whole machines of large tasks.
#[test]
fn replicas_go_beside_a_larger_task_only_while_it_fits() {
    let beside = |replicas: usize| with(machine(32.0), vec![replica(1.0); replicas]);
    let choice =
        |machines: Vec<MachineSnapshot>| machines_of(&plan(&with_headroom(machines, vec![service(1)])), 0);
    assert_eq!(choice(vec![beside(0), later_elsewhere()]), [0]);
    assert_eq!(choice(vec![beside(1), later_elsewhere()]), [0]);
    assert_eq!(choice(vec![beside(2), later_elsewhere()]), [1]);
    assert_eq!(choice(vec![beside(2)]), [0], "nowhere else to go");
    // Another type's machine goes first where a replica runs as soon, be it the emptier one.
    let as_soon = MachineSnapshot { machine_type: 1, ..machine(64.0) };
    assert_eq!(choice(vec![beside(0), as_soon]), [1]);
}

/// The same for replicas that one plan starts together.
#[test]
fn replicas_of_one_plan_count_where_a_larger_task_has_to_fit() {
    let services = vec![service(1), service(1), service(1)];
    let p = plan(&with_headroom(vec![machine(32.0), later_elsewhere()], services));
    let beside = p.starts.iter().filter(|start| start.machine == 0).count();
    assert_eq!(beside, 2);
}

/// Guards against a service that waits before it preempts, or preempts its equals.
#[test]
fn lower_priorities_are_preempted_at_once_and_equal_ones_never() {
    let full = |priority: Priority| with(machine(2.0), vec![held(1.0, priority), held(1.0, priority)]);
    for priority in [Priority::Idle, Priority::Normal, Priority::Urgent] {
        let p = plan(&snapshot(vec![full(priority)], vec![service(1)]));
        assert_eq!((machines_of(&p, 0), p.preempt.len()), (vec![0], 1), "{priority:?}");
    }
    let p = plan(&snapshot(vec![full(Priority::Critical)], vec![service(1)]));
    assert_eq!((p.starts, p.preempt, p.unmet), (Vec::new(), Vec::new(), vec![(0, 1)]));
    let urgent = JobClass { priority: Priority::Urgent, ..service(1) };
    for priority in [Priority::Urgent, Priority::Critical] {
        let p = plan(&snapshot(vec![full(priority)], vec![urgent.clone()]));
        assert_eq!((p.starts, p.preempt), (Vec::new(), Vec::new()), "{priority:?}");
    }
}

/// Guards against preempting more tasks while those that were preempted are still ending.
#[test]
fn room_that_is_being_freed_is_waited_for() {
    let ending = PlacedTask { preemptible: false, stopping: true, ..held(1.0, Priority::Idle) };
    let p =
        plan(&snapshot(vec![with(machine(2.0), vec![ending, held(1.0, Priority::Idle)])], vec![service(1)]));
    assert_eq!((machines_of(&p, 0), p.preempt), (vec![0], Vec::new()));
}

/// Guards against a second replica that waits for the next plan though one preemption makes capacity for both.
#[test]
fn one_large_task_makes_room_for_several_replicas() {
    let p = plan(&snapshot(vec![with(machine(4.0), vec![held(4.0, Priority::Idle)])], vec![service(3)]));
    assert_eq!((machines_of(&p, 0), p.preempt), (vec![0, 0, 0], vec![(0, 0)]));
}

// Renting.

/// What is rented, by kind, with so many machines booting for so long.
fn scale_out(classes: Vec<JobClass>, booting: usize, age: Micros) -> Vec<(bool, u32)> {
    let closed = MachineSnapshot { accepts_starts: false, accepts_starts_in: secs(20), ..machine(8.0) };
    let snapshot = Snapshot { reserved_headroom: vec![None], ..snapshot(vec![closed; booting], classes) };
    let plan = plan(&snapshot);
    let view = Autoscaler {
        snapshot: &snapshot,
        plan: &plan,
        machine_status: &vec![MachineStatus { age, idle: None, booting: true }; booting],
        types: &one_small_type(),
        zones: &[vec![0]],
        refused: &[],
        warm_pools: &[WarmPool::default()],
        deadline_jobs_expected: &[false],
        policy: ScalingPolicy {
            drain_time: secs(40),
            idle_timeout: secs(20),
            deadline_idle_timeout: secs(60),
            warm_idle_timeout: secs(30),
            max_boot_factor: 1.6,
        },
    };
    view.decide().scale_out.iter().map(|rent| (rent.offer.spot, rent.count)).collect()
}

/// Guards against a small service that waits for ever, and against renting what is coming already.
#[test]
fn missing_replicas_rent_whole_ordinary_machines_beyond_those_that_boot() {
    assert_eq!(scale_out(vec![service(1)], 0, Micros::ZERO), [(false, 1)]);
    assert_eq!(scale_out(vec![service(9)], 0, Micros::ZERO), [(false, 2)]);
    assert_eq!(scale_out(vec![service(8)], 1, secs(10)), []);
    assert_eq!(scale_out(vec![service(9)], 1, secs(10)), [(false, 1)]);
    // Two services do not count on the same machine.
    assert_eq!(scale_out(vec![service(6), service(6)], 1, secs(10)), [(false, 1)]);
    // One that boots for much longer than usual is not counted on.
    assert_eq!(scale_out(vec![service(8)], 1, secs(100)), [(false, 1)]);
}
