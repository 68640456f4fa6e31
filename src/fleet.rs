//! The owner's world: its jobs, its machines, and what workers report. No I/O and no clock; the
//! moments are handed in. What has to be written or asked of the cloud is collected by others.
//!
//! A task is *possibly there* from the moment a start may leave until a newer report lacks it or
//! shows it exited, or the machine is gone for certain. Nothing is started elsewhere before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::capacity::{Offer, Policy, Upkeep, View, Warm};
use crate::config::{Config, Team};
use crate::direct_command::DirectCommand;
use crate::history::{History, Key};
use crate::jobs::{
    done_key, split_task, DemandRecord, GangAttempt, Job, JobId, JobRecord, MachineId, MachineRecord, Ranges,
};
use crate::packs::Packs;
use crate::sched::{self, Class, Held, Keep, Need, Plan, Room, Snapshot, TeamUse};
use crate::time::{Micros, Steady, Wall};
use crate::wire::{
    JobSpec, ListedMachine, MachineType, Order, Rank, Report, ReportReply, Shape, TaskReport, TaskStage, Why,
};

/// A task on a machine, by job, number and attempt.
pub type TaskKey = (JobId, u32, u64);

/// A task that is or may be on a machine.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where it stands; none: its start has left and no newer report has come.
    pub stage: Option<TaskStage>,
    /// What it takes; none if its job is not known.
    pub need: Option<Need>,
    /// When its start left or it was first seen.
    pub since: Steady,
    /// When it was first seen running, if its start was seen.
    pub running: Option<Steady>,
    /// To be stopped, with this grace.
    pub stop: Option<f64>,
    /// Why it ended, if it did.
    pub ended: Option<Why>,
}

impl Entry {
    fn live(&self) -> bool {
        self.ended.is_none()
    }
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// The worker's address.
    pub addr: String,
    /// Type, by the catalogue's index.
    pub ty: Option<usize>,
    /// Type's name.
    pub ty_name: String,
    /// Zone by index.
    pub zone: usize,
    /// Spot machine.
    pub spot: bool,
    /// Its record is written.
    pub enrolled: bool,
    /// Version of a record of its own, as earlier versions wrote it; 0 if there is none.
    pub stamp: u64,
    /// Enrolled by an earlier owner: not known to be free of its commands until it shows our
    /// token.
    pub inherited: bool,
    /// A report has shown our token, or no earlier owner can have used it.
    pub heard: bool,
    /// A report has come.
    pub up: bool,
    /// Newest message.
    pub seen: (u64, u64),
    /// When a report was last answered with 200.
    pub answered: Option<Steady>,
    /// When it was seen to have our token: from then on no earlier owner renews its lease.
    pub ours_since: Option<Steady>,
    /// When a direct command was last made out for it.
    pub commanded: Steady,
    /// When a report last came that this owner might not answer.
    pub alive: Steady,
    /// When it was first known here.
    pub known: Steady,
    /// Its age when it was first known.
    pub age: Micros,
    /// When the cloud takes it.
    pub notice: Option<Steady>,
    /// It is to be returned, or is being returned.
    pub leaving: bool,
    /// Known from the cloud's list.
    pub listed: bool,
    /// Missing from a newer list, or listed as failed.
    pub missing: bool,
    /// Its lease ran out here.
    pub expired: bool,
    /// The tasks.
    pub tasks: BTreeMap<TaskKey, Entry>,
    /// Images, the most recently used last.
    pub images: Vec<(u32, f64)>,
    /// Since when it has had no task.
    pub idle: Steady,
    /// Not placed on before this.
    pub not_before: Steady,
    /// Jobs whose tasks failed here with no success since.
    pub failed: BTreeSet<JobId>,
    /// Last report that was newer than those before.
    pub report: Steady,
    /// Starts that left in the last answer: the next newer report should show them.
    pub sent: Vec<TaskKey>,
    /// Answers in a row that by the next report did not arrive.
    pub deaf: u32,
}

impl Machine {
    fn new(id: &str, now: Steady) -> Machine {
        Machine {
            id: id.into(),
            addr: String::new(),
            ty: None,
            ty_name: String::new(),
            zone: 0,
            spot: false,
            enrolled: false,
            stamp: 0,
            inherited: false,
            heard: true,
            up: false,
            seen: (0, 0),
            answered: None,
            ours_since: None,
            commanded: Steady(0),
            alive: Steady(0),
            known: now,
            age: Micros::ZERO,
            notice: None,
            leaving: false,
            listed: false,
            missing: false,
            expired: false,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            idle: now,
            not_before: Steady(0),
            failed: BTreeSet::new(),
            report: Steady(0),
            sent: Vec::new(),
            deaf: 0,
        }
    }

    /// A task of a job that is not known takes an unknown share.
    fn unknown_use(&self) -> bool {
        self.tasks.values().any(|e| e.live() && e.need.is_none())
    }

    fn free(&self, total: Need) -> Need {
        self.tasks.values().filter(|e| e.live()).filter_map(|e| e.need).fold(total, |t, n| t.less(&n, 1))
    }

    /// The last moment at which its lease may have been renewed, if that is for this owner to know.
    fn renewed(&self) -> Option<Steady> {
        self.answered.max(self.ours_since)
    }

    /// Whether this owner's token has to be brought to it: it has not reported of late by itself.
    pub fn to_raise(&self, now: Steady) -> bool {
        !self.heard && !self.leaving && self.answered.unwrap_or(self.known) + RAISE_AFTER < now
    }

    fn usable(&self, now: Steady) -> bool {
        self.up && self.enrolled && self.heard && !self.leaving && !self.expired && now >= self.not_before
    }
}

/// Outcome of a check-in.
#[derive(Debug, PartialEq)]
pub enum CheckIn {
    /// Answer 200 with this.
    Reply(ReportReply),
    /// Another has a higher token: this owner is replaced.
    Superseded(u64),
    /// Not to be answered with 200.
    Refuse,
}

/// Something to write for the owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pending {
    /// A job is over: all tasks are done.
    Final(JobId),
    /// A value of machines' records, before the first start on a machine in it.
    Machines(u32),
    /// A value of marks, before tasks that they allow are started.
    Marks(u32),
    /// A chunk of done ranges.
    Done(JobId, u32),
    /// A value of records from which only some have gone.
    Tidy(Packed, u32),
    /// A value of the history.
    History(u32),
    /// A machine is gone that has a record of its own, as earlier versions wrote it.
    Unenrol(MachineId, u64),
    /// A chunk of done ranges that is no job's any more.
    Orphan(String, u64),
    /// The list of recent jobs.
    Recent,
}

impl Pending {
    /// Whether somebody waits for it: a start, or a job's user.
    pub fn urgent(&self) -> bool {
        matches!(self, Pending::Final(_) | Pending::Machines(_) | Pending::Marks(_))
    }
}

/// What is packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Packed {
    /// Machines' records.
    Machines,
    /// Jobs' marks.
    Marks,
}

/// What a write says, as it stood when it was composed.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// Nothing that has to be remembered.
    Nothing,
    /// Done ranges.
    Done(Ranges),
    /// Machines, with the count of changes to their value.
    Machines(Vec<MachineId>, u64),
    /// Marks, with the count of changes to their value.
    Marks(Vec<(JobId, u32)>, u64),
}

/// Numbers for polls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tasks done.
    pub done: u32,
    /// Tasks running.
    pub running: u32,
}

/// A recent job, for what large machines are kept for.
#[derive(Clone, Debug)]
struct Demand {
    at: Steady,
    need: Need,
    rank: Rank,
    types: Vec<usize>,
    /// Task-seconds, by the stated time.
    work: f64,
    /// Its class should start sooner than a machine boots and fetches.
    hasty: bool,
    /// Machines that it takes at once, beyond the first: a gang's tasks.
    beside: u32,
    /// It has a deadline.
    due: bool,
    /// It may use spot machines.
    spot: bool,
}

/// How long what nobody waits for is gathered before it is written.
const TIDY: Micros = Micros(3_000_000);
/// How often the list of recent jobs is written at the most.
const NOTE: Micros = Micros(10_000_000);
/// How far back jobs count for what is kept.
const RECENT: Micros = Micros(300_000_000);

/// The owner's world.
pub struct Fleet {
    /// This owner's token.
    pub token: u64,
    /// Jobs that are not over, or whose tasks are not all gone.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Past jobs.
    pub history: History,
    /// The latest plan's unmet tasks and reservation, for renting and the log.
    pub plan: Plan,
    /// Something changed since the last plan.
    pub dirty: bool,
    cfg: Arc<Config>,
    types: Vec<MachineType>,
    zones: Vec<String>,
    images: BTreeMap<String, u32>,
    counter: u64,
    taken: Steady,
    planned: Steady,
    planned_jobs: Vec<JobId>,
    /// What the latest plan starts on each machine: jobs with numbers of tasks.
    assigned: BTreeMap<MachineId, Vec<(JobId, u32)>>,
    /// Places of gangs whose starts have not left.
    promised: BTreeMap<MachineId, Vec<(JobId, u32)>>,
    /// Jobs that fit their team's guarantee, its earlier unfinished ones counted first.
    guaranteed: BTreeSet<JobId>,
    /// The latest plan's snapshot and machines on which nothing more may start before the next.
    planned_for: Snapshot,
    closed: BTreeSet<MachineId>,
    /// Use of teams with limits, by index; counted anew when emptied.
    uses: Vec<Option<Need>>,
    /// How many machines are not heard, and whether it was said that all are.
    silent: usize,
    sighted: bool,
    /// Packed records.
    pub packs: Packs<MachineRecord>,
    /// Packed marks.
    pub marks: Packs<u32>,
    /// All changes of jobs up to this revision are known here.
    read_to: u64,
    /// Later revisions at which jobs ended, so that a late message does not bring them back.
    over: BTreeMap<JobId, u64>,
    /// At this moment nobody had taken over from this owner.
    confirmed: Steady,
    /// When the log last said how the machines are used.
    told: Steady,
    /// Machines that are gone; reports from them are late.
    gone: BTreeMap<MachineId, Steady>,
    unenrol: BTreeMap<MachineId, u64>,
    orphans: BTreeMap<String, u64>,
    refused: BTreeMap<Offer, Steady>,
    /// Demands of recent jobs by type, for what low ranks leave free.
    demands: Vec<Demand>,
    /// When the list of them was last written, and how many jobs had come by then.
    noted: (Steady, u64),
    came: u64,
    /// When something that nobody waits for was last written.
    tidied: Steady,
    lease: Micros,
}

