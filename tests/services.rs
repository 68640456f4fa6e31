//! Services in the owner's world: replicas run until their job is cancelled, run again elsewhere
//! whatever ends them, and are never on two machines.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{config, record, report, spec, types};
use milletlock::fleet::never_runs;
use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::leadership;
use milletlock::records::{JobRecord, MachineRecord};
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{ExitReason, JobSpec, Priority, TaskStage, WorkerCommand};
use serde_json::{json, Value};

const T0: Steady = Steady(1_000_000_000);
const TOKEN: u64 = 7;
/// Simulated time goes on by this much.
const STEP: Micros = Micros::from_millis(500);
/// Workers report this often.
const REPORT: Micros = Micros::from_millis(3_000);
/// Workers end all tasks so long after their last answered report.
const LEASE: Micros = Micros::from_millis(22_000);
/// The service's id in most tests, and that of an array.
const SERVICE: &str = "wk-000001";
const ARRAY: &str = "wk-000002";

fn secs(s: f64) -> Micros {
    Micros::from_secs(s)
}

/// A service of one-processor replicas, above all other ranks here.
fn service(number: u32, replicas: u32) -> JobSpec {
    JobSpec { priority: Priority::Critical, ..spec(number, replicas, "daemon") }
}

fn array(number: u32, tasks: u32) -> JobSpec {
    spec(number, tasks, "batch")
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// A task on a worker.
#[derive(Clone, Debug)]
struct Task {
    since: Steady,
    ended: Option<ExitReason>,
}

/// A machine as it really is, whatever the owner knows of it.
#[derive(Debug)]
struct Worker {
    zone: &'static str,
    agent_epoch: u64,
    report: u64,
    fencing_token: u64,
    answered: Steady,
    next_report: Steady,
    /// Cut off from the owner until then.
    silent_until: Steady,
    /// When the cloud takes it.
    taken_at: Option<Steady>,
    tasks: BTreeMap<(String, u64), Task>,
}

/// Replicas of a job end so as soon as they have started, on one machine or on all.
struct Failure {
    machine: Option<&'static str>,
    job: &'static str,
    why: ExitReason,
}

/// A start that has reached a worker.
struct Started {
    at: Steady,
    machine: String,
    task: String,
}

/// The owner and its workers, in steps of simulated time.
struct World {
    fleet: Fleet,
    now: Steady,
    revision: u64,
    workers: BTreeMap<String, Worker>,
    services: BTreeSet<String>,
    failures: Vec<Failure>,
    /// Arrays whose tasks are done after this time; those of others run on.
    runs_for: BTreeMap<String, Micros>,
    started: Vec<Started>,
}

impl World {
    /// Machines of four processors in the north, enrolled.
    fn new(machines: &[&str]) -> World {
        let mut world = World {
            fleet: Fleet::new(config(), types(), TOKEN, T0),
            now: T0,
            revision: 1000,
            workers: BTreeMap::new(),
            services: BTreeSet::new(),
            failures: Vec::new(),
            runs_for: BTreeMap::new(),
            started: Vec::new(),
        };
        for machine in machines {
            world.add_machine(machine, "north");
        }
        world
    }

    fn wall(&self) -> Wall {
        Wall(self.now.0)
    }

    fn add_machine(&mut self, machine: &str, zone: &'static str) {
        let worker = Worker {
            zone,
            agent_epoch: 1,
            report: 0,
            fencing_token: 0,
            answered: self.now,
            next_report: self.now,
            silent_until: T0,
            taken_at: None,
            tasks: BTreeMap::new(),
        };
        self.workers.insert(machine.into(), worker);
        self.report(machine);
        self.write();
    }

    fn submit(&mut self, spec: JobSpec) {
        if spec.shape == milletlock::wire::Shape::Service {
            self.services.insert(spec.id.clone());
        }
        self.revision += 1;
        let submitted_us = self.now.0;
        self.fleet.apply_job_record(JobRecord { submitted_us, ..record(spec) }, self.revision, self.now);
        self.write();
    }

    fn cancel(&mut self, job: &str) {
        self.revision += 1;
        self.fleet.job_ended(job, self.revision);
    }

    /// Writes all that waits to be written. Nothing ever says that a service is done.
    fn write(&mut self) {
        let pending = self.fleet.pending_writes(self.now, Micros::ZERO, 1000);
        for p in &pending {
            if let PendingWrite::Final(job) | PendingWrite::Done(job, _) = p {
                assert!(!self.services.contains(&**job), "a service is said to be done: {p:?}");
            }
        }
        let (now, wall) = (self.now, self.wall());
        for batch in leadership::batches(&mut self.fleet, 1, pending, 1000, now, wall) {
            self.revision += 1;
            for (p, said) in &batch.items {
                self.fleet.write_applied(p, self.revision, said, now);
            }
        }
    }

    /// Time passes for the owner, which knows that it is one; no worker reports.
    fn pass(&mut self, time: Micros) {
        self.now = self.now + time;
        self.fleet.confirm_lease(self.now);
        self.fleet.tick(self.now, self.wall());
        self.write();
    }

    /// The workers' lists of tasks as they change by themselves.
    fn age_workers(&mut self) {
        for worker in self.workers.values_mut() {
            if self.now - worker.answered > LEASE {
                worker.tasks.clear();
                worker.agent_epoch += 1;
                worker.report = 0;
                worker.answered = self.now;
            }
            for ((name, _), task) in worker.tasks.iter_mut().filter(|x| x.1.ended.is_none()) {
                let time = self.runs_for.get(job_of(name));
                if time.is_some_and(|time| self.now - task.since >= *time) {
                    task.ended = Some(ExitReason::Done);
                    worker.next_report = self.now;
                }
            }
        }
    }

    /// The owner's direct commands reach their workers at once, but for those that are cut off.
    fn deliver_direct_commands(&mut self) -> Vec<WorkerCommand> {
        let mut delivered = Vec::new();
        for command in self.fleet.halt_commands(self.now) {
            let reachable = self.workers.get(&*command.machine).is_some_and(|w| w.silent_until <= self.now);
            if reachable {
                self.apply(&command.machine, &command.commands);
                delivered.extend(command.commands);
            }
        }
        delivered
    }

    fn apply(&mut self, machine: &str, orders: &[WorkerCommand]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else { return };
        for order in orders {
            worker.next_report = now;
            match order {
                WorkerCommand::Start { task, attempt } => {
                    let here = |f: &&Failure| f.machine.is_none_or(|m| m == machine);
                    let failure = self.failures.iter().filter(here).find(|f| f.job == job_of(task));
                    let started = Task { since: now, ended: failure.map(|f| f.why) };
                    worker.tasks.insert((task.clone(), *attempt), started);
                    self.started.push(Started { at: now, machine: machine.into(), task: task.clone() });
                }
                WorkerCommand::Halt { task, attempt, .. } => {
                    let task = worker.tasks.get_mut(&(task.clone(), *attempt));
                    if let Some(task) = task.filter(|task| task.ended.is_none()) {
                        task.ended = Some(ExitReason::Stopped);
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
                    worker.tasks.remove(&(task.clone(), *attempt));
                }
            }
        }
    }

    /// The owner's answer to a report of a machine as it is now.
    fn answer(&mut self, machine: &str) -> Option<Vec<WorkerCommand>> {
        let now = self.now;
        let worker = self.workers.get_mut(machine).expect("a machine");
        worker.report += 1;
        worker.next_report = now + REPORT;
        let stage =
            |ended: Option<ExitReason>| if ended.is_some() { TaskStage::Exited } else { TaskStage::Running };
        let tasks: Vec<_> = worker
            .tasks
            .iter()
            .map(|((name, attempt), task)| (name.as_str(), *attempt, stage(task.ended), task.ended))
            .collect();
        let mut message = report(machine, worker.report, worker.fencing_token, &tasks);
        message.agent_epoch = worker.agent_epoch;
        message.zone = worker.zone.into();
        message.interruption_notice_s = worker.taken_at.map(|at| (at - now).secs());
        match self.fleet.check_in(&message, now, Wall(now.0)) {
            HeartbeatOutcome::Reply(reply) => Some(reply.commands),
            HeartbeatOutcome::Refuse => None,
            HeartbeatOutcome::Superseded(fencing_token) => panic!("replaced by {fencing_token}"),
        }
    }

    /// A machine reports and carries out what it is answered.
    fn report(&mut self, machine: &str) -> Vec<WorkerCommand> {
        let Some(orders) = self.answer(machine) else { return Vec::new() };
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.fencing_token = TOKEN;
            worker.answered = now;
        }
        self.apply(machine, &orders);
        orders
    }

    fn step(&mut self) {
        self.pass(STEP);
        self.age_workers();
        self.deliver_direct_commands();
        let due = |w: &Worker| w.next_report <= self.now && w.silent_until <= self.now;
        let reports: Vec<String> = self.workers.iter().filter(|x| due(x.1)).map(|x| x.0.clone()).collect();
        for machine in reports {
            self.report(&machine);
        }
        self.assert_nothing_runs_twice();
    }

    fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Steps until so many tasks of a job run; returns how long that took.
    fn run_until(&mut self, job: &str, count: usize, most: Micros) -> Micros {
        let from = self.now;
        while self.places(job).len() != count {
            assert!(self.now - from < most, "{job} runs on {:?} after {most:?}", self.places(job));
            self.step();
        }
        self.now - from
    }

    /// Tasks of a job that really run, with their machines.
    fn places(&self, job: &str) -> Vec<(String, String)> {
        let all = self.workers.iter().flat_map(|(machine, w)| w.tasks.iter().map(move |t| (machine, t)));
        let running = all.filter(|(_, (key, task))| task.ended.is_none() && job_of(&key.0) == job);
        running.map(|(machine, (key, _))| (key.0.clone(), machine.clone())).collect()
    }

    fn machines_of(&self, job: &str) -> Vec<String> {
        let mut machines: Vec<String> = self.places(job).into_iter().map(|x| x.1).collect();
        machines.sort();
        machines
    }

    fn assert_nothing_runs_twice(&self) {
        let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
        for (machine, worker) in &self.workers {
            for ((name, _), _) in worker.tasks.iter().filter(|x| x.1.ended.is_none()) {
                let other = seen.insert(name, machine);
                assert_eq!(other, None, "{name} runs on {machine} as well");
            }
        }
    }

    /// Ends a running task of a job on a machine.
    fn end(&mut self, machine: &str, job: &str, why: ExitReason) {
        let worker = self.workers.get_mut(machine).expect("a machine");
        let mut running = worker.tasks.iter_mut().filter(|t| t.1.ended.is_none() && job_of(&t.0 .0) == job);
        running.next().expect("a running task").1.ended = Some(why);
        worker.next_report = self.now;
    }

    /// The machine is gone and the cloud has said so.
    fn lose(&mut self, machine: &str) {
        self.workers.remove(machine);
        self.fleet.machines_scaled_in(&[machine.into()], self.now);
    }

    fn silence(&mut self, machine: &str, time: Micros) {
        let until = self.now + time;
        self.workers.get_mut(machine).expect("a machine").silent_until = until;
    }

    fn notice(&mut self, machine: &str, time: Micros) {
        let at = self.now + time;
        let worker = self.workers.get_mut(machine).expect("a machine");
        (worker.taken_at, worker.next_report) = (Some(at), self.now);
    }
}

fn starts(orders: &[WorkerCommand]) -> Vec<&str> {
    orders
        .iter()
        .filter_map(|order| match order {
            WorkerCommand::Start { task, .. } => Some(task.as_str()),
            _ => None,
        })
        .collect()
}

fn halts(orders: &[WorkerCommand]) -> Vec<&str> {
    orders
        .iter()
        .filter_map(|order| match order {
            WorkerCommand::Halt { task, .. } => Some(task.as_str()),
            _ => None,
        })
        .collect()
}

/// A service of one replica, which runs on `a`, and a second machine that has room.
fn with_a_replica_on_a() -> World {
    let mut world = World::new(&["a"]);
    world.submit(service(1, 1));
    world.run_until(SERVICE, 1, secs(10.0));
    world.add_machine("b", "north");
    // It has lived long enough not to count as a failure.
    world.run(secs(40.0));
    assert_eq!(world.machines_of(SERVICE), ["a"]);
    world
}

// Ends.

/// Guards against a replica that is taken for done, or is left ended, for some reason of its end.
#[test]
fn a_replica_that_exits_runs_again_elsewhere_whatever_the_reason() {
    for why in [ExitReason::Done, ExitReason::Error, ExitReason::UnknownTask, ExitReason::Other] {
        let mut world = with_a_replica_on_a();
        world.end("a", SERVICE, why);
        let orders = world.report("a");
        assert!(matches!(orders.first(), Some(WorkerCommand::Forget { .. })), "{why:?}: {orders:?}");
        assert!(starts(&orders).is_empty(), "{why:?}: started where it ended");
        world.run_until(SERVICE, 1, secs(6.0));
        assert_eq!(world.machines_of(SERVICE), ["b"], "{why:?}");
        world.run(secs(30.0));
        assert_eq!(world.fleet.progress(SERVICE).map(|c| (c.done, c.running)), Some((0, 1)), "{why:?}");
        assert!(!world.fleet.jobs[SERVICE].is_complete(), "{why:?}");
        assert_eq!(world.fleet.history.dirty().count(), 0, "{why:?}: in the history");
    }
}

/// Guards against a replica that is lost with its only machine being given up.
#[test]
fn a_replica_without_another_machine_runs_again_on_the_same() {
    let mut world = World::new(&["a"]);
    world.submit(service(1, 1));
    world.run_until(SERVICE, 1, secs(10.0));
    world.end("a", SERVICE, ExitReason::Done);
    world.report("a");
    world.run_until(SERVICE, 1, secs(10.0));
    assert_eq!(world.machines_of(SERVICE), ["a"]);
}

/// Guards against a replica that is forgotten when its machine goes or its lease runs out.
#[test]
fn a_replica_runs_again_when_its_machine_is_lost() {
    let mut returned = with_a_replica_on_a();
    returned.lose("a");
    assert!(returned.run_until(SERVICE, 1, secs(10.0)) <= REPORT + STEP);
    assert_eq!(returned.machines_of(SERVICE), ["b"]);

    let mut restarted = with_a_replica_on_a();
    restarted.silence("a", secs(60.0));
    restarted.run(secs(30.0));
    assert_eq!(restarted.machines_of(SERVICE), ["b"]);
    restarted.run(secs(60.0));
    assert_eq!(restarted.machines_of(SERVICE), ["b"]);
}

/// Guards against a refused or lost start that is taken for a running replica.
#[test]
fn a_start_that_is_refused_or_lost_is_made_again() {
    for why in [ExitReason::NoRoom, ExitReason::AttemptInUse, ExitReason::UnknownTask, ExitReason::Stopped] {
        let mut world = World::new(&["a", "b"]);
        world.failures = vec![Failure { machine: Some("a"), job: SERVICE, why }];
        world.submit(service(1, 1));
        world.run(secs(2.0));
        world.failures.clear();
        world.run_until(SERVICE, 1, secs(15.0));
    }
    let mut world = World::new(&["a"]);
    world.submit(service(1, 1));
    world.pass(STEP);
    let lost = world.answer("a").expect("an answer");
    assert_eq!(starts(&lost), ["wk-000001/0"]);
    world.run_until(SERVICE, 1, secs(10.0));
}

// Never twice.

/// Guards against a second replica beside one on a machine that is only cut off.
#[test]
fn a_replica_on_a_silent_machine_starts_elsewhere_only_after_its_lease() {
    let mut world = with_a_replica_on_a();
    world.report("a");
    let answered = world.now;
    world.silence("a", secs(1000.0));
    let before = world.started.len();
    while world.started.len() == before {
        world.step();
        assert!(world.now - answered < secs(30.0), "not started again");
    }
    let start = &world.started[before];
    assert_eq!(start.machine, "b");
    assert!(start.at - answered > LEASE.scale(1.001), "started after {:?}", start.at - answered);

    // An owner that may have been replaced meanwhile counts no lease.
    let mut unsure = with_a_replica_on_a();
    unsure.report("a");
    for second in 1..60u32 {
        unsure.now = unsure.now + secs(1.0);
        unsure.fleet.tick(unsure.now, unsure.wall());
        assert!(unsure.report("b").is_empty(), "after {second} s");
    }

    // The answer to its return ends the doubt sooner.
    let mut returned = with_a_replica_on_a();
    returned.report("a");
    returned.pass(secs(3.0));
    assert!(returned.report("b").is_empty());
    returned.lose("a");
    returned.pass(STEP);
    assert_eq!(starts(&returned.report("b")), ["wk-000001/0"]);
}

/// A small generator of pseudo-random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }

    fn one_of<'a, T>(&mut self, list: &'a [T]) -> &'a T {
        &list[self.below(list.len())]
    }
}

