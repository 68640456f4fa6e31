//! Owners of the version in production and of this one take over from each other, at any point between
//! two transactions, while the state service's limits fall. After every transaction a plain model
//! checks that no record that was written is lost.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Add;
use std::sync::Arc;

use common::store::Store;
use common::{config, config_with_falling_limits, production, report, spec, types};
use milletlock::config::Config;
use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::jobs::JobId;
use milletlock::leadership::{self, Batch, SHARD_KEY};
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Change, Guard, Txn};
use rand::{rngs::StdRng, Rng, SeedableRng};
use serde_json::{json, Value};

/// What the state service takes.
#[derive(Clone, Copy)]
struct ServiceLimits {
    value_bytes: usize,
    txn_ops: usize,
}

const LARGE: ServiceLimits = ServiceLimits { value_bytes: 4096, txn_ops: 8 };
const SMALL: ServiceLimits = ServiceLimits { value_bytes: 1024, txn_ops: 4 };
/// The time of day when a simulation begins.
const WALL: Wall = Wall(1_790_000_000_000_000);
/// Rounds of writing after which an owner with nothing new to write must have come to rest.
const ROUNDS_TO_REST: u32 = 2000;

/// More transactions than an owner composes at once.
const TRANSACTIONS_OF_A_ROUND: usize = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Version {
    Production,
    Present,
}

enum Owner {
    Production(Box<production::Owner>),
    Present(Box<Fleet>),
}

/// The state service's answer to a transaction.
#[derive(Debug)]
enum Answer {
    TxnOutcome(u64),
    /// These keys have changed.
    Refused(Vec<String>),
    TooLarge,
}

/// What was in the records once and has to stay there.
#[derive(Default)]
struct Model {
    /// The highest mark of each job that is not over.
    marks: BTreeMap<String, u32>,
    /// Machines that were enrolled and not returned.
    enrolled: BTreeSet<String>,
    returned: BTreeSet<String>,
    /// Done tasks of each job that is not over.
    done: BTreeMap<String, BTreeSet<u32>>,
}

impl Model {
    /// Checks what a transaction left against what was there after every earlier one.
    fn check(&mut self, store: &Store, txn: &Txn) {
        let touched: Vec<&str> = txn.then.iter().map(key_of).collect();
        let touches = |prefix: &str| touched.iter().any(|key| key.starts_with(prefix));
        let live = |id: &str| store.keys.contains_key(&format!("job/{id}"));
        if touches("job/") {
            self.marks.retain(|id, _| live(id));
            self.done.retain(|id, _| live(id));
        }
        if touches("marks/") {
            self.check_marks(production::marks_in(store), live);
        }
        if touches("machines/") {
            self.check_machines(production::machines_in(store));
        }
        let jobs_of_chunks = touched.iter().filter_map(|key| key.strip_prefix("done/")?.split('/').next());
        for id in jobs_of_chunks.filter(|id| live(id)) {
            self.check_done(id, production::done_in(store, id));
        }
    }

    fn check_marks(&mut self, marks: BTreeMap<String, u32>, live: impl Fn(&str) -> bool) {
        for (id, highest) in &self.marks {
            let mark = marks.get(id);
            assert!(mark >= Some(highest), "the mark of {id} was {highest} and is {mark:?}");
        }
        self.marks.extend(marks.into_iter().filter(|(id, _)| live(id)));
    }

    fn check_machines(&mut self, machines: BTreeSet<String>) {
        let missing: Vec<&String> = self.enrolled.difference(&machines).collect();
        assert!(missing.is_empty(), "machines are missing: {missing:?}");
        self.enrolled.extend(machines.difference(&self.returned).cloned());
    }

    fn check_done(&mut self, id: &str, done: BTreeSet<u32>) {
        let earlier = self.done.entry(id.into()).or_default();
        assert!(earlier.is_subset(&done), "done tasks of {id} are lost");
        *earlier = done;
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put { put, .. } => put,
        Change::Drop { drop } => drop,
    }
}

