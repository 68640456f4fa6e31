//! Two faults at once: one scenario for each combination of faults in docs/safety.md, in the order and
//! with the number of its table. Time is a number that the scenarios push on; nothing here is random.
//!
//! Combinations 4, 10 and 17 take whole controllers: see cancellation_in_outage.rs.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::clock::{at, wall};
use common::controllers::Controller;
use common::store::{submission, take_due, Store};
use common::worker::{assert_placement, job_of, Attempt, Task, WorkerState};
use common::{config_with, record, spec, LEASE, TIGHT_LIMIT};
use milletlock::config::Config;
use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::keys::{final_key, job_key};
use milletlock::leadership::{self, Batch};
use milletlock::records::JobRecord;
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{
    Change, ExitReason, Guard, Heartbeat, HeartbeatReply, JobSpec, Priority, Shape, Stage, TaskStage, Txn,
    WorkerCommand,
};
use serde_json::json;

const STEP: f64 = 0.5;
/// What passes between a worker and the controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    /// Everything.
    Up,
    /// Nothing.
    Down,
    /// Direct commands and what they return; no report.
    CommandsOnly,
    /// Reports; no answer and no direct command.
    ReportsOnly,
}

/// A worker with all that is done to its messages.
struct Worker {
    state: WorkerState,
    due: f64,
    /// The owner to which it reports.
    to: usize,
    link: Link,
    /// Whether it reports at once.
    changed: bool,
}

/// A kind of writes.
type WriteKind = fn(&PendingWrite) -> bool;

/// A controller that has claimed everything.
struct Owner {
    controller: Controller,
    alive: bool,
    /// Inside a zone that may be cut off.
    zone: Option<&'static str>,
    /// When it last saw the jobs' changes.
    view: f64,
    /// The next transaction with such a write gets no answer and is carried out so much later.
    unanswered: Option<(f64, WriteKind)>,
}

