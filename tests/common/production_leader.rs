//! A model of a leader of the version in production: how it reads records, has tasks started, halted and
//! forgotten, records results and ends jobs. `production` models how it reads records after its election,
//! `production_writes` how it writes. The real leader plans before it starts tasks; the model directly starts
//! each task that passes the real leader's checks. Line numbers are those of that version's sources.

use std::collections::{BTreeMap, BTreeSet};

use milletlock::time::Steady;
use milletlock::wire::{ExitReason, Heartbeat, Row, TaskStage, Txn, WorkerCommand};
use serde_json::{json, Value};

use super::lending_world::{Machine, World, VALUE_BYTES};
use super::production::{JobRecord, Owner};
use super::production_api::{read_job, JobDescription};
use super::types;

/// Number of tasks by which a start mark is written in advance (`start_some`, src/fleet.rs:1234).
const MARK_AHEAD: u32 = 16;
/// Number of low bits of an attempt number that count attempts; the fencing token is above them
/// (`next_attempt`, src/fleet.rs:1286).
const COUNTER_BITS: u32 = 24;

/// The version of the modelled leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The version in production, and any before 0.3.
    BeforeLoans,
    /// 0.3.0, modelled only as far as the form of the records matters: it reads the description under both
    /// names. It records the results of a held job without copies. The model does nothing with other jobs
    /// that have loans.
    WithoutCopies,
    /// 0.3.1 and 0.3.2, which read the description under the same names. The model does nothing with jobs
    /// that have loans.
    WithCopies,
}

impl Version {
    /// Reads a live job's record as this version of the leader does; `None` if it cannot read it.
    pub(super) fn read_job(self, value: &Value) -> Option<(JobRecord, JobDescription)> {
        let mut value = value.clone();
        if self != Version::BeforeLoans && value.get("spec_of_lent").is_some() {
            value["spec"] = value["spec_of_lent"].clone();
        }
        read_job(&value)
    }
}

/// A live job as the leader knows it.
pub(super) struct KnownJob {
    description: JobDescription,
    /// The stored start mark. Tasks below it may be started (`Job::high`, src/jobs.rs:277).
    pub(super) mark: u32,
    /// The start mark that the leader found when it read the job (`Job::inherited`).
    inherited: u32,
}

/// A task on a machine (`Entry`, src/fleet.rs:30).
pub(super) struct Entry {
    ended: Option<ExitReason>,
    is_halted: bool,
    /// Whether the leader knows the task's job.
    is_known: bool,
}

/// A machine as the leader knows it (`Machine`, src/fleet.rs:53).
pub(super) struct KnownMachine {
    machine_type: String,
    zone: String,
    spot: bool,
    /// Whether the machine has sent a heartbeat with the leader's fencing token.
    is_heard: bool,
    /// Whether the machine's record is stored.
    pub(super) is_enrolled: bool,
    tasks: BTreeMap<(String, u32, u64), Entry>,
}

/// The modelled leader.
pub struct ProductionLeader<'a> {
    pub version: Version,
    /// Jobs with loans that the model of 0.3 does not handle. While there are any, the leader does nothing.
    untouched: BTreeSet<String>,
    pub(super) world: &'a World,
    pub(super) owner: Owner,
    pub(super) jobs: BTreeMap<String, KnownJob>,
    pub(super) machines: BTreeMap<String, KnownMachine>,
    /// The revision up to which the leader has read all changes of jobs.
    read_to: u64,
    counter: u64,
    /// Whether the leader still leads, as far as it knows.
    pub leads: bool,
    /// The transactions of the latest round that were refused.
    pub refused: Vec<Txn>,
}