struct World {
    rng: StdRng,
    store: Store,
    service: ServiceLimits,
    cfg: Arc<Config>,
    /// The limit that this version's owners were told of, within which all their values must be.
    announced: ServiceLimits,
    owner: Owner,
    shard_revision: u64,
    fencing_token: u64,
    now: Steady,
    model: Model,
    /// Transactions of owners that ended, and of this one, that are still on their way.
    late: Vec<Txn>,
    /// Ends of jobs that the owner has not heard of, with their revisions.
    news: Vec<(String, u64)>,
    machines: u32,
    jobs: u32,
    /// Share of this version's transactions that it gets no answer to.
    unanswered: f64,
    rejected: u32,
    met: Met,
}

/// What a history met, summed up over all of them.
#[derive(Clone, Copy, Debug, Default)]
struct Met {
    machines: usize,
    jobs: usize,
    done: usize,
    /// Late transactions of owners that had ended.
    late: usize,
    /// Values above the small limit when the limits fell.
    oversized: usize,
}

impl Add for Met {
    type Output = Met;

    fn add(self, other: Met) -> Met {
        Met {
            machines: self.machines + other.machines,
            jobs: self.jobs + other.jobs,
            done: self.done + other.done,
            late: self.late + other.late,
            oversized: self.oversized + other.oversized,
        }
    }
}