/// A simulation of the state service, controllers and workers, which checks the rules from outside.
struct Scenario {
    cfg: Arc<Config>,
    /// Seconds since the beginning.
    seconds: f64,
    store: Store,
    owners: Vec<Owner>,
    workers: Vec<Worker>,
    specs: BTreeMap<String, JobSpec>,
    /// How long tasks run, by job or by task.
    lengths: BTreeMap<String, f64>,
    /// The zone that is cut off from all else.
    cut_zone: Option<&'static str>,
    /// Whether the state service answers, and whether the cloud answers returns.
    state_up: bool,
    cloud_up: bool,
    late_transactions: Vec<(Steady, Txn)>,
    /// How late transactions went: their revision, or the keys whose guards failed.
    late_results: Vec<Result<u64, Vec<String>>>,
    starts: BTreeMap<String, u32>,
    begun: BTreeMap<String, f64>,
    finished: BTreeSet<String>,
    cancelled: BTreeMap<String, f64>,
    finals: BTreeMap<String, Stage>,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario::with(|_| ())
    }

    /// With other settings of the platform.
    fn with(change: impl FnOnce(&mut serde_json::Value)) -> Scenario {
        Scenario {
            cfg: config_with(change),
            seconds: 0.0,
            store: Store::default(),
            owners: Vec::new(),
            workers: Vec::new(),
            specs: BTreeMap::new(),
            lengths: BTreeMap::new(),
            cut_zone: None,
            state_up: true,
            cloud_up: true,
            late_transactions: Vec::new(),
            late_results: Vec::new(),
            starts: BTreeMap::new(),
            begun: BTreeMap::new(),
            finished: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            finals: BTreeMap::new(),
        }
    }

    /// A first owner and small machines, four processors each, all heard and enrolled.
    fn begin_with(&mut self, zones: &[&'static str]) {
        self.take_over(None);
        zones.iter().enumerate().for_each(|(n, z)| self.add_machine(n as u32 + 1, z));
        self.run(4.0);
        assert!(self.fleet().machines.values().all(|m| m.acknowledged && m.registered));
    }

    fn add_machine(&mut self, n: u32, zone: &'static str) {
        self.workers.push(Worker {
            state: WorkerState::new(format!("i-{n}"), zone, at(self.seconds)),
            due: self.seconds,
            to: 0,
            link: Link::Up,
            changed: false,
        });
    }

    fn worker(&mut self, id: &str) -> &mut Worker {
        self.workers.iter_mut().find(|w| w.state.id == id).expect("a worker")
    }

    fn link(&mut self, workers: &[&str], link: Link) {
        workers.iter().for_each(|w| self.worker(w).link = link);
    }

    /// The newest owner's view of the cluster.
    fn fleet(&mut self) -> &mut Fleet {
        &mut self.owners.last_mut().expect("an owner").controller.fleet
    }

    /// Another controller claims everything and reads the records. The earlier one does not know.
    fn take_over(&mut self, zone: Option<&'static str>) -> usize {
        assert!(self.state_up, "nobody can claim anything");
        let controller = Controller::claim(&mut self.store, &self.cfg, at(self.seconds));
        self.owners.push(Owner { controller, alive: true, zone, view: self.seconds, unanswered: None });
        self.owners.len() - 1
    }

    /// The owner's process ends.
    fn end_owner(&mut self, owner: usize) {
        self.owners[owner].alive = false;
    }

    /// The owner ends and another takes over after a while.
    fn change_leader(&mut self, gap: f64) -> usize {
        self.end_owner(self.owners.len() - 1);
        self.run(gap);
        self.take_over(None)
    }

    fn submit(&mut self, s: JobSpec, length: f64) -> String {
        let mut r = record(s.clone());
        r.submitted_us = wall(self.seconds).0;
        self.store.txn(&submission(&r)).expect("a new id");
        let id = s.id.clone();
        self.lengths.entry(id.clone()).or_insert(length);
        self.specs.insert(id.clone(), s);
        id
    }

    /// Whether a user's cancellation was confirmed.
    fn cancel(&mut self, id: &str) -> bool {
        let Some(txn) = self.store.cancellation(&self.specs[id]) else { return false };
        let written = self.store.txn(&txn).is_ok();
        if written {
            self.cancelled.insert(id.into(), self.seconds);
        }
        written
    }

    fn stage(&self, id: &str) -> Option<Stage> {
        self.store.final_stage(id)
    }

    /// Tasks of a job that are on some machine.
    fn placed(&self, id: &str) -> usize {
        self.workers.iter().map(|w| w.state.placed_of(id)).sum()
    }

    /// Where a job's running tasks are.
    fn machines_of(&self, id: &str) -> Vec<String> {
        let has = |w: &&Worker| w.state.placed_of(id) > 0;
        self.workers.iter().filter(has).map(|w| w.state.id.clone()).collect()
    }

    /// How often tasks of a job were started, all together.
    fn started(&self, id: &str) -> u32 {
        self.starts.iter().filter(|x| job_of(x.0) == id).map(|x| x.1).sum()
    }

    /// Whether a worker's messages pass to an owner, as far as the cut goes.
    fn passes(&self, zone: &str, owner: usize) -> bool {
        let o = &self.owners[owner];
        o.alive && self.cut_zone.is_none_or(|z| (zone == z) == (o.zone == Some(z)))
    }

    fn sees_state(&self, owner: usize) -> bool {
        let o = &self.owners[owner];
        self.state_up && o.alive && (self.cut_zone.is_none() || o.zone != self.cut_zone)
    }

    /// An owner out of touch with the state service answers no longer than the bound.
    fn may_answer(&self, owner: usize) -> bool {
        let o = &self.owners[owner];
        o.alive && self.seconds - o.view < self.cfg.max_staleness().secs()
    }

    fn read_changes(&mut self) {
        for i in 0..self.owners.len() {
            if !self.sees_state(i) {
                continue;
            }
            let (now, s, o) = (at(self.seconds), self.seconds, &mut self.owners[i]);
            o.controller.read_changes(&self.store, now);
            o.view = s;
        }
    }

    /// A worker takes a direct command that raises its token; its report is what comes back.
    fn command(&mut self, worker: &str, fencing_token: u64, agent_epoch: u64) -> Heartbeat {
        let w = self.worker(worker);
        let before = w.state.fencing_token;
        w.changed |= w.state.accept_command(fencing_token, agent_epoch) && fencing_token > before;
        w.state.report()
    }

    fn raise_tokens(&mut self) {
        for i in 0..self.owners.len() {
            if !self.owners[i].alive {
                continue;
            }
            let fencing_token = self.owners[i].controller.fleet.fencing_token;
            for due in self.owners[i].controller.fleet.fencing_token_commands(at(self.seconds)) {
                let (id, agent_epoch) = (due.machine, due.agent_epoch);
                let Some(w) = self.workers.iter().find(|w| w.state.id == *id) else { continue };
                if !matches!(w.link, Link::Up | Link::CommandsOnly) || !self.passes(w.state.zone, i) {
                    continue;
                }
                let r = self.command(&id, fencing_token, agent_epoch);
                if self.owners[i].controller.fleet.direct_command_answered(&r, at(self.seconds)).is_some() {
                    self.end_owner(i);
                    break;
                }
            }
        }
    }

    fn exchange_reports(&mut self) {
        for w in 0..self.workers.len() {
            let (due, changed) = (self.workers[w].due, self.workers[w].changed);
            if self.seconds < due && !changed {
                continue;
            }
            let r = self.workers[w].state.report();
            (self.workers[w].changed, self.workers[w].due) = (false, self.seconds + 3.0);
            if !matches!(self.workers[w].link, Link::Up | Link::ReportsOnly) {
                continue;
            }
            let reached = |o: &usize| self.passes(self.workers[w].state.zone, *o) && self.may_answer(*o);
            let stays = Some(self.workers[w].to).filter(|o| *o < self.owners.len() && reached(o));
            let Some(to) = stays.or_else(|| (0..self.owners.len()).rev().find(reached)) else {
                self.workers[w].due = self.seconds + 1.0;
                continue;
            };
            self.workers[w].to = to;
            match self.owners[to].controller.fleet.check_in(&r, at(self.seconds), wall(self.seconds)) {
                HeartbeatOutcome::Reply(reply) if self.workers[w].link == Link::Up => {
                    self.execute_orders(w, &reply)
                }
                HeartbeatOutcome::Reply(_) => {}
                HeartbeatOutcome::Superseded(_) => {
                    self.end_owner(to);
                    self.workers[w].due = self.seconds + 1.0;
                }
                HeartbeatOutcome::Refuse => {
                    (self.workers[w].to, self.workers[w].due) = (self.owners.len() - 1, self.seconds + 1.0);
                }
            }
        }
    }

    fn execute_orders(&mut self, w: usize, reply: &HeartbeatReply) {
        let (s, worker) = (self.seconds, &mut self.workers[w]);
        let before = worker.state.fencing_token;
        if !worker.state.accept_answer(reply.fencing_token, at(s)) {
            return;
        }
        worker.changed |= reply.fencing_token > before;
        for o in &reply.commands {
            let worker = &mut self.workers[w];
            match o {
                WorkerCommand::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if worker.state.tasks.contains_key(&key) {
                        continue;
                    }
                    self.check_start(w, task);
                    let left = self.lengths.get(task).or(self.lengths.get(job_of(task)));
                    let left = *left.expect("a length");
                    let t = Task::new(TaskStage::Fetching, Micros::from_secs(left), at(s));
                    self.workers[w].state.tasks.insert(key, t);
                    *self.starts.entry(task.clone()).or_insert(0) += 1;
                    self.begun.entry(job_of(task).into()).or_insert(s);
                }
                WorkerCommand::Halt { task, attempt, .. } => {
                    worker.changed |= worker.state.halt(task, *attempt)
                }
                WorkerCommand::Forget { task, attempt } => {
                    worker.state.forget(task, *attempt);
                    worker.changed = true;
                }
            }
        }
    }

    /// Sessions end and tasks go on. takeover.rs models tasks otherwise on purpose: there they fail at
    /// random and machines hang, while here all goes by the scenario's lengths and a gang ends at once with
    /// its first lost task.
    fn run_tasks(&mut self) {
        let now = at(self.seconds);
        for w in 0..self.workers.len() {
            let worker = &mut self.workers[w];
            worker.changed |= worker.state.end_session_after(LEASE, now);
            let keys: Vec<Attempt> = self.workers[w].state.tasks.keys().cloned().collect();
            for k in keys {
                let job = &self.specs[job_of(&k.0)];
                let gang = job.shape == Shape::Gang;
                let mates: Vec<TaskStage> = self
                    .workers
                    .iter()
                    .flat_map(|w| w.state.tasks.iter())
                    .filter(|(o, _)| o.1 == k.1 && job_of(&o.0) == job.id)
                    .map(|x| x.1.stage)
                    .collect();
                let together =
                    |run: &[TaskStage]| mates.iter().filter(|m| run.contains(m)).count() as u32 == job.tasks;
                let t = self.workers[w].state.tasks[&k].clone();
                let (stage, why) = match t.stage {
                    TaskStage::Fetching if (now - t.since).secs() >= 1.0 => {
                        (if gang { TaskStage::Waiting } else { TaskStage::Running }, None)
                    }
                    TaskStage::Waiting if together(&[TaskStage::Waiting, TaskStage::Running]) => {
                        (TaskStage::Running, None)
                    }
                    TaskStage::Waiting if (now - t.since).secs() > 40.0 => {
                        (TaskStage::Exited, Some(ExitReason::GangIncomplete))
                    }
                    TaskStage::Running if gang && self.finished.contains(&k.0) => {
                        (TaskStage::Exited, Some(ExitReason::Done))
                    }
                    TaskStage::Running if gang && (mates.len() as u32) < job.tasks => {
                        (TaskStage::Exited, Some(ExitReason::GangPeersLost))
                    }
                    TaskStage::Running => {
                        let job = job.clone();
                        let t = self.workers[w].state.tasks.get_mut(&k).expect("this task");
                        t.left = t.left - Micros::from_secs(STEP);
                        if t.left > Micros::ZERO {
                            continue;
                        }
                        if gang {
                            // They complete together.
                            (0..job.tasks).for_each(|n| {
                                self.finished.insert(format!("{}/{n}", job.id));
                            });
                        }
                        self.finished.insert(k.0.clone());
                        (TaskStage::Exited, Some(ExitReason::Done))
                    }
                    _ => continue,
                };
                let worker = &mut self.workers[w];
                worker.changed = true;
                worker.state.tasks.get_mut(&k).expect("this task").enter(stage, why, now);
            }
        }
    }

    fn write(&mut self) {
        let chunk = chunk_tasks(4096);
        for i in 0..self.owners.len() {
            if !self.owners[i].alive {
                continue;
            }
            let (now, wall) = (at(self.seconds), wall(self.seconds));
            let stands = self.owners[i].controller.holds_part(&self.store);
            if self.sees_state(i) && stands {
                self.owners[i].controller.fleet.confirm_lease(now);
            }
            self.owners[i].controller.fleet.tick(now, wall);
            if !self.sees_state(i) {
                continue;
            }
            if !stands {
                // The renewal of its lease is refused: it has been replaced.
                self.end_owner(i);
                continue;
            }
            for b in self.batches(i, chunk) {
                let lost = self.owners[i].unanswered.filter(|u| b.items.iter().any(|x| u.1(&x.0)));
                let applied = if let Some((delay, _)) = lost {
                    self.owners[i].unanswered = None;
                    self.late_transactions.push((at(self.seconds + delay), b.txn.clone()));
                    None
                } else {
                    Some(self.store.txn(&b.txn))
                };
                if !self.learn_result(i, &b, applied) {
                    break;
                }
            }
        }
    }

    fn batches(&mut self, owner: usize, chunk: u32) -> Vec<Batch> {
        self.owners[owner].controller.batches(Micros(12_000_000), chunk, at(self.seconds))
    }

    /// An owner learns how its transaction went (none: no answer), and reads back what it must.
    fn learn_result(&mut self, owner: usize, b: &Batch, applied: Option<Result<u64, Vec<String>>>) -> bool {
        let (now, o) = (at(self.seconds), &mut self.owners[owner]);
        let Err(keys) = o.controller.acknowledge(b, applied, now) else { return true };
        if keys.iter().any(|k| k == leadership::SHARD_KEY) && !o.controller.holds_part(&self.store) {
            o.alive = false;
            return false;
        }
        o.controller.read_back(&keys, &self.store, now);
        false
    }

    fn apply_late_transactions(&mut self) {
        for t in take_due(&mut self.late_transactions, at(self.seconds)) {
            let r = self.store.txn(&t);
            self.late_results.push(r);
        }
    }

    fn return_machines(&mut self) {
        for i in 0..self.owners.len() {
            let o = &self.owners[i];
            let ids = o.controller.fleet.machines_to_scale_in();
            if ids.is_empty()
                || !o.alive
                || !self.cloud_up
                || (self.cut_zone.is_some() && o.zone == self.cut_zone)
            {
                continue;
            }
            self.workers.retain(|w| !ids.contains(&w.state.id));
            self.owners[i].controller.fleet.machines_scaled_in(&ids, at(self.seconds));
        }
    }

    fn step(&mut self) {
        self.seconds += STEP;
        if self.state_up {
            self.apply_late_transactions();
        }
        self.read_changes();
        self.raise_tokens();
        self.exchange_reports();
        self.run_tasks();
        self.write();
        self.return_machines();
        self.check();
    }

    fn run(&mut self, long: f64) {
        for _ in 0..(long / STEP).round() as usize {
            self.step();
        }
    }

    /// Until all jobs are over, or too long.
    fn finish(&mut self, within: f64) {
        let until = self.seconds + within;
        while !self.store.rows("job/").is_empty() {
            assert!(self.seconds < until, "left undone at {} s: {:?}", self.seconds, self.store.rows("job/"));
            self.step();
        }
        for id in self.specs.keys() {
            let cancelled = self.cancelled.contains_key(id);
            let stage = if cancelled { Stage::Cancelled } else { Stage::Done };
            assert_eq!(self.stage(id), Some(stage), "{id}");
        }
    }

    /// The rules, at the moment a task is ordered to start; takeover.rs checks them once it has fetched.
    fn check_start(&self, w: usize, task: &str) {
        let id = job_of(task);
        let worker = &self.workers[w].state;
        let twice = self.workers.iter().flat_map(|o| o.state.placed()).any(|k| k.0 == task);
        assert!(!twice, "ran_twice: {task} at {} s", self.seconds);
        let in_zone = |here: bool| {
            let there = self.workers.iter().filter(|o| (o.state.zone == worker.zone) == here);
            there.map(|o| o.state.placed_of(id)).sum::<usize>() as u32
        };
        assert_placement(&self.specs[id], worker, task, in_zone(true), in_zone(false));
    }

    /// The rules that hold at each moment.
    fn check(&mut self) {
        let s = self.seconds;
        let tight = self.workers.iter().flat_map(|w| w.state.placed());
        let tight = tight.filter(|k| self.specs[job_of(&k.0)].team == "tight").count();
        assert!(tight <= TIGHT_LIMIT, "quota: {tight} at {s} s");
        let cancel = self.cfg.platform.settings.workers.cancel_s;
        for (id, since) in &self.cancelled {
            assert!(s - since <= cancel || self.placed(id) == 0, "ran_cancelled: {id} at {s} s");
        }
        for id in self.specs.keys() {
            let (live, stage) = (self.store.row(&job_key(id)).is_some(), self.stage(id));
            assert!(live != stage.is_some(), "forgotten, or live and over: {id} at {s} s");
            let Some(stage) = stage else { continue };
            let first = *self.finals.entry(id.clone()).or_insert(stage);
            assert_eq!(first, stage, "went_back: {id} at {s} s");
            let mut tasks = (0..self.specs[id].tasks).map(|n| format!("{id}/{n}"));
            assert!(
                stage != Stage::Done || tasks.all(|t| self.finished.contains(&t)),
                "not_done: {id} at {s} s"
            );
            assert!(
                stage != Stage::Cancelled || self.cancelled.contains_key(id),
                "went_back: {id} is called cancelled"
            );
        }
    }
}