/// One trouble among the machines of the world.
fn trouble(world: &mut World, random: &mut Random) {
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    let machine = random.one_of(&machines).clone();
    match random.below(6) {
        0 | 1 => {
            let services: Vec<String> = world.services.iter().cloned().collect();
            let service = random.one_of(&services).clone();
            let why = *random.one_of(&[
                ExitReason::Done,
                ExitReason::Error,
                ExitReason::UnknownTask,
                ExitReason::Other,
                ExitReason::Stopped,
            ]);
            if let Some((_, machine)) = world.places(&service).first().cloned() {
                world.end(&machine, &service, why);
            }
        }
        2 => {
            // An answer with whatever it starts is lost.
            world.answer(&machine);
        }
        3 => {
            let time = secs(random.below(60) as f64);
            world.silence(&machine, time);
        }
        4 => world.notice(&machine, secs(10.0 + random.below(20) as f64)),
        _ => {
            let array = *random.one_of(&["wk-000010", "wk-000011"]);
            world.cancel(array);
        }
    }
}

/// Machines that the cloud has taken or that the owner returns go, and others come.
fn replace_machines(world: &mut World, next: &mut u32) {
    let taken = world.workers.iter().filter(|x| x.1.taken_at.is_some_and(|at| at <= world.now));
    let mut lost: Vec<String> = taken.map(|x| x.0.clone()).collect();
    lost.extend(world.fleet.machines_to_scale_in());
    for machine in lost {
        world.lose(&machine);
        *next += 1;
        world.add_machine(&format!("new-{next:03}"), "south");
    }
}