impl World {
    fn new(seed: u64, cfg: Arc<Config>, announced: ServiceLimits) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            store: Store::default(),
            service: LARGE,
            cfg,
            announced,
            owner: Owner::Production(Box::new(production::Owner::load(0, 0, LARGE.value_bytes, &[]))),
            shard_revision: 0,
            fencing_token: 0,
            now: Steady(1_000_000_000),
            model: Model::default(),
            late: Vec::new(),
            news: Vec::new(),
            machines: 0,
            jobs: 0,
            unanswered: 0.0,
            rejected: 0,
            met: Met::default(),
        };
        world.take_over(Version::Production);
        world
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn wall(&self) -> Wall {
        Wall(WALL.0 + self.now.0)
    }

    /// What the state service does with a transaction. The model checks what it left.
    fn submit(&mut self, txn: &Txn) -> Answer {
        let too_large = |c: &Change| match c {
            Change::Put { value, .. } => value.to_string().len() > self.service.value_bytes,
            Change::Drop { .. } => false,
        };
        if txn.then.len() > self.service.txn_ops || txn.then.iter().any(too_large) {
            return Answer::TooLarge;
        }
        match self.store.txn(txn) {
            Ok(revision) => {
                self.model.check(&self.store, txn);
                Answer::TxnOutcome(revision)
            }
            Err(failed) => Answer::Refused(failed),
        }
    }

    /// A transaction of a user or of a claim, which is never refused.
    fn must_apply(&mut self, guards: Vec<Guard>, then: Vec<Change>) -> u64 {
        match self.submit(&Txn { guards, then }) {
            Answer::TxnOutcome(revision) => revision,
            other => panic!("not applied: {other:?}"),
        }
    }

    /// The owner ends at once and another takes over.
    fn take_over(&mut self, version: Version) {
        self.fencing_token += 1;
        self.news.clear();
        self.shard_revision =
            self.must_apply(vec![], vec![Change::put(SHARD_KEY, json!({ "token": self.fencing_token }))]);
        let rows: Vec<_> = ["recent", "job/", "machine", "marks/", "done/", "hist/"]
            .iter()
            .flat_map(|prefix| self.store.rows(prefix))
            .collect();
        self.owner = match version {
            Version::Production => {
                let value_bytes = LARGE.value_bytes;
                let owner =
                    production::Owner::load(self.shard_revision, self.fencing_token, value_bytes, &rows);
                Owner::Production(Box::new(owner))
            }
            Version::Present => {
                let mut fleet = Fleet::new(self.cfg.clone(), types(), self.fencing_token, self.now);
                leadership::load_records(&mut fleet, rows, self.now, self.wall());
                fleet.advance_jobs_revision(self.store.revision);
                Owner::Present(Box::new(fleet))
            }
        };
    }

    /// The owner writes at most so many transactions of what waits; how many it did.
    fn write(&mut self, most: usize) -> usize {
        self.now = self.now + Micros(4_000_000);
        let (now, wall) = (self.now, self.wall());
        match &mut self.owner {
            Owner::Production(_) => (0..most).take_while(|_| self.write_production()).count(),
            Owner::Present(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                let pending = fleet.pending_writes(now, Micros::ZERO, chunk);
                let ops = fleet.max_txn_changes();
                let batches = leadership::batches(fleet, self.shard_revision, pending, ops, now, wall);
                batches.iter().take(most).take_while(|b| self.write_batch(b)).count()
            }
        }
    }

    /// One transaction of the production version's owner; false if nothing waits.
    fn write_production(&mut self) -> bool {
        let Owner::Production(owner) = &mut self.owner else { return false };
        let Some(txn) = owner.next_write() else { return false };
        let answer = self.submit(&txn);
        let Owner::Production(owner) = &mut self.owner else { return false };
        match answer {
            Answer::TxnOutcome(revision) => owner.written(revision),
            Answer::Refused(failed) => owner.refused(&failed),
            Answer::TooLarge => panic!("production's own value is too large: {txn:?}"),
        }
        true
    }

    /// One transaction of this version's owner, as its writer handles the answer; false if the round ends.
    fn write_batch(&mut self, batch: &Batch) -> bool {
        for change in &batch.txn.then {
            if let Change::Put { put, value, .. } = change {
                let bytes = value.to_string().len();
                assert!(bytes <= self.announced.value_bytes, "{put} was written with {bytes} bytes");
            }
        }
        assert!(batch.txn.then.len() <= self.announced.txn_ops, "{:?}", batch.txn.then);
        let unanswered = self.unanswered;
        if self.chance(unanswered) {
            if self.chance(0.5) {
                self.submit(&batch.txn);
            } else {
                self.late.push(batch.txn.clone());
            }
            self.read_back(batch.txn.guards.iter().map(|g| &g.key));
            return false;
        }
        match self.submit(&batch.txn) {
            Answer::TxnOutcome(revision) => {
                let Owner::Present(fleet) = &mut self.owner else { return false };
                batch.items.iter().for_each(|(p, said)| fleet.write_applied(p, revision, said, self.now));
                true
            }
            Answer::Refused(failed) => {
                self.read_back(failed.iter());
                true
            }
            Answer::TooLarge => {
                self.rejected += 1;
                let Owner::Present(fleet) = &mut self.owner else { return false };
                fleet.write_rejected();
                false
            }
        }
    }

    fn read_back<'a>(&mut self, keys: impl Iterator<Item = &'a String>) {
        let Owner::Present(fleet) = &mut self.owner else { return };
        for key in keys.filter(|key| *key != SHARD_KEY) {
            leadership::update_from_store(fleet, key, self.store.row(key), self.now);
        }
    }

    /// Writes until nothing waits.
    fn write_to_rest(&mut self) {
        for _ in 0..ROUNDS_TO_REST {
            let rejected = self.rejected;
            if self.write(TRANSACTIONS_OF_A_ROUND) == 0 && self.rejected == rejected && self.at_rest() {
                return;
            }
        }
        panic!("the owner writes without end");
    }

    fn at_rest(&mut self) -> bool {
        match &mut self.owner {
            Owner::Production(owner) => owner.next_write().is_none(),
            Owner::Present(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                fleet.pending_writes(self.now + Micros(20_000_000), Micros::ZERO, chunk).is_empty()
            }
        }
    }

    /// A transaction that was on its way arrives. One of an owner that ended must change nothing.
    fn late_arrives(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.late.len());
        let txn = self.late.remove(at);
        let present = txn.guards.iter().any(|g| g.key == SHARD_KEY && g.mod_revision == self.shard_revision);
        self.met.late += usize::from(!present);
        let answer = self.submit(&txn);
        assert!(
            present || !matches!(answer, Answer::TxnOutcome(_)),
            "a late transaction was executed: {txn:?}"
        );
    }

    /// A user submits a job.
    fn submit_job(&mut self) {
        self.jobs += 1;
        let tasks =
            if self.chance(0.5) { self.rng.random_range(1..40) } else { self.rng.random_range(500..3000) };
        let spec = spec(self.jobs, tasks, "batch");
        let key = format!("job/{}", spec.id);
        let record = json!({ "spec": spec, "submitted_us": self.wall().0 });
        let mod_revision = self.must_apply(
            vec![Guard { key: key.clone(), mod_revision: 0 }],
            vec![Change::put(key, record.clone())],
        );
        match &mut self.owner {
            Owner::Production(owner) => owner.job_put(&parsed(record), mod_revision),
            Owner::Present(fleet) => fleet.apply_job_record(parsed(record), mod_revision, self.now),
        }
    }

    /// A user withdraws a job; an owner of this version may hear of it later.
    fn cancel_job(&mut self) {
        let Some(id) = self.some_job() else { return };
        let key = format!("job/{id}");
        let guard = Guard { key: key.clone(), mod_revision: self.store.mod_revision(&key) };
        let over = json!({ "stage": "cancelled", "tasks": 1 });
        let revision =
            self.must_apply(vec![guard], vec![Change::drop(key), Change::put(format!("final/{id}"), over)]);
        match &mut self.owner {
            Owner::Production(owner) => owner.job_over(&id),
            Owner::Present(_) => self.news.push((id, revision)),
        }
    }

    fn hear_news(&mut self) {
        let news = std::mem::take(&mut self.news);
        if let Owner::Present(fleet) = &mut self.owner {
            news.iter().for_each(|(id, revision)| fleet.job_ended(id, *revision));
        }
    }

    fn some_job(&mut self) -> Option<String> {
        let jobs = || self.store.keys.keys().filter_map(|key| key.strip_prefix("job/"));
        let at = self.rng.random_range(0..jobs().count().max(1));
        jobs().nth(at).map(String::from)
    }

    fn enrol_machine(&mut self) {
        self.machines += 1;
        let id = format!("i-{:05}", self.machines);
        match &mut self.owner {
            Owner::Production(owner) => owner.enrol(&id),
            Owner::Present(fleet) => {
                let wall = Wall(WALL.0 + self.now.0);
                let answer = fleet.check_in(&report(&id, 1, 0, &[]), self.now, wall);
                assert!(matches!(answer, HeartbeatOutcome::Reply(_)), "{answer:?}");
            }
        }
    }

    fn return_machine(&mut self) {
        let at = self.rng.random_range(0..self.model.enrolled.len().max(1));
        let Some(id) = self.model.enrolled.iter().nth(at).cloned() else { return };
        self.model.enrolled.remove(&id);
        self.model.returned.insert(id.clone());
        match &mut self.owner {
            Owner::Production(owner) => owner.returned(&id),
            Owner::Present(fleet) => fleet.machines_scaled_in(&[id], self.now),
        }
    }

    fn raise_mark(&mut self) {
        let Some(id) = self.some_job() else { return };
        let mark = self.rng.random_range(1..3000);
        match &mut self.owner {
            Owner::Production(owner) => owner.raise(&id, mark),
            Owner::Present(fleet) => {
                if let Some(job) = fleet.jobs.get_mut(id.as_str()) {
                    job.wanted_start_mark = job.wanted_start_mark.max(mark);
                }
            }
        }
    }

    /// Some tasks of a job are done, now and then all of them.
    fn finish_tasks(&mut self) {
        let Some(id) = self.some_job() else { return };
        let all = self.chance(0.15);
        let from = if all { 0 } else { self.rng.random_range(0..2500) };
        let count = if all { 3000 } else { self.rng.random_range(1..300) };
        let step = if all { 1 } else { self.rng.random_range(1..3) };
        let tasks = (from..from + count).step_by(step);
        match &mut self.owner {
            Owner::Production(owner) => tasks.for_each(|task| owner.done(&id, task)),
            Owner::Present(fleet) => finish(fleet, &id.as_str().into(), tasks),
        }
    }

    /// Something happens: work for the owner, a user's wish, or a late transaction.
    fn work(&mut self) {
        match self.rng.random_range(0..14) {
            0..=3 => (0..8).for_each(|_| self.enrol_machine()),
            4 => self.return_machine(),
            5..=6 => (0..5).for_each(|_| self.submit_job()),
            7 => self.cancel_job(),
            8..=9 => (0..5).for_each(|_| self.raise_mark()),
            10..=11 => self.finish_tasks(),
            12 => self.hear_news(),
            _ => self.late_arrives(),
        }
    }

    /// The owner ends with some of what it had composed on its way: one may still be executed before the
    /// next owner's claim, the others arrive late.
    fn crash(&mut self) {
        let mut on_their_way: Vec<Txn> = match &mut self.owner {
            Owner::Production(owner) => owner.next_write().into_iter().collect(),
            Owner::Present(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                let pending = fleet.pending_writes(self.now, Micros::ZERO, chunk);
                let ops = fleet.max_txn_changes();
                let wall = Wall(WALL.0 + self.now.0);
                let batches = leadership::batches(fleet, self.shard_revision, pending, ops, self.now, wall);
                batches.into_iter().map(|b| b.txn).collect()
            }
        };
        if !on_their_way.is_empty() && self.chance(0.4) {
            let first = on_their_way.remove(0);
            self.submit(&first);
        }
        self.late.extend(on_their_way);
    }

    /// An owner of this version tidies up; nothing may be left above the limit or of jobs that are over.
    fn end(&mut self) {
        self.unanswered = 0.0;
        self.take_over(Version::Present);
        self.write_to_rest();
        while !self.late.is_empty() {
            self.late_arrives();
        }
        for prefix in ["machines/", "marks/"] {
            for row in self.store.rows(prefix) {
                let bytes = row.value.to_string().len();
                assert!(bytes <= SMALL.value_bytes, "{} is left with {bytes} bytes", row.key);
            }
        }
        let live = |id: &str| self.store.keys.contains_key(&format!("job/{id}"));
        for row in self.store.rows("done/") {
            let id = row.key.split('/').nth(1).expect("a job's id");
            assert!(live(id), "{} is left of a job that is over", row.key);
        }
        assert!(production::marks_in(&self.store).keys().all(|id| live(id)), "marks of jobs that are over");
    }
}