/// A job of the team whose limit is six processors.
fn tight(n: u32, tasks: u32, shape: &str) -> JobSpec {
    JobSpec { team: "tight".into(), ..spec(n, tasks, shape) }
}

/// Combination 1: a team at its limit, a change of leader, machines that can't be asked, and a
/// cancellation. Against starts beyond the limit beside what an unheard machine may run, what was
/// told to halt and has not ended, and a return that the cloud has not answered.
#[test]
fn a_team_stays_within_its_limit_across_a_leader_change_and_a_cancellation() {
    let mut s = Scenario::new();
    s.take_over(Some("south"));
    for (n, zone) in [(1, "north"), (2, "south"), (3, "north"), (4, "north")] {
        s.add_machine(n, zone);
    }
    s.run(4.0);
    let a = s.submit(JobSpec { spread: true, ..tight(1, 6, "batch") }, 300.0);
    s.run(8.0);
    assert_eq!(s.placed(&a), 6, "half of them in each zone");
    let b = s.submit(tight(2, 6, "batch"), 200.0);
    s.run(6.0);
    assert_eq!(s.started(&b), 0, "the team is at its limit");
    // The south goes with the old owner; the north's machines with tasks do not hear the new one.
    let north: Vec<String> = s.machines_of(&a).into_iter().filter(|m| m != "i-2").collect();
    s.cut_zone = Some("south");
    north.iter().for_each(|m| s.worker(m).link = Link::ReportsOnly);
    s.cloud_up = false;
    s.take_over(None);
    s.run(2.0);
    assert_eq!((s.fleet().unacknowledged_machines(), s.started(&b)), (1 + north.len(), 0));
    // They are heard, and then do not hear that they are to halt.
    north.iter().for_each(|m| s.worker(m).link = Link::Up);
    s.run(4.0);
    assert_eq!(s.fleet().unacknowledged_machines(), 1);
    north.iter().for_each(|m| s.worker(m).link = Link::ReportsOnly);
    assert!(s.cancel(&a));
    s.run(7.0);
    assert_eq!((s.placed(&a), s.started(&b)), (6, 0), "cancelled tasks that run still count");
    // In the south half of the job goes on, and the whole machine counts.
    north.iter().for_each(|m| s.worker(m).link = Link::Up);
    s.run(7.0);
    assert_eq!((s.placed(&a), s.placed(&b)), (3, 2));
    s.run(18.0);
    assert!(s.fleet().machines_to_scale_in().contains(&"i-2".to_string()), "its return has no answer yet");
    assert_eq!((s.placed(&a), s.placed(&b)), (3, 2), "a return without an answer has ended nothing");
    s.run(6.0);
    assert_eq!(s.placed(&b), 2, "44 s after the claim an earlier owner's answer may still count");
    // Later none can, though the cloud has not answered.
    s.run(14.0);
    assert_eq!((s.placed(&a), s.placed(&b)), (0, 6));
    assert!(s.fleet().machines_to_scale_in().contains(&"i-2".to_string()));
    s.cloud_up = true;
    s.run(8.0);
    assert_eq!(s.placed(&b), 6);
    s.finish(300.0);
}