/// How often the log says how the machines are used.
const TELL: Micros = Micros(15_000_000);
/// How long a machine that the cloud says is running is waited for after its lease ran out.
const CUT: Micros = Micros(40_000_000);
const MARGIN: Micros = Micros(1_500_000);
/// With no more pairs of job and machine than this, each report is answered on a plan of the
/// moment; with more, plans are made beside the answers.
const SMALL: usize = 4_000;
/// Silent machines that are few are fenced no sooner than this after a takeover.
const FENCE_SOON: Micros = Micros(8_000_000);
/// Silent machines that the cloud does not list are returned so long after a takeover.
const NOT_LISTED: Micros = Micros(4_000_000);
/// Delays that differ by less count as alike.
const FINE: Micros = Micros(2_000_000);
/// So many seconds after it came a job that missed its start yields to others no more, and the
/// widest of its shape after so many: it must begin within four minutes.
const YIELDS: f64 = 150.0;
const YIELDS_WIDEST: f64 = 90.0;
/// So long a worker is waited for before a new owner's token is brought to it.
const RAISE_AFTER: Micros = Micros(1_500_000);
/// After so many answers in a row that did not arrive, a machine is returned.
const DEAF: u32 = 4;

impl Fleet {
    /// A new owner's world; records are loaded into it before anything is placed.
    pub fn new(cfg: Arc<Config>, types: Vec<MachineType>, token: u64, now: Steady) -> Fleet {
        let lease = cfg.lease().scale(1.001) + MARGIN;
        Fleet {
            token,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            history: History::new(cfg.operator.history_per_key),
            plan: Plan::default(),
            dirty: true,
            zones: cfg.platform.settings.zones.clone(),
            types,
            images: BTreeMap::new(),
            counter: 0,
            taken: now,
            planned: Steady(0),
            planned_jobs: Vec::new(),
            guaranteed: BTreeSet::new(),
            assigned: BTreeMap::new(),
            promised: BTreeMap::new(),
            planned_for: Snapshot::default(),
            closed: BTreeSet::new(),
            uses: Vec::new(),
            silent: 0,
            sighted: false,
            packs: Packs::new(cfg.value_bytes()),
            marks: Packs::new(cfg.value_bytes()),
            read_to: 0,
            over: BTreeMap::new(),
            gone: BTreeMap::new(),
            unenrol: BTreeMap::new(),
            orphans: BTreeMap::new(),
            refused: BTreeMap::new(),
            demands: Vec::new(),
            noted: (now, 0),
            tidied: now,
            told: now,
            confirmed: now,
            came: 0,
            lease,
            cfg,
        }
    }