/// Guards against any order of troubles that puts a replica on two machines, or on none for good.
#[test]
fn in_random_troubles_no_replica_runs_twice_and_afterwards_all_run() {
    for seed in 1..=12u64 {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut world = World::new(&["a", "b", "c", "d", "e", "f"]);
        let mut machines_added = 0;
        for (number, replicas) in [(1, 3), (2, 4), (3, 2), (4, 2)] {
            world.submit(service(number, replicas));
        }
        for number in [10, 11, 12] {
            world.submit(array(number, 40));
            world.runs_for.insert(format!("wk-{number:06}"), secs(20.0));
        }
        for step in 0..400 {
            if random.below(8) == 0 {
                trouble(&mut world, &mut random);
            }
            if step == 200 {
                world.cancel("wk-000004");
                world.services.remove("wk-000004");
            }
            replace_machines(&mut world, &mut machines_added);
            world.step();
        }
        for worker in world.workers.values_mut() {
            (worker.taken_at, worker.silent_until) = (None, T0);
        }
        for _ in 0..300 {
            replace_machines(&mut world, &mut machines_added);
            world.step();
        }
        for (number, replicas) in [(1, 3), (2, 4), (3, 2), (4, 0)] {
            let places = world.places(&format!("wk-{number:06}"));
            assert_eq!(places.len(), replicas, "seed {seed}, service {number}: {places:?}");
        }
    }
}