/// Combination 2: old reports after newer ones, of an earlier session and of an earlier attempt, at the
/// owner and at the next. Against a copy that revives what has ended or ends what runs.
#[test]
fn old_reports_of_earlier_sessions_and_attempts_are_refused_after_newer_ones() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "north"]);
    let a = s.submit(spec(1, 1, "batch"), 60.0);
    s.run(4.0);
    let first = s.machines_of(&a).remove(0);
    let agent_epoch = s.worker(&first).state.report();
    // Its lease runs out in a cut, and the task begins on the other machine.
    s.link(&[&first], Link::Down);
    s.run(30.0);
    assert_eq!((s.started(&a), s.worker(&first).state.agent_epoch), (2, 2));
    let second = s.machines_of(&a).remove(0);
    assert_ne!(first, second);
    s.link(&[&first], Link::Up);
    let b = s.submit(spec(2, 1, "batch"), 60.0);
    s.run(6.0);
    let place = s.machines_of(&b).remove(0);
    let attempt = s.worker(&place).state.report();
    // This attempt fails and the next runs.
    let w = s.worker(&place);
    let key = w.state.placed().find(|k| k.0.starts_with(&b)).cloned().expect("its task");
    let t = w.state.tasks.get_mut(&key).expect("its task");
    (t.stage, t.why) = (TaskStage::Exited, Some(ExitReason::Error));
    s.run(8.0);
    assert_eq!((s.started(&b), s.placed(&b)), (2, 1));
    let late = |s: &mut Scenario| {
        for r in [&agent_epoch, &attempt, &agent_epoch] {
            let (now, wall) = (at(s.seconds), wall(s.seconds));
            assert_eq!(s.fleet().check_in(r, now, wall), HeartbeatOutcome::Refuse);
        }
        s.run(3.0);
        assert_eq!((s.placed(&a), s.placed(&b), s.started(&a), s.started(&b)), (1, 1, 2, 2));
    };
    late(&mut s);
    s.change_leader(2.0);
    s.run(5.0);
    assert_eq!(s.fleet().unacknowledged_machines(), 0);
    late(&mut s);
    s.finish(100.0);
    assert_eq!((s.started(&a), s.started(&b)), (2, 2));
}

/// Combination 3: a transaction without an answer, carried out late. Against an old copy of marks,
/// machines, done ranges or a job's end that undoes a newer write of the same controller, and
/// against a controller that takes its own late write for another's.
#[test]
fn a_transaction_without_an_answer_applied_late_undoes_no_newer_write() {
    let kinds: [(&str, WriteKind); 4] = [
        ("marks", |p| matches!(p, PendingWrite::StartMarks(_))),
        ("machines", |p| matches!(p, PendingWrite::Machines(_))),
        ("done", |p| matches!(p, PendingWrite::Done(..))),
        ("final", |p| matches!(p, PendingWrite::Final(_))),
    ];
    for (kind, of) in kinds {
        // Carried out before the next write of the same key, or after it.
        for (delay, overtaken) in [(0.5, false), (6.0, true)] {
            let mut s = Scenario::new();
            s.begin_with(&["north", "north"]);
            s.owners[0].unanswered = Some((delay, of));
            let a = s.submit(spec(1, 40, "batch"), 8.0);
            s.lengths.insert(format!("{a}/39"), 45.0);
            s.run(2.0);
            s.add_machine(3, "north");
            let b = s.submit(spec(2, 3, "batch"), 9.0);
            while s.late_results.is_empty() {
                assert!(s.seconds < 200.0, "{kind}: no such write");
                s.step();
            }
            assert_eq!(s.late_results.len(), 1);
            assert_eq!(s.late_results[0].is_err(), overtaken, "{kind}, {delay} s late: {:?}", s.late_results);
            // The owner goes on writing such records itself.
            while s.started(&a) < 40 || s.placed(&a) > 1 {
                assert!(s.seconds < 200.0, "{kind}, {delay} s late: it does not go on");
                s.step();
            }
            s.add_machine(4, "north");
            let c = s.submit(spec(3, 3, "batch"), 9.0);
            s.run(8.0);
            assert!(s.fleet().machines["i-4"].registered, "{kind}, {delay} s late");
            assert_eq!(s.started(&c), 3, "{kind}, {delay} s late");
            // What the next owner finds lets it start nothing that runs.
            s.change_leader(1.0);
            s.finish(200.0);
            assert_eq!((s.started(&a), s.started(&b)), (40, 3), "{kind}, {delay} s late");
        }
    }
}