    /// Takes new prices, and the types if they were not known.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
        let index: BTreeMap<String, usize> =
            self.types.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect();
        for m in self.machines.values_mut() {
            m.ty = index.get(&m.ty_name).copied();
        }
        if self.demands.is_empty() {
            // Jobs that came before the types were known.
            let specs: Vec<(Steady, JobSpec)> =
                self.jobs.values().map(|j| (j.known, j.spec.clone())).collect();
            specs.iter().for_each(|(known, s)| self.demand(s, *known));
        }
        self.dirty = true;
    }

    /// Learns that this owner's lease stood at a moment: a renewal begun then was granted.
    pub fn confirm(&mut self, at: Steady) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Bytes that a value may hold.
    pub fn value_bytes(&self) -> usize {
        self.cfg.value_bytes()
    }

    /// The machine types.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// Name of a zone.
    pub fn zone_name(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or("", String::as_str)
    }

    fn zone(&mut self, name: &str) -> usize {
        self.zones.iter().position(|z| z == name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        })
    }

    fn image(&mut self, name: &str) -> u32 {
        let next = self.images.len() as u32;
        *self.images.entry(name.to_string()).or_insert(next)
    }

    fn describe(&mut self, id: &MachineId, addr: &str, ty: &str, zone: &str, spot: bool) {
        let zone = self.zone(zone);
        let index = self.types.iter().position(|t| t.name == ty);
        if let Some(m) = self.machines.get_mut(id) {
            if !addr.is_empty() {
                m.addr = addr.to_string();
            }
            if m.ty_name.is_empty() && !ty.is_empty() {
                (m.ty_name, m.ty, m.zone, m.spot) = (ty.to_string(), index, zone, spot);
            }
        }
    }

    // ---- records ----

    /// Takes over a machine from its record: tasks may be on it until it is heard. `stamp` is the
    /// version of a record of its own, as earlier versions wrote it, or 0.
    pub fn inherit_machine(&mut self, id: &str, r: &MachineRecord, stamp: u64, now: Steady) {
        let mut m = Machine::new(id, now);
        (m.enrolled, m.stamp, m.inherited, m.heard) = (true, stamp, true, false);
        let id = m.id.clone();
        if self.machines.insert(id.clone(), m).is_none_or(|old| old.heard) {
            self.silent += 1;
        }
        if stamp > 0 {
            // It moves into a value with others; its own record goes when the machine does.
            self.packs.put(&id, r.clone());
        }
        self.uses.clear();
        self.describe(&id, &r.addr, &r.ty, &r.zone, r.spot);
    }

    /// Takes over a value of machines' records.
    pub fn inherit_machines(
        &mut self,
        slot: u32,
        records: BTreeMap<MachineId, MachineRecord>,
        stamp: u64,
        now: Steady,
    ) {
        for (id, r) in &records {
            self.inherit_machine(id, r, 0, now);
        }
        self.packs.load(slot, stamp, records);
    }

    /// Takes over a value of marks. Those of jobs that are over are dropped.
    pub fn inherit_marks(&mut self, slot: u32, marks: BTreeMap<JobId, u32>, stamp: u64) {
        let over: Vec<JobId> = marks.keys().filter(|id| !self.jobs.contains_key(*id)).cloned().collect();
        for (id, high) in &marks {
            if let Some(j) = self.jobs.get_mut(id) {
                j.marked(*high);
            }
        }
        self.marks.load(slot, stamp, marks);
        over.iter().for_each(|id| self.marks.remove(id));
    }

    /// Up to which revision all changes of jobs are known.
    pub fn read_to(&self) -> u64 {
        self.read_to
    }

    /// All changes of jobs up to a revision have been taken in.
    pub fn has_read_to(&mut self, revision: u64) {
        self.read_to = self.read_to.max(revision);
        let known = self.read_to;
        self.over.retain(|_, r| *r > known);
    }

    /// Learns of a job, new or changed. Late copies of what is over are ignored: what was written by
    /// the revision up to which all is known, and is not known, has ended. Without this the word of
    /// another controller, held up on the way until an owner had come that never knew the job, would
    /// start a cancelled one.
    pub fn job_put(&mut self, record: JobRecord, stamp: u64, now: Steady) {
        let id: JobId = record.spec.id.as_str().into();
        let late = stamp <= self.read_to && !self.jobs.contains_key(&id);
        if late || self.over.get(&id).is_some_and(|&r| r >= stamp) {
            return;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            if stamp > j.stamp {
                j.stamp = stamp;
                j.high = j.high.max(record.high);
                j.high_wanted = j.high_wanted.max(j.high);
            }
            return;
        }
        let job = Job::new(record, stamp, now);
        let need = need_of(&job.spec);
        self.demand(&job.spec, now);
        // Tasks of the job may have been reported before its record was known.
        for m in self.machines.values_mut() {
            for (_, e) in m.tasks.range_mut((id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX)) {
                e.need = Some(need);
            }
        }
        self.jobs.insert(id.clone(), job);
        for (n, at) in self.located(&id) {
            self.refresh(&id, n, &at);
        }
        self.dirty = true;
    }

    fn demand(&mut self, s: &JobSpec, now: Steady) {
        let types = self.allowed_types(s);
        let slowest = types
            .iter()
            .filter_map(|&t| self.types.get(t))
            .map(|t| t.boot_s + s.image_gb / t.fetch_gb_per_s.max(0.001));
        let ready = slowest.fold(f64::INFINITY, f64::min);
        let aim = self.start_aim(s);
        self.came += 1;
        self.demands.push(Demand {
            at: now,
            need: need_of(s),
            rank: s.rank,
            types,
            work: stated(s).secs().min(3600.0) * f64::from(s.tasks),
            hasty: aim.is_some_and(|a| a < ready),
            beside: if s.shape == Shape::Gang { s.tasks - 1 } else { 0 },
            due: s.deadline_s.is_some(),
            spot: s.spot,
        });
    }

    /// Seconds within which its class's aim has a job start, if there is such an aim.
    fn start_aim(&self, s: &JobSpec) -> Option<f64> {
        let aims = &self.cfg.platform.settings.objectives;
        let of = aims.iter().filter(|o| o.kind == "wait" && Some(&o.class) == s.class.as_ref());
        of.map(|o| o.within_s).reduce(f64::min)
    }

    /// Recent jobs as they are written: only what large machines are kept for, the latest first,
    /// no more than fit the bytes.
    pub fn recent(&self, now: Steady, wall: Wall, bytes: usize) -> Vec<DemandRecord> {
        let name = |t: &usize| self.types.get(*t).map(|t| t.name.clone());
        let mut left = bytes;
        let kept = self.demands.iter().rev().filter(|d| d.hasty || d.rank > Rank::Idle);
        kept.map(|d| DemandRecord {
            at_us: (wall - (now - d.at)).0,
            need: (d.need.cpus, d.need.gpus, d.need.memory),
            rank: d.rank,
            types: d.types.iter().filter_map(name).collect(),
            work: d.work,
            hasty: d.hasty,
            beside: d.beside,
            due: d.due,
            spot: d.spot,
        })
        .take_while(|r| {
            let size = 200 + r.types.iter().map(|t| t.len() + 3).sum::<usize>();
            left = left.saturating_sub(size);
            left > 0
        })
        .collect()
    }

    /// Takes over the list of recent jobs. Those that are still live are in it twice only if they
    /// were loaded before; so it is loaded first.
    pub fn inherit_recent(&mut self, list: Vec<DemandRecord>, now: Steady, wall: Wall) {
        for r in list {
            let age = (wall - Wall(r.at_us)).max(Micros::ZERO);
            let index = |n: &String| self.types.iter().position(|t| t.name == *n);
            self.demands.push(Demand {
                at: now - age,
                need: Need { cpus: r.need.0, gpus: r.need.1, memory: r.need.2 },
                rank: r.rank,
                types: r.types.iter().filter_map(index).collect(),
                work: r.work,
                hasty: r.hasty,
                beside: r.beside,
                due: r.due,
                spot: r.spot,
            });
        }
        self.demands.retain(|d| now - d.at < RECENT);
    }

    /// By type, how many machines stay though idle: those that hasty jobs of late kept busy, with
    /// some to spare, since a new machine would come too late for the next.
    fn warm(&self, now: Steady) -> Vec<Warm> {
        let hasty = || self.demands.iter().filter(|d| d.hasty).map(|d| d.at);
        let (Some(first), Some(last)) = (hasty().min(), hasty().max()) else {
            return vec![Warm::default(); self.types.len()];
        };
        let span = (now - first).secs().clamp(60.0, RECENT.secs());
        // No such job for much longer than usual: no more are expected.
        if (now - last).secs() > (4.0 * span / hasty().count() as f64).max(60.0) {
            return vec![Warm::default(); self.types.len()];
        }
        (0..self.types.len())
            .map(|ty| {
                let of = self.demands.iter().filter(|d| d.hasty && d.types.first() == Some(&ty));
                let (work, any, spot) = of.fold((0.0, false, false), |(w, _, spot), d| {
                    (w + d.work / f64::from(self.total(ty).fits(&d.need).max(1)), true, spot || d.spot)
                });
                if !any {
                    return Warm::default();
                }
                // Square-root staffing: the mean in use, and its spread beside it.
                let load = work / span;
                Warm { count: (load + load.sqrt()).round().max(1.0) as usize, spot }
            })
            .collect()
    }

    fn located(&self, id: &JobId) -> Vec<(u32, MachineId)> {
        let all = || (id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX);
        self.machines.values().flat_map(|m| m.tasks.range(all()).map(|(k, _)| (k.1, m.id.clone()))).collect()
    }

    /// Machines on which live tasks of a job possibly are.
    fn places(&self, id: &str) -> Vec<MachineId> {
        let all: BTreeSet<&MachineId> =
            self.jobs.get(id).iter().flat_map(|j| j.live.values().flatten()).collect();
        all.into_iter().cloned().collect()
    }

    /// Tells live tasks of a job to stop, all or those of one attempt, on every machine.
    fn stop_all(&mut self, id: &JobId, attempt: Option<u64>, grace: f64, anew: bool) {
        for at in self.places(id) {
            let Some(m) = self.machines.get_mut(&at) else { continue };
            for (k, e) in m.tasks.range_mut((id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX)) {
                if attempt.is_none_or(|a| a == k.2) && e.live() && (anew || e.stop.is_none()) {
                    e.stop = Some(grace);
                }
            }
        }
    }

    /// Learns done ranges from their record. Those of a job that is over are to be removed.
    pub fn inherit_done(&mut self, id: &str, chunk: u32, text: &str, stamp: u64) {
        let Some(j) = self.jobs.get_mut(id) else {
            self.orphans.insert(done_key(id, chunk), stamp);
            return;
        };
        let mut r = Ranges::new();
        r.add_text(text, j.spec.tasks);
        for n in r.iter() {
            j.done.insert(n);
            j.done_written.insert(n);
            j.waiting.remove(n);
        }
        j.chunks.insert(chunk, stamp);
    }

    /// A job's record is gone at this revision: it is over, by its user's wish or because this
    /// owner wrote its end. What is left of it is stopped.
    pub fn job_over(&mut self, id: &str, revision: u64) {
        let id: JobId = id.into();
        if revision > self.read_to {
            let r = self.over.entry(id.clone()).or_insert(0);
            *r = (*r).max(revision);
        }
        let Some(j) = self.jobs.get_mut(&id) else { return };
        if j.stamp > revision {
            return;
        }
        j.cancelled = true;
        j.gang = None;
        for (c, stamp) in std::mem::take(&mut j.chunks).into_iter().filter(|c| c.1 > 0) {
            self.orphans.insert(done_key(&id, c), stamp);
        }
        self.marks.remove(&id);
        self.stop_all(&id, None, 0.0, true);
        self.clear_job(&id);
        self.dirty = true;
    }

    fn clear_job(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|j| j.cancelled && j.live.is_empty()) {
            self.jobs.remove(id);
        }
    }

    // ---- where tasks are ----

    /// Brings a task's standing in its job in line with a machine on which it was, is or may be.
    fn refresh(&mut self, id: &JobId, n: u32, at: &MachineId) {
        let there = self.machines.get(at).is_some_and(|m| {
            m.tasks.range((id.clone(), n, 0)..=(id.clone(), n, u64::MAX)).any(|(_, e)| e.live())
        });
        let Some(j) = self.jobs.get_mut(id) else { return };
        if n >= j.spec.tasks {
            return;
        }
        if there {
            let places = j.live.entry(n).or_default();
            if !places.contains(at) {
                places.push(at.clone());
            }
            j.waiting.remove(n);
        } else {
            if let Some(places) = j.live.get_mut(&n) {
                places.retain(|p| p != at);
                if places.is_empty() {
                    j.live.remove(&n);
                }
            }
            if !j.live.contains_key(&n) && !j.done.contains(n) {
                j.waiting.insert(n);
            }
        }
        self.dirty = true;
        self.clear_job(id);
    }

    /// A task's entry is gone from its machine without a word of how it ended.
    fn vanished(&mut self, key: &TaskKey, at: &MachineId) {
        self.gang_broken(&key.0, key.2);
        self.refresh(&key.0, key.1, at);
    }

    /// A gang's attempt lost a task: the rest is stopped, and a new attempt waits until all are
    /// gone.
    fn gang_broken(&mut self, id: &JobId, attempt: u64) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        if j.spec.shape != Shape::Gang {
            return;
        }
        if let Some(g) = j.gang.as_mut().filter(|g| g.attempt == attempt) {
            g.stopping.get_or_insert(0.0);
        }
        self.stop_all(id, Some(attempt), 0.0, false);
        self.dirty = true;
    }

    /// All that is on the machine is gone for certain.
    fn emptied(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id) else { return };
        m.sent.clear();
        let tasks = std::mem::take(&mut m.tasks);
        for (k, e) in tasks {
            if e.live() {
                self.vanished(&k, id);
            }
        }
        self.dirty = true;
    }

    /// Machines that may hold commands of an earlier owner.
    pub fn unheard(&self) -> usize {
        self.silent
    }

    /// Commands without orders to the machines to which this owner's token has to be brought.
    pub fn to_raise(&self, now: Steady) -> Vec<DirectCommand> {
        let due = self.machines.values().filter(|m| m.to_raise(now) && !m.addr.is_empty());
        due.map(|m| DirectCommand {
            machine: m.id.clone(),
            address: m.addr.clone(),
            session: m.seen.0.max(1),
            orders: Vec::new(),
        })
        .collect()
    }

    /// Whether a job's started tasks may be on a machine that is not heard. Only on one that the
    /// job may use: an old owner checked that as this one does.
    fn hidden(&self, s: &JobSpec) -> bool {
        if self.silent == 0 {
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

    // ---- check-ins ----

    /// A report came while this owner may answer none. Without this a machine whose lease ended for
    /// that would be taken for silent and returned as soon as the owner may act again: after a long
    /// outage of the state service all of them.
    pub fn not_answered(&mut self, machine: &str, now: Steady) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.alive = now;
        }
    }

    /// Takes a report and says what to answer.
    pub fn check_in(&mut self, r: &Report, now: Steady, wall: Wall) -> CheckIn {
        if r.token > self.token {
            return CheckIn::Superseded(r.token);
        }
        let id: MachineId = r.machine.as_str().into();
        if self.gone.contains_key(&id) {
            return CheckIn::Refuse;
        }
        if !self.machines.contains_key(&id) {
            if r.machine.is_empty()
                || r.machine.len() > 100
                || r.machine.contains([' ', '/', '?', '&', '%', '#'])
            {
                return CheckIn::Refuse;
            }
            if !r.tasks.is_empty() {
                // Nothing is started on a machine without a record, and it has none: a late copy
                // from a machine that was returned before this owner came.
                tracing::info!(machine = %id, "a late report of a machine that is gone");
                return CheckIn::Refuse;
            }
            tracing::info!(machine = %id, ty = %r.ty, zone = %r.zone, "a machine reports for the first time");
            self.machines.insert(id.clone(), Machine::new(&id, now));
        }
        self.describe(&id, &r.addr, &r.ty, &r.zone, r.spot);
        if !self.take_report(&id, r, now) {
            // A copy, or one that was overtaken: it renews nothing and revives nothing, and the
            // worker does not wait for its answer.
            return CheckIn::Refuse;
        }
        if let Some(m) = self.machines.get_mut(&id) {
            m.answered = Some(now);
            m.report = now;
            m.expired = false;
            m.missing = false;
        }
        let orders = self.orders(&id, now, wall);
        CheckIn::Reply(ReportReply { token: self.token, orders })
    }

    /// Takes the report that a direct command returned: it only tells that our token has arrived.
    /// Its task list may be older than a start on its way, so once the machine is heard it is not
    /// used at all. Returns a higher token, if one shows.
    pub fn raised(&mut self, r: &Report, now: Steady) -> Option<u64> {
        if r.token > self.token {
            return Some(r.token);
        }
        let id: MachineId = r.machine.as_str().into();
        if self.machines.get(&id).is_some_and(|m| !m.heard) {
            self.take_report(&id, r, now);
            // What an earlier owner answered was reported before this. A machine that never reports
            // would otherwise hold its tasks until it is returned.
            if let Some(m) = self.machines.get_mut(&id).filter(|_| r.token == self.token) {
                m.ours_since = Some(now);
            }
        }
        None
    }

    /// Halts of what is left of jobs that are over, for machines whose report is overdue.
    /// The answer to a report carries the same halts; a machine that reaches no controller, or whose
    /// owner may no longer answer, has them from here.
    pub fn to_halt(&mut self, now: Steady) -> Vec<DirectCommand> {
        let overdue = Micros::from_secs(self.cfg.platform.settings.workers.report_s * 1.5);
        let mut out = Vec::new();
        for m in self.machines.values_mut() {
            if m.addr.is_empty() || now - m.report.max(m.commanded) <= overdue {
                continue;
            }
            let over = |k: &TaskKey| self.jobs.get(&k.0).is_none_or(|j| j.cancelled);
            let orders: Vec<Order> = m
                .tasks
                .iter()
                .filter(|(k, e)| e.live() && e.stop == Some(0.0) && over(k))
                .map(|(k, _)| Order::Halt { task: format!("{}/{}", k.0, k.1), attempt: k.2, grace_s: 0.0 })
                .collect();
            if !orders.is_empty() {
                m.commanded = now;
                out.push(DirectCommand {
                    machine: m.id.clone(),
                    address: m.addr.clone(),
                    session: m.seen.0.max(1),
                    orders,
                });
            }
        }
        out
    }

    fn take_report(&mut self, id: &MachineId, r: &Report, now: Steady) -> bool {
        let token = self.token;
        let Some(m) = self.machines.get_mut(id) else { return false };
        if (r.season, r.tally) <= m.seen {
            return false;
        }
        let lost_lease = m.seen.0 > 0 && r.season > m.seen.0;
        m.seen = (r.season, r.tally);
        if !m.up {
            m.up = true;
            m.idle = now;
            self.dirty = true;
        }
        if !m.heard && r.token == token {
            m.heard = true;
            self.silent = self.silent.saturating_sub(1);

            self.uses.clear();
            self.dirty = true;
        }
        let notice = r.notice_s.filter(|s| s.is_finite()).map(|s| now + Micros::from_secs(s));
        if notice.is_some() != m.notice.is_some() {
            tracing::info!(machine = %id, seconds = r.notice_s, "spot notice");
            self.dirty = true;
        }
        m.notice = notice;
        let mut there: Vec<TaskKey> = Vec::with_capacity(r.tasks.len());
        for t in r.tasks.iter().take(10_000) {
            let Some((job, n)) = split_task(&t.task) else {
                tracing::error!(machine = %id, task = %t.task, "a report names a malformed task");
                continue;
            };
            let job = self.jobs.get_key_value(job).map_or_else(|| job.into(), |j| j.0.clone());
            let key: TaskKey = (job, n, t.attempt);
            self.take_task(id, &key, t, now);
            there.push(key);
        }
        self.arrived(id, &there, lost_lease, now);
        there.sort_unstable();
        let Some(m) = self.machines.get_mut(id) else { return false };
        let absent: Vec<TaskKey> =
            m.tasks.keys().filter(|k| there.binary_search(k).is_err()).cloned().collect();
        for k in absent {
            let Some(e) = self.machines.get_mut(id).and_then(|m| m.tasks.remove(&k)) else { continue };
            if e.live() {
                // The start did not arrive, or the worker's lease ran out and it forgot all.
                tracing::debug!(machine = %id, job = %k.0, task = k.1, "a task is not there");
                self.vanished(&k, id);
            }
        }
        if let Some(m) = self.machines.get_mut(id) {
            if !m.tasks.is_empty() {
                m.idle = now;
            }
        }
        true
    }

    /// Whether the last answer arrived, by what the report after it shows. A machine whose reports
    /// come through while answers do not would have the same work promised to it for ever, and
    /// nothing of it run: it gets nothing for longer and longer, and is returned if it stays so.
    fn arrived(&mut self, id: &MachineId, there: &[TaskKey], lost_lease: bool, now: Steady) {
        let report = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        let Some(m) = self.machines.get_mut(id) else { return };
        // Unless this owner itself let the lease run out, since it might not answer.
        let answered = m.answered.is_some_and(|a| now - a < self.lease && m.alive <= a);
        let sent = std::mem::take(&mut m.sent);
        if lost_lease && answered {
            // Its lease ran out although each report was answered.
            m.deaf += 2;
        } else if !sent.is_empty() {
            if sent.iter().any(|k| there.contains(k)) {
                m.deaf = 0;
                return;
            }
            m.deaf += 1;
        } else {
            return;
        }
        // One may be lost on the way: only the next says that something is wrong.
        if m.deaf >= 2 {
            m.not_before = m.not_before.max(now + report.scale(f64::from(1u32 << m.deaf.min(4))));
        }
        tracing::info!(machine = %id, times = m.deaf, "an answer did not arrive");
        if m.deaf >= DEAF && !m.leaving {
            tracing::info!(machine = %id, "returned: it reports, but answers do not reach it");
            m.leaving = true;
        }
        self.dirty = true;
    }

    fn take_task(&mut self, id: &MachineId, key: &TaskKey, t: &TaskReport, now: Steady) {
        // Most of a report says what is known already.
        let known = self.machines.get(id).and_then(|m| m.tasks.get(key));
        if known.is_some_and(|e| e.ended.is_some() || (e.stage == Some(t.stage) && e.need.is_some())) {
            return;
        }
        let fresh = known.is_none();
        let job = self
            .jobs
            .get(&key.0)
            .map(|j| (need_of(&j.spec), j.cancelled, j.spec.image.clone(), j.spec.image_gb));
        let image = match &job {
            Some((_, _, Some(name), gb)) => Some((self.image(name), *gb)),
            _ => None,
        };
        let cache = self
            .machines
            .get(id)
            .and_then(|m| m.ty)
            .and_then(|t| self.types.get(t))
            .map_or(0.0, |t| t.cache_gb);
        if fresh {
            self.uses.clear();
        }
        let Some(m) = self.machines.get_mut(id) else { return };
        let e = m.tasks.entry(key.clone()).or_insert_with(|| Entry {
            stage: None,
            need: job.as_ref().map(|j| j.0),
            since: now,
            running: None,
            stop: None,
            ended: None,
        });
        if e.ended.is_some() {
            return;
        }
        if job.as_ref().is_none_or(|j| j.1) {
            // The job is over: withdrawn, or done while this task was out of sight.
            e.stop = Some(0.0);
        }
        let before = e.stage;
        e.stage = Some(t.stage);
        if t.stage == TaskStage::Running
            && e.running.is_none()
            && !fresh
            && before != Some(TaskStage::Running)
        {
            e.running = Some(now);
            tracing::debug!(machine = %id, job = %key.0, task = key.1, "runs");
        }
        if let Some((image, gb)) = image {
            if before != e.stage {
                m.images.retain(|i| i.0 != image);
                m.images.push((image, gb));
                let mut held: f64 = m.images.iter().map(|i| i.1).sum();
                while held > cache && m.images.len() > 1 {
                    held -= m.images.remove(0).1;
                }
            }
        }
        if t.stage == TaskStage::Exited {
            let why = t.why.unwrap_or(Why::Other);
            e.ended = Some(why);
            let ran = e.running.map(|r| now - r);
            self.exited(id, key, why, ran, now);
        } else if before != e.stage && (fresh || before.is_none()) {
            self.refresh(&key.0, key.1, id);
        }
    }

    fn exited(&mut self, id: &MachineId, key: &TaskKey, why: Why, ran: Option<Micros>, now: Steady) {
        tracing::debug!(machine = %id, job = %key.0, task = key.1, ?why, "a task ended");
        if let Some(m) = self.machines.get_mut(id) {
            match why {
                Why::Done => m.failed.clear(),
                Why::Error => {
                    m.failed.insert(key.0.clone());
                    if m.failed.len() >= 2 && !m.leaving {
                        // Errors across different jobs: the machine is at fault.
                        tracing::info!(machine = %id, "returned: tasks of several jobs failed on it");
                        m.leaving = true;
                    }
                }
                Why::NoRoom => m.not_before = now + Micros::from_secs(2.0),
                _ => {}
            }
        }
        if let Some(j) = self.jobs.get_mut(&key.0) {
            match why {
                Why::Done if key.1 < j.spec.tasks => {
                    j.errors = 0;
                    if j.spec.shape == Shape::Gang {
                        // A gang completes together.
                        j.done = Ranges::span(0, j.spec.tasks);
                        j.waiting = Ranges::new();
                    } else {
                        j.done.insert(key.1);
                        j.waiting.remove(key.1);
                    }
                    if let Some(r) = ran {
                        j.ran = (j.ran.0 + r, j.ran.1 + 1);
                    }
                }
                Why::Error | Why::Unknown => {
                    // Backed off by the job, so that a mistaken job does not hold room.
                    j.errors = (j.errors + 1).min(1000);
                    let wait = if j.errors <= 2 { 0.5 } else { f64::from(1u32 << j.errors.min(7)).min(60.0) };
                    j.not_before = now + Micros::from_secs(wait);
                }
                _ => {}
            }
        }
        if why != Why::Done {
            self.gang_broken(&key.0, key.2);
        }
        self.refresh(&key.0, key.1, id);
    }

    fn orders(&mut self, id: &MachineId, now: Steady, wall: Wall) -> Vec<Order> {
        let mut out = Vec::new();
        if let Some(m) = self.machines.get(id) {
            for (k, e) in &m.tasks {
                let task = format!("{}/{}", k.0, k.1);
                match (e.ended, e.stop) {
                    (Some(why), _) => {
                        let written = match self.jobs.get(&k.0) {
                            Some(j) if why == Why::Done && !j.cancelled => j.done_written.contains(k.1),
                            _ => true,
                        };
                        if written {
                            out.push(Order::Forget { task, attempt: k.2 });
                        }
                    }
                    (None, Some(grace_s)) => out.push(Order::Halt { task, attempt: k.2, grace_s }),
                    (None, None) => {}
                }
            }
        }
        if self.jobs.len() * self.machines.len() <= SMALL {
            // Cheap enough to be up to date with what was just reported.
            self.replan(now, wall);
        }
        self.start_on(id, now, &mut out);
        out
    }

    /// Whether a report may be answered a little later: nothing is on the machine and nothing was
    /// said to it, so that a start which comes up meanwhile can leave at once.
    pub fn may_wait(&self, id: &str, now: Steady) -> bool {
        let m = self.machines.get(id).filter(|m| m.usable(now));
        m.is_some_and(|m| m.tasks.is_empty() && m.notice.is_none())
    }

    /// Whether a start for the machine may leave now.
    pub fn start_waits(&self, id: &str) -> bool {
        let gang = || self.promised.get(id).is_some_and(|l| l.iter().any(|(j, n)| self.marked(j, *n)));
        gang() || self.assigned.get(id).is_some_and(|l| l.iter().any(|(j, _)| self.marked(j, 0)))
    }

    /// What a report that was kept waiting is answered, unless a newer one has come.
    pub fn later(&mut self, r: &Report, now: Steady, wall: Wall) -> Vec<Order> {
        let id: MachineId = r.machine.as_str().into();
        if self.machines.get(&id).is_none_or(|m| m.seen != (r.season, r.tally)) {
            return Vec::new();
        }
        self.orders(&id, now, wall)
    }

    /// Whether starts wait for a mark to be written.
    pub fn starts_wait(&self) -> bool {
        self.jobs.values().any(|j| j.high_wanted > j.high && !j.cancelled)
    }

    /// Whether the mark that lets a task start is written.
    fn marked(&self, id: &JobId, n: u32) -> bool {
        self.jobs.get(id).is_some_and(|j| j.high > n)
    }

    /// Starts what is assigned to the machine that is being answered, and what else of the waiting
    /// array tasks finds room there before the next plan.
    fn start_on(&mut self, id: &MachineId, now: Steady, out: &mut Vec<Order>) {
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
        for (job, count) in self.assigned.remove(id).unwrap_or_default() {
            self.start_some(&job, count, id, now, out);
        }
        let Some(room) = self.top_up_room(id, now) else { return };
        let (s, wanted) = (&self.planned_for, &self.plan.wanted);
        let more = sched::top_up(s, wanted, &mut self.plan.unmet, &room);
        for (class, count) in more {
            if let Some(job) = self.planned_jobs.get(class).cloned() {
                self.start_some(&job, count, id, now, out);
            }
        }
    }

    /// The machine as the planner sees it, if more may start on it before the next plan.
    fn top_up_room(&self, id: &MachineId, now: Steady) -> Option<Room> {
        if self.plan.unmet.is_empty() || self.closed.contains(id) || self.promised.contains_key(id) {
            return None;
        }
        let m = self.machines.get(id).filter(|m| m.usable(now) && !m.missing && !m.unknown_use())?;
        if m.tasks.values().any(|e| e.live() && e.stop.is_some()) {
            return None;
        }
        self.room(m, now, 0, Need::default()).filter(|r| r.free.cpus > 0.0)
    }

    fn start_some(&mut self, job: &JobId, count: u32, id: &MachineId, now: Steady, out: &mut Vec<Order>) {
        let Some(j) = self.jobs.get(job).filter(|j| !j.cancelled) else { return };
        let from = if self.hidden(&j.spec) { j.inherited } else { 0 };
        let next: Vec<u32> = j.waiting.iter().filter(|n| *n >= from).take(count as usize).collect();
        if let Some(j) = self.jobs.get_mut(job) {
            if let Some(top) = next.last().filter(|t| **t >= j.high) {
                let ahead = count.max(16);
                j.high_wanted = j.high_wanted.max(top.saturating_add(1 + ahead).min(j.spec.tasks));
            }
        }
        for n in next {
            if !self.start_one(job, n, id, now, out) {
                return;
            }
        }
    }

    fn start_one(&mut self, job: &JobId, n: u32, id: &MachineId, now: Steady, out: &mut Vec<Order>) -> bool {
        if !self.may_start(job, n, id, now) {
            return false;
        }
        let fresh_attempt = self.next_attempt();
        let Some(j) = self.jobs.get_mut(job) else { return false };
        let attempt = match j.gang.as_mut() {
            Some(g) => {
                g.sent.insert(n);
                g.since.get_or_insert(now);
                if g.sent.len() as usize == g.places.len() {
                    tracing::debug!(job = %job, "all of the gang's starts have left");
                }
                g.attempt
            }
            None => fresh_attempt,
        };
        let need = need_of(&j.spec);
        if j.first_start.is_none() {
            j.first_start = Some(now);
            tracing::debug!(job = %job, machine = %id, "first start");
        }
        let team = j.spec.team.clone();
        if let Some((at, _)) = self.team(&team) {
            if let Some(Some(u)) = self.uses.get_mut(at) {
                *u = u.plus(&need, 1);
            }
        }
        if let Some(m) = self.machines.get_mut(id) {
            let e =
                Entry { stage: None, need: Some(need), since: now, running: None, stop: None, ended: None };
            m.tasks.insert((job.clone(), n, attempt), e);
            m.sent.push((job.clone(), n, attempt));
            m.idle = now;
        }
        self.refresh(job, n, id);
        out.push(Order::Start { task: format!("{job}/{n}"), attempt });
        true
    }

    /// Attempt numbers come from token and counter: never reused, without a write.
    fn next_attempt(&mut self) -> u64 {
        self.counter += 1;
        (self.token << 24) | (self.counter & 0xff_ffff)
    }

    /// The one place where a start is checked, with everything that is possibly there counted.
    fn may_start(&mut self, job: &JobId, n: u32, id: &MachineId, now: Steady) -> bool {
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
        if n >= j.high || now < j.not_before {
            return false;
        }
        if self.silent > 0 && !self.startable_blind(j, n) && self.hidden(&j.spec) {
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
    fn startable_blind(&self, j: &Job, n: u32) -> bool {
        let tied = j.spec.one_zone || j.spec.spread || j.spec.shape == Shape::Gang;
        if tied {
            j.inherited == 0
        } else {
            n >= j.inherited
        }
    }

    fn zones_of(&self, j: &Job) -> Vec<u32> {
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

    fn total(&self, ty: usize) -> Need {
        self.types
            .get(ty)
            .map(|t| Need { cpus: t.cpus, gpus: t.gpus, memory: t.memory_gb })
            .unwrap_or_default()
    }

    /// Types that a job's tasks may use and fit.
    pub fn allowed_types(&self, s: &JobSpec) -> Vec<usize> {
        allowed_types(&self.types, s)
    }

    fn team(&self, name: &str) -> Option<(usize, &Team)> {
        self.cfg.platform.settings.teams.iter().enumerate().find(|t| t.1.name == name)
    }

    /// What a team uses, with all that may be somewhere counted against its limit. Kept between
    /// plans: starts are added, ends only lower it, and all else that may raise it empties it.
    fn team_use(&mut self, name: &str) -> TeamUse {
        let Some((at, t)) = self.team(name) else { return TeamUse::default() };
        let mut u = TeamUse { used: Need::default(), cpus_max: t.cpus_max, gpus_max: t.gpus_max };
        if t.cpus_max <= 0.0 && t.gpus_max <= 0.0 {
            return u;
        }
        if let Some(Some(used)) = self.uses.get(at) {
            u.used = *used;
            return u;
        }
        u.used = self.count_use(name);
        if self.uses.len() <= at {
            self.uses.resize(at + 1, None);
        }
        self.uses[at] = Some(u.used);
        u
    }

    fn count_use(&self, name: &str) -> Need {
        let mut used = Need::default();
        for m in self.machines.values() {
            if !m.heard || m.unknown_use() {
                // Nothing is known of what is there: it may all be this team's.
                used =
                    used.plus(&m.ty.map_or(Need { cpus: 1e9, gpus: 1e9, memory: 0.0 }, |t| self.total(t)), 1);
                continue;
            }
            for (k, e) in m.tasks.iter().filter(|x| x.1.live()) {
                if let (Some(n), true) = (e.need, self.jobs.get(&k.0).is_none_or(|j| j.spec.team == name)) {
                    used = used.plus(&n, 1);
                }
            }
        }
        used
    }

    // ---- planning ----

    /// A for a waiting job.
    pub fn adjusted(&self, s: &JobSpec, wall: Wall) -> Micros {
        let stated = stated(s);
        if !self.cfg.operator.adjust {
            return stated;
        }
        stated.scale(self.history.factor(&Key { team: s.team.clone(), stated }, wall))
    }

    /// Until the stated end of a task; overrunning ones have a tenth of it, at least a second.
    fn stated_left(&self, e: &Entry, s: Option<&JobSpec>, now: Steady) -> Micros {
        let stated = s.map_or(Micros::from_secs(60.0), stated);
        let fetch =
            if matches!(e.stage, None | Some(TaskStage::Fetching | TaskStage::Waiting)) { 5.0 } else { 0.0 };
        let left = stated - (now - e.running.unwrap_or(e.since)) + Micros::from_secs(fetch);
        left.max(stated.scale(0.1)).max(Micros::from_secs(1.0))
    }

    /// The jobs that fit their team's guarantee together with its earlier unfinished ones.
    fn within_guarantee(&self) -> BTreeSet<JobId> {
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled).collect();
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

    fn snapshot(&mut self, now: Steady, wall: Wall) -> (Snapshot, Vec<MachineId>, Vec<JobId>) {
        self.demands.retain(|d| now - d.at < RECENT);
        self.guaranteed = self.within_guarantee();
        let mut s = Snapshot {
            zones: self.zones.len(),
            reserve: self.cfg.operator.reserve,
            clear: self.clear(),
            coarse: Micros::from_secs(1.5 * self.cfg.platform.settings.workers.report_s),
            fine: FINE,
            keep: self.keep(),
            ..Snapshot::default()
        };
        let mut machines = Vec::new();
        // Places promised to gangs whose starts have not left yet.
        let mut promised: BTreeMap<&MachineId, (u32, Need)> = BTreeMap::new();
        for j in self.jobs.values() {
            let Some(g) = &j.gang else { continue };
            for (_, at) in g.places.iter().filter(|(n, _)| !g.sent.contains(**n)) {
                let p = promised.entry(at).or_default();
                *p = (p.0 + 1, p.1.plus(&need_of(&j.spec), 1));
            }
        }
        for m in self.machines.values() {
            if m.leaving || m.expired || m.missing || !m.heard || (m.up && m.unknown_use()) {
                continue;
            }
            let (n, need) = promised.get(&m.id).copied().unwrap_or_default();
            if let Some(r) = self.room(m, now, n, need) {
                s.rooms.push(r);
                machines.push(m.id.clone());
            }
        }
        let blind = self.silent > 0;
        let mut jobs = Vec::new();
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled).collect();
        by_age.sort_by_key(|j| j.submitted);
        let mut widest = [0u32; 2];
        for j in &by_age {
            let w = &mut widest[usize::from(j.spec.shape == Shape::Gang)];
            *w = (*w).max(j.spec.tasks);
        }
        let image_of: Vec<Option<String>> = by_age.iter().map(|j| j.spec.image.clone()).collect();
        let mut classes = Vec::new();
        for j in &by_age {
            let sp = &j.spec;
            let within = self.guaranteed.contains(&j.id);
            let gang = sp.shape == Shape::Gang;
            let count = if now < j.not_before || (gang && (j.gang.is_some() || !j.live.is_empty())) {
                0
            } else if blind && self.hidden(sp) {
                let tied = sp.one_zone || sp.spread || gang;
                if tied && j.inherited > 0 {
                    0
                } else {
                    j.waiting.count_from(j.inherited)
                }
            } else {
                j.waiting.len()
            };
            let (waited, adjusted) = (wall - j.submitted, self.adjusted(sp, wall));
            jobs.push(j.id.clone());
            classes.push(Class {
                rank: sp.rank,
                raised: (gang && waited.secs() > Self::yields(sp, widest[1])).then_some(Rank::Urgent),
                team: self.team(&sp.team).map_or(usize::MAX, |t| t.0),
                guaranteed: within,
                count,
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
                adjusted,
                waited,
                zones: if sp.one_zone || sp.spread { self.zones_of(j) } else { vec![0; self.zones.len()] },
                lost: self.lost(sp, waited, adjusted, widest[usize::from(gang)]),
                patience: self.patience(sp) - waited,
            });
        }
        for (c, name) in classes.iter_mut().zip(image_of) {
            c.image = name.map(|n| self.image(&n));
        }
        s.classes = classes;
        // Counted anew with each plan, so that what has ended is seen.
        self.uses.clear();
        let names: Vec<String> = self.cfg.platform.settings.teams.iter().map(|t| t.name.clone()).collect();
        s.teams = names.iter().map(|t| self.team_use(t)).collect();
        // Places promised to gangs count against their teams' limits: nothing lower takes them.
        for j in self.jobs.values() {
            let (Some(g), Some((at, _))) = (&j.gang, self.team(&j.spec.team)) else { continue };
            let unsent = g.places.len() as u32 - g.sent.len().min(g.places.len() as u32);
            if let Some(t) = s.teams.get_mut(at) {
                t.used = t.used.plus(&need_of(&j.spec), unsent);
            }
        }
        (s, machines, jobs)
    }

    /// A machine as the planner sees it, with places promised on it.
    fn room(&self, m: &Machine, now: Steady, promised: u32, promise: Need) -> Option<Room> {
        let ty = m.ty?;
        let t = &self.types[ty];
        let total = self.total(ty);
        let report = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        let held: Vec<Held> = m
            .tasks
            .iter()
            .filter(|x| x.1.live())
            .map(|(k, e)| {
                let spec = self.jobs.get(&k.0).map(|j| &j.spec);
                let ran = e.running.map_or(Micros::ZERO, |r| now - r);
                let saves = spec.is_some_and(|s| s.checkpoint_s > 0.0);
                Held {
                    need: e.need.unwrap_or_default(),
                    rank: spec.map_or(Rank::Idle, |s| s.rank),
                    guaranteed: self.guaranteed.contains(&k.0),
                    team: spec.and_then(|s| self.team(&s.team)).map_or(usize::MAX, |t| t.0),
                    left: self.stated_left(e, spec, now),
                    lost: if saves {
                        Micros::ZERO
                    } else {
                        ran.scale(e.need.map_or(1.0, |n| n.cpus.max(0.1)))
                    },
                    stoppable: e.stop.is_none()
                        && spec.is_some_and(|s| s.shape == Shape::Array || s.tasks == 1),
                    stopping: e.stop.is_some(),
                }
            })
            .collect();
        let boot = Micros::from_secs(t.boot_s);
        let opens_in = if m.up {
            // A silent machine is not counted on until it reports again.
            let silent = now - m.report;
            if silent > report.scale(2.5) {
                report.scale(3.0)
            } else {
                (report - silent).max(Micros::ZERO)
            }
        } else {
            (boot.scale(1.1) - (m.age + (now - m.known))).max(Micros::from_secs(2.0))
        };
        let free = if promised > 0 { m.free(total).less(&promise, 1) } else { m.free(total) };
        Some(Room {
            ty,
            zone: m.zone,
            spot: m.spot,
            total,
            free,
            open: m.usable(now) && now - m.report < report.scale(2.5),
            opens_in,
            images: m.images.iter().map(|i| i.0).collect(),
            fetch_rate: t.fetch_gb_per_s,
            rate: (if m.spot { t.spot_price.unwrap_or(t.price) } else { t.price } / t.cpus.max(0.1) * 1e3)
                as i64,
            penalty: Micros::from_secs(10.0 * m.failed.len() as f64),
            until: m.notice.map(|n| n - now),
            held,
        })
    }

    /// After so many seconds a job yields to others no more: the sooner the wider it is.
    fn yields(s: &JobSpec, widest: u32) -> f64 {
        let width = f64::from(s.tasks) / f64::from(widest.max(s.tasks).max(1));
        YIELDS - (YIELDS - YIELDS_WIDEST) * width
    }

    /// How many of its class's aims a job has lost, by its age or by the time it would end if it
    /// started now. So that nothing starves or might be taken for forgotten, a lost aim stops
    /// counting against it after a while: one for its end after five times the aim, one for its
    /// start sooner, and the sooner the wider the job is: it takes longer to find its room.
    fn lost(&self, s: &JobSpec, waited: Micros, adjusted: Micros, widest: u32) -> u8 {
        let end = waited.secs() + 0.7 * adjusted.secs();
        let yields = Self::yields(s, widest);
        let by_end = |within: f64| end > within && waited.secs() < 5.0 * within;
        let aims = &self.cfg.platform.settings.objectives;
        let of_class = || aims.iter().filter(|o| Some(&o.class) == s.class.as_ref());
        let lost = of_class().filter(|o| match (o.kind.as_str(), s.deadline_s) {
            ("wait", _) => waited.secs() > o.within_s && waited.secs() < yields,
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

    /// How long a job may wait before others are stopped for it: what its class's aim allows, less
    /// the reports that carry the stops and the starts, and the fetch of its image.
    fn patience(&self, s: &JobSpec) -> Micros {
        let w = &self.cfg.platform.settings;
        let Some(aim) = self.start_aim(s) else { return Micros::from_secs(2.0 * w.workers.report_s) };
        let types = self.allowed_types(s);
        let fetch = types.iter().map(|&t| s.image_gb / self.types[t].fetch_gb_per_s.max(0.001));
        let fetch = fetch.fold(f64::INFINITY, f64::min);
        let fetch = if fetch.is_finite() { fetch } else { 0.0 };
        Micros::from_secs((aim - 1.5 * w.workers.report_s - fetch).max(0.0))
    }

    /// How many rooms of a large type low ranks leave clear: what the operators say, or as many
    /// as the widest gang of late that should start at once takes.
    fn clear(&self) -> usize {
        let wide = self.demands.iter().filter(|d| d.hasty && d.beside > 0).map(|d| d.beside as usize + 1);
        wide.max().unwrap_or(0).max(self.cfg.operator.keep_clear)
    }

    /// By type: the largest recent demand of a higher rank that no smaller type takes.
    fn keep(&self) -> Vec<Option<Keep>> {
        let size = |t: &MachineType| t.cpus + 8.0 * t.gpus;
        (0..self.types.len())
            .map(|ty| {
                self.demands
                    .iter()
                    .filter(|d| d.rank > Rank::Idle && d.types.contains(&ty))
                    .filter(|d| d.types.iter().all(|&o| size(&self.types[o]) >= size(&self.types[ty])))
                    .filter(|d| self.total(ty).fits(&d.need) == 1)
                    .max_by(|a, b| a.rank.cmp(&b.rank).then(a.need.cpus.total_cmp(&b.need.cpus)))
                    .map(|d| Keep { need: d.need, rank: d.rank, spot: d.spot })
            })
            .collect()
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
    fn plan_now(&mut self, now: Steady, wall: Wall) -> (Snapshot, Vec<MachineId>) {
        self.dirty = false;
        self.planned = now;
        self.drop_unsent_gangs(now);
        let (snapshot, machines, jobs) = self.snapshot(now, wall);
        let plan = sched::plan(&snapshot);
        self.assign(&snapshot, &plan, &machines, &jobs, now);
        self.stop_for(&plan, &machines, now);
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
    fn drop_unsent_gangs(&mut self, now: Steady) {
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

    fn assign(&mut self, s: &Snapshot, plan: &Plan, machines: &[MachineId], jobs: &[JobId], now: Steady) {
        self.assigned.clear();
        let mut taken: BTreeMap<usize, u32> = BTreeMap::new();
        let mut gangs: BTreeMap<usize, Vec<MachineId>> = BTreeMap::new();
        for st in &plan.starts {
            let id = &machines[st.room];
            if s.classes[st.class].gang {
                let at = gangs.entry(st.class).or_default();
                at.extend((0..st.count).map(|_| id.clone()));
                continue;
            }
            *taken.entry(st.class).or_insert(0) += st.count;
            self.assigned.entry(id.clone()).or_default().push((jobs[st.class].clone(), st.count));
        }
        for (class, count) in taken {
            let Some(j) = self.jobs.get(&jobs[class]) else { continue };
            let from = if self.silent > 0 && self.hidden(&j.spec) { j.inherited } else { 0 };
            let top = j.waiting.iter().filter(|n| *n >= from).nth(count.saturating_sub(1) as usize);
            let Some(j) = self.jobs.get_mut(&jobs[class]) else { continue };
            if let Some(top) = top.filter(|t| *t >= j.high) {
                // A little ahead, so that starts do not wait for the write each time.
                let ahead = count.max(16);
                j.high_wanted = j.high_wanted.max(top.saturating_add(1 + ahead).min(j.spec.tasks));
            }
        }
        for (class, at) in gangs {
            let attempt = self.next_attempt();
            let Some(j) = self.jobs.get_mut(&jobs[class]) else { continue };
            let places = j.waiting.iter().zip(at).collect();
            tracing::debug!(job = %j.id, tasks = j.spec.tasks, attempt, waited = s.classes[class].waited.secs(), "gang placed");
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
        self.promised.clear();
        for j in self.jobs.values() {
            let Some(g) = j.gang.as_ref().filter(|g| g.stopping.is_none()) else { continue };
            for (n, at) in g.places.iter().filter(|(n, _)| !g.sent.contains(**n)) {
                self.promised.entry(at.clone()).or_default().push((j.id.clone(), *n));
            }
        }
    }

    fn stop_for(&mut self, plan: &Plan, machines: &[MachineId], now: Steady) {
        let mut stops: Vec<(MachineId, TaskKey, f64)> = Vec::new();
        for &(room, held) in &plan.preempt {
            let id = &machines[room];
            let Some(m) = self.machines.get(id) else { continue };
            // The planner's `held` lists the live tasks in this very order.
            if let Some((k, _)) = m.tasks.iter().filter(|x| x.1.live()).nth(held) {
                stops.push((id.clone(), k.clone(), self.grace(&k.0)));
                tracing::info!(machine = %id, job = %k.0, task = k.1, "preempted");
            }
        }
        // Before a spot machine is taken, what can save is told to.
        let report = self.cfg.platform.settings.workers.report_s;
        for m in self.machines.values() {
            let Some(n) = m.notice else { continue };
            for (k, e) in m.tasks.iter().filter(|x| x.1.live() && x.1.stop.is_none()) {
                let grace = self.grace(&k.0);
                if grace > 0.0 && (n - now).secs() < grace + 2.5 * report && e.stage.is_some() {
                    stops.push((m.id.clone(), k.clone(), grace));
                }
            }
        }
        for (id, k, grace) in stops {
            if self.jobs.get(&k.0).is_some_and(|j| j.spec.shape == Shape::Gang) {
                self.stop_all(&k.0, Some(k.2), grace, false);
            } else if let Some(e) = self.machines.get_mut(&id).and_then(|m| m.tasks.get_mut(&k)) {
                if e.live() && e.stop.is_none() {
                    e.stop = Some(grace);
                }
            }
            if let Some(g) = self.jobs.get_mut(&k.0).and_then(|j| j.gang.as_mut()) {
                g.stopping.get_or_insert(grace);
            }
        }
    }

    fn grace(&self, id: &JobId) -> f64 {
        self.jobs.get(id).filter(|j| j.spec.checkpoint_s > 0.0).map_or(0.0, |j| j.spec.save_s + 0.5)
    }

    // ---- time passing ----

    /// Leases that ran out, machines silent since a takeover, and boots that never end.
    pub fn tick(&mut self, now: Steady, wall: Wall) {
        let fence = Micros::from_secs(self.cfg.operator.fence_after_s);
        // A few silent machines hold up all that was started: once the others are heard, the cloud
        // is asked to end them. Where many are silent a zone is cut off, and they are waited for.
        let few = self.silent * 10 <= self.machines.len();
        let soon = Micros::from_secs(self.cfg.platform.settings.workers.report_s + 5.0).max(FENCE_SOON);
        let report = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        let (lease, confirmed) = (self.lease, self.confirmed);
        // An earlier owner answers no longer than `blind_bound` after it last knew that nobody had
        // taken over, and that was before this owner's claim.
        let outlived = self.cfg.blind_bound().scale(1.001) + lease;
        let (mut ended, mut outlasted) = (Vec::new(), 0);
        for m in self.machines.values_mut() {
            if !m.heard && now - self.taken > outlived {
                // Not heard and, with the cloud out, not returned: no earlier owner's command or
                // answer can still count on it.
                tracing::info!(machine = %m.id, "leases of earlier owners have run out");
                (m.heard, m.expired) = (true, true);
                outlasted += 1;
                ended.push(m.id.clone());
            }
            if m.leaving && (m.expired || !m.heard) {
                continue;
            }
            if !m.heard {
                let silent = now - self.taken;
                if silent > fence || (few && silent > soon) || (m.missing && silent > NOT_LISTED) {
                    tracing::info!(machine = %m.id, "returned: silent since the takeover");
                    m.leaving = true;
                }
                continue;
            }
            match m.renewed() {
                // The last answer was this owner's and its token had arrived: the lease is ours to
                // count. Otherwise an earlier owner may still be renewing it, or, if this owner may
                // have been replaced before the lease ended, a later one: cut off from the state
                // service and from this machine, but not from others, it would start the same tasks
                // there.
                Some(a) if now - a > lease && !m.expired && confirmed - a > lease => {
                    tracing::info!(machine = %m.id, "its lease ran out");
                    m.expired = true;
                    // The worker is in its next session, or will be: a late copy of a report from
                    // this one must not bring back what has ended.
                    m.seen.1 = u64::MAX;
                    ended.push(m.id.clone());
                }
                _ if m.leaving => {}
                // The cloud says it runs: cut off, most likely, and good again afterwards.
                Some(a) if m.expired && now - a.max(m.alive) > lease + CUT => {
                    tracing::info!(machine = %m.id, "returned: silent for long");
                    m.leaving = true;
                }
                Some(a) if m.missing && now - a.max(m.alive) > report.scale(3.0) => {
                    tracing::info!(machine = %m.id, "returned: silent and not in the cloud's list");
                    m.leaving = true;
                }
                Some(_) => {}
                None if m.up => {
                    // It has shown this owner's token in answer to a direct command, and is bound to
                    // report within moments.
                    if now - m.known > lease + CUT {
                        tracing::info!(machine = %m.id, "returned: it does not report");
                        m.leaving = true;
                    }
                }
                None => {
                    let boot = m.ty.and_then(|t| self.types.get(t)).map_or(60.0, |t| t.boot_s);
                    let age = m.age + (now - m.known);
                    if m.missing || age.secs() > (boot * 2.5).max(60.0) {
                        tracing::info!(machine = %m.id, age = age.secs(), "returned: it never came up");
                        m.leaving = true;
                    }
                }
            }
        }
        if outlasted > 0 {
            self.silent = self.silent.saturating_sub(outlasted);
            self.uses.clear();
        }
        for id in ended {
            self.emptied(&id);
        }
        if (self.silent == 0) != self.sighted {
            self.sighted = self.silent == 0;
            let after = (now - self.taken).secs();
            tracing::info!(after, unheard = self.silent, "machines of the earlier owner are heard or ended");
        }
        if now - self.told > TELL {
            self.told = now;
            self.tell_use();
        }
        self.gone.retain(|_, at| (now - *at).secs() < 900.0);
        self.refused.retain(|_, until| now < *until);
        self.replan(now, wall);
    }

    /// Says by type and kind what is paid for and what of it is used.
    fn tell_use(&self) {
        #[derive(Default)]
        struct Use {
            machines: u32,
            booting: u32,
            idle: u32,
            cpus: f64,
            placed: f64,
            running: f64,
        }
        let mut by: BTreeMap<(&str, bool), Use> = BTreeMap::new();
        for m in self.machines.values() {
            let u = by.entry((&m.ty_name, m.spot)).or_default();
            u.machines += 1;
            u.booting += u32::from(!m.up);
            u.idle += u32::from(m.up && m.tasks.is_empty());
            u.cpus += m.ty.map_or(0.0, |t| self.total(t).cpus);
            for e in m.tasks.values().filter(|e| e.live()) {
                let cpus = e.need.map_or(0.0, |n| n.cpus);
                u.placed += cpus;
                u.running += if e.stage == Some(TaskStage::Running) { cpus } else { 0.0 };
            }
        }
        for ((ty, spot), u) in by {
            let (machines, booting, idle) = (u.machines, u.booting, u.idle);
            let (placed, running) = (u.placed / u.cpus.max(0.1), u.running / u.cpus.max(0.1));
            tracing::info!(ty, spot, machines, booting, idle, placed, running, "use of machines");
        }
        let waiting: u32 = self.plan.unmet.iter().map(|u| u.1).sum();
        tracing::info!(jobs = self.jobs.len(), waiting, "queue");
    }

    // ---- the cloud ----

    /// What to rent, and idle machines marked as leaving.
    pub fn capacity(&mut self, now: Steady, wall: Wall) -> Vec<(Offer, u32)> {
        // Always on a plan of this very moment: its indices are the snapshot's.
        let (snapshot, machines) = self.plan_now(now, wall);
        let upkeep: Vec<Upkeep> = machines
            .iter()
            .filter_map(|id| self.machines.get(id))
            .map(|m| Upkeep {
                age: m.age + (now - m.known),
                idle: (m.up && m.tasks.is_empty()).then(|| now - m.idle),
                booting: !m.up,
            })
            .collect();
        let type_zones: Vec<Vec<usize>> =
            self.types.clone().iter().map(|t| t.zones.iter().map(|z| self.zone(z)).collect()).collect();
        let mut refused: Vec<Offer> = self.refused.keys().copied().collect();
        // Where most machines are silent the zone is cut off: new ones could not report either.
        let report = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        for z in 0..self.zones.len() {
            let up = || self.machines.values().filter(|m| m.up && m.zone == z && !m.leaving);
            let silent = up().filter(|m| now - m.report > report.scale(3.0)).count();
            if silent >= 2 && silent * 2 > up().count() {
                let all = (0..self.types.len())
                    .flat_map(|ty| [false, true].map(|spot| Offer { ty, zone: z, spot }));
                refused.extend(all);
            }
        }
        let o = &self.cfg.operator;
        let warm = self.warm(now);
        let due: Vec<bool> = (0..self.types.len())
            .map(|t| self.demands.iter().any(|d| d.due && d.types.contains(&t)))
            .collect();
        let view = View {
            warm: &warm,
            due: &due,
            snapshot: &snapshot,
            plan: &self.plan,
            upkeep: &upkeep,
            types: &self.types,
            zones: &type_zones,
            refused: &refused,
            policy: Policy {
                drain: Micros::from_secs(o.drain_s),
                idle: Micros::from_secs(o.idle_s),
                idle_kept: Micros::from_secs(o.idle_protected_s),
                idle_due: Micros::from_secs(o.idle_deadline_s),
                slow_boot: o.slow_boot,
            },
        };
        let d = view.decide();
        for m in d.returns {
            if let Some(m) = self.machines.get_mut(&machines[m]).filter(|m| m.tasks.is_empty()) {
                tracing::info!(machine = %m.id, "returned: idle");
                m.leaving = true;
            }
        }
        d.rents.into_iter().map(|r| (r.offer, r.count)).collect()
    }

    /// The cloud had nothing of this for now.
    pub fn offer_refused(&mut self, offer: Offer, until: Steady) {
        self.refused.insert(offer, until);
    }

    /// Machines that the cloud rented to this owner.
    pub fn rented(&mut self, ids: &[String], offer: Offer, now: Steady) {
        let (ty, zone) =
            (self.types.get(offer.ty).map(|t| t.name.clone()), self.zone_name(offer.zone).to_string());
        for id in ids {
            let id: MachineId = id.as_str().into();
            if !self.machines.contains_key(&id) && !self.gone.contains_key(&id) {
                self.machines.insert(id.clone(), Machine::new(&id, now));
                self.describe(&id, "", ty.as_deref().unwrap_or(""), &zone, offer.spot);
            }
        }
        self.dirty = true;
    }

    /// Takes the cloud's list; it may be late, and older than the one before.
    pub fn listed(&mut self, list: &[ListedMachine], now: Steady) {
        let there: BTreeSet<&str> = list.iter().map(|m| m.id.as_str()).collect();
        for m in self.machines.values_mut() {
            // One that was enrolled by an earlier owner was up then, and so has been listed.
            if (m.listed || (m.inherited && !m.heard)) && !there.contains(&*m.id) {
                m.missing = true;
            }
        }
        for l in list {
            let id: MachineId = l.id.as_str().into();
            if self.gone.contains_key(&id) {
                continue;
            }
            if !self.machines.contains_key(&id) {
                if l.stage == "failed" {
                    continue;
                }
                let mut m = Machine::new(&id, now);
                m.age = Micros::from_secs(l.age_s);
                self.machines.insert(id.clone(), m);
            }
            self.describe(&id, l.addr.as_deref().unwrap_or(""), &l.ty, &l.zone, l.spot);
            if let Some(m) = self.machines.get_mut(&id) {
                m.listed = true;
                m.missing = l.stage == "failed";
                // An earlier owner rented it: it is older than this one's knowledge of it, and may be
                // returned as soon as it is idle. Without this nothing was for a minute.
                m.age = m.age.max(Micros::from_secs(l.age_s) - (now - m.known));
            }
        }
        self.dirty = true;
    }

    /// Machines to be returned now.
    pub fn leaving(&self) -> Vec<String> {
        self.machines.values().filter(|m| m.leaving).map(|m| m.id.to_string()).collect()
    }

    /// The cloud answered a return: the machines and all on them are gone.
    pub fn returned(&mut self, ids: &[String], now: Steady) {
        for id in ids {
            let id: MachineId = id.as_str().into();
            self.emptied(&id);
            if let Some(m) = self.machines.remove(&id) {
                self.silent = self.silent.saturating_sub(usize::from(!m.heard));
                self.uses.clear();
                self.packs.remove(&id);
                if m.stamp > 0 {
                    self.unenrol.insert(id.clone(), m.stamp);
                }
                self.gone.insert(id, now);
            }
        }
        self.dirty = true;
    }

    // ---- what to write ----

    /// Puts what has to be written before starts into packed values.
    fn pack(&mut self) {
        for j in self.jobs.values().filter(|j| !j.cancelled && j.high_wanted > j.high) {
            if self.marks.get(&j.id) != Some(&j.high_wanted) {
                self.marks.put(&j.id, j.high_wanted);
            }
        }
        for m in self.machines.values() {
            if m.up && !m.enrolled && !m.leaving && m.ty.is_some() && self.packs.get(&m.id).is_none() {
                let record = MachineRecord {
                    part: 0,
                    token: self.token,
                    addr: m.addr.clone(),
                    ty: m.ty_name.clone(),
                    zone: self.zones.get(m.zone).cloned().unwrap_or_default(),
                    spot: m.spot,
                };
                self.packs.put(&m.id, record);
            }
        }
    }

    /// What waits to be written, the most urgent first. Done ranges of a job that goes on are
    /// written again after `batch`: until then its workers keep the results and report them.
    pub fn pending(&mut self, now: Steady, batch: Micros, chunk: u32) -> Vec<Pending> {
        self.pack();
        let mut v = Vec::new();
        for j in self.jobs.values().filter(|j| !j.cancelled) {
            if j.complete() {
                v.push(Pending::Final(j.id.clone()));
                continue;
            }
            if now - j.wrote_done >= batch && j.done.len() > j.done_written.len() {
                for c in 0..j.spec.tasks.div_ceil(chunk) {
                    let (a, b) = (c * chunk, (c + 1) * chunk);
                    if j.done.within(a, b) != j.done_written.within(a, b) {
                        v.push(Pending::Done(j.id.clone(), c));
                    }
                }
            }
        }
        v.extend(self.packs.pending(true).map(Pending::Machines));
        v.extend(self.marks.pending(true).map(Pending::Marks));
        if now - self.tidied > TIDY {
            v.extend(self.packs.pending(false).map(|s| Pending::Tidy(Packed::Machines, s)));
            v.extend(self.marks.pending(false).map(|s| Pending::Tidy(Packed::Marks, s)));
            v.extend(self.history.dirty().map(Pending::History));
        }
        v.extend(self.unenrol.iter().map(|(id, s)| Pending::Unenrol(id.clone(), *s)));
        if self.came > self.noted.1 && now - self.noted.0 > NOTE {
            v.push(Pending::Recent);
        }
        v.extend(self.orphans.iter().map(|(k, s)| Pending::Orphan(k.clone(), *s)));
        v.sort();
        v
    }

    /// A write has been applied at a revision.
    pub fn written(&mut self, p: &Pending, revision: u64, said: &Said, now: Steady) {
        match p {
            // Its chunks, most of them gone in the same transaction, become orphans to be removed.
            Pending::Final(id) => self.job_over(id, revision),
            Pending::Orphan(key, _) => {
                self.orphans.remove(key);
            }
            Pending::Recent => self.noted = (now, self.came),
            Pending::Machines(slot) | Pending::Tidy(Packed::Machines, slot) => {
                if let Said::Machines(ids, version) = said {
                    self.packs.written(*slot, *version, revision);
                    for id in ids {
                        if let Some(m) = self.machines.get_mut(id) {
                            m.enrolled = true;
                        }
                    }
                }
            }
            Pending::Marks(slot) | Pending::Tidy(Packed::Marks, slot) => {
                if let Said::Marks(marks, version) = said {
                    self.marks.written(*slot, *version, revision);
                    for (id, high) in marks {
                        if let Some(j) = self.jobs.get_mut(id) {
                            j.high = j.high.max(*high);
                        }
                    }
                }
            }
            Pending::Done(id, chunk) => {
                if let Some(j) = self.jobs.get_mut(id) {
                    if let Said::Done(r) = said {
                        for n in r.iter() {
                            j.done_written.insert(n);
                        }
                    }
                    j.chunks.insert(*chunk, revision);
                    j.wrote_done = now;
                }
            }
            Pending::History(bucket) => self.history.written(*bucket, revision),
            Pending::Unenrol(id, _) => {
                self.unenrol.remove(id);
            }
        }
        if matches!(p, Pending::Tidy(..) | Pending::History(_)) {
            self.tidied = now;
        }
        self.dirty |= p.urgent();
    }

    /// How a chunk that is no job's stands, as read back.
    pub fn learn_orphan(&mut self, key: &str, stamp: u64) {
        if stamp == 0 {
            self.orphans.remove(key);
        } else if let Some(s) = self.orphans.get_mut(key) {
            *s = stamp;
        }
    }

    /// A machine's own record, as earlier versions wrote it, as read back.
    pub fn learn_machine(&mut self, id: &str, stamp: u64) {
        if let Some(s) = self.unenrol.get_mut(id) {
            if stamp == 0 {
                self.unenrol.remove(id);
            } else {
                *s = stamp;
            }
        }
    }

    // ---- polls ----

    /// Numbers for a poll.
    pub fn counts(&self, id: &str) -> Option<Counts> {
        let j = self.jobs.get(id).filter(|j| !j.cancelled)?;
        let runs = |e: &Entry| e.live() && matches!(e.stage, Some(TaskStage::Running | TaskStage::Saving));
        let running = j
            .live
            .iter()
            .flat_map(|(n, at)| at.iter().map(move |m| (*n, m)))
            .filter(|(n, at)| {
                self.machines.get(*at).is_some_and(|m| {
                    m.tasks.range((j.id.clone(), *n, 0)..=(j.id.clone(), *n, u64::MAX)).any(|x| runs(x.1))
                })
            })
            .count();
        Some(Counts { done: j.done.len(), running: running as u32 })
    }
}

/// A machine, for people on call.
#[derive(Debug, Serialize)]
pub struct MachineView {
    /// Its name.
    pub id: String,
    /// Type.
    pub ty: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// `booting`, `up`, `unheard`, `silent` or `leaving`.
    pub state: &'static str,
    /// Tasks that are or may be on it.
    pub tasks: usize,
    /// Seconds since its last report.
    pub report_s: Option<f64>,
}

/// A job, for people on call and for its team.
#[derive(Debug, Serialize)]
pub struct JobView {
    /// Its id.
    pub id: String,
    /// Its team.
    pub team: String,
    /// Its rank.
    pub rank: Rank,
    /// Seconds since it was accepted.
    pub waited_s: f64,
    /// Tasks waiting.
    pub waiting: u32,
    /// Tasks that are or may be somewhere.
    pub placed: usize,
    /// Tasks done.
    pub done: u32,
    /// Failures in a row.
    pub errors: u32,
}

/// A of a key.
#[derive(Debug, Serialize)]
pub struct FactorView {
    /// The team.
    pub team: String,
    /// The stated time in seconds.
    pub stated_s: f64,
    /// A.
    pub a: f64,
    /// Past jobs kept.
    pub jobs: usize,
}

/// What the owner sees.
#[derive(Debug, Serialize)]
pub struct StatusView {
    /// Its token.
    pub token: u64,
    /// Machines; none for a team's view.
    pub machines: Vec<MachineView>,
    /// Jobs in the queue's order of age; a team's own only, for a team's view.
    pub jobs: Vec<JobView>,
    /// The reserved job and the seconds until its room is free.
    pub reservation: Option<(String, f64)>,
    /// A by key.
    pub factors: Vec<FactorView>,
}

impl Fleet {
    /// What this owner sees, whole or for one team, which sees only what is its own.
    pub fn status(&self, team: Option<&str>, now: Steady, wall: Wall) -> StatusView {
        let ours = |t: &str| team.is_none_or(|x| x == t);
        let silent = Micros::from_secs(self.cfg.platform.settings.workers.report_s * 3.0);
        let machine = |m: &Machine| MachineView {
            id: m.id.to_string(),
            ty: m.ty_name.clone(),
            zone: self.zone_name(m.zone).to_string(),
            spot: m.spot,
            state: if m.leaving {
                "leaving"
            } else if !m.heard {
                "unheard"
            } else if !m.up {
                "booting"
            } else if now - m.report > silent {
                "silent"
            } else {
                "up"
            },
            tasks: m.tasks.values().filter(|e| e.live()).count(),
            report_s: (m.report.0 > 0).then(|| (now - m.report).secs()),
        };
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled && ours(&j.spec.team)).collect();
        jobs.sort_by_key(|j| j.submitted);
        let reserved = self.plan.reservation.as_ref().and_then(|r| {
            let id = self.planned_jobs.get(r.class)?;
            let at = (r.at - (now - self.planned)).secs();
            self.jobs.get(id).filter(|j| ours(&j.spec.team)).map(|_| (id.to_string(), at))
        });
        StatusView {
            token: self.token,
            machines: if team.is_none() { self.machines.values().map(machine).collect() } else { Vec::new() },
            jobs: jobs
                .into_iter()
                .map(|j| JobView {
                    id: j.id.to_string(),
                    team: j.spec.team.clone(),
                    rank: j.spec.rank,
                    waited_s: (wall - j.submitted).secs(),
                    waiting: j.waiting.len(),
                    placed: j.live.len(),
                    done: j.done.len(),
                    errors: j.errors,
                })
                .collect(),
            reservation: reserved,
            factors: self
                .history
                .factors(wall)
                .into_iter()
                .filter(|f| ours(&f.0.team))
                .map(|(k, a, jobs)| FactorView { team: k.team, stated_s: k.stated.secs(), a, jobs })
                .collect(),
        }
    }
}

/// What a task of the job takes.
pub fn need_of(s: &JobSpec) -> Need {
    Need { cpus: s.cpus, gpus: s.gpus, memory: s.memory_gb }
}

/// The stated run time of a job's tasks; services are endless, which is a day to the planner.
fn stated(s: &JobSpec) -> Micros {
    if s.shape == Shape::Service {
        Micros::from_secs(86_400.0)
    } else {
        Micros::from_secs(s.estimate_s)
    }
}

/// Types, by index, that a job allows and its tasks fit.
pub fn allowed_types(types: &[MachineType], s: &JobSpec) -> Vec<usize> {
    let need = need_of(s);
    (0..types.len())
        .filter(|&i| {
            let t = &types[i];
            let total = Need { cpus: t.cpus, gpus: t.gpus, memory: t.memory_gb };
            s.types.as_ref().is_none_or(|a| a.contains(&t.name))
                && s.zone.as_ref().is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
                && total.fits(&need) > 0
        })
        .collect()
}