// Failures.

/// Guards against a mistaken service that takes room from others over and over, or is given up.
#[test]
fn a_service_that_fails_everywhere_is_backed_off_up_to_a_minute() {
    let mut world = World::new(&["a", "b", "c", "d"]);
    world.failures = vec![Failure { machine: None, job: SERVICE, why: ExitReason::Error }];
    world.submit(array(2, 16));
    world.run_until(ARRAY, 16, secs(30.0));
    world.submit(service(1, 1));
    world.run(secs(200.0));
    let mut full = 0;
    let before = world.started.len();
    for _ in 0..600 {
        world.step();
        full += usize::from(world.places(ARRAY).len() == 16);
    }
    let starts: Vec<Steady> =
        world.started[before..].iter().filter(|s| job_of(&s.task) == SERVICE).map(|s| s.at).collect();
    assert!((4..=5).contains(&starts.len()), "{} starts within 300 s", starts.len());
    let gaps: Vec<Micros> = starts.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap >= secs(60.0) && *gap <= secs(70.0)), "{gaps:?}");
    assert!(full >= 480, "the array had its room in {full} of 600 steps");
    assert!(world.fleet.machines_to_scale_in().is_empty(), "one mistaken service does not condemn a machine");
}

/// Guards against backing off a service whose replicas run well and end now and then.
#[test]
fn replicas_that_lived_long_are_not_backed_off() {
    let mut world = World::new(&["a", "b"]);
    world.submit(service(1, 1));
    for _ in 0..8 {
        world.run_until(SERVICE, 1, secs(6.0));
        world.run(secs(40.0));
        let machine = world.machines_of(SERVICE)[0].clone();
        world.end(&machine, SERVICE, ExitReason::Done);
        world.report(&machine);
    }
}