impl<'a> ProductionLeader<'a> {
    /// Elects a leader of a version before 0.3, which has read all records (`rebuild`, src/cluster.rs:134).
    pub fn elected(world: &'a World) -> ProductionLeader<'a> {
        ProductionLeader::elected_as(world, Version::BeforeLoans)
    }

    /// Like `elected`, but for a leader of the given version.
    pub fn elected_as(world: &'a World, version: Version) -> ProductionLeader<'a> {
        let (part, token) = world.elect_earlier_leader();
        let store = world.store();
        let mut rows = store.rows("");
        for row in rows.iter_mut().filter(|row| row.key.starts_with("job/")) {
            if let Some((record, _)) = version.read_job(&row.value) {
                row.value = json!(record);
            }
        }
        let is_untouched = |row: &Row| match version {
            Version::BeforeLoans => false,
            Version::WithoutCopies => {
                row.value.get("lending").is_some() && row.value["spec"]["breeds"] != json!([])
            }
            Version::WithCopies => row.value.get("lending").is_some(),
        };
        let jobs = store.rows("job/");
        let untouched = jobs.iter().filter(|row| is_untouched(row));
        let untouched: BTreeSet<String> = untouched.map(|row| row.key.replace("job/", "")).collect();
        let owner = Owner::load(part, token, VALUE_BYTES, &rows);
        let machines = owner.machine_records().map(|(id, record)| {
            let machine = KnownMachine {
                machine_type: record.ty.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                is_heard: false,
                is_enrolled: true,
                tasks: BTreeMap::new(),
            };
            (id.clone(), machine)
        });
        let machines = machines.collect();
        let mut leader = ProductionLeader {
            version,
            untouched,
            world,
            owner,
            jobs: BTreeMap::new(),
            machines,
            read_to: store.revision,
            counter: 0,
            leads: true,
            refused: Vec::new(),
        };
        for row in store.rows("job/") {
            if let Some((_, description)) = version.read_job(&row.value) {
                leader.learn_description(description);
            }
        }
        leader
    }

    /// Adds a job that the owner has read.
    fn learn_description(&mut self, description: JobDescription) {
        let id = description.id.clone();
        let mark = self.owner.jobs[&id].mark;
        self.jobs.insert(id, KnownJob { description, mark, inherited: mark });
    }

    /// Whether the leader knows the job.
    pub fn knows(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// The tasks of a job that the leader counts as done.
    pub fn done(&self, id: &str) -> BTreeSet<u32> {
        self.owner.jobs.get(id).map(|job| job.done.clone()).unwrap_or_default()
    }

    /// Runs one round: the machine's heartbeat, the watch of the jobs, and the writes.
    pub fn step(&mut self, machine: &mut Machine) {
        self.world.wait(super::lending_world::STEP);
        if !self.untouched.is_empty() {
            return;
        }
        self.heartbeat(machine);
        self.watch();
        self.write_once();
    }

    /// Runs `count` rounds.
    pub fn steps(&mut self, machine: &mut Machine, count: usize) {
        (0..count).for_each(|_| self.step(machine));
    }

    /// Applies changes of job records (`take_change`, src/node.rs:1336).
    pub fn watch(&mut self) {
        let store = self.world.store();
        let changes: Vec<_> = store.changes_since(self.read_to).to_vec();
        self.read_to = store.revision;
        drop(store);
        for (revision, key, value) in changes {
            let Some(id) = key.strip_prefix("job/") else { continue };
            match value {
                Some(value) => self.learn_job(&value, revision),
                None => self.job_over(id),
            }
        }
    }

    /// Applies a new or changed job record. Of a known job, the revision and the start mark are updated, but
    /// not the description (`job_put`, src/fleet.rs:532).
    pub(super) fn learn_job(&mut self, value: &Value, revision: u64) {
        let Some((record, description)) = self.version.read_job(value) else { return };
        let Some(known) = self.owner.jobs.get_mut(&description.id) else {
            self.owner.job_put(&record, revision);
            self.learn_description(description);
            return;
        };
        if revision > known.mod_revision {
            known.mod_revision = revision;
            known.mark = known.mark.max(record.high);
            let job = self.jobs.get_mut(&description.id).expect("known");
            job.mark = job.mark.max(record.high);
        }
    }

    /// Removes a job whose live record no longer exists, and halts its tasks (`job_over`, src/fleet.rs:707).
    pub(super) fn job_over(&mut self, id: &str) {
        self.owner.job_over(id);
        self.jobs.remove(id);
        for machine in self.machines.values_mut() {
            machine
                .tasks
                .iter_mut()
                .filter(|(key, _)| key.0 == id)
                .for_each(|(_, entry)| entry.is_halted = true);
        }
    }

    /// Handles a machine's heartbeat and executes the commands of the reply; returns whether there is a reply
    /// (`check_in`, src/fleet.rs:837).
    pub fn heartbeat(&mut self, machine: &mut Machine) -> bool {
        let message = machine.state.heartbeat();
        if message.fencing_token > self.owner.token {
            self.leads = false;
        }
        // No leader starts tasks on a machine without a record, so an unknown machine with tasks must have
        // been registered by another leader.
        let is_late = !self.machines.contains_key(&message.machine) && !message.tasks.is_empty();
        if !self.leads || is_late {
            return false;
        }
        self.take_heartbeat(&message);
        let commands = self.commands(&message.machine);
        machine.state.accept_reply(self.owner.token, Steady(0));
        commands.iter().for_each(|command| machine.execute(command));
        true
    }

    /// Applies the machine's description and tasks from a heartbeat.
    fn take_heartbeat(&mut self, message: &Heartbeat) {
        let id = &message.machine;
        if !self.machines.contains_key(id) {
            self.owner.enrol(id);
        }
        let machine = self.machines.entry(id.clone()).or_insert_with(|| KnownMachine {
            machine_type: message.machine_type.clone(),
            zone: message.zone.clone(),
            spot: message.spot,
            is_heard: true,
            is_enrolled: false,
            tasks: BTreeMap::new(),
        });
        machine.is_heard |= message.fencing_token == self.owner.token;
        let key = |task: &str, attempt| {
            let (job, number) = milletlock::jobs::split_task(task).expect("a task");
            (job.to_string(), number, attempt)
        };
        // A task that the heartbeat does not list is not on the machine (`take_report`, src/fleet.rs:921).
        let listed: BTreeSet<_> = message.tasks.iter().map(|task| key(&task.task, task.attempt)).collect();
        machine.tasks.retain(|key, _| listed.contains(key));
        for task in &message.tasks {
            let key = key(&task.task, task.attempt);
            let is_known = self.jobs.contains_key(&key.0);
            let entry =
                machine.tasks.entry(key.clone()).or_insert(Entry { ended: None, is_halted: false, is_known });
            entry.is_known = is_known;
            // The job has ended, or the leader has never known it (`take_task`, src/fleet.rs:1049).
            entry.is_halted |= !is_known;
            if task.stage == TaskStage::Exited && entry.ended.is_none() {
                let reason = task.exit_reason.unwrap_or(ExitReason::Other);
                entry.ended = Some(reason);
                if reason == ExitReason::Done {
                    self.owner.done(&key.0, key.1);
                }
            }
        }
    }

    /// Composes the commands for a machine (`orders`, src/fleet.rs:1130).
    fn commands(&mut self, id: &str) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        for ((job, number, attempt), entry) in &self.machines[id].tasks {
            let (task, attempt) = (format!("{job}/{number}"), *attempt);
            match entry.ended {
                Some(reason) => {
                    let known = self.owner.jobs.get(job).filter(|_| reason == ExitReason::Done);
                    if known.is_none_or(|job| job.done_written.contains(number)) {
                        commands.push(WorkerCommand::Forget { task, attempt });
                    }
                }
                None if entry.is_halted => commands.push(WorkerCommand::Halt { task, attempt, grace_s: 0.0 }),
                None => {}
            }
        }
        let jobs: Vec<String> = self.jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| commands.extend(self.start_some(job, id)));
        commands
    }

    /// Starts the tasks of a job that may start on the machine. If the start mark does not allow the next
    /// one, raises the mark, to be written (`start_some`, src/fleet.rs:1228).
    fn start_some(&mut self, job: &str, id: &str) -> Vec<WorkerCommand> {
        let waiting: Vec<u32> =
            self.waiting(job).into_iter().filter(|task| self.may_start(job, *task, id)).collect();
        let mut commands = Vec::new();
        for number in waiting {
            let mark = self.jobs[job].mark;
            if number >= mark {
                let tasks = self.jobs[job].description.tasks;
                self.owner.raise(job, (number + 1 + MARK_AHEAD).min(tasks));
                return commands;
            }
            if !self.has_room(job, id) {
                return commands;
            }
            self.counter += 1;
            let attempt = (self.owner.token << COUNTER_BITS) | self.counter;
            let entry = Entry { ended: None, is_halted: false, is_known: true };
            let machine = self.machines.get_mut(id).expect("a machine");
            machine.tasks.insert((job.into(), number, attempt), entry);
            commands.push(WorkerCommand::Start { task: format!("{job}/{number}"), attempt });
        }
        commands
    }

    /// The tasks of a job that are neither done nor on a machine.
    fn waiting(&self, id: &str) -> Vec<u32> {
        let job = &self.owner.jobs[id];
        let is_live = |task: &u32| {
            let mut entries = self.machines.values().flat_map(|machine| &machine.tasks);
            entries.any(|(key, entry)| key.0 == id && key.1 == *task && entry.ended.is_none())
        };
        (0..job.tasks).filter(|task| !job.done.contains(task) && !is_live(task)).collect()
    }

    /// Whether a waiting task of a job may start on a machine. The start mark and the machine's free CPUs are
    /// not considered (`may_start`, src/fleet.rs:1292).
    pub fn may_start(&self, job: &str, number: u32, id: &str) -> bool {
        let (Some(known), Some(machine)) = (self.jobs.get(job), self.machines.get(id)) else { return false };
        let description = &known.description;
        // A task of an unknown job uses an unknown part of the machine (`unknown_use`, src/fleet.rs:157).
        let has_unknown = machine.tasks.values().any(|entry| entry.ended.is_none() && !entry.is_known);
        let is_usable = machine.is_heard && machine.is_enrolled && !has_unknown;
        // A task that may already run on a machine that has not reported must not start (`startable_blind`,
        // src/fleet.rs:1331).
        let is_visible = number >= known.inherited || !self.is_hidden(description);
        is_usable && is_visible && allows(description, machine)
    }

    /// Whether started tasks of a job may be on a machine that has not reported (`hidden`, src/fleet.rs:812).
    fn is_hidden(&self, description: &JobDescription) -> bool {
        self.machines.values().any(|machine| !machine.is_heard && allows(description, machine))
    }

    /// Whether a machine has enough free CPUs for one more task of a job.
    fn has_room(&self, job: &str, id: &str) -> bool {
        let machine = &self.machines[id];
        let live = machine.tasks.iter().filter(|(_, entry)| entry.ended.is_none());
        let cpus_of = |id: &String| self.jobs.get(id).map_or(0.0, |job| job.description.cpus);
        let used: f64 = live.map(|(key, _)| cpus_of(&key.0)).sum();
        let types = types();
        let found = types.iter().find(|known| known.name == machine.machine_type);
        found.is_some_and(|known| used + self.jobs[job].description.cpus <= known.cpus)
    }
}

/// Whether a job's description allows its tasks on a machine (`allowed_types`, src/fleet.rs:2382, and the
/// checks of the zone and of spot instances in `may_start`).
fn allows(description: &JobDescription, machine: &KnownMachine) -> bool {
    let fits =
        types().iter().any(|known| known.name == machine.machine_type && known.cpus >= description.cpus);
    fits && description.types.as_ref().is_none_or(|types| types.contains(&machine.machine_type))
        && description.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (!machine.spot || description.spot.unwrap_or(false))
}