fn parsed<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("a record")
}

fn finish(fleet: &mut Fleet, id: &JobId, tasks: impl Iterator<Item = u32>) {
    let Some(job) = fleet.jobs.get_mut(id) else { return };
    for task in tasks.filter(|&task| task < job.spec.tasks).collect::<Vec<_>>() {
        job.done.insert(task);
        job.waiting.remove(task);
    }
}

fn falling() -> Arc<Config> {
    config_with_falling_limits(4.0, 1.0)
}

/// Production's owner leaves values near its limit: machines, marks and done ranges.
fn full_values(seed: u64, cfg: Arc<Config>, announced: ServiceLimits) -> World {
    let mut world = World::new(seed, cfg, announced);
    let (machines, jobs) = (world.rng.random_range(20..100), world.rng.random_range(50..300));
    (0..machines).for_each(|_| world.enrol_machine());
    (0..jobs).for_each(|_| world.submit_job());
    (0..jobs * 3).for_each(|_| world.raise_mark());
    (0..5).for_each(|_| world.finish_tasks());
    world.write_to_rest();
    world
}

fn largest(world: &World, prefix: &str) -> usize {
    world.store.rows(prefix).iter().map(|r| r.value.to_string().len()).max().unwrap_or(0)
}

/// Guards against records that are in no value while a value above the coming limit is split, wherever
/// in the middle its owner ends, and whichever version takes over then.
#[test]
fn large_values_are_split_with_every_record_in_some_value_at_any_moment() {
    for seed in 0..10 {
        for next in [Version::Production, Version::Present] {
            let mut world = full_values(seed, falling(), SMALL);
            assert!(largest(&world, "machines/") > SMALL.value_bytes, "seed {seed}");
            // Each owner of this version ends a transaction later than the one before.
            for transactions in 0..10 {
                world.take_over(Version::Present);
                for _ in 0..transactions {
                    world.raise_mark();
                    world.write(1);
                }
                world.crash();
                world.take_over(next);
                let few = world.rng.random_range(0..3);
                world.raise_mark();
                world.enrol_machine();
                world.write(few);
            }
            world.service = SMALL;
            world.end();
            assert_eq!(world.rejected, 0);
        }
    }
}