/// Guards against a machine at fault that keeps the whole service from running.
#[test]
fn one_failing_machine_does_not_hold_up_replicas_elsewhere() {
    let mut world = World::new(&["a", "b", "c", "d"]);
    world.failures = vec![Failure { machine: Some("a"), job: SERVICE, why: ExitReason::Error }];
    world.submit(service(1, 3));
    world.run_until(SERVICE, 3, secs(8.0));
    assert_eq!(world.machines_of(SERVICE), ["b", "c", "d"]);
    world.run(secs(40.0));
    world.lose("b");
    world.run_until(SERVICE, 3, secs(12.0));
    let on_a = world.started.iter().filter(|start| start.machine == "a").count();
    assert!(on_a <= 2, "{on_a} starts on the machine at fault");
}

// Moves.

/// Fills a machine with tasks of the services' own rank, which have the same image.
fn fill(world: &mut World, machine: &str) {
    world.add_machine(machine, "north");
    world.submit(JobSpec { priority: Priority::Critical, ..array(2, 4) });
    world.run_until(ARRAY, 4, secs(20.0));
}

/// Guards against a replica that is stopped before it can run elsewhere.
#[test]
fn after_a_spot_notice_a_replica_stays_until_another_machine_has_room_and_image() {
    let mut world = World::new(&["a"]);
    world.submit(service(1, 4));
    world.run_until(SERVICE, 4, secs(10.0));
    fill(&mut world, "b");
    world.notice("a", secs(60.0));
    world.run(secs(20.0));
    assert_eq!(world.machines_of(SERVICE).len(), 4, "stopped though nothing has room");
    world.add_machine("c", "north");
    world.run(secs(6.0));
    assert_eq!(world.machines_of(SERVICE), ["a", "a", "a", "a"], "stopped though c lacks the image");
    world.end("b", ARRAY, ExitReason::Done);
    world.report("b");
    world.pass(STEP);
    let direct = world.deliver_direct_commands();
    assert!(!halts(&direct).is_empty(), "not halted by direct command");
    let orders = world.report("a");
    assert!(starts(&orders).is_empty(), "started on the machine that goes");
    let again = world.run_until(SERVICE, 4, secs(20.0));
    assert!(again <= REPORT.scale(2.0), "{again:?}");
    assert!(world.machines_of(SERVICE).contains(&"b".to_string()));
}