/// Combination 5: the command that brings a new owner's token is held up, and the machine goes on.
/// Against a start elsewhere before it is heard.
#[test]
fn a_machine_whose_raising_command_is_held_up_keeps_its_task() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "north"]);
    let a = s.submit(spec(1, 1, "batch"), 60.0);
    s.run(5.0);
    let place = s.machines_of(&a).remove(0);
    s.link(&[&place], Link::Down);
    s.change_leader(1.0);
    let fencing_token = s.fleet().fencing_token;
    s.run(15.0);
    assert_eq!((s.fleet().unacknowledged_machines(), s.started(&a)), (1, 1));
    // Executed now. What it returns is held up as well and overtaken by a report.
    let back = s.command(&place, fencing_token, 1);
    s.link(&[&place], Link::Up);
    s.run(2.0);
    assert_eq!(s.fleet().unacknowledged_machines(), 0);
    let now = at(s.seconds);
    assert_eq!(s.fleet().direct_command_answered(&back, now), None);
    s.run(10.0);
    assert_eq!((s.placed(&a), s.started(&a)), (1, 1));
    // A command of an owner that has been replaced does nothing and tells it so.
    s.change_leader(1.0);
    s.run(4.0);
    let stale = s.command(&place, fencing_token, 1);
    let newer = s.fleet().fencing_token;
    assert_eq!(s.owners[1].controller.fleet.direct_command_answered(&stale, at(s.seconds)), Some(newer));
    s.finish(60.0);
    assert_eq!(s.started(&a), 1);
}

/// Combination 5: what a raising command returns was composed while a start was on its way to the
/// machine. Against taking the task for not arrived, since a newer message lacks it.
#[test]
fn what_a_held_command_returns_does_not_undo_a_start_on_its_way() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "north"]);
    s.link(&["i-1"], Link::Down);
    s.change_leader(1.0);
    let fencing_token = s.fleet().fencing_token;
    // The other machine is full, and cut off while its tasks end.
    let filler = s.submit(spec(2, 4, "batch"), 3.0);
    while s.placed(&filler) < 4 {
        assert!(s.seconds < 20.0, "the filler does not start");
        s.step();
    }
    s.link(&["i-2"], Link::Down);
    let a = s.submit(spec(1, 1, "batch"), 30.0);
    s.run(4.0);
    assert_eq!((s.placed(&filler), s.started(&a)), (0, 0));
    // It is heard by its own report; then the task's mark is written.
    let _ = s.command("i-1", fencing_token, 1);
    let hear = |s: &mut Scenario| {
        s.seconds += STEP;
        let (r, now, wall) = (s.worker("i-1").state.report(), at(s.seconds), wall(s.seconds));
        let HeartbeatOutcome::Reply(reply) = s.fleet().check_in(&r, now, wall) else {
            panic!("not answered")
        };
        s.write();
        reply
    };
    assert!(hear(&mut s).commands.is_empty());
    let reply = hear(&mut s);
    assert!(matches!(reply.commands[..], [WorkerCommand::Start { .. }]), "{reply:?}");
    // The held copy of the command comes between the report and its answer.
    let back = s.command("i-1", fencing_token, 1);
    s.execute_orders(0, &reply);
    assert_eq!(s.placed(&a), 1);
    let now = at(s.seconds);
    s.fleet().direct_command_answered(&back, now);
    // The other reports first, and has room.
    s.link(&["i-2"], Link::Up);
    s.run(10.0);
    s.link(&["i-1"], Link::Up);
    s.finish(60.0);
    assert_eq!(s.started(&a), 1);
}

/// Combination 6: ten leaders in two minutes, some beside the one before, some after an outage of the
/// state service. Against anything started twice, lost or left.
#[test]
fn ten_leaders_in_two_minutes_start_nothing_twice_and_lose_nothing() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "south", "north", "south", "north", "south"]);
    let long = s.submit(spec(1, 2, "batch"), 100.0);
    let gang = s.submit(JobSpec { one_zone: true, ..spec(2, 3, "gang") }, 70.0);
    let gone = s.submit(spec(3, 3, "batch"), 200.0);
    s.run(5.0);
    for leader in 0..10u32 {
        s.submit(spec(10 + leader, 5, "batch"), 4.0 + f64::from(leader));
        s.submit(tight(30 + leader, 2, if leader % 2 == 0 { "gang" } else { "batch" }), 11.0);
        s.run(4.0);
        if leader == 5 {
            assert!(s.cancel(&gone));
        }
        if leader % 4 == 3 {
            // It changes inside an outage; nothing can be claimed before its end.
            s.state_up = false;
            s.run(3.0);
            s.end_owner(leader as usize);
            s.run(3.0);
            s.state_up = true;
            s.take_over(None);
        } else if leader % 2 == 0 {
            // The one before does not know yet.
            s.take_over(None);
            s.run(4.0);
        } else {
            s.change_leader(2.0);
        }
        s.run(3.0);
    }
    assert_eq!(s.owners.len(), 11);
    assert!(s.seconds < 140.0);
    s.finish(120.0);
    for (id, spec) in &s.specs {
        assert_eq!(s.started(id), spec.tasks, "{id}");
    }
    assert_eq!((s.started(&long), s.started(&gang)), (2, 3));
}

/// Combination 7: a zone with workers and a controller is cut off for longer than the lease, and the
/// owner inside may go on for long. Against an owner inside that takes the machines outside for
/// ended while its follower renews their leases, and against cancelled tasks that go on inside.
#[test]
fn a_zone_cut_off_for_longer_than_the_lease_starts_nothing_twice_and_ends_cancelled_tasks() {
    let mut s = Scenario::with(|settings| settings["workers"]["cancel_s"] = json!(80.0));
    s.take_over(Some("south"));
    for n in 0..3 {
        s.add_machine(1 + n, "north");
        s.add_machine(4 + n, "south");
    }
    s.run(4.0);
    let bound = |n, tasks, zone: &str| JobSpec { zone: Some(zone.into()), ..spec(n, tasks, "batch") };
    let filler = s.submit(bound(1, 8, "south"), 6.0);
    let inside = s.submit(bound(2, 2, "south"), 120.0);
    let gone = s.submit(bound(3, 2, "south"), 300.0);
    s.run(4.0);
    // The south is full when this one comes.
    let outside = s.submit(spec(4, 12, "batch"), 120.0);
    s.run(4.0);
    assert!(s.workers.iter().filter(|w| w.state.zone == "south").all(|w| w.state.placed_of(&outside) == 0));
    s.run(8.0);
    assert_eq!(s.stage(&filler), Some(Stage::Done), "the south has room again");
    assert_eq!((s.placed(&inside), s.placed(&gone), s.placed(&outside)), (2, 2, 12));
    s.cut_zone = Some("south");
    s.cloud_up = false;
    // The owner inside can't see it.
    assert!(s.cancel(&gone));
    s.run(5.0);
    s.take_over(None);
    s.run(40.0);
    assert!(s.owners[0].alive && s.may_answer(0), "it still answers inside");
    assert_eq!((s.placed(&inside), s.placed(&gone), s.placed(&outside)), (2, 2, 12));
    assert_eq!((s.started(&inside), s.started(&outside)), (2, 12));
    s.run(60.0);
    assert_eq!(s.placed(&gone), 0);
    (s.cut_zone, s.cloud_up) = (None, true);
    s.run(5.0);
    assert!(!s.owners[0].alive);
    s.add_machine(7, "south");
    s.finish(300.0);
    assert_eq!((s.started(&outside), s.started(&filler)), (12, 8));
}