/// Random histories, and threads that play them.
const SEEDS: u64 = 300;
const THREADS: usize = 4;

/// How many values are above the small limit.
fn oversized(world: &World) -> usize {
    let rows = ["machines/", "marks/", "done/"].iter().flat_map(|prefix| world.store.rows(prefix));
    rows.filter(|r| r.value.to_string().len() > SMALL.value_bytes).count()
}

/// One random history: owners of both versions, then, after the limits fell, of this one alone.
fn play(seed: u64) -> World {
    let mut world = World::new(seed, falling(), SMALL);
    world.unanswered = 0.08;
    let steps = 110;
    let falls = world.rng.random_range(50..steps - 20);
    for step in 0..steps {
        if step == falls {
            world.crash();
            world.service = SMALL;
            world.met.oversized = oversized(&world);
            world.take_over(Version::Present);
        } else if world.chance(0.1) {
            world.crash();
            let new = step > falls || world.chance(0.5);
            world.take_over(if new { Version::Present } else { Version::Production });
        } else if world.chance(0.5) {
            let most = world.rng.random_range(1..5);
            world.write(most);
        } else {
            world.work();
        }
    }
    world.end();
    assert_eq!(world.rejected, 0, "seed {seed}: a write was too large for the announced limits");
    world
}

/// Guards against any record lost between the versions, in whatever order their owners come, end and
/// have transactions arrive late.
#[test]
fn nothing_is_lost_between_versions_whatever_the_order_of_owners() {
    let met = |seed: u64| {
        let world = play(seed);
        Met {
            machines: world.model.enrolled.len(),
            jobs: world.model.marks.len(),
            done: world.model.done.values().map(BTreeSet::len).sum(),
            ..world.met
        }
    };
    let play_all = |first: u64| (first..SEEDS).step_by(THREADS).map(met).fold(Met::default(), Met::add);
    let met = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS as u64).map(|first| scope.spawn(move || play_all(first))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("all seeds pass"))
            .fold(Met::default(), Met::add)
    });
    // The histories meet what they are for.
    assert!(met.machines > 5_000 && met.jobs > 1_000 && met.done > 20_000, "{met:?}");
    assert!(met.late > 500 && met.oversized > 100, "{met:?}");
}