/// Guards against a replica that is lost with its machine without having been told to stop.
#[test]
fn at_the_last_moment_of_a_notice_replicas_are_halted_anyway() {
    let mut world = World::new(&["a"]);
    world.submit(service(1, 1));
    world.run_until(SERVICE, 1, secs(10.0));
    let noticed = world.now;
    world.notice("a", secs(30.0));
    while world.machines_of(SERVICE) == ["a"] {
        world.step();
        assert!(world.now - noticed < secs(30.0), "never halted");
    }
    let left = secs(30.0) - (world.now - noticed);
    assert!(left > secs(3.0) && left < secs(6.0), "halted with {left:?} left");
    world.lose("a");
    world.add_machine("b", "north");
    world.run_until(SERVICE, 1, secs(10.0));
}

/// Guards against a replica that waits for two reports: one to carry the halt, one the start.
#[test]
fn a_lower_task_is_halted_at_once_and_its_end_is_answered_with_the_start() {
    let mut world = World::new(&["a"]);
    world.submit(array(2, 4));
    world.run_until(ARRAY, 4, secs(10.0));
    world.run(secs(3.0));
    world.submit(service(1, 1));
    world.pass(Micros::from_millis(50));
    let direct = world.deliver_direct_commands();
    assert_eq!(halts(&direct).len(), 1);
    assert_eq!(job_of(halts(&direct)[0]), ARRAY);
    assert!(world.deliver_direct_commands().is_empty(), "once");
    world.pass(Micros::from_millis(50));
    let orders = world.report("a");
    assert_eq!(starts(&orders), ["wk-000001/0"]);
    world.assert_nothing_runs_twice();
    assert_eq!(world.places(ARRAY).len(), 3);
}

/// A team at its limit of 6 with lower tasks, and a service of it that has just come.
fn service_of_a_team_at_its_limit() -> World {
    let mut world = World::new(&["a", "b"]);
    world.submit(JobSpec { team: "tight".into(), ..array(2, 6) });
    world.run_until(ARRAY, 6, secs(10.0));
    world.run(secs(4.0));
    world.submit(JobSpec { team: "tight".into(), ..service(1, 2) });
    world.pass(Micros::from_millis(50));
    world
}

/// Guards against a service that waits behind lower tasks of its own team.
#[test]
fn within_its_teams_limit_a_service_has_lower_tasks_stopped() {
    let mut world = service_of_a_team_at_its_limit();
    world.run_until(SERVICE, 2, REPORT.scale(2.0) + STEP);
    assert_eq!(world.places(ARRAY).len(), 4);
}

/// Two machines of which `a` reports next, and a service that waits for it.
fn planned_on_a(replicas: u32) -> World {
    let mut world = World::new(&["a", "b"]);
    world.pass(secs(1.0));
    world.report("b");
    world.pass(Micros::from_millis(100));
    world.submit(service(1, replicas));
    world.pass(Micros::from_millis(100));
    world
}

/// Guards against a replica that waits for the planned machine while another reports sooner.
#[test]
fn a_waiting_replica_starts_on_a_machine_that_reports_before_the_planned_one() {
    let mut world = planned_on_a(1);
    world.pass(Micros::from_millis(300));
    assert_eq!(starts(&world.report("b")), ["wk-000001/0"]);
    world.pass(Micros::from_millis(100));
    assert!(world.report("a").is_empty(), "started twice");
}

/// Guards against two replicas on a machine while another machine has room.
#[test]
fn no_replica_starts_early_beside_another_of_its_service() {
    let mut world = planned_on_a(2);
    world.pass(Micros::from_millis(300));
    assert_eq!(starts(&world.report("b")).len(), 1);
    world.pass(Micros::from_millis(300));
    assert!(starts(&world.report("b")).is_empty());
    world.pass(Micros::from_millis(300));
    assert_eq!(starts(&world.report("a")).len(), 1);
}

// Records, status and submissions.

/// Guards against replicas that an earlier version took for done and that would never run again.
#[test]
fn done_ranges_of_a_service_are_not_believed_and_are_removed() {
    let mut fleet = Fleet::new(config(), types(), TOKEN, T0);
    fleet.apply_job_record(record(service(1, 3)), 1, T0);
    fleet.inherit_done(SERVICE, 0, "0-2", 5);
    assert_eq!(fleet.progress(SERVICE).map(|c| c.done), Some(0));
    assert_eq!(fleet.jobs[SERVICE].waiting.len(), 3);
    let pending = fleet.pending_writes(T0, Micros::ZERO, 1000);
    assert!(
        !pending.iter().any(|p| matches!(p, PendingWrite::Final(_) | PendingWrite::Done(..))),
        "{pending:?}"
    );
    assert!(pending.contains(&PendingWrite::OrphanedDoneChunk("done/wk-000001/0".into(), 5)), "{pending:?}");
}