/// Combination 8: jobs of one zone lose machines. Against the rest of the job starting in the other
/// zone while tasks may still be where they were, and against a wait that never ends.
#[test]
fn jobs_of_one_zone_that_lose_machines_never_run_in_two_zones() {
    for shape in ["batch", "gang"] {
        let mut s = Scenario::new();
        s.begin_with(&["north"]);
        let one = s.submit(JobSpec { one_zone: true, ..spec(1, 4, shape) }, 60.0);
        s.run(8.0);
        assert_eq!(s.placed(&one), 4);
        s.add_machine(2, "south");
        s.add_machine(3, "south");
        s.run(6.0);
        // An array that has tasks left when the machine is lost, and one that its field binds.
        let rest = s.submit(JobSpec { one_zone: true, ..spec(2, 10, "batch") }, 20.0);
        s.run(6.0);
        s.add_machine(5, "north");
        let bound = s.submit(JobSpec { zone: Some("north".into()), ..spec(3, 2, "batch") }, 60.0);
        s.run(7.0);
        assert_eq!(
            (s.placed(&rest), s.placed(&bound)),
            (8, 2),
            "the other zone has room, and it may not go there"
        );
        s.link(&["i-1", "i-2", "i-5"], Link::Down);
        s.run(16.0);
        assert_eq!((s.started(&one), s.placed(&one)), (4, 4), "it may still be there");
        s.run(30.0);
        assert_eq!(s.placed(&one), 4, "it goes on in the other zone, whole");
        assert!(s.machines_of(&one).iter().all(|m| m == "i-3"), "{:?}", s.machines_of(&one));
        assert_eq!((s.started(&bound), s.placed(&bound)), (2, 0), "its zone has no machine");
        s.add_machine(4, "north");
        s.finish(300.0);
        assert_eq!((s.started(&one), s.started(&bound)), (8, 4));
    }
}

/// Combination 8, for spread jobs: half of one is lost. Against its start beside the other half, and
/// before the first is surely gone.
#[test]
fn the_lost_half_of_a_spread_job_starts_again_only_once_it_is_surely_gone() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "south", "south"]);
    let spread = s.submit(JobSpec { spread: true, ..spec(1, 6, "batch") }, 80.0);
    s.run(8.0);
    assert_eq!(s.placed(&spread), 6);
    s.link(&["i-1"], Link::Down);
    s.run(10.0);
    s.add_machine(4, "north");
    s.run(10.0);
    assert_eq!(s.started(&spread), 6, "the lost half may still run, and the south has its half");
    s.run(12.0);
    assert_eq!((s.started(&spread), s.placed(&spread)), (9, 6));
    assert!(s.machines_of(&spread).contains(&"i-4".to_string()));
    s.finish(200.0);
    assert_eq!(s.started(&spread), 9);
}

/// Combination 9: a cancellation, a question and a repeated submission at the end of the last task.
/// Against two ends of one job, and against a late message that revives it.
#[test]
fn a_cancellation_at_the_end_of_the_last_task_leaves_one_final_stage() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Race {
        UserFirst,
        OwnerFirst,
        NoAnswerThenUser,
        NoAnswerButWritten,
    }
    for race in [Race::UserFirst, Race::OwnerFirst, Race::NoAnswerThenUser, Race::NoAnswerButWritten] {
        let mut s = Scenario::new();
        s.begin_with(&["north"]);
        let a = s.submit(spec(1, 2, "batch"), 3.0);
        s.run(2.0);
        s.state_up = false;
        s.run(8.0);
        s.state_up = true;
        assert!(s.fleet().jobs[a.as_str()].is_complete(), "all is done, nothing of it written");
        let known = s.store.row(&job_key(&a)).expect("live");
        let user = s.store.cancellation(&s.specs[&a]).expect("live");
        let owner = s.batches(0, chunk_tasks(4096)).remove(0);
        assert!(owner.items.iter().any(|x| matches!(x.0, PendingWrite::Final(_))));
        match race {
            Race::UserFirst => {
                assert!(s.cancel(&a));
                let r = s.store.txn(&owner.txn);
                assert!(r.as_ref().is_err_and(|k| k.contains(&job_key(&a))), "{r:?}");
                assert!(!s.learn_result(0, &owner, Some(r)));
            }
            Race::OwnerFirst => {
                let r = s.store.txn(&owner.txn);
                assert!(s.learn_result(0, &owner, Some(r)));
                assert!(s.store.txn(&user).is_err());
            }
            Race::NoAnswerThenUser => {
                assert!(!s.learn_result(0, &owner, None), "it is read back, and is live");
                assert!(s.fleet().jobs.contains_key(a.as_str()));
                assert!(s.cancel(&a));
                assert!(s.store.txn(&owner.txn).is_err());
                let again = s.batches(0, chunk_tasks(4096)).remove(0);
                let r = s.store.txn(&again.txn);
                assert!(r.is_err() && !s.learn_result(0, &again, Some(r)));
            }
            Race::NoAnswerButWritten => {
                assert!(s.store.txn(&owner.txn).is_ok());
                assert!(!s.learn_result(0, &owner, None), "it is read back, and is gone");
                assert!(s.store.txn(&user).is_err());
            }
        }
        let stage = if s.cancelled.contains_key(&a) { Stage::Cancelled } else { Stage::Done };
        assert_eq!(stage == Stage::Done, matches!(race, Race::OwnerFirst | Race::NoAnswerButWritten));
        assert_eq!(s.stage(&a), Some(stage), "{race:?}: the first that was written stays");
        assert_eq!(s.fleet().progress(&a), None, "{race:?}: it is over for the owner");
        // A late message of its submission, and the submission itself again.
        let late: JobRecord = serde_json::from_value(known.value.clone()).expect("a job's record");
        let now = at(s.seconds);
        s.fleet().apply_job_record(late, known.mod_revision, now);
        assert_eq!(s.fleet().progress(&a), None, "{race:?}: a late message revived it");
        let guards = [job_key(&a), final_key(&a)].map(|key| Guard { key, mod_revision: 0 }).to_vec();
        let again = Txn { guards, then: vec![Change::put(job_key(&a), known.value)] };
        assert!(s.store.txn(&again).is_err());
        s.run(10.0);
        assert!(
            s.fleet().jobs.is_empty() && s.worker("i-1").state.tasks.is_empty(),
            "{race:?}: something is left"
        );
        assert_eq!((s.started(&a), s.stage(&a)), (2, Some(stage)), "{race:?}");
        assert!(s.store.rows("done/").is_empty());
    }
}