/// Guards against values that stay too large, or records lost, when the limits fall below all that was
/// announced: values are halved until the service takes them.
#[test]
fn rejected_values_are_halved_with_every_record_in_some_value_at_any_moment() {
    for seed in 0..20 {
        let mut world = full_values(seed, config(), LARGE);
        world.take_over(Version::Present);
        (0..40).for_each(|_| world.enrol_machine());
        (0..20).for_each(|_| world.raise_mark());
        world.write(1);
        world.service = SMALL;
        (0..40).for_each(|_| world.enrol_machine());
        (0..20).for_each(|_| world.raise_mark());
        (0..5).for_each(|_| world.finish_tasks());
        world.write_to_rest();
        assert!((1..=6).contains(&world.rejected), "seed {seed}: {} rejections", world.rejected);
        for prefix in ["machines/", "marks/"] {
            assert!(largest(&world, prefix) <= SMALL.value_bytes, "seed {seed}: {prefix}");
        }
        let Owner::Present(fleet) = &mut world.owner else { panic!("the owner is of this version") };
        assert!(fleet.machines.values().all(|m| m.registered), "seed {seed}");
        assert!(fleet.max_value_bytes() <= SMALL.value_bytes && fleet.max_txn_changes() >= 4, "seed {seed}");
        assert!(fleet
            .pending_writes(world.now, Micros::ZERO, 64)
            .iter()
            .all(|p| !matches!(p, PendingWrite::Machines(_))));
    }
}