/// Guards against a new owner that starts replicas which may run on a machine it has not heard.
#[test]
fn after_a_takeover_started_replicas_wait_for_the_machines_that_may_hold_them() {
    let mut fleet = Fleet::new(config(), types(), TOKEN, T0);
    let machine = MachineRecord {
        fencing_token: 1,
        machine_type: "small".into(),
        zone: "north".into(),
        ..MachineRecord::default()
    };
    fleet.inherit_machine("a", &machine, 0, T0);
    fleet.inherit_machine("b", &machine, 0, T0);
    fleet.apply_job_record(JobRecord { start_mark: 2, ..record(service(1, 2)) }, 1, T0);
    let mut orders_to_b = |sequence: u64, after: Micros| {
        let now = T0 + after;
        fleet.tick(now, Wall(now.0));
        match fleet.check_in(&report("b", sequence, TOKEN, &[]), now, Wall(now.0)) {
            HeartbeatOutcome::Reply(reply) => reply.commands,
            other => panic!("not answered: {other:?}"),
        }
    };
    assert!(orders_to_b(1, secs(0.5)).is_empty());
    assert!(orders_to_b(2, secs(2.0)).is_empty());
    let now = T0 + secs(2.5);
    let there = [("wk-000001/0", 3, TaskStage::Running, None)];
    fleet.check_in(&report("a", 1, TOKEN, &there), now, Wall(now.0));
    let now = T0 + secs(3.0);
    fleet.tick(now, Wall(now.0));
    let HeartbeatOutcome::Reply(reply) = fleet.check_in(&report("b", 3, TOKEN, &[]), now, Wall(now.0)) else {
        panic!("not answered");
    };
    assert_eq!(starts(&reply.commands), ["wk-000001/1"]);
}

/// Guards against a service whose missing replicas nobody sees.
#[test]
fn the_status_counts_wanted_and_running_replicas() {
    let mut world = World::new(&["a"]);
    world.submit(service(1, 6));
    world.run(secs(12.0));
    let status = world.fleet.status(None, world.now, world.wall());
    let job = &status.jobs[0];
    assert_eq!((job.wanted, job.running, job.placed, job.waiting, job.done), (6, 4, 4, 2, 0));
    world.end("a", SERVICE, ExitReason::Done);
    world.report("a");
    assert_eq!(world.fleet.progress(SERVICE).map(|c| (c.done, c.running)), Some((0, 3)));
}

fn submission(shape: &str) -> Value {
    json!({
        "nameId": "wk-000001", "grain": "feed", "owner": "tight", "shape": shape, "rank": "critical",
        "kernels": 6, "cpus": 1.0, "cards": 0.0, "ramGb": 1.6, "seed": "img", "pullGb": 1.0,
        "breeds": null, "field": null, "oneZone": false, "spread": false, "gleanings": false,
        "expectS": 0.0, "stashEveryS": 0.0, "stashS": 0.0, "dueS": null
    })
}

fn parse(submission: &Value) -> Result<JobSpec, String> {
    JobSpec::parse(submission.to_string().as_bytes()).map_err(|e| e.to_string())
}

/// Guards against refusing services for their run time, and against accepting any other field's fault.
#[test]
fn a_service_is_accepted_with_any_run_time_and_checked_like_any_job() {
    for seconds in [0.0, 20.0] {
        let mut service = submission("daemon");
        service["expectS"] = json!(seconds);
        assert!(parse(&service).is_ok(), "expectS {seconds}");
    }
    assert!(parse(&submission("batch")).is_err(), "an array without a run time");
    for field in ["expectS", "kernels", "cpus", "shape", "rank", "owner", "stashS", "spread"] {
        let mut service = submission("daemon");
        service.as_object_mut().expect("an object").remove(field);
        assert!(parse(&service).is_err_and(|reason| reason.contains(field)), "without {field}");
    }
    for field in ["expectS", "cpus", "ramGb", "pullGb", "stashEveryS", "stashS"] {
        let mut service = submission("daemon");
        service[field] = json!(-1.0);
        assert!(parse(&service).is_err_and(|reason| reason.contains(field)), "{field} below 0");
    }
}