/// Combination 11: a report is held back until a new leader has acted, and arrives there, before or
/// after the machine's newer ones. Against taking a machine for heard, or empty, by what it said to
/// the leader before.
#[test]
fn a_report_held_back_until_a_new_leader_has_acted_hides_no_running_task() {
    for before_newer in [true, false] {
        let mut s = Scenario::new();
        s.begin_with(&["north", "north"]);
        // Nothing is on it yet, says the report that is held back.
        let held = [s.worker("i-1").state.report(), s.worker("i-2").state.report()];
        let a = s.submit(spec(1, 1, "batch"), 50.0);
        s.run(5.0);
        let place = s.machines_of(&a).remove(0);
        let held = held.into_iter().find(|r| r.machine == place).expect("its report");
        if before_newer {
            s.link(&[&place], Link::Down);
        }
        s.change_leader(1.0);
        s.run(5.0);
        let unheard = usize::from(before_newer);
        assert_eq!(s.fleet().unacknowledged_machines(), unheard);
        let (now, t) = (at(s.seconds), wall(s.seconds));
        let out = s.fleet().check_in(&held, now, t);
        if before_newer {
            assert!(!matches!(out, HeartbeatOutcome::Superseded(_)));
        } else {
            assert_eq!(out, HeartbeatOutcome::Refuse);
        }
        s.run(10.0);
        assert_eq!((s.fleet().unacknowledged_machines(), s.started(&a), s.placed(&a)), (unheard, 1, 1));
        s.link(&[&place], Link::Up);
        s.finish(60.0);
        assert_eq!(s.started(&a), 1);
    }
}

/// Combination 11, for a machine that went meanwhile. Against a late report that brings it and its task
/// back.
#[test]
fn a_held_report_of_a_machine_that_was_returned_meanwhile_brings_nothing_back() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "north"]);
    let empty = [s.worker("i-1").state.report(), s.worker("i-2").state.report()];
    let a = s.submit(spec(1, 1, "batch"), 50.0);
    s.run(5.0);
    let place = s.machines_of(&a).remove(0);
    let empty = empty.into_iter().find(|r| r.machine == place).expect("its report");
    let held = s.worker(&place).state.report();
    s.link(&[&place], Link::Down);
    s.change_leader(1.0);
    s.run(40.0);
    assert!(!s.workers.iter().any(|w| w.state.id == place), "it was fenced");
    assert_eq!((s.started(&a), s.placed(&a)), (2, 1));
    let late = |s: &mut Scenario| {
        let (now, t) = (at(s.seconds), wall(s.seconds));
        assert_eq!(s.fleet().check_in(&held, now, t), HeartbeatOutcome::Refuse);
        assert!(!s.fleet().machines.contains_key(place.as_str()));
    };
    late(&mut s);
    // Nor by one that shows no task.
    let (now, t) = (at(s.seconds), wall(s.seconds));
    assert_eq!(s.fleet().check_in(&empty, now, t), HeartbeatOutcome::Refuse);
    // Nor at the next leader, which never knew it.
    s.change_leader(1.0);
    s.run(2.0);
    late(&mut s);
    s.finish(60.0);
    assert_eq!(s.started(&a), 2);
}

/// Combination 12: controllers hand over and back, all end, and one returns within a second. Against
/// late writes of its earlier life, and of the others, that change what is another's now.
#[test]
fn late_writes_of_earlier_leaders_fail_after_hand_overs_and_a_return_within_a_second() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "north", "south", "south", "north", "north", "south", "south"]);
    let mut ids = Vec::new();
    for life in 0..4u32 {
        // Its last write gets no answer and is carried out when others have followed.
        ids.push(s.submit(spec(1 + life, 5 + life, "batch"), 30.0));
        s.run(4.0);
        ids.push(s.submit(spec(11 + life, 1, "batch"), 20.0));
        s.owners[life as usize].unanswered = Some((6.5, |_| true));
        for _ in 0..8 {
            if s.owners[life as usize].unanswered.is_some() {
                s.step();
            }
        }
        assert!(s.owners[life as usize].unanswered.is_none(), "nothing was to be written");
        if life < 3 {
            // Handed over, with no pause.
            s.end_owner(life as usize);
            s.take_over(None);
        }
    }
    // All have ended; the last is back at once and knows nothing.
    s.change_leader(0.5);
    s.run(10.0);
    assert_eq!(s.late_results.len(), 4);
    // Earlier lives learn from any worker that they are over.
    let (fencing_token, now, t) = (s.fleet().fencing_token, at(s.seconds), wall(s.seconds));
    let newer = s.worker("i-1").state.report();
    for o in &mut s.owners[..4] {
        assert_eq!(o.controller.fleet.check_in(&newer, now, t), HeartbeatOutcome::Superseded(fencing_token));
    }
    for r in &s.late_results {
        assert!(
            r.as_ref().is_err_and(|k| k.iter().any(|k| k == leadership::SHARD_KEY)),
            "{:?}",
            s.late_results
        );
    }
    s.finish(150.0);
    for (id, spec) in &s.specs {
        assert_eq!(s.started(id), spec.tasks, "{id}");
    }
}

/// Combination 13: workers reach no controller, direct commands reach them. Against starting elsewhere
/// what they run, and against waiting for them for ever.
#[test]
fn tasks_of_workers_reached_by_commands_only_start_elsewhere_only_after_the_lease() {
    for (mute, restarted) in [(14.0_f64, false), (200.0, true)] {
        let mut s = Scenario::new();
        s.begin_with(&["north", "north", "north"]);
        let a = s.submit(tight(1, 6, "batch"), 60.0);
        s.run(5.0);
        assert_eq!(s.placed(&a), 6);
        let first = s.machines_of(&a);
        let places: Vec<&str> = first.iter().map(String::as_str).collect();
        s.link(&places, Link::CommandsOnly);
        s.change_leader(1.0);
        let next = s.submit(tight(2, 2, "batch"), 10.0);
        let gang = s.submit(spec(3, 4, "gang"), 10.0);
        s.run(4.0);
        assert_eq!(s.fleet().unacknowledged_machines(), 0, "heard by what the direct commands return");
        s.run(9.0);
        assert_eq!((s.started(&a), s.placed(&a), s.started(&next)), (6, 6, 0));
        assert!(s.begun.contains_key(&gang), "what has room does not wait for them");
        s.run((mute - 14.0).min(60.0));
        s.add_machine(4, "north");
        s.add_machine(5, "north");
        if !restarted {
            s.link(&places, Link::Up);
        }
        s.finish(120.0);
        assert_eq!(s.started(&a) > 6, restarted);
        assert!(!restarted || s.started(&a) == 12, "{} starts", s.started(&a));
    }
}