/// Guards against a service that would never run whole.
#[test]
fn a_service_whose_replicas_together_exceed_the_teams_limit_never_runs() {
    let with = |shape: &str, replicas: u32| {
        let mut submission = submission(shape);
        (submission["kernels"], submission["expectS"]) = (json!(replicas), json!(20.0));
        never_runs(&parse(&submission).expect("a good description"), &config(), &types())
    };
    assert_eq!(with("daemon", 6), None);
    assert!(with("daemon", 7).is_some_and(|reason| reason.contains("limit")));
    assert_eq!(with("batch", 7), None, "an array gets on with one task at a time");
}

/// Guards against a start that waits for a report, and against holding back news of other tasks.
#[test]
fn only_reports_of_nothing_but_running_replicas_may_be_answered_late() {
    let mut world = World::new(&["a"]);
    world.submit(service(1, 1));
    world.run_until(SERVICE, 1, secs(10.0));
    assert!(!world.fleet.may_defer_reply("a", world.now), "its start has just left");
    world.pass(STEP);
    world.report("a");
    assert!(world.fleet.may_defer_reply("a", world.now));
    world.submit(array(2, 1));
    world.run_until(ARRAY, 1, secs(10.0));
    world.run(secs(4.0));
    assert!(!world.fleet.may_defer_reply("a", world.now), "another's task is there");
    world.end("a", ARRAY, ExitReason::Done);
    world.run(secs(4.0));
    assert!(world.fleet.may_defer_reply("a", world.now));
    world.notice("a", secs(60.0));
    world.report("a");
    assert!(!world.fleet.may_defer_reply("a", world.now), "its machine is about to go");
}

/// Guards against a second replica on a machine that reports again before the next plan, as workers
/// do as soon as a start has reached them.
#[test]
fn a_machine_that_reports_again_before_the_next_plan_gets_no_second_replica() {
    let mut world = World::new(&["a", "b"]);
    world.submit(service(1, 2));
    world.pass(STEP);
    assert_eq!(starts(&world.report("a")).len(), 1);
    world.now = world.now + Micros::from_millis(5);
    assert!(starts(&world.report("a")).is_empty(), "both replicas on one machine");
    world.pass(STEP);
    assert_eq!(starts(&world.report("b")).len(), 1);
}

/// Guards against a service of which most replicas are in one zone, since those that run are not
/// counted when places for the others are chosen.
#[test]
fn running_replicas_count_where_zones_are_chosen() {
    let north = ["n1", "n2", "n3", "n4"];
    let south = ["s1", "s2", "s3", "s4"];
    let mut world = World::new(&north);
    for machine in south {
        world.add_machine(machine, "south");
    }
    world.submit(service(1, 4));
    world.pass(STEP);
    for machine in north.iter().chain(&south) {
        world.report(machine);
        world.pass(Micros::from_millis(30));
    }
    let in_south = world.machines_of(SERVICE).iter().filter(|m| m.starts_with('s')).count();
    assert_eq!((world.places(SERVICE).len(), in_south), (4, 2), "{:?}", world.machines_of(SERVICE));
}

/// Guards against stopping all replicas of a machine that is to go where there is room for one.
#[test]
fn no_more_replicas_move_than_other_machines_have_room_for() {
    let mut world = World::new(&["a"]);
    world.submit(service(1, 4));
    world.run_until(SERVICE, 4, secs(10.0));
    fill(&mut world, "b");
    world.notice("a", secs(60.0));
    world.run(secs(4.0));
    world.end("b", ARRAY, ExitReason::Done);
    world.report("b");
    world.pass(STEP);
    let direct = world.deliver_direct_commands();
    assert_eq!(halts(&direct).len(), 1);
}

/// Guards against a service that, after some days, waits a minute for every replica that it lost,
/// since each start that failed in all that time still counts.
#[test]
fn failures_that_are_far_apart_do_not_add_up() {
    let mut world = World::new(&["a", "b", "c"]);
    world.submit(service(1, 2));
    world.run_until(SERVICE, 2, secs(10.0));
    let mut waits = Vec::new();
    for _ in 0..8 {
        world.run(secs(600.0));
        // A replica is stopped, fails when it starts again, and runs well from then on.
        let machine = world.machines_of(SERVICE)[0].clone();
        world.failures = vec![Failure { machine: None, job: SERVICE, why: ExitReason::Error }];
        let before = world.started.len();
        world.end(&machine, SERVICE, ExitReason::Stopped);
        while world.started.len() == before {
            world.step();
        }
        world.failures.clear();
        waits.push(world.run_until(SERVICE, 2, secs(90.0)));
    }
    assert!(waits.iter().all(|wait| *wait < secs(10.0)), "{waits:?}");
}

/// Guards against a replica that waits for a report of each of its team's lower tasks.
#[test]
fn stops_within_a_teams_limit_are_direct_commands_too() {
    let mut world = service_of_a_team_at_its_limit();
    assert_eq!(halts(&world.deliver_direct_commands()).len(), 2);
}