/// A stream of more work than room, a quarter of it of each rank, with the widest gang and array of all
/// before it; those and every fourth job of the stream should begin soon.
fn more_work_than_room(ranks: [Priority; 4], widest_rank: Priority, quick_every_fourth_from: u32) {
    let mut s = Scenario::new();
    s.begin_with(&["north", "south", "north", "south"]);
    let (mut ids, mut work) = (Vec::new(), 0.0);
    let quick = |job: JobSpec| JobSpec { class: Some("quick".into()), ..job };
    let wide = s.submit(quick(JobSpec { priority: widest_rank, ..spec(200, 14, "gang") }), 15.0);
    let widest = s.submit(quick(JobSpec { priority: widest_rank, ..spec(201, 40, "batch") }), 10.0);
    work += 14.0 * 15.0 + 40.0 * 10.0;
    for n in 0..90u32 {
        let shape = if n % 5 == 4 { "gang" } else { "batch" };
        let mut job = JobSpec { priority: ranks[n as usize % 4], ..spec(1 + n, 1 + n % 6, shape) };
        if n % 7 == 3 {
            job.team = "tight".into();
        }
        if n % 4 == quick_every_fourth_from {
            job = quick(job);
        }
        let length = f64::from(8 + (n * 7) % 20);
        work += f64::from(job.tasks) * length;
        ids.push((s.submit(job, length), s.seconds));
        s.run(3.0);
        if n == 40 {
            s.change_leader(3.0);
        }
    }
    assert!(work > 1.2 * 16.0 * s.seconds, "there is room for all: {work} in {} s", s.seconds);
    s.finish(1.5 * work / 16.0);
    for id in [&wide, &widest] {
        assert!(s.begun[id] < 240.0, "{id} began after {} s", s.begun[id]);
    }
    let wait = |x: &(String, f64)| s.begun[&x.0] - x.1;
    // The highest pass the others.
    let mean = |r: Priority| {
        let of: Vec<f64> = ids.iter().filter(|x| s.specs[&x.0].priority == r).map(wait).collect();
        of.iter().sum::<f64>() / of.len() as f64
    };
    assert!(mean(ranks[3]) < mean(Priority::Idle));
}

/// Combination 14: more work than room, urgent and not. Against a job that is forgotten or waits
/// without end, the widest ones too.
#[test]
fn more_work_than_room_starves_neither_urgent_nor_other_jobs() {
    more_work_than_room(
        [Priority::Idle, Priority::Normal, Priority::Urgent, Priority::Urgent],
        Priority::Urgent,
        3,
    );
}

/// Combination 14, with the widest ones of a rank below half of the stream.
#[test]
fn the_widest_gang_of_a_middle_rank_begins_beneath_a_stream_of_higher_ranks() {
    more_work_than_room(
        [Priority::Idle, Priority::Normal, Priority::Urgent, Priority::Critical],
        Priority::Normal,
        1,
    );
}

/// Combination 15: a leader ends while machines with long tasks are cut off or deaf, for less than the
/// lease and for longer. Against a second start while the first may run, and a wait without end.
#[test]
fn tasks_on_unreachable_machines_start_again_only_after_the_lease_when_the_leader_ends() {
    for link in [Link::Down, Link::ReportsOnly] {
        for (long, lost) in [(16.0, false), (80.0, true)] {
            let mut s = Scenario::new();
            s.begin_with(&["north", "north", "north", "north"]);
            let a = s.submit(spec(1, 4, "batch"), 150.0);
            let gang = s.submit(spec(2, 2, "gang"), 150.0);
            s.run(6.0);
            assert_eq!((s.placed(&a), s.placed(&gang)), (4, 2));
            let (first, second) = (s.machines_of(&a), s.machines_of(&gang));
            let away: BTreeSet<&str> = first.iter().chain(&second).map(String::as_str).collect();
            let away: Vec<&str> = away.into_iter().collect();
            assert!(away.len() < 4, "one has room for what never ran");
            s.link(&away, link);
            s.change_leader(2.0);
            let next = s.submit(spec(3, 2, "batch"), 5.0);
            s.run(long - 2.0);
            if !lost {
                assert_eq!((s.placed(&a), s.placed(&gang), s.started(&a), s.started(&gang)), (4, 2, 4, 2));
            }
            assert_eq!(s.stage(&next), Some(Stage::Done), "{link:?}: what never ran waits for nobody");
            (5..8).for_each(|n| s.add_machine(n, "north"));
            if !lost {
                s.workers.iter_mut().for_each(|w| w.link = Link::Up);
            }
            s.finish(250.0);
            let starts = if lost { (8, 4) } else { (4, 2) };
            assert_eq!((s.started(&a), s.started(&gang)), starts, "{link:?} for {long} s");
        }
    }
}

/// Combination 16: tasks of small jobs end far apart across a change of leader. Against a task that is
/// run again though it is done, and a job called done, or never, because of what its earlier owner
/// knew.
#[test]
fn tasks_that_are_done_do_not_run_again_after_a_change_of_leader() {
    // At 8 s the first ends are not written yet, at 22 s they are; at 50 s a second has ended too.
    for change in [8.0, 22.0, 50.0] {
        let mut s = Scenario::new();
        s.begin_with(&["north", "south", "north"]);
        let ids: Vec<String> = (1..=3).map(|n| s.submit(spec(n, 2 + n % 2, "batch"), 90.0)).collect();
        for (n, id) in ids.iter().enumerate() {
            s.lengths.insert(format!("{id}/{n}", n = n % 2), 3.0);
            s.lengths.insert(format!("{id}/2"), 40.0);
        }
        s.run(change);
        assert_eq!(s.store.rows("done/").is_empty(), change < 10.0);
        assert!(s.finished.len() >= 3);
        s.change_leader(2.0);
        s.run(30.0);
        assert!(ids.iter().all(|id| s.stage(id).is_none()));
        s.change_leader(1.0);
        s.finish(90.0);
        for id in &ids {
            assert_eq!(s.started(id), s.specs[id].tasks, "{id}, change at {change} s");
        }
        s.run(5.0);
        assert!(s.store.rows("done/").is_empty() && s.workers.iter().all(|w| w.state.tasks.is_empty()));
    }
}

/// Combination 18: all controllers are away for longer than the lease. Against waiting for tasks that
/// have ended with their leases, and against an old report that says they run.
#[test]
fn lost_tasks_run_again_after_all_controllers_were_away_for_longer_than_the_lease() {
    let mut s = Scenario::new();
    s.begin_with(&["north", "south", "north"]);
    let a = s.submit(tight(1, 6, "batch"), 40.0);
    s.lengths.insert(format!("{a}/0"), 3.0);
    let gang = s.submit(spec(2, 3, "gang"), 40.0);
    let gone = s.submit(spec(3, 2, "batch"), 300.0);
    s.run(8.0);
    assert_eq!((s.placed(&a), s.placed(&gang), s.placed(&gone)), (5, 3, 2));
    assert!(s.cancel(&gone));
    s.end_owner(0);
    let mut held = Vec::new();
    for n in 1..=3 {
        held.push(s.worker(&format!("i-{n}")).state.report());
    }
    s.run(40.0);
    assert!(s.workers.iter().all(|w| w.state.agent_epoch == 2 && w.state.tasks.is_empty()));
    s.take_over(None);
    s.run(6.0);
    assert_eq!((s.fleet().unacknowledged_machines(), s.placed(&gang), s.started(&gone)), (0, 3, 2));
    for r in &held {
        let (now, t) = (at(s.seconds), wall(s.seconds));
        assert_eq!(s.fleet().check_in(r, now, t), HeartbeatOutcome::Refuse);
    }
    s.finish(80.0);
    // What was done and not written is lost with the session, and runs again.
    assert_eq!((s.started(&a), s.started(&gang), s.started(&gone)), (12, 6, 2));
}
